//! A day: the scenario file of a run on loopback. It holds the fleet as it really is, the settings that controllers
//! get, the viewers, and the faults to inject. It is JSON with a schema; durations are in seconds, rates in kB/s.

use crate::relay::Endpoint;
use lemontide_front::settings::{
    read_json, AttemptSettings, ChargeSettings, ClassSettings, ColdStartSettings, FleetCoordinationSettings,
    FleetSettings, Ladder, LinkSettings, LoadReportSettings, ProbeSettings, ProcessLimits, RepeatPolicy,
    RetryAfterSettings, RetryBudgetSettings, Settings, SettingsError, TenantSettings, TitlePlacement,
};
use lemontide_wire::list::{ListEntry, StreamerList, StreamerState};
use lemontide_wire::tap::{self, ClassRules, JudgeRules};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// A scenario: fleet, viewers and faults of one run.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Day {
    pub name: String,
    /// Origin of the day and what was scaled, for readers.
    #[serde(default)]
    pub about: String,
    pub seed: u64,
    /// New viewers arrive for this long; the run goes on until the last one has finished.
    pub length_s: f64,
    pub zones: Vec<String>,
    /// The zone of each controller. Each controller runs as its own process.
    pub controllers: Vec<String>,
    pub streamers: Vec<Streamer>,
    /// The real capacity of each rack's uplink, in kB/s.
    pub uplinks_kb: Vec<f64>,
    /// The machine kind of all streamers.
    pub kind: String,
    /// Maximum number of streams on one streamer.
    #[serde(rename = "places")]
    pub max_streams: f64,
    /// Link capacity for each unit of weight that controllers are configured with, in kB/s.
    pub kb_per_weight: f64,
    pub cells: usize,
    pub titles: BTreeMap<String, Title>,
    #[serde(rename = "lanes")]
    pub classes: Vec<DayClass>,
    #[serde(default)]
    pub tenants: Vec<DayTenant>,
    #[serde(default)]
    pub over_share_gain: f64,
    pub ladder: Ladder,
    /// Factor from the part of the rate that is missing below 0.98 to the part of the gain that is lost.
    pub shortfall_cost: f64,
    pub viewers: Viewers,
    pub reports: Reports,
    #[serde(rename = "news")]
    pub list_delays: ListDelays,
    #[serde(rename = "shots")]
    pub attempts: AttemptSettings,
    pub retry_after: RetryAfterSettings,
    #[serde(rename = "looks", default)]
    pub probes: ProbeSettings,
    #[serde(default)]
    pub charges: ChargeSettings,
    #[serde(rename = "cold")]
    pub cold_start: ColdStartSettings,
    #[serde(rename = "ration", default)]
    pub retry_budget: Option<RetryBudgetSettings>,
    pub links: LinkSettings,
    pub rules: Rules,
    /// Gossip between controllers; if absent, controllers share nothing.
    #[serde(default)]
    pub gossip: Option<DayGossip>,
    /// How controllers coordinate, if they share out turns and streamers.
    #[serde(rename = "together", default)]
    pub coordination: Option<FleetCoordinationSettings>,
    /// Named groups of controllers and streamers, for faults between them.
    #[serde(default)]
    pub groups: BTreeMap<String, Group>,
    #[serde(rename = "troubles", default)]
    pub faults: Vec<FaultWindow>,
}

/// A streamer of the day.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Streamer {
    pub name: String,
    pub zone: String,
    pub cell: usize,
    pub weight: f64,
    /// The real capacity of its link, in kB/s.
    pub link_kb: f64,
    /// Not running at the start: a spare that a removal starts.
    #[serde(default)]
    pub spare: bool,
}

/// Placement and popularity of a title.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Title {
    #[serde(rename = "home")]
    pub first_cell: usize,
    #[serde(rename = "copies")]
    pub replicas: usize,
    /// Part of the viewers who want it, relative to the parts of the other titles.
    pub share: f64,
}

