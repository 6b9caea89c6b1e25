//! Fleet of control services and emulated servers and callers: started, killed and observed.

use super::{Assertion, Expectation, FleetConfig, FleetSize, Scenario};
use crate::process::{Process, Program};
use crate::relay::Relay;
use puffinladder_leases::protocol::Event;
use serde::de::DeserializeOwned;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Time limit of each wait; exceeding it fails the run.
const WAIT_TIMEOUT_S: f64 = 120.0;
const POLL_INTERVAL: Duration = Duration::from_millis(100);
const DEBUG_REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_RESPONSE_BYTES: u64 = 64 << 20;
/// Time until a service drops a silent server; shorter than the default to keep the tests short.
const SILENT_SERVER_EXPIRY_S: f64 = 6.0;
/// Consecutive plans without responses after which the fleet counts as stable.
const STABLE_PLANS: f64 = 8.0;
/// Lifetime of an emulator process if this process is killed.
const EMULATOR_SPAN: &str = "1h";
/// Report interval of an emulated server.
pub const REPORT_INTERVAL_S: f64 = 0.25;

static FLEET_COUNT: AtomicU32 = AtomicU32::new(0);

/// Metrics of a service by name, without the common prefix, and labels.
#[derive(Clone, Debug, Default)]
pub struct Metrics(BTreeMap<String, f64>);

impl Metrics {
    /// Returns a value, NaN if the service reports no such metric.
    pub fn get(&self, name: &str) -> f64 {
        self.0.get(name).copied().unwrap_or(f64::NAN)
    }
    /// Returns the bytes of responses of all resource types, as `content` or as `renewal`.
    pub fn response_bytes(&self, what: &str) -> f64 {
        let of = |kind| self.get(&format!("response_bytes_total{{type=\"{kind}\",what=\"{what}\"}}"));
        ["cluster", "endpoints", "listener", "routes"].into_iter().map(of).sum()
    }
    /// Returns the same metrics with all values 0.
    pub fn zeroed(&self) -> Metrics {
        Metrics(self.0.keys().map(|name| (name.clone(), 0.0)).collect())
    }
    pub fn read(text: &str) -> Metrics {
        let line = |line: &str| {
            let (name, value) = line.strip_prefix("puffinladder_control_")?.rsplit_once(' ')?;
            Some((name.to_string(), value.parse().ok()?))
        };
        Metrics(text.lines().filter_map(line).collect())
    }
}

/// State of a caller, as a service reports it.
#[derive(Clone, Debug, Deserialize)]
pub struct CallerView {
    pub node: String,
    pub zone: String,
    pub settled: bool,
    pub open_for: f64,
    pub sent: u64,
    pub heartbeats: u64,
}

#[derive(Deserialize)]
struct CallersView {
    proxies: Vec<CallerView>,
}

/// Last report of a server: its clock, s, and its number of reports.
#[derive(Clone, Debug, Deserialize)]
pub struct ServerView {
    pub instance: String,
    pub sequence: u64,
    pub made: f64,
}

#[derive(Deserialize)]
struct ServerEntry {
    report: ServerView,
}

#[derive(Deserialize)]
struct ServersView {
    servers: Vec<ServerEntry>,
}

#[derive(Deserialize)]
struct PlanView {
    epoch: f64,
}

struct Service {
    process: Option<Process>,
    ready: Arc<Mutex<Option<Vec<SocketAddr>>>>,
    /// Addresses assigned at the first start, for xDS, reports and debug pages.
    addresses: Option<Vec<SocketAddr>>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EmulatorKind {
    Servers,
    Callers,
}

/// Last status line of an emulator process.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub struct EmulatorStatus {
    pub reconnects: u64,
}

/// Servers or callers that an emulator process plays.
#[derive(Clone, Debug)]
pub struct EmulatorSpec {
    pub kind: EmulatorKind,
    pub count: usize,
    pub first: usize,
    pub zones: usize,
    /// Indexes of its control services, and whether each is reached through a relay.
    pub control: Vec<(usize, bool)>,
}

struct Emulator {
    spec: EmulatorSpec,
    relays: Vec<Option<Relay>>,
    process: Option<Process>,
    status: Arc<Mutex<EmulatorStatus>>,
}

pub struct Fleet<'a> {
    config: &'a FleetConfig,
    scenario: Scenario,
    pub folder: PathBuf,
    services: Vec<Service>,
    emulators: Vec<Emulator>,
    pub assertions: Vec<Assertion>,
}

fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

