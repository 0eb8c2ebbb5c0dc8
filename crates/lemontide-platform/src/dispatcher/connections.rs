//! The dispatcher's part of connections to streamers: when one is dialled, what is written on it, what is heard on it.

use super::*;

/// Connections to one streamer at most: what breaks one takes few set-ups with it.
pub(super) const MAX_LINKS_PER_STREAMER: usize = 4;
/// A streamer that can't be reached for so long no longer plays what stood there; the platform gives 8 s in all,
/// of which a silent connection takes three.
const UNREACHABLE_LIMIT: Span = Span::of_millis(1200);
/// Connections whose streamer's close is awaited at a time, at most.
const MAX_CLOSING_CONNECTIONS: usize = 32;

impl Dispatcher {
    /// Tells a streamer that what stands there is over; again, where the connection goes before the streamer is known
    /// to have read it. Guards against streams that nobody watches.
    pub(super) fn release_at_streamer(&mut self, now: Point, streamer: &Arc<str>, session: u64) {
        let mut release = PendingRelease {
            streamer: streamer.clone(),
            session,
            until: now + RELEASE_RETENTION,
            sent: None,
            may_dial: true,
        };
        self.send_release(now, &mut release);
        self.remember_release(release);
    }

    /// Remembers to end an attempt that was given up and may stand, though its request is over: its end may not be
    /// written yet, and is written again where its connection goes before the streamer is known to have read it.
    pub(super) fn release_unproven(
        &mut self,
        now: Point,
        streamer: Arc<str>,
        session: u64,
        attempt: &GivenUp,
    ) {
        let sent =
            attempt.test.map(|test| SentRelease { on: attempt.on, after_test: test.saturating_sub(1) });
        self.remember_release(PendingRelease {
            streamer,
            session,
            until: now + RELEASE_RETENTION,
            sent,
            may_dial: false,
        });
    }

    fn remember_release(&mut self, release: PendingRelease) {
        if self.pending_releases.len() >= MAX_REMEMBERED {
            self.pending_releases.pop_front();
        }
        self.pending_releases.push_back(release);
    }

    fn send_release(&mut self, now: Point, release: &mut PendingRelease) {
        release.sent = None;
        let link = match self.best_link(&release.streamer) {
            None if release.may_dial => self.dial_now(now, &release.streamer),
            link => link,
        };
        let Some(link) = link else { return };
        let Some(dial) = self.links.get(&link).map(|streamer_link| streamer_link.link.dial) else { return };
        let message = Message { session: release.session, body: Body::release(cause::NORMAL) };
        self.send_to_streamer(now, link, message);
        let on = Connection { link, dial };
        if self.is_current(on) {
            release.sent = Some(SentRelease { on, after_test: self.last_test });
        }
    }

    /// Sends again what may not have been read before its connection went.
    pub(super) fn resend_releases(&mut self, now: Point) {
        for mut release in std::mem::take(&mut self.pending_releases) {
            if now > release.until || !self.streamers.contains_key(&release.streamer) {
                continue;
            }
            if !release.sent.as_ref().is_some_and(|sent| self.is_current(sent.on)) {
                self.send_release(now, &mut release);
            }
            self.pending_releases.push_back(release);
        }
    }

    /// Sends a test; its number.
    pub(super) fn send_test(&mut self, now: Point, link: u64) -> u64 {
        self.last_test += 1;
        let test = self.last_test;
        self.send_to_streamer(now, link, Message { session: test, body: Body::Test });
        test
    }

    pub(super) fn is_current(&self, on: Connection) -> bool {
        let link = self.links.get(&on.link).map(|streamer_link| &streamer_link.link);
        link.is_some_and(|link| link.dial == on.dial && (link.is_up() || link.is_dialling()))
    }

    /// A dial came through.
    pub fn on_connected(&mut self, now: Point, on: Connection) {
        if !self.is_current(on) {
            return;
        }
        let link = on.link;
        if let Some(streamer_link) = self.links.get_mut(&link) {
            streamer_link.link.up(now);
            if let Some(known) = self.streamers.get_mut(&streamer_link.streamer) {
                known.unreachable_since = None;
            }
        }
        self.write_next_batch(now, link);
    }

    /// A connection or a dial is of no more use; `closed` follows when its socket is closed.
    pub fn on_connection_lost(&mut self, now: Point, on: Connection, loss: ConnectionLoss) {
        if !self.is_current(on) {
            return;
        }
        let awaits_close = self.await_close_if_useful(on, true);
        self.effects.push(Effect::Close { on, awaits_close });
        if loss == ConnectionLoss::Refused {
            self.apply_evidence(now, on, None, Evidence::Refused);
        }
        self.handle_loss(now, on.link, loss);
        self.apply_actions(now);
    }

