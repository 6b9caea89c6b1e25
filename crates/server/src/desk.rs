//! Owns the module: gathers news into rounds, carries out what it writes and wakes the txns it concerns.

use crate::clock;
use crate::life::House;
use crate::lock::lock;
use crate::memory::book::Book;
use crate::memory::hands::{Hands, Name, Slip, Word};
use crate::memory::keys::{Holder, Key, Keys, Print};
use crate::txn::Read;
use may::coroutine::{self, Coroutine};
use puffinladder::{AdmissionPolicy, Completion, Decisions, Gauges, Outcome, Reason, Request, RoundInput};
use puffinladder_trace::row::Topic;
use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};

pub struct Desk {
    plan: Mutex<Plan>,
    clerk: OnceLock<Coroutine>,
    good: AtomicBool,
    /// The free value as it goes out, `v=0.5`.
    signal: Mutex<Vec<u8>>,
    /// The time of the kill, after a notice to leave.
    kill: OnceLock<f64>,
    pub book: Book,
}

/// What becomes of a txn that is put before the module.
pub enum Offer {
    Taken(u32),
    /// One of its name is in hand.
    Named,
    /// Its key is held by one of other content; it waits on its slip, unknown to the module.
    Doubtful,
    /// One of other content ran under its key.
    Other,
    /// There is no room for its key: a repeat could run, so it must not.
    Full,
}

/// What is decided with, and on.
struct Plan {
    brain: AdmissionPolicy,
    hands: Hands,
    keys: Keys,
    news: RoundInput,
    /// When each arrival among the news came to the machine, by the Unix clock; whether there is any news.
    stamps: Vec<f64>,
    any: bool,
    /// When the module wants its next beat; whether its gauges were asked for, and under which tag.
    wake_at: f64,
    asked: Option<u64>,
    gauges: Option<Gauges>,
    tag: u64,
    keep: f64,
    chores_at: f64,
}

impl Desk {
    pub fn new(brain: AdmissionPolicy, keys: Keys, idle: f64, book: Book) -> Desk {
        let plan = Plan {
            brain,
            hands: Hands::default(),
            keys,
            news: RoundInput::default(),
            stamps: Vec::new(),
            any: false,
            wake_at: f64::MAX,
            asked: None,
            gauges: None,
            tag: 0,
            keep: idle,
            chores_at: 0.0,
        };
        Desk {
            plan: Mutex::new(plan),
            clerk: OnceLock::new(),
            good: AtomicBool::new(true),
            signal: Mutex::default(),
            kill: OnceLock::new(),
            book,
        }
    }

