//! All decisions of one server: what it takes, runs and turns away, and what it tells its callers.
//!
//! The host makes a `Brain::new(&charter, seed)` when the process comes up and calls
//! `brain.round(&round, &mut writer)` once a round with all that came in; the decisions go straight into the
//! writer. The types are in `interface.rs`; `docs/design.md` tells where the mechanism comes from.
//!
//! A txn is stamped with its arrival (unread time counted) and held until a run slot frees. Then its wait is
//! judged against its product's threshold, and it runs or is declined. The rest of the file guards the rules.

use crate::interface::*;
use slab::Slab;
use std::collections::{HashMap, VecDeque};

// ---- constants: name, size, unit, reason -------------------------------------------------------------------

/// s between two looks at the gauges: well under any SLA time, dear enough at 50 a second to stay cheap.
const BEAT: f64 = 0.02;
/// s between two steps of the limit and the signal: a few runs end in it, so that a step can be seen.
const STEP: f64 = 0.1;
/// s before its due time at which an answer is forced: two beats and a round.
const MARGIN: f64 = 0.05;
/// s by which a beat may be late before it counts as a standstill: several beats, under any threshold.
const STANDSTILL: f64 = 0.1;
/// share of the expiry that a txn may wait, for txns of high value: the design page's fifth.
const WAIT: f64 = 0.2;
/// the same for low value: background work keeps a shorter hold, yet above a tenth so that it is queued first.
const WAIT_LOW: f64 = 0.15;
/// the same for further tries and copies: their caller has a plan already.
const WAIT_REPEAT: f64 = 0.11;
/// share of its worth at which a repeat stands in the hold: its SLA time began with a try we did not see.
const REPEAT: f64 = 0.3;
/// share of the dearest product's value up to which a product is of low value.
const LOW: f64 = 0.5;
/// share of the cores busy from which they count as full.
const FULL: f64 = 0.92;
/// rise of run time over its base that the limit bears: sharing a core with reading makes about this much.
const RISE: f64 = 1.3;
/// share by which the limit shrinks a step, and grows a step while cores are free.
const SHRINK: f64 = 0.05;
const GROW: f64 = 0.1;
/// share of the crowd a server survives that the limit, and that all that runs or calls, may come to.
const CEILING: f64 = 0.6;
const CEILING_ALL: f64 = 0.8;
/// share of the memory that starts may fill, and over which the hold is cut.
const RAM_RUN: f64 = 0.85;
const RAM_HOLD: f64 = 0.92;
/// share of the memory that remembered txns may fill.
const RAM_KEYS: f64 = 0.7;
/// share of this server's part of the dependency's bearing that the window may reach, and start with.
const CALLS_TOP: f64 = 0.8;
const CALLS_FROM: f64 = 0.25;
/// calls a core to a next tier that may be out: it decides for itself, this only bounds a stuck one.
const CALLS_CORE: f64 = 4.0;
/// share to which the window is cut by a failed or slow call.
const CALLS_CUT: f64 = 0.7;
/// rise of a call's time over its base that counts as slow.
const CALLS_RISE: f64 = 2.5;
/// tries of a call that may be left out; one that may not is asked again until its txn is due.
const CALL_TRIES: u8 = 2;
/// s before a call is asked for again, doubled with each try: a full tier has finished something by then.
const CALL_AGAIN: f64 = 0.05;
/// share of what is left of the SLA time that such a call may take.
const CALL_LEFT: f64 = 0.5;
/// share of the SLA time for which a txn waits at its call before it leaves it out.
const CALL_WAIT: f64 = 0.25;
/// weight of a new sample in a learned mean: about the last twenty count.
const NEW: f64 = 0.05;
/// the same for the crowd that the gauge shows each step: half a second, as the busy gauge.
const CROWD_NEW: f64 = 0.2;
/// the same for the rise of run time, which has to tell a slow machine within a second: about the last ten.
const STRETCH_NEW: f64 = 0.1;
/// runs of a product over which its base is taken: some tens of seconds, longer than a trouble should count.
const BASE_RUNS: f64 = 200.0;
/// runs of a product before its base says anything: the first to end are the short ones.
const NEW_RUNS: f64 = 20.0;
/// the same weight for the base of calls, upwards.
const BASE_UP: f64 = 0.005;
/// rise of run time over its base from which this server counts as slow: fleet-wide crowding at the floor of
/// the limit, reading included, stays under it.
const SLOW: f64 = 4.0;
/// steps in a row for which it must look slow: several completions of a crowded server.
const SLOW_STEPS: u32 = 2;
/// s for which a slow server stays off the list: its list is seconds late, a shorter absence wouldn't be seen.
const OFF: f64 = 8.0;
/// s over which rates of arrival are taken: a few seconds, as quotas are.
const RATE_SPAN: f64 = 3.0;
/// share of repeats among arrivals from which other servers count as full too.
const WALKING: f64 = 0.1;
/// share of the threshold waited from which the signal is tightened, and under which it is loosened.
const TIGHT: f64 = 0.6;
const LOOSE: f64 = 0.3;
/// steps of the pressure behind the signal, up and down.
const PRESS_UP: f64 = 0.03;
const PRESS_DOWN: f64 = 0.015;
/// s of Retry-After at the most: the design page's second.
const RETRY_AFTER: f64 = 1.0;
/// the same of a server that is full but sound: all its callers keep off at once, and it must not run dry.
const RETRY_SOUND: f64 = 0.25;
/// rise of run time over its base up to which a crowded server counts as sound.
const SOUND: f64 = 2.5;
/// times the room of a server at its limit that callers may fill while nothing waits: a burst must fit.
const IDLE_ROOM: f64 = 3.0;
/// s between two notes.
const NOTE: f64 = 10.0;

