//! Random schedules of reports, requests, delays and failures on a simulated clock. In each schedule no proxy uses an
//! expired decision, shares sum to 1, draining servers have no share, plan versions never go back, and all correct proxies
//! hold the latest plan after the last failure.

use puffinladder_control::report::LoadReport;
use puffinladder_control::resources::CLUSTER;
use puffinladder_control::service::{ControlService, RestoredSnapshot, ServiceConfig, StoredSnapshot};
use puffinladder_control::stream::nonce::requests_seen;
use puffinladder_control::stream::{PlanVersion, ProxyRequest, ResourceType, Update};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};

/// Number of schedules; the seed of each is its index.
const SCHEDULES: u64 = 2000;
const STEP: f64 = 0.05;
const BOUND: f64 = 2.0;

/// How a proxy responds to updates.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ProxyBehavior {
    Correct,
    /// Acknowledges after a delay, seconds.
    SlowAnswers(f64),
    NeverAnswers,
    /// Rejects every other update.
    RejectsAlternate,
    /// Responds with stale or unknown nonces.
    WrongNonces,
}

/// Resource held by a proxy.
#[derive(Clone, Debug, PartialEq)]
struct Held {
    version: u64,
    plan_version: PlanVersion,
    /// When the plan was computed, by the simulated clock.
    decided_at: f64,
    valid_until: f64,
}

struct Proxy {
    id: u64,
    node: String,
    incremental: bool,
    behavior: ProxyBehavior,
    connected: bool,
    /// Until then the proxy neither sends nor receives.
    paused_until: f64,
    held: BTreeMap<(ResourceType, String), Held>,
    /// When each request on the stream was sent.
    sent_at: Vec<f64>,
    /// Messages in transit with their arrival times.
    inbound: VecDeque<(f64, Update, f64)>,
    outbound: VecDeque<(f64, ProxyRequest)>,
    updates_received: u64,
}

impl Proxy {
    fn send_request(&mut self, now: f64, delay: f64, request: ProxyRequest) {
        self.sent_at.push(now);
        // Requests of a stream arrive in order.
        let at = self.outbound.back().map_or(now + delay, |last| last.0.max(now + delay));
        self.outbound.push_back((at, request));
    }

    fn connect(&mut self, now: f64, id: u64, service: &mut ControlService) {
        (self.id, self.connected) = (id, true);
        self.sent_at.clear();
        self.inbound.clear();
        self.outbound.clear();
        service.open_stream(now, id, &self.node, "a", self.incremental);
        for resource_type in ResourceType::ALL {
            let held = self.held.iter().filter(|((of, _), _)| *of == resource_type && self.incremental);
            let held = held.map(|((_, name), held)| (name.clone(), format!("{:x}", held.version))).collect();
            self.send_request(
                now,
                0.0,
                ProxyRequest {
                    resource_type: Some(resource_type),
                    initial_versions: held,
                    ..ProxyRequest::default()
                },
            );
        }
    }

    /// Applies an update; its lease starts when the last request that it follows was sent.
    fn handle_update(&mut self, now: f64, update: &Update, decided_at: f64, rng: &mut ChaCha8Rng) {
        self.updates_received += 1;
        let requests = requests_seen(&update.nonce).unwrap() as usize;
        let lease_start = self.sent_at[requests - 1];
        let rejects = self.behavior == ProxyBehavior::RejectsAlternate
            && update.entries.iter().any(|entry| !entry.heartbeat)
            && self.updates_received.is_multiple_of(2);
        let valid_until = update.ttl.map_or(f64::MAX, |lease| lease_start + lease);
        if !rejects {
            for entry in &update.entries {
                let key = (update.resource_type, entry.resource.name.clone());
                let new = Held {
                    version: entry.resource.version,
                    plan_version: update.version,
                    decided_at,
                    valid_until,
                };
                if entry.heartbeat {
                    // A heartbeat renews a held resource and never restores a removed one.
                    if let Some(held) = self.held.get_mut(&key).filter(|held| held.version == new.version) {
                        *held = new;
                    }
                } else {
                    self.held.insert(key, new);
                }
            }
            for name in &update.removed {
                self.held.remove(&(update.resource_type, name.clone()));
            }
        }
        let error = rejects.then(|| "no".to_owned());
        let nonce = match self.behavior {
            ProxyBehavior::WrongNonces if rng.random_bool(0.3) => format!("{}.7", rng.random_range(0..40)),
            _ => update.nonce.clone(),
        };
        let delay = match self.behavior {
            ProxyBehavior::SlowAnswers(delay) => delay,
            ProxyBehavior::NeverAnswers => return,
            _ => rng.random_range(0.0..0.15),
        };
        let answer = ProxyRequest {
            resource_type: Some(update.resource_type),
            nonce,
            error,
            ..ProxyRequest::default()
        };
        self.send_request(now, delay, answer);
    }