/// A class of requests and the viewers who make them.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[schemars(rename = "DayLane")]
pub struct DayClass {
    #[serde(flatten)]
    pub class: ClassSettings,
    /// Part of the viewers.
    pub share: f64,
    /// Shortest and longest time that a viewer watches.
    pub watched_s: (f64, f64),
    /// Mean duration of a set-up at a warm streamer.
    pub set_up_s: f64,
}

/// A tenant and its part of the viewers.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct DayTenant {
    pub name: String,
    pub quota_per_s: f64,
    /// Part of the viewers.
    pub share: f64,
}

/// How viewers behave.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Viewers {
    /// New viewers per second.
    pub per_s: f64,
    /// Part that retries after a lost session or a rejection, and after what delay.
    pub returns: f64,
    pub rejoin_s: f64,
    /// Part that can't use the two highest rungs.
    #[serde(default)]
    pub small_screens: f64,
    /// Part that leaves before the response.
    #[serde(default)]
    pub impatient: f64,
    /// Part that stops watching half way.
    #[serde(default)]
    pub leave_early: f64,
    /// Part that closes its half of the connection after sending the request, and part that resets the connection
    /// before the response.
    #[serde(default)]
    pub close_half: f64,
    #[serde(default)]
    pub reset: f64,
    /// How unevenly viewers choose among controllers, from 0 (evenly) to 1.
    #[serde(rename = "lean", default)]
    pub controller_bias: f64,
    /// How long viewers keep sending requests to a dead controller.
    #[serde(rename = "notice_s", default)]
    pub failover_delay_s: f64,
}

/// Delay, interval, noise and contents of the streamers' load reports.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Reports {
    pub age_s: f64,
    pub every_s: f64,
    #[serde(default)]
    pub noise: f64,
    /// Which parts of the load are reported.
    #[serde(default)]
    pub streams: bool,
    #[serde(default)]
    pub rack: bool,
}

/// Delays until the list of streamers shows a change.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "News")]
pub struct ListDelays {
    /// Delay for a process that ended or drains, for one that stopped responding, and for one that started.
    pub ended_s: f64,
    pub silent_s: f64,
    pub started_s: f64,
}

/// Gossip between the controllers of the day.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct DayGossip {
    /// Maximum number of gossip bytes that each controller sends in any second.
    pub bytes_per_s: usize,
    /// Adds a member that reports every streamer as failing and every other member as dead.
    #[serde(rename = "liar", default)]
    pub has_lying_member: bool,
    /// Interval in which each member probes one other member.
    #[serde(default = "default_period_s")]
    pub period_s: f64,
}

fn default_period_s() -> f64 {
    1.0
}

/// Indices into the day's lists of controllers and streamers.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Group {
    pub controllers: Vec<usize>,
    pub streamers: Vec<usize>,
}

/// Network faults on a path. All of them apply to gossip datagrams. On links to streamers a lost piece is delivered a
/// moment later, as after a retransmission, and nothing is duplicated or reordered.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
#[schemars(rename = "Harm")]
pub struct Impairment {
    /// Parts from 0 to 1 that are lost, duplicated, or delivered after later ones.
    pub loss: f64,
    #[serde(rename = "doubled")]
    pub duplicated: f64,
    pub reordered: f64,
    /// Shortest and longest delay.
    pub delay_s: (f64, f64),
    /// Nothing passes; links are closed, and new ones can't be opened.
    #[serde(rename = "cut")]
    pub blocked: bool,
    /// Nothing passes for now; links stay open, and held traffic is delivered when the fault ends.
    #[serde(rename = "still")]
    pub stalled: bool,
}

/// Tolerances of the rule checks.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    pub answer_slack_s: f64,
    pub drain_grace_s: f64,
}

/// A fault that is injected from `at_s` on, for `for_s`.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[schemars(rename = "Trouble")]
pub struct FaultWindow {
    pub at_s: f64,
    #[serde(rename = "for_s")]
    pub duration_s: f64,
    #[serde(flatten)]
    pub kind: FaultKind,
}

