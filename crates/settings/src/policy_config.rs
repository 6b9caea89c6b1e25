//! What the admission policy works by: its settings, and the names and gauges by which its host translates.

use crate::json_object::{parse_object, JsonObject};
use crate::ConfigError;
use puffinladder::{Below, Charter, Customer, Effect, Gauges, Halt, Product, Signal};
use serde_json::Value;

/// Which gauge a value belongs to that comes with a timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GaugeKind {
    /// Share of the cores that is busy.
    Busy,
    /// Number of threads that want a core.
    Runnable,
    /// Share of the memory in use.
    Memory,
    /// Open sockets.
    Sockets,
    /// A gauge that the policy does not use.
    Other,
}

impl GaugeKind {
    /// Enters a value of this kind among the gauges.
    pub fn record(self, value: f64, gauges: &mut Gauges) {
        match self {
            GaugeKind::Busy => gauges.busy = Some(value),
            GaugeKind::Runnable => gauges.runnable = Some(value),
            GaugeKind::Memory => gauges.memory = Some(value),
            GaugeKind::Sockets => gauges.sockets = Some(value),
            GaugeKind::Other => {}
        }
    }

    fn from_name(name: &Value) -> GaugeKind {
        match name.as_str() {
            Some("cpu_busy") => GaugeKind::Busy,
            Some("runnable") => GaugeKind::Runnable,
            Some("mem_used") => GaugeKind::Memory,
            Some("sockets") => GaugeKind::Sockets,
            _ => GaugeKind::Other,
        }
    }
}

/// What the policy works by, and the names and gauges by which its host translates.
#[derive(Clone, Debug, PartialEq)]
pub struct PolicyConfig {
    /// What the policy itself is given.
    pub settings: Charter,
    /// The kind of each gauge, in the order in which a timer's values come.
    pub gauges: Vec<GaugeKind>,
    /// Names of the products, in the order of `settings.products`.
    pub product_names: Vec<String>,
    /// Names of the customers, in the order of `settings.customers`.
    pub customer_names: Vec<String>,
}

/// Parses the JSON object that configures the policy.
///
/// # Errors
///
/// Names the first key that is missing or not usable.
pub fn parse_policy_config(text: &[u8]) -> Result<PolicyConfig, ConfigError> {
    let value = parse_object(text)?;
    read_policy_config(&JsonObject::top_level(&value))
}

/// Reads the policy's configuration from an object that is parsed already.
pub(crate) fn read_policy_config(top: &JsonObject) -> Result<PolicyConfig, ConfigError> {
    let info = top.object("FamilyInfo")?;
    let contract = top.object("Contract")?;
    let limits = top.object("Limits")?;
    let (product_names, products) = read_products(top, &info)?;
    let (customer_names, customers) = read_customers(top)?;
    let retry_after = read_max_retry_after(&limits)?;
    let settings = Charter {
        servers: top.positive_number("Servers")?,
        callers: info.number_or_zero("Upstreams")?,
        cores: info.positive_number("Cpus")?,
        ram: info.positive_number("RamKb")?,
        run_factor: info.positive_number("RunFactor")?,
        key_memory: info.number_or_zero("KeyKb")?,
        products,
        customers,
        over_quota: top.number_or_zero("OverShareWorth")?,
        by_work: top.word("WorthBy")? == "work",
        below: read_downstream(&info)?,
        calls_share: info.number_or_zero("CallsOut")?,
        calls_span: info.duration_or_zero("DepWindow")?,
        lingers: info.duration_or_zero("Lingers")?,
        halt: read_preemption(&info)?,
        signal: read_signal(&info)?,
        list_follows: info.flag("ListFollows")?,
        cold: info.flag("Cold")?,
        cold_share: contract.number_or_zero("ColdShare")?,
        cold_span: contract.duration_or_zero("Cold")?,
        fall_multiple: contract.positive_number("FallMultiple")?,
        fall_span: contract.duration_or_zero("Fall")?,
        grace: contract.duration_or_zero("StopSendingWithin")?,
        retry_after,
        idle: info.duration_or_zero("Idle")?,
    };
    settings.check().map_err(ConfigError::Policy)?;
    let gauges = info.list("Meters")?.iter().map(GaugeKind::from_name).collect();
    Ok(PolicyConfig { settings, gauges, product_names, customer_names })
}

/// Names and settings of the products. What concerns their calls stands in lists of the server's information.
fn read_products(top: &JsonObject, info: &JsonObject) -> Result<(Vec<String>, Vec<Product>), ConfigError> {
    let info_at = |key: &str, index: usize| -> Option<&Value> { info.get(key)?.get(index) };
    let (mut names, mut products) = (Vec::new(), Vec::new());
    for (index, lane) in top.objects("Lanes")?.iter().enumerate() {
        names.push(lane.name()?);
        products.push(Product {
            sla: lane.positive_duration("Promise")?,
            sla_stretch: lane.number_or_zero("AimStretch")?,
            expiry: lane.positive_duration("GiveUp")?,
            value: lane.number("Importance")?,
            late_share: lane.number_or_zero("LateShare")?,
            effect: read_effect(lane)?,
            window: lane.duration_or_zero("DedupWindow")?,
            calls: info_at("ClassCalls", index).and_then(Value::as_bool).unwrap_or(false),
            skip_share: info_at("ClassSkipWorth", index).and_then(Value::as_f64).unwrap_or(0.0),
        });
    }
    Ok((names, products))
}

fn read_customers(top: &JsonObject) -> Result<(Vec<String>, Vec<Customer>), ConfigError> {
    let (mut names, mut customers) = (Vec::new(), Vec::new());
    for tenant in top.objects("Tenants")? {
        names.push(tenant.name()?);
        customers.push(Customer { quota: tenant.number("QuotaRps")? });
    }
    Ok((names, customers))
}

/// Seconds; 0 where callers are not told when to retry.
fn read_max_retry_after(limits: &JsonObject) -> Result<f64, ConfigError> {
    if !limits.flag("RetryAfter")? {
        return Ok(0.0);
    }
    limits.duration_or_zero("MaxRetryAfter")
}

fn read_effect(lane: &JsonObject) -> Result<Effect, ConfigError> {
    let effects = [("safe", Effect::Inquiry), ("keyed", Effect::Referenced), ("unsafe", Effect::OnceOnly)];
    lane.choice("Effect", &effects)
}

fn read_downstream(info: &JsonObject) -> Result<Below, ConfigError> {
    let kinds = [("silent", Below::Nothing), ("common", Below::Common), ("next_hop", Below::NextTier)];
    info.choice("Below", &kinds)
}

fn read_preemption(info: &JsonObject) -> Result<Halt, ConfigError> {
    let kinds = [("silent", Halt::Never), ("drop", Halt::Drop), ("pause", Halt::Pause)];
    info.choice("Halt", &kinds)
}

fn read_signal(info: &JsonObject) -> Result<Signal, ConfigError> {
    let signals = [
        ("silent", Signal::Silent),
        ("min_rank", Signal::Level),
        ("tokens", Signal::Tokens),
        ("bias", Signal::Bias),
    ];
    info.choice("Signal", &signals)
}
