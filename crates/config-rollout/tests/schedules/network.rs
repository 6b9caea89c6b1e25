//! Simulated network: messages may be lost, duplicated, delayed, reordered or corrupted, and regions may be partitioned.

use crate::world::{Bug, InvariantResult, PendingEntry, World};
use puffinladder_config_rollout::history::LogEntry;
use puffinladder_config_rollout::messages::{Acknowledgement, DistributorMessage};
use rand::Rng;

/// A message in transit. Servers and distributors are identified by their index.
pub enum Message {
    ToServer {
        server: usize,
        incarnation: u64,
        distributor: usize,
        message: DistributorMessage,
    },
    ToDistributor {
        distributor: usize,
        server: usize,
        ack: Acknowledgement,
    },
    /// An acknowledgement that a distributor forwards to the lease holders.
    Forwarded(Acknowledgement),
    Proposal {
        entry: LogEntry,
        proposer: Proposer,
    },
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Proposer {
    Writer,
    LeaseHolder,
}

pub struct InTransit {
    arrives_at: f64,
    /// Sequence number of the message, which breaks ties of the arrival time.
    number: u64,
    message: Message,
}

impl World {
    pub fn post(&mut self, after: f64, message: Message) {
        self.posted += 1;
        self.in_transit.push(InTransit { arrives_at: self.now + after, number: self.posted, message });
    }

    pub fn delay(&mut self) -> f64 {
        if self.now >= self.faults_end {
            return self.rng.random_range(0.001..0.02);
        }
        match self.rng.random_range(0..100) {
            0 => self.rng.random_range(0.1..3.0),
            1..10 => self.rng.random_range(0.02..0.3),
            _ => self.rng.random_range(0.001..0.02),
        }
    }

    pub fn is_partitioned(&self, a: usize, b: usize) -> bool {
        a != b && self.now < self.partitioned_until
    }

    /// Returns whether the leader of the lease store is reachable from the region.
    pub fn reaches_leader(&self, region: usize) -> bool {
        self.now >= self.leaderless_until && !self.is_partitioned(region, 0)
    }

    /// Sends a message from a distributor to a server, with random loss, duplication and corruption.
    pub fn send(&mut self, distributor: usize, server: usize, message: DistributorMessage) {
        if self.now < self.servers[server].inbound_lost_until {
            return;
        }
        let incarnation = self.servers[server].incarnation;
        let to_server = |message| Message::ToServer { server, incarnation, distributor, message };
        let delay = self.delay();
        let chance = if self.now < self.faults_end { self.rng.random_range(0..100) } else { 99 };
        let message = match chance {
            0..3 => return, // lost
            3..6 => {
                let duplicate_delay = delay + self.rng.random_range(0.0..2.0);
                self.post(duplicate_delay, to_server(message.clone()));
                message
            }
            6..9 => match self.corrupt_line(&message) {
                Some(corrupted) => corrupted,
                None => return,
            },
            9 => self.truncate_chunk(message),
            _ => message,
        };
        self.post(delay, to_server(message));
    }

    /// Changes a byte of the line or truncates it. Returns `None` if the result cannot be decoded, which is the usual case.
    fn corrupt_line(&mut self, message: &DistributorMessage) -> Option<DistributorMessage> {
        let mut line = serde_json::to_vec(message).expect("a line");
        let place = self.rng.random_range(0..line.len());
        if self.rng.random_bool(0.3) {
            line.truncate(place);
        } else {
            line[place] = self.rng.random_range(32..127);
        }
        serde_json::from_slice(&line).ok()
    }

    /// Truncates a chunk within a message that can still be decoded.
    fn truncate_chunk(&mut self, message: DistributorMessage) -> DistributorMessage {
        let DistributorMessage::Chunk(mut chunk) = message else { return message };
        let length = self.rng.random_range(0..=chunk.bytes.len());
        chunk.bytes.truncate(length);
        if self.rng.random_bool(0.5) {
            chunk.transfer.total_bytes = (chunk.offset as usize + chunk.bytes.len()) as u32;
        }
        DistributorMessage::Chunk(chunk)
    }

    /// Delivers the messages that have arrived, in order of arrival.
    pub fn deliver(&mut self) -> InvariantResult {
        let now = self.now;
        let mut due: Vec<_> =
            self.in_transit.extract_if(.., |in_transit| in_transit.arrives_at <= now).collect();
        due.sort_by(|a, b| a.arrives_at.total_cmp(&b.arrives_at).then(a.number.cmp(&b.number)));
        for InTransit { number, message, .. } in due {
            match message {
                Message::ToServer { server, incarnation, distributor, message } => {
                    let paused_until = self.servers[server].paused_until;
                    if now < paused_until {
                        let message = Message::ToServer { server, incarnation, distributor, message };
                        self.in_transit.push(InTransit { arrives_at: paused_until, number, message });
                    } else if self.servers[server].incarnation == incarnation
                        && self.servers[server].connected_to == Some(distributor)
                    {
                        self.receive(server, &message)?;
                    }
                }
                Message::ToDistributor { distributor, server, ack } => {
                    self.deliver_ack(distributor, server, ack);
                }
                Message::Forwarded(ack) => {
                    for holder in &mut self.holders {
                        holder.controller.receive(now, &ack);
                    }
                }
                Message::Proposal { entry, proposer } => self.propose(entry, proposer),
            }
        }
        Ok(())
    }

    fn deliver_ack(&mut self, distributor: usize, server: usize, ack: Acknowledgement) {
        let region = self.distributors[distributor].region;
        let is_up = self.now >= self.distributors[distributor].down_until;
        if !is_up || self.is_partitioned(region, self.servers[server].region) {
            return;
        }
        if self.servers[server].connected_to == Some(distributor) {
            self.distributors[distributor].distributor.receive(self.now, &ack);
        }
        let delay = self.delay();
        if self.holders.iter().any(|holder| !self.is_partitioned(holder.region, region)) {
            self.post(delay, Message::Forwarded(ack));
        }
    }

    /// Passes an entry to the leader, if there is one, which commits it after a delay.
    fn propose(&mut self, entry: LogEntry, proposer: Proposer) {
        if self.now < self.leaderless_until {
            return;
        }
        if self.bug == Bug::EarlyAnswer {
            // The outcome according to the leader alone.
            let outcome = self.committed.clone().apply(&entry);
            self.answer(outcome, proposer);
        }
        let delay = self.rng.random_range(0.005..0.05);
        self.pending.push(PendingEntry { due: self.now + delay, entry, proposer });
    }
}
