//! Runs in doubt: the connection to what runs them broke, and nothing tells whether they go on until they reach a call
//! or end.

use super::in_flight::{InFlight, Stage};
use super::state::AdmissionPolicy;

impl AdmissionPolicy {
    /// Marks a run as in doubt. It keeps its memory, but no longer counts as a run on the cores: it may stand still.
    pub(super) fn handle_run_in_doubt(&mut self, now: f64, id: u32) {
        let Some(&index) = self.index_by_id.get(&id) else { return };
        let request = &mut self.requests[index];
        if request.stage == Stage::Running {
            request.stage = Stage::InDoubt;
            request.in_doubt_since = now;
        }
    }

    /// Returns whether a run in doubt must be given up: its latency objective has passed, and so has the time after
    /// which a run that goes on would normally have ended.
    pub(super) fn is_doubt_exceeded(&self, now: f64, request: &InFlight) -> bool {
        let class = &self.classes[request.input.class];
        let run_time = class.run_time.max(class.expected_run_time())
            * self.hint_regression.relative_work(request.relative_hint);
        request.stage == Stage::InDoubt
            && now >= request.arrived + request.objective
            && now >= request.in_doubt_since + run_time
    }
}
