//! Distributor of versions to servers. It makes no decisions: the replicated history determines the target of each server, so any number
//! of distributors can run concurrently, each with its own replica.
//!
//! A server is sent a change to its version, or the whole content if that is shorter. Each server has a token bucket, which starts empty
//! so that reconnecting to another distributor does not raise the server's byte rate. A body of more than one chunk requires one of a
//! limited number of catch-up slots. Slots are assigned first come, first served, with simultaneous arrivals in a seeded random order,
//! which spreads out a mass restart without starvation.
//!
//! Times are seconds of the distributor's monotonic clock.

mod body_cache;
mod server;
mod settings;
mod token_bucket;

pub use settings::{DistributorSettings, SettingsError};

use crate::digest::VersionId;
use crate::history::History;
use crate::messages::{Acknowledgement, DistributorMessage, MAX_CHUNK_BYTES};
use body_cache::{Body, BodyCache};
use puffinladder_leases::{Epoch, SeededRandom};
use server::{Server, Transfer};
use std::collections::{BTreeMap, VecDeque};
use token_bucket::TokenBucket;

/// Number of retry timeouts without progress after which a transfer loses its slot.
const STALL_RETRIES: f64 = 8.0;

/// Event counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DistributorCounters {
    /// Bytes sent.
    pub bytes: u64,
    /// Lines sent.
    pub lines: u64,
    /// Started transfers of a change.
    pub changes: u64,
    /// Started transfers of a whole content.
    pub whole_contents: u64,
    /// Rewinds of a transfer to the acknowledged offset after a lost chunk.
    pub retries: u64,
    /// Acknowledgements rejected because of the server limit.
    pub servers_rejected: u64,
    /// Polls with a replica of the history older than one that was used before.
    pub stale_replicas: u64,
}

impl DistributorCounters {
    fn count_line(&mut self, bytes: usize) {
        self.bytes += bytes as u64;
        self.lines += 1;
    }
}

/// A message with its receiver.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingMessage {
    /// The name of the receiving server.
    pub server: String,
    /// The message, to be sent as one line.
    pub message: DistributorMessage,
}

/// The state of one round over all servers.
struct Round<'a> {
    now: f64,
    history: &'a History,
    /// Age of the replica, s.
    age: f64,
    /// Messages to send in this round.
    messages: Vec<OutgoingMessage>,
}

/// Position of a replica of the history in the log.
#[derive(Clone, Copy, Default)]
struct ReplicaPosition {
    epoch: Epoch,
    applied: u64,
}

/// The state of a distributor: its servers and the transfers to them.
pub struct Distributor {
    settings: DistributorSettings,
    servers: BTreeMap<String, Server>,
    /// Servers waiting for a transfer, in order of arrival.
    queue: VecDeque<String>,
    used_slots: usize,
    bodies: BodyCache,
    bucket: TokenBucket,
    /// The first server for which the total bucket ran out in the last round; the next round starts with it.
    next_server: String,
    /// The latest position of a replica that was used.
    seen: ReplicaPosition,
    seed: u64,
    counters: DistributorCounters,
}

impl Distributor {
    /// Creates a distributor without servers. The settings must have passed [`DistributorSettings::check`]; `seed` determines the order
    /// of simultaneous arrivals in the queue.
    pub fn new(settings: DistributorSettings, seed: u64, now: f64) -> Distributor {
        Distributor {
            bucket: TokenBucket::new(settings.total_burst, now),
            settings,
            servers: BTreeMap::new(),
            queue: VecDeque::new(),
            used_slots: 0,
            bodies: BodyCache::default(),
            next_server: String::new(),
            seen: ReplicaPosition::default(),
            seed,
            counters: DistributorCounters::default(),
        }
    }

    /// Returns the event counters since the start.
    pub fn counters(&self) -> &DistributorCounters {
        &self.counters
    }

    /// Returns the number of known servers.
    pub fn servers(&self) -> usize {
        self.servers.len()
    }

    /// Returns the number of catch-up slots in use.
    pub fn catching_up(&self) -> usize {
        self.used_slots
    }

    /// Returns the size of the cached bodies in bytes.
    pub fn cached_bytes(&self) -> usize {
        self.bodies.bytes()
    }

    /// Returns whether a transfer to the server is in progress.
    pub fn is_sending_to(&self, server: &str) -> bool {
        self.servers.get(server).is_some_and(|server| server.transfer.is_some())
    }

