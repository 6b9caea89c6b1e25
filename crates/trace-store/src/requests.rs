//! Handling of requests. Updates are applied to the index immediately, so that they affect the next request, and collected for
//! one commit. No response may be sent before that commit.

use crate::index::{Decision, TraceIndex};
use crate::protocol::{BlockId, FileId, PutOutcome, Request, Response};
use crate::store::PendingWrite;
use base64::prelude::{Engine as _, BASE64_STANDARD};
use puffinladder_leases::assignment::part_for_key;
use puffinladder_leases::fence::Verdict;
use puffinladder_leases::protocol::Event;
use puffinladder_leases::{Epoch, Task};

/// A response, and the event that is emitted with it.
pub(crate) struct Reply {
    pub response: Response,
    pub event: Option<Event>,
}

impl From<Response> for Reply {
    fn from(response: Response) -> Reply {
        Reply { response, event: None }
    }
}

/// Handler of requests, in sequence.
pub(crate) struct RequestHandler {
    index: TraceIndex,
    /// Number of stored blocks, including evicted ones.
    stored_blocks: u64,
    pending_writes: Vec<PendingWrite>,
}

impl RequestHandler {
    pub fn new(index: TraceIndex) -> RequestHandler {
        let stored_blocks = index.files().map(|(_, progress)| progress.blocks).sum();
        RequestHandler { index, stored_blocks, pending_writes: Vec::new() }
    }

    /// Returns the number of indexed files, including evicted ones.
    pub fn file_count(&self) -> usize {
        self.index.files().count()
    }

    /// Returns the writes to be committed before the responses so far are sent.
    pub fn take_pending_writes(&mut self) -> Vec<PendingWrite> {
        std::mem::take(&mut self.pending_writes)
    }

    pub fn handle(&mut self, request: Request) -> Reply {
        match request {
            Request::Announce { task, epoch, parts } => self.announce(task, epoch, parts),
            Request::Put { task, epoch, number, id, block } => match decode_block(&block) {
                Ok(block) => self.put(task, epoch, number, &id, block),
                Err(reason) => Response::Failed(format!("the block: {reason}")).into(),
            },
            Request::Status => self.status().into(),
        }
    }

    fn announce(&mut self, task: Task, epoch: Epoch, parts: u32) -> Reply {
        let Decision { outcome: verdict, update } = self.index.announce(&task, epoch);
        if let Some(update) = update {
            self.index.apply(&update, 0);
            tracing::info!("{task}: announced epoch {epoch}");
            self.pending_writes.push(PendingWrite { update, block: Vec::new() });
        }
        let number = self.index.fence_state(&task).number;
        let belongs_to_part = |file: &FileId| part_for_key(&task.name, &file.server, parts) == task.part;
        let progress = if verdict.is_applied() {
            let files = self.index.files().filter(|(file, _)| belongs_to_part(file));
            files.map(|(file, progress)| (file.clone(), *progress)).collect()
        } else {
            Vec::new()
        };
        let event = Event::EffectChecked { task, epoch, number, block: None, verdict };
        Reply { response: Response::Announced { verdict, number, progress }, event: Some(event) }
    }

    fn put(&mut self, task: Task, epoch: Epoch, number: u64, id: &BlockId, block: Vec<u8>) -> Reply {
        let bytes = block.len() as u64;
        let Decision { outcome, update } = self.index.put(&task, epoch, number, id, bytes);
        if let Some(update) = update {
            self.index.apply(&update, bytes);
            self.stored_blocks += u64::from(!block.is_empty());
            self.pending_writes.push(PendingWrite { update, block });
        }
        if let PutOutcome::Fence(Verdict::Stale { latest }) = outcome {
            tracing::warn!("{task}: rejected an effect of epoch {epoch}, superseded by epoch {latest}");
        }
        let event = match outcome {
            PutOutcome::Fence(verdict) => {
                let block = Some(format!("{}/{}#{}", id.file.server, id.file.name, id.position));
                Some(Event::EffectChecked { task, epoch, number, block, verdict })
            }
            _ => None,
        };
        Reply { response: Response::Put(outcome), event }
    }

    fn status(&self) -> Response {
        Response::Status {
            files: self.file_count(),
            complete_files: self.index.files().filter(|(_, progress)| progress.complete).count(),
            blocks: self.stored_blocks,
            bytes: self.index.stored_bytes(),
            rejected: self.index.rejected_effects(),
        }
    }
}

/// Decodes a block and validates its checksum. An empty block represents one that the worker could not read.
fn decode_block(text: &str) -> Result<Vec<u8>, InvalidBlock> {
    let block = BASE64_STANDARD.decode(text)?;
    if !block.is_empty() {
        puffinladder_trace::file::verify_block(block.clone()).map_err(|bad| InvalidBlock::Damaged(bad.0))?;
    }
    Ok(block)
}

/// The reason why a block can't be decoded.
#[derive(Debug, thiserror::Error)]
enum InvalidBlock {
    #[error("{0}")]
    Encoding(#[from] base64::DecodeError),
    #[error("{0}")]
    Damaged(&'static str),
}
