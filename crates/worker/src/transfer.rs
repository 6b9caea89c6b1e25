//! Steps of trace collection: each reads blocks and sends them to the trace store until its deadline.

use crate::collection::CollectionPlan;
use crate::config::CollectionConfig;
use crate::store_connection::StoreConnection;
use crate::trace_files::{list_trace_files, read_block, OpenFile, ReadBlock};
pub use crate::transfer_error::TransferError;
use base64::prelude::{Engine as _, BASE64_STANDARD};
use puffinladder_leases::fence::Verdict;
use puffinladder_leases::{Epoch, Task};
use puffinladder_trace_store::protocol::{BlockId, FileId, FileProgress, PutOutcome, Request, Response};
use puffinladder_transport::Clock;
use std::sync::atomic::{AtomicBool, Ordering};

/// Factor by which the expected time of a block decays with each faster block, so that occasional slow writes are remembered.
const BLOCK_TIME_DECAY: f64 = 0.9;
/// A block is started only if this multiple of its expected time remains in the step.
const BLOCK_TIME_MARGIN: f64 = 2.0;

/// The outcome of a step.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StepOutcome {
    /// Whether the trace store has stored a block.
    pub progress: bool,
    /// Whether there may be more blocks.
    pub has_more: bool,
    /// Whether the trace store rejected the epoch as superseded.
    pub fenced: bool,
}

/// Whether a step continues after a request to the trace store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Flow {
    Continue,
    Stop,
}

/// State of one held part that persists between steps.
pub struct Transfer {
    config: CollectionConfig,
    task: Task,
    epoch: Epoch,
    plan: CollectionPlan,
    connection: Option<StoreConnection>,
    /// Number of the last effect that the trace store has confirmed.
    last_effect: u64,
    /// Time of the last scan, by the step's clock.
    listed_at: f64,
    /// Expected time of a block, in seconds.
    block_time: f64,
    open_file: Option<OpenFile>,
    /// Whether the last step failed; only changes are logged.
    failing: bool,
}

impl Transfer {
    /// Creates the state of a part held under an epoch.
    pub fn new(config: CollectionConfig, task: Task, epoch: Epoch) -> Transfer {
        Transfer {
            config,
            task,
            epoch,
            plan: CollectionPlan::default(),
            connection: None,
            last_effect: 0,
            listed_at: f64::MIN,
            block_time: 0.0,
            open_file: None,
            failing: false,
        }
    }

    /// Returns the delay, in seconds, after a step without work.
    pub fn idle_interval(&self) -> f64 {
        self.config.scan_interval
    }

    /// Transfers blocks until `until` by this clock, until there are none, or until `stop_early` is set, which lets the current
    /// block finish.
    pub async fn step(&mut self, clock: &Clock, until: f64, stop_early: &AtomicBool) -> StepOutcome {
        let mut outcome = StepOutcome { has_more: true, ..StepOutcome::default() };
        let until = until.min(clock.now() + self.config.max_step_duration);
        let timeout = clock.sleep_duration((until - clock.now()).max(0.0));
        let work = self.transfer_blocks(clock, until, stop_early, &mut outcome);
        let result = tokio::time::timeout(timeout, work).await;
        // After a timeout the current block may have been stored: the next step announces its epoch again to find out.
        match result.unwrap_or(Err(TransferError::TimedOut)) {
            Ok(()) => {
                if std::mem::take(&mut self.failing) {
                    tracing::info!("{}: collection resumed", self.task);
                }
            }
            Err(error) => {
                self.connection = None;
                if !std::mem::replace(&mut self.failing, true) {
                    tracing::warn!("{}: collection step failed, will be retried: {error}", self.task);
                }
            }
        }
        outcome
    }

