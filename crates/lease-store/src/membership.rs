//! Replicas of a cluster and the checks on membership changes.
//!
//! A replica number stands for the disk that stores the votes cast under it, so the number of a removed replica is
//! never reused. No change may leave the cluster without a healthy majority.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use thiserror::Error;

/// Maximum number of replicas in a cluster, learners included.
pub const MAX_REPLICAS: usize = 9;
/// Maximum number of entries by which a learner may lag behind the leader when it is promoted.
const MAX_PROMOTION_LAG: u64 = 64;
/// Maximum length of an address, enough for an IPv6 address with a scope and a port.
const MAX_ADDRESS_BYTES: usize = 128;

/// Replicated state of the members beyond raft's own list. Part of the stored snapshot: never reorder fields.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Addresses of the replicas added after the bootstrap, by number.
    pub joined: BTreeMap<u64, String>,
    /// Numbers of removed replicas, which must never vote again.
    pub retired: BTreeSet<u64>,
}

/// Membership change. Part of stored log entries: never reorder variants.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipChange {
    /// Adds a replica as a learner. It is promoted once it has nearly the whole log.
    Add {
        /// Replica number, never used before.
        number: u64,
        /// Listen address, `IP:PORT`.
        address: String,
    },
    /// Promotes a learner to a voter.
    Promote(u64),
    /// Removes a replica and retires its number.
    Remove(u64),
}

/// Replica as seen by the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberProgress {
    /// Replica number.
    pub number: u64,
    /// Whether the replica votes; learners do not.
    pub is_voter: bool,
    /// Whether the leader received a message from it recently; always true for the leader itself.
    pub is_active: bool,
    /// Highest index up to which its log is known to match the leader's.
    pub matched_index: u64,
}

/// Reason why a membership change is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MembershipError {
    /// The number belongs to a replica that was removed.
    #[error("replica number {0} is retired: a replica that lost its disk must join under a number never used before")]
    Retired(u64),
    /// The replica to add is already a member.
    #[error("replica {0} is already a member")]
    AlreadyMember(u64),
    /// The replica to remove is not a member, or the replica to promote is not a learner.
    #[error("replica {0} is not a member, or not a learner to promote")]
    NotMember(u64),
    /// The cluster already has [`MAX_REPLICAS`] replicas.
    #[error("the cluster already has the maximum of {0} replicas")]
    TooManyReplicas(usize),
    /// The number is 0 or the address is invalid.
    #[error("invalid replica: expected a number above 0 and an address such as \"127.0.0.1:18201\"")]
    InvalidAddress,
    /// The replica to remove is the leader.
    #[error("replica {0} is the leader and can't be removed: retry once another replica leads")]
    IsLeader(u64),
    /// Removing the replica would leave the cluster without a healthy majority.
    #[error(
        "without replica {number} only {healthy} of {voters} voters are healthy, expected a majority: add a replica first"
    )]
    NoMajority {
        /// Replica to remove.
        number: u64,
        /// Number of healthy voters without it.
        healthy: usize,
        /// Number of voters without it.
        voters: usize,
    },
    /// An earlier membership change is not applied yet.
    #[error("another membership change is in progress")]
    InProgress,
}

impl Members {
    /// Checks whether a change is allowed, given the leader's view of all members.
    ///
    /// # Errors
    /// Returns why the change is rejected.
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

    /// Returns the promotion of a learner that has nearly the whole log, if there is one. `last_index` is the index of
    /// the leader's last entry.
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
