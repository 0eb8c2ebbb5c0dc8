//! Events and requests that the tasks of the sockets send to the deciding thread, and the state that a
//! controller reports.

use crate::core::{FleetStatus, SubmitError};
use lemontide::clock::Point;
use lemontide_shed::connection_limits::ConnectionCounts;
use lemontide_shed::shedder::LoadSnapshot;
use lemontide_wire::cmcd::Cmcd;
use lemontide_wire::link::StreamerMessage;
use lemontide_wire::list::StreamerList;
use lemontide_wire::play::{PlayRequest, PlayResponse, SessionEvent};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use tokio::sync::{mpsc, oneshot};

/// The response to a player's request, with the values of its CMSD headers.
#[derive(Debug)]
pub struct PlayerResponse {
    pub response: PlayResponse,
    pub suggested_kbps: Option<u64>,
    pub duress: bool,
}

/// A player's request, received at `received_at_s`.
pub struct NewRequest {
    pub id: u32,
    pub received_at_s: f64,
    pub request: PlayRequest,
    pub cmcd: Cmcd,
    pub reply: oneshot::Sender<Result<PlayerResponse, SubmitError>>,
}

/// An event for the deciding thread, other than a new request. `streamer` is the index of a streamer in the
/// driver, and `dial` the number of the connection to it.
pub enum Event {
    /// The handshake with a streamer succeeded.
    LinkUp {
        streamer: usize,
        dial: u64,
        /// Start time of the streamer's process by its own clock.
        started_at_s: f64,
    },
    /// A connection to a streamer failed or ended.
    LinkLost {
        streamer: usize,
        dial: u64,
        /// The streamer closed or reset the connection.
        by_streamer: bool,
    },
    /// A batch of messages was written, without the attempts in `unsent`, which were too late (session and
    /// attempt).
    BatchWritten { streamer: usize, dial: u64, unsent: Vec<(u32, u32)> },
    /// A streamer sent a message.
    MessageReceived { streamer: usize, dial: u64, message: StreamerMessage },
    /// The list of streamers changed.
    ListChanged(StreamerList),
    /// The player of a request disconnected.
    PlayerLeft { id: u32 },
    /// A player ends a session; the reply is true if there was one.
    EndSession { id: u32, reply: oneshot::Sender<bool> },
    /// A player listens to the events of its session; the reply is none if there is no such session.
    Listen { id: u32, reply: oneshot::Sender<Option<mpsc::Receiver<SessionEvent>>> },
    /// A request for the controller's state.
    GetState(oneshot::Sender<ControllerState>),
    /// Memory is short: caches are dropped, and with `history` spare capacity as well.
    ReleaseMemory { history: bool },
    /// How far other controllers report streamers as failing, from 0 to 1, by name.
    PeerSuspicions(Vec<(String, f64)>),
    /// Numbers that other controllers hold, each with the time since which no running controller holds it, or
    /// none if one does.
    PeersChanged(BTreeMap<u32, Option<Point>>),
}

/// The controller's state, as served under `/v1/state`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ControllerState {
    #[serde(rename = "taken")]
    pub accepted: u64,
    #[serde(rename = "plays")]
    pub answered_playing: u64,
    #[serde(rename = "turned_back")]
    pub answered_rejected: u64,
    #[serde(rename = "scrapped")]
    pub answered_failed: u64,
    /// Number of requests and sessions.
    #[serde(rename = "in_hand")]
    pub sessions: usize,
    pub playing: usize,
    pub streamers: usize,
    pub links_up: usize,
    pub stopping: bool,
    /// Requests that were shed because the controller was near its own limit, and the level of load: 0 is
    /// idle, 1 is the limit.
    pub shed: u64,
    #[serde(rename = "level")]
    pub load_level: f64,
    /// Those of them that were rejected by their hint, before the HTTP stack.
    #[serde(rename = "shed_at_the_door")]
    pub shed_by_hint: u64,
    /// Requests that expired in the queue.
    #[serde(rename = "late")]
    pub expired: u64,
    pub connections: ConnectionCounts,
    /// Details of load shedding, if it is on: utilization of the resources, and counts of each class.
    pub shedding: Option<LoadSnapshot>,
    /// Each streamer's number of setups in flight, and their limit.
    #[serde(rename = "flights")]
    pub setups_in_flight: Vec<(String, usize, usize)>,
    /// This controller's view of the fleet, if it coordinates with others.
    #[serde(rename = "together")]
    pub fleet_view: Option<FleetStatus>,
    /// Seconds that the deciding thread spent in the driver and the decision module.
    pub deciding_s: f64,
}
