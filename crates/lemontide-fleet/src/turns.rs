//! Whose turn it is at something that all would do at once: a first send at a fresh streamer, a dial after a zone came
//! back, a climb after a note that all hear.
//!
//! A turn belongs to some numbers, the same for every view. An instance always has its own; that much holds whatever
//! anybody sees. Turns of those who are missing would be lost, so the next number that is there *adopts* them, with a
//! smaller part of the budget. Who adopts rests on views, so it waits until everybody's view must have caught up.

use crate::view::View;
use lemontide::clock::{Point, Span};

/// The part of a budget that the own numbers of a turn may take together, and the part for adopted ones.
pub const OWN_PART: f64 = 0.7;
pub const ADOPTED_PART: f64 = 1.0 - OWN_PART;
/// Numbers looked at to find who is missing before this one: a longer gap is not closed by one instance alone.
const GAP_MOST: u32 = 64;

/// What of a turn is this instance's.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Claims {
    pub own: bool,
    /// Numbers of missing instances that this one stands in for.
    pub adopted: u32,
}

/// Deals out turns among the numbers of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Turns {
    /// Numbers that share one turn.
    sharing: u32,
    /// A view is at most this old: who has been there for so long is in it, and who was lost is not.
    oldest: Span,
}

impl Turns {
    /// As many numbers share a turn as the budget holds sends, at least one. A budget that is no number holds one.
    pub fn new(budget: f64, oldest: Span) -> Turns {
        let sharing = (budget * OWN_PART).floor().clamp(1.0, f64::from(crate::view::COUNT_MOST));
        Turns { sharing: if sharing.is_finite() { sharing as u32 } else { 1 }, oldest }
    }

    /// Turns until every number had one.
    pub fn round(&self, count: u32) -> u32 {
        count.div_ceil(self.sharing).max(1)
    }

    /// What of that turn is this instance's. An instance under a number that another one holds, too, has nothing.
    pub fn claims(&self, now: Point, view: &View, turn: i64) -> Claims {
        if view.doubled() {
            return Claims::default();
        }
        let first = turn.rem_euclid(i64::from(self.round(view.count()))) as u32 * self.sharing;
        let owned = first..first.saturating_add(self.sharing).min(view.count());
        Claims {
            own: owned.contains(&view.me()),
            adopted: self.gap(now, view).filter(|number| owned.contains(number)).count() as u32,
        }
    }

    /// The numbers before the own one that nobody holds, as far back as the next one that is there. Nobody adopts
    /// who is young, as others' views may not have it yet, or who sees no majority, as the others may be well.
    fn gap<'a>(&self, now: Point, view: &'a View) -> impl Iterator<Item = u32> + 'a {
        // Missing here for two oldest views: in everybody's for one, and whoever came back is seen by now.
        let wait = self.oldest * 2.0;
        let able = now - view.born() >= wait && view.majority();
        let (me, count) = (view.me(), view.count());
        let before = (1..count.min(GAP_MOST)).map(move |back| (me + count - back) % count);
        before.take_while(move |number| able && view.missing_for(now, *number, wait))
    }

    /// Sends that an instance may make in a turn under these claims, of a budget of so many for the whole fleet. The
    /// own numbers of a turn together take `OWN_PART` at most, adopted ones `ADOPTED_PART`.
    pub fn share(&self, claims: Claims, budget: f64) -> u32 {
        let each = budget.clamp(0.0, 1e9).max(0.0) / f64::from(self.sharing);
        let own = if claims.own { (each * OWN_PART).floor().max(1.0) } else { 0.0 };
        let adopted = (each * ADOPTED_PART * f64::from(claims.adopted)).floor();
        (own + adopted) as u32
    }
}
