//! Identifiers of a request.

/// Identifier of one attempt of a request: 16 hex digits, as received.
pub type AttemptId = [u8; 16];

/// Identifier shared by all attempts of one request: 32 hex digits, as received.
pub type IdempotencyKey = [u8; 32];

/// Hash of the class and body of a request, equal for all its attempts.
pub type ContentDigest = u64;
