//! Memory budget that all connections of a listener share for messages that are being received or wait to be handled.
//!
//! The limit of a message times the limit of connections is no bound of a process. Each connection may use
//! [`SMALL_MESSAGE_BYTES`] without asking; what a message needs beyond that is granted while the budget lasts. When it is
//! used up, the senders of incomplete messages that made no progress for longest lose their connections, so that the others go
//! on. Complete messages are never given up; who needs memory that they hold waits until they are handled.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::sync::Notify;

/// Size up to which a message is received and decoded without a grant, bytes. It counts in the budget all the same.
pub const SMALL_MESSAGE_BYTES: usize = 4096;
/// One message counts as the budget divided by this number at the most.
const MAX_SHARE_DIVISOR: usize = 2;
/// Interval at which a waiting sender looks again for memory.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Bytes of a message that count as progress; a peer that sends a byte now and then makes none.
const PROGRESS_BYTES: usize = 16_384;

/// Error: the budget was used up, and this sender made no progress for longest, or came last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("memory for incomplete messages used up: this one made no progress for longer than others")]
pub struct MemoryReclaimed;

/// Budget of a listener. Clones share it.
#[derive(Clone, Debug)]
pub struct MemoryBudget(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    limit: usize,
    usage: Mutex<Usage>,
    released: Notify,
}

#[derive(Debug, Default)]
struct Usage {
    used: usize,
    last_id: u64,
    incomplete: BTreeMap<u64, IncompleteMessage>,
}

/// Message that is being received.
#[derive(Debug)]
struct IncompleteMessage {
    /// Time of the last progress, at first of the first bytes.
    progress_at: Instant,
    /// Bytes received at the last progress.
    progress_bytes: usize,
    reserved: usize,
    /// It waits for memory, so that its sender can't make progress.
    is_waiting: bool,
    /// Its memory was promised to other messages: its connection closes.
    is_reclaimed: bool,
    reclaim: Arc<Notify>,
}

impl Usage {
    /// Marks senders until what they hold covers `shortage`.
    fn reclaim(&mut self, mut shortage: usize) {
        let reclaimed = self.incomplete.values().filter(|message| message.is_reclaimed);
        shortage = shortage.saturating_sub(reclaimed.map(|message| message.reserved).sum());
        while shortage > 0 {
            let Some(message) = self.least_worthy() else { return };
            message.is_reclaimed = true;
            message.reclaim.notify_one();
            shortage = shortage.saturating_sub(message.reserved);
        }
    }

    /// Returns the message without progress for longest. If all wait for memory, returns the one that began last, so that the
    /// others can be completed.
    fn least_worthy(&mut self) -> Option<&mut IncompleteMessage> {
        let mut stalled: Option<(u64, Instant)> = None;
        let mut last_waiting = None;
        for (id, message) in &self.incomplete {
            if message.is_reclaimed || message.reserved <= SMALL_MESSAGE_BYTES {
                continue;
            }
            if message.is_waiting {
                last_waiting = Some(*id);
            } else if stalled.is_none_or(|(_, since)| message.progress_at < since) {
                stalled = Some((*id, message.progress_at));
            }
        }
        let id = stalled.map(|(id, _)| id).or(last_waiting)?;
        self.incomplete.get_mut(&id)
    }
}

/// Outcome of a request for memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Grant {
    Granted,
    /// Others release memory soon.
    Wait,
    Reclaimed,
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> MemoryBudget {
        MemoryBudget(Arc::new(Shared { limit, usage: Mutex::default(), released: Notify::new() }))
    }

    /// Returns the bytes in use.
    pub fn used(&self) -> usize {
        self.usage().used
    }

    fn usage(&self) -> MutexGuard<'_, Usage> {
        self.0.usage.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers a message whose first bytes were received.
    pub fn begin_message(&self) -> MessageMemory {
        let mut usage = self.usage();
        usage.last_id += 1;
        let (id, reclaim) = (usage.last_id, Arc::new(Notify::new()));
        let message = IncompleteMessage {
            progress_at: Instant::now(),
            progress_bytes: 0,
            reserved: 0,
            is_waiting: false,
            is_reclaimed: false,
            reclaim: reclaim.clone(),
        };
        usage.incomplete.insert(id, message);
        MessageMemory { id, reclaim, reservation: Reservation { budget: self.clone(), bytes: 0 } }
    }

    fn release(&self, bytes: usize) {
        if bytes > 0 {
            self.usage().used -= bytes;
            self.0.released.notify_waiters();
        }
    }
}

/// Memory of one message that is being received. Released on drop.
#[derive(Debug)]
pub struct MessageMemory {
    id: u64,
    reclaim: Arc<Notify>,
    reservation: Reservation,
}

impl MessageMemory {
    /// Records the bytes of the message received so far, by which stalled senders are told from others.
    pub fn record_received(&self, bytes: usize) {
        let mut usage = self.reservation.budget.usage();
        let Some(message) = usage.incomplete.get_mut(&self.id) else { return };
        if bytes >= message.progress_bytes + PROGRESS_BYTES {
            message.progress_bytes = bytes;
            message.progress_at = Instant::now();
        }
    }

    /// Waits until the message may use `bytes` in all.
    ///
    /// # Errors
    ///
    /// Fails if this message is given up in favour of others. Its connection must be closed.
    pub async fn grow_to(&mut self, bytes: usize) -> Result<(), MemoryReclaimed> {
        loop {
            let budget = self.reservation.budget.clone();
            let released = budget.0.released.notified();
            match self.try_grow_to(bytes) {
                Grant::Granted => return Ok(()),
                Grant::Reclaimed => return Err(MemoryReclaimed),
                Grant::Wait => drop(tokio::time::timeout(RETRY_INTERVAL, released).await),
            }
        }
    }

    fn try_grow_to(&mut self, bytes: usize) -> Grant {
        let shared = &self.reservation.budget.0;
        // A message that needs more counts as this, so that it need not wait until no other message is in use.
        let wanted = bytes.min(shared.limit / MAX_SHARE_DIVISOR);
        let additional = wanted.saturating_sub(self.reservation.bytes);
        let mut usage = self.reservation.budget.usage();
        let shortage = (usage.used + additional).saturating_sub(shared.limit);
        let must_wait = shortage > 0 && bytes > SMALL_MESSAGE_BYTES;
        if let Some(message) = usage.incomplete.get_mut(&self.id) {
            message.is_waiting = must_wait;
        }
        if must_wait {
            usage.reclaim(shortage);
        }
        let Some(message) = usage.incomplete.get_mut(&self.id).filter(|message| !message.is_reclaimed) else {
            return Grant::Reclaimed;
        };
        if must_wait {
            return Grant::Wait;
        }
        message.reserved += additional;
        usage.used += additional;
        self.reservation.bytes += additional;
        Grant::Granted
    }

    /// Waits until this message is given up in favour of others.
    pub async fn reclaimed(&self) -> MemoryReclaimed {
        self.reclaim.notified().await;
        MemoryReclaimed
    }

    /// Returns the reservation of a complete message, to be held until the message is handled.
    pub fn complete(mut self) -> Reservation {
        let budget = self.reservation.budget.clone();
        std::mem::replace(&mut self.reservation, Reservation { budget, bytes: 0 })
    }
}

impl Drop for MessageMemory {
    fn drop(&mut self) {
        self.reservation.budget.usage().incomplete.remove(&self.id);
    }
}

/// Memory of a complete message, released on drop.
#[derive(Debug)]
pub struct Reservation {
    budget: MemoryBudget,
    bytes: usize,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.release(self.bytes);
    }
}

#[cfg(test)]
mod tests;
