//! Sessions that ended lately. Their streamers may still release them, or repeat a release, which would be taken for
//! the end of a new attempt under the same number; and an attempt under it may still run, so that a second one would run
//! beside it. None is forgotten before its time: a client that has ended too many gets no new ones meanwhile.

use lemontide::clock::{Point, Span};
use std::collections::{HashMap, HashSet, VecDeque};

/// How long a streamer may repeat a release.
const REPEATED_RELEASE_PERIOD: Span = Span::of_millis(8000);
/// Number of sessions from which no new request is accepted. More than a process decides within the period.
const MAX_SESSIONS: usize = 65_536;
/// How much of the free places one connection can take.
const CONNECTION_SHARE: usize = 4;

/// One session that has ended.
struct EndedSession {
    ended_at: Point,
    session: u64,
    connection_id: u64,
}

/// The sessions that ended within the last 8 s.
#[derive(Default)]
pub(super) struct EndedSessions {
    by_age: VecDeque<EndedSession>,
    sessions: HashSet<u64>,
    count_by_connection: HashMap<u64, usize>,
}

impl EndedSessions {
    /// Remembers a session that ended now, and the connection of its client.
    pub(super) fn insert(&mut self, now: Point, session: u64, connection_id: u64) {
        if !self.sessions.insert(session) {
            return;
        }
        *self.count_by_connection.entry(connection_id).or_default() += 1;
        self.by_age.push_back(EndedSession { ended_at: now, session, connection_id });
    }

    /// Whether a session is remembered.
    pub(super) fn contains(&self, session: u64) -> bool {
        self.sessions.contains(&session)
    }

    /// Whether a client can have another session, which will be remembered here at its end.
    pub(super) fn has_room(&self, connection_id: u64) -> bool {
        let free = MAX_SESSIONS.saturating_sub(self.by_age.len());
        let own = self.count_by_connection.get(&connection_id).copied().unwrap_or_default();
        own < CONNECTION_SHARE * free
    }

    /// Removes sessions that their streamers do not release any more.
    pub(super) fn remove_expired(&mut self, now: Point) {
        let is_expired = |oldest: &EndedSession| now > oldest.ended_at + REPEATED_RELEASE_PERIOD;
        while let Some(oldest) = self.by_age.pop_front_if(|oldest| is_expired(oldest)) {
            self.sessions.remove(&oldest.session);
            let Some(count) = self.count_by_connection.get_mut(&oldest.connection_id) else { continue };
            *count -= 1;
            if *count == 0 {
                self.count_by_connection.remove(&oldest.connection_id);
            }
        }
    }
}
