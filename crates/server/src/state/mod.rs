//! State of the requests: those in flight, idempotency keys with their results, the request log and counters.

pub mod counters;
pub mod idempotency;
pub mod identifiers;
pub mod in_flight;
pub mod mailbox;
pub mod received_request;
pub mod request_log;
