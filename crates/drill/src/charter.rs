//! Reads the start text: a JSON object whose unknown keys are ignored.

use puffinladder::{Below, Charter, Customer, Effect, Halt, Product, Signal};
use serde_json::Value;

/// Which gauge stands at which place of a timer's values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Meter {
    Busy,
    Runnable,
    Memory,
    Sockets,
    Other,
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
    fn parts(&self, key: &str) -> Result<Vec<Part<'a>>, String> {
        let list = match self.find(key) {
            None => return Ok(Vec::new()),
            Some(value) => value.as_array().ok_or_else(|| self.wrong(key, "a list"))?,
        };
        let part = |(at, value)| Part { value, path: format!("{}{key}[{at}].", self.path) };
        Ok(list.iter().enumerate().map(part).collect())
    }
    fn number(&self, key: &str) -> Result<f64, String> {
        let value = self.find(key).ok_or_else(|| self.wrong(key, "given"))?;
        value.as_f64().ok_or_else(|| self.wrong(key, "a number"))
    }
    /// An absent number is 0, as an absent value is anywhere on the wire.
    fn number_or_none(&self, key: &str) -> Result<f64, String> {
        self.find(key).map_or(Ok(0.0), |_| self.number(key))
    }
    /// Milliseconds to seconds.
    fn span(&self, key: &str) -> Result<f64, String> {
        Ok(self.number(key)? / 1e3)
    }
    fn span_or_none(&self, key: &str) -> Result<f64, String> {
        Ok(self.number_or_none(key)? / 1e3)
    }
    fn flag(&self, key: &str) -> Result<bool, String> {
        self.find(key).map_or(Ok(false), |v| v.as_bool().ok_or_else(|| self.wrong(key, "true or false")))
    }
    fn word(&self, key: &str) -> Result<&'a str, String> {
        self.find(key).map_or(Ok("silent"), |v| v.as_str().ok_or_else(|| self.wrong(key, "a word")))
    }
    fn choice<T: Copy>(&self, key: &str, choices: &[(&str, T)]) -> Result<T, String> {
        let word = self.word(key)?;
        let found = choices.iter().find(|(name, _)| *name == word);
        found
            .map(|&(_, value)| value)
            .ok_or_else(|| format!("{}: unknown word {word}", self.wrong(key, "one of the wire's")))
    }
}

/// Decodes the start text into a charter and the order of the gauges.
pub fn read(text: &[u8]) -> Result<(Charter, Vec<Meter>), String> {
    let value: Value = serde_json::from_slice(text).map_err(|e| format!("start text is not JSON: {e}"))?;
    if !value.is_object() {
        return Err("start text is not a JSON object".into());
    }
    let top = Part { value: &value, path: String::new() };
    let info = top.part("FamilyInfo")?;
    let rules = top.part("Contract")?;
    let limits = top.part("Limits")?;

    let lists = |key: &str, at: usize| -> Option<&Value> { info.find(key)?.get(at) };
    let mut products = Vec::new();
    for (at, lane) in top.parts("Lanes")?.iter().enumerate() {
        products.push(Product {
            sla: lane.span("Promise")?,
            sla_stretch: lane.number_or_none("AimStretch")?,
            expiry: lane.span("GiveUp")?,
            value: lane.number("Importance")?,
            late_share: lane.number_or_none("LateShare")?,
            effect: lane.choice(
                "Effect",
                &[("safe", Effect::Inquiry), ("keyed", Effect::Referenced), ("unsafe", Effect::OnceOnly)],
            )?,
            window: lane.span_or_none("DedupWindow")?,
            calls: lists("ClassCalls", at).and_then(Value::as_bool).unwrap_or(false),
            skip_share: lists("ClassSkipWorth", at).and_then(Value::as_f64).unwrap_or(0.0),
        });
    }
    let mut customers = Vec::new();
    for tenant in top.parts("Tenants")? {
        customers.push(Customer { quota: tenant.number("QuotaRps")? });
    }
    let retry_after = if limits.flag("RetryAfter")? { limits.span_or_none("MaxRetryAfter")? } else { 0.0 };
    let charter = Charter {
        servers: top.number("Servers")?,
        callers: info.number_or_none("Upstreams")?,
        cores: info.number("Cpus")?,
        ram: info.number("RamKb")?,
        run_factor: info.number("RunFactor")?,
        key_memory: info.number_or_none("KeyKb")?,
        products,
        customers,
        over_quota: top.number_or_none("OverShareWorth")?,
        by_work: top.word("WorthBy")? == "work",
        below: info.choice(
            "Below",
            &[("silent", Below::Nothing), ("common", Below::Common), ("next_hop", Below::NextTier)],
        )?,
        calls_share: info.number_or_none("CallsOut")?,
        calls_span: info.span_or_none("DepWindow")?,
        lingers: info.span_or_none("Lingers")?,
        halt: info
            .choice("Halt", &[("silent", Halt::Never), ("drop", Halt::Drop), ("pause", Halt::Pause)])?,
        signal: info.choice(
            "Signal",
            &[
                ("silent", Signal::Silent),
                ("min_rank", Signal::Level),
                ("tokens", Signal::Tokens),
                ("bias", Signal::Bias),
            ],
        )?,
        list_follows: info.flag("ListFollows")?,
        cold: info.flag("Cold")?,
        cold_share: rules.number_or_none("ColdShare")?,
        cold_span: rules.span_or_none("Cold")?,
        fall_multiple: rules.number("FallMultiple")?,
        grace: rules.span_or_none("StopSendingWithin")?,
        retry_after,
        idle: info.span_or_none("Idle")?,
    };
    charter.check()?;

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
    Ok((charter, meters))
}
