//! What is spoken with gateways, agent, store and roster.

pub mod agent;
pub mod gateway;
pub mod http;
pub mod resp;
pub mod ring;
pub mod roster;
pub mod store;
