//! Injected faults: crashes, pauses, corrupted and full disks, one-way link failures, partitions, loss of leaders and lease holders, and
//! forged messages.

use crate::network::Message;
use crate::world::{local_check, InvariantResult, World, CRASHING_QUOTA, STEP};
use puffinladder_config_rollout::follower::{Follower, StartSource};
use puffinladder_config_rollout::messages::{encode_content, Chunk, DistributorMessage, TransferId};
use puffinladder_config_rollout::{Change, Content, Digest, Digester, Key, VersionId};
use puffinladder_leases::HolderId;
use rand::Rng;

impl World {
    /// Injects a random fault, about three per second.
    pub fn inject_random_fault(&mut self) -> InvariantResult {
        if !self.rng.random_bool(STEP * 3.0) {
            return Ok(());
        }
        let index = self.rng.random_range(0..self.servers.len());
        let now = self.now;
        let span = self.rng.random_range(0.5..8.0);
        let server = &mut self.servers[index];
        match self.rng.random_range(0..15) {
            0 => self.kill(index),
            1 => server.paused_until = now + 2.0 * span,
            2 => server.outbound_lost_until = now + span,
            3 => server.inbound_lost_until = now + span,
            4 => (server.outbound_lost_until, server.inbound_lost_until) = (now + span, now + span),
            5 => server.disk_full_until = now + span,
            6 => self.replace_distributor(span),
            7 | 8 => self.lose_leader(span)?,
            9 | 10 => self.replace_lease_holder(span),
            11 if now >= self.partitioned_until => {
                let partitioned_until = now + span / 8.0 * self.max_partition_time;
                (self.partitioned_until, self.partitioned_since) =
                    (partitioned_until.min(self.faults_end), now);
            }
            12 => self.send_forged_message(index),
            13 => self.restart_zone_of(index),
            _ => {}
        }
        Ok(())
    }

    fn replace_distributor(&mut self, span: f64) {
        let index = self.rng.random_range(0..self.distributors.len());
        let region = self.distributors[index].region;
        self.distributors[index] = self.new_distributor(region);
        self.distributors[index].down_until = self.now + span / 4.0;
        self.counts.kills += 1;
    }

    fn restart_zone_of(&mut self, index: usize) {
        let zone = self.servers[index].zone.clone();
        for index in 0..self.servers.len() {
            if self.servers[index].zone == zone {
                self.kill(index);
            }
        }
    }

    /// Loses the leader. Each pending entry is committed or lost at random, and no proposer gets an answer.
    fn lose_leader(&mut self, span: f64) -> InvariantResult {
        self.leaderless_until = self.now + span / 8.0;
        let pending = std::mem::take(&mut self.pending);
        for pending in pending {
            if self.rng.random_bool(0.5) {
                let _unanswered = self.commit(pending.entry)?;
            }
        }
        Ok(())
    }

    /// Kills the lease holder, or replaces it while it continues to work for a while.
    fn replace_lease_holder(&mut self, span: f64) {
        if self.next_lease_at.is_some() {
            return;
        }
        for holder in &mut self.holders {
            holder.active_until = holder.active_until.min(self.now + span);
        }
        if self.rng.random_bool(0.5) {
            self.holders.clear();
        }
        self.next_lease_at = Some(self.now + self.rng.random_range(0.1..1.5));
    }

    /// Kills a server and restarts it from its disk, which may be corrupted.
    pub fn kill(&mut self, index: usize) {
        let restart_time = self.rng.random_range(0.1..1.5);
        let is_corrupted = self.rng.random_bool(0.05);
        let place = self.rng.random_range(0..400);
        let digester = self.digester.clone();
        let server = &mut self.servers[index];
        if let Some(disk) = server.disk.as_mut().filter(|_| is_corrupted) {
            corrupt(disk, place);
        }
        server.incarnation += 1;
        server.down_until = self.now + restart_time;
        server.crashes_at = None;
        server.second_half = None;
        let id = HolderId::new(&server.name, server.incarnation);
        let disk = server.disk.as_deref();
        let (follower, start_source) = Follower::start(id, &server.zone, digester, disk, &local_check);
        server.follower = follower;
        server.active = server.follower.active().clone();
        server.previous.clear();
        match start_source {
            StartSource::LastGood(version) => {
                // The last good version is the latest stored one.
                assert!(version.number == server.stored, "{version}, {}", server.stored);
                self.counts.last_good += 1;
            }
            StartSource::BaseSettings(_) => (server.stored, server.disk) = (0, None),
        }
        if matches!(start_source, StartSource::BaseSettings(Some(_))) {
            self.counts.base_settings += 1;
        }
        if server.has_crashing_quota(CRASHING_QUOTA) {
            server.crashes_at = Some(server.down_until + 0.2);
        }
        if let Some(distributor) = server.connected_to.take() {
            self.distributors[distributor].distributor.disconnected(&server.name);
        }
    }

    /// Sends a random forged message to a server, without knowledge of the fleet's key.
    fn send_forged_message(&mut self, index: usize) {
        let (number, total) = (self.rng.random_range(0..40), self.rng.random_range(0..4000));
        let digest = match self.versions.get(&number) {
            Some(known) if self.rng.random_bool(0.5) => known.digest,
            _ => Digest(self.rng.random()),
        };
        let active = self.servers[index].active.version;
        let base = if self.rng.random_bool(0.5) { Some(active) } else { None };
        let total = if self.rng.random_bool(0.2) { u32::MAX } else { total };
        let target = VersionId { number: if self.rng.random_bool(0.1) { u64::MAX } else { number }, digest };
        let length = self.rng.random_range(0..300);
        let bytes: Vec<u8> = (0..length).map(|_| self.rng.random()).collect();
        let offset = if self.rng.random_bool(0.7) { 0 } else { self.rng.random() };
        let total_bytes = if self.rng.random_bool(0.5) { length as u32 } else { total };
        let message = match self.rng.random_range(0..3) {
            0 => DistributorMessage::Target {
                target: VersionId { number, digest },
                age: f64::from(self.rng.random::<f32>()) * 9.0 - 1.0,
                acknowledged: self.rng.random_range(0..60),
                tag: self.rng.random(),
            },
            1 => self.forged_content(VersionId { number, digest }),
            _ => {
                let transfer = TransferId { base, target, total_bytes };
                DistributorMessage::Chunk(Chunk { transfer, offset, bytes })
            }
        };
        let server = &self.servers[index];
        let (incarnation, distributor) = (server.incarnation, server.connected_to.unwrap_or(0));
        self.post(0.01, Message::ToServer { server: index, incarnation, distributor, message });
    }

    /// Creates a well-formed content with a forged or known digest.
    fn forged_content(&mut self, version: VersionId) -> DistributorMessage {
        let VersionId { number, digest } = version;
        let change = Change::default().set(Key::tenant("mine"), 1e6);
        let content = Content::default().with_change(&change).expect("valid");
        let body = encode_content(&content);
        let digest = if self.rng.random_bool(0.5) {
            Digester::keyed([8; 32]).digest(number, &content)
        } else {
            digest
        };
        let target = VersionId { number, digest };
        let transfer = TransferId { base: None, target, total_bytes: body.len() as u32 };
        DistributorMessage::Chunk(Chunk { transfer, offset: 0, bytes: body })
    }
}

/// Truncates a file or flips one of its bits.
fn corrupt(disk: &mut Vec<u8>, place: usize) {
    let index = place % disk.len().max(1);
    if place.is_multiple_of(2) {
        disk.truncate(index);
    } else {
        disk[index] ^= 1;
    }
}
