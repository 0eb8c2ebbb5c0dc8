//! Gossip between controllers: SWIM-like membership and signed testimonies about streamers. The crate does no I/O:
//! time, random seeds and received bytes come in as arguments, datagrams to send go out as a list.
//!
//! - `membership`: which members are alive (probes, suspicion, incarnations)
//! - `observations`: outcomes of attempts that this instance saw itself
//! - `testimonies`: what other members report about streamers, weighted by trust
//! - `authentication`: keyring, allowed networks and replay protection
//! - `budget`: limits on bytes sent and datagrams received
//! - `message`: encoding, size limits and signed bytes of the messages
//! - `node`: one instance's gossip, built from all of these

pub mod authentication;
pub mod budget;
pub mod membership;
pub mod message;
pub mod node;
pub mod observations;
pub mod testimonies;
