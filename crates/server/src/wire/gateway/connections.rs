//! All connections of gateways: how many there may be, and which of them close when one more comes, when they lie unused
//! or when the process ends.

use super::connection::{Connection, ConnectionContext};
use crate::runtime::lock::lock;
use crate::runtime::wait_queue::WaitQueue;
use std::collections::{HashMap, VecDeque};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

/// All connections, and the descriptors that they hold.
pub struct Connections {
    /// Those that are served, by their serial numbers.
    serving: Mutex<HashMap<usize, Arc<Connection>>>,
    /// Those no longer served: ended from here and read to their end, oldest first.
    pub closing: Mutex<VecDeque<Arc<Connection>>>,
    /// Descriptors that connections of gateways hold, served or closing: counted from accept to close.
    pub descriptors: AtomicUsize,
    /// Where the listener waits for a connection or a descriptor to come free.
    freed: WaitQueue,
    context: Arc<ConnectionContext>,
}

impl Connections {
    /// No connections yet.
    pub fn new(context: Arc<ConnectionContext>) -> Connections {
        Connections {
            serving: Mutex::default(),
            closing: Mutex::default(),
            descriptors: AtomicUsize::new(0),
            freed: WaitQueue::default(),
            context,
        }
    }

    /// What the connections share.
    pub fn context(&self) -> &Arc<ConnectionContext> {
        &self.context
    }

    /// How many are served.
    pub fn count(&self) -> usize {
        self.serving().len()
    }

    fn serving(&self) -> MutexGuard<'_, HashMap<usize, Arc<Connection>>> {
        lock(&self.serving)
    }

    /// Serves one more.
    pub fn insert(&self, serial: usize, connection: Arc<Connection>) {
        self.serving().insert(serial, connection);
    }

    /// Serves it no longer.
    pub fn remove(&self, serial: usize) {
        if self.serving().remove(&serial).is_some() {
            self.freed.wake_all();
        }
    }

    /// Asks connections that lay unused for `keepalive` seconds to be left, closes those that were not left in time, and
    /// wakes those with a message that ought to be finished.
    pub fn close_idle(&self, keepalive: f64) {
        let (now, limits) = (self.context.clock.now(), &self.context.limits);
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
        self.freed.wake_all();
    }

    /// Asks all connections on which nothing is owed to be left: the process ends soon.
    pub fn announce_shutdown(&self) {
        for connection in self.serving().values() {
            let mut state = connection.state();
            if state.is_idle() && state.goaway_at.is_none() {
                connection.write_goaway(&mut state, self.context.clock.now());
            }
        }
    }

    /// Ends all connections on which nothing is owed, so that none is cut off by the end of the process. One that came
    /// after `since` and has said nothing yet is left to say it: ended, its gateway would only come once more.
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

    /// Closes the connection that can best be done without: one that has said nothing yet, else one that came once, else
    /// any, and of its kind the one that lay unused for longest. A gateway that sends there at this moment sends once
    /// more. Returns whether there is any.
    pub fn close_idlest(&self) -> bool {
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

    /// Waits until one more descriptor may be held.
    pub fn wait_for_descriptor(&self) {
        while !self.reserve_descriptor() {
            self.freed.wait();
        }
    }

    /// Whether one more descriptor may be held. If not, the connection that is closing longest ends, or an idle one begins
    /// to close: descriptors are for who comes with work. With all at work one more is taken only to be rejected, on the
    /// descriptor that the process keeps for that.
    pub fn reserve_descriptor(&self) -> bool {
        if !self.is_full() {
            return true;
        }
        match lock(&self.closing).pop_front() {
            Some(oldest) => oldest.wake(),
            None => return !self.close_idlest(),
        }
        false
    }

    /// Whether all descriptors of gateways are held.
    pub fn is_full(&self) -> bool {
        self.descriptors.load(Ordering::Relaxed) >= self.context.limits.max_gateway_descriptors
    }

    /// Waits until some connection or descriptor comes free, or for the next housekeeping.
    pub fn wait_for_release(&self) {
        self.freed.wait();
    }

    /// Begins to close a connection.
    pub fn begin_closing(&self, connection: &Arc<Connection>) {
        lock(&self.closing).push_back(connection.clone());
    }

    /// Whether a connection may go on closing.
    pub fn is_closing(&self, connection: &Arc<Connection>) -> bool {
        lock(&self.closing).iter().any(|other| Arc::ptr_eq(other, connection))
    }

    /// A connection has closed.
    pub fn end_closing(&self, connection: &Arc<Connection>) {
        lock(&self.closing).retain(|other| !Arc::ptr_eq(other, connection));
    }

    /// One more descriptor is held.
    pub fn count_descriptor(&self) {
        self.descriptors.fetch_add(1, Ordering::Relaxed);
    }

    /// A descriptor has been closed.
    pub fn release_descriptor(&self) {
        self.descriptors.fetch_sub(1, Ordering::Relaxed);
        self.freed.wake_all();
    }
}
