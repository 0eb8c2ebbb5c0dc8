//! Which streamers an instance uses first, by its draws on the ring: as wide as its own traffic needs, wider at once
//! where holders are spent, narrower slowly.
//!
//! Soft by design: it names who goes first among nearly equal holders. Whoever can't be used by its own figures is
//! passed over by the caller, in this subset or not.

use crate::rendezvous::{Holder, RendezvousHash};
use lemontide::clock::{Point, Span};
use std::collections::BTreeSet;

/// First holders of a title for an instance with the mean traffic.
const WIDTH: f64 = 1.0;
/// Holders of a title that go first at most, and traffic over the mean that still widens.
const WIDTH_MOST: f64 = 16.0;
/// A subset that is too wide loses one holder a title in this time.
const NARROW: Span = Span::of_millis(10_000);
/// Own wishes are counted over about this time; so many prove something about them.
const SPAN_S: f64 = 10.0;
const PROOF: f64 = 20.0;

/// Where a title lies: its first cell and how many in a row hold it.
pub type CellRange = (usize, usize);

/// The streamers that one instance uses first.
#[derive(Clone, Debug)]
pub struct StreamerSubset {
    ring: RendezvousHash,
    /// First holders of each title now, not rounded.
    width: f64,
    counted: f64,
    at: Point,
    first: BTreeSet<u32>,
}

impl StreamerSubset {
    pub fn new(now: Point, number: u32) -> StreamerSubset {
        StreamerSubset {
            ring: RendezvousHash::new(number),
            width: WIDTH,
            counted: 0.0,
            at: now,
            first: BTreeSet::new(),
        }
    }

    /// First holders of each title.
    pub fn holders_per_title(&self) -> usize {
        (self.width - 1e-9).ceil().max(1.0) as usize
    }

    /// A wish came.
    pub fn record_request(&mut self, now: Point) {
        self.fade(now);
        self.counted += 1.0;
    }

    /// Wishes a second of late.
    pub fn request_rate(&self) -> f64 {
        self.counted / SPAN_S
    }

    fn fade(&mut self, now: Point) -> Span {
        let passed = now - self.at;
        self.at = self.at.max(now);
        self.counted *= (-passed.seconds().max(0.0) / SPAN_S).exp();
        passed
    }

    /// The width for the own traffic, `mean` being that of one instance in wishes a second; an unknown mean, or one
    /// that is no number, asks for the least. Wider at once, narrower slowly, as every change costs connections.
    pub fn adapt_width(&mut self, now: Point, mean: Option<f64>) {
        let passed = self.fade(now).seconds().max(0.0);
        let known = mean.filter(|mean| mean.is_finite() && *mean > 0.0).map(|mean| mean * SPAN_S);
        // Few wishes prove little: a quiet instance that hears two at once is no busy one.
        let over = known.map_or(1.0, |due| (self.counted + PROOF) / (due + PROOF));
        let wanted = (WIDTH * over).clamp(WIDTH, WIDTH_MOST);
        self.width = self.width.max(wanted).min((self.width - passed / NARROW.seconds()).max(wanted));
    }

    /// Chooses anew over these titles; `holders` gives those of a place with a number for each, the same for the same
    /// streamer. What entered the subset comes with true, what left it with false.
    pub fn select(
        &mut self,
        places: impl Iterator<Item = CellRange>,
        mut holders: impl FnMut(CellRange) -> Vec<(u32, Holder)>,
    ) -> Vec<(u32, bool)> {
        let mut first = BTreeSet::new();
        let mut seen = BTreeSet::new();
        for place in places.filter(|place| seen.insert(*place)) {
            let of = holders(place);
            let known: Vec<Holder> = of.iter().map(|(_, holder)| *holder).collect();
            first.extend(self.ring.select(&known, self.holders_per_title()).into_iter().map(|at| of[at].0));
        }
        let entered = first.difference(&self.first).map(|number| (*number, true));
        let left = self.first.difference(&first).map(|number| (*number, false));
        let changes = entered.chain(left).collect();
        self.first = first;
        changes
    }

    /// Whether a streamer goes first.
    pub fn contains(&self, number: u32) -> bool {
        self.first.contains(&number)
    }

    /// Streamers that go first.
    pub fn len(&self) -> usize {
        self.first.len()
    }

    pub fn is_empty(&self) -> bool {
        self.first.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(seconds: f64) -> Point {
        Point::at(50.0 + seconds)
    }

    fn holder(streamer: u32) -> Holder {
        Holder { streamer_key: streamer, weight: 1.0, is_local: true, unavailable: false }
    }

    #[test]
    fn ten_times_the_mean_is_wider_at_once_and_narrows_slowly() {
        let mut subset = StreamerSubset::new(at(0.0), 3);
        (0..200).for_each(|i| subset.record_request(at(f64::from(i) * 0.05)));
        subset.adapt_width(at(10.0), Some(1.0));
        assert!((3..=12).contains(&subset.holders_per_title()), "{}", subset.holders_per_title());
        let wide = subset.holders_per_title();
        subset.adapt_width(at(15.0), Some(1.0));
        assert_eq!(subset.holders_per_title(), wide, "half a holder less");
        subset.adapt_width(at(200.0), Some(1.0));
        assert_eq!(subset.holders_per_title(), 1);
        for mean in [None, Some(f64::NAN), Some(0.0), Some(-1.0), Some(f64::INFINITY)] {
            subset.adapt_width(at(201.0), mean);
            assert_eq!(subset.holders_per_title(), 1, "{mean:?}");
        }
        subset.adapt_width(at(100.0), Some(1.0));
        assert_eq!(subset.holders_per_title(), 1, "a clock that went back");
    }

    #[test]
    fn a_spent_first_holder_makes_room_at_once_and_the_change_is_told() {
        let mut subset = StreamerSubset::new(at(0.0), 3);
        let places = || [(0, 3), (3, 3), (0, 3)].into_iter();
        let all =
            |(home, copies): CellRange| (home..home + copies).map(|c| (c as u32, holder(c as u32))).collect();
        let entered = subset.select(places(), all);
        assert_eq!((entered.len(), subset.len()), (2, 2), "one of each three, the same place once");
        let gone = entered[0].0;
        let but = |place: CellRange| -> Vec<(u32, Holder)> {
            let spend = |(n, h): (u32, Holder)| (n, Holder { unavailable: n == gone, ..h });
            all(place).into_iter().map(spend).collect()
        };
        let changes = subset.select(places(), but);
        assert!(changes.contains(&(gone, false)) && changes.len() == 2, "{changes:?}");
        assert!(!subset.contains(gone) && subset.len() == 2);
        assert!(
            subset.select(places(), |_| Vec::new()).iter().all(|(_, entered)| !entered),
            "no cell has any"
        );
        assert!(subset.is_empty());
    }
}
