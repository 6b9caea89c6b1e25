//! Selection of canaries, and the decision to release or revert the version on canaries.

use super::server::Server;
use super::{Proposal, RolloutController};
use crate::digest::VersionId;
use crate::follower::ACK_INTERVAL;
use crate::history::{CanaryPhase, Command, History, MAX_CANARIES};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// Time since the last acknowledgement after which a server may have crashed, s. It counts as silent only after the silence timeout.
const QUIET_TIMEOUT: f64 = 1.5 * ACK_INTERVAL;
/// Number of repeat intervals during which the same selection of canaries is proposed again.
const SELECTION_REPEATS: f64 = 4.0;

/// The observed canary phase.
#[derive(Clone, Debug)]
pub(super) struct CanaryWatch {
    number: u64,
    started: f64,
    /// Time of the latest selection of canaries.
    last_selection: f64,
    /// Each canary with the time since which it has been one.
    canaries: BTreeMap<String, f64>,
}

impl CanaryWatch {
    fn new(now: f64, number: u64) -> CanaryWatch {
        CanaryWatch { number, started: now, last_selection: now, canaries: BTreeMap::new() }
    }
}

/// Cause of a revert. Its text is stored in the history.
#[derive(Debug, Error)]
enum CanaryFailure {
    #[error("{server} rejected the version: {cause}")]
    Rejected { server: String, cause: String },
    #[error("{server} restarted as a canary")]
    Restarted { server: String },
    #[error("{server} is unhealthy with the version active")]
    Unhealthy { server: String },
    #[error("{server} stopped sending acknowledgements as a canary")]
    Silent { server: String },
    #[error("no server is eligible as a further canary: the version already has the maximum of {MAX_CANARIES} canaries")]
    NoCanaries,
}

/// Observed state of one canary.
enum Observation {
    /// The canary was healthy with the version active for the observation time.
    Passed,
    /// The observation is not finished. A quiet canary has missed an acknowledgement and may have crashed.
    Waiting { quiet: bool },
    /// The canary was removed, never acknowledged to this holder, or is partitioned with its zone, so the version cannot be judged by it.
    Lost,
    /// The canary failed.
    Failed(CanaryFailure),
}

/// Numbers of canaries by observation.
#[derive(Clone, Copy, Default)]
struct Tally {
    passed: usize,
    waiting: usize,
    /// Subset of `waiting`.
    quiet: usize,
    lost: usize,
}

impl Tally {
    fn total(&self) -> usize {
        self.passed + self.waiting + self.lost
    }
}

impl RolloutController {
    /// Returns the next command for the state of the history.
    pub(super) fn decide(&mut self, now: f64, history: &History) -> Option<Command> {
        let epoch = self.epoch;
        if history.epoch() < epoch {
            return Some(Command::Announce { epoch });
        }
        match &history.state().canary {
            Some(phase) => self.watch_canaries(now, history, phase),
            None => {
                self.watch = None;
                self.start_canary(now, history)
            }
        }
    }

    /// Starts a canary phase for the head if it is not released.
    fn start_canary(&mut self, now: f64, history: &History) -> Option<Command> {
        let number = history.head().number;
        if number <= history.state().released || !self.discovery_complete(now) {
            return None;
        }
        let canaries = match self.recent_selection(now, number) {
            Some(canaries) => canaries,
            None => self.select_canaries(now, &BTreeSet::new()),
        };
        // A version is never released without canaries, or servers that join later would activate it untested.
        (!canaries.is_empty()).then_some(Command::StartCanary { epoch: self.epoch, number, canaries })
    }

    /// Releases or reverts the version on canaries, or adds canaries if too few have activated it.
    fn watch_canaries(&mut self, now: f64, history: &History, phase: &CanaryPhase) -> Option<Command> {
        let (epoch, number) = (self.epoch, phase.number);
        if self.watch.as_ref().is_none_or(|watch| watch.number != number) {
            self.watch = Some(CanaryWatch::new(now, number));
        }
        let version = history.version_id(number)?;
        let watch = self.watch.as_mut()?;
        for name in &phase.canaries {
            watch.canaries.entry(name.clone()).or_insert(now);
        }
        let watch = watch.clone();
        let tally = match self.tally(now, version, &watch) {
            Ok(tally) => tally,
            Err(failure) => return Some(self.revert(number, &failure)),
        };
        let overdue = now - watch.started > self.settings.canary_timeout;
        if self.may_release(&tally, overdue) {
            return Some(Command::Release { epoch, number });
        }
        let none_left = tally.passed + tally.waiting == 0;
        let reselection_due =
            overdue && tally.quiet == 0 && now - watch.last_selection > self.settings.canary_timeout;
        if self.discovery_complete(now) && (none_left || reselection_due) {
            return self.add_canaries(now, phase);
        }
        None
    }

    fn may_release(&self, tally: &Tally, overdue: bool) -> bool {
        if tally.passed == 0 {
            return false;
        }
        let reachable = tally.total() - tally.lost;
        let half_passed = 2 * tally.passed >= self.settings.canaries.min(reachable);
        tally.waiting == 0 || (overdue && half_passed && tally.quiet == 0)
    }

