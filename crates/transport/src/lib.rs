//! Networking shared by the control-plane processes: length-limited lines of JSON over TCP ([`lines`]), the memory that
//! they may take together ([`memory`]), clients ([`client`]),
//! listeners with a connection limit ([`service`]), and the clock of a process ([`clock`]).
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod client;
pub mod clock;
pub mod lines;
pub mod memory;
pub mod senders;
pub mod service;

pub use client::{connect, request, CONNECT_TIMEOUT};
pub use clock::Clock;
pub use lines::{encode_line, write_line, LineLimits, LineReader, TransportError};
pub use memory::{MemoryBudget, Reservation};
pub use senders::SenderNames;
pub use service::{bind, listen, serve_connections, RunningService, ServiceError};
