//! All decisions of one server: what it takes, runs and turns away, and what it tells its callers.
//!
//! The host makes a `AdmissionPolicy::new(&charter, seed)` when the process comes up and calls
//! `brain.round(&round, &mut writer)` once a round with all that came in; the decisions go straight into the
//! writer. The types are in `interface.rs`; `docs/design.md` tells where the mechanism comes from.
//! A txn is stamped with its arrival (unread time counted) and held until a run slot frees. Then its wait is
//! judged against its product's threshold, and it runs or is declined. The rest guards the rules.

use crate::*;
use slab::Slab;
use std::cmp::Ordering;
use std::collections::{BTreeMap, HashMap, VecDeque};

// ---- constants, each with its unit and the reason for its size ----

const BEAT: f64 = 0.02; // s between looks at the hold: well under any SLA time, yet few timers
const STEP: f64 = 0.1; // s between steps of limit, signal and health: some runs end in it
const MARGIN: f64 = 0.05; // s before its due time at which an answer is forced: two beats and a round
const WAIT: f64 = 0.2; // share of the expiry to wait at most: the design page's fifth
const WAIT_LOW: f64 = 0.12; // the same for low value: tighter, yet over a tenth, so that it queues first
const WAIT_REPEAT: f64 = 0.04; // the same for repeats, the source's 10 of 250 ms: their time is mostly gone
const REPEAT: f64 = 0.3; // share of its worth at which a repeat is held: its SLA time began unseen
const LOW: f64 = 0.5; // share of the dearest product's value up to which a product is of low value
const FULL: f64 = 0.92; // share of the cores busy from which they count as full: the gauge lags and rounds
const RISE: f64 = 1.3; // rise of run time over base that the limit bears: reading beside runs makes as much
const SHRINK: f64 = 0.05; // share of the limit taken off a step: halved in a second or two
const GROW: f64 = 1.0; // runs put on a step while cores stand free: whole ones, since slots are few
const CEILING: f64 = 0.75; // share of the crowd survived that the limit may reach, waits for disk counted
const CEILING_ALL: f64 = 0.8; // the same for all that runs or may return from a call at any time
const RAM_RUN: f64 = 0.85; // share of the memory up to which runs start: leaves room for what arrives
const RAM_HOLD: f64 = 0.92; // share of the memory over which the hold is cut: a batch still fits above
const RAM_KEYS: f64 = 0.7; // share that remembered txns may fill: a few runs still fit beside them
const CALLS_TOP: f64 = 0.8; // share of the dependency's bearing, as told, that the window may reach
const CALLS_FROM: f64 = 0.25; // the same at the start: it slows down long before it falls
const CALLS_CORE: f64 = 8.0; // calls a core to a next tier: it decides for itself, this bounds a stuck one
const CALLS_LEAST: f64 = 0.5; // share of them always open: hung calls must not close the way to sound servers
const CALLS_MEAN: f64 = 0.3; // share of the dependency's span over which the mean is taken: it must not lag
const CALLS_CUT: f64 = 0.7; // share to which a failed or slow call cuts the window: a usual step
const CALLS_RISE: f64 = 2.5; // rise of a call's time over its base that counts as slow: past mere chance
const CALL_AGAIN: f64 = 0.025; // s before a call is asked again, doubled each try: a full tier has moved on
const CALL_LEFT: f64 = 0.5; // share of the SLA time left that a call which may be left out gets
const CALL_WAIT: f64 = 0.25; // share of the SLA time to wait for a call before it is left out
const NEW: f64 = 0.05; // weight of a new sample in a learned mean: about the last twenty count
const STRETCH_NEW: f64 = 0.1; // the same for the rise of run time: a slow machine is to be told in a second
const BASE_RUNS: f64 = 200.0; // runs over which a base is taken: longer than a trouble should count
const NEW_RUNS: f64 = 20.0; // runs before a base says anything: the first to end are the short ones
const SLOW: f64 = 4.0; // rise of run time from which the machine is slow: crowding alone stays under it
const SLOW_FOR: f64 = 0.15; // s for which it must look so: over one step, which may be chance
const SOUND: f64 = 2.5; // rise of run time up to which a crowded machine counts as sound
const OFF: f64 = 8.0; // s off the list for a slow machine: the list is seconds late, less isn't seen
const RATE_SPAN: f64 = 3.0; // s over which rates are taken, and after which what no run confirms fades
const QUOTA_SPAN: f64 = 1.0; // s of a quota that a bucket holds, and chance: bursts are over
const WALKING: f64 = 0.1; // share of repeats among arrivals from which the others count as full too
const TIGHT: f64 = 0.6; // share of its threshold waited from which the signal tightens; under half it loosens
const PRESS: f64 = 0.03; // pressure gained a step, full in three seconds: callers hear late; half is lost
const BIAS_CUT: f64 = 0.9; // share of its callers that a full server may have pass it over: some must test it
const RETRY_AFTER: f64 = 1.0; // s of Retry-After at the most, as in the design; SLA times bound it too
const RETRY_SOUND: f64 = 0.25; // mean share drawn by a sound server: callers neither go nor return together
const KEEP_TXNS: f64 = 4.0; // txns of its caller that a decline may keep away: a few, since it is one of many
const TOKEN_WAIT: f64 = 0.5; // share of the shortest wait for whose work tokens are given: the rest is unread
const IDLE_ROOM: f64 = 3.0; // times the room of a full server that idle ones offer: a burst must fit
const SOCKETS: f64 = 1.0; // open connections for each txn of the crowd survived: no more are ever at work
const KEEP_STEP: f64 = 0.1; // share by which the idle time moves a step: a tenfold change takes two seconds
const GOING: f64 = 0.5; // share of callers who went by their usual age, at which it is a limit: most go
const GOING_NEW: f64 = 0.2; // weight of a caller in that share: a small server sees one in a second or so
const USUAL: f64 = 0.33; // share of its SLA time that a sound run takes at most: SLOW times it is past that
const RAMP: f64 = 2.0; // standard deviations, and whole txns, over the crowd borne cold: the operators' ramp
const NOTE: f64 = 10.0; // s between notes

