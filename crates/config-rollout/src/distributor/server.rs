//! What a distributor knows of one server, and the transfer to it.

use super::token_bucket::TokenBucket;
use crate::digest::VersionId;
use crate::history::History;
use crate::messages::{Acknowledgement, Chunk, TransferId, TransferProgress, MAX_CHUNK_BYTES};
use std::sync::Arc;

/// One server, as it last acknowledged.
pub(super) struct Server {
    pub(super) incarnation: u64,
    /// Of the last acknowledgement.
    pub(super) sequence: u64,
    pub(super) staged: VersionId,
    active: VersionId,
    /// The version that it does not want.
    pub(super) rejected: Option<VersionId>,
    pub(super) progress: Option<TransferProgress>,
    pub(super) last_heard: f64,
    pub(super) bucket: TokenBucket,
    pub(super) transfer: Option<Transfer>,
    /// Waits for a transfer to begin.
    pub(super) queued: bool,
    /// Its transfer takes one of the catch-up slots.
    pub(super) has_slot: bool,
    /// When it was last sent its target.
    pub(super) last_target: f64,
}

impl Server {
    /// A server that was not known before; its first acknowledgement is still to be taken in.
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

    /// Takes a newer acknowledgement in. Returns whether the transfer is of no more use.
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

/// A body that is being sent to one server.
pub(super) struct Transfer {
    pub(super) id: TransferId,
    body: Arc<Vec<u8>>,
    /// Sent up to here.
    sent: usize,
    /// At the server up to here, as it acknowledged.
    acknowledged: usize,
    /// When something was last sent or acknowledged.
    last_activity: f64,
    /// When the server last had more than before.
    pub(super) last_progress: f64,
}

impl Transfer {
    /// A transfer that begins, or resumes, at an offset.
    pub(super) fn new(now: f64, id: TransferId, body: Arc<Vec<u8>>, offset: usize) -> Transfer {
        Transfer { id, body, sent: offset, acknowledged: offset, last_activity: now, last_progress: now }
    }

    fn record_progress(&mut self, now: f64, progress: Option<TransferProgress>) {
        let progress = progress.filter(|progress| progress.transfer == self.id);
        let received = progress.map_or(0, |progress| progress.received_bytes as usize);
        if received > self.acknowledged {
            (self.last_activity, self.last_progress) = (now, now);
        }
        // It is less than before where a body was complete and had a wrong digest.
        self.acknowledged = received;
    }

    /// Whether it leads to a reverted version, or is short, has not begun and leads to another version than the target.
    pub(super) fn is_obsolete(&self, history: &History, server: &str) -> bool {
        let number = self.id.target.number;
        let not_begun = self.sent == 0 && self.body.len() <= MAX_CHUNK_BYTES;
        number != history.state().target(server) && (history.state().was_reverted(number) || not_begun)
    }

    /// Goes back to where the server is if nothing came of what was sent. Returns whether it did.
    pub(super) fn retry_if_lost(&mut self, now: f64, timeout: f64) -> bool {
        if now - self.last_activity <= timeout || self.sent <= self.acknowledged {
            return false;
        }
        (self.sent, self.last_activity) = (self.acknowledged, now);
        true
    }

    /// The chunk to send next; none at the end of the body.
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