    /// The socket of a connection is closed, by its streamer or by this end alone.
    pub fn on_connection_closed(&mut self, now: Point, on: Connection, by_streamer: bool) {
        self.closing.remove(&on);
        if by_streamer {
            self.on_closed_by_streamer(now, on);
            self.apply_actions(now);
        }
    }

    /// Whether a streamer's close of this connection is worth awaiting, as an attempt may be out there or, where it was
    /// heard of lately, a release on its way. It keeps its descriptor meanwhile.
    fn await_close_if_useful(&mut self, on: Connection, is_alive: bool) -> bool {
        let Some(streamer_link) = self.links.get(&on.link).filter(|streamer_link| streamer_link.link.is_up())
        else {
            return false;
        };
        let streamer = streamer_link.streamer.clone();
        let is_out = |tracked: &TrackedSession| {
            tracked.attempt.as_ref().is_some_and(|attempt| attempt.on == on && attempt.permit.has_begun())
        };
        let plays = |tracked: &TrackedSession| {
            is_alive && tracked.playing_since.is_some() && tracked.streamer == streamer
        };
        let is_of_use = self.sessions.values().any(|tracked| is_out(tracked) || plays(tracked));
        let awaits = is_of_use && self.closing.len() < MAX_CLOSING_CONNECTIONS;
        if awaits {
            self.closing.insert(on, streamer);
        }
        awaits
    }

    fn handle_loss(&mut self, now: Point, link: u64, loss: ConnectionLoss) {
        let jitter = self.random.random::<f64>();
        let waiting = self.withdraw_waiting(link);
        let Some(streamer_link) = self.links.get_mut(&link) else { return };
        let streamer = streamer_link.streamer.clone();
        streamer_link.link.down(now, jitter);
        streamer_link.suspect_until = None;
        streamer_link.link.withdraw_all();
        tracing::info!(target: "streamers", streamer = &*streamer, %loss, waiting = waiting.len(), "link lost");
        let has_begun = |tracked: &TrackedSession| {
            let attempt = tracked.attempt.as_ref();
            attempt.is_some_and(|attempt| {
                attempt.on.link == link && attempt.given_up.is_none() && attempt.permit.has_begun()
            })
        };
        let begun: Vec<u32> =
            self.sessions.iter().filter(|(_, tracked)| has_begun(tracked)).map(|(id, _)| *id).collect();
        for id in &begun {
            self.give_up_tracked(*id, AttemptOutcome::ConnectionLost);
        }
        let others = |known: &KnownStreamer, links: &BTreeMap<u64, StreamerLink>| {
            known.link_ids.iter().any(|other| {
                *other != link && links.get(other).is_some_and(|streamer_link| streamer_link.link.is_up())
            })
        };
        let Some(known) = self.streamers.get_mut(&streamer) else { return };
        let is_last = !others(known, &self.links);
        if known.link_ids.len() > 1 {
            known.link_ids.retain(|other| *other != link);
        }
        let is_kept = known.link_ids.contains(&link);
        let unreachable_since = is_last.then(|| *known.unreachable_since.get_or_insert(now));
        let is_gone = known.entry.stage() == StreamerState::Gone;
        let can_redial = |streamer_link: &StreamerLink| {
            streamer_link.link.idle.is_none() && streamer_link.link.may_dial(now)
        };
        for id in begun {
            self.attempt_in_doubt(now, id);
        }
        self.end_unbegun(now, waiting, AttemptOutcome::NoConnection);
        if !is_kept {
            self.links.remove(&link);
        }
        // Standing subscriptions belong to no connection. They are over where nobody listens any more, where
        // nobody was reached for too long, and where nobody will be asked again.
        let unreached = loss == ConnectionLoss::DialTimedOut
            && unreachable_since.is_some_and(|since| now - since >= UNREACHABLE_LIMIT);
        if is_last && (loss == ConnectionLoss::Refused || unreached || is_gone) {
            self.end_sessions_at(now, &streamer, |_| true);
        }
        if is_gone {
            self.remove_if_gone(now, &streamer);
        } else if is_kept
            && loss == ConnectionLoss::Disconnected
            && self.links.get(&link).is_some_and(can_redial)
        {
            self.dial(now, link);
        }
    }

