//! Keys of referenced txns and the results of those that ran, for as long as a repeat may come.

use super::hands::{Slip, Word};
use puffinladder::Reason;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// The 32 hex digits by which all tries of one txn are known, as they came.
pub type Key = [u8; 32];

/// What tells the content of one txn from that of another: all tries of one have the same.
pub type Print = u64;

/// Who holds a key already.
#[derive(Debug, PartialEq, Eq)]
pub enum Holder {
    Nobody,
    /// An earlier try of the same txn.
    Same(u32),
    /// One of other content, which has not shown yet that it runs. The agent refuses whichever was made up, so
    /// the other waits.
    Doubtful,
    /// One of other content that ran.
    Other,
    /// Nobody, and there is no room for one more key.
    Full,
}

/// How far the try that holds the key has come.
enum Course {
    /// It waits, or runs; those who wait for its result, or for the key.
    Open(Vec<(Print, Arc<Slip>)>),
    Settled(Arc<Vec<u8>>),
    /// It ran and failed, or its result had to be dropped.
    Void,
}

struct Entry {
    id: u32,
    print: Print,
    until: f64,
    course: Course,
}

pub struct Keys {
    entries: HashMap<Key, Entry>,
    /// Ends of entries that are done, oldest first, and the key that each belongs to.
    ends: VecDeque<(f64, Key)>,
    results: VecDeque<(u32, Key)>,
    /// Until when those of other content wait for their key.
    doubtful: VecDeque<(f64, Arc<Slip>)>,
    kept: usize,
    most: usize,
    most_keys: usize,
    grain: f64,
    over: f64,
}

impl Keys {
    /// Knows `most_keys` and keeps `most` bytes of results; a key ends `grain` seconds late and stays known for
    /// `over` more.
    pub fn new(most_keys: usize, most: usize, grain: f64, over: f64) -> Keys {
        let (entries, ends, results, doubtful) = Default::default();
        Keys { entries, ends, results, doubtful, kept: 0, most, most_keys, grain, over }
    }

    /// Who holds this key; if nobody does, `id` holds it from now on.
    pub fn read(&mut self, key: Key, print: Print, id: u32, arrived: f64) -> Holder {
        if let Some(old) = self.entries.get(&key) {
            let (holder, open) = (old.id, matches!(old.course, Course::Open(_)));
            // What came to the machine within the window is a repeat, however late it is read.
            if old.until >= arrived || open {
                return match old.print == print {
                    true => Holder::Same(holder),
                    false if open => Holder::Doubtful,
                    false => Holder::Other,
                };
            }
            self.release(&key, holder);
        } else if self.entries.len() >= self.most_keys {
            return Holder::Full;
        }
        self.entries.insert(key, Entry { id, print, until: f64::MAX, course: Course::Open(Vec::new()) });
        Holder::Nobody
    }

    /// Has one of other content than the holder's wait for the key, for some time.
    pub fn contend(&mut self, key: &Key, print: Print, slip: &Arc<Slip>, until: f64) {
        self.replay(key, print, slip);
        self.doubtful.push_back((until, slip.clone()));
    }

    /// Holds the key to `until` at the least.
    pub fn remember(&mut self, key: &Key, id: u32, until: f64) {
        if let Some(entry) = self.entries.get_mut(key).filter(|entry| entry.id == id) {
            entry.until = until + self.grain;
        }
    }

    /// A try that never ran leaves nothing behind, and whoever waited for it may run instead.
    pub fn never_ran(&mut self, key: &Key, id: u32) {
        if self.entries.get(key).is_some_and(|entry| entry.id == id) {
            if let Some(Course::Open(waiting)) = self.entries.remove(key).map(|entry| entry.course) {
                waiting.iter().for_each(|(_, slip)| slip.say(Word::Free));
            }
        }
    }

    /// A run is over, with a result or without.
    pub fn ran(&mut self, key: &Key, id: u32, result: Option<Arc<Vec<u8>>>) {
        let Some(entry) = self.entries.get_mut(key).filter(|entry| entry.id == id) else { return };
        // Nothing runs before its key is remembered, so this one broke off before it began. Held without an end, it
        // would hold up the ends of all that come behind it.
        if entry.until == f64::MAX {
            entry.until = f64::MIN;
        }
        let course = match &result {
            Some(body) => Course::Settled(body.clone()),
            None => Course::Void,
        };
        if let Course::Open(waiting) = std::mem::replace(&mut entry.course, course) {
            let print = entry.print;
            let own = |other: Print| result.clone().filter(|_| other == print);
            waiting.iter().for_each(|(other, slip)| slip.say(Word::Result(own(*other))));
        }
        self.ends.push_back((entry.until, *key));
        if let Some(body) = result {
            self.kept += body.len();
            self.results.push_back((id, *key));
        }
        while self.kept > self.most {
            let Some((id, key)) = self.results.pop_front() else { return };
            self.release(&key, id);
        }
    }

    /// Drops a kept result; its key stays known.
    fn release(&mut self, key: &Key, id: u32) {
        let Some(entry) = self.entries.get_mut(key).filter(|entry| entry.id == id) else { return };
        if let Course::Settled(body) = std::mem::replace(&mut entry.course, Course::Void) {
            self.kept -= body.len();
        }
    }

    /// Tells `slip` the result of the try that holds the key, as soon as there is one.
    pub fn replay(&mut self, key: &Key, print: Print, slip: &Arc<Slip>) {
        match self.entries.get_mut(key) {
            None => slip.say(Word::Free),
            Some(Entry { course: Course::Open(waiting), .. }) => waiting.push((print, slip.clone())),
            Some(Entry { course: Course::Settled(body), print: own, .. }) if *own == print => {
                slip.say(Word::Result(Some(body.clone())))
            }
            Some(_) => slip.say(Word::Result(None)),
        }
    }

    /// Forgets what no repeat can ask for any more.
    pub fn expire(&mut self, now: f64) {
        while self.doubtful.front().is_some_and(|(until, _)| *until < now) {
            let Some((_, slip)) = self.doubtful.pop_front() else { return };
            slip.say(Word::Decline { retry_after: 0.0, last: false, reason: Reason::KeyConflict });
        }
        // Ends stand in the order in which runs ended, so a long run may hold up a few others for a while.
        while self.ends.front().is_some_and(|(end, _)| end + self.over < now) {
            let Some((_, key)) = self.ends.pop_front() else { return };
            let Some(id) = self.entries.get(&key).filter(|entry| entry.until + self.over < now).map(|e| e.id)
            else {
                continue;
            };
            self.release(&key, id);
            self.entries.remove(&key);
        }
        while let Some((id, key)) = self.results.front() {
            let live = self.entries.get(key).is_some_and(|entry| entry.id == *id);
            if live {
                break;
            }
            self.results.pop_front();
        }
    }
}

#[cfg(test)]
mod tests;
