//! Rounds of a simulated server: receives, activates, stores and acknowledges versions, and checks the invariants at each step.

use crate::network::Message;
use crate::world::{
    local_check, Bug, InvariantResult, SimulatedDistributor, SimulatedServer, World, CRASHING_QUOTA, STEP,
};
use puffinladder_config_rollout::follower::{Received, VersionedContent};
use puffinladder_config_rollout::messages::{Chunk, DistributorMessage};
use puffinladder_config_rollout::{Change, Key};
use rand::Rng;
use std::io;
use std::sync::Arc;

/// Whether the round of a server continues.
#[derive(PartialEq)]
enum Round {
    Continues,
    Ended,
}

impl SimulatedServer {
    pub fn has_crashing_quota(&self, quota: f64) -> bool {
        self.active.content.get(&Key::tenant("deadly")) == Some(quota)
    }
}

impl World {
    pub fn receive(&mut self, index: usize, message: &DistributorMessage) -> InvariantResult {
        self.servers[index].last_heard = self.now;
        if let Some(content) = self.content_from_bug(index, message) {
            return self.activate(index, content);
        }
        let whole = matches!(message, DistributorMessage::Chunk(chunk) if chunk.transfer.base.is_none());
        let server = &mut self.servers[index];
        let before = *server.follower.counters();
        if let Received::Staged(_) = server.follower.receive(message, &local_check) {
            self.counts.whole_contents += u64::from(whole);
        }
        let after = server.follower.counters();
        self.counts.wrong_digests += after.wrong_digests - before.wrong_digests;
        self.counts.undecodable += after.undecodable - before.undecodable;
        self.counts.conflicts += after.conflicts - before.conflicts;
        if after.rejected > before.rejected {
            let number = server.follower.target().map_or(0, |target| target.number);
            let name = &server.name;
            let is_canary = self.canaries.values().any(|names| names.contains(name));
            if !is_canary {
                return Err(format!("{name} is no canary but rejected a version; target {number}"));
            }
        }
        Ok(())
    }

    /// Returns the content that a planted bug activates, bypassing the follower.
    fn content_from_bug(&self, index: usize, message: &DistributorMessage) -> Option<VersionedContent> {
        let server = &self.servers[index];
        match (self.bug, message) {
            (Bug::Unchecked, DistributorMessage::Chunk(chunk)) => apply_unchecked(&server.active, chunk),
            (Bug::Downgrade, DistributorMessage::Target { target, .. }) => {
                server.previous.iter().find(|older| older.version == *target).cloned()
            }
            _ => None,
        }
    }

    /// Activates a content and checks that the version is newer, matches the committed one and may be active on this server.
    fn activate(&mut self, index: usize, content: VersionedContent) -> InvariantResult {
        let (now, server) = (self.now, &mut self.servers[index]);
        let (name, version) = (server.name.clone(), content.version);
        let previous = server.active.version;
        if version.number <= previous.number {
            return Err(format!(
                "{now:.2}: {name} activated {version} after {previous}, expected a newer version"
            ));
        }
        server.previous.push(std::mem::replace(&mut server.active, content));
        server.highest = server.highest.max(version.number);
        self.counts.activated += 1;
        self.counts.wide_steps += u64::from(version.number >= previous.number + 10);
        self.check_active(index)?;
        let server = &mut self.servers[index];
        if server.has_crashing_quota(CRASHING_QUOTA) {
            server.crashes_at = Some(now + 0.2);
        }
        let released = self.committed.state().released;
        let is_canary = self.canaries.get(&version.number).is_some_and(|names| names.contains(&name));
        if version.number > released && !is_canary {
            return Err(format!(
                "{now:.2}: {name} is no canary but has {version} active; released is {released}"
            ));
        }
        let bad = server.has_crashing_quota(CRASHING_QUOTA) || local_check(&server.active.content).is_err();
        if bad && !is_canary {
            return Err(format!("{now:.2}: {name} is no canary but has the bad version {version} active"));
        }
        Ok(())
    }

