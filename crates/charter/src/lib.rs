//! The one place where configuration is read, checked and given defaults, for the adapter as for the server.
//!
//! Both kinds are JSON objects whose unknown keys are ignored: the [`Terms`] that a brain works by, and the
//! [`Warrant`] of a server process, which holds such terms under `settings`. What is missing or out of range
//! is named by its key.
#![forbid(unsafe_code)]

pub mod fleet;
pub mod settings;
pub mod sexpr;

use puffinladder::{
    Downstream, Gauges, Idempotency, LoadSignal, PolicySettings, Preemption, RequestClass, Tenant,
};
use serde_json::Value;
use std::net::SocketAddr;

/// Which gauge stands at which place of a timer's values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Meter {
    Busy,
    Runnable,
    Memory,
    Sockets,
    Other,
}

impl Meter {
    /// Enters what this meter shows.
    pub fn show(self, value: f64, gauges: &mut Gauges) {
        match self {
            Meter::Busy => gauges.busy = Some(value),
            Meter::Runnable => gauges.runnable = Some(value),
            Meter::Memory => gauges.memory = Some(value),
            Meter::Sockets => gauges.sockets = Some(value),
            Meter::Other => {}
        }
    }
}

/// What a brain works by, and the names and meters by which its host translates.
#[derive(Clone, Debug, PartialEq)]
pub struct Terms {
    pub charter: PolicySettings,
    /// In the order in which the values come.
    pub meters: Vec<Meter>,
    /// Names of the products, in the order of the charter.
    pub products: Vec<String>,
    pub customers: Vec<String>,
}

/// Where the others listen whom a server speaks with: all that may change while it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peers {
    pub agent: SocketAddr,
    pub roster: SocketAddr,
    /// Absent on the last tier, which calls nothing.
    pub store: Option<SocketAddr>,
}

/// What a server process is told.
#[derive(Clone, Debug)]
pub struct Warrant {
    pub name: String,
    pub listen: SocketAddr,
    pub peers: Peers,
    pub seed: u64,
    /// From the notice to leave to the kill.
    pub stop: f64,
    pub memory_mb: f64,
    pub sockets: usize,
    pub terms: Terms,
}

/// An object of the start text and its path, for messages.
struct Part<'a> {
    value: &'a Value,
    path: String,
}

impl<'a> Part<'a> {
    fn find(&self, key: &str) -> Option<&'a Value> {
        self.value.get(key).filter(|v| !v.is_null())
    }
    fn wrong(&self, key: &str, wanted: &str) -> String {
        format!("start text: {}{key} should be {wanted}", self.path)
    }
    fn part(&self, key: &str) -> Result<Part<'a>, String> {
        let value = self.find(key).unwrap_or(&Value::Null);
        if !value.is_object() && !value.is_null() {
            return Err(self.wrong(key, "an object"));
        }
        Ok(Part { value, path: format!("{}{key}.", self.path) })
    }
    fn needed(&self, key: &str) -> Result<Part<'a>, String> {
        self.find(key).ok_or_else(|| self.wrong(key, "given"))?;
        self.part(key)
    }
    fn parts(&self, key: &str) -> Result<Vec<Part<'a>>, String> {
        let list = match self.find(key) {
            None => return Ok(Vec::new()),
            Some(value) => value.as_array().ok_or_else(|| self.wrong(key, "a list"))?,
        };
        let part = |(at, value)| Part { value, path: format!("{}{key}[{at}].", self.path) };
        Ok(list.iter().enumerate().map(part).collect())
    }
    fn number(&self, key: &str) -> Result<f64, String> {
        let value = self.find(key).ok_or_else(|| self.wrong(key, "given"))?.as_f64();
        value.filter(|&value| value >= 0.0).ok_or_else(|| self.wrong(key, "a number from 0 up"))
    }
    fn positive(&self, key: &str) -> Result<f64, String> {
        Some(self.number(key)?).filter(|&value| value > 0.0).ok_or_else(|| self.wrong(key, "above 0"))
    }
    /// An absent number is 0, as an absent value is anywhere on the wire.
    fn number_or_none(&self, key: &str) -> Result<f64, String> {
        self.find(key).map_or(Ok(0.0), |_| self.number(key))
    }
    /// Milliseconds to seconds.
    fn span_or_none(&self, key: &str) -> Result<f64, String> {
        Ok(self.number_or_none(key)? / 1e3)
    }
    fn flag(&self, key: &str) -> Result<bool, String> {
        self.find(key).map_or(Ok(false), |v| v.as_bool().ok_or_else(|| self.wrong(key, "true or false")))
    }
    fn word(&self, key: &str) -> Result<&'a str, String> {
        self.find(key).map_or(Ok("silent"), |v| v.as_str().ok_or_else(|| self.wrong(key, "a word")))
    }
    /// The simulator has no use for names, so its texts may lack them.
    fn name(&self) -> Result<String, String> {
        self.find("Name").map_or(Ok(String::new()), |_| self.word("Name").map(str::to_owned))
    }
    fn choice<T: Copy>(&self, key: &str, choices: &[(&str, T)]) -> Result<T, String> {
        let word = self.word(key)?;
        let found = choices.iter().find(|(name, _)| *name == word);
        found
            .map(|&(_, value)| value)
            .ok_or_else(|| format!("{}: unknown word {word}", self.wrong(key, "one of the wire's")))
    }
}

