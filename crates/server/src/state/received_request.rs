//! A request as it was read from a gateway.

use super::identifiers::{AttemptId, ContentDigest, IdempotencyKey};
use puffinladder::Request;

/// A request that was read and checked, and has not been given to the policy yet.
pub struct ReceivedRequest {
    /// The name under which agent and store know it.
    pub attempt: AttemptId,
    /// Its idempotency key, if its class has them.
    pub key: Option<IdempotencyKey>,
    /// Of class and body, where there is a key; else 0.
    pub digest: ContentDigest,
    /// When it came to the machine, s of the Unix clock.
    pub timestamp: f64,
    /// What the policy is told of it; its number is not yet known.
    pub request: Request,
    /// What its run is given.
    pub body: Vec<u8>,
}
