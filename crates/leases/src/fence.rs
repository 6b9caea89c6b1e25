//! The check where an effect is stored. A fence keeps the highest epoch that it has seen of each task and the number of
//! the last effect under it. It belongs into the same store as the effects, and [`Fence::check_and_record`] into the
//! same transaction as the effect, so that no check outlives the state that it was made on.

use crate::{Epoch, Task};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// What a fence has seen of one task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FenceRecord {
    /// The highest epoch.
    pub epoch: Epoch,
    /// The number of the last effect under that epoch: the first has 1; 0 if there was none.
    pub number: u64,
}

/// What becomes of an effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// It is to be applied now, together with what [`Fence::check_and_record`] recorded.
    New,
    /// It was applied before under this epoch; its holder missed the response.
    #[serde(rename = "Repeat")]
    Duplicate,
    /// A later holder has announced itself or stored an effect.
    #[serde(rename = "Late")]
    Stale {
        /// The epoch of that holder.
        #[serde(rename = "seen")]
        latest: Epoch,
    },
    /// An earlier effect is missing: applied out of order, a holder that dies would leave a hole.
    Gap {
        /// The number that would be accepted.
        expected: u64,
    },
}

impl Verdict {
    /// Whether the effect is applied, now or before, so that its holder may go on.
    pub fn is_applied(self) -> bool {
        matches!(self, Verdict::New | Verdict::Duplicate)
    }
}

/// The highest epoch and last effect of each task at one store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fence {
    #[serde(rename = "seen")]
    records: BTreeMap<Task, FenceRecord>,
}

impl Fence {
    /// A fence from stored records; of two records of a task the higher counts.
    pub fn from_records(stored: impl IntoIterator<Item = (Task, FenceRecord)>) -> Fence {
        let mut fence = Fence::default();
        for (task, record) in stored {
            let known = fence.records.entry(task).or_default();
            if (record.epoch, record.number) > (known.epoch, known.number) {
                *known = record;
            }
        }
        fence
    }

    /// The record of a task; all zero if it was never seen.
    pub fn record(&self, task: &Task) -> FenceRecord {
        self.records.get(task).copied().unwrap_or_default()
    }

    /// All records, in the order of the tasks.
    pub fn records(&self) -> impl Iterator<Item = (&Task, &FenceRecord)> {
        self.records.iter()
    }

    /// Checks an effect without recording it; for inspection only, since another effect may come between a check and
    /// the effect.
    pub fn check(&self, task: &Task, epoch: Epoch, number: u64) -> Verdict {
        let record = self.record(task);
        if epoch < record.epoch || epoch == 0 {
            return Verdict::Stale { latest: record.epoch };
        }
        let last = if epoch > record.epoch { 0 } else { record.number };
        match number {
            0 => Verdict::Gap { expected: last + 1 },
            _ if number <= last => Verdict::Duplicate,
            _ if number == last + 1 => Verdict::New,
            _ => Verdict::Gap { expected: last + 1 },
        }
    }

    /// Checks an effect and records it if it is new. The record must become durable together with the effect or not
    /// at all.
    pub fn check_and_record(&mut self, task: &Task, epoch: Epoch, number: u64) -> Verdict {
        let verdict = self.check(task, epoch, number);
        if verdict == Verdict::New {
            self.records.insert(task.clone(), FenceRecord { epoch, number });
        }
        verdict
    }

    /// Records what is durable already.
    pub fn insert(&mut self, task: &Task, record: FenceRecord) {
        self.records.insert(task.clone(), record);
    }

    /// A fence that knows this one task only, to find out what would become of an effect.
    pub fn restricted_to(&self, task: &Task) -> Fence {
        Fence::from_records([(task.clone(), self.record(task))])
    }

    /// A new holder announces its epoch before its first effect, so that no effect of a former holder is accepted from
    /// here on. The verdict says whether it may begin.
    pub fn announce(&mut self, task: &Task, epoch: Epoch) -> Verdict {
        let record = self.record(task);
        if epoch == 0 || epoch < record.epoch {
            return Verdict::Stale { latest: record.epoch };
        }
        if epoch == record.epoch {
            return Verdict::Duplicate;
        }
        self.records.insert(task.clone(), FenceRecord { epoch, number: 0 });
        Verdict::New
    }
}
