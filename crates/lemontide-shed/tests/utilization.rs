//! Smoothing of a utilization and the age at which a reading is stale.

use lemontide::clock::Point;
use lemontide_shed::utilization::Utilization;

fn at(s: f64) -> Point {
    Point::at(1000.0 + s)
}

#[test]
fn rises_are_followed_faster_than_falls_and_old_readings_expire() {
    let mut utilization = Utilization::default();
    assert_eq!(utilization.value(at(0.0)), None);
    utilization.observe(at(0.0), 0.2);
    utilization.observe(at(0.15), 1.2);
    let risen = utilization.value(at(0.15)).expect("fresh");
    assert!(risen > 0.8, "{risen}");
    utilization.observe(at(0.30), 0.2);
    assert!(utilization.value(at(0.3)).expect("fresh") > 0.6);
    utilization.observe(at(0.4), f64::NAN);
    assert_eq!(utilization.age_s(at(2.4)).map(|age_s| age_s > 2.0), Some(true));
    assert_eq!(utilization.value(at(2.4)), None);
}
