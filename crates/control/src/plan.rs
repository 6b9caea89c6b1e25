//! From views to a routing plan: which server of which zone gets what share, how much of a zone's load goes elsewhere, what
//! proxies drop before it reaches a server. No I/O, no clock.
//!
//! A server's target follows what it can carry: its limit over the time a run takes, less what its own pressure asks for,
//! times its warmth and how far it is believed, and never far over what its peers show for each core. Shares move toward
//! their targets in bounded steps; only what must stop (a drain, bad health, silence) stops at once.

use crate::shed::{Drop, Shed};
use crate::view::{Believed, Views};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

// ---- constants, each with its unit and the reason for its size ----

/// Share of its capacity that a server under full pressure loses: the module's own bias takes as much.
const PRESSURE_CUT: f64 = 0.6;
/// Times the median capacity of a core that any server is believed: machines differ by less, liars by more.
const PEERS: f64 = 2.0;
/// Time constant of what a server is taken to carry, s: its pressure answers to its share a second late, and without this
/// shares swing.
const CARRY_SPAN: f64 = 3.0;
/// Relative difference from its target up to which a share stays: reports jitter by about as much.
const STILL: f64 = 0.05;
/// Share of itself, or of a mean share, that a share moves in a second: a slow machine is told in one or two.
const STEP: f64 = 0.5;
/// Share of a zone's load that moves in a second, forced moves aside: callers' connections follow about as fast.
const MOVED: f64 = 0.15;
/// s between a move one way and one the other: longer than reports and answers take to show the first.
const TURN: f64 = 1.0;
/// Load over capacity from which a zone hands load to others, and up to which others take it.
const FULL: f64 = 0.9;
const ROOM: f64 = 0.8;
/// Share of a zone's load that starts or stops going elsewhere in a second.
const SPILL_STEP: f64 = 0.1;
/// Time constant of the load that a zone is taken to have, s: over a few reports.
const LOAD_SPAN: f64 = 2.0;
/// Retries that a proxy may have open over requests that it has open; least number.
const RETRIES: f64 = 0.1;
/// Times a server's limit that one proxy may have open there: a fleet of proxies shares it, none knows the others.
const OPEN: f64 = 4.0;

/// Why a server has the share it has.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Why {
    /// Txns a second that it can carry as it says, and as it is believed.
    pub says: f64,
    pub carries: f64,
    pub belief: f64,
    pub target: f64,
    /// What kept it from its target, in words.
    pub held: String,
}

/// One server's part of its zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Share {
    pub instance: String,
    pub address: SocketAddr,
    pub zone: String,
    /// Of the zone's own servers; they sum to 1, or all are 0.
    pub weight: f64,
    /// Requests that one proxy may have open there.
    pub open: u32,
    pub why: Why,
}

/// Where a zone's load goes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Zone {
    /// Txns a second.
    pub capacity: f64,
    pub load: f64,
    /// Share of its load that goes elsewhere, and of that each other zone's share.
    pub spill: f64,
    pub to: BTreeMap<String, f64>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// When it was decided, s by the service's clock.
    pub made: f64,
    /// Most reports are missing: the shares are as they last were.
    pub panic: bool,
    /// In the order of their names.
    pub shares: Vec<Share>,
    pub zones: BTreeMap<String, Zone>,
    pub drops: Vec<Drop>,
    /// s that a proxy tells its callers to keep off when it drops.
    pub retry_after: f64,
    pub retries: f64,
}

impl Plan {
    /// Of `zone`'s load, the share that goes to each server: its own servers' and those of zones it hands load to.
    pub fn routes(&self, zone: &str) -> Vec<(&Share, f64)> {
        let told = self.zones.get(zone);
        let part = |of: &str| match told {
            None => {
                // A zone without servers spreads over all, as they can carry.
                let all: f64 = self.zones.values().map(|z| z.capacity).sum();
                self.zones.get(of).map_or(0.0, |z| if all > 0.0 { z.capacity / all } else { 0.0 })
            }
            Some(told) if of == zone => 1.0 - told.spill,
            Some(told) => told.spill * told.to.get(of).copied().unwrap_or(0.0),
        };
        let routes = self.shares.iter().map(|share| (share, share.weight * part(&share.zone)));
        routes.filter(|(_, weight)| *weight > 0.0).collect()
    }
}

