//! The driver around the decision module, and what stands before it. No sockets, no files, no clock: time, ids and
//! the seed come from outside, events are calls, and what has to be done is left in `effects`.

mod admission;
mod attempt;
mod coordination;
mod driver;
mod links;
mod viewers;

pub use admission::{EarlyAdmission, EarlyDecision};
pub use attempt::{AbandonedAttempt, Connection, Evidence, Proof};
pub use coordination::{Coordination, CoordinationSettings, FleetStatus};
pub use driver::{Driver, Effect, Held, Refusal, Terms};
pub use links::{Link, LinkAction, QueuedMessage};
pub use viewers::RecentViewers;

use lemontide::clock::Point;

/// Seconds of the clock that a moment was made of.
pub fn seconds(at: Point) -> f64 {
    (at - Point::default()).seconds()
}
