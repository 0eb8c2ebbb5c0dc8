//! Limits on what is sent and received in one second, whatever the size of the fleet or of a flood.

use lemontide::clock::{Point, Span};
use std::collections::{HashMap, VecDeque};

const WINDOW: Span = Span::of_millis(1000);
/// Most senders whose rate is counted at a time. Further ones are dropped until a counted one was silent for a second.
const MAX_TRACKED_SENDERS: usize = 4096;

/// Limits the bytes that are sent within any second (a sliding window). A part is reserved for higher priorities.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    limit: usize,
    sent: VecDeque<(Point, usize)>,
    sum: usize,
}

/// Priority of an outgoing message when little of the budget is left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Can be delayed or omitted: updates that are passed on, anti-entropy syncs.
    Background,
    /// Needed for the protocol to go on: pings.
    Protocol,
    /// A reply that a peer waits for.
    Reply,
}

impl ByteBudget {
    /// A budget of so many bytes in any second.
    pub fn new(limit: usize) -> ByteBudget {
        ByteBudget { limit, sent: VecDeque::new(), sum: 0 }
    }

    /// Bytes that may still be sent now at this priority: background messages may use two thirds of the budget,
    /// protocol messages five sixths, replies all of it.
    pub fn available(&mut self, now: Point, priority: Priority) -> usize {
        while let Some((at, bytes)) = self.sent.front().copied() {
            if now - at < WINDOW {
                break;
            }
            self.sent.pop_front();
            self.sum -= bytes;
        }
        let limit = match priority {
            Priority::Background => self.limit * 2 / 3,
            Priority::Protocol => self.limit * 5 / 6,
            Priority::Reply => self.limit,
        };
        limit.saturating_sub(self.sum)
    }

    /// Spends so many bytes if they are available at this priority, and returns whether they were.
    pub fn try_spend(&mut self, now: Point, priority: Priority, bytes: usize) -> bool {
        let fits = bytes <= self.available(now, priority);
        if fits {
            self.sent.push_back((now, bytes));
            self.sum += bytes;
        }
        fits
    }

    /// Bytes that were sent within the last second.
    pub fn spent_in_last_second(&mut self, now: Point) -> usize {
        self.available(now, Priority::Reply);
        self.sum
    }
}

/// Limits the messages that are accepted from each sender in one second, counted from its first message. The rest is
/// dropped before work is spent on it.
#[derive(Clone, Debug)]
pub struct RateLimiter<K> {
    limit: u32,
    counts: HashMap<K, (Point, u32)>,
}

impl<K: std::hash::Hash + Eq + Clone> RateLimiter<K> {
    /// A limit of so many messages a second for each sender.
    pub fn new(limit: u32) -> RateLimiter<K> {
        RateLimiter { limit, counts: HashMap::new() }
    }

    /// Counts a message of this sender and returns whether it is within the limit.
    pub fn allow(&mut self, now: Point, sender: &K) -> bool {
        if let Some((window_start, count)) = self.counts.get_mut(sender) {
            if now - *window_start >= WINDOW {
                (*window_start, *count) = (now, 0);
            }
            *count += 1;
            return *count <= self.limit;
        }
        if self.counts.len() >= MAX_TRACKED_SENDERS {
            self.counts.retain(|_, (window_start, _)| now - *window_start < WINDOW);
            if self.counts.len() >= MAX_TRACKED_SENDERS {
                return false;
            }
        }
        self.counts.insert(sender.clone(), (now, 1));
        self.limit > 0
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #[test]
        fn no_second_exceeds_the_byte_budget(sends in proptest::collection::vec((0u32..400, 1usize..900, 0u8..3), 1..200)) {
            let mut budget = ByteBudget::new(2000);
            let (mut now, mut sent) = (Point::at(1000.0), Vec::new());
            for (ms, size, priority) in sends {
                now = now + Span::of_millis(i64::from(ms));
                let priority = [Priority::Background, Priority::Protocol, Priority::Reply][usize::from(priority)];
                if budget.try_spend(now, priority, size) {
                    sent.push((now, size));
                }
                let in_window = sent.iter().filter(|(at, _)| now - *at < WINDOW).map(|(_, size)| size).sum::<usize>();
                prop_assert!(in_window <= 2000, "{in_window} bytes in one second");
                prop_assert_eq!(in_window, budget.spent_in_last_second(now));
            }
        }
    }

    #[test]
    fn a_flood_of_senders_is_bounded_and_new_senders_are_allowed_after_it() {
        let mut limiter = RateLimiter::new(2);
        let at = |s: f64| Point::at(1000.0 + s);
        let allowed = (0..10_000u32).filter(|sender| limiter.allow(at(0.0), sender)).count();
        assert_eq!(allowed, MAX_TRACKED_SENDERS);
        assert!(limiter.allow(at(0.5), &1) && !limiter.allow(at(0.6), &1));
        assert!(limiter.allow(at(1.2), &9_999_999), "the flood is over");
    }
}