// ---- what is known ----------------------------------------------------------------------------------------

/// Terms of a product, and what its runs have taught.
struct Terms {
    expiry: f64,
    sla: f64,
    sla_stretch: f64,
    late_pays: bool,
    effect: Effect,
    window: f64,
    skips: bool,
    value: f64,
    wait: f64,
    wait_repeat: f64,
    /// s that a run of mean size takes outside its calls, of late, and at its best; s at its calls.
    takes: f64,
    base: f64,
    away: f64,
    runs: f64,
    hint: f64,
    declined: [u32; REASONS.len()],
}

struct Account {
    quota: f64,
    rate: f64,
    worth: f64,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Stage {
    Held,
    Running,
    AtCall,
    Calling,
    Replaying,
}

/// A txn in hand.
struct Hand {
    id: u32,
    product: usize,
    customer: usize,
    arrived: f64,
    /// Part of the time since arrival that was a standstill of the whole process.
    forgiven: f64,
    sla: f64,
    due: f64,
    ram: f64,
    /// Guessed work over its product's mean.
    size: f64,
    repeat: bool,
    kept: bool,
    stage: Stage,
    /// The answer is out, or nobody waits for it; the run goes on to its end.
    answered: bool,
    begun: f64,
    /// When it came to its call, and the time spent at calls before.
    at_call: f64,
    away: f64,
    tries: u8,
    ask_at: f64,
    skipped: bool,
}

const REASONS: [&str; 5] = ["waited", "no time", "memory", "leaving", "no key room"];
const WAITED: usize = 0;
const NO_TIME: usize = 1;
const MEMORY: usize = 2;
const LEAVING: usize = 3;
const NO_KEY: usize = 4;

#[derive(Default)]
pub struct Brain {
    products: Vec<Terms>,
    accounts: Vec<Account>,
    // derived at start
    cores: f64,
    servers: f64,
    callers: f64,
    ram: f64,
    run_factor: f64,
    key_ram: f64,
    by_work: bool,
    over_quota: f64,
    crowd: f64,
    cold_share: f64,
    cold_span: f64,
    calls_share: f64,
    calls_span: f64,
    calls_top: f64,
    lingers: f64,
    halts: bool,
    signal: Signal,
    share_for: f64,
    retry_after: f64,
    grace: f64,
    // the state
    txns: Slab<Hand>,
    places: HashMap<u32, usize>,
    hold: Vec<usize>,
    keys: VecDeque<f64>,
    lingering: VecDeque<f64>,
    started: Option<f64>,
    next_beat: f64,
    last_step: f64,
    forgiven: f64,
    standstill_end: f64,
    leave: Option<(f64, f64)>,
    limit: f64,
    stretch: f64,
    drag: f64,
    crowding: f64,
    off_since: Option<f64>,
    slow_steps: u32,
    list_follows: bool,
    window: f64,
    window_cut: f64,
    call_base: f64,
    call_takes: f64,
    calls_mean: f64,
    calls_seen: f64,
    rate: f64,
    finished: f64,
    unread: f64,
    repeat_rate: f64,
    pressure: f64,
    said: f64,
    longest: f64,
    noted: f64,
    // the census of this round
    running: usize,
    parked: usize,
    calling: usize,
    used: f64,
}

impl Brain {
    /// A brain for a process that has just come up. The seed is kept for draws; there are none so far.
    pub fn new(charter: &Charter, _seed: u64) -> Brain {
        let dearest = charter.products.iter().map(|p| p.value).fold(0.0, f64::max);
        let terms = |p: &Product| {
            let share = if p.value <= LOW * dearest { WAIT_LOW } else { WAIT };
            Terms {
                expiry: p.expiry,
                sla: p.sla,
                sla_stretch: p.sla_stretch,
                late_pays: p.late_share > 0.0,
                effect: p.effect,
                window: p.window,
                skips: p.skip_share > 0.0,
                value: p.value,
                wait: share * p.expiry,
                wait_repeat: WAIT_REPEAT * p.expiry,
                takes: 0.0,
                base: 0.0,
                away: 0.0,
                runs: 0.0,
                hint: 0.0,
                declined: [0; REASONS.len()],
            }
        };
        let account = |c: &Customer| Account { quota: c.quota, rate: 0.0, worth: 1.0 };
        let calls_share = if charter.below == Below::Common { charter.calls_share } else { 0.0 };
        let calls_top = if calls_share > 0.0 { CALLS_TOP * calls_share } else { CALLS_CORE * charter.cores };
        let window = if calls_share > 0.0 { CALLS_FROM * calls_share } else { calls_top };
        Brain {
            products: charter.products.iter().map(terms).collect(),
            accounts: charter.customers.iter().map(account).collect(),
            cores: charter.cores,
            servers: charter.servers,
            callers: charter.callers.max(1.0),
            ram: charter.ram,
            run_factor: charter.run_factor.max(1.0),
            key_ram: charter.key_memory,
            by_work: charter.by_work,
            over_quota: charter.over_quota,
            crowd: (charter.fall_multiple - 1.0).max(0.0),
            cold_share: if charter.cold { charter.cold_share.min(1.0) } else { 1.0 },
            cold_span: charter.cold_span.max(1e-3),
            calls_share,
            calls_span: charter.calls_span.max(0.1),
            calls_top,
            lingers: charter.lingers,
            halts: charter.halt != Halt::Never,
            signal: charter.signal,
            share_for: charter.share_for,
            retry_after: charter.retry_after.min(RETRY_AFTER),
            grace: charter.grace,
            list_follows: charter.list_follows,
            started: None,
            leave: None,
            standstill_end: f64::MIN,
            limit: charter.cores,
            stretch: 1.0,
            window,
            window_cut: f64::MIN,
            said: -1.0,
            ..Brain::default()
        }
    }

