//! Memory: what may start, queue and be remembered within the machine's.

use super::in_flight::{InFlight, Stage};
use crate::PolicySettings;
use std::collections::VecDeque;

/// Share of the memory up to which runs start: leaves room for what arrives.
const RUN_START_MEMORY_FRACTION: f64 = 0.85;
/// Share of the memory over which the queue is cut: a batch still fits above.
const MAX_MEMORY_FRACTION: f64 = 0.92;
/// Share that idempotency keys may fill: a few runs still fit beside them.
const MAX_KEY_MEMORY_FRACTION: f64 = 0.7;

/// The machine's memory as the policy books it, in kilobytes.
pub(super) struct MemoryBudget {
    capacity: f64,
    key_memory: f64,
    run_factor: f64,
    used: f64,
    /// When the keys of requests that have run are forgotten.
    key_expiries: VecDeque<f64>,
}

impl MemoryBudget {
    /// An empty machine of the memory that the settings name.
    pub fn new(settings: &PolicySettings) -> MemoryBudget {
        MemoryBudget {
            capacity: settings.memory,
            key_memory: settings.key_memory,
            run_factor: settings.running_memory_factor.max(1.0),
            used: 0.0,
            key_expiries: VecDeque::new(),
        }
    }

    /// Starts to count anew, from the keys that are still remembered.
    pub fn begin_count(&mut self, now: f64) {
        while self.key_expiries.front().is_some_and(|&end| end < now) {
            self.key_expiries.pop_front();
        }
        self.used = self.key_expiries.len() as f64 * self.key_memory;
    }

    /// Counts a request in flight.
    pub fn count(&mut self, request: &InFlight) {
        self.used += match request.stage {
            Stage::Queued => self.queued_memory(request),
            Stage::Replaying => request.input.memory,
            Stage::Running | Stage::AwaitingCall | Stage::Calling => request.input.memory * self.run_factor,
        };
    }

    fn queued_memory(&self, request: &InFlight) -> f64 {
        request.input.memory + if request.key_expires_at.is_some() { self.key_memory } else { 0.0 }
    }

    /// Books a request that arrived.
    pub fn add(&mut self, memory: f64) {
        self.used += memory;
    }

    /// Books a key that is remembered from now on.
    pub fn add_key(&mut self) {
        self.used += self.key_memory;
    }

    /// Frees what a queued request and its key take.
    pub fn release_queued(&mut self, request: &InFlight) {
        self.used -= self.queued_memory(request);
    }

    /// Whether one more key can be remembered.
    pub fn has_room_for_key(&self) -> bool {
        let key_memory_used = (self.key_expiries.len() + 1) as f64 * self.key_memory;
        self.used + self.key_memory <= MAX_MEMORY_FRACTION * self.capacity
            && key_memory_used <= MAX_KEY_MEMORY_FRACTION * self.capacity
    }

    /// Whether the queue has to be cut.
    pub fn is_over(&self) -> bool {
        self.used > MAX_MEMORY_FRACTION * self.capacity
    }

    /// Whether a queued request would take too much once it runs.
    pub fn is_too_full_to_run(&self, request: &InFlight) -> bool {
        self.used + self.run_growth(request) > RUN_START_MEMORY_FRACTION * self.capacity
    }

    /// What a queued request takes more once it runs.
    fn run_growth(&self, request: &InFlight) -> f64 {
        request.input.memory * (self.run_factor - 1.0)
    }

    /// From now on its key outlasts the request.
    pub fn start_run(&mut self, request: &InFlight) {
        self.key_expiries.extend(request.key_expires_at);
        self.used += self.run_growth(request);
    }
}
