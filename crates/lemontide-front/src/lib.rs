//! lemontide's controller: the decision module of the `lemontide` crate driven by real sockets.
//! `core` is the driver: it does no I/O. Around it `http` serves players, `link` speaks with streamers, `list`
//! follows the list of streamers, `gossip` carries datagrams between controllers, `gauges`
//! measures the process, `settings` reads what the operators state, and `front` ties them together.

pub mod core;
pub mod front;
pub mod gauges;
pub mod gossip;
pub mod http;
pub mod link;
pub mod list;
pub mod settings;
