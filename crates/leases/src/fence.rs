//! Fencing of effects. A fence keeps the highest epoch of each task and the number of the last effect under it. It must
//! be stored with the effects, and [`Fence::check_and_record`] must be called in the transaction that stores the
//! effect.

use crate::{Epoch, Task};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// The highest epoch and last effect of a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FenceRecord {
    /// The highest epoch.
    pub epoch: Epoch,
    /// The number of the last effect under that epoch, from 1; 0 if there was none.
    pub number: u64,
}

/// The result of checking an effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The effect must be applied, together with the record that [`Fence::check_and_record`] changed.
    New,
    /// The effect was applied before under this epoch; its holder missed the response.
    #[serde(rename = "Repeat")]
    Duplicate,
    /// A holder with a later epoch has announced itself or stored an effect.
    #[serde(rename = "Late")]
    Stale {
        /// The epoch of that holder.
        #[serde(rename = "seen")]
        latest: Epoch,
    },
    /// An earlier effect is missing. Effects are applied in order, so that a crashed holder leaves no gap.
    Gap {
        /// The number that would be accepted.
        expected: u64,
    },
}

impl Verdict {
    /// Returns whether the effect is applied, now or before, so that its holder may continue.
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
    /// Creates a fence from stored records; the higher of two records of a task takes effect.
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

    /// Returns the record of a task; all zero if there is none.
    pub fn record(&self, task: &Task) -> FenceRecord {
        self.records.get(task).copied().unwrap_or_default()
    }

    /// Returns all records, ordered by task.
    pub fn records(&self) -> impl Iterator<Item = (&Task, &FenceRecord)> {
        self.records.iter()
    }

    /// Checks an effect without recording it. For inspection only: the record may change before the effect is stored.
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

    /// Checks an effect and records it if it is new. The record and the effect must become durable atomically.
    pub fn check_and_record(&mut self, task: &Task, epoch: Epoch, number: u64) -> Verdict {
        let verdict = self.check(task, epoch, number);
        if verdict == Verdict::New {
            self.records.insert(task.clone(), FenceRecord { epoch, number });
        }
        verdict
    }

    /// Sets the record of a task, which must be durable already.
    pub fn insert(&mut self, task: &Task, record: FenceRecord) {
        self.records.insert(task.clone(), record);
    }

    /// Returns a copy with the record of one task only, to check effects in advance.
    pub fn restricted_to(&self, task: &Task) -> Fence {
        Fence::from_records([(task.clone(), self.record(task))])
    }

    /// Records the epoch of a new holder before its first effect, so that effects of former holders are rejected from
    /// then on. The holder may start if the verdict is [`Verdict::is_applied`].
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
