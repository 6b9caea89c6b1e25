//! Where an effect lands. A fence keeps the highest epoch that it has seen of each duty and the number of the last effect
//! under it; it belongs into the same store as the effects, and [`Fence::take`] into the same transaction as the
//! effect, so that no check outlives what it was made for.

use crate::{Duty, Epoch};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What was seen of one duty.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seen {
    pub epoch: Epoch,
    /// Of the last effect under that epoch; the first has 1, none has 0.
    pub number: u64,
}

/// What becomes of an effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// It is to be done now, together with what [`Fence::take`] noted.
    New,
    /// It was done before under this epoch; its owner missed the answer.
    Repeat,
    /// A later owner has been here, or was announced.
    Late { seen: Epoch },
    /// One before it is missing: done out of order, an owner that dies would leave a hole.
    Gap { expected: u64 },
}

impl Verdict {
    /// Whether its owner may go on: what it asked for stands.
    pub fn stands(self) -> bool {
        matches!(self, Verdict::New | Verdict::Repeat)
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fence {
    seen: BTreeMap<Duty, Seen>,
}

impl Fence {
    /// A fence that was kept somewhere; of a duty named twice the higher counts.
    pub fn restore(kept: impl IntoIterator<Item = (Duty, Seen)>) -> Fence {
        let mut fence = Fence::default();
        for (duty, seen) in kept {
            let known = fence.seen.entry(duty).or_default();
            if (seen.epoch, seen.number) > (known.epoch, known.number) {
                *known = seen;
            }
        }
        fence
    }

    pub fn seen(&self, duty: &Duty) -> Seen {
        self.seen.get(duty).copied().unwrap_or_default()
    }

    pub fn all(&self) -> impl Iterator<Item = (&Duty, &Seen)> {
        self.seen.iter()
    }

    /// Judges an effect without noting it; for looks only, since between a look and an effect another may come.
    pub fn judge(&self, duty: &Duty, epoch: Epoch, number: u64) -> Verdict {
        let seen = self.seen(duty);
        if epoch < seen.epoch || epoch == 0 {
            return Verdict::Late { seen: seen.epoch };
        }
        let last = if epoch > seen.epoch { 0 } else { seen.number };
        match number {
            0 => Verdict::Gap { expected: last + 1 },
            _ if number <= last => Verdict::Repeat,
            _ if number == last + 1 => Verdict::New,
            _ => Verdict::Gap { expected: last + 1 },
        }
    }

    /// Judges an effect and notes it if it is new. What is noted must become durable with the effect or not at all.
    pub fn take(&mut self, duty: &Duty, epoch: Epoch, number: u64) -> Verdict {
        let verdict = self.judge(duty, epoch, number);
        if verdict == Verdict::New {
            self.seen.insert(duty.clone(), Seen { epoch, number });
        }
        verdict
    }

    /// Notes what is durable already.
    pub fn keep(&mut self, duty: &Duty, seen: Seen) {
        self.seen.insert(duty.clone(), seen);
    }

    /// A fence that knows this one duty, to ask what would become of something.
    pub fn clone_of(&self, duty: &Duty) -> Fence {
        Fence::restore([(duty.clone(), self.seen(duty))])
    }

    /// A new owner shows its epoch before its first effect, so that nothing of the old one lands from here on. Says
    /// whether it may begin.
    pub fn announce(&mut self, duty: &Duty, epoch: Epoch) -> Verdict {
        let seen = self.seen(duty);
        if epoch == 0 || epoch < seen.epoch {
            return Verdict::Late { seen: seen.epoch };
        }
        if epoch == seen.epoch {
            return Verdict::Repeat;
        }
        self.seen.insert(duty.clone(), Seen { epoch, number: 0 });
        Verdict::New
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn duty() -> Duty {
        Duty::new("gather", 3)
    }

    #[test]
    fn effects_of_an_epoch_land_once_and_in_order() {
        let mut fence = Fence::default();
        assert_eq!(fence.take(&duty(), 5, 1), Verdict::New);
        assert_eq!(fence.take(&duty(), 5, 1), Verdict::Repeat);
        assert_eq!(fence.take(&duty(), 5, 3), Verdict::Gap { expected: 2 });
        assert_eq!(fence.take(&duty(), 5, 2), Verdict::New);
        assert_eq!(fence.take(&duty(), 5, 1), Verdict::Repeat);
        assert_eq!(fence.seen(&duty()), Seen { epoch: 5, number: 2 });
    }

    #[test]
    fn a_late_owner_is_refused_for_good_also_by_a_fence_that_was_kept_and_restored() {
        let mut fence = Fence::default();
        fence.take(&duty(), 5, 1);
        assert_eq!(fence.announce(&duty(), 6), Verdict::New);
        assert_eq!(fence.take(&duty(), 5, 2), Verdict::Late { seen: 6 });
        let kept: Vec<_> = fence.all().map(|(duty, seen)| (duty.clone(), *seen)).collect();
        let mut fence = Fence::restore(kept);
        assert_eq!(fence.take(&duty(), 5, 2), Verdict::Late { seen: 6 });
        assert_eq!(fence.take(&duty(), 6, 1), Verdict::New);
        assert_eq!(fence.take(&Duty::new("gather", 4), 5, 1), Verdict::New, "another part is another matter");
    }

    #[test]
    fn a_new_epoch_begins_at_one_and_no_epoch_is_none() {
        let mut fence = Fence::default();
        assert_eq!(fence.take(&duty(), 5, 2), Verdict::Gap { expected: 1 });
        assert_eq!(fence.take(&duty(), 0, 1), Verdict::Late { seen: 0 });
        fence.take(&duty(), 5, 1);
        assert_eq!(fence.take(&duty(), 9, 2), Verdict::Gap { expected: 1 });
        assert_eq!(fence.seen(&duty()).epoch, 5, "a refused effect moves nothing");
        assert_eq!(fence.take(&duty(), 9, 0), Verdict::Gap { expected: 1 });
    }

    #[test]
    fn of_two_kept_records_the_higher_counts() {
        let (low, high) = (Seen { epoch: 2, number: 9 }, Seen { epoch: 3, number: 0 });
        for kept in [[low, high], [high, low]] {
            let fence = Fence::restore(kept.map(|seen| (duty(), seen)));
            assert_eq!(fence.seen(&duty()), high);
        }
    }
}
