//! The settings file of a controller, as JSON with a published schema. It is read and checked once at start;
//! an error names the file, the path of the value and how to fix it. The decision module gets the values as a
//! flat map.

use crate::core::{self, DriverSettings};
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
    /// Address that the controller listens on for players. With port 0 the system picks a free port, which is
    /// printed at start.
    pub listen: SocketAddr,
    /// This controller's number, from 0, and the number of controllers.
    #[serde(rename = "me")]
    pub own_number: usize,
    #[serde(rename = "controllers")]
    pub controller_count: usize,
    /// Seed of the random number generator; taken from the system if absent.
    #[serde(rename = "seed", default, skip_serializing_if = "Option::is_none")]
    pub rng_seed: Option<u64>,
    /// The zone that the controller runs in.
    pub zone: String,
    /// The file with the list of streamers; it is read again whenever it changes.
    pub list: PathBuf,
    /// The cells that hold each title.
    pub titles: BTreeMap<String, TitlePlacement>,
    #[serde(rename = "lanes")]
    pub classes: Vec<ClassSettings>,
    #[serde(default)]
    pub tenants: Vec<TenantSettings>,
    /// Gain of traffic over a tenant's share, as a part of its normal gain.
    #[serde(default)]
    pub over_share_gain: f64,
    pub ladder: Ladder,
    pub fleet: FleetSettings,
    #[serde(rename = "notes")]
    pub load_reports: LoadReportSettings,
    #[serde(rename = "shots")]
    pub attempts: AttemptSettings,
    pub retry_after: RetryAfterSettings,
    #[serde(rename = "looks", default)]
    pub probes: ProbeSettings,
    #[serde(default)]
    pub charges: ChargeSettings,
    #[serde(rename = "cold")]
    pub cold_start: ColdStartSettings,
    /// Budget of attempts beyond the first one of each session; no budget if absent.
    #[serde(rename = "ration", default, skip_serializing_if = "Option::is_none")]
    pub retry_budget: Option<RetryBudgetSettings>,
    pub links: LinkSettings,
    #[serde(default)]
    pub limits: ProcessLimits,
    /// Load shedding before the controller falls behind. If absent, only the hard limits apply.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shedding: Option<SheddingSettings>,
    /// Gossip with other controllers. If absent, which is the default, nothing is shared.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub gossip: Option<GossipSettings>,
    /// How this controller divides turns and streamers with the other controllers, by number. If absent,
    /// which is the default, each controller only ever has its own turn, even if others are missing, and a
    /// link to every streamer.
    #[serde(rename = "together", default, skip_serializing_if = "Option::is_none")]
    pub coordination: Option<FleetCoordinationSettings>,
    /// File that records the traffic at this controller's end of every socket, as JSON lines. No record if
    /// absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tap: Option<PathBuf>,
}

/// The cells that hold a title.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Place")]
pub struct TitlePlacement {
    /// The first cell that holds the title, and the number of cells in a row that hold it.
    #[serde(rename = "home")]
    pub first_cell: usize,
    #[serde(rename = "copies")]
    pub replicas: usize,
}

/// Whether the setup of a session can be attempted again once an earlier attempt may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
#[schemars(rename = "Repeat")]
pub enum RepeatPolicy {
    /// Setting up twice does no harm.
    #[serde(rename = "free")]
    Repeatable,
    /// Paid for at setup: it must be set up at most once.
    #[serde(rename = "paid")]
    AtMostOnce,
}

/// Settings of one class of requests.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Lane")]
pub struct ClassSettings {
    pub name: String,
    pub gain: f64,
    pub latency_goal_s: f64,
    #[serde(rename = "cut_off_s")]
    pub deadline_s: f64,
    #[serde(rename = "repeat")]
    pub repeat_policy: RepeatPolicy,
    /// Lowest and highest rung.
    #[serde(rename = "floor", default)]
    pub min_rung: usize,
    #[serde(rename = "top", default, skip_serializing_if = "Option::is_none")]
    pub max_rung: Option<usize>,
    /// Its rates as a multiple of the ladder's rates.
    #[serde(rename = "scale", default = "one")]
    pub rate_scale: f64,
    /// Sessions of one title that a controller can hold at once; 0 is no limit.
    #[serde(rename = "seats", default)]
    pub max_sessions_per_title: usize,
    #[serde(rename = "live", default)]
    pub is_live: bool,
}

