//! Seeded rounds through the policy, with a hash over every decision it writes.
//!
//! The figures at the end of this file were taken from the policy as it was before its source was divided and
//! renamed. A change that is meant to leave the decisions alone leaves them bit for bit the same, so the hashes
//! cover the bits of every number. They change only with a change of the mechanism, which says so. (The policy
//! takes `exp` and `sqrt` from the platform: a host whose `exp` rounds otherwise may get other bits, too.)

use puffinladder::*;
use std::collections::{BTreeMap, BTreeSet};

const STEP: f64 = 0.004;
const STEPS: u32 = 6_000;
const START: f64 = 1_000.0;

/// SplitMix64: the tests' own source of numbers, the same on every machine.
struct Numbers(u64);

impl Numbers {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }
    fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }
    fn one_in(&mut self, bound: u64) -> bool {
        self.below(bound) == 0
    }
    /// From 0 to under 1, in steps of a 1024th.
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

/// Carries out what the policy decides, and hashes it (FNV-1a, 64 bits).
struct Recorder {
    hash: u64,
    counts: [u32; 15],
    now: f64,
    numbers: Numbers,
    slow: f64,
    open: BTreeMap<u32, State>,
    keys: Vec<u32>,
    wake_at: f64,
    reasons: BTreeSet<&'static str>,
}

