//! Idempotency keys and the results of the runs under them, for as long as a retry may come.

use super::identifiers::{ContentDigest, IdempotencyKey};
use super::mailbox::{Event, Mailbox};
use puffinladder::Reason;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// What the look-up of a key found.
#[derive(Debug, PartialEq, Eq)]
pub enum KeyLookup {
    /// Nobody held the key; the request that asked does now.
    Acquired,
    /// An earlier attempt of the same request, of this number, holds it.
    SameRequest(u32),
    /// A request of other content holds it, which has not shown yet that it runs. The agent refuses whichever key was
    /// made up, so the other request waits.
    Contended,
    /// A request of other content ran under it.
    Conflict,
    /// Nobody holds it, and there is no room for one more key.
    Full,
}

/// A request that waits for the outcome of the attempt that holds a key.
struct Waiter {
    digest: ContentDigest,
    mailbox: Arc<Mailbox>,
}

/// How far the attempt that holds a key has come.
enum Progress {
    /// It waits or runs; others wait for its result, or for the key.
    Open(Vec<Waiter>),
    /// It completed with this result.
    Completed(Arc<Vec<u8>>),
    /// It ran and failed, or its result had to be evicted.
    NoResult,
}

struct KeyEntry {
    id: u32,
    digest: ContentDigest,
    /// Until when an attempt that arrives is a retry, s.
    valid_until: f64,
    progress: Progress,
}

/// A key whose attempt has ended.
struct Expiry {
    at: f64,
    key: IdempotencyKey,
}

/// A stored result, by the attempt that produced it.
struct StoredResult {
    id: u32,
    key: IdempotencyKey,
}

/// A request that waits for a key which one of other content holds, or for an attempt id that is in flight.
struct Contender {
    deadline: f64,
    mailbox: Arc<Mailbox>,
}

/// Bounds of [`IdempotencyKeys`].
#[derive(Clone, Copy, Debug)]
pub struct KeyBounds {
    /// Most keys known at once.
    pub max_keys: usize,
    /// Most bytes of stored results.
    pub max_result_bytes: usize,
    /// How much later than asked for a key expires, s.
    pub clock_tolerance: f64,
    /// How long an expired key stays known, s.
    pub retention: f64,
}

/// All keys known, and the stored results.
pub struct IdempotencyKeys {
    entries: HashMap<IdempotencyKey, KeyEntry>,
    /// Keys whose attempts have ended, in the order in which they ended.
    expiries: VecDeque<Expiry>,
    /// Oldest first.
    results: VecDeque<StoredResult>,
    contenders: Vec<Contender>,
    /// When all who wait have to be answered, whatever their deadline, s.
    answer_deadline: f64,
    result_bytes: usize,
    bounds: KeyBounds,
}

impl IdempotencyKeys {
    /// No keys yet, and these bounds.
    pub fn new(bounds: KeyBounds) -> IdempotencyKeys {
        let (entries, expiries, results, contenders) = Default::default();
        let answer_deadline = f64::MAX;
        IdempotencyKeys { entries, expiries, results, contenders, answer_deadline, result_bytes: 0, bounds }
    }

    /// Looks up who holds this key; if nobody does, `id` holds it from now on. `arrived` is when the request came to
    /// the machine, s.
    pub fn acquire(
        &mut self,
        key: IdempotencyKey,
        digest: ContentDigest,
        id: u32,
        arrived: f64,
    ) -> KeyLookup {
        if let Some(old) = self.entries.get(&key) {
            let (holder, open) = (old.id, matches!(old.progress, Progress::Open(_)));
            // What came to the machine within the window is a retry, however late it is read.
            if old.valid_until >= arrived || open {
                return match old.digest == digest {
                    true => KeyLookup::SameRequest(holder),
                    false if open => KeyLookup::Contended,
                    false => KeyLookup::Conflict,
                };
            }
            self.evict_result(&key, holder);
        } else if self.entries.len() >= self.bounds.max_keys {
            return KeyLookup::Full;
        }
        let progress = Progress::Open(Vec::new());
        self.entries.insert(key, KeyEntry { id, digest, valid_until: f64::MAX, progress });
        KeyLookup::Acquired
    }

    /// Has a request of other content than the holder's wait for the key until `deadline`.
    pub fn await_key(
        &mut self,
        key: &IdempotencyKey,
        digest: ContentDigest,
        mailbox: &Arc<Mailbox>,
        deadline: f64,
    ) {
        self.await_result(key, digest, mailbox);
        self.add_contender(deadline, mailbox);
    }

    /// Rejects whoever waits at this mailbox, for a key or for an attempt id, after `deadline`.
    pub fn add_contender(&mut self, deadline: f64, mailbox: &Arc<Mailbox>) {
        self.contenders.push(Contender { deadline, mailbox: mailbox.clone() });
    }

