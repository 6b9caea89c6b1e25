//! Connection to the agent that runs requests: commands out, numbered notices in, one JSON object per line.

pub mod link;
mod notice;
pub mod reader;
pub mod receipts;
mod round_trip;
