//! Where wishes wait between the sockets and the deciding thread: the room of `lemontide-shed`, shared.

use crate::events::Asked;
use lemontide::clock::Point;
use lemontide_shed::request_queue::{Dequeued, Enqueued, QueueDiscipline, RequestQueue};
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

pub struct Waiting {
    room: Mutex<(RequestQueue<Asked>, bool)>,
    came: Notify,
}

impl Waiting {
    pub fn new(order: QueueDiscipline, most: usize, lane_most: usize, lanes: usize) -> Waiting {
        Waiting {
            room: Mutex::new((RequestQueue::new(order, most, lane_most, lanes), true)),
            came: Notify::new(),
        }
    }

    fn room(&self) -> MutexGuard<'_, (RequestQueue<Asked>, bool)> {
        self.room.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A wish comes in; a closed room is full.
    pub fn enter(&self, lane: usize, until: Point, asked: Asked) -> Enqueued<Asked> {
        let mut room = self.room();
        if !room.1 {
            return Enqueued::Rejected(asked);
        }
        let entered = room.0.push(lane, until, asked);
        drop(room);
        self.came.notify_one();
        entered
    }

    /// The next wishes, so many at most, and whether more wait.
    pub fn take(&self, now: Point, most: usize) -> (Vec<Dequeued<Asked>>, bool) {
        let mut room = self.room();
        let mut turns = Vec::new();
        while turns.len() < most {
            let Some(turn) = room.0.pop(now) else { break };
            turns.push(turn);
        }
        (turns, !room.0.is_empty())
    }

    /// Ends when a wish came in since the last call.
    pub async fn came(&self) {
        self.came.notified().await;
    }

    /// Nobody takes from it any more; what waits is given up.
    pub fn close(&self) {
        let mut room = self.room();
        room.1 = false;
        while room.0.pop(Point::default()).is_some() {}
    }

    pub fn rank(&self, rank: &[f64], share: &[f64]) {
        self.room().0.set_ranks(rank, share);
    }

    /// Fullness as a part of the bound, and the moment at which the oldest that waits was read, in seconds.
    pub fn fullness(&self) -> (f64, Option<f64>) {
        let room = self.room();
        let oldest = room.0.heads().map(|asked| asked.asked).reduce(f64::min);
        (room.0.fill_ratio(), oldest)
    }
}