    /// Takes in all that came since the last round and writes what is decided.
    pub fn round(&mut self, round: &Round, out: &mut impl Writer) {
        let now = round.now;
        if self.started.is_none() {
            self.started = Some(now);
            (self.noted, self.calls_seen, self.next_beat) = (now, now, now + BEAT);
            out.health(true, true);
            out.wake(BEAT);
        }
        self.note_standstill(round);
        for end in round.returned {
            self.returned(now, end, out);
        }
        for id in round.at_call {
            if let Some(&at) = self.places.get(id) {
                let txn = &mut self.txns[at];
                txn.stage = Stage::AtCall;
                (txn.at_call, txn.tries, txn.ask_at) = (now, 0, now);
            }
        }
        for end in round.ended {
            self.ended(now, end);
        }
        for id in round.gone {
            self.gone(*id, out);
        }
        if let Some(kill) = round.leave {
            self.leave = Some((now + self.grace, kill - MARGIN));
            out.health(false, true);
            for (_, txn) in self.txns.iter_mut() {
                txn.due = txn.due.min(kill - MARGIN);
            }
        }
        self.census(now);
        for txn in round.arrived {
            self.arrived(now, txn, out);
        }
        if let Some(gauges) = round.wake {
            self.beat(now, &gauges, out);
        }
        self.open_calls(now, out);
        self.start(now, out);
    }

    // ---- news ------------------------------------------------------------------------------------------------

