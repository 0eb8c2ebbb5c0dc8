//! The dispatcher's part of connections to streamers: when one is dialled or closed, and what is written on it.

use super::*;

/// Maximum number of connections to one streamer. With several, the loss of one affects few set-ups.
pub(super) const MAX_LINKS_PER_STREAMER: usize = 4;
/// A streamer that could not be reached for this long is taken not to play its sessions any more. The platform allows 8
/// s in all, of which the detection of a silent connection takes three.
const UNREACHABLE_LIMIT: Span = Span::of_millis(1200);
/// Maximum number of connections whose close by the streamer is awaited at a time.
const MAX_CLOSING_CONNECTIONS: usize = 32;

impl Dispatcher {
    /// Releases a session that only a client has named at the streamer that it named.
    pub(super) fn release_claimed_at_streamer(&mut self, now: Point, streamer: &Arc<str>, session: u64) {
        self.release_established(now, streamer, session, true);
    }

    /// Releases a session at its streamer, and again if the connection is lost before the streamer is known to have
    /// read the release. Guards against streams that nobody watches.
    pub(super) fn release_at_streamer(&mut self, now: Point, streamer: &Arc<str>, session: u64) {
        self.release_established(now, streamer, session, false);
    }

    fn release_established(&mut self, now: Point, streamer: &Arc<str>, session: u64, is_claimed: bool) {
        let mut release = PendingRelease {
            streamer: streamer.clone(),
            session,
            until: now + RELEASE_RETENTION,
            sent: None,
            dials_if_needed: true,
            is_claimed,
        };
        self.send_release(now, &mut release);
        self.remember_release(release);
    }

    /// Remembers the release of an attempt that was given up and whose session may be established, though its request
    /// is over. The release may not be written yet, and is sent again if its connection is lost before the streamer is
    /// known to have read it.
    pub(super) fn release_unproven(
        &mut self,
        now: Point,
        streamer: Arc<str>,
        session: u64,
        attempt: &AbandonedAttempt,
    ) {
        let sent = attempt
            .test
            .map(|test| SentRelease { on: attempt.connection, after_test: test.saturating_sub(1) });
        self.remember_release(PendingRelease {
            streamer,
            session,
            until: now + RELEASE_RETENTION,
            sent,
            dials_if_needed: false,
            is_claimed: false,
        });
    }

    fn remember_release(&mut self, release: PendingRelease) {
        let is_same_kind = |other: &PendingRelease| other.is_claimed == release.is_claimed;
        if self.pending_releases.iter().filter(|other| is_same_kind(other)).count() >= MAX_REMEMBERED {
            let oldest = self.pending_releases.iter().position(is_same_kind);
            oldest.and_then(|oldest| self.pending_releases.remove(oldest));
        }
        self.pending_releases.push_back(release);
    }

    fn send_release(&mut self, now: Point, release: &mut PendingRelease) {
        release.sent = None;
        let link = match self.best_link(&release.streamer) {
            None if release.dials_if_needed => self.dial_now(now, &release.streamer),
            link => link,
        };
        let Some(link) = link else { return };
        let Some(streamer_link) = self.links.get(&link) else { return };
        if !streamer_link.link.has_room() {
            // It is sent with the next check: a link with a full queue would be closed.
            return;
        }
        let dial = streamer_link.link.dial;
        let message = Message { session: release.session, body: Body::release(cause::NORMAL) };
        self.send_to_streamer(now, link, message);
        let on = Connection { link, dial };
        if self.is_current(on) {
            release.sent = Some(SentRelease { on, after_test: self.last_test });
        }
    }

    /// Sends releases again that may not have been read before their connection was lost.
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

    /// Sends a test and returns its number.
    pub(super) fn send_test(&mut self, now: Point, link: u64) -> u64 {
        self.last_test += 1;
        let test = self.last_test;
        self.send_to_streamer(now, link, Message { session: test, body: Body::Test });
        test
    }

    /// Whether this connection is up.
    pub(super) fn is_up(&self, on: Connection) -> bool {
        let link = self.links.get(&on.link).map(|streamer_link| &streamer_link.link);
        link.is_some_and(|link| link.dial == on.dial && link.is_up())
    }

    /// Whether this connection is the current one of its link, and up or being dialled.
    pub(super) fn is_current(&self, on: Connection) -> bool {
        let link = self.links.get(&on.link).map(|streamer_link| &streamer_link.link);
        link.is_some_and(|link| link.dial == on.dial && (link.is_up() || link.is_dialling()))
    }

