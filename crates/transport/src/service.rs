//! The server's side: a listener, a bounded number of connections, and a handle on the task that does the service's work.

use crate::lines::TransportError;
use std::fmt::Display;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Semaphore};
use tokio::task::{JoinError, JoinHandle};

/// How long no connection is accepted after accepting one failed: descriptors may have run out, and other connections end soon.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);

/// Why a service ended.
#[derive(Debug, Error)]
pub enum ServiceError<E: Display> {
    /// The service can't go on.
    #[error("{0}")]
    Failed(E),
    /// Its main task panicked.
    #[error("its task: {0}")]
    Panicked(#[from] JoinError),
}

/// A service that runs; `E` says why its main task can't go on.
pub struct RunningService<E> {
    /// Where it listens.
    pub address: SocketAddr,
    stop: watch::Sender<bool>,
    main_task: JoinHandle<Result<(), E>>,
}

impl<E: Display> RunningService<E> {
    /// A handle on a service that listens. Its tasks watch the receivers of `stop`; `main_task` works until it is stopped or can't go on.
    pub fn new(
        address: SocketAddr,
        stop: watch::Sender<bool>,
        main_task: JoinHandle<Result<(), E>>,
    ) -> RunningService<E> {
        RunningService { address, stop, main_task }
    }

    /// Waits until it ends by itself, which only a fault makes it do.
    pub async fn wait(&mut self) -> Result<(), ServiceError<E>> {
        (&mut self.main_task).await?.map_err(ServiceError::Failed)
    }

    /// Stops it and waits until everything that it has acknowledged is on disk.
    pub async fn stop(mut self) -> Result<(), ServiceError<E>> {
        let _ = self.stop.send(true);
        self.wait().await
    }
}

/// Binds a listener and returns it with its address: the system chooses a port in place of port 0. Errors carry the service's name.
pub async fn bind(name: &str, address: SocketAddr) -> io::Result<(TcpListener, SocketAddr)> {
    let named = |e: io::Error| io::Error::other(format!("{name} {address}: {e}"));
    let listener = TcpListener::bind(address).await.map_err(named)?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Binds a listener, serves its connections in a task of its own as [`serve_connections`] does, and returns the address.
pub async fn listen<F, H>(
    name: &'static str,
    address: SocketAddr,
    max_connections: usize,
    stopped: watch::Receiver<bool>,
    handle: F,
) -> io::Result<SocketAddr>
where
    F: Fn(TcpStream, SocketAddr) -> H + Send + 'static,
    H: Future<Output = Result<(), TransportError>> + Send + 'static,
{
    let (listener, address) = bind(name, address).await?;
    tokio::spawn(serve_connections(listener, name, max_connections, stopped, handle));
    Ok(address)
}

/// Accepts connections until `stopped` changes, and hands each to `handle` in a task of its own. At most `max_connections` are open at once; one more is
/// closed as soon as it is accepted.
pub async fn serve_connections<F, H>(
    listener: TcpListener,
    name: &'static str,
    max_connections: usize,
    mut stopped: watch::Receiver<bool>,
    handle: F,
) where
    F: Fn(TcpStream, SocketAddr) -> H,
    H: Future<Output = Result<(), TransportError>> + Send + 'static,
{
    let permits = Arc::new(Semaphore::new(max_connections));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.changed() => return,
        };
        match accepted {
            Ok((stream, peer)) => {
                let Ok(permit) = permits.clone().try_acquire_owned() else {
                    tracing::debug!("{name}: {max_connections} connections are open, {peer} is rejected");
                    continue;
                };
                let _ = stream.set_nodelay(true);
                let (handled, mut stopped) = (handle(stream, peer), stopped.clone());
                tokio::spawn(async move {
                    let _permit = permit;
                    tokio::select! {
                        result = handled => if let Err(error) = result {
                            tracing::debug!("{name}: {peer}: {error}");
                        },
                        _ = stopped.changed() => {}
                    }
                });
            }
            Err(error) => {
                tracing::warn!("{name}: {error}");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

#[cfg(test)]
mod tests;