/// Settings of one tenant.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Tenant")]
pub struct TenantSettings {
    pub name: String,
    /// Requests per second within its share, summed over all controllers.
    pub quota_per_s: f64,
}

/// The rungs.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Ladder {
    /// Rate of each rung in kB per second, rising, and the part of a session's gain that it earns.
    #[serde(rename = "kb")]
    pub rates_kb_per_s: Vec<f64>,
    #[serde(rename = "gain")]
    pub gains: Vec<f64>,
}

/// Size and capacity of the fleet of streamers.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Fleet")]
pub struct FleetSettings {
    #[serde(rename = "cells")]
    pub cell_count: usize,
    #[serde(rename = "racks")]
    pub rack_count: usize,
    /// Mean capacity of a rack's uplink, and capacity of a streamer's link per unit of its weight, in kB per
    /// second.
    #[serde(rename = "rack_kb")]
    pub uplink_kb_per_s: f64,
    #[serde(rename = "kb_per_weight")]
    pub link_kb_per_s_per_weight: f64,
    #[serde(rename = "kinds")]
    pub machine_kinds: Vec<MachineKind>,
}

/// A kind of machine that streamers run on.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct MachineKind {
    pub name: String,
    /// Maximum number of streams on one machine.
    #[serde(rename = "streams")]
    pub max_streams: f64,
}

/// Load reports of streamers.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Notes")]
pub struct LoadReportSettings {
    /// Age of a streamer's load report when it arrives, and the time between two reports.
    pub age_s: f64,
    #[serde(rename = "every_s")]
    pub interval_s: f64,
}

/// Attempts to set up a session.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Shots")]
pub struct AttemptSettings {
    /// Maximum number of attempts for one session.
    #[serde(rename = "most")]
    pub max_attempts: u32,
}

/// Whether rejected players are given a time to retry after, and its maximum.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "RetryAfter")]
pub struct RetryAfterSettings {
    pub allowed: bool,
    #[serde(rename = "longest_s")]
    pub max_s: f64,
}

/// Probes of streamers.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Looks")]
pub struct ProbeSettings {
    pub allowed: bool,
    #[serde(default)]
    pub timeout_s: f64,
}

/// Charges for moving a session and for streaming across zones.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Charges")]
pub struct ChargeSettings {
    #[serde(default)]
    pub moves: f64,
    #[serde(default)]
    pub cross_zone: f64,
}

/// Limits of a streamer that has just started.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Cold")]
pub struct ColdStartSettings {
    /// Time until the streamer is warm, and the part of its full setup rate that it starts at.
    #[serde(rename = "span_s")]
    pub warm_up_s: f64,
    #[serde(rename = "from")]
    pub initial_part: f64,
    /// A streamer that gets more than this multiple of its current setup rate during this window crashes.
    #[serde(rename = "multiple")]
    pub overload_multiple: f64,
    pub window_s: f64,
}

/// Budget of attempts beyond the first one of each session, within a sliding window.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Ration")]
pub struct RetryBudgetSettings {
    #[serde(rename = "floor")]
    pub min_retries: f64,
    #[serde(rename = "share")]
    pub request_share: f64,
    pub window_s: f64,
}

/// Links to streamers.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Links")]
pub struct LinkSettings {
    /// Time allowed for connecting to a streamer and for the handshake; after it the streamer counts as
    /// unreachable.
    pub dial_timeout_s: f64,
}

