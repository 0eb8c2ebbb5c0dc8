//! Every decision of lemontide. One `Controller` decides for one instance and shares nothing with others.
//!
//! Called like this: `Controller::start` with the settings, `learn` with each list of streamers; then `take`
//! for each wish, which gives a `Handle`, and all that happens to that subscription later is a call on its
//! handle. Every call leaves what has to be done in `results`; do it, clear it, and call `wake` when it asks.
//! The types of these calls are in `interface.rs`, time in `clock.rs`, chance in `chance.rs`.
//!
//! The ordinary path is `Controller::place`: smallest phi = 1 / ((x + 1) * a) among the holders.

use crate::chance::Chance;
use crate::clock::{Point, Span};
use crate::interface::{Ending, Line, Load, Results, Sheet, Shot, Stage, Value, Wish};
use slab::Slab;
use std::collections::{HashMap, VecDeque};

/// A kept holder gives way only to a phi lower than its own by more than this part.
const SWITCH_PART: f64 = 0.1;
/// Part of a link that new set-ups and climbs may fill: true rates swing around the ladder's.
const FILL: f64 = 0.88;
/// What may be filled at the lowest rung; delivery under this share is short.
const BRIM: f64 = 0.98;
/// Fullness from which playing subscriptions step down.
const PRESSED: f64 = 1.10;
/// Random quiet wait of a subscription before it climbs, in seconds, and the least time between climbs.
const QUIET: (f64, f64) = (3.0, 6.0);
const CLIMB_GAP: Span = Span::of_millis(6_000);
/// How old the news in an answer is taken to be when it arrives.
const ANSWER_AGE: Span = Span::of_millis(400);
/// Sequential test of a streamer: log odds added by an ending, and where doubt and condemnation begin.
const GOOD: f64 = -1.0;
const BAD: f64 = 2.5;
const DOUBTED: f64 = 2.0;
const CONDEMNED: f64 = 4.5;
/// Doubt fades by this much a second, so that a streamer is tried again with care.
const FADE: f64 = 0.15;
const BEAT: Span = Span::of_millis(250);
/// Seconds after which what was told counts as the fleet's mean; part by which a new price moves the old.
const STALE: f64 = 12.0;
const SMOOTH: f64 = 0.2;

/// Stands for one subscription in hand; a stale one finds nobody.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Handle {
    place: usize,
    serial: u64,
}

struct Lane {
    name: String,
    gain: f64,
    goal: Span,
    /// Set up once: neither shot again nor turned back unless no earlier shot can have run.
    paid: bool,
    floor: usize,
    top: usize,
    scale: f64,
    seats: usize,
    live: bool,
}

/// The rates and gains of the rungs.
struct Ladder {
    kb: Vec<f64>,
    gain: Vec<f64>,
}

/// What the operators allow and state at the start.
struct HouseRules {
    me: i64,
    controllers: i64,
    cells: usize,
    racks: usize,
    rack_kb: f64,
    kb_per_weight: f64,
    note_age: Span,
    note_every: Span,
    cold: Span,
    cold_from: f64,
    fall_multiple: f64,
    fall_window: Span,
    ration: Option<(f64, f64, Span)>,
    most_shots: u32,
    retry_after: Option<Span>,
    kinds: Vec<(String, f64)>,
}

struct Streamer {
    name: String,
    zone: usize,
    rack: usize,
    cell: usize,
    ready: bool,
    link_kb: f64,
    streams: f64,
    /// Last start: from the list, or the moment at which this controller saw it break.
    started: Option<Point>,
    /// Fullness of link and rack as last told, and the moment that this speaks of.
    full: f64,
    told: Option<Point>,
    inflight: Option<(f64, Point)>,
    /// Own changes of rate since the moment told.
    ledger: VecDeque<(Point, f64)>,
    odds: f64,
    odds_at: Point,
    full_until: Point,
    /// Own sends in the current cold turn.
    turn: i64,
    turn_sends: u32,
}

