//! The driver: turns events into calls of the decision module, and the module's decisions into effects.
//! It reports the outcome of each attempt to the module: an attempt that was never handed to a socket cannot have run,
//! one that was handed over may have run unless the streamer refused it.

mod attempts;

use super::links::{Link, LinkAction, QueuedMessage};
use super::{
    seconds, AbandonedAttempt, Connection, Coordination, CoordinationSettings, Evidence, FleetStatus,
    RecentViewers,
};
use lemontide::clock::{Point, Span};
use lemontide::control::{Controller, SessionHandle};
use lemontide::interface::{
    AttemptOutcome, ControllerSettings, Load, NewAttempt, StreamerEntry, StreamerState,
};
use lemontide::log_values::Logged;
use lemontide_shed::concurrency::ConcurrencyLimit;
use lemontide_wire::cmcd::Cmcd;
use lemontide_wire::cmsd::CmsdDynamic;
use lemontide_wire::link::{
    Cancel, ControllerMessage, How, Look, Ping, SetRung, SetUp, StreamerMessage, Why,
};
use lemontide_wire::list::{self, StreamerList};
use lemontide_wire::play::{EndReason, PlayRequest, PlayResponse, SessionEvent};
use lemontide_wire::tap::{self, ResponseKind, TapEvent};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};

/// Part of a viewer's time limit that is reserved, so that the final response arrives before the viewer leaves.
const RESPONSE_MARGIN: Span = Span::of_millis(40);
/// Interval between two checks of all links.
const LINK_CHECK_INTERVAL: Span = Span::of_millis(100);

/// The operators' settings that the driver itself needs; those of the decision module are in `ControllerSettings`.
#[derive(Clone, Debug, Default)]
pub struct DriverSettings {
    /// Name of each class, and the time after which its viewers leave.
    pub classes: Vec<(String, Span)>,
    /// First cell of each title, and the number of cells in a row that hold it.
    pub titles: HashMap<String, (usize, usize)>,
    /// Rates of the rungs in kB per second.
    pub ladder_kb_per_s: Vec<f64>,
    /// Factor on these rates for each class.
    pub class_rate_scales: Vec<f64>,
    /// Limit of one attempt to connect to a streamer.
    pub dial_timeout: Span,
    /// Limit of the answer to a probe.
    pub probe_timeout: Span,
    /// Highest number of sessions, waiting or playing.
    pub max_sessions: usize,
    /// Limits the concurrent set-ups of each streamer by its response times.
    pub limit_set_ups: bool,
    /// Coordination with other controllers, if the settings contain it.
    pub coordination: Option<CoordinationSettings>,
    /// Number of cells of the fleet.
    pub cell_count: usize,
}

/// Something that the caller has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// The final response to a request.
    Response {
        id: u32,
        response: PlayResponse,
        /// Highest bitrate suggested to the player, in kbit/s.
        suggested_kbps: Option<u64>,
        /// Whether the server is under duress: true unless the session plays.
        duress: bool,
        /// Index of its class.
        class: usize,
        /// Number of attempts made for it.
        attempts: u32,
    },
    /// An event of a playing session, for its player.
    SessionEvent { id: u32, event: SessionEvent },
    /// Connect to a streamer.
    Dial { streamer_index: usize, dial: u64, streamer: String, address: String },
    /// Write these messages to the connection of that dial.
    Write { streamer_index: usize, dial: u64, messages: Vec<QueuedMessage> },
    /// Close the connection of that dial.
    CloseConnection { streamer_index: usize, dial: u64 },
    /// An attempt or a connection to a streamer succeeded or failed, which gossip passes on to other controllers.
    StreamerObserved { streamer: String, succeeded: bool },
    /// Record this event in the tap.
    Tap(TapEvent),
}

/// Why a request was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitError {
    UnknownTitle,
    UnknownClass,
    /// The number of sessions has reached its limit, the id is in use, or the controller is stopping.
    Closed,
    /// The controller is near its own limits: the viewer can try again after this time.
    Overloaded {
        retry_after: Span,
    },
}

/// An attempt that has not ended.
struct PendingAttempt {
    number: u32,
    /// Latest moment for the streamer's response.
    deadline: Point,
    /// Latest moment for its first byte to be written.
    not_after: Point,
    /// When it was handed to the socket: from then on it may have run.
    sent_at: Option<Point>,
    /// Set once it is abandoned: the next attempt waits for proof that this one is over.
    abandoned: Option<AbandonedAttempt>,
}

/// A request that waits for its response, or the playing session that it became.
pub struct Session {
    handle: SessionHandle,
    /// Id that the player gave to the request.
    pub request_id: String,
    title: String,
    class: usize,
    /// Latest moment for the final response.
    deadline: Point,
    /// Streamer of the last attempt, `usize::MAX` before the first one.
    streamer_index: usize,
    pub rung: usize,
    attempt_count: u32,
    attempt: Option<PendingAttempt>,
    pub playing: bool,
    viewer_left: bool,
    last_outcome: Option<AttemptOutcome>,
}

/// A streamer that the list names or has named.
struct KnownStreamer {
    entry: list::ListEntry,
    /// Start time that its last welcome message gave, in seconds.
    welcome_started_at_s: Option<f64>,
    link: Link,
    /// Nonce and deadline of the probe that awaits an answer.
    probe: Option<(u64, Point)>,
}

