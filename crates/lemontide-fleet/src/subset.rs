//! The subset of streamers that an instance uses first, selected by rendezvous hashing: as wide as its own traffic needs,
//! wider at once where holders are unavailable, and narrower only slowly.
//!
//! The subset is a preference among nearly equal holders. A holder that the caller's figures about it rule out is
//! skipped by the caller, whether it is in the subset or not.

use crate::rendezvous::{Holder, RendezvousHash};
use lemontide::clock::{Point, Span};
use std::collections::BTreeSet;

/// Holders per title for an instance with at most the mean traffic.
const MIN_HOLDERS: f64 = 1.0;
/// Most holders per title; reached at this multiple of the mean traffic.
const MAX_HOLDERS: f64 = 16.0;
/// A subset that is too wide loses one holder per title in this time.
const NARROWING_INTERVAL: Span = Span::of_millis(10_000);
/// Time constant over which own requests are counted.
const RATE_TIME_CONSTANT_S: f64 = 10.0;
/// Added to the counted and to the expected requests, so that a few requests prove little about the traffic.
const PRIOR_REQUESTS: f64 = 20.0;

/// The cells that hold a title: the first one, and how many in a row.
pub type CellRange = (usize, usize);

/// The streamers that one instance uses first.
#[derive(Clone, Debug)]
pub struct StreamerSubset {
    hash: RendezvousHash,
    /// Holders per title, not rounded.
    width: f64,
    /// Requests counted with exponential decay, and when they were last decayed.
    recent_requests: f64,
    decayed_at: Point,
    selected: BTreeSet<u32>,
}

impl StreamerSubset {
    /// An empty subset of the instance with this number.
    pub fn new(now: Point, number: u32) -> StreamerSubset {
        StreamerSubset {
            hash: RendezvousHash::new(number),
            width: MIN_HOLDERS,
            recent_requests: 0.0,
            decayed_at: now,
            selected: BTreeSet::new(),
        }
    }

    /// How many holders of each title are selected.
    pub fn holders_per_title(&self) -> usize {
        (self.width - 1e-9).ceil().max(1.0) as usize
    }

    /// A request has arrived.
    pub fn record_request(&mut self, now: Point) {
        self.decay(now);
        self.recent_requests += 1.0;
    }

    /// Recent requests per second.
    pub fn request_rate(&self) -> f64 {
        self.recent_requests / RATE_TIME_CONSTANT_S
    }

    fn decay(&mut self, now: Point) -> Span {
        let elapsed = now - self.decayed_at;
        self.decayed_at = self.decayed_at.max(now);
        self.recent_requests *= (-elapsed.seconds().max(0.0) / RATE_TIME_CONSTANT_S).exp();
        elapsed
    }

    /// Adapts the width to the own traffic, where `mean_per_s` is the mean of all instances in requests per second; with
    /// an unknown or invalid mean the width goes to its minimum. It grows at once and shrinks slowly, as every change
    /// costs connections.
    pub fn adapt_width(&mut self, now: Point, mean_per_s: Option<f64>) {
        let elapsed_s = self.decay(now).seconds().max(0.0);
        let expected =
            mean_per_s.filter(|mean| mean.is_finite() && *mean > 0.0).map(|mean| mean * RATE_TIME_CONSTANT_S);
        // An instance with little traffic that gets two requests at once is not a busy one.
        let relative_traffic = expected
            .map_or(1.0, |expected| (self.recent_requests + PRIOR_REQUESTS) / (expected + PRIOR_REQUESTS));
        let wanted = (MIN_HOLDERS * relative_traffic).clamp(MIN_HOLDERS, MAX_HOLDERS);
        let narrowed = (self.width - elapsed_s / NARROWING_INTERVAL.seconds()).max(wanted);
        self.width = self.width.max(wanted).min(narrowed);
    }

    /// Selects anew for the titles in these cells. `holders` gives the holders of a range of cells, each with a number
    /// that is always the same for the same streamer. Returns the changes: numbers that entered the subset with `true`,
    /// those that left it with `false`.
    pub fn select(
        &mut self,
        ranges: impl Iterator<Item = CellRange>,
        mut holders: impl FnMut(CellRange) -> Vec<(u32, Holder)>,
    ) -> Vec<(u32, bool)> {
        let mut selected = BTreeSet::new();
        let mut seen = BTreeSet::new();
        for range in ranges.filter(|range| seen.insert(*range)) {
            let numbered = holders(range);
            let holders: Vec<Holder> = numbered.iter().map(|(_, holder)| *holder).collect();
            let first = self.hash.select(&holders, self.holders_per_title());
            selected.extend(first.into_iter().map(|index| numbered[index].0));
        }
        let entered = selected.difference(&self.selected).map(|number| (*number, true));
        let left = self.selected.difference(&selected).map(|number| (*number, false));
        let changes = entered.chain(left).collect();
        self.selected = selected;
        changes
    }

    /// Whether a streamer is in the subset.
    pub fn contains(&self, number: u32) -> bool {
        self.selected.contains(&number)
    }

    /// How many streamers are in the subset.
    pub fn len(&self) -> usize {
        self.selected.len()
    }

    /// Whether no streamer is in the subset.
    pub fn is_empty(&self) -> bool {
        self.selected.is_empty()
    }
}
