//! A control service: servers send load reports, from which a routing plan is computed and distributed to proxies over xDS.
//! `docs/control.md` explains the design.
//!
//! [`fleet`], [`plan`], [`shedding`], [`stream`] and [`service`] hold the logic and perform no I/O; [`serve`] runs it
//! on sockets.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod fleet;
pub mod plan;
pub mod report;
pub mod resources;
pub mod serve;
pub mod service;
pub mod shedding;
mod smoothing;
pub mod stream;
#[cfg(test)]
mod test_support;
