//! Replays seeded rounds through the policy and compares a hash of all its decisions with recorded hashes.
//!
//! The hashes cover the bits of every number and change only when the mechanism changes. The policy uses
//! the platform's `exp`, so that a platform with another rounding of `exp` may produce other hashes.

use puffinladder::*;
use std::collections::{BTreeMap, BTreeSet};

const STEP_S: f64 = 0.004;
const STEPS: u32 = 6_000;
const START_S: f64 = 1_000.0;

/// SplitMix64 random number generator, identical on all platforms.
struct SplitMix64(u64);

impl SplitMix64 {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
    fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }
    fn one_in(&mut self, bound: u64) -> bool {
        self.below(bound) == 0
    }
    /// Returns a multiple of 1/1024 in [0, 1).
    fn fraction(&mut self) -> f64 {
        self.below(1024) as f64 / 1024.0
    }
}

#[derive(Clone, Copy, PartialEq)]
enum State {
    Queued,
    Running { until: f64, calls: bool },
    AwaitingCall { work_left: f64 },
    Calling { until: f64, work_left: f64 },
    Replaying { until: f64 },
}

/// Host that carries out the decisions and hashes them with 64-bit FNV-1a.
struct Recorder {
    hash: u64,
    counts: [u32; 15],
    now: f64,
    random: SplitMix64,
    slowdown: f64,
    open: BTreeMap<u32, State>,
    keys: Vec<u32>,
    tick_at: f64,
    reasons: BTreeSet<&'static str>,
}

