//! State of gateway connections, shared between sessions, requests and housekeeping.

pub mod connection;
pub mod connections;
pub mod refusals;
mod tags;

#[cfg(test)]
mod tests;