/// Kinds of faults; the soak prints their names. Numbers under `on` are indices into the day's list of streamers, or of
/// controllers where the kind is about controllers.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "kind", rename_all = "snake_case")]
#[schemars(rename = "What")]
pub enum FaultKind {
    /// Set-ups fail at once, with this probability.
    QuickErrors { on: Vec<usize>, share: f64 },
    /// The streamer accepts set-ups and answers none; its streams deliver nothing.
    Hang { on: Vec<usize> },
    /// The streamer stops sending without a reset, and restarts cold.
    Vanish { on: Vec<usize> },
    /// The capacity of the link is divided by `times`.
    SlowLink { on: Vec<usize>, times: f64 },
    /// The capacity of the racks' uplinks is divided by `times`.
    WeakUplink { racks: Vec<usize>, times: f64 },
    /// Load reports are delayed further.
    LateReports { by_s: f64 },
    /// The set-up runs and its response is lost: silently, or with a reset of the link.
    AnswersLost { on: Vec<usize>, share: f64, reset: bool },
    /// The streamer drains from the start of the fault and is killed after the notice; spares start
    /// `spares_after_s` later.
    Removal { on: Vec<usize>, notice_s: f64, spares: Vec<usize>, spares_after_s: f64 },
    /// The streamer gets slower, then dies and restarts cold.
    Ageing { on: Vec<usize> },
    /// The streamer accepts connections and sends, but never reads.
    Deaf { on: Vec<usize> },
    /// This part of the new viewers wants these titles.
    Crowd { titles: Vec<String>, share: f64 },
    /// Controllers are killed one after the other over `for_s`, and each is started again after `down_s`.
    KillControllers { on: Vec<usize>, down_s: f64 },
    /// Controllers that were not running start one after the other over `for_s`.
    JoinControllers { on: Vec<usize> },
    /// Controllers stop in order, one after the other over `for_s`, and do not return.
    LeaveControllers { on: Vec<usize> },
    /// Traffic from one group to another is impaired, and with `both_ways` also in the other direction.
    Between {
        from: String,
        to: String,
        #[serde(default)]
        both_ways: bool,
        #[serde(rename = "harm")]
        impairment: Impairment,
    },
    /// Controllers are paused for `for_s`.
    PauseControllers { on: Vec<usize> },
}

impl Day {
    /// Reads and checks a day. An error names the file, the path of the value and how to fix it.
    pub fn read(file: &Path) -> Result<Day, SettingsError> {
        let day: Day = read_json(file)?;
        let error = |(path, problem)| SettingsError { file: file.to_owned(), path, problem };
        day.check().map_err(error)?;
        let mut settings = day.settings(0, Path::new("list.json"), None, 0);
        // Keys and addresses of gossip are created when the day is run.
        if day.gossip.is_some() {
            settings.coordination = None;
        }
        settings.check().map_err(error)?;
        Ok(day)
    }

