//! What each client's connection makes this process keep. Every connection can take a multiple of what is free, so that
//! clients that take much are refused first, and what is free is left for those that take little.

use std::collections::HashMap;

/// Maximum size of all requests in hand, in bytes. A tenth of the smallest memory limit of a deployment, as a request
/// is copied for its streamer.
const MAX_REQUEST_BYTES: usize = 4 * 1024 * 1024;
/// What a request takes beside the names and the description that its client has chosen, in bytes.
const REQUEST_OVERHEAD_BYTES: usize = 2048;
/// How much of the free places for requests and sessions one connection can take. Usual clients share few connections.
const SESSION_SHARE: usize = 4;

/// What one connection has taken.
#[derive(Clone, Copy, Default)]
struct Share {
    sessions: usize,
    request_bytes: usize,
}

/// The shares of all connections. A connection that has ended keeps its share until its sessions end.
#[derive(Default)]
pub(super) struct ClientShares {
    by_connection: HashMap<u64, Share>,
    request_bytes: usize,
}

/// The part of a connection's share that one session takes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Charge {
    request_bytes: usize,
}

impl Charge {
    /// The charge of a request with payload of this size.
    pub(super) fn of_request(payload_bytes: usize) -> Charge {
        Charge { request_bytes: REQUEST_OVERHEAD_BYTES + payload_bytes }
    }
}

impl ClientShares {
    fn share(&self, connection_id: u64) -> Share {
        self.by_connection.get(&connection_id).copied().unwrap_or_default()
    }

    /// Whether a connection can take this charge, and a session while there are `free_sessions` places.
    pub(super) fn has_room(&self, connection_id: u64, charge: Charge, free_sessions: usize) -> bool {
        let free_bytes = MAX_REQUEST_BYTES.saturating_sub(self.request_bytes);
        let share = self.share(connection_id);
        charge.request_bytes <= free_bytes
            && share.request_bytes <= free_bytes
            && share.sessions < SESSION_SHARE * free_sessions
    }

    pub(super) fn add(&mut self, connection_id: u64, charge: Charge) {
        let share = self.by_connection.entry(connection_id).or_default();
        share.sessions += 1;
        share.request_bytes += charge.request_bytes;
        self.request_bytes += charge.request_bytes;
    }

    /// A request has its answer: what its client sent is not kept any more.
    pub(super) fn return_request(&mut self, connection_id: u64, charge: &mut Charge) {
        let request_bytes = std::mem::take(&mut charge.request_bytes);
        self.request_bytes -= request_bytes;
        if let Some(share) = self.by_connection.get_mut(&connection_id) {
            share.request_bytes -= request_bytes;
        }
    }

    /// A session is not tracked any more.
    pub(super) fn remove(&mut self, connection_id: u64, mut charge: Charge) {
        self.return_request(connection_id, &mut charge);
        let Some(share) = self.by_connection.get_mut(&connection_id) else { return };
        share.sessions -= 1;
        if share.sessions == 0 {
            self.by_connection.remove(&connection_id);
        }
    }
}
