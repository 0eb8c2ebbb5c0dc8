//! The capacity model, the viewers drawn for a day, and the importer of days.

use lemontide_standin::day::{Day, FaultKind};
use lemontide_standin::import::import;
use lemontide_standin::model::{CapacityModel, Output, SocketState};
use lemontide_standin::player::draw_viewers;
use lemontide_wire::link::{SetUp, StreamerMessage};
use lemontide_wire::tap::TapEvent;
use serde_json::json;
use std::path::Path;

fn day() -> Day {
    Day::read(Path::new("../../days/short.json")).expect("it is valid")
}

fn set_up(id: u32, rate_kb: u32) -> SetUp {
    SetUp { id, ask: format!("a{id}"), lane: "replay".into(), rung: 1, rate_kb, ..SetUp::default() }
}

/// Advances a model by this many seconds in steps of 10 ms and returns its outputs.
fn advance(model: &mut CapacityModel, from: f64, seconds: f64) -> Vec<Output> {
    let mut out = Vec::new();
    let mut now = from;
    while now < from + seconds {
        now += 0.01;
        model.advance(now);
        out.extend(model.take_outputs());
    }
    out
}

#[test]
fn the_same_day_gives_the_same_viewers_and_the_same_fleet() {
    let day = day();
    assert_eq!(draw_viewers(&day), draw_viewers(&day));
    let run = || {
        let mut model = CapacityModel::new(&day, 100.0);
        let conn = model.connection_opened(100.0, 0, 0);
        (0..20).for_each(|id| model.set_up(100.0, 0, conn, set_up(id, 600)));
        advance(&mut model, 100.0, 8.0)
    };
    let first = run();
    assert!(first.len() > 50);
    assert_eq!(first, run());
}

#[test]
fn an_overloaded_link_is_shared_and_the_shortfall_is_reported_once_a_second() {
    let day = day();
    let mut model = CapacityModel::new(&day, 100.0);
    let conn = model.connection_opened(100.0, 0, 0);
    // Ten streams of 1,800 kB/s on a link of 9,000 kB/s.
    (0..10).for_each(|id| model.set_up(100.0, 0, conn, set_up(id, 1800)));
    let out = advance(&mut model, 100.0, 6.0);
    let shares: Vec<f64> = out
        .iter()
        .filter_map(|out| match out {
            Output::Tap { event: TapEvent::Delivered { share, .. }, .. } => Some(*share),
            _ => None,
        })
        .collect();
    let last_shares: Vec<&f64> = shares.iter().rev().take(5).collect();
    assert!(last_shares.iter().all(|share| **share < 0.75), "{last_shares:?}");
    let is_shortfall = |out: &&Output| matches!(out, Output::Send { message: StreamerMessage::Short(short), .. } if short.share < 0.98);
    let reports = out.iter().filter(is_shortfall).count();
    assert!((3..=6).contains(&reports), "{reports} reports instead of one a second");
}

#[test]
fn too_many_set_ups_crash_a_streamer_in_its_warm_up_for_good() {
    let mut day = day();
    day.cold_start.overload_multiple = 2.0;
    let mut model = CapacityModel::new(&day, 100.0);
    model.restart(100.0, 0);
    let conn = model.connection_opened(100.0, 0, 0);
    let has_crashed = |model: &mut CapacityModel| {
        model
            .take_outputs()
            .iter()
            .any(|out| matches!(out, Output::Tap { event: TapEvent::StreamerCrashed { .. }, .. }))
    };
    // 30 streams over 8 s, at four tenths of the capacity, times two: three set-ups a second and one of slack.
    (0..4).for_each(|id| model.set_up(100.1, 0, conn, set_up(id, 200)));
    assert!(!has_crashed(&mut model));
    (4..8).for_each(|id| model.set_up(100.2, 0, conn, set_up(id, 200)));
    assert!(has_crashed(&mut model));
    model.restart(101.0, 0);
    assert_eq!(model.socket_state(0), SocketState::Down);
}

