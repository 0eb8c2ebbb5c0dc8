//! Every decision of lemontide. One `Controller` decides for one instance and shares nothing with others.
//!
//! Called like this: `Controller::start` with the settings, `learn` with each list of streamers; then `take`
//! for each wish, which gives a `Handle`, and all that happens to that subscription later is a call on its
//! handle. Every call leaves what has to be done in `results`; do it, clear it, and call `wake` when it asks.
//! The types of these calls are in `interface.rs`, time in `clock.rs`, chance in `chance.rs`.
//! The ordinary path is `Controller::place`: smallest phi = 1 / ((x + 1) * a) among the holders.

use crate::books::{
    Asking, Fleet, HouseRules, Ladder, Lane, Pipe, State, Streamer, Subscription, Tenant, Title, Turns,
};
use crate::chance::Chance;
use crate::clock::{Point, Span};
use crate::interface::{
    flag, number, row, span, text, Ending, Line, Load, Results, Sheet, Shot, Stage, Wish,
};
use slab::Slab;
use std::collections::{HashMap, VecDeque};

/// A kept holder gives way only to a phi lower than its own by more than this part.
const SWITCH_PART: f64 = 0.1;
/// Part of a link that set-ups and climbs may fill: true rates swing around the ladder's.
const FILL: f64 = 0.88;
/// What a holder in another zone counts for where crossing is charged.
const FAR: f64 = 0.5;
/// The same for one that other instances are to use first: nearly equal holders part by it, no others.
const LATER: f64 = 0.7;
/// The same at a streamer just looked at, as its news is of this moment.
const LOOKED_FILL: f64 = 0.93;
/// What set-ups at the lowest rung may fill; a share delivered under this is short.
const BRIM: f64 = 0.98;
/// Fullness from which playing subscriptions step down; lower figures are mostly noise.
const PRESSED: f64 = 1.05;
/// Random quiet wait before a climb, in seconds; the longer end also parts two climbs.
const QUIET: (f64, f64) = (2.0, 4.0);
/// How old news in an answer is taken to be, and the part by which its noisy figure moves what is known.
const ANSWER_AGE: Span = Span::of_millis(400);
const ANSWER_PART: f64 = 0.2;
/// Seconds after which what was told counts as the fleet's mean; part by which a new price moves the old.
const STALE: f64 = 30.0;
const SMOOTH: f64 = 0.2;
/// Part past its tenant's share from which a poor wish is surely turned back.
const SURELY_PAST: f64 = 0.4;
/// A wish whose best rung earns less than this part of the price is turned back where there are no shares.
const POOR: f64 = 0.6;
/// Sequential test of a streamer: log odds that an outcome adds, and where doubt and condemnation begin.
const GOOD: f64 = -1.0;
const BAD: f64 = 2.5;
const DOUBTED: f64 = 2.0;
const CONDEMNED: f64 = 4.5;
/// Odds fade by this much a second, so that a streamer is tried again with care.
const FADE: f64 = 0.15;
/// What others say of a streamer weighs so much at most: doubt, and with one own failure condemnation.
const HEARSAY: f64 = 3.0;
/// Part of the latency goal that a shot may take where another can follow it.
const SHOT_PART: f64 = 0.45;
/// Part of a fresh streamer's budget for own turns; the rest is for those of missing controllers.
const OWN_PART: f64 = 0.7;
/// Looks at holders without news before a first shot.
const LOOKS: u32 = 3;
/// Part of its even share of the fleet up to which a young controller catches up.
const CAUGHT_UP: f64 = 0.6;
/// Seconds over which a tenant's rate of wishes is counted.
const TENANT_SPAN: f64 = 16.0;
/// Wishes that prove little about a tenant.
const PROOF: f64 = 8.0;
/// Part of the time that the rules give in which a list is asked for, and asked for again after a failure.
const ASK_PART: f64 = 0.25;
const BEAT: Span = Span::of_millis(250);

/// Stands for one subscription in hand; a stale one finds nobody.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Handle {
    place: usize,
    serial: u64,
}

pub struct Controller {
    rules: HouseRules,
    ladder: Ladder,
    lanes: Vec<Lane>,
    tenants: Vec<Tenant>,
    streamers: Slab<Streamer>,
    by_name: HashMap<String, usize>,
    /// Counts the changes of which streamer stands in which cell.
    listed: u64,
    racks: Vec<Pipe>,
    titles: Slab<Title>,
    by_title: HashMap<String, usize>,
    held: Slab<Subscription>,
    serial: u64,
    taken: VecDeque<Point>,
    further: VecDeque<Point>,
    chance: Chance,
    wake_at: Point,
    asking: Asking,
    fleet: Fleet,
    pub results: Results,
}

impl Controller {
    pub fn start(now: Point, seed: u64, sheet: &Sheet) -> Controller {
        let read = |name: &str, fallback: f64| number(sheet, name).unwrap_or(fallback);
        let join = read("ladder.join", 1.0).clamp(0.0, 1.0);
        let mut ladder = Ladder { kb: row(sheet, "ladder.kb"), gain: row(sheet, "ladder.gain"), join };
        ladder.kb.resize(ladder.kb.len().max(1), 1.0);
        ladder.gain.resize(ladder.kb.len(), 1.0);
        let highest = ladder.kb.len() - 1;
        let lane = |i: usize| {
            let of = |what: &str, fallback| read(&format!("lanes.{i}.{what}"), fallback);
            let mut lane = Lane::unnamed(text(sheet, &format!("lanes.{i}.name"))?, highest);
            lane.gain = of("gain", 1.0);
            lane.goal = Span::of(of("latency_goal", 1.0));
            // A key that holds at every streamer for as long as a viewer waits is as good as free.
            let word = |what: &str| text(sheet, &format!("lanes.{i}.{what}"));
            let keyed = (word("repeat"), word("key_holds")) == (Some("keyed"), Some("all"));
            let covers = keyed && of("key_window", 0.0) >= of("cut_off", f64::INFINITY);
            lane.paid = word("repeat") != Some("free") && !covers;
            lane.floor = (read(&format!("lane_floor.{i}"), 0.0) as usize).min(highest);
            lane.top = (read(&format!("lane_top.{i}"), 1e6) as usize).min(highest);
            lane.scale = read(&format!("lane_scale.{i}"), 1.0).max(0.01);
            lane.seats = read(&format!("lane_seats.{i}"), 0.0) as usize;
            lane.live = flag(sheet, &format!("lane_live.{i}"));
            Some(lane)
        };
        let tenant = |i: usize| {
            let name = text(sheet, &format!("tenants.{i}.name"))?.to_owned();
            let quota_per_s = read(&format!("tenants.{i}.quota_per_s"), f64::INFINITY);
            Some(Tenant { name, quota_per_s, count: None, counted: now })
        };
        let mut controller = Controller {
            rules: HouseRules { sheet: sheet.clone(), born: now, turns: Turns::default() },
            ladder,
            lanes: (0..).map_while(lane).collect(),
            tenants: (0..).map_while(tenant).collect(),
            streamers: Slab::new(),
            by_name: HashMap::new(),
            listed: 0,
            racks: vec![Pipe::of_size(read("rack.kb", 0.0)); read("rack.count", 1.0).max(1.0) as usize],
            titles: Slab::new(),
            by_title: HashMap::new(),
            held: Slab::with_capacity(256),
            serial: 0,
            taken: VecDeque::with_capacity(256),
            further: VecDeque::with_capacity(64),
            chance: Chance::from_seed(seed),
            wake_at: now,
            asking: Asking::default(),
            fleet: Fleet::default(),
            results: Results::default(),
        };
        if flag(sheet, "list.on_request") {
            controller.ask_again(now, 1.0 - 1.0 / controller.rules.controllers());
        }
        controller
    }

