//! Deadlines: nothing in flight passes its own unanswered, whatever it is doing.

use super::in_flight::Stage;
use super::state::AdmissionPolicy;
use super::timing::MARGIN;
use crate::{Decisions, Reason};

impl AdmissionPolicy {
    /// Fails what is due, and has those that waited too long for a call go on without it.
    pub(super) fn answer_due(&mut self, now: f64, out: &mut impl Decisions) {
        for at in 0..self.requests.capacity() {
            let Some(request) = self.requests.get(at) else { continue };
            if request.answered || request.stage == Stage::Queued {
                continue;
            }
            if now >= request.deadline - MARGIN {
                self.fail_due(at, out);
            } else if self.has_waited_too_long_for_call(now, request) {
                self.running += 1;
                self.give_up_call(now, at, out);
            }
        }
    }

    fn fail_due(&mut self, at: usize, out: &mut impl Decisions) {
        let is_preemptible = self.is_preemptible();
        let request = &mut self.requests[at];
        out.fail(request.input.id, Reason::DeadlineReached);
        request.answered = true;
        if request.stage == Stage::Running && is_preemptible {
            out.preempt(request.input.id);
        } else if request.stage == Stage::Replaying {
            self.remove(at, out);
        }
    }
}