impl<'a> Fleet<'a> {
    /// Starts a fleet of that many control services.
    pub async fn start(
        config: &'a FleetConfig,
        scenario: Scenario,
        services: usize,
    ) -> Result<Fleet<'a>, String> {
        let number = FLEET_COUNT.fetch_add(1, Ordering::Relaxed);
        let folder = config.folder.join(format!("scale-{scenario}-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        let mut fleet = Fleet {
            config,
            scenario,
            folder,
            services: Vec::new(),
            emulators: Vec::new(),
            assertions: Vec::new(),
        };
        for at in 0..services {
            fleet.services.push(Service { process: None, ready: Arc::default(), addresses: None });
            fleet.start_service(at).await?;
        }
        Ok(fleet)
    }

    /// Starts a service, at its former addresses if it ran before.
    pub async fn start_service(&mut self, at: usize) -> Result<(), String> {
        let settings = self.folder.join(format!("control-{at}.scm"));
        let service = &mut self.services[at];
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let given = service.addresses.clone().unwrap_or_else(|| vec![any; 3]);
        let text = format!(
            "(control (xds \"{}\") (reports \"{}\") (debug \"{}\") (most-proxies 100000))\n",
            given[0], given[1], given[2]
        );
        std::fs::write(&settings, text).map_err(|e| format!("{}: {e}", settings.display()))?;
        let program =
            Program { path: self.config.program.clone(), leading_args: vec!["prove".into(), "part".into()] };
        let args = [
            "control".to_string(),
            format!("--settings={}", settings.display()),
            format!("--forget={SILENT_SERVER_EXPIRY_S}"),
        ];
        let log = self.folder.join(format!("control-{at}.log"));
        *lock(&service.ready) = None;
        let ready = service.ready.clone();
        let on_line = move |line: Option<&str>| {
            if let Some(Ok(Event::Ready { listen })) = line.map(serde_json::from_str) {
                *lock(&ready) = listen.split(' ').map(|at| at.parse().ok()).collect();
            }
            true
        };
        let started = Process::spawn_with_line_handler(&program, &args, &log, on_line);
        service.process = Some(started.map_err(|e| format!("{}: {e}", program.path.display()))?);
        let end = Instant::now() + Duration::from_secs_f64(WAIT_TIMEOUT_S);
        loop {
            let ready = lock(&self.services[at].ready).clone();
            if let Some(ready @ [_, _, _]) = ready.as_deref() {
                self.services[at].addresses = Some(ready.to_vec());
                return Ok(());
            }
            self.check_processes()?;
            if Instant::now() > end {
                return Err(format!("control service {at} was not ready within {WAIT_TIMEOUT_S} s"));
            }
            sleep(POLL_INTERVAL / 5).await;
        }
    }

    /// Kills the process with SIGKILL.
    pub fn kill_service(&mut self, at: usize) {
        self.services[at].process = None;
    }

    fn address(&self, kind: EmulatorKind, service: usize) -> Result<SocketAddr, String> {
        let at = self.services[service].addresses.as_deref().unwrap_or_default();
        let place = usize::from(kind == EmulatorKind::Servers);
        at.get(place).copied().ok_or_else(|| format!("control service {service} was never started"))
    }

    /// Starts an emulator process and returns its index; its peers connect within the given time, `0s` means at once.
    pub async fn start_emulator(&mut self, spec: EmulatorSpec, within: &str) -> Result<usize, String> {
        let mut relays = Vec::new();
        for &(service, through_relay) in &spec.control {
            let relay = match through_relay {
                true => {
                    let seed = self.config.seed ^ (self.emulators.len() as u64) << 8;
                    let relay = Relay::open(seed).await.map_err(|e| format!("cannot open a relay: {e}"))?;
                    relay.set_target(Some(self.address(spec.kind, service)?));
                    Some(relay)
                }
                false => None,
            };
            relays.push(relay);
        }
        self.emulators.push(Emulator { spec, relays, process: None, status: Arc::default() });
        let emulator = self.emulators.len() - 1;
        self.restart_emulator(emulator, within)?;
        Ok(emulator)
    }

