//! Memory budget for running and queued requests and remembered idempotency keys.

use super::in_flight::{InFlight, Stage};
use crate::PolicySettings;
use std::collections::VecDeque;

/// Fraction of the memory up to which runs start; the rest is for arrivals.
const RUN_START_MEMORY_FRACTION: f64 = 0.85;
/// Fraction of the memory above which the queue is shed; a batch of arrivals still fits above it.
const MAX_MEMORY_FRACTION: f64 = 0.92;
/// Fraction of the memory that idempotency keys may use.
const MAX_KEY_MEMORY_FRACTION: f64 = 0.7;

/// Memory accounting of the machine, in kilobytes.
pub(super) struct MemoryBudget {
    capacity: f64,
    key_memory: f64,
    run_factor: f64,
    used: f64,
    /// Number of runs in any stage, those that wait for a call included.
    runs: usize,
    /// Expiry times of the keys of requests that have started.
    key_expiries: VecDeque<f64>,
}

impl MemoryBudget {
    /// Creates an empty budget.
    pub fn new(settings: &PolicySettings) -> MemoryBudget {
        MemoryBudget {
            capacity: settings.memory,
            key_memory: settings.key_memory,
            run_factor: settings.running_memory_factor.max(1.0),
            used: 0.0,
            runs: 0,
            key_expiries: VecDeque::new(),
        }
    }

    /// Resets the used memory to that of the remembered keys.
    pub fn begin_count(&mut self, now: f64) {
        while self.key_expiries.front().is_some_and(|&end| end < now) {
            self.key_expiries.pop_front();
        }
        self.used = self.key_expiries.len() as f64 * self.key_memory;
        self.runs = 0;
    }

    /// Adds a request in flight to the used memory.
    pub fn count(&mut self, request: &InFlight) {
        self.used += match request.stage {
            Stage::Queued => self.queued_memory(request),
            Stage::Replaying => request.input.memory,
            Stage::Running | Stage::AwaitingCall | Stage::Calling => {
                self.runs += 1;
                request.input.memory * self.run_factor
            }
        };
    }

    fn queued_memory(&self, request: &InFlight) -> f64 {
        request.input.memory + if request.key_expires_at.is_some() { self.key_memory } else { 0.0 }
    }

    /// Adds the memory of an arrived request.
    pub fn add(&mut self, memory: f64) {
        self.used += memory;
    }

    /// Adds the memory of one key.
    pub fn add_key(&mut self) {
        self.used += self.key_memory;
    }

    /// Releases the memory of a queued request and its key.
    pub fn release_queued(&mut self, request: &InFlight) {
        self.used -= self.queued_memory(request);
    }

    /// Returns whether one more key fits.
    pub fn has_room_for_key(&self) -> bool {
        let key_memory_used = (self.key_expiries.len() + 1) as f64 * self.key_memory;
        self.used + self.key_memory <= MAX_MEMORY_FRACTION * self.capacity
            && key_memory_used <= MAX_KEY_MEMORY_FRACTION * self.capacity
    }

    /// Returns whether the queue must be shed.
    pub fn is_over(&self) -> bool {
        self.used > MAX_MEMORY_FRACTION * self.capacity
    }

    /// Returns whether a queued request would exceed the memory for runs once it runs. While nothing runs, it
    /// may take what the queue may: no run will end to make room for it.
    pub fn is_too_full_to_run(&self, request: &InFlight) -> bool {
        let fraction = if self.has_runs() { RUN_START_MEMORY_FRACTION } else { MAX_MEMORY_FRACTION };
        self.used + self.run_growth(request) > fraction * self.capacity
    }

    /// Returns whether a run in any stage holds memory.
    pub fn has_runs(&self) -> bool {
        self.runs > 0
    }

    /// Returns the number of runs in any stage.
    pub fn runs(&self) -> usize {
        self.runs
    }

    /// Returns the additional memory of a queued request once it runs.
    fn run_growth(&self, request: &InFlight) -> f64 {
        request.input.memory * (self.run_factor - 1.0)
    }

    /// Accounts for a run that starts; its key outlasts the request.
    pub fn start_run(&mut self, request: &InFlight) {
        self.key_expiries.extend(request.key_expires_at);
        self.runs += 1;
        self.used += self.run_growth(request);
    }
}
