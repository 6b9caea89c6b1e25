//! Steps of collecting traces: each reads blocks and sends them to the trace store until its time is over.

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

/// How much of the longest time of a block remains after each block, as a share: the disk of the trace store is slow now and then.
const BLOCK_TIME_DECAY: f64 = 0.9;
/// A block is begun only while so many times its expected time is left of the step.
const BLOCK_TIME_MARGIN: f64 = 2.0;

/// How a step ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StepOutcome {
    /// The trace store has stored a block.
    pub progress: bool,
    /// There may be more to do.
    pub has_more: bool,
    /// The trace store's fence has seen a later epoch.
    pub fenced: bool,
}

/// Whether a step may go on after a request to the trace store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Flow {
    Continue,
    Stop,
}

/// What the holder of one part of the task knows from step to step.
pub struct Transfer {
    config: CollectionConfig,
    task: Task,
    epoch: Epoch,
    plan: CollectionPlan,
    connection: Option<StoreConnection>,
    /// The number of the last effect that the trace store is known to have.
    last_effect: u64,
    /// When the folders were listed last, by the step's clock.
    listed_at: f64,
    /// Seconds that a block is expected to take.
    block_time: f64,
    open_file: Option<OpenFile>,
    /// The last step failed: logged once, not with every attempt.
    failing: bool,
}

impl Transfer {
    /// For the holder of a part of the task under an epoch.
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

    /// Seconds until there may be something to do, where a step has found nothing.
    pub fn idle_interval(&self) -> f64 {
        self.config.scan_interval
    }

    /// Works until `until` by this clock, until there is nothing to do, or until `stop_early` is set: then the block in transfer is the last.
    pub async fn step(&mut self, clock: &Clock, until: f64, stop_early: &AtomicBool) -> StepOutcome {
        let mut outcome = StepOutcome { has_more: true, ..StepOutcome::default() };
        let until = until.min(clock.now() + self.config.max_step_duration);
        let timeout = clock.sleep_duration((until - clock.now()).max(0.0));
        let work = self.transfer_blocks(clock, until, stop_early, &mut outcome);
        let result = tokio::time::timeout(timeout, work).await;
        // After a timeout it is not known whether the block in transfer was stored: the next step asks.
        match result.unwrap_or(Err(TransferError::TimedOut)) {
            Ok(()) => {
                if std::mem::take(&mut self.failing) {
                    tracing::info!("{}: goes on", self.task);
                }
            }
            Err(error) => {
                self.connection = None;
                if !std::mem::replace(&mut self.failing, true) {
                    tracing::warn!("{}: {error}; retried", self.task);
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
            // No block is begun whose response would come after the step, unless the step would do nothing at all.
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
            let took = clock.now() - started;
            self.block_time = (BLOCK_TIME_DECAY * self.block_time).max(took);
            if flow == Flow::Stop {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Opens a connection, shows the epoch and learns where to go on.
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

    /// Reads a block; none where its file can't be read, which is then retried later.
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
                    tracing::warn!("{task}: {server}/{name}: {error}; retried later");
                }
                Ok(None)
            }
        }
    }

    /// Sends a block and notes what became of it.
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
            // The trace store knows more of this epoch than this worker does, or less: a new announcement tells.
            Response::Put(PutOutcome::Fence(_)) => {
                self.connection = None;
                Ok(Flow::Continue)
            }
            Response::Put(PutOutcome::Full) => Err(TransferError::StoreFull),
            other => Err(TransferError::UnexpectedResponse(other)),
        }
    }
}
