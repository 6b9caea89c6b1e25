//! A control service: servers report what they decided of late, a plan is made of it, and proxies get it over xDS.
//! `docs/control.md` tells why it is built as it is.
//!
//! [`view`], [`plan`], [`shed`], [`stream`] and [`core`] decide and do no I/O; the rest carries out.
#![forbid(unsafe_code)]

pub mod core;
pub mod plan;
pub mod resources;
pub mod serve;
pub mod shed;
pub mod stream;
pub mod view;
