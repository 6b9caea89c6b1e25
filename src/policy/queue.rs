//! The queue: its order, the wait thresholds, and which request takes a freed slot.

use super::in_flight::{InFlight, Stage};
use super::state::AdmissionPolicy;
use super::timing::MARGIN;
use crate::{Decisions, Reason};
use std::cmp::Ordering;

/// Share of the timeout that a retry may wait for a slot, the source's 10 of 250 ms: its time is mostly gone.
const WAIT_SHARE_RETRY: f64 = 0.04;
/// Share of its weight at which a retry is queued: its latency objective began unseen.
const RETRY_WEIGHT: f64 = 0.3;

/// Place in the queue, and among those that wait for a call: higher weight first, then the older.
#[derive(Clone, Copy)]
pub(super) struct Rank {
    weight: f64,
    negated_arrival: f64,
}

impl Rank {
    /// The greater goes first.
    pub fn compare(self, other: Rank) -> Ordering {
        let by_weight = self.weight.total_cmp(&other.weight);
        by_weight.then(self.negated_arrival.total_cmp(&other.negated_arrival))
    }
}

impl AdmissionPolicy {
    /// Where a request stands in the order.
    pub(super) fn rank(&self, at: usize) -> Rank {
        let request = &self.requests[at];
        Rank { weight: self.weight_per_work(request), negated_arrival: -request.arrived }
    }

    /// Priority weight of a queued request for each unit of work.
    fn weight_per_work(&self, request: &InFlight) -> f64 {
        let class = &self.classes[request.input.class];
        let quota = if request.over_quota { self.settings.over_quota_fraction } else { 1.0 };
        let work = if self.settings.weight_per_work || class.run_time == 0.0 {
            1.0
        } else {
            class.run_time * self.hints.relative_work(request.relative_hint)
        };
        let attempt = if request.input.is_retry { RETRY_WEIGHT } else { 1.0 };
        class.settings.priority_weight * quota * attempt / work
    }

    /// The mechanism: why a queued request is not to run, judged by how long it waited. `contended` says that
    /// another request wants the slot.
    fn judge(&self, now: f64, request: &InFlight, contended: bool) -> Option<Reason> {
        let class = &self.classes[request.input.class];
        let last = request.deadline - MARGIN;
        // A late answer is worth something to its caller while no one else wants the slot.
        let limit = if !contended { last } else { last.min(request.arrived + request.objective) };
        // Guards against callers that give up early, unannounced.
        let limit = self.patience.limit().map_or(limit, |age| limit.min(request.arrived + age));
        let run_time = class.run_time.max(class.base_run_time * self.slowdown.by_open_runs());
        let needed = run_time * self.hints.relative_work(request.relative_hint) + class.call_time;
        if now + needed > limit {
            return Some(Reason::InsufficientTime);
        }
        let threshold = if request.input.is_retry {
            WAIT_SHARE_RETRY * class.settings.timeout
        } else {
            class.wait_threshold
        };
        (now - request.arrived > threshold).then_some(Reason::WaitedTooLong)
    }

    /// Gives freed slots to the best of those that have not waited too long.
    pub(super) fn start_runs(&mut self, now: f64, out: &mut impl Decisions) {
        let limit = self.limit.slots(self.warm_up.crowd(now));
        while self.running < limit && self.crowd_room(now) > 0.0 {
            let ranks = self.queue.iter().map(|at| self.rank(*at)).enumerate();
            let Some((place, _)) = ranks.rev().max_by(|a, b| a.1.compare(b.1)) else { return };
            let at = self.queue[place];
            let request = &self.requests[at];
            if let Some(reason) = self.judge(now, request, self.queue.len() > 1) {
                self.reject(at, reason, out);
                continue;
            }
            if self.memory.is_too_full_to_run(request) && self.running + self.calling > 0 {
                return;
            }
            self.queue.swap_remove(place);
            self.start_run(now, at, out);
        }
    }

    fn start_run(&mut self, now: f64, at: usize, out: &mut impl Decisions) {
        let request = &mut self.requests[at];
        request.stage = Stage::Running;
        request.run_began = now;
        self.memory.start_run(request);
        self.running += 1;
        out.run(request.input.id);
    }

    /// Judges the queue between slots too, so that what is given up is answered at once.
    pub(super) fn judge_queue(&mut self, now: f64, out: &mut impl Decisions) {
        for place in (0..self.queue.len()).rev() {
            let at = self.queue[place];
            let request = &self.requests[at];
            let counts = !request.input.is_retry && !request.over_quota;
            let waited = if counts { now - request.arrived } else { 0.0 };
            self.pressure.learn_wait(waited / self.classes[request.input.class].wait_threshold);
            if let Some(reason) = self.judge(now, request, true) {
                self.reject(at, reason, out);
            }
        }
    }

    /// Keeps queued memory under the machine's, and what a cold server has in flight within its ramp, lowest
    /// rank first.
    pub(super) fn cut_queue(&mut self, now: f64, out: &mut impl Decisions) {
        let mut was_cut_for_ramp = false;
        loop {
            let over_memory = self.memory.is_over();
            let over_ramp = self.ramp_left(now) < 0.0;
            if !over_memory && !over_ramp {
                break;
            }
            let ranks = self.queue.iter().map(|&at| (at, self.rank(at)));
            let Some((at, _)) = ranks.min_by(|a, b| a.1.compare(b.1)) else { break };
            let reason = if over_memory { Reason::MemoryPressure } else { Reason::WarmingUp };
            self.reject(at, reason, out);
            was_cut_for_ramp |= !over_memory;
        }
        if was_cut_for_ramp {
            self.send_signal(now, 1.0, out); // the rejected hear it, not what was sent a step ago
        }
    }
}
