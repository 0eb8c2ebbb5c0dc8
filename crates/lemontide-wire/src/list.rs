//! The list of streamers as it is written in a file: whole, with a version, stages and starts.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
#[schemars(rename = "Stage")]
pub enum StreamerState {
    Ready,
    /// It finishes its work; nothing new may go there.
    Draining,
    Gone,
}

/// One streamer. A controller sends only to streamers that its list names.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Entry")]
pub struct ListEntry {
    /// Its name, the same at every controller and after a restart.
    pub streamer: String,
    /// Where its link is dialled, `address:port`.
    pub address: String,
    pub zone: String,
    pub kind: String,
    /// Its cell; a title lies on some cells in a row, and the rack is the cell modulo the number of racks.
    pub cell: usize,
    #[serde(rename = "stage")]
    pub state: StreamerState,
    /// Its size next to the others'.
    #[serde(default = "one")]
    pub weight: f64,
    /// Its last start in seconds of the wall clock; absent when that is long ago.
    #[serde(rename = "started", default, skip_serializing_if = "Option::is_none")]
    pub started_at: Option<f64>,
}

/// The whole list. A streamer that is not in it is gone.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "List")]
pub struct StreamerList {
    pub version: u64,
    pub streamers: Vec<ListEntry>,
}

fn one() -> f64 {
    1.0
}
