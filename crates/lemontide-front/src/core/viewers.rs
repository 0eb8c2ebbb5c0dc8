//! Viewers seen lately, so that one who comes again after a break or a turn-back counts as returned even where
//! the player does not say so.

use lemontide::clock::{Point, Span};
use std::collections::{HashMap, VecDeque};

/// How long a viewer is remembered, and how many at most: more push out the oldest.
const REMEMBERED: Span = Span::of_millis(60_000);
const MOST: usize = 50_000;

#[derive(Default)]
pub struct Viewers {
    seen: HashMap<String, Point>,
    order: VecDeque<(Point, String)>,
}

impl Viewers {
    /// Whether this session name was here within the last minute; it is remembered from now on.
    pub fn returns(&mut self, now: Point, session: &str) -> bool {
        while let Some((at, _)) = self.order.front() {
            if now - *at < REMEMBERED && self.order.len() < MOST {
                break;
            }
            if let Some((at, old)) = self.order.pop_front() {
                // A later visit has a later entry of its own.
                if self.seen.get(&old) == Some(&at) {
                    self.seen.remove(&old);
                }
            }
        }
        self.order.push_back((now, session.to_owned()));
        self.seen.insert(session.to_owned(), now).is_some()
    }
}

impl Viewers {
    /// Memory is short: the older half is forgotten and its room given back.
    pub fn shrink(&mut self) {
        for _ in 0..self.order.len().div_ceil(2) {
            let Some((at, old)) = self.order.pop_front() else { break };
            if self.seen.get(&old) == Some(&at) {
                self.seen.remove(&old);
            }
        }
        self.order.shrink_to_fit();
        self.seen.shrink_to_fit();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_viewer_returns_within_a_minute_and_memory_is_bounded() {
        let mut viewers = Viewers::default();
        let at = |s: f64| Point::at(1000.0 + s);
        assert!(!viewers.returns(at(0.0), "a"));
        assert!(viewers.returns(at(50.0), "a"));
        assert!(viewers.returns(at(100.0), "a"));
        assert!(!viewers.returns(at(161.0), "a"));
        for i in 0..2 * MOST {
            viewers.returns(at(162.0), &i.to_string());
        }
        assert!(viewers.seen.len() <= MOST && viewers.order.len() <= MOST);
        let before = viewers.seen.len();
        viewers.shrink();
        assert!(viewers.seen.len() <= before / 2 + 1);
        assert!(viewers.returns(at(163.0), &(2 * MOST - 1).to_string()), "the newest are still known");
    }
}
