//! Parts of a customer's quota: one owner hears what each server is asked for and hands the fleet's quota out in parts that run out. A
//! server without a valid part falls back to the equal share, and not at once: what the owner gave to others must have run out
//! first. Both sides stand here; neither reads a clock.
//!
//! What is in force sums to no more than the quota, but for servers that start anew: they know of no part and begin with
//! the equal share, which the owner hears with their first report.

use crate::sent::Sent;
use crate::Epoch;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How long after its part ran out a server stays at the lower of that and the equal share, in spans of a part. Parts that others got
/// while the owner still counted on this one have run out by then: a span, its drift, and the age a grant may have.
const LINGER: f64 = 2.1;
/// Share of its span at which a grant is too old to be taken.
const STALE: f64 = 0.9;
/// Reports of a server that may be unanswered and still be counted from.
const SENT: usize = 32;
/// Weight of a new report in a server's learned demand.
const NEW: f64 = 0.3;
/// Demand is planned with so much room above it: it moves until the next plan.
const ROOM: f64 = 1.25;

/// A part as it is handed out, in answer to a report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Part {
    pub epoch: Epoch,
    /// Rises with each part of this server.
    pub number: u64,
    /// The report that it answers: its span counts from when that was sent.
    pub report: u64,
    pub rate: f64,
    /// s
    pub span: f64,
}

/// What a server reports, for one customer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Asked {
    pub server: String,
    pub incarnation: u64,
    pub report: u64,
    /// Txns a second that it was asked for.
    pub demand: f64,
    /// The part that it goes by, if it has any.
    pub holds: Option<(Epoch, u64)>,
}

/// A server's own share.
#[derive(Clone, Debug)]
pub struct Share {
    equal: f64,
    held: Option<(Part, f64)>,
    sent: Sent,
}

impl Share {
    pub fn new(quota: f64, servers: f64) -> Share {
        Share { equal: quota / servers.max(1.0), held: None, sent: Sent::after(0, SENT) }
    }

    /// A report that is sent now: its number and what it holds.
    pub fn report(&mut self, now: f64) -> (u64, Option<(Epoch, u64)>) {
        let report = self.sent.send(now);
        let valid = self.held.as_ref().filter(|(_, until)| now < *until);
        (report, valid.map(|(part, _)| (part.epoch, part.number)))
    }

    /// Takes a part, unless a later one was taken, its report is not known here, or it is stale.
    pub fn take(&mut self, now: f64, part: &Part) -> bool {
        let Some(sent) = self.sent.at(part.report) else { return false };
        let newer = |(held, _): &(Part, f64)| (held.epoch, held.number) >= (part.epoch, part.number);
        let fit = part.rate >= 0.0 && part.rate.is_finite() && part.span > 0.0 && part.span.is_finite();
        if !fit || self.held.as_ref().is_some_and(newer) || now - sent > STALE * part.span {
            return false;
        }
        self.held = Some((part.clone(), sent + part.span));
        true
    }

    /// Until when the part that it goes by holds, if it goes by one.
    pub fn until(&self, now: f64) -> Option<f64> {
        self.held.as_ref().map(|(_, until)| *until).filter(|until| now < *until)
    }

    /// What it may settle for the customer now, txns a second.
    pub fn rate(&self, now: f64) -> f64 {
        match &self.held {
            Some((part, until)) if now < *until => part.rate,
            Some((part, until)) if now < until + LINGER * part.span => part.rate.min(self.equal),
            _ => self.equal,
        }
    }
}

#[derive(Clone, Debug, Default)]
struct Seat {
    incarnation: u64,
    report: u64,
    demand: f64,
    number: u64,
    /// Parts that may be in force, as (number, rate, until when by the owner's clock); the server holds the first once it says so.
    out: Vec<(u64, f64, f64)>,
    holds: u64,
    fresh: bool,
}

