//! A worker as a process: a listener for servers' reports, where it answers any, and a main task.

use crate::config::WorkerConfig;
use crate::report_planner::handle_connection;
use crate::worker::Worker;
use puffinladder_transport::listen;
use std::io;
use std::net::SocketAddr;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

/// Reports that wait for the main task; past them connections are read no further.
const MAX_WAITING_REPORTS: usize = 4096;

/// A worker that runs.
pub struct RunningWorker {
    /// Where servers report, if anywhere.
    pub report_address: Option<SocketAddr>,
    stop: watch::Sender<bool>,
    main_task: JoinHandle<()>,
}

impl RunningWorker {
    /// Hands all tasks over, then ends.
    pub async fn stop(self) {
        let _ = self.stop.send(true);
        let _ = self.main_task.await;
    }

    /// Waits until it ends by itself, which only a later incarnation of it makes it do.
    pub async fn wait(&mut self) {
        let _ = (&mut self.main_task).await;
    }

    /// Ends it at once: nothing is handed over.
    pub fn kill(self) {
        self.main_task.abort();
    }
}

/// Starts a worker. Where it answers reports it listens when this returns.
pub async fn start(config: WorkerConfig) -> io::Result<RunningWorker> {
    let (stop, stopped) = watch::channel(false);
    let (reports, received) = mpsc::channel(MAX_WAITING_REPORTS);
    let mut address = None;
    if let Some(reporting) = &config.reporting {
        let handle = move |stream, _| handle_connection(stream, reports.clone());
        let max_connections = reporting.max_connections;
        let bound = listen("reports", reporting.listen, max_connections, stopped.clone(), handle).await?;
        address = Some(bound);
    }
    let main_task = tokio::spawn(Worker::run(config, received, stopped));
    Ok(RunningWorker { report_address: address, stop, main_task })
}
