//! The link to the agent that owns the cores: commands out, numbered notices in, one JSON object a line.

pub mod link;
mod notice;
pub mod reader;
