//! The dispatcher's loop: rounds of the policy as input comes, ticks with gauges when the policy wants them, and
//! housekeeping ten times a second.

use super::{Dispatcher, State};
use crate::limits::Limits;
use crate::request::slots::RequestSlots;
use crate::runtime::alarm::Alarm;
use crate::runtime::clock::Clock;
use crate::runtime::summary::{Activity, AnswerSummary};
use crate::runtime::wait_queue::WaitQueue;
use crate::wire::agent::link::AgentLink;
use crate::wire::gateway::connections::Connections;
use crate::wire::store::StoreClient;
use may::coroutine;
use puffinladder::Gauges;
use std::sync::{Arc, MutexGuard};

/// The loop, and the parts of the server that it drives.
pub struct DispatchLoop {
    /// Whose rounds it runs.
    pub dispatcher: Arc<Dispatcher>,
    /// Asked for gauges before a tick.
    pub agent: Arc<AgentLink>,
    /// Told which calls are overdue.
    pub store: Arc<StoreClient>,
    /// Told which connections lie unused.
    pub connections: Arc<Connections>,
    /// Counted for the summary.
    pub slots: Arc<RequestSlots>,
    /// Writes the summary line.
    pub summary: Arc<AnswerSummary>,
    /// Woken with each housekeeping.
    pub housekeeping: Arc<WaitQueue>,
    /// Set to the next deadline.
    pub alarm: Arc<Alarm>,
    /// The process's clock.
    pub clock: Arc<Clock>,
    /// Times and counts.
    pub limits: Arc<Limits>,
}

impl DispatchLoop {
    /// Works for as long as the process lives.
    pub fn run(&self) {
        self.dispatcher.set_worker();
        loop {
            self.run_cycle();
            coroutine::park();
        }
    }

    fn run_cycle(&self) {
        let now = self.clock.now();
        self.store.wake_overdue(now);
        let mut state = self.dispatcher.state();
        if now >= state.housekeeping_at {
            state = self.keep_house(state, now);
        }
        let tick = self.next_tick(&mut state, now);
        if state.has_input || tick.is_some() {
            self.dispatcher.run_round(&mut state, now, tick);
        }
        self.alarm.set(state.tick_at.min(state.housekeeping_at) - now);
    }

    /// Looks at what is idle, stuck or due to be tried again; the state is unlocked meanwhile.
    fn keep_house<'a>(&'a self, mut state: MutexGuard<'a, State>, now: f64) -> MutexGuard<'a, State> {
        state.housekeeping_at = now + self.limits.housekeeping_interval.as_secs_f64();
        state.keys.expire(now);
        let keepalive = state.keepalive;
        drop(state);
        self.connections.close_idle(keepalive);
        self.agent.break_unmarked_since(now - self.limits.replay_timeout);
        self.summary.report(now, self.limits.summary_interval, || self.activity());
        self.housekeeping.wake_all();
        self.dispatcher.state()
    }

    fn activity(&self) -> Activity {
        Activity {
            in_flight: self.slots.in_use(),
            gateways: self.connections.count(),
            store_calls: self.store.open_connections(),
        }
    }

    /// The gauges of a tick that is due. A tick comes on time, with no gauges if the agent does not answer.
    fn next_tick(&self, state: &mut State, now: f64) -> Option<Gauges> {
        let due = now >= state.tick_at;
        if state.gauge_poll.pending.is_none() {
            if due {
                self.poll_gauges(state, now);
            }
            return None;
        }
        if state.gauge_poll.answer.is_none() && !due {
            return None;
        }
        state.gauge_poll.pending = None;
        state.tick_at = f64::MAX;
        Some(state.gauge_poll.answer.take().unwrap_or_default())
    }

    fn poll_gauges(&self, state: &mut State, now: f64) {
        let poll = &mut state.gauge_poll;
        poll.last_tag += 1;
        poll.pending = Some(poll.last_tag);
        state.tick_at = now + self.limits.gauge_timeout.as_secs_f64();
        self.agent.poll_gauges(state.gauge_poll.last_tag);
    }
}
