//! Which piece of which file comes next, for the owner of one part of the duty to gather. Decided without I/O: from what lies in the folders, what the
//! archive has taken, and what could not be read before.

use puffinladder_leases::assignment;
use puffinladder_trace_store::words::{Source, Taken};
use std::collections::BTreeMap;

/// s until a file that could not be read is tried again, doubled each time up to the most.
const AGAIN: f64 = 1.0;
const AGAIN_MOST: f64 = 300.0;
/// Files that are remembered as unreadable at the most; past that the rest waits for the next look.
const TROUBLES: usize = 10_000;

/// Which part of so many a server's files belong to.
pub fn part_of(server: &str, parts: u32) -> u32 {
    assignment::part_of("gather", server, parts)
}

/// A file that lies in a server's folder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lying {
    pub source: Source,
    /// Its writer has ended it, or has begun another since.
    pub over: bool,
}

#[derive(Clone, Copy, Debug)]
struct Trouble {
    pause: f64,
    until: f64,
}

/// What the owner of a part knows.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    taken: BTreeMap<Source, Taken>,
    /// Files that are to be gathered, by server, the oldest first.
    todo: BTreeMap<String, Vec<Source>>,
    troubles: BTreeMap<Source, Trouble>,
    /// The server whose turn it was last.
    last: String,
}

impl Plan {
    /// What the archive says that it has: all else that was thought of it is gone.
    pub fn begin(&mut self, taken: impl IntoIterator<Item = (Source, Taken)>) {
        self.taken = taken.into_iter().collect();
        self.todo.clear();
    }

    /// What lies in the folders of this part's servers now.
    pub fn look(&mut self, lying: impl IntoIterator<Item = Lying>) {
        self.todo.clear();
        for Lying { source, over } in lying {
            let done = self.taken.get(&source).is_some_and(|taken| taken.done);
            if over && !done {
                self.todo.entry(source.server.clone()).or_default().push(source);
            }
        }
        for files in self.todo.values_mut() {
            files.sort();
        }
        let todo = &self.todo;
        self.troubles
            .retain(|source, _| todo.get(&source.server).is_some_and(|files| files.contains(source)));
    }

    /// The next file, and which block of it: servers take turns, so that one with much to gather holds up no other.
    pub fn next(&mut self, now: f64) -> Option<(Source, u64)> {
        let behind = self
            .todo
            .range::<str, _>((std::ops::Bound::Excluded(self.last.as_str()), std::ops::Bound::Unbounded));
        let turns = behind.chain(self.todo.iter());
        let well = |source: &&Source| self.troubles.get(source).is_none_or(|trouble| trouble.until <= now);
        let mut open = turns.filter_map(|(server, files)| Some((server, files.iter().find(well)?)));
        let (server, source) = open.next().map(|(server, source)| (server.clone(), source.clone()))?;
        self.last = server;
        let place = self.taken.get(&source).map_or(0, |taken| taken.blocks);
        Some((source, place))
    }

    /// The archive has so much of a file.
    pub fn took(&mut self, source: &Source, taken: Taken) {
        self.taken.insert(source.clone(), taken);
        self.troubles.remove(source);
        if taken.done {
            if let Some(files) = self.todo.get_mut(&source.server) {
                files.retain(|one| one != source);
            }
            self.todo.retain(|_, files| !files.is_empty());
        }
    }

    /// A file could not be read: later, and later each time, while others go on. Whether it is the first time.
    pub fn put_off(&mut self, now: f64, source: &Source) -> bool {
        let before = self.troubles.get(source).map(|trouble| trouble.pause);
        let pause = before.map_or(AGAIN, |pause| (2.0 * pause).min(AGAIN_MOST));
        if before.is_some() || self.troubles.len() < TROUBLES {
            self.troubles.insert(source.clone(), Trouble { pause, until: now + pause });
        } else if let Some(files) = self.todo.get_mut(&source.server) {
            files.retain(|one| one != source);
        }
        before.is_none()
    }

