//! Token buckets of tenants.

use lemontide::clock::Point;
use lemontide_shed::tenant_quotas::TenantQuotas;

#[test]
fn a_tenant_gets_its_quota_however_much_it_or_another_requests() {
    let at = |s: f64| Point::at(1000.0 + s);
    let mut tenants = TenantQuotas::new(at(0.0), [("a".to_owned(), 10.0), ("b".to_owned(), 10.0)]);
    let mut within = [0, 0];
    for i in 0..10_000 {
        // Tenant `a` sends 100 requests per second, `b` sends 5.
        let now = at(f64::from(i) * 0.01);
        within[0] += usize::from(!tenants.exceeds_quota(now, "a"));
        if i % 20 == 0 {
            within[1] += usize::from(!tenants.exceeds_quota(now, "b"));
        }
        assert!(!tenants.exceeds_quota(now, "nobody"), "a tenant without a quota can't exceed one");
    }
    assert!((1000..=1021).contains(&within[0]), "10 per second and the depth of the bucket: {within:?}");
    assert_eq!(within[1], 500);
}
