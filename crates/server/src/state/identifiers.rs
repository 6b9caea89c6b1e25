//! The names under which peers know a request.

/// The 16 hex digits that name one attempt of a request, as they came.
pub type AttemptId = [u8; 16];

/// The 32 hex digits that all attempts of one request share, as they came.
pub type IdempotencyKey = [u8; 32];

/// A hash of a request's product and body: all attempts of one request have the same.
pub type ContentDigest = u64;
