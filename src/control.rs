//! Every decision of lemontide. One `Controller` decides for one instance and shares nothing with others.
//!
//! Call `Controller::new` with the settings and `update_list` with each list of streamers, then `submit` with each
//! request. It returns a `SessionHandle`; every later event of that session is a call on its handle. Each call
//! leaves what the caller has to do in `actions`: do it, clear it, and call `tick` at `next_tick`.
//! The types of these calls are in `interface.rs`, time in `clock.rs`, the random generator in `random.rs`.
//! The ordinary path is `Controller::place_session`: smallest phi = 1 / ((x + 1) * a) among the holders.

mod capacity;
mod policy;
mod session;
mod streamer;
mod tenant;

use crate::clock::{Point, Span};
use crate::interface::{
    get_flag, get_number, get_numbers, get_span, get_text, Actions, AttemptOutcome, ControllerSettings, Load,
    NewAttempt, Request, StreamerEntry, StreamerState,
};
use crate::random::Random;
use crate::records::{
    Class, CoveredTurns, FleetEstimate, Ladder, LinkLoad, ListPolling, Policy, Session, SessionState,
    Streamer, Tenant, Title,
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

/// Identifies one session of a controller; calls on the handle of a finished session do nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SessionHandle {
    place: usize,
    serial: u64,
}

pub struct Controller {
    policy: Policy,
    ladder: Ladder,
    classes: Vec<Class>,
    tenants: Vec<Tenant>,
    streamers: Slab<Streamer>,
    by_name: HashMap<String, usize>,
    /// Counts the changes of which streamer stands in which cell.
    list_revision: u64,
    racks: Vec<LinkLoad>,
    titles: Slab<Title>,
    by_title: HashMap<String, usize>,
    sessions: Slab<Session>,
    last_serial: u64,
    recent_requests: VecDeque<Point>,
    recent_retries: VecDeque<Point>,
    random: Random,
    next_tick_at: Point,
    list_polling: ListPolling,
    fleet: FleetEstimate,
    pub actions: Actions,
}

impl Controller {
    pub fn new(now: Point, seed: u64, sheet: &ControllerSettings) -> Controller {
        let read = |name: &str, fallback: f64| get_number(sheet, name).unwrap_or(fallback);
        let join = read("ladder.join", 1.0).clamp(0.0, 1.0);
        let mut ladder = Ladder {
            rates_kb_per_s: get_numbers(sheet, "ladder.kb"),
            gains: get_numbers(sheet, "ladder.gain"),
            shared_rate_part: join,
        };
        ladder.rates_kb_per_s.resize(ladder.rates_kb_per_s.len().max(1), 1.0);
        ladder.gains.resize(ladder.rates_kb_per_s.len(), 1.0);
        let highest = ladder.rates_kb_per_s.len() - 1;
        let lane = |i: usize| {
            let of = |what: &str, fallback| read(&format!("lanes.{i}.{what}"), fallback);
            let mut lane = Class::unconfigured(get_text(sheet, &format!("lanes.{i}.name"))?, highest);
            lane.gain = of("gain", 1.0);
            lane.latency_goal = Span::of(of("latency_goal", 1.0));
            // A key that holds at every streamer for as long as a viewer waits is as good as free.
            let word = |what: &str| get_text(sheet, &format!("lanes.{i}.{what}"));
            let keyed = (word("repeat"), word("key_holds")) == (Some("keyed"), Some("all"));
            let covers = keyed && of("key_window", 0.0) >= of("cut_off", f64::INFINITY);
            lane.at_most_once = word("repeat") != Some("free") && !covers;
            lane.min_rung = (read(&format!("lane_floor.{i}"), 0.0) as usize).min(highest);
            lane.max_rung = (read(&format!("lane_top.{i}"), 1e6) as usize).min(highest);
            lane.rate_scale = read(&format!("lane_scale.{i}"), 1.0).max(0.01);
            lane.max_sessions_per_title = read(&format!("lane_seats.{i}"), 0.0) as usize;
            lane.is_live = get_flag(sheet, &format!("lane_live.{i}"));
            Some(lane)
        };
        let tenant = |i: usize| {
            let name = get_text(sheet, &format!("tenants.{i}.name"))?.to_owned();
            let quota_per_s = read(&format!("tenants.{i}.quota_per_s"), f64::INFINITY);
            Some(Tenant { name, quota_per_s, request_count: None, counted_at: now })
        };
        let mut controller = Controller {
            policy: Policy {
                settings: sheet.clone(),
                started_at: now,
                covered_turns: CoveredTurns::default(),
            },
            ladder,
            classes: (0..).map_while(lane).collect(),
            tenants: (0..).map_while(tenant).collect(),
            streamers: Slab::new(),
            by_name: HashMap::new(),
            list_revision: 0,
            racks: vec![
                LinkLoad::with_capacity(read("rack.kb", 0.0));
                read("rack.count", 1.0).max(1.0) as usize
            ],
            titles: Slab::new(),
            by_title: HashMap::new(),
            sessions: Slab::with_capacity(256),
            last_serial: 0,
            recent_requests: VecDeque::with_capacity(256),
            recent_retries: VecDeque::with_capacity(64),
            random: Random::from_seed(seed),
            next_tick_at: now,
            list_polling: ListPolling::default(),
            fleet: FleetEstimate::default(),
            actions: Actions::default(),
        };
        if get_flag(sheet, "list.on_request") {
            controller.schedule_list_request(now, 1.0 - 1.0 / controller.policy.controller_count());
        }
        controller
    }

