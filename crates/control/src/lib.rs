//! A control service: servers report what they decided of late, a plan is made of it, and proxies get it over xDS.
//! `docs/control.md` tells why it is built as it is.
//!
//! [`fleet`], [`plan`], [`shedding`], [`stream`] and [`service`] decide and do no I/O; [`serve`] carries out.
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
