//! The dispatcher's part of which connections are needed: what streamers may still have to tell of the sessions that
//! play there, and whom a free connection serves first.
//!
//! A release that was lost with a connection is sent again on the next connection that is opened. So after the loss of
//! a connection to a streamer at which sessions play, a new one is opened, whatever others are up. A streamer may send
//! on a connection that this end has closed until it notices the close; the next connection counts only after that.

use super::*;

/// What is missing before everything is heard that a streamer has said of the sessions that play there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Unheard {
    #[default]
    Nothing,
    /// This end has closed its half of this connection, and reads what the streamer sends until it closes it, too.
    AwaitsClose(Connection),
    /// This end has closed a connection after this test. The streamer has noticed once it passes a later one.
    AwaitsTest { last_test: u64 },
    /// A connection was lost after this dial. A later one carries what was lost.
    AwaitsConnection { last_dial: u64 },
}

/// How a connection to a streamer was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LossCause {
    /// The streamer closed or reset it.
    Streamer,
    /// This end closed it; with whether the streamer's close is awaited.
    ThisEnd { awaits_close: bool },
}

impl Dispatcher {
    /// The streamers at which sessions play.
    pub(super) fn streamers_with_sessions(&self) -> BTreeSet<Arc<str>> {
        let playing = self.sessions.values().filter(|tracked| tracked.playing_since.is_some());
        playing.map(|tracked| tracked.streamer.clone()).collect()
    }

    fn has_sessions(&self, streamer: &str) -> bool {
        self.sessions
            .values()
            .any(|tracked| &*tracked.streamer == streamer && tracked.playing_since.is_some())
    }

    /// A connection that was up is lost: its streamer may have sent on it what was not read.
    pub(super) fn note_lost_connection(&mut self, on: Connection, streamer: &str, cause: LossCause) {
        let (last_dial, last_test) = (self.last_dial, self.last_test);
        let has_sessions = self.has_sessions(streamer);
        let Some(known) = self.streamers.get_mut(streamer).filter(|_| has_sessions) else { return };
        known.unheard = match (cause, known.unheard) {
            (LossCause::Streamer, _) | (_, Unheard::AwaitsConnection { .. }) => {
                Unheard::AwaitsConnection { last_dial }
            }
            (LossCause::ThisEnd { awaits_close: true }, _) => Unheard::AwaitsClose(on),
            (LossCause::ThisEnd { awaits_close: false }, _) => Unheard::AwaitsTest { last_test },
        };
    }

    /// The streamer's close of a connection was awaited, and came or did not.
    pub(super) fn note_closed(&mut self, now: Point, on: Connection, streamer: &Arc<str>, by_streamer: bool) {
        let last_test = self.last_test;
        let Some(known) = self.streamers.get_mut(streamer) else { return };
        if known.unheard != Unheard::AwaitsClose(on) {
            return;
        }
        known.unheard = if by_streamer { Unheard::Nothing } else { Unheard::AwaitsTest { last_test } };
        self.send_awaited_test(now, streamer);
    }

    /// A connection is up: it carries what was lost with earlier ones, or the test that shows whether the next one does.
    pub(super) fn note_connected(&mut self, now: Point, streamer: &Arc<str>, dial_number: u64) {
        let Some(known) = self.streamers.get_mut(streamer) else { return };
        if matches!(known.unheard, Unheard::AwaitsConnection { last_dial } if dial_number > last_dial) {
            known.unheard = Unheard::Nothing;
        }
        self.send_awaited_test(now, streamer);
    }

    /// Sends the test that a streamer has to pass before its next connection carries what was lost.
    pub(super) fn send_awaited_test(&mut self, now: Point, streamer: &Arc<str>) {
        let unheard = self.streamers.get(streamer).map(|known| known.unheard);
        if !matches!(unheard, Some(Unheard::AwaitsTest { .. })) {
            return;
        }
        if let Some(link) = self.best_link(streamer) {
            self.send_test(now, link);
        }
    }

    /// A streamer has passed a test: it has noticed the closes before it, and says on its next connection what it sent
    /// on a closed one.
    pub(super) fn note_test_passed(&mut self, now: Point, streamer: &Arc<str>, test: u64) {
        let last_dial = self.last_dial;
        let Some(known) = self.streamers.get_mut(streamer) else { return };
        if matches!(known.unheard, Unheard::AwaitsTest { last_test } if test > last_test) {
            known.unheard = Unheard::AwaitsConnection { last_dial };
            self.open_needed_connections(now);
        }
    }

