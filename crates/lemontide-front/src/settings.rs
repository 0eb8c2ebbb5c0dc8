//! What the operators state, as JSON with a published schema. Read once at start and checked; an error names
//! the file, the path in it and the remedy. Nothing is decided here: the module gets it all as a plain map.

use crate::core::{CoordinationSettings, DriverSettings};
use lemontide::clock::Span;
use lemontide::interface::{ControllerSettings, SettingValue};
use lemontide_fleet::view::MAX_INSTANCES;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Settings of one controller.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Where players are served; port 0 takes a free one, which is printed at start.
    pub listen: SocketAddr,
    /// This controller's number, from 0, and how many there are.
    pub me: usize,
    pub controllers: usize,
    /// Seed of chance; without one it is taken from the system.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub seed: Option<u64>,
    /// The zone that it stands in.
    pub zone: String,
    /// The file with the list of streamers; it is read again whenever it changes.
    pub list: PathBuf,
    /// Where each title lies.
    pub titles: BTreeMap<String, Place>,
    pub lanes: Vec<Lane>,
    #[serde(default)]
    pub tenants: Vec<Tenant>,
    /// What traffic past a tenant's share earns, as a part of its gain.
    #[serde(default)]
    pub over_share_gain: f64,
    pub ladder: Ladder,
    pub fleet: Fleet,
    pub notes: Notes,
    pub shots: Shots,
    pub retry_after: RetryAfter,
    #[serde(default)]
    pub looks: Looks,
    #[serde(default)]
    pub charges: Charges,
    pub cold: Cold,
    /// The ration of shots beyond each subscription's first, where one is stated.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ration: Option<Ration>,
    pub links: Links,
    #[serde(default)]
    pub limits: Limits,
    /// Shedding before falling behind; absent, only the hard limits hold.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shedding: Option<Shedding>,
    /// Gossip with other controllers: absent, as it is by default, nothing is shared.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub gossip: Option<Gossip>,
    /// What this controller shares out with others by number: absent, as it is by default, each has its own turn
    /// whoever is missing, and a link to every streamer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub together: Option<Together>,
    /// Where this controller's end of every socket is written down, as JSON lines; nowhere when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tap: Option<PathBuf>,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Place {
    /// The first cell that holds it, and how many in a row do.
    pub home: usize,
    pub copies: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    /// May be set up again without harm.
    Free,
    /// Paid for at set-up: set up once.
    Paid,
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Lane {
    pub name: String,
    pub gain: f64,
    pub latency_goal_s: f64,
    pub cut_off_s: f64,
    pub repeat: Repeat,
    /// Lowest and highest rung.
    #[serde(default)]
    pub floor: usize,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub top: Option<usize>,
    /// Its rates over the ladder's.
    #[serde(default = "one")]
    pub scale: f64,
    /// Subscriptions of one title that a controller may hold; 0 is no limit.
    #[serde(default)]
    pub seats: usize,
    #[serde(default)]
    pub live: bool,
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    pub name: String,
    /// Wishes a second within its share, over all controllers.
    pub quota_per_s: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Ladder {
    /// Rate of each rung in kB a second, rising, and what it earns as a part of the gain.
    pub kb: Vec<f64>,
    pub gain: Vec<f64>,
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    pub cells: usize,
    pub racks: usize,
    /// Mean uplink of a rack, and a streamer's link for each unit of its weight, in kB a second.
    pub rack_kb: f64,
    pub kb_per_weight: f64,
    pub kinds: Vec<MachineKind>,
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct MachineKind {
    pub name: String,
    /// Streams that it runs at most.
    pub streams: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Notes {
    /// How old a note of a streamer is when it comes, and the time between two.
    pub age_s: f64,
    pub every_s: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Shots {
    /// Shots of one subscription at most.
    pub most: u32,
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RetryAfter {
    pub allowed: bool,
    pub longest_s: f64,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Looks {
    pub allowed: bool,
    #[serde(default)]
    pub timeout_s: f64,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Charges {
    #[serde(default)]
    pub moves: f64,
    #[serde(default)]
    pub cross_zone: f64,
}

/// Terms for a streamer that has just started.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Cold {
    /// It is warm after this time; it starts at this part of its pace.
    pub span_s: f64,
    pub from: f64,
    /// So many times its pace, for so long, make it fall over.
    pub multiple: f64,
    pub window_s: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Ration {
    pub floor: f64,
    pub share: f64,
    pub window_s: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Links {
    /// A streamer that is not connected and greeted by then counts as not reached.
    pub dial_timeout_s: f64,
}

/// What this process may use. Near these limits new wishes are turned back, least gain first.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Shedding {
    /// How long a wish may wait for its turn, in seconds.
    pub delay_s: f64,
    /// Cores that the process may use.
    pub cores: f64,
    /// Resident memory, in bytes.
    pub memory_bytes: f64,
    /// Open files.
    pub files: f64,
    /// Part of what is taken that each lane keeps at any load, in the order of `lanes`; 0 where it is left out.
    #[serde(default)]
    pub lane_shares: Vec<f64>,
    /// A wish that is nearly taken may be held for so long before it is judged once more, in seconds.
    #[serde(default = "hold")]
    pub hold_s: f64,
    /// Wishes of one lane that wait at most; as many as of all where it is absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lane_waiting: Option<usize>,
}

fn hold() -> f64 {
    0.1
}

/// Gossip with other controllers about who is there and which streamers fail.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Gossip {
    /// This instance's name, one of `keys`.
    pub name: String,
    /// The UDP address that it listens at, and the one that others reach it at where that is another.
    pub listen: SocketAddr,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advertise: Option<SocketAddr>,
    /// One member is probed in this time, in seconds; a lost one is missed after some of them.
    #[serde(default = "one")]
    pub period_s: f64,
    /// Others to greet at first.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The file with this instance's secret key: 64 hex digits. It is read again on SIGHUP, as `keys` is.
    pub secret: PathBuf,
    /// The file with all instances' public keys: an object of names to lists of 64 hex digits. While a key is
    /// changed an instance has two.
    pub keys: PathBuf,
    /// Networks that datagrams may come from.
    #[schemars(with = "Vec<String>")]
    pub networks: Vec<ipnet::IpNet>,
    /// Bytes that may leave in any second.
    #[serde(default = "gossip_bytes")]
    pub bytes_per_s: usize,
}

fn gossip_bytes() -> usize {
    8 * 1024
}

/// Where a controller's view of the others comes from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Source {
    /// Nothing is ever heard: all that the settings count are there.
    #[default]
    Settings,
    /// Gossip tells who is there.
    Gossip,
}

/// How a controller acts as one of many.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Together {
    #[serde(default)]
    pub view: Source,
    /// A view is at most this old: within this time, in seconds, every other controller knows that one came or went.
    #[serde(default = "oldest")]
    pub oldest_s: f64,
    /// The clocks of two controllers are at most this far apart, in seconds.
    #[serde(default = "clocks_apart")]
    pub clocks_apart_s: f64,
    /// Each controller uses its own part of the streamers first.
    #[serde(default = "yes")]
    pub subset: bool,
    /// A link to a streamer outside that part is closed when it was not needed for so long, in seconds.
    #[serde(default = "idle")]
    pub idle_s: f64,
}

fn oldest() -> f64 {
    15.0
}

fn clocks_apart() -> f64 {
    0.3
}

fn yes() -> bool {
    true
}

fn idle() -> f64 {
    15.0
}

/// Bounds of what one process takes on.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Wishes and subscriptions in hand.
    pub held: usize,
    /// Connections of players, and those from one network.
    pub connections: usize,
    pub per_network: usize,
    /// Leading bits of an address that name its network.
    pub network_bits_v4: u8,
    pub network_bits_v6: u8,
    /// Wishes that wait for their turn; the newest is turned away beyond them, unless shedding is on and a lesser
    /// one can give way.
    pub waiting: usize,
    /// A connection that asked nothing for so long is closed, and one that takes no bytes for so long.
    pub idle_s: f64,
    pub write_s: f64,
    /// Longest body of a wish, in bytes, and the time in which head and body must be there.
    pub body_bytes: usize,
    pub request_s: f64,
    /// How long a stop waits for subscriptions to end by themselves.
    pub stop_s: f64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            held: 20_000,
            connections: 20_000,
            per_network: 20_000,
            network_bits_v4: 24,
            network_bits_v6: 56,
            waiting: 4096,
            idle_s: 60.0,
            write_s: 5.0,
            body_bytes: 16 * 1024,
            request_s: 5.0,
            stop_s: 10.0,
        }
    }
}

fn one() -> f64 {
    1.0
}

/// What is wrong with a file: which, where in it, what, and what to do about it.
#[derive(Debug)]
pub struct Wrong {
    pub file: PathBuf,
    pub path: String,
    pub what: String,
}

impl fmt::Display for Wrong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: at {}: {}", self.file.display(), self.path, self.what)
    }
}