/// What is remembered of a share from one plan to the next.
#[derive(Clone, Copy, Debug, Default)]
struct Moved {
    weight: f64,
    up: bool,
    at: f64,
}

/// Makes one plan after the other.
#[derive(Debug, Default)]
pub struct Planner {
    moved: HashMap<String, (u64, Moved)>,
    /// Of each life of a server, what it can carry, smoothed.
    carries: HashMap<String, (u64, f64)>,
    /// Of each zone the load that starts there, whoever serves it, smoothed.
    sources: HashMap<String, f64>,
    zones: BTreeMap<String, Zone>,
    shed: Shed,
    last: Option<f64>,
}

/// One server on its way into the plan.
struct Candidate<'a> {
    view: Believed<'a>,
    says: f64,
    carries: f64,
    stopped: Option<&'static str>,
}

fn median(mut all: Vec<f64>) -> f64 {
    if all.is_empty() {
        return 0.0;
    }
    let middle = all.len() / 2;
    *all.select_nth_unstable_by(middle, f64::total_cmp).1
}

impl Planner {
    /// Decides anew. None while nobody could be routed to: then the last plan ends by its bound, an empty one is never made.
    pub fn plan(&mut self, now: f64, views: &Views) -> Option<Plan> {
        let believed = views.believed(now);
        let panic = views.panic(now);
        let passed = self.last.map(|last| (now - last).clamp(0.0, 5.0));
        let candidates = candidates(&believed, &mut self.carries, passed);
        if !candidates.iter().any(|c| c.stopped.is_none() && c.carries > 0.0) {
            return None;
        }
        let mut by_zone: BTreeMap<&str, Vec<&Candidate>> = BTreeMap::new();
        for candidate in &candidates {
            by_zone.entry(&candidate.view.report.zone).or_default().push(candidate);
        }
        let mut shares = Vec::with_capacity(candidates.len());
        let mut zones = BTreeMap::new();
        for (zone, servers) in &by_zone {
            self.spread(now, passed, servers, &mut shares);
            let capacity = servers.iter().filter(|c| c.stopped.is_none()).map(|c| c.carries).sum();
            let asked = |c: &&Candidate| c.view.report.classes.iter().map(|class| class.asked).sum::<f64>();
            let load: f64 = servers.iter().map(asked).sum();
            zones.insert((*zone).to_owned(), Zone { capacity, load, ..Zone::default() });
        }
        self.spill(passed.unwrap_or(0.0), &mut zones);
        shares.sort_by(|a, b| a.instance.cmp(&b.instance));
        let known: std::collections::HashSet<&str> = shares.iter().map(|s| s.instance.as_str()).collect();
        self.moved.retain(|name, _| known.contains(name.as_str()));
        self.carries.retain(|name, _| known.contains(name.as_str()));
        let drops = if panic { self.shed.held() } else { self.shed.decide(passed.unwrap_or(0.0), &believed) };
        self.last = Some(now);
        self.zones = zones.clone();
        let keep_off = believed.iter().filter(|b| b.belief > 0.0).map(|b| b.report.retry_after).collect();
        Some(Plan { made: now, panic, shares, zones, drops, retry_after: median(keep_off), retries: RETRIES })
    }

