//! What the tests share: settings, wishes and lists in a few words.
#![allow(dead_code)] // each test program uses its own part

use lemontide::clock::{Point, Span};
use lemontide::control::Controller;
use lemontide::interface::{Line, Sheet, Stage, Value, Wish};

pub const FREE: &str = "free";
pub const PAID: &str = "paid";
pub const STREAMERS: usize = 6;
pub const COPIES: usize = 3;
pub const COLD: f64 = 10.0;

/// Two lanes, five rungs, links of 10,000 kB a second; the paid lane has a floor, the free one seats.
pub fn sheet(me: usize, controllers: usize, more: &[(&str, f64)]) -> Sheet {
    let mut sheet = Sheet::new();
    let mut put = |name: String, value| sheet.insert(name, value);
    for (i, (name, gain)) in [(FREE, 1.0), (PAID, 3.0)].iter().enumerate() {
        put(format!("lanes.{i}.name"), Value::Text((*name).to_owned()));
        put(format!("lanes.{i}.repeat"), Value::Text((*name).to_owned()));
        put(format!("lanes.{i}.gain"), Value::Number(*gain));
        put(format!("lanes.{i}.latency_goal"), Value::Number(1.0));
        put(format!("lane_floor.{i}"), Value::Number(i as f64));
    }
    for (i, (kb, gain)) in
        [(200.0, 0.2), (400.0, 0.45), (800.0, 0.65), (1200.0, 0.8), (2000.0, 1.0)].iter().enumerate()
    {
        put(format!("ladder.kb.{i}"), Value::Number(*kb));
        put(format!("ladder.gain.{i}"), Value::Number(*gain));
    }
    put("zone".to_owned(), Value::Text("here".to_owned()));
    put("kinds.0".to_owned(), Value::Text("std".to_owned()));
    put("retry_after.allowed".to_owned(), Value::Flag(true));
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
        put((*name).to_owned(), Value::Number(*figure));
    }
    sheet
}

pub fn line(cell: usize, stage: Stage, started: Option<Point>) -> Line {
    let (streamer, zone, kind) = (format!("s{cell}"), "here".to_owned(), "std".to_owned());
    Line { streamer, zone, kind, cell, stage, weight: 1.0, started }
}

pub fn fleet() -> Vec<Line> {
    (0..STREAMERS).map(|cell| line(cell, Stage::Ready, None)).collect()
}

/// A wish for a title that lies on streamer `home` and the two after it.
pub fn wish<'a>(id: u32, lane: &'a str, title: &'a str, home: usize, cut_off: Point) -> Wish<'a> {
    Wish { id, lane, tenant: "", title, cut_off, home, copies: COPIES, top: 4, returned: false, length: None }
}

pub fn holds(streamer: &str, home: usize) -> bool {
    let cell: usize = streamer[1..].parse().expect("streamers are named s0, s1 and so on");
    (cell + STREAMERS - home) % STREAMERS < COPIES
}

/// A lone controller that knows the whole fleet, at second 100.
pub fn lone(more: &[(&str, f64)]) -> (Controller, Point) {
    let now = Point::at(100.0);
    let mut controller = Controller::start(now, 7, &sheet(0, 1, more));
    controller.learn(now, &fleet(), true);
    controller.results.clear();
    (controller, now)
}

pub fn seconds(s: f64) -> Span {
    Span::of(s)
}
