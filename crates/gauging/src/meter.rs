//! A relay that only counts: what passes it in each direction, bytes and lines. A role's peers dial it in the role's place, so that what it gets and
//! sends is counted where it is on the wire.

use puffinladder_transport::connect;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpListener;
use tokio::task::{JoinHandle, JoinSet};

/// Counted since the relay opened.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Passed {
    /// To whom it leads.
    pub there: u64,
    pub lines_there: u64,
    pub back: u64,
    pub lines_back: u64,
}

#[derive(Default)]
struct Counts {
    target: Mutex<Option<SocketAddr>>,
    bytes: [AtomicU64; 2],
    lines: [AtomicU64; 2],
}

pub struct Meter {
    /// Where it is dialled.
    pub at: SocketAddr,
    counts: Arc<Counts>,
    task: JoinHandle<()>,
}

impl Drop for Meter {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Meter {
    pub async fn open() -> Result<Meter, String> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.map_err(|e| format!("a relay: {e}"))?;
        let at = listener.local_addr().map_err(|e| format!("a relay: {e}"))?;
        let counts = Arc::<Counts>::default();
        let task = tokio::spawn(accept(listener, counts.clone()));
        Ok(Meter { at, counts, task })
    }

    /// Connections that come lead there from now on; until then they are closed as they come.
    pub fn lead_to(&self, target: SocketAddr) {
        *self.counts.target.lock().unwrap_or_else(PoisonError::into_inner) = Some(target);
    }

    pub fn passed(&self) -> Passed {
        let read = |all: &[AtomicU64; 2], at: usize| all[at].load(Ordering::Relaxed);
        let Counts { bytes, lines, .. } = &*self.counts;
        Passed {
            there: read(bytes, 0),
            lines_there: read(lines, 0),
            back: read(bytes, 1),
            lines_back: read(lines, 1),
        }
    }
}

async fn accept(listener: TcpListener, counts: Arc<Counts>) {
    // They end with this task.
    let mut open = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((near, _)) = accepted else { continue };
                let counts = counts.clone();
                open.spawn(async move {
                    let target = *counts.target.lock().unwrap_or_else(PoisonError::into_inner);
                    let Some(target) = target else { return };
                    let Ok(far) = connect(target).await else { return };
                    let _ = near.set_nodelay(true);
                    let ((near_in, near_out), (far_in, far_out)) = (near.into_split(), far.into_split());
                    // When one direction ends so does the other.
                    tokio::select! {
                        () = pump(near_in, far_out, &counts, 0) => {}
                        () = pump(far_in, near_out, &counts, 1) => {}
                    }
                });
            }
            Some(_) = open.join_next() => {}
        }
    }
}

async fn pump(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, counts: &Counts, way: usize) {
    let mut bytes = vec![0; 16 << 10];
    while let Ok(read) = from.read(&mut bytes).await {
        if read == 0 || to.write_all(&bytes[..read]).await.is_err() {
            return;
        }
        let lines = bytes[..read].iter().filter(|b| **b == b'\n').count();
        counts.bytes[way].fetch_add(read as u64, Ordering::Relaxed);
        counts.lines[way].fetch_add(lines as u64, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests;
