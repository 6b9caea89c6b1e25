//! Settings of the policy: the server, its request classes and its tenants.
//!
//! Durations are in seconds, memory sizes in kilobytes. [`PolicySettings::validate`] must succeed before a
//! policy is created.

use thiserror::Error;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// May run any number of times.
    #[default]
    Idempotent,
    /// Carries an idempotency key that identifies retries; must not run twice within the class's
    /// [`dedup_window`](RequestClass::dedup_window).
    Keyed,
    /// Must never run twice.
    NonIdempotent,
}

/// Downstream of running requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Downstream {
    /// No downstream calls.
    #[default]
    None,
    /// One dependency shared by all servers of the fleet.
    SharedDependency,
    /// Another tier of servers with its own admission control.
    NextTier,
}

/// Whether and how a running request can be preempted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Preemption {
    /// No preemption.
    #[default]
    Never,
    /// The request returns to the queue and its work is lost.
    Discard,
    /// The request keeps its progress and its memory.
    Suspend,
}

/// Meaning of the load signal that every answer carries to its caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadSignal {
    /// Answers carry no load signal.
    #[default]
    None,
    /// Callers send no request with a lower [`rank`](crate::Request::rank).
    MinimumRank,
    /// Most requests that each caller may have outstanding at this server.
    Tokens,
    /// Probability with which a caller that selects this server sends to it rather than to another.
    SelectionBias,
}

/// Settings of one request class.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestClass {
    /// Time from arrival within which an answer is on time, in seconds.
    pub latency_objective: f64,
    /// Seconds added to the latency objective per second of expected work.
    pub objective_stretch: f64,
    /// Time from arrival after which an answer has no value, in seconds.
    pub timeout: f64,
    /// Weight of one request relative to other classes.
    pub priority_weight: f64,
    /// Fraction of the weight of an answer between latency objective and timeout.
    pub late_weight_fraction: f64,
    /// Whether a request may run more than once.
    pub idempotency: Idempotency,
    /// For keyed classes: time from arrival within which a request may be retried, in seconds.
    pub dedup_window: f64,
    /// Whether its requests make a downstream call.
    pub makes_calls: bool,
    /// Fraction of the weight of a degraded answer without the downstream call; 0 if the call is required.
    pub degraded_weight_fraction: f64,
}

/// Settings of one tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests per second, over the whole fleet, up to which its requests keep their weight.
    pub quota: f64,
}

/// Settings of the policy of one server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PolicySettings {
    /// Number of servers in the fleet.
    pub servers: f64,
    /// Number of callers that send to this server.
    pub callers: f64,
    /// Number of cores of this server.
    pub cores: f64,
    /// Memory of this server, in kilobytes.
    pub memory: f64,
    /// Ratio of the memory of a running request to that of a queued one.
    pub running_memory_factor: f64,
    /// Memory of one remembered idempotency key, in kilobytes.
    pub key_memory: f64,
    /// Request classes; a request refers to one by index.
    pub classes: Vec<RequestClass>,
    /// Tenants, empty if requests belong to none; a request refers to one by index.
    pub tenants: Vec<Tenant>,
    /// Fraction of its weight that a request beyond its tenant's quota keeps.
    pub over_quota_fraction: f64,
    /// Whether weight applies per unit of work rather than per request.
    pub weight_per_work: bool,
    /// Downstream of running requests.
    pub downstream: Downstream,
    /// This server's share of the calls that the shared dependency sustains, as a mean number of open
    /// calls.
    pub call_concurrency_share: f64,
    /// Time over which the dependency averages open calls, in seconds.
    pub call_averaging_window: f64,
    /// Time for which an abandoned call still occupies the dependency, in seconds.
    pub abandoned_call_linger: f64,
    /// Whether and how running requests can be preempted.
    pub preemption: Preemption,
    /// Meaning of the load signal on answers.
    pub load_signal: LoadSignal,
    /// Whether the fleet's endpoint list follows the health of this server.
    pub endpoints_follow_health: bool,
    /// Whether the process may have started cold.
    pub starts_cold: bool,
    /// Fraction of full speed of a cold server at the start.
    pub cold_capacity_fraction: f64,
    /// Time from a cold start to full speed, in seconds.
    pub warm_up_duration: f64,
    /// Running requests per core at which a warm server collapses.
    pub overload_multiple: f64,
    /// Time over which running requests are averaged for `overload_multiple`, in seconds.
    pub overload_window: f64,
    /// Time after the notice to drain after which arriving requests must not run, in seconds.
    pub drain_grace: f64,
    /// Longest Retry-After that callers respect, in seconds; 0 if none is passed on.
    pub max_retry_after: f64,
    /// Default time for which callers keep an unused connection open, in seconds.
    pub idle_timeout: f64,
}

