//! lemontide's controller: the decision module of the `lemontide` crate driven by real sockets.
//! `core` is the driver: it does no I/O. Around it `http` serves players, `link` speaks with streamers, `list`
//! follows the list of streamers, `gossip` carries datagrams between controllers, `connections` says who may come
//! in and turns back at the doorway, `waiting` holds wishes for their turn, `guard` measures the process, `settings`
//! reads what the operators state, `events` is what passes between them, `delivery` holds an answer until its player has
//! it, and `front` ties them together.

pub mod connections;
pub mod core;
mod delivery;
pub mod events;
pub mod front;
pub mod gossip;
pub mod guard;
pub mod http;
pub mod link;
pub mod list;
pub mod settings;
pub mod waiting;
