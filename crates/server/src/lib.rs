//! The serving process: the admission policy on real sockets. `docs/server.md` says which module owns what.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod dispatcher;
mod ingress;
mod lifecycle;
mod limits;
mod request;
mod runtime;
mod state;
mod wire;

pub use lifecycle::configuration::{ConfigurationError, Options};
pub use lifecycle::error::StartError;
pub use lifecycle::startup::run;
