//! A server's side of quota shares and drain slots, on sockets: all that it decides is the [`QuotaClient`]'s. It reports to every worker and
//! takes the answers of whichever of them holds the lease.

use crate::connection_stats::{ConnectionStats, PeerConnection};
use puffinladder_leases::coordination::{CoordinatorReply, QuotaClient};
use puffinladder_leases::drain::{DrainDecision, DrainTiming};
use puffinladder_leases::SeededRandom;
use puffinladder_transport::{connect, encode_line, Clock, LineReader};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// How long a report may take to be sent.
const SEND_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause before a worker is connected to again.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// Bytes of an answer.
const MAX_REPLY_BYTES: usize = 1 << 20;
/// Answers that wait to be taken: beyond them the connections are read no further.
const REPLY_QUEUE: usize = 64;
/// Seconds between two checks for a drain slot, once the server shuts down.
const DRAIN_CHECK_INTERVAL: f64 = 0.05;
/// Seconds that the drain itself would need.
const DRAIN_DURATION: f64 = 0.3;
/// Demand of a customer at one server, over its equal share: from 0 up to this.
const MAX_DEMAND: f64 = 1.5;

/// What one client is configured with.
#[derive(Clone, Debug)]
pub(crate) struct QuotaClientConfig {
    pub(crate) server: String,
    pub(crate) incarnation: u64,
    pub(crate) zone: String,
    pub(crate) workers: Vec<SocketAddr>,
    /// Each customer's quota over the fleet, requests a second.
    pub(crate) quota: f64,
    /// Servers that the equal share is calculated for.
    pub(crate) fleet_size: usize,
    pub(crate) report_interval: Duration,
    /// Seconds that it waits for a drain slot.
    pub(crate) drain_patience: f64,
}

/// Why a connection is no longer served.
enum LinkEnd {
    /// The connection ended; another may be opened.
    Disconnected,
    /// The client has ended.
    ClientGone,
}

/// The connection to one worker: the latest report goes out, answers come in. What is on its way when the connection ends is lost,
/// as the next report says it again.
struct WorkerLink {
    reports: watch::Receiver<Arc<Vec<u8>>>,
    replies: mpsc::Sender<CoordinatorReply>,
    stats: Arc<ConnectionStats>,
}

impl WorkerLink {
    /// Keeps a connection open until the client ends.
    async fn run(mut self, address: SocketAddr) {
        let mut connection = PeerConnection::default();
        loop {
            if let Ok(stream) = connect(address).await {
                connection.opened(&self.stats);
                if let LinkEnd::ClientGone = self.serve(stream).await {
                    return;
                }
                connection.closed();
            }
            sleep(RECONNECT_DELAY).await;
        }
    }

    async fn serve(&mut self, stream: TcpStream) -> LinkEnd {
        let (reader, mut writer) = stream.into_split();
        let mut lines = LineReader::new(reader, MAX_REPLY_BYTES);
        let mut bytes_before = 0;
        loop {
            tokio::select! {
                changed = self.reports.changed() => {
                    if changed.is_err() {
                        return LinkEnd::ClientGone;
                    }
                    let report = self.reports.borrow_and_update().clone();
                    if !matches!(timeout(SEND_TIMEOUT, writer.write_all(&report)).await, Ok(Ok(()))) {
                        return LinkEnd::Disconnected;
                    }
                    self.stats.sent.add(report.len() as u64);
                    self.stats.messages_sent.add(1);
                }
                reply = lines.read::<CoordinatorReply>() => {
                    let Ok(Some(reply)) = reply else { return LinkEnd::Disconnected };
                    self.stats.received.add(lines.bytes_read() - bytes_before);
                    self.stats.messages_received.add(1);
                    bytes_before = lines.bytes_read();
                    if self.replies.send(reply).await.is_err() {
                        return LinkEnd::ClientGone;
                    }
                }
            }
        }
    }
}

/// Reports and takes answers until the server is told to shut down and may drain.
pub(crate) async fn run_quota_client(
    config: &QuotaClientConfig,
    customers: &[String],
    stats: &Arc<ConnectionStats>,
    shutdown: &mut watch::Receiver<bool>,
) {
    let mut client = new_client(config, customers);
    let mut random = SeededRandom::new(config.incarnation);
    let (clock, interval) = (Clock::system(), config.report_interval.as_secs_f64());
    let (reports, latest_report) = watch::channel(Arc::default());
    let (reply_sender, mut replies) = mpsc::channel(REPLY_QUEUE);
    let mut links = JoinSet::new();
    for address in &config.workers {
        let (reports, replies) = (latest_report.clone(), reply_sender.clone());
        links.spawn(WorkerLink { reports, replies, stats: stats.clone() }.run(*address));
    }
    let (mut report_due, mut shutting_down) = (0.0, false);
    loop {
        let now = clock.now();
        if now >= report_due {
            report_due = now + interval;
            // Most customers ask one server for little at a time.
            let demand = config.quota / config.fleet_size.max(1) as f64 * MAX_DEMAND * random.next_f64();
            if let Ok(report) = encode_line(&client.next_report(now, |_| demand)) {
                reports.send_replace(Arc::new(report));
            }
        }
        if shutting_down && client.drain_decision(now).is_none_or(|decision| decision != DrainDecision::Wait)
        {
            return;
        }
        let until = if shutting_down { report_due.min(now + DRAIN_CHECK_INTERVAL) } else { report_due };
        tokio::select! {
            Some(reply) = replies.recv() => drop(client.handle_reply(clock.now(), &reply)),
            _ = shutdown.wait_for(|shutdown| *shutdown), if !shutting_down => {
                shutting_down = true;
                client.start_draining(clock.now(), drain_timing(config));
            }
            () = sleep(clock.sleep_duration(until - now)) => {}
        }
    }
}

/// Nothing kills an emulated server, so only its patience ends the wait.
fn drain_timing(config: &QuotaClientConfig) -> DrainTiming {
    DrainTiming { max_wait: config.drain_patience, killed_at: f64::MAX, drain_duration: DRAIN_DURATION }
}

fn new_client(config: &QuotaClientConfig, customers: &[String]) -> QuotaClient {
    let quotas: BTreeMap<String, f64> = customers.iter().map(|name| (name.clone(), config.quota)).collect();
    QuotaClient::new(&config.server, config.incarnation, &config.zone, &quotas, config.fleet_size)
}