/// The owner's side, for one customer.
#[derive(Clone, Debug)]
pub struct Parts {
    epoch: Epoch,
    quota: f64,
    equal: f64,
    span: f64,
    drift: f64,
    /// What its predecessor gave has run out from then on.
    opens: f64,
    servers: usize,
    seats: BTreeMap<String, Seat>,
}

impl Parts {
    /// An owner that begins now under this epoch, for so many servers.
    pub fn new(epoch: Epoch, quota: f64, servers: usize, span: f64, drift: f64, now: f64) -> Parts {
        let opens = now + span * (1.0 + drift);
        let equal = quota / servers.max(1) as f64;
        Parts { epoch, quota, equal, span, drift, opens, servers, seats: BTreeMap::new() }
    }

    /// A report; nothing if it is older than what was heard.
    pub fn hear(&mut self, asked: &Asked) {
        if !self.seats.contains_key(&asked.server) && self.seats.len() >= self.servers {
            return; // more than the quota was planned for: they stay at the equal share
        }
        let seat = self.seats.entry(asked.server.clone()).or_default();
        if (asked.incarnation, asked.report) <= (seat.incarnation, seat.report) {
            return;
        }
        if asked.incarnation > seat.incarnation {
            *seat = Seat { incarnation: asked.incarnation, number: seat.number, ..Seat::default() };
        }
        seat.report = asked.report;
        let demand = if asked.demand.is_finite() { asked.demand.max(0.0) } else { 0.0 };
        seat.demand =
            if seat.fresh || seat.demand > 0.0 { seat.demand + NEW * (demand - seat.demand) } else { demand };
        seat.fresh = true;
        seat.holds = asked.holds.filter(|(epoch, _)| *epoch == self.epoch).map_or(0, |(_, number)| number);
        let holds = seat.holds;
        seat.out.retain(|(number, ..)| *number >= holds);
    }

    /// The most that a server may go by, now and until what is given now has run out.
    fn bound(&self, now: f64, seat: &Seat) -> f64 {
        let valid = seat.out.iter().filter(|(.., until)| *until > now);
        let most = valid.clone().map(|(_, rate, _)| *rate).fold(0.0, f64::max);
        let held = valid.clone().any(|(number, ..)| *number == seat.holds);
        if held {
            most
        } else {
            most.max(self.equal)
        }
    }

    /// What may be in force over the whole fleet.
    pub fn in_force(&self, now: f64) -> f64 {
        let known: f64 = self.seats.values().map(|seat| self.bound(now, seat)).sum();
        known + self.equal * (self.servers - self.seats.len()) as f64
    }

    /// Parts for those who have reported since the last plan.
    pub fn plan(&mut self, now: f64) -> Vec<(String, Part)> {
        for seat in self.seats.values_mut() {
            seat.out.retain(|(.., until)| *until > now);
        }
        if now < self.opens {
            return Vec::new();
        }
        let wanted = self.wanted(now);
        let mut parts = Vec::new();
        // Who gets less goes first: what that frees is there once it was heard of, never before.
        let mut order: Vec<String> =
            self.seats.iter().filter(|(_, seat)| seat.fresh).map(|(name, _)| name.clone()).collect();
        let grows = |name: &String| wanted[name] - self.bound(now, &self.seats[name]);
        order.sort_by(|a, b| grows(a).total_cmp(&grows(b)).then(a.cmp(b)));
        for name in order {
            // Never more than what all others may go by leaves.
            let others = self.in_force(now) - self.bound(now, &self.seats[&name]);
            let rate = wanted[&name].min((self.quota - others).max(0.0));
            let until = now + self.span * (1.0 + self.drift);
            let Some(seat) = self.seats.get_mut(&name) else { continue };
            seat.number += 1;
            seat.fresh = false;
            seat.out.push((seat.number, rate, until));
            let part =
                Part { epoch: self.epoch, number: seat.number, report: seat.report, rate, span: self.span };
            parts.push((name, part));
        }
        parts
    }

