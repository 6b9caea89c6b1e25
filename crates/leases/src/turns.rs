//! Turns to leave: during a release no more than so many servers, and no more than a share of a zone, leave at once. One owner gives turns; a
//! server waits for its own a bounded time, never so long that its drain would be cut short, then leaves without. Both sides stand here;
//! neither reads a clock.

use crate::sent::Sent;
use crate::Epoch;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Reports of a server that may be unanswered and still be counted from.
const SENT: usize = 32;
/// Servers that one owner knows at the most.
const SERVERS: usize = 10_000;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rules {
    /// Servers of the fleet that may be away at once, and the share of a zone's; one of a zone always may.
    pub most: usize,
    pub zone_share: f64,
    /// s that a turn lasts: drain, restart, and until it has warmed up.
    pub span: f64,
    pub drift: f64,
    /// s without a report after which a server counts as away, turn or none.
    pub silent: f64,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules { most: 10, zone_share: 0.1, span: 30.0, drift: 0.02, silent: 5.0 }
    }
}

/// What a server says of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    #[default]
    Serves,
    /// It was told to leave and waits for its turn.
    Waits,
    /// It is on its way out, by a turn or without.
    Leaves,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Asked {
    pub server: String,
    pub incarnation: u64,
    pub report: u64,
    pub zone: String,
    pub state: State,
}

/// Leave now, at the latest within the span counted from when the report was sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Turn {
    pub epoch: Epoch,
    pub report: u64,
    /// s after the report was sent within which the server must have begun; later the turn is void.
    pub begin: f64,
}

/// Share of a turn's span within which its server must begin to leave.
const BEGIN: f64 = 0.2;

#[derive(Clone, Debug, Default)]
struct Seat {
    incarnation: u64,
    report: u64,
    zone: String,
    state: State,
    heard: f64,
    /// Since when it waits.
    waits: Option<f64>,
    /// Its turn, until when it counts.
    turn: Option<f64>,
}

/// The owner's side.
#[derive(Clone, Debug)]
pub struct Turns {
    epoch: Epoch,
    rules: Rules,
    /// Turns of the owner before are over from then on.
    opens: f64,
    seats: BTreeMap<String, Seat>,
}

impl Turns {
    pub fn new(epoch: Epoch, rules: Rules, now: f64) -> Turns {
        let opens = now + rules.span * (1.0 + rules.drift);
        Turns { epoch, rules, opens, seats: BTreeMap::new() }
    }

    /// A report; nothing if it is older than what was heard.
    pub fn hear(&mut self, now: f64, asked: &Asked) {
        if !self.seats.contains_key(&asked.server) && self.seats.len() >= SERVERS {
            return;
        }
        let seat = self.seats.entry(asked.server.clone()).or_default();
        if (asked.incarnation, asked.report) <= (seat.incarnation, seat.report) {
            return;
        }
        if asked.incarnation > seat.incarnation && asked.state == State::Serves {
            // It has come back, and serves.
            seat.turn = None;
        }
        (seat.incarnation, seat.report, seat.heard) = (asked.incarnation, asked.report, now);
        (seat.zone, seat.state) = (asked.zone.clone(), asked.state);
        seat.waits = if asked.state == State::Waits { Some(seat.waits.unwrap_or(now)) } else { None };
    }

    /// Whether a server counts as away: by a turn, on its way without one, or silent.
    fn away(&self, now: f64, seat: &Seat) -> bool {
        seat.turn.is_some_and(|until| now < until)
            || seat.state == State::Leaves
            || now - seat.heard > self.rules.silent
    }

    /// How many are away, in all and in a zone.
    pub fn count(&self, now: f64, zone: Option<&str>) -> usize {
        let here = |seat: &&Seat| zone.is_none_or(|zone| seat.zone == zone);
        self.seats.values().filter(here).filter(|seat| self.away(now, seat)).count()
    }

    /// Gives turns to those who have waited longest, as far as there is room.
    pub fn plan(&mut self, now: f64) -> Vec<(String, Turn)> {
        // A server that was silent for so long is gone for good, or comes back as a new one.
        let forget = 20.0 * self.rules.silent.max(self.rules.span);
        self.seats.retain(|_, seat| now - seat.heard <= forget);
        if now < self.opens {
            return Vec::new();
        }
        let mut waiting: Vec<(f64, String)> = Vec::new();
        for (name, seat) in &self.seats {
            if let Some(since) = seat.waits.filter(|_| !self.away(now, seat)) {
                waiting.push((since, name.clone()));
            }
        }
        waiting.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let mut given = Vec::new();
        for (_, name) in waiting {
            let zone = self.seats[&name].zone.clone();
            let of_zone = self.seats.values().filter(|seat| seat.zone == zone).count();
            let most = ((self.rules.zone_share * of_zone as f64).floor() as usize).max(1);
            if self.count(now, None) >= self.rules.most || self.count(now, Some(&zone)) >= most {
                continue;
            }
            let until = now + self.rules.span * (1.0 + self.rules.drift);
            let (epoch, begin) = (self.epoch, BEGIN * self.rules.span);
            let Some(seat) = self.seats.get_mut(&name) else { continue };
            seat.turn = Some(until);
            given.push((name, Turn { epoch, report: seat.report, begin }));
        }
        given
    }
}