/// Drives the decision module without I/O.
pub struct Driver {
    module: Controller,
    settings: DriverSettings,
    /// A streamer's index is also the number of its link, and stays the same.
    streamers: Vec<KnownStreamer>,
    index_by_name: HashMap<String, usize>,
    /// Number of lists received.
    list_revision: u64,
    /// Ordered by id, so that the same events give the same effects in the same order.
    sessions: BTreeMap<u32, Session>,
    /// Deadlines of attempts: moment, id of the session and number of the attempt.
    deadlines: BinaryHeap<Reverse<(Point, u32, u32)>>,
    next_module_tick: Option<Point>,
    links_checked_at: Point,
    recent_viewers: RecentViewers,
    coordination: Option<Coordination>,
    random: StdRng,
    last_nonce: u64,
    stopping: bool,
    /// What the caller has to do next.
    pub effects: Vec<Effect>,
    /// Number of accepted requests.
    pub accepted_count: u64,
    /// Number of final responses of each kind: playing, rejected, failed.
    pub response_counts: [u64; 3],
}

impl Driver {
    /// Creates a driver that knows no streamers yet.
    pub fn new(
        now: Point,
        seed: u64,
        module_settings: &ControllerSettings,
        settings: DriverSettings,
    ) -> Driver {
        Driver {
            module: Controller::new(now, seed, module_settings),
            coordination: settings
                .coordination
                .as_ref()
                .and_then(|coordination| Coordination::new(now, coordination)),
            settings,
            streamers: Vec::new(),
            index_by_name: HashMap::new(),
            list_revision: 0,
            sessions: BTreeMap::new(),
            deadlines: BinaryHeap::new(),
            next_module_tick: None,
            links_checked_at: now,
            recent_viewers: RecentViewers::default(),
            random: StdRng::seed_from_u64(seed),
            last_nonce: 0,
            stopping: false,
            effects: Vec::new(),
            accepted_count: 0,
            response_counts: [0; 3],
        }
    }

    /// When `tick` has to be called next.
    pub fn next_tick_at(&self) -> Point {
        let next_deadline = self.deadlines.peek().map(|Reverse((deadline, ..))| *deadline);
        let next_link_check = self.links_checked_at + LINK_CHECK_INTERVAL;
        [next_deadline, self.next_module_tick].into_iter().flatten().fold(next_link_check, Point::min)
    }

    /// Number of sessions, waiting or playing.
    pub fn session_count(&self) -> usize {
        self.sessions.len()
    }

    /// Number of sessions that play.
    pub fn playing_count(&self) -> usize {
        self.sessions.values().filter(|session| session.playing).count()
    }

    /// Number of streamers with an established connection.
    pub fn links_up(&self) -> usize {
        self.streamers.iter().filter(|known| known.link.is_up()).count()
    }

    /// Number of streamers that the list names or has named.
    pub fn streamer_count(&self) -> usize {
        self.streamers.len()
    }

    /// Applies a complete list: a streamer that it does not contain is removed. Set-ups that wait to be written to a
    /// draining or removed streamer are withdrawn at once and placed again.
    pub fn update_list(&mut self, now: Point, list: &StreamerList) {
        self.list_revision += 1;
        let mut is_missing: Vec<bool> = vec![true; self.streamers.len()];
        for entry in &list.streamers {
            let streamer_index =
                self.index_by_name.get(&entry.streamer).copied().unwrap_or(self.streamers.len());
            if streamer_index == self.streamers.len() {
                self.index_by_name.insert(entry.streamer.clone(), streamer_index);
                let mut link = Link::new(now);
                link.set_up_limit = self.settings.limit_set_ups.then(|| ConcurrencyLimit::new(now));
                // With coordination a link is dialled when something needs it, not all links when the list arrives.
                link.idle_since = self.coordination.as_ref().map(|_| now);
                let known =
                    KnownStreamer { entry: entry.clone(), welcome_started_at_s: None, link, probe: None };
                self.streamers.push(known);
                is_missing.push(false);
                self.record_list_change(entry.clone());
                continue;
            }
            is_missing[streamer_index] = false;
            let previous = std::mem::replace(&mut self.streamers[streamer_index].entry, entry.clone());
            if (previous.state, previous.started_at) != (entry.state, entry.started_at) {
                self.record_list_change(entry.clone());
            }
            if previous.address != entry.address {
                // The list no longer names the process at the old address, so its streams are over.
                self.close_link(now, streamer_index);
            }
        }
        for streamer_index in (0..is_missing.len()).filter(|streamer_index| is_missing[*streamer_index]) {
            if self.streamers[streamer_index].entry.state != list::StreamerState::Gone {
                self.streamers[streamer_index].entry.state = list::StreamerState::Gone;
                self.record_list_change(self.streamers[streamer_index].entry.clone());
            }
        }
        let entries: Vec<StreamerEntry> = self.streamers.iter().map(KnownStreamer::module_entry).collect();
        self.module.update_list(now, &entries, true);
        self.apply_actions(now);
        for streamer_index in 0..self.streamers.len() {
            let state = self.streamers[streamer_index].entry.state;
            self.streamers[streamer_index].link.is_listed = state != list::StreamerState::Gone;
            if state != list::StreamerState::Ready {
                let withdrawn = self.streamers[streamer_index].link.withdraw_set_ups();
                self.end_unsent_attempts(now, streamer_index, withdrawn, AttemptOutcome::NotSent);
            }
        }
        self.check_links(now, Span::ZERO);
        self.apply_actions(now);
    }

