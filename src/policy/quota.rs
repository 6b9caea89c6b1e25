//! Tenant quotas: a token bucket per tenant marks requests beyond its share of this server.

use crate::Tenant;

/// Seconds of quota that a bucket holds. Its capacity includes the square root of the rate in addition,
/// since arrivals are random.
const QUOTA_BURST_S: f64 = 1.0;

/// Token bucket for this server's share of a tenant's quota.
pub(super) struct QuotaBucket {
    /// Tokens per second.
    rate: f64,
    tokens: f64,
    refilled_at: f64,
}

impl QuotaBucket {
    /// Creates an empty bucket for one of `servers` servers.
    pub fn new(tenant: &Tenant, servers: f64) -> QuotaBucket {
        QuotaBucket { rate: tenant.quota / servers, tokens: 0.0, refilled_at: 0.0 }
    }

    /// Returns whether a request at `now` exceeds the quota. Only a first attempt within the quota takes a
    /// token.
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