    async fn transfer_blocks(
        &mut self,
        clock: &Clock,
        until: f64,
        stop_early: &AtomicBool,
        outcome: &mut StepOutcome,
    ) -> Result<(), TransferError> {
        while !stop_early.load(Ordering::Relaxed) {
            if self.connection.is_none() && self.announce(outcome).await? == Flow::Stop {
                return Ok(());
            }
            let started = clock.now();
            // A block that would probably exceed the step is not started, unless it is the first one.
            let expected = started + BLOCK_TIME_MARGIN * self.block_time;
            if started >= until || (outcome.progress && expected >= until) {
                return Ok(());
            }
            if started - self.listed_at >= self.config.scan_interval {
                self.list_files(started).await?;
            }
            let Some((file, position)) = self.plan.next_block(started) else {
                outcome.has_more = false;
                return Ok(());
            };
            let Some((id, block)) = self.read_block(started, file, position).await? else { continue };
            let flow = self.put_block(id, &block, outcome).await?;
            let elapsed = clock.now() - started;
            self.block_time = (BLOCK_TIME_DECAY * self.block_time).max(elapsed);
            if flow == Flow::Stop {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Opens a connection and announces the epoch. The response contains the progress to resume from.
    async fn announce(&mut self, outcome: &mut StepOutcome) -> Result<Flow, TransferError> {
        let mut connection = StoreConnection::open(self.config.trace_store).await?;
        let (task, epoch, parts) = (self.task.clone(), self.epoch, self.config.parts);
        match connection.request(&Request::Announce { task, epoch, parts }).await? {
            Response::Announced { verdict, number, progress } if verdict.is_applied() => {
                self.plan.reset(progress);
                self.last_effect = number;
                self.connection = Some(connection);
                self.listed_at = f64::MIN;
                Ok(Flow::Continue)
            }
            Response::Announced { .. } => {
                outcome.fenced = true;
                Ok(Flow::Stop)
            }
            other => Err(TransferError::UnexpectedResponse(other)),
        }
    }

    async fn list_files(&mut self, now: f64) -> Result<(), TransferError> {
        self.listed_at = now;
        let (traces, parts, part) = (self.config.traces_directory.clone(), self.config.parts, self.task.part);
        let list = tokio::task::spawn_blocking(move || list_trace_files(&traces, parts, part));
        self.plan.set_files(list.await??);
        Ok(())
    }

    /// Reads a block. Returns `None` if its file is unreadable, and schedules a retry.
    async fn read_block(
        &mut self,
        now: f64,
        file: FileId,
        position: u64,
    ) -> Result<Option<(BlockId, Vec<u8>)>, TransferError> {
        let path = self.config.traces_directory.join(&file.server).join(&file.name);
        let open = self.open_file.take().filter(|open| open.id == file);
        let id = file.clone();
        let read = tokio::task::spawn_blocking(move || read_block(open, id, &path, position));
        match read.await? {
            Ok(ReadBlock { file: open, bytes, last }) => {
                self.open_file = Some(open);
                Ok(Some((BlockId { file, position, last }, bytes)))
            }
            Err(error) => {
                if self.plan.back_off(now, &file) {
                    let (task, FileId { server, name }) = (&self.task, file);
                    tracing::warn!("{task}: can't read {server}/{name}, will be retried: {error}");
                }
                Ok(None)
            }
        }
    }

    /// Sends a block and records its outcome.
    async fn put_block(
        &mut self,
        id: BlockId,
        block: &[u8],
        outcome: &mut StepOutcome,
    ) -> Result<Flow, TransferError> {
        let request = Request::Put {
            task: self.task.clone(),
            epoch: self.epoch,
            number: self.last_effect + 1,
            id: id.clone(),
            block: BASE64_STANDARD.encode(block),
        };
        let connection = self.connection.as_mut().ok_or(TransferError::NotConnected)?;
        match connection.request(&request).await? {
            Response::Put(PutOutcome::Fence(Verdict::New)) => {
                self.last_effect += 1;
                outcome.progress = true;
                let progress = FileProgress { blocks: id.position + 1, complete: id.last };
                self.plan.record_progress(&id.file, progress);
                Ok(Flow::Continue)
            }
            Response::Put(PutOutcome::Fence(Verdict::Stale { .. })) => {
                outcome.fenced = true;
                Ok(Flow::Stop)
            }
            Response::Put(PutOutcome::UnexpectedBlock(progress)) => {
                self.plan.record_progress(&id.file, progress);
                Ok(Flow::Continue)
            }
            // The trace store expects another effect number: announcing the epoch again resynchronizes it.
            Response::Put(PutOutcome::Fence(_)) => {
                self.connection = None;
                Ok(Flow::Continue)
            }
            Response::Put(PutOutcome::Full) => Err(TransferError::StoreFull),
            other => Err(TransferError::UnexpectedResponse(other)),
        }
    }
}