    /// Guards against a standstill of the whole process: all waits swell at once though no queue stood, and
    /// judged by them the whole hold would be declined. The time is taken off the waits of those who lay
    /// through it; whoever has no time left is still declined. Harm: after it a longer hold is borne.
    fn note_standstill(&mut self, round: &Round) {
        if round.wake.is_none() {
            return;
        }
        let late = round.now - self.next_beat;
        if late > STANDSTILL {
            self.forgiven += late;
            self.standstill_end = round.now;
        }
    }

    fn arrived(&mut self, now: f64, news: &Txn, out: &mut impl Writer) {
        let product = news.product.min(self.products.len() - 1);
        let tp = &mut self.products[product];
        let arrived = now - news.unread;
        let mut due = if news.not_after > 0.0 { news.not_after } else { arrived + tp.expiry };
        if let Some((_, kill)) = self.leave {
            due = due.min(kill);
        }
        let sla = tp.sla + tp.sla_stretch * news.hint;
        let mut size = 1.0;
        if news.hint > 0.0 {
            tp.hint = learn(tp.hint, news.hint, NEW);
            size = news.hint / tp.hint;
        }
        let (effect, share_for) = (tp.effect, self.share_for);
        let shared = effect == Effect::Inquiry && share_for > 0.0 && news.key != 0 && !news.write;
        self.rate += 1.0 / RATE_SPAN;
        self.unread = self.unread.max(news.unread / tp.wait);
        if news.repeat {
            self.repeat_rate += 1.0 / RATE_SPAN;
        } else if let Some(account) = self.accounts.get_mut(news.customer) {
            account.rate += 1.0 / RATE_SPAN;
        }
        let forgiven = if arrived < self.standstill_end { 0.0 } else { self.forgiven };
        let at = self.txns.insert(Hand {
            id: news.id,
            product,
            customer: news.customer,
            arrived,
            forgiven,
            sla,
            due,
            ram: news.memory,
            size,
            repeat: news.repeat,
            kept: false,
            stage: Stage::Held,
            answered: false,
            begun: now,
            at_call: now,
            away: 0.0,
            tries: 0,
            ask_at: now,
            skipped: false,
        });
        self.places.insert(news.id, at);
        self.used += news.memory;
        // A repeat of a txn that is in hand or has run gets that one's result, never a run of its own.
        if news.forerunner != 0 && (effect == Effect::Referenced || shared) {
            self.txns[at].stage = Stage::Replaying;
            out.replay(news.id);
            return;
        }
        self.hold.push(at);
        if self.leave.is_some_and(|(last, _)| arrived > last - MARGIN) {
            return self.decline(at, LEAVING, out);
        }
        if effect == Effect::Referenced || shared {
            let room = self.key_ram * (self.keys.len() as f64 + 1.0) <= RAM_KEYS * self.ram;
            if room {
                let span = if shared {
                    self.products[product].expiry + share_for
                } else {
                    self.products[product].window
                };
                out.remember(news.id, (span - news.unread).max(MARGIN) + MARGIN);
                self.txns[at].kept = true;
                self.used += self.key_ram;
            } else if !shared {
                // Without the memory of its key a repeat could run: it must not run here at all.
                self.decline(at, NO_KEY, out);
            }
        }
    }

    fn ended(&mut self, now: f64, end: &End) {
        let Some(&at) = self.places.get(&end.id) else {
            return;
        };
        let txn = &self.txns[at];
        if end.outcome == Outcome::Done {
            self.finished += 1.0 / RATE_SPAN;
        }
        if end.outcome == Outcome::Done && txn.stage != Stage::Replaying && !txn.skipped {
            let tp = &mut self.products[txn.product];
            let on_cores = (now - txn.begun - txn.away) / txn.size;
            tp.takes = learn(tp.takes, on_cores, NEW);
            tp.away = learn(tp.away, txn.away, NEW);
            tp.runs += 1.0;
            let most = if tp.runs < NEW_RUNS { f64::MAX } else { RISE * tp.base };
            tp.base = learn(tp.base, on_cores.min(most), 1.0 / tp.runs.min(BASE_RUNS));
            self.stretch = learn(self.stretch, on_cores / tp.base, STRETCH_NEW);
        }
        if txn.stage == Stage::Calling {
            self.lingering.push_back(now + self.lingers);
        }
        self.drop_hand(at);
    }

