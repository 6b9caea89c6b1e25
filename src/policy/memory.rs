//! Memory budget for running and queued requests and remembered idempotency keys.

use super::in_flight::{InFlight, Stage};
use super::timing::RATE_TIME_CONSTANT_S;
use crate::PolicySettings;
use std::collections::VecDeque;

/// Fraction of the memory above which the queue is shed; a batch of arrivals still fits above it.
const MAX_QUEUE_MEMORY_FRACTION: f64 = 0.92;
/// Fraction of the memory that is left to the queue when no more runs start.
const QUEUE_MEMORY_FRACTION: f64 = 0.07;
/// Time for which arrivals find memory while the process stands still, in seconds.
const ARRIVAL_RESERVE_S: f64 = 0.7;
/// Time between two rounds that counts as a standstill of the process, in seconds; several ticks.
const STANDSTILL_S: f64 = 0.1;
/// Time for which a standstill is expected to repeat, in seconds.
const STANDSTILL_MEMORY_S: f64 = 10.0;
/// Largest fraction of the memory without keys that is reserved for arrivals.
const MAX_ARRIVAL_RESERVE_FRACTION: f64 = 0.5;
/// Number of gauge readings of which the least counts; a single one may be older than the last round.
const GAUGE_READINGS: usize = 5;
/// Age at which gauge readings no longer count, in seconds.
const MAX_GAUGE_AGE_S: f64 = 1.0;
/// Fraction of the memory that idempotency keys may use; a few runs still fit beside them.
const MAX_KEY_MEMORY_FRACTION: f64 = 0.7;

