//! Hollow callers: each is the stand-in proxy of `examples/proxy` with a stream of its own to a control service; it subscribes, takes, says so,
//! and keeps its leases. Where its stream ends it pauses, with chance, and takes the next service.

use crate::counts::{Counts, Held, Way};
use crate::{draw, starts};
use hdrhistogram::Histogram;
use puffinladder_leases::SeededRandom;
use puffinladder_proxy::{Acked, Event, Proxy, TYPES};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;
use tokio::time::sleep;

/// What is played.
#[derive(Clone, Debug)]
pub struct Told {
    pub count: usize,
    pub first: usize,
    pub control: Vec<SocketAddr>,
    /// Services that they belong to.
    pub services: usize,
    pub zones: usize,
    /// Differences, not the state of the world.
    pub incremental: bool,
    pub seed: u64,
    pub start_within: Duration,
    /// The lease that control services give a fresh decision: what a lease lacks of it is the decision's age.
    pub bound: Duration,
}

/// The first pause after a stream ended, and the longest.
const PAUSE: Duration = Duration::from_millis(50);
const LONGEST: Duration = Duration::from_secs(5);
/// A stream that stood for so long was none that failed.
const STOOD: Duration = Duration::from_secs(5);

/// A pause drawn between the shortest and three times the last, so that those who lost the same service do not come back in one moment.
pub fn pause(last: Duration, chance: f64) -> Duration {
    (PAUSE + (last * 3).saturating_sub(PAUSE).mul_f64(chance)).min(LONGEST)
}

/// A plan of one service: its life, then the plan's number in it.
pub type Version = (u64, u64);

/// Reads a version as services write it.
pub fn version(text: &str) -> Option<Version> {
    let (epoch, number) = text.split_once('.')?;
    Some((epoch.parse().ok()?, number.parse().ok()?))
}

/// Decisions whose times are remembered.
const DECISIONS: usize = 256;

/// When plans were decided, as far as leases tell, and how long it took from there until callers had said that they hold them.
pub struct Lags {
    bound: Duration,
    decided: BTreeMap<(SocketAddr, Version), Instant>,
    highest: Option<Version>,
    /// us, since the last look and in all.
    lately: Histogram<u64>,
    all: Histogram<u64>,
}

/// us: longer ones count as this long.
const MOST_LAG: u64 = 600_000_000;

impl Lags {
    pub fn new(bound: Duration) -> Lags {
        let fresh = || {
            Histogram::new_with_bounds(1, MOST_LAG, 2)
                .unwrap_or_else(|_| unreachable!("constant bounds that hold"))
        };
        Lags { bound, decided: BTreeMap::new(), highest: None, lately: fresh(), all: fresh() }
    }

    /// A caller said that it took a response. The decision was made no later than the earliest that any response of it tells; one that was
    /// made before the caller's stream stood tells how late the caller came, not the decision.
    pub fn acked(&mut self, acked: &Acked, now: Instant) {
        let Some(of) = version(acked.plan) else { return };
        self.highest = self.highest.max(Some(of));
        let Some(ttl) = acked.ttl else { return };
        let Some(made) = acked.received.checked_sub(self.bound.saturating_sub(ttl)) else { return };
        let decided = self.decided.entry((acked.service, of)).or_insert(made);
        *decided = made.min(*decided);
        let decided = *decided;
        if self.decided.len() > DECISIONS {
            let oldest = self.decided.iter().min_by_key(|(_, at)| **at).map(|(key, _)| *key);
            oldest.and_then(|key| self.decided.remove(&key));
        }
        if acked.bodies && decided >= acked.opened {
            let lag = now.saturating_duration_since(decided).as_micros() as u64;
            self.lately.saturating_record(lag.max(1));
            self.all.saturating_record(lag.max(1));
        }
    }

    /// The median and the 99th of a hundred, s; none where nothing came.
    fn spread(of: &Histogram<u64>) -> Option<(f64, f64)> {
        let at = |share| of.value_at_quantile(share) as f64 / 1e6;
        (!of.is_empty()).then(|| (at(0.5), at(0.99)))
    }

    /// Since the last look.
    pub fn lately(&mut self) -> Option<(f64, f64)> {
        let spread = Lags::spread(&self.lately);
        self.lately.reset();
        spread
    }
    pub fn all(&self) -> Option<(f64, f64)> {
        Lags::spread(&self.all)
    }
    pub fn highest(&self) -> Option<Version> {
        self.highest
    }
    /// Decisions that are remembered.
    pub fn len(&self) -> usize {
        self.decided.len()
    }
    pub fn is_empty(&self) -> bool {
        self.decided.is_empty()
    }
}