    /// Checks that the active content equals the committed content of its version.
    fn check_active(&self, index: usize) -> InvariantResult {
        let SimulatedServer { name, active: VersionedContent { version, content }, .. } =
            &self.servers[index];
        let Some(known) = self.versions.get(&version.number) else {
            return Err(format!("{name} has {version} active, which was never committed"));
        };
        if known.digest != version.digest || known.content != **content {
            let keys = known.content.diff(content).len();
            return Err(format!(
                "{name} has {version} active; {keys} keys differ from the committed content"
            ));
        }
        Ok(())
    }

    /// Runs one round of a server.
    pub fn run_server(&mut self, index: usize) -> InvariantResult {
        let (now, healed) = (self.now, self.now >= self.faults_end);
        let server = &mut self.servers[index];
        if healed {
            (server.paused_until, server.disk_full_until) = (0.0, 0.0);
            (server.outbound_lost_until, server.inbound_lost_until) = (0.0, 0.0);
        }
        if now < server.down_until || now < server.paused_until {
            return Ok(());
        }
        if server.crashes_at.is_some_and(|crashes_at| now >= crashes_at) {
            self.kill(index);
            self.servers[index].down_until = now + 0.3;
            return Ok(());
        }
        self.check_age(index)?;
        let server = &mut self.servers[index];
        if let Some(second_half) = server.second_half.take() {
            server.active.content = second_half.content;
        }
        self.check_active(index)?;
        self.connect(index);
        if self.activate_staged(index, healed)? == Round::Ended || self.save(index, healed)? == Round::Ended {
            return Ok(());
        }
        self.acknowledge(index, healed)
    }

    /// Checks that a server partitioned from the majority computes an age of at least the duration of the partition.
    fn check_age(&mut self, index: usize) -> InvariantResult {
        let (now, server) = (self.now, &self.servers[index]);
        let is_partitioned = now < self.partitioned_until && server.region != 0;
        let Some(age) = server.follower.age(now).filter(|_| is_partitioned) else { return Ok(()) };
        let least = now - self.partitioned_since - STEP;
        if age < least {
            return Err(format!(
                "{now:.2}: {} computes age {age:.2} s, expected at least {least:.2} s",
                server.name
            ));
        }
        // A distributor that started during the partition has no replica and reports a very large age.
        if age < 1e5 {
            self.counts.oldest = self.counts.oldest.max(age);
        }
        Ok(())
    }

    /// Activates the staged version. The server may be killed before or after.
    fn activate_staged(&mut self, index: usize, healed: bool) -> Result<Round, String> {
        // Rounds of the host are independent of its connections.
        let is_round = self.rng.random_bool(0.6);
        let server = &mut self.servers[index];
        let Some(staged) = server.follower.staged().filter(|_| is_round).cloned() else {
            return Ok(Round::Continues);
        };
        let chance = if healed { 9 } else { self.rng.random_range(0..120) };
        if chance == 0 {
            self.kill(index); // before the activation
            return Ok(Round::Ended);
        }
        let version = staged.version;
        if self.bug == Bug::HalfChange && server.active.content.diff(&staged.content).len() > 1 {
            self.activate_half(index, staged);
            return self.check_active(index).map(|()| Round::Ended);
        }
        if self.bug != Bug::Unchecked || version.number > server.active.version.number {
            self.activate(index, staged)?;
        }
        if chance == 1 {
            self.kill(index); // after the activation, before the follower is informed
            return Ok(Round::Ended);
        }
        if !self.servers[index].follower.activated(self.now, version) {
            return Err(format!("{version} was activated but is not staged in the follower"));
        }
        Ok(Round::Continues)
    }

    fn activate_half(&mut self, index: usize, staged: VersionedContent) {
        let server = &mut self.servers[index];
        let whole = server.active.content.diff(&staged.content);
        let half: Change = whole.iter().map(|(key, value)| (key.clone(), value)).take(1).collect();
        let half = server.active.content.with_change(&half).expect("valid");
        server.active = VersionedContent { version: staged.version, content: Arc::new(half) };
        server.follower.activated(self.now, staged.version);
        server.second_half = Some(staged);
    }

