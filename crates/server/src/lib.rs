//! Server process: runs the admission policy on real sockets. `docs/server.md` describes the modules.
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