impl std::error::Error for Wrong {}

/// Reads a JSON file into its type; a wrong or missing value is named by its path.
pub fn read_json<T: serde::de::DeserializeOwned>(file: &Path) -> Result<T, Wrong> {
    let wrong = |path: &str, what: String| Wrong { file: file.to_owned(), path: path.to_owned(), what };
    let text = std::fs::read_to_string(file)
        .map_err(|e| wrong("the whole file", format!("it can't be read: {e}; name a file that is there")))?;
    let mut json = serde_json::Deserializer::from_str(&text);
    let read = serde_path_to_error::deserialize(&mut json).map_err(|e| {
        let path = e.path().to_string();
        wrong(&path, format!("{}; see the schema (`lemontide schema`)", e.inner()))
    })?;
    json.end().map_err(|e| wrong("the end", format!("{e}; leave one value in the file")))?;
    Ok(read)
}

impl Settings {
    /// Reads and checks a file. Paths in it are taken from the folder that it lies in.
    pub fn read(file: &Path) -> Result<Settings, Wrong> {
        let mut settings: Settings = read_json(file)?;
        settings.check().map_err(|(path, what)| Wrong { file: file.to_owned(), path, what })?;
        let folder = file.parent().unwrap_or(Path::new(""));
        settings.list = folder.join(&settings.list);
        settings.tap = settings.tap.map(|tap| folder.join(tap));
        if let Some(gossip) = &mut settings.gossip {
            gossip.secret = folder.join(&gossip.secret);
            gossip.keys = folder.join(&gossip.keys);
        }
        Ok(settings)
    }

