//! A controller's own limits: how near it is to them, whom it then takes, who may come in at all, how much goes to
//! a streamer at once. No I/O: readings, time and chance come as arguments.

pub mod admit;
pub mod door;
pub mod flight;
pub mod gauge;
pub mod keeper;
pub mod level;
pub mod rate;
pub mod relief;
pub mod room;
pub mod tenants;
