//! State machine of one proxy's stream: its subscriptions, the versions it holds and its pending updates. Performs no I/O
//! and reads no clock.
//!
//! At most one update per resource type is pending. Newer plans are not queued behind it: the next update is made from the
//! latest plan. Updates are sent in the order clusters, endpoints, listeners, routes; a type is withheld until the
//! type that it refers to is acknowledged.
//!
//! **Lease.** An update carries the time for which its decisions may be used: the maximum age less their age when it is
//! sent. The proxy counts it from the time it sent the last request received before the update (see [`nonce`]), so network
//! delay only shortens it. Heartbeats, resources without a body, renew unchanged decisions.

mod counters;
mod messages;
pub mod nonce;
mod resource;
mod subscription;

#[cfg(test)]
mod tests;

pub use counters::StreamCounters;
pub use messages::{ProxyRequest, RejectedUpdate, StreamError, Update, UpdateEntry};
pub use resource::{PlanVersion, Resource, ResourceSet, ResourceSnapshot, ResourceType};

use std::collections::{BTreeMap, BTreeSet};
use subscription::{HeldChange, PendingUpdate, Subscription};

/// Maximum number of names that a stream may subscribe to: bounds memory.
const MAX_NAMES: usize = 10_000;
/// Maximum length of a stored rejection reason, characters.
const MAX_REASON_CHARS: usize = 200;

/// Intervals and timeouts of all streams, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseConfig {
    /// Maximum age of a decision that a proxy may use.
    pub max_decision_age: f64,
    /// Time between heartbeats.
    pub heartbeat_interval: f64,
    /// Time without an acknowledgement after which the stream is closed, so that the proxy reconnects.
    pub ack_timeout: f64,
}

impl Default for LeaseConfig {
    fn default() -> LeaseConfig {
        LeaseConfig { max_decision_age: 2.0, heartbeat_interval: 0.5, ack_timeout: 10.0 }
    }
}

/// State of a proxy's stream.
#[derive(Clone, Debug, Default)]
pub struct ProxyStream {
    /// Whether the stream uses the incremental protocol, which sends only differences.
    incremental: bool,
    subscriptions: [Subscription; ResourceType::COUNT],
    updates_sent: u64,
    requests_seen: u64,
    /// Counters since the stream was opened.
    pub counters: StreamCounters,
    /// Last update that the proxy rejected.
    pub last_rejection: Option<RejectedUpdate>,
}

impl ProxyStream {
    /// Creates a stream of the incremental or the state-of-the-world protocol.
    pub fn new(incremental: bool) -> ProxyStream {
        ProxyStream { incremental, ..ProxyStream::default() }
    }

    fn subscription(&self, resource_type: ResourceType) -> &Subscription {
        &self.subscriptions[resource_type.index()]
    }

    fn subscription_mut(&mut self, resource_type: ResourceType) -> &mut Subscription {
        &mut self.subscriptions[resource_type.index()]
    }

    /// Handles a request. After an error the stream must be closed.
    pub fn handle_request(&mut self, request: &ProxyRequest) -> Result<(), StreamError> {
        self.requests_seen += 1;
        let Some(resource_type) = request.resource_type else { return Ok(()) };
        if request.names.len() > MAX_NAMES || request.initial_versions.len() > MAX_NAMES {
            return Err(StreamError::TooManyNames);
        }
        let incremental = self.incremental;
        let subscription = self.subscription_mut(resource_type);
        let first = subscription.activate(&request.initial_versions);
        if subscription.is_pending(&request.nonce) {
            self.handle_ack_or_nack(resource_type, request.error.as_deref());
        } else if !request.nonce.is_empty() {
            self.count_unexpected_nonce(&request.nonce);
            // The state-of-the-world protocol ignores requests with a stale nonce.
            if !incremental && !first {
                return Ok(());
            }
        }
        let subscription = self.subscription_mut(resource_type);
        if incremental {
            subscription.change_names(request, first)
        } else {
            subscription.replace_names(&request.names);
            Ok(())
        }
    }

