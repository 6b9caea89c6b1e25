//! What each role of a fleet costs at a planned size, worked out from points that were measured. No I/O, no clock:
//! the same points and the same plan give the same page.
//!
//! - [`plan`]: the size to design for.
//! - [`point`]: what was measured, as it stands in a file.
//! - [`reckon`]: budgets, machines, events, what gives out first.
//! - [`tables`], [`page`]: all of it as Markdown, and whether a page says the same.
//! - [`fit`]: how a cost grows along one dimension.
//! - [`estimate`]: what a role costs at a size, with its span of error.
#![forbid(unsafe_code)]

pub mod estimate;
pub mod fit;
pub mod page;
pub mod plan;
#[cfg(test)]
mod planted;
pub mod point;
pub mod reckon;
pub mod tables;
pub mod unit;
