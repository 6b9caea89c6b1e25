//! Where requests come in: accepts gateways, reads their messages and starts their requests.

pub mod decode;
pub mod listener;
pub mod session;

#[cfg(test)]
mod tests;
