//! Settings, requests and lists that the tests share.
#![allow(dead_code)] // each test program uses its own part

use lemontide::clock::{Point, Span};
use lemontide::control::Controller;
use lemontide::interface::{ControllerSettings, Request, SettingValue, StreamerEntry, StreamerState};

pub const FREE: &str = "free";
pub const PAID: &str = "paid";
pub const STREAMERS: usize = 6;
/// Number of cells in a row that hold a title.
pub const REPLICAS: usize = 3;
/// Warm-up of a cold streamer.
pub const WARM_UP_S: f64 = 10.0;

/// Two classes, five rungs, links of 10,000 kB a second. The free class can be repeated and starts at rung 0, the paid
/// one is set up at most once and starts at rung 1.
pub fn controller_settings(number: usize, controllers: usize, extra: &[(&str, f64)]) -> ControllerSettings {
    let mut settings = ControllerSettings::new();
    let mut put = |name: String, value| settings.insert(name, value);
    for (i, (name, gain)) in [(FREE, 1.0), (PAID, 3.0)].iter().enumerate() {
        put(format!("lanes.{i}.name"), SettingValue::Text((*name).to_owned()));
        put(format!("lanes.{i}.repeat"), SettingValue::Text((*name).to_owned()));
        put(format!("lanes.{i}.gain"), SettingValue::Number(*gain));
        put(format!("lanes.{i}.latency_goal"), SettingValue::Number(1.0));
        put(format!("lane_floor.{i}"), SettingValue::Number(i as f64));
    }
    for (i, (kb, gain)) in
        [(200.0, 0.2), (400.0, 0.45), (800.0, 0.65), (1200.0, 0.8), (2000.0, 1.0)].iter().enumerate()
    {
        put(format!("ladder.kb.{i}"), SettingValue::Number(*kb));
        put(format!("ladder.gain.{i}"), SettingValue::Number(*gain));
    }
    put("zone".to_owned(), SettingValue::Text("here".to_owned()));
    put("kinds.0".to_owned(), SettingValue::Text("std".to_owned()));
    put("retry_after.allowed".to_owned(), SettingValue::Flag(true));
    let numbers = [
        ("me", number as f64),
        ("controllers", controllers as f64),
        ("cells", STREAMERS as f64),
        ("kind_streams.0", 30.0),
        ("link.kb_per_weight", 10_000.0),
        ("notes.age", 1.0),
        ("notes.every", 3.0),
        ("cold.span", WARM_UP_S),
        ("cold.from", 0.5),
        ("cold.multiple", 2.5),
        ("cold.window", 1.0),
        ("shots.most", 3.0),
        ("retry_after.longest", 0.5),
    ];
    for (name, number) in numbers.iter().chain(extra) {
        put((*name).to_owned(), SettingValue::Number(*number));
    }
    settings
}

/// Entry of the streamer `s{cell}`.
pub fn entry(cell: usize, state: StreamerState, started_at: Option<Point>) -> StreamerEntry {
    let (streamer, zone, kind) = (format!("s{cell}"), "here".to_owned(), "std".to_owned());
    StreamerEntry { streamer, zone, kind, cell, state, weight: 1.0, started_at }
}

/// The list of all streamers, ready and long started.
pub fn fleet() -> Vec<StreamerEntry> {
    (0..STREAMERS).map(|cell| entry(cell, StreamerState::Ready, None)).collect()
}

/// A request for a title that is held by the streamer in cell `first_cell` and the two after it.
pub fn request<'a>(
    id: u32,
    class: &'a str,
    title: &'a str,
    first_cell: usize,
    deadline: Point,
) -> Request<'a> {
    Request {
        id,
        class,
        tenant: "",
        title,
        deadline,
        first_cell,
        replicas: REPLICAS,
        max_rung: 4,
        is_retry: false,
        expected_duration: None,
    }
}

/// Whether a streamer holds the titles of this first cell.
pub fn holds(streamer: &str, first_cell: usize) -> bool {
    let cell: usize = streamer[1..].parse().expect("streamers are named s0, s1 and so on");
    (cell + STREAMERS - first_cell) % STREAMERS < REPLICAS
}

/// The only controller of a fleet, with the whole list, at second 100.
pub fn single_controller(extra: &[(&str, f64)]) -> (Controller, Point) {
    let now = Point::at(100.0);
    let mut controller = Controller::new(now, 7, &controller_settings(0, 1, extra));
    controller.update_list(now, &fleet(), true);
    controller.actions.clear();
    (controller, now)
}

pub fn seconds(s: f64) -> Span {
    Span::of(s)
}
