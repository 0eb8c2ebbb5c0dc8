//! This controller as one of many: its view of the others, the turns that it takes for missing ones, and the streamers
//! that it uses first and keeps links to. What is promised is the fleet core's; this ties it to lists and endings.

use super::driver::Effect;
use fnv::FnvHasher;
use lemontide::clock::{Point, Span};
use lemontide_fleet::{CellRange, FleetView, Holder, StreamerSubset};
use lemontide_wire::list::{ListEntry, StreamerState};
use lemontide_wire::tap::TapEvent;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::hash::Hasher;

/// The subset is chosen anew this often at most, and an ending that speaks against a streamer makes room for so long.
const CHOOSE_EVERY: Span = Span::of_millis(500);
const SPENT: Span = Span::of_millis(2000);
/// Idle links to streamers that go first are kept so many times longer.
const KEPT: f64 = 4.0;

/// What the settings say of it.
#[derive(Clone, Debug)]
pub struct Shared {
    pub me: u32,
    pub count: u32,
    /// Others are heard of; else all count as there.
    pub hears: bool,
    pub oldest: Span,
    pub subset: bool,
    pub idle: Span,
    /// The own zone, where crossing to another costs.
    pub zone: Option<String>,
    /// Wishes a second of a controller with the mean traffic, where that is known.
    pub mean: Option<f64>,
}

/// What the module is to be told.
#[derive(Clone, Debug, PartialEq)]
pub struct Turns {
    pub own: bool,
    pub missing: Vec<u32>,
    pub until: Point,
}

/// A controller's view of the fleet, and its own part in it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct InFleet {
    /// Controllers there, this one included, of so many that the settings count.
    pub present: u32,
    pub count: u32,
    /// The part of the fleet that was heard of within the oldest view's age, from 0 to 1.
    pub sure: f64,
    /// Another controller runs under the own number: this one has no turns.
    pub doubled: bool,
    /// Numbers of missing controllers whose turns are taken here.
    pub stands_for: Vec<u32>,
    /// First holders of each title, and streamers that are used first.
    pub width: usize,
    pub first: usize,
}

/// See the head of this file.
pub struct Together {
    terms: Shared,
    view: FleetView,
    subset: StreamerSubset,
    stood: Vec<u32>,
    /// When the subset was looked at last, and what it was chosen by: the list's state, the width, who is spent.
    looked: Option<Point>,
    chosen: Option<(u64, usize, Vec<u32>)>,
    /// Streamers that sent back or failed of late, by place, and until when they make room.
    spent: BTreeMap<u32, Point>,
}

/// A streamer's number on the ring: of its name, so that it is the same for every controller.
fn number(name: &str) -> u32 {
    let mut hasher = FnvHasher::default();
    hasher.write(name.as_bytes());
    let hash = hasher.finish();
    (hash ^ hash >> 32) as u32
}

impl Together {
    /// None where the settings name no fleet that could be shared with: then all is done as alone.
    pub fn new(now: Point, terms: &Shared) -> Option<Together> {
        let view = if terms.hears { FleetView::from_membership } else { FleetView::from_settings };
        let view = view(now, terms.me, terms.count).ok()?;
        let subset = StreamerSubset::new(now, terms.me);
        Some(Together {
            terms: terms.clone(),
            view,
            subset,
            stood: Vec::new(),
            looked: None,
            chosen: None,
            spent: BTreeMap::new(),
        })
    }

    /// Takes in who is there, whole: of each number since when nobody holds it, or none where one lives. What the
    /// module is to be told of it, and a line for the tap where it changed.
    pub fn hear(&mut self, now: Point, numbers: &BTreeMap<u32, Option<Point>>) -> (Turns, Option<Effect>) {
        for (number, gone) in numbers {
            match gone {
                None => self.view.mark_present(now, *number),
                Some(since) => self.view.mark_absent(now.min(*since), *number),
            }
        }
        self.view.refresh(now, self.terms.oldest);
        let missing = self.view.numbers_to_cover(now, self.terms.oldest);
        let until = now + self.terms.oldest;
        let changed = missing != self.stood;
        if changed {
            tracing::info!(target: "fleet", present = self.view.present_count(), stands_for = ?missing);
        }
        self.stood.clone_from(&missing);
        let told = TapEvent::TurnsCovered { controllers: missing.clone(), until: super::seconds(until) };
        // Said again with every word of the fleet while it holds, as it lapses by itself.
        let tap = (changed || !missing.is_empty()).then_some(Effect::Tap(told));
        (Turns { own: !self.view.has_duplicate(), missing, until }, tap)
    }

    pub fn asked(&mut self, now: Point) {
        self.subset.record_request(now);
    }

    /// A shot or stream at a streamer ended in a way that speaks against another one there now.
    pub fn spend(&mut self, now: Point, at: usize) {
        self.spent.insert(at as u32, now + SPENT);
    }

    /// Streamers that enter or leave the part that is used first, by place in the list, at most every half second;
    /// `listed` counts the changes of the list.
    pub fn choose<'a>(
        &mut self,
        now: Point,
        listed: u64,
        titles: impl Iterator<Item = CellRange>,
        cells: usize,
        entries: impl Iterator<Item = &'a ListEntry>,
    ) -> Vec<(u32, bool)> {
        if !self.terms.subset || self.looked.is_some_and(|at| now - at < CHOOSE_EVERY) {
            return Vec::new();
        }
        self.looked = Some(now);
        self.subset.adapt_width(now, self.terms.mean);
        self.spent.retain(|_, until| *until > now);
        let by = (listed, self.subset.holders_per_title(), self.spent.keys().copied().collect());
        if self.chosen.as_ref() == Some(&by) {
            return Vec::new();
        }
        self.chosen = Some(by);
        let mut by_cell: BTreeMap<usize, Vec<(u32, Holder)>> = BTreeMap::new();
        for (at, entry) in entries.enumerate().filter(|(_, entry)| entry.state != StreamerState::Gone) {
            let holder = Holder {
                streamer_key: number(&entry.streamer),
                weight: entry.weight,
                is_local: self.terms.zone.as_ref().is_none_or(|zone| *zone == entry.zone),
                unavailable: entry.state != StreamerState::Ready || self.spent.contains_key(&(at as u32)),
            };
            by_cell.entry(entry.cell).or_default().push((at as u32, holder));
        }
        let cells = cells.max(1);
        let holders = |(home, copies): CellRange| {
            let of = (home..home + copies.min(cells)).filter_map(|cell| by_cell.get(&(cell % cells)));
            of.flatten().copied().collect()
        };
        self.subset.select(titles, holders)
    }

    /// Whether an idle link to a streamer may be closed.
    pub fn may_close(&self, at: usize, idle: Span) -> bool {
        let kept = if self.subset.contains(at as u32) { KEPT } else { 1.0 };
        idle >= self.terms.idle * kept
    }

    pub fn figures(&self, now: Point) -> InFleet {
        InFleet {
            present: self.view.present_count(),
            count: self.view.instance_count(),
            sure: self.view.confirmed_ratio(now, self.terms.oldest),
            doubled: self.view.has_duplicate(),
            stands_for: self.stood.clone(),
            width: self.subset.holders_per_title(),
            first: self.subset.len(),
        }
    }
}
