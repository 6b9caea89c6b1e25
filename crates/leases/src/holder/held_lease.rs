//! A holder's state of one lease.

use crate::Epoch;

/// A lease that is held.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct HeldLease {
    pub(super) epoch: Epoch,
    /// Latest end of a revoked lease, which later responses do not extend.
    pub(super) revoked_until: Option<f64>,
    pub(super) step_running: bool,
    pub(super) steps_done: u64,
    pub(super) has_work: bool,
    progress_report: ProgressReport,
}

/// Whether the progress of a lease must be reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProgressReport {
    /// The lease store has the latest progress.
    Acknowledged,
    /// The next request must contain it.
    Due,
    /// Every request contains it until the one of this serial number is answered.
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

    /// Ends a step; `progress` is whether it made progress.
    pub(super) fn finish_step(&mut self, progress: bool, has_work: bool) {
        self.step_running = false;
        self.steps_done += u64::from(progress);
        if progress || has_work != self.has_work {
            self.progress_report = ProgressReport::Due;
        }
        self.has_work = has_work;
    }

    /// Returns whether the request of this serial number must contain the progress.
    pub(super) fn report_progress_with(&mut self, serial: u64) -> bool {
        if self.progress_report == ProgressReport::Due {
            self.progress_report = ProgressReport::Pending { serial };
        }
        self.progress_report != ProgressReport::Acknowledged
    }

    /// Marks progress reported up to the request of the serial number `answered` as acknowledged.
    pub(super) fn acknowledge_progress(&mut self, answered: u64) {
        if matches!(self.progress_report, ProgressReport::Pending { serial } if serial <= answered) {
            self.progress_report = ProgressReport::Acknowledged;
        }
    }
}
