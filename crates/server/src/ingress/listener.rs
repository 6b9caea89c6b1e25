//! Accepts connections of gateways.

use super::session::{Session, SessionContext};
use crate::runtime::wait_queue::WaitQueue;
use crate::wire::gateway::connection::Connection;
use crate::wire::gateway::connections::Connections;
use may::coroutine;
use may::net::{TcpListener, TcpStream};
use std::sync::Arc;

/// Accepts for as long as the process lives.
pub struct GatewayListener {
    /// What the connections' coroutines need.
    pub context: Arc<SessionContext>,
    /// Where it waits when descriptors have run out.
    pub housekeeping: Arc<WaitQueue>,
}

impl GatewayListener {
    /// Accepts connections. Nothing waits in the backlog, where it would be read by nobody: at the limit the idlest
    /// connection makes room, and where all are at work the new one closes.
    pub fn run(&self, listener: &TcpListener) {
        let connections = &self.context.connections;
        let mut serial = 0;
        loop {
            connections.wait_for_descriptor();
            match listener.accept() {
                Ok((stream, _)) => {
                    serial += 1;
                    let _ = stream.set_nodelay(true);
                    if self.make_room() {
                        self.start_session(serial, stream);
                    } else {
                        let message = format_args!("gateway: new connection rejected, all are in use");
                        self.context.faults.warn(message);
                    }
                }
                Err(error) => {
                    // Descriptors may have run out: others close soon.
                    tracing::warn!("listener: no connection accepted: {error}");
                    connections.close_idlest();
                    self.housekeeping.wait();
                }
            }
        }
    }

    /// Whether one more connection can be served; at the limit the idlest closes for it. One that was to make room may
    /// have got work meanwhile, so that there are a few over the limit.
    fn make_room(&self) -> bool {
        let (connections, limits) = (&self.context.connections, &self.context.limits);
        let excess = connections.count().saturating_sub(limits.max_gateways - 1);
        if connections.is_full() || excess > limits.closing_allowance {
            return false;
        }
        excess == 0 || connections.close_idlest()
    }

    fn start_session(&self, serial: usize, stream: TcpStream) {
        let connections = &self.context.connections;
        let socket = Socket::new(connections, stream);
        let connection = Arc::new(Connection::new(connections.context(), &socket.stream));
        connections.insert(serial, connection.clone());
        let session = Session { context: self.context.clone(), connection, serial };
        may::go!(move || run_session(&session, socket));
        // The new one is read, and the one that made room has ended or got work, before the next comes: whoever only
        // yields here goes first again, and none of them would get to run.
        coroutine::yield_now();
        if connections.count() > self.context.limits.max_gateways {
            connections.wait_for_release();
        }
    }
}

/// Serves a connection to its end. The socket is handed over as one: a closure would take its parts, and count it no more.
pub(super) fn run_session(session: &Session, socket: Socket) {
    session.serve(&socket.stream);
}

/// A gateway's socket, whose descriptor counts until it is closed.
pub(super) struct Socket {
    // Fields are dropped in their order: closed first, then no longer counted.
    stream: TcpStream,
    _descriptor: DescriptorGuard,
}

impl Socket {
    /// Counts the socket's descriptor.
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
