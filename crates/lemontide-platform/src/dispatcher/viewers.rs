//! The dispatcher's part of viewers: their connections, their set-ups, and the one answer that each request is owed.

use super::unanswered::{InputEnd, ANSWER_GRACE};
use super::*;

/// Maximum number of requests on one viewer connection that are owed an answer. Guards against hundreds at a time on
/// one: an ordinary connection carries a few, and about forty while no streamer responds.
const MAX_UNANSWERED_PER_CONNECTION: usize = 64;
/// Number of rejected session numbers that are remembered on each viewer connection. Guards against clients that send a
/// set-up again as soon as it is rejected: the platform gives every set-up a new number.
const REJECTED_SESSIONS_KEPT: usize = 32;
/// How long set-ups are accepted as usual after SIGTERM; later ones are rejected.
const STOP_GRACE: Span = Span::of_millis(600);

impl Dispatcher {
    /// A viewer connection is open.
    pub fn on_viewer_connected(&mut self, now: Point, connection_id: u64) {
        let connection = ViewerConnection {
            unanswered: 0,
            undecided: 0,
            evidence: ViewerEvidence::None,
            last_message_at: now,
            messages_read: 0,
            closes_if_idle: false,
            is_draining: false,
            rejected_sessions: VecDeque::new(),
        };
        self.viewer_connections.insert(connection_id, connection);
    }

    /// The client of a connection is proven gone: its unanswered requests are owed no answer.
    pub fn on_viewer_gone(&mut self, now: Point, connection_id: u64, why: Departure) {
        if self.viewer_connections.remove(&connection_id).is_none() {
            return;
        }
        self.take_undecided_on(connection_id).into_iter().for_each(|reply| reply.client_gone(why));
        for id in self.unanswered_on(connection_id) {
            self.on_viewer_gave_up(now, id, why);
        }
        self.apply_actions(now);
    }

    /// The connection to close first if there are too many. Of the idle ones, those on which no session was set up are
    /// taken first, and of these the longest idle.
    pub fn idle_connection(&self) -> Option<u64> {
        let idle = self.viewer_connections.iter().filter(|(_, connection)| {
            connection.is_idle() && !connection.closes_if_idle && !connection.is_draining
        });
        idle.min_by_key(|(_, connection)| {
            (connection.evidence == ViewerEvidence::Session, connection.last_message_at)
        })
        .map(|(connection_id, _)| *connection_id)
    }

    /// Sends the idle connection a command to close, one connection at a time. A message that is read on it meanwhile
    /// is handled, and keeps it open.
    pub fn close_idle_connection(&mut self) {
        if self.viewer_connections.values().any(|connection| connection.closes_if_idle) {
            return;
        }
        let Some(connection_id) = self.idle_connection() else { return };
        if let Some(viewer_connection) = self.viewer_connections.get_mut(&connection_id) {
            viewer_connection.closes_if_idle = true;
            self.effects.push(Effect::CloseIfIdle {
                conn: connection_id,
                messages_read: viewer_connection.messages_read,
            });
        }
    }

    /// Messages that did not reach the client when a connection ended. Releases are sent over another connection; a
    /// session whose set-up its viewer did not learn of is ended.
    pub fn on_unsent(&mut self, now: Point, connection_id: u64, all: Vec<Outgoing>) {
        for Outgoing { message, ends_session, reply, .. } in all {
            reply.into_iter().for_each(|reply| reply.client_gone(Departure::Closed));
            match message.body {
                _ if ends_session => self.on_release_unsent(now, connection_id, message.session),
                Body::Answer { .. } => {
                    let id = self.id_by_session.get(&message.session).copied();
                    let plays = |id: &u32| {
                        self.sessions.get(id).is_some_and(|tracked| tracked.playing_since.is_some())
                    };
                    if let Some(id) = id.filter(plays) {
                        self.on_viewer_ended(now, id);
                    }
                }
                _ => {}
            }
        }
        self.apply_actions(now);
    }

