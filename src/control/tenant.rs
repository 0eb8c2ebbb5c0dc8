//! A tenant's requests, compared with its quota.

use super::*;

impl Tenant {
    /// The share of the tenant's requests that is within its quota, of which this controller has an even part.
    /// Few requests count for little: otherwise, among hundreds of controllers, one request would count as a burst.
    pub(super) fn share_within_quota(&mut self, now: Point, is_first: bool, controllers: f64) -> f64 {
        let due = self.quota_per_s * TENANT_COUNT_DECAY_S / controllers;
        let decay = (-(now - self.counted_at).seconds() / TENANT_COUNT_DECAY_S).exp();
        let count = self.request_count.unwrap_or(due) * decay;
        self.request_count = Some(count + if is_first { 1.0 } else { 0.0 });
        self.counted_at = now;
        // Without a quota both are infinite, their ratio is NaN, and `min` returns the 1.
        ((due + PRIOR_COUNT) / (count + PRIOR_COUNT)).min(1.0)
    }
}
