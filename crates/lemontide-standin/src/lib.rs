//! Stand-ins for what lemontide meets in service: scripted streamers and players, the days that they play, and
//! the judge that checks the rules from taps alone.

pub mod day;
pub mod fleet_simulation;
pub mod gossip_setup;
pub mod import;
pub mod judge;
pub mod load_generator;
pub mod model;
pub mod player;
pub mod relay;
pub mod run;
pub mod shedding_simulation;
pub mod simulated_network;
pub mod soak;
pub mod streamer;
pub mod stub_platform;