/// Terms of a product, and what its runs have taught.
#[derive(Default)]
struct Terms {
    told: RequestClass,
    wait: f64,
    /// s that a run of mean size takes outside its calls, of late, and at its best; s at its calls.
    takes: f64,
    base: f64,
    away: f64,
    runs: f64,
    hint: f64, // a mean of what ran, not of what came: callers may write there what they like
    seen: f64, // when one of its runs was last open
}

/// A customer here: this server's part of its quota, and a bucket that fills at that rate. A first try that
/// finds it empty is over the quota.
struct Account {
    quota: f64,
    bucket: f64,
    filled: f64,
}

impl Account {
    fn over(&mut self, now: f64, first: bool) -> bool {
        let most = QUOTA_SPAN * self.quota + self.quota.sqrt();
        self.bucket = (self.bucket + (now - self.filled) * self.quota).min(most);
        self.filled = now;
        let over = self.bucket < 1.0;
        self.bucket -= f64::from(u8::from(first && !over));
        over
    }
}

#[derive(Clone, Copy, Default, PartialEq, Eq)]
enum Stage {
    #[default]
    Held,
    Running,
    AtCall,
    Calling,
    Replaying,
}

#[derive(Default)]
struct Hand {
    news: Request, // as it was read
    arrived: f64,
    sla: f64,
    due: f64,
    size: f64,         // its hint over its product's mean
    kept: Option<f64>, // until when its key is remembered
    stage: Stage,
    answered: bool, // the answer is out, or nobody waits for it; the run goes on to its end
    begun: f64,     // moved on by the time it spent at calls
    at_call: f64,
    tries: u8,
    ask_at: f64,
    skipped: bool,
    over: bool, // its customer's quota, when it came
}

#[derive(Default)]
pub struct AdmissionPolicy {
    told: PolicySettings,
    products: Vec<Terms>,
    accounts: Vec<Account>,
    callers: f64,
    run_factor: f64,
    crowd: f64,
    cold_share: f64,
    cold_span: f64,
    fall_span: f64,
    calls_span: f64,
    calls_top: f64,
    calls_least: f64,
    halts: bool,
    level_top: f64,
    retry_after: f64,
    sockets: f64,

    keep: f64,
    txns: Slab<Hand>,
    places: HashMap<u32, usize>,
    hold: Vec<usize>,
    keys: VecDeque<f64>,
    lingering: VecDeque<f64>,
    started: Option<f64>,
    last_step: f64,
    chill: f64, // share of its speed that it is taken to lack
    leave: Option<(f64, f64)>,
    limit: f64,
    stretch: f64,
    drag: f64,
    off_since: Option<f64>,
    sound_at: f64,
    window: f64,
    window_cut: f64,
    call_base: f64,
    call_takes: f64,
    calls_mean: f64,
    last_round: f64,
    finished: f64,
    repeats: f64,
    chance: u64,
    pressure: f64,
    patience: f64,
    going: f64,
    hints_told: f64,
    hints_seen: f64,
    said: f64,
    longest: f64,
    noted: f64,
    sheds: BTreeMap<(usize, Reason), u32>,
    running: usize,
    calling: usize,
    used: f64,
}

