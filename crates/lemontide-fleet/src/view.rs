//! Who is in the fleet, how sure that is and how old: one type for settings alone, for what gossip tells, and for what
//! a test writes down.

use lemontide::clock::{Point, Span};
use std::collections::BTreeMap;
use std::fmt;

/// Instances in a fleet at most: a larger count is a mistake in the settings.
pub const MAX_INSTANCES: u32 = 65_536;

/// A setting from which no view can be made: what it is, and the remedy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetSettingsError {
    /// No instance at all, or more than `MAX_INSTANCES`.
    InstanceCount(u32),
    /// The own number is not one of `0..count`.
    InstanceNumber { number: u32, count: u32 },
}

impl fmt::Display for FleetSettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FleetSettingsError::InstanceCount(count) => {
                write!(f, "a fleet of {count} instances; give a number from 1 to {MAX_INSTANCES}")
            }
            FleetSettingsError::InstanceNumber { number: me, count } => {
                write!(f, "instance number {me} in a fleet of {count}; numbers run from 0 to {}", count - 1)
            }
        }
    }
}

impl std::error::Error for FleetSettingsError {}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Here,
    Gone { since: Point },
}

#[derive(Clone, Copy, Debug)]
struct Member {
    state: State,
    heard: Point,
}

/// One instance's view of the fleet. Numbers run from 0 to a count that the settings give, so that a number means the
/// same turn and the same place to everybody, whoever is seen. News may be late, doubled, out of order or wrong.
#[derive(Clone, Debug)]
pub struct FleetView {
    me: u32,
    count: u32,
    born: Point,
    /// None where nothing is ever heard: then everybody counts as here.
    others: Option<BTreeMap<u32, Member>>,
    /// Another instance was heard under the own number.
    doubled: bool,
    /// When this view was last brought up to date.
    fresh: Point,
}

/// Numbers looked at to find who is missing before this one: a longer gap is not closed by one instance alone.
const GAP_MOST: u32 = 64;

impl FleetView {
    /// Settings alone: nothing is ever heard, and everybody is taken to be there.
    pub fn from_settings(now: Point, me: u32, count: u32) -> Result<FleetView, FleetSettingsError> {
        if count == 0 || count > MAX_INSTANCES {
            return Err(FleetSettingsError::InstanceCount(count));
        }
        if me >= count {
            return Err(FleetSettingsError::InstanceNumber { number: me, count });
        }
        Ok(FleetView { me, count, born: now, others: None, doubled: false, fresh: now })
    }

    /// The same fleet, of which this instance hears: nobody but itself is there until it is told so.
    pub fn from_membership(now: Point, me: u32, count: u32) -> Result<FleetView, FleetSettingsError> {
        Ok(FleetView { others: Some(BTreeMap::new()), ..FleetView::from_settings(now, me, count)? })
    }

    pub fn own_number(&self) -> u32 {
        self.me
    }

    pub fn instance_count(&self) -> u32 {
        self.count
    }

    /// Since when this instance runs, sees a majority and did not stand still.
    pub fn reliable_since(&self) -> Point {
        self.born
    }

    /// Whether another instance runs under the own number.
    pub fn has_duplicate(&self) -> bool {
        self.doubled
    }

    /// An instance was heard at that moment. What is older than the last word of it changes nothing; a number past the
    /// count is nobody's.
    pub fn mark_present(&mut self, at: Point, number: u32) {
        if number == self.me {
            self.doubled = true;
        }
        self.tell(at, number, State::Here);
    }

    /// An instance was lost at that moment, or left.
    pub fn mark_absent(&mut self, at: Point, number: u32) {
        if number == self.me {
            self.doubled = false;
        }
        self.tell(at, number, State::Gone { since: at });
    }

    fn tell(&mut self, at: Point, number: u32, state: State) {
        let Some(others) = &mut self.others else { return };
        if number >= self.count || number == self.me {
            return;
        }
        match others.get_mut(&number) {
            Some(known) if at < known.heard => {}
            Some(known) => {
                // Gone all along is gone since the first word of it.
                let same = matches!((known.state, state), (State::Gone { .. }, State::Gone { .. }));
                known.state = if same { known.state } else { state };
                known.heard = at;
            }
            None => {
                others.insert(number, Member { state, heard: at });
            }
        }
    }

    /// All that was heard up to this moment is in: the view is as old as its sources and no older. Who stood still for
    /// longer than `oldest` itself missed what others saw meanwhile; who sees no majority is cut off, and when the cut
    /// heals the others' views of it are as old as the cut. Both are as young as one that just started.
    pub fn refresh(&mut self, now: Point, oldest: Span) {
        if now - self.fresh > oldest || !self.has_majority() {
            self.born = now;
        }
        self.fresh = now;
    }

    /// Numbers whose turns are this instance's to take, as nobody holds them: those before its own, as far back as
    /// the next one that is there. None for one that is young or whose view is not brought up to date, as others'
    /// views may differ, for one that sees no majority, as the others may be well, and for one of two under one number.
    pub fn numbers_to_cover(&self, now: Point, oldest: Span) -> Vec<u32> {
        // Missing here for two oldest views: in everybody's for one, and whoever came back is seen by now.
        let wait = oldest * 2.0;
        let able =
            now - self.born >= wait && now - self.fresh <= oldest && self.has_majority() && !self.doubled;
        let most = if able { self.count.min(GAP_MOST) } else { 0 };
        let before = (1..most).map(|back| (self.me + self.count - back) % self.count);
        before.take_while(|number| self.absent_for(now, *number, wait)).collect()
    }

    /// Whether an instance is there, as far as this view tells; one never heard of is not.
    pub fn is_present(&self, number: u32) -> bool {
        let Some(others) = &self.others else { return number < self.count };
        let here = |member: &Member| member.state == State::Here;
        number == self.me || others.get(&number).is_some_and(here)
    }

    /// Whether an instance was not there for so long, as far as this view tells.
    pub fn absent_for(&self, now: Point, number: u32, span: Span) -> bool {
        let Some(others) = &self.others else { return false };
        match others.get(&number).map(|member| member.state) {
            _ if number == self.me => false,
            Some(State::Here) => false,
            Some(State::Gone { since }) => now - since >= span,
            // Never heard of since the own start.
            None => now - self.born >= span,
        }
    }

    /// How many are there, this instance included.
    pub fn present_count(&self) -> u32 {
        match &self.others {
            None => self.count,
            Some(others) => 1 + others.values().filter(|member| member.state == State::Here).count() as u32,
        }
    }

    /// The part of the fleet that was heard of within that span, from 0 to 1; settings alone are sure of nobody else.
    pub fn confirmed_ratio(&self, now: Point, within: Span) -> f64 {
        let fresh = |member: &&Member| now - member.heard <= within;
        let heard = self.others.iter().flatten().filter(|(_, member)| fresh(member)).count();
        (1 + heard) as f64 / f64::from(self.count)
    }

    /// Whether more than half of all numbers are there: of two sides that don't see each other, one at most says so.
    pub fn has_majority(&self) -> bool {
        self.present_count() > self.count / 2
    }
}
