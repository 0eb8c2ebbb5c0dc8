//! A controller's own limits: how near it is to them, whom it then takes, who may come in at all, how much goes to
//! a streamer at once. No I/O: readings, time and chance come as arguments.

pub mod admission;
pub mod admission_rate;
pub mod concurrency;
pub mod connection_limits;
pub mod load_level;
pub mod memory;
pub mod request_queue;
pub mod shedder;
pub mod tenant_quotas;
pub mod utilization;