    /// Shares of one zone's servers: toward their targets, in bounded steps.
    fn spread(&mut self, now: f64, passed: Option<f64>, servers: &[&Candidate], out: &mut Vec<Share>) {
        let total: f64 = servers.iter().filter(|c| c.stopped.is_none()).map(|c| c.carries).sum();
        let target = |c: &Candidate| if c.stopped.is_none() && total > 0.0 { c.carries / total } else { 0.0 };
        let before: Vec<Moved> = servers
            .iter()
            .map(|c| match self.moved.get(&c.view.report.instance) {
                // Another process under the same name starts from nothing.
                Some((life, moved)) if *life == c.view.report.incarnation => *moved,
                _ => Moved::default(),
            })
            .collect();
        let kept: f64 =
            servers.iter().zip(&before).filter(|(c, _)| c.stopped.is_none()).map(|(_, m)| m.weight).sum();
        let mean = 1.0 / servers.len().max(1) as f64;
        let mut weights: Vec<f64> = Vec::with_capacity(servers.len());
        let mut held = vec![""; servers.len()];
        let mut eager = vec![false; servers.len()];
        match passed {
            Some(passed) if kept > 0.0 => {
                // What is stopped goes to the others in proportion, at once.
                let base = |c: &Candidate, m: &Moved| if c.stopped.is_some() { 0.0 } else { m.weight / kept };
                let bases: Vec<f64> = servers.iter().zip(&before).map(|(c, m)| base(c, m)).collect();
                let mut moves: Vec<f64> = Vec::with_capacity(servers.len());
                for (at, c) in servers.iter().enumerate() {
                    let (from, to) = (bases[at], target(c));
                    let wanted = to - from;
                    let most = STEP * passed * from.max(mean);
                    let turns =
                        before[at].at > 0.0 && before[at].up != (wanted > 0.0) && now - before[at].at < TURN;
                    // A newcomer is never too near its target to begin.
                    let near = wanted.abs() <= STILL * from.max(to) && from > 0.0;
                    let (step, why) = match () {
                        _ if c.stopped.is_some() || wanted == 0.0 => (0.0, ""),
                        _ if near => (0.0, "near its target"),
                        _ if turns => (0.0, "moved the other way just now"),
                        _ if wanted.abs() > most => (wanted.clamp(-most, most), "moves step by step"),
                        _ => (wanted, ""),
                    };
                    moves.push(step);
                    held[at] = why;
                }
                let most = MOVED * passed;
                even_out(&bases, &mut moves, &mut held, most, |at| servers[at].stopped.is_some());
                weights.extend(bases.iter().zip(&moves).map(|(base, step)| (base + step).max(0.0)));
                eager = moves.iter().zip(&held).map(|(step, why)| *step != 0.0 && *why != ABSORBS).collect();
            }
            // Nobody holds anything yet, or those who did are all gone: there is nothing to move from.
            _ => weights.extend(servers.iter().map(|c| target(c))),
        }
        for (at, c) in servers.iter().enumerate() {
            let report = c.view.report;
            let (weight, last) = (weights[at], before[at]);
            let moved = match weight - last.weight {
                gain if eager[at] && gain.abs() > 1e-9 => Moved { weight, up: gain > 0.0, at: now },
                _ => Moved { weight, ..last },
            };
            self.moved.insert(report.instance.clone(), (report.incarnation, moved));
            let held = c.stopped.unwrap_or(held[at]).to_owned();
            out.push(Share {
                instance: report.instance.clone(),
                address: report.address,
                zone: report.zone.clone(),
                weight,
                open: (OPEN * report.limit).ceil().clamp(1.0, 1e6) as u32,
                why: Why { says: c.says, carries: c.carries, belief: c.view.belief, target: target(c), held },
            });
        }
    }

