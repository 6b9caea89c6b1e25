//! Starts and stops a worker: its main task and, if enabled, its listener for servers' reports.

use crate::config::WorkerConfig;
use crate::report_planner::{handle_connection, report_limits};
use crate::worker::Worker;
use puffinladder_transport::listen;
use std::io;
use std::net::SocketAddr;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

/// Queued reports; connections are not read while the queue is full.
const MAX_WAITING_REPORTS: usize = 4096;

/// Handle of a running worker.
pub struct RunningWorker {
    /// Address that servers report to, if any.
    pub report_address: Option<SocketAddr>,
    stop: watch::Sender<bool>,
    main_task: JoinHandle<()>,
}

impl RunningWorker {
    /// Releases all tasks and waits until the worker ends.
    pub async fn stop(self) {
        let _ = self.stop.send(true);
        let _ = self.main_task.await;
    }

    /// Waits until the main task ends, which happens when the worker is stopped or superseded by a later incarnation.
    pub async fn wait(&mut self) {
        let _ = (&mut self.main_task).await;
    }

    /// Aborts the worker without releasing its tasks.
    pub fn kill(self) {
        self.main_task.abort();
    }
}

/// Starts a worker. Its listener for reports, if enabled, is bound when this function returns.
pub async fn start(config: WorkerConfig) -> io::Result<RunningWorker> {
    let (stop, stopped) = watch::channel(false);
    let (reports, received) = mpsc::channel(MAX_WAITING_REPORTS);
    let mut address = None;
    if let Some(reporting) = &config.reporting {
        let limits = report_limits();
        let handle = move |stream, _| handle_connection(stream, limits.clone(), reports.clone());
        let max_connections = reporting.max_connections;
        let bound = listen("reports", reporting.listen, max_connections, stopped.clone(), handle).await?;
        address = Some(bound);
    }
    let main_task = tokio::spawn(Worker::run(config, received, stopped));
    Ok(RunningWorker { report_address: address, stop, main_task })
}
