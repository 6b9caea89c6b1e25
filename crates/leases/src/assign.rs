//! Who is to have a part: rendezvous hashing with bounded loads. Each part ranks all instances by a hash of both names and takes the
//! first that has room; an instance that comes or goes changes the rank of no other, so that few parts move.

use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// How far over the mean an instance may be loaded, and under it before parts are moved to it.
pub const MOST: f64 = 1.25;
pub const LEAST: f64 = 0.75;

/// An instance that may have parts of one duty.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    pub instance: String,
    pub zone: String,
    /// Parts of this duty, and of all duties, that it has.
    pub has: usize,
    pub has_all: usize,
}

/// Place of an instance in a part's ranking; the highest comes first.
pub fn rank(duty: &str, part: u32, instance: &str) -> u64 {
    let mut text = Vec::with_capacity(duty.len() + instance.len() + 6);
    text.extend_from_slice(duty.as_bytes());
    text.push(0);
    text.extend_from_slice(&part.to_le_bytes());
    text.extend_from_slice(instance.as_bytes());
    xxh3_64(&text)
}

/// Which part of so many of a duty something named belongs to: the same for whoever asks.
pub fn part_of(duty: &str, name: &str, parts: u32) -> u32 {
    (rank(duty, 0, name) % u64::from(parts.max(1))) as u32
}

/// The most parts that one of `among` may have of so many.
pub fn most(parts: usize, among: usize) -> usize {
    let mean = parts as f64 / among.max(1) as f64;
    (MOST * mean).floor().max(mean.ceil()) as usize
}

/// The fewest before parts are moved to it: nobody stands idle while another has two.
pub fn least(parts: usize, among: usize) -> usize {
    let mean = parts as f64 / among.max(1) as f64;
    ((LEAST * mean).floor() as usize).max(usize::from(mean >= 1.0))
}

/// Gives vacant parts to candidates and counts them there. `barred` tells whom a part must not go to; a zone
/// that is asked for is kept to as long as anyone in it has room. A part that nobody may have is left out.
pub fn give<'a>(
    duty: &str,
    zone: Option<&str>,
    vacant: &[u32],
    all: usize,
    candidates: &'a mut [Candidate],
    barred: impl Fn(u32, &str) -> bool,
) -> Vec<(u32, &'a str)> {
    let cap = most(all, candidates.len());
    let mut given = Vec::new();
    for &part in vacant {
        let free = |c: &Candidate| c.has < cap && !barred(part, &c.instance);
        let here = |c: &Candidate| zone.is_none_or(|zone| c.zone == zone);
        let best = |narrow: &dyn Fn(&Candidate) -> bool| {
            let open = candidates.iter().enumerate().filter(|(_, c)| free(c) && narrow(c));
            if all == 1 {
                // Duties that can't be parted have no mean to be bounded by: those who have least of all come first.
                return open
                    .max_by_key(|(_, c)| (std::cmp::Reverse(c.has_all), rank(duty, part, &c.instance)))
                    .map(|(at, _)| at);
            }
            open.max_by_key(|(_, c)| rank(duty, part, &c.instance)).map(|(at, _)| at)
        };
        // Where all with room are barred, one without room is better than nobody.
        let any = || {
            let open = candidates.iter().enumerate().filter(|(_, c)| !barred(part, &c.instance));
            open.min_by_key(|(_, c)| c.has).map(|(at, _)| at)
        };
        if let Some(at) = best(&here).or_else(|| best(&|_| true)).or_else(any) {
            candidates[at].has += 1;
            candidates[at].has_all += 1;
            given.push((part, at));
        }
    }
    let candidates: &'a [Candidate] = candidates;
    given.into_iter().map(|(part, at)| (part, candidates[at].instance.as_str())).collect()
}

/// Which parts to move so that nobody has too few or too many: each as (part, from, to), at most `limit` of them. `held` names who has
/// which part; only candidates take part.
pub fn level(
    duty: &str,
    held: &BTreeMap<u32, String>,
    all: usize,
    candidates: &[Candidate],
    limit: usize,
    barred: impl Fn(u32, &str) -> bool,
) -> Vec<(u32, String, String)> {
    let (low, high) = (least(all, candidates.len()), most(all, candidates.len()));
    let mut has: BTreeMap<&str, usize> = candidates.iter().map(|c| (c.instance.as_str(), c.has)).collect();
    let mut parts: BTreeMap<&str, Vec<u32>> = BTreeMap::new();
    for (part, owner) in held {
        parts.entry(owner.as_str()).or_default().push(*part);
    }
    let mut moves = Vec::new();
    while moves.len() < limit {
        let fewest = has.iter().min_by_key(|(_, n)| **n).map(|(who, n)| (*who, *n));
        let fullest = has.iter().max_by_key(|(_, n)| **n).map(|(who, n)| (*who, *n));
        let (Some((to, few)), Some((from, many))) = (fewest, fullest) else { break };
        if (few >= low && many <= high) || many < few + 2 {
            break;
        }
        // Of what the fullest has, that which ranks the other highest: it would stay there.
        let Some(from_parts) = parts.get_mut(from) else { break };
        let fits = from_parts.iter().enumerate().filter(|(_, part)| !barred(**part, to));
        let Some((place, _)) = fits.max_by_key(|(_, part)| rank(duty, **part, to)) else { break };
        let part = from_parts.swap_remove(place);
        has.insert(from, many - 1);
        has.insert(to, few + 1);
        moves.push((part, from.to_string(), to.to_string()));
    }
    moves
}

