//! A stand-in for a store under faults: it serves calls after a delay, or refuses, hangs or breaks connections.

use crate::http::{read_request, ReceivedRequest};
use crate::Monitor;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Pause between two looks at the state of the store.
const PACE: Duration = Duration::from_millis(2);

/// What the store does with calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreState {
    /// Answers each call after this delay.
    Serving(Duration),
    /// Accepts no connections.
    Refusing,
    /// Accepts connections and answers nothing.
    Hanging,
    /// Closes each connection once it has read a call.
    Breaking,
    /// Turns each call away unseen.
    Rejecting,
}

/// A store whose state can be changed at any time.
#[derive(Clone)]
pub struct FaultyStore {
    pub address: SocketAddr,
    state: Arc<Monitor<StoreState>>,
}

impl FaultyStore {
    /// Starts a store on an ephemeral port, serving after `delay`.
    pub fn start(delay: Duration) -> FaultyStore {
        let listener = TcpListener::bind("127.0.0.1:0").expect("an ephemeral port is available");
        let address = listener.local_addr().expect("a bound listener has an address");
        let state = Arc::new(Monitor::from(StoreState::Serving(delay)));
        let store = FaultyStore { address, state };
        let accepting = store.clone();
        thread::spawn(move || accepting.accept(listener));
        store
    }

    /// Changes the state. Calls that hang go on to hang.
    pub fn set(&self, state: StoreState) {
        self.state.update(|current| *current = state);
    }

    fn accept(&self, listener: TcpListener) {
        listener.set_nonblocking(true).expect("a listener can be made non-blocking");
        let mut listener = Some(listener);
        loop {
            let refusing = *self.state.lock() == StoreState::Refusing;
            match &listener {
                Some(_) if refusing => listener = None,
                None if !refusing => {
                    let rebound = TcpListener::bind(self.address);
                    listener = rebound.and_then(|l| l.set_nonblocking(true).map(|()| l)).ok();
                }
                Some(listener) => {
                    while let Ok((stream, _)) = listener.accept() {
                        let store = self.clone();
                        thread::spawn(move || store.serve(stream));
                    }
                }
                None => {}
            }
            thread::sleep(PACE);
        }
    }

    /// Serves the one call of a connection.
    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let mut input = BufReader::new(stream);
        let Some(ReceivedRequest { body, .. }) = read_request(&mut input) else { return };
        let state = *self.state.lock();
        let reply = match state {
            StoreState::Serving(delay) => {
                thread::sleep(delay);
                format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
            }
            StoreState::Rejecting => {
                "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n".to_owned()
            }
            StoreState::Hanging => return drop(input.read_to_end(&mut Vec::new())),
            StoreState::Refusing | StoreState::Breaking => return,
        };
        let _ = input.get_mut().write_all(reply.as_bytes());
    }
}
