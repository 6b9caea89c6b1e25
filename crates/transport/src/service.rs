//! Server side: listeners with a connection limit, and the handle of a running service.

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

/// Pause after a failed accept, in which other connections can release file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);

/// The reason why a service ended.
#[derive(Debug, Error)]
pub enum ServiceError<E: Display> {
    /// The main task returned an error.
    #[error("{0}")]
    Failed(E),
    /// The main task panicked.
    #[error("main task did not finish: {0}")]
    Panicked(#[from] JoinError),
}

/// Handle of a running service; `E` is the error of its main task.
pub struct RunningService<E> {
    /// Address that the service listens on.
    pub address: SocketAddr,
    stop: watch::Sender<bool>,
    main_task: JoinHandle<Result<(), E>>,
}

impl<E: Display> RunningService<E> {
    /// Creates the handle of a listening service. Its tasks watch the receivers of `stop`; `main_task` runs until the service is
    /// stopped or fails.
    pub fn new(
        address: SocketAddr,
        stop: watch::Sender<bool>,
        main_task: JoinHandle<Result<(), E>>,
    ) -> RunningService<E> {
        RunningService { address, stop, main_task }
    }

    /// Waits until the main task ends, which happens only on failure or when the service is stopped.
    pub async fn wait(&mut self) -> Result<(), ServiceError<E>> {
        (&mut self.main_task).await?.map_err(ServiceError::Failed)
    }

    /// Stops the service and waits until all acknowledged writes are durable.
    pub async fn stop(mut self) -> Result<(), ServiceError<E>> {
        let _ = self.stop.send(true);
        self.wait().await
    }
}

/// Binds a listener and returns it with its actual address, since port 0 lets the system choose one. Errors contain the
/// service's name and the address.
pub async fn bind(name: &str, address: SocketAddr) -> io::Result<(TcpListener, SocketAddr)> {
    let named = |e: io::Error| io::Error::other(format!("{name} {address}: {e}"));
    let listener = TcpListener::bind(address).await.map_err(named)?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Binds a listener, spawns a task that runs [`serve_connections`], and returns the address.
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

/// Accepts connections until `stopped` changes, and runs `handle` for each in a task of its own. At most `max_connections` are
/// open at once; further ones are closed immediately.
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
                    tracing::debug!(
                        "{name}: rejected connection from {peer}: limit of {max_connections} reached"
                    );
                    continue;
                };
                let _ = stream.set_nodelay(true);
                let (handled, mut stopped) = (handle(stream, peer), stopped.clone());
                tokio::spawn(async move {
                    let _permit = permit;
                    tokio::select! {
                        result = handled => if let Err(error) = result {
                            tracing::debug!("{name}: connection from {peer} failed: {error}");
                        },
                        _ = stopped.changed() => {}
                    }
                });
            }
            Err(error) => {
                tracing::warn!("{name}: accepting a connection failed: {error}");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

#[cfg(test)]
mod tests;
