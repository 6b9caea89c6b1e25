//! Interface through which the policy acts on its host.

use crate::Reason;

/// Carries out the decisions of an [`AdmissionPolicy`](crate::AdmissionPolicy). Ids are those of the host's
/// [`Request`](crate::Request)s; durations are in seconds.
///
/// A request is *settled* when it is answered with its result, *rejected* when it is refused before it ran,
/// and *failed* when it is answered with an error.
pub trait Decisions {
    /// Starts the run of a queued request.
    fn run(&mut self, id: u32);
    /// Rejects a request that never ran. `retry_after` is how long its caller should not retry at this
    /// server (0 for no advice); `do_not_forward` means that no other server should be tried either.
    fn reject(&mut self, id: u32, retry_after: f64, do_not_forward: bool, reason: Reason);
    /// Answers a request with an error. Its run, if any, continues without a further answer until it ends,
    /// reaches a call or is preempted.
    fn fail(&mut self, id: u32, reason: Reason);
    /// Preempts a running request, as [`Preemption`](crate::Preemption) allows.
    fn preempt(&mut self, id: u32);
    /// Permits a request to make the downstream call that it waits for, with the given timeout.
    fn allow_call(&mut self, id: u32, timeout: f64);
    /// Resumes a request without the downstream call that it waits for, to a degraded answer.
    fn skip_call(&mut self, id: u32);
    /// Recognizes retries of this request by its idempotency key for `duration` from now.
    fn remember_key(&mut self, id: u32, duration: f64);
    /// Forgets the idempotency key of a request that never ran.
    fn forget_key(&mut self, id: u32);
    /// Settles a retry with the result of its earlier attempt.
    fn replay_result(&mut self, id: u32);
    /// Sets the answer to health checks, and whether it may be cached until the next change.
    fn set_health(&mut self, is_healthy: bool, is_cacheable: bool);
    /// Sets the load signal on answers; [`LoadSignal`](crate::LoadSignal) defines its meaning.
    fn set_load_signal(&mut self, signal: f64);
    /// Sets how long callers may keep an unused connection open.
    fn set_keepalive(&mut self, timeout: f64);
    /// Requests a round with gauges after `delay`.
    fn schedule_tick(&mut self, delay: f64);
    /// Reports the limits on running requests and open calls, and the pressure behind the load signal (0 to
    /// 1), for hosts that record them.
    fn record_limits(&mut self, _runs: f64, _calls: f64, _pressure: f64) {}
    /// Logs a line for operators.
    fn log(&mut self, text: &str);
}