    /// Records a new state of a streamer in the tap.
    fn record_list_change(&mut self, entry: list::ListEntry) {
        let event = TapEvent::ListChangeReceived {
            streamer: entry.streamer,
            state: entry.state,
            started_at: entry.started_at,
        };
        self.effects.push(Effect::Tap(event));
    }

    /// Submits a request that arrived at `requested_at`. Exactly one `Response` with its id follows, unless an error is
    /// returned or the viewer leaves before.
    pub fn submit(
        &mut self,
        now: Point,
        requested_at: Point,
        id: u32,
        request: &PlayRequest,
        cmcd: &Cmcd,
    ) -> Result<(), SubmitError> {
        let Some(class) = self.settings.classes.iter().position(|(name, _)| *name == request.class) else {
            return Err(SubmitError::UnknownClass);
        };
        let Some((first_cell, replicas)) = self.settings.titles.get(&request.title).copied() else {
            return Err(SubmitError::UnknownTitle);
        };
        if self.stopping
            || self.sessions.len() >= self.settings.max_sessions
            || self.sessions.contains_key(&id)
        {
            return Err(SubmitError::Closed);
        }
        let time_limit = request.give_up_in_s.filter(|s| s.is_finite()).map_or(Span::of(1e6), Span::of);
        let viewer_leaves_at = requested_at + time_limit.min(self.settings.classes[class].1);
        let seen_before =
            cmcd.session_id.as_ref().is_some_and(|session| self.recent_viewers.record(now, session));
        let module_request = lemontide::interface::Request {
            id,
            class: &request.class,
            tenant: &request.tenant,
            title: &request.title,
            deadline: viewer_leaves_at - RESPONSE_MARGIN,
            first_cell,
            replicas,
            max_rung: self.max_rung(class, request, cmcd),
            is_retry: request.is_retry || seen_before,
            expected_duration: request.expected_duration_s.filter(|s| s.is_finite()).map(Span::of),
        };
        let class_name = request.class.clone();
        self.effects.push(Effect::Tap(TapEvent::RequestReceived {
            request_id: request.request_id.clone(),
            class: class_name,
            title: request.title.clone(),
            deadline: seconds(viewer_leaves_at),
        }));
        self.accepted_count += 1;
        if let Some(coordination) = &mut self.coordination {
            coordination.record_request(now);
        }
        let handle = self.module.submit(now, &module_request);
        let session = Session {
            handle,
            request_id: request.request_id.clone(),
            title: request.title.clone(),
            class,
            deadline: module_request.deadline,
            streamer_index: usize::MAX,
            rung: 0,
            attempt_count: 0,
            attempt: None,
            playing: false,
            viewer_left: false,
            last_outcome: None,
        };
        self.sessions.insert(id, session);
        self.apply_actions(now);
        Ok(())
    }

    /// The highest rung that a viewer can use: by its request, and by its player's CMCD on top bitrate and throughput.
    fn max_rung(&self, class: usize, request: &PlayRequest, cmcd: &Cmcd) -> usize {
        let highest = self.settings.ladder_kb_per_s.len().saturating_sub(1);
        let kbps_limit = [cmcd.top_kbps, cmcd.throughput_kbps].into_iter().flatten().min();
        let highest_within = |kbps: u64| {
            let fits = |rung: &usize| self.rate_kb(class, *rung) * 8.0 <= kbps as f64;
            (0..=highest).take_while(fits).last().unwrap_or(0)
        };
        request.max_rung.unwrap_or(highest).min(highest).min(kbps_limit.map_or(highest, highest_within))
    }

    /// Rate of a rung for this class, in kB per second.
    fn rate_kb(&self, class: usize, rung: usize) -> f64 {
        let kb = self.settings.ladder_kb_per_s.get(rung).copied().unwrap_or(0.0);
        kb * self.settings.class_rate_scales.get(class).copied().unwrap_or(1.0)
    }

    /// The viewer left, before or after the response.
    pub fn viewer_left(&mut self, now: Point, id: u32) {
        self.end_session(now, id, Why::Left, EndReason::ViewerLeft);
    }

