//! What the processes beside the servers have in common on the network: bounded lines of JSON over TCP ([`lines`]), clients
//! ([`client`]), a loop that accepts connections up to a bound ([`service`]), and the clock that a process goes by ([`clock`]). No
//! decision is made here.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod client;
pub mod clock;
pub mod lines;
pub mod service;

pub use client::{connect, request, CONNECT_TIMEOUT};
pub use clock::Clock;
pub use lines::{encode_line, write_line, LineReader, TransportError};
pub use service::{bind, listen, serve_connections, RunningService, ServiceError};