    /// Counts a response to an update that is not pending.
    fn count_unexpected_nonce(&mut self, nonce: &str) {
        let sent_here = nonce::update_number(nonce).is_some_and(|number| number <= self.updates_sent);
        if sent_here {
            self.counters.stale_nonces += 1;
        } else {
            self.counters.unknown_nonces += 1;
        }
    }

    /// Accepts the pending update, or rejects it if the proxy reported an error.
    fn handle_ack_or_nack(&mut self, resource_type: ResourceType, error: Option<&str>) {
        let subscription = &mut self.subscriptions[resource_type.index()];
        let Some(pending) = subscription.pending.take() else { return };
        let Some(error) = error else {
            self.counters.acked += 1;
            subscription.accept(pending);
            return;
        };
        self.counters.rejected += 1;
        let reason = error.chars().filter(|c| !c.is_control()).take(MAX_REASON_CHARS).collect();
        self.last_rejection = Some(RejectedUpdate { resource_type, version: pending.version, reason });
        subscription.reject(pending);
    }

    /// Returns the next update to send. To be called until it returns none. After an error the stream must be closed.
    pub fn next_update(
        &mut self,
        now: f64,
        snapshot: &ResourceSnapshot,
        lease: &LeaseConfig,
    ) -> Result<Option<Update>, StreamError> {
        if self.has_ack_timeout(now, lease) {
            return Err(StreamError::AckTimeout);
        }
        let ttl = lease.max_decision_age - (now - snapshot.decided_at);
        if ttl <= 0.0 {
            return Ok(None);
        }
        for resource_type in ResourceType::ALL {
            if let Some(update) = self.next_update_of_type(now, resource_type, snapshot, lease, ttl) {
                return Ok(Some(update));
            }
        }
        Ok(None)
    }

    fn has_ack_timeout(&self, now: f64, lease: &LeaseConfig) -> bool {
        let mut pending = self.subscriptions.iter().filter_map(|subscription| subscription.pending.as_ref());
        pending.any(|pending| now - pending.sent_at > lease.ack_timeout)
    }

    fn next_update_of_type(
        &mut self,
        now: f64,
        resource_type: ResourceType,
        snapshot: &ResourceSnapshot,
        lease: &LeaseConfig,
        ttl: f64,
    ) -> Option<Update> {
        let subscription = self.subscription(resource_type);
        if !subscription.active {
            return None;
        }
        let in_sync = subscription.in_sync(snapshot.set(resource_type)) && !subscription.response_due;
        if subscription.pending.is_some() {
            if !in_sync {
                self.record_deferred_plan(resource_type, snapshot.version);
            }
            return None;
        }
        if self.waits_for_dependency(resource_type, snapshot) {
            return None;
        }
        let renewal_due = resource_type.holds_decisions()
            && now - subscription.last_sent_at >= lease.heartbeat_interval
            && !subscription.held.is_empty();
        if in_sync && !renewal_due {
            return None;
        }
        self.make_update(now, resource_type, snapshot, in_sync, ttl)
    }

    /// Records a plan deferred by a pending update; it supersedes an earlier deferred plan.
    fn record_deferred_plan(&mut self, resource_type: ResourceType, version: PlanVersion) {
        let subscription = &mut self.subscriptions[resource_type.index()];
        let newer_than_pending =
            subscription.pending.as_ref().is_some_and(|pending| pending.version < version);
        if subscription.deferred < version && newer_than_pending {
            self.counters.coalesced += u64::from(subscription.deferred > PlanVersion::default());
            subscription.deferred = version;
        }
    }

    fn waits_for_dependency(&self, resource_type: ResourceType, snapshot: &ResourceSnapshot) -> bool {
        resource_type.depends_on().is_some_and(|dependency| {
            let subscription = self.subscription(dependency);
            subscription.active && !subscription.in_sync(snapshot.set(dependency))
        })
    }