impl AdmissionPolicy {
    /// A brain for a process that has just come up.
    pub fn new(charter: &PolicySettings, seed: u64) -> AdmissionPolicy {
        let mut bands: Vec<f64> = charter.classes.iter().map(|p| p.priority_weight).collect();
        bands.sort_by(f64::total_cmp);
        bands.dedup();
        let dearest = bands[bands.len() - 1];
        let terms = |p: &RequestClass| {
            let share = if p.priority_weight <= LOW * dearest { WAIT_LOW } else { WAIT };
            Terms { told: p.clone(), wait: share * p.timeout, ..Terms::default() }
        };
        let account = |c: &Tenant| Account { quota: c.quota / charter.servers, bucket: 0.0, filled: 0.0 };
        let common = charter.downstream == Downstream::SharedDependency;
        let calls_top =
            if common { CALLS_TOP * charter.call_concurrency_share } else { CALLS_CORE * charter.cores };
        let window = if common { CALLS_FROM * charter.call_concurrency_share } else { calls_top };
        let least = if calls_top < 1.0 { window } else { 1.0 };
        let longest = charter.max_retry_after.min(RETRY_AFTER);
        AdmissionPolicy {
            told: charter.clone(),
            products: charter.classes.iter().map(terms).collect(),
            accounts: charter.tenants.iter().map(account).collect(),
            callers: charter.callers.max(1.0),
            run_factor: charter.running_memory_factor.max(1.0),
            crowd: (charter.overload_multiple - 1.0).max(0.0),
            cold_share: if charter.starts_cold { charter.cold_capacity_fraction.min(1.0) } else { 1.0 },
            cold_span: charter.warm_up_duration.max(1e-3),
            fall_span: charter.overload_window,
            calls_span: (CALLS_MEAN * charter.call_averaging_window).max(0.1),
            calls_top,
            calls_least: if common { least } else { CALLS_LEAST * calls_top },
            halts: charter.preemption != Preemption::Never,
            level_top: 1.0 - 1.0 / bands.len() as f64,
            retry_after: charter.classes.iter().map(|p| p.latency_objective).fold(longest, f64::min),
            sockets: SOCKETS * charter.cores * charter.overload_multiple,
            keep: charter.idle_timeout,
            chill: 1.0,
            limit: charter.cores,
            stretch: 1.0,
            window,
            chance: seed >> 1 | 1,
            ..AdmissionPolicy::default()
        }
    }

    /// Takes in all that came since the last round and writes what is decided.
    pub fn decide(&mut self, round: &Round, out: &mut impl Decisions) {
        let now = round.now;
        if self.started.is_none() {
            self.started = Some(now);
            (self.noted, self.last_round, self.last_step) = (now, now, now);
            out.set_health(true, true);
            out.schedule_tick(BEAT);
            if self.cold_share < 1.0 {
                self.step_signal(now, 0.0, out); // the first answer tells it: callers come unprompted
            }
        }
        round.finished_calls.iter().for_each(|end| self.returned(now, end, out));
        for at in round.awaiting_call.iter().filter_map(|id| self.places.get(id)) {
            let txn = &mut self.txns[*at];
            txn.stage = Stage::AtCall;
            (txn.at_call, txn.tries, txn.ask_at) = (now, 0, now);
        }
        round.finished_runs.iter().for_each(|end| self.ended(now, end, out));
        round.abandoned.iter().for_each(|id| self.gone(now, *id, round.abandoned.len() == 1, out));
        if let Some(kill) = round.drain_deadline {
            self.leave = Some((now + self.told.drain_grace, kill - MARGIN));
            out.set_health(false, true);
            self.txns.iter_mut().for_each(|(_, txn)| txn.due = txn.due.min(kill - MARGIN));
        }
        self.census(now);
        round.arrivals.iter().for_each(|txn| self.arrived(now, txn, out));
        if let Some(gauges) = round.tick {
            self.beat(now, &gauges, out);
        }
        self.open_calls(now, out);
        self.start(now, out);
    }

    fn arrived(&mut self, now: f64, news: &Request, out: &mut impl Decisions) {
        let product = news.class.min(self.products.len() - 1);
        let tp = &mut self.products[product];
        let arrived = now - news.time_unread;
        let due = if news.deadline > 0.0 { news.deadline } else { arrived + tp.told.timeout };
        let due = self.leave.map_or(due, |(_, kill)| due.min(kill));
        let sla = tp.told.latency_objective + tp.told.objective_stretch * news.cost_hint;
        let size = if news.cost_hint > 0.0 && tp.hint > 0.0 { news.cost_hint / tp.hint } else { 1.0 };
        let referenced = tp.told.idempotency == Idempotency::Keyed;
        self.repeats += NEW * (f64::from(u8::from(news.is_retry)) - self.repeats);
        let over = self.accounts.get_mut(news.tenant).is_some_and(|a| a.over(now, !news.is_retry));
        self.longest = self.longest.max(if now < due && !over { news.time_unread / tp.wait } else { 0.0 });
        let news = Request { class: product, ..*news };
        let hand = Hand { news, over, arrived, sla, due, size, ..Hand::default() };
        let at = self.txns.insert(hand);
        self.places.insert(news.id, at);
        self.used += news.memory;
        // A repeat of a txn that is in hand or has run gets that one's result, never a run of its own.
        if news.earlier_attempt != 0 && referenced {
            self.txns[at].stage = Stage::Replaying;
            out.replay_result(news.id);
            return;
        }
        self.hold.push(at);
        if self.leave.is_some_and(|(last, _)| arrived > last - MARGIN) {
            return self.decline(at, Reason::Draining, out);
        }
        let keys = (self.keys.len() + 1) as f64 * self.told.key_memory;
        let room = self.used + self.told.key_memory <= RAM_HOLD * self.told.memory
            && keys <= RAM_KEYS * self.told.memory;
        if referenced && room {
            let span = (self.products[product].told.dedup_window - news.time_unread).max(MARGIN) + MARGIN;
            out.remember_key(news.id, span);
            self.txns[at].kept = Some(now + span);
            self.used += self.told.key_memory;
        } else if referenced {
            // Without the memory of its key a repeat could run: it must not run here at all.
            self.decline(at, Reason::KeyMemoryFull, out);
        }
    }