    /// Checks the values against each other, beyond the checks of a controller's settings. The error holds the path of the
    /// value and the problem.
    pub fn check(&self) -> Result<(), (String, String)> {
        let error = |path: String, problem: &str| Err((path, problem.to_owned()));
        if !(self.length_s > 0.0 && self.length_s <= 600.0) {
            return error("length_s".into(), "the length must be over 0 and at most 600 s");
        }
        if self.controllers.is_empty() || self.controllers.len() > 64 {
            return error(
                "controllers".into(),
                "list the zones of 1 to 64 controllers; each runs as a process",
            );
        }
        if self.streamers.is_empty() || self.uplinks_kb.is_empty() || self.titles.is_empty() {
            return error("streamers".into(), "a day needs streamers, uplinks and titles");
        }
        if let Some(i) = self.controllers.iter().position(|zone| !self.zones.contains(zone)) {
            return error(format!("controllers[{i}]"), "the zone is not in `zones`");
        }
        for (i, streamer) in self.streamers.iter().enumerate() {
            if streamer.cell >= self.cells || !self.zones.contains(&streamer.zone) {
                return error(
                    format!("streamers[{i}]"),
                    "the cell must be less than `cells`, and the zone must be in `zones`",
                );
            }
            if self.streamers[..i].iter().any(|other| other.name == streamer.name) {
                return error(format!("streamers[{i}].name"), "another streamer has this name");
            }
        }
        for (name, group) in &self.groups {
            let out_of_range = |of: &[usize], count: usize| of.iter().any(|number| *number >= count);
            if out_of_range(&group.controllers, self.controllers.len())
                || out_of_range(&group.streamers, self.streamers.len())
            {
                return error(format!("groups.{name}"), "a number is past the end of its list");
            }
        }
        for (i, fault) in self.faults.iter().enumerate() {
            let streamer_count = self.streamers.len();
            let (on, count) = match &fault.kind {
                FaultKind::QuickErrors { on, .. }
                | FaultKind::Hang { on }
                | FaultKind::Vanish { on }
                | FaultKind::SlowLink { on, .. }
                | FaultKind::AnswersLost { on, .. }
                | FaultKind::Removal { on, .. }
                | FaultKind::Ageing { on }
                | FaultKind::Deaf { on } => (on, streamer_count),
                FaultKind::WeakUplink { racks, .. } => (racks, self.uplinks_kb.len()),
                FaultKind::KillControllers { on, .. }
                | FaultKind::PauseControllers { on }
                | FaultKind::JoinControllers { on }
                | FaultKind::LeaveControllers { on } => (on, self.controllers.len()),
                FaultKind::Between { from, to, impairment, .. } => {
                    if let Some(name) = [from, to].into_iter().find(|name| !self.groups.contains_key(*name)) {
                        let problem = format!("there is no group {name}; define it under `groups`");
                        return Err((format!("troubles[{i}]"), problem));
                    }
                    let parts = [impairment.loss, impairment.duplicated, impairment.reordered];
                    let (min, max) = impairment.delay_s;
                    if !parts.iter().all(|part| (0.0..=1.0).contains(part))
                        || !(0.0..=60.0).contains(&min)
                        || !(min..=60.0).contains(&max)
                    {
                        let problem = "parts must be between 0 and 1, delays between 0 and 60 s with the shorter one first";
                        return error(format!("troubles[{i}].harm"), problem);
                    }
                    continue;
                }
                FaultKind::LateReports { .. } | FaultKind::Crowd { .. } => continue,
            };
            if on.iter().any(|number| *number >= count) {
                return error(format!("troubles[{i}].on"), "a number is past the end of its list");
            }
        }
        Ok(())
    }

    /// Whether a controller runs from the start; otherwise a fault starts it later.
    pub fn runs_from_start(&self, controller: usize) -> bool {
        let joins =
            |kind: &FaultKind| matches!(kind, FaultKind::JoinControllers { on } if on.contains(&controller));
        !self.faults.iter().any(|fault| joins(&fault.kind))
    }

    /// Ordered pairs of endpoints from one group to another, without pairs of two streamers.
    pub fn endpoint_pairs(&self, from: &str, to: &str) -> Vec<(Endpoint, Endpoint)> {
        let endpoints = |name: &str| -> Vec<Endpoint> {
            let group = self.groups.get(name).cloned().unwrap_or_default();
            let controllers = group.controllers.into_iter().map(Endpoint::Controller);
            controllers.chain(group.streamers.into_iter().map(Endpoint::Streamer)).collect()
        };
        let to = endpoints(to);
        let pairs = endpoints(from).into_iter().flat_map(|from| to.iter().map(move |to| (from, *to)));
        let among_streamers =
            |pair: &(Endpoint, Endpoint)| matches!(pair, (Endpoint::Streamer(_), Endpoint::Streamer(_)));
        pairs.filter(|pair| pair.0 != pair.1 && !among_streamers(pair)).collect()
    }

    /// Whether any fault impairs links between controllers and streamers.
    pub fn impairs_links(&self) -> bool {
        let has_link = |from: &str, to: &str| {
            let is_link = |(a, b): &(Endpoint, Endpoint)| {
                matches!((a, b), (Endpoint::Streamer(_), _) | (_, Endpoint::Streamer(_)))
            };
            self.endpoint_pairs(from, to).iter().any(is_link)
        };
        self.faults
            .iter()
            .any(|fault| matches!(&fault.kind, FaultKind::Between { from, to, .. } if has_link(from, to)))
    }

