//! Incomplete bodies that are assembled from chunks. Memory is allocated for received bytes only, never for a claimed length.

use crate::messages::{Chunk, TransferId, TransferProgress};

/// Maximum number of incomplete bodies.
pub(super) const MAX_BODIES: usize = 3;

#[derive(Clone, Debug, PartialEq)]
pub(super) struct PartialBody {
    transfer: TransferId,
    pub(super) bytes: Vec<u8>,
}

/// The incomplete bodies, ordered by their latest chunk.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct PartialBodies {
    pub(super) bodies: Vec<PartialBody>,
}

/// Outcome of adding a chunk to its body.
pub(super) enum ExtendOutcome {
    /// Bytes before the chunk are missing.
    Gap,
    /// Further chunks are missing.
    Incomplete,
    /// The body is complete.
    Complete(Vec<u8>),
}

impl PartialBodies {
    /// Appends the new bytes of a chunk to its body. Evicts the least recently extended body if there are too many.
    pub(super) fn extend(&mut self, chunk: &Chunk) -> ExtendOutcome {
        let offset = chunk.offset as usize;
        let position = self.bodies.iter().position(|body| body.transfer == chunk.transfer);
        let mut body = match position {
            Some(position) => self.bodies.remove(position),
            None if offset == 0 => PartialBody { transfer: chunk.transfer, bytes: Vec::new() },
            None => return ExtendOutcome::Gap,
        };
        let received = body.bytes.len();
        let gap = offset > received;
        if !gap {
            body.bytes.extend(chunk.bytes.iter().skip(received - offset));
        }
        if body.bytes.len() >= chunk.transfer.total_bytes as usize {
            return ExtendOutcome::Complete(body.bytes);
        }
        self.bodies.push(body);
        if self.bodies.len() > MAX_BODIES {
            self.bodies.remove(0);
        }
        if gap {
            ExtendOutcome::Gap
        } else {
            ExtendOutcome::Incomplete
        }
    }

    /// Drops the bodies of versions up to and including `number`.
    pub(super) fn drop_up_to(&mut self, number: u64) {
        self.bodies.retain(|body| body.transfer.target.number > number);
    }

    /// Returns the progress of the most recently extended body.
    pub(super) fn latest_progress(&self) -> Option<TransferProgress> {
        let body = self.bodies.last()?;
        Some(TransferProgress { transfer: body.transfer, received_bytes: body.bytes.len() as u32 })
    }
}
