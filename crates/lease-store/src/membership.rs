//! Who the replicas are, and which change of that is allowed now. A replica is a number and a disk that remembers its votes: a number whose
//! disk is lost is never used again, and no change may leave the rest without a healthy majority.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use thiserror::Error;

/// Most replicas of one cluster, learners included: more make each commit slower and nothing safer.
pub const MAX_REPLICAS: usize = 9;
/// Entries that a learner may be behind the leader to be promoted: few enough to catch up within a few messages.
const MAX_PROMOTION_LAG: u64 = 64;
/// Longest address, in bytes: room for any IPv6 address with a scope and a port.
const MAX_ADDRESS_BYTES: usize = 128;

/// What is replicated about the members beside raft's own list. Part of the stored snapshot: fields keep their order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Addresses of the replicas that were added after the bootstrap, by number.
    pub joined: BTreeMap<u64, String>,
    /// Numbers that must never vote again.
    pub retired: BTreeSet<u64>,
}

/// A change of the members. Part of stored log entries: variants keep their order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipChange {
    /// Adds a replica as a learner; it is promoted once it has nearly the whole log.
    Add {
        /// A number that was never used.
        number: u64,
        /// Where it listens.
        address: String,
    },
    /// Gives a learner its vote.
    Promote(u64),
    /// Removes a replica for good.
    Remove(u64),
}

/// A replica as the leader sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberProgress {
    /// The replica's number.
    pub number: u64,
    /// Whether it votes; a learner does not.
    pub is_voter: bool,
    /// Whether the leader heard from it lately; the leader itself always counts as heard.
    pub is_active: bool,
    /// The highest index up to which it is known to have the leader's log.
    pub matched_index: u64,
}

/// Why a change of the members is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MembershipError {
    /// The number belongs to a replica that was removed.
    #[error("number {0} has been used before: a replica that lost its disk joins under a new one")]
    Retired(u64),
    /// The replica to add is a member.
    #[error("replica {0} is one of them already")]
    AlreadyMember(u64),
    /// The replica to promote or remove is not a member, or not a learner where one is needed.
    #[error("replica {0} is none of them")]
    NotMember(u64),
    /// There are [`MAX_REPLICAS`] already.
    #[error("{0} replicas are the maximum")]
    TooManyReplicas(usize),
    /// The number is 0, or the address is not one.
    #[error("a replica's number is not 0, and its address is such as \"127.0.0.1:18201\"")]
    InvalidAddress,
    /// The replica to remove is the leader.
    #[error("replica {0} is the leader: ask again once another is")]
    IsLeader(u64),
    /// Removing the replica would leave less than a majority of healthy voters.
    #[error(
        "without replica {number} only {healthy} of {voters} voters are healthy: no majority; add one first"
    )]
    NoMajority {
        /// The replica to remove.
        number: u64,
        /// Healthy voters without it.
        healthy: usize,
        /// Voters without it.
        voters: usize,
    },
    /// An earlier change is not applied yet.
    #[error("another change of the members is in progress")]
    InProgress,
}

impl Members {
    /// Checks whether a change is allowed now, by the leader's view of all members.
    ///
    /// # Errors
    /// Why it is not.
    pub fn check(
        &self,
        change: &MembershipChange,
        progress: &[MemberProgress],
        leader: u64,
    ) -> Result<(), MembershipError> {
        match change {
            MembershipChange::Add { number, address } => self.check_add(*number, address, progress),
            MembershipChange::Promote(number) => check_promote(*number, progress),
            MembershipChange::Remove(number) => check_remove(*number, progress, leader),
        }
    }

    fn check_add(
        &self,
        number: u64,
        address: &str,
        progress: &[MemberProgress],
    ) -> Result<(), MembershipError> {
        let valid_address = address.len() <= MAX_ADDRESS_BYTES && address.parse::<SocketAddr>().is_ok();
        if number == 0 || !valid_address {
            return Err(MembershipError::InvalidAddress);
        }
        if self.retired.contains(&number) {
            return Err(MembershipError::Retired(number));
        }
        if progress.iter().any(|member| member.number == number) {
            return Err(MembershipError::AlreadyMember(number));
        }
        if progress.len() >= MAX_REPLICAS {
            return Err(MembershipError::TooManyReplicas(MAX_REPLICAS));
        }
        Ok(())
    }

    /// The change that the leader makes by itself: a learner that has nearly the whole log is promoted. `last_index` is the leader's.
    pub fn next_promotion(&self, progress: &[MemberProgress], last_index: u64) -> Option<MembershipChange> {
        let is_ready = |member: &&MemberProgress| {
            let caught_up =
                member.matched_index > 0 && member.matched_index + MAX_PROMOTION_LAG >= last_index;
            !member.is_voter && member.is_active && caught_up
        };
        progress.iter().find(is_ready).map(|member| MembershipChange::Promote(member.number))
    }

    /// Applies a committed change.
    pub fn apply(&mut self, change: &MembershipChange) {
        match change {
            MembershipChange::Add { number, address } => {
                self.joined.insert(*number, address.clone());
            }
            MembershipChange::Promote(_) => {}
            MembershipChange::Remove(number) => {
                self.joined.remove(number);
                self.retired.insert(*number);
            }
        }
    }
}

fn check_promote(number: u64, progress: &[MemberProgress]) -> Result<(), MembershipError> {
    let is_learner = progress.iter().any(|member| member.number == number && !member.is_voter);
    is_learner.then_some(()).ok_or(MembershipError::NotMember(number))
}

fn check_remove(number: u64, progress: &[MemberProgress], leader: u64) -> Result<(), MembershipError> {
    let Some(member) = progress.iter().find(|member| member.number == number) else {
        return Err(MembershipError::NotMember(number));
    };
    if number == leader {
        return Err(MembershipError::IsLeader(number));
    }
    let rest = progress.iter().filter(|member| member.is_voter && member.number != number);
    let voters = rest.clone().count();
    let healthy = rest.filter(|member| member.is_active).count();
    if member.is_voter && 2 * healthy <= voters {
        return Err(MembershipError::NoMajority { number, healthy, voters });
    }
    Ok(())
}

#[cfg(test)]
mod tests;
