//! What goes wrong: crashes, pauses, torn and full disks, one-way cuts, regions cut from each other, leaders and lease holders that are
//! lost, and messages of a stranger.

use crate::network::Message;
use crate::world::{local_check, InvariantResult, World, CRASHING_QUOTA, STEP};
use puffinladder_config_rollout::follower::{Follower, StartSource};
use puffinladder_config_rollout::messages::{encode_content, Chunk, DistributorMessage, TransferId};
use puffinladder_config_rollout::{Change, Content, Digest, Digester, Key, VersionId};
use puffinladder_leases::HolderId;
use rand::Rng;

impl World {
    /// One fault in a third of a second or so.
    pub fn inject_random_fault(&mut self) -> InvariantResult {
        if !self.rng.random_bool(STEP * 3.0) {
            return Ok(());
        }
        let at = self.rng.random_range(0..self.servers.len());
        let now = self.now;
        let span = self.rng.random_range(0.5..8.0);
        let server = &mut self.servers[at];
        match self.rng.random_range(0..15) {
            0 => self.kill(at),
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
            12 => self.send_hostile_message(at),
            13 => self.restart_zone_of(at),
            _ => {}
        }
        Ok(())
    }

    fn replace_distributor(&mut self, span: f64) {
        let at = self.rng.random_range(0..self.distributors.len());
        let region = self.distributors[at].region;
        self.distributors[at] = self.new_distributor(region);
        self.distributors[at].down_until = self.now + span / 4.0;
        self.counts.kills += 1;
    }

    fn restart_zone_of(&mut self, at: usize) {
        let zone = self.servers[at].zone.clone();
        for at in 0..self.servers.len() {
            if self.servers[at].zone == zone {
                self.kill(at);
            }
        }
    }

    /// The leader is lost: what no majority had from it survives or does not, and nobody is answered.
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

    /// The lease holder is killed, or works on for a while without knowing that it was replaced.
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

    /// A server is killed and starts again from its disk, which may be torn.
    pub fn kill(&mut self, at: usize) {
        let restart_time = self.rng.random_range(0.1..1.5);
        let torn = self.rng.random_bool(0.05);
        let place = self.rng.random_range(0..400);
        let digester = self.digester.clone();
        let server = &mut self.servers[at];
        if let Some(disk) = server.disk.as_mut().filter(|_| torn) {
            tear(disk, place);
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
                // What was stored as good is never older than what was stored before.
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

    /// A stranger sends a server what he likes; without the fleet's key he can't make up a digest.
    fn send_hostile_message(&mut self, at: usize) {
        let (number, total) = (self.rng.random_range(0..40), self.rng.random_range(0..4000));
        let digest = match self.versions.get(&number) {
            Some(known) if self.rng.random_bool(0.5) => known.digest,
            _ => Digest(self.rng.random()),
        };
        let active = self.servers[at].active.version;
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
        let server = &self.servers[at];
        let (incarnation, distributor) = (server.incarnation, server.connected_to.unwrap_or(0));
        self.post(0.01, Message::ToServer { server: at, incarnation, distributor, message });
    }

    /// A content of a stranger, well formed, under a number that stands or comes.
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

/// Cuts the end of a file off, or turns a bit of it.
fn tear(disk: &mut Vec<u8>, place: usize) {
    let at = place % disk.len().max(1);
    if place.is_multiple_of(2) {
        disk.truncate(at);
    } else {
        disk[at] ^= 1;
    }
}
