//! What the platform passes to a controller: the environment, the configuration file, and the events of the list of
//! streamers that it contains.

use lemontide::clock::Point;
use lemontide::interface::{StreamerEntry, StreamerState};
use serde::Deserialize;
use serde_json::Value as Json;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// One entry of the list of streamers.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct ListEntry {
    pub id: String,
    #[serde(rename = "addr", default)]
    pub address: String,
    #[serde(default)]
    pub zone: String,
    #[serde(default)]
    pub kind: String,
    #[serde(default)]
    pub cell: usize,
    #[serde(default)]
    pub state: String,
    #[serde(default)]
    pub weight: Option<f64>,
    /// When the streamer was started, in Unix milliseconds, if it was started late; else 0.
    #[serde(default)]
    pub started_ms: f64,
}

impl ListEntry {
    /// The state, where every unknown one counts as gone.
    pub fn streamer_state(&self) -> StreamerState {
        match self.state.as_str() {
            "in_service" => StreamerState::Ready,
            "terminating" => StreamerState::Draining,
            _ => StreamerState::Gone,
        }
    }

    /// When the streamer was started, if it was started late.
    pub fn started_at(&self) -> Option<Point> {
        let is_late = self.started_ms.is_finite() && self.started_ms > 0.0;
        is_late.then(|| Point::at(self.started_ms / 1e3))
    }

    /// The entry as the controller takes it.
    pub fn to_streamer_entry(&self) -> StreamerEntry {
        StreamerEntry {
            streamer: self.id.clone(),
            zone: self.zone.clone(),
            kind: self.kind.clone(),
            cell: self.cell,
            state: self.streamer_state(),
            weight: self.weight.filter(|w| w.is_finite()).unwrap_or(1.0),
            started_at: self.started_at(),
        }
    }
}

/// The content of a list event: changed entries, or with `full` all entries.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
pub struct ListUpdate {
    #[serde(default)]
    pub full: bool,
    #[serde(rename = "servers", default)]
    pub streamers: Vec<ListEntry>,
}

/// A numbered change of the list.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct ListEvent {
    #[serde(rename = "pos")]
    pub position: u64,
    #[serde(rename = "hosts")]
    pub update: ListUpdate,
}

/// The list as the configuration file has it, and the position of its last event.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct KnownList {
    #[serde(rename = "pos", default)]
    pub position: u64,
    #[serde(rename = "entries", default)]
    pub events: Vec<ListEvent>,
}

/// Resource limits that the platform sets.
#[derive(Clone, Debug, Deserialize)]
pub struct Limits {
    /// How many descriptors the process can open.
    #[serde(default = "min_sockets")]
    pub sockets: usize,
}

/// The smallest number of descriptors that the platform grants.
fn min_sockets() -> usize {
    256
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { sockets: min_sockets() }
    }
}

/// The configuration file of a controller.
#[derive(Clone, Debug, Deserialize)]
pub struct Config {
    /// Address for viewers' connections.
    pub listen: SocketAddr,
    #[serde(default)]
    pub seed: String,
    #[serde(default)]
    pub limits: Limits,
    /// Address of the journal service.
    pub journal: String,
    #[serde(default)]
    pub known: KnownList,
    pub settings: Json,
}

impl Config {
    /// Reads the file. An error names the file, the place in it and the remedy.
    pub fn read(path: &Path) -> Result<Config, String> {
        let file = path.display();
        let text = std::fs::read(path)
            .map_err(|e| format!("{file}: {e}; RELAY_CONFIG must name a readable file"))?;
        let mut json = serde_json::Deserializer::from_slice(&text);
        serde_path_to_error::deserialize(&mut json)
            .map_err(|e| format!("{file}: at {}: {}; correct it there", e.path(), e.inner()))
    }

    /// The seed, given in hex digits; a random one where it is anything else.
    pub fn seed(&self) -> u64 {
        u64::from_str_radix(&self.seed, 16).unwrap_or_else(|_| rand::random())
    }
}

/// The environment variables of a controller.
pub struct Environment {
    /// Path of the configuration file (`RELAY_CONFIG`).
    pub config_path: PathBuf,
    /// Address to listen on instead of the one in the file (`RELAY_LISTEN`).
    pub listen: Option<SocketAddr>,
}

impl Environment {
    /// Reads the environment of this process.
    pub fn read() -> Result<Environment, String> {
        let config_path = std::env::var_os("RELAY_CONFIG")
            .ok_or("RELAY_CONFIG is not set; it names the configuration file of this controller")?;
        let listen = match std::env::var("RELAY_LISTEN") {
            Ok(text) => Some(
                text.parse().map_err(|e| format!("RELAY_LISTEN={text}: {e}; give it as 10.0.0.4:2905"))?,
            ),
            Err(_) => None,
        };
        Ok(Environment { config_path: config_path.into(), listen })
    }
}
