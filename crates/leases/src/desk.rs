//! What a steward does with servers' reports while it owns parts of the duty `quota`, or the duty `turns`: it hears demand and hands out parts of quotas, it hears
//! who was told to leave and gives turns. And a server's own side of both, its [`Seat`]. Neither does I/O or reads a clock.
//!
//! A server sends the same report to all stewards; whoever owns what is asked for answers. So nobody has to know who owns what, and a new owner is
//! heard as soon as it speaks.

use crate::assign::part_of;
use crate::quota::{self, Part, Parts, Share};
use crate::turns::{self, Go, Leaver, State, Turn, Turns};
use crate::{Duty, Epoch};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Names of the two duties.
pub const QUOTA: &str = "quota";
pub const TURNS: &str = "turns";
/// Customers of one report, and bytes of a name.
pub const CUSTOMERS: usize = 10_000;
const NAME: usize = crate::table::NAME;

/// What both sides are told of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Told {
    /// Each customer's quota over the whole fleet, txns a second.
    pub customers: BTreeMap<String, f64>,
    /// Servers that the equal share is reckoned for.
    pub servers: usize,
    /// Parts of the duty `quota`, as the keepers declare it.
    pub parts: u32,
    /// s that a part of a quota holds.
    pub span: f64,
    pub drift: f64,
    pub turns: turns::Rules,
}

/// What a server reports, the same to all stewards.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    pub server: String,
    /// Rises with every start.
    pub incarnation: u64,
    #[serde(default)]
    pub zone: String,
    /// Counts the reports of this life.
    pub number: u64,
    pub state: State,
    #[serde(default)]
    pub asked: Vec<Asked>,
}

/// What a customer asked of it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Asked {
    pub customer: String,
    /// Txns a second.
    pub demand: f64,
    #[serde(default)]
    pub holds: Option<(Epoch, u64)>,
}

/// What an owner answers to one server.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    pub server: String,
    /// The life that reported: another passes it over.
    pub incarnation: u64,
    #[serde(default)]
    pub parts: Vec<(String, Part)>,
    #[serde(default)]
    pub turn: Option<Turn>,
}

/// The owner's side.
#[derive(Clone, Debug)]
pub struct Desk {
    told: Told,
    quota: BTreeMap<u32, (Epoch, BTreeMap<String, Parts>)>,
    turns: Option<(Epoch, Turns)>,
    /// The life of each server that was heard last.
    lives: BTreeMap<String, u64>,
}

/// Servers that one desk knows.
const SERVERS: usize = 10_000;

impl Desk {
    pub fn new(told: Told) -> Desk {
        Desk { told, quota: BTreeMap::new(), turns: None, lives: BTreeMap::new() }
    }

    /// Which part of the duty a customer's quota belongs to.
    pub fn part_of(&self, customer: &str) -> u32 {
        part_of(QUOTA, customer, self.told.parts)
    }

    /// A grant begins: nothing of an earlier one is known any more.
    pub fn begin(&mut self, now: f64, duty: &Duty, epoch: Epoch) {
        let Told { servers, span, drift, .. } = self.told;
        if duty.name == TURNS {
            self.turns = Some((epoch, Turns::new(epoch, self.told.turns.clone(), now)));
        } else if duty.name == QUOTA {
            let mine = self.told.customers.iter().filter(|(name, _)| self.part_of(name) == duty.part);
            let parts = |(name, rate): (&String, &f64)| {
                (name.clone(), Parts::new(epoch, *rate, servers, span, drift, now))
            };
            let parts: BTreeMap<String, Parts> = mine.map(parts).collect();
            self.quota.insert(duty.part, (epoch, parts));
        }
    }

    pub fn end(&mut self, duty: &Duty, epoch: Epoch) {
        if duty.name == TURNS && self.turns.as_ref().is_some_and(|(of, _)| *of == epoch) {
            self.turns = None;
        }
        if duty.name == QUOTA && self.quota.get(&duty.part).is_some_and(|(of, _)| *of == epoch) {
            self.quota.remove(&duty.part);
        }
    }

