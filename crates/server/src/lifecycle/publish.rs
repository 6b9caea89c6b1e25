//! Publisher of load reports to the control services, if configured: JSON lines over TCP, sent periodically from a
//! dedicated thread. A service replies only with one line that lists the report formats it supports.

use super::error::StartError;
use crate::dispatcher::Dispatcher;
use crate::limits::Limits;
use crate::runtime::clock;
use crate::state::counters::{ClassRates, Counters};
use puffinladder::RequestClass;
use puffinladder_reports::{
    max_report_bytes, ClassLoad, LoadSample, Product, ReportEncoder, ServerIdentity, IO_TIMEOUT,
};
use puffinladder_settings::PublishSettings;
use puffinladder_settings::ServerConfig;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Buffer size for the line with the formats that a service supports.
const OFFER_READ_BYTES: usize = 256;

struct ReportConnection {
    stream: TcpStream,
    encoder: ReportEncoder,
}

/// Load report before encoding.
struct Report<'a> {
    sample: &'a LoadSample,
    sequence: u64,
    created_at: f64,
}

/// Periodic sender of load reports.
struct Publisher {
    identity: ServerIdentity,
    control_addresses: Vec<SocketAddr>,
    interval: Duration,
    counters: Arc<Counters>,
    dispatcher: Arc<Dispatcher>,
}

/// Starts the publisher thread if the dispatcher has counters. The thread is not joined at exit.
///
/// # Errors
///
/// Fails if the thread cannot be started.
pub fn start(
    settings: &PublishSettings,
    config: &ServerConfig,
    limits: &Limits,
    dispatcher: &Arc<Dispatcher>,
    listen: SocketAddr,
) -> Result<(), StartError> {
    let Some(counters) = dispatcher.log.counters().cloned() else { return Ok(()) };
    let publisher = Publisher {
        identity: identity(settings, config, listen),
        control_addresses: settings.control_addresses.clone(),
        interval: Duration::from_secs_f64(settings.interval),
        counters,
        dispatcher: dispatcher.clone(),
    };
    let builder = thread::Builder::new().name("publish".into()).stack_size(limits.recorder_stack_bytes);
    builder.spawn(move || publisher.run()).map(drop).map_err(StartError::Thread)
}

/// Returns the part of the reports that is constant for the process.
fn identity(settings: &PublishSettings, config: &ServerConfig, listen: SocketAddr) -> ServerIdentity {
    let (names, policy) = (&config.policy, &config.policy.settings);
    let product = |(name, class): (&String, &RequestClass)| Product {
        name: name.clone(),
        priority_weight: class.priority_weight,
    };
    let warm_up = policy.starts_cold.then_some(policy.warm_up_duration).filter(|duration| *duration > 0.0);
    ServerIdentity {
        instance: config.name.clone(),
        incarnation: SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |duration| duration.as_micros() as u64),
        zone: settings.zone.clone(),
        address: settings.advertised_address.unwrap_or(listen),
        cores: policy.cores,
        warm_up_span: warm_up,
        initial_capacity: policy.cold_capacity_fraction,
        products: names.class_names.iter().zip(&policy.classes).map(product).collect(),
        customers: names.tenant_names.as_slice().into(),
    }
}

impl Publisher {
    fn run(&self) {
        let started = Instant::now();
        let mut connections: Vec<Option<ReportConnection>> =
            self.control_addresses.iter().map(|_| None).collect();
        let mut was_reached = true;
        for sequence in 1u64.. {
            thread::sleep(self.interval);
            let created_at = started.elapsed().as_secs_f64();
            let report = Report { sample: &self.sample_load(), sequence, created_at };
            let reached = self.send_to_all(&report, &mut connections);
            if reached != was_reached {
                was_reached = reached;
                if reached {
                    tracing::info!("publish: control service reachable again");
                } else {
                    tracing::info!(
                        "publish: no control service reachable at {:?}; retrying",
                        self.control_addresses
                    );
                }
            }
        }
    }

    /// Sends a report to every control service, since they do not share reports. Returns whether any send succeeded.
    fn send_to_all(&self, report: &Report, connections: &mut [Option<ReportConnection>]) -> bool {
        let mut reached = false;
        for (address, connection) in self.control_addresses.iter().zip(connections) {
            if connection.is_none() {
                *connection = self.connect(address);
            }
            let sent = connection.as_mut().is_some_and(|open| self.send_on(open, report).is_ok());
            // The line may be partly sent, so the connection cannot be reused.
            *connection = connection.take().filter(|_| sent);
            reached |= sent;
        }
        reached
    }

    fn send_on(&self, connection: &mut ReportConnection, report: &Report) -> io::Result<()> {
        connection.read_offer()?;
        let max_bytes = max_report_bytes(self.control_addresses.len(), self.interval);
        let Report { sample, sequence, created_at } = report;
        let line = connection.encoder.line(&self.identity, sample, *sequence, *created_at, max_bytes);
        connection.stream.write_all(line.as_bytes())
    }

    fn connect(&self, address: &SocketAddr) -> Option<ReportConnection> {
        let stream = connect(address)?;
        Some(ReportConnection { stream, encoder: ReportEncoder::new(&self.identity) })
    }

    fn sample_load(&self) -> LoadSample {
        let snapshot = self.counters.take(self.interval.as_secs_f64());
        let class = |rates: &ClassRates| ClassLoad {
            product: rates.class,
            customer: rates.tenant,
            offered: rates.received,
            rejected: rates.rejected,
        };
        LoadSample {
            concurrency_limit: snapshot.run_limit,
            in_flight: self.dispatcher.running(),
            service_time: snapshot.run_time,
            pressure: snapshot.pressure,
            retry_after: snapshot.retry_after,
            healthy: snapshot.healthy,
            terminates_in: snapshot.kill_time.map(|kill_time| (kill_time - clock::now()).max(0.0)),
            goodput: snapshot.completed,
            classes: snapshot.classes.iter().map(class).collect(),
        }
    }
}

impl ReportConnection {
    /// Reads the supported formats if they have arrived, without blocking.
    fn read_offer(&mut self) -> io::Result<()> {
        if !self.encoder.awaits_offer() {
            return Ok(());
        }
        let mut chunk = [0; OFFER_READ_BYTES];
        self.stream.set_nonblocking(true)?;
        let read = self.stream.read(&mut chunk);
        self.stream.set_nonblocking(false)?;
        match read {
            Ok(count) => {
                self.encoder.receive(&chunk[..count]);
                Ok(())
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(()),
            Err(error) => Err(error),
        }
    }
}

fn connect(address: &SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(address, IO_TIMEOUT).ok()?;
    let ready = stream.set_write_timeout(Some(IO_TIMEOUT)).is_ok() && stream.set_nodelay(true).is_ok();
    ready.then_some(stream)
}