    /// The orders of the last batch are written, but for these set-ups, whose time was over: they never ran.
    pub fn on_batch_written(&mut self, now: Point, on: Connection, unsent: Vec<(u32, u32)>) {
        if !self.is_current(on) {
            return;
        }
        if let Some(streamer_link) = self.links.get_mut(&on.link) {
            streamer_link.link.wrote();
        }
        self.end_unbegun(now, unsent, AttemptOutcome::NotSent);
        self.apply_actions(now);
        self.write_next_batch(now, on.link);
    }

    /// What a streamer's message proves of attempts that were given up on its connection.
    fn evidence_of(message: &Message) -> Option<(Option<u64>, Evidence)> {
        match message.body {
            Body::Tested { .. } => Some((None, Evidence::TestPassed { test: message.session })),
            Body::Heard => Some((Some(message.session), Evidence::EndAcknowledged)),
            Body::Release { cause, .. } if cause::ends_a_set_up(cause) => {
                Some((Some(message.session), Evidence::SetUpRefused))
            }
            Body::Release { .. } => Some((Some(message.session), Evidence::Released)),
            _ => None,
        }
    }

    /// The streamer at the other end of a connection that is up, or closed by half.
    fn streamer_on(&self, on: Connection) -> Option<Arc<str>> {
        let current = self.links.get(&on.link).filter(|_| self.is_current(on));
        current.map(|streamer_link| &streamer_link.streamer).or_else(|| self.closing.get(&on)).cloned()
    }

    /// A streamer's word.
    pub fn on_streamer_message(&mut self, now: Point, on: Connection, message: Message) {
        let Some(streamer) = self.streamer_on(on) else { return };
        if let Some((session, evidence)) = Self::evidence_of(&message) {
            self.apply_evidence(now, on, session, evidence);
            self.apply_actions(now);
        }
        if self.is_current(on) {
            if let Some(streamer_link) = self.links.get_mut(&on.link) {
                streamer_link.link.heard(now);
                streamer_link.suspect_until = None;
            }
        }
        // What is said under a number that is not in hand at this streamer is somebody else's, or over.
        let id = self.id_by_session.get(&message.session).copied();
        let own = id.and_then(|id| {
            Some((id, self.sessions.get(&id).filter(|tracked| tracked.streamer == streamer)?))
        });
        let Some((id, tracked)) = own else {
            if let (None, Body::Release { cause, .. }) = (id, &message.body) {
                self.remember_untracked_end(message.session, UntrackedEnd::ByStreamer(*cause));
            }
            return;
        };
        let (handle, plays) = (tracked.handle, tracked.playing_since.is_some());
        let attempt = tracked.attempt.as_ref();
        let waits = attempt.is_some_and(|attempt| {
            attempt.on == on && attempt.given_up.is_none() && attempt.permit.has_begun()
        });
        let is_first = tracked.is_first_attempt_at(&streamer);
        if let Body::Release { cause, .. } = &message.body {
            // Of a session that its viewer ended at once its streamer's news is in `playing_ms`.
            let playing_ms = tracked.playing_since.map(|since| ((now - since).seconds() * 1e6).round() / 1e3);
            tracing::debug!(
                target: "streamers", session = format!("{:016x}", message.session), streamer = &*streamer, cause, plays, playing_ms
            );
        }
        match message.body {
            Body::Answer { description, load } if waits => {
                self.on_attempt_answered(now, id, description, load)
            }
            // It may be about an earlier attempt, whose answer was lost: the end of this one is still awaited.
            Body::Release { cause, .. } if waits && !is_first && !cause::ends_a_set_up(cause) => {}
            Body::Release { cause, load, .. } if waits => {
                let ending = match cause {
                    cause::FULL => AttemptOutcome::Refused,
                    cause::ERROR => AttemptOutcome::Errored,
                    cause::MOOT => AttemptOutcome::NotSent,
                    cause::BROKEN => AttemptOutcome::ConnectionLost,
                    // It may have run, and the process that says so is well: nothing is told of its health.
                    _ => AttemptOutcome::Unknown,
                };
                let is_refusal = cause::ends_a_set_up(cause);
                let proof = if is_refusal { Proof::SetUpRefused } else { Proof::Released };
                self.attempt_over(now, id, ending, load, proof);
            }
            Body::Release { cause, load, .. } if plays => {
                let ending = match cause {
                    cause::NORMAL => AttemptOutcome::Served,
                    cause::CANCELLED => AttemptOutcome::Cancelled,
                    _ => AttemptOutcome::ConnectionLost,
                };
                if !is_first {
                    // It may be about what an earlier attempt had set up there, and what plays must not stand on.
                    self.release_at_streamer(now, &streamer, message.session);
                }
                self.end_session(now, id, ending, load);
            }
            Body::Note(note) if plays => match note {
                Note::Share(share) => {
                    handle.shortfall_reported(&mut self.controller, now, share.clamp(0.0, 1.0))
                }
                Note::Rung(rung) => handle.rung_reported(&mut self.controller, now, rung),
                Note::Link(full) => handle.load_reported(&mut self.controller, now, Load::of_link(full)),
                Note::Rack(full) => handle.load_reported(&mut self.controller, now, Load::of_uplink(full)),
            },
            _ => {}
        }
        self.apply_actions(now);
    }

