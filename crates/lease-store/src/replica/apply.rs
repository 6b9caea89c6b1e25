//! Applying committed entries: the same at all replicas, in the order of the log.

use super::leadership::Leadership;
use super::{CommandFailure, CommandOutcome, Replica, ReplicaError};
use crate::membership::MembershipChange;
use protobuf::Message as _;
use puffinladder_leases::table::{Command, LogEntry, Outcome};
use puffinladder_leases::table_clock::TableClock;
use raft::eraftpb::{ConfChange, ConfChangeV2, Entry, EntryType};
use raft::StateRole;

impl Replica {
    pub(super) fn apply(&mut self, now: f64, entry: &Entry) -> Result<(), ReplicaError> {
        self.applied = entry.index;
        match entry.get_entry_type() {
            EntryType::EntryNormal if entry.data.is_empty() => self.start_leadership(now, entry),
            EntryType::EntryNormal => self.apply_command(entry),
            EntryType::EntryConfChange => return self.apply_conf_change(entry),
            EntryType::EntryConfChangeV2 => return self.apply_conf_change_v2(entry),
        }
        Ok(())
    }

    /// A leader's term starts with an empty entry: once it is applied, all that was committed before is too.
    fn start_leadership(&mut self, now: f64, entry: &Entry) {
        if entry.term != self.term() || self.node.raft.state != StateRole::Leader {
            return;
        }
        self.leadership = Some(Leadership {
            term: entry.term,
            clock: TableClock::start(self.table.now(), now),
            next_time_entry: now,
            inflight_proposals: 0,
        });
        self.propose_configured_settings(now);
    }

    /// Proposes the leader's own settings where the table goes by others.
    fn propose_configured_settings(&mut self, now: f64) {
        let rules = &self.config.rules;
        let tasks = &self.config.tasks;
        let mut sorted = tasks.clone();
        sorted.sort_by(|a, b| a.name.cmp(&b.name));
        if *self.table.rules() != *rules || self.table.declarations() != sorted {
            let command = Command::Declare { rules: rules.clone(), tasks: tasks.clone() };
            self.propose(now, command, Vec::new());
        }
    }

    fn apply_command(&mut self, entry: &Entry) {
        let own_leadership = self.leadership.as_mut().filter(|leadership| leadership.term == entry.term);
        let is_own = own_leadership.is_some();
        if let Some(leadership) = own_leadership {
            leadership.inflight_proposals = leadership.inflight_proposals.saturating_sub(1);
        }
        // An entry that can't be decoded changes nothing, at all replicas alike.
        let Ok(decoded) = postcard::from_bytes::<LogEntry>(&entry.data) else { return };
        let mut outcome = self.table.apply(&decoded);
        self.output.lease_changes.append(&mut outcome.changes);
        if is_own {
            self.emit_outcome(entry, outcome);
        }
    }

    /// Hands out the responses that an entry of this leader's led to, and the outcome where it was an operator's command.
    fn emit_outcome(&mut self, entry: &Entry, outcome: Outcome) {
        self.output.responses.extend(outcome.responses);
        let Ok(token) = entry.context[..].try_into() else { return };
        let result = outcome.error.map_or(Ok(()), |error| Err(error.into()));
        self.finish_command(u64::from_le_bytes(token), result);
    }

    fn finish_command(&mut self, token: u64, result: Result<(), CommandFailure>) {
        self.pending_commands.retain(|command| command.token != token);
        self.output.outcomes.push(CommandOutcome { token, result });
    }

    fn apply_conf_change(&mut self, entry: &Entry) -> Result<(), ReplicaError> {
        let conf_change = ConfChange::parse_from_bytes(&entry.data).unwrap_or_default();
        let conf_state = self.node.apply_conf_change(&conf_change)?;
        self.node.mut_store().set_conf_state(conf_state);
        self.snapshot_due = true;
        if let Ok((token, change)) = postcard::from_bytes::<(u64, MembershipChange)>(&conf_change.context) {
            self.members.apply(&change);
            self.output.membership_changes.push(change);
            if self.pending_commands.iter().any(|command| command.token == token) {
                self.finish_command(token, Ok(()));
            }
        }
        Ok(())
    }

    fn apply_conf_change_v2(&mut self, entry: &Entry) -> Result<(), ReplicaError> {
        let conf_change = ConfChangeV2::parse_from_bytes(&entry.data).unwrap_or_default();
        let conf_state = self.node.apply_conf_change(&conf_change)?;
        self.node.mut_store().set_conf_state(conf_state);
        self.snapshot_due = true;
        Ok(())
    }
}
