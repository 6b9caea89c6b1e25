//! Log of requests and server state, for the trace and for reports to the control service.

use super::counters::Counters;
use super::received_request::ReceivedRequest;
use crate::runtime::clock::{self, seconds_since};
use crate::runtime::lock::lock;
use puffinladder::Gauges;
use puffinladder_settings::PolicyConfig;
use puffinladder_trace::recorder::rotation::ChangeFilter;
use puffinladder_trace::recorder::{Recorder, RequestRecord};
use puffinladder_trace::row::{Step, Topic};
use std::sync::{Arc, Mutex};

/// Minimum interval between recorded changes of a policy value, s.
const MIN_DECISION_INTERVAL_S: f64 = 0.1;
/// Minimum interval between recorded changes of a gauge, s.
const MIN_GAUGE_INTERVAL_S: f64 = 1.0;

/// Recorder of requests for the trace and the control service. Does nothing if neither is configured.
#[derive(Default)]
pub struct RequestLog {
    trace: Option<TraceLog>,
    counters: Option<Arc<Counters>>,
}

struct TraceLog {
    recorder: Recorder,
    changes: Mutex<ChangeFilter>,
}

impl RequestLog {
    /// Returns a log that writes to the recorder and the counters, where given.
    pub fn new(recorder: Option<Recorder>, counters: Option<Arc<Counters>>) -> RequestLog {
        let trace = recorder.map(|recorder| TraceLog { recorder, changes: Mutex::default() });
        RequestLog { trace, counters }
    }

    /// Returns the counters for the control service, if it is configured.
    pub fn counters(&self) -> Option<&Arc<Counters>> {
        self.counters.as_ref()
    }

    /// Opens the entry of a request that was just decoded.
    pub fn open<'a>(&'a self, received: &ReceivedRequest, policy: &PolicyConfig) -> RequestEntry<'a> {
        if self.trace.is_none() && self.counters.is_none() {
            return RequestEntry::default();
        }
        let (request, now, time_unread) =
            (&received.request, clock::now(), seconds_since(received.timestamp));
        let class = &policy.settings.classes[request.class];
        let objective_deadline =
            now - time_unread + class.latency_objective + class.objective_stretch * request.cost_hint;
        let counted = self.counters.as_deref().map(|counters| {
            let cell = counters.count_received(request.class, request.tenant);
            CountedRequest { counters, cell }
        });
        let Some(trace) = &self.trace else {
            return RequestEntry { recorded: None, counted, objective_deadline };
        };
        let mut entry = RequestRecord::new(now, received.attempt);
        entry.unread = time_unread;
        entry.product = request.class as u16;
        entry.customer = request.tenant as u32;
        (entry.caller, entry.rank, entry.hint) = (request.caller, request.rank, request.cost_hint);
        (entry.memory, entry.repeat, entry.key) = (request.memory, request.is_retry, received.key);
        let recorded = Some(RecordedRequest { recorder: &trace.recorder, entry });
        RequestEntry { recorded, counted, objective_deadline }
    }

    /// Records a value of `topic` in the trace.
    pub fn record_value(&self, now: f64, topic: Topic, value: f64) {
        if let Some(trace) = &self.trace {
            trace.recorder.record_note(now, topic, value);
        }
    }

    /// Records the start of a drain after which the process is killed at `kill_time` (s).
    pub fn record_drain(&self, now: f64, kill_time: f64) {
        self.record_value(now, Topic::LEAVE, kill_time - now);
        if let Some(counters) = &self.counters {
            counters.set_kill_time(kill_time);
        }
    }

    /// Records the health of this server as decided by the policy.
    pub fn record_health(&self, now: f64, healthy: bool) {
        self.record_change(now, Topic::HEALTH, f64::from(u8::from(healthy)));
        if let Some(counters) = &self.counters {
            counters.set_health(healthy);
        }
    }

    /// Records the limits on concurrent runs and calls, and the pressure of the policy.
    pub fn record_limits(&self, now: f64, runs: f64, calls: f64, pressure: f64) {
        self.record_change(now, Topic::LIMIT, runs);
        self.record_change(now, Topic::CALLS, calls);
        if let Some(counters) = &self.counters {
            counters.set_limits(runs, pressure);
        }
    }

    /// Records a policy value in the trace if it changed.
    pub fn record_change(&self, now: f64, topic: Topic, value: f64) {
        self.record_change_spaced(now, topic, value, MIN_DECISION_INTERVAL_S);
    }

    fn record_change_spaced(&self, now: f64, topic: Topic, value: f64, min_interval: f64) {
        if let Some(trace) = &self.trace {
            if lock(&trace.changes).accept(now, topic.0, value, min_interval) {
                trace.recorder.record_note(now, topic, value);
            }
        }
    }

    /// Records the gauges that changed.
    pub fn record_gauges(&self, gauges: &Gauges) {
        if self.trace.is_none() {
            return;
        }
        let gauge_values = [
            (Topic::BUSY, gauges.busy),
            (Topic::RUNNABLE, gauges.runnable),
            (Topic::MEMORY, gauges.memory),
            (Topic::SOCKETS, gauges.sockets),
        ];
        for (topic, value) in gauge_values {
            if let Some(value) = value {
                self.record_change_spaced(clock::now(), topic, value, MIN_GAUGE_INTERVAL_S);
            }
        }
    }
}

/// Log entry of one request. It is written to the recorder when dropped.
#[derive(Default)]
pub struct RequestEntry<'a> {
    recorded: Option<RecordedRequest<'a>>,
    counted: Option<CountedRequest<'a>>,
    /// Deadline of the latency objective, Unix time in s.
    objective_deadline: f64,
}

struct RecordedRequest<'a> {
    recorder: &'a Recorder,
    entry: RequestRecord,
}

struct CountedRequest<'a> {
    counters: &'a Counters,
    cell: usize,
}

impl RequestEntry<'_> {
    /// Records a step of the request.
    pub fn record(&mut self, step: Step) {
        if let Some(recorded) = &mut self.recorded {
            recorded.entry.add_step(clock::now(), step);
        }
        if let Some(counted) = &self.counted {
            counted.counters.count_step(counted.cell, step);
        }
    }

    /// Returns the step of a completion now: within the latency objective or late.
    pub fn completion_step(&self) -> Step {
        let is_observed = self.recorded.is_some() || self.counted.is_some();
        if is_observed && clock::now() > self.objective_deadline {
            Step::SETTLED_LATE
        } else {
            Step::SETTLED
        }
    }

    /// Records the Retry-After (s) of a rejection, and whether it asks the gateway not to try another server.
    pub fn record_retry_after(&mut self, retry_after: f64, do_not_forward: bool) {
        if let Some(recorded) = &mut self.recorded {
            (recorded.entry.keep_off, recorded.entry.last) = (retry_after, do_not_forward);
        }
        if let (Some(counted), true) = (&self.counted, retry_after > 0.0) {
            counted.counters.set_retry_after(retry_after);
        }
    }

    /// Records a completed run that took `duration` seconds.
    pub fn record_run(&self, duration: f64) {
        if let Some(counted) = &self.counted {
            counted.counters.count_run(duration);
        }
    }
}

impl Drop for RequestEntry<'_> {
    fn drop(&mut self) {
        if let Some(recorded) = &self.recorded {
            recorded.recorder.record_request(&recorded.entry);
        }
    }
}