/// Types whose decisions age, as bits by their places in [`TYPES`]: each stream has to answer them anew. The others are not sent again to
/// a caller that says it holds their present versions.
const AGE: u8 = 1 << 1 | 1 << 3;

/// What one caller has said.
#[derive(Default)]
struct Stands {
    way: Way,
    connected: Option<Held>,
    /// A bit for each type: of those that age on its present stream, of the others on any.
    acked: u8,
    plan: Option<Version>,
}

/// One caller, for whoever counts.
struct Caller {
    proxy: Proxy,
    stands: Arc<Mutex<Stands>>,
}

/// All that run; they end with it.
pub struct Callers {
    _tasks: JoinSet<()>,
    all: Vec<Caller>,
    pub counts: Arc<Counts>,
    lags: Arc<Mutex<Lags>>,
}

fn open<T>(lock: &Mutex<T>) -> MutexGuard<'_, T> {
    lock.lock().unwrap_or_else(PoisonError::into_inner)
}

/// How callers stand with what they were sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Standing {
    /// Said that they took all types, those that age on their present stream.
    pub acked: usize,
    /// Their last answer was to the highest plan seen.
    pub latest: usize,
    /// Hold leases by which they may route.
    pub holding: usize,
}

impl Callers {
    /// Starts them on the present runtime.
    pub fn start(told: &Told) -> Callers {
        let counts = Arc::new(Counts::default());
        let lags = Arc::new(Mutex::new(Lags::new(told.bound)));
        let mut tasks = JoinSet::new();
        let mut all = Vec::with_capacity(told.count);
        for (at, start) in starts(told.count, told.start_within, told.seed).into_iter().enumerate() {
            let number = told.first + at;
            let service = draw::service(number, told.services);
            let node = format!("{service}/c{number:05}");
            let stands = Arc::new(Mutex::new(Stands::default()));
            let ears = {
                let (counts, lags, stands) = (counts.clone(), lags.clone(), stands.clone());
                Arc::new(move |event: &Event| heed(event, &counts, &lags, &stands))
            };
            let proxy =
                Proxy::new(&node, &service, &draw::zone(number, told.zones), told.incremental).heard(ears);
            all.push(Caller { proxy: proxy.clone(), stands });
            let control = told.control.clone();
            let mut chance = SeededRandom::new(told.seed ^ (number as u64 + 1) << 20);
            tasks.spawn(async move {
                sleep(start).await;
                let mut last = PAUSE;
                // Each begins elsewhere, as callers that are told a list do.
                for at in (0..control.len()).cycle().skip(number % control.len().max(1)) {
                    let begun = Instant::now();
                    let _ = proxy.follow(control[at]).await;
                    last = pause(if begun.elapsed() > STOOD { PAUSE } else { last }, chance.next_unit());
                    sleep(last).await;
                }
            });
        }
        Callers { _tasks: tasks, all, counts, lags }
    }

    pub fn standing(&self) -> Standing {
        let highest = open(&self.lags).highest();
        let mut standing = Standing::default();
        for caller in &self.all {
            standing.holding += usize::from(caller.proxy.holds());
            let stands = open(&caller.stands);
            standing.acked += usize::from(stands.acked == (1 << TYPES.len()) - 1);
            standing.latest += usize::from(highest.is_some() && stands.plan == highest);
        }
        standing
    }

    pub fn lags(&self) -> MutexGuard<'_, Lags> {
        open(&self.lags)
    }
}

fn heed(event: &Event, counts: &Arc<Counts>, lags: &Mutex<Lags>, stands: &Mutex<Stands>) {
    match event {
        Event::Opened => {
            let mut stands = open(stands);
            stands.way.opened(counts);
            stands.connected = Some(Held::new(counts, |counts| &counts.connected));
        }
        Event::Ended => {
            let mut stands = open(stands);
            stands.way.closed();
            (stands.connected, stands.plan) = (None, None);
            stands.acked &= !AGE;
        }
        Event::Sent(bytes) => {
            counts.sent.add(*bytes as u64);
            counts.messages_sent.add(1);
        }
        Event::Received(bytes) => {
            counts.received.add(*bytes as u64);
            counts.messages_received.add(1);
        }
        Event::Acked(acked) => {
            {
                let mut stands = open(stands);
                stands.acked |= acked.kind.map_or(0, |kind| 1 << kind);
                stands.plan = version(acked.plan);
            }
            open(lags).acked(acked, Instant::now());
        }
    }
}
