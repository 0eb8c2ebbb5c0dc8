//! What the platform tells a controller: the environment, the configuration file, and the list's events in it.

use lemontide::clock::Point;
use lemontide::interface::{StreamerEntry, StreamerState};
use serde::Deserialize;
use serde_json::Value as Json;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// One line of the list of streamers.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Entry {
    pub id: String,
    #[serde(default)]
    pub addr: String,
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
    /// Unix milliseconds of a late start, or 0.
    #[serde(default)]
    pub started_ms: f64,
}

impl Entry {
    pub fn stage(&self) -> StreamerState {
        match self.state.as_str() {
            "in_service" => StreamerState::Ready,
            "terminating" => StreamerState::Draining,
            _ => StreamerState::Gone,
        }
    }

    pub fn started(&self) -> Option<Point> {
        let late = self.started_ms.is_finite() && self.started_ms > 0.0;
        late.then(|| Point::at(self.started_ms / 1e3))
    }

    pub fn line(&self) -> StreamerEntry {
        StreamerEntry {
            streamer: self.id.clone(),
            zone: self.zone.clone(),
            kind: self.kind.clone(),
            cell: self.cell,
            state: self.stage(),
            weight: self.weight.filter(|w| w.is_finite()).unwrap_or(1.0),
            started_at: self.started(),
        }
    }
}

/// What an event of the list brings: changed lines, or with `full` all of them.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
pub struct Hosts {
    #[serde(default)]
    pub full: bool,
    #[serde(default)]
    pub servers: Vec<Entry>,
}

/// A numbered change of the list.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Event {
    pub pos: u64,
    pub hosts: Hosts,
}

#[derive(Clone, Debug, Default, Deserialize)]
pub struct Known {
    #[serde(default)]
    pub pos: u64,
    #[serde(default)]
    pub entries: Vec<Event>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Limits {
    #[serde(default = "sockets")]
    pub sockets: usize,
}

/// The fewest descriptors that the platform hands out.
fn sockets() -> usize {
    256
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { sockets: sockets() }
    }
}

#[derive(Clone, Debug, Deserialize)]
pub struct Config {
    pub listen: SocketAddr,
    #[serde(default)]
    pub seed: String,
    #[serde(default)]
    pub limits: Limits,
    pub journal: String,
    #[serde(default)]
    pub known: Known,
    pub settings: Json,
}

impl Config {
    /// Reads the file; an error names the file, the place in it and the remedy.
    pub fn read(path: &Path) -> Result<Config, String> {
        let place = path.display();
        let text = std::fs::read(path)
            .map_err(|e| format!("{place}: {e}; RELAY_CONFIG must name a readable file"))?;
        let mut json = serde_json::Deserializer::from_slice(&text);
        serde_path_to_error::deserialize(&mut json)
            .map_err(|e| format!("{place}: at {}: {}; correct it there", e.path(), e.inner()))
    }

    /// The seed is hex digits; anything else still gives one of its own.
    pub fn seed(&self) -> u64 {
        u64::from_str_radix(&self.seed, 16).unwrap_or_else(|_| rand::random())
    }
}

/// Where the environment says that the configuration is, and where to listen if not as in the file.
pub struct Environment {
    pub config: PathBuf,
    pub listen: Option<SocketAddr>,
}

impl Environment {
    pub fn read() -> Result<Environment, String> {
        let config = std::env::var_os("RELAY_CONFIG")
            .ok_or("RELAY_CONFIG is not set; it names the configuration file of this controller")?;
        let listen = match std::env::var("RELAY_LISTEN") {
            Ok(text) => Some(
                text.parse().map_err(|e| format!("RELAY_LISTEN={text}: {e}; give it as 10.0.0.4:2905"))?,
            ),
            Err(_) => None,
        };
        Ok(Environment { config: config.into(), listen })
    }
}