    fn ended(&mut self, now: f64, end: &Completion, out: &mut impl Decisions) {
        let Some(&at) = self.places.get(&end.id).filter(|a| self.txns[**a].stage != Stage::Held) else {
            return;
        };
        let txn = &self.txns[at];
        self.finished += 1.0 / RATE_SPAN;
        if !txn.answered && now - txn.arrived > self.patience {
            self.going -= GOING_NEW * self.going;
        }
        if end.outcome == Outcome::Completed && txn.stage == Stage::Running && !txn.skipped {
            let (hint, span) = (txn.size - 1.0, now - txn.begun);
            let on_cores = span / self.weight(txn);
            let tp = &mut self.products[txn.news.class];
            tp.hint =
                if txn.news.cost_hint > 0.0 { learn(tp.hint, txn.news.cost_hint, NEW) } else { tp.hint };
            let told = (span / tp.takes).min(3.0 * txn.size) - 1.0;
            self.hints_told += NEW * (hint * told - self.hints_told);
            self.hints_seen += NEW * (hint * hint - self.hints_seen);
            tp.takes = learn(tp.takes, on_cores, NEW);
            tp.runs += 1.0;
            let most = if tp.runs < NEW_RUNS { f64::MAX } else { RISE * tp.base };
            tp.base = learn(tp.base, on_cores.min(most), 1.0 / tp.runs.min(BASE_RUNS));
            self.stretch =
                learn(self.stretch, on_cores / tp.base.min(USUAL * tp.told.latency_objective), STRETCH_NEW);
        }
        self.lingering.extend((txn.stage == Stage::Calling).then_some(now + self.told.abandoned_call_linger));
        self.drop_hand(at, out);
    }

    /// Those who go together went with their connection or gateway; who goes `alone` has lost patience.
    fn gone(&mut self, now: f64, id: u32, alone: bool, out: &mut impl Decisions) {
        let Some(&at) = self.places.get(&id) else { return };
        let txn = &mut self.txns[at];
        txn.answered = true;
        // Who goes before any run could have ended is not waiting for one.
        if alone && now - txn.arrived > self.products[txn.news.class].base {
            self.patience = learn(self.patience, now - txn.arrived, STRETCH_NEW);
            self.going += GOING_NEW * (1.0 - self.going);
        }
        let inquiry = self.products[txn.news.class].told.idempotency == Idempotency::Idempotent;
        match txn.stage {
            Stage::Held | Stage::Replaying => drop(self.drop_hand(at, out)),
            // Nobody waits: free the core. A referenced run goes on, since a repeat may want its result.
            Stage::Running if self.halts && inquiry => out.preempt(id),
            _ => {}
        }
    }

    /// The end of a call. What can't have run may be asked again; an inquiry may always be.
    fn returned(&mut self, now: f64, end: &Completion, out: &mut impl Decisions) {
        let Some(&at) = self.places.get(&end.id).filter(|a| self.txns[**a].stage == Stage::Calling) else {
            return;
        };
        let txn = &mut self.txns[at];
        let done = end.outcome == Outcome::Completed;
        if done {
            let weight = if end.duration < self.call_base { NEW } else { 1.0 / BASE_RUNS };
            self.call_base = learn(self.call_base, end.duration, weight);
            self.call_takes = learn(self.call_takes, end.duration, NEW);
            let tp = &mut self.products[txn.news.class];
            tp.away = learn(tp.away, now - txn.at_call, NEW);
            (txn.begun, txn.stage) = (txn.begun + now - txn.at_call, Stage::Running);
        } else {
            self.lingering.push_back(
                now + if end.outcome == Outcome::TimedOut { self.told.abandoned_call_linger } else { 0.0 },
            );
            (txn.stage, txn.tries) = (Stage::AtCall, (txn.tries + 1).min(6));
            txn.ask_at = now + CALL_AGAIN * f64::from(1 << txn.tries);
        }
        if done && self.call_takes <= CALLS_RISE * self.call_base {
            self.window += (1.0 / self.window).min(self.window);
        } else if !matches!(end.outcome, Outcome::Failed | Outcome::ConnectionLost)
            && now - self.window_cut > self.call_takes
        {
            (self.window, self.window_cut) = (CALLS_CUT * self.window, now); // once for each turn of calls
        }
        let tp = &self.products[txn.news.class];
        let again = end.outcome.never_ran() || tp.told.idempotency == Idempotency::Idempotent;
        // A broken connection says nothing of the next one: once more before a poorer answer.
        let broken = matches!(end.outcome, Outcome::ConnectionLost | Outcome::Unreachable) && txn.tries == 1;
        if !done && !txn.answered && (tp.told.degraded_weight_fraction > 0.0 && !broken || !again) {
            self.give_up_call(now, at, out);
        }
    }

