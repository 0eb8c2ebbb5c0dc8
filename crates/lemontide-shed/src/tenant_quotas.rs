//! Which requests are within their tenant's quota. Each tenant has a token bucket that its quota fills; a request that
//! finds it empty exceeds the quota. A tenant without a quota never exceeds one.

use lemontide::clock::Point;
use std::collections::HashMap;

/// A bucket holds what the quota brings in this time, so that a short burst, such as an office that starts its day,
/// does not count as exceeding the quota.
const BUCKET_DEPTH_S: f64 = 2.0;

#[derive(Clone, Debug)]
struct Bucket {
    quota_per_s: f64,
    tokens: f64,
    refilled_at: Point,
}

/// Token buckets of all tenants with a quota.
#[derive(Clone, Debug, Default)]
pub struct TenantQuotas {
    buckets: HashMap<String, Bucket>,
}

impl TenantQuotas {
    /// Tenants by name, each with its quota at this controller in requests per second.
    pub fn new(now: Point, quotas: impl IntoIterator<Item = (String, f64)>) -> TenantQuotas {
        let bucket =
            |quota_per_s: f64| Bucket { quota_per_s, tokens: quota_per_s * BUCKET_DEPTH_S, refilled_at: now };
        TenantQuotas {
            buckets: quotas
                .into_iter()
                .map(|(name, quota_per_s)| (name, bucket(quota_per_s.max(0.0))))
                .collect(),
        }
    }

    /// Counts a request and returns whether it exceeds its tenant's quota.
    pub fn exceeds_quota(&mut self, now: Point, tenant: &str) -> bool {
        let Some(bucket) = self.buckets.get_mut(tenant) else { return false };
        // A clock that went back adds no tokens.
        let elapsed_s = (now - bucket.refilled_at).seconds().max(0.0);
        let depth = (bucket.quota_per_s * BUCKET_DEPTH_S).max(1.0);
        bucket.tokens = (bucket.tokens + elapsed_s * bucket.quota_per_s).min(depth);
        bucket.refilled_at = now;
        let within = bucket.tokens >= 1.0;
        if within {
            bucket.tokens -= 1.0;
        }
        !within
    }
}
