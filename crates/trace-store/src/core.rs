//! What becomes of a piece that somebody brings, decided without I/O. A decision is noted here only after it is on disk ([`Core::note`]), so that the
//! archive never answers for what a crash would take back.

use crate::words::{Outcome, Piece, Source, Taken};
use puffinladder_leases::fence::{Fence, FenceRecord, Verdict};
use puffinladder_leases::{Epoch, Task};
use std::collections::{BTreeMap, VecDeque};

/// Files that are known at the most; names of a file in bytes; parts of duties.
pub const FILES: usize = 1_000_000;
pub const NAME: usize = 256;
const PARTS: usize = 100_000;

/// What is to be written in one transaction.
#[derive(Clone, Debug, PartialEq)]
pub struct Write {
    pub duty: Task,
    pub seen: FenceRecord,
    /// With a piece: its place, and how much of the file is taken then.
    pub piece: Option<(Source, u64, Taken)>,
    /// Files whose blocks go, since there is no room for all.
    pub forget: Vec<Source>,
    /// A file that goes with all that was known of it: as many are known as may be, and it was done before all others.
    pub unknown: Option<Source>,
}

#[derive(Clone, Debug, Default)]
pub struct Core {
    fence: Fence,
    taken: BTreeMap<Source, Taken>,
    /// Bytes that a file's blocks take, and whole files in the order in which they were done.
    sizes: BTreeMap<Source, u64>,
    order: VecDeque<Source>,
    /// All that are done, in that order, with blocks or without.
    done: VecDeque<Source>,
    bytes: u64,
    most: u64,
    most_files: usize,
    pub refused: u64,
}

/// A name that is one: it is part of a path where the archive is exported.
pub fn fit(name: &str) -> bool {
    let plain = |c: char| c.is_ascii_alphanumeric() || "._-+:".contains(c);
    !name.is_empty() && name.len() <= NAME && !name.starts_with('.') && name.chars().all(plain)
}

impl Core {
    /// From what is on disk: the fence, files with what was taken of them and their bytes, in the order in which they were done.
    pub fn new(
        most: u64,
        seen: impl IntoIterator<Item = (Task, FenceRecord)>,
        files: impl IntoIterator<Item = (Source, Taken, u64)>,
    ) -> Core {
        let mut core = Core { fence: Fence::from_records(seen), most, most_files: FILES, ..Core::default() };
        for (source, taken, bytes) in files {
            core.bytes += bytes;
            if taken.done && bytes > 0 {
                core.order.push_back(source.clone());
            }
            if taken.done {
                core.done.push_back(source.clone());
            }
            core.sizes.insert(source.clone(), bytes);
            core.taken.insert(source, taken);
        }
        core
    }

    pub fn bytes(&self) -> u64 {
        self.bytes
    }
    pub fn files(&self) -> impl Iterator<Item = (&Source, &Taken)> {
        self.taken.iter()
    }
    pub fn seen(&self, duty: &Task) -> FenceRecord {
        self.fence.record(duty)
    }

    /// A new owner shows its epoch.
    pub fn announce(&mut self, duty: &Task, epoch: Epoch) -> (Verdict, Option<Write>) {
        let full = !fit(&duty.name) || (self.seen(duty).epoch == 0 && self.fence.records().count() >= PARTS);
        if full {
            return (Verdict::Stale { latest: Epoch::MAX }, None);
        }
        let verdict = self.fence.restricted_to(duty).announce(duty, epoch);
        let seen = FenceRecord { epoch, number: 0 };
        let write = Write { duty: duty.clone(), seen, piece: None, forget: Vec::new(), unknown: None };
        (verdict, (verdict == Verdict::New).then_some(write))
    }