    /// A txn whose call can't be had: a poorer answer where one is worth something, else an error.
    fn give_up_call(&mut self, now: f64, at: usize, out: &mut impl Decisions) {
        let txn = &mut self.txns[at];
        if self.products[txn.news.class].told.degraded_weight_fraction > 0.0 {
            out.skip_call(txn.news.id);
            txn.stage = Stage::Running;
            (txn.begun, txn.skipped) = (txn.begun + now - txn.at_call, true);
        } else {
            out.fail(txn.news.id, Reason::DownstreamUnavailable);
            txn.answered = true;
        }
    }

    fn open_calls(&mut self, now: f64, out: &mut impl Decisions) {
        while self.lingering.front().is_some_and(|&end| end <= now) {
            self.lingering.pop_front();
        }
        // A share under one call is kept as a mean, or a whole fleet's single calls would fell what is below.
        self.window = self.window.clamp(self.calls_least, self.calls_top);
        let in_hands = (self.calling + self.lingering.len()) as f64;
        let mut room = self.window.max(1.0) - in_hands;
        // As much of the crowd as a run needs to start, or with a small crowd new runs take every place that frees
        // and those that stand at a call wait there, their memory held, until nobody wants them any more.
        while room >= 1.0 && self.room(now) > 0.0 && self.calls_mean < self.window {
            let ready = |t: &Hand| t.stage == Stage::AtCall && !t.answered && t.ask_at <= now;
            let waiting = self.txns.iter().filter(|(_, t)| ready(t)).map(|(at, _)| (at, self.rank(at)));
            let Some((at, _)) = waiting.max_by(|a, b| order(a.1, b.1)) else { return };
            let txn = &mut self.txns[at];
            let tp = &self.products[txn.news.class];
            // A hung call must hold neither its txn till the end nor its place in the window: it is left out
            // in good time, where it may, else given up with its SLA time.
            let left = txn.arrived + txn.sla - now;
            let limit = if tp.told.degraded_weight_fraction > 0.0 {
                CALL_LEFT * left
            } else {
                left.max(CALL_LEFT * txn.sla)
            };
            out.allow_call(txn.news.id, limit.min(txn.due - now - MARGIN).max(MARGIN));
            txn.stage = Stage::Calling;
            (self.calling, room) = (self.calling + 1, room - 1.0);
        }
    }

    /// Expected work over the product's mean. Guards against stale or lying hints, by which large txns would
    /// be given up: a hint counts as far as hints have told the times of runs so far.
    fn weight(&self, txn: &Hand) -> f64 {
        let trust = ((self.hints_told + NEW) / (self.hints_seen + NEW)).clamp(0.0, 1.0);
        (1.0 + trust * (txn.size - 1.0)).max(MARGIN)
    }

    /// Value of a held txn for each unit of work, which orders the hold.
    fn worth(&self, txn: &Hand) -> f64 {
        let tp = &self.products[txn.news.class];
        let account = if txn.over { self.told.over_quota_fraction } else { 1.0 };
        let work =
            if self.told.weight_per_work || tp.takes == 0.0 { 1.0 } else { tp.takes * self.weight(txn) };
        let first = if txn.news.is_retry { REPEAT } else { 1.0 };
        tp.told.priority_weight * account * first / work
    }

    /// Place in the hold, and among those who stand at a call: higher worth first, then the older.
    fn rank(&self, at: usize) -> (f64, f64) {
        let txn = &self.txns[at];
        (self.worth(txn), -txn.arrived)
    }

    /// The mechanism: why a held txn is not to run, judged by how long it waited.
    fn judge(&self, now: f64, txn: &Hand, wanted: bool) -> Option<Reason> {
        let tp = &self.products[txn.news.class];
        let due = txn.due - MARGIN;
        // A late answer is worth something to its caller while no one else wants the slot.
        let limit = if !wanted { due } else { due.min(txn.arrived + txn.sla) };
        // Guards against callers who give up early, untold: past the age at which most go, a run is in vain.
        let limit = if self.going > GOING { limit.min(txn.arrived + self.patience) } else { limit };
        let takes = tp.takes.max(tp.base * self.drag) * self.weight(txn) + tp.away;
        if now + takes > limit {
            return Some(Reason::InsufficientTime);
        }
        let threshold = if txn.news.is_retry { WAIT_REPEAT * tp.told.timeout } else { tp.wait };
        (now - txn.arrived > threshold).then_some(Reason::WaitedTooLong)
    }

