//! Dispatcher loop: runs policy rounds on input, ticks with gauges when the policy requests them, and periodic
//! housekeeping.

use crate::dispatcher::{CycleHooks, CycleTimes, Dispatcher};
use crate::limits::Limits;
use crate::runtime::alarm::Alarm;
use crate::runtime::clock;
use crate::runtime::request_slots::RequestSlots;
use crate::runtime::summary::{Activity, AnswerSummary};
use crate::runtime::wait_queue::WaitQueue;
use crate::wire::agent::link::AgentLink;
use crate::wire::gateway::connections::Connections;
use crate::wire::store::StoreClient;
use may::coroutine;
use std::sync::Arc;

/// Dispatcher loop and the components it drives.
pub struct DispatchLoop {
    /// Runs policy rounds.
    pub dispatcher: Arc<Dispatcher>,
    /// Polled for gauges before a tick.
    pub agent: Arc<AgentLink>,
    /// Woken for overdue calls.
    pub store: Arc<StoreClient>,
    /// Checked for idle connections.
    pub connections: Arc<Connections>,
    /// Provides the number of requests in flight for the summary.
    pub slots: Arc<RequestSlots>,
    /// Logs the summary line.
    pub summary: Arc<AnswerSummary>,
    /// Woken in each housekeeping cycle.
    pub housekeeping: Arc<WaitQueue>,
    /// Set to the dispatcher's next deadline.
    pub alarm: Arc<Alarm>,
    pub limits: Arc<Limits>,
}

impl DispatchLoop {
    /// Runs the loop until the process exits.
    pub fn run(&self) {
        let times = CycleTimes {
            housekeeping_interval: self.limits.housekeeping_interval.as_secs_f64(),
            gauge_timeout: self.limits.gauge_timeout.as_secs_f64(),
        };
        self.dispatcher.set_worker();
        loop {
            let now = clock::now();
            self.store.wake_overdue(now);
            self.dispatcher.run_cycle(now, times, self);
            coroutine::park();
        }
    }

    fn activity(&self) -> Activity {
        Activity {
            in_flight: self.slots.in_use(),
            gateways: self.connections.count(),
            store_connections: self.store.open_connections(),
        }
    }
}

impl CycleHooks for DispatchLoop {
    fn run_housekeeping(&self, now: f64, keepalive: f64) {
        self.connections.close_idle(keepalive);
        self.agent.break_stalled_replay(now - self.limits.replay_timeout);
        self.summary.report(now, self.limits.summary_interval, || self.activity());
        self.housekeeping.wake_all();
    }

    fn poll_gauges(&self) -> u64 {
        self.agent.poll_gauges()
    }

    fn set_alarm(&self, delay: f64) {
        self.alarm.set(delay);
    }
}