struct Title {
    kept: Option<(usize, Point)>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum State {
    Waiting,
    SettingUp,
    Playing,
    /// Answered or given up by the viewer while a shot is still out: it keeps its seat, no more.
    Ended,
}

struct Subscription {
    serial: u64,
    id: u32,
    lane: usize,
    title: usize,
    gain: f64,
    home: usize,
    copies: usize,
    floor: usize,
    top: usize,
    cut_off: Point,
    state: State,
    rung: usize,
    streamer: usize,
    shots: u32,
    may_have_run: bool,
    climb_at: Point,
    changed: Point,
}

pub struct Controller {
    rules: HouseRules,
    ladder: Ladder,
    lanes: Vec<Lane>,
    streamers: Vec<Streamer>,
    /// What was last told of each rack's uplink, and the moment that this speaks of.
    racks: Vec<Option<(f64, Point)>>,
    by_name: HashMap<String, usize>,
    titles: Vec<Title>,
    by_title: HashMap<String, usize>,
    zones: Vec<String>,
    held: Slab<Subscription>,
    serial: u64,
    taken: VecDeque<Point>,
    further: VecDeque<Point>,
    chance: Chance,
    wake_at: Point,
    /// The fleet's mean fullness, and the gain per kB that a step must earn, as far as is known.
    mean_full: f64,
    price: Option<f64>,
    steps: Vec<(f64, f64)>,
    pub results: Results,
}

fn number(sheet: &Sheet, name: &str, fallback: f64) -> f64 {
    match sheet.get(name) {
        Some(Value::Number(n)) if n.is_finite() => *n,
        _ => fallback,
    }
}

fn text(sheet: &Sheet, name: &str) -> Option<String> {
    match sheet.get(name) {
        Some(Value::Text(t)) => Some(t.clone()),
        _ => None,
    }
}

fn flag(sheet: &Sheet, name: &str) -> bool {
    sheet.get(name) == Some(&Value::Flag(true))
}

fn row(sheet: &Sheet, name: &str) -> Vec<f64> {
    (0..)
        .map_while(|i| {
            sheet
                .get(&format!("{name}.{i}"))
                .map(|_| number(sheet, &format!("{name}.{i}"), 0.0))
        })
        .collect()
}

fn names(sheet: &Sheet, name: &str) -> Vec<String> {
    (0..).map_while(|i| text(sheet, &format!("{name}.{i}"))).collect()
}

impl Controller {
    pub fn start(now: Point, seed: u64, sheet: &Sheet) -> Controller {
        let mut ladder = Ladder {
            kb: row(sheet, "ladder.kb"),
            gain: row(sheet, "ladder.gain"),
        };
        if ladder.kb.is_empty() {
            ladder.kb.push(1.0);
        }
        ladder.gain.resize(ladder.kb.len(), 1.0);
        let rungs = ladder.kb.len();
        let lanes = (0..).map_while(|i| {
            let of = |name: &str| format!("lanes.{i}.{name}");
            let at = |name: &str, fallback| number(sheet, &format!("{name}.{i}"), fallback);
            text(sheet, &of("name")).map(|name| Lane {
                name,
                gain: number(sheet, &of("gain"), 1.0),
                goal: Span::of(number(sheet, &of("latency_goal"), 1.0)),
                paid: text(sheet, &of("repeat")).is_some_and(|r| r != "free"),
                floor: (at("lane_floor", 0.0) as usize).min(rungs - 1),
                top: (at("lane_top", 1e6) as usize).min(rungs - 1),
                scale: at("lane_scale", 1.0).max(0.01),
                seats: at("lane_seats", 0.0) as usize,
                live: flag(sheet, &format!("lane_live.{i}")),
            })
        });
        let streams = row(sheet, "kind_streams");
        let kinds = names(sheet, "kinds");
        let longest = number(sheet, "retry_after.longest", 0.0);
        let rules = HouseRules {
            me: number(sheet, "me", 0.0) as i64,
            controllers: number(sheet, "controllers", 1.0).max(1.0) as i64,
            cells: number(sheet, "cells", 1.0).max(1.0) as usize,
            racks: number(sheet, "rack.count", 1.0).max(1.0) as usize,
            rack_kb: number(sheet, "rack.kb", 0.0),
            kb_per_weight: number(sheet, "link.kb_per_weight", 0.0),
            note_age: Span::of(number(sheet, "notes.age", 1.0)),
            note_every: Span::of(number(sheet, "notes.every", 0.0)),
            cold: Span::of(number(sheet, "cold.span", 0.0)),
            cold_from: number(sheet, "cold.from", 1.0),
            fall_multiple: number(sheet, "cold.multiple", 1.0),
            fall_window: Span::of(number(sheet, "cold.window", 1.0)),
            ration: sheet.contains_key("ration.share").then(|| {
                let window = Span::of(number(sheet, "ration.window", 5.0));
                (
                    number(sheet, "ration.floor", 0.0),
                    number(sheet, "ration.share", 0.0),
                    window,
                )
            }),
            most_shots: number(sheet, "shots.most", 1.0).max(1.0) as u32,
            retry_after: (flag(sheet, "retry_after.allowed") && longest > 0.0).then(|| Span::of(longest)),
            kinds: kinds
                .into_iter()
                .enumerate()
                .map(|(i, k)| (k, *streams.get(i).unwrap_or(&30.0)))
                .collect(),
        };
        Controller {
            racks: vec![None; rules.racks],
            rules,
            ladder,
            lanes: lanes.collect(),
            streamers: Vec::new(),
            by_name: HashMap::new(),
            titles: Vec::new(),
            by_title: HashMap::new(),
            zones: names(sheet, "zones"),
            held: Slab::with_capacity(256),
            serial: 0,
            taken: VecDeque::with_capacity(256),
            further: VecDeque::with_capacity(64),
            chance: Chance::from_seed(seed),
            wake_at: now,
            mean_full: 0.0,
            price: None,
            steps: Vec::with_capacity(512),
            results: Results::default(),
        }
    }