/// Error in the settings of a policy.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum SettingsError {
    /// A server setting is negative, not finite, or 0 where it must be positive.
    #[error("policy settings: {field} is out of range: {value}")]
    OutOfRange {
        /// Name of the setting in [`PolicySettings`].
        field: &'static str,
        /// Its value.
        value: f64,
    },
    /// A class setting is negative, not finite, or 0 where it must be positive.
    #[error("policy settings: {field} of class {class} is out of range: {value}")]
    ClassOutOfRange {
        /// Name of the setting in [`RequestClass`].
        field: &'static str,
        /// Index of the class.
        class: usize,
        /// Its value.
        value: f64,
    },
    /// A tenant's quota is negative or not finite.
    #[error("policy settings: quota of tenant {tenant} is out of range: {value}")]
    QuotaOutOfRange {
        /// Index of the tenant.
        tenant: usize,
        /// Its value.
        value: f64,
    },
    /// There is no request class.
    #[error("policy settings: no request classes")]
    NoClasses,
}

fn is_positive(value: f64) -> bool {
    value > 0.0 && value.is_finite()
}

fn is_non_negative(value: f64) -> bool {
    value >= 0.0 && value.is_finite()
}

impl RequestClass {
    /// Returns the name and value of the first setting that is out of range.
    fn out_of_range(&self) -> Option<(&'static str, f64)> {
        let positive = [("latency objective", self.latency_objective), ("timeout", self.timeout)];
        let non_negative = [
            ("priority weight", self.priority_weight),
            ("objective stretch", self.objective_stretch),
            ("late weight fraction", self.late_weight_fraction),
            ("dedup window", self.dedup_window),
            ("degraded weight fraction", self.degraded_weight_fraction),
        ];
        first_out_of_range(&positive, &non_negative)
    }
}

fn first_out_of_range(
    positive: &[(&'static str, f64)],
    non_negative: &[(&'static str, f64)],
) -> Option<(&'static str, f64)> {
    let not_positive = positive.iter().find(|(_, value)| !is_positive(*value));
    not_positive.or_else(|| non_negative.iter().find(|(_, value)| !is_non_negative(*value))).copied()
}

impl PolicySettings {
    /// Validates the settings.
    ///
    /// # Errors
    ///
    /// The first setting that is out of range, or [`SettingsError::NoClasses`].
    pub fn validate(&self) -> Result<(), SettingsError> {
        if let Some((field, value)) = self.out_of_range() {
            return Err(SettingsError::OutOfRange { field, value });
        }
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        for (class, settings) in self.classes.iter().enumerate() {
            if let Some((field, value)) = settings.out_of_range() {
                return Err(SettingsError::ClassOutOfRange { field, class, value });
            }
        }
        for (tenant, settings) in self.tenants.iter().enumerate() {
            if !is_non_negative(settings.quota) {
                return Err(SettingsError::QuotaOutOfRange { tenant, value: settings.quota });
            }
        }
        Ok(())
    }

    /// Returns the name and value of the first server setting that is out of range.
    fn out_of_range(&self) -> Option<(&'static str, f64)> {
        let positive = [
            ("servers", self.servers),
            ("cores", self.cores),
            ("memory", self.memory),
            ("running memory factor", self.running_memory_factor),
            ("overload multiple", self.overload_multiple),
        ];
        let non_negative = [
            ("callers", self.callers),
            ("key memory", self.key_memory),
            ("over-quota fraction", self.over_quota_fraction),
            ("call concurrency share", self.call_concurrency_share),
            ("call averaging window", self.call_averaging_window),
            ("abandoned-call linger", self.abandoned_call_linger),
            ("cold capacity fraction", self.cold_capacity_fraction),
            ("warm-up duration", self.warm_up_duration),
            ("overload window", self.overload_window),
            ("drain grace", self.drain_grace),
            ("longest Retry-After", self.max_retry_after),
            ("idle timeout", self.idle_timeout),
        ];
        first_out_of_range(&positive, &non_negative)
    }
}

#[cfg(test)]
mod tests;
