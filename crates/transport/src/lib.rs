//! What the processes beside the servers have in common: bounded lines of JSON over TCP, a loop that accepts connections up to a
//! bound, and the clock that a process goes by. Nothing is decided here.
#![forbid(unsafe_code)]

pub mod clock;

pub use clock::Clock;

use serde::{de::DeserializeOwned, Serialize};
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncBufReadExt, AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Semaphore};
use tokio::task::JoinHandle;

/// How long a connection may take to open.
pub const OPEN: Duration = Duration::from_millis(500);

/// Why nothing more is read from a connection.
#[derive(Debug, Error)]
pub enum Fault {
    #[error("a line of more than {0} bytes")]
    Long(usize),
    #[error("not what is expected: {0}")]
    Unfit(serde_json::Error),
    #[error("silent for too long")]
    Silent,
    #[error("{0}")]
    Io(#[from] std::io::Error),
}

/// Reads a line after the other, none longer than a bound. A read that was dropped half way goes on where it was.
pub struct Lines<R> {
    from: BufReader<R>,
    most: usize,
    line: Vec<u8>,
    read: u64,
}

impl<R: AsyncRead + Unpin> Lines<R> {
    pub fn new(from: R, most: usize) -> Lines<R> {
        Lines { from: BufReader::new(from), most, line: Vec::new(), read: 0 }
    }

    /// Bytes of all lines so far.
    pub fn bytes(&self) -> u64 {
        self.read
    }

    /// The next line; none once the other side has ended, also in the middle of one.
    pub async fn next<T: DeserializeOwned>(&mut self) -> Result<Option<T>, Fault> {
        let room = (self.most + 1).saturating_sub(self.line.len()) as u64;
        (&mut self.from).take(room).read_until(b'\n', &mut self.line).await?;
        if self.line.last() != Some(&b'\n') {
            return if self.line.len() > self.most { Err(Fault::Long(self.most)) } else { Ok(None) };
        }
        self.read += self.line.len() as u64;
        let value = serde_json::from_slice(&self.line).map_err(Fault::Unfit);
        self.line.clear();
        value.map(Some)
    }