    /// Ends the session with this id; returns whether there was one.
    fn end_session(&mut self, now: Point, id: u32, why: Why, reason: EndReason) -> bool {
        let Some(session) = self.sessions.get_mut(&id).filter(|session| !session.viewer_left) else {
            return false;
        };
        let (streamer_index, handle) = (session.streamer_index, session.handle);
        if session.playing {
            let attempt_number = session.attempt_count - 1;
            self.send(
                now,
                streamer_index,
                ControllerMessage::Cancel(Cancel { id, shot: attempt_number, why: why.into() }),
            );
            handle.attempt_ended(&mut self.module, now, AttemptOutcome::Cancelled, true, Load::default());
            self.sessions.remove(&id);
            self.effects.push(Effect::SessionEvent { id, event: SessionEvent::Ended { reason } });
            self.apply_actions(now);
            return true;
        }
        session.viewer_left = true;
        handle.viewer_left(&mut self.module);
        match &session.attempt {
            None => {
                self.sessions.remove(&id);
            }
            Some(attempt) if attempt.sent_at.is_none() => {
                let unsent = (id, attempt.number);
                self.streamers[streamer_index].link.withdraw(unsent);
                self.end_unsent_attempts(now, streamer_index, vec![unsent], AttemptOutcome::NotSent);
            }
            Some(attempt) => {
                let attempt_number = attempt.number;
                self.send(
                    now,
                    streamer_index,
                    ControllerMessage::Cancel(Cancel { id, shot: attempt_number, why: why.into() }),
                );
            }
        }
        self.apply_actions(now);
        true
    }

    /// The player ends a playing session; returns whether there was one.
    pub fn stop_playing(&mut self, now: Point, id: u32) -> bool {
        let playing = self.sessions.get(&id).is_some_and(|session| session.playing);
        playing && self.end_session(now, id, Why::Left, EndReason::ViewerLeft)
    }

    /// Current rung of a playing session, as the first event for a player that subscribes to its events.
    pub fn current_rung(&self, id: u32) -> Option<SessionEvent> {
        let session = self.sessions.get(&id).filter(|session| session.playing)?;
        Some(SessionEvent::RungChanged {
            rung: session.rung,
            rate_kb: self.rate_kb(session.class, session.rung),
        })
    }

    /// Whether new requests are refused because the controller stops.
    pub fn is_stopping(&self) -> bool {
        self.stopping
    }

    /// Accepts no more requests from now on.
    pub fn stop_accepting(&mut self) {
        self.stopping = true;
    }

    /// Ends all sessions: players of playing ones get an event, waiting requests their final response.
    pub fn end_all(&mut self, now: Point) {
        self.stopping = true;
        let ids: Vec<u32> = self.sessions.keys().copied().collect();
        for id in ids {
            if let Some(session) =
                self.sessions.get(&id).filter(|session| !session.playing && !session.viewer_left)
            {
                // It may have been set up or not: a failed request leaves that open.
                let (class, attempts) = (session.class, session.attempt_count);
                let response = PlayResponse::Failed { request_id: session.request_id.clone() };
                self.respond(id, response, class, attempts);
            }
            self.end_session(now, id, Why::Left, EndReason::Stopped);
        }
    }

    /// Passes on to the module the score, from 0 to 1, by which other controllers report each streamer as failing. The
    /// module decides what follows from it.
    pub fn update_peer_suspicions(&mut self, now: Point, suspicions: &[(String, f64)]) {
        for (streamer, suspicion) in suspicions {
            self.module.set_peer_suspicion(now, streamer, *suspicion);
        }
    }

    /// Applies which controllers run: for each number the moment since which no controller holds it, or none where one
    /// does. `lemontide_fleet` decides whose turns this controller then takes.
    pub fn update_membership(&mut self, now: Point, absent_since: &BTreeMap<u32, Option<Point>>) {
        let Some(coordination) = &mut self.coordination else { return };
        let (turns, tap_effect) = coordination.update_membership(now, absent_since);
        self.module.cover_turns(turns.has_own_turns, &turns.missing_controllers, turns.until);
        self.effects.extend(tap_effect);
    }

    /// This controller's view of the other controllers, for the operators.
    pub fn fleet_status(&self, now: Point) -> Option<FleetStatus> {
        self.coordination.as_ref().map(|coordination| coordination.status(now))
    }

    /// Updates which streamers are preferred, and closes links that nothing needs.
    fn apply_coordination(&mut self, now: Point) {
        let Some(coordination) = &mut self.coordination else { return };
        let (titles, entries) =
            (self.settings.titles.values().copied(), self.streamers.iter().map(|known| &known.entry));
        for (streamer_index, is_preferred) in
            coordination.update_subset(now, self.list_revision, titles, self.settings.cell_count, entries)
        {
            if let Some(known) = self.streamers.get(streamer_index as usize) {
                self.module.set_preferred(&known.entry.streamer, is_preferred);
            }
        }
        let mut is_needed = vec![false; self.streamers.len()];
        for session in self.sessions.values().filter(|session| session.playing || session.attempt.is_some()) {
            if let Some(is_needed) = is_needed.get_mut(session.streamer_index) {
                *is_needed = true;
            }
        }
        for (streamer_index, is_needed) in is_needed.into_iter().enumerate() {
            let known = &mut self.streamers[streamer_index];
            let is_needed = is_needed || known.probe.is_some();
            known.link.idle_since = known.link.idle_since.or(Some(now)).filter(|_| !is_needed);
            let idle_for = known.link.idle_since.map_or(Span::ZERO, |since| now - since);
            if known.link.is_up() && coordination.can_close(streamer_index, idle_for) {
                known.link.close_idle(now);
                known.link.withdraw_all();
                self.effects.push(Effect::CloseConnection { streamer_index, dial: known.link.dial });
            }
        }
    }

