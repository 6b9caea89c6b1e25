//! Current and replaced lease holders of the rollout, and the distributors.

use crate::network::{Message, Proposer};
use crate::world::{Bug, InvariantResult, SentLine, SimulatedHolder, World, STEP};
use puffinladder_config_rollout::distributor::OutgoingMessage;
use puffinladder_config_rollout::history::{Command, LogEntry};
use puffinladder_config_rollout::rollout::{RolloutController, RolloutSettings};
use rand::Rng;

/// Maximum number of bytes sent to one server in any second.
const BYTE_BUDGET: f64 = 12_000.0;

impl World {
    pub fn run_lease_holders(&mut self) -> InvariantResult {
        if self.now >= self.faults_end {
            // The lease is granted, and the lease store has a leader.
            self.next_lease_at = self.next_lease_at.map(|due| due.min(self.now));
            self.leaderless_until = self.leaderless_until.min(self.now);
        }
        if self.next_lease_at.is_none() && self.holders.iter().all(|holder| holder.active_until <= self.now) {
            self.next_lease_at = Some(self.now + 0.2);
        }
        self.holders.retain(|holder| holder.active_until > self.now);
        if self.next_lease_at.is_some_and(|due| self.now >= due) && self.reaches_leader(0) {
            self.grant_lease();
        }
        self.expire_unreachable_lease();
        for index in 0..self.holders.len() {
            self.run_lease_holder(index)?;
        }
        Ok(())
    }

    fn grant_lease(&mut self) {
        self.next_lease_at = None;
        self.last_epoch += 1;
        let epoch = self.last_epoch;
        let region =
            if self.now < self.partitioned_until { 0 } else { usize::from(self.rng.random_bool(0.3)) };
        let (author, seed) = (format!("holder-{epoch}"), self.rng.random());
        let mut controller =
            RolloutController::new(RolloutSettings::default(), &author, epoch, seed, self.now);
        for server in &self.servers {
            controller.expect_server(self.now, &server.name, &server.zone);
        }
        let replica = self.committed.clone();
        self.holders.push(SimulatedHolder { region, controller, replica, active_until: f64::MAX });
    }

    /// Expires the lease of a holder partitioned from the lease store. The holder continues to work for a while.
    fn expire_unreachable_lease(&mut self) {
        if self.next_lease_at.is_some()
            || self.now >= self.partitioned_until
            || self.now - self.partitioned_since <= 2.5
        {
            return;
        }
        let current = |holder: &&mut SimulatedHolder| holder.active_until == f64::MAX;
        for holder in self.holders.iter_mut().filter(|holder| holder.region != 0).filter(current) {
            holder.active_until = self.now + 9.0;
            self.next_lease_at = Some(self.now);
        }
    }

    fn run_lease_holder(&mut self, index: usize) -> InvariantResult {
        let reaches_leader = self.reaches_leader(self.holders[index].region);
        let holder = &mut self.holders[index];
        let is_behind = holder.replica.applied() != self.committed.applied();
        if reaches_leader && is_behind && holder.active_until == f64::MAX {
            holder.replica = self.committed.clone();
        }
        let command = holder.controller.next_command(self.now, &holder.replica);
        // Checked in every fourth step, because the status covers all servers.
        if ((self.now / STEP).round() as u64).is_multiple_of(4) {
            self.check_status(index)?;
        }
        let Some(command) = command.filter(|_| reaches_leader) else { return Ok(()) };
        let mut commands = vec![command];
        if self.bug == Bug::NoCanary {
            if let Command::StartCanary { epoch, number, .. } = commands[0] {
                commands.push(Command::Release { epoch, number });
            }
        }
        for command in commands {
            let entry = LogEntry { at: self.now, command };
            let replaced = self.holders[index].active_until < f64::MAX;
            let delay = if replaced { self.delay() * 10.0 } else { self.delay() };
            self.post(delay, Message::Proposal { entry, proposer: Proposer::LeaseHolder });
        }
        Ok(())
    }

    /// Checks the status of a lease holder against the servers.
    fn check_status(&mut self, index: usize) -> InvariantResult {
        let holder = &self.holders[index];
        let status = holder.controller.status(self.now, &holder.replica);
        if status.everywhere {
            self.counts.everywhere += 1;
            let lacks = self.servers.iter().find(|server| server.highest < status.released.number);
            if let Some(server) = lacks {
                return Err(format!(
                    "status reports {} on all servers, but {} never had it active",
                    status.released, server.name
                ));
            }
        } else if status.up_to_date + status.lagging.len() != status.servers {
            return Err(format!(
                "status: of {} servers {} are up to date and {} lag, expected their sum to be the number of servers",
                status.servers,
                status.up_to_date,
                status.lagging.len()
            ));
        }
        Ok(())
    }

    pub fn run_distributors(&mut self) -> InvariantResult {
        for index in 0..self.distributors.len() {
            if self.now >= self.distributors[index].down_until {
                self.run_distributor(index)?;
            }
        }
        Ok(())
    }

    fn run_distributor(&mut self, index: usize) -> InvariantResult {
        let region = self.distributors[index].region;
        // A lease-store replica of the same region. The one outside region 0 gets no updates during a partition.
        let replica = if region == 0 { self.rng.random_range(0..2) } else { 2 };
        let fresh = self.reaches_leader(region);
        let distributor = &mut self.distributors[index];
        if self.now >= distributor.next_update {
            distributor.next_update = self.now + 0.1;
            let replica = &self.replicas[replica];
            let updated = match replica.update_since(distributor.replica.head()) {
                Some(update) => distributor.replica.apply_update(update),
                None => distributor.replica.apply_snapshot(&replica.snapshot()),
            };
            updated.map_err(|error| format!("distributor {index}: {error}"))?;
            if fresh {
                distributor.fresh_at = self.now;
            }
        }
        let age = if self.bug == Bug::NoAge { 0.0 } else { (self.now - distributor.fresh_at).min(1e6) };
        let messages = distributor.distributor.poll(self.now, &distributor.replica, age);
        for OutgoingMessage { server: name, message } in messages {
            let Some(to) = self.servers.iter().position(|server| server.name == name) else { continue };
            if self.servers[to].connected_to != Some(index)
                || self.is_partitioned(region, self.servers[to].region)
            {
                continue;
            }
            self.check_budget(to, message.line_bytes() as f64)?;
            self.send(index, to, message);
        }
        Ok(())
    }

    /// Checks the byte budget of a server over the last second.
    fn check_budget(&mut self, to: usize, bytes: f64) -> InvariantResult {
        let (now, server) = (self.now, &mut self.servers[to]);
        server.sent_lines.push_back(SentLine { at: now, bytes });
        while server.sent_lines.front().is_some_and(|line| line.at <= now - 1.0) {
            server.sent_lines.pop_front();
        }
        let sum: f64 = server.sent_lines.iter().map(|line| line.bytes).sum();
        if sum > BYTE_BUDGET {
            return Err(format!(
                "{now:.2}: {} was sent {sum} B in one second, expected at most {BYTE_BUDGET} B",
                server.name
            ));
        }
        Ok(())
    }
}
