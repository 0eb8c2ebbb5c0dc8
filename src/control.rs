//! Every decision of lemontide. One `Controller` decides for one instance and shares nothing with others.
//!
//! Called like this: `Controller::start` with the settings, `learn` with each list of streamers; then `take`
//! for each wish, which gives a `Handle`, and all that happens to that subscription later is a call on its
//! handle. Every call leaves what has to be done in `results`; do it, clear it, and call `wake` when it asks.
//! The types of these calls are in `interface.rs`, time in `clock.rs`, chance in `chance.rs`.
//! The ordinary path is `Controller::place`: smallest phi = 1 / ((x + 1) * a) among the holders.

mod capacity;
mod handle;
mod house_rules;
mod streamer;
mod tenant;

use crate::books::{
    Asking, Fleet, HouseRules, Ladder, Lane, Pipe, State, Streamer, Subscription, Tenant, Title, Turns,
};
use crate::chance::Chance;
use crate::clock::{Point, Span};
use crate::interface::{
    get_flag, get_number, get_numbers, get_span, get_text, Actions, AttemptOutcome, ControllerSettings, Load,
    NewAttempt, Request, StreamerEntry, StreamerState,
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
    pub results: Actions,
}

impl Controller {
    pub fn start(now: Point, seed: u64, sheet: &ControllerSettings) -> Controller {
        let read = |name: &str, fallback: f64| get_number(sheet, name).unwrap_or(fallback);
        let join = read("ladder.join", 1.0).clamp(0.0, 1.0);
        let mut ladder =
            Ladder { kb: get_numbers(sheet, "ladder.kb"), gain: get_numbers(sheet, "ladder.gain"), join };
        ladder.kb.resize(ladder.kb.len().max(1), 1.0);
        ladder.gain.resize(ladder.kb.len(), 1.0);
        let highest = ladder.kb.len() - 1;
        let lane = |i: usize| {
            let of = |what: &str, fallback| read(&format!("lanes.{i}.{what}"), fallback);
            let mut lane = Lane::unnamed(get_text(sheet, &format!("lanes.{i}.name"))?, highest);
            lane.gain = of("gain", 1.0);
            lane.goal = Span::of(of("latency_goal", 1.0));
            // A key that holds at every streamer for as long as a viewer waits is as good as free.
            let word = |what: &str| get_text(sheet, &format!("lanes.{i}.{what}"));
            let keyed = (word("repeat"), word("key_holds")) == (Some("keyed"), Some("all"));
            let covers = keyed && of("key_window", 0.0) >= of("cut_off", f64::INFINITY);
            lane.paid = word("repeat") != Some("free") && !covers;
            lane.floor = (read(&format!("lane_floor.{i}"), 0.0) as usize).min(highest);
            lane.top = (read(&format!("lane_top.{i}"), 1e6) as usize).min(highest);
            lane.scale = read(&format!("lane_scale.{i}"), 1.0).max(0.01);
            lane.seats = read(&format!("lane_seats.{i}"), 0.0) as usize;
            lane.live = get_flag(sheet, &format!("lane_live.{i}"));
            Some(lane)
        };
        let tenant = |i: usize| {
            let name = get_text(sheet, &format!("tenants.{i}.name"))?.to_owned();
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
            results: Actions::default(),
        };
        if get_flag(sheet, "list.on_request") {
            controller.ask_again(now, 1.0 - 1.0 / controller.rules.controllers());
        }
        controller
    }

    /// Sets when the list is asked for: well within the time that the rules give, at random, as hundreds
    /// ask one service. Symptom: all ask at once, most calls fail, and old lists send set-ups into drains.
    fn ask_again(&mut self, now: Point, spread: f64) {
        let within = get_span(&self.rules.sheet, "list.ask_within") * ASK_PART;
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
    pub fn learn(&mut self, now: Point, lines: &[StreamerEntry], whole: bool) {
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
                None if line.state == StreamerState::Gone => continue,
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
            streamer.ready = line.state == StreamerState::Ready;
            streamer.gone = streamer.gone.or(Some(now)).filter(|_| line.state == StreamerState::Gone);
            let crossing = self.rules.number_or("charges.cross_zone", 0.0) > 0.0;
            streamer.near = !crossing || get_text(&self.rules.sheet, "zone") == Some(&line.zone);
            // Of weights that fall with load the largest is the size. Symptom: busy links look small.
            let seen =
                if get_flag(&self.rules.sheet, "link.weight_is_live") { streamer.link.kb } else { 0.0 };
            streamer.link.kb =
                seen.max(line.weight.max(0.01) * self.rules.number_or("link.kb_per_weight", 1.0));
            streamer.places = self.rules.places(&line.kind);
            if line.started_at > streamer.started {
                // A new process holds nothing and is under doubt no more than half.
                streamer.started = line.started_at;
                streamer.odds = streamer.odds.min(DOUBTED / 2.0);
                (streamer.link.told, streamer.streams) = (None, None);
            }
        }
        self.ask_wake(now);
    }

    fn ask_wake(&mut self, now: Point) {
        if self.wake_at <= now {
            self.wake_at = now + BEAT;
            self.results.next_tick = Some(self.wake_at);
        }
    }