    /// Whether a streamer at which sessions play has no connection, or needs a new one, and none is being dialled.
    fn waits_for_connection(&self, streamer: &str) -> bool {
        let Some(known) = self.streamers.get(streamer) else { return false };
        let links = || known.link_ids.iter().filter_map(|link| self.links.get(link));
        let newest_dialled = || {
            let dialling = links().filter(|streamer_link| streamer_link.link.is_dialling());
            dialling.map(|streamer_link| streamer_link.dial_number).max().unwrap_or_default()
        };
        let is_live = |link: &StreamerLink| link.link.is_up() || link.link.is_dialling();
        known.state() != StreamerState::Gone
            && match known.unheard {
                Unheard::AwaitsConnection { last_dial } => newest_dialled() <= last_dial,
                _ => !links().any(is_live),
            }
    }

    /// Whether what a streamer has said of its sessions comes with a connection that is not opened yet.
    pub(super) fn needs_new_connection(&self, streamer: &str) -> bool {
        let unheard = self.streamers.get(streamer).map(|known| known.unheard);
        matches!(unheard, Some(Unheard::AwaitsConnection { .. })) && self.waits_for_connection(streamer)
    }

    /// Number of connections that are up, being dialled, or being closed.
    fn open_connection_count(&self) -> usize {
        let is_live =
            |streamer_link: &&StreamerLink| streamer_link.link.is_up() || streamer_link.link.is_dialling();
        self.links.values().filter(is_live).count() + self.closing.len()
    }

    /// Number of free connections, of those that are reserved for streamers. Guards against more streamers than
    /// descriptors: the list and the viewers have their own.
    pub(super) fn free_connection_count(&self) -> usize {
        self.settings.max_connections.saturating_sub(self.open_connection_count())
    }

    /// Whether a connection is free for this streamer. Streamers at which sessions play come first: new set-ups leave
    /// a connection for each of them that waits for one.
    pub(super) fn can_dial(&self, streamer: &str) -> bool {
        let free = self.free_connection_count();
        if free == 0 || free > self.streamers.len() {
            return free > 0;
        }
        let waiting: Vec<Arc<str>> = self
            .streamers_with_sessions()
            .into_iter()
            .filter(|waiting| self.waits_for_connection(waiting))
            .collect();
        waiting.iter().any(|waiting| &**waiting == streamer) || free > waiting.len()
    }

    /// Opens the connections that streamers with sessions wait for, as far as there are free ones. Failed dials are
    /// repeated after their delay.
    pub(super) fn open_needed_connections(&mut self, now: Point) {
        for streamer in self.streamers_with_sessions() {
            if self.waits_for_connection(&streamer) {
                self.open_needed_connection(now, &streamer);
            }
        }
    }

    fn open_needed_connection(&mut self, now: Point, streamer: &Arc<str>) {
        let Some(known) = self.streamers.get(streamer) else { return };
        let links = known.link_ids.clone();
        let is_down = |link: &u64| {
            self.links.get(link).is_some_and(|known| !known.link.is_up() && !known.link.is_dialling())
        };
        if let Some(link) = links.iter().copied().find(is_down) {
            let is_due = |streamer_link: &StreamerLink| streamer_link.link.is_redial_due(now);
            if self.links.get(&link).is_some_and(is_due) {
                self.dial(now, link);
            }
            return;
        }
        if self.free_connection_count() == 0 {
            self.close_spare_connection(now);
        }
        if links.is_empty()
            || links.len() < connections::MAX_LINKS_PER_STREAMER && self.free_connection_count() > 0
        {
            return self.add_link(now, streamer);
        }
        // One of its own connections makes room, and is dialled again once it is closed.
        let rests = |link: &u64| {
            let streamer_link = self.links.get(link);
            streamer_link.is_some_and(|known| known.link.is_up() && known.pending_set_ups == 0)
        };
        if let Some(link) = links.iter().copied().find(rests) {
            self.close_link(now, link, ConnectionLoss::Disconnected, CloseReason::MakesRoom);
        }
    }

    /// Closes a connection that nothing needs, the longest idle first, or otherwise one of several to the same
    /// streamer.
    pub(super) fn close_spare_connection(&mut self, now: Point) {
        let has_several = |streamer: &Arc<str>| {
            let links = self.streamers.get(streamer).map(|known| &known.link_ids);
            let is_up = |link: &&u64| self.links.get(link).is_some_and(|other| other.link.is_up());
            links.is_some_and(|links| links.iter().filter(is_up).count() > 1)
        };
        let is_free = |streamer_link: &StreamerLink| {
            streamer_link.link.is_up()
                && streamer_link.pending_set_ups == 0
                && (streamer_link.link.idle_since.is_some() || has_several(&streamer_link.streamer))
        };
        let candidates = self.links.iter().filter(|(_, streamer_link)| is_free(streamer_link));
        let first = candidates.min_by_key(|(_, streamer_link)| {
            (streamer_link.link.idle_since.is_none(), streamer_link.link.idle_since)
        });
        if let Some(link) = first.map(|(link, _)| *link) {
            self.close_link(now, link, ConnectionLoss::Disconnected, CloseReason::MakesRoom);
        }
    }
}
