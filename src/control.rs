//! Every decision of lemontide. One `Controller` decides for one instance and shares nothing with others.
//!
//! Call `Controller::new` with the settings and `update_list` with each list of streamers, then `submit` with each
//! request. It returns a `SessionHandle`; every later event of that session is a call on its handle. Each call
//! leaves what the caller has to do in `actions`: do it, clear it, and call `tick` at `next_tick`.
//! The types of these calls are in `interface.rs`, time in `clock.rs`, the random generator in `random.rs`.
//! A session is placed in `Controller::place_session`, at the holder with the smallest phi = 1 / ((x + 1) * a): x is
//! `sharing_viewers`, a is `capacity`.

mod capacity;
mod holders;
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
    Streamer, Tenant, Title, TitleKey,
};
use slab::Slab;
use std::collections::{HashMap, VecDeque};

/// Part by which another holder's phi must be below that of a title's preferred holder to replace it.
const HOLDER_SWITCH_RATIO: f64 = 0.1;
/// Utilization up to which set-ups and upgrades fill a link: actual rates vary around those of the ladder.
const TARGET_UTILIZATION: f64 = 0.88;
/// The same for a streamer that was probed just now, as its load is known for this moment.
const PROBED_TARGET_UTILIZATION: f64 = 0.93;
/// Utilization up to which set-ups at the lowest rung fill a link; a delivered share below this is a shortfall.
const MAX_UTILIZATION: f64 = 0.98;
/// Utilization above which playing sessions are downgraded; smaller excesses are mostly noise.
const DOWNGRADE_UTILIZATION: f64 = 1.05;
/// Weight, in 1 / phi, of a holder in another zone where cross-zone traffic is charged.
const CROSS_ZONE_WEIGHT: f64 = 0.5;
/// Weight, in 1 / phi, of a holder that other instances use first: it decides between nearly equal holders only.
const DEFERRED_WEIGHT: f64 = 0.7;
/// Range of the random delay before an upgrade; the upper end is also the least time between two upgrades.
const MIN_UPGRADE_DELAY_S: f64 = 2.0;
const MAX_UPGRADE_DELAY_S: f64 = 4.0;
/// Part of a streamer's streams that adopted sessions can take until it has confirmed them.
const MAX_UNCONFIRMED_PART: f64 = 0.5;
/// Assumed age of the load that comes with an answer.
const ANSWER_LOAD_AGE: Span = Span::of_millis(400);
/// Part by which the load in an answer, which is noisy, moves the known value.
const ANSWER_LOAD_WEIGHT: f64 = 0.2;
/// Time over which an old load report gives way to the mean of the fleet. Numbers of streams and reports of uplinks
/// expire after half of it.
const REPORT_STALE_S: f64 = 30.0;
/// Part by which a newly computed price moves the known one.
const PRICE_SMOOTHING: f64 = 0.2;
/// Loss of gain, as a part of the class's gain, from which a request over its tenant's quota and below the price
/// is always rejected.
const CERTAIN_REJECTION_GAIN_LOSS: f64 = 0.4;
/// Where no tenants are configured, a request is rejected if its best rung earns less than this part of the price.
const MIN_GAIN_TO_PRICE_RATIO: f64 = 0.6;
/// Sequential test of a streamer: what a success and a failure add to the log odds that it is failing.
const SUCCESS_LOG_ODDS: f64 = -1.0;
const FAILURE_LOG_ODDS: f64 = 2.5;
/// Log odds from which a streamer is suspect, half of it for classes that are set up at most once: it is used only after
/// all others.
const SUSPECT_LOG_ODDS: f64 = 2.0;
/// Log odds from which a streamer is excluded: it gets no attempts.
const EXCLUDED_LOG_ODDS: f64 = 4.5;
/// Decay of the log odds, so that an excluded streamer is tried again, with care.
const LOG_ODDS_DECAY_PER_S: f64 = 0.15;
/// Most that reports of other controllers add: a streamer is suspect, and excluded with one own failure.
const MAX_PEER_LOG_ODDS: f64 = 3.0;
/// Part of the latency goal that an attempt takes at most where another can follow it.
const ATTEMPT_TIMEOUT_RATIO: f64 = 0.45;
/// Part of a cold streamer's budget for own turns; the rest is for those of missing controllers.
const OWN_TURN_BUDGET_RATIO: f64 = 0.7;
/// Most probes of holders without recent reports before the first attempt of a session.
const MAX_PROBES: u32 = 3;
/// Part of its even share of the fleet up to which a controller that started recently is catching up.
const CATCH_UP_RATIO: f64 = 0.6;
/// Time constant with which the count of a tenant's requests decays.
const TENANT_COUNT_DECAY_S: f64 = 16.0;
/// Number of requests or sessions from which little can be concluded; damps estimates from few of them.
const PRIOR_COUNT: f64 = 8.0;
/// Part of the time allowed by the rules within which a list is requested. After one failure it is requested again within
/// twice this part, after more within four times.
const LIST_REQUEST_TIME_RATIO: f64 = 0.25;
/// Time between two calls of `Controller::tick`.
const TICK_INTERVAL: Span = Span::of_millis(250);

/// Identifies one session of a controller; calls on the handle of a finished session do nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SessionHandle {
    slot: usize,
    serial: u64,
}

