//! Tasks that reply to servers' reports: the connection of each reporting server, and periodic rounds of replies.

use crate::config::ReportingConfig;
use puffinladder_leases::coordination::{
    CoordinatorReply, QuotaCoordinator, ReportError, ServerReport, DRAIN_TASK, QUOTA_TASK,
};
use puffinladder_leases::{Epoch, Task};
use puffinladder_transport::{
    write_line, LineLimits, LineReader, MemoryBudget, Reservation, SenderNames, TransportError,
};
use std::collections::BTreeMap;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::mpsc::{self, error::TrySendError};

/// Seconds between rounds of replies.
const ROUND_INTERVAL: f64 = 0.1;
/// Queued replies per connection; further ones are dropped, since the next round replaces them.
const MAX_WAITING_REPLIES: usize = 8;
/// Servers that one connection may report for; a server's own reports for one.
const MAX_SERVERS_PER_CONNECTION: usize = 64;
/// Longest report, in bytes.
const MAX_REPORT_BYTES: usize = 4 << 20;
/// Time without a report after which a server is disconnected.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time from the first byte of a report to its last.
const LINE_TIMEOUT: Duration = Duration::from_secs(10);
/// Memory of a decoded report per byte of its line; lists of short names take the most.
const DECODED_BYTES_PER_BYTE: usize = 10;
/// Memory of all connections for reports that are incomplete or not handled, bytes. Holds two reports of the maximum size.
const REPORT_MEMORY_BYTES: usize = 2 * (DECODED_BYTES_PER_BYTE + 1) * MAX_REPORT_BYTES;
/// Time limit of writing a reply, after which a server is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// A server's report, and the queue of replies on its connection.
pub(crate) struct ReceivedReport {
    pub report: ServerReport,
    pub reply_to: mpsc::Sender<CoordinatorReply>,
    /// Memory of the report, released when it is handled.
    pub memory: Option<Reservation>,
}

/// Returns the limits of reports, with the memory that all connections share.
pub(crate) fn report_limits() -> LineLimits {
    LineLimits {
        max_line_bytes: MAX_REPORT_BYTES,
        line_timeout: LINE_TIMEOUT,
        decoded_bytes_per_byte: DECODED_BYTES_PER_BYTE,
        memory: MemoryBudget::new(REPORT_MEMORY_BYTES),
    }
}

/// A rejected report. The server's name is unvalidated, so the message truncates it.
#[derive(Debug, Error)]
#[error("rejected report from server {server:.64}: {reason}")]
pub(crate) struct RejectedReport {
    server: String,
    reason: ReportError,
}

/// Serves one server's connection: forwards its reports to `reports` and writes the replies.
pub(crate) async fn handle_connection(
    stream: TcpStream,
    limits: LineLimits,
    reports: mpsc::Sender<ReceivedReport>,
) -> Result<(), TransportError> {
    let (reader, mut writer) = stream.into_split();
    let (reply_to, mut replies) = mpsc::channel::<CoordinatorReply>(MAX_WAITING_REPLIES);
    let mut lines = LineReader::with_limits(reader, limits);
    let mut servers = SenderNames::new(MAX_SERVERS_PER_CONNECTION);
    loop {
        tokio::select! {
            read = lines.read_within::<ServerReport>(IDLE_TIMEOUT) => {
                let Some(report) = read? else { return Ok(()) };
                servers.admit(&report.server)?;
                let memory = lines.take_reservation();
                let received = ReceivedReport { report, reply_to: reply_to.clone(), memory };
                if reports.send(received).await.is_err() {
                    return Ok(());
                }
            }
            Some(reply) = replies.recv() => {
                write_line(&mut writer, &reply, WRITE_TIMEOUT).await?;
            }
        }
    }
}

pub(crate) struct ReportPlanner {
    coordinator: QuotaCoordinator,
    /// Reply queue of each server's latest report.
    servers: BTreeMap<String, mpsc::Sender<CoordinatorReply>>,
    /// Time of the next round, in seconds by the worker's clock.
    next_round: f64,
}

impl ReportPlanner {
    pub fn new(config: &ReportingConfig) -> ReportPlanner {
        let coordinator = QuotaCoordinator::new(config.coordinator.clone());
        ReportPlanner { coordinator, servers: BTreeMap::new(), next_round: 0.0 }
    }

    /// Returns the names of the enabled tasks.
    pub fn wanted_tasks(config: &ReportingConfig) -> impl Iterator<Item = &'static str> {
        let quota = config.quota.then_some(QUOTA_TASK);
        quota.into_iter().chain(config.drain_slots.then_some(DRAIN_TASK))
    }

    /// Returns whether a task replies to reports.
    pub fn handles(task: &Task) -> bool {
        [QUOTA_TASK, DRAIN_TASK].contains(&task.name.as_str())
    }

    pub fn next_round(&self) -> f64 {
        self.next_round
    }

    pub fn schedule_round_after(&mut self, now: f64) {
        self.next_round = now + ROUND_INTERVAL;
    }

    pub fn start_lease(&mut self, now: f64, task: &Task, epoch: Epoch) {
        self.coordinator.start_lease(now, task, epoch);
    }

    pub fn end_lease(&mut self, task: &Task, epoch: Epoch) {
        self.coordinator.end_lease(task, epoch);
    }

    /// Passes a report to the coordinator and remembers its connection.
    pub fn receive(&mut self, now: f64, received: ReceivedReport) -> Result<(), RejectedReport> {
        let ReceivedReport { report, reply_to, memory: _memory } = received;
        match self.coordinator.handle_report(now, &report) {
            Ok(()) => {
                self.servers.insert(report.server, reply_to);
                Ok(())
            }
            Err(reason) => Err(RejectedReport { server: report.server, reason }),
        }
    }

    /// Sends one round of replies for a part of a task. Returns whether there were any.
    pub fn send_replies(&mut self, now: f64, task: &Task) -> bool {
        let replies = self.coordinator.plan_replies(now, task);
        let progress = !replies.is_empty();
        for reply in replies {
            let server = reply.server.clone();
            let sent = self.servers.get(&server).map(|reply_to| reply_to.try_send(reply));
            if matches!(sent, Some(Err(TrySendError::Closed(_)))) {
                self.servers.remove(&server);
            }
        }
        progress
    }
}
