//! The driver around the decision module, and the early admission of requests. No sockets, no files, no clock: time,
//! ids and the seed come from outside, events are method calls, and what the caller has to do is left in `effects`.

mod admission;
mod attempt;
mod coordination;
mod driver;
mod links;
mod viewers;

pub use admission::{EarlyAdmission, EarlyDecision};
pub use attempt::{AbandonedAttempt, Connection, Evidence, Proof};
pub use coordination::{Coordination, CoordinationSettings, FleetStatus};
pub use driver::{Driver, DriverSettings, Effect, Session, SubmitError};
pub use links::{Link, LinkAction, QueuedMessage};
pub use viewers::RecentViewers;

use lemontide::clock::Point;

/// A moment as seconds of the clock, the inverse of `Point::at`.
pub fn seconds(at: Point) -> f64 {
    (at - Point::default()).seconds()
}
