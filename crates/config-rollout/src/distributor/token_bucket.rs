//! A token bucket that limits the bytes which may be sent.

#[derive(Clone, Copy, Debug)]
pub(super) struct TokenBucket {
    /// Bytes that may be sent now.
    tokens: f64,
    refilled_at: f64,
}

impl TokenBucket {
    pub(super) fn new(tokens: f64, now: f64) -> TokenBucket {
        TokenBucket { tokens, refilled_at: now }
    }

    /// Adds what has come in since the last time, up to `burst`.
    pub(super) fn refill(&mut self, now: f64, rate: f64, burst: f64) {
        let elapsed = (now - self.refilled_at).max(0.0);
        self.tokens = (self.tokens + elapsed * rate).min(burst);
        self.refilled_at = self.refilled_at.max(now);
    }

    pub(super) fn has(&self, bytes: f64) -> bool {
        bytes <= self.tokens
    }

    /// Takes bytes from two buckets if both have them; otherwise from neither.
    pub(super) fn take_from_both(first: &mut TokenBucket, second: &mut TokenBucket, bytes: f64) -> bool {
        if !first.has(bytes) || !second.has(bytes) {
            return false;
        }
        first.tokens -= bytes;
        second.tokens -= bytes;
        true
    }
}
