//! Connections to gateways, agent, store and registry, and their protocols.

pub mod agent;
pub mod gateway;
pub mod http;
pub mod registry;
pub mod resp;
pub mod ring;
pub mod store;