    /// The same, from someone who may not be silent for longer.
    pub async fn within<T: DeserializeOwned>(&mut self, silent: Duration) -> Result<Option<T>, Fault> {
        tokio::time::timeout(silent, self.next()).await.unwrap_or(Err(Fault::Silent))
    }
}

/// A value as a line.
pub fn line<T: Serialize>(value: &T) -> std::io::Result<Vec<u8>> {
    let mut bytes = serde_json::to_vec(value)?;
    bytes.push(b'\n');
    Ok(bytes)
}

/// Writes a line; whoever does not read for so long is given up.
pub async fn say<T: Serialize>(
    to: &mut (impl AsyncWrite + Unpin),
    value: &T,
    wait: Duration,
) -> Result<u64, Fault> {
    let bytes = line(value)?;
    tokio::time::timeout(wait, to.write_all(&bytes)).await.map_err(|_| Fault::Silent)??;
    Ok(bytes.len() as u64)
}

/// Opens a connection within a bound.
pub async fn dial(to: SocketAddr) -> std::io::Result<TcpStream> {
    let opened = tokio::time::timeout(OPEN, TcpStream::connect(to)).await;
    let stream = opened.map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Asks a service one thing, on a connection of its own; each of opening, asking and answering within `wait` at the most.
pub async fn ask<A: Serialize, B: DeserializeOwned>(
    at: SocketAddr,
    what: &A,
    wait: Duration,
    longest: usize,
) -> Result<Option<B>, Fault> {
    let mut stream = dial(at).await?;
    say(&mut stream, what, wait).await?;
    Lines::new(stream, longest).within(wait).await
}

/// Listens, and says where: port 0 gets one from the system.
pub async fn bind(what: &str, at: SocketAddr) -> std::io::Result<(TcpListener, SocketAddr)> {
    let named = |e: std::io::Error| std::io::Error::other(format!("{what} {at}: {e}"));
    let listener = TcpListener::bind(at).await.map_err(named)?;
    let at = listener.local_addr()?;
    Ok((listener, at))
}

/// A service that runs: where it listens, and until when it works.
pub struct Running {
    pub listen: SocketAddr,
    stop: watch::Sender<bool>,
    desk: JoinHandle<Result<(), String>>,
}

impl Running {
    /// `stop` is what its tasks watch, `desk` the one that works until it is stopped or can't go on.
    pub fn new(
        listen: SocketAddr,
        stop: watch::Sender<bool>,
        desk: JoinHandle<Result<(), String>>,
    ) -> Running {
        Running { listen, stop, desk }
    }
    /// Until it ends by itself, which only a fault makes it do.
    pub async fn ended(&mut self) -> Result<(), String> {
        (&mut self.desk).await.unwrap_or_else(|e| Err(format!("its task: {e}")))
    }
    /// Ends it, once what it has said to be on disk is there.
    pub async fn stop(mut self) -> Result<(), String> {
        let _ = self.stop.send(true);
        self.ended().await
    }
}

/// Accepts until told to stop. At most `most` connections are open at once; one more is closed as it comes.
pub async fn serve<F, E>(
    listener: TcpListener,
    what: &'static str,
    most: usize,
    mut stopped: watch::Receiver<bool>,
    each: F,
) where
    F: Fn(TcpStream, SocketAddr) -> E,
    E: Future<Output = Result<(), Fault>> + Send + 'static,
{
    let room = Arc::new(Semaphore::new(most));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.changed() => return,
        };
        match accepted {
            Ok((stream, from)) => {
                let Ok(seat) = room.clone().try_acquire_owned() else {
                    tracing::debug!("{what}: {most} connections are open, {from} is turned away");
                    continue;
                };
                let _ = stream.set_nodelay(true);
                let (ended, mut stopped) = (each(stream, from), stopped.clone());
                tokio::spawn(async move {
                    let _seat = seat;
                    tokio::select! {
                        ended = ended => if let Err(fault) = ended {
                            tracing::debug!("{what}: {from}: {fault}");
                        },
                        _ = stopped.changed() => {}
                    }
                });
            }
            Err(e) => {
                // Descriptors may have run out: others end soon.
                tracing::warn!("{what}: {e}");
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test]
    async fn lines_are_read_one_by_one_and_what_is_too_long_torn_or_no_json_says_so() {
        let mut lines = Lines::new(&b"[1,2]\n\"x\"\n[3"[..], 16);
        assert_eq!(lines.next::<Vec<u8>>().await.unwrap(), Some(vec![1, 2]));
        assert!(matches!(lines.next::<Vec<u8>>().await, Err(Fault::Unfit(_))));
        assert_eq!(lines.next::<Vec<u8>>().await.unwrap(), None, "the other side ended in the middle");
        let long = [b'1'; 17];
        assert!(matches!(Lines::new(&long[..], 16).next::<u8>().await, Err(Fault::Long(16))));
        let mut fits = vec![b' '; 15];
        fits.extend(b"7\n");
        assert_eq!(Lines::new(&fits[..], 17).next::<u8>().await.unwrap(), Some(7));
    }

    #[tokio::test]
    async fn a_read_that_was_dropped_half_way_loses_nothing() {
        let (mut to, from) = tokio::io::duplex(64);
        let mut lines = Lines::new(from, 64);
        to.write_all(b"[1,").await.unwrap();
        assert!(matches!(lines.within::<Vec<u8>>(Duration::from_millis(1)).await, Err(Fault::Silent)));
        to.write_all(b"2]\n").await.unwrap();
        assert_eq!(lines.next::<Vec<u8>>().await.unwrap(), Some(vec![1, 2]));
    }

    #[tokio::test]
    async fn connections_past_the_bound_are_closed_as_they_come() {
        let (listener, at) = bind("test", "127.0.0.1:0".parse().unwrap()).await.unwrap();
        let (stop, stopped) = watch::channel(false);
        let each = |mut stream: TcpStream, _| async move {
            say(&mut stream, &"in", OPEN).await?;
            Lines::new(stream, 64).next::<u8>().await.map(drop)
        };
        let served = tokio::spawn(serve(listener, "test", 2, stopped, each));
        let mut open = Vec::new();
        for wanted in [Some("in"), Some("in"), None] {
            let mut lines = Lines::new(dial(at).await.unwrap(), 64);
            let first: Option<String> = lines.next().await.unwrap_or(None);
            assert_eq!(first.as_deref(), wanted);
            open.push(lines);
        }
        stop.send(true).unwrap();
        served.await.unwrap();
    }
}
