//! Which instance is assigned which part: rendezvous hashing with bounded loads. Each part ranks all instances by a hash
//! of both names and takes the first that has capacity; an instance that joins or leaves changes the rank of no other, so
//! that few parts move.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

#[cfg(test)]
mod tests;

/// How far above the mean an instance may be loaded.
pub const MAX_LOAD_FACTOR: f64 = 1.25;
/// Below this fraction of the mean parts are moved to an instance.
pub const MIN_LOAD_FACTOR: f64 = 0.75;

/// An instance that may be assigned parts of one task.
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

/// The score of an instance in a part's ranking; the highest comes first.
pub fn rank(task: &str, part: u32, instance: &str) -> u64 {
    let mut key = Vec::with_capacity(task.len() + instance.len() + 6);
    key.extend_from_slice(task.as_bytes());
    key.push(0);
    key.extend_from_slice(&part.to_le_bytes());
    key.extend_from_slice(instance.as_bytes());
    xxh3_64(&key)
}

/// Which of the `parts` parts of a task something named belongs to: the same for everyone who asks.
pub fn part_for_key(task: &str, name: &str, parts: u32) -> u32 {
    (rank(task, 0, name) % u64::from(parts.max(1))) as u32
}

/// The most of `parts` parts that one of `instances` instances may hold.
pub fn max_parts(parts: usize, instances: usize) -> usize {
    let mean = parts as f64 / instances.max(1) as f64;
    (MAX_LOAD_FACTOR * mean).floor().max(mean.ceil()) as usize
}

/// The fewest of `parts` parts that an instance may hold before some are moved to it: none is idle while another has
/// two.
pub fn min_parts(parts: usize, instances: usize) -> usize {
    let mean = parts as f64 / instances.max(1) as f64;
    ((MIN_LOAD_FACTOR * mean).floor() as usize).max(usize::from(mean >= 1.0))
}

/// Assigns `vacant` parts of a task of `part_count` parts and counts them at the candidates. `excluded` says which
/// instance a part must not go to; a preferred `zone` is used as long as an instance in it has capacity. A part that no
/// instance may have is left out.
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

/// The candidate for one part: the best with capacity in the zone, else the best with capacity, else the least loaded,
/// since one that is too full is better than none.
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

/// The highest ranked of the `eligible` candidates.
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
        // A task of one part has no mean to be bounded by: those that hold least of all tasks come first.
        eligible_candidates.max_by_key(|(_, candidate)| (Reverse(candidate.total_parts), rank_of(candidate)))
    } else {
        eligible_candidates.max_by_key(|(_, candidate)| rank_of(candidate))
    };
    best.map(|(index, _)| index)
}

/// Which parts of a task of `part_count` parts to move so that no instance has too few or too many, at most `limit` of
/// them. `holders` names the holder of each part; only candidates are considered.
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
        // Of the parts of the most loaded, the one that ranks the other highest: it would stay there.
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
