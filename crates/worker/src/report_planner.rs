//! The tasks that answer servers' reports: who reported last over which connection, and rounds of answers to them.

use crate::config::ReportingConfig;
use puffinladder_leases::coordination::{
    CoordinatorReply, QuotaCoordinator, ReportError, ServerReport, DRAIN_TASK, QUOTA_TASK,
};
use puffinladder_leases::{Epoch, Task};
use puffinladder_transport::{write_line, LineReader, TransportError};
use std::collections::BTreeMap;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::mpsc::{self, error::TrySendError};

/// Seconds between two rounds of answers.
const ROUND_INTERVAL: f64 = 0.1;
/// Answers that wait for one server that does not read: it reports again and gets newer ones.
const MAX_WAITING_REPLIES: usize = 8;
/// Longest report, in bytes.
const MAX_REPORT_BYTES: usize = 4 << 20;
/// A server that reports nothing for so long is disconnected.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// A server that does not read an answer for so long is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// A server's report, and the way back to it.
pub(crate) struct ReceivedReport {
    pub report: ServerReport,
    pub reply_to: mpsc::Sender<CoordinatorReply>,
}

/// A report that is not used. Its server's name may be of any length, and is cut.
#[derive(Debug, Error)]
#[error("a report of {server:.64} is rejected: {reason}")]
pub(crate) struct RejectedReport {
    server: String,
    reason: ReportError,
}

/// One server's connection: reports come in, answers go out as they are made.
pub(crate) async fn handle_connection(
    stream: TcpStream,
    reports: mpsc::Sender<ReceivedReport>,
) -> Result<(), TransportError> {
    let (reader, mut writer) = stream.into_split();
    let (reply_to, mut replies) = mpsc::channel::<CoordinatorReply>(MAX_WAITING_REPLIES);
    let mut lines = LineReader::new(reader, MAX_REPORT_BYTES);
    loop {
        tokio::select! {
            read = lines.read_within(IDLE_TIMEOUT) => {
                let Some(report) = read? else { return Ok(()) };
                let received = ReceivedReport { report, reply_to: reply_to.clone() };
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
    /// Over which connection each server reported last.
    servers: BTreeMap<String, mpsc::Sender<CoordinatorReply>>,
    /// When the next round is due, in seconds by the worker's clock.
    next_round: f64,
}

impl ReportPlanner {
    pub fn new(config: &ReportingConfig) -> ReportPlanner {
        let coordinator = QuotaCoordinator::new(config.coordinator.clone());
        ReportPlanner { coordinator, servers: BTreeMap::new(), next_round: 0.0 }
    }

    /// The names of the tasks that the worker may hold.
    pub fn wanted_tasks(config: &ReportingConfig) -> impl Iterator<Item = &'static str> {
        let quota = config.quota.then_some(QUOTA_TASK);
        quota.into_iter().chain(config.drain_slots.then_some(DRAIN_TASK))
    }

    /// Whether reports are answered for a task.
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

    /// Takes a report in.
    pub fn receive(&mut self, now: f64, received: ReceivedReport) -> Result<(), RejectedReport> {
        let ReceivedReport { report, reply_to } = received;
        match self.coordinator.handle_report(now, &report) {
            Ok(()) => {
                self.servers.insert(report.server, reply_to);
                Ok(())
            }
            Err(reason) => Err(RejectedReport { server: report.server, reason }),
        }
    }

    /// One round of answers for a part of a task. Returns whether there were any.
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