    fn plan(&self) -> MutexGuard<'_, Plan> {
        lock(&self.plan)
    }

    /// Has the desk look up soon.
    pub fn ring(&self) {
        if let Some(clerk) = self.clerk.get() {
            clerk.unpark();
        }
    }

    /// Enters news for the next round.
    fn tell(&self, news: impl FnOnce(&mut Plan)) {
        let mut plan = self.plan();
        news(&mut plan);
        plan.any = true;
        drop(plan);
        self.ring();
    }

    /// Puts a txn that was read before the module. For a key that one of other content holds it waits till
    /// `until` at the most.
    pub fn offer(&self, read: &Read, arrived: f64, slip: &Arc<Slip>, until: f64) -> Offer {
        let mut plan = self.plan();
        let Some(id) = plan.hands.take(read.name, read.key, slip.clone()) else { return Offer::Named };
        let holder = read.key.map_or(Holder::Nobody, |key| plan.keys.read(key, read.print, id, arrived));
        let forerunner = match holder {
            Holder::Nobody => Ok(0),
            Holder::Same(forerunner) => Ok(forerunner),
            Holder::Doubtful => Err(Offer::Doubtful),
            Holder::Other => Err(Offer::Other),
            Holder::Full => Err(Offer::Full),
        };
        let forerunner = match forerunner {
            Ok(forerunner) => forerunner,
            Err(offer) => {
                plan.hands.drop(id);
                if let (Offer::Doubtful, Some(key)) = (&offer, &read.key) {
                    plan.keys.contend(key, read.print, slip, until);
                }
                return offer;
            }
        };
        plan.news.arrivals.push(Request { id, earlier_attempt: forerunner, ..read.news });
        plan.stamps.push(read.stamp);
        plan.any = true;
        drop(plan);
        self.ring();
        Offer::Taken(id)
    }
    pub fn at_call(&self, id: u32) {
        self.tell(|plan| plan.news.awaiting_call.push(id));
    }
    pub fn returned(&self, id: u32, outcome: Outcome, took: f64) {
        self.tell(|plan| plan.news.finished_calls.push(Completion { id, outcome, duration: took }));
    }
    pub fn ended(&self, id: u32, outcome: Outcome, took: f64) {
        self.tell(|plan| {
            // Its name is free from now on, whenever the module gets to hear of it.
            plan.hands.drop(id);
            plan.news.finished_runs.push(Completion { id, outcome, duration: took });
        });
    }
    pub fn gone(&self, id: u32) {
        self.tell(|plan| plan.news.abandoned.push(id));
    }
    /// The notice to leave: the kill comes at that time.
    pub fn leave(&self, kill: f64, now: f64) {
        self.kill.get_or_init(|| kill);
        self.book.leave(now, kill);
        self.tell(|plan| plan.news.drain_deadline = Some(kill));
    }
    /// When the kill comes, after a notice to leave.
    pub fn kill(&self) -> Option<f64> {
        self.kill.get().copied()
    }

    /// A run of a referenced txn is over, with a result or without.
    pub fn ran(&self, key: Option<&Key>, id: u32, result: Option<&Arc<Vec<u8>>>) {
        if let Some(key) = key {
            self.plan().keys.ran(key, id, result.cloned());
        }
    }
    pub fn never_ran(&self, key: Option<&Key>, id: u32) {
        if let Some(key) = key {
            self.plan().keys.never_ran(key, id);
        }
    }
    pub fn replay(&self, key: &Key, print: Print, slip: &Arc<Slip>) {
        self.plan().keys.replay(key, print, slip);
    }

    pub fn slip(&self, name: &Name) -> Option<Arc<Slip>> {
        self.plan().hands.named(name).cloned()
    }
    /// The agent is back: all in hand look whether it missed something.
    pub fn resume(&self) {
        self.plan().hands.slips().for_each(|slip| slip.say(Word::Resume));
    }
    /// The process ends: what is still in hand closes its books.
    pub fn close(&self) {
        self.plan().hands.slips().for_each(|slip| slip.say(Word::Close));
    }

    /// The gauges that were asked for under a tag.
    pub fn gauges(&self, tag: u64, gauges: Gauges) {
        self.book.gauges(&gauges);
        let mut plan = self.plan();
        if plan.asked == Some(tag) {
            plan.gauges = Some(gauges);
            drop(plan);
            self.ring();
        }
    }

    /// The agent is up: the module begins, if nothing has made it begin yet.
    pub fn start(&self) {
        self.tell(|_| {});
    }

    /// Runs that are open.
    pub fn running(&self) -> usize {
        self.plan().hands.running()
    }
    pub fn serving(&self) -> bool {
        self.good.load(Ordering::Relaxed)
    }
    /// Appends the free value's field, if there is one.
    pub fn put_signal(&self, out: &mut Vec<u8>) {
        out.extend_from_slice(&lock(&self.signal));
    }

    /// Works for as long as the process lives.
    pub fn run(&self, house: &Arc<House>) {
        self.clerk.get_or_init(coroutine::current);
        loop {
            self.turn(house);
            coroutine::park();
        }
    }

    fn turn(&self, house: &Arc<House>) {
        let now = house.clock.now();
        house.store.hurry(now, house.limits.store);
        let mut plan = self.plan();
        if now >= plan.chores_at {
            plan.chores_at = now + house.limits.chores.as_secs_f64();
            plan.keys.expire(now);
            let keep = plan.keep;
            drop(plan);
            house.gateways.tidy(house, keep);
            house.agent.hurry(now - house.limits.mark_wait);
            house.tally.report(house, now);
            house.chores.ring();
            plan = self.plan();
        }
        let mut wake = None;
        if plan.asked.is_some() && (plan.gauges.is_some() || now >= plan.wake_at) {
            // The beat comes on time, with no gauges if the agent does not answer.
            plan.asked = None;
            plan.wake_at = f64::MAX;
            wake = Some(plan.gauges.take().unwrap_or_default());
        } else if plan.asked.is_none() && now >= plan.wake_at {
            plan.tag += 1;
            plan.asked = Some(plan.tag);
            plan.wake_at = now + house.limits.gauges.as_secs_f64();
            house.agent.sample(plan.tag);
        }
        if plan.any || wake.is_some() {
            self.round(&mut plan, now, wake);
        }
        house.alarm.set(plan.wake_at.min(plan.chores_at) - now);
    }

    fn round(&self, plan: &mut Plan, now: f64, wake: Option<Gauges>) {
        let Plan { brain, hands, keys, news, stamps, wake_at, keep, .. } = plan;
        for (txn, stamp) in news.arrivals.iter_mut().zip(stamps.drain(..)) {
            txn.time_unread = clock::age(stamp);
        }
        news.tick = wake;
        let mut pen = Pen { desk: self, hands, keys, now, wake_at, keep };
        brain.decide(&news.round(now), &mut pen);
        for &id in &news.abandoned {
            if hands.get_mut(id).is_some_and(|hand| !hand.running) {
                over(hands, keys, id, Word::Over);
            }
        }
        news.clear();
        plan.any = false;
    }
}