    /// Adds canaries, or reverts the version if it already has the maximum number of canaries.
    fn add_canaries(&mut self, now: f64, phase: &CanaryPhase) -> Option<Command> {
        let number = phase.number;
        let room = MAX_CANARIES.saturating_sub(phase.canaries.len());
        let selected = self.select_canaries(now, &phase.canaries);
        let canaries = match self.recent_selection(now, number) {
            Some(canaries) => canaries,
            None => selected.into_iter().take(room).collect(),
        };
        if !canaries.is_subset(&phase.canaries) {
            if let Some(watch) = &mut self.watch {
                watch.last_selection = now;
            }
            return Some(Command::StartCanary { epoch: self.epoch, number, canaries });
        }
        (room == 0).then(|| self.revert(number, &CanaryFailure::NoCanaries))
    }

    fn revert(&self, number: u64, failure: &CanaryFailure) -> Command {
        let cause = failure.to_string();
        Command::Revert { epoch: self.epoch, author: self.author.clone(), number, cause }
    }

    /// Returns the canaries that were recently proposed for a version, so that repeated proposals are equal.
    fn recent_selection(&self, now: f64, number: u64) -> Option<BTreeSet<String>> {
        let Proposal { command, at } = self.last_proposal.as_ref()?;
        let Command::StartCanary { number: proposed, canaries, .. } = command else { return None };
        let recent = now - at < SELECTION_REPEATS * self.settings.repeat_interval;
        (*proposed == number && recent).then(|| canaries.clone())
    }

    /// Counts the canaries by observation, or returns the first failure.
    fn tally(&self, now: f64, version: VersionId, watch: &CanaryWatch) -> Result<Tally, CanaryFailure> {
        let mut tally = Tally::default();
        for (name, since) in &watch.canaries {
            match self.observe(now, version, name, *since) {
                Observation::Passed => tally.passed += 1,
                Observation::Waiting { quiet } => {
                    tally.waiting += 1;
                    tally.quiet += usize::from(quiet);
                }
                Observation::Lost => tally.lost += 1,
                Observation::Failed(failure) => return Err(failure),
            }
        }
        Ok(tally)
    }

    /// Observes a server that has been a canary since `since`.
    fn observe(&self, now: f64, version: VersionId, name: &str, since: f64) -> Observation {
        let Some(server) = self.servers.get(name) else { return Observation::Lost };
        if let Some(rejected) = server.rejected.as_ref().filter(|rejected| rejected.version == version) {
            return Observation::Failed(CanaryFailure::Rejected {
                server: name.into(),
                cause: rejected.cause.clone(),
            });
        }
        let has_version = server.active == Some(version);
        if server.restarted_at.is_some_and(|at| at > since) {
            return Observation::Failed(CanaryFailure::Restarted { server: name.into() });
        }
        if has_version && !server.healthy {
            return Observation::Failed(CanaryFailure::Unhealthy { server: name.into() });
        }
        if self.is_silent(now, server) {
            if self.is_zone_partitioned(now, name, &server.zone) || server.active.is_none() {
                return Observation::Lost;
            }
            return Observation::Failed(CanaryFailure::Silent { server: name.into() });
        }
        if has_version && server.passed_observation(self.settings.observation_time) {
            return Observation::Passed;
        }
        Observation::Waiting { quiet: now - server.last_heard > QUIET_TIMEOUT }
    }

    /// Returns whether most other servers of the zone are silent too, which indicates a network failure rather than a crash.
    fn is_zone_partitioned(&self, now: f64, name: &str, zone: &str) -> bool {
        // The last acknowledgements before a partition arrive up to one acknowledgement interval apart.
        let silence_timeout = self.settings.silence_timeout - QUIET_TIMEOUT;
        let others = self.servers.iter().filter(|(other, server)| *other != name && server.zone == zone);
        let (mut known, mut silent) = (0, 0);
        for (_, server) in others.filter(|(_, server)| server.active.is_some()) {
            known += 1;
            silent += usize::from(now - server.last_heard > silence_timeout);
        }
        known > 0 && 2 * silent > known
    }

    /// Selects random healthy servers with a recent acknowledgement, spread evenly over the zones.
    fn select_canaries(&mut self, now: f64, excluded: &BTreeSet<String>) -> BTreeSet<String> {
        let count = self.settings.canaries;
        let mut zones = self.eligible_by_zone(now, excluded);
        let mut selected = BTreeSet::new();
        let mut open_zones: Vec<String> = zones.keys().cloned().collect();
        while selected.len() < count && !open_zones.is_empty() {
            let mut round = open_zones.clone();
            while selected.len() < count && !round.is_empty() {
                let zone = round.swap_remove(self.random.next_index(round.len()));
                if let Some(names) = zones.get_mut(&zone).filter(|names| !names.is_empty()) {
                    selected.insert(names.swap_remove(self.random.next_index(names.len())));
                }
            }
            open_zones.retain(|zone| zones.get(zone).is_some_and(|names| !names.is_empty()));
        }
        selected
    }

    /// Returns the names of the servers that may become canaries, by zone.
    fn eligible_by_zone(&self, now: f64, excluded: &BTreeSet<String>) -> BTreeMap<String, Vec<String>> {
        // A server without a recent acknowledgement may already be unreachable.
        let eligible = |server: &Server| server.healthy && now - server.last_heard <= QUIET_TIMEOUT;
        let mut zones: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for (name, server) in &self.servers {
            if eligible(server) && !excluded.contains(name) {
                zones.entry(server.zone.clone()).or_default().push(name.clone());
            }
        }
        zones
    }
}
