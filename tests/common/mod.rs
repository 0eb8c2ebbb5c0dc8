//! What the tests share: settings, wishes and lists in a few words.
#![allow(dead_code)] // each test program uses its own part

use lemontide::clock::{Point, Span};
use lemontide::control::Controller;
use lemontide::interface::{ControllerSettings, Request, SettingValue, StreamerEntry, StreamerState};

pub const FREE: &str = "free";
pub const PAID: &str = "paid";
pub const STREAMERS: usize = 6;
pub const COPIES: usize = 3;
pub const COLD: f64 = 10.0;

/// Two lanes, five rungs, links of 10,000 kB a second; the paid lane has a floor, the free one seats.
pub fn sheet(me: usize, controllers: usize, more: &[(&str, f64)]) -> ControllerSettings {
    let mut sheet = ControllerSettings::new();
    let mut put = |name: String, value| sheet.insert(name, value);
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
    let figures = [
        ("me", me as f64),
        ("controllers", controllers as f64),
        ("cells", STREAMERS as f64),
        ("kind_streams.0", 30.0),
        ("link.kb_per_weight", 10_000.0),
        ("notes.age", 1.0),
        ("notes.every", 3.0),
        ("cold.span", COLD),
        ("cold.from", 0.5),
        ("cold.multiple", 2.5),
        ("cold.window", 1.0),
        ("shots.most", 3.0),
        ("retry_after.longest", 0.5),
    ];
    for (name, figure) in figures.iter().chain(more) {
        put((*name).to_owned(), SettingValue::Number(*figure));
    }
    sheet
}

pub fn line(cell: usize, stage: StreamerState, started: Option<Point>) -> StreamerEntry {
    let (streamer, zone, kind) = (format!("s{cell}"), "here".to_owned(), "std".to_owned());
    StreamerEntry { streamer, zone, kind, cell, state: stage, weight: 1.0, started_at: started }
}

pub fn fleet() -> Vec<StreamerEntry> {
    (0..STREAMERS).map(|cell| line(cell, StreamerState::Ready, None)).collect()
}

/// A wish for a title that lies on streamer `home` and the two after it.
pub fn wish<'a>(id: u32, lane: &'a str, title: &'a str, home: usize, cut_off: Point) -> Request<'a> {
    Request {
        id,
        class: lane,
        tenant: "",
        title,
        deadline: cut_off,
        first_cell: home,
        replicas: COPIES,
        max_rung: 4,
        is_retry: false,
        expected_duration: None,
    }
}

pub fn holds(streamer: &str, home: usize) -> bool {
    let cell: usize = streamer[1..].parse().expect("streamers are named s0, s1 and so on");
    (cell + STREAMERS - home) % STREAMERS < COPIES
}

/// A lone controller that knows the whole fleet, at second 100.
pub fn lone(more: &[(&str, f64)]) -> (Controller, Point) {
    let now = Point::at(100.0);
    let mut controller = Controller::new(now, 7, &sheet(0, 1, more));
    controller.update_list(now, &fleet(), true);
    controller.actions.clear();
    (controller, now)
}

pub fn seconds(s: f64) -> Span {
    Span::of(s)
}