    fn gone(&mut self, id: u32, out: &mut impl Writer) {
        let Some(&at) = self.places.get(&id) else { return };
        let txn = &mut self.txns[at];
        txn.answered = true;
        match txn.stage {
            Stage::Held | Stage::Replaying => self.drop_hand(at),
            // Nobody waits: free the core. A referenced run goes on, since a repeat may want its result.
            Stage::Running if self.halts && self.products[txn.product].effect == Effect::Inquiry => {
                out.pause(id)
            }
            _ => {}
        }
    }

    /// The end of a call. What can't have run may be asked again; an inquiry may always be.
    fn returned(&mut self, now: f64, end: &End, out: &mut impl Writer) {
        let Some(&at) = self.places.get(&end.id) else {
            return;
        };
        let txn = &mut self.txns[at];
        if txn.stage != Stage::Calling {
            return;
        }
        let failed = end.outcome != Outcome::Done;
        if end.outcome == Outcome::TimedOut {
            self.lingering.push_back(now + self.lingers);
        }
        if !failed {
            self.call_base = if self.call_base == 0.0 {
                end.took
            } else if end.took < self.call_base {
                learn(self.call_base, end.took, NEW)
            } else {
                learn(self.call_base, end.took, BASE_UP)
            };
            self.call_takes = learn(self.call_takes, end.took, NEW);
        }
        let slow = self.call_takes > CALLS_RISE * self.call_base;
        if !failed && !slow {
            self.window += 1.0 / self.window;
        } else if now - self.window_cut > self.call_takes {
            // Once for each turn of the window, or one trouble would be counted by every call in it.
            self.window *= CALLS_CUT;
            self.window_cut = now;
        }
        if !failed {
            txn.away += now - txn.at_call;
            txn.stage = Stage::Running;
            return;
        }
        txn.stage = Stage::AtCall;
        txn.ask_at = now + CALL_AGAIN * f64::from(1u32 << txn.tries.min(5));
        txn.tries = txn.tries.saturating_add(1);
        let tp = &self.products[txn.product];
        let again = end.outcome.never_ran() || tp.effect == Effect::Inquiry;
        if !txn.answered && (!again || tp.skips && txn.tries >= CALL_TRIES) {
            self.give_up_call(at, out);
        }
    }

    /// A txn whose call can't be had: a poorer answer where one is worth something, else an error.
    fn give_up_call(&mut self, at: usize, out: &mut impl Writer) {
        let txn = &mut self.txns[at];
        if self.products[txn.product].skips {
            out.skip_call(txn.id);
            txn.stage = Stage::Running;
            txn.skipped = true;
        } else {
            out.void(txn.id);
            txn.answered = true;
        }
    }

    // ---- calls below -------------------------------------------------------------------------------------------

    fn open_calls(&mut self, now: f64, out: &mut impl Writer) {
        if self.parked == self.calling {
            return;
        }
        while self.lingering.front().is_some_and(|&end| end <= now) {
            self.lingering.pop_front();
        }
        self.window = self.window.clamp(1.0, self.calls_top.max(1.0));
        // What comes back from a call goes on at once, so the crowd must bear all calls ending together.
        let all = self.all(now);
        let mut room = self.window - (self.calling + self.lingering.len()) as f64;
        room = room.min(all - (self.running + self.calling) as f64);
        while room >= 1.0 && (self.calls_share == 0.0 || self.calls_mean < self.calls_top) {
            let mut next: Option<(usize, f64)> = None;
            for (at, txn) in &self.txns {
                if txn.stage == Stage::AtCall && !txn.answered && txn.ask_at <= now {
                    let worth = self.worth(txn);
                    if next.is_none_or(|(n, w)| worth > w || worth == w && txn.at_call < self.txns[n].at_call)
                    {
                        next = Some((at, worth));
                    }
                }
            }
            let Some((at, _)) = next else { return };
            let txn = &mut self.txns[at];
            let tp = &self.products[txn.product];
            // A hung call must not hold its txn till the end: what may be left out is, with time for the rest.
            let left = txn.arrived + txn.sla - now;
            let limit = if tp.skips && left > 0.0 { CALL_LEFT * left } else { txn.due - now - MARGIN };
            out.call(txn.id, limit.max(MARGIN));
            txn.stage = Stage::Calling;
            self.calling += 1;
            room -= 1.0;
        }
    }

    // ---- the hold ----------------------------------------------------------------------------------------------