    /// Takes news of the list: changed lines, or with `whole` all of it, so that who is missing is gone.
    pub fn learn(&mut self, now: Point, lines: &[Line], whole: bool) {
        if whole {
            self.streamers.iter_mut().for_each(|s| s.ready = false);
        }
        for line in lines {
            let place = match self.by_name.get(&line.streamer) {
                Some(place) => *place,
                None => {
                    self.by_name.insert(line.streamer.clone(), self.streamers.len());
                    self.streamers.push(Streamer::new(&line.streamer, now));
                    self.streamers.len() - 1
                }
            };
            let streams = self
                .rules
                .kinds
                .iter()
                .find(|(kind, _)| *kind == line.kind)
                .map_or(30.0, |k| k.1);
            let streamer = &mut self.streamers[place];
            streamer.zone = self
                .zones
                .iter()
                .position(|z| *z == line.zone)
                .unwrap_or(usize::MAX);
            streamer.cell = line.cell;
            streamer.rack = line.cell % self.rules.racks;
            streamer.ready = line.stage == Stage::Ready;
            streamer.link_kb = line.weight.max(0.01) * self.rules.kb_per_weight;
            streamer.streams = streams;
            if line.started > streamer.started {
                // A restart forgets what the streamer held and what it was suspected of.
                streamer.started = line.started;
                streamer.odds = streamer.odds.min(DOUBTED / 2.0);
                streamer.told = None;
            }
        }
        self.ask_wake(now);
    }

    fn ask_wake(&mut self, now: Point) {
        if self.wake_at <= now {
            self.wake_at = now + BEAT;
            self.results.wake = Some(self.wake_at);
        }
    }

    fn enter(&mut self, now: Point, wish: &Wish) -> usize {
        let title = match self.by_title.get(wish.title) {
            Some(title) => *title,
            None => {
                self.by_title.insert(wish.title.to_owned(), self.titles.len());
                self.titles.push(Title { kept: None });
                self.titles.len() - 1
            }
        };
        if self.lanes.is_empty() || !self.lanes.iter().any(|l| l.name == wish.lane) {
            // A lane that the settings never named is served with the strictest terms.
            self.lanes
                .push(Lane::unnamed(wish.lane, self.ladder.kb.len() - 1));
        }
        let lane = self.lanes.iter().position(|l| l.name == wish.lane).unwrap_or(0);
        let terms = &self.lanes[lane];
        self.serial += 1;
        let quiet = Span::of(self.chance.between(QUIET.0, QUIET.1));
        self.held.insert(Subscription {
            serial: self.serial,
            id: wish.id,
            lane,
            title,
            gain: terms.gain,
            home: wish.home,
            copies: wish.copies,
            floor: terms.floor,
            top: wish.top.min(terms.top).max(terms.floor),
            cut_off: wish.cut_off,
            state: State::Waiting,
            rung: terms.floor,
            streamer: usize::MAX,
            shots: 0,
            may_have_run: false,
            climb_at: now + quiet,
            changed: now,
        })
    }

    fn handle(&self, place: usize) -> Handle {
        Handle {
            place,
            serial: self.held[place].serial,
        }
    }

    /// Takes a wish and answers it: with a shot, or with a turn-back.
    pub fn take(&mut self, now: Point, wish: &Wish) -> Handle {
        let place = self.enter(now, wish);
        self.taken.push_back(now);
        let handle = self.handle(place);
        self.place(now, place);
        handle
    }

    /// Takes over a subscription that plays already.
    pub fn inherit(&mut self, now: Point, wish: &Wish, streamer: &str) -> Handle {
        let place = self.enter(now, wish);
        let at = self.by_name.get(streamer).copied().unwrap_or(usize::MAX);
        let held = &mut self.held[place];
        (held.state, held.streamer, held.shots) = (State::Playing, at, 1);
        self.handle(place)
    }

