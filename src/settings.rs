//! Settings of the policy: the server, its request classes and tenants, and what they may ask for.
//!
//! All durations are seconds, all sizes of memory kilobytes, as the simulator and the server's settings give
//! them. [`PolicySettings::validate`] has to pass before a policy is made of them.

use thiserror::Error;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// May run any number of times.
    #[default]
    Idempotent,
    /// Carries an idempotency key, by which a retry is recognised; must not run twice within the class's
    /// [`dedup_window`](RequestClass::dedup_window).
    Keyed,
    /// Must never run twice.
    NonIdempotent,
}

/// What requests call while they run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Downstream {
    /// Nothing.
    #[default]
    None,
    /// One dependency that all servers of the fleet load together.
    SharedDependency,
    /// A further tier of servers, which run a policy of their own.
    NextTier,
}

/// Whether a running request can be taken off the cores.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Preemption {
    /// It can't.
    #[default]
    Never,
    /// It falls back into the queue and its work is lost.
    Discard,
    /// It keeps its progress and its memory.
    Suspend,
}

/// The meaning of the one load signal that every answer carries to its caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadSignal {
    /// Answers carry none.
    #[default]
    None,
    /// Callers send no request whose [`rank`](crate::Request::rank) is lower.
    MinimumRank,
    /// Most requests that each caller may have outstanding at this server.
    Tokens,
    /// Probability with which a caller that would pick this server does not pass it over.
    SelectionBias,
}

/// The terms on which requests of one class are served.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestClass {
    /// Time from arrival within which an answer is on time, in seconds.
    pub latency_objective: f64,
    /// Seconds that the latency objective gains for each second of a request's expected work.
    pub objective_stretch: f64,
    /// Time from arrival after which an answer is worth nothing, in seconds.
    pub timeout: f64,
    /// Worth of one request against those of other classes.
    pub priority_weight: f64,
    /// Share of the weight that an answer between latency objective and timeout still earns.
    pub late_weight_fraction: f64,
    /// Whether a request may run more than once.
    pub idempotency: Idempotency,
    /// For keyed classes: how long after its arrival a request may be retried, in seconds.
    pub dedup_window: f64,
    /// Whether its requests call the downstream.
    pub makes_calls: bool,
    /// Share of the weight that a degraded answer, without the downstream call, earns; 0 where the call is
    /// indispensable.
    pub degraded_weight_fraction: f64,
}

/// One tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests a second, over the whole fleet, up to which its requests keep their weight.
    pub quota: f64,
}

/// What a policy is told when its process starts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PolicySettings {
    /// Servers of the fleet.
    pub servers: f64,
    /// Callers that send to this server.
    pub callers: f64,
    /// Cores of this server.
    pub cores: f64,
    /// Memory of this server, in kilobytes.
    pub memory: f64,
    /// Memory of a running request over that of a queued one.
    pub running_memory_factor: f64,
    /// Memory of one remembered idempotency key, in kilobytes.
    pub key_memory: f64,
    /// Request classes; a request names one by its index.
    pub classes: Vec<RequestClass>,
    /// Tenants, empty where requests belong to none; a request names one by its index.
    pub tenants: Vec<Tenant>,
    /// Share of its weight that a request beyond its tenant's quota keeps.
    pub over_quota_fraction: f64,
    /// Whether weight counts for each unit of work rather than for each request.
    pub weight_per_work: bool,
    /// What requests call while they run.
    pub downstream: Downstream,
    /// This server's share of the calls that the shared dependency survives, as a mean number of calls open.
    pub call_concurrency_share: f64,
    /// The time over which the dependency takes that mean, in seconds.
    pub call_averaging_window: f64,
    /// How long a call that was given up still occupies the dependency, in seconds.
    pub abandoned_call_linger: f64,
    /// Whether a running request can be taken off the cores.
    pub preemption: Preemption,
    /// The meaning of the load signal on answers.
    pub load_signal: LoadSignal,
    /// Whether the fleet's endpoint list follows the health that this server reports.
    pub endpoints_follow_health: bool,
    /// Whether the process may have started cold.
    pub starts_cold: bool,
    /// Share of its speed that a cold server has at the start.
    pub cold_capacity_fraction: f64,
    /// Time from a cold start to full speed, in seconds.
    pub warm_up_duration: f64,
    /// Running requests a core at which a warm server collapses.
    pub overload_multiple: f64,
    /// The time over which those are averaged, in seconds.
    pub overload_window: f64,
    /// Requests that arrive later than this after the notice to drain must not run, in seconds.
    pub drain_grace: f64,
    /// The longest Retry-After that callers heed, in seconds; 0 where none is passed on.
    pub max_retry_after: f64,
    /// How long callers keep an unused connection open unless told otherwise, in seconds.
    pub idle_timeout: f64,
}

/// What makes settings unusable.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum SettingsError {
    /// A figure of the server is negative, not finite, or 0 where it must not be.
    #[error("policy settings: {field} is out of range: {value}")]
    OutOfRange {
        /// The field of [`PolicySettings`].
        field: &'static str,
        /// What it holds.
        value: f64,
    },
    /// A figure of a request class is negative, not finite, or 0 where it must not be.
    #[error("policy settings: {field} of class {class} is out of range: {value}")]
    ClassOutOfRange {
        /// The field of [`RequestClass`].
        field: &'static str,
        /// Index of the class.
        class: usize,
        /// What it holds.
        value: f64,
    },
    /// A tenant's quota is negative or not finite.
    #[error("policy settings: quota of tenant {tenant} is out of range: {value}")]
    QuotaOutOfRange {
        /// Index of the tenant.
        tenant: usize,
        /// What it holds.
        value: f64,
    },
    /// Every request belongs to a class, and there is none.
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
    /// The first figure that is out of range, with its name.
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
    /// Checks that a policy can work by these settings.
    ///
    /// # Errors
    ///
    /// The first figure that is out of range, or [`SettingsError::NoClasses`].
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

    /// The first figure of the server that is out of range, with its name.
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
