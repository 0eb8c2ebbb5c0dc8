//! Load shedding as a whole: recovery after a stall of the process, and fairness between tenants.

use lemontide::clock::{Point, Span};
use lemontide_shed::admission::{Class, Decision};
use lemontide_shed::load_level::Resource;
use lemontide_shed::shedder::{IncomingRequest, LoadShedder, LoadShedderSettings};

fn at(s: f64) -> Point {
    Point::at(1000.0 + s)
}

fn shedder() -> LoadShedder {
    let class = |gain| Class { gain, mean_cost: 1.0, reserved_share: 0.0 };
    let settings = LoadShedderSettings {
        classes: vec![class(4.0), class(1.0)],
        tenant_quotas: vec![("loud".into(), 10.0), ("quiet".into(), 10.0)],
        max_retry_after: Span::of(2.0),
        max_hold: Span::of(0.2),
        max_delay: Span::of_millis(50),
    };
    LoadShedder::new(at(0.0), settings, 5)
}

fn incoming(class: usize, tenant: &str) -> IncomingRequest<'_> {
    IncomingRequest {
        class,
        tenant,
        is_retry: false,
        time_left: Span::of(3.0),
        was_held: false,
        decide_now: true,
    }
}

/// Sends requests at a steady rate to a controller with this capacity per second, with a tick every 100 ms. Returns
/// for each request whether it was admitted.
fn run(
    shedder: &mut LoadShedder,
    from_s: f64,
    rate_and_seconds: [f64; 2],
    capacity_per_s: f64,
    tenant: fn(usize) -> &'static str,
) -> Vec<bool> {
    let [rate_per_s, seconds] = rate_and_seconds;
    let (mut decisions, mut next_tick_s, mut admitted) = (Vec::new(), 0.0, 0.0);
    for i in 0..(seconds * rate_per_s) as usize {
        let now = from_s + i as f64 / rate_per_s;
        if now >= from_s + next_tick_s {
            next_tick_s += 0.1;
            let overloaded = admitted * 10.0 > capacity_per_s;
            shedder.observe(at(now), Resource::Cpu, (admitted * 10.0 / capacity_per_s).min(1.0));
            shedder.observe(at(now), Resource::QueueDelay, if overloaded { 1.0 } else { 0.1 });
            shedder.tick(at(now));
            admitted = 0.0;
        }
        let admit = shedder.decide(at(now), incoming(0, tenant(i))) == Decision::Admit;
        if admit {
            shedder.request_started();
            admitted += 1.0;
        }
        decisions.push(admit);
    }
    decisions
}

#[test]
fn a_stall_is_detected_by_the_gap_between_ticks_and_recovery_goes_in_steps() {
    let mut shedder = shedder();
    assert!(run(&mut shedder, 0.0, [100.0, 3.0], 200.0, |_| "").iter().all(|admit| *admit));
    // After a stall of two seconds the first tick detects it, before any waiting request is decided.
    shedder.tick(at(5.0));
    assert!(shedder.snapshot(at(5.0)).level > 1.0);
    let limit_per_s = shedder.snapshot(at(5.0)).limit_per_s.expect("there is one");
    assert!((50.0..90.0).contains(&limit_per_s), "{limit_per_s} of 100");
    let after = run(&mut shedder, 5.01, [100.0, 8.0], 200.0, |_| "");
    let admitted = |from: usize, to: usize| after[from..to].iter().filter(|admit| **admit).count();
    assert!(admitted(0, 100) <= 95, "no burst: {}", admitted(0, 100));
    assert_eq!(admitted(600, 800), 200, "a few seconds later all are admitted again");
    let limit_per_s = shedder.snapshot(at(13.0)).limit_per_s;
    assert!(
        limit_per_s.is_none_or(|limit_per_s| limit_per_s > 200.0),
        "only the capacity of the CPU limits: {limit_per_s:?}"
    );
}

#[test]
fn a_tenant_over_its_quota_does_not_displace_others() {
    let mut shedder = shedder();
    let tenant = |i: usize| if i % 40 == 1 { "quiet" } else { "loud" };
    run(&mut shedder, 0.0, [100.0, 5.0], 200.0, |_| "");
    // One tenant sends about 40 times as many requests as the other, and both together twice the capacity.
    let decisions = run(&mut shedder, 5.0, [400.0, 20.0], 200.0, tenant);
    let admitted_share = |quiet: bool| {
        let of_tenant = decisions.iter().enumerate().filter(|(i, _)| (i % 40 == 1) == quiet);
        let (all, admitted) =
            of_tenant.fold((0, 0), |(all, admitted), (_, admit)| (all + 1, admitted + u32::from(*admit)));
        f64::from(admitted) / f64::from(all)
    };
    let (quiet, loud) = (admitted_share(true), admitted_share(false));
    assert!(quiet > 0.95 && loud < 0.55, "{quiet} and {loud}");
}
