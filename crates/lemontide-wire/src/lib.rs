//! What crosses lemontide's sockets: the streamer link, the players' messages, CMCD and CMSD hints, and taps.
//! Outer names end here; nothing is decided here.

pub mod clock;
pub mod cmcd;
pub mod cmsd;
pub mod hint;
pub mod link;
pub mod list;
pub mod play;
pub mod tap;
