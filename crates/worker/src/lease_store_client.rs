//! Client of the lease store: keeps a connection to one replica, sends renewals when due, and fails over to other replicas.

use crate::connection::{ConnectionEvent, NumberedEvent, ReplicaConnection};
use puffinladder_leases::holder::LeaseHolder;
use puffinladder_leases::protocol::{ReplicaReply, ReplicaRequest};
use puffinladder_leases::replica_selector::{NextAction, ReplicaSelector};
use puffinladder_leases::table::LeaseResponse;
use puffinladder_leases::HolderId;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tokio::sync::mpsc;

/// Seconds without a response after which another replica is tried.
const RESPONSE_TIMEOUT: f64 = 0.5;

pub(crate) struct LeaseStoreClient {
    holder_id: HolderId,
    selector: ReplicaSelector<SocketAddr>,
    connection: Option<ReplicaConnection>,
    connections_opened: u64,
    /// Time of the first request since the last response.
    unanswered_since: Option<f64>,
    events: mpsc::Sender<NumberedEvent>,
    /// Whether the lease store responds; changes are logged.
    reachable: bool,
}

impl LeaseStoreClient {
    /// Creates a client. Its connections send events to `events`; the caller passes them to [`LeaseStoreClient::on_event`].
    pub fn new(
        holder_id: HolderId,
        replicas: BTreeMap<u64, SocketAddr>,
        events: mpsc::Sender<NumberedEvent>,
    ) -> LeaseStoreClient {
        let incarnation = holder_id.incarnation as u32;
        let seed = puffinladder_leases::assignment::rank("route", incarnation, &holder_id.instance);
        LeaseStoreClient {
            holder_id,
            selector: ReplicaSelector::new(replicas, seed),
            connection: None,
            connections_opened: 0,
            unanswered_since: None,
            events,
            reachable: true,
        }
    }

    /// Returns the time at which [`LeaseStoreClient::send_request`] must be called next.
    pub fn due(&self, now: f64, holder: &LeaseHolder) -> f64 {
        if self.connection.is_some() {
            let timeout = self.unanswered_since.map_or(f64::MAX, |since| since + RESPONSE_TIMEOUT);
            return holder.next_renewal().min(timeout);
        }
        match self.selector.next_action(now) {
            NextAction::WaitUntil(until) => until,
            NextAction::Connect(_) => now,
        }
    }

    /// Sends a due request, and fails over to another replica if the current one does not respond.
    pub fn send_request(&mut self, now: f64, holder: &mut LeaseHolder) {
        if self.unanswered_since.is_some_and(|since| now - since >= RESPONSE_TIMEOUT) {
            self.abandon_connection(now, "no response");
        }
        let Some(connection) = &self.connection else {
            self.open_connection(now);
            return;
        };
        if self.selector.connected().is_none() {
            return;
        }
        let Some(request) = holder.next_request(now) else { return };
        if connection.send(ReplicaRequest::Renew(request)) {
            self.unanswered_since.get_or_insert(now);
        } else {
            self.abandon_connection(now, "does not accept requests");
        }
    }

    /// Handles an event of a connection. Returns a response about leases, if the event is one.
    pub fn on_event(
        &mut self,
        now: f64,
        NumberedEvent { connection: number, event }: NumberedEvent,
        holder: &mut LeaseHolder,
    ) -> Option<LeaseResponse> {
        if self.connection.as_ref().is_none_or(|connection| connection.number != number) {
            return None; // Event of an abandoned connection.
        }
        match event {
            ConnectionEvent::Connected => {
                self.selector.mark_connected();
                // A new connection has sent nothing yet, so a renewal is due.
                holder.renew_now();
            }
            ConnectionEvent::Response(ReplicaReply::Lease(response)) => {
                self.unanswered_since = None;
                self.selector.mark_healthy();
                self.set_reachable(true);
                return Some(response);
            }
            ConnectionEvent::Response(ReplicaReply::NotLeader { leader, address }) => {
                self.close_connection();
                let address = address.and_then(|text| text.parse().ok());
                self.selector.follow_redirect(now, leader.map(|number| (number, address)));
            }
            ConnectionEvent::Response(other) => {
                self.abandon_connection(now, &format!("unexpected response {other:?}"));
            }
            ConnectionEvent::Closed(error) => self.abandon_connection(now, &error.to_string()),
        }
        None
    }

    fn open_connection(&mut self, now: f64) {
        let NextAction::Connect(replica) = self.selector.next_action(now) else { return };
        let Some(address) = self.selector.address(replica).copied() else { return };
        self.connections_opened += 1;
        let events = self.events.clone();
        self.connection = Some(ReplicaConnection::open(self.connections_opened, address, events));
        // Connecting has its own timeout.
        self.unanswered_since = None;
    }

    fn close_connection(&mut self) {
        self.connection = None;
        self.unanswered_since = None;
    }

    fn abandon_connection(&mut self, now: f64, reason: &str) {
        tracing::debug!("{}: abandoned the connection to the lease-store replica: {reason}", self.holder_id);
        self.close_connection();
        self.selector.mark_failed(now);
        self.set_reachable(false);
    }

    /// Records whether the lease store responds, and logs changes.
    fn set_reachable(&mut self, reachable: bool) {
        if reachable == self.reachable {
            return;
        }
        self.reachable = reachable;
        let change = match reachable {
            true => "the lease store responds again",
            false => "no lease-store replica responds; tasks continue until their leases expire",
        };
        tracing::info!("{}: {change}", self.holder_id);
    }
}
