//! A request as the host hands it to the policy.

/// A request that was read and now waits in the queue.
#[derive(Clone, Copy, Debug, Default)]
pub struct Request {
    /// The host's id; unique among requests in flight.
    pub id: u32,
    /// Index in [`PolicySettings::classes`](crate::PolicySettings::classes).
    pub class: usize,
    /// Index in [`PolicySettings::tenants`](crate::PolicySettings::tenants); meaningless where there are
    /// none.
    pub tenant: usize,
    /// When its caller gives this attempt up, on the host's clock in seconds; 0 where the caller does not
    /// say.
    pub deadline: f64,
    /// The caller's estimate of its core time, in seconds; 0 for none.
    pub cost_hint: f64,
    /// Memory that it takes while queued, in kilobytes.
    pub memory: f64,
    /// Place from 0 to under 1 in the order that [`LoadSignal::MinimumRank`](crate::LoadSignal::MinimumRank)
    /// cuts, lowest first.
    pub rank: f64,
    /// Which caller sent it.
    pub caller: u32,
    /// Whether it is a retry or a hedged request.
    pub is_retry: bool,
    /// How long it lay in the socket before it was read, in seconds.
    pub time_unread: f64,
    /// Id of an earlier attempt at the same request, known by its idempotency key; 0 for none.
    pub earlier_attempt: u32,
}
