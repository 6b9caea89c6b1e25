//! From raft's `Ready` to writes and messages: what must be durable first, and what waits for it.

use super::requests::PendingRead;
use super::{PeerMessage, Replica, ReplicaError};
use crate::durable::{PendingWrite, StoredEntry, StoredHardState, StoredSnapshot};
use protobuf::Message as _;
use raft::eraftpb::Message;
use raft::{ReadState, Ready};

/// A write that was handed out, and what waits for it.
pub(super) struct UnpersistedWrite {
    /// The write's number.
    pub number: u64,
    /// When it was handed out, on the host's clock, s.
    pub handed_out_at: f64,
    /// Index of the leader's snapshot in it, if there is one.
    pub snapshot_index: Option<u64>,
    /// Messages that may be sent once it is durable.
    pub messages: Vec<Message>,
}

impl Replica {
    /// The write with this number is durable, and all before it.
    pub fn persisted(&mut self, number: u64) {
        while self.unpersisted.front().is_some_and(|write| write.number <= number) {
            let Some(write) = self.unpersisted.pop_front() else { return };
            self.node.on_persist_ready(write.number);
            if let Some(index) = write.snapshot_index {
                self.node.advance_apply_to(index);
            }
            self.send(write.messages);
        }
    }

    /// Takes one `Ready` of raft's: keeps what is new in the log, hands it out to be written, and applies what is committed.
    pub(super) fn handle_ready(&mut self, now: f64) -> Result<(), ReplicaError> {
        let mut ready = self.node.ready();
        let immediate_messages = ready.take_messages();
        let write = self.pending_write(&mut ready)?;
        let committed = ready.take_committed_entries();
        let messages_after_write = ready.take_persisted_messages();
        self.take_read_states(ready.take_read_states());
        self.node.advance_append_async(ready);
        self.send(immediate_messages);
        self.queue_write(now, write, messages_after_write);
        for entry in &committed {
            self.apply(now, entry)?;
        }
        if !committed.is_empty() {
            self.node.advance_apply_to(self.applied);
        }
        Ok(())
    }

    /// Takes a `Ready`'s snapshot, entries and hard state into the log in memory, and returns them as the write to be made.
    fn pending_write(&mut self, ready: &mut Ready) -> Result<PendingWrite, ReplicaError> {
        let mut write = PendingWrite { number: ready.number(), ..PendingWrite::default() };
        if ready.snapshot().get_metadata().index > 0 {
            let snapshot = StoredSnapshot::from(ready.snapshot());
            self.restore(&snapshot)?;
            write.snapshot = Some(snapshot);
        }
        let entries = ready.take_entries();
        self.node.mut_store().append(&entries);
        write.entries = entries.iter().map(StoredEntry::from).collect();
        if let Some(hard_state) = ready.hs() {
            write.hard_state = Some(StoredHardState::from(hard_state));
            self.node.mut_store().set_hard_state(hard_state);
        }
        Ok(write)
    }

    fn take_read_states(&mut self, states: Vec<ReadState>) {
        for state in states {
            if let Ok(token) = state.request_ctx[..].try_into() {
                self.pending_reads.push(PendingRead { index: state.index, token: u64::from_le_bytes(token) });
            }
        }
    }

    /// Hands out a write with the messages that wait for it; an empty one counts as durable if no other is under way.
    fn queue_write(&mut self, now: f64, write: PendingWrite, messages: Vec<Message>) {
        if write.is_empty() && self.unpersisted.is_empty() {
            self.node.on_persist_ready(write.number);
            self.send(messages);
            return;
        }
        self.unpersisted.push_back(UnpersistedWrite {
            number: write.number,
            handed_out_at: now,
            snapshot_index: write.snapshot.as_ref().map(|snapshot| snapshot.index),
            messages,
        });
        self.output.writes.push(write);
    }

    fn send(&mut self, messages: Vec<Message>) {
        for message in messages {
            if let Ok(bytes) = message.write_to_bytes() {
                self.output.messages.push(PeerMessage { to: message.to, bytes });
            }
        }
    }
}
