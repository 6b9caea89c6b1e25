//! puffinladder decides, inside each server of a fleet, what the server takes, runs and turns away.
//!
//! [`Brain`] holds every decision; [`interface`] holds the types it is fed and the [`Writer`] it answers
//! through. Nothing here knows a protocol: whoever hosts a brain turns its own messages into a [`Round`]
//! and carries out what the brain writes.
#![forbid(unsafe_code)]

pub mod brain;
pub mod interface;

pub use brain::Brain;
pub use interface::*;