    /// A dial has succeeded.
    pub fn on_connected(&mut self, now: Point, on: Connection) {
        if !self.is_current(on) {
            return;
        }
        let link = on.link;
        let Some(streamer_link) = self.links.get_mut(&link) else { return };
        streamer_link.link.connected(now);
        let (streamer, dial_number) = (streamer_link.streamer.clone(), streamer_link.dial_number);
        self.note_connected(now, &streamer, dial_number);
        if let Some(streamer_link) = self.links.get(&link) {
            let streamer = &streamer_link.streamer;
            let known = self.streamers.get(streamer);
            let address = known.map_or("", |known| &known.entry.address);
            let sessions = self
                .sessions
                .values()
                .filter(|tracked| tracked.streamer == *streamer && tracked.playing_since.is_some());
            tracing::info!(
                target: "streamers", streamer = &**streamer, ?on, address, playing = sessions.count(), "connected"
            );
            if let Some(known) = self.streamers.get_mut(&streamer_link.streamer) {
                known.unreachable_since = None;
            }
        }
        self.write_next_batch(now, link);
    }

    /// A connection or a dial is of no more use. `on_connection_closed` follows when its socket is closed.
    pub fn on_connection_lost(&mut self, now: Point, on: Connection, loss: ConnectionLoss) {
        if !self.is_current(on) {
            return;
        }
        let awaits_close = self.await_close_if_useful(on, true);
        self.effects.push(Effect::Close { on, awaits_close });
        if loss == ConnectionLoss::Refused {
            self.apply_evidence(now, on, None, Evidence::ConnectRefused);
        }
        let cause = match loss {
            ConnectionLoss::Unusable => LossCause::ThisEnd { awaits_close: false },
            _ => LossCause::Streamer,
        };
        self.handle_loss(now, on.link, loss, cause);
        self.apply_actions(now);
    }

    /// The socket of a connection is closed, by its streamer or by this end alone.
    pub fn on_connection_closed(&mut self, now: Point, on: Connection, by_streamer: bool) {
        if let Some(streamer) = self.closing.remove(&on) {
            self.note_closed(now, on, &streamer, by_streamer);
        }
        if by_streamer {
            self.on_closed_by_streamer(now, on);
        }
        // The descriptor is free now.
        self.open_needed_connections(now);
        self.apply_actions(now);
    }

    /// Begins to await the streamer's close of this connection if that is worth a descriptor, and returns whether it is
    /// awaited. It is if an attempt may be unanswered on the connection or, with `is_read_on`, if a session plays
    /// there, whose release may have been sent.
    fn await_close_if_useful(&mut self, on: Connection, is_read_on: bool) -> bool {
        let Some(streamer_link) = self.links.get(&on.link).filter(|streamer_link| streamer_link.link.is_up())
        else {
            return false;
        };
        let streamer = streamer_link.streamer.clone();
        let is_out = |tracked: &TrackedSession| {
            tracked.attempt.as_ref().is_some_and(|attempt| attempt.on == on && attempt.permit.has_begun())
        };
        let plays = |tracked: &TrackedSession| {
            is_read_on && tracked.playing_since.is_some() && tracked.streamer == streamer
        };
        let is_of_use = self.sessions.values().any(|tracked| is_out(tracked) || plays(tracked));
        let awaits = is_of_use && self.closing.len() < MAX_CLOSING_CONNECTIONS;
        if awaits {
            self.closing.insert(on, streamer);
        }
        awaits
    }

    fn handle_loss(&mut self, now: Point, link: u64, loss: ConnectionLoss, cause: LossCause) {
        let jitter = self.random.random::<f64>();
        let waiting = self.withdraw_waiting(link);
        let Some(streamer_link) = self.links.get_mut(&link) else { return };
        let streamer = streamer_link.streamer.clone();
        let was_up = streamer_link.link.is_up();
        let on = Connection { link, dial: streamer_link.link.dial };
        streamer_link.link.disconnected(now, jitter);
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
        if was_up {
            self.note_lost_connection(on, &streamer, cause);
        }
        let Some(known) = self.streamers.get_mut(&streamer) else { return };
        let is_last = !others(known, &self.links);
        if known.link_ids.len() > 1 && known.unheard == Unheard::Nothing {
            known.link_ids.retain(|other| *other != link);
        }
        let is_kept = known.link_ids.contains(&link);
        let unreachable_since = is_last.then(|| *known.unreachable_since.get_or_insert(now));
        let is_gone = known.state() == StreamerState::Gone;
        let can_redial = |streamer_link: &StreamerLink| {
            streamer_link.link.idle_since.is_none() && streamer_link.link.can_dial(now)
        };
        for id in begun {
            self.attempt_in_doubt(now, id);
        }
        self.end_unbegun(now, waiting, AttemptOutcome::NoConnection);
        if !is_kept {
            self.links.remove(&link);
        }
        // Established sessions belong to no connection. They are over if no process listens at the address any more, if
        // the streamer could not be reached for too long, or if it is gone and will not be dialled again.
        let unreached = loss == ConnectionLoss::DialFailed
            && unreachable_since.is_some_and(|since| now - since >= UNREACHABLE_LIMIT);
        if is_last && (loss == ConnectionLoss::Refused || unreached || is_gone) {
            self.end_sessions_at(now, &streamer, |_, _| true);
        }
        if is_gone {
            self.remove_if_gone(now, &streamer);
        } else if is_kept
            && was_up
            && loss != ConnectionLoss::Refused
            && self.links.get(&link).is_some_and(can_redial)
        {
            self.redial_at_once(now, link, &streamer);
        }
        self.send_awaited_test(now, &streamer);
    }