    /// The list entry of a streamer in state ready, which listens at `address`.
    pub fn list_entry(&self, index: usize, address: SocketAddr) -> ListEntry {
        let streamer = &self.streamers[index];
        ListEntry {
            streamer: streamer.name.clone(),
            address: address.to_string(),
            zone: streamer.zone.clone(),
            kind: self.kind.clone(),
            cell: streamer.cell,
            state: StreamerState::Ready,
            weight: streamer.weight,
            started_at: None,
        }
    }

    /// The list at the start of the run, without spares.
    pub fn first_list(&self, addresses: &[SocketAddr]) -> StreamerList {
        let running = (0..self.streamers.len()).filter(|index| !self.streamers[*index].spare);
        StreamerList {
            version: 1,
            streamers: running.map(|index| self.list_entry(index, addresses[index])).collect(),
        }
    }

    /// The settings of one controller of the day.
    pub fn settings(&self, number: usize, list: &Path, tap: Option<PathBuf>, seed: u64) -> Settings {
        let placement =
            |title: &Title| TitlePlacement { first_cell: title.first_cell, replicas: title.replicas };
        Settings {
            listen: ([127, 0, 0, 1], 0).into(),
            own_number: number,
            controller_count: self.controllers.len(),
            rng_seed: Some(seed),
            zone: self.controllers[number].clone(),
            list: list.to_owned(),
            titles: self.titles.iter().map(|(name, title)| (name.clone(), placement(title))).collect(),
            classes: self.classes.iter().map(|class| class.class.clone()).collect(),
            tenants: self
                .tenants
                .iter()
                .map(|tenant| TenantSettings { name: tenant.name.clone(), quota_per_s: tenant.quota_per_s })
                .collect(),
            over_share_gain: self.over_share_gain,
            ladder: self.ladder.clone(),
            fleet: FleetSettings {
                cell_count: self.cells,
                rack_count: self.uplinks_kb.len(),
                uplink_kb_per_s: self.uplinks_kb.iter().sum::<f64>() / self.uplinks_kb.len().max(1) as f64,
                link_kb_per_s_per_weight: self.kb_per_weight,
                machine_kinds: vec![lemontide_front::settings::MachineKind {
                    name: self.kind.clone(),
                    max_streams: self.max_streams,
                }],
            },
            load_reports: LoadReportSettings { age_s: self.reports.age_s, interval_s: self.reports.every_s },
            attempts: self.attempts.clone(),
            retry_after: self.retry_after.clone(),
            probes: self.probes.clone(),
            charges: self.charges.clone(),
            cold_start: self.cold_start.clone(),
            retry_budget: self.retry_budget.clone(),
            links: self.links.clone(),
            limits: ProcessLimits { stop_timeout_s: 1.0, ..ProcessLimits::default() },
            shedding: None,
            gossip: None,
            coordination: self.coordination.clone(),
            tap,
        }
    }

    /// Parameters of the rule checks.
    pub fn judge_rules(&self) -> JudgeRules {
        JudgeRules {
            answer_slack_s: self.rules.answer_slack_s,
            drain_grace_s: self.rules.drain_grace_s,
            cold_start: tap::ColdStartRules {
                max_streams: self.max_streams,
                warm_up_s: self.cold_start.warm_up_s,
                initial_part: self.cold_start.initial_part,
                overload_multiple: self.cold_start.overload_multiple,
                window_s: self.cold_start.window_s,
            },
            retry_budget: self.retry_budget.as_ref().map(|budget| tap::RetryBudget {
                min_retries: budget.min_retries,
                request_share: budget.request_share,
                window_s: budget.window_s,
            }),
            classes: self
                .classes
                .iter()
                .map(|class| ClassRules {
                    name: class.class.name.clone(),
                    gain: class.class.gain,
                    at_most_once: class.class.repeat_policy == RepeatPolicy::AtMostOnce,
                    min_rung: class.class.min_rung,
                    max_sessions_per_title: class.class.max_sessions_per_title,
                })
                .collect(),
            gain_by_rung: self.ladder.gains.clone(),
            shortfall_cost: self.shortfall_cost,
        }
    }
}
