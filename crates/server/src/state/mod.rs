//! State of requests: requests in flight, idempotency keys with their results, request log and counters.

pub mod counters;
pub mod idempotency;
pub mod identifiers;
pub mod in_flight;
pub mod mailbox;
pub mod received_request;
pub mod request_log;
