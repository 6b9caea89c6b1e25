//! Accept loop for gateway connections.

use super::session::{Session, SessionContext};
use crate::runtime::wait_queue::WaitQueue;
use crate::wire::gateway::connection::Connection;
use crate::wire::gateway::connections::Connections;
use may::coroutine;
use may::net::{TcpListener, TcpStream};
use rustix::io::Errno;
use std::io;
use std::sync::Arc;

/// Failed accepts in a row after which the listener pauses, whatever their cause.
const MAX_IMMEDIATE_RETRIES: u32 = 16;

/// What a failed accept calls for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AcceptFailure {
    /// The process is out of descriptors: closing a connection frees one.
    OutOfDescriptors,
    /// The system is out of a resource, which passes.
    OutOfResources,
    /// Only the connection that was to be accepted failed.
    Connection,
}

impl AcceptFailure {
    fn of(error: &io::Error) -> AcceptFailure {
        match Errno::from_io_error(error) {
            Some(Errno::MFILE) => AcceptFailure::OutOfDescriptors,
            Some(Errno::NFILE | Errno::NOBUFS | Errno::NOMEM) => AcceptFailure::OutOfResources,
            _ => AcceptFailure::Connection,
        }
    }
}

/// Listener for gateway connections.
pub struct GatewayListener {
    /// State shared by all sessions.
    pub context: Arc<SessionContext>,
    /// Paces retries after a failed accept.
    pub housekeeping: Arc<WaitQueue>,
}

impl GatewayListener {
    /// Accepts connections until the process exits. At the connection limit the idlest connection is closed; if none is
    /// idle, the new connection is closed rather than left in the backlog.
    pub fn run(&self, listener: &TcpListener) {
        let connections = &self.context.connections;
        let (mut serial, mut failures) = (0, 0);
        loop {
            connections.wait_for_descriptor();
            match listener.accept() {
                Ok((stream, _)) => {
                    serial += 1;
                    failures = 0;
                    let _ = stream.set_nodelay(true);
                    if self.make_room() {
                        self.start_session(serial, stream);
                    } else {
                        let (count, limit) = (connections.count(), self.context.limits.max_gateways);
                        let message = format_args!(
                            "gateway: connection rejected: {count} connections open, limit {limit}, none idle"
                        );
                        self.context.faults.warn(message);
                    }
                }
                Err(error) => {
                    self.context.faults.warn(format_args!("listener: accept failed: {error}"));
                    failures += 1;
                    self.recover(AcceptFailure::of(&error), failures);
                }
            }
        }
    }

    /// Prepares the next accept after `failures` failed ones in a row.
    fn recover(&self, failure: AcceptFailure, failures: u32) {
        if failure == AcceptFailure::OutOfDescriptors {
            self.context.connections.evict_idle_connection();
        }
        match failure {
            AcceptFailure::Connection if failures < MAX_IMMEDIATE_RETRIES => coroutine::yield_now(),
            _ => self.housekeeping.wait(),
        }
    }

    /// Returns whether one more connection can be served, closing the idlest one at the limit. A connection asked to
    /// close may receive a request first, so the limit can be exceeded by `closing_allowance`.
    fn make_room(&self) -> bool {
        let (connections, limits) = (&self.context.connections, &self.context.limits);
        let excess = connections.count().saturating_sub(limits.max_gateways - 1);
        if connections.is_full() || excess > limits.closing_allowance {
            return false;
        }
        excess == 0 || connections.evict_idle_connection()
    }

    fn start_session(&self, serial: usize, stream: TcpStream) {
        let connections = &self.context.connections;
        let socket = Socket::new(connections, stream);
        let connection = Arc::new(Connection::new(connections.context(), &socket.stream));
        connections.insert(serial, connection.clone());
        let session = Session { context: self.context.clone(), connection, serial };
        may::go!(move || run_session(&session, socket));
        // Lets the new session read, and the closing one finish, before the next accept. Yielding alone is not enough:
        // this coroutine would be scheduled first again.
        coroutine::yield_now();
        if connections.count() > self.context.limits.max_gateways {
            connections.wait_for_release();
        }
    }
}

/// Serves a connection until it closes. Takes the whole `Socket`, since a closure would capture only the fields it uses
/// and release the descriptor's count too early.
pub(super) fn run_session(session: &Session, socket: Socket) {
    session.serve(&socket.stream);
}

/// Gateway socket whose descriptor is counted until it is closed.
pub(super) struct Socket {
    // Fields drop in declaration order: the stream closes before the count decreases.
    stream: TcpStream,
    _descriptor: DescriptorGuard,
}

impl Socket {
    /// Wraps a stream and counts its descriptor.
    pub(super) fn new(connections: &Arc<Connections>, stream: TcpStream) -> Socket {
        connections.count_descriptor();
        Socket { stream, _descriptor: DescriptorGuard(connections.clone()) }
    }
}

struct DescriptorGuard(Arc<Connections>);

impl Drop for DescriptorGuard {
    fn drop(&mut self) {
        self.0.release_descriptor();
    }
}
