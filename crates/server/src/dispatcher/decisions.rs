//! Carries out what the policy decides.

use super::published::PublishedState;
use crate::state::idempotency::IdempotencyKeys;
use crate::state::in_flight::InFlightRequests;
use crate::state::mailbox::Event;
use crate::state::request_log::RequestLog;
use puffinladder::{Decisions, Reason};
use puffinladder_trace::row::Topic;

/// Ends a request that never ran: its key is released, and its coroutine hears of it.
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

/// The duty to answer a request is over: its run goes on, and one that does not run is over with it.
pub(super) fn mark_answered(in_flight: &mut InFlightRequests, keys: &mut IdempotencyKeys, id: u32, now: f64) {
    match in_flight.get_mut(id) {
        Some(request) if request.running => drop(request.answered_at.get_or_insert(now)),
        Some(_) => remove_unrun(in_flight, keys, id, Event::Discarded),
        None => {}
    }
}

/// Turns the decisions of one round into events for the requests that they concern.
pub(super) struct DecisionHandler<'a> {
    /// Health and load signal.
    pub published: &'a PublishedState,
    /// Where decisions are recorded.
    pub log: &'a RequestLog,
    /// The requests in flight.
    pub in_flight: &'a mut InFlightRequests,
    /// The idempotency keys.
    pub keys: &'a mut IdempotencyKeys,
    /// The round's time, s.
    pub now: f64,
    /// When the policy wants its next tick, s.
    pub tick_at: &'a mut f64,
    /// How long gateways may keep an unused connection, s.
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

    fn reject(&mut self, id: u32, retry_after: f64, last: bool, reason: Reason) {
        remove_unrun(self.in_flight, self.keys, id, Event::Reject { retry_after, last, reason });
    }

    fn fail(&mut self, id: u32, reason: Reason) {
        self.send(id, Event::Fail(reason));
        mark_answered(self.in_flight, self.keys, id, self.now);
    }

    fn preempt(&mut self, id: u32) {
        self.send(id, Event::Pause);
    }

    fn allow_call(&mut self, id: u32, limit: f64) {
        self.send(id, Event::Call { limit });
    }

    fn skip_call(&mut self, id: u32) {
        self.send(id, Event::SkipCall);
    }

    fn remember_key(&mut self, id: u32, span: f64) {
        if let Some(key) = self.in_flight.get_mut(id).and_then(|request| request.key) {
            self.keys.extend(&key, id, self.now + span);
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

    fn set_health(&mut self, healthy: bool, _stored: bool) {
        self.published.set_healthy(healthy);
        self.log.record_health(self.now, healthy);
    }

    fn set_load_signal(&mut self, amount: f64) {
        self.published.set_load_signal(amount);
        self.log.record_change(self.now, Topic::SIGNAL, amount);
    }

    fn set_keepalive(&mut self, span: f64) {
        *self.keepalive = span;
    }

    fn schedule_tick(&mut self, after: f64) {
        *self.tick_at = self.now + after;
    }

    fn record_limits(&mut self, runs: f64, calls: f64, pressure: f64) {
        self.log.record_limits(self.now, runs, calls, pressure);
    }

    fn log(&mut self, text: &str) {
        tracing::info!("policy: {text}");
    }
}
