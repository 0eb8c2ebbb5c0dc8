//! The list of streamers as it is stored in a file, with a version and the state and start time of each
//! streamer.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// State of a streamer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
#[schemars(rename = "Stage")]
pub enum StreamerState {
    Ready,
    /// It finishes its sessions and must not get new ones.
    Draining,
    Gone,
}

/// One streamer. A controller only sends requests to streamers that are in its list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Entry")]
pub struct ListEntry {
    /// Its name, which is the same for every controller and after a restart.
    pub streamer: String,
    /// Address that controllers connect to, `address:port`.
    pub address: String,
    pub zone: String,
    pub kind: String,
    /// Its cell. A title is held by a number of cells in a row; the rack is the cell modulo the number of
    /// racks.
    pub cell: usize,
    #[serde(rename = "stage")]
    pub state: StreamerState,
    /// Its size relative to other streamers.
    #[serde(default = "one")]
    pub weight: f64,
    /// Its last start in seconds of the wall clock; absent if it is long ago.
    #[serde(rename = "started", default, skip_serializing_if = "Option::is_none")]
    pub started_at: Option<f64>,
}

/// The complete list. A streamer that is not in it is gone.
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