    /// Value of a held txn for each unit of work, which orders the hold.
    fn worth(&self, txn: &Hand) -> f64 {
        let tp = &self.products[txn.product];
        let account = self.accounts.get(txn.customer).map_or(1.0, |a| a.worth);
        let work = if self.by_work || tp.takes == 0.0 { 1.0 } else { tp.takes * txn.size };
        let first = if txn.repeat { REPEAT } else { 1.0 };
        tp.value * account * first / work
    }

    /// The mechanism: why a held txn is not to run, judged by how long it waited.
    fn judge(&self, now: f64, txn: &Hand, wanted: bool) -> Option<usize> {
        let tp = &self.products[txn.product];
        let waited = now - txn.arrived;
        // A late answer is worth something to its caller while no one else wants the slot.
        let limit = if tp.late_pays || !wanted { txn.due } else { txn.due.min(txn.arrived + txn.sla) };
        let takes = tp.takes.max(tp.base * self.drag) * txn.size + tp.away;
        if now + takes.max(2.0 * MARGIN) > limit {
            return Some(NO_TIME);
        }
        let threshold = if txn.repeat { tp.wait_repeat } else { tp.wait };
        (waited - (self.forgiven - txn.forgiven) > threshold).then_some(WAITED)
    }

    /// Gives freed slots to the best of those who have not waited too long.
    fn start(&mut self, now: f64, out: &mut impl Writer) {
        let most = self.crowd_now(now);
        let limit = self.limit.min(CEILING * most).max(1.0).floor() as usize;
        let all = self.all(now);
        while self.running < limit && ((self.running + self.calling) as f64) < all {
            let mut best: Option<(usize, f64, f64)> = None;
            for (place, &at) in self.hold.iter().enumerate() {
                let txn = &self.txns[at];
                let worth = self.worth(txn);
                if best.is_none_or(|(_, w, a)| worth > w || (worth == w && txn.arrived < a)) {
                    best = Some((place, worth, txn.arrived));
                }
            }
            let Some((place, _, _)) = best else { return };
            let at = self.hold[place];
            let txn = &self.txns[at];
            if let Some(reason) = self.judge(now, txn, self.hold.len() > 1) {
                self.decline(at, reason, out);
                continue;
            }
            let more = txn.ram * (self.run_factor - 1.0);
            if self.used + more > RAM_RUN * self.ram && self.running + self.parked > 0 {
                return;
            }
            self.hold.swap_remove(place);
            let txn = &mut self.txns[at];
            txn.stage = Stage::Running;
            txn.begun = now;
            if txn.kept {
                self.keys.push_back(now + self.products[txn.product].window.max(self.share_for));
            }
            self.used += more;
            self.running += 1;
            out.run(txn.id);
        }
    }

    /// What may run or return from a call at any time.
    fn all(&self, now: f64) -> f64 {
        (CEILING_ALL * self.crowd_now(now)).max(1.0)
    }

    /// Runs a core that the server survives, with the warmth it has at the least.
    fn crowd_now(&self, now: f64) -> f64 {
        let age = (now - self.started.unwrap_or(now)) / self.cold_span;
        let warmth = (self.cold_share + (1.0 - self.cold_share) * age).min(1.0);
        self.cores * (1.0 + self.crowd * warmth)
    }

    // ---- the beat ----------------------------------------------------------------------------------------------

    fn beat(&mut self, now: f64, gauges: &Gauges, out: &mut impl Writer) {
        self.next_beat = now + BEAT;
        out.wake(BEAT);
        self.answer_due(now, out);
        self.longest = self.longest.max(std::mem::take(&mut self.unread));
        for place in (0..self.hold.len()).rev() {
            let at = self.hold[place];
            let txn = &self.txns[at];
            if let Some(reason) = self.judge(now, txn, true) {
                self.longest = if txn.repeat { self.longest } else { 1.0 };
                self.decline(at, reason, out);
            } else if !txn.repeat {
                let waited = now - txn.arrived - (self.forgiven - txn.forgiven);
                self.longest = self.longest.max(waited / self.products[txn.product].wait);
            }
        }
        self.cut_hold(out);
        if now - self.last_step < STEP {
            return;
        }
        let fade = (-(now - self.last_step) / RATE_SPAN).exp();
        self.last_step = now;
        self.rate *= fade;
        self.repeat_rate *= fade;
        self.finished *= fade;
        for account in &mut self.accounts {
            account.rate *= fade;
            let over = account.rate * self.servers / account.quota.max(1e-9);
            account.worth = if over <= 1.0 { 1.0 } else { (1.0 + (over - 1.0) * self.over_quota) / over };
        }
        self.step_limit(gauges);
        self.step_signal(now, gauges.busy.unwrap_or(0.0), out);
        self.step_health(now, out);
        self.longest = 0.0;
        if now - self.noted > NOTE {
            self.noted = now;
            self.note(out);
        }
    }

