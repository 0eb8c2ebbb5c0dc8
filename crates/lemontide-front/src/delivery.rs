//! The answer of a wish until the player's socket has taken it. Where that never happens the deciding thread is told that
//! the player left, so that nothing is set up, or goes on playing, for nobody.

use crate::events::Happened;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use tokio::runtime::Handle;
use tokio::sync::mpsc;

/// The duty to deliver the answer of one wish; its clones are the same. Dropped before `delivered`, it tells that the
/// player left.
#[derive(Clone)]
pub struct Undelivered(Arc<Wish>);

struct Wish {
    id: u32,
    reports: mpsc::Sender<Happened>,
    is_delivered: AtomicBool,
}

impl Undelivered {
    pub fn new(id: u32, reports: mpsc::Sender<Happened>) -> Undelivered {
        Undelivered(Arc::new(Wish { id, reports, is_delivered: AtomicBool::new(false) }))
    }

    /// The socket has taken the answer, or nothing was set up with it.
    pub fn delivered(&self) {
        self.0.is_delivered.store(true, Ordering::Release);
    }
}

impl Drop for Wish {
    fn drop(&mut self) {
        if self.is_delivered.load(Ordering::Acquire) {
            return;
        }
        let left = Happened::Left { id: self.id };
        let Err(mpsc::error::TrySendError::Full(left)) = self.reports.try_send(left) else { return };
        // The deciding thread is behind: it is told once it has room.
        if let Ok(runtime) = Handle::try_current() {
            let reports = self.reports.clone();
            runtime.spawn(async move { reports.send(left).await });
        }
    }
}