    /// Closes a viewer connection from this end, once all requests on it are answered.
    pub fn close_when_answered(&mut self, now: Point, connection_id: u64) {
        if self.viewer_connections.contains_key(&connection_id) {
            self.on_input_end(now, connection_id, InputEnd::Unusable);
            self.effects.push(Effect::Drain { conn: connection_id });
        }
    }

    /// Handles a message of a viewer. Set-ups wait for `decide_next`, so that everything that was read beside them
    /// counts: a set-up whose viewer leaves or cancels in the same moment is not sent to a streamer, and messages of
    /// streamers are passed on before.
    pub fn on_viewer_message(&mut self, now: Point, received: ReceivedMessage) {
        let ReceivedMessage { conn: connection_id, message, read_at, reply, memory } = received;
        let Some(viewer_connection) = self.viewer_connections.get_mut(&connection_id) else {
            reply.into_iter().for_each(|reply| reply.client_gone(Departure::Closed));
            return;
        };
        viewer_connection.last_message_at = now;
        viewer_connection.messages_read += 1;
        viewer_connection.closes_if_idle = false;
        let session = message.session;
        let evidence = match &message.body {
            Body::Test | Body::Release { .. } | Body::Acknowledged | Body::Progress => {
                ViewerEvidence::Message
            }
            // That a set-up is usable shows when it is decided.
            _ => ViewerEvidence::None,
        };
        match message.body {
            Body::Test => self.send_to_viewer(connection_id, session, Body::TestResult { passed: true }),
            body @ (Body::SetUp(_) | Body::Invalid(_)) => {
                if matches!(&body, Body::SetUp(set_up) if set_up.plays_at().is_none()) {
                    tracing::trace!(target: "request", session = format!("{session:016x}"), conn = connection_id, "read");
                }
                let in_hand = viewer_connection.unanswered + viewer_connection.undecided;
                let reply = match reply {
                    Some(reply) if in_hand >= MAX_UNANSWERED_PER_CONNECTION && !self.is_known(session) => {
                        return self.reject(reply);
                    }
                    reply => reply,
                };
                let Some(viewer_connection) = self.viewer_connections.get_mut(&connection_id) else { return };
                viewer_connection.undecided += 1;
                self.undecided.push_back(UndecidedSetUp {
                    connection_id,
                    session,
                    body,
                    read_at,
                    read_delay: self.read_delay,
                    reply,
                    _memory: memory,
                });
                return;
            }
            Body::Release { .. } => {
                let is_it = |waiting: &UndecidedSetUp| {
                    let is_request =
                        matches!(&waiting.body, Body::SetUp(set_up) if set_up.plays_at().is_none());
                    (waiting.connection_id, waiting.session, is_request) == (connection_id, session, true)
                };
                if let Some(index) = self.undecided.iter().position(is_it) {
                    // Cancelled before it was decided: no answer is owed.
                    viewer_connection.undecided = viewer_connection.undecided.saturating_sub(1);
                    let reply = self.undecided.remove(index).and_then(|waiting| waiting.reply);
                    reply.into_iter().for_each(|reply| reply.client_gone(Departure::Cancelled));
                    return;
                }
                let id = self.id_by_session.get(&session).copied();
                let tracked = id.and_then(|id| Some((id, self.sessions.get(&id)?)));
                match tracked.map(|(id, tracked)| {
                    (id, tracked.playing_since.is_some(), tracked.connection_id == connection_id)
                }) {
                    Some((id, true, _)) => self.on_viewer_ended(now, id),
                    Some((id, false, true)) => self.on_viewer_gave_up(now, id, Departure::Cancelled),
                    // A connection can't cancel a request of another.
                    Some(_) => {}
                    // The session may still be handed over, on another connection.
                    None => {
                        self.client_releases.remove(session);
                        self.untracked_ends.insert(session, UntrackedEnd::ByViewer);
                    }
                }
            }
            Body::Acknowledged => self.client_releases.remove(session),
            Body::Progress | Body::TestResult { .. } => {}
            // Only streamers and controllers send these.
            Body::Answer { .. }
            | Body::SessionReport(_)
            | Body::UnknownReport
            | Body::Move
            | Body::Rung(_) => {
                self.close_when_answered(now, connection_id);
            }
        }
        self.add_viewer_evidence(now, connection_id, evidence);
        self.apply_actions(now);
    }