    /// Processes an acknowledgement. Returns `false` if the server is new and the server limit is reached.
    pub fn receive(&mut self, now: f64, ack: &Acknowledgement) -> bool {
        let name = &ack.server.instance;
        if !self.servers.contains_key(name) && self.servers.len() >= self.settings.max_servers {
            self.counters.servers_rejected += 1;
            return false;
        }
        let server = self.servers.entry(name.clone()).or_insert_with(|| Server::new(now, ack));
        // Acknowledgements may arrive out of order.
        if (ack.server.incarnation, ack.sequence) <= (server.incarnation, server.sequence) {
            return true;
        }
        if server.update(now, ack) {
            self.end_transfer(name);
        }
        true
    }

    /// Ends the transfer to a server whose connection was closed, and removes the server.
    pub fn disconnected(&mut self, server: &str) {
        self.end_transfer(server);
        self.servers.remove(server);
    }

    fn end_transfer(&mut self, name: &str) {
        let Some(server) = self.servers.get_mut(name) else { return };
        server.transfer = None;
        if std::mem::take(&mut server.has_slot) {
            self.used_slots -= 1;
        }
    }

    /// Returns the messages to send at `now`. `age` is the age of the replica `history`, in seconds. Returns no messages if the replica is
    /// older than one that was used before.
    pub fn poll(&mut self, now: f64, history: &History, age: f64) -> Vec<OutgoingMessage> {
        let position = ReplicaPosition { epoch: history.epoch(), applied: history.applied() };
        if position.epoch < self.seen.epoch || position.applied < self.seen.applied {
            self.counters.stale_replicas += 1;
            return Vec::new();
        }
        self.seen = position;
        self.expire(now);
        self.enqueue_lagging(history);
        self.bucket.refill(now, self.settings.total_rate, self.settings.total_burst);
        let mut round = Round { now, history, age, messages: Vec::new() };
        for name in self.round_order() {
            self.serve(&mut round, &name);
        }
        round.messages
    }

    /// Returns all servers in cyclic order, starting with the one for which the last round had no bytes left.
    fn round_order(&mut self) -> Vec<String> {
        let first = std::mem::take(&mut self.next_server);
        let from_first = self.servers.range(first.clone()..);
        from_first.chain(self.servers.range(..first)).map(|(name, _)| name.clone()).collect()
    }

    /// Ends the transfers to silent and stalled servers, and removes servers after the forget timeout.
    fn expire(&mut self, now: f64) {
        let settings = self.settings.clone();
        for name in self.names_of(|server| now - server.last_heard > settings.silence_timeout) {
            self.end_transfer(&name);
            if self.servers.get(&name).is_some_and(|server| now - server.last_heard > settings.forget_timeout)
            {
                self.servers.remove(&name);
            }
        }
        let stall_timeout = STALL_RETRIES * settings.retry_timeout;
        let is_stalled = |transfer: &Transfer| now - transfer.last_progress > stall_timeout;
        for name in
            self.names_of(|server| server.has_slot && server.transfer.as_ref().is_some_and(is_stalled))
        {
            self.end_transfer(&name);
        }
        let servers = &self.servers;
        self.queue.retain(|name| servers.get(name).is_some_and(|server| server.queued));
    }

    fn names_of(&self, matches: impl Fn(&Server) -> bool) -> Vec<String> {
        self.servers.iter().filter(|(_, server)| matches(server)).map(|(name, _)| name.clone()).collect()
    }

    /// Returns the target version of a server if the server lacks it and has not rejected it.
    fn missing_target(&self, history: &History, name: &str, server: &Server) -> Option<VersionId> {
        let target = history.version_id(history.state().target(name))?;
        let lacks = server.staged.number < target.number && server.rejected != Some(target);
        lacks.then_some(target)
    }

    /// Queues the servers that lack their target, in a seeded random order.
    fn enqueue_lagging(&mut self, history: &History) {
        let lagging = |(name, server): (&String, &Server)| {
            let idle = server.transfer.is_none() && !server.queued;
            (idle && self.missing_target(history, name, server).is_some()).then(|| name.clone())
        };
        let mut newcomers: Vec<String> = self.servers.iter().filter_map(lagging).collect();
        newcomers.sort_by_cached_key(|name| {
            let mix = |seed: u64, byte: u8| SeededRandom::new(seed ^ u64::from(byte)).next_u64();
            (name.bytes().fold(self.seed, mix), name.clone())
        });
        for name in newcomers {
            if let Some(server) = self.servers.get_mut(&name) {
                server.queued = true;
                self.queue.push_back(name);
            }
        }
    }

