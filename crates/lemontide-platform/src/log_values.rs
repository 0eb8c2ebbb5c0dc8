//! How this crate's values are written to logs. Log readers match these names, so they are kept apart from the names of
//! the types and their fields in the code.

use crate::codec::{Body, RequestDetails, SessionReport, SetUp};
use crate::config::{KnownList, ListEntry, ListEvent, ListUpdate};
use lemontide::log_values::{LogValue, Logged};
use std::fmt;

impl LogValue for Body {
    fn fmt_log(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Body::SetUp(set_up) => f.debug_tuple("SetUp").field(&Logged(set_up)).finish(),
            Body::Invalid(why) => f.debug_tuple("Unusable").field(why).finish(),
            Body::Progress => f.write_str("Progress"),
            Body::Answer { description, load } => f
                .debug_struct("Answer")
                .field("description", description)
                .field("load", &Logged(load))
                .finish(),
            Body::Release { cause, retry_after_ms, load } => f
                .debug_struct("Release")
                .field("cause", cause)
                .field("stay_away_ms", retry_after_ms)
                .field("load", &Logged(load))
                .finish(),
            Body::Acknowledged => f.write_str("Heard"),
            Body::Test => f.write_str("Test"),
            Body::TestResult { passed } => f.debug_struct("Tested").field("passed", passed).finish(),
            Body::SessionReport(report) => f.debug_tuple("Note").field(&Logged(report)).finish(),
            Body::UnknownReport => f.write_str("OtherNote"),
            Body::Move => f.write_str("Move"),
            Body::Rung(rung) => f.debug_tuple("Rung").field(rung).finish(),
        }
    }
}

impl LogValue for SetUp {
    fn fmt_log(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let SetUp { class, tenant, title, wait_ms, is_retry, details, rung, description } = self;
        f.debug_struct("SetUp")
            .field("lane", class)
            .field("tenant", tenant)
            .field("title", title)
            .field("wait_ms", wait_ms)
            .field("retry", is_retry)
            .field("figures", &Logged(details.as_ref()))
            .field("rung", rung)
            .field("description", description)
            .finish()
    }
}

impl LogValue for RequestDetails {
    fn fmt_log(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let RequestDetails { first_cell, replicas, max_rung, is_retry, playing_at } = self;
        f.debug_struct("Figures")
            .field("home", first_cell)
            .field("copies", replicas)
            .field("top", max_rung)
            .field("again", is_retry)
            .field("at", playing_at)
            .finish()
    }
}

impl LogValue for SessionReport {
    fn fmt_log(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SessionReport::RateShare(share) => f.debug_tuple("Share").field(share).finish(),
            SessionReport::Rung(rung) => f.debug_tuple("Rung").field(rung).finish(),
            SessionReport::LinkUtilization(utilization) => f.debug_tuple("Link").field(utilization).finish(),
            SessionReport::UplinkUtilization(utilization) => {
                f.debug_tuple("Rack").field(utilization).finish()
            }
        }
    }
}

impl LogValue for KnownList {
    fn fmt_log(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let KnownList { position, events } = self;
        f.debug_struct("Known").field("pos", position).field("entries", &Logged(&events[..])).finish()
    }
}

impl LogValue for ListEvent {
    fn fmt_log(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ListEvent { position, update } = self;
        f.debug_struct("Event").field("pos", position).field("hosts", &Logged(update)).finish()
    }
}

impl LogValue for ListUpdate {
    fn fmt_log(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ListUpdate { full, streamers } = self;
        f.debug_struct("Hosts").field("full", full).field("servers", &Logged(&streamers[..])).finish()
    }
}

impl LogValue for ListEntry {
    fn fmt_log(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ListEntry { id, address, zone, kind, cell, state, weight, started_ms } = self;
        f.debug_struct("Entry")
            .field("id", id)
            .field("addr", address)
            .field("zone", zone)
            .field("kind", kind)
            .field("cell", cell)
            .field("state", state)
            .field("weight", weight)
            .field("started_ms", started_ms)
            .finish()
    }
}
