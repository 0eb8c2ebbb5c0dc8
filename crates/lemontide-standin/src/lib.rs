//! Stand-ins for the other parties of lemontide: streamers, players and discovery services that follow a script, the
//! days (scenario files) that they run, and the checks of the service's rules from records alone.

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