    /// The ordinary path of a subscription, from top to bottom.
    fn place(&mut self, now: Point, place: usize) {
        let top = self.fair_rung(place);
        let held = &self.held[place];
        let (lane, title, floor) = (held.lane, held.title, held.floor);
        if self.lanes[lane].seats > 0 {
            let seated = self
                .held
                .iter()
                .filter(|(_, s)| s.title == title && s.lane == lane && s.seated());
            if seated.count() >= self.lanes[lane].seats {
                return self.give_up(place);
            }
        }
        if held.cut_off <= now || held.shots >= self.rules.most_shots || !self.within_ration(now, held) {
            return self.give_up(place);
        }
        // Highest rung first; at each the kept holder, else the smallest phi.
        let mut choice = None;
        for rung in (floor..=top).rev() {
            choice = self.holder(now, place, rung).map(|at| (at, rung));
            if choice.is_some() {
                break;
            }
        }
        let Some((at, rung)) = choice else {
            return self.give_up(place);
        };
        let kb = self.rate(lane, rung);
        let within = self.patience(now, place);
        let streamer = &mut self.streamers[at];
        streamer.ledger.push_back((now, kb));
        streamer.count_cold_send(&self.rules, now);
        if let Some((streams, _)) = &mut streamer.inflight {
            *streams += 1.0;
        }
        let held = &mut self.held[place];
        if held.shots > 0 {
            self.further.push_back(now);
        }
        held.shots += 1;
        (held.state, held.streamer, held.rung, held.changed) = (State::SettingUp, at, rung, now);
        self.results.rungs.push((held.id, rung));
        self.results.shots.push(Shot {
            id: held.id,
            streamer: streamer.name.clone(),
            within,
        });
    }

    /// The kept holder of the title while it stands, else the one of smallest phi, with room at this rung.
    fn holder(&mut self, now: Point, place: usize, rung: usize) -> Option<usize> {
        let held = &self.held[place];
        let kept = self.titles[held.title].kept;
        let mut best: Option<(f64, usize)> = None;
        let mut kept_phi = None;
        for careful in [true, false] {
            for at in 0..self.streamers.len() {
                if !self.may_send(now, place, at, careful) {
                    continue;
                }
                let a = self.capacity(now, place, at, rung);
                if a < 1.0 {
                    continue;
                }
                let phi = 1.0 / ((self.shared(place, at, rung) + 1.0) * a);
                if kept.is_some_and(|(k, _)| k == at) {
                    kept_phi = Some(phi);
                }
                if best.is_none_or(|(least, _)| phi < least) {
                    best = Some((phi, at));
                }
            }
            if best.is_some() {
                break;
            }
        }
        let (phi, mut at) = best?;
        if let (Some((k, since)), Some(kept_phi)) = (kept, kept_phi) {
            let fresh = self.streamers[k].told.is_some_and(|t| t > since);
            if !fresh || phi >= kept_phi * (1.0 - SWITCH_PART) {
                at = k;
            }
        }
        self.titles[held.title].kept = Some((at, now));
        Some(at)
    }

    /// Whether a streamer may get this subscription at all; `careful` leaves out those under doubt.
    fn may_send(&self, now: Point, place: usize, at: usize, careful: bool) -> bool {
        let held = &self.held[place];
        let streamer = &self.streamers[at];
        let cells = self.rules.cells;
        let holds = (streamer.cell + cells - held.home % cells) % cells < held.copies;
        let again = held.shots > 0 && held.streamer == at;
        let odds = streamer.odds_now(now);
        let doubt = odds
            >= if self.lanes[held.lane].paid {
                DOUBTED / 2.0
            } else {
                DOUBTED
            };
        streamer.ready
            && holds
            && odds < CONDEMNED
            && !(careful && (again || doubt))
            && now >= streamer.full_until
            && streamer.cold_turn(&self.rules, now)
    }

    /// a(i) = min(k, n): free streams, and spare link and uplink in subscriptions at this rung.
    fn capacity(&self, now: Point, place: usize, at: usize, rung: usize) -> f64 {
        let held = &self.held[place];
        let streamer = &self.streamers[at];
        let own = self
            .held
            .iter()
            .filter(|(_, s)| s.streamer == at && s.seated())
            .count() as f64;
        let k = streamer.streams - streamer.inflight.map_or(own, |(told, _)| told.max(own));
        let room = self.room(now, at, rung == held.floor);
        k.min(room / self.rate(held.lane, rung))
    }

    /// x: own viewers that share a live stream at this streamer and rung.
    fn shared(&self, place: usize, at: usize, rung: usize) -> f64 {
        let held = &self.held[place];
        if !self.lanes[held.lane].live {
            return 0.0;
        }
        let alike = |s: &Subscription| {
            s.streamer == at && s.title == held.title && s.lane == held.lane && s.rung == rung && s.seated()
        };
        self.held.iter().filter(|(_, s)| alike(s)).count() as f64
    }

