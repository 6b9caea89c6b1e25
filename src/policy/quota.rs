//! Quotas: a token bucket for each tenant decides which of its requests are beyond its share of this server.

use crate::Tenant;

/// Seconds of a quota that a bucket holds, beside what chance puts on it: bursts are over by then.
const QUOTA_BURST_S: f64 = 1.0;

/// This server's part of a tenant's quota, as a bucket that fills at that rate.
pub(super) struct QuotaBucket {
    /// Tokens a second.
    rate: f64,
    tokens: f64,
    refilled_at: f64,
}

impl QuotaBucket {
    /// An empty bucket for one of so many servers.
    pub fn new(tenant: &Tenant, servers: f64) -> QuotaBucket {
        QuotaBucket { rate: tenant.quota / servers, tokens: 0.0, refilled_at: 0.0 }
    }

    /// Whether a request that comes now is beyond the quota. Only a first attempt within it takes a token.
    pub fn is_over(&mut self, now: f64, is_first_attempt: bool) -> bool {
        let capacity = QUOTA_BURST_S * self.rate + self.rate.sqrt();
        self.tokens = (self.tokens + (now - self.refilled_at) * self.rate).min(capacity);
        self.refilled_at = now;
        let is_over = self.tokens < 1.0;
        if is_first_attempt && !is_over {
            self.tokens -= 1.0;
        }
        is_over
    }
}
