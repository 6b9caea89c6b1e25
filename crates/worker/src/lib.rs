//! Stewards: processes that do for the fleet what the keepers grant to them (`docs/owners.md`). [`gather`] decides which piece of which trace
//! comes next, [`haul`] reads it and brings it to the archive, [`link`] speaks with a keeper, [`serve`] is the process: it looks at its term before
//! every step and stands down when it is over.
#![forbid(unsafe_code)]

pub mod gather;
pub mod haul;
pub mod life;
pub mod link;
pub mod serve;
