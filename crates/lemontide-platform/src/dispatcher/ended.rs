//! Sessions that ended lately. Their streamers may still release them, or repeat a release, which would be taken for
//! the end of a new attempt under the same number.

use lemontide::clock::{Point, Span};
use std::collections::{HashSet, VecDeque};

/// How long a streamer may repeat a release.
const REPEATED_RELEASE_PERIOD: Span = Span::of_millis(8000);
/// Maximum number of sessions that are remembered.
const MAX_SESSIONS: usize = 8192;

/// The sessions that ended within the last 8 s, at most 8,192. If there are more, the oldest is removed.
#[derive(Default)]
pub(super) struct EndedSessions {
    by_age: VecDeque<(Point, u64)>,
    sessions: HashSet<u64>,
}

impl EndedSessions {
    /// Remembers a session that ended now.
    pub(super) fn insert(&mut self, now: Point, session: u64) {
        if !self.sessions.insert(session) {
            return;
        }
        self.by_age.push_back((now, session));
        if self.by_age.len() > MAX_SESSIONS {
            self.remove_oldest();
        }
    }

    /// Whether a session is remembered.
    pub(super) fn contains(&self, session: u64) -> bool {
        self.sessions.contains(&session)
    }

    /// Removes sessions that their streamers do not release any more.
    pub(super) fn remove_expired(&mut self, now: Point) {
        while self.by_age.front().is_some_and(|(since, _)| now > *since + REPEATED_RELEASE_PERIOD) {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some((_, session)) = self.by_age.pop_front() {
            self.sessions.remove(&session);
        }
    }
}
