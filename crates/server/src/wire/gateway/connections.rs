//! Set of all gateway connections: descriptor limits, idle timeouts and shutdown.

use super::connection::{Connection, ConnectionContext};
use crate::runtime::clock;
use crate::runtime::lock::lock;
use crate::runtime::wait_queue::WaitQueue;
use std::collections::{HashMap, VecDeque};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

/// All gateway connections and the descriptors they hold.
pub struct Connections {
    /// Served connections by serial number.
    serving: Mutex<HashMap<usize, Arc<Connection>>>,
    /// Connections being closed, oldest first.
    pub closing: Mutex<VecDeque<Arc<Connection>>>,
    /// Number of descriptors held by served and closing connections, from accept to close.
    pub descriptors: AtomicUsize,
    /// Wakes the listener when a connection or descriptor is released.
    released: WaitQueue,
    context: Arc<ConnectionContext>,
}

impl Connections {
    /// Creates an empty set.
    pub fn new(context: Arc<ConnectionContext>) -> Connections {
        Connections {
            serving: Mutex::default(),
            closing: Mutex::default(),
            descriptors: AtomicUsize::new(0),
            released: WaitQueue::default(),
            context,
        }
    }

    /// Returns the state shared by all connections.
    pub fn context(&self) -> &Arc<ConnectionContext> {
        &self.context
    }

    pub fn count(&self) -> usize {
        self.serving().len()
    }

    fn serving(&self) -> MutexGuard<'_, HashMap<usize, Arc<Connection>>> {
        lock(&self.serving)
    }

    pub fn insert(&self, serial: usize, connection: Arc<Connection>) {
        self.serving().insert(serial, connection);
    }

    pub fn remove(&self, serial: usize) {
        if self.serving().remove(&serial).is_some() {
            self.released.wake_all();
        }
    }

    /// Sends goaway on connections past their idle timeout, closes those that the gateway did not close in time, and wakes
    /// sessions whose incomplete message has timed out. `keepalive` is the base idle timeout, s.
    pub fn close_idle(&self, keepalive: f64) {
        let (now, limits) = (clock::now(), &self.context.limits);
        for connection in self.serving().values() {
            let mut state = connection.state();
            if state.message_started_at.is_some_and(|since| now - since > limits.message_timeout) {
                connection.wake();
            }
            if !state.is_idle() {
                continue;
            }
            let unused = now - state.last_used;
            match state.goaway_at {
                None if unused > state.idle_timeout(keepalive, &self.context) => {
                    connection.write_goaway(&mut state, now);
                }
                Some(since) if now - since > limits.goaway_timeout && unused > limits.goaway_timeout => {
                    state.close_requested = true;
                    connection.wake();
                }
                _ => {}
            }
        }
        lock(&self.closing).iter().for_each(|connection| connection.wake());
        self.released.wake_all();
    }

    /// Sends goaway on all idle connections before shutdown.
    pub fn announce_shutdown(&self) {
        for connection in self.serving().values() {
            let mut state = connection.state();
            if state.is_idle() && state.goaway_at.is_none() {
                connection.write_goaway(&mut state, clock::now());
            }
        }
    }

    /// Closes all idle connections before the process exits. Connections accepted after `since` without a message yet are
    /// kept: their gateways would only reconnect.
    pub fn close_all(&self, since: f64) {
        for connection in self.serving().values() {
            let mut state = connection.state();
            let new = state.messages == 0 && state.accepted_at > since;
            if state.is_idle() && !state.close_requested && !new {
                state.close_requested = true;
                connection.wake();
            }
        }
    }

    /// Closes one idle connection: preferably one without messages, then one with a single message, and among those the
    /// longest unused. A gateway sending at that moment resends. Returns false if no connection is idle.
    pub fn evict_idle_connection(&self) -> bool {
        let connections = self.serving();
        let candidates = connections.values().filter_map(|connection| {
            let state = connection.state();
            let closable = state.is_idle() && !state.close_requested;
            closable.then(|| (state.messages.min(2), state.last_used, connection))
        });
        let idlest = candidates.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        let Some((.., connection)) = idlest else { return false };
        connection.state().close_requested = true;
        connection.wake();
        true
    }

    /// Waits until a descriptor is available.
    pub fn wait_for_descriptor(&self) {
        while !self.may_accept() {
            self.released.wait();
        }
    }

    /// Returns whether the listener may accept a connection. At the limit, ends the oldest closing connection or closes an
    /// idle one and returns false. If no connection is idle, returns true: the new connection is accepted on a reserved
    /// descriptor and rejected.
    pub fn may_accept(&self) -> bool {
        if !self.is_full() {
            return true;
        }
        match lock(&self.closing).pop_front() {
            Some(oldest) => oldest.wake(),
            None => return !self.evict_idle_connection(),
        }
        false
    }

    /// Returns whether all descriptors for gateways are in use.
    pub fn is_full(&self) -> bool {
        self.descriptors.load(Ordering::Relaxed) >= self.context.limits.max_gateway_descriptors
    }

    /// Waits for the release of a connection or descriptor, or for the next housekeeping cycle.
    pub fn wait_for_release(&self) {
        self.released.wait();
    }

    pub fn begin_closing(&self, connection: &Arc<Connection>) {
        lock(&self.closing).push_back(connection.clone());
    }

    /// Returns whether a connection may continue its graceful close.
    pub fn is_closing(&self, connection: &Arc<Connection>) -> bool {
        lock(&self.closing).iter().any(|other| Arc::ptr_eq(other, connection))
    }

    pub fn end_closing(&self, connection: &Arc<Connection>) {
        lock(&self.closing).retain(|other| !Arc::ptr_eq(other, connection));
    }

    /// Counts a descriptor as in use.
    pub fn count_descriptor(&self) {
        self.descriptors.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a descriptor as released.
    pub fn release_descriptor(&self) {
        self.descriptors.fetch_sub(1, Ordering::Relaxed);
        self.released.wake_all();
    }
}