    /// Sets when the list is asked for: well within the time that the rules give, at random, as hundreds
    /// ask one service. Symptom: all ask at once, most calls fail, and old lists send set-ups into drains.
    fn schedule_list_request(&mut self, now: Point, spread: f64) {
        let within = get_span(&self.policy.settings, "list.ask_within") * ASK_PART;
        let doubled = f64::from(1 << self.list_polling.failures.min(2));
        let wait = within * (doubled * spread * self.random.uniform(0.0, 1.0));
        self.list_polling.next_request_at = Some(now + wait);
        self.list_polling.awaits_answer = false;
    }

    /// A request for the list failed, or its updates stopped: the old list stays in force for now.
    pub fn list_unavailable(&mut self, now: Point) {
        self.list_polling.failures += 1;
        self.schedule_list_request(now, 1.0);
    }

    /// Applies changed entries of the list, or with `whole` the complete list: streamers missing from it are gone.
    pub fn update_list(&mut self, now: Point, lines: &[StreamerEntry], whole: bool) {
        if self.list_polling.awaits_answer {
            self.list_polling = ListPolling::default();
        }
        if whole {
            for (_, streamer) in &mut self.streamers {
                (streamer.is_ready, streamer.unlisted_since) = (false, streamer.unlisted_since.or(Some(now)));
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
            self.list_revision += u64::from(streamer.cell != line.cell || streamer.link.capacity_kb <= 0.0);
            (streamer.cell, streamer.rack) = (line.cell, line.cell % self.racks.len());
            streamer.is_ready = line.state == StreamerState::Ready;
            streamer.unlisted_since =
                streamer.unlisted_since.or(Some(now)).filter(|_| line.state == StreamerState::Gone);
            let crossing = self.policy.number_or("charges.cross_zone", 0.0) > 0.0;
            streamer.is_near = !crossing || get_text(&self.policy.settings, "zone") == Some(&line.zone);
            // Of weights that fall with load the largest is the size. Symptom: busy links look small.
            let seen = if get_flag(&self.policy.settings, "link.weight_is_live") {
                streamer.link.capacity_kb
            } else {
                0.0
            };
            streamer.link.capacity_kb =
                seen.max(line.weight.max(0.01) * self.policy.number_or("link.kb_per_weight", 1.0));
            streamer.max_streams = self.policy.max_streams(&line.kind);
            if line.started_at > streamer.started_at {
                // A new process holds nothing and is under doubt no more than half.
                streamer.started_at = line.started_at;
                streamer.failure_log_odds = streamer.failure_log_odds.min(DOUBTED / 2.0);
                (streamer.link.reported_at, streamer.streams) = (None, None);
            }
        }
        self.schedule_tick(now);
    }

    fn schedule_tick(&mut self, now: Point) {
        if self.next_tick_at <= now {
            self.next_tick_at = now + BEAT;
            self.actions.next_tick = Some(self.next_tick_at);
        }
    }

    /// Takes a new request and answers it with an attempt at a streamer or with a rejection.
    pub fn submit(&mut self, now: Point, wish: &Request) -> SessionHandle {
        self.recent_requests.push_back(now);
        let handle = self.create_session(now, wish, !wish.is_retry);
        self.place_session(now, handle.place);
        handle
    }

    /// Takes over a session that plays already.
    pub fn adopt(&mut self, now: Point, wish: &Request, streamer: &str) -> SessionHandle {
        let handle = self.create_session(now, wish, false);
        let held = &mut self.sessions[handle.place];
        held.streamer = self.by_name.get(streamer).copied().unwrap_or(usize::MAX);
        (held.state, held.attempts) = (SessionState::Playing, 1);
        let (at, rung) = (held.streamer, held.rung);
        let (kb, count) = self.added_load(handle.place, at, rung);
        self.record_change(now, at, kb, count);
        handle
    }

    fn create_session(&mut self, now: Point, wish: &Request, first: bool) -> SessionHandle {
        let title = self.by_title.get(wish.title).copied().unwrap_or_else(|| {
            let at = self.titles.insert(Title::default());
            self.by_title.insert(wish.title.to_owned(), at);
            at
        });
        let known = &mut self.titles[title];
        known.last_requested = now;
        // Told anew with each wish. Symptom: a title that moved is asked for where it no longer lies.
        let of = (self.list_revision, wish.first_cell, wish.replicas);
        if known.holders_key != of {
            let cells = self.policy.number_or("cells", 1.0).max(1.0) as usize;
            let holds = |s: &Streamer| (s.cell + cells - wish.first_cell % cells) % cells < wish.replicas;
            let all = self.streamers.iter().filter(|(_, s)| holds(s));
            known.holders = all.map(|(at, _)| at).collect();
            known.holders_key = of;
        }
        let lane = self.classes.iter().position(|l| l.name == wish.class).unwrap_or_else(|| {
            // A lane that the settings never named is served on the strictest terms.
            self.classes.push(Class::unconfigured(wish.class, self.ladder.rates_kb_per_s.len() - 1));
            self.classes.len() - 1
        });
        // Traffic past a tenant's share earns little. Symptom: one tenant's crowd takes everybody's links.
        let tenant = self.tenants.iter_mut().find(|t| t.name == wish.tenant);
        let within = tenant.map_or(1.0, |t| t.share_within_quota(now, first, self.policy.controller_count()));
        let past = (1.0 - within) * self.policy.number_or("over_share_gain", 1.0);
        let terms = &self.classes[lane];
        self.last_serial += 1;
        let place = self.sessions.insert(Session {
            serial: self.last_serial,
            id: wish.id,
            class: lane,
            title,
            gain: terms.gain * (within + past),
            min_rung: terms.min_rung,
            max_rung: wish.max_rung.min(terms.max_rung),
            deadline: wish.deadline,
            state: SessionState::Waiting,
            rung: terms.min_rung,
            streamer: usize::MAX,
            attempts: 0,
            probes: 0,
            may_have_run: false,
            failure_counted: false,
            first_error_at: None,
            upgrade_not_before: now + Span::of(self.random.uniform(QUIET.0, QUIET.1)),
            changed_at: now,
        });
        SessionHandle { place, serial: self.last_serial }
    }

    /// The ordinary path of a subscription, from top to bottom.
    fn place_session(&mut self, now: Point, place: usize) {
        let held = &self.sessions[place];
        let (lane, floor) = (held.class, held.min_rung);
        let terms = &self.classes[lane];
        let seated = |s: &Session| s.title == held.title && s.class == lane && s.is_placed();
        let no_seat = terms.max_sessions_per_title > 0
            && self.sessions.iter().filter(|(_, s)| seated(s)).count() >= terms.max_sessions_per_title;
        let spent = !self.has_attempts_left(now, held);
        // A viewer below the lane's floor can use no rung of it. Symptom: rungs that its screen can't show.
        if no_seat || spent || floor > held.max_rung {
            return self.reject_or_fail(place);
        }
        // No rung earns what its link is worth elsewhere: turned back by the chance that it is past a
        // tenant's share; without shares, when it falls well short. Symptom: links full of cheap wishes.
        let rate = |rung: usize| self.rate(lane, rung) * self.shared_rate_part(held);
        let earns = |rung: usize| held.gain * self.ladder.gains[rung] / rate(rung);
        let best = (floor..=held.max_rung).map(earns).fold(0.0, f64::max);
        let part = self.fleet.price_per_kb.map_or(1.0, |price| best / price.max(1e-12));
        let past = 1.0 - held.gain / terms.gain;
        if part < POOR && self.tenants.is_empty()
            || part < 1.0 && past > 0.0 && self.random.uniform(0.0, SURELY_PAST) < past
        {
            return self.reject_or_fail(place);
        }
        // Highest rung first; at each the kept holder, else the smallest phi; lower rungs, then a turn-back.
        let choice = (floor..=self.fair_rung(place, 1.0))
            .rev()
            .find_map(|rung| Some((self.best_holder(now, place, rung)?, rung)));
        let Some((at, rung)) = choice else {
            return self.reject_or_fail(place);
        };
        // Hundreds of controllers each hear from few streamers: a holder without news is looked at first.
        let told = self.streamers[at].link.reported_at;
        let unheard = self.policy.load_is_reported()
            && told.is_none_or(|told| now - told > self.policy.report_lifetime());
        // Symptom: starts that step down within a second, as their holder turns out to be crowded.
        let rung = if unheard { rung.saturating_sub(1).max(floor) } else { rung };
        let (held, goal) = (&mut self.sessions[place], self.classes[lane].latency_goal);
        let early = held.attempts == 0 && held.probes < LOOKS && held.deadline - now > goal;
        if unheard && early && self.policy.probes_report_load() {
            held.probes += 1;
            (held.streamer, held.changed_at) = (at, now);
            return self.actions.probes.push(self.streamers[at].name.clone());
        }
        self.titles[self.sessions[place].title].preferred_holder = Some((at, now));
        let (kb, count) = self.added_load(place, at, rung);
        self.record_change(now, at, kb, count);
        let streamer = &mut self.streamers[at];
        streamer.streams = streamer.streams.map(|n| n + 1.0);
        streamer.count_send_in_turn(&self.policy, now);
        let held = &mut self.sessions[place];
        if held.attempts > 0 {
            self.recent_retries.push_back(now);
        }
        held.attempts += 1;
        (held.state, held.streamer, held.rung, held.changed_at) = (SessionState::SettingUp, at, rung, now);
        // A free lane's shot leaves time for another within the latency goal; a paid one has no other.
        let mut within = held.deadline - now;
        if !self.classes[lane].at_most_once && held.attempts < self.policy.max_attempts() {
            within = within.min(self.classes[lane].latency_goal * SHOT_PART);
        }
        self.actions.rung_changes.push((held.id, rung));
        self.actions.attempts.push(NewAttempt {
            session: held.id,
            streamer: streamer.name.clone(),
            timeout: within,
        });
    }

    /// The kept holder of the title while it stands, else the one of smallest phi with room at this rung.
    fn best_holder(&mut self, now: Point, place: usize, rung: usize) -> Option<usize> {
        let title = self.sessions[place].title;
        let kept = self.titles[title].preferred_holder;
        let mut best: Option<(f64, usize)> = None;
        let mut kept_phi = None;
        for careful in [true, false] {
            for i in 0..self.titles[title].holders.len() {
                let at = self.titles[title].holders[i];
                if !self.is_eligible(now, place, at, careful) {
                    continue;
                }
                let a = self.capacity(now, place, at, rung);
                // What the others sent since the news is not known: it takes a random part, broader with age.
                // Symptom: hundreds of controllers with the same news, or none, rank the same holder first.
                let age =
                    self.streamers[at].link.reported_at.map_or(1.0, |told| (now - told).seconds() / STALE);
                let others = age.clamp(0.0, 1.0) * (1.0 - 1.0 / self.policy.controller_count());
                let sent = others * self.random.uniform(0.0, 1.0);
                let Streamer { is_near: near, is_deferred: later, .. } = &self.streamers[at];
                let near = if *near { 1.0 } else { FAR } * if *later { LATER } else { 1.0 };
                let phi = 1.0 / ((self.sharing_viewers(place, at, rung) + 1.0) * a * (1.0 - sent) * near);
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
            let fresh = self.streamers[k].link.reported_at.is_some_and(|t| t > since);
            !fresh || phi >= kept_phi * (1.0 - SWITCH_PART)
        };
        let still = kept.zip(kept_phi).filter(|(kept, kept_phi)| stands(*kept, *kept_phi));
        Some(still.map_or(at, |((k, _), _)| k))
    }

    /// Whether a streamer may get this subscription at all; `careful` leaves out those under doubt.
    fn is_eligible(&self, now: Point, place: usize, at: usize, careful: bool) -> bool {
        let held = &self.sessions[place];
        let streamer = &self.streamers[at];
        let again = held.attempts > 0 && held.streamer == at;
        let odds = streamer.failure_log_odds_now(now) + streamer.peer_log_odds_now(now);
        let doubt = odds >= if self.classes[held.class].at_most_once { DOUBTED / 2.0 } else { DOUBTED };
        let sound = odds < CONDEMNED && !(careful && (again || doubt));
        streamer.is_ready
            && sound
            && now >= streamer.full_until
            && streamer.turn_allows_send(&self.policy, now)
    }

    /// The highest rung whose every step is worth the fleet's price; with no account, the ladder's middle.
    fn fair_rung(&self, place: usize, part: f64) -> usize {
        let held = &self.sessions[place];
        let Some(price) = self.fleet.price_per_kb else {
            return (self.ladder.rates_kb_per_s.len() / 2).min(held.max_rung).max(held.min_rung);
        };
        let worth = (held.min_rung + 1..=held.max_rung)
            .take_while(|rung| self.step_cost_and_gain(held, *rung).1 >= price * part);
        worth.last().unwrap_or(held.min_rung)
    }

    /// Looks over the own part of the fleet: its mean fullness, and the gain per kB that its links are worth
    /// when the own subscriptions are filled up, best steps first, to what the fleet leaves them.
    fn estimate_fleet(&mut self, now: Point) -> f64 {
        let own: f64 = self.streamers.iter().map(|(_, s)| s.own_rate_kb).sum();
        let lapse = self.policy.report_lifetime();
        let ready = || self.streamers.iter().filter(|(_, s)| s.is_ready).map(|(at, _)| at);
        let fresh = |at: &usize| self.streamers[*at].link.reported_at.is_some_and(|t| now - t < lapse);
        let links: f64 = ready().map(|at| self.streamers[at].link.capacity_kb).sum();
        let heard: f64 = ready().filter(fresh).map(|at| self.streamers[at].link.capacity_kb).sum();
        // A controller that hears a small part of the fleet hears the crowded ones more often.
        self.fleet.reporting_share = heard / links.max(1e-9);
        let (mut weight, mut asked, mut tight) = (1e-9, 0.0, 0.0);
        let (mut of_uplinks, mut uplinks) = (0.0, 0.0);
        for at in ready().filter(fresh) {
            let full = self.streamers[at].link.utilization().max(0.05);
            let heavy = self.streamers[at].link.capacity_kb / full.powf(1.0 - self.fleet.reporting_share);
            weight += heavy;
            asked += heavy * full;
            let uplink = self.reported_uplink_utilization(now, at);
            tight += heavy * full.max(uplink.unwrap_or(0.0));
            uplinks += uplink.map_or(0.0, |full| heavy * full);
            of_uplinks += uplink.map_or(0.0, |_| heavy);
        }
        let racks: f64 = self.racks.iter().map(|rack| rack.capacity_kb).sum();
        let capacity = if racks > 0.0 { links.min(racks) } else { links }.max(1e-9);
        // While little was told, the others are taken to hold as much as this controller does.
        let guess = own * self.policy.controller_count() / capacity;
        let told = ready().filter(fresh).count() as f64;
        let trust = told / (told + 1.0);
        // What was told is of a moment past: since then the others are taken to have grown like this one, as
        // far as it holds many. Symptom: a burst overfills the links, and after it half of them stay unused.
        let age = get_span(&self.policy.settings, "notes.age")
            + get_span(&self.policy.settings, "notes.every") * 0.5;
        self.fleet.own_rate_at_report +=
            (own - self.fleet.own_rate_at_report) * (BEAT.seconds() / age.seconds().max(1e-9)).min(1.0);
        let (many, others) = (self.sessions.len() as f64, 1.0 - 1.0 / self.policy.controller_count());
        // A young one catches up: below most of its even part growth is its own. Symptom: all seems to grow.
        let even = trust * asked / weight * links / self.policy.controller_count() * CAUGHT_UP;
        let young = now - self.policy.started_at < get_span(&self.policy.settings, "cold.span");
        let past = if young {
            self.fleet.own_rate_at_report.max(own.min(even))
        } else {
            self.fleet.own_rate_at_report
        };
        let grown = (own / past.max(1e-9)).clamp(0.5, 2.0).powf(others * many / (many + PROOF));
        self.fleet.growth_since_report = (grown - 1.0).max(0.0);
        let (tight, asked) = (tight * grown, asked * grown);
        let full = trust * tight / weight + (1.0 - trust) * guess;
        self.fleet.mean_uplink_utilization = (of_uplinks > 0.0).then(|| uplinks / of_uplinks);
        self.fleet.mean_utilization =
            trust * asked / weight + (1.0 - trust) * guess * capacity / links.max(1e-9);
        if own <= 0.0 || full <= 0.0 {
            return full;
        }
        let mut left = own * (FILL / full).clamp(0.4, 40.0);
        let mut steps = Vec::new();
        for (_, held) in self.sessions.iter().filter(|(_, s)| s.is_placed()) {
            left -= self.rate(held.class, held.min_rung) * self.shared_rate_part(held);
            steps.extend((held.min_rung + 1..=held.max_rung).map(|rung| self.step_cost_and_gain(held, rung)));
        }
        steps.sort_by(|a, b| b.1.total_cmp(&a.1));
        let unfit = |(kb, _): &&(f64, f64)| {
            left -= kb;
            left < 0.0
        };
        let price = steps.iter().find(unfit).map_or(0.0, |step| step.1);
        let part = SMOOTH.max(1.0 - trust);
        self.fleet.price_per_kb =
            Some(self.fleet.price_per_kb.map_or(price, |old| old + part * (price - old)));
        full
    }

    /// Further shots stay within the ration in every window that ends now.
    fn within_retry_budget(&self, now: Point, shots: u32) -> bool {
        let (Some(share), true) = (get_number(&self.policy.settings, "ration.share"), shots > 0) else {
            return true;
        };
        let floor = self.policy.number_or("ration.floor", 0.0);
        let window = get_span(&self.policy.settings, "ration.window");
        let made = self.recent_retries.iter().filter(|t| now - **t <= window).count() as f64;
        let taken = self.recent_requests.iter().filter(|t| now - **t < window).count() as f64;
        made + 1.0 <= floor + share * taken
    }

    /// Whether another shot of a subscription is within its time and all bounds.
    fn has_attempts_left(&self, now: Point, held: &Session) -> bool {
        now < held.deadline
            && held.attempts < self.policy.max_attempts()
            && self.within_retry_budget(now, held.attempts)
    }

    /// The final answer of a subscription that is given up, at once: turned back where the terms allow.
    fn reject_or_fail(&mut self, place: usize) {
        let held = self.sessions.remove(place);
        if held.may_have_run && self.classes[held.class].at_most_once {
            self.actions.failed.push(held.id);
        } else {
            self.actions.rejected.push((held.id, self.retry_after()));
        }
    }

    /// After how long a rejected viewer should retry, also one that the caller rejects by itself.
    pub fn retry_after(&self) -> Option<Span> {
        let longest = get_span(&self.policy.settings, "retry_after.longest");
        (get_flag(&self.policy.settings, "retry_after.allowed") && longest > Span::ZERO).then_some(longest)
    }

    /// A streamer's news of its load.
    fn apply_load(&mut self, now: Point, at: usize, load: Load, age: Span, part: f64) {
        let Some(streamer) = self.streamers.get_mut(at) else { return };
        let of = now - age;
        if let Some(full) = load.link_utilization {
            streamer.link.apply_report(of, full, part);
        }
        if let Some(full) = load.uplink_utilization {
            self.racks[streamer.rack].apply_report(of, full, 1.0);
        }
        if let Some(streams) = load.streams {
            (streamer.streams, streamer.streams_reported_at) = (Some(streams), now);
        }
        self.downgrade_sessions(
            now,
            at,
            of,
            self.streamers[at].link.utilization().max(self.uplink_utilization(now, at)),
        );
    }

    /// Steps down at a streamer that is asked for more than it gives: own subscriptions shrink by the share
    /// that everybody has to, cheapest steps first; a step larger than what is left goes by chance, so that
    /// all controllers together free what is missing. Symptom: hundreds of whole steps for one small need.
    fn downgrade_sessions(&mut self, now: Point, at: usize, of: Point, full: f64) {
        if full <= PRESSED || of <= self.streamers[at].last_adjusted {
            return;
        }
        self.streamers[at].last_adjusted = now;
        let mut missing = self.streamers[at].own_rate_kb * (1.0 - 1.0 / full);
        while missing > 0.0 {
            let steady = |s: &Session| s.is_playing_at(at) && s.rung > s.min_rung && s.changed_at < now;
            let price = |s: &Session| self.step_cost_and_gain(s, s.rung).1;
            let own = self.sessions.iter().filter(|(_, s)| steady(s));
            let cheapest = own.min_by(|a, b| price(a.1).total_cmp(&price(b.1)));
            let Some((place, held)) = cheapest else { return };
            let (kb, rung) = (self.step_cost_and_gain(held, held.rung).0, held.rung - 1);
            let kb = kb * (1.0 + self.sharing_viewers(place, at, rung + 1));
            if self.random.uniform(0.0, kb) < missing {
                self.set_shared_rung(now, place, rung);
            }
            missing -= kb;
        }
    }

    /// A stream that own viewers share steps with all who can use the rung. Symptom: who steps alone opens a
    /// second stream, and the link carries more.
    fn set_shared_rung(&mut self, now: Point, place: usize, rung: usize) {
        let (before, at) = (self.sessions[place].rung, self.sessions[place].streamer);
        let with = |(_, s): &(usize, &Session)| s.is_playing_at(at) && s.rung == before && s.max_rung >= rung;
        let mates: Vec<usize> =
            self.sharing_sessions(&self.sessions[place]).filter(with).map(|(mate, _)| mate).collect();
        for place in std::iter::once(place).chain(mates) {
            self.set_rung(now, place, rung);
        }
    }

    fn set_rung(&mut self, now: Point, place: usize, rung: usize) {
        let quiet = self.random.uniform(QUIET.0, QUIET.1);
        let (at, before) = (self.sessions[place].streamer, self.sessions[place].rung);
        let (less, more) = (self.added_load(place, at, before), self.added_load(place, at, rung));
        let held = &mut self.sessions[place];
        held.upgrade_not_before = now + Span::of(if rung > before { QUIET.1 } else { quiet });
        (held.rung, held.changed_at) = (rung, now);
        self.actions.rung_changes.push((held.id, rung));
        self.record_change(now, at, more.0 - less.0, more.1 - less.1);
    }

    /// A probe of a streamer finished, with its load or, where it failed, without; sessions that waited for it go on.
    pub fn probe_finished(&mut self, now: Point, streamer: &str, sound: bool, load: Load) {
        let Some(at) = self.by_name.get(streamer).copied() else { return };
        if !sound {
            self.streamers[at].add_evidence(now, BAD);
        }
        self.streamers[at].last_probed = now;
        self.apply_load(now, at, load, ANSWER_AGE, 1.0);
        self.place_waiting(now, |s| s.streamer == at);
    }

    /// Others are believed, from 0 to 1, when they say that a streamer fails. It leans on the sequential test
    /// and never condemns by itself: such a streamer comes after the rest, and is tried if there is no other.
    pub fn set_peer_suspicion(&mut self, now: Point, streamer: &str, weight: f64) {
        let known = self.by_name.get(streamer).filter(|_| weight.is_finite());
        if let Some(streamer) = known.map(|at| &mut self.streamers[*at]) {
            (streamer.peer_log_odds, streamer.peer_log_odds_at) = (HEARSAY * weight.clamp(0.0, 1.0), now);
        }
    }

    /// Whether this instance is among those that use a streamer first, where holders are nearly equal.
    pub fn set_preferred(&mut self, streamer: &str, first: bool) {
        let known = self.by_name.get(streamer);
        known.into_iter().for_each(|at| self.streamers[*at].is_deferred = !first);
    }

    /// This instance takes the turns of missing numbers at fresh streamers, too, until that moment; without
    /// `own` it takes none at all.
    pub fn cover_turns(&mut self, own: bool, missing: &[u32], until: Point) {
        self.policy.covered_turns =
            CoveredTurns { own_turns_lost: !own, missing_controllers: missing.to_vec(), until };
    }

    /// Places the waiting sessions that match, as after a probe.
    fn place_waiting(&mut self, now: Point, who: impl Fn(&Session) -> bool) {
        for place in 0..self.sessions.capacity() {
            if self.sessions.get(place).is_some_and(|s| s.state == SessionState::Waiting && who(s)) {
                self.place_session(now, place);
            }
        }
    }

    /// Regular work: forgets what is past, appraises the fleet and climbs where there is room.
    pub fn tick(&mut self, now: Point) {
        if now < self.next_tick_at {
            return;
        }
        self.schedule_tick(now);
        // An answer that stays out is no reason to wait longer than the rules allow.
        if self.list_polling.next_request_at.is_some_and(|due| due <= now) {
            self.actions.request_list = true;
            let due = Some(now + get_span(&self.policy.settings, "list.ask_within") * (1.0 - ASK_PART));
            self.list_polling =
                ListPolling { next_request_at: due, awaits_answer: true, ..self.list_polling };
        }
        self.place_waiting(now, |s| now - s.changed_at >= BEAT);
        let window = get_span(&self.policy.settings, "ration.window");
        self.recent_requests.retain(|t| now - *t <= window);
        self.recent_retries.retain(|t| now - *t <= window);
        // Handed over more than the fleet gives: step down before the first late notes tell, as far as own
        // ones outnumber controllers. Symptom: one that viewers lean to steps down in an empty fleet.
        let (early, own) = (self.fleet.price_per_kb.is_none(), self.sessions.len() as f64);
        let full = self.estimate_fleet(now) * own / (own + self.policy.controller_count());
        for at in 0..self.streamers.capacity() {
            if self.streamers.contains(at) {
                self.downgrade_sessions(now, at, now, if early { full } else { 0.0 });
                self.upgrade_sessions(now, at);
            }
        }
        self.remove_unused(now);
    }

    /// Lets go of streamers that left the list and of titles that nobody asks for, once no account holds any
    /// of them. Symptom: memory that grows with every name that comes and goes.
    fn remove_unused(&mut self, now: Point) {
        let after = get_span(&self.policy.settings, "cold.span").max(Span::of(2.0 * STALE));
        let held = &self.sessions;
        let there = |at: usize| held.iter().any(|(_, s)| s.streamer == at || s.first_error_at == Some(at));
        let named = self.streamers.len();
        self.streamers.retain(|at, s| s.unlisted_since.is_none_or(|since| now - since <= after) || there(at));
        if self.streamers.len() < named {
            self.list_revision += 1;
            self.by_name.retain(|_, at| self.streamers.contains(*at));
        }
        self.titles
            .retain(|at, t| now - t.last_requested <= after || held.iter().any(|(_, s)| s.title == at));
        self.by_title.retain(|_, at| self.titles.contains(*at));
    }

    /// Streamers and titles of which anything is known.
    pub fn known_counts(&self) -> (usize, usize) {
        (self.streamers.len(), self.titles.len())
    }

    /// Own subscriptions at a streamer climb into the fresh room that is theirs by what they ask for, once
    /// for each news of it, best steps first; a step larger than what is left of it goes by chance.
    fn upgrade_sessions(&mut self, now: Point, at: usize) {
        let streamer = &self.streamers[at];
        let spent = |told| now - told > self.policy.report_lifetime() || told <= streamer.last_adjusted;
        // Where nobody ever tells, the own account does. Symptom: all stay at the rung of their start.
        let blind = !self.policy.load_is_reported() && now - streamer.last_adjusted > Span::of(QUIET.1);
        if !blind && streamer.link.reported_at.is_none_or(spent) {
            return;
        }
        let full = self.link_utilization(now, at).max(self.uplink_utilization(now, at)).max(0.02);
        // Room that few controllers hear of is not filled by starts: there link is cheaper.
        let cheap = 1.0 - (1.0 - self.fleet.reporting_share) * (1.0 - full / FILL).max(0.0);
        let mut room = streamer.own_rate_kb * (FILL * self.warm_up_part(now, at) / full - 1.0);
        while room > 0.0 {
            let next = |s: &Session| self.step_cost_and_gain(s, s.rung + 1);
            let quiet =
                self.sessions.iter().filter(|(_, s)| s.is_playing_at(at) && now >= s.upgrade_not_before);
            let able = quiet.filter(|(place, s)| s.rung < self.fair_rung(*place, cheap));
            let best = able.max_by(|a, b| next(a.1).1.total_cmp(&next(b.1).1));
            let Some((place, held)) = best else { return };
            let (kb, rung) =
                (next(held).0 * (1.0 + self.sharing_viewers(place, at, held.rung)), held.rung + 1);
            self.streamers[at].last_adjusted = now;
            if self.random.uniform(0.0, kb) < room {
                self.set_shared_rung(now, place, rung);
            }
            room -= kb;
        }
    }
}