    /// A server's report. One that can't be is passed over, and says so.
    pub fn hear(&mut self, now: f64, report: &Report) -> Result<(), &'static str> {
        let long = |name: &String| name.is_empty() || name.len() > NAME;
        if long(&report.server) || report.zone.len() > NAME {
            return Err("a name is missing or too long");
        }
        if report.asked.len() > CUSTOMERS {
            return Err("too many customers");
        }
        if !self.lives.contains_key(&report.server) && self.lives.len() >= SERVERS {
            return Err("too many servers");
        }
        let life = self.lives.entry(report.server.clone()).or_default();
        if report.incarnation < *life {
            return Err("of a life that is over");
        }
        *life = report.incarnation;
        if let Some((_, turns)) = &mut self.turns {
            turns.hear(
                now,
                &turns::Asked {
                    server: report.server.clone(),
                    incarnation: report.incarnation,
                    report: report.number,
                    zone: report.zone.clone(),
                    state: report.state,
                },
            );
        }
        for one in &report.asked {
            let part = self.part_of(&one.customer);
            let parts = self.quota.get_mut(&part).and_then(|(_, all)| all.get_mut(&one.customer));
            if let Some(parts) = parts {
                parts.hear(&quota::Asked {
                    server: report.server.clone(),
                    incarnation: report.incarnation,
                    report: report.number,
                    demand: one.demand,
                    holds: one.holds,
                });
            }
        }
        Ok(())
    }

    /// One step of a duty: what goes to whom. It is to be sent at once.
    pub fn plan(&mut self, now: f64, duty: &Duty) -> Vec<Reply> {
        let mut replies: BTreeMap<String, Reply> = BTreeMap::new();
        let lives = &self.lives;
        // Servers that were never heard by this desk have no life that an answer could be for.
        let mut to = |server: String, put: &mut dyn FnMut(&mut Reply)| {
            if let Some(incarnation) = lives.get(&server).copied() {
                let fresh = Reply { server: server.clone(), incarnation, ..Reply::default() };
                put(replies.entry(server).or_insert(fresh));
            }
        };
        if duty.name == TURNS {
            for (server, turn) in self.turns.iter_mut().flat_map(|(_, turns)| turns.plan(now)) {
                to(server, &mut |reply| reply.turn = Some(turn.clone()));
            }
        } else if let Some((_, all)) = self.quota.get_mut(&duty.part).filter(|_| duty.name == QUOTA) {
            for (customer, parts) in all {
                for (server, part) in parts.plan(now) {
                    to(server, &mut |reply| reply.parts.push((customer.clone(), part.clone())));
                }
            }
        }
        replies.into_values().collect()
    }

    /// What may be in force of a customer's quota, as far as this owner knows; for whoever looks.
    pub fn in_force(&self, now: f64, customer: &str) -> Option<f64> {
        Some(self.quota.get(&self.part_of(customer))?.1.get(customer)?.in_force(now))
    }
}

/// A server's side of both.
#[derive(Clone, Debug)]
pub struct Seat {
    server: String,
    incarnation: u64,
    zone: String,
    shares: BTreeMap<String, Share>,
    number: u64,
    leaver: Option<Leaver>,
}

impl Seat {
    pub fn new(
        server: &str,
        incarnation: u64,
        zone: &str,
        customers: &BTreeMap<String, f64>,
        servers: usize,
    ) -> Seat {
        let share = |(name, quota): (&String, &f64)| (name.clone(), Share::new(*quota, servers as f64));
        Seat {
            server: server.into(),
            incarnation,
            zone: zone.into(),
            shares: customers.iter().map(share).collect(),
            number: 0,
            leaver: None,
        }
    }

