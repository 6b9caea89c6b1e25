//! One owner at a time for work on behalf of the fleet (`docs/owners.md`).
//!
//! A [`table`] of grants is what the keepers replicate; a [`holder`] is what an instance knows of its own; a
//! [`fence`] stands where an effect lands. None of them does I/O or reads a clock: times come in as seconds, each of them
//! by whoever's clock it is said to be.
#![forbid(unsafe_code)]

pub mod assign;
pub mod desk;
pub mod fence;
pub mod holder;
pub mod pace;
pub mod quota;
pub mod route;
pub mod sent;
pub mod shuffle;
pub mod table;
pub mod turns;
pub mod words;

pub use shuffle::Shuffle;

use serde::{Deserialize, Serialize};
use std::fmt;

/// One life of one instance. A restart under the same name is another owner and inherits nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Owner {
    pub instance: String,
    /// Rises with every start of the instance.
    pub incarnation: u64,
}

/// A part of a duty; duties that can't be parted have part 0 alone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Duty {
    pub name: String,
    pub part: u32,
}

/// The number of a grant: a later grant of a duty has a higher one, and none is given twice.
pub type Epoch = u64;

impl Duty {
    pub fn new(name: &str, part: u32) -> Duty {
        Duty { name: name.into(), part }
    }
}

impl Owner {
    pub fn new(instance: &str, incarnation: u64) -> Owner {
        Owner { instance: instance.into(), incarnation }
    }
}

impl fmt::Display for Duty {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        write!(out, "{}/{}", self.name, self.part)
    }
}

impl fmt::Display for Owner {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        write!(out, "{}#{}", self.instance, self.incarnation)
    }
}
