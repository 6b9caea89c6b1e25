//! Bodies that are being put together from chunks. A length that a message claims reserves no memory.

use crate::messages::{Chunk, TransferId, TransferProgress};

/// Bodies that may be incomplete at once, from whichever distributors.
pub(super) const MAX_BODIES: usize = 3;

#[derive(Clone, Debug, PartialEq)]
pub(super) struct PartialBody {
    transfer: TransferId,
    pub(super) bytes: Vec<u8>,
}

/// The incomplete bodies; the one that grew last is the last.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct PartialBodies {
    pub(super) bodies: Vec<PartialBody>,
}

/// What a chunk did to its body.
pub(super) enum ExtendOutcome {
    /// Bytes before the chunk are missing.
    Gap,
    /// More is to come.
    Incomplete,
    /// The whole body.
    Complete(Vec<u8>),
}

impl PartialBodies {
    /// Adds a chunk to its body; bytes that are there already are not written again. Where there are too many bodies, the one that has
    /// not grown for longest is dropped.
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

    /// Drops the bodies of versions up to that number: they are of no more use.
    pub(super) fn drop_up_to(&mut self, number: u64) {
        self.bodies.retain(|body| body.transfer.target.number > number);
    }

    /// Of the body that grew last.
    pub(super) fn latest_progress(&self) -> Option<TransferProgress> {
        let body = self.bodies.last()?;
        Some(TransferProgress { transfer: body.transfer, received_bytes: body.bytes.len() as u32 })
    }
}
