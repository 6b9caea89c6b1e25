//! Which servers are canaries, and when a version that is on canaries is released or reverted.

use super::server::Server;
use super::{Proposal, RolloutController};
use crate::digest::VersionId;
use crate::follower::ACK_INTERVAL;
use crate::history::{CanaryPhase, Command, History, MAX_CANARIES};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// Silence after which a server may have crashed, though it does not count as silent yet, s: one acknowledgement was lost.
const QUIET_TIMEOUT: f64 = 1.5 * ACK_INTERVAL;
/// Repeat intervals for which the same draw of canaries is proposed again, since the history may show it late.
const SELECTION_REPEATS: f64 = 4.0;

/// The canary phase that is being watched.
#[derive(Clone, Debug)]
pub(super) struct CanaryWatch {
    number: u64,
    started: f64,
    /// When canaries were last added.
    last_selection: f64,
    /// Each canary, and since when it has been one.
    canaries: BTreeMap<String, f64>,
}

impl CanaryWatch {
    fn new(now: f64, number: u64) -> CanaryWatch {
        CanaryWatch { number, started: now, last_selection: now, canaries: BTreeMap::new() }
    }
}

/// Why a version is reverted; the history keeps the text.
#[derive(Debug, Error)]
enum CanaryFailure {
    #[error("{server} rejected it: {cause}")]
    Rejected { server: String, cause: String },
    #[error("{server} restarted while it was a canary")]
    Restarted { server: String },
    #[error("{server} is unhealthy under it")]
    Unhealthy { server: String },
    #[error("{server} fell silent while it was a canary")]
    Silent { server: String },
    #[error("no server could be found that would be a canary")]
    NoCanaries,
}

/// What is seen of one canary.
enum Observation {
    /// Healthy under the version for long enough.
    Passed,
    /// Not yet. A quiet one may have crashed: whether it did is known once it counts as silent.
    Waiting { quiet: bool },
    /// Gone, never heard here, or cut off with its zone: it shows nothing of the version.
    Lost,
    /// It failed.
    Failed(CanaryFailure),
}

/// How many canaries were seen to do what.
#[derive(Clone, Copy, Default)]
struct Tally {
    passed: usize,
    waiting: usize,
    /// Of those that are waited for.
    quiet: usize,
    lost: usize,
}

impl Tally {
    fn total(&self) -> usize {
        self.passed + self.waiting + self.lost
    }
}

impl RolloutController {
    /// The command that the state of the history calls for.
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

    /// Draws canaries for the head if it is not released.
    fn start_canary(&mut self, now: f64, history: &History) -> Option<Command> {
        let number = history.head().number;
        if number <= history.state().released || !self.discovery_complete(now) {
            return None;
        }
        let canaries = match self.recent_selection(now, number) {
            Some(canaries) => canaries,
            None => self.select_canaries(now, &BTreeSet::new()),
        };
        // Without canaries nothing is released: servers that come later would be the first.
        (!canaries.is_empty()).then_some(Command::StartCanary { epoch: self.epoch, number, canaries })
    }

    /// Releases or reverts the version that is on canaries, or adds canaries where too few have it.
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

    /// Adds canaries; reverts the version where there may be no more of them.
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

    /// The canaries that were proposed for a version a short while ago: another draw would be another command.
    fn recent_selection(&self, now: f64, number: u64) -> Option<BTreeSet<String>> {
        let Proposal { command, at } = self.last_proposal.as_ref()?;
        let Command::StartCanary { number: proposed, canaries, .. } = command else { return None };
        let recent = now - at < SELECTION_REPEATS * self.settings.repeat_interval;
        (*proposed == number && recent).then(|| canaries.clone())
    }

    /// Counts what the canaries do; an error where one of them failed.
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

    /// What is seen of a canary that has been one since `since`.
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
            if self.is_zone_cut_off(now, name, &server.zone) || server.active.is_none() {
                return Observation::Lost;
            }
            return Observation::Failed(CanaryFailure::Silent { server: name.into() });
        }
        if has_version && server.passed_observation(self.settings.observation_time) {
            return Observation::Passed;
        }
        Observation::Waiting { quiet: now - server.last_heard > QUIET_TIMEOUT }
    }

    /// Whether a server's silence is that of a link: most others of its zone fell silent as well.
    fn is_zone_cut_off(&self, now: f64, name: &str, zone: &str) -> bool {
        // Servers that go with the same cut may have been heard last an acknowledgement later.
        let silence_timeout = self.settings.silence_timeout - QUIET_TIMEOUT;
        let others = self.servers.iter().filter(|(other, server)| *other != name && server.zone == zone);
        let (mut heard, mut silent) = (0, 0);
        for (_, server) in others.filter(|(_, server)| server.active.is_some()) {
            heard += 1;
            silent += usize::from(now - server.last_heard > silence_timeout);
        }
        heard > 0 && 2 * silent > heard
    }

    /// Draws healthy servers that were heard lately, by seed: one of each zone as long as there are zones.
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

    /// The names of the servers that may become canaries, by zone.
    fn eligible_by_zone(&self, now: f64, excluded: &BTreeSet<String>) -> BTreeMap<String, Vec<String>> {
        // A server that was not heard lately may be cut off already.
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
