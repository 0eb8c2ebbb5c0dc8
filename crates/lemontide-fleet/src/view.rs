//! One instance's view of the fleet: which instances are present, how certain that is and how old. The same type serves
//! for settings alone, for membership from gossip, and for tests.

use lemontide::clock::{Point, Span};
use std::collections::BTreeMap;
use std::fmt;

/// Largest number of instances in a fleet: a larger one is a mistake in the settings.
pub const MAX_INSTANCES: u32 = 65_536;

/// A setting from which no view can be made. Its message says what is wrong and how to correct it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetSettingsError {
    /// No instance at all, or more than `MAX_INSTANCES`.
    InstanceCount(u32),
    /// The own number is not in `0..count`.
    InstanceNumber { number: u32, count: u32 },
}

impl fmt::Display for FleetSettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FleetSettingsError::InstanceCount(count) => {
                write!(f, "a fleet of {count} instances; give a number from 1 to {MAX_INSTANCES}")
            }
            FleetSettingsError::InstanceNumber { number, count } => {
                write!(
                    f,
                    "instance number {number} in a fleet of {count}; numbers run from 0 to {}",
                    count - 1
                )
            }
        }
    }
}

impl std::error::Error for FleetSettingsError {}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Present,
    Absent { since: Point },
}

#[derive(Clone, Copy, Debug)]
struct Member {
    state: State,
    /// Time of the latest report about it.
    reported_at: Point,
}

/// One instance's view of the fleet.
///
/// Instances are numbered from 0 to a count that the settings give, so that a number has the same turns (the time slots
/// in which it may send to a fresh streamer) and the same hash in every view, whichever instances are present. Reports
/// may be late, duplicated, out of order or wrong.
#[derive(Clone, Debug)]
pub struct FleetView {
    own_number: u32,
    instance_count: u32,
    reliable_since: Point,
    /// The other instances; `None` without membership reports, where all count as present.
    others: Option<BTreeMap<u32, Member>>,
    /// Another instance was reported under the own number.
    has_duplicate: bool,
    refreshed_at: Point,
}

/// Distance before the own number at which the check for absent instances stops, exclusive: one instance alone does not
/// cover a longer gap.
const MAX_GAP: u32 = 64;

impl FleetView {
    /// A view from settings alone: without reports, and with every instance present.
    pub fn from_settings(
        now: Point,
        own_number: u32,
        instance_count: u32,
    ) -> Result<FleetView, FleetSettingsError> {
        if instance_count == 0 || instance_count > MAX_INSTANCES {
            return Err(FleetSettingsError::InstanceCount(instance_count));
        }
        if own_number >= instance_count {
            return Err(FleetSettingsError::InstanceNumber { number: own_number, count: instance_count });
        }
        Ok(FleetView {
            own_number,
            instance_count,
            reliable_since: now,
            others: None,
            has_duplicate: false,
            refreshed_at: now,
        })
    }

    /// A view that follows membership reports: only this instance is present until others are reported.
    pub fn from_membership(
        now: Point,
        own_number: u32,
        instance_count: u32,
    ) -> Result<FleetView, FleetSettingsError> {
        Ok(FleetView {
            others: Some(BTreeMap::new()),
            ..FleetView::from_settings(now, own_number, instance_count)?
        })
    }

    /// The number of this instance.
    pub fn own_number(&self) -> u32 {
        self.own_number
    }

    /// How many instances the settings count.
    pub fn instance_count(&self) -> u32 {
        self.instance_count
    }

    /// Since when this instance has been running, seen a majority and not stalled.
    pub fn reliable_since(&self) -> Point {
        self.reliable_since
    }

    /// Whether another instance runs under the own number.
    pub fn has_duplicate(&self) -> bool {
        self.has_duplicate
    }

    /// An instance was reported present as of that time. A report older than the latest one about the same instance
    /// changes nothing, nor does one about a number outside of the fleet.
    pub fn mark_present(&mut self, at: Point, number: u32) {
        if number == self.own_number {
            self.has_duplicate = true;
        }
        self.update(at, number, State::Present);
    }