    /// Reports an outcome at a streamer for gossip, if it is evidence of the streamer's health.
    fn report_observation(&mut self, streamer_index: usize, outcome: AttemptOutcome) {
        let succeeded = match outcome {
            AttemptOutcome::Served => true,
            AttemptOutcome::Errored
            | AttemptOutcome::TimedOut
            | AttemptOutcome::NoConnection
            | AttemptOutcome::ConnectionLost => false,
            AttemptOutcome::Refused
            | AttemptOutcome::Cancelled
            | AttemptOutcome::NotSent
            | AttemptOutcome::Unknown => return,
        };
        if let Some(known) = self.streamers.get(streamer_index) {
            self.effects.push(Effect::StreamerObserved { streamer: known.entry.streamer.clone(), succeeded });
        }
    }

    // Reports of the links.

    /// A dial succeeded and the streamer's welcome gave its start time, in seconds.
    pub fn link_connected(&mut self, now: Point, streamer_index: usize, dial: u64, started_at_s: f64) {
        if !self.is_current(streamer_index, dial) {
            return;
        }
        let known = &mut self.streamers[streamer_index];
        known.link.connected(now);
        // A welcome often shows a restart before the list does: the streamer is cold from then on.
        if started_at_s.is_finite() && started_at_s > known.welcome_started_at_s.unwrap_or(0.0) {
            known.welcome_started_at_s = Some(started_at_s);
            let entry = known.module_entry();
            self.module.update_list(now, &[entry], false);
            self.apply_actions(now);
        }
        self.write_next_batch(now, streamer_index);
    }

    /// A connection or dial is over. `by_streamer` means that the streamer closed or reset it, which proves that the
    /// attempts on it are over.
    pub fn link_lost(&mut self, now: Point, streamer_index: usize, dial: u64, by_streamer: bool) {
        if self.is_current(streamer_index, dial) {
            self.disconnect(now, streamer_index);
        }
        if by_streamer {
            self.apply_evidence(
                now,
                Connection { link: streamer_index as u64, dial },
                Evidence::ClosedByStreamer,
            );
        }
        self.apply_actions(now);
    }

    /// Marks a link as down, and ends or abandons what was on it.
    fn disconnect(&mut self, now: Point, streamer_index: usize) {
        let was_up = self.streamers[streamer_index].link.is_up();
        let random = self.random.random::<f64>();
        self.streamers[streamer_index].link.disconnected(now, random);
        let waiting = self.streamers[streamer_index].link.withdraw_all();
        if let Some((_, deadline)) = &mut self.streamers[streamer_index].probe {
            *deadline = now;
        }
        if was_up {
            let streamer = self.streamers[streamer_index].entry.streamer.clone();
            tracing::info!(target: "link", streamer, waiting = waiting.len(), "lost");
            self.effects.push(Effect::Tap(TapEvent::LinkLost { streamer }));
            let awaits_outcome = |session: &Session| {
                session
                    .attempt
                    .as_ref()
                    .is_some_and(|attempt| attempt.sent_at.is_some() && attempt.abandoned.is_none())
            };
            let is_affected = |session: &Session| {
                session.streamer_index == streamer_index && (session.playing || awaits_outcome(session))
            };
            self.report_observation(streamer_index, AttemptOutcome::ConnectionLost);
            let affected: Vec<_> = self
                .sessions
                .iter()
                .filter(|(_, session)| is_affected(session))
                .map(|(id, session)| (*id, session.playing))
                .collect();
            for (id, playing) in affected {
                if playing {
                    self.attempt_ended(now, id, AttemptOutcome::ConnectionLost, Load::default());
                } else {
                    self.abandon_attempt(now, id, AttemptOutcome::ConnectionLost, None);
                }
            }
        }
        self.end_unsent_attempts(now, streamer_index, waiting, AttemptOutcome::NoConnection);
    }

    /// The messages of the last batch are written, except for these set-ups, which were too late: they never ran.
    pub fn batch_written(&mut self, now: Point, streamer_index: usize, dial: u64, unsent: Vec<(u32, u32)>) {
        if !self.is_current(streamer_index, dial) {
            return;
        }
        self.streamers[streamer_index].link.batch_written();
        self.end_unsent_attempts(now, streamer_index, unsent, AttemptOutcome::NotSent);
        self.apply_actions(now);
        self.write_next_batch(now, streamer_index);
    }

