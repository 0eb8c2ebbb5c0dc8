//! lemontide's controller: the decision module of the `lemontide` crate, driven by real sockets.
//!
//! - `server` starts a controller and runs the deciding thread.
//! - `core` is the driver, which does no I/O.
//! - `http` serves players, on the connections of `connections`.
//! - `request_queue` holds new requests until the deciding thread processes them, and `overload_control` sheds load.
//! - `delivery` tracks a response until the player's socket has accepted it.
//! - `link` talks to streamers, `list_source` reads the list of streamers, and `gossip` exchanges datagrams with other
//!   controllers.
//! - `events` are the messages between all of these, and `settings` are those of the operators.

pub mod connections;
pub mod core;
mod delivery;
pub mod events;
pub mod gossip;
pub mod http;
pub mod link;
pub mod list_source;
mod log_values;
pub mod overload_control;
pub mod request_queue;
pub mod server;
pub mod settings;