/// Resources that this process can use. Near these limits new requests are rejected, those with the least
/// gain first.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Shedding")]
pub struct SheddingSettings {
    /// Maximum time that a request waits in the queue, in seconds.
    #[serde(rename = "delay_s")]
    pub max_delay_s: f64,
    /// CPU cores that the process can use.
    #[serde(rename = "cores")]
    pub cpu_cores: f64,
    /// Resident memory, in bytes.
    pub memory_bytes: f64,
    /// Open files.
    #[serde(rename = "files")]
    pub open_files: f64,
    /// Part of the admitted requests that is reserved for each class at any load, in the order of `lanes`; 0
    /// for classes that are left out.
    #[serde(rename = "lane_shares", default)]
    pub class_shares: Vec<f64>,
    /// How long a request that is only just not admitted can be held before it is decided on once more, in
    /// seconds.
    #[serde(rename = "hold_s", default = "default_hold_s")]
    pub max_hold_s: f64,
    /// Maximum number of requests of one class in the queue; if absent, the limit of the whole queue.
    #[serde(rename = "lane_waiting", default, skip_serializing_if = "Option::is_none")]
    pub max_waiting_per_class: Option<usize>,
}

fn default_hold_s() -> f64 {
    0.1
}

/// Gossip with other controllers about which controllers are running and which streamers fail.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Gossip")]
pub struct GossipSettings {
    /// This instance's name, which must be in `keys`.
    pub name: String,
    /// UDP address to listen on, and the address that other controllers use if it differs.
    pub listen: SocketAddr,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advertise: Option<SocketAddr>,
    /// Probe period, in seconds: one member is probed in each. A lost member is detected after several
    /// periods.
    #[serde(default = "one")]
    pub period_s: f64,
    /// Members to contact at start.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The file with this instance's secret key: 64 hex digits. It is read again on SIGHUP, as `keys` is.
    #[serde(rename = "secret")]
    pub secret_key_file: PathBuf,
    /// The file with the public keys of all instances: an object of names to lists of 64 hex digits. During a
    /// key rotation an instance has two keys.
    #[serde(rename = "keys")]
    pub public_keys_file: PathBuf,
    /// Networks that datagrams are accepted from.
    #[serde(rename = "networks")]
    #[schemars(with = "Vec<String>")]
    pub allowed_networks: Vec<ipnet::IpNet>,
    /// Maximum number of bytes sent in any second.
    #[serde(default = "default_gossip_bytes_per_s")]
    pub bytes_per_s: usize,
}

fn default_gossip_bytes_per_s() -> usize {
    8 * 1024
}

/// Source of a controller's view of the other controllers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
#[schemars(rename = "Source")]
pub enum MembershipSource {
    /// The settings: all controllers that they count are taken to be running.
    #[default]
    Settings,
    /// Membership by gossip.
    Gossip,
}

/// How a controller coordinates with the other controllers.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Together")]
pub struct FleetCoordinationSettings {
    #[serde(rename = "view", default)]
    pub membership_source: MembershipSource,
    /// Maximum age of a view, in seconds: within this time every other controller has learned of one that
    /// started or stopped.
    #[serde(rename = "oldest_s", default = "default_view_age_s")]
    pub max_view_age_s: f64,
    /// Maximum difference between the clocks of two controllers, in seconds.
    #[serde(rename = "clocks_apart_s", default = "default_clock_difference_s")]
    pub max_clock_difference_s: f64,
    /// Each controller prefers its own subset of the streamers.
    #[serde(rename = "subset", default = "default_prefers_subset")]
    pub prefers_subset: bool,
    /// A link to a streamer outside that subset is closed once it has been unused for this long, in seconds.
    #[serde(rename = "idle_s", default = "default_link_idle_s")]
    pub link_idle_s: f64,
}

fn default_view_age_s() -> f64 {
    15.0
}

fn default_clock_difference_s() -> f64 {
    0.3
}

fn default_prefers_subset() -> bool {
    true
}

fn default_link_idle_s() -> f64 {
    15.0
}