    /// A message of a streamer arrived.
    pub fn message_received(
        &mut self,
        now: Point,
        streamer_index: usize,
        dial: u64,
        message: StreamerMessage,
    ) {
        if !self.is_current(streamer_index, dial) {
            return;
        }
        self.streamers[streamer_index].link.message_received(now);
        match message {
            StreamerMessage::Plays(plays) => {
                let load = load(&plays.cmsd_dynamic);
                // Otherwise it belongs to an attempt that no longer awaits an outcome, whose cancel is already sent.
                let Some(session) = self.awaited_session(streamer_index, plays.id, plays.shot) else {
                    return;
                };
                let sent_at = session.attempt.take().and_then(|attempt| attempt.sent_at);
                session.playing = true;
                let (handle, request_id, rung, class) =
                    (session.handle, session.request_id.clone(), session.rung, session.class);
                self.effects.push(Effect::Tap(TapEvent::OutcomeReceived {
                    request_id: request_id.clone(),
                    attempt: plays.shot,
                    outcome: tap::TapOutcome::Served,
                }));
                handle.playing(&mut self.module, now);
                self.report_observation(streamer_index, AttemptOutcome::Served);
                self.set_up_ended(now, streamer_index, sent_at, AttemptOutcome::Served);
                if load.link_utilization.is_some() || load.uplink_utilization.is_some() {
                    handle.load_reported(&mut self.module, now, load);
                }
                if self.sessions.get(&plays.id).is_some_and(|session| session.viewer_left) {
                    // It played before the cancel arrived there: it is ended like any playing session.
                    let cancel = Cancel { id: plays.id, shot: plays.shot, why: Why::Left.into() };
                    self.send(now, streamer_index, ControllerMessage::Cancel(cancel));
                    self.attempt_ended(now, plays.id, AttemptOutcome::Cancelled, Load::default());
                } else {
                    let entry = &self.streamers[streamer_index].entry;
                    let response = PlayResponse::Plays {
                        request_id,
                        session: plays.id,
                        streamer: entry.streamer.clone(),
                        address: entry.address.clone(),
                        rung,
                        rate_kb: self.rate_kb(class, rung),
                    };
                    self.respond(plays.id, response, class, plays.shot + 1);
                }
            }
            StreamerMessage::Ended(ended) => {
                let (tap_outcome, outcome) = match ended.how() {
                    How::Served => (tap::TapOutcome::Served, AttemptOutcome::Served),
                    How::SentBack => (tap::TapOutcome::Refused, AttemptOutcome::Refused),
                    How::Cancelled => (tap::TapOutcome::Cancelled, AttemptOutcome::Cancelled),
                    How::Errored => (tap::TapOutcome::Errored, AttemptOutcome::Errored),
                    // A value that only newer streamers use: the attempt may have run.
                    How::Unspecified => (tap::TapOutcome::Errored, AttemptOutcome::Unknown),
                };
                let Some(session) =
                    self.sessions.get(&ended.id).filter(|session| session.streamer_index == streamer_index)
                else {
                    return;
                };
                let pending_number = session.attempt.as_ref().map(|attempt| attempt.number);
                let is_current = if session.playing {
                    session.attempt_count == ended.shot + 1
                } else {
                    pending_number == Some(ended.shot)
                };
                if !is_current {
                    return;
                }
                let request_id = session.request_id.clone();
                self.effects.push(Effect::Tap(TapEvent::OutcomeReceived {
                    request_id,
                    attempt: ended.shot,
                    outcome: tap_outcome,
                }));
                self.attempt_ended(now, ended.id, outcome, load(&ended.cmsd_dynamic));
            }
            StreamerMessage::Rung(rung) => {
                if let Some(handle) = self.playing_session_at(streamer_index, rung.id) {
                    handle.rung_reported(&mut self.module, now, rung.rung as usize);
                }
            }
            StreamerMessage::Short(short) => {
                if let Some(handle) =
                    self.playing_session_at(streamer_index, short.id).filter(|_| short.share.is_finite())
                {
                    handle.shortfall_reported(&mut self.module, now, short.share.clamp(0.0, 1.0));
                }
            }
            StreamerMessage::Fullness(fullness) => {
                if let Some(handle) = self.playing_session_at(streamer_index, fullness.id) {
                    handle.load_reported(&mut self.module, now, load(&fullness.cmsd_dynamic));
                }
            }
            StreamerMessage::Looked(response) => {
                let known = &mut self.streamers[streamer_index];
                if known.probe.is_some_and(|(nonce, _)| nonce == response.nonce) {
                    known.probe = None;
                    let name = known.entry.streamer.clone();
                    self.module.probe_finished(now, &name, true, load(&response.cmsd_dynamic));
                }
            }
            StreamerMessage::Pong(pong) => {
                let connection = Connection { link: streamer_index as u64, dial };
                self.apply_evidence(now, connection, Evidence::TestPassed { test: pong.nonce });
            }
            StreamerMessage::Welcome(_) => {}
        }
        self.apply_actions(now);
    }

    /// Periodic work, to be called when `next_tick_at` is due.
    pub fn tick(&mut self, now: Point) {
        if now - self.links_checked_at >= LINK_CHECK_INTERVAL {
            self.check_links(now, now - self.links_checked_at);
            self.apply_coordination(now);
            self.links_checked_at = now;
        }
        while let Some(Reverse((deadline, id, number))) =
            self.deadlines.peek().copied().filter(|next| next.0 .0 <= now)
        {
            self.deadlines.pop();
            debug_assert!(deadline <= now);
            self.check_attempt_deadline(now, id, number);
        }
        if self.next_module_tick.is_some_and(|tick_at| tick_at <= now) {
            self.next_module_tick = None;
            self.module.tick(now);
        }
        self.apply_actions(now);
    }