    /// Has all who wait, and whoever comes to wait, answered by this time: nobody else knows of them.
    pub fn set_answer_deadline(&mut self, deadline: f64) {
        self.answer_deadline = deadline;
    }

    /// Keeps the key until `until` at the least.
    pub fn extend(&mut self, key: &IdempotencyKey, id: u32, until: f64) {
        if let Some(entry) = self.entries.get_mut(key).filter(|entry| entry.id == id) {
            entry.valid_until = until + self.bounds.clock_tolerance;
        }
    }

    /// Releases the key of an attempt that never ran: whoever waited for it may run instead.
    pub fn release(&mut self, key: &IdempotencyKey, id: u32) {
        if self.entries.get(key).is_some_and(|entry| entry.id == id) {
            if let Some(Progress::Open(waiters)) = self.entries.remove(key).map(|entry| entry.progress) {
                waiters.iter().for_each(|waiter| waiter.mailbox.send(Event::KeyReleased));
            }
        }
    }

    /// Records that a run has ended, with a result or without.
    pub fn finish(&mut self, key: &IdempotencyKey, id: u32, result: Option<Arc<Vec<u8>>>) {
        let Some(entry) = self.entries.get_mut(key).filter(|entry| entry.id == id) else { return };
        // Nothing runs before its key is extended, so this one broke off before it began. Kept without an end, it
        // would hold up the expiry of all that come behind it.
        if entry.valid_until == f64::MAX {
            entry.valid_until = f64::MIN;
        }
        let progress = match &result {
            Some(body) => Progress::Completed(body.clone()),
            None => Progress::NoResult,
        };
        if let Progress::Open(waiters) = std::mem::replace(&mut entry.progress, progress) {
            let digest = entry.digest;
            let result_for = |other: ContentDigest| result.clone().filter(|_| other == digest);
            let answer = |waiter: &Waiter| waiter.mailbox.send(Event::Result(result_for(waiter.digest)));
            waiters.iter().for_each(answer);
        }
        self.expiries.push_back(Expiry { at: entry.valid_until, key: *key });
        if let Some(body) = result {
            self.result_bytes += body.len();
            self.results.push_back(StoredResult { id, key: *key });
        }
        while self.result_bytes > self.bounds.max_result_bytes {
            let Some(StoredResult { id, key }) = self.results.pop_front() else { return };
            self.evict_result(&key, id);
        }
    }

    /// Drops a stored result; its key stays known.
    fn evict_result(&mut self, key: &IdempotencyKey, id: u32) {
        let Some(entry) = self.entries.get_mut(key).filter(|entry| entry.id == id) else { return };
        if let Progress::Completed(body) = std::mem::replace(&mut entry.progress, Progress::NoResult) {
            self.result_bytes -= body.len();
        }
    }

    /// Sends `mailbox` the result of the attempt that holds the key, as soon as there is one.
    pub fn await_result(&mut self, key: &IdempotencyKey, digest: ContentDigest, mailbox: &Arc<Mailbox>) {
        match self.entries.get_mut(key) {
            None => mailbox.send(Event::KeyReleased),
            Some(KeyEntry { progress: Progress::Open(waiters), .. }) => {
                waiters.push(Waiter { digest, mailbox: mailbox.clone() });
            }
            Some(KeyEntry { progress: Progress::Completed(body), digest: own, .. }) if *own == digest => {
                mailbox.send(Event::Result(Some(body.clone())));
            }
            Some(_) => mailbox.send(Event::Result(None)),
        }
    }

    /// Forgets what no retry can ask for any more, and rejects those who have waited long enough for a key.
    pub fn expire(&mut self, now: f64) {
        self.reject_contenders(now);
        self.forget_expired(now);
        self.drop_stale_results();
    }

    fn reject_contenders(&mut self, now: f64) {
        let answer_deadline = self.answer_deadline;
        let is_overdue = |contender: &mut Contender| contender.deadline.min(answer_deadline) < now;
        for contender in self.contenders.extract_if(.., is_overdue) {
            let reason = Reason::KeyConflict;
            contender.mailbox.send(Event::Reject { retry_after: 0.0, last: false, reason });
        }
    }

    /// Expiries stand in the order in which runs ended, so a long run may hold up a few others for a while.
    fn forget_expired(&mut self, now: f64) {
        let retention = self.bounds.retention;
        while self.expiries.front().is_some_and(|expiry| expiry.at + retention < now) {
            let Some(Expiry { key, .. }) = self.expiries.pop_front() else { return };
            let expired = self.entries.get(&key).filter(|entry| entry.valid_until + retention < now);
            let Some(id) = expired.map(|entry| entry.id) else { continue };
            self.evict_result(&key, id);
            self.entries.remove(&key);
        }
    }

    fn drop_stale_results(&mut self) {
        while let Some(StoredResult { id, key }) = self.results.front() {
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
