//! Performing the output of the replica: writes, messages, replies, events and log lines.

use super::EventLoop;
use crate::replica::{CommandOutcome, Output, PeerMessage};
use crate::server::counters;
use crate::server::disk::DiskThread;
use puffinladder_leases::protocol::{Event, ReplicaReply};
use puffinladder_leases::table::{Change, ChangeKind, LeaseResponse};
use tokio::sync::mpsc::error::TrySendError;

impl EventLoop {
    /// Performs an output. If the disk thread has ended, the rest is skipped, as its error stops the process next.
    pub(super) fn carry_out(&mut self, output: Output, disk: &DiskThread) {
        if !output.writes.is_empty() && disk.writes.send(output.writes).is_err() {
            return;
        }
        for change in &output.membership_changes {
            tracing::info!("membership change applied: {change:?}, voters {:?}", self.replica.voters());
        }
        if !output.membership_changes.is_empty() {
            self.update_peers();
        }
        output.messages.into_iter().for_each(|message| self.send_to_peer(message));
        output.responses.into_iter().for_each(|response| self.respond(response));
        output.outcomes.into_iter().for_each(|outcome| self.reply_outcome(outcome));
        output.reads.into_iter().for_each(|token| self.reply_read(token));
        output.lease_changes.into_iter().for_each(|change| self.record_change(change));
        self.report_leadership_change();
    }

    /// Updates the senders to match the current members.
    pub(super) fn update_peers(&mut self) {
        self.peers.update(&self.replica.peers(), &self.replica.members().joined);
    }

    fn send_to_peer(&mut self, message: PeerMessage) {
        if !self.peers.contains(message.to) {
            self.update_peers();
        }
        self.counters.add(counters::PEER_BYTES, message.bytes.len() as u64);
        let queued = self.peers.send(message.to, message.bytes);
        self.counters.add(counters::DROPPED_PEER_MESSAGES, u64::from(!queued));
    }

    fn respond(&mut self, response: LeaseResponse) {
        self.counters.increment(counters::LEASE_RESPONSES);
        let holder = response.holder.clone();
        let Some(reply_to) = self.instances.get(&holder) else { return };
        if let Err(TrySendError::Closed(_)) = reply_to.try_send(ReplicaReply::Lease(response)) {
            self.instances.remove(&holder);
        }
    }

    fn reply_outcome(&mut self, outcome: CommandOutcome) {
        let Some(reply_to) = self.pending_replies.take(outcome.token) else { return };
        let reply = match outcome.result {
            Ok(()) => ReplicaReply::CommandApplied,
            Err(error) => ReplicaReply::CommandFailed(error.to_string()),
        };
        let _ = reply_to.try_send(reply);
    }

    fn reply_read(&mut self, token: u64) {
        let Some(reply_to) = self.pending_replies.take(token) else { return };
        let table = self.replica.table();
        let leases = table.lease_rows();
        let instances = table.instance_rows();
        let _ = reply_to.try_send(ReplicaReply::Tasks { leases, instances, at: table.now() });
    }

    fn record_change(&mut self, change: Change) {
        self.counters.increment(&counters::change_counter(&change));
        if self.replica.is_leader() {
            let verb = match change.kind {
                ChangeKind::Granted => "granted to",
                ChangeKind::Revoked => "revoked from",
                ChangeKind::Ended => "ended for",
            };
            let Change { task, holder, epoch, cause, .. } = &change;
            tracing::info!("lease on {task} {verb} {holder}, epoch {epoch}: {cause}");
        }
        self.options.events.emit(&Event::Change(change));
    }

    /// Reports a leadership that began or ended since the last output.
    fn report_leadership_change(&mut self) {
        let is_leader = self.replica.is_leader();
        if is_leader && !self.was_leader {
            self.report_leadership_gained();
        }
        if self.was_leader && !is_leader {
            self.redirect_clients();
        }
        self.was_leader = is_leader;
    }

    fn report_leadership_gained(&mut self) {
        let replica = self.replica.id();
        let term = self.replica.term();
        tracing::info!("replica {replica} became the leader, term {term}");
        self.options.events.emit(&Event::BecameLeader { replica, term });
        self.counters.increment(counters::LEADERSHIPS);
    }

    /// Notifies instances and waiting operators that this replica is no longer the leader, so that they look for the
    /// next one without waiting for a timeout.
    fn redirect_clients(&mut self) {
        let id = self.replica.id();
        tracing::info!("replica {id} is no longer the leader");
        let leader = self.replica.leader().filter(|leader| *leader != id);
        // Commands have been answered already; the pending replies left are reads.
        let instances = std::mem::take(&mut self.instances).into_values();
        for reply_to in instances.chain(self.pending_replies.take_all()) {
            let _ = reply_to.try_send(ReplicaReply::NotLeader { leader, address: None });
        }
    }
}
