//! All that the policy knows: its settings, the requests in flight, and what each guard has learned.

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

/// After the notice to drain.
#[derive(Clone, Copy)]
pub(super) struct Drain {
    /// Requests that arrive later must not run.
    pub admit_until: f64,
    /// All requests are answered by then.
    pub answer_by: f64,
}

/// The policy of one server, for as long as its process lives.
pub struct AdmissionPolicy {
    pub(super) settings: PolicySettings,
    /// Callers that send here, at least one.
    pub(super) callers: f64,
    pub(super) classes: Vec<ClassState>,
    pub(super) quotas: Vec<QuotaBucket>,

    /// Requests in flight, by place.
    pub(super) requests: Slab<InFlight>,
    pub(super) index_by_id: HashMap<u32, usize>,
    /// Places of those that are queued.
    pub(super) queue: Vec<usize>,
    /// Requests on the cores, and those with a downstream call open.
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
    /// Runs that end, a second.
    pub(super) completion_rate: f64,
}

impl AdmissionPolicy {
    /// A policy for a process that has just started. `seed` feeds what the policy draws at random.
    ///
    /// # Panics
    ///
    /// If the settings hold no request class, which [`PolicySettings::validate`] excludes.
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

    /// Whether runs can be taken off the cores.
    pub(super) fn is_preemptible(&self) -> bool {
        self.settings.preemption != Preemption::Never
    }

    /// Drops a request that is no longer in flight. One that never ran leaves no idempotency key behind.
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

    /// How many more may run or call.
    pub(super) fn concurrency_headroom(&self, now: f64) -> f64 {
        concurrency::headroom_with_calls(
            self.warm_up.sustainable_concurrency(now),
            self.running + self.calling,
        )
    }

    /// How many more a cold server may have in flight, queued and run. Guards against all callers finding it
    /// at once, each of which knows only what it sends itself.
    pub(super) fn in_flight_headroom(&self, now: f64) -> f64 {
        self.warm_up.in_flight_limit(now) - (self.queue.len() + self.running + self.calling) as f64
    }
}