    /// An instance was reported lost or stopped as of that time.
    pub fn mark_absent(&mut self, at: Point, number: u32) {
        if number == self.own_number {
            self.has_duplicate = false;
        }
        self.update(at, number, State::Absent { since: at });
    }

    fn update(&mut self, at: Point, number: u32, state: State) {
        let Some(others) = &mut self.others else { return };
        if number >= self.instance_count || number == self.own_number {
            return;
        }
        match others.get_mut(&number) {
            Some(known) if at < known.reported_at => {}
            Some(known) => {
                // A repeated report of absence keeps the time of the first one.
                let still_absent =
                    matches!((known.state, state), (State::Absent { .. }, State::Absent { .. }));
                known.state = if still_absent { known.state } else { state };
                known.reported_at = at;
            }
            None => {
                others.insert(number, Member { state, reported_at: at });
            }
        }
    }

    /// All reports up to now were applied: the view is as old as its sources and no older.
    ///
    /// An instance that stalled for longer than `max_view_age` missed what others saw meanwhile. One without a majority
    /// is partitioned, and when the partition heals, the others' views of it are as old as the partition. In both cases
    /// the view counts as new, as after a start.
    pub fn refresh(&mut self, now: Point, max_view_age: Span) {
        if now - self.refreshed_at > max_view_age || !self.has_majority() {
            self.reliable_since = now;
        }
        self.refreshed_at = now;
    }

    /// Numbers of absent instances whose turns this instance takes: those directly before its own, back to the next
    /// instance that is present.
    ///
    /// Empty while this instance is new or its view was not refreshed, as other views may differ; without a majority, as
    /// the other instances may be running; and while another instance runs under the own number.
    pub fn numbers_to_cover(&self, now: Point, max_view_age: Span) -> Vec<u32> {
        // An instance that is absent here for two maximum ages of a view is absent in every view for one of them, and if
        // it had come back, that would be known here by now.
        let wait = max_view_age * 2.0;
        let allowed = now - self.reliable_since >= wait
            && now - self.refreshed_at <= max_view_age
            && self.has_majority()
            && !self.has_duplicate;
        let end = if allowed { self.instance_count.min(MAX_GAP) } else { 0 };
        let before =
            (1..end).map(|back| (self.own_number + self.instance_count - back) % self.instance_count);
        before.take_while(|number| self.absent_for(now, *number, wait)).collect()
    }

    /// Whether an instance is present in this view; one that was never reported is not.
    pub fn is_present(&self, number: u32) -> bool {
        let Some(others) = &self.others else { return number < self.instance_count };
        let present = |member: &Member| member.state == State::Present;
        number == self.own_number || others.get(&number).is_some_and(present)
    }

    /// Whether an instance has been absent in this view for at least this time.
    pub fn absent_for(&self, now: Point, number: u32, span: Span) -> bool {
        let Some(others) = &self.others else { return false };
        match others.get(&number).map(|member| member.state) {
            _ if number == self.own_number => false,
            Some(State::Present) => false,
            Some(State::Absent { since }) => now - since >= span,
            // Never reported since this view became reliable.
            None => now - self.reliable_since >= span,
        }
    }

    /// How many instances are present, this one included.
    pub fn present_count(&self) -> u32 {
        match &self.others {
            None => self.instance_count,
            Some(others) => {
                1 + others.values().filter(|member| member.state == State::Present).count() as u32
            }
        }
    }

    /// The share of the fleet about which there was a report within this time, this instance included; from settings
    /// alone only this instance is certain.
    pub fn confirmed_ratio(&self, now: Point, within: Span) -> f64 {
        let recent = |member: &&Member| now - member.reported_at <= within;
        let reported = self.others.iter().flatten().filter(|(_, member)| recent(member)).count();
        (1 + reported) as f64 / f64::from(self.instance_count)
    }

    /// Whether more than half of all instances are present: at most one of two partitions has a majority.
    pub fn has_majority(&self) -> bool {
        self.present_count() > self.instance_count / 2
    }
}