/// Hard limits of one process.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
#[schemars(rename = "Limits")]
pub struct ProcessLimits {
    /// Maximum number of requests and sessions at once.
    #[serde(rename = "held")]
    pub max_sessions: usize,
    /// Maximum number of connections of players, in all and from one network.
    #[serde(rename = "connections")]
    pub max_connections: usize,
    #[serde(rename = "per_network")]
    pub max_connections_per_network: usize,
    /// Length of an address prefix that identifies a network, in bits.
    pub network_bits_v4: u8,
    pub network_bits_v6: u8,
    /// Maximum number of requests in the queue. Beyond it the newest is rejected, unless shedding is on and a
    /// queued request of lower rank can be rejected in its place.
    #[serde(rename = "waiting")]
    pub max_waiting_requests: usize,
    /// A connection without requests for this long is closed, and one that accepts no bytes for this long.
    #[serde(rename = "idle_s")]
    pub idle_timeout_s: f64,
    #[serde(rename = "write_s")]
    pub write_timeout_s: f64,
    /// Maximum body of a request, in bytes, and the time in which its head and body must arrive.
    #[serde(rename = "body_bytes")]
    pub max_body_bytes: usize,
    #[serde(rename = "request_s")]
    pub request_timeout_s: f64,
    /// How long a stopping controller waits for its sessions to end.
    #[serde(rename = "stop_s")]
    pub stop_timeout_s: f64,
}

impl Default for ProcessLimits {
    fn default() -> ProcessLimits {
        ProcessLimits {
            max_sessions: 20_000,
            max_connections: 20_000,
            max_connections_per_network: 20_000,
            network_bits_v4: 24,
            network_bits_v6: 56,
            max_waiting_requests: 4096,
            idle_timeout_s: 60.0,
            write_timeout_s: 5.0,
            max_body_bytes: 16 * 1024,
            request_timeout_s: 5.0,
            stop_timeout_s: 10.0,
        }
    }
}

fn one() -> f64 {
    1.0
}

/// An error in a file: the file, the path of the value in it, the problem and how to fix it.
#[derive(Debug)]
pub struct SettingsError {
    pub file: PathBuf,
    pub path: String,
    pub problem: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: at {}: {}", self.file.display(), self.path, self.problem)
    }
}

impl std::error::Error for SettingsError {}

/// Parses a JSON file. The error gives the path of a wrong or missing value.
pub fn read_json<T: serde::de::DeserializeOwned>(file: &Path) -> Result<T, SettingsError> {
    let error =
        |path: &str, problem: String| SettingsError { file: file.to_owned(), path: path.to_owned(), problem };
    let text = std::fs::read_to_string(file)
        .map_err(|e| error("the whole file", format!("it can't be read: {e}; name an existing file")))?;
    let mut json = serde_json::Deserializer::from_str(&text);
    let parsed = serde_path_to_error::deserialize(&mut json).map_err(|e| {
        let path = e.path().to_string();
        error(&path, format!("{}; see the schema (`lemontide schema`)", e.inner()))
    })?;
    json.end().map_err(|e| error("the end", format!("{e}; the file must contain exactly one value")))?;
    Ok(parsed)
}

impl Settings {
    /// Reads and checks a file. Relative paths in it are resolved against its folder.
    pub fn read(file: &Path) -> Result<Settings, SettingsError> {
        let mut settings: Settings = read_json(file)?;
        settings.check().map_err(|(path, problem)| SettingsError { file: file.to_owned(), path, problem })?;
        let folder = file.parent().unwrap_or(Path::new(""));
        settings.list = folder.join(&settings.list);
        settings.tap = settings.tap.map(|tap| folder.join(tap));
        if let Some(gossip) = &mut settings.gossip {
            gossip.secret_key_file = folder.join(&gossip.secret_key_file);
            gossip.public_keys_file = folder.join(&gossip.public_keys_file);
        }
        Ok(settings)
    }