impl Recorder {
    fn byte(&mut self, byte: u8) {
        self.hash = (self.hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    fn put(&mut self, kind: u8, id: u32, numbers: &[f64], text: &[u8]) {
        self.counts[usize::from(kind)] += 1;
        self.byte(kind);
        id.to_le_bytes().into_iter().for_each(|byte| self.byte(byte));
        for number in numbers {
            number.to_bits().to_le_bytes().into_iter().for_each(|byte| self.byte(byte));
        }
        text.iter().for_each(|byte| self.byte(*byte));
    }
    fn work(&mut self) -> f64 {
        self.slow * (0.004 + 0.06 * self.numbers.fraction() * self.numbers.fraction())
    }
}

impl Decisions for Recorder {
    fn run(&mut self, id: u32) {
        self.put(0, id, &[], &[]);
        let (until, calls) = (self.now + self.work(), self.numbers.one_in(3));
        self.open.insert(id, State::Running { until, calls });
    }
    fn reject(&mut self, id: u32, retry_after: f64, last: bool, reason: Reason) {
        self.reasons.insert(reason.text());
        self.put(1, id, &[retry_after], &[last.into(), reason.code()]);
        self.open.remove(&id);
    }
    fn fail(&mut self, id: u32, reason: Reason) {
        self.reasons.insert(reason.text());
        self.put(2, id, &[], &[reason.code()]);
        if let Some(State::AwaitingCall { .. } | State::Running { .. }) = self.open.get(&id) {
            let until = self.now + 0.05;
            self.open.insert(id, State::Running { until, calls: false });
        } else if let Some(State::Replaying { .. }) = self.open.get(&id) {
            self.open.remove(&id);
        }
    }
    fn preempt(&mut self, id: u32) {
        self.put(3, id, &[], &[]);
        self.open.insert(id, State::Running { until: self.now, calls: false });
    }
    fn allow_call(&mut self, id: u32, limit: f64) {
        self.put(4, id, &[limit], &[]);
        let span = self.slow * (0.01 + 0.03 * self.numbers.fraction());
        let Some(State::AwaitingCall { work_left }) = self.open.get(&id).copied() else {
            panic!("{id} is at no call")
        };
        self.open.insert(id, State::Calling { until: self.now + span.min(limit), work_left });
    }
    fn skip_call(&mut self, id: u32) {
        self.put(5, id, &[], &[]);
        self.open.insert(id, State::Running { until: self.now + 0.002, calls: false });
    }
    fn remember_key(&mut self, id: u32, span: f64) {
        self.put(6, id, &[span], &[]);
        self.keys.push(id);
    }
    fn forget_key(&mut self, id: u32) {
        self.put(7, id, &[], &[]);
        self.keys.retain(|key| *key != id);
    }
    fn replay_result(&mut self, id: u32) {
        self.put(8, id, &[], &[]);
        self.open.insert(id, State::Replaying { until: self.now + 0.02 });
    }
    fn set_health(&mut self, good: bool, stored: bool) {
        self.put(9, 0, &[], &[good.into(), stored.into()]);
    }
    fn set_load_signal(&mut self, amount: f64) {
        self.put(10, 0, &[amount], &[]);
    }
    fn set_keepalive(&mut self, span: f64) {
        self.put(11, 0, &[span], &[]);
    }
    fn schedule_tick(&mut self, after: f64) {
        self.put(12, 0, &[after], &[]);
        self.wake_at = self.now + after;
    }
    fn record_limits(&mut self, runs: f64, calls: f64, pressure: f64) {
        self.put(13, 0, &[runs, calls, pressure], &[]);
    }
    fn log(&mut self, _text: &str) {
        self.put(14, 0, &[], &[]); // the wording is the log's
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

fn base() -> PolicySettings {
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

/// Plays [`STEPS`] steps and returns what was recorded.
fn play(settings: &PolicySettings, seed: u64) -> Recorder {
    settings.validate().expect("the settings is sound");
    let mut policy = AdmissionPolicy::new(settings, seed);
    let mut host = Recorder {
        hash: 0xcbf2_9ce4_8422_2325,
        counts: [0; 15],
        now: START,
        numbers: Numbers(seed),
        slow: 1.0,
        open: BTreeMap::new(),
        keys: Vec::new(),
        wake_at: START,
        reasons: BTreeSet::new(),
    };
    let mut input = RoundInput::default();
    let (mut next, mut busy) = (1u32, 0.0);
    for step in 0..STEPS {
        host.now = START + f64::from(step) * STEP;
        let now = host.now;
        host.slow = if (2_500..2_900).contains(&step) { 12.0 } else { 1.0 };
        let flood = (1_000..1_800).contains(&step);
        due(&mut host, &mut input);
        for _ in 0..host.numbers.below(if flood { 4 } else { 2 }) {
            let request = arrival(&mut host, next, flood);
            host.open.insert(next, State::Queued);
            input.arrivals.push(request);
            next += 1;
        }
        give_up_early(&mut host, &mut input);
        if step == STEPS - 500 {
            input.drain_deadline = Some(now + 1.2);
        }
        let running =
            host.open.values().filter(|state| matches!(state, State::Running { .. })).count() as f64;
        busy += 0.1 * ((running / settings.cores).min(1.0) - busy);
        if now >= host.wake_at {
            let sockets = Some(if flood { 60.0 } else { 5.0 });
            input.tick = Some(Gauges { busy: Some(busy), runnable: Some(running), memory: None, sockets });
        }
        policy.decide(&input.round(now), &mut host);
        input.clear();
    }
    host
}

/// Enters what ends, reaches its call or comes back from it now.
fn due(host: &mut Recorder, input: &mut RoundInput) {
    let now = host.now;
    let open: Vec<(u32, State)> = host.open.iter().map(|(id, state)| (*id, *state)).collect();
    for (id, state) in open {
        match state {
            State::Running { until, calls: true } if until <= now => {
                input.awaiting_call.push(id);
                let work_left = host.work();
                host.open.insert(id, State::AwaitingCall { work_left });
            }
            State::Running { until, calls: false } if until <= now => {
                let outcome = if host.numbers.one_in(40) { Outcome::Failed } else { Outcome::Completed };
                input.finished_runs.push(Completion { id, outcome, duration: 0.01 });
                host.open.remove(&id);
            }
            State::Replaying { until } if until <= now => {
                input.finished_runs.push(Completion { id, outcome: Outcome::Completed, duration: 0.02 });
                host.open.remove(&id);
            }
            State::Calling { until, work_left } if until <= now => {
                let outcome = match host.numbers.below(24) {
                    0 => Outcome::Failed,
                    1 => Outcome::Rejected,
                    2 => Outcome::TimedOut,
                    3 => Outcome::Unreachable,
                    4 => Outcome::ConnectionLost,
                    _ => Outcome::Completed,
                };
                let took = 0.01 + 0.03 * host.numbers.fraction();
                input.finished_calls.push(Completion { id, outcome, duration: took });
                let state = if outcome == Outcome::Completed {
                    State::Running { until: now + work_left, calls: false }
                } else {
                    State::AwaitingCall { work_left }
                };
                host.open.insert(id, state);
            }
            _ => {}
        }
    }
}

fn arrival(host: &mut Recorder, id: u32, flood: bool) -> Request {
    let numbers = &mut host.numbers;
    let class = numbers.below(4) as usize;
    let is_retry = numbers.one_in(if flood { 4 } else { 20 });
    let earlier_attempt = match host.keys.last() {
        Some(key) if is_retry && class == 2 => *key,
        _ => 0,
    };
    Request {
        id,
        class,
        tenant: numbers.below(3) as usize,
        deadline: if numbers.one_in(5) { host.now + 0.1 + 0.5 * numbers.fraction() } else { 0.0 },
        cost_hint: if numbers.one_in(2) { 0.004 + 0.06 * numbers.fraction() } else { 0.0 },
        memory: if flood { 40.0 } else { 10.0 } + 30.0 * numbers.fraction(),
        rank: numbers.fraction(),
        caller: numbers.below(12) as u32,
        is_retry,
        time_unread: 0.05 * numbers.fraction(),
        earlier_attempt,
    }
}

/// Now and then a caller gives up, or several lose their connection at once.
fn give_up_early(host: &mut Recorder, input: &mut RoundInput) {
    if !host.numbers.one_in(10) {
        return;
    }
    let alone = host.numbers.one_in(2);
    let ids: Vec<u32> = host.open.keys().copied().take(if alone { 1 } else { 3 }).collect();
    for id in ids {
        input.abandoned.push(id);
        if let Some(State::Queued | State::Replaying { .. }) = host.open.get(&id) {
            host.open.remove(&id);
        }
    }
}

/// What was written in all cases together.
#[derive(Default)]
struct Seen {
    counts: [u32; 15],
    reasons: BTreeSet<&'static str>,
}

fn check(name: &str, settings: &PolicySettings, golden: &[u64; 3], seen: &mut Seen) {
    let hash = |seed| {
        let host = play(settings, seed);
        seen.counts.iter_mut().zip(host.counts).for_each(|(sum, count)| *sum += count);
        seen.reasons.extend(host.reasons);
        host.hash
    };
    let text = |hash: u64| format!("{hash:#018x}");
    assert_eq!([1, 77, 0xdead_beef].map(hash).map(text), golden.map(text), "{name}");
}

#[test]
fn the_decisions_are_those_of_the_recorded_rounds() {
    let cases: [(&str, PolicySettings, [u64; 3]); 8] = [
        (
            "level, shared dependency",
            base(),
            [0x8395_1f7e_8dcf_22df, 0x98e4_14d4_93fb_670d, 0xaf6f_1d76_5289_eac6],
        ),
        (
            "tokens, cold, pauses",
            PolicySettings {
                load_signal: LoadSignal::Tokens,
                starts_cold: true,
                preemption: Preemption::Suspend,
                ..base()
            },
            [0x40ab_aa43_d3fa_8ef9, 0xb832_7402_f613_1268, 0xc0f0_8828_c929_6db1],
        ),
        (
            "bias, cold, drops, next tier",
            PolicySettings {
                load_signal: LoadSignal::SelectionBias,
                starts_cold: true,
                preemption: Preemption::Discard,
                downstream: Downstream::NextTier,
                ..base()
            },
            [0xb7ee_f027_19ce_19fa, 0xe9ec_fe3b_c5a3_c3cf, 0x24fe_8941_376f_68ed],
        ),
        (
            "silent, value by request, list does not follow",
            PolicySettings {
                load_signal: LoadSignal::None,
                weight_per_work: false,
                endpoints_follow_health: false,
                ..base()
            },
            [0xb505_fdbe_3afc_79e7, 0x5831_1ec5_39a5_a8b3, 0xe8ff_e2c5_aba8_b615],
        ),
        (
            "a share of calls under one",
            PolicySettings { call_concurrency_share: 0.4, tenants: vec![], ..base() },
            [0x624d_cb81_93aa_c90f, 0x3083_3a28_78d7_fc04, 0x763c_1960_8819_2e38],
        ),
        (
            "little memory",
            PolicySettings { memory: 700.0, key_memory: 25.0, ..base() },
            [0x0e66_9f67_4410_12b1, 0x562f_1166_5d99_d09a, 0xb8ef_93bc_3abd_0b36],
        ),
        (
            "no calls, tokens, one core",
            PolicySettings {
                downstream: Downstream::None,
                cores: 1.0,
                load_signal: LoadSignal::Tokens,
                ..base()
            },
            [0x2cca_87a2_0f99_82ed, 0x890c_90c4_dad2_72e7, 0xa27e_7dd3_27f7_062f],
        ),
        ("short SLA times", short(), [0xa2a8_7e7c_ba95_2ec7, 0x2e66_aa18_9d7e_fbfa, 0x19a9_3c0f_902e_5e89]),
    ];
    let mut seen = Seen::default();
    for (name, settings, golden) in cases {
        check(name, &settings, &golden, &mut seen);
    }
    // Every kind of decision and each of the policy's reasons is among them, or the hashes say nothing of it.
    assert!(seen.counts.iter().all(|count| *count > 0), "{:?}", seen.counts);
    let reasons = ["cold", "due", "leaving", "memory", "no call", "no key room", "no time", "waited"];
    assert!(seen.reasons.iter().eq(&reasons), "{:?}", seen.reasons);
}

fn short() -> PolicySettings {
    let mut settings = base();
    for class in &mut settings.classes {
        (class.latency_objective, class.timeout) = (0.08, 0.3);
    }
    settings
}