    /// The gradient limit. Free cores with work held win over latency.
    fn step_limit(&mut self, gauges: &Gauges) {
        let crowding = gauges.runnable.unwrap_or(self.running as f64) / self.cores;
        self.crowding += CROWD_NEW * (crowding - self.crowding);
        let running = self.running as f64;
        let busy = gauges.busy.unwrap_or(if running >= self.limit { 1.0 } else { 0.0 });
        if busy < FULL && self.crowding < 1.0 && !self.hold.is_empty() {
            self.limit *= 1.0 + GROW;
        } else if busy >= FULL && self.stretch > RISE {
            self.limit *= 1.0 - SHRINK;
        }
        self.limit = self.limit.clamp(self.cores, CEILING * self.cores * (1.0 + self.crowd)).max(1.0);
    }

    fn step_signal(&mut self, now: f64, busy: f64, out: &mut impl Writer) {
        if self.longest > TIGHT {
            self.pressure = (self.pressure + PRESS_UP).min(1.0);
        } else if self.longest < LOOSE {
            self.pressure = (self.pressure - PRESS_DOWN).max(0.0);
        }
        let amount = match self.signal {
            Signal::Silent => return,
            Signal::Level => 0.5 * self.pressure,
            Signal::Bias => 1.0 - 0.9 * self.pressure,
            // What can be finished within the shortest wait, beside what runs; far more while nothing waits.
            Signal::Tokens => {
                let wait = self.products.iter().map(|p| p.wait).fold(f64::MAX, f64::min);
                let seen = 1.0 - (-(now - self.started.unwrap_or(now)) / RATE_SPAN).exp();
                let room = self.limit + 0.5 * self.finished / seen.max(STEP) * wait;
                let idle = self.longest < LOOSE && busy < FULL;
                room * if idle { IDLE_ROOM } else { 1.0 } / self.callers
            }
        };
        if (amount - self.said).abs() > 1e-3 {
            self.said = amount;
            out.signal(amount);
        }
    }

    /// Nothing in hand passes its due time unanswered, whatever it is doing.
    fn answer_due(&mut self, now: f64, out: &mut impl Writer) {
        let mut late: Vec<usize> = Vec::new();
        for (at, txn) in &self.txns {
            if !txn.answered && now >= txn.due - MARGIN && txn.stage != Stage::Held {
                late.push(at);
            }
        }
        for at in late {
            let txn = &mut self.txns[at];
            out.void(txn.id);
            txn.answered = true;
            match txn.stage {
                Stage::Running if self.halts => out.pause(txn.id),
                Stage::Replaying => self.drop_hand(at),
                _ => {}
            }
        }
        // The same judgement at the second queue: who waited too long for a call leaves it out, where it may.
        for at in 0..self.txns.capacity() {
            let Some(txn) = self.txns.get(at) else { continue };
            let tp = &self.products[txn.product];
            if txn.stage == Stage::AtCall
                && !txn.answered
                && tp.skips
                && now - txn.at_call > CALL_WAIT * txn.sla
            {
                self.give_up_call(at, out);
            }
        }
    }

    /// Keeps held memory under the machine's, lowest worth first.
    fn cut_hold(&mut self, out: &mut impl Writer) {
        while self.used > RAM_HOLD * self.ram {
            let worst = self.hold.iter().copied().min_by(|&a, &b| {
                let (a, b) = (&self.txns[a], &self.txns[b]);
                self.worth(a).total_cmp(&self.worth(b)).then(b.arrived.total_cmp(&a.arrived))
            });
            let Some(at) = worst else { return };
            self.decline(at, MEMORY, out);
        }
    }

