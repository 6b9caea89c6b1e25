//! Emulated callers: each is the stand-in proxy of `examples/proxy` with a stream of its own to a control service; it subscribes, takes
//! and acknowledges resources, and keeps its leases. Where its stream ends it backs off and takes the next service.

use crate::connection_stats::{ConnectionStats, GaugeGuard, PeerConnection};
use crate::decision_latency::{DecisionLatencies, PlanVersion};
use crate::{instance_seed, names, staggered_starts};
use puffinladder_leases::SeededRandom;
use puffinladder_proxy::{Event, Proxy, TYPE_URLS};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;
use tokio::time::sleep;

/// The shortest pause after a stream ended, and the longest.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// A stream that was open for longer than this did not fail: the backoff begins anew.
const STABLE_STREAM: Duration = Duration::from_secs(5);
/// A backoff is drawn from up to so many times the last one.
const BACKOFF_GROWTH: u32 = 3;

/// Bits of all types of resources.
const ALL_TYPES: u8 = (1 << TYPE_URLS.len()) - 1;
/// Types whose decisions age, as bits by their places in [`TYPE_URLS`]: each stream has to acknowledge them anew. The others are not sent
/// again to a caller that says it holds their present versions.
const AGING_TYPES: u8 = 1 << 1 | 1 << 3;

/// What is emulated.
#[derive(Clone, Debug)]
pub struct CallersConfig {
    /// Number of callers.
    pub count: usize,
    /// Number of the first of them, from which names follow.
    pub first: usize,
    /// Control services that they subscribe at.
    pub control: Vec<SocketAddr>,
    /// Number of services that they belong to.
    pub services: usize,
    /// Number of zones that they belong to.
    pub zones: usize,
    /// Whether they subscribe to differences (delta xDS) rather than to the state of the world.
    pub incremental: bool,
    /// Seed of everything that is drawn.
    pub seed: u64,
    /// Time over which they start.
    pub start_within: Duration,
    /// The lease that control services give a fresh decision: what a lease lacks of it is the decision's age.
    pub lease: Duration,
}

/// A backoff from the shortest up to three times the last, `random` between 0 and 1 of the way, so that callers which lost the same
/// service do not come back at one moment.
pub fn backoff(last: Duration, random: f64) -> Duration {
    let range = (last * BACKOFF_GROWTH).saturating_sub(MIN_BACKOFF);
    (MIN_BACKOFF + range.mul_f64(random)).min(MAX_BACKOFF)
}

/// What one caller has acknowledged.
#[derive(Default)]
struct CallerState {
    connection: PeerConnection,
    connected: Option<GaugeGuard>,
    /// A bit for each type: of those that age on the present stream, of the others on any.
    acknowledged: u8,
    plan: Option<PlanVersion>,
}

/// One caller, for whoever counts.
struct Caller {
    proxy: Proxy,
    state: Arc<Mutex<CallerState>>,
}

/// Emulated callers that run; they end when this is dropped.
pub struct EmulatedCallers {
    _tasks: JoinSet<()>,
    callers: Vec<Caller>,
    /// What they count.
    pub stats: Arc<ConnectionStats>,
    latencies: Arc<Mutex<DecisionLatencies>>,
}

/// How many callers hold what they were sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallerCounts {
    /// Acknowledged all types, those that age on their present stream.
    pub acknowledged: usize,
    /// Acknowledged the highest plan seen last.
    pub latest: usize,
    /// Hold leases by which they may route.
    pub holding: usize,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl EmulatedCallers {
    /// Starts them on the current runtime.
    pub fn start(config: &CallersConfig) -> EmulatedCallers {
        let stats = Arc::new(ConnectionStats::default());
        let latencies = Arc::new(Mutex::new(DecisionLatencies::new(config.lease)));
        let mut tasks = JoinSet::new();
        let mut callers = Vec::with_capacity(config.count);
        let starts = staggered_starts(config.count, config.start_within, config.seed);
        for (index, start) in starts.into_iter().enumerate() {
            let number = config.first + index;
            let caller = Caller::new(config, number, &stats, &latencies);
            let random = SeededRandom::new(instance_seed(config.seed, number));
            tasks.spawn(subscribe(caller.proxy.clone(), config.control.clone(), number, start, random));
            callers.push(caller);
        }
        EmulatedCallers { _tasks: tasks, callers, stats, latencies }
    }

    /// How many hold what they were sent, by now.
    pub fn counts(&self) -> CallerCounts {
        let highest = lock(&self.latencies).highest();
        let mut counts = CallerCounts::default();
        for caller in &self.callers {
            counts.holding += usize::from(caller.proxy.can_route());
            let state = lock(&caller.state);
            counts.acknowledged += usize::from(state.acknowledged == ALL_TYPES);
            counts.latest += usize::from(highest.is_some() && state.plan == highest);
        }
        counts
    }

    /// Latencies of decisions, locked for as long as the guard lives.
    pub fn latencies(&self) -> MutexGuard<'_, DecisionLatencies> {
        lock(&self.latencies)
    }
}

impl Caller {
    fn new(
        config: &CallersConfig,
        number: usize,
        stats: &Arc<ConnectionStats>,
        latencies: &Arc<Mutex<DecisionLatencies>>,
    ) -> Caller {
        let service = names::service(number, config.services);
        let node = format!("{service}/c{number:05}");
        let state = Arc::new(Mutex::new(CallerState::default()));
        let (stats, latencies, entered) = (stats.clone(), latencies.clone(), state.clone());
        let listener = Arc::new(move |event: &Event| record_event(event, &stats, &latencies, &entered));
        let zone = names::zone(number, config.zones);
        let proxy = Proxy::new(&node, &service, &zone, config.incremental).with_listener(listener);
        Caller { proxy, state }
    }
}

/// Follows one control service after another. Each caller begins with another one, as callers that are given a list do.
async fn subscribe(
    proxy: Proxy,
    control: Vec<SocketAddr>,
    number: usize,
    start: Duration,
    mut random: SeededRandom,
) {
    sleep(start).await;
    let mut last = MIN_BACKOFF;
    for index in (0..control.len()).cycle().skip(number % control.len().max(1)) {
        let opened = Instant::now();
        // However the stream ended, another is opened.
        let _ = proxy.run_stream(control[index]).await;
        let previous = if opened.elapsed() > STABLE_STREAM { MIN_BACKOFF } else { last };
        last = backoff(previous, random.next_f64());
        sleep(last).await;
    }
}

fn record_event(
    event: &Event,
    stats: &Arc<ConnectionStats>,
    latencies: &Mutex<DecisionLatencies>,
    state: &Mutex<CallerState>,
) {
    match event {
        Event::StreamOpened => {
            let mut state = lock(state);
            state.connection.opened(stats);
            state.connected = Some(GaugeGuard::new(stats, |stats| &stats.connected));
        }
        Event::StreamClosed => {
            let mut state = lock(state);
            state.connection.closed();
            (state.connected, state.plan) = (None, None);
            state.acknowledged &= !AGING_TYPES;
        }
        Event::Sent(bytes) => {
            stats.sent.add(*bytes as u64);
            stats.messages_sent.add(1);
        }
        Event::Received(bytes) => {
            stats.received.add(*bytes as u64);
            stats.messages_received.add(1);
        }
        Event::Acknowledged(acked) => {
            {
                let mut state = lock(state);
                state.acknowledged |= acked.type_index.map_or(0, |kind| 1 << kind);
                state.plan = PlanVersion::parse(acked.plan);
            }
            lock(latencies).acknowledged(acked, Instant::now());
        }
    }
}