    pub(super) fn check_links(&mut self, now: Point, gap: Span) {
        // What plays or is out at a streamer needs a link there; a shot and a release dial for themselves.
        let is_out = |tracked: &TrackedSession| {
            tracked.attempt.as_ref().is_some_and(|attempt| attempt.given_up.is_none())
        };
        let needs = |tracked: &&TrackedSession| tracked.playing_since.is_some() || is_out(tracked);
        let needed: BTreeSet<Arc<str>> =
            self.sessions.values().filter(needs).map(|tracked| tracked.streamer.clone()).collect();
        for streamer in &needed {
            if self.streamers.get(streamer).is_some_and(|known| known.link_ids.is_empty()) {
                self.add_link(now, streamer);
            }
        }
        let links: Vec<u64> = self.links.keys().copied().collect();
        for link in links {
            let Some(streamer_link) = self.links.get_mut(&link) else { continue };
            streamer_link.link.idle =
                streamer_link.link.idle.or(Some(now)).filter(|_| !needed.contains(&streamer_link.streamer));
            if let Some(since) = streamer_link.link.idle {
                // Kept well short of the other end's own close, which a set-up could cross.
                if now - since >= self.settings.max_idle {
                    self.close_link(now, link, ConnectionLoss::Disconnected, CloseReason::Idle);
                    continue;
                }
                // Nobody asks there: what was not reached then proves nothing of what plays there later.
                if let Some(known) = self.streamers.get_mut(&streamer_link.streamer) {
                    known.unreachable_since = None;
                }
            }
            let verdict = streamer_link.link.look(now, gap);
            if gap >= LINK_CHECK_INTERVAL + LINK_CHECK_INTERVAL {
                // This process stood still itself: what it did not read is no silence.
                streamer_link.suspect_until = streamer_link.suspect_until.map(|until| until + gap);
            }
            let is_silent = streamer_link.suspect_until.is_some_and(|until| now >= until);
            match verdict {
                Verdict::Lost => {
                    self.close_link(now, link, ConnectionLoss::Disconnected, CloseReason::Silent)
                }
                _ if is_silent => {
                    self.close_link(now, link, ConnectionLoss::Disconnected, CloseReason::Unanswered)
                }
                Verdict::Fine => {}
                Verdict::Dial => self.dial(now, link),
                Verdict::Ping => {
                    self.send_test(now, link);
                }
            }
        }
    }

    pub(super) fn add_link(&mut self, now: Point, streamer: &Arc<str>) {
        let Some(known) = self.streamers.get_mut(streamer) else { return };
        if self.links.len() >= self.settings.max_connections && !known.link_ids.is_empty() {
            return;
        }
        self.last_link += 1;
        known.link_ids.push(self.last_link);
        let streamer_link = StreamerLink {
            streamer: streamer.clone(),
            link: Link::new(now),
            pending_set_ups: 0,
            suspect_until: None,
        };
        self.links.insert(self.last_link, streamer_link);
        self.dial(now, self.last_link);
    }

    pub(super) fn dial(&mut self, now: Point, link: u64) {
        if !self.can_dial() {
            self.close_spare_connection(now);
        }
        let can_dial = self.can_dial();
        let Some(streamer_link) = self.links.get_mut(&link).filter(|_| can_dial) else { return };
        let Some(known) = self.streamers.get(&streamer_link.streamer) else { return };
        let dial = streamer_link.link.start_dial(now, self.settings.dial_timeout);
        let on = Connection { link, dial };
        self.effects.push(Effect::Dial { on, address: known.entry.addr.clone() });
    }

    /// Whether one more connection stays within the descriptors that are set apart for streamers. Guards against
    /// more streamers than descriptors: the list and the viewers have theirs, whatever plays.
    pub(super) fn can_dial(&self) -> bool {
        let is_live =
            |streamer_link: &&StreamerLink| streamer_link.link.is_up() || streamer_link.link.is_dialling();
        self.links.values().filter(is_live).count() + self.closing.len() < self.settings.max_connections
    }

