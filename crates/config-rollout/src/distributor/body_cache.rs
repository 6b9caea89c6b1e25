//! Cache of encoded bodies, since many servers need the same body at the same time.

use crate::digest::VersionId;
use crate::history::History;
use crate::messages::{encode_change, encode_content, TransferId, MAX_CHUNK_BYTES};
use std::collections::VecDeque;
use std::sync::Arc;

/// Maximum number of cached bodies.
const MAX_BODIES: usize = 64;
/// Maximum size of the cached bodies in bytes. A single larger body is still cached.
const MAX_BYTES: usize = 16 << 20;

/// An encoded body with its transfer.
#[derive(Clone)]
pub(super) struct Body {
    pub(super) id: TransferId,
    pub(super) bytes: Arc<Vec<u8>>,
}

#[derive(Default)]
pub(super) struct BodyCache {
    bodies: VecDeque<Body>,
}

impl BodyCache {
    pub(super) fn bytes(&self) -> usize {
        self.bodies.iter().map(|body| body.bytes.len()).sum()
    }

    /// Returns the shorter of the change from `from` to `to` and the whole content of `to`, or `None` if the history does not retain the
    /// required versions.
    pub(super) fn shortest(&mut self, history: &History, from: VersionId, to: VersionId) -> Option<Body> {
        let change = if history.contains(from) { Some(self.change(history, from, to)?) } else { None };
        if let Some(change) = change.as_ref().filter(|change| change.bytes.len() <= MAX_CHUNK_BYTES) {
            return Some(change.clone());
        }
        let whole = self.whole_content(history, to)?;
        match change {
            Some(change) if change.bytes.len() <= whole.bytes.len() => Some(change),
            _ => Some(whole),
        }
    }

    fn change(&mut self, history: &History, from: VersionId, to: VersionId) -> Option<Body> {
        if let Some(cached) = self.find(Some(from), to) {
            return Some(cached);
        }
        let change = history.combined_change(from.number, to.number)?;
        Some(self.insert(Some(from), to, encode_change(&change)))
    }

    fn whole_content(&mut self, history: &History, to: VersionId) -> Option<Body> {
        if let Some(cached) = self.find(None, to) {
            return Some(cached);
        }
        let content = history.content_at(to.number)?;
        Some(self.insert(None, to, encode_content(&content)))
    }

    fn find(&self, base: Option<VersionId>, target: VersionId) -> Option<Body> {
        let found = self.bodies.iter().find(|body| body.id.base == base && body.id.target == target);
        found.cloned()
    }

    fn insert(&mut self, base: Option<VersionId>, target: VersionId, bytes: Vec<u8>) -> Body {
        let id = TransferId { base, target, total_bytes: bytes.len() as u32 };
        let body = Body { id, bytes: Arc::new(bytes) };
        self.bodies.push_back(body.clone());
        while self.bodies.len() > MAX_BODIES || (self.bodies.len() > 1 && self.bytes() > MAX_BYTES) {
            self.bodies.pop_front();
        }
        body
    }
}
