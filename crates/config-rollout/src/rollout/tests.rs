use super::*;
use crate::change::Change;
use crate::digest::{Digester, VersionId};
use crate::history::{LogEntry, Origin, PutRequest, RetentionLimits};
use crate::key::Key;
use crate::messages::RejectedVersion;
use puffinladder_leases::HolderId;
use std::collections::BTreeSet;

/// A simulated lease holder with its history, and servers that acknowledge in each step.
struct Fleet {
    now: f64,
    history: History,
    rollout: RolloutController,
    servers: BTreeMap<String, (Acknowledgement, bool)>,
    proposed: Vec<Command>,
}

fn apply(history: &mut History, command: Command) {
    history.apply(&LogEntry { at: 0.0, command }).unwrap();
}

impl Fleet {
    fn new(count: usize) -> Fleet {
        let history = History::new(Digester::default(), RetentionLimits::default());
        let settings = RolloutSettings::default();
        settings.check().unwrap();
        let ack = |index: usize| {
            let (name, head) = (format!("n{index:02}"), history.head());
            let server = HolderId::new(&name, 1);
            let zone = format!("z{}", index % 3);
            (
                name,
                (
                    Acknowledgement {
                        server,
                        zone,
                        active: head,
                        staged: head,
                        healthy: true,
                        ..Acknowledgement::default()
                    },
                    true,
                ),
            )
        };
        let servers = (0..count).map(ack).collect();
        let rollout = RolloutController::new(settings, "owner", 1, 42, 0.0);
        Fleet { now: 0.0, history, rollout, servers, proposed: Vec::new() }
    }

    fn put(&mut self, quota: f64) -> u64 {
        let change = Change::default().set(Key::tenant("a"), quota);
        let base = self.history.head();
        let put = PutRequest { base, author: "ann".into(), epoch: 1, origin: Origin::Put, change };
        apply(&mut self.history, Command::Put(put));
        self.history.head().number
    }

    /// Advances the time. Each server activates its target if `activates` allows it, and acknowledges if `is_heard`.
    fn advance(&mut self, span: f64, activates: impl Fn(&str, u64) -> bool) {
        let end = self.now + span;
        while self.now < end {
            self.now += 0.05;
            for (name, (ack, is_heard)) in &mut self.servers {
                let target = self.history.state().target(name);
                if target > ack.active.number && activates(name, target) {
                    ack.active = self.history.version_id(target).unwrap();
                    ack.staged = ack.active;
                }
                ack.sequence += 1;
                if *is_heard {
                    self.rollout.receive(self.now, ack);
                }
            }
            if let Some(command) = self.rollout.next_command(self.now, &self.history) {
                self.proposed.push(command.clone());
                let _ = self.history.apply(&LogEntry { at: self.now, command });
            }
        }
    }

    fn canaries(&self) -> Vec<String> {
        let canary_commands = self.proposed.iter().filter_map(|proposed| match proposed {
            Command::StartCanary { canaries, .. } => Some(canaries),
            _ => None,
        });
        canary_commands.flatten().cloned().collect()
    }

    fn status(&self) -> RolloutStatus {
        self.rollout.status(self.now, &self.history)
    }
}

#[test]
fn canaries_span_zones_and_the_release_reaches_all_servers() {
    let mut fleet = Fleet::new(12);
    fleet.advance(3.0, |_, _| true);
    assert!(fleet.status().everywhere);
    let number = fleet.put(1.0);
    fleet.advance(0.2, |_, _| true);
    let canaries = fleet.canaries();
    let zones: BTreeSet<&str> = canaries.iter().map(|name| fleet.servers[name].0.zone.as_str()).collect();
    assert_eq!((canaries.len(), zones.len()), (3, 3));
    let status = fleet.status();
    assert_eq!(status.canary.as_ref().map(|canary| canary.number), Some(number));
    let with = fleet.servers.values().filter(|(ack, _)| ack.active.number == number).count();
    assert_eq!(with, 3);
    fleet.advance(1.5, |_, _| true);
    let status = fleet.status();
    assert_eq!(
        (status.released.number, status.up_to_date, status.servers, status.everywhere),
        (number, 12, 12, true)
    );
    assert_eq!(
        fleet.proposed.len(),
        3,
        "expected an announcement, a canary start and a release: {:?}",
        fleet.proposed
    );
}

#[test]
fn reverts_a_version_when_a_canary_fails() {
    for failure in 0..4 {
        let mut fleet = Fleet::new(12);
        fleet.advance(2.0, |_, _| true);
        let number = fleet.put(1.0);
        fleet.advance(0.1, |_, _| true);
        let canary = fleet.canaries()[1].clone();
        let head = fleet.history.head();
        let (ack, is_heard) = fleet.servers.get_mut(&canary).unwrap();
        match failure {
            0 => ack.rejected = Some(RejectedVersion { version: head, cause: "no such route".into() }),
            1 => (ack.server.incarnation, ack.sequence) = (2, 0),
            2 => ack.healthy = false,
            _ => *is_heard = false,
        }
        fleet.advance(4.0, |_, _| true);
        let status = fleet.status();
        let FailedCanary { number: failed, cause } = status.last_failed.unwrap();
        assert!(failed == number && cause.contains(&canary), "{failure}: {cause}");
        assert_eq!(status.released.number, number + 1);
        assert_eq!(fleet.history.content().get(&Key::tenant("a")), None);
        let releases =
            fleet.proposed.iter().filter(|proposed| matches!(proposed, Command::Release { .. })).count();
        assert_eq!(releases, 0, "{failure}");
        assert_eq!(fleet.canaries().len(), 3, "{failure}: no further canaries");
    }
}

