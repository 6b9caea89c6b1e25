//! Carries out the decisions of the policy.

use super::published::PublishedState;
use crate::state::idempotency::IdempotencyKeys;
use crate::state::in_flight::InFlightRequests;
use crate::state::mailbox::Event;
use crate::state::request_log::RequestLog;
use puffinladder::{Decisions, Reason};
use puffinladder_trace::row::Topic;

/// Removes a request that never ran, releases its key and sends `event` to its coroutine.
pub(super) fn remove_unrun(
    in_flight: &mut InFlightRequests,
    keys: &mut IdempotencyKeys,
    id: u32,
    event: Event,
) {
    if let Some(request) = in_flight.remove(id) {
        if let Some(key) = &request.key {
            keys.release(key, id);
        }
        request.notify_duplicate(false);
        request.mailbox.send(event);
    }
}

/// Records that a request needs no further answer: a running one continues, any other is removed.
pub(super) fn mark_answered(in_flight: &mut InFlightRequests, keys: &mut IdempotencyKeys, id: u32, now: f64) {
    match in_flight.get_mut(id) {
        Some(request) if request.running => drop(request.answered_at.get_or_insert(now)),
        Some(_) => remove_unrun(in_flight, keys, id, Event::Discarded),
        None => {}
    }
}

/// Handler of the decisions of one round: turns each into an event for the request concerned.
pub(super) struct DecisionHandler<'a> {
    /// Health and load signal reported to gateways.
    pub published: &'a PublishedState,
    /// Log of the decisions.
    pub log: &'a RequestLog,
    /// Requests in flight.
    pub in_flight: &'a mut InFlightRequests,
    /// Idempotency keys and results.
    pub keys: &'a mut IdempotencyKeys,
    /// Time of the round, s.
    pub now: f64,
    /// Time of the next tick that the policy requested, s.
    pub tick_at: &'a mut f64,
    /// Idle time allowed to gateway connections, s.
    pub keepalive: &'a mut f64,
}

impl DecisionHandler<'_> {
    fn send(&mut self, id: u32, event: Event) {
        if let Some(request) = self.in_flight.get_mut(id) {
            request.mailbox.send(event);
        }
    }
}

impl Decisions for DecisionHandler<'_> {
    fn run(&mut self, id: u32) {
        if let Some(request) = self.in_flight.get_mut(id) {
            request.running = true;
            request.mailbox.send(Event::Run);
        }
    }

    fn reject(&mut self, id: u32, retry_after: f64, do_not_forward: bool, reason: Reason) {
        remove_unrun(self.in_flight, self.keys, id, Event::Reject { retry_after, do_not_forward, reason });
    }

    fn fail(&mut self, id: u32, reason: Reason) {
        self.send(id, Event::Fail(reason));
        mark_answered(self.in_flight, self.keys, id, self.now);
    }

    fn preempt(&mut self, id: u32) {
        self.send(id, Event::Pause);
    }

    fn allow_call(&mut self, id: u32, timeout: f64) {
        self.send(id, Event::Call { limit: timeout });
    }

    fn skip_call(&mut self, id: u32) {
        self.send(id, Event::SkipCall);
    }

    fn remember_key(&mut self, id: u32, duration: f64) {
        if let Some(key) = self.in_flight.get_mut(id).and_then(|request| request.key) {
            self.keys.extend(&key, id, self.now + duration);
        }
    }

    fn forget_key(&mut self, id: u32) {
        let unrun = self.in_flight.get_mut(id).filter(|request| !request.running);
        if let Some(key) = unrun.and_then(|request| request.key) {
            self.keys.release(&key, id);
        }
    }

    fn replay_result(&mut self, id: u32) {
        self.send(id, Event::Replay);
    }

    fn set_health(&mut self, is_healthy: bool, _is_cacheable: bool) {
        self.published.set_healthy(is_healthy);
        self.log.record_health(self.now, is_healthy);
    }

    fn set_load_signal(&mut self, signal: f64) {
        self.published.set_load_signal(signal);
        self.log.record_change(self.now, Topic::SIGNAL, signal);
    }

    fn set_keepalive(&mut self, timeout: f64) {
        *self.keepalive = timeout;
    }

    fn schedule_tick(&mut self, delay: f64) {
        *self.tick_at = self.now + delay;
    }

    fn record_limits(&mut self, runs: f64, calls: f64, pressure: f64) {
        self.log.record_limits(self.now, runs, calls, pressure);
    }

    fn log(&mut self, text: &str) {
        tracing::info!("policy: {text}");
    }
}
