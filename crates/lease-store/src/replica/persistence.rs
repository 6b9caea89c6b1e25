//! Conversion of raft's `Ready` into writes and the messages that depend on them.

use super::requests::PendingRead;
use super::{PeerMessage, Replica, ReplicaError};
use crate::durable::{PendingWrite, StoredEntry, StoredHardState, StoredSnapshot};
use protobuf::Message as _;
use raft::eraftpb::Message;
use raft::{ReadState, Ready};

/// Write handed to the host, with the messages that depend on it.
pub(super) struct UnpersistedWrite {
    /// Sequence number of the write.
    pub sequence: u64,
    /// Time on the host's clock at which it was handed out (s).
    pub handed_out_at: f64,
    /// Index of the leader's snapshot that the write contains, if any.
    pub snapshot_index: Option<u64>,
    /// Messages to send once the write is durable.
    pub messages: Vec<Message>,
}

impl Replica {
    /// Records that the write with this sequence number and all earlier ones are durable.
    pub fn persisted(&mut self, sequence: u64) {
        while self.unpersisted.front().is_some_and(|write| write.sequence <= sequence) {
            let Some(write) = self.unpersisted.pop_front() else { return };
            self.node.on_persist_ready(write.sequence);
            if let Some(index) = write.snapshot_index {
                self.node.advance_apply_to(index);
            }
            self.send(write.messages);
        }
    }

    /// Handles one `Ready`: updates the log, queues the write and applies committed entries.
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

    /// Adds the snapshot, entries and hard state of a `Ready` to the log in memory, and returns them as a write.
    fn pending_write(&mut self, ready: &mut Ready) -> Result<PendingWrite, ReplicaError> {
        let mut write = PendingWrite { sequence: ready.number(), ..PendingWrite::default() };
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

    /// Queues a write with the messages that depend on it. An empty write is durable at once if none is pending.
    fn queue_write(&mut self, now: f64, write: PendingWrite, messages: Vec<Message>) {
        if write.is_empty() && self.unpersisted.is_empty() {
            self.node.on_persist_ready(write.sequence);
            self.send(messages);
            return;
        }
        self.unpersisted.push_back(UnpersistedWrite {
            sequence: write.sequence,
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
