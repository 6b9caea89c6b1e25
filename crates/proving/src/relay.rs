//! TCP relay between two processes. Its two traffic shapers decide when bytes pass in each direction.

use crate::schedule::Direction;
use crate::traffic_shaper::{Impairment, Release, TrafficShaper};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// State of a link, shared with its connections.
struct State {
    started_at: Instant,
    shapers: [Mutex<TrafficShaper>; 2],
    /// Number of changes of the shapers, and of resets of the connections.
    changed: watch::Sender<(u64, u64)>,
    target: Mutex<Option<SocketAddr>>,
}

pub struct Relay {
    /// Address that clients connect to.
    pub address: SocketAddr,
    state: Arc<State>,
    task: JoinHandle<()>,
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
        self.state.changed.send_modify(|state| state.1 += 1);
    }
}

impl Relay {
    pub async fn open(seed: u64) -> std::io::Result<Relay> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let shapers = [Mutex::new(TrafficShaper::new(seed)), Mutex::new(TrafficShaper::new(seed ^ 1))];
        let (changed, _) = watch::channel((0, 0));
        let state =
            Arc::new(State { started_at: Instant::now(), shapers, changed, target: Mutex::new(None) });
        let task = tokio::spawn(accept_connections(listener, state.clone()));
        Ok(Relay { address, state, task })
    }

    pub fn set_target(&self, target: Option<SocketAddr>) {
        *self.state.target.lock().unwrap_or_else(PoisonError::into_inner) = target;
    }

    /// Changes the impairment of the given directions.
    pub fn impair(&self, way: Direction, change: impl Fn(&mut Impairment)) {
        for (index, only) in [Direction::Forward, Direction::Reverse].into_iter().enumerate() {
            if way == Direction::Both || way == only {
                change(&mut lock_shaper(&self.state, index).impairment);
            }
        }
        self.state.changed.send_modify(|state| state.0 += 1);
    }

    /// Closes all connections; bytes in transit are lost.
    pub fn reset(&self) {
        self.state.changed.send_modify(|state| state.1 += 1);
    }
}

fn lock_shaper(state: &State, index: usize) -> std::sync::MutexGuard<'_, TrafficShaper> {
    state.shapers[index].lock().unwrap_or_else(PoisonError::into_inner)
}

async fn accept_connections(listener: TcpListener, state: Arc<State>) {
    loop {
        match listener.accept().await {
            Ok((near, _)) => drop(tokio::spawn(forward_connection(near, state.clone()))),
            Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    }
}

/// Forwards one connection; the target is connected before any byte is read.
async fn forward_connection(near: TcpStream, state: Arc<State>) {
    let mut changed = state.changed.subscribe();
    let resets = changed.borrow_and_update().1;
    // On a blocked link the connection stays open without a target until the link is unblocked or reset.
    while lock_shaper(&state, 0).impairment.blocked {
        if changed.changed().await.is_err() || changed.borrow().1 != resets {
            return;
        }
    }
    let target = *state.target.lock().unwrap_or_else(PoisonError::into_inner);
    let Some(target) = target else { return };
    let Ok(far) = puffinladder_transport::connect(target).await else { return };
    let _ = near.set_nodelay(true);
    let ((near_in, near_out), (far_in, far_out)) = (near.into_split(), far.into_split());
    // When one direction ends, so does the other. Bytes held on a blocked link are still delivered, if need be to the target's next
    // incarnation.
    let peer_closed = AtomicBool::new(false);
    let there = copy_bytes(near_in, far_out, 0, &state, resets, &peer_closed);
    tokio::pin!(there);
    tokio::select! {
        () = &mut there => return,
        () = copy_bytes(far_in, near_out, 1, &state, resets, &peer_closed) => {}
    }
    if lock_shaper(&state, 0).impairment.blocked {
        peer_closed.store(true, Ordering::Relaxed);
        there.await;
    }
}

async fn copy_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    index: usize,
    state: &State,
    resets: u64,
    peer_closed: &AtomicBool,
) {
    let mut changed = state.changed.subscribe();
    if changed.borrow_and_update().1 != resets {
        return;
    }
    let mut bytes = vec![0; 16_384];
    loop {
        let limit = lock_shaper(state, index).max_chunk_bytes();
        let read = tokio::select! {
            read = from.read(&mut bytes[..limit]) => read,
            update = changed.changed() => {
                if update.is_err() || changed.borrow_and_update().1 != resets {
                    return;
                }
                continue;
            }
        };
        let Ok(count @ 1..) = read else { return };
        loop {
            let pass = lock_shaper(state, index).schedule(state.started_at.elapsed().as_secs_f64(), count);
            let wait = match pass {
                Release::At(when) => (when - state.started_at.elapsed().as_secs_f64()).max(0.0),
                Release::Blocked => f64::MAX,
            };
            let slept = async {
                match wait {
                    wait if wait > 1e6 => std::future::pending().await,
                    wait => tokio::time::sleep(Duration::from_secs_f64(wait)).await,
                }
            };
            tokio::select! {
                () = slept => break,
                update = changed.changed() => if update.is_err() || changed.borrow_and_update().1 != resets {
                    return;
                },
            }
        }
        if peer_closed.load(Ordering::Relaxed) {
            return deliver_late_bytes(state, &bytes[..count]).await;
        }
        if to.write_all(&bytes[..count]).await.is_err() {
            return;
        }
    }
}

/// Sends bytes that outlived both ends of their connection to the current target, and waits up to 1 s for a first answer.
async fn deliver_late_bytes(state: &State, bytes: &[u8]) {
    let target = *state.target.lock().unwrap_or_else(PoisonError::into_inner);
    let Some(target) = target else { return };
    let Ok(mut far) = puffinladder_transport::connect(target).await else { return };
    if far.write_all(bytes).await.is_ok() {
        let _ = tokio::time::timeout(Duration::from_secs(1), far.read(&mut [0; 64])).await;
    }
}

#[cfg(test)]
mod tests;