    fn rate(&self, lane: usize, rung: usize) -> f64 {
        self.ladder.kb[rung] * self.lanes[lane].scale
    }

    /// Gain per kB of a subscription's step from the rung below up to this one.
    fn density(&self, place: usize, rung: usize) -> f64 {
        let held = &self.held[place];
        if rung <= held.floor {
            return f64::INFINITY;
        }
        let kb = self.rate(held.lane, rung) - self.rate(held.lane, rung - 1);
        held.gain * (self.ladder.gain[rung] - self.ladder.gain[rung - 1]) / kb.max(1e-9)
    }

    /// Fullness of a link as told, with own changes since; what was never told, or long ago, counts more
    /// and more as the fleet's mean. Symptom: a silent or new link that looks empty draws everything.
    fn fullness(&self, now: Point, at: usize) -> f64 {
        let streamer = &self.streamers[at];
        let own = streamer.ledger.iter().map(|c| c.1).sum::<f64>() / streamer.link_kb.max(1e-9);
        let Some(told) = streamer.told else {
            return self.mean_full.max(0.0) + own.max(0.0);
        };
        let stale = ((now - told).seconds() / STALE - 0.5).clamp(0.0, 1.0);
        streamer.full + own + stale * (self.mean_full - streamer.full).max(0.0)
    }

    /// Looks over the own part of the fleet: its mean fullness, and the gain per kB that its links are worth
    /// when the own subscriptions are filled up, best steps first, to what the fleet leaves them.
    fn appraise(&mut self, now: Point) {
        let own: f64 = (0..self.streamers.len()).map(|at| self.own_kb(at)).sum();
        let (mut links, mut asked, mut heard) = (0.0, 0.0, 0.0);
        for streamer in self.streamers.iter().filter(|s| s.ready) {
            links += streamer.link_kb;
            if streamer.told.is_some_and(|t| (now - t).seconds() < STALE) {
                heard += streamer.link_kb;
                asked += streamer.full * streamer.link_kb + streamer.ledger.iter().map(|c| c.1).sum::<f64>();
            }
        }
        let racks = self.rules.rack_kb * self.rules.racks as f64;
        let capacity = if racks > 0.0 { links.min(racks) } else { links }.max(1e-9);
        // Little was told yet: the others are taken to hold as much as this controller does.
        let guess = own * self.rules.controllers as f64 / capacity;
        let trust = (heard / links.max(1e-9) * 2.0).min(1.0);
        let told = if heard > 0.0 {
            asked / heard * (links / capacity).max(1.0)
        } else {
            0.0
        };
        let full = trust * told + (1.0 - trust) * guess;
        self.mean_full = full * capacity / links.max(1e-9);
        if own <= 0.0 || full <= 0.0 {
            return;
        }
        let mut left = own * (FILL / full).clamp(0.4, 4.0);
        let mut steps = std::mem::take(&mut self.steps);
        steps.clear();
        for (place, held) in self.held.iter().filter(|(_, s)| s.seated()) {
            left -= self.rate(held.lane, held.floor);
            for rung in held.floor + 1..=held.top {
                let kb = self.rate(held.lane, rung) - self.rate(held.lane, rung - 1);
                steps.push((self.density(place, rung), kb));
            }
        }
        steps.sort_by(|a, b| b.0.total_cmp(&a.0));
        let price = steps.iter().find(|(_, kb)| {
            left -= kb;
            left < 0.0
        });
        let price = price.map_or(0.0, |step| step.0);
        self.price = Some(self.price.map_or(price, |old| old + SMOOTH * (price - old)));
        self.steps = steps;
    }

    /// The highest rung whose every step is worth the fleet's price; with no account yet, the ladder's middle.
    fn fair_rung(&self, place: usize) -> usize {
        let held = &self.held[place];
        let Some(price) = self.price else {
            return (self.ladder.kb.len() / 2).clamp(held.floor, held.top);
        };
        let worth = (held.floor + 1..=held.top).take_while(|rung| self.density(place, *rung) >= price);
        worth.last().unwrap_or(held.floor)
    }

    fn own_kb(&self, at: usize) -> f64 {
        let own = self.held.iter().filter(|(_, s)| s.streamer == at && s.seated());
        own.map(|(_, s)| self.rate(s.lane, s.rung)).sum()
    }

