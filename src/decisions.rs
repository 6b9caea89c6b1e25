//! What the policy may ask of its host.

use crate::Reason;

/// Carries out what an [`AdmissionPolicy`](crate::AdmissionPolicy) decides. Ids are those of the host's
/// [`Request`](crate::Request)s, durations are seconds.
///
/// A request is *settled* when it is answered with its result, *rejected* when it is turned away before it
/// ran, and *failed* when it is answered with an error.
pub trait Decisions {
    /// Gives a queued request to the cores.
    fn run(&mut self, id: u32);
    /// Ends a request that never ran. `retry_after` is how long its caller should keep off (0 for no advice);
    /// `last` says that it should not be forwarded to another server either.
    fn reject(&mut self, id: u32, retry_after: f64, do_not_forward: bool, reason: Reason);
    /// Answers a request with an error. If it runs, it goes on unanswered until it ends, reaches a call or is
    /// preempted.
    fn fail(&mut self, id: u32, reason: Reason);
    /// Takes a running request off the cores, as [`Preemption`](crate::Preemption) allows.
    fn preempt(&mut self, id: u32);
    /// Lets a request make the downstream call that it waits for, with a time-out of `limit`.
    fn allow_call(&mut self, id: u32, timeout: f64);
    /// Has a request go on without the downstream call that it waits for, to a degraded answer.
    fn skip_call(&mut self, id: u32);
    /// Recognises retries of this request by its idempotency key for `span` from now.
    fn remember_key(&mut self, id: u32, duration: f64);
    /// Drops the idempotency key of a request that never ran.
    fn forget_key(&mut self, id: u32);
    /// Settles a retry with the result of its earlier attempt.
    fn replay_result(&mut self, id: u32);
    /// Sets the answer to health checks, and whether that answer may be cached until the next change.
    fn set_health(&mut self, is_healthy: bool, is_cacheable: bool);
    /// Sets the load signal on answers, as [`LoadSignal`](crate::LoadSignal) reads it.
    fn set_load_signal(&mut self, signal: f64);
    /// Sets how long callers may keep an unused connection open.
    fn set_keepalive(&mut self, timeout: f64);
    /// Asks for a round with gauges after this time.
    fn schedule_tick(&mut self, delay: f64);
    /// Reports the limit of running requests, that of open calls, and the pressure behind the load signal (0
    /// to 1), for hosts that record them.
    fn record_limits(&mut self, _runs: f64, _calls: f64, _pressure: f64) {}
    /// Logs a line for the operators; rare.
    fn log(&mut self, text: &str);
}