    /// What the schema can't say: how the values must fit each other. The first misfit, as path and remedy.
    pub fn check(&self) -> Result<(), (String, String)> {
        let wrong = |path: &str, what: &str| Err((path.to_owned(), what.to_owned()));
        if self.controllers == 0 || self.me >= self.controllers {
            return wrong("me", "this controller's number must be under `controllers`: count from 0");
        }
        if self.lanes.is_empty() {
            return wrong("lanes", "there is none; state at least one lane");
        }
        let rungs = self.ladder.kb.len();
        if rungs == 0 || self.ladder.gain.len() != rungs {
            return wrong(
                "ladder.gain",
                "there must be one gain for each rate in `ladder.kb`, and at least one",
            );
        }
        if self.ladder.kb.iter().any(|kb| !positive(*kb)) || !self.ladder.kb.windows(2).all(|w| w[0] < w[1]) {
            return wrong("ladder.kb", "rates must be above 0 and rise from rung to rung");
        }
        for (i, lane) in self.lanes.iter().enumerate() {
            let at = |what: &str| format!("lanes[{i}].{what}");
            if self.lanes[..i].iter().any(|other| other.name == lane.name) {
                return wrong(&at("name"), "another lane has this name; give each its own");
            }
            if !positive(lane.latency_goal_s) || !positive(lane.cut_off_s) {
                return wrong(&at("cut_off_s"), "latency goal and cut-off must be above 0 s");
            }
            if lane.latency_goal_s > lane.cut_off_s {
                return wrong(&at("latency_goal_s"), "the latency goal lies behind the cut-off; lower it");
            }
            if lane.floor >= rungs || lane.top.is_some_and(|top| top < lane.floor) {
                return wrong(&at("floor"), "the floor must be a rung of the ladder, and not above `top`");
            }
            if !positive(lane.scale) || lane.gain.is_nan() || lane.gain < 0.0 {
                return wrong(&at("scale"), "scale must be above 0 and gain not under it");
            }
        }
        if self.fleet.cells == 0 || self.fleet.racks == 0 {
            return wrong("fleet.cells", "a fleet has at least one cell and one rack");
        }
        if self.fleet.kinds.iter().any(|kind| !positive(kind.streams)) || !positive(self.fleet.kb_per_weight)
        {
            return wrong("fleet.kinds", "streams of a kind and kB per weight must be above 0");
        }
        for (title, place) in &self.titles {
            if place.home >= self.fleet.cells || place.copies == 0 || place.copies > self.fleet.cells {
                let path = format!("titles.{title}");
                return wrong(&path, "home must be under `fleet.cells`, copies between 1 and that");
            }
        }
        if self.shots.most == 0 {
            return wrong("shots.most", "a subscription needs at least one shot");
        }
        for (path, value) in [
            ("notes.age_s", self.notes.age_s),
            ("notes.every_s", self.notes.every_s),
            ("retry_after.longest_s", self.retry_after.longest_s),
            ("cold.span_s", self.cold.span_s),
            ("cold.window_s", self.cold.window_s),
            ("cold.from", self.cold.from),
            ("cold.multiple", self.cold.multiple),
            ("fleet.rack_kb", self.fleet.rack_kb),
        ] {
            if !(value.is_finite() && value >= 0.0) {
                return wrong(path, "it must be a number of 0 or more");
            }
        }
        if self.ration.as_ref().is_some_and(|ration| !positive(ration.window_s)) {
            return wrong("ration.window_s", "the window of a ration must be above 0 s");
        }
        if !positive(self.links.dial_timeout_s) || self.looks.allowed && !positive(self.looks.timeout_s) {
            return wrong(
                "links.dial_timeout_s",
                "time-outs of dials, and of looks where allowed, are above 0 s",
            );
        }
        if let Some(shedding) = &self.shedding {
            let limits = [shedding.delay_s, shedding.cores, shedding.memory_bytes, shedding.files];
            if limits.iter().any(|limit| !positive(*limit)) {
                return wrong("shedding", "every limit must be above 0");
            }
            let shares = &shedding.lane_shares;
            if shares.iter().any(|share| !(0.0..=1.0).contains(share)) || shares.iter().sum::<f64>() > 1.0 {
                return wrong("shedding.lane_shares", "shares lie between 0 and 1, together at most 1");
            }
            if !(shedding.hold_s.is_finite() && shedding.hold_s >= 0.0) || shedding.lane_waiting == Some(0) {
                return wrong(
                    "shedding.hold_s",
                    "a hold is 0 s or more, and a lane's queue holds at least one",
                );
            }
        }
        if let Some(together) = &self.together {
            if together.view == Source::Gossip && self.gossip.is_none() {
                return wrong(
                    "together.view",
                    "nothing is heard without `gossip`; add it, or take `settings`",
                );
            }
            if self.controllers > MAX_INSTANCES as usize {
                return wrong("controllers", "turns are shared by 65536 at most");
            }
            if !positive(together.oldest_s) || !(1.0..=3600.0).contains(&together.idle_s) {
                return wrong(
                    "together.oldest_s",
                    "a view's age is above 0 s, an idle link's between 1 and 3600 s",
                );
            }
            if !(0.0..self.cold.window_s.max(1e-9)).contains(&together.clocks_apart_s) {
                let what = "clocks must be less apart than `cold.window_s`, or nobody has a turn";
                return wrong("together.clocks_apart_s", what);
            }
        }
        if let Some(gossip) = &self.gossip {
            if !(0.05..=60.0).contains(&gossip.period_s) {
                return wrong("gossip.period_s", "a period lasts 0.05 to 60 s");
            }
            if gossip.bytes_per_s < 4 * 1024 {
                return wrong(
                    "gossip.bytes_per_s",
                    "under 4096 bytes a second pings don't get through; raise it",
                );
            }
            if gossip.networks.is_empty() {
                return wrong(
                    "gossip.networks",
                    "nobody may speak; list the networks of the other controllers",
                );
            }
        }
        let limits = &self.limits;
        let counts = [limits.held, limits.connections, limits.per_network, limits.waiting, limits.body_bytes];
        let times = [limits.request_s, limits.idle_s, limits.write_s];
        if counts.contains(&0) || !times.into_iter().all(positive) {
            return wrong("limits", "every limit must be above 0");
        }
        if limits.network_bits_v4 > 32 || limits.network_bits_v6 > 128 {
            return wrong("limits.network_bits_v4", "an address has 32 bits, or 128 in IPv6");
        }
        Ok(())
    }