    /// How much of each zone's load goes elsewhere. Loads are what servers saw, so what came from elsewhere by the last
    /// plan is taken off, and what went elsewhere put on.
    fn spill(&mut self, passed: f64, zones: &mut BTreeMap<String, Zone>) {
        let fresh = 1.0 - (-passed / LOAD_SPAN).exp();
        let names: Vec<String> = zones.keys().cloned().collect();
        let inbound = |name: &str| -> f64 {
            let from = self.zones.iter().filter(|(other, _)| other.as_str() != name);
            from.map(|(other, zone)| {
                let own = self.sources.get(other).copied().unwrap_or(0.0);
                own * zone.spill * zone.to.get(name).copied().unwrap_or(0.0)
            })
            .sum()
        };
        let mut own: HashMap<String, f64> = HashMap::with_capacity(names.len());
        for name in &names {
            let spilled = self.zones.get(name).map_or(0.0, |zone| zone.spill).min(0.99);
            let now = ((zones[name].load - inbound(name)) / (1.0 - spilled)).max(0.0);
            let smooth = self.sources.get(name).map_or(now, |last| last + fresh * (now - last));
            own.insert(name.clone(), smooth);
        }
        let free: BTreeMap<String, f64> = names
            .iter()
            .map(|name| (name.clone(), (ROOM * zones[name].capacity - own[name]).max(0.0)))
            .collect();
        let all_free: f64 = free.values().sum();
        let over: f64 = names.iter().map(|n| (own[n] - FULL * zones[n].capacity).max(0.0)).sum();
        for name in &names {
            let (load, capacity) = (own[name], zones[name].capacity);
            let last = self.zones.get(name).map_or(0.0, |zone| zone.spill);
            let wanted = if load > 0.0 { (1.0 - FULL * capacity / load).max(0.0) } else { 0.0 };
            // Others have room for so much of what all want to hand over.
            let room = if over > 0.0 { (all_free / over).min(1.0) } else { 1.0 };
            let wanted = if capacity > 0.0 { wanted * room } else { 1.0 };
            let most = SPILL_STEP * passed;
            let spill =
                if capacity <= 0.0 { 1.0 } else { wanted.clamp(last - most, last + most).clamp(0.0, 1.0) };
            let others: f64 = free.iter().filter(|(other, _)| *other != name).map(|(_, free)| free).sum();
            let to: BTreeMap<String, f64> = free
                .iter()
                .filter(|(other, free)| *other != name && **free > 0.0 && others > 0.0)
                .map(|(other, free)| (other.clone(), free / others))
                .collect();
            // Nobody has room: those who can carry anything share what a zone without servers must hand over.
            let carries: f64 = names.iter().filter(|o| *o != name).map(|o| zones[o].capacity).sum();
            let to = match to.is_empty() && capacity <= 0.0 && carries > 0.0 {
                true => {
                    let others = names.iter().filter(|other| *other != name && zones[*other].capacity > 0.0);
                    others.map(|other| (other.clone(), zones[other].capacity / carries)).collect()
                }
                false => to,
            };
            let Some(zone) = zones.get_mut(name) else { continue };
            zone.spill = if to.is_empty() { 0.0 } else { spill };
            (zone.to, zone.load) = (to, load);
        }
        self.sources = own;
    }
}

/// Why a share moves although its server is where it should be.
const ABSORBS: &str = "takes or gives what others move";

