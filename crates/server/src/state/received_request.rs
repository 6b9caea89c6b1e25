//! Request as received from a gateway.

use super::identifiers::{AttemptId, ContentDigest, IdempotencyKey};
use puffinladder::Request;

/// Decoded and validated request that has not been submitted to the policy.
pub struct ReceivedRequest {
    /// Attempt id, used towards the agent and the store.
    pub attempt: AttemptId,
    /// Idempotency key, if its class uses them.
    pub key: Option<IdempotencyKey>,
    /// Digest of class and body if there is a key, else 0.
    pub digest: ContentDigest,
    /// Whether the request may run again under the same attempt id, as far as the id alone decides.
    pub may_repeat_attempt: bool,
    /// Unix time at which it reached the machine, s.
    pub timestamp: f64,
    /// Input of the policy; its id is assigned on submission.
    pub request: Request,
    /// Body passed to the run.
    pub body: Vec<u8>,
}
