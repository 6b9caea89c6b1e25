//! Subscription of a stream to one resource type: subscribed names, acknowledged versions and the pending update.

use super::messages::ProxyRequest;
use super::resource::{PlanVersion, Resource, ResourceSet};
use super::{StreamError, MAX_NAMES};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Update whose acknowledgement is pending.
#[derive(Clone, Debug)]
pub(super) struct PendingUpdate {
    pub(super) nonce: String,
    pub(super) version: PlanVersion,
    /// Changes to the held versions once the proxy accepts the update.
    pub(super) changes: Vec<HeldChange>,
    pub(super) sent_at: f64,
}

/// Change to the held version of one resource.
#[derive(Clone, Debug)]
pub(super) struct HeldChange {
    pub(super) name: String,
    /// New version; none if the resource is removed.
    pub(super) version: Option<u64>,
}

/// Identifies the content of a resource.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ContentId {
    name: String,
    version: u64,
}

impl ContentId {
    fn of(resource: &Resource) -> ContentId {
        ContentId { name: resource.name.clone(), version: resource.version }
    }
}

/// Subscription to one resource type.
#[derive(Clone, Debug, Default)]
pub(super) struct Subscription {
    /// The proxy has requested this type.
    pub(super) active: bool,
    /// Subscribed names; none for all resources.
    names: Option<BTreeSet<String>>,
    /// Acknowledged versions by name.
    pub(super) held: BTreeMap<String, u64>,
    /// Plan of the last acknowledged update.
    pub(super) acked: PlanVersion,
    pub(super) pending: Option<PendingUpdate>,
    /// Content that the proxy rejected, which is not sent again.
    rejected: BTreeSet<ContentId>,
    /// Newest plan deferred by the pending update.
    pub(super) deferred: PlanVersion,
    pub(super) last_sent_at: f64,
    /// The last request changed the subscription, so a response is due even if nothing else changed.
    pub(super) response_due: bool,
}

/// Parses a version sent by a proxy. Returns 0, which no resource has, if it is malformed.
fn parse_version(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or(0)
}

impl Subscription {
    /// Activates the subscription. Returns whether this is the first request for the type.
    pub(super) fn activate(&mut self, initial_versions: &BTreeMap<String, String>) -> bool {
        let first = !std::mem::replace(&mut self.active, true);
        if first {
            self.response_due = true;
            let held = initial_versions.iter().map(|(name, version)| (name.clone(), parse_version(version)));
            self.held = held.collect();
        }
        first
    }

    /// Returns whether a nonce is that of the pending update.
    pub(super) fn is_pending(&self, nonce: &str) -> bool {
        self.pending.as_ref().is_some_and(|pending| pending.nonce == nonce)
    }

    pub(super) fn is_subscribed_to(&self, name: &str) -> bool {
        self.names.as_ref().is_none_or(|names| names.contains(name))
    }

    /// Returns the subscribed resources of a set, without rejected content.
    pub(super) fn deliverable<'a>(
        &'a self,
        set: &'a ResourceSet,
    ) -> impl Iterator<Item = &'a Arc<Resource>> + 'a {
        set.values().filter(|resource| {
            self.is_subscribed_to(&resource.name) && !self.rejected.contains(&ContentId::of(resource))
        })
    }

    pub(super) fn holds(&self, resource: &Resource) -> bool {
        self.held.get(&resource.name) == Some(&resource.version)
    }

    /// Returns whether the proxy holds exactly the deliverable resources of a set.
    pub(super) fn in_sync(&self, set: &ResourceSet) -> bool {
        let holds_only_wanted =
            || self.held.keys().all(|name| set.contains_key(name) && self.is_subscribed_to(name));
        self.deliverable(set).all(|resource| self.holds(resource)) && holds_only_wanted()
    }

    /// State of the world: replaces the subscribed names.
    pub(super) fn replace_names(&mut self, requested: &[String]) {
        let all = requested.is_empty() || requested.iter().any(|name| name == "*");
        let names: Option<BTreeSet<String>> = (!all).then(|| requested.iter().cloned().collect());
        if names == self.names {
            return;
        }
        self.response_due = true;
        if let Some(names) = &names {
            self.held.retain(|name, _| names.contains(name));
        }
        self.names = names;
    }

    /// Incremental: adds and removes subscribed names.
    pub(super) fn change_names(&mut self, request: &ProxyRequest, first: bool) -> Result<(), StreamError> {
        for name in &request.names {
            self.add_name(name, first);
        }
        for name in &request.removed_names {
            if let Some(names) = &mut self.names {
                names.remove(name);
            }
            self.held.remove(name);
        }
        match &self.names {
            Some(names) if names.len() > MAX_NAMES => Err(StreamError::TooManyNames),
            _ => Ok(()),
        }
    }

    fn add_name(&mut self, name: &str, first: bool) {
        if name == "*" {
            self.names = None;
        } else if let Some(names) = &mut self.names {
            names.insert(name.to_owned());
        } else if first {
            self.names = Some([name.to_owned()].into());
        }
        if !first {
            // A repeated subscription requires the resource to be sent again.
            self.held.remove(name);
        }
        self.response_due = true;
    }

    /// Applies the changes of an accepted update.
    pub(super) fn accept(&mut self, update: PendingUpdate) {
        self.acked = update.version;
        for change in update.changes {
            match change.version {
                Some(version) => self.held.insert(change.name, version),
                None => self.held.remove(&change.name),
            };
        }
    }

    /// Records the new content of a rejected update, which is not sent again.
    pub(super) fn reject(&mut self, update: PendingUpdate) {
        for change in update.changes {
            let Some(version) = change.version else { continue };
            if self.held.get(&change.name) != Some(&version) {
                self.rejected.insert(ContentId { name: change.name, version });
            }
        }
        // Bounds the memory used by a proxy that rejects everything.
        while self.rejected.len() > MAX_NAMES {
            self.rejected.pop_first();
        }
    }
}
