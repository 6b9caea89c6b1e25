//! Who the keepers are, and which change of that may be made now. A keeper is a number and a disk that remembers its votes: a number whose disk
//! is gone is never used again, and no change may leave the rest without a majority that is well.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// Keepers at the most, those that only learn among them: more make grants slower and nothing safer.
pub const MOST: usize = 9;
/// Entries that a learner may be behind to be given a vote.
const NEAR: u64 = 64;
/// Longest address, in bytes.
const ADDRESS: usize = 128;

/// What the log knows of keepers beside the consensus library's own list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Where those are reached that came after the founding.
    pub joined: BTreeMap<u64, String>,
    /// Numbers that must never vote again.
    pub retired: BTreeSet<u64>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// It learns first, and votes once it knows nearly all.
    Add {
        number: u64,
        address: String,
    },
    Promote(u64),
    Remove(u64),
}

/// A keeper as the one that leads sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seat {
    pub number: u64,
    pub votes: bool,
    /// It was heard of late; whoever leads hears itself.
    pub active: bool,
    /// Up to where it is known to have the log.
    pub matched: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Unfit {
    #[error("number {0} has been used before: a keeper that lost its disk joins under a new one")]
    Retired(u64),
    #[error("keeper {0} is one of them already")]
    Known(u64),
    #[error("keeper {0} is none of them")]
    Unknown(u64),
    #[error("{0} keepers are as many as may be")]
    Full(usize),
    #[error("number 0 is no keeper, and an address such as \"127.0.0.1:18201\" is meant")]
    Name,
    #[error("keeper {0} leads: ask again once another does")]
    Leads(u64),
    #[error(
        "without keeper {number} only {well} of {voters} that vote are well: no majority; add one first"
    )]
    NoMajority { number: u64, well: usize, voters: usize },
    #[error("another change of keepers is under way")]
    UnderWay,
}

impl Members {
    /// Whether a change may be made, as whoever leads sees all of them.
    pub fn may(&self, change: &Change, seats: &[Seat], leader: u64) -> Result<(), Unfit> {
        let known = |number: u64| seats.iter().any(|seat| seat.number == number);
        match change {
            Change::Add { number, address } => {
                if *number == 0 || address.len() > ADDRESS || address.parse::<std::net::SocketAddr>().is_err()
                {
                    return Err(Unfit::Name);
                }
                if self.retired.contains(number) {
                    return Err(Unfit::Retired(*number));
                }
                if known(*number) {
                    return Err(Unfit::Known(*number));
                }
                if seats.len() >= MOST {
                    return Err(Unfit::Full(MOST));
                }
            }
            Change::Promote(number) => {
                let learns = seats.iter().any(|seat| seat.number == *number && !seat.votes);
                return learns.then_some(()).ok_or(Unfit::Unknown(*number));
            }
            Change::Remove(number) => {
                let number = *number;
                let Some(seat) = seats.iter().find(|seat| seat.number == number) else {
                    return Err(Unfit::Unknown(number));
                };
                if number == leader {
                    return Err(Unfit::Leads(number));
                }
                let rest = seats.iter().filter(|seat| seat.votes && seat.number != number);
                let (voters, well) = (rest.clone().count(), rest.filter(|seat| seat.active).count());
                if seat.votes && 2 * well <= voters {
                    return Err(Unfit::NoMajority { number, well, voters });
                }
            }
        }
        Ok(())
    }

    /// What the keepers should change by themselves: a learner that knows nearly all gets its vote.
    pub fn next(&self, seats: &[Seat], last: u64) -> Option<Change> {
        let ready =
            |seat: &&Seat| !seat.votes && seat.active && seat.matched > 0 && seat.matched + NEAR >= last;
        seats.iter().find(ready).map(|seat| Change::Promote(seat.number))
    }

    /// A change that was agreed.
    pub fn apply(&mut self, change: &Change) {
        match change {
            Change::Add { number, address } => {
                self.joined.insert(*number, address.clone());
            }
            Change::Promote(_) => {}
            Change::Remove(number) => {
                self.joined.remove(number);
                self.retired.insert(*number);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn seat(number: u64, votes: bool, active: bool) -> Seat {
        Seat { number, votes, active, matched: 100 }
    }

    fn three(third: bool) -> Vec<Seat> {
        vec![seat(1, true, true), seat(2, true, true), seat(3, true, third)]
    }

    fn add(number: u64) -> Change {
        Change::Add { number, address: "127.0.0.4:18201".into() }
    }

    #[test]
    fn a_number_is_used_once_and_a_new_one_learns_before_it_votes() {
        let mut members = Members::default();
        assert_eq!(members.may(&add(4), &three(false), 1), Ok(()));
        assert_eq!(members.may(&add(3), &three(false), 1), Err(Unfit::Known(3)));
        assert_eq!(members.may(&add(0), &three(false), 1), Err(Unfit::Name));
        members.apply(&add(4));
        let mut seats = three(false);
        seats.push(Seat { matched: 0, ..seat(4, false, true) });
        assert_eq!(members.next(&seats, 100), None, "it knows nothing yet");
        seats[3].matched = 80;
        assert_eq!(members.next(&seats, 100), Some(Change::Promote(4)));
        assert_eq!(members.next(&seats, 900), None, "it is far behind");
        assert_eq!(members.may(&Change::Promote(2), &seats, 1), Err(Unfit::Unknown(2)), "it votes already");
        members.apply(&Change::Remove(3));
        assert_eq!(members.may(&add(3), &seats[..2], 1), Err(Unfit::Retired(3)));
        assert!(members.joined.contains_key(&4));
    }

    #[test]
    fn nobody_is_removed_whom_a_majority_of_the_rest_needs() {
        let members = Members::default();
        assert_eq!(members.may(&Change::Remove(3), &three(false), 1), Ok(()), "the dead one may go");
        let well = Err(Unfit::NoMajority { number: 2, well: 1, voters: 2 });
        assert_eq!(members.may(&Change::Remove(2), &three(false), 1), well, "the well one may not");
        assert_eq!(members.may(&Change::Remove(1), &three(true), 1), Err(Unfit::Leads(1)));
        assert_eq!(members.may(&Change::Remove(9), &three(true), 1), Err(Unfit::Unknown(9)));
        let mut seats = three(false);
        seats.push(seat(4, false, false));
        assert_eq!(members.may(&Change::Remove(4), &seats, 1), Ok(()), "a learner may always go");
        let many: Vec<Seat> = (1..=MOST as u64).map(|number| seat(number, true, true)).collect();
        assert_eq!(members.may(&add(99), &many, 1), Err(Unfit::Full(MOST)));
    }
}
