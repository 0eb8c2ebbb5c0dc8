//! Coordination with other controllers: which of them run, the turns that this one takes for missing ones, and the
//! streamers that it prefers and keeps links to. The algorithms are those of `lemontide_fleet`; this module applies
//! them to lists of streamers and outcomes of attempts.

use super::driver::Effect;
use fnv::FnvHasher;
use lemontide::clock::{Point, Span};
use lemontide_fleet::{CellRange, FleetView, Holder, StreamerSubset};
use lemontide_wire::list::{ListEntry, StreamerState};
use lemontide_wire::tap::TapEvent;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::hash::Hasher;

/// Shortest time between two updates of the subset.
const SUBSET_UPDATE_INTERVAL: Span = Span::of_millis(500);
/// For this time after a failure or refusal the subset leaves a streamer's place to another.
const AVOIDANCE_TIME: Span = Span::of_millis(2000);
/// Idle links to preferred streamers are kept this many times longer.
const PREFERRED_IDLE_FACTOR: f64 = 4.0;

/// The settings of the coordination.
#[derive(Clone, Debug)]
pub struct CoordinationSettings {
    /// This controller's number.
    pub own_number: u32,
    /// Number of controllers.
    pub controller_count: u32,
    /// Whether membership comes from gossip; otherwise all controllers count as present.
    pub uses_gossip: bool,
    /// Age from which knowledge of the membership is no longer used.
    pub max_view_age: Span,
    /// Whether the controller prefers a subset of the streamers.
    pub uses_subset: bool,
    /// Links that nothing needs are closed after this time.
    pub idle_timeout: Span,
    /// This controller's zone, where traffic to another zone has a cost.
    pub zone: Option<String>,
    /// Requests per second of a controller with mean traffic, where known.
    pub mean_requests_per_s: Option<f64>,
}

/// The turns that the decision module takes.
#[derive(Clone, Debug, PartialEq)]
pub struct CoveredTurns {
    /// Whether this controller has its own turns; false while another one runs under its number.
    pub has_own_turns: bool,
    /// Controllers whose turns this one takes as well.
    pub missing_controllers: Vec<u32>,
    /// When this expires.
    pub until: Point,
}

/// A controller's view of the fleet of controllers, and its own part in it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// Number of running controllers, this one included.
    #[serde(rename = "present")]
    pub present_count: u32,
    /// Number of controllers by the settings.
    #[serde(rename = "count")]
    pub controller_count: u32,
    /// The part of the fleet of which reports arrived within the maximum age of a view, from 0 to 1.
    #[serde(rename = "sure")]
    pub confirmed_ratio: f64,
    /// Another controller runs under the same number, so this one has no turns.
    #[serde(rename = "doubled")]
    pub has_duplicate: bool,
    /// Numbers of missing controllers whose turns this one takes.
    #[serde(rename = "stands_for")]
    pub covered_numbers: Vec<u32>,
    /// Number of preferred holders of each title.
    #[serde(rename = "width")]
    pub holders_per_title: usize,
    /// Number of preferred streamers.
    #[serde(rename = "first")]
    pub preferred_count: usize,
}

/// A controller's coordination with the others.
pub struct Coordination {
    settings: CoordinationSettings,
    view: FleetView,
    subset: StreamerSubset,
    /// Missing controllers whose turns this one takes.
    covered_numbers: Vec<u32>,
    subset_updated_at: Option<Point>,
    /// What the last subset was selected by: revision of the list, holders per title, avoided streamers.
    subset_inputs: Option<(u64, usize, Vec<u32>)>,
    /// Streamers that recently refused or failed, by index, and until when they are avoided.
    avoided_until: BTreeMap<u32, Point>,
}

/// A streamer's key for rendezvous hashing: a hash of its name, so that every controller computes the same key.
fn streamer_key(name: &str) -> u32 {
    let mut hasher = FnvHasher::default();
    hasher.write(name.as_bytes());
    let hash = hasher.finish();
    (hash ^ hash >> 32) as u32
}

impl Coordination {
    /// Returns none where the settings describe no valid fleet; the controller then works without coordination.
    pub fn new(now: Point, settings: &CoordinationSettings) -> Option<Coordination> {
        let new_view =
            if settings.uses_gossip { FleetView::from_membership } else { FleetView::from_settings };
        let view = new_view(now, settings.own_number, settings.controller_count).ok()?;
        let subset = StreamerSubset::new(now, settings.own_number);
        Some(Coordination {
            settings: settings.clone(),
            view,
            subset,
            covered_numbers: Vec::new(),
            subset_updated_at: None,
            subset_inputs: None,
            avoided_until: BTreeMap::new(),
        })
    }

