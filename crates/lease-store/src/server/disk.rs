//! Disk thread: makes all queued writes durable with one sync.

use super::ServerError;
use crate::durable::PendingWrite;
use crate::store::{Store, StoreError};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{mpsc as blocking, Arc};
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::sync::mpsc;

/// Handle of the disk thread.
pub(super) struct DiskThread {
    /// Queue of writes, in order.
    pub writes: blocking::Sender<Vec<PendingWrite>>,
    /// Sequence numbers of durable writes; all earlier writes are durable too. Closed when the thread ends.
    pub persisted: mpsc::UnboundedReceiver<u64>,
    handle: JoinHandle<Result<(), StoreError>>,
}

impl DiskThread {
    /// Starts the thread. `sync_delay` delays each sync (ms, for tests); `syncs` counts the syncs.
    pub fn start(
        store: Store,
        sync_delay: Arc<AtomicU64>,
        syncs: Arc<AtomicU64>,
    ) -> Result<DiskThread, ServerError> {
        let (writes, queue) = blocking::channel();
        let (persisted_sender, persisted) = mpsc::unbounded_channel();
        let handle = std::thread::Builder::new()
            .name("disk".into())
            .spawn(move || run_disk_thread(&store, &queue, &persisted_sender, &sync_delay, &syncs))
            .map_err(ServerError::DiskThread)?;
        Ok(DiskThread { writes, persisted, handle })
    }

    /// Returns the reason why the thread ended.
    pub fn failure(self) -> ServerError {
        match self.handle.join() {
            Ok(Ok(())) => ServerError::DiskThreadEnded,
            Ok(Err(error)) => error.into(),
            Err(_) => ServerError::DiskThreadPanicked,
        }
    }

    /// Closes the queue and waits until the thread has finished the queued writes.
    pub async fn finish(self) -> Result<(), ServerError> {
        drop(self.writes);
        let handle = self.handle;
        let ended = tokio::task::spawn_blocking(move || handle.join()).await?;
        Ok(ended.map_err(|_| ServerError::DiskThreadPanicked)??)
    }
}

fn run_disk_thread(
    store: &Store,
    queue: &blocking::Receiver<Vec<PendingWrite>>,
    persisted: &mpsc::UnboundedSender<u64>,
    sync_delay: &AtomicU64,
    syncs: &AtomicU64,
) -> Result<(), StoreError> {
    while let Ok(mut writes) = queue.recv() {
        writes.extend(queue.try_iter().flatten());
        match sync_delay.load(Ordering::Relaxed) {
            0 => {}
            delay => std::thread::sleep(Duration::from_millis(delay)),
        }
        store.write(&writes)?;
        syncs.fetch_add(1, Ordering::Relaxed);
        let last = writes.iter().map(|write| write.sequence).max();
        if let Some(last) = last.filter(|sequence| *sequence > 0) {
            if persisted.send(last).is_err() {
                return Ok(());
            }
        }
    }
    Ok(())
}