    /// Dials, pings or closes links as they need it, and ends overdue probes. `gap` is the time since the last check.
    fn check_links(&mut self, now: Point, gap: Span) {
        for streamer_index in 0..self.streamers.len() {
            let dial = self.streamers[streamer_index].link.dial;
            match self.streamers[streamer_index].link.check(now, gap) {
                LinkAction::None => {}
                LinkAction::Dial => self.dial(now, streamer_index),
                LinkAction::Ping => {
                    self.ping(now, streamer_index);
                }
                LinkAction::Close => {
                    self.effects.push(Effect::CloseConnection { streamer_index, dial });
                    self.link_lost(now, streamer_index, dial, false);
                }
            }
            let is_overdue =
                self.streamers[streamer_index].probe.is_some_and(|(_, deadline)| now >= deadline);
            if is_overdue {
                self.streamers[streamer_index].probe = None;
                let name = self.streamers[streamer_index].entry.streamer.clone();
                self.module.probe_finished(now, &name, false, Load::default());
            }
        }
    }

    fn dial(&mut self, now: Point, streamer_index: usize) {
        let dial = self.streamers[streamer_index].link.start_dial(now, self.settings.dial_timeout);
        let list::ListEntry { streamer, address, .. } = self.streamers[streamer_index].entry.clone();
        self.effects.push(Effect::Dial { streamer_index, dial, streamer, address });
    }

    /// Closes the connection of a link from this end.
    fn close_link(&mut self, now: Point, streamer_index: usize) {
        let dial = self.streamers[streamer_index].link.dial;
        self.effects.push(Effect::CloseConnection { streamer_index, dial });
        self.link_lost(now, streamer_index, dial, false);
    }

    /// Whether this is the dial that the link uses now.
    fn is_current(&self, streamer_index: usize, dial: u64) -> bool {
        let link = self.streamers.get(streamer_index).map(|known| &known.link);
        link.is_some_and(|link| link.dial == dial && (link.is_up() || link.is_dialling()))
    }

    /// Handle of a session that plays at this streamer.
    fn playing_session_at(&self, streamer_index: usize, id: u32) -> Option<SessionHandle> {
        self.sessions
            .get(&id)
            .filter(|session| session.playing && session.streamer_index == streamer_index)
            .map(|session| session.handle)
    }

    /// Queues a message other than a set-up. Where the link is down nothing is sent: the streamer ends what is on a
    /// connection with it.
    fn send(&mut self, now: Point, streamer_index: usize, message: ControllerMessage) {
        let Some(known) = self.streamers.get_mut(streamer_index).filter(|known| known.link.is_up()) else {
            return;
        };
        if !known.link.push(QueuedMessage { message, attempt: None, not_after: None }) {
            // Its queue is full. Without this message the streamer could keep streams that it should have ended.
            self.close_link(now, streamer_index);
        }
        self.write_next_batch(now, streamer_index);
    }

    /// Hands the next messages of a link to the I/O.
    fn write_next_batch(&mut self, now: Point, streamer_index: usize) {
        let Some(known) = self.streamers.get_mut(streamer_index) else { return };
        let messages = known.link.next_batch(now);
        if messages.is_empty() {
            return;
        }
        for (id, number) in messages.iter().filter_map(|queued| queued.attempt) {
            let attempt = self.sessions.get_mut(&id).and_then(|session| session.attempt.as_mut());
            if let Some(attempt) = attempt.filter(|attempt| attempt.number == number) {
                attempt.sent_at = Some(now);
                self.deadlines.push(Reverse((attempt.deadline, id, number)));
            }
        }
        let dial = self.streamers[streamer_index].link.dial;
        self.effects.push(Effect::Write { streamer_index, dial, messages });
    }

    /// Frees memory when it is short: drops half of the remembered viewers and, with `history`, unused capacity of
    /// queues. Sessions are kept.
    pub fn free_memory(&mut self, history: bool) {
        self.recent_viewers.shrink();
        if history {
            self.deadlines.shrink_to_fit();
            self.effects.shrink_to_fit();
        }
    }

    /// Name, concurrent set-ups and their limit for each streamer that has a limit, for the operators.
    pub fn set_ups_in_flight(&self) -> Vec<(String, usize, usize)> {
        let counts = |known: &KnownStreamer| {
            let set_up_limit = known.link.set_up_limit.as_ref()?;
            Some((known.entry.streamer.clone(), set_up_limit.in_flight(), set_up_limit.limit()))
        };
        self.streamers.iter().filter_map(counts).collect()
    }

    /// Carries out the module's actions, until none are left.
    fn apply_actions(&mut self, now: Point) {
        loop {
            let mut actions = std::mem::take(&mut self.module.actions);
            self.next_module_tick = actions.next_tick.or(self.next_module_tick);
            let is_done = actions == Default::default();
            for (id, rung) in actions.rung_changes.drain(..) {
                self.set_rung(now, id, rung);
            }
            for attempt in actions.attempts.drain(..) {
                self.start_attempt(now, &attempt);
            }
            for (id, retry_after) in actions.rejected.drain(..) {
                let Some(session) = self.sessions.remove(&id) else { continue };
                self.log_decision(now, "turned back", &session);
                let retry_after_s = retry_after.map(Span::seconds);
                let response = PlayResponse::Rejected { request_id: session.request_id, retry_after_s };
                self.respond(id, response, session.class, session.attempt_count);
            }
            for id in actions.failed.drain(..) {
                let Some(session) = self.sessions.remove(&id) else { continue };
                self.log_decision(now, "scrapped", &session);
                self.respond(
                    id,
                    PlayResponse::Failed { request_id: session.request_id },
                    session.class,
                    session.attempt_count,
                );
            }
            for id in actions.moved.drain(..) {
                self.end_session(now, id, Why::Moved, EndReason::Moved);
            }
            for streamer in actions.probes.drain(..) {
                self.send_probe(now, &streamer);
            }
            if is_done {
                return;
            }
        }
    }

