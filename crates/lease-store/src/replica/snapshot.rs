//! Snapshots of the replicated state, which replace the log entries before them.

use super::{Replica, ReplicaError};
use crate::durable::{PendingWrite, StoredSnapshot};
use crate::membership::Members;
use puffinladder_leases::table::LeaseTable;
use serde::{Deserialize, Serialize};

/// Contents of a snapshot. Stored: never reorder fields.
#[derive(Default, Serialize, Deserialize)]
pub(super) struct ReplicatedState {
    pub table: LeaseTable,
    pub members: Members,
}

/// Decodes a snapshot. The bootstrap snapshot has no data and gives the default state.
pub(super) fn decode(snapshot: &StoredSnapshot) -> Result<ReplicatedState, ReplicaError> {
    if snapshot.data.is_empty() {
        return Ok(ReplicatedState::default());
    }
    postcard::from_bytes(&snapshot.data).map_err(ReplicaError::Snapshot)
}

impl Replica {
    /// Replaces the whole state with a snapshot from the leader.
    pub(super) fn restore(&mut self, snapshot: &StoredSnapshot) -> Result<(), ReplicaError> {
        let state = decode(snapshot)?;
        self.table = state.table;
        self.members = state.members;
        self.applied = snapshot.index;
        self.node.mut_store().restore(snapshot.clone());
        Ok(())
    }

    /// Replaces the applied log entries with a snapshot if one is due and no write is pending.
    pub(super) fn compact_log(&mut self) {
        let log = self.node.store();
        let is_due = log.len() >= self.config.snapshot_entries || self.snapshot_due;
        if !is_due || self.applied <= log.snapshot_index() || !self.unpersisted.is_empty() {
            return;
        }
        let Ok(encoded) = self.encode() else { return };
        let applied = self.applied;
        self.snapshot_due = false;
        if let Some(snapshot) = self.node.mut_store().compact(applied, encoded) {
            // No message depends on this write, so it needs no sequence number.
            self.output.writes.push(PendingWrite { snapshot: Some(snapshot), ..PendingWrite::default() });
        }
    }

    /// Encodes the replicated state. The table is moved out and back to avoid copying it.
    fn encode(&mut self) -> postcard::Result<Vec<u8>> {
        let table = std::mem::take(&mut self.table);
        let state = ReplicatedState { table, members: self.members.clone() };
        let encoded = postcard::to_allocvec(&state);
        self.table = state.table;
        encoded
    }
}