    /// Whether there is something to do now.
    pub fn work(&self, now: f64) -> bool {
        let well = |source: &Source| self.troubles.get(source).is_none_or(|trouble| trouble.until <= now);
        self.todo.values().flatten().any(well)
    }
}

/// Which files of one server are over: all but the newest, and that one too once it is sealed. Names rise with time, as the recorder gives them.
pub fn over(server: &str, mut files: Vec<(String, bool)>) -> Vec<Lying> {
    files.sort();
    let count = files.len();
    let lying = |(at, (file, sealed)): (usize, (String, bool))| Lying {
        source: Source { server: server.into(), file },
        over: sealed || at + 1 < count,
    };
    files.into_iter().enumerate().map(lying).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn source(server: &str, file: &str) -> Source {
        Source { server: server.into(), file: file.into() }
    }

    fn lying(server: &str, files: &[&str]) -> Vec<Lying> {
        files.iter().map(|file| Lying { source: source(server, file), over: true }).collect()
    }

    const DONE: Taken = Taken { blocks: 3, done: true };

    #[test]
    fn servers_take_turns_and_their_oldest_files_come_first() {
        let mut plan = Plan::default();
        let all = [lying("n1", &["b", "a", "c"]), lying("n2", &["x"])].concat();
        plan.look(all.clone());
        let mut order = Vec::new();
        while let Some((next, place)) = plan.next(0.0) {
            assert_eq!(place, 0);
            order.push(format!("{}{}", next.server, next.file));
            plan.took(&next, DONE);
        }
        assert_eq!(order, ["n1a", "n2x", "n1b", "n1c"]);
        plan.look(all);
        assert!(!plan.work(0.0), "all of it is taken");
    }

    #[test]
    fn a_successor_goes_on_behind_what_the_archive_has() {
        let mut plan = Plan::default();
        plan.begin([(source("n1", "a"), Taken { blocks: 2, done: false }), (source("n1", "b"), DONE)]);
        plan.look(lying("n1", &["a", "b"]));
        assert_eq!(plan.next(0.0), Some((source("n1", "a"), 2)));
        plan.took(&source("n1", "a"), DONE);
        assert_eq!(plan.next(0.0), None);
    }

    #[test]
    fn a_file_that_cannot_be_read_comes_later_each_time_and_holds_up_no_other() {
        let mut plan = Plan::default();
        plan.look(lying("n1", &["a", "b"]));
        assert!(plan.put_off(0.0, &source("n1", "a")) && !plan.put_off(1.0, &source("n1", "a")));
        assert_eq!(plan.next(2.9), Some((source("n1", "b"), 0)));
        plan.took(&source("n1", "b"), DONE);
        assert_eq!((plan.next(2.9), plan.work(2.9)), (None, false));
        assert_eq!(plan.next(3.0), Some((source("n1", "a"), 0)));
        for file in 0..TROUBLES + 5 {
            plan.put_off(0.0, &source("n2", &file.to_string()));
        }
        assert_eq!(plan.troubles.len(), TROUBLES);
    }

    #[test]
    fn the_newest_file_is_left_to_its_writer_until_it_is_sealed() {
        let files =
            vec![("n1-2".to_string(), false), ("n1-1".to_string(), false), ("n1-3".to_string(), false)];
        let over_now = |files: Vec<(String, bool)>| over("n1", files).iter().filter(|one| one.over).count();
        assert_eq!(over_now(files.clone()), 2, "its writer was killed, and began others since");
        let sealed = files.into_iter().map(|(name, _)| (name, true)).collect();
        assert_eq!(over_now(sealed), 3);
    }

    #[test]
    fn each_server_belongs_to_one_part() {
        let mut counts = [0; 8];
        for at in 0..800 {
            counts[part_of(&format!("n{at}"), 8) as usize] += 1;
        }
        assert!(counts.iter().all(|n| (60..140).contains(n)), "{counts:?}");
        assert_eq!(part_of("n1", 0), 0);
    }
}