/// Memory accounting of the machine, in kilobytes.
pub(super) struct MemoryBudget {
    capacity: f64,
    key_memory: f64,
    run_factor: f64,
    used: f64,
    /// Part of `used` that belongs to runs that wait for a call and were answered, so that they end.
    ending: f64,
    /// Part of `used` that belongs to runs.
    used_by_runs: f64,
    /// Number of runs in any stage, those that wait for a call included.
    runs: usize,
    /// Memory of the arrivals since the last control step.
    arrived: f64,
    /// Moving average of the memory of arrivals, in kilobytes per second.
    arrival_rate: f64,
    /// Whether memory is kept free for arrivals.
    has_reserve: bool,
    /// When the process last stood still.
    last_standstill: Option<f64>,
    /// Memory by the latest gauge readings beyond `used`: requests that are unread, or whose answers are.
    unaccounted: [f64; GAUGE_READINGS],
    next_reading: usize,
    /// When the gauge was last read.
    gauge_read_at: f64,
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
            ending: 0.0,
            used_by_runs: 0.0,
            runs: 0,
            arrived: 0.0,
            arrival_rate: 0.0,
            has_reserve: false,
            last_standstill: None,
            unaccounted: [0.0; GAUGE_READINGS],
            next_reading: 0,
            gauge_read_at: 0.0,
            key_expiries: VecDeque::new(),
        }
    }

    /// Resets the used memory to that of the remembered keys.
    pub fn begin_count(&mut self, now: f64) {
        while self.key_expiries.front().is_some_and(|&end| end < now) {
            self.key_expiries.pop_front();
        }
        if now - self.gauge_read_at > MAX_GAUGE_AGE_S {
            self.unaccounted = [0.0; GAUGE_READINGS];
        }
        self.used = self.remembered_keys();
        (self.ending, self.used_by_runs, self.runs) = (0.0, 0.0, 0);
    }

    /// Adds a request in flight to the used memory.
    pub fn count(&mut self, request: &InFlight) {
        self.used += match request.stage {
            Stage::Queued => self.queued_memory(request),
            Stage::Replaying => request.input.memory,
            Stage::Running | Stage::InDoubt | Stage::AwaitingCall | Stage::Calling => {
                self.runs += 1;
                let memory = request.input.memory * self.run_factor;
                self.used_by_runs += memory;
                if request.stage == Stage::AwaitingCall && request.answered {
                    self.ending += memory;
                }
                memory
            }
        };
    }

    /// Returns the memory of the remembered keys of requests that have started.
    fn remembered_keys(&self) -> f64 {
        self.key_expiries.len() as f64 * self.key_memory
    }

    /// Compares the gauge, a fraction of the memory, with the memory counted in this round.
    pub fn read_gauge(&mut self, now: f64, fraction_in_use: f64) {
        let unaccounted = (fraction_in_use * self.capacity - self.used).max(0.0);
        self.unaccounted[self.next_reading] = unaccounted;
        self.gauge_read_at = now;
        self.next_reading = (self.next_reading + 1) % GAUGE_READINGS;
    }

    /// Returns the memory in use that is not counted in `used`.
    fn unaccounted(&self) -> f64 {
        self.unaccounted.iter().copied().fold(f64::MAX, f64::min)
    }

    /// Returns the memory in use as fractions: counted, and beyond that by the gauge.
    pub fn usage_text(&self) -> String {
        let (counted, beyond) = (self.used / self.capacity, self.unaccounted() / self.capacity);
        format!("memory {counted:.2} counted, {beyond:.2} more by the gauge")
    }

    /// Returns the memory in use.
    fn in_use(&self) -> f64 {
        self.used + self.unaccounted()
    }

    /// Updates the arrival rate at a control step, in which older arrivals decay by `decay`.
    pub fn update_arrival_rate(&mut self, decay: f64) {
        self.arrival_rate = self.arrival_rate * decay + self.arrived / RATE_TIME_CONSTANT_S;
        self.arrived = 0.0;
    }

    /// Records the time since the last round.
    pub fn observe_round(&mut self, now: f64, elapsed: f64) {
        if elapsed > STANDSTILL_S {
            self.last_standstill = Some(now);
        }
    }

    /// Decides whether memory is kept free for arrivals: while runs pile up at a dependency out of reach, and
    /// where the process has stood still of late.
    pub fn update_reserve(&mut self, now: f64, is_out_of_reach: bool) {
        let stood_still = self.last_standstill.is_some_and(|at| now - at < STANDSTILL_MEMORY_S);
        self.has_reserve = is_out_of_reach || stood_still;
    }

    /// Returns the memory above which the queue is shed. Arrivals of `ARRIVAL_RESERVE_S` find room above it if
    /// memory is kept for them.
    fn queue_limit(&self) -> f64 {
        if !self.has_reserve {
            return MAX_QUEUE_MEMORY_FRACTION * self.capacity;
        }
        let without_keys = self.capacity - self.remembered_keys();
        let reserve =
            (ARRIVAL_RESERVE_S * self.arrival_rate).min(MAX_ARRIVAL_RESERVE_FRACTION * without_keys);
        (MAX_QUEUE_MEMORY_FRACTION * self.capacity).min(self.capacity - reserve)
    }

    /// Returns the memory up to which runs start.
    fn run_start_limit(&self) -> f64 {
        self.queue_limit() - QUEUE_MEMORY_FRACTION * self.capacity
    }

    fn queued_memory(&self, request: &InFlight) -> f64 {
        request.input.memory + if request.key_expires_at.is_some() { self.key_memory } else { 0.0 }
    }

    /// Adds the memory of an arrived request.
    pub fn add(&mut self, memory: f64) {
        self.used += memory;
        self.arrived += memory;
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
        self.used + self.key_memory <= MAX_QUEUE_MEMORY_FRACTION * self.capacity
            && key_memory_used <= MAX_KEY_MEMORY_FRACTION * self.capacity
    }

    /// Returns whether the queue must be shed.
    pub fn is_over(&self) -> bool {
        self.in_use() > self.queue_limit()
    }

    /// Returns whether the memory runs out, beyond what will be free once answered runs have ended.
    pub fn is_nearly_exhausted(&self) -> bool {
        self.in_use() - self.ending > MAX_QUEUE_MEMORY_FRACTION * self.capacity
    }

    /// Returns whether runs hold more memory than they may since arrivals need more of it.
    pub fn do_runs_exceed_limit(&self) -> bool {
        self.used_by_runs + self.unaccounted() - self.ending > self.run_start_limit()
    }

    /// Accounts for an answered request that holds no memory any more, or will not once its run has ended.
    pub fn expect_end(&mut self, request: &InFlight) {
        match request.stage {
            Stage::AwaitingCall => self.ending += request.input.memory * self.run_factor,
            _ => self.used -= request.input.memory,
        }
    }

    /// Returns whether a queued request would exceed the memory for runs once it runs. While nothing runs, it
    /// may take what the queue may: no run will end to make room for it.
    pub fn is_too_full_to_run(&self, request: &InFlight) -> bool {
        let limit = if self.has_runs() { self.run_start_limit() } else { self.queue_limit() };
        self.in_use() + self.run_growth(request) > limit
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
        self.used_by_runs += request.input.memory * self.run_factor;
        self.used += self.run_growth(request);
    }
}
