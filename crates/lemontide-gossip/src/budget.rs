//! Bounds on what goes out and comes in: bytes and messages in any second, whatever the fleet's size or a flood.

use lemontide::clock::{Point, Span};
use std::collections::{HashMap, VecDeque};

const SECOND: Span = Span::of_millis(1000);
/// Peers whose rate is counted at a time; more than that are not let in until some fall silent.
const PEERS_MOST: usize = 4096;

/// Bytes that may leave within any second. Some of it is kept for what must not wait.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    most: usize,
    sent: VecDeque<(Point, usize)>,
    sum: usize,
}

/// How much a message matters when there is little left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// May wait or be left out: what is passed on, anti-entropy.
    Background,
    /// Keeps the protocol going: pings.
    Protocol,
    /// An answer that somebody waits for.
    Reply,
}

impl ByteBudget {
    pub fn new(most: usize) -> ByteBudget {
        ByteBudget { most, sent: VecDeque::new(), sum: 0 }
    }

    /// What is left of the last second for this need: spare messages may use two thirds, plain ones five sixths.
    pub fn available(&mut self, now: Point, need: Priority) -> usize {
        while let Some((at, bytes)) = self.sent.front().copied() {
            if now - at < SECOND {
                break;
            }
            self.sent.pop_front();
            self.sum -= bytes;
        }
        let most = match need {
            Priority::Background => self.most * 2 / 3,
            Priority::Protocol => self.most * 5 / 6,
            Priority::Reply => self.most,
        };
        most.saturating_sub(self.sum)
    }

    /// Takes so many bytes, or refuses where they would be more than is left.
    pub fn try_spend(&mut self, now: Point, need: Priority, bytes: usize) -> bool {
        let fits = bytes <= self.available(now, need);
        if fits {
            self.sent.push_back((now, bytes));
            self.sum += bytes;
        }
        fits
    }

    /// Bytes that left within the last second.
    pub fn spent_in_last_second(&mut self, now: Point) -> usize {
        self.available(now, Priority::Reply);
        self.sum
    }
}

/// Messages that each sender may send within any second; the rest is dropped before work is spent on it.
#[derive(Clone, Debug)]
pub struct RateLimiter<K> {
    most: u32,
    counts: HashMap<K, (Point, u32)>,
}

impl<K: std::hash::Hash + Eq + Clone> RateLimiter<K> {
    pub fn new(most: u32) -> RateLimiter<K> {
        RateLimiter { most, counts: HashMap::new() }
    }

    pub fn allow(&mut self, now: Point, who: &K) -> bool {
        if let Some((since, count)) = self.counts.get_mut(who) {
            if now - *since >= SECOND {
                (*since, *count) = (now, 0);
            }
            *count += 1;
            return *count <= self.most;
        }
        if self.counts.len() >= PEERS_MOST {
            self.counts.retain(|_, (since, _)| now - *since < SECOND);
            if self.counts.len() >= PEERS_MOST {
                return false;
            }
        }
        self.counts.insert(who.clone(), (now, 1));
        self.most > 0
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #[test]
        fn no_second_carries_more_than_its_bytes(sends in proptest::collection::vec((0u32..400, 1usize..900, 0u8..3), 1..200)) {
            let mut bytes = ByteBudget::new(2000);
            let (mut now, mut sent) = (Point::at(1000.0), Vec::new());
            for (ms, size, need) in sends {
                now = now + Span::of_millis(i64::from(ms));
                let need = [Priority::Background, Priority::Protocol, Priority::Reply][usize::from(need)];
                if bytes.try_spend(now, need, size) {
                    sent.push((now, size));
                }
                let window = sent.iter().filter(|(at, _)| now - *at < SECOND).map(|(_, size)| size).sum::<usize>();
                prop_assert!(window <= 2000, "{window} bytes in one second");
                prop_assert_eq!(window, bytes.spent_in_last_second(now));
            }
        }
    }

    #[test]
    fn a_flood_of_senders_is_bounded_and_passes() {
        let mut rates = RateLimiter::new(2);
        let at = |s: f64| Point::at(1000.0 + s);
        let admitted = (0..10_000u32).filter(|who| rates.allow(at(0.0), who)).count();
        assert_eq!(admitted, PEERS_MOST);
        assert!(rates.allow(at(0.5), &1) && !rates.allow(at(0.6), &1));
        assert!(rates.allow(at(1.2), &9_999_999), "the flood is over");
    }
}
