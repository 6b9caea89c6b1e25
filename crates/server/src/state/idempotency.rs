//! Idempotency keys and the results stored under them, kept while a retry may arrive.

use super::identifiers::{ContentDigest, IdempotencyKey};
use super::mailbox::{Event, Mailbox};
use puffinladder::Reason;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// Result of acquiring a key.
#[derive(Debug, PartialEq, Eq)]
pub enum KeyLookup {
    /// The key was free and is now held by the request.
    Acquired,
    /// An earlier attempt of the same request, with this id, holds the key.
    SameRequest(u32),
    /// A request with different content holds the key and has not ended. One of the two may be forged; the
    /// agent refuses that one. The second request waits until the first has ended.
    Contended,
    /// A request with different content ran under the key.
    Conflict,
    /// The key is free, but the table is full.
    Full,
}

/// Request that waits for the outcome of the attempt that holds a key.
struct Waiter {
    digest: ContentDigest,
    mailbox: Arc<Mailbox>,
}

/// Progress of the attempt that holds a key.
enum Progress {
    /// Queued or running; the waiters are notified when it ends.
    Open(Vec<Waiter>),
    /// Completed with this result.
    Completed(Arc<Vec<u8>>),
    /// Failed, or its result was evicted.
    NoResult,
}

struct KeyEntry {
    id: u32,
    digest: ContentDigest,
    /// Time until which an arriving attempt counts as a retry, s.
    valid_until: f64,
    progress: Progress,
}

/// Expiry of a key whose attempt has ended.
struct Expiry {
    at: f64,
    key: IdempotencyKey,
}

/// Reference to a stored result and the attempt that produced it.
struct StoredResult {
    id: u32,
    key: IdempotencyKey,
}

/// Request that waits for a key held by different content, or for an attempt id in flight.
struct Contender {
    deadline: f64,
    mailbox: Arc<Mailbox>,
}

/// Bounds of [`IdempotencyKeys`].
#[derive(Clone, Copy, Debug)]
pub struct KeyBounds {
    /// Maximum number of keys.
    pub max_keys: usize,
    /// Maximum size of all stored results, bytes.
    pub max_result_bytes: usize,
    /// Time added to the requested expiry of a key, s.
    pub clock_tolerance: f64,
    /// Time for which an expired key is kept, s.
    pub retention: f64,
}

/// Table of idempotency keys and stored results.
pub struct IdempotencyKeys {
    entries: HashMap<IdempotencyKey, KeyEntry>,
    /// Keys of ended attempts, in the order in which these ended.
    expiries: VecDeque<Expiry>,
    /// Oldest first.
    results: VecDeque<StoredResult>,
    contenders: Vec<Contender>,
    /// Time by which all contenders are rejected, s.
    answer_deadline: f64,
    result_bytes: usize,
    bounds: KeyBounds,
}

impl IdempotencyKeys {
    /// Returns an empty table with these bounds.
    pub fn new(bounds: KeyBounds) -> IdempotencyKeys {
        let (entries, expiries, results, contenders) = Default::default();
        let answer_deadline = f64::MAX;
        IdempotencyKeys { entries, expiries, results, contenders, answer_deadline, result_bytes: 0, bounds }
    }

    /// Acquires the key for request `id` if it is free. `arrived` is when the request reached the machine, s.
    pub fn acquire(
        &mut self,
        key: IdempotencyKey,
        digest: ContentDigest,
        id: u32,
        arrived: f64,
    ) -> KeyLookup {
        if let Some(old) = self.entries.get(&key) {
            let (holder, open) = (old.id, matches!(old.progress, Progress::Open(_)));
            // The arrival time counts: a retry may be read after the window has passed.
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

    /// Queues a request, until `deadline` (s), for a key held by different content.
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

    /// Adds a request that waits for a key or an attempt id, to be rejected after `deadline` (s).
    pub fn add_contender(&mut self, deadline: f64, mailbox: &Arc<Mailbox>) {
        self.contenders.push(Contender { deadline, mailbox: mailbox.clone() });
    }

    /// Sets the time by which all present and future contenders are rejected, s.
    pub fn set_answer_deadline(&mut self, deadline: f64) {
        self.answer_deadline = deadline;
    }

    /// Keeps the key at least until `until` (s).
    pub fn extend(&mut self, key: &IdempotencyKey, id: u32, until: f64) {
        if let Some(entry) = self.entries.get_mut(key).filter(|entry| entry.id == id) {
            entry.valid_until = until + self.bounds.clock_tolerance;
        }
    }

    /// Releases the key of an attempt that never ran, and notifies the waiters.
    pub fn release(&mut self, key: &IdempotencyKey, id: u32) {
        if self.entries.get(key).is_some_and(|entry| entry.id == id) {
            if let Some(Progress::Open(waiters)) = self.entries.remove(key).map(|entry| entry.progress) {
                waiters.iter().for_each(|waiter| waiter.mailbox.send(Event::KeyReleased));
            }
        }
    }

    /// Records the end of a run, with its result if it completed.
    pub fn finish(&mut self, key: &IdempotencyKey, id: u32, result: Option<Arc<Vec<u8>>>) {
        let Some(entry) = self.entries.get_mut(key).filter(|entry| entry.id == id) else { return };
        // A key is extended before its run starts, so an attempt whose key was never extended did not run. Without
        // an expiry time its entry would block the expiry of all later keys.
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

    /// Evicts a stored result but keeps its key.
    fn evict_result(&mut self, key: &IdempotencyKey, id: u32) {
        let Some(entry) = self.entries.get_mut(key).filter(|entry| entry.id == id) else { return };
        if let Progress::Completed(body) = std::mem::replace(&mut entry.progress, Progress::NoResult) {
            self.result_bytes -= body.len();
        }
    }

    /// Sends the result of the attempt that holds the key to `mailbox`, now or when that attempt ends.
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

    /// Removes keys and results that no retry can use any more, and rejects contenders past their deadline.
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
            contender.mailbox.send(Event::Reject { retry_after: 0.0, do_not_forward: false, reason });
        }
    }

    /// Removes expired keys. Expiries are ordered by the end of the run, so a key that expires later may
    /// delay those behind it.
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