    /// Checks what the schema can't express: that the values are consistent. Returns the first error, as the
    /// path of the value and how to fix it.
    pub fn check(&self) -> Result<(), (String, String)> {
        let fail = |path: &str, problem: &str| Err((path.to_owned(), problem.to_owned()));
        if self.controller_count == 0 || self.own_number >= self.controller_count {
            return fail("me", "this controller's number must be less than `controllers`: count from 0");
        }
        if self.classes.is_empty() {
            return fail("lanes", "there is none; add at least one class");
        }
        let rungs = self.ladder.rates_kb_per_s.len();
        if rungs == 0 || self.ladder.gains.len() != rungs {
            return fail(
                "ladder.gain",
                "there must be one gain for each rate in `ladder.kb`, and at least one",
            );
        }
        if self.ladder.rates_kb_per_s.iter().any(|kb| !is_positive(*kb))
            || !self.ladder.rates_kb_per_s.windows(2).all(|w| w[0] < w[1])
        {
            return fail("ladder.kb", "rates must be above 0 and increase from rung to rung");
        }
        for (i, class) in self.classes.iter().enumerate() {
            let path = |field: &str| format!("lanes[{i}].{field}");
            if self.classes[..i].iter().any(|other| other.name == class.name) {
                return fail(&path("name"), "another class has this name; names must be unique");
            }
            if !is_positive(class.latency_goal_s) || !is_positive(class.deadline_s) {
                return fail(&path("cut_off_s"), "latency goal and deadline must be above 0 s");
            }
            if class.latency_goal_s > class.deadline_s {
                return fail(&path("latency_goal_s"), "the latency goal is above the deadline; lower it");
            }
            if class.min_rung >= rungs || class.max_rung.is_some_and(|top| top < class.min_rung) {
                return fail(&path("floor"), "the lowest rung must be on the ladder, and not above `top`");
            }
            if !is_positive(class.rate_scale) || class.gain.is_nan() || class.gain < 0.0 {
                return fail(&path("scale"), "scale must be above 0, and gain 0 or more");
            }
        }
        if self.fleet.cell_count == 0 || self.fleet.rack_count == 0 {
            return fail("fleet.cells", "a fleet has at least one cell and one rack");
        }
        if self.fleet.machine_kinds.iter().any(|kind| !is_positive(kind.max_streams))
            || !is_positive(self.fleet.link_kb_per_s_per_weight)
        {
            return fail("fleet.kinds", "streams of a kind and kB per weight must be above 0");
        }
        for (title, placement) in &self.titles {
            if placement.first_cell >= self.fleet.cell_count
                || placement.replicas == 0
                || placement.replicas > self.fleet.cell_count
            {
                let path = format!("titles.{title}");
                return fail(
                    &path,
                    "`home` must be less than `fleet.cells`, and `copies` between 1 and `fleet.cells`",
                );
            }
        }
        if self.attempts.max_attempts == 0 {
            return fail("shots.most", "a session needs at least one attempt");
        }
        for (path, value) in [
            ("notes.age_s", self.load_reports.age_s),
            ("notes.every_s", self.load_reports.interval_s),
            ("retry_after.longest_s", self.retry_after.max_s),
            ("cold.span_s", self.cold_start.warm_up_s),
            ("cold.window_s", self.cold_start.window_s),
            ("cold.from", self.cold_start.initial_part),
            ("cold.multiple", self.cold_start.overload_multiple),
            ("fleet.rack_kb", self.fleet.uplink_kb_per_s),
        ] {
            if !(value.is_finite() && value >= 0.0) {
                return fail(path, "it must be a number of 0 or more");
            }
        }
        if self.retry_budget.as_ref().is_some_and(|budget| !is_positive(budget.window_s)) {
            return fail("ration.window_s", "the window of the retry budget must be above 0 s");
        }
        if !is_positive(self.links.dial_timeout_s)
            || self.probes.allowed && !is_positive(self.probes.timeout_s)
        {
            return fail(
                "links.dial_timeout_s",
                "timeouts of dials, and of probes if they are allowed, must be above 0 s",
            );
        }
        if let Some(shedding) = &self.shedding {
            let limits =
                [shedding.max_delay_s, shedding.cpu_cores, shedding.memory_bytes, shedding.open_files];
            if limits.iter().any(|limit| !is_positive(*limit)) {
                return fail("shedding", "every limit must be above 0");
            }
            let shares = &shedding.class_shares;
            if shares.iter().any(|share| !(0.0..=1.0).contains(share)) || shares.iter().sum::<f64>() > 1.0 {
                return fail(
                    "shedding.lane_shares",
                    "each share must be between 0 and 1, and their sum at most 1",
                );
            }
            if !(shedding.max_hold_s.is_finite() && shedding.max_hold_s >= 0.0)
                || shedding.max_waiting_per_class == Some(0)
            {
                return fail(
                    "shedding.hold_s",
                    "a hold must be 0 s or more, and the queue of a class must hold at least one request",
                );
            }
        }
        if let Some(coordination) = &self.coordination {
            if coordination.membership_source == MembershipSource::Gossip && self.gossip.is_none() {
                return fail(
                    "together.view",
                    "membership by gossip needs `gossip`; add it, or use `settings`",
                );
            }
            if self.controller_count > MAX_INSTANCES as usize {
                return fail("controllers", "turns can be shared by at most 65536 controllers");
            }
            if !is_positive(coordination.max_view_age_s)
                || !(1.0..=3600.0).contains(&coordination.link_idle_s)
            {
                return fail(
                    "together.oldest_s",
                    "the age of a view must be above 0 s, and that of an idle link between 1 and 3600 s",
                );
            }
            if !(0.0..self.cold_start.window_s.max(1e-9)).contains(&coordination.max_clock_difference_s) {
                let problem = "the difference of clocks must be less than `cold.window_s`, or no controller ever has a turn";
                return fail("together.clocks_apart_s", problem);
            }
        }
        if let Some(gossip) = &self.gossip {
            if !(0.05..=60.0).contains(&gossip.period_s) {
                return fail("gossip.period_s", "the period must be between 0.05 and 60 s");
            }
            if gossip.bytes_per_s < 4 * 1024 {
                return fail(
                    "gossip.bytes_per_s",
                    "pings don't get through with less than 4096 bytes per second; raise it",
                );
            }
            if gossip.allowed_networks.is_empty() {
                return fail(
                    "gossip.networks",
                    "no network is allowed; list the networks of the other controllers",
                );
            }
        }
        let limits = &self.limits;
        let counts = [
            limits.max_sessions,
            limits.max_connections,
            limits.max_connections_per_network,
            limits.max_waiting_requests,
            limits.max_body_bytes,
        ];
        let times = [limits.request_timeout_s, limits.idle_timeout_s, limits.write_timeout_s];
        if counts.contains(&0) || !times.into_iter().all(is_positive) {
            return fail("limits", "every limit must be above 0");
        }
        if limits.network_bits_v4 > 32 || limits.network_bits_v6 > 128 {
            return fail(
                "limits.network_bits_v4",
                "a prefix has at most 32 bits in IPv4 and 128 bits in IPv6",
            );
        }
        Ok(())
    }