    /// Gives freed slots to the best of those who have not waited too long.
    fn start(&mut self, now: f64, out: &mut impl Decisions) {
        let limit = self.limit.min(CEILING * self.crowd_now(now)).max(1.0).floor() as usize;
        while self.running < limit && self.room(now) > 0.0 {
            let ranks = self.hold.iter().map(|at| self.rank(*at)).enumerate();
            let Some((place, _)) = ranks.rev().max_by(|a, b| order(a.1, b.1)) else { return };
            let at = self.hold[place];
            let txn = &self.txns[at];
            if let Some(reason) = self.judge(now, txn, self.hold.len() > 1) {
                self.decline(at, reason, out);
                continue;
            }
            let more = txn.news.memory * (self.run_factor - 1.0);
            if self.used + more > RAM_RUN * self.told.memory && self.running + self.calling > 0 {
                return;
            }
            self.hold.swap_remove(place);
            let txn = &mut self.txns[at];
            (txn.stage, txn.begun) = (Stage::Running, now);
            self.keys.extend(txn.kept);
            (self.used, self.running) = (self.used + more, self.running + 1);
            out.run(txn.news.id);
        }
    }

    /// How many more may run or call: what returns goes on at once, so the crowd must bear all calls ending.
    fn room(&self, now: f64) -> f64 {
        CEILING_ALL * self.crowd_now(now) - (self.running + self.calling) as f64
    }

    /// The share of its speed that the server has reached at the least.
    fn warmth(&self, now: f64) -> f64 {
        let age = (now - self.started.unwrap_or(now)) / self.cold_span;
        (self.cold_share + (1.0 - self.cold_share) * age).min(1.0)
    }

    /// The crowd that the server survives, with the warmth it has at the least.
    fn crowd_now(&self, now: f64) -> f64 {
        self.told.cores * (1.0 + self.crowd * self.warmth(now))
    }

    /// How many more a cold server may have in hand, held and run. Guards against all callers finding it at
    /// once, each of which knows only what it sends itself.
    fn ramp_left(&self, now: f64) -> f64 {
        let n = self.crowd_now(now);
        let most = if self.warmth(now) < 1.0 { n + RAMP * n.sqrt() + RAMP } else { f64::MAX };
        most - (self.hold.len() + self.running + self.calling) as f64
    }

    fn beat(&mut self, now: f64, gauges: &Gauges, out: &mut impl Decisions) {
        out.schedule_tick(BEAT);
        self.answer_due(now, out);
        for place in (0..self.hold.len()).rev() {
            let at = self.hold[place];
            let txn = &self.txns[at];
            let waited = if txn.news.is_retry || txn.over { 0.0 } else { now - txn.arrived };
            self.longest = self.longest.max(waited / self.products[txn.news.class].wait);
            if let Some(reason) = self.judge(now, txn, true) {
                self.decline(at, reason, out);
            }
        }
        self.cut_hold(now, out);
        if now - self.last_step < STEP {
            return;
        }
        let fade = (-(now - self.last_step) / RATE_SPAN).exp();
        self.last_step = now;
        self.finished *= fade;
        // Guards against a product once found too slow and never tried again: what no run confirms fades.
        for tp in self.products.iter_mut().filter(|tp| now - tp.seen > RATE_SPAN && tp.takes > tp.base) {
            tp.takes = tp.base + fade * (tp.takes - tp.base);
        }
        self.step_limit(gauges);
        self.step_signal(now, gauges.busy.unwrap_or(0.0), out);
        self.step_health(now, out);
        // Guards against a table full of idle connections: it taxes the cores and turns callers back unseen.
        let step = if gauges.sockets.unwrap_or(0.0) > self.sockets { -KEEP_STEP } else { KEEP_STEP };
        self.keep =
            (self.keep * (1.0 + step)).clamp(STEP.min(self.told.idle_timeout), self.told.idle_timeout);
        out.set_keepalive(self.keep);
        out.record_limits(self.limit, self.window, self.pressure);
        self.longest = 0.0;
        if now - self.noted > NOTE && !self.sheds.is_empty() {
            self.noted = now;
            let sheds = std::mem::take(&mut self.sheds).into_iter();
            let text: String = sheds.map(|((p, r), n)| format!(" product {p} {} {n},", r.text())).collect();
            out.log(&format!("declined:{text} limit {:.1}, calls {:.1}", self.limit, self.window));
        }
    }

