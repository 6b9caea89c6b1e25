//! Deadlines: answers requests that have left the queue before their deadline, or when memory runs out. Queued
//! ones are rejected in `queue`.

use super::in_flight::{InFlight, Stage};
use super::state::AdmissionPolicy;
use super::timing::DEADLINE_MARGIN_S;
use crate::{Decisions, Reason};

impl AdmissionPolicy {
    /// Fails requests that are due or whose run is in doubt for too long, and resumes those that have waited too long for a downstream call.
    pub(super) fn handle_due_requests(&mut self, now: f64, decisions: &mut impl Decisions) {
        for index in 0..self.requests.capacity() {
            let Some(request) = self.requests.get(index) else { continue };
            if request.answered || request.stage == Stage::Queued {
                continue;
            }
            if now >= request.deadline - DEADLINE_MARGIN_S {
                self.fail_out_of_queue(index, Reason::DeadlineReached, decisions);
            } else if self.is_doubt_exceeded(now, request) {
                self.fail_out_of_queue(index, Reason::RunInDoubt, decisions);
            } else if self.is_call_wait_exceeded(now, request) {
                self.running += 1;
                self.give_up_call(now, index, decisions);
            }
        }
    }

    /// Fails a request that has left the queue, and preempts its run if possible.
    fn fail_out_of_queue(&mut self, index: usize, reason: Reason, decisions: &mut impl Decisions) {
        let is_preemptible = self.is_preemptible();
        let request = &mut self.requests[index];
        decisions.fail(request.input.id, reason);
        request.answered = true;
        if request.stage == Stage::Running && is_preemptible {
            decisions.preempt(request.input.id);
        } else if request.stage == Stage::Replaying {
            self.remove(index, decisions);
        }
    }

    /// Fails waiting requests, lowest priority first, while they take memory that arrivals need: runs that wait
    /// for a call, and retries that wait for the result of an earlier attempt if the memory runs out.
    pub(super) fn shed_waiting_requests(&mut self, decisions: &mut impl Decisions) {
        loop {
            let includes_retries = self.memory.is_nearly_exhausted();
            if !includes_retries && !self.memory.do_runs_exceed_limit() {
                return;
            }
            let waits = |request: &InFlight| match request.stage {
                Stage::AwaitingCall => !request.answered,
                Stage::Replaying => includes_retries,
                _ => false,
            };
            let waiting = self.requests.iter().filter(|(_, request)| waits(request));
            let priorities = waiting.map(|(index, _)| (index, self.priority(index)));
            let Some((index, _)) = priorities.min_by(|a, b| a.1.compare(b.1)) else { return };
            self.memory.expect_end(&self.requests[index]);
            self.fail_out_of_queue(index, Reason::MemoryPressure, decisions);
        }
    }
}
