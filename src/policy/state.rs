//! State of the admission policy: settings, requests in flight and adaptive limits.

use super::call_window::CallWindow;
use super::concurrency::{self, ConcurrencyLimit};
use super::estimates::{self, CallerAbandonment, ClassState, HintRegression};
use super::health::{Health, Keepalive, Slowdown};
use super::in_flight::{InFlight, Stage};
use super::memory::MemoryBudget;
use super::pressure::Pressure;
use super::quota::QuotaBucket;
use super::retry_advice::{RejectionLog, RetryAdvice};
use super::warm_up::WarmUp;
use crate::{Decisions, PolicySettings, Preemption};
use slab::Slab;
use std::collections::HashMap;

/// Limits that apply after the notice to drain.
#[derive(Clone, Copy)]
pub(super) struct Drain {
    /// Requests that arrive later must not run.
    pub admit_until: f64,
    /// When every request must be answered.
    pub answer_by: f64,
}

/// Admission policy of one server process.
pub struct AdmissionPolicy {
    pub(super) settings: PolicySettings,
    /// Callers of this server, at least one.
    pub(super) callers: f64,
    pub(super) classes: Vec<ClassState>,
    pub(super) quotas: Vec<QuotaBucket>,

    pub(super) requests: Slab<InFlight>,
    pub(super) index_by_id: HashMap<u32, usize>,
    /// Indices of the queued requests.
    pub(super) queue: Vec<usize>,
    /// Number of requests that hold a run slot.
    pub(super) running: usize,
    /// Number of requests with an open downstream call.
    pub(super) calling: usize,

    pub(super) memory: MemoryBudget,
    pub(super) hint_regression: HintRegression,
    pub(super) abandonment: CallerAbandonment,
    pub(super) concurrency_limit: ConcurrencyLimit,
    pub(super) call_window: CallWindow,
    pub(super) warm_up: WarmUp,
    pub(super) pressure: Pressure,
    pub(super) slowdown: Slowdown,
    pub(super) health: Health,
    pub(super) keepalive: Keepalive,
    pub(super) retry_advice: RetryAdvice,
    pub(super) rejections: RejectionLog,

    pub(super) drain: Option<Drain>,
    pub(super) last_round: f64,
    pub(super) last_control_step: f64,
    /// Moving average of runs that end, per second.
    pub(super) completion_rate: f64,
}

impl AdmissionPolicy {
    /// Creates the policy of a new process. `seed` seeds its random numbers.
    ///
    /// # Panics
    ///
    /// If the settings hold no request class, which [`PolicySettings::validate`] rejects.
    pub fn new(settings: &PolicySettings, seed: u64) -> AdmissionPolicy {
        AdmissionPolicy {
            settings: settings.clone(),
            callers: settings.callers.max(1.0),
            classes: estimates::class_states(&settings.classes),
            quotas: settings
                .tenants
                .iter()
                .map(|tenant| QuotaBucket::new(tenant, settings.servers))
                .collect(),
            requests: Slab::new(),
            index_by_id: HashMap::new(),
            queue: Vec::new(),
            running: 0,
            calling: 0,
            memory: MemoryBudget::new(settings),
            hint_regression: HintRegression::default(),
            abandonment: CallerAbandonment::default(),
            concurrency_limit: ConcurrencyLimit::new(settings),
            call_window: CallWindow::new(settings),
            warm_up: WarmUp::new(settings),
            pressure: Pressure::new(settings),
            slowdown: Slowdown::default(),
            health: Health::default(),
            keepalive: Keepalive::new(settings),
            retry_advice: RetryAdvice::new(settings, seed),
            rejections: RejectionLog::default(),
            drain: None,
            last_round: 0.0,
            last_control_step: 0.0,
            completion_rate: 0.0,
        }
    }

    /// Returns whether running requests can be preempted.
    pub(super) fn is_preemptible(&self) -> bool {
        self.settings.preemption != Preemption::Never
    }

    /// Removes a request from the in-flight state. Forgets the idempotency key of one that never ran.
    pub(super) fn remove(&mut self, index: usize, decisions: &mut impl Decisions) -> InFlight {
        let request = self.requests.remove(index);
        self.index_by_id.remove(&request.input.id);
        if request.stage == Stage::Queued {
            self.memory.release_queued(&request);
            self.queue.retain(|queued| *queued != index);
            if request.key_expires_at.is_some() {
                decisions.forget_key(request.input.id);
            }
        }
        request
    }

    /// Returns how many more requests may run or call.
    pub(super) fn concurrency_headroom(&self, now: f64) -> f64 {
        concurrency::headroom_with_calls(
            self.warm_up.sustainable_concurrency(now),
            self.running + self.calling,
        )
    }

    /// Returns how many more requests a warming server may have in flight, queued ones and runs that wait
    /// for a call included. Limits the burst when all callers discover a new server at once.
    pub(super) fn in_flight_headroom(&self, now: f64) -> f64 {
        let runs = if self.call_window.is_out_of_reach(now) {
            self.memory.runs()
        } else {
            self.running + self.calling
        };
        self.warm_up.in_flight_limit(now) - (self.queue.len() + runs) as f64
    }
}
