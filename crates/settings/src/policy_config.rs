//! Configuration of the admission policy: its settings, and the gauges, class names and tenant names that its host needs.

use crate::json_object::{parse_object, JsonObject};
use crate::ConfigError;
use puffinladder::{
    Downstream, Gauges, Idempotency, LoadSignal, PolicySettings, Preemption, RequestClass, Tenant,
};
use serde_json::Value;

/// The gauge that a value reported with a timer belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GaugeKind {
    /// Fraction of the cores that is busy.
    Busy,
    /// Number of runnable threads.
    Runnable,
    /// Fraction of the memory in use.
    Memory,
    /// Open sockets.
    Sockets,
    /// A gauge that the policy does not use.
    Other,
}

impl GaugeKind {
    /// Sets the field of `gauges` that belongs to this kind.
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

/// Configuration of the admission policy and of its host.
#[derive(Clone, Debug, PartialEq)]
pub struct PolicyConfig {
    /// Settings of the policy itself.
    pub settings: PolicySettings,
    /// The kind of each gauge, in the order of the values reported with a timer.
    pub gauges: Vec<GaugeKind>,
    /// Names of the request classes, in the order of `settings.classes`.
    pub class_names: Vec<String>,
    /// Names of the tenants, in the order of `settings.tenants`.
    pub tenant_names: Vec<String>,
}

/// Parses the JSON object that configures the policy.
///
/// # Errors
///
/// Returns an error that names the first key that is missing or invalid.
pub fn parse_policy_config(text: &[u8]) -> Result<PolicyConfig, ConfigError> {
    let value = parse_object(text)?;
    read_policy_config(&JsonObject::top_level(&value))
}

/// Reads the policy's configuration from a parsed object.
pub(crate) fn read_policy_config(top: &JsonObject) -> Result<PolicyConfig, ConfigError> {
    let info = top.object("FamilyInfo")?;
    let contract = top.object("Contract")?;
    let limits = top.object("Limits")?;
    let (class_names, classes) = read_classes(top, &info)?;
    let (tenant_names, tenants) = read_tenants(top)?;
    let max_retry_after = read_max_retry_after(&limits)?;
    let settings = PolicySettings {
        servers: top.positive_number("Servers")?,
        callers: info.number_or_zero("Upstreams")?,
        cores: info.positive_number("Cpus")?,
        memory: info.positive_number("RamKb")?,
        running_memory_factor: info.positive_number("RunFactor")?,
        key_memory: info.number_or_zero("KeyKb")?,
        classes,
        tenants,
        over_quota_fraction: top.number_or_zero("OverShareWorth")?,
        weight_per_work: top.word("WorthBy")? == "work",
        downstream: read_downstream(&info)?,
        call_concurrency_share: info.number_or_zero("CallsOut")?,
        call_averaging_window: info.duration_or_zero("DepWindow")?,
        abandoned_call_linger: info.duration_or_zero("Lingers")?,
        preemption: read_preemption(&info)?,
        load_signal: read_load_signal(&info)?,
        endpoints_follow_health: info.flag("ListFollows")?,
        starts_cold: info.flag("Cold")?,
        cold_capacity_fraction: contract.number_or_zero("ColdShare")?,
        warm_up_duration: contract.duration_or_zero("Cold")?,
        overload_multiple: contract.positive_number("FallMultiple")?,
        overload_window: contract.duration_or_zero("Fall")?,
        drain_grace: contract.duration_or_zero("StopSendingWithin")?,
        max_retry_after,
        idle_timeout: info.duration_or_zero("Idle")?,
    };
    settings.validate()?;
    let gauges = info.list("Meters")?.iter().map(GaugeKind::from_name).collect();
    Ok(PolicyConfig { settings, gauges, class_names, tenant_names })
}

/// Reads the names and settings of the request classes. The settings of their calls are lists in `info`, indexed by class.
fn read_classes(
    top: &JsonObject,
    info: &JsonObject,
) -> Result<(Vec<String>, Vec<RequestClass>), ConfigError> {
    let class_info = |key: &str, index: usize| -> Option<&Value> { info.get(key)?.get(index) };
    let (mut names, mut classes) = (Vec::new(), Vec::new());
    for (index, class) in top.objects("Lanes")?.iter().enumerate() {
        names.push(class.name()?);
        classes.push(RequestClass {
            latency_objective: class.positive_duration("Promise")?,
            objective_stretch: class.number_or_zero("AimStretch")?,
            timeout: class.positive_duration("GiveUp")?,
            priority_weight: class.number("Importance")?,
            late_weight_fraction: class.number_or_zero("LateShare")?,
            idempotency: read_idempotency(class)?,
            dedup_window: class.duration_or_zero("DedupWindow")?,
            makes_calls: class_info("ClassCalls", index).and_then(Value::as_bool).unwrap_or(false),
            degraded_weight_fraction: class_info("ClassSkipWorth", index)
                .and_then(Value::as_f64)
                .unwrap_or(0.0),
        });
    }
    Ok((names, classes))
}

fn read_tenants(top: &JsonObject) -> Result<(Vec<String>, Vec<Tenant>), ConfigError> {
    let (mut names, mut tenants) = (Vec::new(), Vec::new());
    for tenant in top.objects("Tenants")? {
        names.push(tenant.name()?);
        tenants.push(Tenant { quota: tenant.number("QuotaRps")? });
    }
    Ok((names, tenants))
}

/// Returns the longest Retry-After in seconds, 0 if it is not sent.
fn read_max_retry_after(limits: &JsonObject) -> Result<f64, ConfigError> {
    if !limits.flag("RetryAfter")? {
        return Ok(0.0);
    }
    limits.duration_or_zero("MaxRetryAfter")
}

fn read_idempotency(class: &JsonObject) -> Result<Idempotency, ConfigError> {
    let choices = [
        ("safe", Idempotency::Idempotent),
        ("keyed", Idempotency::Keyed),
        ("unsafe", Idempotency::NonIdempotent),
    ];
    class.choice("Effect", &choices)
}

fn read_downstream(info: &JsonObject) -> Result<Downstream, ConfigError> {
    let choices = [
        ("silent", Downstream::None),
        ("common", Downstream::SharedDependency),
        ("next_hop", Downstream::NextTier),
    ];
    info.choice("Below", &choices)
}

fn read_preemption(info: &JsonObject) -> Result<Preemption, ConfigError> {
    let choices =
        [("silent", Preemption::Never), ("drop", Preemption::Discard), ("pause", Preemption::Suspend)];
    info.choice("Halt", &choices)
}

fn read_load_signal(info: &JsonObject) -> Result<LoadSignal, ConfigError> {
    let choices = [
        ("silent", LoadSignal::None),
        ("min_rank", LoadSignal::MinimumRank),
        ("tokens", LoadSignal::Tokens),
        ("bias", LoadSignal::SelectionBias),
    ];
    info.choice("Signal", &choices)
}