    /// Sets when the list is asked for: well within the time that the rules give, at random, as hundreds
    /// ask one service. Symptom: all ask at once, most calls fail, and old lists send set-ups into drains.
    fn ask_again(&mut self, now: Point, spread: f64) {
        let within = span(&self.rules.sheet, "list.ask_within") * ASK_PART;
        let doubled = f64::from(1 << self.asking.failures.min(2));
        let wait = within * (doubled * spread * self.chance.between(0.0, 1.0));
        self.asking.due = Some(now + wait);
        self.asking.awaited = false;
    }

    /// A call for the list failed, or it is followed no longer: the old list stays in force for now.
    pub fn list_lost(&mut self, now: Point) {
        self.asking.failures += 1;
        self.ask_again(now, 1.0);
    }

    /// Takes news of the list: changed lines, or with `whole` all of it, so that who is missing is gone.
    pub fn learn(&mut self, now: Point, lines: &[Line], whole: bool) {
        if self.asking.awaited {
            self.asking = Asking::default();
        }
        if whole {
            for (_, streamer) in &mut self.streamers {
                (streamer.ready, streamer.gone) = (false, streamer.gone.or(Some(now)));
            }
        }
        for line in lines {
            let at = match self.by_name.get(&line.streamer) {
                Some(at) => *at,
                None if line.stage == Stage::Gone => continue,
                None => {
                    let new = Streamer { name: line.streamer.as_str().into(), ..Streamer::default() };
                    let at = self.streamers.insert(new);
                    self.by_name.insert(line.streamer.clone(), at);
                    at
                }
            };
            let streamer = &mut self.streamers[at];
            self.listed += u64::from(streamer.cell != line.cell || streamer.link.kb <= 0.0);
            (streamer.cell, streamer.rack) = (line.cell, line.cell % self.racks.len());
            streamer.ready = line.stage == Stage::Ready;
            streamer.gone = streamer.gone.or(Some(now)).filter(|_| line.stage == Stage::Gone);
            let crossing = self.rules.number("charges.cross_zone", 0.0) > 0.0;
            streamer.near = !crossing || text(&self.rules.sheet, "zone") == Some(&line.zone);
            // Of weights that fall with load the largest is the size. Symptom: busy links look small.
            let seen = if flag(&self.rules.sheet, "link.weight_is_live") { streamer.link.kb } else { 0.0 };
            streamer.link.kb = seen.max(line.weight.max(0.01) * self.rules.number("link.kb_per_weight", 1.0));
            streamer.places = self.rules.places(&line.kind);
            if line.started > streamer.started {
                // A new process holds nothing and is under doubt no more than half.
                streamer.started = line.started;
                streamer.odds = streamer.odds.min(DOUBTED / 2.0);
                (streamer.link.told, streamer.streams) = (None, None);
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

    /// Takes a wish and answers it: with a shot, or with a turn-back.
    pub fn take(&mut self, now: Point, wish: &Wish) -> Handle {
        self.taken.push_back(now);
        let handle = self.enter(now, wish, !wish.returned);
        self.place(now, handle.place);
        handle
    }

    /// Takes over a subscription that plays already.
    pub fn inherit(&mut self, now: Point, wish: &Wish, streamer: &str) -> Handle {
        let handle = self.enter(now, wish, false);
        let held = &mut self.held[handle.place];
        held.streamer = self.by_name.get(streamer).copied().unwrap_or(usize::MAX);
        (held.state, held.shots) = (State::Playing, 1);
        let (at, rung) = (held.streamer, held.rung);
        let (kb, count) = self.takes(handle.place, at, rung);
        self.book(now, at, kb, count);
        handle
    }

    fn enter(&mut self, now: Point, wish: &Wish, first: bool) -> Handle {
        let title = self.by_title.get(wish.title).copied().unwrap_or_else(|| {
            let at = self.titles.insert(Title::default());
            self.by_title.insert(wish.title.to_owned(), at);
            at
        });
        let known = &mut self.titles[title];
        known.asked = now;
        // Told anew with each wish. Symptom: a title that moved is asked for where it no longer lies.
        let of = (self.listed, wish.home, wish.copies);
        if known.of != of {
            let cells = self.rules.number("cells", 1.0).max(1.0) as usize;
            let holds = |s: &Streamer| (s.cell + cells - wish.home % cells) % cells < wish.copies;
            let all = self.streamers.iter().filter(|(_, s)| holds(s));
            known.holders = all.map(|(at, _)| at).collect();
            known.of = of;
        }
        let lane = self.lanes.iter().position(|l| l.name == wish.lane).unwrap_or_else(|| {
            // A lane that the settings never named is served on the strictest terms.
            self.lanes.push(Lane::unnamed(wish.lane, self.ladder.kb.len() - 1));
            self.lanes.len() - 1
        });
        // Traffic past a tenant's share earns little. Symptom: one tenant's crowd takes everybody's links.
        let tenant = self.tenants.iter_mut().find(|t| t.name == wish.tenant);
        let within = tenant.map_or(1.0, |t| t.within(now, first, self.rules.controllers()));
        let past = (1.0 - within) * self.rules.number("over_share_gain", 1.0);
        let terms = &self.lanes[lane];
        self.serial += 1;
        let place = self.held.insert(Subscription {
            serial: self.serial,
            id: wish.id,
            lane,
            title,
            gain: terms.gain * (within + past),
            floor: terms.floor,
            top: wish.top.min(terms.top),
            cut_off: wish.cut_off,
            state: State::Waiting,
            rung: terms.floor,
            streamer: usize::MAX,
            shots: 0,
            looks: 0,
            may_have_run: false,
            counted: false,
            blamed: None,
            climb_at: now + Span::of(self.chance.between(QUIET.0, QUIET.1)),
            changed: now,
        });
        Handle { place, serial: self.serial }
    }

    /// The ordinary path of a subscription, from top to bottom.
    fn place(&mut self, now: Point, place: usize) {
        let held = &self.held[place];
        let (lane, floor) = (held.lane, held.floor);
        let terms = &self.lanes[lane];
        let seated = |s: &Subscription| s.title == held.title && s.lane == lane && s.seated();
        let no_seat = terms.seats > 0 && self.held.iter().filter(|(_, s)| seated(s)).count() >= terms.seats;
        let spent = !self.has_shots_left(now, held);
        // A viewer below the lane's floor can use no rung of it. Symptom: rungs that its screen can't show.
        if no_seat || spent || floor > held.top {
            return self.give_up(place);
        }
        // No rung earns what its link is worth elsewhere: turned back by the chance that it is past a
        // tenant's share; without shares, when it falls well short. Symptom: links full of cheap wishes.
        let rate = |rung: usize| self.rate(lane, rung) * self.part(held);
        let earns = |rung: usize| held.gain * self.ladder.gain[rung] / rate(rung);
        let best = (floor..=held.top).map(earns).fold(0.0, f64::max);
        let part = self.fleet.price.map_or(1.0, |price| best / price.max(1e-12));
        let past = 1.0 - held.gain / terms.gain;
        if part < POOR && self.tenants.is_empty()
            || part < 1.0 && past > 0.0 && self.chance.between(0.0, SURELY_PAST) < past
        {
            return self.give_up(place);
        }
        // Highest rung first; at each the kept holder, else the smallest phi; lower rungs, then a turn-back.
        let choice = (floor..=self.fair_rung(place, 1.0))
            .rev()
            .find_map(|rung| Some((self.holder(now, place, rung)?, rung)));
        let Some((at, rung)) = choice else {
            return self.give_up(place);
        };
        // Hundreds of controllers each hear from few streamers: a holder without news is looked at first.
        let told = self.streamers[at].link.told;
        let unheard = self.rules.tells() && told.is_none_or(|told| now - told > self.rules.lapse());
        // Symptom: starts that step down within a second, as their holder turns out to be crowded.
        let rung = if unheard { rung.saturating_sub(1).max(floor) } else { rung };
        let (held, goal) = (&mut self.held[place], self.lanes[lane].goal);
        let early = held.shots == 0 && held.looks < LOOKS && held.cut_off - now > goal;
        if unheard && early && self.rules.looks_tell() {
            held.looks += 1;
            (held.streamer, held.changed) = (at, now);
            return self.results.looks.push(self.streamers[at].name.clone());
        }
        self.titles[self.held[place].title].kept = Some((at, now));
        let (kb, count) = self.takes(place, at, rung);
        self.book(now, at, kb, count);
        let streamer = &mut self.streamers[at];
        streamer.streams = streamer.streams.map(|n| n + 1.0);
        streamer.count_turn(&self.rules, now);
        let held = &mut self.held[place];
        if held.shots > 0 {
            self.further.push_back(now);
        }
        held.shots += 1;
        (held.state, held.streamer, held.rung, held.changed) = (State::SettingUp, at, rung, now);
        // A free lane's shot leaves time for another within the latency goal; a paid one has no other.
        let mut within = held.cut_off - now;
        if !self.lanes[lane].paid && held.shots < self.rules.shots_most() {
            within = within.min(self.lanes[lane].goal * SHOT_PART);
        }
        self.results.rungs.push((held.id, rung));
        self.results.shots.push(Shot { id: held.id, streamer: streamer.name.clone(), within });
    }

    /// The kept holder of the title while it stands, else the one of smallest phi with room at this rung.
    fn holder(&mut self, now: Point, place: usize, rung: usize) -> Option<usize> {
        let title = self.held[place].title;
        let kept = self.titles[title].kept;
        let mut best: Option<(f64, usize)> = None;
        let mut kept_phi = None;
        for careful in [true, false] {
            for i in 0..self.titles[title].holders.len() {
                let at = self.titles[title].holders[i];
                if !self.may_send(now, place, at, careful) {
                    continue;
                }
                let a = self.capacity(now, place, at, rung);
                // What the others sent since the news is not known: it takes a random part, broader with age.
                // Symptom: hundreds of controllers with the same news, or none, rank the same holder first.
                let age = self.streamers[at].link.told.map_or(1.0, |told| (now - told).seconds() / STALE);
                let others = age.clamp(0.0, 1.0) * (1.0 - 1.0 / self.rules.controllers());
                let sent = others * self.chance.between(0.0, 1.0);
                let Streamer { near, later, .. } = &self.streamers[at];
                let near = if *near { 1.0 } else { FAR } * if *later { LATER } else { 1.0 };
                let phi = 1.0 / ((self.shared(place, at, rung) + 1.0) * a * (1.0 - sent) * near);
                if a >= 1.0 && kept.is_some_and(|(k, _)| k == at) {
                    kept_phi = Some(phi);
                }
                if a >= 1.0 && best.is_none_or(|(least, _)| phi < least) {
                    best = Some((phi, at));
                }
            }
            if best.is_some() {
                break;
            }
        }
        let (phi, at) = best?;
        let stands = |(k, since): (usize, Point), kept_phi: f64| {
            let fresh = self.streamers[k].link.told.is_some_and(|t| t > since);
            !fresh || phi >= kept_phi * (1.0 - SWITCH_PART)
        };
        let still = kept.zip(kept_phi).filter(|(kept, kept_phi)| stands(*kept, *kept_phi));
        Some(still.map_or(at, |((k, _), _)| k))
    }

    /// Whether a streamer may get this subscription at all; `careful` leaves out those under doubt.
    fn may_send(&self, now: Point, place: usize, at: usize, careful: bool) -> bool {
        let held = &self.held[place];
        let streamer = &self.streamers[at];
        let again = held.shots > 0 && held.streamer == at;
        let odds = streamer.odds_now(now) + streamer.hearsay_now(now);
        let doubt = odds >= if self.lanes[held.lane].paid { DOUBTED / 2.0 } else { DOUBTED };
        let sound = odds < CONDEMNED && !(careful && (again || doubt));
        streamer.ready && sound && now >= streamer.full_until && streamer.my_turn(&self.rules, now)
    }

    /// a(i) = min(k, n): free streams, and spare link and uplink in subscriptions at this rung.
    fn capacity(&self, now: Point, place: usize, at: usize, rung: usize) -> f64 {
        let held = &self.held[place];
        let streamer = &self.streamers[at];
        let own = streamer.own_count;
        // It lapses, as only own set-ups and their ends bring it. Symptom: once full, never asked again.
        let told = streamer.streams.filter(|_| (now - streamer.counted).seconds() < STALE / 2.0);
        let (kb, count) = self.takes(place, at, rung);
        let k = streamer.places - told.map_or(own, |told| told.max(own));
        let k = if count > 0.0 { k } else { f64::INFINITY };
        let fill = if rung == held.floor { BRIM } else { FILL };
        k.min(self.room(now, at, fill) / kb)
    }

    /// x: own viewers that share a live stream at this streamer and rung.
    fn shared(&self, place: usize, at: usize, rung: usize) -> f64 {
        let held = &self.held[place];
        let there = |s: &Subscription| s.streamer == at && s.seated() && s.rung == rung;
        self.mates(held).filter(|(_, s)| there(s)).count() as f64
    }

    /// Own subscriptions that share a stream with this one where streamer and rung are the same.
    fn mates<'a>(&'a self, held: &'a Subscription) -> impl Iterator<Item = (usize, &'a Subscription)> {
        let shares = self.lanes[held.lane].live && self.ladder.join < 1.0;
        let alike =
            |s: &Subscription| (s.title, s.lane) == (held.title, held.lane) && s.serial != held.serial;
        self.held.iter().take(if shares { usize::MAX } else { 0 }).filter(move |(_, s)| alike(s))
    }

    /// What a subscription takes of a streamer's link and places: one that joins a stream adds a part of the
    /// rate and takes no place. Symptom: a crowd before one live title fills a link that is nearly empty.
    fn takes(&self, place: usize, at: usize, rung: usize) -> (f64, f64) {
        let joins = self.shared(place, at, rung) > 0.0;
        let (part, count) = if joins { (self.ladder.join.max(1e-3), 0.0) } else { (1.0, 1.0) };
        (self.rate(self.held[place].lane, rung) * part, count)
    }

    fn rate(&self, lane: usize, rung: usize) -> f64 {
        self.ladder.kb[rung] * self.lanes[lane].scale
    }

    /// The part of a rate that falls to each of those who share, or would share, a stream with this one.
    fn part(&self, held: &Subscription) -> f64 {
        let near = |s: &Subscription| s.seated() && (!held.seated() || s.streamer == held.streamer);
        let mates = self.mates(held).filter(|(_, s)| near(s)).count() as f64;
        (1.0 + mates * self.ladder.join) / (1.0 + mates)
    }

    /// What a subscription's step from the rung below up to this one takes of a link, and earns per kB.
    fn step(&self, held: &Subscription, rung: usize) -> (f64, f64) {
        let below = rung.checked_sub(1).filter(|below| *below >= held.floor);
        let kb = self.rate(held.lane, rung) - below.map_or(0.0, |below| self.rate(held.lane, below));
        let gain = self.ladder.gain[rung] - below.map_or(0.0, |below| self.ladder.gain[below]);
        let kb = kb * self.part(held);
        (kb, held.gain * gain / kb.max(1e-9))
    }

    /// Fullness of a link as told, with own changes since; what was never told, or long ago, counts as the
    /// fleet's mean. Symptom: a silent or new link that looks empty draws everything.
    fn fullness(&self, now: Point, at: usize) -> f64 {
        let link = &self.streamers[at].link;
        let lasts = |told: &Point| (now - *told).seconds() <= STALE / 2.0 || self.rules.tells();
        let Some(told) = link.told.filter(lasts) else {
            let others = 1.0 - 1.0 / self.rules.controllers();
            return self.streamers[at].own_kb / link.kb.max(1e-9) + others * self.fleet.mean_full.min(FILL);
        };
        // Nothing is old before the next note is due. Symptom: rare notes, and links that look like the mean.
        let old = (now - told).seconds() - STALE / 2.0;
        let due = if old > 0.0 { self.rules.lapse().seconds() - STALE / 2.0 } else { 0.0 };
        let stale = ((old - due.max(0.0)) / STALE).clamp(0.0, 1.0);
        link.fullness() + link.full * self.fleet.growth + stale * (self.fleet.mean_full - link.full).max(0.0)
    }

    /// A cold streamer's link is cold too.
    fn warmth(&self, now: Point, at: usize) -> f64 {
        let cold = Some(&self.streamers[at]).filter(|streamer| streamer.is_cold(&self.rules, now));
        cold.map_or(1.0, |_| self.rules.number("cold.from", 1.0))
    }

    /// Spare kB a second of a streamer's link and its rack's uplink, under the fill that is aimed at.
    fn room(&self, now: Point, at: usize, fill: f64) -> f64 {
        let streamer = &self.streamers[at];
        let fill = if now - streamer.looked < BEAT { fill.max(LOOKED_FILL) } else { fill };
        let room = (fill * self.warmth(now, at) - self.fullness(now, at)) * streamer.link.kb;
        let uplink = &self.racks[streamer.rack];
        room.min((fill - self.uplink_fullness(now, at)) * uplink.kb.max(1e-9))
    }

    /// Fullness of the uplink behind a streamer, as told. It lapses: a rack out of use tells nothing new.
    fn told_uplink(&self, now: Point, at: usize) -> Option<f64> {
        let uplink = &self.racks[self.streamers[at].rack];
        let told = uplink.told.is_some_and(|told| (now - told).seconds() < STALE / 2.0);
        told.then(|| uplink.fullness())
    }

    /// The same, or the fleet's mean where uplinks are told of, but not this one.
    fn uplink_fullness(&self, now: Point, at: usize) -> f64 {
        let mean = self.fleet.mean_uplink.map_or(f64::NEG_INFINITY, |mean| mean.min(FILL));
        self.told_uplink(now, at).unwrap_or(mean)
    }

    /// Enters an own change at a streamer into its accounts.
    fn book(&mut self, now: Point, at: usize, kb: f64, count: f64) {
        let Some(streamer) = self.streamers.get_mut(at) else { return };
        streamer.own_kb += kb;
        streamer.own_count += count;
        for pipe in [&mut streamer.link, &mut self.racks[streamer.rack]] {
            pipe.book(now, kb, now - Span::of(2.0 * STALE));
        }
    }

    /// The highest rung whose every step is worth the fleet's price; with no account, the ladder's middle.
    fn fair_rung(&self, place: usize, part: f64) -> usize {
        let held = &self.held[place];
        let Some(price) = self.fleet.price else {
            return (self.ladder.kb.len() / 2).min(held.top).max(held.floor);
        };
        let worth = (held.floor + 1..=held.top).take_while(|rung| self.step(held, *rung).1 >= price * part);
        worth.last().unwrap_or(held.floor)
    }

    /// Looks over the own part of the fleet: its mean fullness, and the gain per kB that its links are worth
    /// when the own subscriptions are filled up, best steps first, to what the fleet leaves them.
    fn appraise(&mut self, now: Point) -> f64 {
        let own: f64 = self.streamers.iter().map(|(_, s)| s.own_kb).sum();
        let lapse = self.rules.lapse();
        let ready = || self.streamers.iter().filter(|(_, s)| s.ready).map(|(at, _)| at);
        let fresh = |at: &usize| self.streamers[*at].link.told.is_some_and(|t| now - t < lapse);
        let links: f64 = ready().map(|at| self.streamers[at].link.kb).sum();
        let heard: f64 = ready().filter(fresh).map(|at| self.streamers[at].link.kb).sum();
        // A controller that hears a small part of the fleet hears the crowded ones more often.
        self.fleet.heard = heard / links.max(1e-9);
        let (mut weight, mut asked, mut tight) = (1e-9, 0.0, 0.0);
        let (mut of_uplinks, mut uplinks) = (0.0, 0.0);
        for at in ready().filter(fresh) {
            let full = self.streamers[at].link.fullness().max(0.05);
            let heavy = self.streamers[at].link.kb / full.powf(1.0 - self.fleet.heard);
            weight += heavy;
            asked += heavy * full;
            let uplink = self.told_uplink(now, at);
            tight += heavy * full.max(uplink.unwrap_or(0.0));
            uplinks += uplink.map_or(0.0, |full| heavy * full);
            of_uplinks += uplink.map_or(0.0, |_| heavy);
        }
        let racks: f64 = self.racks.iter().map(|rack| rack.kb).sum();
        let capacity = if racks > 0.0 { links.min(racks) } else { links }.max(1e-9);
        // While little was told, the others are taken to hold as much as this controller does.
        let guess = own * self.rules.controllers() / capacity;
        let told = ready().filter(fresh).count() as f64;
        let trust = told / (told + 1.0);
        // What was told is of a moment past: since then the others are taken to have grown like this one, as
        // far as it holds many. Symptom: a burst overfills the links, and after it half of them stay unused.
        let age = span(&self.rules.sheet, "notes.age") + span(&self.rules.sheet, "notes.every") * 0.5;
        self.fleet.past += (own - self.fleet.past) * (BEAT.seconds() / age.seconds().max(1e-9)).min(1.0);
        let (many, others) = (self.held.len() as f64, 1.0 - 1.0 / self.rules.controllers());
        // A young one catches up: below most of its even part growth is its own. Symptom: all seems to grow.
        let even = trust * asked / weight * links / self.rules.controllers() * CAUGHT_UP;
        let young = now - self.rules.born < span(&self.rules.sheet, "cold.span");
        let past = if young { self.fleet.past.max(own.min(even)) } else { self.fleet.past };
        let grown = (own / past.max(1e-9)).clamp(0.5, 2.0).powf(others * many / (many + PROOF));
        self.fleet.growth = (grown - 1.0).max(0.0);
        let (tight, asked) = (tight * grown, asked * grown);
        let full = trust * tight / weight + (1.0 - trust) * guess;
        self.fleet.mean_uplink = (of_uplinks > 0.0).then(|| uplinks / of_uplinks);
        self.fleet.mean_full = trust * asked / weight + (1.0 - trust) * guess * capacity / links.max(1e-9);
        if own <= 0.0 || full <= 0.0 {
            return full;
        }
        let mut left = own * (FILL / full).clamp(0.4, 40.0);
        let mut steps = Vec::new();
        for (_, held) in self.held.iter().filter(|(_, s)| s.seated()) {
            left -= self.rate(held.lane, held.floor) * self.part(held);
            steps.extend((held.floor + 1..=held.top).map(|rung| self.step(held, rung)));
        }
        steps.sort_by(|a, b| b.1.total_cmp(&a.1));
        let unfit = |(kb, _): &&(f64, f64)| {
            left -= kb;
            left < 0.0
        };
        let price = steps.iter().find(unfit).map_or(0.0, |step| step.1);
        let part = SMOOTH.max(1.0 - trust);
        self.fleet.price = Some(self.fleet.price.map_or(price, |old| old + part * (price - old)));
        full
    }

    /// Further shots stay within the ration in every window that ends now.
    fn within_ration(&self, now: Point, shots: u32) -> bool {
        let (Some(share), true) = (number(&self.rules.sheet, "ration.share"), shots > 0) else {
            return true;
        };
        let floor = self.rules.number("ration.floor", 0.0);
        let window = span(&self.rules.sheet, "ration.window");
        let made = self.further.iter().filter(|t| now - **t <= window).count() as f64;
        let taken = self.taken.iter().filter(|t| now - **t < window).count() as f64;
        made + 1.0 <= floor + share * taken
    }

    /// Whether another shot of a subscription is within its time and all bounds.
    fn has_shots_left(&self, now: Point, held: &Subscription) -> bool {
        now < held.cut_off && held.shots < self.rules.shots_most() && self.within_ration(now, held.shots)
    }

    /// The final answer of a subscription that is given up, at once: turned back where the terms allow.
    fn give_up(&mut self, place: usize) {
        let held = self.held.remove(place);
        if held.may_have_run && self.lanes[held.lane].paid {
            self.results.scrapped.push(held.id);
        } else {
            self.results.turned_back.push((held.id, self.come_again()));
        }
    }

    /// When a viewer who is turned back should come again, also one whom the caller turns back by itself.
    pub fn come_again(&self) -> Option<Span> {
        let longest = span(&self.rules.sheet, "retry_after.longest");
        (flag(&self.rules.sheet, "retry_after.allowed") && longest > Span::ZERO).then_some(longest)
    }

    /// A streamer's news of its load.
    fn hear(&mut self, now: Point, at: usize, load: Load, age: Span, part: f64) {
        let Some(streamer) = self.streamers.get_mut(at) else { return };
        let of = now - age;
        if let Some(full) = load.link {
            streamer.link.tell(of, full, part);
        }
        if let Some(full) = load.rack {
            self.racks[streamer.rack].tell(of, full, 1.0);
        }
        if let Some(streams) = load.streams {
            (streamer.streams, streamer.counted) = (Some(streams), now);
        }
        self.relieve(now, at, of, self.streamers[at].link.fullness().max(self.uplink_fullness(now, at)));
    }

    /// Steps down at a streamer that is asked for more than it gives: own subscriptions shrink by the share
    /// that everybody has to, cheapest steps first; a step larger than what is left goes by chance, so that
    /// all controllers together free what is missing. Symptom: hundreds of whole steps for one small need.
    fn relieve(&mut self, now: Point, at: usize, of: Point, full: f64) {
        if full <= PRESSED || of <= self.streamers[at].acted {
            return;
        }
        self.streamers[at].acted = now;
        let mut missing = self.streamers[at].own_kb * (1.0 - 1.0 / full);
        while missing > 0.0 {
            let steady = |s: &Subscription| s.plays_at(at) && s.rung > s.floor && s.changed < now;
            let price = |s: &Subscription| self.step(s, s.rung).1;
            let own = self.held.iter().filter(|(_, s)| steady(s));
            let cheapest = own.min_by(|a, b| price(a.1).total_cmp(&price(b.1)));
            let Some((place, held)) = cheapest else { return };
            let (kb, rung) = (self.step(held, held.rung).0, held.rung - 1);
            let kb = kb * (1.0 + self.shared(place, at, rung + 1));
            if self.chance.between(0.0, kb) < missing {
                self.step_together(now, place, rung);
            }
            missing -= kb;
        }
    }

    /// A stream that own viewers share steps with all who can use the rung. Symptom: who steps alone opens a
    /// second stream, and the link carries more.
    fn step_together(&mut self, now: Point, place: usize, rung: usize) {
        let (before, at) = (self.held[place].rung, self.held[place].streamer);
        let with = |(_, s): &(usize, &Subscription)| s.plays_at(at) && s.rung == before && s.top >= rung;
        let mates: Vec<usize> = self.mates(&self.held[place]).filter(with).map(|(mate, _)| mate).collect();
        for place in std::iter::once(place).chain(mates) {
            self.set_rung(now, place, rung);
        }
    }

    fn set_rung(&mut self, now: Point, place: usize, rung: usize) {
        let quiet = self.chance.between(QUIET.0, QUIET.1);
        let (at, before) = (self.held[place].streamer, self.held[place].rung);
        let (less, more) = (self.takes(place, at, before), self.takes(place, at, rung));
        let held = &mut self.held[place];
        held.climb_at = now + Span::of(if rung > before { QUIET.1 } else { quiet });
        (held.rung, held.changed) = (rung, now);
        self.results.rungs.push((held.id, rung));
        self.book(now, at, more.0 - less.0, more.1 - less.1);
    }

    /// A look at a streamer came back, with its load or, where it failed, without; who waited for it goes on.
    pub fn looked(&mut self, now: Point, streamer: &str, sound: bool, load: Load) {
        let Some(at) = self.by_name.get(streamer).copied() else { return };
        if !sound {
            self.streamers[at].weigh(now, BAD);
        }
        self.streamers[at].looked = now;
        self.hear(now, at, load, ANSWER_AGE, 1.0);
        self.resume(now, |s| s.streamer == at);
    }

    /// Others are believed, from 0 to 1, when they say that a streamer fails. It leans on the sequential test
    /// and never condemns by itself: such a streamer comes after the rest, and is tried if there is no other.
    pub fn heard_of(&mut self, now: Point, streamer: &str, weight: f64) {
        let known = self.by_name.get(streamer).filter(|_| weight.is_finite());
        if let Some(streamer) = known.map(|at| &mut self.streamers[*at]) {
            (streamer.hearsay, streamer.hearsay_at) = (HEARSAY * weight.clamp(0.0, 1.0), now);
        }
    }

    /// Whether this instance is among those that use a streamer first, where holders are nearly equal.
    pub fn favour(&mut self, streamer: &str, first: bool) {
        let known = self.by_name.get(streamer);
        known.into_iter().for_each(|at| self.streamers[*at].later = !first);
    }

    /// This instance takes the turns of missing numbers at fresh streamers, too, until that moment; without
    /// `own` it takes none at all.
    pub fn stands_for(&mut self, own: bool, missing: &[u32], until: Point) {
        self.rules.turns = Turns { lost: !own, missing: missing.to_vec(), until };
    }

    /// Places again who waits for a look.
    fn resume(&mut self, now: Point, who: impl Fn(&Subscription) -> bool) {
        for place in 0..self.held.capacity() {
            if self.held.get(place).is_some_and(|s| s.state == State::Waiting && who(s)) {
                self.place(now, place);
            }
        }
    }

    /// Regular work: forgets what is past, appraises the fleet and climbs where there is room.
    pub fn wake(&mut self, now: Point) {
        if now < self.wake_at {
            return;
        }
        self.ask_wake(now);
        // An answer that stays out is no reason to wait longer than the rules allow.
        if self.asking.due.is_some_and(|due| due <= now) {
            self.results.follow = true;
            let due = Some(now + span(&self.rules.sheet, "list.ask_within") * (1.0 - ASK_PART));
            self.asking = Asking { due, awaited: true, ..self.asking };
        }
        self.resume(now, |s| now - s.changed >= BEAT);
        let window = span(&self.rules.sheet, "ration.window");
        self.taken.retain(|t| now - *t <= window);
        self.further.retain(|t| now - *t <= window);
        // Handed over more than the fleet gives: step down before the first late notes tell, as far as own
        // ones outnumber controllers. Symptom: one that viewers lean to steps down in an empty fleet.
        let (early, own) = (self.fleet.price.is_none(), self.held.len() as f64);
        let full = self.appraise(now) * own / (own + self.rules.controllers());
        for at in 0..self.streamers.capacity() {
            if self.streamers.contains(at) {
                self.relieve(now, at, now, if early { full } else { 0.0 });
                self.climb(now, at);
            }
        }
        self.forget(now);
    }

    /// Lets go of streamers that left the list and of titles that nobody asks for, once no account holds any
    /// of them. Symptom: memory that grows with every name that comes and goes.
    fn forget(&mut self, now: Point) {
        let after = span(&self.rules.sheet, "cold.span").max(Span::of(2.0 * STALE));
        let held = &self.held;
        let there = |at: usize| held.iter().any(|(_, s)| s.streamer == at || s.blamed == Some(at));
        let named = self.streamers.len();
        self.streamers.retain(|at, s| s.gone.is_none_or(|since| now - since <= after) || there(at));
        if self.streamers.len() < named {
            self.listed += 1;
            self.by_name.retain(|_, at| self.streamers.contains(*at));
        }
        self.titles.retain(|at, t| now - t.asked <= after || held.iter().any(|(_, s)| s.title == at));
        self.by_title.retain(|_, at| self.titles.contains(*at));
    }

    /// Streamers and titles of which anything is known.
    pub fn known(&self) -> (usize, usize) {
        (self.streamers.len(), self.titles.len())
    }

    /// Own subscriptions at a streamer climb into the fresh room that is theirs by what they ask for, once
    /// for each news of it, best steps first; a step larger than what is left of it goes by chance.
    fn climb(&mut self, now: Point, at: usize) {
        let streamer = &self.streamers[at];
        let spent = |told| now - told > self.rules.lapse() || told <= streamer.acted;
        // Where nobody ever tells, the own account does. Symptom: all stay at the rung of their start.
        let blind = !self.rules.tells() && now - streamer.acted > Span::of(QUIET.1);
        if !blind && streamer.link.told.is_none_or(spent) {
            return;
        }
        let full = self.fullness(now, at).max(self.uplink_fullness(now, at)).max(0.02);
        // Room that few controllers hear of is not filled by starts: there link is cheaper.
        let cheap = 1.0 - (1.0 - self.fleet.heard) * (1.0 - full / FILL).max(0.0);
        let mut room = streamer.own_kb * (FILL * self.warmth(now, at) / full - 1.0);
        while room > 0.0 {
            let next = |s: &Subscription| self.step(s, s.rung + 1);
            let quiet = self.held.iter().filter(|(_, s)| s.plays_at(at) && now >= s.climb_at);
            let able = quiet.filter(|(place, s)| s.rung < self.fair_rung(*place, cheap));
            let best = able.max_by(|a, b| next(a.1).1.total_cmp(&next(b.1).1));
            let Some((place, held)) = best else { return };
            let (kb, rung) = (next(held).0 * (1.0 + self.shared(place, at, held.rung)), held.rung + 1);
            self.streamers[at].acted = now;
            if self.chance.between(0.0, kb) < room {
                self.step_together(now, place, rung);
            }
            room -= kb;
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
    pub fn at_rung(self, on: &mut Controller, now: Point, rung: usize) {
        let Some(held) = self.find(on) else { return };
        let (at, before, rung) = (held.streamer, held.rung, rung.min(held.top).max(held.floor));
        let (less, more) = (on.takes(self.place, at, before), on.takes(self.place, at, rung));
        on.held[self.place].rung = rung;
        on.book(now, at, more.0 - less.0, more.1 - less.1);
    }

    /// The streamer delivers only this share of the rates.
    pub fn short(self, on: &mut Controller, now: Point, share: f64) {
        let Some(held) = self.find(on) else { return };
        let at = held.streamer;
        if share >= BRIM || !on.streamers.contains(at) {
            return;
        }
        let full = 1.0 / share.max(0.3);
        // A link that is told to have room, and yet delivers short, stands behind an uplink told to be full.
        let uplink = on.uplink_fullness(now, at);
        let behind = uplink > FILL && uplink > on.fullness(now, at);
        let load = if behind { Load::rack(full) } else { Load::link(full) };
        on.hear(now, at, load, span(&on.rules.sheet, "notes.age"), 1.0);
    }

    /// The streamer tells how full its link or its rack's uplink is.
    pub fn load(self, on: &mut Controller, now: Point, load: Load) {
        let Some(held) = self.find(on) else { return };
        let (at, set_up) = (held.streamer, now - held.changed < BEAT);
        let age = if set_up { Span::ZERO } else { span(&on.rules.sheet, "notes.age") };
        on.hear(now, at, load, age, 1.0);
    }

    /// A shot got no answer in its time, or its connection is of no more use, and it may still be out. This counts
    /// against its streamer now, and no more when `ended` follows. True where another shot may follow, which must
    /// wait until this one is proven over; false where `ended` decides the subscription for good.
    pub fn in_doubt(self, on: &mut Controller, now: Point) -> bool {
        let Some(held) = self.find(on) else { return false };
        let (at, lane, counted) = (held.streamer, held.lane, std::mem::replace(&mut held.counted, true));
        if let Some(streamer) = on.streamers.get_mut(at).filter(|_| !counted) {
            streamer.weigh(now, BAD);
        }
        !on.lanes[lane].paid && on.has_shots_left(now, &on.held[self.place])
    }

    /// A shot or its stream ended; `over` says that the subscription is finished with it.
    pub fn ended(self, on: &mut Controller, now: Point, ending: Ending, over: bool, load: Load) {
        let Some(held) = self.find(on) else { return };
        let (at, rung, lane, seated) = (held.streamer, held.rung, held.lane, held.seated());
        let finished = over || matches!(held.state, State::Playing | State::Left);
        let (played, blamed) = (held.state == State::Playing, held.blamed);
        let counted = std::mem::take(&mut held.counted);
        if ending == Ending::Errored {
            held.blamed = Some(if blamed.is_none() { at } else { usize::MAX });
        }
        held.may_have_run |= !matches!(ending, Ending::SentBack | Ending::NoConnection | Ending::NotSent);
        held.state = State::Waiting;
        if seated {
            let (kb, count) = on.takes(self.place, at, rung);
            on.book(now, at, -kb, -count);
        }
        if let Some(streamer) = on.streamers.get_mut(at) {
            match ending {
                // A broken stream was held by a process that is no more: it restarts cold, if at all. A shot
                // that broke on its way says nothing of it. Symptom: one reset, and a sound streamer unused.
                Ending::Broken if played => {
                    streamer.weigh(now, BAD);
                    streamer.started = streamer.started.max(Some(now));
                }
                // A wish that fails at one streamer after the other is at fault itself: its first error is
                // taken back. Symptom: some titles that nobody knows, and a third of the fleet condemned.
                Ending::Errored if blamed.is_some_and(|first| first != at) => {
                    let first = blamed.and_then(|first| on.streamers.get_mut(first));
                    first.into_iter().for_each(|streamer| streamer.weigh(now, -BAD));
                }
                _ if counted => {}
                Ending::Errored | Ending::TimedOut | Ending::NoConnection | Ending::Broken => {
                    streamer.weigh(now, BAD);
                }
                Ending::SentBack => streamer.full_until = now + Span::of(1.0),
                _ => {}
            }
        }
        // A streamer that sends a shot back means what it says. Symptom: shot after shot at full streamers.
        let part = if ending == Ending::SentBack { 1.0 } else { ANSWER_PART };
        on.hear(now, at, load, ANSWER_AGE, part);
        if finished {
            on.held.remove(self.place);
        } else if on.held[self.place].may_have_run && on.lanes[lane].paid {
            on.give_up(self.place);
        } else {
            on.place(now, self.place);
        }
    }

    /// The viewer left; a shot that is still out keeps its place until it ends.
    pub fn left(self, on: &mut Controller) {
        let Some(held) = self.find(on) else { return };
        if held.state == State::Waiting {
            on.held.remove(self.place);
        } else {
            held.state = State::Left;
        }
    }
}

impl HouseRules {
    /// Shots of one subscription at most.
    fn shots_most(&self) -> u32 {
        self.number("shots.most", 1.0).max(1.0) as u32
    }

    /// After so long the next note is overdue; where none comes by itself, what was told is old.
    fn lapse(&self) -> Span {
        if self.number("notes.every", 1.0) <= 0.0 {
            return Span::of(STALE / 2.0);
        }
        span(&self.sheet, "notes.age") + span(&self.sheet, "notes.every") * 1.5
    }

    /// Whether a look brings news of a link. Symptom: looks that tell nothing, three before every wish.
    fn looks_tell(&self) -> bool {
        flag(&self.sheet, "looks.allowed") && text(&self.sheet, "links.told") != Some("never")
    }

    /// Whether anything tells how full links are, but for short delivery: notes, answers or looks.
    fn tells(&self) -> bool {
        let by_answers = !matches!(text(&self.sheet, "links.told"), Some("never" | "looks"));
        by_answers || self.looks_tell() || self.number("notes.every", 1.0) > 0.0
    }
}

impl Tenant {
    /// The part of the tenant's wishes that is within its share, of which an even part is this controller's.
    /// Symptom: among hundreds of controllers one wish looked like a whole crowd; few wishes prove little.
    fn within(&mut self, now: Point, first: bool, controllers: f64) -> f64 {
        let due = self.quota_per_s * TENANT_SPAN / controllers;
        let faded = (-(now - self.counted).seconds() / TENANT_SPAN).exp();
        let seen = self.count.unwrap_or(due) * faded;
        self.count = Some(seen + if first { 1.0 } else { 0.0 });
        self.counted = now;
        // Without a share both are endless, and `min` takes the 1.
        ((due + PROOF) / (seen + PROOF)).min(1.0)
    }
}

impl Streamer {
    /// One step of the sequential test; the odds never fall below even.
    fn weigh(&mut self, now: Point, step: f64) {
        self.odds = (self.odds_now(now) + step).clamp(0.0, 2.0 * CONDEMNED);
        self.odds_at = now;
        // Own successes outweigh what others say. Symptom: a liar's streamer stays last although it serves.
        if step < 0.0 {
            self.hearsay *= 0.5;
        }
    }

    fn hearsay_now(&self, now: Point) -> f64 {
        (self.hearsay - FADE * (now - self.hearsay_at).seconds()).max(0.0)
    }

    fn odds_now(&self, now: Point) -> f64 {
        (self.odds - FADE * (now - self.odds_at).seconds()).max(0.0)
    }

    /// Controllers take turns at a cold streamer by number. A turn is two windows long and only its first
    /// half may send, so that every window meets one turn at most; a whole turn holds less than the budget
    /// of the streamer at its coldest. Symptom: all controllers at once pour into a streamer that came back.
    fn my_turn(&self, rules: &HouseRules, now: Point) -> bool {
        // A controller that came back itself has an old list: to it every streamer may be cold for a while.
        let cold = self.is_cold(rules, now);
        if !cold && now - rules.born >= span(&rules.sheet, "cold.span") * 0.5 {
            return true;
        }
        let pace = self.places / rules.number("cold.span", 0.0).max(1e-3) * rules.number("cold.from", 1.0);
        let window = span(&rules.sheet, "cold.window");
        let whole = pace * rules.number("cold.multiple", 1.0) * window.seconds();
        let (budget, turn) = (whole * OWN_PART, now.turn(window * 2.0));
        let spent = if self.turn.0 == turn { self.turn.1 } else { 0 };
        // As many numbers share a turn as the budget holds sends. Symptom: the round outlasts the warm-up.
        let sharing = budget.floor().clamp(1.0, rules.controllers());
        let round = (rules.controllers() / sharing).ceil() as i64;
        // Symptom: late sends, clocks ahead, or who came back in its turn and forgot it: two turns in one.
        let apart = span(&rules.sheet, "clocks.apart") + span(&rules.sheet, "dial.timeout");
        let open = now.into_turn(window * 2.0) < window - apart && rules.born.turn(window * 2.0) < turn;
        let has = |number: f64| open && turn.rem_euclid(round) as f64 == (number / sharing).floor();
        let (each, mine) = ((budget / sharing).floor(), has(rules.number("me", 0.0)) && !rules.turns.lost);
        // What own turns leave of the whole budget is dealt out among the turns of who is missing.
        let (spare, cycle) = ((whole - sharing * each).floor(), turn.div_euclid(round) as f64);
        let part = |n: f64| ((spare + (n + cycle).rem_euclid(sharing)) / sharing).floor().max(0.0);
        let missing = rules.turns.missing.iter().map(|n| f64::from(*n));
        let stood: f64 = missing.filter(|n| now <= rules.turns.until && has(*n)).map(part).sum();
        let limit = if mine { each + stood } else { stood };
        let limit = if cold { limit } else { (budget / 2.0).max(1.0) };
        f64::from(spent) + 1.0 <= limit
    }

    fn count_turn(&mut self, rules: &HouseRules, now: Point) {
        let turn = now.turn(span(&rules.sheet, "cold.window") * 2.0);
        self.turn = (turn, if self.turn.0 == turn { self.turn.1 + 1 } else { 1 });
    }
}
