//! Delivery of a response to the player's socket. If it never happens, the deciding thread gets an event that
//! the player left, so that no session is set up or keeps playing without a player.

use crate::events::Event;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use tokio::runtime::Handle;
use tokio::sync::mpsc;

/// Delivery of the response to one request, shared by all clones. If the last clone is dropped before
/// `mark_delivered` was called, it reports that the player left.
#[derive(Clone)]
pub struct ResponseDelivery(Arc<DeliveryState>);

struct DeliveryState {
    request: u32,
    events: mpsc::Sender<Event>,
    is_delivered: AtomicBool,
}

impl ResponseDelivery {
    pub fn new(request: u32, events: mpsc::Sender<Event>) -> ResponseDelivery {
        ResponseDelivery(Arc::new(DeliveryState { request, events, is_delivered: AtomicBool::new(false) }))
    }

    /// The socket has accepted the response, or the response set up no session.
    pub fn mark_delivered(&self) {
        self.0.is_delivered.store(true, Ordering::Release);
    }
}

impl Drop for DeliveryState {
    fn drop(&mut self) {
        if self.is_delivered.load(Ordering::Acquire) {
            return;
        }
        let event = Event::PlayerLeft { id: self.request };
        let Err(mpsc::error::TrySendError::Full(event)) = self.events.try_send(event) else { return };
        // The queue of the deciding thread is full: the event is sent once there is room.
        if let Ok(runtime) = Handle::try_current() {
            let events = self.events.clone();
            runtime.spawn(async move { events.send(event).await });
        }
    }
}
