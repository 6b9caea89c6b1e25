//! A distributor's state of one server and of the transfer to it.

use super::token_bucket::TokenBucket;
use crate::digest::VersionId;
use crate::history::History;
use crate::messages::{Acknowledgement, Chunk, TransferId, TransferProgress, MAX_CHUNK_BYTES};
use std::sync::Arc;

/// The state of one server according to its latest acknowledgement.
pub(super) struct Server {
    pub(super) incarnation: u64,
    /// Sequence number of the latest acknowledgement.
    pub(super) sequence: u64,
    pub(super) staged: VersionId,
    active: VersionId,
    pub(super) rejected: Option<VersionId>,
    pub(super) progress: Option<TransferProgress>,
    pub(super) last_heard: f64,
    pub(super) bucket: TokenBucket,
    pub(super) transfer: Option<Transfer>,
    /// Whether the server is waiting for a transfer.
    pub(super) queued: bool,
    /// Whether the transfer uses a catch-up slot.
    pub(super) has_slot: bool,
    /// Time of the latest target message.
    pub(super) last_target: f64,
}

impl Server {
    /// Creates the state of a new server, before its first acknowledgement is processed by [`Server::update`].
    pub(super) fn new(now: f64, ack: &Acknowledgement) -> Server {
        Server {
            incarnation: 0,
            sequence: 0,
            staged: ack.staged,
            active: ack.active,
            rejected: None,
            progress: None,
            last_heard: now,
            bucket: TokenBucket::new(0.0, now),
            transfer: None,
            queued: false,
            has_slot: false,
            last_target: f64::MIN,
        }
    }

    /// Processes a newer acknowledgement. Returns whether the transfer has finished or become useless.
    pub(super) fn update(&mut self, now: f64, ack: &Acknowledgement) -> bool {
        let restarted = ack.server.incarnation > self.incarnation;
        (self.incarnation, self.sequence) = (ack.server.incarnation, ack.sequence);
        self.last_heard = now;
        (self.staged, self.active) = (ack.staged, ack.active);
        self.rejected = ack.rejected.as_ref().map(|rejected| rejected.version);
        self.progress = ack.progress;
        let Some(transfer) = &mut self.transfer else { return false };
        let TransferId { base, target, .. } = transfer.id;
        let base_present = base.is_none_or(|base| base == ack.staged || base == ack.active);
        let done = target.number <= ack.staged.number || self.rejected == Some(target);
        if restarted || done || !base_present {
            return true;
        }
        transfer.record_progress(now, self.progress);
        false
    }
}

/// A transfer in progress.
pub(super) struct Transfer {
    pub(super) id: TransferId,
    body: Arc<Vec<u8>>,
    /// Offset up to which the body was sent.
    sent: usize,
    /// Offset up to which the server acknowledged the body.
    acknowledged: usize,
    /// Time of the latest sent chunk or acknowledged progress.
    last_activity: f64,
    /// Time of the latest acknowledged progress.
    pub(super) last_progress: f64,
}

impl Transfer {
    /// Creates a transfer that starts or resumes at an offset.
    pub(super) fn new(now: f64, id: TransferId, body: Arc<Vec<u8>>, offset: usize) -> Transfer {
        Transfer { id, body, sent: offset, acknowledged: offset, last_activity: now, last_progress: now }
    }

    fn record_progress(&mut self, now: f64, progress: Option<TransferProgress>) {
        let progress = progress.filter(|progress| progress.transfer == self.id);
        let received = progress.map_or(0, |progress| progress.received_bytes as usize);
        if received > self.acknowledged {
            (self.last_activity, self.last_progress) = (now, now);
        }
        // The offset decreases if the server discarded a complete body with a wrong digest.
        self.acknowledged = received;
    }

    /// Returns whether the transfer should be ended: its version is not the server's target, and either was reverted or the transfer is a
    /// single chunk that was not sent yet.
    pub(super) fn is_obsolete(&self, history: &History, server: &str) -> bool {
        let number = self.id.target.number;
        let not_begun = self.sent == 0 && self.body.len() <= MAX_CHUNK_BYTES;
        number != history.state().target(server) && (history.state().was_reverted(number) || not_begun)
    }

    /// Rewinds to the acknowledged offset if there was no activity within `timeout` seconds. Returns whether it did.
    pub(super) fn retry_if_lost(&mut self, now: f64, timeout: f64) -> bool {
        if now - self.last_activity <= timeout || self.sent <= self.acknowledged {
            return false;
        }
        (self.sent, self.last_activity) = (self.acknowledged, now);
        true
    }

    /// Returns the next chunk to send, or `None` at the end of the body.
    pub(super) fn next_chunk(&self) -> Option<Chunk> {
        if self.sent >= self.body.len() {
            return None;
        }
        let end = (self.sent + MAX_CHUNK_BYTES).min(self.body.len());
        let bytes = self.body[self.sent..end].to_vec();
        Some(Chunk { transfer: self.id, offset: self.sent as u32, bytes })
    }

    pub(super) fn sent_up_to(&mut self, now: f64, offset: usize) {
        self.sent = offset;
        self.last_activity = self.last_activity.max(now);
    }
}