#[test]
fn selects_other_canaries_when_a_zone_is_partitioned() {
    let mut fleet = Fleet::new(12);
    fleet.advance(2.0, |_, _| true);
    let number = fleet.put(1.0);
    fleet.advance(0.1, |_, _| true);
    // The zones of all canaries but one are partitioned.
    let connected_zone = fleet.servers[&fleet.canaries()[0]].0.zone.clone();
    for (ack, is_heard) in fleet.servers.values_mut() {
        *is_heard = ack.zone == connected_zone;
    }
    fleet.advance(6.0, |_, _| true);
    let status = fleet.status();
    assert_eq!((status.released.number, &status.last_failed), (number, &None));
    assert!(!status.everywhere);
    // Two canaries acknowledged the version before their zones were partitioned.
    assert_eq!((status.up_to_date, status.servers, status.lagging.len()), (6, 12, 6));
    assert!(status.lagging.iter().all(|lag| matches!(lag.reason, LagReason::Silent(_))), "{status:?}");
    // Removed servers do not count.
    let removed: Vec<String> = status.lagging.iter().map(|lag| lag.server.clone()).collect();
    removed.iter().for_each(|server| fleet.rollout.remove_server(server));
    assert!(fleet.status().everywhere);
}

#[test]
fn status_lists_lagging_servers_with_reason_and_duration() {
    let mut fleet = Fleet::new(6);
    fleet.rollout.expect_server(0.0, "never", "z9");
    fleet.advance(2.0, |_, _| true);
    let number = fleet.put(1.0);
    let slow = |name: &str, number: u64| name != "n05" || number == 0;
    fleet.advance(0.1, slow);
    fleet.advance(6.0, slow);
    fleet.servers.get_mut("n04").unwrap().0.save_error = Some("no space left".into());
    let head = fleet.history.head();
    fleet.servers.get_mut("n03").unwrap().0.active = VersionId { digest: crate::Digest([1; 32]), ..head };
    fleet.advance(0.5, slow);
    let status = fleet.status();
    assert_eq!((status.released.number, status.up_to_date, status.servers), (number, 4, 7));
    let reasons: BTreeMap<&str, &LagReason> =
        status.lagging.iter().map(|lag| (lag.server.as_str(), &lag.reason)).collect();
    assert_eq!(
        (reasons["never"], reasons["n05"], reasons["n03"]),
        (&LagReason::Unheard, &LagReason::Behind, &LagReason::Conflict)
    );
    assert_eq!(status.unsaved, [UnsavedServer { server: "n04".into(), error: "no space left".into() }]);
    let n05 = status.lagging.iter().find(|lag| lag.server == "n05").unwrap();
    assert!(n05.lag > 3.0 && n05.lag < 6.6, "{n05:?}");
}

#[test]
fn new_lease_holder_continues_the_current_canary_phase() {
    let mut fleet = Fleet::new(9);
    fleet.advance(2.0, |_, _| true);
    let number = fleet.put(1.0);
    fleet.advance(0.1, |_, _| true);
    let began = fleet.now;
    let old = std::mem::replace(
        &mut fleet.rollout,
        RolloutController::new(RolloutSettings::default(), "new", 2, 7, began),
    );
    assert!(!fleet.status().everywhere);
    fleet.advance(2.5, |_, _| true);
    assert_eq!(fleet.status().released.number, number);
    assert!(fleet.status().everywhere);
    let canary_commands =
        fleet.proposed.iter().filter(|proposed| matches!(proposed, Command::StartCanary { .. })).count();
    assert_eq!(canary_commands, 1, "the canary phase continues");
    // The replaced controller detects the later epoch and proposes nothing.
    let mut old = old;
    assert_eq!(old.next_command(fleet.now, &fleet.history), None);
    assert!(old.superseded());
}

#[test]
fn never_reports_everywhere_above_the_server_limit() {
    let mut fleet = Fleet::new(4);
    fleet.rollout = RolloutController::new(
        RolloutSettings { max_servers: 3, ..RolloutSettings::default() },
        "owner",
        1,
        42,
        0.0,
    );
    fleet.advance(3.0, |_, _| true);
    let status = fleet.status();
    assert_eq!((status.up_to_date, status.servers, status.everywhere), (3, 3, false));
}

#[test]
fn releases_nothing_without_canaries() {
    let mut fleet = Fleet::new(0);
    fleet.put(1.0);
    fleet.advance(9.0, |_, _| true);
    assert_eq!(fleet.status().released.number, 0);
    assert!(!fleet.status().everywhere);
}

#[test]
fn repeats_a_lost_command_unchanged() {
    let mut fleet = Fleet::new(9);
    fleet.advance(2.0, |_, _| true);
    fleet.put(1.0);
    let mut proposed = Vec::new();
    for _ in 0..40 {
        fleet.now += 0.05;
        for (ack, _) in fleet.servers.values_mut() {
            ack.sequence += 1;
            fleet.rollout.receive(fleet.now, ack);
        }
        proposed.extend(fleet.rollout.next_command(fleet.now, &fleet.history));
    }
    assert!(proposed.len() >= 3 && proposed.len() <= 5, "{}", proposed.len());
    assert!(proposed.windows(2).all(|pair| pair[0] == pair[1]), "{proposed:?}");
}

#[test]
fn rejects_invalid_settings() {
    let invalid = [
        RolloutSettings { canaries: 0, ..RolloutSettings::default() },
        RolloutSettings { canaries: 60, ..RolloutSettings::default() },
        RolloutSettings { silence_timeout: 1.0, ..RolloutSettings::default() },
        RolloutSettings { observation_time: f64::NAN, ..RolloutSettings::default() },
    ];
    assert!(invalid.iter().all(|settings| settings.check().is_err()));
}
