//! Configuration in force everywhere (`docs/config.md`).
//!
//! A [`history`] of versions is what the keepers replicate; a [`distributor`] brings it to servers as changes; a [`follower`] is a
//! server's side, which puts a version in force whole or not at all; a [`rollout`] belongs to the owner of the duty, who lets a few
//! servers go first and knows who has what in force. None of them does I/O or reads a clock: times come in as seconds, each of
//! them by whoever's clock it is said to be.
#![forbid(unsafe_code)]

pub mod check;
pub mod content;
pub mod distributor;
pub mod follower;
pub mod history;
pub mod patch;
pub mod rollout;
pub mod seal;
pub mod words;

pub use content::{Change, Content, Field, Key, Section, Value, Wrong};
pub use seal::{Digest, Head, Seal};

/// The duty under whose grant versions are accepted, tried and released.
pub const DUTY: &str = "config";