    /// The flat map that the decision module takes.
    pub fn controller_settings(&self) -> ControllerSettings {
        let mut settings = ControllerSettings::new();
        let mut insert_number = |name: String, value: f64| settings.insert(name, SettingValue::Number(value));
        for (name, value) in [
            ("me", self.own_number as f64),
            ("controllers", self.controller_count as f64),
            ("over_share_gain", self.over_share_gain),
            ("cells", self.fleet.cell_count as f64),
            ("rack.count", self.fleet.rack_count as f64),
            ("rack.kb", self.fleet.uplink_kb_per_s),
            ("link.kb_per_weight", self.fleet.link_kb_per_s_per_weight),
            ("notes.age", self.load_reports.age_s),
            ("notes.every", self.load_reports.interval_s),
            ("shots.most", f64::from(self.attempts.max_attempts)),
            ("retry_after.longest", self.retry_after.max_s),
            ("charges.moves", self.charges.moves),
            ("charges.cross_zone", self.charges.cross_zone),
            ("cold.span", self.cold_start.warm_up_s),
            ("cold.from", self.cold_start.initial_part),
            ("cold.multiple", self.cold_start.overload_multiple),
            ("cold.window", self.cold_start.window_s),
            ("dial.timeout", self.links.dial_timeout_s),
        ] {
            insert_number(name.to_owned(), value);
        }
        if let Some(budget) = &self.retry_budget {
            insert_number("ration.floor".to_owned(), budget.min_retries);
            insert_number("ration.share".to_owned(), budget.request_share);
            insert_number("ration.window".to_owned(), budget.window_s);
        }
        if let Some(coordination) = &self.coordination {
            insert_number("clocks.apart".to_owned(), coordination.max_clock_difference_s);
        }
        for (i, (kb, gain)) in self.ladder.rates_kb_per_s.iter().zip(&self.ladder.gains).enumerate() {
            insert_number(format!("ladder.kb.{i}"), *kb);
            insert_number(format!("ladder.gain.{i}"), *gain);
        }
        for (i, class) in self.classes.iter().enumerate() {
            insert_number(format!("lanes.{i}.gain"), class.gain);
            insert_number(format!("lanes.{i}.latency_goal"), class.latency_goal_s);
            insert_number(format!("lanes.{i}.cut_off"), class.deadline_s);
            insert_number(format!("lane_floor.{i}"), class.min_rung as f64);
            insert_number(
                format!("lane_top.{i}"),
                class.max_rung.unwrap_or(self.ladder.rates_kb_per_s.len() - 1) as f64,
            );
            insert_number(format!("lane_scale.{i}"), class.rate_scale);
            insert_number(format!("lane_seats.{i}"), class.max_sessions_per_title as f64);
        }
        for (i, kind) in self.fleet.machine_kinds.iter().enumerate() {
            insert_number(format!("kind_streams.{i}"), kind.max_streams);
        }
        for (i, tenant) in self.tenants.iter().enumerate() {
            insert_number(format!("tenants.{i}.quota_per_s"), tenant.quota_per_s);
        }
        let mut insert = |name: String, value: SettingValue| settings.insert(name, value);
        insert("zone".to_owned(), SettingValue::Text(self.zone.clone()));
        insert("retry_after.allowed".to_owned(), SettingValue::Flag(self.retry_after.allowed));
        insert("looks.allowed".to_owned(), SettingValue::Flag(self.probes.allowed));
        for (i, class) in self.classes.iter().enumerate() {
            let repeat = if class.repeat_policy == RepeatPolicy::AtMostOnce { "paid" } else { "free" };
            insert(format!("lanes.{i}.name"), SettingValue::Text(class.name.clone()));
            insert(format!("lanes.{i}.repeat"), SettingValue::Text(repeat.to_owned()));
            insert(format!("lane_live.{i}"), SettingValue::Flag(class.is_live));
        }
        for (i, kind) in self.fleet.machine_kinds.iter().enumerate() {
            insert(format!("kinds.{i}"), SettingValue::Text(kind.name.clone()));
        }
        for (i, tenant) in self.tenants.iter().enumerate() {
            insert(format!("tenants.{i}.name"), SettingValue::Text(tenant.name.clone()));
        }
        settings
    }