    /// What each should have: its demand with room, cut alike where all is too much; what is left over is spread evenly. For
    /// whoever is silent, or was never heard, the equal share is kept.
    fn wanted(&self, now: f64) -> BTreeMap<String, f64> {
        let heard = |seat: &&Seat| seat.fresh || seat.out.iter().any(|(.., until)| *until > now);
        let count = self.seats.values().filter(heard).count();
        let quota = (self.quota - self.equal * (self.servers - count) as f64).max(0.0);
        let sum: f64 = self.seats.values().filter(heard).map(|seat| ROOM * seat.demand).sum();
        let cut = if sum > quota { quota / sum } else { 1.0 };
        let left = (quota - sum * cut).max(0.0) / count.max(1) as f64;
        let share = |seat: &Seat| if heard(&seat) { ROOM * seat.demand * cut + left } else { self.equal };
        self.seats.iter().map(|(name, seat)| (name.clone(), share(seat))).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::{Rng, SeedableRng};
    use rand_chacha::ChaCha8Rng;

    const QUOTA: f64 = 100.0;
    const SPAN: f64 = 2.0;

    fn asked(server: &str, report: u64, demand: f64, holds: Option<(Epoch, u64)>) -> Asked {
        Asked { server: server.into(), incarnation: 1, report, demand, holds }
    }

    #[test]
    fn a_server_without_a_part_goes_by_the_equal_share_and_one_whose_part_ran_out_by_the_lower() {
        let mut share = Share::new(QUOTA, 10.0);
        assert_eq!(share.rate(0.0), 10.0);
        for (rate, after) in [(40.0, 10.0), (1.0, 1.0)] {
            let mut share = share.clone();
            let (report, _) = share.report(5.0);
            let part = Part { epoch: 3, number: 1, report, rate, span: SPAN };
            assert!(share.take(5.5, &part));
            assert_eq!((share.rate(6.9), share.rate(7.0), share.rate(11.0)), (rate, after, after));
            assert_eq!(share.rate(11.3), 10.0);
        }
        let (report, _) = share.report(5.0);
        let part = |epoch, number, report| Part { epoch, number, report, rate: 1.0, span: SPAN };
        assert!(!share.take(6.9, &part(3, 1, report)), "stale");
        assert!(!share.take(5.1, &part(3, 1, 99)), "no report of ours");
        assert!(share.take(5.1, &part(3, 2, report)));
        assert!(
            !share.take(5.2, &part(3, 2, report)) && !share.take(5.2, &part(2, 9, report)),
            "a later one is held"
        );
        assert!(!share.take(5.2, &Part { rate: f64::NAN, ..part(4, 1, report) }));
    }

    #[test]
    fn nobody_gets_more_before_another_was_heard_to_have_less() {
        let mut parts = Parts::new(7, QUOTA, 2, SPAN, 0.02, 0.0);
        parts.hear(&asked("a", 1, 72.0, None));
        parts.hear(&asked("b", 1, 4.0, None));
        assert!(parts.plan(1.0).is_empty(), "what the owner before gave may be in force");
        let rate =
            |parts: &[(String, Part)], name: &str| parts.iter().find(|(who, _)| who == name).unwrap().1.rate;
        let first = parts.plan(2.1);
        assert!(rate(&first, "a") == 50.0 && rate(&first, "b") < 10.0, "{first:?}");
        parts.hear(&asked("a", 2, 72.0, Some((7, 1))));
        let second = parts.plan(2.5);
        assert_eq!(rate(&second, "a"), 50.0, "b has not said that it goes by its part");
        parts.hear(&asked("b", 2, 4.0, Some((7, 1))));
        parts.hear(&asked("a", 3, 72.0, Some((7, 2))));
        let third = parts.plan(3.0);
        assert!(rate(&third, "a") > 90.0, "{third:?}");
        // b falls silent: as soon as its part has run out the equal share is kept for it.
        for at in 1..8 {
            parts.hear(&asked("a", 3 + at, 72.0, Some((7, 2 + at))));
            parts.plan(3.0 + at as f64 / 2.0);
            assert!(parts.in_force(3.0 + at as f64 / 2.0) < QUOTA + 50.0);
        }
        parts.hear(&asked("a", 11, 72.0, Some((7, 10))));
        assert_eq!(rate(&parts.plan(9.0), "a"), 50.0);
    }

    /// Servers, an owner that is replaced, reports and parts that are late or lost.
    #[test]
    fn whatever_is_lost_or_late_what_is_in_force_sums_to_the_quota() {
        let (mut gained, mut equal) = (0.0, 0.0);
        for seed in 0..300 {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let count = rng.random_range(2..12usize);
            let mut shares: Vec<Share> = (0..count).map(|_| Share::new(QUOTA, count as f64)).collect();
            // A tenth of the servers, one at the least, has most of the demand.
            let hot = count.div_ceil(10);
            let demand = |at: usize| if at < hot { 70.0 / hot as f64 } else { 20.0 / (count - hot) as f64 };
            let clocks: Vec<(f64, f64)> = (0..count)
                .map(|_| (rng.random_range(0.0..1e4), 1.0 + rng.random_range(-0.01..0.01)))
                .collect();
            let mut cut = vec![0.0; count];
            let mut epoch = 1;
            let mut parts = Parts::new(epoch, QUOTA, count, SPAN, 0.02, 0.0);
            let mut mail: Vec<(f64, usize, Result<Asked, Part>)> = Vec::new();
            let mut t = 0.0;
            for step in 0..6000 {
                t += 0.01;
                let delay = |rng: &mut ChaCha8Rng| {
                    if rng.random_bool(0.02) {
                        rng.random_range(0.1..4.0)
                    } else {
                        rng.random_range(0.001..0.02)
                    }
                };
                if rng.random_bool(0.002) && t < 50.0 {
                    cut[rng.random_range(0..count)] = t + rng.random_range(1.0..12.0);
                }
                if rng.random_bool(0.0007) {
                    epoch += 1;
                    parts = Parts::new(epoch, QUOTA, count, SPAN, 0.02, t);
                }
                for at in 0..count {
                    if (step + at * 7) % 40 == 0 && t >= cut[at] {
                        let now = clocks[at].0 + clocks[at].1 * t;
                        let (report, holds) = shares[at].report(now);
                        let demand = demand(at);
                        let line = Asked { server: format!("n{at}"), incarnation: 1, report, demand, holds };
                        mail.push((t + delay(&mut rng), at, Ok(line)));
                    }
                }
                if step % 25 == 0 {
                    for (name, part) in parts.plan(t) {
                        let at: usize = name[1..].parse().unwrap();
                        mail.push((t + delay(&mut rng), at, Err(part)));
                    }
                }
                let mut place = 0;
                while place < mail.len() {
                    if mail[place].0 > t {
                        place += 1;
                        continue;
                    }
                    match mail.swap_remove(place) {
                        (_, at, _) if t < cut[at] => {}
                        (_, _, Ok(line)) => parts.hear(&line),
                        (_, at, Err(part)) => drop(shares[at].take(clocks[at].0 + clocks[at].1 * t, &part)),
                    }
                }
                let rates: Vec<f64> =
                    (0..count).map(|at| shares[at].rate(clocks[at].0 + clocks[at].1 * t)).collect();
                let sum: f64 = rates.iter().sum();
                assert!(sum <= QUOTA * 1.0001, "seed {seed}, {t:.2} s: {sum} of {QUOTA}: {rates:?}");
                gained += (0..count).map(|at| rates[at].min(demand(at))).sum::<f64>();
                equal += (0..count).map(|at| (QUOTA / count as f64).min(demand(at))).sum::<f64>();
            }
        }
        println!("demand met within the quota: {:.3} times what equal shares meet", gained / equal);
        assert!(gained > 1.3 * equal, "{gained} {equal}");
    }
}
