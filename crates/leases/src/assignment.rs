//! Assignment of parts to instances by rendezvous hashing with bounded loads. Each part ranks all instances by a hash
//! of both names and goes to the first with capacity. An instance that joins or leaves does not change the ranking of
//! the others, so that few parts move.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

#[cfg(test)]
mod tests;

/// Highest load of an instance, as a multiple of the mean.
pub const MAX_LOAD_FACTOR: f64 = 1.25;
/// Fraction of the mean load below which parts are moved to an instance.
pub const MIN_LOAD_FACTOR: f64 = 0.75;

/// An instance that may be assigned parts of a task.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The instance's name.
    pub instance: String,
    /// The instance's zone.
    pub zone: String,
    /// Parts of this task that it holds.
    pub task_parts: usize,
    /// Parts of all tasks that it holds.
    pub total_parts: usize,
}

/// A part and the instance that it is assigned to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// The part's number.
    pub part: u32,
    /// The instance's name.
    pub instance: String,
}

/// A part that is to be moved from one instance to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartMove {
    /// The part's number.
    pub part: u32,
    /// The instance that holds it.
    pub from: String,
    /// The instance that is to hold it.
    pub to: String,
}

/// Returns the score of an instance in a part's ranking; the highest score ranks first.
pub fn rank(task: &str, part: u32, instance: &str) -> u64 {
    let mut key = Vec::with_capacity(task.len() + instance.len() + 6);
    key.extend_from_slice(task.as_bytes());
    key.push(0);
    key.extend_from_slice(&part.to_le_bytes());
    key.extend_from_slice(instance.as_bytes());
    xxh3_64(&key)
}

/// Returns the part of a task with `parts` parts that a key belongs to, the same on every process.
pub fn part_for_key(task: &str, key: &str, parts: u32) -> u32 {
    (rank(task, 0, key) % u64::from(parts.max(1))) as u32
}

/// Returns how many of `parts` parts one of `instances` instances may hold at most.
pub fn max_parts(parts: usize, instances: usize) -> usize {
    let mean = parts as f64 / instances.max(1) as f64;
    (MAX_LOAD_FACTOR * mean).floor().max(mean.ceil()) as usize
}

/// Returns the number of parts below which more are moved to an instance, given `parts` parts and `instances`
/// instances. It is at least 1 if there are enough parts for all instances.
pub fn min_parts(parts: usize, instances: usize) -> usize {
    let mean = parts as f64 / instances.max(1) as f64;
    ((MIN_LOAD_FACTOR * mean).floor() as usize).max(usize::from(mean >= 1.0))
}

/// Assigns the `vacant` parts of a task of `part_count` parts and adds them to the loads of the candidates. `excluded`
/// returns whether a part must not go to an instance. Instances in the preferred `zone` come first while they have
/// capacity. A part that no candidate may hold stays vacant.
pub fn assign_vacant(
    task: &str,
    zone: Option<&str>,
    vacant: &[u32],
    part_count: usize,
    candidates: &mut [Candidate],
    excluded: impl Fn(u32, &str) -> bool,
) -> Vec<Assignment> {
    let mut assignments = Vec::new();
    for &part in vacant {
        let allowed = |candidate: &Candidate| !excluded(part, &candidate.instance);
        let Some(index) = choose(task, zone, part, part_count, candidates, allowed) else { continue };
        let candidate = &mut candidates[index];
        candidate.task_parts += 1;
        candidate.total_parts += 1;
        assignments.push(Assignment { part, instance: candidate.instance.clone() });
    }
    assignments
}

/// Returns the index of the candidate for one part: the highest ranked with capacity in the zone, else the highest
/// ranked with capacity, else the least loaded.
fn choose(
    task: &str,
    zone: Option<&str>,
    part: u32,
    part_count: usize,
    candidates: &[Candidate],
    allowed: impl Fn(&Candidate) -> bool,
) -> Option<usize> {
    let capacity = max_parts(part_count, candidates.len());
    let has_capacity = |candidate: &Candidate| candidate.task_parts < capacity && allowed(candidate);
    let in_zone = |candidate: &Candidate| zone.is_none_or(|zone| candidate.zone == zone);
    best(task, part, part_count, candidates, |candidate| has_capacity(candidate) && in_zone(candidate))
        .or_else(|| best(task, part, part_count, candidates, has_capacity))
        .or_else(|| {
            let eligible_candidates =
                candidates.iter().enumerate().filter(|(_, candidate)| allowed(candidate));
            eligible_candidates.min_by_key(|(_, candidate)| candidate.task_parts).map(|(index, _)| index)
        })
}

/// Returns the index of the highest ranked of the `eligible` candidates.
fn best(
    task: &str,
    part: u32,
    part_count: usize,
    candidates: &[Candidate],
    eligible: impl Fn(&Candidate) -> bool,
) -> Option<usize> {
    let eligible_candidates = candidates.iter().enumerate().filter(|(_, candidate)| eligible(candidate));
    let rank_of = |candidate: &Candidate| rank(task, part, &candidate.instance);
    let best = if part_count == 1 {
        // The mean load of a task with one part bounds nothing: prefer instances with the fewest parts of all tasks.
        eligible_candidates.max_by_key(|(_, candidate)| (Reverse(candidate.total_parts), rank_of(candidate)))
    } else {
        eligible_candidates.max_by_key(|(_, candidate)| rank_of(candidate))
    };
    best.map(|(index, _)| index)
}

/// Returns at most `limit` moves that bring the loads of a task of `part_count` parts within bounds. `holders` contains
/// the holder of each part; parts are only moved between candidates.
pub fn rebalance(
    task: &str,
    holders: &BTreeMap<u32, String>,
    part_count: usize,
    candidates: &[Candidate],
    limit: usize,
    excluded: impl Fn(u32, &str) -> bool,
) -> Vec<PartMove> {
    let min_load = min_parts(part_count, candidates.len());
    let max_load = max_parts(part_count, candidates.len());
    let mut loads: BTreeMap<&str, usize> =
        candidates.iter().map(|candidate| (candidate.instance.as_str(), candidate.task_parts)).collect();
    let mut parts: BTreeMap<&str, Vec<u32>> = BTreeMap::new();
    for (part, holder) in holders {
        parts.entry(holder.as_str()).or_default().push(*part);
    }
    let mut moves = Vec::new();
    while moves.len() < limit {
        let least_loaded = loads.iter().min_by_key(|(_, load)| **load).map(|(name, load)| (*name, *load));
        let most_loaded = loads.iter().max_by_key(|(_, load)| **load).map(|(name, load)| (*name, *load));
        let (Some((to, to_load)), Some((from, from_load))) = (least_loaded, most_loaded) else { break };
        let within_bounds = to_load >= min_load && from_load <= max_load;
        if within_bounds || from_load < to_load + 2 {
            break;
        }
        // Move the part that ranks its new holder highest, so that it stays there.
        let Some(movable) = parts.get_mut(from) else { break };
        let allowed = movable.iter().enumerate().filter(|(_, part)| !excluded(**part, to));
        let Some((index, _)) = allowed.max_by_key(|(_, part)| rank(task, **part, to)) else { break };
        let part = movable.swap_remove(index);
        loads.insert(from, from_load - 1);
        loads.insert(to, to_load + 1);
        moves.push(PartMove { part, from: from.to_string(), to: to.to_string() });
    }
    moves
}