/// How a server that was told to leave goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Go {
    Wait,
    /// By a turn under this epoch.
    Turn(Epoch),
    /// Without: it has waited as long as it may.
    Alone,
}

/// A server's side, from the notice to leave on.
#[derive(Clone, Debug)]
pub struct Leaver {
    /// When it leaves at the latest.
    latest: f64,
    sent: Sent,
    go: Go,
}

impl Leaver {
    /// Told to leave now; it would wait up to `patience`, but the kill comes at `kill` and the drain needs `drain` before it.
    /// `reports` have gone out before.
    pub fn new(now: f64, patience: f64, kill: f64, drain: f64, reports: u64) -> Leaver {
        let latest = (now + patience).min(kill - drain).max(now);
        Leaver { latest, sent: Sent::after(reports, SENT), go: Go::Wait }
    }

    /// A report that is sent now.
    pub fn report(&mut self, now: f64) -> (u64, State) {
        (self.sent.send(now), if self.go == Go::Wait { State::Waits } else { State::Leaves })
    }

    /// A turn that came; void if it is not for a report of this life, or too late to begin.
    pub fn take(&mut self, now: f64, turn: &Turn) {
        let fit = |sent: f64| turn.begin.is_finite() && now - sent < turn.begin;
        if self.go == Go::Wait && self.sent.at(turn.report).is_some_and(fit) {
            self.go = Go::Turn(turn.epoch);
        }
    }

