//! Which requests lie within their tenant's share. Each tenant has a bucket that its quota fills; a request that finds
//! it empty is past the share. A tenant without a quota has none to exceed.

use lemontide::clock::Point;
use std::collections::HashMap;

/// A bucket holds what so many seconds bring: an office that opens is no excess.
const DEPTH_S: f64 = 2.0;

#[derive(Clone, Debug)]
struct Bucket {
    per_s: f64,
    left: f64,
    at: Point,
}

#[derive(Clone, Debug, Default)]
pub struct TenantQuotas {
    buckets: HashMap<String, Bucket>,
}

impl TenantQuotas {
    /// Tenants by name with their requests a second at this controller.
    pub fn new(now: Point, quotas: impl IntoIterator<Item = (String, f64)>) -> TenantQuotas {
        let bucket = |per_s: f64| Bucket { per_s, left: per_s * DEPTH_S, at: now };
        TenantQuotas {
            buckets: quotas.into_iter().map(|(name, per_s)| (name, bucket(per_s.max(0.0)))).collect(),
        }
    }

    /// Counts a request; whether it is past its tenant's share.
    pub fn exceeds_quota(&mut self, now: Point, tenant: &str) -> bool {
        let Some(bucket) = self.buckets.get_mut(tenant) else { return false };
        // A clock that went back fills nothing.
        let passed = (now - bucket.at).seconds().max(0.0);
        bucket.left = (bucket.left + passed * bucket.per_s).min((bucket.per_s * DEPTH_S).max(1.0));
        bucket.at = now;
        let within = bucket.left >= 1.0;
        if within {
            bucket.left -= 1.0;
        }
        !within
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_tenant_keeps_its_share_however_much_it_asks_for() {
        let at = |s: f64| Point::at(1000.0 + s);
        let mut tenants = TenantQuotas::new(at(0.0), [("a".to_owned(), 10.0), ("b".to_owned(), 10.0)]);
        let mut within = [0, 0];
        for i in 0..10_000 {
            // One asks a hundred times a second, the other five times.
            let now = at(f64::from(i) * 0.01);
            within[0] += usize::from(!tenants.exceeds_quota(now, "a"));
            if i % 20 == 0 {
                within[1] += usize::from(!tenants.exceeds_quota(now, "b"));
            }
            assert!(!tenants.exceeds_quota(now, "nobody"), "who has no quota can't exceed it");
        }
        assert!((1000..=1021).contains(&within[0]), "ten a second and the bucket's depth: {within:?}");
        assert_eq!(within[1], 500);
    }
}