    /// Decides the first undecided set-up; false if there is none.
    pub fn decide_next(&mut self, now: Point) -> bool {
        self.end_closed_inputs(now);
        let Some(UndecidedSetUp { connection_id, session, body, read_at, read_delay, reply, _memory }) =
            self.undecided.pop_front()
        else {
            return false;
        };
        if let Some(viewer_connection) = self.viewer_connections.get_mut(&connection_id) {
            viewer_connection.undecided = viewer_connection.undecided.saturating_sub(1);
        }
        match (body, reply) {
            (Body::SetUp(set_up), Some(reply)) => {
                self.handle_request(now, reply, set_up, (read_at, read_delay))
            }
            (Body::SetUp(set_up), None) => {
                self.hand_over(now, (connection_id, session), set_up, (read_at, read_delay))
            }
            (Body::Invalid(why), Some(reply)) => {
                tracing::info!(target: "viewers", why, "set-up is not usable");
                self.refuse(now, reply);
            }
            _ => {}
        }
        self.apply_actions(now);
        true
    }

    /// Sends a message that only this connection can carry and that is no answer.
    pub(super) fn send_to_viewer(&mut self, connection_id: u64, session: u64, body: Body) {
        let message = Message { session, body };
        self.effects.push(Effect::SendToViewer {
            conn: connection_id,
            message,
            ends_session: false,
            reply: None,
            steps: None,
        });
    }

    /// Sends a request its final answer.
    pub(super) fn answer(&mut self, reply: PendingReply, body: Body, steps: Option<Box<Steps>>) {
        reply.mark_queued();
        let (connection_id, message) = (reply.conn(), Message { session: reply.session(), body });
        self.effects.push(Effect::SendToViewer {
            conn: connection_id,
            message,
            ends_session: false,
            reply: Some(reply),
            steps,
        });
    }

    /// The steps of a request that ends now, if they are logged.
    pub(super) fn steps(tracked: &TrackedSession, outcome: Outcome, now: Point) -> Option<Box<Steps>> {
        Steps::are_logged().then(|| {
            Box::new(Steps {
                session: tracked.session,
                conn: tracked.connection_id,
                outcome,
                attempts: tracked.attempt_count,
                wait_ms: tracked.set_up.wait_ms,
                read_at: tracked.read_at,
                decided_at: tracked.decided_at,
                begun_at: tracked.begun_at,
                answered_at: (outcome == Outcome::Plays).then_some(now),
                reply_queued_at: (outcome != Outcome::ViewerLeft).then_some(now),
            })
        })
    }

    /// Refuses a set-up that can't be accepted. If its session number belongs to a tracked request on the same
    /// connection, the client could not distinguish the answers, so the connection is closed.
    pub(super) fn refuse(&mut self, now: Point, reply: PendingReply) {
        let (connection_id, session) = (reply.conn(), reply.session());
        let other = self.id_by_session.get(&session).and_then(|id| self.sessions.get(id));
        if other.is_some_and(|tracked| tracked.connection_id == connection_id) {
            reply.client_gone(Departure::NumberReused);
            return self.close_when_answered(now, connection_id);
        }
        self.answer(reply, Body::release(cause::INVALID), None);
    }

