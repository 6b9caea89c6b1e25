//! One resource type on one stream: what the proxy wants, what it has acknowledged, and the update that it has yet to answer.

use super::messages::ProxyRequest;
use super::resource::{PlanVersion, Resource, ResourceSet};
use super::{StreamError, MAX_NAMES};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// An update that the proxy has yet to answer.
#[derive(Clone, Debug)]
pub(super) struct PendingUpdate {
    pub(super) nonce: String,
    pub(super) version: PlanVersion,
    /// What the proxy holds once it accepts the update.
    pub(super) changes: Vec<HeldChange>,
    pub(super) sent_at: f64,
}

/// What acceptance of an update does to one resource that the proxy holds.
#[derive(Clone, Debug)]
pub(super) struct HeldChange {
    pub(super) name: String,
    /// The version that it then holds; none where the resource is gone.
    pub(super) version: Option<u64>,
}

/// Content of a resource.
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

/// State of one resource type on one stream.
#[derive(Clone, Debug, Default)]
pub(super) struct Subscription {
    /// The proxy asked for this type.
    pub(super) active: bool,
    /// Names wanted; none for all there are.
    names: Option<BTreeSet<String>>,
    /// Acknowledged versions by name.
    pub(super) held: BTreeMap<String, u64>,
    /// The plan of the last acknowledged update.
    pub(super) acked: PlanVersion,
    pub(super) pending: Option<PendingUpdate>,
    /// Content that this proxy rejected: never sent to it again.
    rejected: BTreeSet<ContentId>,
    /// The newest plan that waited while an answer was awaited.
    pub(super) deferred: PlanVersion,
    pub(super) last_sent_at: f64,
    /// The last request changed what is wanted: it must be answered even if all of it is held already.
    pub(super) response_due: bool,
}

/// A version as proxies repeat it; 0, which stands for no content, where it is none of this service's.
fn parse_version(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or(0)
}

impl Subscription {
    /// Begins with the first request for this type; whether it was the first.
    pub(super) fn activate(&mut self, initial_versions: &BTreeMap<String, String>) -> bool {
        let first = !std::mem::replace(&mut self.active, true);
        if first {
            self.response_due = true;
            let held = initial_versions.iter().map(|(name, version)| (name.clone(), parse_version(version)));
            self.held = held.collect();
        }
        first
    }

    /// Whether a nonce is that of the update that waits for its answer.
    pub(super) fn is_pending(&self, nonce: &str) -> bool {
        self.pending.as_ref().is_some_and(|pending| pending.nonce == nonce)
    }

    pub(super) fn is_subscribed_to(&self, name: &str) -> bool {
        self.names.as_ref().is_none_or(|names| names.contains(name))
    }

    /// What of a set the proxy wants and has not rejected.
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

    /// Whether it holds all that it wants of a set, and nothing else.
    pub(super) fn in_sync(&self, set: &ResourceSet) -> bool {
        let holds_only_wanted =
            || self.held.keys().all(|name| set.contains_key(name) && self.is_subscribed_to(name));
        self.deliverable(set).all(|resource| self.holds(resource)) && holds_only_wanted()
    }

    /// State of the world: the names in a request replace those before.
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

    /// Incremental: the names in a request are added to those before, or taken out.
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
            // Asked for anew: to be sent whatever it held.
            self.held.remove(name);
        }
        self.response_due = true;
    }

    /// The proxy accepted the update that was pending.
    pub(super) fn accept(&mut self, update: PendingUpdate) {
        self.acked = update.version;
        for change in update.changes {
            match change.version {
                Some(version) => self.held.insert(change.name, version),
                None => self.held.remove(&change.name),
            };
        }
    }

    /// The proxy rejected the update that was pending: what was new in it is never sent again.
    pub(super) fn reject(&mut self, update: PendingUpdate) {
        for change in update.changes {
            let Some(version) = change.version else { continue };
            if self.held.get(&change.name) != Some(&version) {
                self.rejected.insert(ContentId { name: change.name, version });
            }
        }
        // A proxy that rejects everything must not grow this without bound.
        while self.rejected.len() > MAX_NAMES {
            self.rejected.pop_first();
        }
    }
}