    /// Writes one debug line per decision. The logged values of `verdict` are "shot", "turned back" and "scrapped".
    fn log_decision(&self, now: Point, verdict: &str, session: &Session) {
        tracing::debug!(
            target: "decision",
            ask = session.request_id,
            lane = self.settings.classes[session.class].0,
            title = session.title,
            verdict,
            shots = session.attempt_count,
            last_ending = ?Logged(session.last_outcome),
            left_s = (session.deadline - now).seconds(),
            in_hand = self.sessions.len(),
        );
    }

    /// Sends the final response to a request.
    fn respond(&mut self, id: u32, response: PlayResponse, class: usize, attempts: u32) {
        let (kind, kind_index, request_id) = match &response {
            PlayResponse::Plays { request_id, .. } => (ResponseKind::Plays, 0, request_id.clone()),
            PlayResponse::Rejected { request_id, .. } => (ResponseKind::Rejected, 1, request_id.clone()),
            PlayResponse::Failed { request_id } => (ResponseKind::Failed, 2, request_id.clone()),
            // Requests that were not accepted get their response from the caller of `submit`.
            PlayResponse::NotAccepted { .. } => return,
        };
        self.response_counts[kind_index] += 1;
        self.effects.push(Effect::Tap(TapEvent::ResponseSent { request_id, kind }));
        let suggested_kbps = match &response {
            PlayResponse::Plays { rate_kb, .. } => Some((rate_kb * 8.0).round() as u64),
            _ => None,
        };
        let duress = kind != ResponseKind::Plays;
        self.effects.push(Effect::Response { id, response, suggested_kbps, duress, class, attempts });
    }

    fn set_rung(&mut self, now: Point, id: u32, rung: usize) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        session.rung = rung;
        if !session.playing {
            return;
        }
        let (streamer_index, class) = (session.streamer_index, session.class);
        let rate_kb = self.rate_kb(class, rung);
        self.effects.push(Effect::SessionEvent { id, event: SessionEvent::RungChanged { rung, rate_kb } });
        let message = SetRung { id, rung: rung as u32, rate_kb: rate_kb.round() as u32 };
        self.send(now, streamer_index, ControllerMessage::SetRung(message));
    }

    /// Probes a streamer, unless a probe of it awaits its answer already.
    fn send_probe(&mut self, now: Point, streamer: &str) {
        let Some(streamer_index) = self.index_by_name.get(streamer).copied() else { return };
        if self.streamers[streamer_index].probe.is_some() {
            return;
        }
        if self.streamers[streamer_index].link.can_dial(now) {
            self.dial(now, streamer_index);
        }
        self.last_nonce += 1;
        let (nonce, deadline) = (self.last_nonce, now + self.settings.probe_timeout);
        self.streamers[streamer_index].probe = Some((nonce, deadline));
        let queued = QueuedMessage {
            message: ControllerMessage::Look(Look { nonce }),
            attempt: None,
            not_after: Some(deadline),
        };
        let link = &mut self.streamers[streamer_index].link;
        let is_possible = link.is_up() || link.is_dialling();
        if !is_possible || !link.push(queued) {
            // Reported at the next check of the links: a probe never fails within the call that requested it.
            self.streamers[streamer_index].probe = Some((nonce, now));
        }
        self.write_next_batch(now, streamer_index);
    }
}

impl KnownStreamer {
    /// The entry for the decision module, with the later start time of list and welcome.
    fn module_entry(&self) -> StreamerEntry {
        let started_at_s = self.entry.started_at.unwrap_or(0.0).max(self.welcome_started_at_s.unwrap_or(0.0));
        StreamerEntry {
            streamer: self.entry.streamer.clone(),
            zone: self.entry.zone.clone(),
            kind: self.entry.kind.clone(),
            cell: self.entry.cell,
            state: match self.entry.state {
                list::StreamerState::Ready => StreamerState::Ready,
                list::StreamerState::Draining => StreamerState::Draining,
                list::StreamerState::Gone => StreamerState::Gone,
            },
            weight: self.entry.weight,
            started_at: (started_at_s > 0.0).then(|| Point::at(started_at_s)),
        }
    }
}

/// The load report in a CMSD-Dynamic value; empty where there is none or it is not valid.
fn load(cmsd_dynamic: &str) -> Load {
    let Some(dynamic) = CmsdDynamic::parse(cmsd_dynamic) else { return Load::default() };
    let valid = |value: Option<f64>| value.filter(|v| v.is_finite() && *v >= 0.0);
    Load {
        streams: valid(dynamic.streams),
        link_utilization: valid(dynamic.link_utilization),
        uplink_utilization: valid(dynamic.uplink_utilization),
    }
}