    /// The report to be sent now, with what each customer asked for of late.
    pub fn report(&mut self, now: f64, demand: impl Fn(&str) -> f64) -> Report {
        let mut asked = Vec::new();
        for (customer, share) in &mut self.shares {
            let (_, holds) = share.report(now);
            asked.push(Asked { customer: customer.clone(), demand: demand(customer), holds });
        }
        // All numberings of one life rise together.
        self.number += 1;
        let state = self.leaver.as_mut().map_or(State::Serves, |leaver| leaver.report(now).1);
        let (server, incarnation) = (self.server.clone(), self.incarnation);
        Report { server, incarnation, zone: self.zone.clone(), number: self.number, state, asked }
    }

    /// Takes what an owner answered; what is for another life, old or not known changes nothing. Whether anything was taken.
    pub fn take(&mut self, now: f64, reply: &Reply) -> bool {
        if reply.server != self.server || reply.incarnation != self.incarnation {
            return false;
        }
        let mut taken = false;
        for (customer, part) in &reply.parts {
            taken |= self.shares.get_mut(customer).is_some_and(|share| share.take(now, part));
        }
        if let (Some(turn), Some(leaver)) = (&reply.turn, &mut self.leaver) {
            leaver.take(now, turn);
            taken = true;
        }
        taken
    }

    /// What may be settled for a customer now, txns a second; nothing is said of one without a quota.
    pub fn rate(&self, now: f64, customer: &str) -> Option<f64> {
        Some(self.shares.get(customer)?.rate(now))
    }

    /// Until when the part of a customer's quota that it goes by holds, if it goes by one.
    pub fn until(&self, now: f64, customer: &str) -> Option<f64> {
        self.shares.get(customer)?.until(now)
    }

    /// Told to leave: it asks for its turn, for so long at the most, and never into the time that its drain needs before the kill.
    pub fn leave(&mut self, now: f64, patience: f64, kill: f64, drain: f64) {
        if self.leaver.is_none() {
            self.leaver = Some(Leaver::new(now, patience, kill, drain, self.number));
        }
    }