    /// Spare kB a second of a streamer's link and its rack's uplink, under the fill that is aimed at.
    fn room(&self, now: Point, at: usize, floor: bool) -> f64 {
        let streamer = &self.streamers[at];
        let fill = if floor { BRIM } else { FILL };
        let room = (fill * streamer.warmth(&self.rules, now) - self.fullness(now, at)) * streamer.link_kb;
        room.min(self.rack_room(now, at, fill))
    }

    fn rack_room(&self, now: Point, at: usize, fill: f64) -> f64 {
        let rack = self.streamers[at].rack;
        // What was told of an uplink lapses: a rack that nobody uses any more tells nothing new.
        let Some((full, told)) = self.racks[rack].filter(|(_, told)| (now - *told).seconds() < STALE / 2.0)
        else {
            return f64::INFINITY;
        };
        let mates = self.streamers.iter().filter(|s| s.rack == rack);
        let own: f64 = mates
            .flat_map(|s| &s.ledger)
            .filter(|c| c.0 > told)
            .map(|c| c.1)
            .sum();
        (fill - full) * self.rules.rack_kb - own
    }

    /// Steps own subscriptions at a streamer down one rung each, cheapest first, until so much is freed.
    fn step_down(&mut self, now: Point, at: usize, mut missing: f64) {
        while missing > 0.0 {
            let own = self.held.iter().filter(|(_, s)| s.steady(at, now));
            let priced = own.map(|(place, s)| (self.density(place, s.rung), place));
            let Some((_, place)) = priced.min_by(|a, b| a.0.total_cmp(&b.0)) else {
                return;
            };
            let rung = self.held[place].rung;
            missing -= self.set_rung(now, place, rung - 1);
        }
    }

    /// Sets the rung of a playing subscription; returns the kB that this frees.
    fn set_rung(&mut self, now: Point, place: usize, rung: usize) -> f64 {
        let held = &self.held[place];
        let freed = self.rate(held.lane, held.rung) - self.rate(held.lane, rung);
        let at = held.streamer;
        let quiet = Span::of(self.chance.between(QUIET.0, QUIET.1));
        let held = &mut self.held[place];
        held.climb_at = now + if freed < 0.0 { quiet.max(CLIMB_GAP) } else { quiet };
        held.rung = rung;
        held.changed = now;
        self.results.rungs.push((held.id, rung));
        if let Some(streamer) = self.streamers.get_mut(at) {
            streamer.ledger.push_back((now, -freed));
        }
        freed
    }

    /// How long a shot may take: a free lane's leaves time for another within the latency goal.
    fn patience(&self, now: Point, place: usize) -> Span {
        let held = &self.held[place];
        let left = held.cut_off - now;
        if self.lanes[held.lane].paid || held.shots + 1 >= self.rules.most_shots {
            return left;
        }
        left.min(self.lanes[held.lane].goal * 0.45)
    }

    /// Further shots stay within the ration in every window that ends now.
    fn within_ration(&self, now: Point, held: &Subscription) -> bool {
        let (Some((floor, share, window)), true) = (self.rules.ration, held.shots > 0) else {
            return true;
        };
        let made = self.further.iter().filter(|t| now - **t <= window).count() as f64;
        let taken = self.taken.iter().filter(|t| now - **t < window).count() as f64;
        made + 1.0 <= floor + share * taken
    }

    /// The final answer of a subscription that is given up, at once: turned back where the terms allow.
    fn give_up(&mut self, place: usize) {
        let held = &mut self.held[place];
        if held.may_have_run && self.lanes[held.lane].paid {
            self.results.scrapped.push(held.id);
        } else {
            self.results.turned_back.push((held.id, self.rules.retry_after));
        }
        self.held.remove(place);
    }

    /// A streamer's news of its load.
    fn hear(&mut self, now: Point, at: usize, load: Load, age: Span, noisy: bool) {
        let Some(streamer) = self.streamers.get_mut(at) else {
            return;
        };
        let of = now - age;
        if load.link.is_some() && streamer.told.is_some_and(|t| t > of) {
            return;
        }
        if let Some(full) = load.link {
            // The figures of answers are noisier than notes: they move what is known only half way.
            let own: f64 = streamer.ledger.iter().filter(|c| c.0 <= of).map(|c| c.1).sum();
            let known = streamer.full + own / streamer.link_kb.max(1e-9);
            let part = if noisy && streamer.told.is_some() {
                0.5
            } else {
                1.0
            };
            streamer.full = (known + part * (full - known)).max(0.0);
            streamer.told = Some(of);
            while streamer.ledger.front().is_some_and(|c| c.0 <= of) {
                streamer.ledger.pop_front();
            }
        }
        if let Some(full) = load.rack {
            self.racks[streamer.rack] = Some((full.max(0.0), of));
        }
        if let Some(streams) = load.streams {
            streamer.inflight = Some((streams, of));
        }
        self.relieve(now, at);
    }