/// Places the sessions of one instance on streamers and sets their rungs.
pub struct Controller {
    policy: Policy,
    ladder: Ladder,
    classes: Vec<Class>,
    tenants: Vec<Tenant>,
    streamers: Slab<Streamer>,
    by_name: HashMap<String, usize>,
    /// Counts the changes of the mapping of streamers to cells.
    list_revision: u64,
    racks: Vec<LinkLoad>,
    titles: Slab<Title>,
    by_title: HashMap<TitleKey, usize>,
    sessions: Slab<Session>,
    last_serial: u64,
    recent_requests: VecDeque<Point>,
    recent_retries: VecDeque<Point>,
    random: Random,
    next_tick_at: Point,
    list_polling: ListPolling,
    fleet: FleetEstimate,
    /// What the caller has to do; the caller clears it.
    pub actions: Actions,
}

impl Controller {
    /// Starts a controller without streamers or sessions.
    pub fn new(now: Point, seed: u64, settings: &ControllerSettings) -> Controller {
        let number = |name: &str, fallback: f64| get_number(settings, name).unwrap_or(fallback);
        let shared_rate_part = number("ladder.join", 1.0).clamp(0.0, 1.0);
        let mut ladder = Ladder {
            rates_kb_per_s: get_numbers(settings, "ladder.kb"),
            gains: get_numbers(settings, "ladder.gain"),
            shared_rate_part,
        };
        ladder.rates_kb_per_s.resize(ladder.rates_kb_per_s.len().max(1), 1.0);
        ladder.gains.resize(ladder.rates_kb_per_s.len(), 1.0);
        let highest_rung = ladder.rates_kb_per_s.len() - 1;
        let read_class = |i: usize| {
            let class_number = |key: &str, fallback| number(&format!("lanes.{i}.{key}"), fallback);
            let mut class =
                Class::unconfigured(get_text(settings, &format!("lanes.{i}.name"))?, highest_rung);
            class.gain = class_number("gain", 1.0);
            class.latency_goal = Span::of(class_number("latency_goal", 1.0));
            // An idempotency key that every streamer knows for as long as a viewer waits allows free repetition.
            let class_text = |key: &str| get_text(settings, &format!("lanes.{i}.{key}"));
            let keyed = (class_text("repeat"), class_text("key_holds")) == (Some("keyed"), Some("all"));
            let key_covers_wait =
                keyed && class_number("key_window", 0.0) >= class_number("cut_off", f64::INFINITY);
            class.at_most_once = class_text("repeat") != Some("free") && !key_covers_wait;
            class.min_rung = (number(&format!("lane_floor.{i}"), 0.0) as usize).min(highest_rung);
            class.max_rung = (number(&format!("lane_top.{i}"), 1e6) as usize).min(highest_rung);
            class.rate_scale = number(&format!("lane_scale.{i}"), 1.0).max(0.01);
            class.max_sessions_per_title = number(&format!("lane_seats.{i}"), 0.0) as usize;
            class.is_live = get_flag(settings, &format!("lane_live.{i}"));
            Some(class)
        };
        let read_tenant = |i: usize| {
            let name = get_text(settings, &format!("tenants.{i}.name"))?.to_owned();
            let quota_per_s = number(&format!("tenants.{i}.quota_per_s"), f64::INFINITY);
            Some(Tenant { name, quota_per_s, request_count: None, counted_at: now })
        };
        let mut controller = Controller {
            policy: Policy {
                settings: settings.clone(),
                started_at: now,
                covered_turns: CoveredTurns::default(),
            },
            ladder,
            classes: (0..).map_while(read_class).collect(),
            tenants: (0..).map_while(read_tenant).collect(),
            streamers: Slab::new(),
            by_name: HashMap::new(),
            list_revision: 0,
            racks: vec![
                LinkLoad::with_capacity(number("rack.kb", 0.0));
                number("rack.count", 1.0).max(1.0) as usize
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
        if get_flag(settings, "list.on_request") {
            controller.schedule_list_request(now, 1.0 - 1.0 / controller.policy.controller_count());
        }
        controller
    }

    /// Schedules the next request for the list at a random moment within the time that the rules allow: within a part
    /// of it at first, later after failures.
    /// Hundreds of controllers request it from one service: if all did so at once, most calls would fail, and
    /// controllers with old lists would send set-ups to draining streamers.
    fn schedule_list_request(&mut self, now: Point, spread: f64) {
        let max_wait = get_span(&self.policy.settings, "list.ask_within") * LIST_REQUEST_TIME_RATIO;
        let backoff = f64::from(1 << self.list_polling.failures.min(2));
        let wait = max_wait * (backoff * spread * self.random.uniform(0.0, 1.0));
        self.list_polling.next_request_at = Some(now + wait);
        self.list_polling.awaits_answer = false;
    }

    /// A request for the list failed, or its updates stopped: the old list stays in force for now.
    pub fn list_unavailable(&mut self, now: Point) {
        self.list_polling.failures += 1;
        self.schedule_list_request(now, 1.0);
    }

    /// Applies changed entries of the list, or with `complete` the whole list: streamers missing from it are gone.
    pub fn update_list(&mut self, now: Point, entries: &[StreamerEntry], complete: bool) {
        if self.list_polling.awaits_answer {
            self.list_polling = ListPolling::default();
        }
        if complete {
            for (_, streamer) in &mut self.streamers {
                (streamer.is_ready, streamer.unlisted_since) = (false, streamer.unlisted_since.or(Some(now)));
            }
        }
        for entry in entries {
            let index = match self.by_name.get(&entry.streamer) {
                Some(index) => *index,
                None if entry.state == StreamerState::Gone => continue,
                None => {
                    let new = Streamer { name: entry.streamer.as_str().into(), ..Streamer::default() };
                    let index = self.streamers.insert(new);
                    self.by_name.insert(entry.streamer.clone(), index);
                    index
                }
            };
            let streamer = &mut self.streamers[index];
            self.list_revision += u64::from(streamer.cell != entry.cell || streamer.link.capacity_kb <= 0.0);
            (streamer.cell, streamer.rack) = (entry.cell, entry.cell % self.racks.len());
            streamer.is_ready = entry.state == StreamerState::Ready;
            streamer.unlisted_since =
                streamer.unlisted_since.or(Some(now)).filter(|_| entry.state == StreamerState::Gone);
            let crossing_is_charged = self.policy.number_or("charges.cross_zone", 0.0) > 0.0;
            streamer.is_near =
                !crossing_is_charged || get_text(&self.policy.settings, "zone") == Some(&entry.zone);
            // Where the weight falls with the load, the largest weight seen gives the capacity: otherwise busy
            // links look small.
            let largest_seen_kb = if get_flag(&self.policy.settings, "link.weight_is_live") {
                streamer.link.capacity_kb
            } else {
                0.0
            };
            streamer.link.capacity_kb = largest_seen_kb
                .max(entry.weight.max(0.01) * self.policy.number_or("link.kb_per_weight", 1.0));
            streamer.max_streams = self.policy.max_streams(&entry.kind);
            if entry.started_at > streamer.started_at {
                // A new process runs no streams, and keeps at most half of the log odds of a suspect streamer.
                streamer.started_at = entry.started_at;
                streamer.failure_log_odds = streamer.failure_log_odds.min(SUSPECT_LOG_ODDS / 2.0);
                (streamer.link.reported_at, streamer.streams) = (None, None);
            }
        }
        self.schedule_tick(now);
    }

    fn schedule_tick(&mut self, now: Point) {
        if self.next_tick_at <= now {
            self.next_tick_at = now + TICK_INTERVAL;
            self.actions.next_tick = Some(self.next_tick_at);
        }
    }

    /// Accepts a new request and answers it with a probe, an attempt at a streamer or a rejection.
    pub fn submit(&mut self, now: Point, request: &Request) -> SessionHandle {
        self.recent_requests.push_back(now);
        let handle = self.create_session(now, request, !request.is_retry);
        self.place_session(now, handle.slot);
        handle
    }

    /// Takes over a session that plays already.
    pub fn adopt(&mut self, now: Point, request: &Request, streamer: &str) -> SessionHandle {
        let handle = self.create_session(now, request, false);
        let session = &mut self.sessions[handle.slot];
        session.streamer = self.by_name.get(streamer).copied().unwrap_or(usize::MAX);
        (session.state, session.attempts) = (SessionState::Playing, 1);
        let (streamer, rung) = (session.streamer, session.rung);
        let (kb, count) = self.added_load(handle.slot, streamer, rung);
        self.record_change(now, streamer, kb, count);
        handle
    }

    fn create_session(&mut self, now: Point, request: &Request, is_first: bool) -> SessionHandle {
        let title_index = self.record_title(now, request);
        let class_index = self.classes.iter().position(|c| c.name == request.class).unwrap_or_else(|| {
            // A class that the settings do not name is served under the strictest rules.
            self.classes.push(Class::unconfigured(request.class, self.ladder.rates_kb_per_s.len() - 1));
            self.classes.len() - 1
        });
        // Requests over the tenant's quota earn less: otherwise the burst of one tenant takes everybody's links.
        let tenant = self.tenants.iter_mut().find(|t| t.name == request.tenant);
        let within_quota =
            tenant.map_or(1.0, |t| t.share_within_quota(now, is_first, self.policy.controller_count()));
        let over_quota = (1.0 - within_quota) * self.policy.number_or("over_share_gain", 1.0);
        let class = &self.classes[class_index];
        self.last_serial += 1;
        let slot = self.sessions.insert(Session {
            serial: self.last_serial,
            id: request.id,
            class: class_index,
            title: title_index,
            gain: class.gain * (within_quota + over_quota),
            min_rung: class.min_rung,
            max_rung: request.max_rung.min(class.max_rung),
            deadline: request.deadline,
            state: SessionState::Waiting,
            rung: class.min_rung,
            streamer: usize::MAX,
            attempts: 0,
            probes: 0,
            may_have_run: false,
            failure_counted: false,
            first_error_streamer: None,
            upgrade_not_before: now + Span::of(self.random.uniform(MIN_UPGRADE_DELAY_S, MAX_UPGRADE_DELAY_S)),
            changed_at: now,
        });
        SessionHandle { slot, serial: self.last_serial }
    }

    /// Probes a holder for a waiting session, starts its next attempt, or gives its final answer.
    fn place_session(&mut self, now: Point, slot: usize) {
        self.refresh_holders(self.sessions[slot].title);
        let session = &self.sessions[slot];
        let (class_index, min_rung) = (session.class, session.min_rung);
        let class = &self.classes[class_index];
        let counts = |s: &Session| s.title == session.title && s.class == class_index && s.is_placed();
        let title_is_full = class.max_sessions_per_title > 0
            && self.sessions.iter().filter(|(_, s)| counts(s)).count() >= class.max_sessions_per_title;
        let attempts_used_up = !self.has_attempts_left(now, session);
        // A viewer whose highest rung is below the class's lowest can use none of them: it must get no rung that
        // its screen can't show.
        if title_is_full || attempts_used_up || min_rung > session.max_rung {
            return self.reject_or_fail(slot);
        }
        // No rung earns the price of its rate: with tenants, the request is rejected with a probability that
        // grows with its part over the tenant's quota; without, where it earns well below the price. Otherwise
        // links fill up with requests of low gain.
        let rate = |rung: usize| self.rate(class_index, rung) * self.shared_rate_part(session);
        let gain_per_kb = |rung: usize| session.gain * self.ladder.gains[rung] / rate(rung);
        let best_gain_per_kb = (min_rung..=session.max_rung).map(gain_per_kb).fold(0.0, f64::max);
        let gain_to_price = self.fleet.price_per_kb.map_or(1.0, |price| best_gain_per_kb / price.max(1e-12));
        let gain_loss = 1.0 - session.gain / class.gain;
        if gain_to_price < MIN_GAIN_TO_PRICE_RATIO && self.tenants.is_empty()
            || gain_to_price < 1.0
                && gain_loss > 0.0
                && self.random.uniform(0.0, CERTAIN_REJECTION_GAIN_LOSS) < gain_loss
        {
            return self.reject_or_fail(slot);
        }
        // Highest rung first, and lower ones after it. At each rung the preferred holder, else the one with the
        // smallest phi. Where no holder can take any rung, the request is rejected.
        let choice = (min_rung..=self.fair_rung(slot, 1.0))
            .rev()
            .find_map(|rung| Some((self.best_holder(now, slot, rung)?, rung)));
        let Some((streamer_index, rung)) = choice else {
            return self.reject_or_fail(slot);
        };
        // Among hundreds of controllers each gets reports from few streamers: a holder without a recent report
        // is probed first. Without a probe the session starts one rung lower: otherwise many starts are
        // downgraded within a second, as their holder turns out to be crowded.
        let reported_at = self.streamers[streamer_index].link.reported_at;
        let lacks_report = self.policy.load_is_reported()
            && reported_at.is_none_or(|reported_at| now - reported_at > self.policy.report_lifetime());
        let rung = if lacks_report { rung.saturating_sub(1).max(min_rung) } else { rung };
        let (session, latency_goal) = (&mut self.sessions[slot], self.classes[class_index].latency_goal);
        let can_probe =
            session.attempts == 0 && session.probes < MAX_PROBES && session.deadline - now > latency_goal;
        if lacks_report && can_probe && self.policy.probes_report_load() {
            session.probes += 1;
            (session.streamer, session.changed_at) = (streamer_index, now);
            return self.actions.probes.push(self.streamers[streamer_index].name.clone());
        }
        self.titles[self.sessions[slot].title].preferred_holder = Some((streamer_index, now));
        let (kb, count) = self.added_load(slot, streamer_index, rung);
        self.record_change(now, streamer_index, kb, count);
        let streamer = &mut self.streamers[streamer_index];
        streamer.streams = streamer.streams.map(|n| n + 1.0);
        streamer.count_send_in_turn(&self.policy, now);
        let session = &mut self.sessions[slot];
        if session.attempts > 0 {
            self.recent_retries.push_back(now);
        }
        session.attempts += 1;
        (session.state, session.streamer, session.rung, session.changed_at) =
            (SessionState::SettingUp, streamer_index, rung, now);
        // Where attempts can be repeated, one leaves time for another within the latency goal; a class that is
        // set up at most once has no other.
        let mut timeout = session.deadline - now;
        if !self.classes[class_index].at_most_once && session.attempts < self.policy.max_attempts() {
            timeout = timeout.min(self.classes[class_index].latency_goal * ATTEMPT_TIMEOUT_RATIO);
        }
        self.actions.rung_changes.push((session.id, rung));
        self.actions.attempts.push(NewAttempt {
            session: session.id,
            streamer: streamer.name.clone(),
            timeout,
        });
    }

    /// The holder for a session at this rung, among those with capacity for it: the title's preferred holder, unless
    /// its load was reported since it was chosen and another is clearly better now; else the one with the smallest
    /// phi.
    fn best_holder(&mut self, now: Point, slot: usize, rung: usize) -> Option<usize> {
        let title = self.sessions[slot].title;
        let preferred = self.titles[title].preferred_holder;
        let mut best: Option<(f64, usize)> = None;
        let mut preferred_phi = None;
        for careful in [true, false] {
            for i in 0..self.titles[title].holders.len() {
                let holder = self.titles[title].holders[i];
                if !self.is_eligible(now, slot, holder, careful) {
                    continue;
                }
                let capacity = self.capacity(now, slot, holder, rung);
                // What other controllers sent there since the last report is not known: it takes a random part
                // of the capacity, larger with the report's age. Otherwise hundreds of controllers with the
                // same reports, or none, rank the same holder first.
                let age = self.streamers[holder]
                    .link
                    .reported_at
                    .map_or(1.0, |reported_at| (now - reported_at).seconds() / REPORT_STALE_S);
                let max_taken = age.clamp(0.0, 1.0) * (1.0 - 1.0 / self.policy.controller_count());
                let taken_by_others = max_taken * self.random.uniform(0.0, 1.0);
                let zone_weight = if self.streamers[holder].is_near { 1.0 } else { CROSS_ZONE_WEIGHT };
                let order_weight = if self.streamers[holder].is_deferred { DEFERRED_WEIGHT } else { 1.0 };
                let weight = zone_weight * order_weight;
                let sharing = self.sharing_viewers(slot, holder, rung);
                let phi = 1.0 / ((sharing + 1.0) * capacity * (1.0 - taken_by_others) * weight);
                if capacity >= 1.0 && preferred.is_some_and(|(preferred, _)| preferred == holder) {
                    preferred_phi = Some(phi);
                }
                if capacity >= 1.0 && best.is_none_or(|(least, _)| phi < least) {
                    best = Some((phi, holder));
                }
            }
            if best.is_some() {
                break;
            }
        }
        let (best_phi, best) = best?;
        let is_kept = |(holder, chosen_at): (usize, Point), phi: f64| {
            let reported_since = self.streamers[holder].link.reported_at.is_some_and(|t| t > chosen_at);
            !reported_since || best_phi >= phi * (1.0 - HOLDER_SWITCH_RATIO)
        };
        let kept = preferred.zip(preferred_phi).filter(|(preferred, phi)| is_kept(*preferred, *phi));
        Some(kept.map_or(best, |((holder, _), _)| holder))
    }

    /// Whether a streamer can get an attempt of this session at all; `careful` leaves out suspect streamers and
    /// the one of the previous attempt.
    fn is_eligible(&self, now: Point, slot: usize, streamer_index: usize, careful: bool) -> bool {
        let session = &self.sessions[slot];
        let streamer = &self.streamers[streamer_index];
        let tried_before = session.attempts > 0 && session.streamer == streamer_index;
        let log_odds = streamer.failure_log_odds_now(now) + streamer.peer_log_odds_now(now);
        let at_most_once = self.classes[session.class].at_most_once;
        let is_suspect = log_odds >= if at_most_once { SUSPECT_LOG_ODDS / 2.0 } else { SUSPECT_LOG_ODDS };
        let is_healthy = log_odds < EXCLUDED_LOG_ODDS && !(careful && (tried_before || is_suspect));
        streamer.is_ready
            && is_healthy
            && now >= streamer.full_until
            && streamer.turn_allows_send(&self.policy, now)
    }

    /// The highest rung whose every step earns this part of the fleet's price; the middle of the ladder while no
    /// price is known.
    fn fair_rung(&self, slot: usize, price_part: f64) -> usize {
        let session = &self.sessions[slot];
        let Some(price) = self.fleet.price_per_kb else {
            return (self.ladder.rates_kb_per_s.len() / 2).min(session.max_rung).max(session.min_rung);
        };
        let worthwhile = (session.min_rung + 1..=session.max_rung)
            .take_while(|rung| self.step_cost_and_gain(session, *rung).1 >= price * price_part);
        worthwhile.last().unwrap_or(session.min_rung)
    }

    /// Estimates the utilization of the fleet, which it returns, and its price: the gain per kB that a step to a higher
    /// rung must earn. It calculates, without changing rungs, which upgrades of the own sessions fit, best steps
    /// first, into the rate that the fleet leaves them; the price is that of the first step beyond it, or 0 where all steps are within it.
    fn estimate_fleet(&mut self, now: Point) -> f64 {
        let own_kb: f64 = self.streamers.iter().map(|(_, s)| s.own_rate_kb).sum();
        let lifetime = self.policy.report_lifetime();
        let ready = || self.streamers.iter().filter(|(_, s)| s.is_ready).map(|(index, _)| index);
        let has_report =
            |index: &usize| self.streamers[*index].link.reported_at.is_some_and(|t| now - t < lifetime);
        let links_kb: f64 = ready().map(|index| self.streamers[index].link.capacity_kb).sum();
        let reporting_kb: f64 =
            ready().filter(has_report).map(|index| self.streamers[index].link.capacity_kb).sum();
        self.fleet.reporting_share = reporting_kb / links_kb.max(1e-9);
        let (mut weight_sum, mut link_sum, mut bottleneck_sum) = (1e-9, 0.0, 0.0);
        let (mut uplink_weight_sum, mut uplink_sum) = (0.0, 0.0);
        for index in ready().filter(has_report) {
            let utilization = self.streamers[index].link.utilization().max(0.05);
            // A controller that gets reports from a small part of the fleet gets them from crowded streamers
            // more often, so these weigh less.
            let weight =
                self.streamers[index].link.capacity_kb / utilization.powf(1.0 - self.fleet.reporting_share);
            weight_sum += weight;
            link_sum += weight * utilization;
            let uplink = self.reported_uplink_utilization(now, index);
            bottleneck_sum += weight * utilization.max(uplink.unwrap_or(0.0));
            uplink_sum += uplink.map_or(0.0, |utilization| weight * utilization);
            uplink_weight_sum += uplink.map_or(0.0, |_| weight);
        }
        let racks_kb: f64 = self.racks.iter().map(|rack| rack.capacity_kb).sum();
        let capacity_kb = if racks_kb > 0.0 { links_kb.min(racks_kb) } else { links_kb }.max(1e-9);
        // While few streamers report, the other controllers are assumed to use as much as this one.
        let assumed = own_kb * self.policy.controller_count() / capacity_kb;
        let reports = ready().filter(has_report).count() as f64;
        let trust = reports / (reports + 1.0);
        // Reports are of a past moment. Since then the other controllers are assumed to have grown like this one,
        // the more so the more sessions it has. Otherwise a burst overloads the links, and afterwards half of
        // them stays unused.
        let report_age = get_span(&self.policy.settings, "notes.age")
            + get_span(&self.policy.settings, "notes.every") * 0.5;
        self.fleet.own_rate_at_report += (own_kb - self.fleet.own_rate_at_report)
            * (TICK_INTERVAL.seconds() / report_age.seconds().max(1e-9)).min(1.0);
        let session_count = self.sessions.len() as f64;
        let others_share = 1.0 - 1.0 / self.policy.controller_count();
        // A controller that started recently is catching up: until it has most of its even share, growth counts
        // as its own. Otherwise it would assume that the whole fleet grows.
        let catch_up_kb =
            trust * link_sum / weight_sum * links_kb / self.policy.controller_count() * CATCH_UP_RATIO;
        let started_recently = now - self.policy.started_at < get_span(&self.policy.settings, "cold.span");
        let past_kb = if started_recently {
            self.fleet.own_rate_at_report.max(own_kb.min(catch_up_kb))
        } else {
            self.fleet.own_rate_at_report
        };
        let growth = (own_kb / past_kb.max(1e-9))
            .clamp(0.5, 2.0)
            .powf(others_share * session_count / (session_count + PRIOR_COUNT));
        self.fleet.growth_since_report = (growth - 1.0).max(0.0);
        let (bottleneck_sum, link_sum) = (bottleneck_sum * growth, link_sum * growth);
        let utilization = trust * bottleneck_sum / weight_sum + (1.0 - trust) * assumed;
        self.fleet.mean_uplink_utilization =
            (uplink_weight_sum > 0.0).then(|| uplink_sum / uplink_weight_sum);
        self.fleet.mean_utilization =
            trust * link_sum / weight_sum + (1.0 - trust) * assumed * capacity_kb / links_kb.max(1e-9);
        if own_kb <= 0.0 || utilization <= 0.0 {
            return utilization;
        }
        let mut left_kb = own_kb * (TARGET_UTILIZATION / utilization).clamp(0.4, 40.0);
        let mut steps = Vec::new();
        for (_, session) in self.sessions.iter().filter(|(_, s)| s.is_placed()) {
            left_kb -= self.rate(session.class, session.min_rung) * self.shared_rate_part(session);
            steps.extend(
                (session.min_rung + 1..=session.max_rung).map(|rung| self.step_cost_and_gain(session, rung)),
            );
        }
        steps.sort_by(|a, b| b.1.total_cmp(&a.1));
        let exceeds_rate = |(kb, _): &&(f64, f64)| {
            left_kb -= kb;
            left_kb < 0.0
        };
        let price = steps.iter().find(exceeds_rate).map_or(0.0, |step| step.1);
        let smoothing = PRICE_SMOOTHING.max(1.0 - trust);
        self.fleet.price_per_kb =
            Some(self.fleet.price_per_kb.map_or(price, |known| known + smoothing * (price - known)));
        utilization
    }

    /// Whether one more attempt of a session with so many keeps the retry budget in the window that ends now.
    fn within_retry_budget(&self, now: Point, attempts: u32) -> bool {
        let (Some(share), true) = (get_number(&self.policy.settings, "ration.share"), attempts > 0) else {
            return true;
        };
        let min_retries = self.policy.number_or("ration.floor", 0.0);
        let window = get_span(&self.policy.settings, "ration.window");
        let retries = self.recent_retries.iter().filter(|t| now - **t <= window).count() as f64;
        let requests = self.recent_requests.iter().filter(|t| now - **t < window).count() as f64;
        retries + 1.0 <= min_retries + share * requests
    }

    /// Whether another attempt of a session is within its deadline and all limits.
    fn has_attempts_left(&self, now: Point, session: &Session) -> bool {
        now < session.deadline
            && session.attempts < self.policy.max_attempts()
            && self.within_retry_budget(now, session.attempts)
    }

    /// Gives a session its final answer: rejected where the rules of its class allow it, else failed.
    fn reject_or_fail(&mut self, slot: usize) {
        let session = self.sessions.remove(slot);
        if session.may_have_run && self.classes[session.class].at_most_once {
            self.actions.failed.push(session.id);
        } else {
            self.actions.rejected.push((session.id, self.retry_after()));
        }
    }

    /// After how long a rejected viewer should retry, also one that the caller rejects by itself.
    pub fn retry_after(&self) -> Option<Span> {
        let longest = get_span(&self.policy.settings, "retry_after.longest");
        (get_flag(&self.policy.settings, "retry_after.allowed") && longest > Span::ZERO).then_some(longest)
    }

    /// Applies a streamer's report of its load; a new value moves the known utilization of the link by `weight`.
    fn apply_load(&mut self, now: Point, streamer_index: usize, load: Load, age: Span, weight: f64) {
        let Some(streamer) = self.streamers.get_mut(streamer_index) else { return };
        let measured_at = now - age;
        if let Some(utilization) = load.link_utilization {
            streamer.link.apply_report(measured_at, utilization, weight);
        }
        if let Some(utilization) = load.uplink_utilization {
            self.racks[streamer.rack].apply_report(measured_at, utilization, 1.0);
        }
        if let Some(streams) = load.streams {
            (streamer.streams, streamer.streams_reported_at) = (Some(streams), now);
        }
        self.downgrade_sessions(
            now,
            streamer_index,
            measured_at,
            self.streamers[streamer_index]
                .link
                .utilization()
                .max(self.uplink_utilization(now, streamer_index)),
        );
    }

    /// Downgrades sessions at an overloaded streamer. Each controller reduces its own rate there by the same
    /// share, steps with the least gain per kB first; a step larger than what is still missing is taken with a probability in
    /// proportion, so that all controllers together free what is missing. Otherwise hundreds of controllers take
    /// a whole step each for one small need.
    fn downgrade_sessions(
        &mut self,
        now: Point,
        streamer_index: usize,
        measured_at: Point,
        utilization: f64,
    ) {
        if utilization <= DOWNGRADE_UTILIZATION || measured_at <= self.streamers[streamer_index].last_adjusted
        {
            return;
        }
        self.streamers[streamer_index].last_adjusted = now;
        let mut missing_kb = self.streamers[streamer_index].own_rate_kb * (1.0 - 1.0 / utilization);
        while missing_kb > 0.0 {
            let can_step =
                |s: &Session| s.is_playing_at(streamer_index) && s.rung > s.min_rung && s.changed_at < now;
            let gain_per_kb = |s: &Session| self.step_cost_and_gain(s, s.rung).1;
            let candidates = self.sessions.iter().filter(|(_, s)| can_step(s));
            let cheapest = candidates.min_by(|a, b| gain_per_kb(a.1).total_cmp(&gain_per_kb(b.1)));
            let Some((slot, session)) = cheapest else { return };
            let (step_kb, rung) = (self.step_cost_and_gain(session, session.rung).0, session.rung - 1);
            let step_kb = step_kb * (1.0 + self.sharing_viewers(slot, streamer_index, rung + 1));
            if self.random.uniform(0.0, step_kb) < missing_kb {
                self.set_shared_rung(now, slot, rung);
            }
            missing_kb -= step_kb;
        }
    }

    /// Sets the rung of a session and of all own sessions that share its stream and can use that rung: a session
    /// that changes alone opens a second stream, and the link carries more.
    fn set_shared_rung(&mut self, now: Point, slot: usize, rung: usize) {
        let (old_rung, streamer_index) = (self.sessions[slot].rung, self.sessions[slot].streamer);
        let follows = |(_, s): &(usize, &Session)| {
            s.is_playing_at(streamer_index) && s.rung == old_rung && s.max_rung >= rung
        };
        let followers: Vec<usize> =
            self.sharing_sessions(&self.sessions[slot]).filter(follows).map(|(slot, _)| slot).collect();
        for slot in std::iter::once(slot).chain(followers) {
            self.set_rung(now, slot, rung);
        }
    }

    fn set_rung(&mut self, now: Point, slot: usize, rung: usize) {
        let delay_s = self.random.uniform(MIN_UPGRADE_DELAY_S, MAX_UPGRADE_DELAY_S);
        let (streamer_index, old_rung) = (self.sessions[slot].streamer, self.sessions[slot].rung);
        let old_load = self.added_load(slot, streamer_index, old_rung);
        let new_load = self.added_load(slot, streamer_index, rung);
        let session = &mut self.sessions[slot];
        session.upgrade_not_before =
            now + Span::of(if rung > old_rung { MAX_UPGRADE_DELAY_S } else { delay_s });
        (session.rung, session.changed_at) = (rung, now);
        self.actions.rung_changes.push((session.id, rung));
        self.record_change(now, streamer_index, new_load.0 - old_load.0, new_load.1 - old_load.1);
    }

    /// A probe of a streamer finished, with its load or, where it failed, without; sessions that waited for it go on.
    pub fn probe_finished(&mut self, now: Point, streamer: &str, succeeded: bool, load: Load) {
        let Some(streamer_index) = self.by_name.get(streamer).copied() else { return };
        if !succeeded {
            self.streamers[streamer_index].add_evidence(now, FAILURE_LOG_ODDS);
        }
        self.streamers[streamer_index].last_probed = now;
        self.apply_load(now, streamer_index, load, ANSWER_LOAD_AGE, 1.0);
        self.place_waiting(now, |s| s.streamer == streamer_index);
    }

    /// Sets how far reports of other controllers that a streamer fails are believed, from 0 to 1. This adds to the
    /// sequential test and never excludes a streamer by itself: it is used after all others.
    pub fn set_peer_suspicion(&mut self, now: Point, streamer: &str, weight: f64) {
        let known = self.by_name.get(streamer).filter(|_| weight.is_finite());
        if let Some(streamer) = known.map(|index| &mut self.streamers[*index]) {
            (streamer.peer_log_odds, streamer.peer_log_odds_at) =
                (MAX_PEER_LOG_ODDS * weight.clamp(0.0, 1.0), now);
        }
    }

    /// Sets whether this instance is among those that use a streamer first, where holders are nearly equal.
    pub fn set_preferred(&mut self, streamer: &str, preferred: bool) {
        let known = self.by_name.get(streamer);
        known.into_iter().for_each(|index| self.streamers[*index].is_deferred = !preferred);
    }

    /// This instance also takes the turns of missing controllers at cold streamers, until that moment; without
    /// `own` it does not take its own.
    pub fn cover_turns(&mut self, own: bool, missing: &[u32], until: Point) {
        self.policy.covered_turns =
            CoveredTurns { own_turns_lost: !own, missing_controllers: missing.to_vec(), until };
    }

    /// Places the waiting sessions that match, as after a probe.
    fn place_waiting(&mut self, now: Point, matches: impl Fn(&Session) -> bool) {
        for slot in 0..self.sessions.capacity() {
            if self.sessions.get(slot).is_some_and(|s| s.state == SessionState::Waiting && matches(s)) {
                self.place_session(now, slot);
            }
        }
    }

    /// Periodic work: requests the list, estimates the load of the fleet, upgrades sessions where there is spare
    /// rate, and removes what is out of use.
    pub fn tick(&mut self, now: Point) {
        if now < self.next_tick_at {
            return;
        }
        self.schedule_tick(now);
        // Where no answer comes, the list is requested again within the time that the rules allow.
        if self.list_polling.next_request_at.is_some_and(|due| due <= now) {
            self.actions.request_list = true;
            let due = Some(
                now + get_span(&self.policy.settings, "list.ask_within") * (1.0 - LIST_REQUEST_TIME_RATIO),
            );
            self.list_polling =
                ListPolling { next_request_at: due, awaits_answer: true, ..self.list_polling };
        }
        self.place_waiting(now, |s| now - s.changed_at >= TICK_INTERVAL);
        let window = get_span(&self.policy.settings, "ration.window");
        self.recent_requests.retain(|t| now - *t <= window);
        self.recent_retries.retain(|t| now - *t <= window);
        // Adopted sessions can need more than the fleet has: until a first price is known, sessions are downgraded
        // by this estimate, before the first load reports, which come late. It counts as far as own sessions
        // outnumber the controllers: otherwise a controller with more viewers than others downgrades in an empty
        // fleet.
        let (no_price_yet, session_count) = (self.fleet.price_per_kb.is_none(), self.sessions.len() as f64);
        let utilization =
            self.estimate_fleet(now) * session_count / (session_count + self.policy.controller_count());
        for index in 0..self.streamers.capacity() {
            if self.streamers.contains(index) {
                self.downgrade_sessions(now, index, now, if no_price_yet { utilization } else { 0.0 });
                self.upgrade_sessions(now, index);
            }
        }
        self.remove_unused(now);
    }

    /// Upgrades own sessions at a streamer into their part of its spare rate, in proportion to the rate that they
    /// use: once for each load report, best steps first. A step larger than what is left of that part is taken
    /// with a probability in proportion.
    fn upgrade_sessions(&mut self, now: Point, streamer_index: usize) {
        let streamer = &self.streamers[streamer_index];
        let is_used_up = |reported_at| {
            now - reported_at > self.policy.report_lifetime() || reported_at <= streamer.last_adjusted
        };
        // Where load is never reported, the own records decide. Otherwise all sessions stay at their first rung.
        let by_own_records =
            !self.policy.load_is_reported() && now - streamer.last_adjusted > Span::of(MAX_UPGRADE_DELAY_S);
        if !by_own_records && streamer.link.reported_at.is_none_or(is_used_up) {
            return;
        }
        let utilization = self
            .link_utilization(now, streamer_index)
            .max(self.uplink_utilization(now, streamer_index))
            .max(0.02);
        // Spare rate of which few controllers get reports is not used up by new sessions: there upgrades need
        // earn only a part of the price.
        let price_part =
            1.0 - (1.0 - self.fleet.reporting_share) * (1.0 - utilization / TARGET_UTILIZATION).max(0.0);
        let mut spare_kb = streamer.own_rate_kb
            * (TARGET_UTILIZATION * self.warm_up_part(now, streamer_index) / utilization - 1.0);
        while spare_kb > 0.0 {
            let next_step = |s: &Session| self.step_cost_and_gain(s, s.rung + 1);
            let rested = self
                .sessions
                .iter()
                .filter(|(_, s)| s.is_playing_at(streamer_index) && now >= s.upgrade_not_before);
            let candidates = rested.filter(|(slot, s)| s.rung < self.fair_rung(*slot, price_part));
            let best = candidates.max_by(|a, b| next_step(a.1).1.total_cmp(&next_step(b.1).1));
            let Some((slot, session)) = best else { return };
            let (step_kb, rung) = (
                next_step(session).0 * (1.0 + self.sharing_viewers(slot, streamer_index, session.rung)),
                session.rung + 1,
            );
            self.streamers[streamer_index].last_adjusted = now;
            if self.random.uniform(0.0, step_kb) < spare_kb {
                self.set_shared_rung(now, slot, rung);
            }
            spare_kb -= step_kb;
        }
    }
}