#[test]
fn a_silent_streamer_sends_nothing_and_restarts_without_streams() {
    let day = day();
    let mut model = CapacityModel::new(&day, 100.0);
    let conn = model.connection_opened(100.0, 4, 0);
    model.set_up(100.0, 4, conn, set_up(1, 200));
    advance(&mut model, 100.0, 0.5);
    let vanish = FaultKind::Vanish { on: vec![4] };
    model.set_trouble(100.5, &vanish, true);
    let out = advance(&mut model, 100.5, 3.0);
    assert!(out.iter().all(|out| matches!(out, Output::Tap { .. })), "{out:?}");
    model.set_trouble(103.5, &vanish, false);
    let out = model.take_outputs();
    assert!(out.iter().any(|out| matches!(out, Output::Disconnect { .. })));
    assert_eq!((model.stream_count(), model.started_at(4)), (0, Some(103.5)));
}

#[test]
fn an_imported_day_is_scaled_down_and_the_notes_say_so() {
    let server = |i: usize| json!({"zone": i % 2, "cell": i, "speed": 1.0, "weight": 2.0, "up": true});
    let drawn = json!({
        "family": "streams", "noise": 5, "length": 40_000_000u64, "zones": ["a", "b"],
        "servers": (0..96).map(server).collect::<Vec<_>>(),
        "balancers": (0..40).map(|i| json!({"zone": i % 2})).collect::<Vec<_>>(),
        "traffic": {"load": 0.7, "over_share_worth": 0.1},
        "classes": [{"name": "x", "share": 1.0, "work": 50_000, "aim": 800_000, "deadline": 3_000_000,
                     "worth": 3.0, "effect": "unsafe"}],
        "tiers": [{"kinds": [{"name": "k", "cores": 2}], "report_fields": ["util", "x1"], "connect_timeout": 250_000,
                   "stated_cold": 9_000_000, "stated_cold_from": 0.4}],
        "allow": {"probes": true, "retry_after": true, "max_attempts": 4},
        "clients": {"max_retry_after": 500_000}, "fall_multiple": 2.5, "fall_for": 1_000_000,
        "budget": {"share": 0.3, "free": 5.0, "window": 5_000_000}, "drain_grace": 250_000,
        "fam": {"core_kb": 3000.0, "core_slots": 8.0, "racks": 12, "rates": [200.0, 400.0, 800.0], "life_s": 30.0,
                "copies": 1.5, "uplink_kb": [30_000.0, 20_000.0], "uses": [{"floor": 1, "scale": 1.2}]},
        "troubles": [
            {"kind": "fast_errors", "at": 5_000_000, "len": 9_000_000, "size": 0.7, "on": [1, 2, 3, 4, 5, 6, 7, 8]},
            {"kind": "balancer_stall", "at": 9_000_000, "len": 9_000_000, "size": 1500.0, "extra": 2.5, "on": [3, 4]},
            {"kind": "preempt", "at": 9_000_000, "len": 9_000_000, "size": 1.0, "extra": 4.0,
             "steps": [{"at": 9_000_000, "stop": [1, 2, 3, 4]}, {"at": 12_000_000, "stop": [7, 8, 9, 10]}]},
            {"kind": "unheard_of", "at": 1, "len": 1, "size": 1.0, "on": []}
        ]
    });
    let (day, notes) = import(&drawn, "drawn").expect("it is a day");
    day.check().expect("it can be played");
    assert_eq!((day.controllers.len(), day.streamers.iter().filter(|s| !s.spare).count()), (8, 24));
    assert_eq!(day.streamers.iter().filter(|s| s.spare).count(), 2);
    assert!(
        notes.iter().any(|note| note.contains("24 of 96")) && notes.iter().any(|n| n.contains("unheard_of"))
    );
    let count = |is: fn(&FaultKind) -> bool| day.faults.iter().filter(|trouble| is(&trouble.kind)).count();
    assert_eq!(count(|what| matches!(what, FaultKind::PauseControllers { .. })), 2);
    assert_eq!(count(|what| matches!(what, FaultKind::Removal { .. })), 2);
    assert!(day.faults.iter().any(|t| matches!(&t.kind, FaultKind::QuickErrors { on, .. } if on.len() == 2)));
    assert_eq!(day.retry_budget.as_ref().map(|ration| ration.request_share), Some(0.3));
    assert_eq!(import(&json!({"family": "proxy"}), "x").err().map(|e| e.starts_with("family")), Some(true));
}
