//! Viewers seen recently, so that the request of one who returns after an interruption or a rejection counts as a retry
//! even where the player does not mark it as one.

use lemontide::clock::{Point, Span};
use std::collections::{HashMap, VecDeque};

/// How long a viewer is remembered.
const RETENTION: Span = Span::of_millis(60_000);
/// Highest number of remembered requests; beyond it the oldest are forgotten.
const MAX_ENTRIES: usize = 50_000;

/// The CMCD session ids of recent viewers.
#[derive(Default)]
pub struct RecentViewers {
    last_seen: HashMap<String, Point>,
    by_age: VecDeque<(Point, String)>,
}

impl RecentViewers {
    /// Remembers this session id; returns whether it was seen within the last minute.
    pub fn record(&mut self, now: Point, session_id: &str) -> bool {
        while let Some((at, _)) = self.by_age.front() {
            if now - *at < RETENTION && self.by_age.len() < MAX_ENTRIES {
                break;
            }
            if let Some((at, session_id)) = self.by_age.pop_front() {
                // A viewer that was seen again later has a later entry.
                if self.last_seen.get(&session_id) == Some(&at) {
                    self.last_seen.remove(&session_id);
                }
            }
        }
        self.by_age.push_back((now, session_id.to_owned()));
        self.last_seen.insert(session_id.to_owned(), now).is_some()
    }
}

impl RecentViewers {
    /// Forgets the older half and releases its memory, for when memory is short.
    pub fn shrink(&mut self) {
        for _ in 0..self.by_age.len().div_ceil(2) {
            let Some((at, session_id)) = self.by_age.pop_front() else { break };
            if self.last_seen.get(&session_id) == Some(&at) {
                self.last_seen.remove(&session_id);
            }
        }
        self.by_age.shrink_to_fit();
        self.last_seen.shrink_to_fit();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_viewer_is_remembered_for_a_minute_and_the_number_is_bounded() {
        let mut viewers = RecentViewers::default();
        let at = |s: f64| Point::at(1000.0 + s);
        assert!(!viewers.record(at(0.0), "a"));
        assert!(viewers.record(at(50.0), "a"));
        assert!(viewers.record(at(100.0), "a"));
        assert!(!viewers.record(at(161.0), "a"));
        for i in 0..2 * MAX_ENTRIES {
            viewers.record(at(162.0), &i.to_string());
        }
        assert!(viewers.last_seen.len() <= MAX_ENTRIES && viewers.by_age.len() <= MAX_ENTRIES);
        let before = viewers.last_seen.len();
        viewers.shrink();
        assert!(viewers.last_seen.len() <= before / 2 + 1);
        assert!(
            viewers.record(at(163.0), &(2 * MAX_ENTRIES - 1).to_string()),
            "the newest are still remembered"
        );
    }
}