    /// Returns the endpoints that the proxy may use at `now`.
    fn usable_endpoints(&self, now: f64) -> Option<&Held> {
        let held = self.held.get(&(ResourceType::Endpoints, CLUSTER.into()))?;
        (now < held.valid_until).then_some(held)
    }
}

struct Server {
    report: LoadReport,
    clock_offset: f64,
    silent_until: f64,
    in_transit: Vec<(f64, LoadReport)>,
}

struct Simulation {
    rng: ChaCha8Rng,
    now: f64,
    service: Option<ControlService>,
    epoch: u64,
    proxies: Vec<Proxy>,
    servers: Vec<Server>,
    next_id: u64,
    /// Maximum age of a used decision, and the latest plan version that each proxy received.
    max_age: f64,
    last_versions: Vec<PlanVersion>,
    /// Until then updates are delayed, or reports are dropped.
    updates_delayed_until: f64,
    reports_dropped_until: f64,
    down_until: f64,
    with_snapshot: bool,
    stored_snapshot: Option<StoredSnapshot>,
    /// No more faults are injected.
    fault_free: bool,
}

fn report(name: &str) -> LoadReport {
    LoadReport::healthy_server(name, "127.0.0.1:4100".parse().unwrap())
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let servers = (0..rng.random_range(2..8))
            .map(|at| Server {
                report: report(&format!("n{at}")),
                clock_offset: rng.random_range(-50.0..50.0),
                silent_until: 0.0,
                in_transit: Vec::new(),
            })
            .collect();
        let behaviors = [
            ProxyBehavior::Correct,
            ProxyBehavior::Correct,
            ProxyBehavior::SlowAnswers(0.2),
            ProxyBehavior::SlowAnswers(3.0),
            ProxyBehavior::NeverAnswers,
            ProxyBehavior::RejectsAlternate,
            ProxyBehavior::WrongNonces,
        ];
        let proxies: Vec<Proxy> = (0..rng.random_range(2..7))
            .map(|at| Proxy {
                id: 0,
                node: format!("p{at}"),
                incremental: rng.random_bool(0.5),
                behavior: behaviors[rng.random_range(0..behaviors.len())],
                connected: false,
                paused_until: 0.0,
                held: BTreeMap::new(),
                sent_at: Vec::new(),
                inbound: VecDeque::new(),
                outbound: VecDeque::new(),
                updates_received: 0,
            })
            .collect();
        let service = Some(ControlService::new(0.0, ServiceConfig::default(), 1, None));
        let (last_versions, with_snapshot) =
            (vec![PlanVersion::default(); proxies.len()], rng.random_bool(0.5));
        Simulation {
            rng,
            now: 0.0,
            service,
            epoch: 1,
            proxies,
            servers,
            next_id: 1,
            max_age: 0.0,
            last_versions,
            updates_delayed_until: 0.0,
            reports_dropped_until: 0.0,
            down_until: 0.0,
            with_snapshot,
            stored_snapshot: None,
            fault_free: false,
        }
    }

    /// Injects a random fault.
    fn inject_fault(&mut self) {
        let (now, rng) = (self.now, &mut self.rng);
        let span = rng.random_range(0.2..6.0);
        let proxy_index = rng.random_range(0..self.proxies.len());
        let server = rng.random_range(0..self.servers.len());
        match rng.random_range(0..10) {
            0 => self.proxies[proxy_index].paused_until = now + span,
            1 => {
                // The proxy's connection breaks, or the proxy restarts.
                let proxy = &mut self.proxies[proxy_index];
                if let Some(service) = &mut self.service {
                    service.close_stream(proxy.id);
                }
                proxy.connected = false;
                if rng.random_bool(0.3) {
                    proxy.held.clear();
                }
            }
            2 => self.servers[server].silent_until = now + span,
            3 => self.servers.iter_mut().for_each(|server| server.silent_until = now + span),
            4 => self.servers[server].report.terminates_in = Some(3.0),
            5 => {
                let server = &mut self.servers[server].report;
                (server.incarnation, server.terminates_in, server.sequence) =
                    (server.incarnation + 1, None, 0);
            }
            6 => self.updates_delayed_until = now + span,
            7 => self.reports_dropped_until = now + span,
            8 => {
                // The service crashes and restarts with or without its snapshot.
                self.down_until = now + span;
                self.proxies.iter_mut().for_each(|proxy| proxy.connected = false);
            }
            _ => self
                .servers
                .iter_mut()
                .for_each(|server| server.report.service_time = rng.random_range(0.005..0.05)),
        }
    }

    fn step(&mut self, vary_service_time: bool) {
        self.now += STEP;
        let now = self.now;
        if now < self.down_until {
            if let Some(service) = self.service.take() {
                self.epoch += 1;
                self.stored_snapshot = service.stored_snapshot(now, now).filter(|_| self.with_snapshot);
            }
        } else if self.service.is_none() {
            let snapshot = self.stored_snapshot.take().map(|snapshot| {
                let age = now - snapshot.decided_at_unix;
                RestoredSnapshot { snapshot, age }
            });
            self.service = Some(ControlService::new(now, ServiceConfig::default(), self.epoch, snapshot));
        }
        self.deliver_reports(vary_service_time);
        self.run_streams();
        for proxy in &self.proxies {
            if let Some(held) = proxy.usable_endpoints(now) {
                let age = now - held.decided_at;
                assert!(age <= BOUND + 1e-6, "{} uses a decision that is {age:.3} s old", proxy.node);
                self.max_age = self.max_age.max(age);
            }
        }
    }

    fn deliver_reports(&mut self, vary_service_time: bool) {
        let now = self.now;
        for server in &mut self.servers {
            if (now / 0.25).floor() > ((now - STEP) / 0.25).floor() && now >= server.silent_until {
                server.report.sequence += 1;
                if vary_service_time {
                    server.report.service_time = self.rng.random_range(0.005..0.05);
                }
                let decided_at = now + 100.0 + server.clock_offset;
                let report = LoadReport { created_at: decided_at, ..server.report.clone() };
                // Delayed, lost, duplicated or reordered.
                let copies = if self.fault_free { 1 } else { [1, 1, 1, 2, 0][self.rng.random_range(0..5)] };
                for _ in 0..copies {
                    server.in_transit.push((now + self.rng.random_range(0.0..0.4), report.clone()));
                }
            }
            let due: Vec<LoadReport> = server
                .in_transit
                .iter()
                .filter(|(at, _)| *at <= now)
                .map(|(_, report)| report.clone())
                .collect();
            server.in_transit.retain(|(at, _)| *at > now);
            if let (Some(service), true) = (&mut self.service, now >= self.reports_dropped_until) {
                for report in due {
                    service.handle_report(now, report);
                }
            }
        }
    }

    fn run_streams(&mut self) {
        let now = self.now;
        let Some(service) = &mut self.service else { return };
        let mut sent_updates: Vec<(u64, Update)> = Vec::new();
        for proxy in &mut self.proxies {
            if now < proxy.paused_until {
                continue;
            }
            if !proxy.connected {
                proxy.connect(now, self.next_id, service);
                self.next_id += 1;
            }
            while proxy.outbound.front().is_some_and(|(at, _)| *at <= now) {
                let (_, request) = proxy.outbound.pop_front().unwrap();
                match service.handle_request(now, proxy.id, &request) {
                    Ok(updates) => sent_updates.extend(updates.into_iter().map(|update| (proxy.id, update))),
                    Err(_) => proxy.connected = false,
                }
            }
        }
        for event in service.tick(now) {
            let id = event.stream;
            match event.result {
                Ok(update) => sent_updates.push((id, update)),
                Err(_) => self
                    .proxies
                    .iter_mut()
                    .filter(|proxy| proxy.id == id)
                    .for_each(|proxy| proxy.connected = false),
            }
        }
        let decided_at = service.plan().map_or(0.0, |plan| plan.decided_at);
        for (id, update) in sent_updates {
            let Some(proxy) = self.proxies.iter_mut().find(|proxy| proxy.id == id && proxy.connected) else {
                continue;
            };
            // The stream is reliable: a partition delays updates and loses none.
            let at = (now + self.rng.random_range(0.0..0.1)).max(self.updates_delayed_until);
            let at = proxy.inbound.back().map_or(at, |last| last.0.max(at));
            proxy.inbound.push_back((at, update, decided_at));
        }
        for (proxy, last_version) in self.proxies.iter_mut().zip(&mut self.last_versions) {
            while now >= proxy.paused_until
                && proxy.connected
                && proxy.inbound.front().is_some_and(|(at, ..)| *at <= now)
            {
                let (_, update, decided_at) = proxy.inbound.pop_front().unwrap();
                // Plan versions never go back, even when the service restarts.
                assert!(
                    update.version >= *last_version,
                    "{} got {:?} after {last_version:?}",
                    proxy.node,
                    update.version
                );
                *last_version = update.version;
                proxy.handle_update(now, &update, decided_at, &mut self.rng);
            }
        }
        if let Some(plan) = service.plan() {
            let sum: f64 = plan.shares.iter().map(|share| share.weight).sum();
            assert!((sum - 1.0).abs() < 1e-6, "shares sum to {sum}");
            assert!(plan
                .shares
                .iter()
                .all(|server| server.weight == 0.0 || server.explanation.limited_by.as_str() != "leaves"));
        }
    }

    /// Runs without faults and asserts that all correct proxies hold the latest plan.
    fn assert_convergence(&mut self) {
        for server in &mut self.servers {
            (server.silent_until, server.report.terminates_in) = (0.0, None);
            server.report.incarnation += 1;
            (server.report.sequence, server.report.service_time) = (0, 0.01);
        }
        (self.updates_delayed_until, self.reports_dropped_until, self.down_until, self.fault_free) =
            (0.0, 0.0, 0.0, true);
        self.proxies.iter_mut().for_each(|proxy| proxy.paused_until = 0.0);
        for _ in 0..800 {
            self.step(false);
        }
        let service = self.service.as_ref().unwrap();
        for proxy in self
            .proxies
            .iter()
            .filter(|proxy| matches!(proxy.behavior, ProxyBehavior::Correct | ProxyBehavior::SlowAnswers(_)))
        {
            if proxy.behavior == ProxyBehavior::SlowAnswers(3.0) {
                continue;
            }
            let held = proxy
                .usable_endpoints(self.now)
                .unwrap_or_else(|| panic!("{} has no usable endpoints", proxy.node));
            let resources = service.resources_for("a", &proxy.node).unwrap();
            let (expected, node) = (resources.set(ResourceType::Endpoints)[CLUSTER].version, &proxy.node);
            assert_eq!(held.version, expected, "{node} ({:?}), {:?}", proxy.behavior, service.plan());
        }
    }
}

fn run_schedule(seed: u64) -> f64 {
    // Identifies the schedule if it fails.
    println!("schedule {seed}");
    let mut simulation = Simulation::new(seed);
    let steps = 400;
    for at in 0..steps {
        if at > 40 && simulation.rng.random_bool(0.04) {
            simulation.inject_fault();
        }
        let vary_service_time = seed.is_multiple_of(3);
        simulation.step(vary_service_time);
    }
    simulation.assert_convergence();
    simulation.max_age
}

#[test]
fn no_schedule_lets_a_proxy_use_an_expired_decision() {
    let max_age = (0..SCHEDULES).map(run_schedule).fold(0.0, f64::max);
    // Proxies did use decisions.
    assert!(max_age > 1.0, "{max_age}");
}
