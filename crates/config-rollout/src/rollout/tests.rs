use super::*;
use crate::content::{Change, Key};
use crate::history::{Entry, Limits, Origin, Put};
use crate::seal::Seal;
use crate::words::Refused;
use puffinladder_leases::HolderId;

/// An owner, its history, and servers that speak four times a second.
struct Fleet {
    now: f64,
    history: History,
    rollout: Rollout,
    servers: BTreeMap<String, (Ack, bool)>,
    said: Vec<Command>,
}

fn apply(history: &mut History, command: Command) {
    history.apply(&Entry { at: 0.0, command }).unwrap();
}

impl Fleet {
    fn new(count: usize) -> Fleet {
        let history = History::new(Seal::default(), Limits::default());
        let rules = Rules::default();
        rules.check().unwrap();
        let ack = |at: usize| {
            let (name, head) = (format!("n{at:02}"), history.head());
            let owner = HolderId::new(&name, 1);
            let zone = format!("z{}", at % 3);
            (name, (Ack { owner, zone, in_force: head, holds: head, healthy: true, ..Ack::default() }, true))
        };
        let servers = (0..count).map(ack).collect();
        let rollout = Rollout::begin(rules, "owner", 1, 42, 0.0);
        Fleet { now: 0.0, history, rollout, servers, said: Vec::new() }
    }

    fn put(&mut self, quota: f64) -> u64 {
        let change = Change::default().set(Key::tenant("a"), quota);
        let base = self.history.head();
        let put = Put { base, author: "ann".into(), epoch: 1, origin: Origin::Put, change };
        apply(&mut self.history, Command::Put(put));
        self.history.head().number
    }

    /// Time goes by; each server that speaks has what it should have, as `takes` allows.
    fn go(&mut self, span: f64, takes: impl Fn(&str, u64) -> bool) {
        let end = self.now + span;
        while self.now < end {
            self.now += 0.05;
            for (name, (ack, speaks)) in &mut self.servers {
                let target = self.history.stage().target(name);
                if target > ack.in_force.number && takes(name, target) {
                    ack.in_force = self.history.known(target).unwrap();
                    ack.holds = ack.in_force;
                }
                ack.serial += 1;
                if *speaks {
                    self.rollout.heard(self.now, ack);
                }
            }
            if let Some(command) = self.rollout.look(self.now, &self.history) {
                self.said.push(command.clone());
                let _ = self.history.apply(&Entry { at: self.now, command });
            }
        }
    }

    fn canaries(&self) -> Vec<String> {
        let trials = self.said.iter().filter_map(|said| match said {
            Command::Trial { canaries, .. } => Some(canaries),
            _ => None,
        });
        trials.flatten().cloned().collect()
    }
    fn status(&self) -> Status {
        self.rollout.status(self.now, &self.history)
    }
}

#[test]
fn a_few_servers_of_different_zones_first_and_then_all_within_six_seconds() {
    let mut fleet = Fleet::new(12);
    fleet.go(3.0, |_, _| true);
    assert!(fleet.status().everywhere);
    let number = fleet.put(1.0);
    fleet.go(0.2, |_, _| true);
    let canaries = fleet.canaries();
    let zones: BTreeSet<&str> = canaries.iter().map(|name| fleet.servers[name].0.zone.as_str()).collect();
    assert_eq!((canaries.len(), zones.len()), (3, 3));
    let status = fleet.status();
    assert_eq!(status.trial.as_ref().map(|(number, _)| *number), Some(number));
    let with = fleet.servers.values().filter(|(ack, _)| ack.in_force.number == number).count();
    assert_eq!(with, 3);
    fleet.go(1.5, |_, _| true);
    let status = fleet.status();
    assert_eq!((status.released.number, status.have, status.of, status.everywhere), (number, 12, 12, true));
    assert_eq!(fleet.said.len(), 3, "announced, tried, released: {:?}", fleet.said);
}

#[test]
fn a_refusal_a_fall_ill_health_or_silence_of_a_canary_takes_the_version_back() {
    for kind in 0..4 {
        let mut fleet = Fleet::new(12);
        fleet.go(2.0, |_, _| true);
        let number = fleet.put(1.0);
        fleet.go(0.1, |_, _| true);
        let canary = fleet.canaries()[1].clone();
        let head = fleet.history.head();
        let (ack, speaks) = fleet.servers.get_mut(&canary).unwrap();
        match kind {
            0 => ack.refused = Some(Refused { head, cause: "no such route".into() }),
            1 => (ack.owner.incarnation, ack.serial) = (2, 0),
            2 => ack.healthy = false,
            _ => *speaks = false,
        }
        fleet.go(4.0, |_, _| true);
        let status = fleet.status();
        let (back, cause) = status.taken_back.unwrap();
        assert!(back == number && cause.contains(&canary), "{kind}: {cause}");
        assert_eq!(status.released.number, number + 1);
        assert_eq!(fleet.history.content().get(&Key::tenant("a")), None);
        let releases = fleet.said.iter().filter(|said| matches!(said, Command::Release { .. })).count();
        assert_eq!(releases, 0, "{kind}");
        assert_eq!(fleet.canaries().len(), 3, "{kind}: no others were asked");
    }
}