    /// The gradient limit. Free cores with work held win over latency.
    fn step_limit(&mut self, gauges: &Gauges) {
        let busy = gauges.busy.unwrap_or(self.running as f64 / self.limit);
        // A slot freed just now is no reason: it is given away in this round.
        let taken = self.running >= self.limit as usize && !self.hold.is_empty();
        if taken && gauges.runnable.is_none_or(|r| r < self.told.cores) {
            self.limit += GROW;
        } else if busy >= FULL && self.stretch > RISE {
            self.limit *= 1.0 - SHRINK;
        }
        self.limit =
            self.limit.clamp(self.told.cores, CEILING * self.told.cores * (1.0 + self.crowd)).max(1.0);
    }

    fn step_signal(&mut self, now: f64, busy: f64, out: &mut impl Decisions) {
        if self.longest > TIGHT {
            self.pressure = (self.pressure + PRESS).min(1.0);
        } else if self.longest < TIGHT / 2.0 {
            // Free cores are lost at once, callers that heard of a full server come back late.
            let idle = self.hold.is_empty() && busy < FULL;
            self.pressure = (self.pressure - PRESS * if idle { 2.0 } else { 0.5 }).max(0.0);
        }
        self.say(now, busy, out);
    }

    fn say(&mut self, now: f64, busy: f64, out: &mut impl Decisions) {
        // Guards against a full share for a cold server: it asks for no more than the share of its speed,
        // until work that leaves cores free shows that it has more than the settings promise.
        self.chill = self.chill.min(1.0 - self.warmth(now));
        if self.running > 0 && self.hold.is_empty() && busy < FULL {
            self.chill = (self.chill - 2.0 * PRESS).max(0.0);
        }
        let pressure = self.pressure.max(self.chill);
        let bias = 1.0 - BIAS_CUT * pressure;
        let left = self.ramp_left(now);
        let amount = match self.told.load_signal {
            LoadSignal::None => return,
            LoadSignal::MinimumRank => self.level_top * pressure,
            LoadSignal::SelectionBias => bias,
            // What can be finished within the shortest wait, beside what runs; far more while nothing waits.
            LoadSignal::Tokens => {
                let wait = self.products.iter().map(|p| p.wait).fold(f64::MAX, f64::min);
                let seen = 1.0 - (-(now - self.started.unwrap_or(now)) / RATE_SPAN).exp();
                let room = self.limit + TOKEN_WAIT * self.finished / seen.max(STEP) * wait;
                let idle = self.longest < TIGHT / 2.0 && busy < FULL;
                let usual = (room * if idle { IDLE_ROOM } else { 1.0 } / self.callers).max(bias);
                // What all callers may have here together, whoever of them came unprompted.
                usual.min(left.max(0.0) / self.callers)
            }
        };
        if (amount - self.said).abs() > 1e-3 {
            self.said = amount;
            out.set_load_signal(amount);
        }
    }

    /// Nothing in hand passes its due time unanswered, whatever it is doing.
    fn answer_due(&mut self, now: f64, out: &mut impl Decisions) {
        for at in 0..self.txns.capacity() {
            let Some(txn) = self.txns.get_mut(at).filter(|t| !t.answered && t.stage != Stage::Held) else {
                continue;
            };
            if now >= txn.due - MARGIN {
                out.fail(txn.news.id, Reason::DeadlineReached);
                txn.answered = true;
                if txn.stage == Stage::Running && self.halts {
                    out.preempt(txn.news.id);
                } else if txn.stage == Stage::Replaying {
                    self.drop_hand(at, out);
                }
            } else if txn.stage == Stage::AtCall
                && now - txn.at_call > CALL_WAIT * txn.sla
                && self.products[txn.news.class].told.degraded_weight_fraction > 0.0
                && self.room(now) > 0.0
            {
                // The same judgement at the second queue: who waited too long for a call leaves it out.
                self.running += 1;
                self.give_up_call(now, at, out);
            }
        }
    }

    /// Keeps held memory under the machine's, and what a cold server has in hand within its ramp, lowest
    /// worth first.
    fn cut_hold(&mut self, now: f64, out: &mut impl Decisions) {
        let mut cold = false;
        while self.used > RAM_HOLD * self.told.memory || self.ramp_left(now) < 0.0 {
            let full = self.used > RAM_HOLD * self.told.memory;
            let ranks = self.hold.iter().map(|&at| (at, self.rank(at)));
            let Some((at, _)) = ranks.min_by(|a, b| order(a.1, b.1)) else { break };
            self.decline(at, if full { Reason::MemoryPressure } else { Reason::WarmingUp }, out);
            cold |= !full;
        }
        if cold {
            self.say(now, 1.0, out); // those who are turned away hear it, not what was said a step ago
        }
    }