    /// Turns a held txn away, which never ran here, with advice to keep off.
    fn decline(&mut self, at: usize, reason: usize, out: &mut impl Writer) {
        let txn = &self.txns[at];
        if txn.kept {
            out.forget(txn.id);
            self.used -= self.key_ram;
        }
        // Where further tries are frequent the others are full too: walking on would only cost reading.
        let walking = txn.repeat || self.repeat_rate > WALKING * self.rate;
        let last = reason != LEAVING && walking;
        let sound = self.stretch.max(self.drag) < SOUND && self.leave.is_none();
        let keep_off = if sound { self.retry_after.min(RETRY_SOUND) } else { self.retry_after };
        out.decline(txn.id, keep_off, last);
        self.products[txn.product].declined[reason] += 1;
        self.drop_hand(at);
    }

    fn drop_hand(&mut self, at: usize) {
        let txn = self.txns.remove(at);
        self.places.remove(&txn.id);
        if txn.stage == Stage::Held {
            self.used -= txn.ram;
            if let Some(place) = self.hold.iter().position(|&h| h == at) {
                self.hold.swap_remove(place);
            }
        }
    }

    /// Counts what runs, what stands at calls and the memory in use.
    fn census(&mut self, now: f64) {
        let elapsed = now - self.calls_seen;
        let in_hands = (self.calling + self.lingering.len()) as f64;
        self.calls_mean += (in_hands - self.calls_mean) * (elapsed / self.calls_span).min(1.0);
        self.calls_seen = now;
        while self.keys.front().is_some_and(|&end| end < now) {
            self.keys.pop_front();
        }
        (self.running, self.parked, self.calling) = (0, 0, 0);
        let (mut age, mut usual, mut old) = (0.0, 0.0, 0);
        self.used = self.keys.len() as f64 * self.key_ram;
        for (_, txn) in &self.txns {
            match txn.stage {
                Stage::Held => self.used += txn.ram + if txn.kept { self.key_ram } else { 0.0 },
                Stage::Replaying => self.used += txn.ram,
                Stage::Running => {
                    self.running += 1;
                    let tp = &self.products[txn.product];
                    let takes = if tp.runs < NEW_RUNS { f64::MAX } else { tp.base * txn.size };
                    age += now - txn.begun - txn.away;
                    usual += takes;
                    old += usize::from(now - txn.begun - txn.away > SLOW * takes);
                }
                Stage::AtCall => self.parked += 1,
                Stage::Calling => {
                    self.parked += 1;
                    self.calling += 1;
                }
            }
            if matches!(txn.stage, Stage::Running | Stage::AtCall | Stage::Calling) {
                self.used += txn.ram * self.run_factor;
            }
        }
        // Runs in progress are on average as old as a run takes. Where most are far older the machine has slowed
        // or hangs, which finished runs tell only later; a few long ones that pin their slots don't count.
        let hangs = 2 * old > self.running && self.running as f64 >= self.cores;
        self.drag = if hangs { age / usual } else { 1.0 };
    }

    /// Guards against a slow machine where the list follows health: what is sent here waits, is read late and
    /// goes on elsewhere too late, so the server takes itself off the list for a while and then tries again.
    /// Judged by its own runs against their base, never by its load, or a crowded fleet would list itself out.
    fn step_health(&mut self, now: f64, out: &mut impl Writer) {
        let rise = self.stretch.max(self.drag);
        let slow = self.longest > LOOSE && rise > SLOW;
        self.slow_steps = if slow { self.slow_steps + 1 } else { 0 };
        match self.off_since {
            _ if !self.list_follows || self.leave.is_some() => {}
            None if self.slow_steps >= SLOW_STEPS => {
                self.off_since = Some(now);
                out.health(false, true);
                let (runs, open) = (self.stretch, self.drag);
                out.note(&format!("off the list: runs {runs:.1}, open runs {open:.1} of usual"));
            }
            Some(since) if now - since > OFF => {
                self.off_since = None;
                out.health(true, true);
            }
            _ => {}
        }
    }

    fn note(&mut self, out: &mut impl Writer) {
        let mut text = String::new();
        for (at, tp) in self.products.iter_mut().enumerate() {
            for (reason, count) in REASONS.iter().zip(&mut tp.declined) {
                if *count > 0 {
                    text.push_str(&format!(" product {at} {reason} {count},"));
                    *count = 0;
                }
            }
        }
        if !text.is_empty() {
            out.note(&format!("declined:{text} limit {:.1}, calls {:.1}", self.limit, self.window));
        }
    }
}

/// A mean that starts with its first sample.
fn learn(mean: f64, sample: f64, weight: f64) -> f64 {
    if mean == 0.0 {
        sample
    } else {
        mean + weight * (sample - mean)
    }
}
