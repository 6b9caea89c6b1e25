//! Input of the policy for one request.

/// A request that was read and waits in the queue.
#[derive(Clone, Copy, Debug, Default)]
pub struct Request {
    /// Id assigned by the host, unique among requests in flight.
    pub id: u32,
    /// Index in [`PolicySettings::classes`](crate::PolicySettings::classes).
    pub class: usize,
    /// Index in [`PolicySettings::tenants`](crate::PolicySettings::tenants); ignored if there are none.
    pub tenant: usize,
    /// When the caller abandons this attempt, on the host's clock in seconds; 0 if unknown.
    pub deadline: f64,
    /// Caller's estimate of the CPU time, in seconds; 0 for none.
    pub cost_hint: f64,
    /// Memory while queued, in kilobytes.
    pub memory: f64,
    /// Rank in [0, 1) that [`LoadSignal::MinimumRank`](crate::LoadSignal::MinimumRank) compares; lower
    /// ranks are dropped first.
    pub rank: f64,
    /// Id of the caller that sent it.
    pub caller: u32,
    /// Whether it is a retry or a hedged request.
    pub is_retry: bool,
    /// Time in the socket before it was read, in seconds.
    pub time_unread: f64,
    /// Id of an earlier attempt with the same idempotency key; 0 for none.
    pub earlier_attempt: u32,
}