    /// Steps down at a streamer that is asked for more than it gives: own subscriptions shrink by the share
    /// that everybody has to, cheapest first, so that all controllers together free just what is missing.
    fn relieve(&mut self, now: Point, at: usize) {
        let full = self.fullness(now, at);
        if full > PRESSED {
            let missing = self.own_kb(at) * (1.0 - FILL / full);
            self.step_down(now, at, missing);
        }
        let rack = -self.rack_room(now, at, PRESSED);
        if rack > 0.0 {
            let full = 1.0 + rack / self.rules.rack_kb.max(1e-9);
            let missing = self.own_kb(at) * (1.0 - FILL / full);
            self.step_down(now, at, missing);
        }
    }

    /// Regular work: climbs where the own account shows room.
    pub fn wake(&mut self, now: Point) {
        if now < self.wake_at {
            return;
        }
        self.ask_wake(now);
        if let Some((_, _, window)) = self.rules.ration {
            for times in [&mut self.taken, &mut self.further] {
                while times.front().is_some_and(|t| now - *t > window) {
                    times.pop_front();
                }
            }
        } else {
            self.taken.clear();
            self.further.clear();
        }
        self.appraise(now);
        for streamer in &mut self.streamers {
            while streamer
                .ledger
                .front()
                .is_some_and(|c| (now - c.0).seconds() > 2.0 * STALE)
            {
                streamer.ledger.pop_front();
            }
        }
        for at in 0..self.streamers.len() {
            self.climb(now, at);
        }
    }

    fn climb(&mut self, now: Point, at: usize) {
        let Some(told) = self.streamers[at].told else {
            return;
        };
        if now - told > self.rules.note_age + self.rules.note_every * 1.5 {
            return;
        }
        let room = self.room(now, at, false) / self.rules.controllers as f64;
        let ready = self.held.iter().filter(|(_, s)| {
            s.state == State::Playing && s.streamer == at && s.rung < s.top && now >= s.climb_at
        });
        let fair = ready.filter(|(place, s)| s.rung < self.fair_rung(*place));
        let fits = fair.filter(|(_, s)| self.rate(s.lane, s.rung + 1) - self.rate(s.lane, s.rung) <= room);
        let best = fits.map(|(place, s)| (self.density(place, s.rung + 1), place));
        if let Some((_, place)) = best.max_by(|a, b| a.0.total_cmp(&b.0)) {
            let rung = self.held[place].rung + 1;
            self.set_rung(now, place, rung);
        }
    }
}

impl Handle {
    fn find(self, on: &mut Controller) -> Option<&mut Subscription> {
        on.held.get_mut(self.place).filter(|s| s.serial == self.serial)
    }

    /// The subscription plays.
    pub fn plays(self, on: &mut Controller, now: Point) {
        let Some(held) = self.find(on) else { return };
        held.state = State::Playing;
        let at = held.streamer;
        if let Some(streamer) = on.streamers.get_mut(at) {
            streamer.weigh(now, GOOD);
        }
    }

    /// The rung in force, as the streamer tells it.
    pub fn at_rung(self, on: &mut Controller, rung: usize) {
        let highest = on.ladder.kb.len() - 1;
        if let Some(held) = self.find(on) {
            held.rung = rung.min(highest);
        }
    }

    /// The streamer delivers only this share of the rates.
    pub fn short(self, on: &mut Controller, now: Point, share: f64) {
        let Some(held) = self.find(on) else { return };
        let at = held.streamer;
        let age = on.rules.note_age;
        if share >= BRIM || at >= on.streamers.len() {
            return;
        }
        let full = 1.0 / share.max(0.3);
        // A link that is told to have room and yet delivers short stands in a rack whose uplink is full.
        let roomy = on.streamers[at].told.is_some() && on.fullness(now, at) < FILL;
        let load = if roomy { Load::rack(full) } else { Load::link(full) };
        on.hear(now, at, load, age, false);
    }

    /// The streamer tells how full its link or its rack's uplink is.
    pub fn load(self, on: &mut Controller, now: Point, load: Load) {
        let Some(held) = self.find(on) else { return };
        let (at, set_up) = (held.streamer, now - held.changed < BEAT);
        let age = if set_up { Span::ZERO } else { on.rules.note_age };
        on.hear(now, at, load, age, false);
    }