    /// The settings as the module takes them.
    pub fn controller_settings(&self) -> ControllerSettings {
        let mut sheet = ControllerSettings::new();
        let mut number = |name: String, value: f64| sheet.insert(name, SettingValue::Number(value));
        for (name, value) in [
            ("me", self.me as f64),
            ("controllers", self.controllers as f64),
            ("over_share_gain", self.over_share_gain),
            ("cells", self.fleet.cells as f64),
            ("rack.count", self.fleet.racks as f64),
            ("rack.kb", self.fleet.rack_kb),
            ("link.kb_per_weight", self.fleet.kb_per_weight),
            ("notes.age", self.notes.age_s),
            ("notes.every", self.notes.every_s),
            ("shots.most", f64::from(self.shots.most)),
            ("retry_after.longest", self.retry_after.longest_s),
            ("charges.moves", self.charges.moves),
            ("charges.cross_zone", self.charges.cross_zone),
            ("cold.span", self.cold.span_s),
            ("cold.from", self.cold.from),
            ("cold.multiple", self.cold.multiple),
            ("cold.window", self.cold.window_s),
            ("dial.timeout", self.links.dial_timeout_s),
        ] {
            number(name.to_owned(), value);
        }
        if let Some(ration) = &self.ration {
            number("ration.floor".to_owned(), ration.floor);
            number("ration.share".to_owned(), ration.share);
            number("ration.window".to_owned(), ration.window_s);
        }
        if let Some(together) = &self.together {
            number("clocks.apart".to_owned(), together.clocks_apart_s);
        }
        for (i, (kb, gain)) in self.ladder.kb.iter().zip(&self.ladder.gain).enumerate() {
            number(format!("ladder.kb.{i}"), *kb);
            number(format!("ladder.gain.{i}"), *gain);
        }
        for (i, lane) in self.lanes.iter().enumerate() {
            number(format!("lanes.{i}.gain"), lane.gain);
            number(format!("lanes.{i}.latency_goal"), lane.latency_goal_s);
            number(format!("lanes.{i}.cut_off"), lane.cut_off_s);
            number(format!("lane_floor.{i}"), lane.floor as f64);
            number(format!("lane_top.{i}"), lane.top.unwrap_or(self.ladder.kb.len() - 1) as f64);
            number(format!("lane_scale.{i}"), lane.scale);
            number(format!("lane_seats.{i}"), lane.seats as f64);
        }
        for (i, kind) in self.fleet.kinds.iter().enumerate() {
            number(format!("kind_streams.{i}"), kind.streams);
        }
        for (i, tenant) in self.tenants.iter().enumerate() {
            number(format!("tenants.{i}.quota_per_s"), tenant.quota_per_s);
        }
        let mut put = |name: String, value: SettingValue| sheet.insert(name, value);
        put("zone".to_owned(), SettingValue::Text(self.zone.clone()));
        put("retry_after.allowed".to_owned(), SettingValue::Flag(self.retry_after.allowed));
        put("looks.allowed".to_owned(), SettingValue::Flag(self.looks.allowed));
        for (i, lane) in self.lanes.iter().enumerate() {
            let repeat = if lane.repeat == Repeat::Paid { "paid" } else { "free" };
            put(format!("lanes.{i}.name"), SettingValue::Text(lane.name.clone()));
            put(format!("lanes.{i}.repeat"), SettingValue::Text(repeat.to_owned()));
            put(format!("lane_live.{i}"), SettingValue::Flag(lane.live));
        }
        for (i, kind) in self.fleet.kinds.iter().enumerate() {
            put(format!("kinds.{i}"), SettingValue::Text(kind.name.clone()));
        }
        for (i, tenant) in self.tenants.iter().enumerate() {
            put(format!("tenants.{i}.name"), SettingValue::Text(tenant.name.clone()));
        }
        sheet
    }