#[cfg(test)]
mod tests {
    use super::*;

    fn fleet(count: usize) -> Vec<Candidate> {
        let one = |at: usize| Candidate {
            instance: format!("n{at}"),
            zone: ["east", "west"][at % 2].into(),
            has: 0,
            has_all: 0,
        };
        (0..count).map(one).collect()
    }

    fn loads(owners: &BTreeMap<u32, String>, count: usize) -> Vec<usize> {
        (0..count).map(|at| owners.values().filter(|who| **who == format!("n{at}")).count()).collect()
    }

    fn all_given(count: usize, parts: u32) -> BTreeMap<u32, String> {
        let mut fleet = fleet(count);
        let vacant: Vec<u32> = (0..parts).collect();
        let given = give("gather", None, &vacant, parts as usize, &mut fleet, |_, _| false);
        given.into_iter().map(|(part, who)| (part, who.to_string())).collect()
    }

    #[test]
    fn ten_thousand_parts_lie_on_three_hundred_with_none_over_a_quarter_more_and_none_idle() {
        let owners = all_given(300, 10_000);
        let loads = loads(&owners, 300);
        assert_eq!(owners.len(), 10_000);
        assert!(loads.iter().all(|n| (1..=41).contains(n)), "{loads:?}");
    }

    #[test]
    fn who_goes_moves_its_own_parts_and_who_comes_takes_no_more_than_its_share() {
        let owners = all_given(30, 1000);
        let lost: Vec<u32> = owners.iter().filter(|(_, who)| *who == "n7").map(|(part, _)| *part).collect();
        let mut left: Vec<Candidate> = fleet(30).into_iter().filter(|c| c.instance != "n7").collect();
        for c in &mut left {
            c.has = owners.values().filter(|who| **who == c.instance).count();
        }
        let given = give("gather", None, &lost, 1000, &mut left, |_, _| false);
        assert_eq!(given.len(), lost.len());
        // It comes back to an even fleet: parts move to it until it has three quarters of the mean, no further.
        let mut held = owners.clone();
        held.extend(given.into_iter().map(|(part, who)| (part, who.to_string())));
        let mut back = fleet(30);
        for c in &mut back {
            c.has = held.values().filter(|who| **who == c.instance).count();
        }
        let moves = level("gather", &held, 1000, &back, 1000, |_, _| false);
        let back: Vec<_> = moves.iter().filter(|(_, _, to)| to == "n7").collect();
        assert!(back.len() == 25 && moves.len() < 40, "{} of {}", back.len(), moves.len());
        let home = back.iter().filter(|(part, ..)| lost.contains(part)).count();
        // Picked blindly, one of them would be.
        assert!(home > 5, "{home} of 25 come back to where they rank first");
    }

    #[test]
    fn a_zone_is_kept_to_while_there_is_room_and_then_left() {
        let mut four = fleet(4);
        let given = give("gather", Some("east"), &[0, 1, 2, 3], 4, &mut four, |_, _| false);
        let east = given.iter().filter(|(_, who)| ["n0", "n2"].contains(who)).count();
        assert_eq!((given.len(), east), (4, 2), "one each at the most: two go west");
    }

    #[test]
    fn whoever_is_barred_gets_none_and_a_part_for_nobody_is_left() {
        let mut two = fleet(2);
        let given = give("turns", None, &[0], 1, &mut two, |_, who| who == "n0");
        assert_eq!(given, [(0, "n1")]);
        // One is barred from all four, and the other has its share of them at the most: better too many than nobody.
        let mut two = fleet(2);
        let given = give("gather", None, &[0, 1, 2, 3], 4, &mut two, |_, who| who == "n0");
        assert!(given.len() == 4 && given.iter().all(|(_, who)| *who == "n1"), "{given:?}");
        assert!(give("turns", None, &[0], 1, &mut fleet(2), |_, _| true).is_empty());
        assert!(give("turns", None, &[0], 1, &mut [], |_, _| false).is_empty());
    }

    #[test]
    fn duties_of_one_part_go_to_those_who_have_least() {
        let mut three = fleet(3);
        for (at, duty) in ["a", "b", "c"].into_iter().enumerate() {
            for c in &mut three {
                c.has = 0;
            }
            assert_eq!(give(duty, None, &[0], 1, &mut three, |_, _| false).len(), 1, "{at}");
        }
        assert!(three.iter().all(|c| c.has_all == 1), "{three:?}");
    }

    #[test]
    fn an_even_fleet_is_left_alone() {
        let owners = all_given(30, 1000);
        let mut even = fleet(30);
        for c in &mut even {
            c.has = owners.values().filter(|who| **who == c.instance).count();
        }
        let first = level("gather", &owners, 1000, &even, 1000, |_, _| false);
        let mut moved = owners.clone();
        moved.extend(first.iter().map(|(part, _, to)| (*part, to.clone())));
        for c in &mut even {
            c.has = moved.values().filter(|who| **who == c.instance).count();
        }
        assert!(level("gather", &moved, 1000, &even, 1000, |_, _| false).is_empty());
        assert!(first.len() < 100, "{} moves to level what was given by rank", first.len());
    }
}