#[test]
fn a_zone_that_is_cut_off_is_no_fall_and_others_are_asked() {
    let mut fleet = Fleet::new(12);
    fleet.go(2.0, |_, _| true);
    let number = fleet.put(1.0);
    fleet.go(0.1, |_, _| true);
    // All canaries but one are in zones that fall silent as a whole.
    let stays = fleet.servers[&fleet.canaries()[0]].0.zone.clone();
    for (ack, speaks) in fleet.servers.values_mut() {
        *speaks = ack.zone == stays;
    }
    fleet.go(6.0, |_, _| true);
    let status = fleet.status();
    assert_eq!((status.released.number, &status.taken_back), (number, &None));
    assert!(!status.everywhere);
    // Two canaries had said that they have it before they fell silent.
    assert_eq!((status.have, status.of, status.lagging.len()), (6, 12, 6));
    assert!(status.lagging.iter().all(|lag| matches!(lag.why, Why::Silent(_))), "{status:?}");
    // Known to be gone they count no more.
    let gone: Vec<String> = status.lagging.iter().map(|lag| lag.server.clone()).collect();
    gone.iter().for_each(|server| fleet.rollout.gone(server));
    assert!(fleet.status().everywhere);
}

#[test]
fn a_status_says_who_lags_since_when_and_why() {
    let mut fleet = Fleet::new(6);
    fleet.rollout.expect(0.0, "never", "z9");
    fleet.go(2.0, |_, _| true);
    let number = fleet.put(1.0);
    let slow = |name: &str, number: u64| name != "n05" || number == 0;
    fleet.go(0.1, slow);
    fleet.go(6.0, slow);
    fleet.servers.get_mut("n04").unwrap().0.unsaved = Some("no space left".into());
    let head = fleet.history.head();
    fleet.servers.get_mut("n03").unwrap().0.in_force = Head { digest: crate::Digest([1; 32]), ..head };
    fleet.go(0.5, slow);
    let status = fleet.status();
    assert_eq!((status.released.number, status.have, status.of), (number, 4, 7));
    let why: BTreeMap<&str, &Why> =
        status.lagging.iter().map(|lag| (lag.server.as_str(), &lag.why)).collect();
    assert_eq!((why["never"], why["n05"], why["n03"]), (&Why::Unheard, &Why::Behind, &Why::Conflict));
    assert_eq!(status.unsaved, [("n04".to_string(), "no space left".to_string())]);
    let n05 = status.lagging.iter().find(|lag| lag.server == "n05").unwrap();
    assert!(n05.since > 3.0 && n05.since < 6.6, "{n05:?}");
}

#[test]
fn a_new_owner_listens_first_and_goes_on_with_the_trial_it_finds() {
    let mut fleet = Fleet::new(9);
    fleet.go(2.0, |_, _| true);
    let number = fleet.put(1.0);
    fleet.go(0.1, |_, _| true);
    let began = fleet.now;
    let old = std::mem::replace(&mut fleet.rollout, Rollout::begin(Rules::default(), "new", 2, 7, began));
    assert!(!fleet.status().everywhere);
    fleet.go(2.5, |_, _| true);
    assert_eq!(fleet.status().released.number, number);
    assert!(fleet.status().everywhere);
    let trials = fleet.said.iter().filter(|said| matches!(said, Command::Trial { .. })).count();
    assert_eq!(trials, 1, "the trial goes on, it does not begin anew");
    // The old one finds out and says no more.
    let mut old = old;
    assert_eq!(old.look(fleet.now, &fleet.history), None);
    assert!(old.over());
}

#[test]
fn an_owner_without_room_for_all_servers_says_nothing_of_all() {
    let mut fleet = Fleet::new(4);
    fleet.rollout = Rollout::begin(Rules { servers: 3, ..Rules::default() }, "owner", 1, 42, 0.0);
    fleet.go(3.0, |_, _| true);
    let status = fleet.status();
    assert_eq!((status.have, status.of, status.everywhere), (3, 3, false));
}

#[test]
fn without_anybody_to_try_it_nothing_is_released() {
    let mut fleet = Fleet::new(0);
    fleet.put(1.0);
    fleet.go(9.0, |_, _| true);
    assert_eq!(fleet.status().released.number, 0);
    assert!(!fleet.status().everywhere);
}

#[test]
fn a_command_that_was_lost_is_given_again_and_no_other_in_its_place() {
    let mut fleet = Fleet::new(9);
    fleet.go(2.0, |_, _| true);
    fleet.put(1.0);
    let mut said = Vec::new();
    for _ in 0..40 {
        fleet.now += 0.05;
        for (ack, _) in fleet.servers.values_mut() {
            ack.serial += 1;
            fleet.rollout.heard(fleet.now, ack);
        }
        said.extend(fleet.rollout.look(fleet.now, &fleet.history));
    }
    assert!(said.len() >= 3 && said.len() <= 5, "{}", said.len());
    assert!(said.windows(2).all(|two| two[0] == two[1]), "{said:?}");
}

#[test]
fn rules_that_could_not_be_kept_are_refused() {
    let wrong = [
        Rules { canaries: 0, ..Rules::default() },
        Rules { canaries: 60, ..Rules::default() },
        Rules { silent: 1.0, ..Rules::default() },
        Rules { span: f64::NAN, ..Rules::default() },
    ];
    assert!(wrong.iter().all(|rules| rules.check().is_err()));
}
