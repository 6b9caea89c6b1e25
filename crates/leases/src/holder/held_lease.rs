//! What a holder keeps of one lease.

use crate::Epoch;

/// A lease that is held.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct HeldLease {
    pub(super) epoch: Epoch,
    /// Revoked: valid until then at the latest, whatever later responses allow.
    pub(super) revoked_until: Option<f64>,
    /// A step is running.
    pub(super) step_running: bool,
    pub(super) steps_done: u64,
    pub(super) has_work: bool,
    progress_report: ProgressReport,
}

/// Whether the progress of a lease has to be reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProgressReport {
    /// The lease store has the latest.
    Acknowledged,
    /// It goes into the next request.
    Due,
    /// It goes into every request until the one of this serial number is answered.
    Pending { serial: u64 },
}

impl HeldLease {
    pub(super) fn new(epoch: Epoch) -> HeldLease {
        HeldLease {
            epoch,
            revoked_until: None,
            step_running: false,
            steps_done: 0,
            has_work: false,
            progress_report: ProgressReport::Acknowledged,
        }
    }

    /// A step is over; `progress` says whether it got anything done.
    pub(super) fn finish_step(&mut self, progress: bool, has_work: bool) {
        self.step_running = false;
        self.steps_done += u64::from(progress);
        if progress || has_work != self.has_work {
            self.progress_report = ProgressReport::Due;
        }
        self.has_work = has_work;
    }

    /// Whether the progress goes into the request of this serial number.
    pub(super) fn report_progress_with(&mut self, serial: u64) -> bool {
        if self.progress_report == ProgressReport::Due {
            self.progress_report = ProgressReport::Pending { serial };
        }
        self.progress_report != ProgressReport::Acknowledged
    }

    /// The request of the serial number `answered` arrived with all the progress in it.
    pub(super) fn acknowledge_progress(&mut self, answered: u64) {
        if matches!(self.progress_report, ProgressReport::Pending { serial } if serial <= answered) {
            self.progress_report = ProgressReport::Acknowledged;
        }
    }
}