/// Ends a txn that never ran.
fn over(hands: &mut Hands, keys: &mut Keys, id: u32, word: Word) {
    if let Some(hand) = hands.drop(id) {
        if let Some(key) = &hand.key {
            keys.never_ran(key, id);
        }
        hand.slip.say(word);
    }
}

/// Carries out what the module writes.
struct Pen<'a> {
    desk: &'a Desk,
    hands: &'a mut Hands,
    keys: &'a mut Keys,
    now: f64,
    wake_at: &'a mut f64,
    keep: &'a mut f64,
}

impl Pen<'_> {
    fn say(&mut self, id: u32, word: Word) {
        if let Some(hand) = self.hands.get_mut(id) {
            hand.slip.say(word);
        }
    }
}

impl Decisions for Pen<'_> {
    fn run(&mut self, id: u32) {
        if let Some(hand) = self.hands.get_mut(id) {
            hand.running = true;
            hand.slip.say(Word::Run);
        }
    }
    fn reject(&mut self, id: u32, retry_after: f64, last: bool, reason: Reason) {
        over(self.hands, self.keys, id, Word::Decline { retry_after, last, reason });
    }
    fn fail(&mut self, id: u32, reason: Reason) {
        self.say(id, Word::Void(reason));
        // What was held or waited for a result is over with its answer.
        if self.hands.get_mut(id).is_some_and(|hand| !hand.running) {
            over(self.hands, self.keys, id, Word::Over);
        }
    }
    fn preempt(&mut self, id: u32) {
        self.say(id, Word::Pause);
    }
    fn allow_call(&mut self, id: u32, limit: f64) {
        self.say(id, Word::Call { limit });
    }
    fn skip_call(&mut self, id: u32) {
        self.say(id, Word::SkipCall);
    }
    fn remember_key(&mut self, id: u32, span: f64) {
        if let Some(key) = self.hands.get_mut(id).and_then(|hand| hand.key) {
            self.keys.remember(&key, id, self.now + span);
        }
    }
    fn forget_key(&mut self, id: u32) {
        if let Some(key) = self.hands.get_mut(id).filter(|hand| !hand.running).and_then(|hand| hand.key) {
            self.keys.never_ran(&key, id);
        }
    }
    fn replay_result(&mut self, id: u32) {
        self.say(id, Word::Replay);
    }
    fn set_health(&mut self, good: bool, _stored: bool) {
        self.desk.good.store(good, Ordering::Relaxed);
        self.desk.book.health(self.now, good);
    }
    fn set_load_signal(&mut self, amount: f64) {
        let mut signal = lock(&self.desk.signal);
        signal.clear();
        let _ = write!(signal, "v={amount:.4}");
        self.desk.book.change(self.now, Topic::SIGNAL, amount);
    }
    fn set_keepalive(&mut self, span: f64) {
        *self.keep = span;
    }
    fn schedule_tick(&mut self, after: f64) {
        *self.wake_at = self.now + after;
    }
    fn record_limits(&mut self, runs: f64, calls: f64, pressure: f64) {
        self.desk.book.limits(self.now, runs, calls, pressure);
    }
    fn log(&mut self, text: &str) {
        tracing::info!("module: {text}");
    }
}
