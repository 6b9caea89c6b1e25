//! One proxy's stream, decided without I/O or a clock: what it asked for, what it holds, what is on its way to it.
//!
//! Of each type one update is out at a time. While its answer is awaited newer plans are not queued: what is sent next is whatever
//! holds then. A type that others refer to goes first (clusters, endpoints, listeners, routes), and a later one waits until what
//! it refers to is acknowledged.
//!
//! **The lease.** An update says for how long its decisions may be used: the bound less their age when it is sent. A proxy counts
//! that from when it sent the last request that the update had seen (its number stands in the [`nonce`]), so time on the way only
//! shortens it. Decisions that still hold are renewed by heartbeats, a name and a lease without a body.

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

/// Names that one stream may ask for: far more than any proxy needs, and little memory.
const MAX_NAMES: usize = 10_000;
/// Characters kept of a proxy's reason for a rejection.
const MAX_REASON_CHARS: usize = 200;

/// Times that all streams keep, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseConfig {
    /// Age of the oldest decision that any proxy may use.
    pub max_decision_age: f64,
    /// From one heartbeat to the next.
    pub heartbeat_interval: f64,
    /// An answer that is awaited for longer ends the stream: a proxy that reads so slowly is better off connecting anew.
    pub ack_timeout: f64,
}

impl Default for LeaseConfig {
    fn default() -> LeaseConfig {
        LeaseConfig { max_decision_age: 2.0, heartbeat_interval: 0.5, ack_timeout: 10.0 }
    }
}

/// A proxy's stream.
#[derive(Clone, Debug, Default)]
pub struct ProxyStream {
    /// Differences are sent, not the whole of a type.
    incremental: bool,
    subscriptions: [Subscription; ResourceType::COUNT],
    updates_sent: u64,
    requests_seen: u64,
    /// What happened on the stream so far.
    pub counters: StreamCounters,
    /// The last update that the proxy rejected.
    pub last_rejection: Option<RejectedUpdate>,
}

impl ProxyStream {
    /// A stream of the incremental protocol, or of the state-of-the-world protocol.
    pub fn new(incremental: bool) -> ProxyStream {
        ProxyStream { incremental, ..ProxyStream::default() }
    }

    fn subscription(&self, resource_type: ResourceType) -> &Subscription {
        &self.subscriptions[resource_type.index()]
    }

    fn subscription_mut(&mut self, resource_type: ResourceType) -> &mut Subscription {
        &mut self.subscriptions[resource_type.index()]
    }

    /// Takes in a request. After an error the stream must end.
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
            // By the state-of-the-world protocol a request with such a nonce counts as if it had not come.
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

    /// Counts an answer to an update that was superseded, or to one that never was.
    fn count_unexpected_nonce(&mut self, nonce: &str) {
        let sent_here = nonce::update_number(nonce).is_some_and(|number| number <= self.updates_sent);
        if sent_here {
            self.counters.stale_nonces += 1;
        } else {
            self.counters.unknown_nonces += 1;
        }
    }

    /// The proxy accepted the pending update, or rejected it because of an error.
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

    /// The next update to send, if any; to be called again until there is none. After an error the stream must end.
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

    /// A newer plan comes while an answer is awaited; one that already waited gives way.
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

    /// Makes an update, and remembers that it is out.
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
        // Nothing differs, or all that it wants is rejected content: it keeps what it has until its lease ends. Only where there is
        // nothing by the names that it wants does the whole state say so.
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

    /// The oldest plan among the types that it asked for, as acknowledged.
    pub fn acked(&self) -> Option<PlanVersion> {
        let active = self.subscriptions.iter().filter(|subscription| subscription.active);
        active.map(|subscription| subscription.acked).min()
    }

    /// Versions that it holds of a type, by name.
    pub fn held(&self, resource_type: ResourceType) -> &BTreeMap<String, u64> {
        &self.subscription(resource_type).held
    }

    /// Whether it holds all that it asked for of a snapshot.
    pub fn in_sync(&self, snapshot: &ResourceSnapshot) -> bool {
        ResourceType::ALL.into_iter().all(|resource_type| {
            let subscription = self.subscription(resource_type);
            !subscription.active || subscription.in_sync(snapshot.set(resource_type))
        })
    }
}

/// The resources of an update. Incremental: what changed, and a lease for what is held once it is time. State of the world: always
/// all, which a heartbeat renews without bodies.
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

/// What the proxy holds differently once it accepts an update.
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
        // What is not among all is gone.
        let names: BTreeSet<&str> = entries.iter().map(|entry| entry.resource.name.as_str()).collect();
        let is_gone = |name: &&String| !names.contains(name.as_str()) && !set.contains_key(*name);
        changes.extend(subscription.held.keys().filter(is_gone).map(gone));
    }
    changes
}