    /// Takes a wish and answers it: with a shot, or with a turn-back.
    pub fn take(&mut self, now: Point, wish: &Request) -> Handle {
        self.taken.push_back(now);
        let handle = self.enter(now, wish, !wish.is_retry);
        self.place(now, handle.place);
        handle
    }

    /// Takes over a subscription that plays already.
    pub fn inherit(&mut self, now: Point, wish: &Request, streamer: &str) -> Handle {
        let handle = self.enter(now, wish, false);
        let held = &mut self.held[handle.place];
        held.streamer = self.by_name.get(streamer).copied().unwrap_or(usize::MAX);
        (held.state, held.shots) = (State::Playing, 1);
        let (at, rung) = (held.streamer, held.rung);
        let (kb, count) = self.takes(handle.place, at, rung);
        self.book(now, at, kb, count);
        handle
    }

    fn enter(&mut self, now: Point, wish: &Request, first: bool) -> Handle {
        let title = self.by_title.get(wish.title).copied().unwrap_or_else(|| {
            let at = self.titles.insert(Title::default());
            self.by_title.insert(wish.title.to_owned(), at);
            at
        });
        let known = &mut self.titles[title];
        known.asked = now;
        // Told anew with each wish. Symptom: a title that moved is asked for where it no longer lies.
        let of = (self.listed, wish.first_cell, wish.replicas);
        if known.of != of {
            let cells = self.rules.number_or("cells", 1.0).max(1.0) as usize;
            let holds = |s: &Streamer| (s.cell + cells - wish.first_cell % cells) % cells < wish.replicas;
            let all = self.streamers.iter().filter(|(_, s)| holds(s));
            known.holders = all.map(|(at, _)| at).collect();
            known.of = of;
        }
        let lane = self.lanes.iter().position(|l| l.name == wish.class).unwrap_or_else(|| {
            // A lane that the settings never named is served on the strictest terms.
            self.lanes.push(Lane::unnamed(wish.class, self.ladder.kb.len() - 1));
            self.lanes.len() - 1
        });
        // Traffic past a tenant's share earns little. Symptom: one tenant's crowd takes everybody's links.
        let tenant = self.tenants.iter_mut().find(|t| t.name == wish.tenant);
        let within = tenant.map_or(1.0, |t| t.within(now, first, self.rules.controllers()));
        let past = (1.0 - within) * self.rules.number_or("over_share_gain", 1.0);
        let terms = &self.lanes[lane];
        self.serial += 1;
        let place = self.held.insert(Subscription {
            serial: self.serial,
            id: wish.id,
            lane,
            title,
            gain: terms.gain * (within + past),
            floor: terms.floor,
            top: wish.max_rung.min(terms.top),
            cut_off: wish.deadline,
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
            return self.results.probes.push(self.streamers[at].name.clone());
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
        self.results.rung_changes.push((held.id, rung));
        self.results.attempts.push(NewAttempt {
            session: held.id,
            streamer: streamer.name.clone(),
            timeout: within,
        });
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
        let age = get_span(&self.rules.sheet, "notes.age") + get_span(&self.rules.sheet, "notes.every") * 0.5;
        self.fleet.past += (own - self.fleet.past) * (BEAT.seconds() / age.seconds().max(1e-9)).min(1.0);
        let (many, others) = (self.held.len() as f64, 1.0 - 1.0 / self.rules.controllers());
        // A young one catches up: below most of its even part growth is its own. Symptom: all seems to grow.
        let even = trust * asked / weight * links / self.rules.controllers() * CAUGHT_UP;
        let young = now - self.rules.born < get_span(&self.rules.sheet, "cold.span");
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
        let (Some(share), true) = (get_number(&self.rules.sheet, "ration.share"), shots > 0) else {
            return true;
        };
        let floor = self.rules.number_or("ration.floor", 0.0);
        let window = get_span(&self.rules.sheet, "ration.window");
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
            self.results.failed.push(held.id);
        } else {
            self.results.rejected.push((held.id, self.come_again()));
        }
    }

    /// When a viewer who is turned back should come again, also one whom the caller turns back by itself.
    pub fn come_again(&self) -> Option<Span> {
        let longest = get_span(&self.rules.sheet, "retry_after.longest");
        (get_flag(&self.rules.sheet, "retry_after.allowed") && longest > Span::ZERO).then_some(longest)
    }

    /// A streamer's news of its load.
    fn hear(&mut self, now: Point, at: usize, load: Load, age: Span, part: f64) {
        let Some(streamer) = self.streamers.get_mut(at) else { return };
        let of = now - age;
        if let Some(full) = load.link_utilization {
            streamer.link.tell(of, full, part);
        }
        if let Some(full) = load.uplink_utilization {
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
        self.results.rung_changes.push((held.id, rung));
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
            self.results.request_list = true;
            let due = Some(now + get_span(&self.rules.sheet, "list.ask_within") * (1.0 - ASK_PART));
            self.asking = Asking { due, awaited: true, ..self.asking };
        }
        self.resume(now, |s| now - s.changed >= BEAT);
        let window = get_span(&self.rules.sheet, "ration.window");
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
        let after = get_span(&self.rules.sheet, "cold.span").max(Span::of(2.0 * STALE));
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
