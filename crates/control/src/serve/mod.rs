//! The service on sockets. One task owns the [`ControlService`] and gets everything through one bounded queue; streams, reports
//! and the debug pages are tasks of their own that never touch it.

mod ads;
mod certificates;
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

/// How long each task gets to end in good order: proxies and the disk answer in far less.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// How the service is set up.
#[derive(Clone, Debug)]
pub struct ServeConfig {
    /// What the service keeps to.
    pub service: ServiceConfig,
    /// Where proxies connect, by gRPC.
    pub xds: SocketAddr,
    /// Where servers connect to report.
    pub reports: SocketAddr,
    /// Where people and monitors connect, by HTTP; none for no debug pages.
    pub debug: Option<SocketAddr>,
    /// File of the stored snapshot; none to store nothing.
    pub snapshot: Option<PathBuf>,
    /// Streams that may be open at once.
    pub max_proxies: usize,
    /// Certificates for the xDS listener; none for plain TCP.
    pub tls: Option<TlsConfig>,
}

/// PEM files of the xDS listener.
#[derive(Clone, Debug)]
pub struct TlsConfig {
    /// The service's certificate and its chain.
    pub certificate: PathBuf,
    /// Its private key.
    pub key: PathBuf,
    /// Authorities of which proxies must show a certificate that names their node; none to ask for no certificates.
    pub client_authorities: Option<PathBuf>,
}

/// Why the service could not start.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// A listener could not be opened.
    #[error("{listener} {address}: {source}")]
    Listen {
        /// Which one: `xds`, `reports` or `debug`.
        listener: &'static str,
        /// Where it was to listen.
        address: SocketAddr,
        /// Why it could not.
        source: io::Error,
    },
    /// The address of a listener could not be found out.
    #[error("{0}")]
    LocalAddress(#[source] io::Error),
    /// The certificates can't be used.
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
    /// Where proxies connect.
    pub xds: SocketAddr,
    /// Where servers connect to report.
    pub reports: SocketAddr,
    /// Where the debug pages are.
    pub debug: Option<SocketAddr>,
    /// The way to the service's state.
    pub handle: ServiceHandle,
    certificates: Option<Arc<Certificates>>,
    stop: watch::Sender<bool>,
    tasks: Vec<JoinHandle<()>>,
}

impl RunningService {
    /// Shuts it down gracefully: streams are closed in good order, so that proxies turn to another service at once.
    pub async fn stop(self) {
        let _ = self.stop.send(true);
        for task in self.tasks {
            let _ = tokio::time::timeout(STOP_TIMEOUT, task).await;
        }
    }

    /// Reads the certificates anew, if it has any. After an error the old ones stay in force.
    pub fn reload_certificates(&self) -> Result<(), CertificateError> {
        self.certificates.as_ref().map_or(Ok(()), |certificates| certificates.reload())
    }

    /// Ends it as a kill would.
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

/// The state to begin with: by the stored snapshot, if there is one.
fn initial_service(config: &ServeConfig) -> ControlService {
    let snapshot = config.snapshot.as_deref().and_then(snapshot_file::load);
    // Above every earlier epoch, whatever became of the clock or the file.
    let epoch = snapshot.as_ref().map_or(0, |snapshot| snapshot.epoch + 1).max(unix_now() as u64);
    let restored = snapshot.map(|snapshot| {
        let age = unix_now() - snapshot.decided_at_unix;
        RestoredSnapshot { snapshot, age }
    });
    ControlService::new(0.0, config.service.clone(), epoch, restored)
}

/// Starts the service; it listens when this returns.
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