    /// Creates an update and marks it as pending.
    fn make_update(
        &mut self,
        now: f64,
        resource_type: ResourceType,
        snapshot: &ResourceSnapshot,
        in_sync: bool,
        ttl: f64,
    ) -> Option<Update> {
        let incremental = self.incremental;
        let set = snapshot.set(resource_type);
        let subscription = &mut self.subscriptions[resource_type.index()];
        let entries = entries(subscription, set, resource_type, incremental, in_sync);
        let removed = match incremental {
            true => subscription.held.keys().filter(|name| !set.contains_key(*name)).cloned().collect(),
            false => Vec::new(),
        };
        subscription.response_due = false;
        // Nothing changed, or only rejected content is left: the proxy keeps its resources until their lease expires. An
        // empty state of the world is sent only if no subscribed resource exists.
        let has_withheld = set.keys().any(|name| subscription.is_subscribed_to(name));
        if entries.is_empty() && removed.is_empty() && (incremental || has_withheld) {
            return None;
        }
        self.updates_sent += 1;
        let nonce = nonce::format(self.updates_sent, self.requests_seen);
        let version = snapshot.version;
        let changes = changes(subscription, set, &entries, &removed, incremental);
        subscription.pending = Some(PendingUpdate { nonce: nonce.clone(), version, changes, sent_at: now });
        subscription.deferred = PlanVersion::default();
        subscription.last_sent_at = now;
        let ttl = resource_type.holds_decisions().then_some(ttl);
        let update = Update { resource_type, version, nonce, entries, removed, ttl };
        if update.is_heartbeat() {
            self.counters.heartbeats += 1;
        } else {
            self.counters.content_updates += 1;
        }
        Some(update)
    }

    /// Returns the oldest acknowledged plan among the subscribed types; none without a subscription.
    pub fn acked(&self) -> Option<PlanVersion> {
        let active = self.subscriptions.iter().filter(|subscription| subscription.active);
        active.map(|subscription| subscription.acked).min()
    }

    /// Returns the acknowledged versions of a type, by name.
    pub fn held(&self, resource_type: ResourceType) -> &BTreeMap<String, u64> {
        &self.subscription(resource_type).held
    }

    /// Returns whether the proxy holds the current version of all subscribed resources.
    pub fn in_sync(&self, snapshot: &ResourceSnapshot) -> bool {
        ResourceType::ALL.into_iter().all(|resource_type| {
            let subscription = self.subscription(resource_type);
            !subscription.active || subscription.in_sync(snapshot.set(resource_type))
        })
    }
}

/// Returns the entries of an update. Incremental: changed resources, and heartbeats for unchanged decisions. State of the
/// world: all resources, without bodies if it is a heartbeat.
fn entries(
    subscription: &Subscription,
    set: &ResourceSet,
    resource_type: ResourceType,
    incremental: bool,
    in_sync: bool,
) -> Vec<UpdateEntry> {
    let holds_decisions = resource_type.holds_decisions();
    let mut entries = Vec::new();
    for resource in subscription.deliverable(set) {
        let held = subscription.holds(resource);
        let heartbeat = held && (in_sync || incremental && holds_decisions);
        let nothing_to_renew = heartbeat && !holds_decisions;
        let unchanged = incremental && held && !heartbeat;
        if !nothing_to_renew && !unchanged {
            entries.push(UpdateEntry { resource: resource.clone(), heartbeat });
        }
    }
    entries
}

/// Returns the changes to the held versions once the proxy accepts an update.
fn changes(
    subscription: &Subscription,
    set: &ResourceSet,
    entries: &[UpdateEntry],
    removed: &[String],
    incremental: bool,
) -> Vec<HeldChange> {
    let sent = |entry: &UpdateEntry| HeldChange {
        name: entry.resource.name.clone(),
        version: Some(entry.resource.version),
    };
    let gone = |name: &String| HeldChange { name: name.clone(), version: None };
    let mut changes: Vec<HeldChange> = entries.iter().map(sent).collect();
    changes.extend(removed.iter().map(gone));
    if !incremental {
        // A state-of-the-world update implicitly removes the resources that it omits.
        let names: BTreeSet<&str> = entries.iter().map(|entry| entry.resource.name.as_str()).collect();
        let is_gone = |name: &&String| !names.contains(name.as_str()) && !set.contains_key(*name);
        changes.extend(subscription.held.keys().filter(is_gone).map(gone));
    }
    changes
}