    /// Starts an emulator process again with the same peer names.
    pub fn restart_emulator(&mut self, emulator: usize, within: &str) -> Result<(), String> {
        let Emulator { spec, relays, .. } = &self.emulators[emulator];
        let mut control = Vec::new();
        for ((service, _), relay) in spec.control.iter().zip(relays) {
            let at = match relay {
                Some(relay) => relay.address,
                None => self.address(spec.kind, *service)?,
            };
            control.push(at.to_string());
        }
        let mut args = vec![
            match spec.kind {
                EmulatorKind::Servers => "servers".to_string(),
                EmulatorKind::Callers => "callers".to_string(),
            },
            format!("--count={}", spec.count),
            format!("--first={}", spec.first),
            format!("--zones={}", spec.zones),
            format!("--control={}", control.join(",")),
            format!("--seed={}", self.config.seed),
            format!("--start-within={within}"),
            format!("--span={EMULATOR_SPAN}"),
        ];
        match spec.kind {
            EmulatorKind::Servers => {
                args.extend([format!("--every={}ms", REPORT_INTERVAL_S * 1e3), "--calm".into()])
            }
            EmulatorKind::Callers => args.push("--mode=delta".into()),
        }
        let program = Program { path: self.config.program.clone(), leading_args: vec!["emulate".into()] };
        let log = self.folder.join(format!("party-{emulator}.log"));
        let status = Arc::new(Mutex::new(EmulatorStatus::default()));
        let latest = status.clone();
        let on_line = move |line: Option<&str>| {
            if let Some(Ok(status)) = line.map(serde_json::from_str) {
                *lock(&latest) = status;
            }
            true
        };
        let started = Process::spawn_with_line_handler(&program, &args, &log, on_line);
        let emulator = &mut self.emulators[emulator];
        emulator.process = Some(started.map_err(|e| format!("{}: {e}", program.path.display()))?);
        emulator.status = status;
        Ok(())
    }

    /// Kills the process with SIGKILL.
    pub fn kill_emulator(&mut self, emulator: usize) {
        self.emulators[emulator].process = None;
    }

    pub fn relays(&self, emulator: usize) -> impl Iterator<Item = &Relay> {
        self.emulators[emulator].relays.iter().flatten()
    }

    /// Returns the last status of an emulator process.
    pub fn emulator_status(&self, emulator: usize) -> EmulatorStatus {
        *lock(&self.emulators[emulator].status)
    }

    /// Fails if a process has exited.
    fn check_processes(&mut self) -> Result<(), String> {
        let services = self.services.iter_mut().enumerate();
        let services = services.map(|(at, s)| (format!("control service {at}"), &mut s.process));
        let emulators = self.emulators.iter_mut().enumerate();
        let emulators = emulators.map(|(at, p)| (format!("emulator process {at}"), &mut p.process));
        for (who, process) in services.chain(emulators) {
            if let Some(ended) = process.as_mut().and_then(Process::exit_status) {
                return Err(format!("{who} exited unexpectedly: {ended}, see {}", self.folder.display()));
            }
        }
        Ok(())
    }

    async fn debug_page(&self, service: usize, path: &str) -> Result<String, String> {
        let at = self.services[service].addresses.as_deref().and_then(|at| at.get(2)).copied();
        let at = at.ok_or("the service has no debug address")?;
        let asked = async {
            let mut stream = TcpStream::connect(at).await?;
            let request = format!("GET {path} HTTP/1.1\r\nHost: control\r\nConnection: close\r\n\r\n");
            stream.write_all(request.as_bytes()).await?;
            let mut text = String::new();
            stream.take(MAX_RESPONSE_BYTES).read_to_string(&mut text).await?;
            std::io::Result::Ok(text)
        };
        let named = |what: String| format!("control service {service}, {path}: {what}");
        let text = timeout(DEBUG_REQUEST_TIMEOUT, asked)
            .await
            .map_err(|_| named(format!("no answer within {} s", DEBUG_REQUEST_TIMEOUT.as_secs())))?;
        let text = text.map_err(|e| named(e.to_string()))?;
        let (head, body) =
            text.split_once("\r\n\r\n").ok_or_else(|| named("response without an end of headers".into()))?;
        match head.starts_with("HTTP/1.1 200") {
            true => Ok(body.to_string()),
            false => Err(named(head.lines().next().unwrap_or_default().to_string())),
        }
    }

    async fn debug_json<T: DeserializeOwned>(&self, service: usize, path: &str) -> Result<T, String> {
        let text = self.debug_page(service, path).await?;
        serde_json::from_str(&text).map_err(|e| format!("control service {service}, {path}: {e}"))
    }

    pub async fn metrics(&self, service: usize) -> Result<Metrics, String> {
        Ok(Metrics::read(&self.debug_page(service, "/metrics").await?))
    }

    /// Returns the callers of a service by node.
    pub async fn callers(&self, service: usize) -> Result<BTreeMap<String, CallerView>, String> {
        let all: CallersView = self.debug_json(service, "/proxies").await?;
        Ok(all.proxies.into_iter().map(|caller| (caller.node.clone(), caller)).collect())
    }

    /// Returns the servers of a service by instance.
    pub async fn servers(&self, service: usize) -> Result<BTreeMap<String, ServerView>, String> {
        let all: ServersView = self.debug_json(service, "/servers").await?;
        Ok(all.servers.into_iter().map(|s| (s.report.instance.clone(), s.report)).collect())
    }

    /// Returns the epoch of the current plan.
    pub async fn epoch(&self, service: usize) -> Result<f64, String> {
        let plan: PlanView = self.debug_json(service, "/plan").await?;
        Ok(plan.epoch)
    }

