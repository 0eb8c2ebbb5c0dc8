//! Gossip for installations whose controllers may speak with each other: who is there, and what each saw of the
//! streamers itself. No I/O: time, chance and bytes come as arguments, datagrams go out as a list.
//!
//! `membership` finds out who lives, `evidence` keeps what was seen, `belief` weighs what others say, `authentication` lets
//! in who may speak and keeps out replays, `budget` bounds the bytes, `node` ties them together.

pub mod authentication;
pub mod budget;
pub mod membership;
pub mod message;
pub mod node;
pub mod observations;
pub mod testimonies;
