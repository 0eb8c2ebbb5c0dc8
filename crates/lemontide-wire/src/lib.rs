//! Formats that lemontide exchanges with other processes: the streamer link, the players' messages, CMCD and
//! CMSD, the list of streamers, and taps. Names of the wire and of files are mapped to the names of the code
//! here; this crate makes no decisions.

pub mod clock;
pub mod cmcd;
pub mod cmsd;
pub mod hint;
pub mod link;
pub mod list;
pub mod play;
pub mod tap;