/// Bounds what moves in all, and lets those who stay where they are take up the difference, so that shares still sum to 1.
fn even_out(
    bases: &[f64],
    moves: &mut [f64],
    held: &mut [&'static str],
    most: f64,
    stopped: impl Fn(usize) -> bool,
) {
    let sums = |moves: &[f64]| {
        let up: f64 = moves.iter().filter(|step| **step > 0.0).sum();
        (up, up - moves.iter().sum::<f64>())
    };
    let (up, down) = sums(moves);
    let all = up.max(down);
    if all > most {
        for (step, why) in moves.iter_mut().zip(held.iter_mut()).filter(|(step, _)| **step != 0.0) {
            *step *= most / all;
            *why = if why.is_empty() { "much moves at once" } else { *why };
        }
    }
    let (up, down) = sums(moves);
    let still = |at: usize, moves: &[f64]| moves[at] == 0.0 && !stopped(at);
    let room: f64 = (0..moves.len()).filter(|at| still(*at, moves)).map(|at| bases[at]).sum();
    if room > 0.0 && room > up - down {
        let rest: Vec<usize> = (0..moves.len()).filter(|at| still(*at, moves)).collect();
        for at in rest {
            moves[at] = (down - up) * bases[at] / room;
            held[at] = ABSORBS;
        }
        return;
    }
    // Nobody is left for that: the larger side gives in.
    let even = up.min(down);
    for step in moves.iter_mut() {
        *step *= if *step > 0.0 {
            even / up
        } else if *step < 0.0 {
            even / down
        } else {
            1.0
        };
    }
}

/// What each server can carry, and who must get nothing.
fn candidates<'a>(
    believed: &[Believed<'a>],
    smooth: &mut HashMap<String, (u64, f64)>,
    passed: Option<f64>,
) -> Vec<Candidate<'a>> {
    let sound = |b: &&Believed| b.belief > 0.0 && b.report.healthy;
    let known_takes =
        median(believed.iter().filter(sound).map(|b| b.report.takes).filter(|t| *t > 0.0).collect());
    // Where nobody ran anything yet all runs are taken to be alike.
    let usual = if known_takes > 0.0 { known_takes } else { 1.0 };
    let says = |b: &Believed| b.report.limit / if b.report.takes > 0.0 { b.report.takes } else { usual };
    let of_core = median(believed.iter().filter(sound).map(|b| says(b) / b.report.cores).collect());
    let fresh = 1.0 - (-passed.unwrap_or(0.0) / CARRY_SPAN).exp();
    let mut judge = |b: &Believed<'a>| {
        let report = b.report;
        let says = says(b);
        let now = says.min(PEERS * of_core * report.cores) * (1.0 - PRESSURE_CUT * report.pressure);
        let able = match smooth.get(&report.instance) {
            Some((life, last)) if *life == report.incarnation => last + fresh * (now - last),
            _ => now,
        };
        smooth.insert(report.instance.clone(), (report.incarnation, able));
        let carries = able * report.warmth.max(0.05) * b.belief;
        let stopped = if report.leaving.is_some() {
            Some("leaves")
        } else if !report.healthy {
            Some("says it is not well")
        } else if b.belief <= 0.0 {
            Some("was silent for too long")
        } else {
            None
        };
        Candidate { view: *b, says, carries, stopped }
    };
    believed.iter().map(&mut judge).collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::view::tests::report;
    use crate::view::{Bounds, Class, Report, Verdict};
    use rand::{Rng, SeedableRng};
    use rand_chacha::ChaCha8Rng;

    /// A fleet whose every server reports four times a second.
    struct Fleet {
        views: Views,
        planner: Planner,
        now: f64,
        sequence: u64,
        servers: Vec<Report>,
    }

    impl Fleet {
        fn new(servers: Vec<Report>) -> Fleet {
            let views = Views::new(Bounds::default());
            Fleet { views, planner: Planner::default(), now: 0.0, sequence: 0, servers }
        }
        fn of(count: usize) -> Fleet {
            Fleet::new((0..count).map(|at| report(&format!("n{at:03}"), 0, 0.0)).collect())
        }
        /// All report, then it is planned anew.
        fn step(&mut self) -> Plan {
            self.now += 0.25;
            self.sequence += 1;
            for server in &self.servers {
                let report = Report { sequence: self.sequence, made: self.now, ..server.clone() };
                assert_eq!(self.views.take(self.now, report), Verdict::Taken);
            }
            let plan = self.planner.plan(self.now, &self.views).unwrap();
            sound(&plan);
            plan
        }
        fn steps(&mut self, count: usize) -> Plan {
            (1..count).for_each(|_| drop(self.step()));
            self.step()
        }
    }

    /// What holds of every plan.
    fn sound(plan: &Plan) {
        for zone in plan.zones.keys() {
            let sum: f64 = plan.shares.iter().filter(|s| &s.zone == zone).map(|s| s.weight).sum();
            assert!((sum - 1.0).abs() < 1e-6 || sum == 0.0, "{zone}: shares sum to {sum}");
            let routed: f64 = plan.routes(zone).iter().map(|(_, weight)| weight).sum();
            assert!((routed - 1.0).abs() < 1e-6, "{zone}: routes sum to {routed}");
        }
        assert!(plan.shares.iter().all(|s| s.weight >= 0.0 && s.weight.is_finite()));
    }

    fn weight(plan: &Plan, name: &str) -> f64 {
        plan.shares.iter().find(|s| s.instance == name).unwrap().weight
    }

    #[test]
    fn equal_servers_have_equal_shares_and_a_slow_one_comes_down_in_bounded_steps() {
        let mut fleet = Fleet::of(10);
        assert!(fleet.step().shares.iter().all(|s| (s.weight - 0.1).abs() < 1e-9));
        fleet.servers[3].takes *= 5.0;
        let mut last = 0.1;
        for _ in 0..100 {
            let plan = fleet.step();
            let now = weight(&plan, "n003");
            assert!(now <= last + 1e-9 && last - now <= MOVED * 0.25 + 1e-9, "{last} to {now}");
            last = now;
        }
        assert!((last - 0.2 / 9.2).abs() < 0.002, "{last}");
    }

    #[test]
    fn who_leaves_is_unwell_or_silent_gets_nothing_at_once_and_the_others_all_of_it() {
        let mut fleet = Fleet::of(5);
        fleet.step();
        fleet.servers[0].leaving = Some(3.0);
        fleet.servers[1].healthy = false;
        let plan = fleet.step();
        assert_eq!((weight(&plan, "n000"), weight(&plan, "n001")), (0.0, 0.0));
        assert!((weight(&plan, "n002") - 1.0 / 3.0).abs() < 1e-9);
        let silent = fleet.servers.remove(4);
        let plan = fleet.steps(20);
        assert_eq!(weight(&plan, &silent.instance), 0.0);
        assert_eq!(
            plan.shares.iter().find(|s| s.instance == "n004").unwrap().why.held,
            "was silent for too long"
        );
    }

    #[test]
    fn if_all_go_silent_the_shares_stay_and_if_nobody_can_be_routed_to_there_is_no_plan() {
        let mut fleet = Fleet::of(4);
        let before = fleet.step();
        let plan = fleet.planner.plan(fleet.now + 3.0, &fleet.views).unwrap();
        assert!(plan.panic);
        assert_eq!(plan.shares.iter().map(|s| s.weight).collect::<Vec<_>>(), [0.25; 4]);
        assert_eq!(before.drops, plan.drops);
        fleet.servers.iter_mut().for_each(|s| s.healthy = false);
        fleet.now += 1.0;
        for server in fleet.servers.clone() {
            fleet.views.take(fleet.now, Report { sequence: 99, made: fleet.now, ..server });
        }
        assert!(fleet.planner.plan(fleet.now, &fleet.views).is_none());
    }

    #[test]
    fn a_server_that_claims_to_be_far_better_than_its_peers_gets_twice_a_fair_share_at_most() {
        let mut fleet = Fleet::of(10);
        fleet.step();
        (fleet.servers[7].takes, fleet.servers[7].limit) = (1e-6, 4000.0);
        let plan = fleet.steps(80);
        assert!((weight(&plan, "n007") - PEERS / 11.0).abs() < 0.01, "{}", weight(&plan, "n007"));
    }

    #[test]
    fn a_cold_server_rises_slowly_and_a_restarted_one_starts_from_nothing() {
        let mut fleet = Fleet::of(4);
        fleet.step();
        fleet.servers.push(Report { warmth: 0.2, ..report("n9", 0, 0.0) });
        let first = weight(&fleet.step(), "n9");
        assert!(first > 0.0 && first <= STEP * 0.25 * 0.2 + 1e-9, "{first}");
        let cold = weight(&fleet.steps(40), "n9");
        assert!((cold - 0.2 / 4.2).abs() < 0.01, "{cold}");
        fleet.servers[4].warmth = 1.0;
        let warm = weight(&fleet.steps(60), "n9");
        assert!((warm - 0.2).abs() < 0.015, "{warm}");
        (fleet.servers[4].incarnation, fleet.servers[4].warmth) = (11, 0.2);
        assert!(weight(&fleet.step(), "n9") <= STEP * 0.25 * 0.2 + 1e-9);
    }

    fn zoned(zone: &str, name: &str, asked: f64) -> Report {
        let class = Class { product: "p".into(), customer: "k".into(), worth: 1.0, asked, declined: 0.0 };
        Report { zone: zone.into(), classes: vec![class], ..report(name, 0, 0.0) }
    }

    #[test]
    fn a_full_zone_hands_load_to_one_with_room_and_takes_it_back() {
        // Each server carries 400 a second. Zone a gets 480 for its one, b 80 for its two.
        let mut fleet =
            Fleet::new(vec![zoned("a", "a1", 480.0), zoned("b", "b1", 40.0), zoned("b", "b2", 40.0)]);
        let (mut spill, mut most) = (0.0, 0.0f64);
        for _ in 0..200 {
            // What proxies do with it: the servers see their own zone's load less what goes away.
            fleet.servers[0].classes[0].asked = 480.0 * (1.0 - spill);
            for at in [1, 2] {
                fleet.servers[at].classes[0].asked = (80.0 + 480.0 * spill) / 2.0;
            }
            let plan = fleet.step();
            assert!((plan.zones["a"].spill - spill).abs() <= SPILL_STEP * 0.25 + 1e-9);
            assert_eq!(plan.zones["b"].spill, 0.0);
            spill = plan.zones["a"].spill;
            most = most.max(spill);
        }
        let wanted = 1.0 - FULL * 400.0 / 480.0;
        assert!((spill - wanted).abs() < 0.02 && most < wanted + 0.02, "{spill}, {most}, {wanted} wanted");
        assert_eq!(fleet.step().zones["a"].to.keys().collect::<Vec<_>>(), ["b"]);
        fleet.servers[0].classes[0].asked = 100.0;
        fleet.servers[1].classes[0].asked = 40.0;
        fleet.servers[2].classes[0].asked = 40.0;
        assert!(fleet.steps(100).zones["a"].spill < 1e-6);
    }

    #[test]
    fn a_zone_without_servers_is_served_by_the_others() {
        let mut fleet = Fleet::new(vec![zoned("a", "a1", 10.0), zoned("b", "b1", 10.0)]);
        fleet.step();
        fleet.servers[0].leaving = Some(2.0);
        let plan = fleet.step();
        let routes = plan.routes("a");
        assert_eq!(routes.iter().map(|(s, w)| (s.instance.as_str(), *w)).collect::<Vec<_>>(), [("b1", 1.0)]);
        // One that never had any, as well.
        let sum: f64 = plan.routes("c").iter().map(|(_, w)| w).sum();
        assert!((sum - 1.0).abs() < 1e-9);
    }

    /// Servers whose run time grows with the load they get, seen a second late: the shares settle and stay.
    #[test]
    fn against_a_plant_with_delay_shares_settle_whatever_the_machines_are() {
        for seed in 0..20 {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let count = rng.random_range(3..30);
            let speeds: Vec<f64> = (0..count).map(|_| rng.random_range(0.3..1.5)).collect();
            let load = rng.random_range(0.5..0.95) * speeds.iter().sum::<f64>();
            let mut fleet = Fleet::of(count);
            let mut late: Vec<Vec<f64>> = Vec::new();
            let mut seen: Vec<Vec<f64>> = Vec::new();
            for _ in 0..400 {
                let acting = if late.len() > 4 {
                    late[late.len() - 5].clone()
                } else {
                    vec![1.0 / count as f64; count]
                };
                for (at, server) in fleet.servers.iter_mut().enumerate() {
                    let use_ = (load * acting[at] / speeds[at]).min(1.5);
                    // Runs slow down past nine tenths, pressure rises, and a little noise lies on all of it.
                    let crowd = if use_ > 0.9 { 1.0 + 2.0 * (use_ - 0.9) } else { 1.0 };
                    server.takes = 0.01 / speeds[at] * crowd * rng.random_range(0.97..1.03);
                    server.pressure = ((use_ - 0.9) * 3.0).clamp(0.0, 1.0);
                }
                let plan = fleet.step();
                late.push(plan.shares.iter().map(|s| s.weight).collect());
                seen.push(late[late.len() - 1].clone());
            }
            for at in 0..count {
                let end: Vec<f64> = seen[280..].iter().map(|w| w[at]).collect();
                let (low, high) = end.iter().fold((1.0f64, 0.0f64), |(l, h), w| (l.min(*w), h.max(*w)));
                assert!(high - low < 0.12 * high, "seed {seed}, server {at}: {low} to {high}");
            }
        }
    }
}
