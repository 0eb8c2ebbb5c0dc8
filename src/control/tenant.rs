//! The share of a tenant in what is asked.

use super::*;

impl Tenant {
    /// The part of the tenant's wishes that is within its share, of which an even part is this controller's.
    /// Symptom: among hundreds of controllers one wish looked like a whole crowd; few wishes prove little.
    pub(super) fn share_within_quota(&mut self, now: Point, first: bool, controllers: f64) -> f64 {
        let due = self.quota_per_s * TENANT_SPAN / controllers;
        let faded = (-(now - self.counted_at).seconds() / TENANT_SPAN).exp();
        let seen = self.request_count.unwrap_or(due) * faded;
        self.request_count = Some(seen + if first { 1.0 } else { 0.0 });
        self.counted_at = now;
        // Without a share both are endless, and `min` takes the 1.
        ((due + PROOF) / (seen + PROOF)).min(1.0)
    }
}
