//! Process lifecycle: startup, configuration reload, drain and shutdown.

pub mod configuration;
mod dispatch_loop;
pub mod error;
mod logging;
mod publish;
mod recording;
mod server;
mod shutdown;
mod signals;
pub mod startup;

#[cfg(test)]
mod tests;
#[cfg(test)]
pub use server::Server;