    /// A piece of so many bytes. What is to be written, if anything is; nothing is known of it before it was noted.
    pub fn put(
        &mut self,
        duty: &Task,
        epoch: Epoch,
        number: u64,
        piece: &Piece,
        bytes: u64,
    ) -> (Outcome, Option<Write>) {
        let verdict = self.fence.check(duty, epoch, number);
        if verdict != Verdict::New {
            self.refused += u64::from(matches!(verdict, Verdict::Stale { .. }));
            return (Outcome::Fence(verdict), None);
        }
        // An epoch begins with its announcement, which told where to go on.
        if self.seen(duty).epoch != epoch {
            return (Outcome::Fence(Verdict::Gap { expected: 0 }), None);
        }
        let taken = self.taken.get(&piece.source).copied().unwrap_or_default();
        if taken.done || taken.blocks != piece.place {
            return (Outcome::Elsewhere(taken), None);
        }
        if !fit(&piece.source.server) || !fit(&piece.source.file) {
            return (Outcome::Full, None);
        }
        let mut unknown = None;
        if !self.taken.contains_key(&piece.source) && self.taken.len() >= self.most_files {
            // Its server has long removed it by then: a recorder keeps some hundred files.
            unknown = self.done.front().cloned();
            if unknown.is_none() {
                return (Outcome::Full, None);
            }
        }
        let mut forget = Vec::new();
        let mut left = self.bytes + bytes;
        for source in &self.order {
            if left <= self.most {
                break;
            }
            left -= self.sizes.get(source).copied().unwrap_or(0);
            forget.push(source.clone());
        }
        if left > self.most {
            return (Outcome::Full, None);
        }
        let after = Taken { blocks: taken.blocks + 1, done: piece.last };
        let write = Write {
            duty: duty.clone(),
            seen: FenceRecord { epoch, number },
            piece: Some((piece.source.clone(), piece.place, after)),
            forget,
            unknown,
        };
        (Outcome::Fence(Verdict::New), Some(write))
    }