    /// What the driver needs beside the module.
    pub fn terms(&self) -> DriverSettings {
        DriverSettings {
            classes: self.lanes.iter().map(|lane| (lane.name.clone(), Span::of(lane.cut_off_s))).collect(),
            titles: self.titles.iter().map(|(name, at)| (name.clone(), (at.home, at.copies))).collect(),
            ladder_kb_per_s: self.ladder.kb.clone(),
            class_rate_scales: self.lanes.iter().map(|lane| lane.scale).collect(),
            dial_timeout: Span::of(self.links.dial_timeout_s),
            probe_timeout: Span::of(self.looks.timeout_s),
            max_sessions: self.limits.held,
            limit_set_ups: self.shedding.is_some(),
            cell_count: self.fleet.cells,
            coordination: self.together.as_ref().map(|together| CoordinationSettings {
                own_number: self.me as u32,
                controller_count: self.controllers as u32,
                uses_gossip: together.view == Source::Gossip,
                max_view_age: Span::of(together.oldest_s),
                uses_subset: together.subset,
                idle_timeout: Span::of(together.idle_s),
                zone: (self.charges.cross_zone > 0.0).then(|| self.zone.clone()),
                mean_requests_per_s: self.mean_traffic(),
            }),
        }
    }
}

impl Settings {
    /// Wishes a second of a controller with the mean traffic, as far as tenants' shares tell.
    fn mean_traffic(&self) -> Option<f64> {
        let all: f64 = self.tenants.iter().map(|tenant| tenant.quota_per_s).sum();
        positive(all).then(|| all / self.controllers.max(1) as f64)
    }
}

fn positive(value: f64) -> bool {
    value.is_finite() && value > 0.0
}
