//! The operators' platform: another way into the controller and out of it, around the same decision module.
//! `dispatcher` is the core: it does no I/O. Around it `codec` reads and writes the messages, `viewers` and `streamers`
//! carry them over sockets, `outbox` keeps what a client may not have read, `replies` holds the answers that clients are
//! owed, `permit` says whether an attempt may still begin, `journal` follows the list of streamers, `config` reads what the operators state, `steps` tells when a request came how far, and `serve` ties them together.

pub mod codec;
pub mod config;
pub mod dispatcher;
pub mod journal;
mod outbox;
pub mod permit;
mod reader;
pub mod replies;
pub mod serve;
pub mod steps;
pub mod streamers;
pub mod viewers;
