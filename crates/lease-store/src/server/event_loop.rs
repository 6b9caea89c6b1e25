//! Event loop: the task that owns the replica, passes requests, ticks and durable writes to it, and performs its
//! output.

mod output;
mod requests;

use super::connection::IncomingRequest;
use super::counters::Counters;
use super::disk::DiskThread;
use super::peers::Peers;
use super::pending_replies::PendingReplies;
use super::{ServerError, ServerOptions};
use crate::replica::Replica;
use crate::store::Store;
use puffinladder_leases::protocol::ReplicaReply;
use puffinladder_leases::HolderId;
use std::collections::BTreeMap;
use std::sync::atomic::AtomicU64;
use std::sync::Arc;
use tokio::sync::{mpsc, watch};
use tokio::time::{interval, MissedTickBehavior};

/// Maximum number of requests handled before their output is performed.
const MAX_BATCH_REQUESTS: usize = 512;

/// Replica with its connections, counters and pending replies.
pub(super) struct EventLoop {
    options: ServerOptions,
    replica: Replica,
    peers: Peers,
    /// Connection on which each instance sent its last request.
    instances: BTreeMap<HolderId, mpsc::Sender<ReplicaReply>>,
    pending_replies: PendingReplies,
    was_leader: bool,
    counters: Counters,
    /// Number of syncs, incremented by the disk thread.
    syncs: Arc<AtomicU64>,
}

impl EventLoop {
    pub fn new(options: ServerOptions, replica: Replica, stopped: watch::Receiver<bool>) -> EventLoop {
        let peers = Peers::new(options.peers.clone(), stopped);
        EventLoop {
            options,
            replica,
            peers,
            instances: BTreeMap::new(),
            pending_replies: PendingReplies::default(),
            was_leader: false,
            counters: Counters::default(),
            syncs: Arc::default(),
        }
    }

    /// Runs until the process is stopped or a fatal error occurs.
    pub async fn run(
        mut self,
        store: Store,
        mut requests: mpsc::Receiver<IncomingRequest>,
        mut stopped: watch::Receiver<bool>,
    ) -> Result<(), ServerError> {
        let mut disk = DiskThread::start(store, self.options.sync_delay.clone(), self.syncs.clone())?;
        let mut ticks = interval(self.options.clock.sleep_duration(self.options.tick_interval));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut batch = Vec::with_capacity(MAX_BATCH_REQUESTS);
        loop {
            tokio::select! {
                count = requests.recv_many(&mut batch, MAX_BATCH_REQUESTS) => {
                    if count == 0 {
                        return Ok(());
                    }
                    self.handle_all(batch.drain(..));
                }
                _ = ticks.tick() => self.handle_tick(&mut requests),
                sequence = disk.persisted.recv() => match sequence {
                    Some(sequence) => self.replica.persisted(sequence),
                    None => return Err(disk.failure()),
                },
                _ = stopped.changed() => {
                    let finished = disk.finish().await;
                    tracing::info!("lease-store replica {} stopped at log index {}", self.replica.id(), self.replica.applied());
                    return finished;
                }
            }
            let output = self.replica.process(self.options.clock.now())?;
            self.carry_out(output, &disk);
        }
    }

    fn handle_all(&mut self, batch: impl Iterator<Item = IncomingRequest>) {
        let now = self.options.clock.now();
        for incoming in batch {
            self.handle(now, incoming);
        }
    }

    /// Advances the replica by one tick. Requests read before a pause of this process are handled first, so that their
    /// leases do not expire.
    fn handle_tick(&mut self, requests: &mut mpsc::Receiver<IncomingRequest>) {
        let now = self.options.clock.now();
        while let Ok(incoming) = requests.try_recv() {
            self.handle(now, incoming);
        }
        self.replica.tick(now);
    }
}
