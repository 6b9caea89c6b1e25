//! Connections of gateways: one coroutine each, which alone reads and writes it.

pub mod connection;
pub mod connections;
pub mod decode;
pub mod listener;
pub mod session;
mod tags;

#[cfg(test)]
mod tests;
