//! Emulated servers: each is a task that reports to control services and, where there are workers, takes quota shares and drain slots.

use crate::connection_stats::ConnectionStats;
use crate::publisher::publish;
use crate::quota_client::{run_quota_client, QuotaClientConfig};
use crate::traffic::{Load, Traffic};
use crate::{instance_seed, names, staggered_starts};
use puffinladder_reports::{Product, ServerIdentity};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Cores that each server reports.
const CORES: f64 = 4.0;
/// Priority weights of products go up from the first number in steps of the second, and begin again after so many.
const FIRST_WEIGHT: f64 = 1.0;
const WEIGHT_STEP: f64 = 0.5;
const WEIGHTS: usize = 7;

/// What is emulated.
#[derive(Clone, Debug)]
pub struct ServersConfig {
    /// Number of servers.
    pub count: usize,
    /// Number of the first of them, from which names follow.
    pub first: usize,
    /// Control services that they report to.
    pub control: Vec<SocketAddr>,
    /// Workers that hand out quota shares and drain slots; without any, servers ask for none.
    pub workers: Vec<SocketAddr>,
    /// How each server is loaded.
    pub load: Load,
    /// Time between two reports.
    pub report_interval: Duration,
    /// Number of zones that they belong to.
    pub zones: usize,
    /// Seed of everything that is drawn.
    pub seed: u64,
    /// Time over which they start.
    pub start_within: Duration,
    /// Servers of the fleet that the equal share of a quota is calculated for.
    pub fleet_size: usize,
    /// Quota of each customer over the fleet, requests a second.
    pub quota: f64,
    /// How long a server that is told to shut down waits for a drain slot.
    pub drain_patience: Duration,
}

/// Emulated servers that run; they end when this is dropped.
pub struct EmulatedServers {
    tasks: JoinSet<()>,
    shutdown: watch::Sender<bool>,
    /// What they count.
    pub stats: Arc<ConnectionStats>,
}

/// The names that all servers report. One list for all: thousands of names would be most of a server's memory.
#[derive(Clone)]
struct Catalogue {
    products: Arc<[Product]>,
    customers: Arc<[String]>,
}

impl EmulatedServers {
    /// Starts them on the current runtime.
    pub fn start(config: &ServersConfig) -> EmulatedServers {
        let (stats, shutdown) = (Arc::new(ConnectionStats::default()), watch::Sender::new(false));
        let mut tasks = JoinSet::new();
        let catalogue = Catalogue::new(&config.load);
        let starts = staggered_starts(config.count, config.start_within, config.seed);
        for (index, start) in starts.into_iter().enumerate() {
            let server = EmulatedServer {
                number: config.first + index,
                config: config.clone(),
                catalogue: catalogue.clone(),
                stats: stats.clone(),
                shutdown: shutdown.subscribe(),
            };
            tasks.spawn(server.run(start));
        }
        EmulatedServers { tasks, shutdown, stats }
    }

    /// Tells all to shut down, and waits until they have: at once without workers, else once each has a drain slot or waited in vain.
    pub async fn shut_down(mut self) {
        // Fails only where every server has ended already.
        let _ = self.shutdown.send(true);
        while self.tasks.join_next().await.is_some() {}
    }
}

impl Catalogue {
    fn new(load: &Load) -> Catalogue {
        let weight = |number: usize| FIRST_WEIGHT + (number % WEIGHTS) as f64 * WEIGHT_STEP;
        Catalogue {
            products: (0..load.products)
                .map(|number| Product { name: names::product(number), priority_weight: weight(number) })
                .collect(),
            customers: (0..load.customers).map(names::customer).collect(),
        }
    }
}

/// One server.
struct EmulatedServer {
    number: usize,
    config: ServersConfig,
    catalogue: Catalogue,
    stats: Arc<ConnectionStats>,
    shutdown: watch::Receiver<bool>,
}

impl EmulatedServer {
    async fn run(mut self, start: Duration) {
        tokio::select! {
            () = tokio::time::sleep(start) => {}
            _ = self.shutdown.wait_for(|shutdown| *shutdown) => return,
        }
        let identity = self.identity();
        let quota_client = self.quota_client_config(&identity);
        let seed = instance_seed(self.config.seed, self.number);
        let mut traffic = Traffic::new(self.config.load.clone(), seed);
        let (control, interval) = (&self.config.control, self.config.report_interval);
        let reports = publish(identity, |span| traffic.state(span), control, interval, &self.stats);
        let (customers, stats, shutdown) = (&self.catalogue.customers, &self.stats, &mut self.shutdown);
        let until_shutdown = async {
            match quota_client {
                Some(config) => run_quota_client(&config, customers, stats, shutdown).await,
                None => drop(shutdown.wait_for(|shutdown| *shutdown).await),
            }
        };
        tokio::select! {
            () = reports => {}
            () = until_shutdown => {}
        }
    }

    fn identity(&self) -> ServerIdentity {
        let (instance, address) = names::server(self.number);
        ServerIdentity {
            instance,
            incarnation: microseconds_since_epoch(),
            zone: names::zone(self.number, self.config.zones),
            address,
            cores: CORES,
            warm_up_span: None,
            initial_capacity: 1.0,
            products: self.catalogue.products.clone(),
            customers: self.catalogue.customers.clone(),
        }
    }

    fn quota_client_config(&self, identity: &ServerIdentity) -> Option<QuotaClientConfig> {
        let config = &self.config;
        (!config.workers.is_empty()).then(|| QuotaClientConfig {
            server: identity.instance.clone(),
            incarnation: identity.incarnation,
            zone: identity.zone.clone(),
            workers: config.workers.clone(),
            quota: config.quota,
            fleet_size: config.fleet_size,
            report_interval: config.report_interval,
            drain_patience: config.drain_patience.as_secs_f64(),
        })
    }
}

fn microseconds_since_epoch() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_micros() as u64)
}
