//! Gateway ingress: accepts connections, reads messages and starts requests.

pub mod decode;
pub mod listener;
pub mod session;

#[cfg(test)]
mod tests;