    /// Looked at until it says to go.
    pub fn look(&mut self, now: f64) -> Go {
        if self.go == Go::Wait && now >= self.latest {
            self.go = Go::Alone;
        }
        self.go
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::{Rng, SeedableRng};
    use rand_chacha::ChaCha8Rng;

    fn asked(server: &str, report: u64, zone: &str, state: State) -> Asked {
        Asked { server: server.into(), incarnation: 1, report, zone: zone.into(), state }
    }

    fn rules() -> Rules {
        Rules { most: 3, zone_share: 0.25, span: 10.0, ..Rules::default() }
    }

    #[test]
    fn no_more_than_the_fleet_and_a_zone_allow_leave_and_those_first_who_waited_longest() {
        let mut turns = Turns::new(4, rules(), 0.0);
        for at in 0..16 {
            let state = if at < 12 { State::Waits } else { State::Serves };
            turns.hear(11.0 + at as f64 / 100.0, &asked(&format!("n{at:02}"), 1, ["e", "w"][at % 2], state));
        }
        let given: Vec<String> = turns.plan(12.0).into_iter().map(|(name, _)| name).collect();
        assert_eq!(given, ["n00", "n01", "n02"], "two of a zone of eight, three of all");
        // One is back under a new life, and another is silent: that one counts as away.
        turns.hear(13.0, &Asked { incarnation: 2, ..asked("n00", 1, "e", State::Serves) });
        assert_eq!(turns.plan(13.1).len(), 1);
        assert!(turns.plan(30.0).is_empty(), "all are silent");
    }

    #[test]
    fn a_new_owner_gives_none_while_turns_of_the_one_before_may_last() {
        let mut turns = Turns::new(5, rules(), 100.0);
        turns.hear(105.0, &asked("a", 1, "e", State::Waits));
        assert!(turns.plan(110.1).is_empty());
        turns.hear(110.2, &asked("a", 2, "e", State::Waits));
        assert_eq!(turns.plan(110.3), [("a".to_string(), Turn { epoch: 5, report: 2, begin: 2.0 })]);
    }

    #[test]
    fn a_server_waits_no_longer_than_it_may_and_never_into_its_drain() {
        for (patience, latest) in [(3.0, 103.0), (60.0, 106.0)] {
            let mut leaver = Leaver::new(100.0, patience, 110.0, 4.0, 7);
            assert_eq!((leaver.report(100.0), leaver.look(latest - 0.1)), ((8, State::Waits), Go::Wait));
            assert_eq!((leaver.look(latest), leaver.report(latest).1), (Go::Alone, State::Leaves));
        }
        let mut late = Leaver::new(100.0, 60.0, 102.0, 4.0, 0);
        assert_eq!(late.look(100.0), Go::Alone, "its drain takes longer than it has");
    }

    #[test]
    fn a_turn_that_comes_late_or_for_another_life_is_void() {
        let mut leaver = Leaver::new(100.0, 60.0, 200.0, 4.0, 0);
        let (report, _) = leaver.report(100.0);
        let turn = Turn { epoch: 3, report, begin: 2.0 };
        leaver.take(102.5, &turn);
        leaver.take(100.5, &Turn { report: 9, ..turn.clone() });
        leaver.take(100.5, &Turn { begin: f64::NAN, ..turn.clone() });
        assert_eq!(leaver.look(103.0), Go::Wait);
        leaver.take(101.0, &turn);
        assert_eq!(leaver.look(103.0), Go::Turn(3));
    }

    /// All of a fleet want to leave; owners are replaced, reports and turns late or lost.
    #[test]
    fn in_a_release_turns_never_take_more_than_they_may_and_all_get_theirs() {
        let (mut by_turn, mut alone, mut owners) = (0, 0, 0);
        for seed in 0..200 {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let count = rng.random_range(4..24usize);
            let rules =
                Rules { most: rng.random_range(1..5), zone_share: 0.3, span: 6.0, silent: 3.0, drift: 0.02 };
            let zone = |at: usize| ["e", "w", "s"][at % 3];
            let clocks: Vec<(f64, f64)> = (0..count)
                .map(|_| (rng.random_range(0.0..1e4), 1.0 + rng.random_range(-0.01..0.01)))
                .collect();
            let (mut lives, mut reports) = (vec![1u64; count], vec![0u64; count]);
            let mut leavers: Vec<Option<Leaver>> = vec![None; count];
            // Away until then, and whether by a turn; who has been replaced.
            let mut away: Vec<(f64, bool)> = vec![(0.0, false); count];
            let mut done = vec![false; count];
            let mut turns = Turns::new(1, rules.clone(), -10.0);
            let mut epoch = 1;
            let mut mail: Vec<(f64, usize, u64, Result<Asked, Turn>)> = Vec::new();
            let mut t = 0.0;
            for step in 0..20_000 {
                t += 0.02;
                if rng.random_bool(0.0003) && t < 200.0 {
                    (epoch, owners) = (epoch + 1, owners + 1);
                    turns = Turns::new(epoch, rules.clone(), t);
                }
                for at in 0..count {
                    let now = clocks[at].0 + clocks[at].1 * t;
                    if t < away[at].0 {
                        continue;
                    }
                    if leavers[at].is_none() && !done[at] && rng.random_bool(0.005) {
                        leavers[at] = Some(Leaver::new(now, 300.0, now + 400.0, 4.0, reports[at]));
                    }
                    if (step + at * 3) % 25 == 0 {
                        let (report, state) = match &mut leavers[at] {
                            Some(leaver) => leaver.report(now),
                            None => (reports[at] + 1, State::Serves),
                        };
                        reports[at] = report;
                        let line = Asked {
                            incarnation: lives[at],
                            report,
                            ..asked(&format!("n{at}"), 0, zone(at), state)
                        };
                        let delay = if rng.random_bool(0.05) { rng.random_range(0.1..3.0) } else { 0.01 };
                        mail.push((t + delay, at, lives[at], Ok(line)));
                    }
                    let go = leavers[at].as_mut().map(|leaver| leaver.look(now));
                    if matches!(go, Some(Go::Turn(_) | Go::Alone)) {
                        // A drain and a restart take half a turn, so that it is back before its turn ends.
                        away[at] = (t + 3.0, go != Some(Go::Alone));
                        (leavers[at], done[at], reports[at]) = (None, true, 0);
                        lives[at] += 1;
                        if go == Some(Go::Alone) {
                            alone += 1
                        } else {
                            by_turn += 1
                        }
                    }
                }
                if step % 10 == 0 {
                    for (name, turn) in turns.plan(t) {
                        let at: usize = name[1..].parse().unwrap();
                        let delay = if rng.random_bool(0.05) { rng.random_range(0.1..3.0) } else { 0.01 };
                        mail.push((t + delay, at, lives[at], Err(turn)));
                    }
                }
                let mut place = 0;
                while place < mail.len() {
                    if mail[place].0 > t {
                        place += 1;
                        continue;
                    }
                    let (_, at, life, what) = mail.swap_remove(place);
                    match what {
                        Ok(line) => turns.hear(t, &line),
                        Err(turn) if life == lives[at] => {
                            let now = clocks[at].0 + clocks[at].1 * t;
                            if let Some(leaver) = &mut leavers[at] {
                                leaver.take(now, &turn);
                            }
                        }
                        Err(_) => {}
                    }
                }
                let out = |zone_of: Option<&str>| {
                    let here = |at: &usize| zone_of.is_none_or(|name| zone(*at) == name);
                    (0..count).filter(here).filter(|at| t < away[*at].0 && away[*at].1).count()
                };
                assert!(out(None) <= rules.most, "seed {seed}, {t:.2} s: {} of {}", out(None), rules.most);
                for name in ["e", "w", "s"] {
                    let of_zone = (0..count).filter(|at| zone(*at) == name).count();
                    let most = ((rules.zone_share * of_zone as f64).floor() as usize).max(1);
                    assert!(out(Some(name)) <= most, "seed {seed}, {t:.2} s: {} of {name}", out(Some(name)));
                }
            }
            assert!(done.iter().all(|done| *done), "seed {seed}: somebody never left");
        }
        println!("{by_turn} left by a turn, {alone} without, under {owners} new owners");
        assert!(by_turn > 20 * alone && owners > 200, "{by_turn} {alone} {owners}");
    }
}