    /// The settings that the driver needs in addition to those of the decision module.
    pub fn driver_settings(&self) -> DriverSettings {
        DriverSettings {
            classes: self
                .classes
                .iter()
                .map(|class| (class.name.clone(), Span::of(class.deadline_s)))
                .collect(),
            titles: self
                .titles
                .iter()
                .map(|(name, placement)| (name.clone(), (placement.first_cell, placement.replicas)))
                .collect(),
            ladder_kb_per_s: self.ladder.rates_kb_per_s.clone(),
            class_rate_scales: self.classes.iter().map(|class| class.rate_scale).collect(),
            dial_timeout: Span::of(self.links.dial_timeout_s),
            probe_timeout: Span::of(self.probes.timeout_s),
            max_sessions: self.limits.max_sessions,
            limit_set_ups: self.shedding.is_some(),
            cell_count: self.fleet.cell_count,
            coordination: self.coordination.as_ref().map(|coordination| core::CoordinationSettings {
                own_number: self.own_number as u32,
                controller_count: self.controller_count as u32,
                uses_gossip: coordination.membership_source == MembershipSource::Gossip,
                max_view_age: Span::of(coordination.max_view_age_s),
                uses_subset: coordination.prefers_subset,
                idle_timeout: Span::of(coordination.link_idle_s),
                zone: (self.charges.cross_zone > 0.0).then(|| self.zone.clone()),
                mean_requests_per_s: self.mean_requests_per_s(),
            }),
        }
    }
}

impl Settings {
    /// Mean requests per second of one controller, if the tenants' quotas give them.
    fn mean_requests_per_s(&self) -> Option<f64> {
        let total: f64 = self.tenants.iter().map(|tenant| tenant.quota_per_s).sum();
        is_positive(total).then(|| total / self.controller_count.max(1) as f64)
    }
}

fn is_positive(value: f64) -> bool {
    value.is_finite() && value > 0.0
}