    /// Closes a connection that nothing needs, the one that is idle for longest first, or else one of several to the
    /// same streamer.
    fn close_spare_connection(&mut self, now: Point) {
        let has_several =
            |streamer: &Arc<str>| self.streamers.get(streamer).is_some_and(|known| known.link_ids.len() > 1);
        let is_free = |streamer_link: &StreamerLink| {
            streamer_link.link.is_up()
                && streamer_link.pending_set_ups == 0
                && (streamer_link.link.idle.is_some() || has_several(&streamer_link.streamer))
        };
        let candidates = self.links.iter().filter(|(_, streamer_link)| is_free(streamer_link));
        let first = candidates
            .min_by_key(|(_, streamer_link)| (streamer_link.link.idle.is_none(), streamer_link.link.idle));
        if let Some(link) = first.map(|(link, _)| *link) {
            self.close_link(now, link, ConnectionLoss::Disconnected, CloseReason::MakesRoom);
        }
    }

    /// Closes a connection from this end.
    pub(super) fn close_link(&mut self, now: Point, link: u64, loss: ConnectionLoss, reason: CloseReason) {
        let Some(streamer_link) = self.links.get(&link) else { return };
        if streamer_link.link.is_up() || streamer_link.link.is_dialling() {
            let on = Connection { link, dial: streamer_link.link.dial };
            let is_alive = matches!(reason, CloseReason::Unanswered | CloseReason::QueueFull);
            let awaits_close = self.await_close_if_useful(on, is_alive);
            tracing::debug!(target: "attempt", ?on, ?reason, awaits_close, "closes");
            self.effects.push(Effect::Close { on, awaits_close });
            self.handle_loss(now, link, loss);
        }
    }

    /// The link of a streamer that carries least, of those that are up and not under suspicion if there is one.
    pub(super) fn best_link(&self, streamer: &str) -> Option<u64> {
        let links = &self.streamers.get(streamer)?.link_ids;
        let usable = links.iter().filter_map(|link| Some((*link, self.links.get(link)?)));
        let usable = usable
            .filter(|(_, streamer_link)| streamer_link.link.is_up() || streamer_link.link.is_dialling());
        usable
            .min_by_key(|(_, streamer_link)| {
                (
                    streamer_link.suspect_until.is_some(),
                    !streamer_link.link.is_up(),
                    streamer_link.pending_set_ups,
                )
            })
            .map(|(link, _)| link)
    }

    /// Puts an order that is no set-up on a link; one that takes none any more is of no use.
    pub(super) fn send_to_streamer(&mut self, now: Point, link: u64, message: Message) {
        let Some(streamer_link) = self.links.get_mut(&link) else { return };
        if !streamer_link.link.is_up() && !streamer_link.link.is_dialling() {
            return;
        }
        if streamer_link.link.push(Queued {
            order: OutboundMessage { message, permit: None },
            shot: None,
            not_after: None,
        }) {
            self.write_next_batch(now, link);
        } else {
            self.close_link(now, link, ConnectionLoss::Disconnected, CloseReason::QueueFull);
        }
    }

    /// Hands the next orders of a link to the I/O.
    pub(super) fn write_next_batch(&mut self, now: Point, link: u64) {
        let Some(streamer_link) = self.links.get_mut(&link) else { return };
        let messages = streamer_link.link.batch(now);
        if messages.is_empty() {
            return;
        }
        let on = Connection { link, dial: streamer_link.link.dial };
        self.effects.push(Effect::Write { on, messages });
    }

    /// Dials a streamer that something is to be sent to at once, whatever wait is left.
    pub(super) fn dial_now(&mut self, now: Point, streamer: &Arc<str>) -> Option<u64> {
        let links = &self.streamers.get(streamer)?.link_ids;
        if links.is_empty() {
            self.add_link(now, streamer);
            return Some(self.last_link).filter(|link| self.links[link].link.is_dialling());
        }
        let can_dial_now =
            |link: &&u64| self.links.get(link).is_some_and(|streamer_link| streamer_link.link.may_dial(now));
        let link = *links.iter().find(can_dial_now)?;
        self.links.get_mut(&link)?.link.idle = None;
        self.dial(now, link);
        self.links.get(&link).filter(|streamer_link| streamer_link.link.is_dialling()).map(|_| link)
    }
}
