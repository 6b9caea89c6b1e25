//! Which keeper an instance speaks to. It follows a hint to whoever leads, turns to another when one is silent or refuses, and pauses between
//! rounds so that three hundred instances that lost the same keeper do not all come back in one moment.

use crate::Shuffle;
use std::collections::BTreeMap;

/// Pauses in s: the first and the longest, each drawn between the first and three times the one before.
const FIRST: f64 = 0.05;
const MOST: f64 = 2.0;
/// Hints that are followed in a row without an answer: keepers may point at each other while they elect.
const HINTS: usize = 2;
/// Keepers that are known at the most.
pub const KEEPERS: usize = 16;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Next {
    Dial(u64),
    /// Not before then.
    Wait(f64),
}

#[derive(Clone, Debug)]
pub struct Route<A> {
    keepers: BTreeMap<u64, A>,
    /// The one it speaks to, or would.
    to: u64,
    open: bool,
    hints: usize,
    /// Keepers that failed since the last answer.
    failed: usize,
    pause: f64,
    not_before: f64,
    chance: Shuffle,
}

impl<A: Clone> Route<A> {
    /// `seed` is the instance's own: it says where it begins and how long it pauses.
    pub fn new(keepers: BTreeMap<u64, A>, seed: u64) -> Route<A> {
        let mut chance = Shuffle::new(seed);
        let place = chance.below(keepers.len().max(1));
        let to = keepers.keys().nth(place).copied().unwrap_or(0);
        Route { keepers, to, open: false, hints: 0, failed: 0, pause: FIRST, not_before: f64::MIN, chance }
    }

    pub fn address(&self, keeper: u64) -> Option<&A> {
        self.keepers.get(&keeper)
    }
    /// The keeper that it speaks to, if a connection is open.
    pub fn open(&self) -> Option<u64> {
        self.open.then_some(self.to)
    }

    pub fn next(&self, now: f64) -> Next {
        if self.keepers.is_empty() {
            return Next::Wait(f64::MAX);
        }
        match self.not_before {
            until if now < until => Next::Wait(until),
            _ => Next::Dial(self.to),
        }
    }

    pub fn dialled(&mut self) {
        self.open = true;
    }

    /// An answer that counts: all is well there.
    pub fn answered(&mut self) {
        (self.hints, self.failed, self.pause, self.not_before) = (0, 0, FIRST, f64::MIN);
    }

    /// That keeper does not lead; another may, where it is known. Its address comes along if it joined later.
    pub fn elsewhere(&mut self, now: f64, leader: Option<(u64, Option<A>)>) {
        self.open = false;
        let known = leader.and_then(|(number, address)| {
            if let Some(address) = address.filter(|_| self.keepers.len() < KEEPERS) {
                // What this instance was told in its settings holds: it may reach a keeper another way than others do.
                self.keepers.entry(number).or_insert(address);
            }
            Some(number).filter(|number| *number != self.to && self.keepers.contains_key(number))
        });
        match known {
            Some(number) if self.hints < HINTS => (self.to, self.hints) = (number, self.hints + 1),
            _ => self.failed(now),
        }
    }

    /// It could not be reached, broke off, or was silent for too long: another, and a pause once all have failed.
    pub fn failed(&mut self, now: f64) {
        self.open = false;
        (self.hints, self.failed) = (0, self.failed + 1);
        let mut others = self.keepers.keys().copied().cycle().skip_while(|number| *number != self.to);
        self.to = others.nth(1).unwrap_or(self.to);
        if self.failed.is_multiple_of(self.keepers.len().max(1)) {
            let longest = (3.0 * self.pause).min(MOST);
            self.pause = FIRST + (longest - FIRST) * self.chance.unit();
            self.not_before = now + self.pause;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn route(seed: u64) -> Route<&'static str> {
        Route::new(BTreeMap::from([(1, "one"), (2, "two"), (5, "five")]), seed)
    }

    #[test]
    fn instances_begin_at_different_keepers_and_pause_for_different_spans() {
        let mut first = [0; 6];
        let mut pauses = Vec::new();
        for seed in 0..300 {
            let mut route = route(seed);
            let Next::Dial(to) = route.next(0.0) else { panic!() };
            first[to as usize] += 1;
            (0..9).for_each(|_| route.failed(0.0));
            let Next::Wait(until) = route.next(0.0) else { panic!() };
            pauses.push(until);
        }
        assert!(first.iter().all(|n| *n == 0 || (60..140).contains(n)), "{first:?}");
        pauses.sort_by(f64::total_cmp);
        assert!(pauses[0] < 0.2 && pauses[290] > 0.4 && pauses[299] < MOST, "{pauses:?}");
    }

    #[test]
    fn a_hint_is_followed_at_once_but_not_in_circles() {
        let mut route = route(1);
        let Next::Dial(first) = route.next(0.0) else { panic!() };
        let other = if first == 5 { 1 } else { 5 };
        route.dialled();
        route.elsewhere(0.0, Some((other, None)));
        assert_eq!(route.next(0.0), Next::Dial(other));
        for _ in 0..2 {
            let Next::Dial(to) = route.next(0.0) else { break };
            route.elsewhere(0.0, Some((if to == 5 { 1 } else { 5 }, None)));
        }
        (0..2).for_each(|_| route.elsewhere(0.0, None));
        assert!(matches!(route.next(0.0), Next::Wait(_)), "they point at each other: a pause");
        assert!(matches!(route.next(9.0), Next::Dial(_)));
        route.answered();
        assert!(matches!(route.next(0.0), Next::Dial(_)));
    }

    #[test]
    fn a_keeper_that_joined_later_is_learned_and_what_the_settings_say_holds() {
        let mut route = route(1);
        route.elsewhere(0.0, Some((7, Some("seven"))));
        assert_eq!((route.next(0.0), route.address(7)), (Next::Dial(7), Some(&"seven")));
        route.elsewhere(0.0, Some((1, Some("elsewhere"))));
        assert_eq!(route.address(1), Some(&"one"));
        for number in 100..200 {
            route.elsewhere(0.0, Some((number, Some("more"))));
        }
        assert_eq!(route.keepers.len(), KEEPERS);
        assert_eq!(Route::<u8>::new(BTreeMap::new(), 1).next(0.0), Next::Wait(f64::MAX));
    }
}
