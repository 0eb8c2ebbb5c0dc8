//! Load shedding near a controller's own limits: load level, admission of requests, tenant quotas, connection limits,
//! and the number of concurrent set-ups per streamer. No I/O: readings, time and random seeds come as arguments.

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
