//! Simulated writers and lease store, whose replicated log survives changes of the leader.

use crate::network::{Message, Proposer};
use crate::world::{Bug, InvariantResult, KnownVersion, World, CRASHING_QUOTA, REJECTED_QUOTA, STEP};
use puffinladder_config_rollout::history::{
    Command, History, LogEntry, Origin, Outcome, PutRequest, Rejection,
};
use puffinladder_config_rollout::{Change, Field, Key};
use puffinladder_leases::Epoch;
use rand::Rng;

impl World {
    /// Proposes random changes, some of them under an expired lease.
    pub fn put_changes(&mut self) -> InvariantResult {
        if self.now < self.next_put || self.last_epoch == 0 {
            return Ok(());
        }
        self.next_put = self.now + self.put_interval * self.rng.random_range(0.1..2.0);
        let region = usize::from(self.rng.random_bool(0.3));
        if !self.reaches_leader(region) {
            // The host answers `Rejection::NoQuorum` without proposing anything.
            self.counts.no_quorum += 1;
            return Ok(());
        }
        let epoch = match self.rng.random_range(0..10) {
            0 => self.last_epoch.saturating_sub(1),
            _ => self.last_epoch,
        };
        // Two concurrent puts with the same base.
        let both = self.rng.random_bool(0.2);
        for author in ["ann", "bob"].iter().take(1 + usize::from(both)) {
            let Some(put) = self.random_put(author, epoch) else { continue };
            let entry = LogEntry { at: self.now, command: Command::Put(put) };
            let delay = self.delay();
            if self.rng.random_bool(0.1) {
                // A duplicate proposal.
                let proposal = Message::Proposal { entry: entry.clone(), proposer: Proposer::Writer };
                self.post(2.0 * delay, proposal);
            }
            self.post(delay, Message::Proposal { entry, proposer: Proposer::Writer });
        }
        Ok(())
    }

    fn random_put(&mut self, author: &str, epoch: Epoch) -> Option<PutRequest> {
        let head = self.committed.head();
        if self.rng.random_range(0..30) == 0 && head.number > 3 {
            let to = head.number - self.rng.random_range(1..3);
            return self.committed.rollback(to, author, epoch).ok();
        }
        let change = self.random_change();
        Some(PutRequest { base: head, author: author.into(), epoch, origin: Origin::Put, change })
    }

    fn random_change(&mut self) -> Change {
        let mut change = Change::default();
        for _ in 0..self.rng.random_range(1..=self.max_keys) {
            let name = format!("tenant-{}", self.rng.random_range(0..self.max_keys * 3));
            change = match self.rng.random_range(0..6) {
                0 => change.remove(Key::tenant(&name)),
                1 => change.set(Key::limit(Field::Servers), self.rng.random_range(1.0..900.0)),
                2 => {
                    let key = Key::route(&name, Field::LatencyObjective);
                    change.set(key, self.rng.random_range(1.0..900.0))
                }
                _ => change.set(Key::tenant(&name), self.rng.random_range(0.0..900.0)),
            };
        }
        match self.rng.random_range(0..25) {
            0 => change.set(Key::tenant("poison"), REJECTED_QUOTA),
            1 => change.set(Key::tenant("deadly"), CRASHING_QUOTA),
            _ => change,
        }
    }

    /// Commits the due entries, and applies committed entries on the reachable replicas.
    pub fn run_lease_store(&mut self) -> InvariantResult {
        if self.now >= self.leaderless_until {
            let due: Vec<_> = self.pending.extract_if(.., |pending| pending.due <= self.now).collect();
            for pending in due {
                let outcome = self.commit(pending.entry)?;
                self.answer(outcome, pending.proposer);
            }
        }
        for index in 0..self.replicas.len() {
            // The last replica is in the other region.
            if index == 2 && self.now < self.partitioned_until {
                continue;
            }
            while let Some(entry) = self.log.get(self.replicas[index].applied() as usize) {
                let before = self.replicas[index].applied();
                let _ = self.replicas[index].apply(entry);
                assert_eq!(self.replicas[index].applied(), before + 1);
            }
            if self.rng.random_bool(STEP / 10.0) {
                self.restore_replica(index)?;
            }
        }
        Ok(())
    }

    /// Restarts a replica from its snapshot.
    fn restore_replica(&mut self, index: usize) -> InvariantResult {
        let snapshot = self.replicas[index].snapshot();
        let restored =
            History::restore(self.digester.clone(), &snapshot).map_err(|error| error.to_string())?;
        if restored != self.replicas[index] {
            return Err("a history restored from its snapshot differs from the original".into());
        }
        self.replicas[index] = restored;
        Ok(())
    }

    pub fn answer(&mut self, outcome: Result<Outcome, Rejection>, proposer: Proposer) {
        match (proposer, outcome) {
            (Proposer::Writer, Ok(Outcome::Accepted(version) | Outcome::AlreadyApplied(version))) => {
                self.accepted.push(version);
            }
            (_, Err(Rejection::StaleEpoch { .. })) => self.counts.stale_epochs += 1,
            (Proposer::Writer, Err(Rejection::MissedVersions { missed, head })) => {
                assert!(!missed.is_empty() && head == self.committed.head());
                self.counts.missed += 1;
            }
            _ => {}
        }
    }

    /// Commits an entry and checks the outcome.
    pub fn commit(&mut self, mut entry: LogEntry) -> Result<Result<Outcome, Rejection>, String> {
        let epoch = entry.command.epoch();
        if self.bug == Bug::StaleEpoch {
            *epoch_of(&mut entry.command) = self.committed.epoch().max(epoch);
        }
        let head = self.committed.head();
        let outcome = self.committed.apply(&entry);
        // `SEED=27 TRACE=1` prints the committed commands of a schedule.
        if std::env::var_os("TRACE").is_some() {
            println!("{:.2}: {:?} -> {outcome:?}", self.now, entry.command);
        }
        match &outcome {
            Ok(outcome) => self.check_outcome(epoch, outcome)?,
            Err(_) if self.committed.head() != head => return Err("a rejected entry changed the head".into()),
            Err(_) => {}
        }
        let new_head = self.committed.head();
        if new_head != head {
            if new_head.number != head.number + 1 {
                return Err(format!("got head {new_head} after {head}, expected the next number"));
            }
            let known = KnownVersion { digest: new_head.digest, content: self.committed.content().clone() };
            self.versions.insert(new_head.number, known);
        }
        self.log.push(entry);
        Ok(outcome)
    }

    fn check_outcome(&mut self, epoch: Epoch, outcome: &Outcome) -> InvariantResult {
        if epoch < self.highest_epoch {
            return Err(format!(
                "{outcome:?} was accepted under epoch {epoch}, expected epoch {} or later",
                self.highest_epoch
            ));
        }
        self.highest_epoch = epoch;
        if let (Outcome::CanaryStarted, Some(phase)) = (outcome, &self.committed.state().canary) {
            self.canaries.entry(phase.number).or_default().extend(phase.canaries.iter().cloned());
        }
        self.counts.reverted += u64::from(matches!(outcome, Outcome::Reverted(_)));
        Ok(())
    }
}

fn epoch_of(command: &mut Command) -> &mut Epoch {
    match command {
        Command::Put(put) => &mut put.epoch,
        Command::Announce { epoch }
        | Command::StartCanary { epoch, .. }
        | Command::Release { epoch, .. }
        | Command::Revert { epoch, .. } => epoch,
    }
}
