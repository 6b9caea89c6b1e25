//! The worker's side of the lease store: which replica it is connected to, when a request is due, and when another replica is tried.

use crate::connection::{ConnectionEvent, NumberedEvent, ReplicaConnection};
use puffinladder_leases::holder::LeaseHolder;
use puffinladder_leases::protocol::{ReplicaReply, ReplicaRequest};
use puffinladder_leases::replica_selector::{NextAction, ReplicaSelector};
use puffinladder_leases::table::LeaseResponse;
use puffinladder_leases::HolderId;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tokio::sync::mpsc;

/// Seconds without a response to any request after which another replica is tried.
const RESPONSE_TIMEOUT: f64 = 0.5;

pub(crate) struct LeaseStoreClient {
    /// For the log.
    holder_id: HolderId,
    selector: ReplicaSelector<SocketAddr>,
    connection: Option<ReplicaConnection>,
    connections_opened: u64,
    /// When the first request was sent that has no response yet.
    unanswered_since: Option<f64>,
    events: mpsc::Sender<NumberedEvent>,
    /// The lease store responds: logged when it changes.
    reachable: bool,
}

impl LeaseStoreClient {
    /// What happens on the connections goes to `events`, to be handed back to [`LeaseStoreClient::on_event`].
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

    /// When there is something to be done here.
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

    /// Sends the request that is due, and turns to another replica where this one is silent.
    pub fn send_request(&mut self, now: f64, holder: &mut LeaseHolder) {
        if self.unanswered_since.is_some_and(|since| now - since >= RESPONSE_TIMEOUT) {
            self.give_up_connection(now, "does not respond");
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
            self.give_up_connection(now, "does not read");
        }
    }

    /// Takes in what happened on a connection; a response about leases is returned.
    pub fn on_event(
        &mut self,
        now: f64,
        NumberedEvent { connection: number, event }: NumberedEvent,
        holder: &mut LeaseHolder,
    ) -> Option<LeaseResponse> {
        if self.connection.as_ref().is_none_or(|connection| connection.number != number) {
            return None; // of a connection that was given up
        }
        match event {
            ConnectionEvent::Connected => {
                self.selector.mark_connected();
                // A replica that is new to it has heard nothing yet: the next request is due at once.
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
                self.give_up_connection(now, &format!("responds {other:?}"));
            }
            ConnectionEvent::Closed(error) => self.give_up_connection(now, &error.to_string()),
        }
        None
    }

    fn open_connection(&mut self, now: f64) {
        let NextAction::Connect(replica) = self.selector.next_action(now) else { return };
        let Some(address) = self.selector.address(replica).copied() else { return };
        self.connections_opened += 1;
        let events = self.events.clone();
        self.connection = Some(ReplicaConnection::open(self.connections_opened, address, events));
        // Connecting has a bound of its own.
        self.unanswered_since = None;
    }

    fn close_connection(&mut self) {
        self.connection = None;
        self.unanswered_since = None;
    }

    fn give_up_connection(&mut self, now: f64, reason: &str) {
        tracing::debug!("{}: the lease-store replica {reason}", self.holder_id);
        self.close_connection();
        self.selector.mark_failed(now);
        self.set_reachable(false);
    }

    /// Logs a change once, not with every attempt.
    fn set_reachable(&mut self, reachable: bool) {
        if reachable == self.reachable {
            return;
        }
        self.reachable = reachable;
        let change = match reachable {
            true => "the lease store responds again",
            false => "no lease-store replica responds, goes on while its term lasts",
        };
        tracing::info!("{}: {change}", self.holder_id);
    }
}