    /// Returns the number of open descriptors of a service: the smallest of five samples, as the last debug request may still be open.
    pub async fn descriptors(&self, service: usize) -> f64 {
        let mut least = f64::MAX;
        for _ in 0..5 {
            sleep(POLL_INTERVAL / 5).await;
            least = least.min(self.open_descriptors(service));
        }
        least
    }

    /// Waits until a service has at most `limit` open descriptors, and returns their number then or at the time limit.
    pub async fn wait_for_descriptors(&self, service: usize, limit: f64) -> f64 {
        let end = Instant::now() + Duration::from_secs_f64(WAIT_TIMEOUT_S);
        loop {
            let open = self.open_descriptors(service);
            if open <= limit || Instant::now() > end {
                return open;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    fn open_descriptors(&self, service: usize) -> f64 {
        let process = self.services[service].process.as_ref();
        let folder = process.map(|process| PathBuf::from(format!("/proc/{}/fd", process.id())));
        let count = folder.and_then(|folder| std::fs::read_dir(folder).ok()).map(Iterator::count);
        count.map_or(f64::NAN, |count| count as f64)
    }

    /// Polls the metrics of a service until `wanted` is true.
    ///
    /// # Errors
    ///
    /// A process exited, a request failed, or the time limit was exceeded.
    pub async fn wait_for_metrics(
        &mut self,
        service: usize,
        what: &str,
        mut wanted: impl FnMut(&Metrics) -> bool,
    ) -> Result<Metrics, String> {
        let end = Instant::now() + Duration::from_secs_f64(WAIT_TIMEOUT_S);
        loop {
            self.check_processes()?;
            let metrics = self.metrics(service).await?;
            if wanted(&metrics) {
                return Ok(metrics);
            }
            if Instant::now() > end {
                let names = [
                    "servers",
                    "servers_fresh",
                    "report_connections",
                    "proxies",
                    "proxies_settled",
                    "plans_total",
                ];
                let seen: Vec<String> =
                    names.iter().map(|name| format!("{name} {}", metrics.get(name))).collect();
                return Err(format!("no {what} within {WAIT_TIMEOUT_S} s: {}", seen.join(", ")));
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Polls the callers of a service until `wanted` is true.
    pub async fn wait_for_callers(
        &mut self,
        service: usize,
        what: &str,
        wanted: impl Fn(&BTreeMap<String, CallerView>) -> bool,
    ) -> Result<BTreeMap<String, CallerView>, String> {
        let end = Instant::now() + Duration::from_secs_f64(WAIT_TIMEOUT_S);
        loop {
            self.check_processes()?;
            let callers = self.callers(service).await?;
            if wanted(&callers) {
                return Ok(callers);
            }
            if Instant::now() > end {
                return Err(format!("no {what} within {WAIT_TIMEOUT_S} s: {} callers", callers.len()));
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until all peers are connected, all callers have the plan, and only renewals are sent.
    pub async fn wait_until_stable(&mut self, service: usize, size: FleetSize) -> Result<Metrics, String> {
        let (servers, callers) = (size.servers as f64, size.callers as f64);
        let mut since: Option<(f64, f64)> = None;
        let still = move |metrics: &Metrics| {
            let all = [("servers", servers), ("servers_fresh", servers), ("report_connections", servers)];
            let all = all.into_iter().chain([("proxies", callers), ("proxies_settled", callers)]);
            let (sent, plans) = (metrics.get("responses_total"), metrics.get("plans_total"));
            if !all.into_iter().all(|(name, wanted)| metrics.get(name) == wanted) {
                since = None;
                return false;
            }
            match since {
                Some((of, from)) if of == sent => plans >= from + STABLE_PLANS,
                _ => {
                    since = Some((sent, plans));
                    false
                }
            }
        };
        self.wait_for_metrics(service, "stable fleet", still).await
    }

    /// Records a check.
    pub fn expect(&mut self, description: impl Into<String>, expected: Expectation, observed: f64) {
        self.assertions.push(Assertion {
            scenario: self.scenario,
            description: description.into(),
            expected,
            observed,
        });
    }

    /// Kills all processes; the folder is kept if a check failed or `keep` is set.
    pub fn finish(self, failed: bool) -> (Vec<Assertion>, Option<PathBuf>) {
        let Fleet { config, folder, assertions, services, emulators, .. } = self;
        drop((services, emulators));
        let failed = failed || !assertions.iter().all(Assertion::passed);
        if failed || config.keep {
            return (assertions, Some(folder));
        }
        remove_folder(&folder);
        (assertions, None)
    }
}

fn remove_folder(folder: &Path) {
    if let Err(e) = std::fs::remove_dir_all(folder) {
        tracing::warn!("{}: {e}", folder.display());
    }
}
