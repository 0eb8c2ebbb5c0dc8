//! What passes between the sockets' tasks and the deciding thread: wishes, what happens, and the controller in figures.

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

/// The answer of a wish on its way to the player.
#[derive(Debug)]
pub struct Said {
    pub answer: PlayResponse,
    pub suggested_kbps: Option<u64>,
    pub duress: bool,
}

/// A wish that a player made, read at `asked` seconds.
pub struct Asked {
    pub id: u32,
    pub asked: f64,
    pub wish: PlayRequest,
    pub cmcd: Cmcd,
    pub reply: oneshot::Sender<Result<Said, SubmitError>>,
}

/// What happens to what is in hand, and to the fleet.
pub enum Happened {
    Linked {
        at: usize,
        dial: u64,
        started: f64,
    },
    Lost {
        at: usize,
        dial: u64,
        /// The streamer closed or reset the connection.
        by_streamer: bool,
    },
    Wrote {
        at: usize,
        dial: u64,
        unsent: Vec<(u32, u32)>,
    },
    Told {
        at: usize,
        dial: u64,
        told: StreamerMessage,
    },
    List(StreamerList),
    /// The player of a wish is gone.
    Left {
        id: u32,
    },
    /// A player ends a subscription; whether there was one.
    Leave {
        id: u32,
        done: oneshot::Sender<bool>,
    },
    Listen {
        id: u32,
        news: oneshot::Sender<Option<mpsc::Receiver<SessionEvent>>>,
    },
    State(oneshot::Sender<State>),
    /// Memory is short: caches go, and with `history` spare room, too.
    Relieve {
        history: bool,
    },
    /// What others are believed to know of streamers, by name and weight.
    Doubts(Vec<(String, f64)>),
    /// Numbers that other controllers hold: of each since when nobody does, or none where one lives.
    Fleet(BTreeMap<u32, Option<Point>>),
}

/// The controller in figures.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct State {
    pub taken: u64,
    pub plays: u64,
    pub turned_back: u64,
    pub scrapped: u64,
    pub in_hand: usize,
    pub playing: usize,
    pub streamers: usize,
    pub links_up: usize,
    pub stopping: bool,
    /// Wishes turned away near the controller's own limit, and the level of load: 0 is free, 1 at the limit.
    pub shed: u64,
    pub level: f64,
    /// Those of them that were turned back at the doorway, before the HTTP stack.
    pub shed_at_the_door: u64,
    /// Wishes that waited until it was too late.
    pub late: u64,
    pub connections: ConnectionCounts,
    /// Where shedding is on: the gauges, and what became of each lane's wishes.
    pub shedding: Option<LoadSnapshot>,
    /// Set-ups under way to each streamer, and how many may be.
    pub flights: Vec<(String, usize, usize)>,
    /// Where turns and streamers are shared out: this controller's view of the fleet.
    pub together: Option<FleetStatus>,
    /// Seconds of CPU that the deciding thread spent in the driver and the module.
    pub deciding_s: f64,
}