    /// A shot or its stream ended; `over` says that the subscription is finished with it.
    pub fn ended(self, on: &mut Controller, now: Point, ending: Ending, over: bool, load: Load) {
        let Some(held) = self.find(on) else { return };
        let (at, played, rung, lane) = (held.streamer, held.state == State::Playing, held.rung, held.lane);
        let dropped = held.state == State::Ended;
        held.may_have_run |= !matches!(ending, Ending::SentBack | Ending::NoConnection | Ending::NotSent);
        held.state = State::Waiting;
        let kb = on.rate(lane, rung);
        if let Some(streamer) = on.streamers.get_mut(at) {
            streamer.ledger.push_back((now, -kb));
            match ending {
                Ending::Errored | Ending::TimedOut | Ending::NoConnection => streamer.weigh(now, BAD),
                // A broken stream was held by a process that is no more: it restarts cold, if at all.
                Ending::Broken => {
                    streamer.weigh(now, BAD);
                    streamer.started = streamer.started.max(Some(now));
                }
                Ending::SentBack => streamer.full_until = now + Span::of(1.0),
                _ => {}
            }
        }
        on.hear(now, at, load, ANSWER_AGE, true);
        if over || dropped || played {
            on.held.remove(self.place);
            return;
        }
        let held = &on.held[self.place];
        if (held.may_have_run && on.lanes[held.lane].paid) || now >= held.cut_off {
            return on.give_up(self.place);
        }
        on.place(now, self.place);
    }

    /// The viewer left; a shot that is still out keeps its place until it ends.
    pub fn left(self, on: &mut Controller) {
        let Some(held) = self.find(on) else { return };
        if held.state == State::Waiting {
            on.held.remove(self.place);
        } else {
            held.state = State::Ended;
        }
    }
}

impl Subscription {
    fn seated(&self) -> bool {
        self.state != State::Waiting
    }

    /// Plays at this streamer above its floor and was not changed just now.
    fn steady(&self, at: usize, now: Point) -> bool {
        self.state == State::Playing && self.streamer == at && self.rung > self.floor && self.changed < now
    }
}

impl Lane {
    fn unnamed(name: &str, top: usize) -> Lane {
        let goal = Span::of(1.0);
        Lane {
            name: name.to_owned(),
            gain: 1.0,
            goal,
            paid: true,
            floor: 0,
            top,
            scale: 1.0,
            seats: 0,
            live: false,
        }
    }
}

impl Streamer {
    fn new(name: &str, now: Point) -> Streamer {
        Streamer {
            name: name.to_owned(),
            zone: usize::MAX,
            rack: 0,
            cell: 0,
            ready: false,
            link_kb: 0.0,
            streams: 0.0,
            started: None,
            full: 0.0,
            told: None,
            inflight: None,
            ledger: VecDeque::with_capacity(16),
            odds: 0.0,
            odds_at: now,
            full_until: now,
            turn: i64::MIN,
            turn_sends: 0,
        }
    }

    /// One step of the sequential test; the odds never fall below even.
    fn weigh(&mut self, now: Point, step: f64) {
        self.odds = (self.odds_now(now) + step).clamp(0.0, 2.0 * CONDEMNED);
        self.odds_at = now;
    }

    fn odds_now(&self, now: Point) -> f64 {
        (self.odds - FADE * (now - self.odds_at).seconds()).max(0.0)
    }

    fn is_cold(&self, rules: &HouseRules, now: Point) -> bool {
        self.started.is_some_and(|s| now - s < rules.cold)
    }

    fn warmth(&self, rules: &HouseRules, now: Point) -> f64 {
        if self.is_cold(rules, now) {
            rules.cold_from
        } else {
            1.0
        }
    }

    /// Sends that a whole turn at this cold streamer may hold: the fall budget at its coldest, with a margin.
    fn cold_sends(&self, rules: &HouseRules) -> u32 {
        let pace = self.streams / rules.cold.seconds().max(1e-3) * rules.cold_from;
        (pace * rules.fall_multiple * rules.fall_window.seconds() * 0.7) as u32
    }

    /// Controllers take turns at a cold streamer by number. A turn is two windows long and only its first
    /// half may send, so that every window meets one turn at most.
    fn cold_turn(&self, rules: &HouseRules, now: Point) -> bool {
        if !self.is_cold(rules, now) {
            return true;
        }
        let length = rules.fall_window * 2.0;
        let turn = now.turn(length);
        let spent = if self.turn == turn { self.turn_sends } else { 0 };
        turn.rem_euclid(rules.controllers) == rules.me
            && now.into_turn(length) < rules.fall_window
            && spent < self.cold_sends(rules)
    }

    fn count_cold_send(&mut self, rules: &HouseRules, now: Point) {
        let turn = now.turn(rules.fall_window * 2.0);
        if self.turn != turn {
            (self.turn, self.turn_sends) = (turn, 0);
        }
        self.turn_sends += 1;
    }
}
