//! Leases on the fleet's background tasks: at most one holder at a time, with fencing (`docs/leases.md`).
//!
//! A [`table`] of leases is the state that the replicas of the lease store agree on; a [`holder`] is what an
//! instance knows of its own leases; a [`fence`] stands where an effect is stored and rejects effects of former
//! holders. Nothing here does I/O or reads a clock: times are passed in as seconds, each by the clock that the
//! function names.
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