fn object(text: &[u8]) -> Result<Value, String> {
    let value: Value = serde_json::from_slice(text).map_err(|e| format!("start text is not JSON: {e}"))?;
    if !value.is_object() {
        return Err("start text is not a JSON object".into());
    }
    Ok(value)
}

/// Decodes the terms that a brain works by.
pub fn read_terms(text: &[u8]) -> Result<Terms, String> {
    let value = object(text)?;
    terms(&Part { value: &value, path: String::new() })
}

/// Decodes what a server process is told; `named` and `listen` stand in where the text lacks these two.
pub fn read_warrant(text: &[u8], named: Option<&str>, listen: Option<&str>) -> Result<Warrant, String> {
    let value = object(text)?;
    let top = Part { value: &value, path: String::new() };
    let address = |key: &str, other: Option<&str>| -> Result<Option<SocketAddr>, String> {
        let text = match top.find(key) {
            None => other,
            Some(value) => Some(value.as_str().ok_or_else(|| top.wrong(key, "a word"))?),
        };
        let wanted = || top.wrong(key, "an address such as 127.0.0.1:4100");
        text.map(|text| text.parse().map_err(|_| wanted())).transpose()
    };
    let needed = |key: &str, other| address(key, other)?.ok_or_else(|| top.wrong(key, "given"));
    let name = match top.find("name") {
        None => named,
        Some(value) => value.as_str(),
    };
    let plain = |name: &&str| {
        !name.is_empty() && name.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b))
    };
    let name =
        name.filter(plain).ok_or_else(|| top.wrong("name", "a word of letters, digits, '-', '_' and '.'"))?;
    let seed = top.find("seed").and_then(Value::as_str).and_then(|word| u64::from_str_radix(word, 16).ok());
    let seed = seed.ok_or_else(|| top.wrong("seed", "up to 16 hex digits"))?;
    let limits = top.part("limits")?;
    let between = |part: &Part, key: &str, low: f64, high: f64| {
        let value = part.number(key)?;
        let wanted = || part.wrong(key, &format!("between {low} and {high}"));
        (low..=high).contains(&value).then_some(value).ok_or_else(wanted)
    };
    Ok(Warrant {
        name: name.to_owned(),
        listen: needed("listen", listen)?,
        peers: Peers {
            agent: needed("agent", None)?,
            roster: needed("roster", None)?,
            store: address("store", None)?,
        },
        seed,
        stop: between(&top, "stop_ms", 0.0, 3_600_000.0)? / 1e3,
        memory_mb: between(&limits, "memory_mb", 16.0, 1_048_576.0)?,
        sockets: between(&limits, "sockets", 64.0, 1_048_576.0)? as usize,
        terms: terms(&top.needed("settings")?)?,
    })
}

impl Warrant {
    /// Keys in which `new` differs although they hold for as long as the process lives.
    pub fn fixed(&self, new: &Warrant) -> Vec<&'static str> {
        let kept = [
            ("name", self.name == new.name),
            ("listen", self.listen == new.listen),
            ("seed", self.seed == new.seed),
            ("stop_ms", self.stop == new.stop),
            ("limits", (self.memory_mb, self.sockets) == (new.memory_mb, new.sockets)),
            ("settings", self.terms == new.terms),
        ];
        kept.into_iter().filter(|(_, same)| !same).map(|(key, _)| key).collect()
    }
}