    /// Applies the complete membership: for each number the moment since which no controller holds it, or none where
    /// one does. Returns the turns that the module takes, and an event for the tap.
    pub fn update_membership(
        &mut self,
        now: Point,
        absent_since: &BTreeMap<u32, Option<Point>>,
    ) -> (CoveredTurns, Option<Effect>) {
        for (number, since) in absent_since {
            match since {
                None => self.view.mark_present(now, *number),
                Some(since) => self.view.mark_absent(now.min(*since), *number),
            }
        }
        self.view.refresh(now, self.settings.max_view_age);
        let missing_controllers = self.view.numbers_to_cover(now, self.settings.max_view_age);
        let until = now + self.settings.max_view_age;
        let has_changed = missing_controllers != self.covered_numbers;
        if has_changed {
            tracing::info!(target: "fleet", present = self.view.present_count(), stands_for = ?missing_controllers);
        }
        self.covered_numbers.clone_from(&missing_controllers);
        let event =
            TapEvent::TurnsCovered { controllers: missing_controllers.clone(), until: super::seconds(until) };
        // Covered turns expire, so while there are any they are recorded again with each update.
        let tap_effect = (has_changed || !missing_controllers.is_empty()).then_some(Effect::Tap(event));
        let has_own_turns = !self.view.has_duplicate();
        (CoveredTurns { has_own_turns, missing_controllers, until }, tap_effect)
    }

    /// A request arrived.
    pub fn record_request(&mut self, now: Point) {
        self.subset.record_request(now);
    }

    /// A failure or refusal shows that a streamer should get no other attempt for now.
    pub fn avoid_streamer(&mut self, now: Point, streamer_index: usize) {
        self.avoided_until.insert(streamer_index as u32, now + AVOIDANCE_TIME);
    }

    /// Updates the preferred streamers, at most every half second. Returns the changes: the index of each streamer in
    /// the list, with `true` where it is preferred from now on. `list_revision` counts the changes of the list.
    pub fn update_subset<'a>(
        &mut self,
        now: Point,
        list_revision: u64,
        titles: impl Iterator<Item = CellRange>,
        cell_count: usize,
        entries: impl Iterator<Item = &'a ListEntry>,
    ) -> Vec<(u32, bool)> {
        let is_recent = self.subset_updated_at.is_some_and(|at| now - at < SUBSET_UPDATE_INTERVAL);
        if !self.settings.uses_subset || is_recent {
            return Vec::new();
        }
        self.subset_updated_at = Some(now);
        self.subset.adapt_width(now, self.settings.mean_requests_per_s);
        self.avoided_until.retain(|_, until| *until > now);
        let avoided = self.avoided_until.keys().copied().collect();
        let inputs = (list_revision, self.subset.holders_per_title(), avoided);
        if self.subset_inputs.as_ref() == Some(&inputs) {
            return Vec::new();
        }
        self.subset_inputs = Some(inputs);
        let mut by_cell: BTreeMap<usize, Vec<(u32, Holder)>> = BTreeMap::new();
        for (index, entry) in entries.enumerate().filter(|(_, entry)| entry.state != StreamerState::Gone) {
            let holder = Holder {
                streamer_key: streamer_key(&entry.streamer),
                weight: entry.weight,
                is_local: self.settings.zone.as_ref().is_none_or(|zone| *zone == entry.zone),
                unavailable: entry.state != StreamerState::Ready
                    || self.avoided_until.contains_key(&(index as u32)),
            };
            by_cell.entry(entry.cell).or_default().push((index as u32, holder));
        }
        let cell_count = cell_count.max(1);
        let holders = |(first_cell, replicas): CellRange| {
            let cells = first_cell..first_cell + replicas.min(cell_count);
            let of_cells = cells.filter_map(|cell| by_cell.get(&(cell % cell_count)));
            of_cells.flatten().copied().collect()
        };
        self.subset.select(titles, holders)
    }

    /// Whether a link that nothing needed for this time can be closed.
    pub fn can_close(&self, streamer_index: usize, idle_for: Span) -> bool {
        let factor = if self.subset.contains(streamer_index as u32) { PREFERRED_IDLE_FACTOR } else { 1.0 };
        idle_for >= self.settings.idle_timeout * factor
    }

    /// The state of the coordination, for the operators.
    pub fn status(&self, now: Point) -> FleetStatus {
        FleetStatus {
            present_count: self.view.present_count(),
            controller_count: self.view.instance_count(),
            confirmed_ratio: self.view.confirmed_ratio(now, self.settings.max_view_age),
            has_duplicate: self.view.has_duplicate(),
            covered_numbers: self.covered_numbers.clone(),
            holders_per_title: self.subset.holders_per_title(),
            preferred_count: self.subset.len(),
        }
    }
}
