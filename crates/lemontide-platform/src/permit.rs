//! Whether a message may still begin to be written to a socket. The dispatcher, which can withdraw it, and the task
//! that writes it share one permit, so that the decision is made in one place: the first of the two decides.

use lemontide::clock::Point;
use lemontide_front::core::seconds;
use std::sync::atomic::{AtomicU64, AtomicU8, Ordering};
use std::sync::Arc;

const OPEN: u8 = 0;
const BEGUN: u8 = 1;
const WITHDRAWN: u8 = 2;

/// The clones of a permit share its state, and only they are equal to it.
#[derive(Clone, Debug, Default)]
pub struct Permit(Arc<Inner>);

#[derive(Debug, Default)]
struct Inner {
    state: AtomicU8,
    /// When it began, in seconds, as the bits of an `f64`.
    begun_at_bits: AtomicU64,
}

impl Permit {
    /// A permit under which nothing has begun.
    pub fn new() -> Permit {
        Permit::default()
    }

    /// Called by the writer at the moment of writing. False if the permit was withdrawn, which is final.
    pub fn begin(&self) -> bool {
        self.transition(BEGUN)
    }

    /// Like `begin`, and stores when it began.
    pub fn begin_at(&self, now: Point) -> bool {
        self.0.begun_at_bits.store(seconds(now).to_bits(), Ordering::Release);
        self.begin()
    }

    /// When it began, if that was stored.
    pub fn begun_at(&self) -> Option<Point> {
        let bits = self.0.begun_at_bits.load(Ordering::Acquire);
        (bits > 0 && self.has_begun()).then(|| Point::at(f64::from_bits(bits)))
    }

    /// Withdraws it. True if it had not begun and now never will: proof that nothing of the message was written.
    pub fn withdraw(&self) -> bool {
        self.transition(WITHDRAWN)
    }

    /// The socket took nothing after all: it has not begun.
    pub fn undo(&self) {
        let _ = self.0.state.compare_exchange(BEGUN, OPEN, Ordering::AcqRel, Ordering::Acquire);
    }

    /// Whether it has begun.
    pub fn has_begun(&self) -> bool {
        self.0.state.load(Ordering::Acquire) == BEGUN
    }

    fn transition(&self, target: u8) -> bool {
        match self.0.state.compare_exchange(OPEN, target, Ordering::AcqRel, Ordering::Acquire) {
            Ok(_) => true,
            Err(current) => current == target,
        }
    }
}

impl PartialEq for Permit {
    fn eq(&self, other: &Permit) -> bool {
        Arc::ptr_eq(&self.0, &other.0)
    }
}
