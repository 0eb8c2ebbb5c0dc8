//! Runs lemontide's controller on the operators' platform, with the platform's protocol instead of the project's own,
//! and with the same decision module. `dispatcher` is the core; it does no I/O. Around it, `codec` encodes and
//! decodes the messages, `viewers` and `streamers` carry them over sockets, and `outbox` keeps messages that a client
//! may not have read. `replies` tracks the answers that are owed to clients, `permit` decides whether an attempt can
//! still begin, `journal` follows the list of streamers, `config` reads the configuration, `steps` records the steps
//! of a request, and `serve` connects them in one loop.

pub mod codec;
pub mod config;
pub mod dispatcher;
pub mod journal;
mod log_values;
mod outbox;
pub mod permit;
pub mod reader;
pub mod replies;
pub mod serve;
pub mod steps;
pub mod streamers;
pub mod viewers;