    /// Whether it may go, once it was told to leave.
    pub fn go(&mut self, now: f64) -> Option<Go> {
        self.leaver.as_mut().map(|leaver| leaver.look(now))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn told() -> Told {
        Told {
            customers: BTreeMap::from([("a".to_string(), 100.0), ("b".to_string(), 10.0)]),
            servers: 4,
            parts: 1,
            span: 2.0,
            drift: 0.02,
            turns: turns::Rules { most: 1, zone_share: 1.0, span: 10.0, ..turns::Rules::default() },
        }
    }

    fn seats() -> Vec<Seat> {
        (0..4).map(|at| Seat::new(&format!("n{at}"), 7, "z", &told().customers, 4)).collect()
    }

    /// Both duties from 0 on, reports and answers four times a second without delay; `each` looks in between.
    fn play(desk: &mut Desk, seats: &mut [Seat], from: f64, to: f64, mut each: impl FnMut(f64, &mut [Seat])) {
        let mut now = from;
        while now < to {
            for (at, seat) in seats.iter_mut().enumerate() {
                let report = seat.report(now, |customer| if customer == "a" && at == 0 { 70.0 } else { 2.0 });
                desk.hear(now, &report).unwrap();
            }
            let replies = [Duty::new(QUOTA, 0), Duty::new(TURNS, 0)]
                .iter()
                .flat_map(|duty| desk.plan(now, duty))
                .collect::<Vec<_>>();
            for reply in replies {
                for seat in seats.iter_mut() {
                    seat.take(now, &reply);
                }
            }
            each(now, seats);
            now += 0.25;
        }
    }

    #[test]
    fn parts_follow_the_demand_and_never_sum_to_more_than_the_quota_also_under_a_new_owner() {
        let (mut desk, mut seats) = (Desk::new(told()), seats());
        desk.begin(0.0, &Duty::new(QUOTA, 0), 5);
        let sum = |now: f64, seats: &[Seat], name: &str| {
            seats.iter().filter_map(|seat| seat.rate(now, name)).sum::<f64>()
        };
        let bounded = |now: f64, seats: &mut [Seat]| {
            for (name, quota) in told().customers {
                let sum = sum(now, seats, &name);
                assert!(sum <= quota * 1.0001, "{now}: {name} {sum}");
            }
        };
        play(&mut desk, &mut seats, 0.0, 10.0, bounded);
        assert!(seats[0].rate(10.0, "a").unwrap() > 80.0 && seats[1].rate(10.0, "a").unwrap() < 10.0);
        assert!(desk.in_force(10.0, "a").unwrap() <= 100.001);
        assert_eq!(seats[0].rate(10.0, "x"), None);
        // Another owner, under a later epoch: equal shares or less until it knows, then by demand again.
        desk.end(&Duty::new(QUOTA, 0), 4);
        assert!(desk.in_force(10.0, "a").is_some(), "that was another grant");
        desk.end(&Duty::new(QUOTA, 0), 5);
        let mut next = Desk::new(told());
        next.begin(10.0, &Duty::new(QUOTA, 0), 6);
        play(&mut next, &mut seats, 10.0, 25.0, bounded);
        assert!(seats[0].rate(25.0, "a").unwrap() > 80.0);
    }

    #[test]
    fn one_leaves_after_the_other_and_whoever_is_not_answered_goes_alone() {
        let (mut desk, mut seats) = (Desk::new(told()), seats());
        desk.begin(-20.0, &Duty::new(TURNS, 0), 5);
        play(&mut desk, &mut seats, 0.0, 1.0, |_, _| {});
        seats.iter_mut().take(2).for_each(|seat| seat.leave(1.0, 60.0, 100.0, 2.0));
        let mut gone = Vec::new();
        play(&mut desk, &mut seats, 1.0, 4.0, |now, seats| {
            for (at, seat) in seats.iter_mut().enumerate() {
                if matches!(seat.go(now), Some(Go::Turn(5))) && !gone.contains(&at) {
                    gone.push(at);
                }
            }
        });
        assert_eq!(gone, [0], "one at a time");
        // Nobody answers any more.
        assert_eq!(seats[1].go(60.0), Some(Go::Wait));
        assert_eq!(seats[1].go(61.0), Some(Go::Alone));
        assert_eq!(seats[2].go(61.0), None);
    }

    #[test]
    fn reports_of_an_old_life_and_such_that_cannot_be_are_passed_over_and_replies_to_another_life_too() {
        let mut desk = Desk::new(told());
        desk.begin(0.0, &Duty::new(QUOTA, 0), 5);
        let report = |server: &str, incarnation| Report {
            server: server.into(),
            incarnation,
            number: 1,
            ..Report::default()
        };
        assert!(desk.hear(1.0, &report("n0", 7)).is_ok() && desk.hear(1.0, &report("n0", 6)).is_err());
        assert!(desk.hear(1.0, &report("", 7)).is_err());
        assert!(desk.hear(1.0, &report(&"x".repeat(NAME + 1), 7)).is_err());
        let many = Report { asked: vec![Asked::default(); CUSTOMERS + 1], ..report("n1", 1) };
        assert!(desk.hear(1.0, &many).is_err());
        let wild = Asked { customer: "a".into(), demand: f64::INFINITY, holds: Some((5, u64::MAX)) };
        assert!(desk.hear(1.0, &Report { asked: vec![wild], ..report("n2", 1) }).is_ok());
        assert!(desk.in_force(9.0, "a").unwrap() <= 100.001);
        let mut seat = seats().remove(0);
        seat.report(1.0, |_| 1.0);
        let part = Part { epoch: 5, number: 1, report: 1, rate: 50.0, span: 2.0 };
        let reply = |incarnation| Reply {
            server: "n0".into(),
            incarnation,
            parts: vec![("a".into(), part.clone())],
            turn: None,
        };
        assert!(!seat.take(1.1, &reply(6)) && seat.take(1.1, &reply(7)));
        assert_eq!(seat.rate(1.2, "a"), Some(50.0));
    }
}
