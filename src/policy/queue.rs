//! Request queue: priorities, wait thresholds, and assignment of run slots.

use super::in_flight::{InFlight, Stage};
use super::state::AdmissionPolicy;
use super::timing::DEADLINE_MARGIN_S;
use crate::{Decisions, Reason};
use std::cmp::Ordering;

/// Wait threshold of a retry, as a fraction of the timeout; most of its caller's time has passed. The paper
/// behind the mechanism waits 10 of 250 ms.
const RETRY_WAIT_THRESHOLD_FRACTION: f64 = 0.04;
/// Factor on the weight of a retry, since part of its latency objective passed before it arrived.
const RETRY_WEIGHT_FACTOR: f64 = 0.3;

/// Priority among queued requests and among those that wait for a call: higher weight first, then older.
#[derive(Clone, Copy)]
pub(super) struct QueuePriority {
    weight: f64,
    negated_arrival: f64,
}

impl QueuePriority {
    /// Compares two priorities; the greater one goes first.
    pub fn compare(self, other: QueuePriority) -> Ordering {
        let by_weight = self.weight.total_cmp(&other.weight);
        by_weight.then(self.negated_arrival.total_cmp(&other.negated_arrival))
    }
}

impl AdmissionPolicy {
    /// Returns the priority of a request.
    pub(super) fn priority(&self, index: usize) -> QueuePriority {
        let request = &self.requests[index];
        QueuePriority { weight: self.weight_per_work(request), negated_arrival: -request.arrived }
    }

    /// Returns the priority weight of a request per unit of work.
    fn weight_per_work(&self, request: &InFlight) -> f64 {
        let class = &self.classes[request.input.class];
        let quota_factor = if request.over_quota { self.settings.over_quota_fraction } else { 1.0 };
        let work = if self.settings.weight_per_work || class.run_time == 0.0 {
            1.0
        } else {
            class.run_time * self.hint_regression.relative_work(request.relative_hint)
        };
        let retry_factor = if request.input.is_retry { RETRY_WEIGHT_FACTOR } else { 1.0 };
        class.settings.priority_weight * quota_factor * retry_factor / work
    }

    /// Returns why a queued request must not run, by its wait and its remaining time. `contended` means
    /// that another request is queued for the slot.
    fn rejection_reason(&self, now: f64, request: &InFlight, contended: bool) -> Option<Reason> {
        let class = &self.classes[request.input.class];
        let due = request.deadline - DEADLINE_MARGIN_S;
        // A late answer still has a value while no other request needs the slot.
        let end_by = if !contended { due } else { due.min(request.arrived + request.objective) };
        let end_by = self.abandonment.age_limit().map_or(end_by, |age| end_by.min(request.arrived + age));
        let run_time = class.run_time.max(class.base_run_time * self.slowdown.open_run_ratio());
        let expected_time =
            run_time * self.hint_regression.relative_work(request.relative_hint) + class.call_time;
        if now + expected_time > end_by {
            return Some(Reason::InsufficientTime);
        }
        let threshold = if request.input.is_retry {
            RETRY_WAIT_THRESHOLD_FRACTION * class.settings.timeout
        } else {
            class.wait_threshold
        };
        (now - request.arrived > threshold).then_some(Reason::WaitedTooLong)
    }

    /// Fills free run slots with the requests of highest priority that pass their wait threshold check.
    pub(super) fn start_runs(&mut self, now: f64, decisions: &mut impl Decisions) {
        let slots = self.concurrency_limit.slots(self.warm_up.sustainable_concurrency(now));
        let max_runs = self.warm_up.in_flight_limit(now).floor();
        while self.running < slots
            && self.concurrency_headroom(now) > 0.0
            && (self.memory.runs() as f64) < max_runs
        {
            let priorities = self.queue.iter().map(|index| self.priority(*index)).enumerate();
            let Some((position, _)) = priorities.rev().max_by(|a, b| a.1.compare(b.1)) else { return };
            let index = self.queue[position];
            let request = &self.requests[index];
            if let Some(reason) = self.rejection_reason(now, request, self.queue.len() > 1) {
                self.reject(index, reason, decisions);
                continue;
            }
            if self.memory.is_too_full_to_run(request) {
                if self.memory.has_runs() {
                    return;
                }
                // Only the queue itself can make room.
                self.reject_lowest_priority(Reason::MemoryPressure, decisions);
                continue;
            }
            self.queue.swap_remove(position);
            self.start_run(now, index, decisions);
        }
    }

    fn start_run(&mut self, now: f64, index: usize, decisions: &mut impl Decisions) {
        let request = &mut self.requests[index];
        request.stage = Stage::Running;
        request.run_started_at = now;
        self.memory.start_run(request);
        self.running += 1;
        decisions.run(request.input.id);
    }

    /// Rejects queued requests past their threshold or without enough time left, and records waits as
    /// pressure. Runs between free slots too, so that what is given up is answered at once.
    pub(super) fn reject_overdue(&mut self, now: f64, decisions: &mut impl Decisions) {
        for position in (0..self.queue.len()).rev() {
            let index = self.queue[position];
            let request = &self.requests[index];
            let counts_for_pressure = !request.input.is_retry && !request.over_quota;
            let waited = if counts_for_pressure { now - request.arrived } else { 0.0 };
            self.pressure.record_wait(waited / self.classes[request.input.class].wait_threshold);
            if let Some(reason) = self.rejection_reason(now, request, true) {
                self.reject(index, reason, decisions);
            }
        }
    }

    /// Rejects queued requests of lowest priority until memory and in-flight requests are within their
    /// limits.
    pub(super) fn shed_queue(&mut self, now: f64, decisions: &mut impl Decisions) {
        let mut shed_for_warm_up = false;
        loop {
            let is_over_memory = self.memory.is_over();
            let is_over_in_flight_limit = self.in_flight_headroom(now) < 0.0;
            if !is_over_memory && !is_over_in_flight_limit {
                break;
            }
            let reason = if is_over_memory { Reason::MemoryPressure } else { Reason::WarmingUp };
            if !self.reject_lowest_priority(reason, decisions) {
                break;
            }
            shed_for_warm_up |= !is_over_memory;
        }
        if shed_for_warm_up {
            // The rejected callers must receive the present signal, not that of the last control step.
            self.send_signal(now, 1.0, decisions);
        }
    }

    /// Rejects the queued request of lowest priority. Returns whether there was one.
    fn reject_lowest_priority(&mut self, reason: Reason, decisions: &mut impl Decisions) -> bool {
        let priorities = self.queue.iter().map(|&index| (index, self.priority(index)));
        let lowest = priorities.min_by(|a, b| a.1.compare(b.1));
        if let Some((index, _)) = lowest {
            self.reject(index, reason, decisions);
        }
        lowest.is_some()
    }
}