    /// Writes the last good version to disk. The server may be killed before.
    fn save(&mut self, index: usize, healed: bool) -> Result<Round, String> {
        let now = self.now;
        let Some(bytes) = self.servers[index].follower.save(now) else { return Ok(Round::Continues) };
        if !healed && self.rng.random_range(0..40) == 0 {
            self.kill(index); // before the write
            return Ok(Round::Ended);
        }
        let server = &mut self.servers[index];
        if now < server.disk_full_until {
            server.follower.save_finished(now, Err(io::Error::other("no space left")));
            return Ok(Round::Continues);
        }
        // Atomic replacement: a crash leaves either the old or the new file.
        server.disk = Some(bytes);
        server.follower.save_finished(now, Ok(()));
        let stored = server.follower.stored().map_or(0, |version| version.number);
        if stored < server.stored {
            return Err(format!(
                "{} stored version {stored} over the newer version {}",
                server.name, server.stored
            ));
        }
        server.stored = stored;
        Ok(Round::Continues)
    }

    fn acknowledge(&mut self, index: usize, healed: bool) -> InvariantResult {
        let (now, server) = (self.now, &mut self.servers[index]);
        let Some(mut ack) = server.follower.acknowledge(now) else { return Ok(()) };
        let active = server.active.version;
        match self.bug {
            Bug::EarlyAck => ack.active = ack.staged,
            // Reports the wrongly activated version, so that another check detects the bug.
            Bug::Unchecked => ack.active = active,
            _ => {}
        }
        if ack.active != active {
            return Err(format!(
                "{now:.2}: {} acknowledged {}, but has {active} active",
                server.name, ack.active
            ));
        }
        if let Some(distributor) = server.connected_to.filter(|_| now >= server.outbound_lost_until) {
            let delay = self.delay();
            if healed || self.rng.random_range(0..100) > 2 {
                self.post(delay, Message::ToDistributor { distributor, server: index, ack });
            }
        }
        Ok(())
    }

    /// Connects a server to a distributor, preferably of its region, or reconnects it after silence.
    fn connect(&mut self, index: usize) {
        let now = self.now;
        let SimulatedServer { name, region, connected_to, last_heard, .. } = &self.servers[index];
        let (name, region) = (name.clone(), *region);
        let is_reached = |distributor: &SimulatedDistributor| {
            now >= distributor.down_until && !self.is_partitioned(distributor.region, region)
        };
        let is_broken = connected_to.is_some_and(|current| !is_reached(&self.distributors[current]));
        let is_silent = now - last_heard > 2.5;
        if connected_to.is_some() && !is_broken && !is_silent {
            return;
        }
        let reached = |index: &usize| is_reached(&self.distributors[*index]);
        let reachable: Vec<usize> = (0..self.distributors.len()).filter(reached).collect();
        let in_region = |index: &usize| self.distributors[*index].region == region;
        let in_same_region: Vec<usize> = reachable.iter().copied().filter(in_region).collect();
        if let Some(current) = *connected_to {
            self.distributors[current].distributor.disconnected(&name);
        }
        let candidates =
            if in_same_region.is_empty() || self.rng.random_bool(0.2) { reachable } else { in_same_region };
        let next = (!candidates.is_empty()).then(|| candidates[self.rng.random_range(0..candidates.len())]);
        let server = &mut self.servers[index];
        (server.connected_to, server.last_heard) = (next, now);
        server.follower.connected();
    }
}

/// Applies the change of a single chunk without verifying its digest.
fn apply_unchecked(active: &VersionedContent, chunk: &Chunk) -> Option<VersionedContent> {
    let transfer = chunk.transfer;
    let change = postcard::from_bytes::<Change>(&chunk.bytes).ok()?;
    let is_newer = transfer.target.number > active.version.number;
    let is_complete = chunk.bytes.len() == transfer.total_bytes as usize;
    if !is_newer || !is_complete || transfer.base != Some(active.version) {
        return None;
    }
    let content = active.content.with_change(&change).ok()?;
    Some(VersionedContent { version: transfer.target, content: Arc::new(content) })
}