fn terms(top: &Part) -> Result<Terms, String> {
    let info = top.part("FamilyInfo")?;
    let rules = top.part("Contract")?;
    let limits = top.part("Limits")?;

    let lists = |key: &str, at: usize| -> Option<&Value> { info.find(key)?.get(at) };
    let (mut products, mut product_names) = (Vec::new(), Vec::new());
    for (at, lane) in top.parts("Lanes")?.iter().enumerate() {
        product_names.push(lane.name()?);
        products.push(RequestClass {
            latency_objective: lane.positive("Promise")? / 1e3,
            objective_stretch: lane.number_or_none("AimStretch")?,
            timeout: lane.positive("GiveUp")? / 1e3,
            priority_weight: lane.number("Importance")?,
            late_weight_fraction: lane.number_or_none("LateShare")?,
            idempotency: lane.choice(
                "Effect",
                &[
                    ("safe", Idempotency::Idempotent),
                    ("keyed", Idempotency::Keyed),
                    ("unsafe", Idempotency::NonIdempotent),
                ],
            )?,
            dedup_window: lane.span_or_none("DedupWindow")?,
            makes_calls: lists("ClassCalls", at).and_then(Value::as_bool).unwrap_or(false),
            degraded_weight_fraction: lists("ClassSkipWorth", at).and_then(Value::as_f64).unwrap_or(0.0),
        });
    }
    let (mut customers, mut customer_names) = (Vec::new(), Vec::new());
    for tenant in top.parts("Tenants")? {
        customer_names.push(tenant.name()?);
        customers.push(Tenant { quota: tenant.number("QuotaRps")? });
    }
    let retry_after = if limits.flag("RetryAfter")? { limits.span_or_none("MaxRetryAfter")? } else { 0.0 };
    let charter = PolicySettings {
        servers: top.positive("Servers")?,
        callers: info.number_or_none("Upstreams")?,
        cores: info.positive("Cpus")?,
        memory: info.positive("RamKb")?,
        running_memory_factor: info.positive("RunFactor")?,
        key_memory: info.number_or_none("KeyKb")?,
        classes: products,
        tenants: customers,
        over_quota_fraction: top.number_or_none("OverShareWorth")?,
        weight_per_work: top.word("WorthBy")? == "work",
        downstream: info.choice(
            "Below",
            &[
                ("silent", Downstream::None),
                ("common", Downstream::SharedDependency),
                ("next_hop", Downstream::NextTier),
            ],
        )?,
        call_concurrency_share: info.number_or_none("CallsOut")?,
        call_averaging_window: info.span_or_none("DepWindow")?,
        abandoned_call_linger: info.span_or_none("Lingers")?,
        preemption: info.choice(
            "Halt",
            &[("silent", Preemption::Never), ("drop", Preemption::Discard), ("pause", Preemption::Suspend)],
        )?,
        load_signal: info.choice(
            "Signal",
            &[
                ("silent", LoadSignal::None),
                ("min_rank", LoadSignal::MinimumRank),
                ("tokens", LoadSignal::Tokens),
                ("bias", LoadSignal::SelectionBias),
            ],
        )?,
        endpoints_follow_health: info.flag("ListFollows")?,
        starts_cold: info.flag("Cold")?,
        cold_capacity_fraction: rules.number_or_none("ColdShare")?,
        warm_up_duration: rules.span_or_none("Cold")?,
        overload_multiple: rules.positive("FallMultiple")?,
        overload_window: rules.span_or_none("Fall")?,
        drain_grace: rules.span_or_none("StopSendingWithin")?,
        max_retry_after: retry_after,
        idle_timeout: info.span_or_none("Idle")?,
    };
    charter.validate().map_err(|e| e.to_string())?;

    let meter = |name: &Value| match name.as_str() {
        Some("cpu_busy") => Meter::Busy,
        Some("runnable") => Meter::Runnable,
        Some("mem_used") => Meter::Memory,
        Some("sockets") => Meter::Sockets,
        _ => Meter::Other,
    };
    let meters = match info.find("Meters") {
        None => Vec::new(),
        Some(list) => {
            list.as_array().ok_or_else(|| info.wrong("Meters", "a list"))?.iter().map(meter).collect()
        }
    };
    Ok(Terms { charter, meters, products: product_names, customers: customer_names })
}
