//! Application of committed entries, in log order and with the same result at all replicas.

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

    /// Starts the leadership once the empty first entry of the term is applied, and with it all earlier entries.
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

    /// Proposes the leader's configured rules and tasks if those of the table differ.
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
        // All replicas skip an entry that can't be decoded.
        let Ok(decoded) = postcard::from_bytes::<LogEntry>(&entry.data) else { return };
        let mut outcome = self.table.apply(&decoded);
        self.output.lease_changes.append(&mut outcome.changes);
        if is_own {
            self.emit_outcome(entry, outcome);
        }
    }

    /// Adds the responses to an entry of this leader to the output, and the result if it was an operator command.
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
