//! The queue of new requests between the sockets and the deciding thread: the `RequestQueue` of
//! `lemontide-shed`, shared by all tasks.

use crate::events::NewRequest;
use lemontide::clock::Point;
use lemontide_shed::request_queue::{Dequeued, Enqueued, QueueDiscipline, RequestQueue};
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// A request queue that tasks fill and the deciding thread empties.
pub struct SharedRequestQueue {
    state: Mutex<QueueState>,
    request_arrived: Notify,
}

struct QueueState {
    queue: RequestQueue<NewRequest>,
    is_open: bool,
}

impl SharedRequestQueue {
    pub fn new(
        discipline: QueueDiscipline,
        max_waiting: usize,
        max_waiting_per_class: usize,
        class_count: usize,
    ) -> SharedRequestQueue {
        let queue = RequestQueue::new(discipline, max_waiting, max_waiting_per_class, class_count);
        SharedRequestQueue {
            state: Mutex::new(QueueState { queue, is_open: true }),
            request_arrived: Notify::new(),
        }
    }

    fn state(&self) -> MutexGuard<'_, QueueState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a request. A closed queue rejects it as if it were full.
    pub fn push(&self, class: usize, expires_at: Point, request: NewRequest) -> Enqueued<NewRequest> {
        let mut state = self.state();
        if !state.is_open {
            return Enqueued::Rejected(request);
        }
        let enqueued = state.queue.push(class, expires_at, request);
        drop(state);
        self.request_arrived.notify_one();
        enqueued
    }

    /// Removes up to `max_count` requests. The flag is true if more are waiting.
    pub fn pop_batch(&self, now: Point, max_count: usize) -> (Vec<Dequeued<NewRequest>>, bool) {
        let mut state = self.state();
        let mut batch = Vec::new();
        while batch.len() < max_count {
            let Some(request) = state.queue.pop(now) else { break };
            batch.push(request);
        }
        (batch, !state.queue.is_empty())
    }

    /// Waits until a request has been added since the last call.
    pub async fn request_arrived(&self) {
        self.request_arrived.notified().await;
    }

    /// Closes the queue and drops the requests in it.
    pub fn close(&self) {
        let mut state = self.state();
        state.is_open = false;
        while state.queue.pop(Point::default()).is_some() {}
    }

    /// Sets rank and share of each class.
    pub fn set_ranks(&self, ranks: &[f64], shares: &[f64]) {
        self.state().queue.set_ranks(ranks, shares);
    }

    /// Length as a part of the limit, and the time at which the oldest waiting request was received, in
    /// seconds.
    pub fn fill_ratio_and_oldest(&self) -> (f64, Option<f64>) {
        let state = self.state();
        let oldest = state.queue.heads().map(|request| request.received_at_s).reduce(f64::min);
        (state.queue.fill_ratio(), oldest)
    }
}
