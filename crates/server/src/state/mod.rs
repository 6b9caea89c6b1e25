//! State of requests: requests in flight, ended attempts, idempotency keys with their results, request log and counters.

pub mod counters;
pub mod ended_attempts;
pub mod idempotency;
pub mod identifiers;
pub mod in_flight;
pub mod mailbox;
pub mod received_request;
pub mod request_log;