    /// Dials a link that has worked until now, without a delay and as soon as a connection is free for it.
    fn redial_at_once(&mut self, now: Point, link: u64, streamer: &str) {
        if let Some(streamer_link) = self.links.get_mut(&link) {
            streamer_link.link.redial_at_once(now);
        }
        let is_needed = self.best_link(streamer).is_none() || self.needs_new_connection(streamer);
        if is_needed && self.can_dial(streamer) {
            self.dial(now, link);
        }
    }

    /// The messages of the last batch are written, except for these set-ups, whose time was over: they never ran.
    pub fn on_batch_written(&mut self, now: Point, on: Connection, unsent: Vec<(u32, u32)>) {
        if !self.is_current(on) {
            return;
        }
        if let Some(streamer_link) = self.links.get_mut(&on.link) {
            streamer_link.link.batch_written();
        }
        self.end_unbegun(now, unsent, AttemptOutcome::NotSent);
        self.apply_actions(now);
        self.write_next_batch(now, on.link);
    }

    /// Checks all links: dials, tests and closes connections as needed. `gap` is the time since the last check.
    pub(super) fn check_links(&mut self, now: Point, gap: Span) {
        // A streamer needs a link if a session plays or an attempt is unanswered there. New attempts and releases dial
        // by themselves.
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
        self.open_needed_connections(now);
        let links: Vec<u64> = self.links.keys().copied().collect();
        for link in links {
            let Some(streamer_link) = self.links.get_mut(&link) else { continue };
            streamer_link.link.idle_since = streamer_link
                .link
                .idle_since
                .or(Some(now))
                .filter(|_| !needed.contains(&streamer_link.streamer));
            if let Some(since) = streamer_link.link.idle_since {
                // Well below the idle timeout of the other end, whose close could cross a set-up.
                if now - since >= self.settings.max_idle {
                    self.close_link(now, link, ConnectionLoss::Disconnected, CloseReason::Idle);
                    continue;
                }
                // Nothing needs this streamer now, so failed dials of this time prove nothing about sessions that play
                // there later.
                if let Some(known) = self.streamers.get_mut(&streamer_link.streamer) {
                    (known.unreachable_since, known.unheard) = (None, Unheard::Nothing);
                }
            }
            let verdict = streamer_link.link.check(now, gap);
            if gap >= LINK_CHECK_INTERVAL + LINK_CHECK_INTERVAL {
                // This process itself did not run for a while, so the messages that it did not read do not count as
                // silence.
                streamer_link.suspect_until = streamer_link.suspect_until.map(|until| until + gap);
            }
            let is_silent = streamer_link.suspect_until.is_some_and(|until| now >= until);
            match verdict {
                LinkAction::Close => {
                    self.close_link(now, link, ConnectionLoss::Disconnected, CloseReason::Silent)
                }
                _ if is_silent => {
                    self.close_link(now, link, ConnectionLoss::Disconnected, CloseReason::Unanswered)
                }
                LinkAction::None => {}
                LinkAction::Dial => self.dial_or_drop(now, link),
                LinkAction::Ping => {
                    self.send_test(now, link);
                }
            }
        }
    }