    /// What was decided is on disk.
    pub fn note(&mut self, write: &Write, bytes: u64) {
        self.fence.insert(&write.duty, write.seen);
        for source in &write.forget {
            self.bytes -= self.sizes.insert(source.clone(), 0).unwrap_or(0);
            self.order.retain(|one| one != source);
        }
        if let Some(source) = &write.unknown {
            self.bytes -= self.sizes.remove(source).unwrap_or(0);
            self.taken.remove(source);
            self.order.retain(|one| one != source);
            self.done.retain(|one| one != source);
        }
        if let Some((source, _, taken)) = &write.piece {
            *self.sizes.entry(source.clone()).or_default() += bytes;
            self.bytes += bytes;
            self.taken.insert(source.clone(), *taken);
            if taken.done {
                self.order.push_back(source.clone());
                self.done.push_back(source.clone());
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn duty() -> Task {
        Task::new("gather", 0)
    }

    fn piece(file: &str, place: u64, last: bool) -> Piece {
        Piece { source: Source { server: "n1".into(), file: file.into() }, place, last }
    }

    /// Decides, and takes it for written.
    fn put(core: &mut Core, epoch: Epoch, number: u64, piece: &Piece, bytes: u64) -> Outcome {
        let (outcome, write) = core.put(&duty(), epoch, number, piece, bytes);
        write.iter().for_each(|write| core.note(write, bytes));
        outcome
    }

    fn announce(core: &mut Core, epoch: Epoch) -> Verdict {
        let (verdict, write) = core.announce(&duty(), epoch);
        write.iter().for_each(|write| core.note(write, 0));
        verdict
    }

    const NEW: Outcome = Outcome::Fence(Verdict::New);

    #[test]
    fn a_successor_goes_on_where_the_one_before_stopped_and_that_one_lands_nothing_more() {
        let mut core = Core::new(1000, [], []);
        assert_eq!(
            put(&mut core, 5, 1, &piece("a", 0, false), 10),
            Outcome::Fence(Verdict::Gap { expected: 0 })
        );
        assert_eq!(announce(&mut core, 5), Verdict::New);
        assert_eq!(put(&mut core, 5, 1, &piece("a", 0, false), 10), NEW);
        assert_eq!(put(&mut core, 5, 1, &piece("a", 0, false), 10), Outcome::Fence(Verdict::Duplicate));
        assert_eq!(announce(&mut core, 6), Verdict::New);
        assert_eq!(
            put(&mut core, 5, 2, &piece("a", 1, true), 10),
            Outcome::Fence(Verdict::Stale { latest: 6 })
        );
        assert_eq!(announce(&mut core, 5), Verdict::Stale { latest: 6 });
        // Its successor thinks that nothing was taken yet.
        let taken = Taken { blocks: 1, done: false };
        assert_eq!(put(&mut core, 6, 1, &piece("a", 0, false), 10), Outcome::Elsewhere(taken));
        assert_eq!(put(&mut core, 6, 1, &piece("a", 1, true), 10), NEW);
        let done = Taken { blocks: 2, done: true };
        assert_eq!(put(&mut core, 6, 2, &piece("a", 2, true), 10), Outcome::Elsewhere(done));
        assert_eq!((core.bytes(), core.refused), (20, 1));
    }

    #[test]
    fn what_was_not_written_is_not_known() {
        let mut core = Core::new(1000, [], []);
        announce(&mut core, 5);
        assert_eq!(core.put(&duty(), 5, 1, &piece("a", 0, true), 10).0, NEW);
        assert_eq!(core.put(&duty(), 5, 1, &piece("a", 0, true), 10).0, NEW, "the disk failed in between");
        assert_eq!(core.seen(&duty()).number, 0);
        assert_eq!(core.announce(&duty(), 6).0, Verdict::New);
        assert_eq!(core.seen(&duty()).epoch, 5);
    }

    #[test]
    fn past_the_bound_the_oldest_whole_files_go_and_stay_known_as_done() {
        let mut core = Core::new(100, [], []);
        announce(&mut core, 5);
        assert_eq!(put(&mut core, 5, 1, &piece("a", 0, true), 40), NEW);
        assert_eq!(put(&mut core, 5, 2, &piece("b", 0, false), 40), NEW);
        let (outcome, write) = core.put(&duty(), 5, 3, &piece("c", 0, true), 40);
        assert_eq!((outcome, write.unwrap().forget.len()), (NEW, 1));
        assert_eq!(put(&mut core, 5, 3, &piece("c", 0, true), 40), NEW);
        let done = Taken { blocks: 1, done: true };
        assert_eq!(
            put(&mut core, 5, 4, &piece("a", 0, true), 1),
            Outcome::Elsewhere(done),
            "not gathered again"
        );
        assert_eq!(put(&mut core, 5, 4, &piece("d", 0, true), 90), Outcome::Full, "b is not whole yet");
        assert_eq!(core.bytes(), 80);
    }

    #[test]
    fn past_the_number_of_files_the_one_done_first_is_known_no_more() {
        let mut core = Core::new(1000, [], []);
        core.most_files = 2;
        announce(&mut core, 5);
        for (number, file) in [(1, "a"), (2, "b"), (3, "c")] {
            assert_eq!(put(&mut core, 5, number, &piece(file, 0, true), 10), NEW);
        }
        let names: Vec<&str> = core.files().map(|(source, _)| source.file.as_str()).collect();
        assert_eq!((names, core.bytes()), (vec!["b", "c"], 20));
        let mut core = Core::new(1000, [], []);
        core.most_files = 1;
        announce(&mut core, 5);
        assert_eq!(put(&mut core, 5, 1, &piece("a", 0, false), 10), NEW);
        assert_eq!(put(&mut core, 5, 2, &piece("b", 0, true), 10), Outcome::Full, "a is not whole yet");
    }

    #[test]
    fn names_that_could_be_paths_and_parts_past_the_bound_are_refused() {
        let mut core = Core::new(1000, [], []);
        announce(&mut core, 5);
        for name in ["../x", "", ".x", "a/b", "a\0"] {
            assert_eq!(put(&mut core, 5, 1, &piece(name, 0, true), 1), Outcome::Full, "{name:?}");
        }
        assert!(matches!(core.announce(&Task::new("a/b", 0), 9), (Verdict::Stale { .. }, None)));
        // A file without blocks, or with one that can't be read, has a piece without bytes in that place.
        assert_eq!(put(&mut core, 5, 1, &piece("empty", 0, true), 0), NEW);
        assert_eq!(core.files().next().unwrap().1, &Taken { blocks: 1, done: true });
    }
}