impl Recorder {
    fn hash_byte(&mut self, byte: u8) {
        self.hash = (self.hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    fn record(&mut self, code: u8, id: u32, values: &[f64], text: &[u8]) {
        self.counts[usize::from(code)] += 1;
        self.hash_byte(code);
        id.to_le_bytes().into_iter().for_each(|byte| self.hash_byte(byte));
        for value in values {
            value.to_bits().to_le_bytes().into_iter().for_each(|byte| self.hash_byte(byte));
        }
        text.iter().for_each(|byte| self.hash_byte(*byte));
    }
    fn random_work(&mut self) -> f64 {
        self.slowdown * (0.004 + 0.06 * self.random.fraction() * self.random.fraction())
    }
}

impl Decisions for Recorder {
    fn run(&mut self, id: u32) {
        self.record(0, id, &[], &[]);
        let (until, calls) = (self.now + self.random_work(), self.random.one_in(3));
        self.open.insert(id, State::Running { until, calls });
    }
    fn reject(&mut self, id: u32, retry_after: f64, do_not_forward: bool, reason: Reason) {
        self.reasons.insert(reason.text());
        self.record(1, id, &[retry_after], &[do_not_forward.into(), reason.code()]);
        self.open.remove(&id);
    }
    fn fail(&mut self, id: u32, reason: Reason) {
        self.reasons.insert(reason.text());
        self.record(2, id, &[], &[reason.code()]);
        if let Some(State::AwaitingCall { .. } | State::Running { .. }) = self.open.get(&id) {
            let until = self.now + 0.05;
            self.open.insert(id, State::Running { until, calls: false });
        } else if let Some(State::Replaying { .. }) = self.open.get(&id) {
            self.open.remove(&id);
        }
    }
    fn preempt(&mut self, id: u32) {
        self.record(3, id, &[], &[]);
        self.open.insert(id, State::Running { until: self.now, calls: false });
    }
    fn allow_call(&mut self, id: u32, timeout: f64) {
        self.record(4, id, &[timeout], &[]);
        let duration = self.slowdown * (0.01 + 0.03 * self.random.fraction());
        let Some(State::AwaitingCall { work_left }) = self.open.get(&id).copied() else {
            panic!("request {id} is not awaiting a call")
        };
        self.open.insert(id, State::Calling { until: self.now + duration.min(timeout), work_left });
    }
    fn skip_call(&mut self, id: u32) {
        self.record(5, id, &[], &[]);
        self.open.insert(id, State::Running { until: self.now + 0.002, calls: false });
    }
    fn remember_key(&mut self, id: u32, duration: f64) {
        self.record(6, id, &[duration], &[]);
        self.keys.push(id);
    }
    fn forget_key(&mut self, id: u32) {
        self.record(7, id, &[], &[]);
        self.keys.retain(|key| *key != id);
    }
    fn replay_result(&mut self, id: u32) {
        self.record(8, id, &[], &[]);
        self.open.insert(id, State::Replaying { until: self.now + 0.02 });
    }
    fn set_health(&mut self, is_healthy: bool, is_cacheable: bool) {
        self.record(9, 0, &[], &[is_healthy.into(), is_cacheable.into()]);
    }
    fn set_load_signal(&mut self, signal: f64) {
        self.record(10, 0, &[signal], &[]);
    }
    fn set_keepalive(&mut self, timeout: f64) {
        self.record(11, 0, &[timeout], &[]);
    }
    fn schedule_tick(&mut self, delay: f64) {
        self.record(12, 0, &[delay], &[]);
        self.tick_at = self.now + delay;
    }
    fn record_limits(&mut self, runs: f64, calls: f64, pressure: f64) {
        self.record(13, 0, &[runs, calls, pressure], &[]);
    }
    fn log(&mut self, _text: &str) {
        self.record(14, 0, &[], &[]); // log texts may change
    }
}

fn class(priority_weight: f64, idempotency: Idempotency, degraded_weight_fraction: f64) -> RequestClass {
    RequestClass {
        latency_objective: 0.25,
        objective_stretch: 0.5,
        timeout: 1.0,
        priority_weight,
        late_weight_fraction: 0.3,
        idempotency,
        dedup_window: 3.0,
        makes_calls: true,
        degraded_weight_fraction,
    }
}

fn base_settings() -> PolicySettings {
    PolicySettings {
        servers: 3.0,
        callers: 12.0,
        cores: 4.0,
        memory: 6_000.0,
        running_memory_factor: 3.0,
        key_memory: 2.0,
        classes: vec![
            class(4.0, Idempotency::Idempotent, 0.5),
            class(1.0, Idempotency::Idempotent, 0.0),
            class(3.0, Idempotency::Keyed, 0.0),
            class(2.5, Idempotency::NonIdempotent, 0.25),
        ],
        tenants: vec![Tenant { quota: 120.0 }, Tenant { quota: 400.0 }, Tenant { quota: 30.0 }],
        over_quota_fraction: 0.1,
        weight_per_work: true,
        downstream: Downstream::SharedDependency,
        call_concurrency_share: 6.0,
        call_averaging_window: 2.0,
        abandoned_call_linger: 0.2,
        preemption: Preemption::Never,
        load_signal: LoadSignal::MinimumRank,
        endpoints_follow_health: true,
        starts_cold: false,
        cold_capacity_fraction: 0.2,
        warm_up_duration: 6.0,
        overload_multiple: 4.0,
        overload_window: 1.0,
        drain_grace: 0.5,
        max_retry_after: 2.0,
        idle_timeout: 20.0,
    }
}

/// Plays [`STEPS`] steps and returns the recorder.
fn play(settings: &PolicySettings, seed: u64) -> Recorder {
    settings.validate().expect("settings are valid");
    let mut policy = AdmissionPolicy::new(settings, seed);
    let mut recorder = Recorder {
        hash: 0xcbf2_9ce4_8422_2325,
        counts: [0; 15],
        now: START_S,
        random: SplitMix64(seed),
        slowdown: 1.0,
        open: BTreeMap::new(),
        keys: Vec::new(),
        tick_at: START_S,
        reasons: BTreeSet::new(),
    };
    let mut input = RoundInput::default();
    let (mut next_id, mut busy) = (1u32, 0.0);
    for step in 0..STEPS {
        recorder.now = START_S + f64::from(step) * STEP_S;
        let now = recorder.now;
        recorder.slowdown = if (2_500..2_900).contains(&step) { 12.0 } else { 1.0 };
        let flood = (1_000..1_800).contains(&step);
        finish_due_work(&mut recorder, &mut input);
        for _ in 0..recorder.random.below(if flood { 4 } else { 2 }) {
            let request = arrival(&mut recorder, next_id, flood);
            recorder.open.insert(next_id, State::Queued);
            input.arrivals.push(request);
            next_id += 1;
        }
        abandon_some(&mut recorder, &mut input);
        if step == STEPS - 500 {
            input.drain_deadline = Some(now + 1.2);
        }
        let running =
            recorder.open.values().filter(|state| matches!(state, State::Running { .. })).count() as f64;
        busy += 0.1 * ((running / settings.cores).min(1.0) - busy);
        if now >= recorder.tick_at {
            let sockets = Some(if flood { 60.0 } else { 5.0 });
            input.tick = Some(Gauges { busy: Some(busy), runnable: Some(running), memory: None, sockets });
        }
        policy.decide(&input.round(now), &mut recorder);
        input.clear();
    }
    recorder
}

/// Adds the runs, calls and replays that end or reach their call at the present time.
fn finish_due_work(recorder: &mut Recorder, input: &mut RoundInput) {
    let now = recorder.now;
    let open: Vec<(u32, State)> = recorder.open.iter().map(|(id, state)| (*id, *state)).collect();
    for (id, state) in open {
        match state {
            State::Running { until, calls: true } if until <= now => {
                input.awaiting_call.push(id);
                let work_left = recorder.random_work();
                recorder.open.insert(id, State::AwaitingCall { work_left });
            }
            State::Running { until, calls: false } if until <= now => {
                let outcome = if recorder.random.one_in(40) { Outcome::Failed } else { Outcome::Completed };
                input.finished_runs.push(Completion { id, outcome, duration: 0.01 });
                recorder.open.remove(&id);
            }
            State::Replaying { until } if until <= now => {
                input.finished_runs.push(Completion { id, outcome: Outcome::Completed, duration: 0.02 });
                recorder.open.remove(&id);
            }
            State::Calling { until, work_left } if until <= now => {
                let outcome = match recorder.random.below(24) {
                    0 => Outcome::Failed,
                    1 => Outcome::Rejected,
                    2 => Outcome::TimedOut,
                    3 => Outcome::Unreachable,
                    4 => Outcome::ConnectionLost,
                    _ => Outcome::Completed,
                };
                let duration = 0.01 + 0.03 * recorder.random.fraction();
                input.finished_calls.push(Completion { id, outcome, duration });
                let state = if outcome == Outcome::Completed {
                    State::Running { until: now + work_left, calls: false }
                } else {
                    State::AwaitingCall { work_left }
                };
                recorder.open.insert(id, state);
            }
            _ => {}
        }
    }
}

fn arrival(recorder: &mut Recorder, id: u32, flood: bool) -> Request {
    let random = &mut recorder.random;
    let class = random.below(4) as usize;
    let is_retry = random.one_in(if flood { 4 } else { 20 });
    let earlier_attempt = match recorder.keys.last() {
        Some(key) if is_retry && class == 2 => *key,
        _ => 0,
    };
    Request {
        id,
        class,
        tenant: random.below(3) as usize,
        deadline: if random.one_in(5) { recorder.now + 0.1 + 0.5 * random.fraction() } else { 0.0 },
        cost_hint: if random.one_in(2) { 0.004 + 0.06 * random.fraction() } else { 0.0 },
        memory: if flood { 40.0 } else { 10.0 } + 30.0 * random.fraction(),
        rank: random.fraction(),
        caller: random.below(12) as u32,
        is_retry,
        time_unread: 0.05 * random.fraction(),
        earlier_attempt,
    }
}

/// Abandons a request now and then, or several at once as after a lost connection.
fn abandon_some(recorder: &mut Recorder, input: &mut RoundInput) {
    if !recorder.random.one_in(10) {
        return;
    }
    let is_single = recorder.random.one_in(2);
    let ids: Vec<u32> = recorder.open.keys().copied().take(if is_single { 1 } else { 3 }).collect();
    for id in ids {
        input.abandoned.push(id);
        if let Some(State::Queued | State::Replaying { .. }) = recorder.open.get(&id) {
            recorder.open.remove(&id);
        }
    }
}

/// Decision counts and reasons of all cases.
#[derive(Default)]
struct Coverage {
    counts: [u32; 15],
    reasons: BTreeSet<&'static str>,
}

fn check(name: &str, settings: &PolicySettings, expected_hashes: &[u64; 3], coverage: &mut Coverage) {
    let hash = |seed| {
        let recorder = play(settings, seed);
        coverage.counts.iter_mut().zip(recorder.counts).for_each(|(sum, count)| *sum += count);
        coverage.reasons.extend(recorder.reasons);
        recorder.hash
    };
    let text = |hash: u64| format!("{hash:#018x}");
    assert_eq!([1, 77, 0xdead_beef].map(hash).map(text), expected_hashes.map(text), "{name}");
}

#[test]
fn decisions_match_recorded_hashes() {
    let cases: [(&str, PolicySettings, [u64; 3]); 8] = [
        (
            "minimum rank, shared dependency",
            base_settings(),
            [0x8395_1f7e_8dcf_22df, 0x98e4_14d4_93fb_670d, 0xaf6f_1d76_5289_eac6],
        ),
        (
            "tokens, cold start, suspend",
            PolicySettings {
                load_signal: LoadSignal::Tokens,
                starts_cold: true,
                preemption: Preemption::Suspend,
                ..base_settings()
            },
            [0x4a54_1e76_b021_048d, 0xb832_7402_f613_1268, 0x2bdc_0331_de40_e8c3],
        ),
        (
            "selection bias, cold start, discard, next tier",
            PolicySettings {
                load_signal: LoadSignal::SelectionBias,
                starts_cold: true,
                preemption: Preemption::Discard,
                downstream: Downstream::NextTier,
                ..base_settings()
            },
            [0xb7ee_f027_19ce_19fa, 0xe9ec_fe3b_c5a3_c3cf, 0x24fe_8941_376f_68ed],
        ),
        (
            "no load signal, weight per request, endpoints ignore health",
            PolicySettings {
                load_signal: LoadSignal::None,
                weight_per_work: false,
                endpoints_follow_health: false,
                ..base_settings()
            },
            [0xb505_fdbe_3afc_79e7, 0x5831_1ec5_39a5_a8b3, 0xe8ff_e2c5_aba8_b615],
        ),
        (
            "call share below one",
            PolicySettings { call_concurrency_share: 0.4, tenants: vec![], ..base_settings() },
            [0xfe82_58b6_538f_134a, 0x3083_3a28_78d7_fc04, 0x4840_1e3d_1c34_d8ff],
        ),
        (
            "little memory",
            PolicySettings { memory: 700.0, key_memory: 25.0, ..base_settings() },
            [0x6b8b_4753_0aa0_947e, 0x88e2_799a_c29f_d48e, 0x4c62_0b79_461b_8fbc],
        ),
        (
            "no calls, tokens, one core",
            PolicySettings {
                downstream: Downstream::None,
                cores: 1.0,
                load_signal: LoadSignal::Tokens,
                ..base_settings()
            },
            [0x2cca_87a2_0f99_82ed, 0x890c_90c4_dad2_72e7, 0xa27e_7dd3_27f7_062f],
        ),
        (
            "short latency objectives",
            short_objectives(),
            [0xa2a8_7e7c_ba95_2ec7, 0x2e66_aa18_9d7e_fbfa, 0x19a9_3c0f_902e_5e89],
        ),
    ];
    let mut coverage = Coverage::default();
    for (name, settings, expected_hashes) in cases {
        check(name, &settings, &expected_hashes, &mut coverage);
    }
    // The cases cover every kind of decision and every reason of the policy.
    assert!(coverage.counts.iter().all(|count| *count > 0), "{:?}", coverage.counts);
    let reasons = ["cold", "due", "leaving", "memory", "no call", "no key room", "no time", "waited"];
    assert!(coverage.reasons.iter().eq(&reasons), "{:?}", coverage.reasons);
}

fn short_objectives() -> PolicySettings {
    let mut settings = base_settings();
    for class in &mut settings.classes {
        (class.latency_objective, class.timeout) = (0.08, 0.3);
    }
    settings
}