    /// Starts a transfer to a queued server. A body of a single chunk needs no slot.
    fn begin_transfer(&mut self, now: f64, history: &History, name: &str) {
        let Some(server) = self.servers.get(name).filter(|server| server.queued) else { return };
        if now - server.last_heard > self.settings.silence_timeout {
            return;
        }
        let Some(target) = self.missing_target(history, name, server) else {
            if let Some(server) = self.servers.get_mut(name) {
                server.queued = false;
            }
            return;
        };
        let (staged, progress) = (server.staged, server.progress);
        let Some(Body { id, bytes }) = self.bodies.shortest(history, staged, target) else { return };
        let needs_slot = bytes.len() > MAX_CHUNK_BYTES;
        if needs_slot && !self.is_next_for_slot(name) {
            return;
        }
        let resumed = progress.filter(|progress| progress.transfer == id);
        let offset = resumed.map_or(0, |progress| progress.received_bytes as usize);
        let Some(server) = self.servers.get_mut(name) else { return };
        server.queued = false;
        server.has_slot = needs_slot;
        server.transfer = Some(Transfer::new(now, id, bytes, offset));
        self.used_slots += usize::from(needs_slot);
        self.counters.changes += u64::from(id.base.is_some());
        self.counters.whole_contents += u64::from(id.base.is_none());
    }

    /// Returns whether the number of free slots exceeds the queue position of the server.
    fn is_next_for_slot(&self, name: &str) -> bool {
        let free = self.settings.catch_up_slots.saturating_sub(self.used_slots);
        let is_queued = |name: &&String| self.servers.get(*name).is_some_and(|server| server.queued);
        self.queue.iter().filter(is_queued).take(free).any(|queued| queued == name)
    }

    /// Serves one server in a round: sends chunks of its transfer, or a target message if there is none.
    fn serve(&mut self, round: &mut Round, name: &str) {
        let (now, history) = (round.now, round.history);
        let DistributorSettings { rate, burst, silence_timeout, .. } = self.settings;
        let Some(server) = self.servers.get_mut(name) else { return };
        server.bucket.refill(now, rate, burst);
        if now - server.last_heard > silence_timeout {
            return;
        }
        let is_obsolete =
            server.transfer.as_ref().is_some_and(|transfer| transfer.is_obsolete(history, name));
        if is_obsolete {
            self.end_transfer(name); // The next round queues the server again.
        }
        let Some(server) = self.servers.get(name) else { return };
        if server.queued && server.transfer.is_none() {
            self.begin_transfer(now, history, name);
        }
        if self.is_sending_to(name) {
            self.send_chunks(round, name);
        } else {
            self.send_target(round, name);
        }
    }

    fn send_chunks(&mut self, round: &mut Round, name: &str) {
        let Some(server) = self.servers.get_mut(name) else { return };
        let Some(transfer) = &mut server.transfer else { return };
        if transfer.retry_if_lost(round.now, self.settings.retry_timeout) {
            self.counters.retries += 1;
        }
        while let Some(chunk) = transfer.next_chunk() {
            let end = chunk.offset as usize + chunk.bytes.len();
            let message = DistributorMessage::Chunk(chunk);
            let cost = message.line_bytes();
            if !self.bucket.has(cost as f64) && self.next_server.is_empty() {
                self.next_server = name.to_owned();
            }
            if !TokenBucket::take_from_both(&mut server.bucket, &mut self.bucket, cost as f64) {
                break;
            }
            self.counters.count_line(cost);
            transfer.sent_up_to(round.now, end);
            round.messages.push(OutgoingMessage { server: name.to_owned(), message });
        }
    }

    fn send_target(&mut self, round: &mut Round, name: &str) {
        let history = round.history;
        let Some(target) = history.version_id(history.state().target(name)) else { return };
        let Some(server) = self.servers.get_mut(name) else { return };
        if round.now - server.last_target < self.settings.target_interval {
            return;
        }
        let message =
            DistributorMessage::target(history.digester(), name, target, round.age, server.sequence);
        let cost = message.line_bytes();
        if TokenBucket::take_from_both(&mut server.bucket, &mut self.bucket, cost as f64) {
            self.counters.count_line(cost);
            server.last_target = round.now;
            round.messages.push(OutgoingMessage { server: name.to_owned(), message });
        }
    }
}

#[cfg(test)]
mod tests;
