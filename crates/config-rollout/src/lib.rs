//! Rollout of configuration to every server of the fleet (`docs/config.md`).
//!
//! - [`history`]: the replicated sequence of versions that the lease-store replicas build from their log;
//! - [`distributor`]: sends servers the versions they lack, as a change or as the whole content;
//! - [`follower`]: the server's side, which receives, validates and atomically activates versions;
//! - [`rollout`]: the controller run by the lease holder of [`TASK`], which activates a version on canaries, then releases or reverts
//!   it, and tracks the active version of each server.
//!
//! The crate does no I/O and reads no clock, so the same code runs in tests under simulated time. Callers pass times in seconds; each
//! module documents the clock.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod base64_bytes;
pub mod change;
pub mod content;
pub mod digest;
pub mod distributor;
pub mod follower;
pub mod history;
pub mod key;
pub mod messages;
pub mod patch;
pub mod rollout;
pub mod setting;
pub mod validation;

pub use change::Change;
pub use content::Content;
pub use digest::{Digest, Digester, VersionId};
pub use key::{Field, Key, Section};
pub use setting::{ValidationError, Value};

/// Name of the leased task whose holder accepts, canaries, releases and reverts versions.
pub const TASK: &str = "config";
