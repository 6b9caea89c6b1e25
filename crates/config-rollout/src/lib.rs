//! Rollout of configuration to every server of the fleet (`docs/config.md`).
//!
//! - [`history`]: the sequence of versions that the lease-store replicas apply from their log;
//! - [`distributor`]: sends each server what it lacks, as a change or as whole content;
//! - [`follower`]: a server's side, which activates a version as a whole or not at all;
//! - [`rollout`]: run by the lease holder of [`TASK`], which has a few canaries go first and knows which server has what active.
//!
//! Nothing here does I/O or reads a clock, so that the same code runs in tests under simulated time. Times come in as seconds; each
//! function says by whose clock.
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

/// The leased task whose holder accepts, tries and releases versions.
pub const TASK: &str = "config";
