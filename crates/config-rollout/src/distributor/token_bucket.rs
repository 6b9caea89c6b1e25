//! Token bucket that limits the byte rate.

#[derive(Clone, Copy, Debug)]
pub(super) struct TokenBucket {
    /// Available bytes.
    tokens: f64,
    refilled_at: f64,
}

impl TokenBucket {
    pub(super) fn new(tokens: f64, now: f64) -> TokenBucket {
        TokenBucket { tokens, refilled_at: now }
    }

    /// Adds the bytes that accrued since the last refill at `rate` bytes per second, up to `burst`.
    pub(super) fn refill(&mut self, now: f64, rate: f64, burst: f64) {
        let elapsed = (now - self.refilled_at).max(0.0);
        self.tokens = (self.tokens + elapsed * rate).min(burst);
        self.refilled_at = self.refilled_at.max(now);
    }

    pub(super) fn has(&self, bytes: f64) -> bool {
        bytes <= self.tokens
    }

    /// Takes bytes from both buckets if both have enough, otherwise from neither. Returns whether they were taken.
    pub(super) fn take_from_both(first: &mut TokenBucket, second: &mut TokenBucket, bytes: f64) -> bool {
        if !first.has(bytes) || !second.has(bytes) {
            return false;
        }
        first.tokens -= bytes;
        second.tokens -= bytes;
        true
    }
}
