//! Network front end of the service. One task owns the [`ControlService`] and receives messages through a bounded queue;
//! streams, report connections and the debug pages run in tasks of their own.

mod ads;
mod certificates;
mod counted_connection;
mod debug;
mod event_loop;
mod handle;
mod prometheus;
mod reports;
mod snapshot_file;
mod traffic;

pub use certificates::CertificateError;
pub use handle::ServiceHandle;
pub use traffic::{Counter, TrafficCounters, UpdateBytes};

use crate::service::{ControlService, RestoredSnapshot, ServiceConfig};
use certificates::Certificates;
use event_loop::EventLoop;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Time allowed for each task to shut down gracefully.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// Configuration of the listeners and the service.
#[derive(Clone, Debug)]
pub struct ServeConfig {
    /// Configuration of the service.
    pub service: ServiceConfig,
    /// Address of the xDS listener (gRPC).
    pub xds: SocketAddr,
    /// Address of the report listener.
    pub reports: SocketAddr,
    /// Address of the debug pages (HTTP); none to disable them.
    pub debug: Option<SocketAddr>,
    /// File of the stored snapshot; none to disable it.
    pub snapshot: Option<PathBuf>,
    /// Maximum number of open streams.
    pub max_proxies: usize,
    /// Certificates for the xDS listener; none for plain TCP.
    pub tls: Option<TlsConfig>,
}

/// PEM files of the xDS listener.
#[derive(Clone, Debug)]
pub struct TlsConfig {
    /// Certificate chain of the service.
    pub certificate: PathBuf,
    /// Private key of the service.
    pub key: PathBuf,
    /// Authorities that issue client certificates, which must name the proxy's node; none to require no certificates.
    pub client_authorities: Option<PathBuf>,
}

/// Error that prevents the service from starting.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// A listener could not be opened.
    #[error("cannot listen on {address} for {listener}: {source}")]
    Listen {
        /// Name of the listener: `xds`, `reports` or `debug`.
        listener: &'static str,
        /// Configured address.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// The local address of a listener is not available.
    #[error("local address of a listener: {0}")]
    LocalAddress(#[source] io::Error),
    /// The certificates could not be loaded.
    #[error(transparent)]
    Certificates(#[from] CertificateError),
}

impl From<ServeError> for io::Error {
    fn from(error: ServeError) -> io::Error {
        match error {
            ServeError::LocalAddress(error) => error,
            other => io::Error::other(other),
        }
    }
}

fn unix_now() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |since| since.as_secs_f64())
}

/// A running service.
pub struct RunningService {
    /// Address of the xDS listener.
    pub xds: SocketAddr,
    /// Address of the report listener.
    pub reports: SocketAddr,
    /// Address of the debug pages.
    pub debug: Option<SocketAddr>,
    /// Handle to the service's state.
    pub handle: ServiceHandle,
    certificates: Option<Arc<Certificates>>,
    stop: watch::Sender<bool>,
    tasks: Vec<JoinHandle<()>>,
}

impl RunningService {
    /// Shuts down gracefully: streams are closed, so that proxies fail over without delay.
    pub async fn stop(self) {
        let _ = self.stop.send(true);
        for task in self.tasks {
            let _ = tokio::time::timeout(STOP_TIMEOUT, task).await;
        }
    }

    /// Reloads the certificates, if TLS is configured. After an error the previous ones stay in use.
    pub fn reload_certificates(&self) -> Result<(), CertificateError> {
        self.certificates.as_ref().map_or(Ok(()), |certificates| certificates.reload())
    }

    /// Aborts all tasks, like a crash of the process.
    pub fn kill(self) {
        self.tasks.iter().for_each(|task| task.abort());
    }
}

async fn listen(listener: &'static str, address: SocketAddr) -> Result<TcpListener, ServeError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| ServeError::Listen { listener, address, source })
}

fn local_address(listener: &TcpListener) -> Result<SocketAddr, ServeError> {
    listener.local_addr().map_err(ServeError::LocalAddress)
}

/// Creates the service, restored from the stored snapshot if there is one.
fn initial_service(config: &ServeConfig) -> ControlService {
    let snapshot = config.snapshot.as_deref().and_then(snapshot_file::load);
    // Exceeds every earlier epoch even if the clock was set back or the file was lost.
    let epoch = snapshot.as_ref().map_or(0, |snapshot| snapshot.epoch + 1).max(unix_now() as u64);
    let restored = snapshot.map(|snapshot| {
        let age = unix_now() - snapshot.decided_at_unix;
        RestoredSnapshot { snapshot, age }
    });
    ControlService::new(0.0, config.service.clone(), epoch, restored)
}

/// Starts the service. All listeners are open when this returns.
pub async fn start(config: ServeConfig) -> Result<RunningService, ServeError> {
    let xds = listen("xds", config.xds).await?;
    let reports = listen("reports", config.reports).await?;
    let debug = match config.debug {
        Some(address) => Some(listen("debug", address).await?),
        None => None,
    };
    let (stop, stopped) = watch::channel(false);
    let (handle, messages) = ServiceHandle::new(config.max_proxies);
    let event_loop = EventLoop::new(initial_service(&config), messages, config.snapshot.clone());
    let certificates = config.tls.map(Certificates::new).transpose()?.map(Arc::new);
    let mut running = RunningService {
        xds: local_address(&xds)?,
        reports: local_address(&reports)?,
        debug: debug.as_ref().map(local_address).transpose()?,
        handle: handle.clone(),
        certificates: certificates.clone(),
        stop,
        tasks: Vec::new(),
    };
    running.tasks.push(tokio::spawn(event_loop.run(stopped.clone())));
    running.tasks.push(tokio::spawn(reports::serve(reports, handle.clone(), stopped.clone())));
    running.tasks.push(tokio::spawn(ads::serve(xds, handle.clone(), certificates, stopped.clone())));
    if let Some(debug) = debug {
        running.tasks.push(tokio::spawn(debug::serve(debug, handle, stopped)));
    }
    Ok(running)
}
