//! Connections of gateways, as those see them who answer on them or close them.

pub mod connection;
pub mod connections;
pub mod refusals;
mod tags;

#[cfg(test)]
mod tests;