    /// Adds a link to a streamer and dials it, within the limit on connections; the first link is always added.
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
            dial_number: 0,
            pending_set_ups: 0,
            suspect_until: None,
        };
        self.links.insert(self.last_link, streamer_link);
        self.dial(now, self.last_link);
    }

    /// Dials a link whose delay is over, or removes it if its streamer has another connection and needs no new one.
    fn dial_or_drop(&mut self, now: Point, link: u64) {
        let Some(streamer) = self.links.get(&link).map(|streamer_link| streamer_link.streamer.clone()) else {
            return;
        };
        let has_other = self.best_link(&streamer).is_some();
        if !has_other || self.needs_new_connection(&streamer) {
            return self.dial(now, link);
        }
        self.links.remove(&link);
        if let Some(known) = self.streamers.get_mut(&streamer) {
            known.link_ids.retain(|other| *other != link);
        }
    }

    /// Dials the streamer of a link. If descriptors are short, a spare connection is closed first.
    pub(super) fn dial(&mut self, now: Point, link: u64) {
        let Some(streamer) = self.links.get(&link).map(|streamer_link| streamer_link.streamer.clone()) else {
            return;
        };
        if !self.can_dial(&streamer) {
            self.close_spare_connection(now);
        }
        let can_dial = self.can_dial(&streamer);
        let Some(streamer_link) = self.links.get_mut(&link).filter(|_| can_dial) else { return };
        let known = self.streamers.get(&streamer_link.streamer);
        // The address of a streamer that is gone may belong to another one.
        let Some(known) = known.filter(|known| known.state() != StreamerState::Gone) else { return };
        let dial = streamer_link.link.start_dial(now, self.settings.dial_timeout);
        self.last_dial += 1;
        streamer_link.dial_number = self.last_dial;
        let on = Connection { link, dial };
        self.effects.push(Effect::Dial { on, address: known.entry.address.clone() });
    }

    /// Closes the connection of a link from this end.
    pub(super) fn close_link(&mut self, now: Point, link: u64, loss: ConnectionLoss, reason: CloseReason) {
        let Some(streamer_link) = self.links.get(&link) else { return };
        if streamer_link.link.is_up() || streamer_link.link.is_dialling() {
            let on = Connection { link, dial: streamer_link.link.dial };
            // What a streamer sends until it has noticed the close is read, where there are descriptors to spare.
            let is_read_on = match reason {
                CloseReason::Unanswered | CloseReason::QueueFull | CloseReason::MakesRoom => true,
                CloseReason::Silent => self.free_connection_count() > 0,
                CloseReason::Idle | CloseReason::AddressChanged | CloseReason::StreamerGone => false,
            };
            let awaits_close = self.await_close_if_useful(on, is_read_on);
            tracing::debug!(target: "attempt", ?on, ?reason, awaits_close, "closes a connection to a streamer");
            self.effects.push(Effect::Close { on, awaits_close });
            self.handle_loss(now, link, loss, LossCause::ThisEnd { awaits_close });
        }
    }

    /// Of the links of a streamer that are up or being dialled, prefers one that is not suspect, then one that is up,
    /// then the one with the fewest pending set-ups.
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

    /// Queues a message that is no set-up on a link. A link that takes no more messages is closed.
    pub(super) fn send_to_streamer(&mut self, now: Point, link: u64, message: Message) {
        let Some(streamer_link) = self.links.get_mut(&link) else { return };
        if !streamer_link.link.is_up() && !streamer_link.link.is_dialling() {
            return;
        }
        if streamer_link.link.push(QueuedMessage {
            message: OutboundMessage { message, permit: None },
            attempt: None,
            not_after: None,
        }) {
            self.write_next_batch(now, link);
        } else {
            self.close_link(now, link, ConnectionLoss::Disconnected, CloseReason::QueueFull);
        }
    }

    /// Passes the next messages of a link to the I/O.
    pub(super) fn write_next_batch(&mut self, now: Point, link: u64) {
        let Some(streamer_link) = self.links.get_mut(&link) else { return };
        let messages = streamer_link.link.next_batch(now);
        if messages.is_empty() {
            return;
        }
        let on = Connection { link, dial: streamer_link.link.dial };
        self.effects.push(Effect::Write { on, messages });
    }

    /// Dials a streamer that a message is to be sent to at once, without waiting for the redial delay, and returns the
    /// link if the dial began.
    pub(super) fn dial_now(&mut self, now: Point, streamer: &Arc<str>) -> Option<u64> {
        let known = self.streamers.get(streamer).filter(|known| known.state() != StreamerState::Gone)?;
        let links = &known.link_ids;
        if links.is_empty() {
            self.add_link(now, streamer);
            return Some(self.last_link).filter(|link| self.links[link].link.is_dialling());
        }
        let can_dial_now =
            |link: &&u64| self.links.get(link).is_some_and(|streamer_link| streamer_link.link.can_dial(now));
        let link = *links.iter().find(can_dial_now)?;
        self.links.get_mut(&link)?.link.idle_since = None;
        self.dial(now, link);
        self.links.get(&link).filter(|streamer_link| streamer_link.link.is_dialling()).map(|_| link)
    }
}
