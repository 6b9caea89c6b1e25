//! Leases on the fleet's background tasks: at most one holder at a time, with fencing (`docs/leases.md`).
//!
//! The [`table`] of leases is the state that the replicas of the lease store replicate. A [`holder`] tracks the leases
//! of one instance. A [`fence`] belongs to the store of a task's effects and rejects effects of former holders. This
//! crate does no I/O and reads no clock: times are passed in as seconds, by the clock that the function names.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod assignment;
pub mod coordination;
pub mod drain;
pub mod fence;
pub mod holder;
mod identity;
pub mod protocol;
pub mod quota;
pub mod random;
pub mod replica_selector;
pub mod sent_times;
pub mod table;
pub mod table_clock;

pub use identity::{Epoch, HolderId, LeaseId, Task};
pub use random::SeededRandom;