    /// Remembers a session number that was rejected on a connection.
    pub(super) fn remember_rejected(&mut self, connection_id: u64, session: u64) {
        let Some(viewer_connection) = self.viewer_connections.get_mut(&connection_id) else { return };
        if viewer_connection.rejected_sessions.len() >= REJECTED_SESSIONS_KEPT {
            viewer_connection.rejected_sessions.pop_front();
        }
        viewer_connection.rejected_sessions.push_back(session);
    }

    /// The part of a set-up that the settings show to be unusable, as the value of the log field `why`; log readers
    /// match it.
    pub(super) fn unusable_part(&self, set_up: &SetUp) -> Option<&'static str> {
        let Some(figures) = &set_up.details else { return Some("no figures") };
        let settings = &self.settings;
        let is_known_class = settings.classes.iter().any(|(name, _)| *name == set_up.class);
        let is_known_tenant = settings.tenants.is_empty() || settings.tenants.contains(&set_up.tenant);
        let has_cells =
            (1..=settings.cells).contains(&figures.replicas) && figures.first_cell < settings.cells;
        match () {
            () if !is_known_class => Some("no such lane"),
            () if !is_known_tenant => Some("no such tenant"),
            () if !has_cells => Some("no such cells"),
            () if figures.max_rung >= settings.rungs => Some("no such rung"),
            () if set_up.title.is_empty() => Some("no title"),
            () if set_up.wait_ms == 0 => Some("no time to answer"),
            () => None,
        }
    }

    /// The request to the module for a set-up. `read` is when the set-up was read, and how long it may have waited
    /// unread before: its time runs from then.
    pub(super) fn build_request<'a>(&self, id: u32, set_up: &'a SetUp, read: (Point, Span)) -> Request<'a> {
        let figures = set_up.details.clone().unwrap_or_default();
        let class = self.settings.classes.iter().find(|(name, _)| *name == set_up.class);
        // The time that the viewer states counts up to the maximum of the class: otherwise a deadline far ahead would
        // be kept for ever.
        let wait = Span::of((set_up.wait_ms as f64 / 1e3).min(class.map_or(0.0, |class| class.1.seconds())));
        Request {
            id,
            class: &set_up.class,
            tenant: &set_up.tenant,
            title: &set_up.title,
            deadline: (read.0 + wait) - ANSWER_MARGIN - read.1,
            first_cell: figures.first_cell,
            replicas: figures.replicas,
            max_rung: figures.max_rung,
            is_retry: figures.is_retry,
            expected_duration: None,
        }
    }

    pub(super) fn next_id(&mut self) -> u32 {
        self.last_id = self.last_id.wrapping_add(1);
        self.last_id
    }

    /// Why a set-up is unusable, its session number included. The reason is logged.
    pub(super) fn why_unusable(
        &self,
        (connection_id, session): (u64, u64),
        set_up: &SetUp,
    ) -> Option<&'static str> {
        tracing::debug!(target: "decision", session = format!("{session:016x}"), conn = connection_id, set_up = ?Logged(set_up));
        let why = if session == 0 { Some("no id") } else { self.unusable_part(set_up) };
        if let Some(why) = why {
            tracing::info!(target: "viewers", why, "set-up is not usable");
        }
        why
    }

    /// Whether a request or session with this number is tracked or waits for its decision.
    fn is_known(&self, session: u64) -> bool {
        self.id_by_session.contains_key(&session)
            || self.undecided.iter().any(|waiting| waiting.session == session)
    }

    /// Rejects a request for which there is no room: its client can repeat it.
    fn reject(&mut self, reply: PendingReply) {
        self.remember_rejected(reply.conn(), reply.session());
        self.answer(reply, rejection(self.controller.retry_after()), None);
    }

    /// Number of free places for requests and sessions.
    pub(super) fn free_session_count(&self) -> usize {
        self.settings.max_tracked.saturating_sub(self.sessions.len())
    }

    /// Handles a new request.
    fn handle_request(&mut self, now: Point, reply: PendingReply, set_up: SetUp, read: (Point, Span)) {
        let (connection_id, session) = (reply.conn(), reply.session());
        // An attempt under the same number may still run, and messages about the two could not be distinguished.
        if self.why_unusable((connection_id, session), &set_up).is_some()
            || self.id_by_session.contains_key(&session)
            || self.is_in_doubt(session)
        {
            return self.refuse(now, reply);
        }
        self.add_viewer_evidence(now, connection_id, ViewerEvidence::SetUp);
        let viewer_connection = self.viewer_connections.get(&connection_id);
        if viewer_connection
            .is_some_and(|viewer_connection| viewer_connection.rejected_sessions.contains(&session))
        {
            self.refuse(now, reply);
            if self.viewer_connections.get(&connection_id).is_some_and(ViewerConnection::is_idle) {
                self.close_when_answered(now, connection_id);
            }
            return;
        }
        let crowded = viewer_connection.is_none_or(|viewer_connection| {
            viewer_connection.unanswered >= MAX_UNANSWERED_PER_CONNECTION || viewer_connection.is_draining
        });
        let is_stopping = self.stopping_since.is_some_and(|since| now - since > STOP_GRACE);
        let charge = Charge::of_request(set_up.payload_bytes());
        let has_room = self.client_shares.has_room(connection_id, charge, self.free_session_count())
            && self.ended.has_room(connection_id);
        if is_stopping || crowded || !has_room {
            return self.reject(reply);
        }
        let id = self.next_id();
        let request = self.build_request(id, &set_up, read);
        let deadline = request.deadline;
        reply.set_answer_due(deadline + ANSWER_GRACE);
        let handle = self.controller.submit(now, &request);
        let tracked =
            TrackedSession::new((connection_id, session), handle, Some(reply), set_up, (read.0, deadline));
        self.client_shares.add(connection_id, charge);
        self.sessions.insert(id, TrackedSession { charge, ..tracked });
        self.id_by_session.insert(session, id);
        if let Some(viewer_connection) = self.viewer_connections.get_mut(&connection_id) {
            viewer_connection.unanswered += 1;
        }
        self.apply_actions(now);
    }

    /// A viewer stops waiting: no answer is owed, and the attempt is given up.
    pub(super) fn on_viewer_gave_up(&mut self, now: Point, id: u32, why: Departure) {
        let Some(mut tracked) = self.remove(now, id) else { return };
        tracked.reply.take().into_iter().for_each(|reply| reply.client_gone(why));
        if let Some(steps) = Self::steps(&tracked, Outcome::ViewerLeft, now) {
            steps.log(None);
        }
        tracked.handle.viewer_left(&mut self.controller);
        if let Some(attempt) = tracked.attempt.take() {
            let ending = self.abandon(now, id, &tracked, attempt);
            tracked.handle.attempt_ended(&mut self.controller, now, ending, true, Load::default());
        }
        self.apply_actions(now);
    }

    /// The viewer ends a playing session; it is owed no release.
    pub(super) fn on_viewer_ended(&mut self, now: Point, id: u32) {
        let is_claimed = self.unconfirmed_hand_overs.contains(id);
        let Some(tracked) = self.remove(now, id) else { return };
        if is_claimed {
            self.release_claimed_at_streamer(now, &tracked.streamer, tracked.session);
        } else {
            self.release_at_streamer(now, &tracked.streamer, tracked.session);
        }
        tracked.handle.attempt_ended(
            &mut self.controller,
            now,
            AttemptOutcome::Cancelled,
            true,
            Load::default(),
        );
        self.apply_actions(now);
    }
}

/// The answer to a rejected request, with the time after which it may be repeated, if there is one.
pub(super) fn rejection(after: Option<Span>) -> Body {
    let retry_after_ms = after.map(|after| (after.seconds() * 1e3).round() as u64);
    Body::Release { cause: cause::REJECTED, retry_after_ms, load: Load::default() }
}