    /// Turns a held txn away, which never ran here, with advice to keep off.
    fn decline(&mut self, at: usize, reason: Reason, out: &mut impl Decisions) {
        let txn = self.drop_hand(at, out);
        // Where further tries are frequent the others are full too: walking on would only cost reading.
        let last = reason != Reason::Draining && (txn.news.is_retry || self.repeats > WALKING);
        let sound = self.stretch.max(self.drag) < SOUND && self.leave.is_none();
        let keep_off = self.retry_after * if sound { 2.0 * RETRY_SOUND * self.draw() } else { 1.0 };
        // Where callers are few each brings much: kept off for long they would leave the cores idle in turns.
        let keep_off = keep_off.min(KEEP_TXNS * self.callers / self.finished.max(STEP));
        // While it is cold and its ramp is used up, all callers together come back no faster than its crowd
        // is renewed.
        let turn = self.callers * self.fall_span / self.crowd_now(self.last_round);
        let full = self.ramp_left(self.last_round) < 1.0;
        let keep_off = if full { keep_off.max(turn.min(self.retry_after)) } else { keep_off };
        out.reject(txn.news.id, keep_off, last, reason);
        *self.sheds.entry((txn.news.class, reason)).or_default() += 1;
    }

    /// Chance from 0 to under 1: multiply with carry, from the wire's seed.
    fn draw(&mut self) -> f64 {
        self.chance = 0xffff_da61 * (self.chance & 0xffff_ffff) + (self.chance >> 32);
        (self.chance & 0xffff_ffff) as f64 / 4_294_967_296.0
    }

    /// One that never ran leaves no key behind.
    fn drop_hand(&mut self, at: usize, out: &mut impl Decisions) -> Hand {
        let txn = self.txns.remove(at);
        self.places.remove(&txn.news.id);
        if txn.stage == Stage::Held {
            self.used -= self.held_ram(&txn);
            self.hold.retain(|&held| held != at);
            if txn.kept.is_some() {
                out.forget_key(txn.news.id);
            }
        }
        txn
    }

    fn held_ram(&self, txn: &Hand) -> f64 {
        txn.news.memory + if txn.kept.is_some() { self.told.key_memory } else { 0.0 }
    }

    /// Counts what runs, what stands at calls and the memory in use.
    fn census(&mut self, now: f64) {
        let in_hands = (self.calling + self.lingering.len()) as f64;
        self.calls_mean +=
            (in_hands - self.calls_mean) * ((now - self.last_round) / self.calls_span).min(1.0);
        self.last_round = now;
        while self.keys.front().is_some_and(|&end| end < now) {
            self.keys.pop_front();
        }
        (self.running, self.calling) = (0, 0);
        let (mut age, mut usual, mut old) = (0.0, 0.0, 0);
        self.used = self.keys.len() as f64 * self.told.key_memory;
        for (_, txn) in &self.txns {
            self.used += match txn.stage {
                Stage::Held => self.held_ram(txn),
                Stage::Replaying => txn.news.memory,
                _ => txn.news.memory * self.run_factor,
            };
            self.calling += usize::from(txn.stage == Stage::Calling);
            if txn.stage == Stage::Running {
                self.running += 1;
                self.products[txn.news.class].seen = now;
                let tp = &self.products[txn.news.class];
                // A machine slow from its first run has no base to tell by: runs that outlast SLA times tell.
                let known = if tp.runs < NEW_RUNS { f64::MAX } else { tp.base };
                let takes = known.min(USUAL * tp.told.latency_objective) * self.weight(txn);
                (age, usual) = (age + now - txn.begun, usual + takes);
                old += usize::from(now - txn.begun > SLOW * takes);
            }
        }
        // Open runs are on average as old as a run takes. Where most are far older the machine has slowed or
        // hangs, which finished runs tell only later; a few long ones that pin their slots don't count.
        let hangs = 2 * old > self.running && self.running as f64 >= self.told.cores;
        self.drag = if hangs { age / usual } else { 1.0 };
    }

    /// Guards against a slow machine where the list follows health: what is sent here moves on too late, so
    /// the server leaves the list for a while, then tries again. Judged by its runs against their base, never
    /// by load, or a crowded fleet would list itself out.
    fn step_health(&mut self, now: f64, out: &mut impl Decisions) {
        let rise = self.stretch.max(self.drag);
        self.sound_at = if rise < SLOW || self.longest < TIGHT / 2.0 { now } else { self.sound_at };
        match self.off_since {
            _ if !self.told.endpoints_follow_health || self.leave.is_some() => {}
            None if now - self.sound_at > SLOW_FOR => {
                self.off_since = Some(now);
                out.set_health(false, true);
                out.log(&format!("off the list: runs take {rise:.1} times their base"));
            }
            Some(since) if now - since > OFF => {
                self.off_since = None;
                out.set_health(true, true);
            }
            _ => {}
        }
    }
}

fn order(a: (f64, f64), b: (f64, f64)) -> Ordering {
    a.0.total_cmp(&b.0).then(a.1.total_cmp(&b.1))
}

/// A mean that starts with its first sample.
fn learn(mean: f64, sample: f64, weight: f64) -> f64 {
    mean + if mean == 0.0 { 1.0 } else { weight } * (sample - mean)
}
