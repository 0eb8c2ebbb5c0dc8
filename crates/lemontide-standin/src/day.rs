//! A day as it is written down: the fleet as it really is, what controllers are told of it, the viewers, and
//! the troubles. JSON with a schema; lengths in seconds, rates in kB a second.

use crate::relay::End;
use lemontide_front::settings::{
    read_json, AttemptSettings, ChargeSettings, ClassSettings, ColdStartSettings, CoordinationSettings,
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

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Day {
    pub name: String,
    /// Where it comes from and what was scaled; for people.
    #[serde(default)]
    pub about: String,
    pub seed: u64,
    /// Viewers come for so long; the day goes on until the last of them is through.
    pub length_s: f64,
    pub zones: Vec<String>,
    /// The zone of each controller. Each runs as a process of its own.
    pub controllers: Vec<String>,
    pub streamers: Vec<Streamer>,
    /// What the uplink of each rack really carries.
    pub uplinks_kb: Vec<f64>,
    /// Streams of a streamer at most, and what controllers are told of links.
    pub kind: String,
    pub places: f64,
    pub kb_per_weight: f64,
    pub cells: usize,
    pub titles: BTreeMap<String, Title>,
    pub lanes: Vec<DayLane>,
    #[serde(default)]
    pub tenants: Vec<DayTenant>,
    #[serde(default)]
    pub over_share_gain: f64,
    pub ladder: Ladder,
    /// Points of gain lost for each point of the rate that is missing under 98 in 100.
    pub shortfall_cost: f64,
    pub viewers: Viewers,
    pub reports: Reports,
    pub news: News,
    pub shots: AttemptSettings,
    pub retry_after: RetryAfterSettings,
    #[serde(default)]
    pub looks: ProbeSettings,
    #[serde(default)]
    pub charges: ChargeSettings,
    pub cold: ColdStartSettings,
    #[serde(default)]
    pub ration: Option<RetryBudgetSettings>,
    pub links: LinkSettings,
    pub rules: Rules,
    /// Controllers gossip, where this is there; the users' own share nothing.
    #[serde(default)]
    pub gossip: Option<DayGossip>,
    /// How controllers act as many, where they share turns and streamers out.
    #[serde(default)]
    pub together: Option<CoordinationSettings>,
    /// Names for some controllers and streamers, for troubles between them.
    #[serde(default)]
    pub groups: BTreeMap<String, Group>,
    #[serde(default)]
    pub troubles: Vec<Trouble>,
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Streamer {
    pub name: String,
    pub zone: String,
    pub cell: usize,
    pub weight: f64,
    /// What its link really carries.
    pub link_kb: f64,
    /// Not there at the start: a spare that a removal brings in.
    #[serde(default)]
    pub spare: bool,
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Title {
    pub home: usize,
    pub copies: usize,
    /// Part of the viewers who want it, next to the others' parts.
    pub share: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct DayLane {
    #[serde(flatten)]
    pub lane: ClassSettings,
    /// Part of the viewers.
    pub share: f64,
    /// Shortest and longest time that a viewer watches.
    pub watched_s: (f64, f64),
    /// Mean work of a set-up at a warm streamer.
    pub set_up_s: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct DayTenant {
    pub name: String,
    pub quota_per_s: f64,
    /// Part of the viewers.
    pub share: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Viewers {
    /// New viewers a second.
    pub per_s: f64,
    /// Part that comes again after a break or a turn-back, and after how long.
    pub returns: f64,
    pub rejoin_s: f64,
    /// Part that can't use the two upper rungs.
    #[serde(default)]
    pub small_screens: f64,
    /// Part that leaves before the answer.
    #[serde(default)]
    pub impatient: f64,
    /// Part that stops watching half way.
    #[serde(default)]
    pub leave_early: f64,
    /// Part that closes its half of the connection behind its wish, and part that resets it before the answer.
    #[serde(default)]
    pub close_half: f64,
    #[serde(default)]
    pub reset: f64,
    /// How far viewers lean to some controllers: 0 evenly, 1 very much.
    #[serde(default)]
    pub lean: f64,
    /// How long viewers go on coming to a dead controller.
    #[serde(default)]
    pub notice_s: f64,
}

/// How late and noisy streamers' reports are.
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

/// How late the list of streamers knows.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct News {
    /// Of a process that ended or drains, of one that went silent, of one that started.
    pub ended_s: f64,
    pub silent_s: f64,
    pub started_s: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct DayGossip {
    /// Bytes that may leave each controller in any second.
    pub bytes_per_s: usize,
    /// A member that calls every streamer failing and every other member dead.
    #[serde(default)]
    pub liar: bool,
    /// One member is probed in this time.
    #[serde(default = "period")]
    pub period_s: f64,
}

fn period() -> f64 {
    1.0
}

/// Places in the day's lists of controllers and streamers.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Group {
    pub controllers: Vec<usize>,
    pub streamers: Vec<usize>,
}

/// What happens to traffic on its way. Gossip's datagrams meet all of it; on links to streamers a lost piece is sent
/// again a moment later, and nothing is doubled or reordered.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Harm {
    /// Parts from 0 to 1 that get lost, come twice, or come after their successors.
    pub loss: f64,
    pub doubled: f64,
    pub reordered: f64,
    /// Shortest and longest delay.
    pub delay_s: (f64, f64),
    /// Nothing passes; links break, and no new one comes up.
    pub cut: bool,
    /// Nothing passes for now; links stay open, and what was held comes when it is over.
    pub still: bool,
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    pub answer_slack_s: f64,
    pub drain_grace_s: f64,
}

/// Something that goes wrong, from `at_s` on.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct Trouble {
    pub at_s: f64,
    pub for_s: f64,
    #[serde(flatten)]
    pub what: What,
}

/// Numbers under `on` are places in the day's list of streamers, or of controllers where it says so.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum What {
    /// Set-ups fail at once, with this chance.
    QuickErrors { on: Vec<usize>, share: f64 },
    /// Takes work and answers nothing; streams get nothing.
    Hang { on: Vec<usize> },
    /// Falls silent with no reset, and comes back cold.
    Vanish { on: Vec<usize> },
    /// The link gives so many times less.
    SlowLink { on: Vec<usize>, times: f64 },
    /// Uplinks of racks give so many times less.
    WeakUplink { racks: Vec<usize>, times: f64 },
    /// Notes and reports come later than usual.
    LateReports { by_s: f64 },
    /// The work is done, the answer is lost: in silence, or with a reset of the link.
    AnswersLost { on: Vec<usize>, share: f64, reset: bool },
    /// Drains at the start, is dead after the notice; spares start so much later.
    Removal { on: Vec<usize>, notice_s: f64, spares: Vec<usize>, spares_after_s: f64 },
    /// Slows down, then dies and comes back cold.
    Ageing { on: Vec<usize> },
    /// Accepts, talks, and never reads.
    Deaf { on: Vec<usize> },
    /// This part of new viewers wants these titles.
    Crowd { titles: Vec<String>, share: f64 },
    /// Controllers are killed and started again after a while, one after the other over `for_s`.
    KillControllers { on: Vec<usize>, down_s: f64 },
    /// Controllers that are not there before come one after the other over `for_s`.
    JoinControllers { on: Vec<usize> },
    /// Controllers leave in order, one after the other over `for_s`, and do not come back.
    LeaveControllers { on: Vec<usize> },
    /// Traffic from one group to another suffers, and back where that is said.
    Between {
        from: String,
        to: String,
        #[serde(default)]
        both_ways: bool,
        harm: Harm,
    },
    /// Controllers stand still for `for_s`.
    PauseControllers { on: Vec<usize> },
}

impl Day {
    /// Reads and checks a day; an error names file, path and remedy.
    pub fn read(file: &Path) -> Result<Day, SettingsError> {
        let day: Day = read_json(file)?;
        let wrong = |(path, what)| SettingsError { file: file.to_owned(), path, problem: what };
        day.check().map_err(wrong)?;
        let mut settings = day.settings(0, Path::new("list.json"), None, 0);
        // Keys and addresses are made when the day is played.
        if day.gossip.is_some() {
            settings.coordination = None;
        }
        settings.check().map_err(wrong)?;
        Ok(day)
    }

    /// How the values must fit each other, beyond what settings of a controller ask for.
    pub fn check(&self) -> Result<(), (String, String)> {
        let wrong = |path: String, what: &str| Err((path, what.to_owned()));
        if !(self.length_s > 0.0 && self.length_s <= 600.0) {
            return wrong("length_s".into(), "a day lasts over 0 and up to 600 s");
        }
        if self.controllers.is_empty() || self.controllers.len() > 64 {
            return wrong(
                "controllers".into(),
                "name the zones of 1 to 64 controllers: each is a process here",
            );
        }
        if self.streamers.is_empty() || self.uplinks_kb.is_empty() || self.titles.is_empty() {
            return wrong("streamers".into(), "a day needs streamers, uplinks and titles");
        }
        if let Some(i) = self.controllers.iter().position(|zone| !self.zones.contains(zone)) {
            return wrong(format!("controllers[{i}]"), "its zone is none of `zones`");
        }
        for (i, streamer) in self.streamers.iter().enumerate() {
            if streamer.cell >= self.cells || !self.zones.contains(&streamer.zone) {
                return wrong(
                    format!("streamers[{i}]"),
                    "its cell must be under `cells`, its zone one of `zones`",
                );
            }
            if self.streamers[..i].iter().any(|other| other.name == streamer.name) {
                return wrong(format!("streamers[{i}].name"), "another streamer has this name");
            }
        }
        for (name, group) in &self.groups {
            let past = |of: &[usize], most: usize| of.iter().any(|number| *number >= most);
            if past(&group.controllers, self.controllers.len())
                || past(&group.streamers, self.streamers.len())
            {
                return wrong(format!("groups.{name}"), "a number is past the end of what it counts");
            }
        }
        for (i, trouble) in self.troubles.iter().enumerate() {
            let count = self.streamers.len();
            let (on, most) = match &trouble.what {
                What::QuickErrors { on, .. }
                | What::Hang { on }
                | What::Vanish { on }
                | What::SlowLink { on, .. }
                | What::AnswersLost { on, .. }
                | What::Removal { on, .. }
                | What::Ageing { on }
                | What::Deaf { on } => (on, count),
                What::WeakUplink { racks, .. } => (racks, self.uplinks_kb.len()),
                What::KillControllers { on, .. }
                | What::PauseControllers { on }
                | What::JoinControllers { on }
                | What::LeaveControllers { on } => (on, self.controllers.len()),
                What::Between { from, to, harm, .. } => {
                    if let Some(name) = [from, to].into_iter().find(|name| !self.groups.contains_key(*name)) {
                        let what = format!("there is no group {name}; name it under `groups`");
                        return Err((format!("troubles[{i}]"), what));
                    }
                    let parts = [harm.loss, harm.doubled, harm.reordered];
                    let (least, most) = harm.delay_s;
                    if !parts.iter().all(|part| (0.0..=1.0).contains(part))
                        || !(0.0..=60.0).contains(&least)
                        || !(least..=60.0).contains(&most)
                    {
                        let what = "parts lie between 0 and 1, delays between 0 and 60 s, the shorter first";
                        return wrong(format!("troubles[{i}].harm"), what);
                    }
                    continue;
                }
                What::LateReports { .. } | What::Crowd { .. } => continue,
            };
            if on.iter().any(|number| *number >= most) {
                return wrong(format!("troubles[{i}].on"), "a number is past the end of what it counts");
            }
        }
        Ok(())
    }

    /// Whether a controller is there from the start, and not only from the time on at which it joins.
    pub fn starts_with(&self, controller: usize) -> bool {
        let joins = |what: &What| matches!(what, What::JoinControllers { on } if on.contains(&controller));
        !self.troubles.iter().any(|trouble| joins(&trouble.what))
    }

    /// Ordered pairs of ends between two groups, without those of two streamers.
    pub fn pairs(&self, from: &str, to: &str) -> Vec<(End, End)> {
        let ends = |name: &str| -> Vec<End> {
            let group = self.groups.get(name).cloned().unwrap_or_default();
            let controllers = group.controllers.into_iter().map(End::Controller);
            controllers.chain(group.streamers.into_iter().map(End::Streamer)).collect()
        };
        let to = ends(to);
        let pairs = ends(from).into_iter().flat_map(|from| to.iter().map(move |to| (from, *to)));
        let among_streamers = |pair: &(End, End)| matches!(pair, (End::Streamer(_), End::Streamer(_)));
        pairs.filter(|pair| pair.0 != pair.1 && !among_streamers(pair)).collect()
    }

    /// Whether a trouble touches links between controllers and streamers.
    pub fn harms_links(&self) -> bool {
        let links = |from: &str, to: &str| {
            let is_link =
                |(a, b): &(End, End)| matches!((a, b), (End::Streamer(_), _) | (_, End::Streamer(_)));
            self.pairs(from, to).iter().any(is_link)
        };
        self.troubles.iter().any(|t| matches!(&t.what, What::Between { from, to, .. } if links(from, to)))
    }

    /// A streamer's line in the list, as ready; `address` is where it listens.
    pub fn entry(&self, at: usize, address: SocketAddr) -> ListEntry {
        let streamer = &self.streamers[at];
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

    /// The list as it stands before anything has happened: without spares.
    pub fn first_list(&self, addresses: &[SocketAddr]) -> StreamerList {
        let there = (0..self.streamers.len()).filter(|at| !self.streamers[*at].spare);
        StreamerList { version: 1, streamers: there.map(|at| self.entry(at, addresses[at])).collect() }
    }

    /// The settings of one of its controllers.
    pub fn settings(&self, me: usize, list: &Path, tap: Option<PathBuf>, seed: u64) -> Settings {
        let place = |title: &Title| TitlePlacement { first_cell: title.home, replicas: title.copies };
        Settings {
            listen: ([127, 0, 0, 1], 0).into(),
            own_number: me,
            controller_count: self.controllers.len(),
            rng_seed: Some(seed),
            zone: self.controllers[me].clone(),
            list: list.to_owned(),
            titles: self.titles.iter().map(|(name, title)| (name.clone(), place(title))).collect(),
            classes: self.lanes.iter().map(|lane| lane.lane.clone()).collect(),
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
                    max_streams: self.places,
                }],
            },
            load_reports: LoadReportSettings { age_s: self.reports.age_s, interval_s: self.reports.every_s },
            attempts: self.shots.clone(),
            retry_after: self.retry_after.clone(),
            probes: self.looks.clone(),
            charges: self.charges.clone(),
            cold_start: self.cold.clone(),
            retry_budget: self.ration.clone(),
            links: self.links.clone(),
            limits: ProcessLimits { stop_timeout_s: 1.0, ..ProcessLimits::default() },
            shedding: None,
            gossip: None,
            coordination: self.together.clone(),
            tap,
        }
    }

    /// The rules in figures, as the judge takes them.
    pub fn terms(&self) -> JudgeRules {
        JudgeRules {
            answer_slack_s: self.rules.answer_slack_s,
            drain_grace_s: self.rules.drain_grace_s,
            cold_start: tap::ColdStartRules {
                max_streams: self.places,
                warm_up_s: self.cold.warm_up_s,
                initial_part: self.cold.initial_part,
                overload_multiple: self.cold.overload_multiple,
                window_s: self.cold.window_s,
            },
            retry_budget: self.ration.as_ref().map(|r| tap::RetryBudget {
                min_retries: r.min_retries,
                request_share: r.request_share,
                window_s: r.window_s,
            }),
            classes: self
                .lanes
                .iter()
                .map(|lane| ClassRules {
                    name: lane.lane.name.clone(),
                    gain: lane.lane.gain,
                    at_most_once: lane.lane.repeat_policy == RepeatPolicy::AtMostOnce,
                    min_rung: lane.lane.min_rung,
                    max_sessions_per_title: lane.lane.max_sessions_per_title,
                })
                .collect(),
            gain_by_rung: self.ladder.gains.clone(),
            shortfall_cost: self.shortfall_cost,
        }
    }
}
