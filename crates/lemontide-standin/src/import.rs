//! Converts a generated scenario of the simulator, as its `draw` writes it, to a day for the real controller, scaled to
//! what one machine can run. Faults are converted by their effect; sizes are in proportion to the original.

use crate::day::{
    Day, DayClass, DayTenant, FaultKind, FaultWindow, ListDelays, Reports, Rules, Streamer, Title, Viewers,
};
use lemontide_front::settings::{
    AttemptSettings, ChargeSettings, ClassSettings, ColdStartSettings, Ladder, LinkSettings, ProbeSettings,
    RepeatPolicy, RetryAfterSettings, RetryBudgetSettings,
};
use serde_json::Value as Json;
use std::collections::BTreeMap;

/// Limits of what one machine can run: controllers as processes, streamers as listeners, new viewers per second.
const MAX_CONTROLLERS: usize = 8;
const MAX_STREAMERS: usize = 24;
const MAX_VIEWERS_PER_S: f64 = 25.0;

/// The number at a path of keys and indices.
fn number(json: &Json, path: &str) -> Option<f64> {
    at(json, path)?.as_f64()
}

/// The value at a path of keys and indices.
fn at<'a>(json: &'a Json, path: &str) -> Option<&'a Json> {
    path.split('.').try_fold(json, |json, key| match key.parse::<usize>() {
        Ok(index) => json.get(index),
        Err(_) => json.get(key),
    })
}

/// The list at a path, or an empty one.
fn rows<'a>(json: &'a Json, path: &str) -> &'a [Json] {
    at(json, path).and_then(Json::as_array).map_or(&[], |rows| rows)
}

/// The time at a path, in seconds; the input has whole microseconds.
fn seconds(json: &Json, path: &str) -> Option<f64> {
    number(json, path).map(|micros| micros / 1e6)
}

/// Converts a generated scenario. Errors name the path that is missing; the notes list what was scaled or left out.
pub fn import(json: &Json, name: &str) -> Result<(Day, Vec<String>), String> {
    let need = |path: &str| number(json, path).ok_or_else(|| format!("{path}: missing, or no number"));
    let need_s = |path: &str| need(path).map(|micros| micros / 1e6);
    if at(json, "family").and_then(Json::as_str) != Some("streams") {
        return Err("family: only days of streams can be converted".into());
    }
    let mut notes = Vec::new();
    let zones: Vec<String> = rows(json, "zones").iter().filter_map(Json::as_str).map(str::to_owned).collect();
    if zones.is_empty() {
        return Err("zones: missing, or empty".into());
    }
    let zone = |row: &Json| zones[(number(row, "zone").unwrap_or(0.0) as usize).min(zones.len() - 1)].clone();

    // Servers that are not up at the start are replacements, which are created anew for their fault.
    let all = rows(json, "servers");
    let servers: Vec<&Json> = all.iter().filter(|row| at(row, "up") != Some(&Json::Bool(false))).collect();
    let kept = servers.len().min(MAX_STREAMERS);
    let part = kept as f64 / servers.len().max(1) as f64;
    if kept < servers.len() {
        notes.push(format!(
            "{kept} of {} streamers; viewers and controllers in the same proportion",
            servers.len()
        ));
    }
    let cells = kept.max(1);
    let racks = (need("fam.racks")? * part).round().max(1.0) as usize;
    let core_kb = need("fam.core_kb")?;
    let cores = number(json, "tiers.0.kinds.0.cores").unwrap_or(2.0);
    let streamers: Vec<Streamer> = servers
        .iter()
        .take(kept)
        .enumerate()
        .map(|(cell, row)| Streamer {
            name: format!("s{cell}"),
            zone: zone(row),
            cell,
            weight: number(row, "weight").unwrap_or(cores),
            link_kb: core_kb * cores * number(row, "speed").unwrap_or(1.0),
            spare: false,
        })
        .collect();
    let links: f64 = streamers.iter().map(|streamer| streamer.link_kb).sum();
    let uplinks = rows(json, "fam.uplink_kb");
    let all_uplinks: f64 = uplinks.iter().filter_map(Json::as_f64).sum();
    let all_links = core_kb * cores * servers.iter().filter_map(|row| number(row, "speed")).sum::<f64>();
    let tightness = if all_links > 0.0 { all_uplinks / all_links } else { 1.0 };
    let mean = links * tightness / racks as f64;
    let spread = |rack: usize| {
        let kb = uplinks.get(rack).and_then(Json::as_f64).unwrap_or(0.0);
        if all_uplinks > 0.0 {
            kb * uplinks.len() as f64 / all_uplinks
        } else {
            1.0
        }
    };
    let uplinks_kb: Vec<f64> = (0..racks).map(|rack| (mean * spread(rack)).max(1.0)).collect();

    let balancers = rows(json, "balancers");
    let count =
        ((balancers.len() as f64 * part).round() as usize).clamp(2.min(balancers.len()), MAX_CONTROLLERS);
    if count < balancers.len() {
        notes.push(format!("{count} of {} controllers", balancers.len()));
    }
    let controllers: Vec<String> = (0..count.max(1)).map(|i| zones[i % zones.len()].clone()).collect();

    let rates: Vec<f64> = rows(json, "fam.rates").iter().filter_map(Json::as_f64).collect();
    if rates.is_empty() {
        return Err("fam.rates: missing, or empty".into());
    }
    let rung_gain = |rung: usize| {
        // Default gain of a rung: from 0.2 to 1, linear in the logarithm of its rate.
        let given = rows(json, "fam.worth").get(rung).and_then(Json::as_f64);
        let (low, high) = (rates[0].ln(), rates[rates.len() - 1].ln());
        let position = if high > low { (rates[rung].ln() - low) / (high - low) } else { 1.0 };
        given.unwrap_or(0.2 + 0.8 * position)
    };
    let ladder = Ladder { gains: (0..rates.len()).map(rung_gain).collect(), rates_kb_per_s: rates.clone() };
    let life = need("fam.life_s")?;
    let class_rows = rows(json, "classes");
    if class_rows.is_empty() {
        return Err("classes: missing, or empty".into());
    }
    let classes: Vec<DayClass> = class_rows
        .iter()
        .enumerate()
        .map(|(i, row)| {
            let uses = |what: &str| number(json, &format!("fam.uses.{i}.{what}"));
            let mean_watch_s = life * uses("life").unwrap_or(1.0);
            let max_rung = (uses("top").unwrap_or(1e6) as usize).min(rates.len() - 1);
            DayClass {
                class: ClassSettings {
                    name: at(row, "name").and_then(Json::as_str).unwrap_or("lane").to_owned(),
                    gain: number(row, "worth").unwrap_or(1.0),
                    latency_goal_s: seconds(row, "aim").unwrap_or(1.0),
                    deadline_s: seconds(row, "deadline").unwrap_or(3.0),
                    repeat_policy: match at(row, "effect").and_then(Json::as_str) {
                        Some("safe") => RepeatPolicy::Repeatable,
                        _ => RepeatPolicy::AtMostOnce,
                    },
                    min_rung: uses("floor").unwrap_or(0.0) as usize,
                    max_rung: Some(max_rung),
                    rate_scale: uses("scale").unwrap_or(1.0),
                    max_sessions_per_title: uses("seats").unwrap_or(0.0) as usize,
                    is_live: false,
                },
                share: number(row, "share").unwrap_or(1.0),
                watched_s: (mean_watch_s * 0.5, mean_watch_s * 1.5),
                set_up_s: seconds(row, "work").unwrap_or(0.07),
            }
        })
        .collect();
    if class_rows
        .iter()
        .enumerate()
        .any(|(i, _)| at(json, &format!("fam.uses.{i}.live")) == Some(&Json::Bool(true)))
    {
        notes.push("live classes are played as recorded ones: there are no shared streams here".into());
    }

    // The rate of viewers at which the middle rung for all causes the scenario's load on the links and uplinks.
    let load = need("traffic.load")?;
    let middle = rates[rates.len() / 2];
    let capacity = links.min(uplinks_kb.iter().sum());
    let shares: f64 = classes.iter().map(|class| class.share).sum();
    let watched = classes
        .iter()
        .map(|c| c.share * c.class.rate_scale * (c.watched_s.0 + c.watched_s.1) / 2.0)
        .sum::<f64>();
    let wanted = 0.92 * load * capacity / (middle * watched / shares.max(1e-9)).max(1e-9);
    let per_s = wanted.min(MAX_VIEWERS_PER_S);
    if per_s < wanted {
        notes.push(format!("{per_s} viewers per second instead of {wanted:.1}"));
    }

    let replicas = ((need("fam.copies")? * 2.0).round() as usize).clamp(3.min(cells), cells);
    let zipf = number(json, "fam.title_zipf").unwrap_or(0.8);
    let titles_count = (cells * 5).max(1);
    let titles: BTreeMap<String, Title> = (0..titles_count)
        .map(|i| {
            let share = 1.0 / ((i + 1) as f64).powf(zipf);
            // Spread over the cells, deterministically.
            (format!("t{i}"), Title { first_cell: (i * 7) % cells, replicas, share })
        })
        .collect();
    notes.push(format!("{titles_count} new titles, with the popularity law of the original"));

    let sizes =
        Sizes { kept, servers: servers.len(), count, balancers: balancers.len(), racks, titles_count };
    let mut spares = Vec::new();
    let mut faults = Vec::new();
    for (i, row) in rows(json, "troubles").iter().enumerate() {
        let converted = sizes.convert_fault(i, row, &streamers, &mut spares);
        if converted.is_empty() {
            let kind = at(row, "kind").and_then(Json::as_str).unwrap_or("");
            notes.push(format!("fault `{kind}` has no counterpart here and is left out"));
        }
        faults.extend(converted);
    }

    let reports = rows(json, "tiers.0.report_fields");
    let reported = |name: &str| reports.iter().any(|field| field.as_str() == Some(name));
    let allowed = |name: &str| at(json, &format!("allow.{name}")) == Some(&Json::Bool(true));
    let retry_share = number(json, "budget.share").filter(|share| *share > 0.0);
    let tenants: Vec<DayTenant> = rows(json, "tenants")
        .iter()
        .filter_map(|row| {
            let share = number(row, "share").unwrap_or(1.0);
            let name = at(row, "name")?.as_str()?.to_owned();
            Some(DayTenant { name, quota_per_s: per_s * share, share })
        })
        .collect();
    let warm_up_s =
        number(json, "tiers.0.stated_cold").or(number(json, "tiers.0.kinds.0.cold")).unwrap_or(1e7) / 1e6;
    let initial_part = number(json, "tiers.0.stated_cold_from").or(number(json, "tiers.0.kinds.0.cold_from"));
    let day = Day {
        name: name.to_owned(),
        about: notes.join("; "),
        seed: number(json, "noise").unwrap_or(1.0) as u64,
        length_s: need_s("length")?,
        zones,
        controllers,
        streamers: streamers.into_iter().chain(spares).collect(),
        uplinks_kb,
        kind: at(json, "tiers.0.kinds.0.name").and_then(Json::as_str).unwrap_or("std").to_owned(),
        max_streams: (number(json, "fam.core_slots").unwrap_or(15.0) * cores).round().max(1.0),
        kb_per_weight: core_kb,
        cells,
        titles,
        classes,
        tenants,
        over_share_gain: number(json, "traffic.over_share_worth").unwrap_or(0.0),
        ladder,
        shortfall_cost: number(json, "fam.stall").unwrap_or(7.0),
        viewers: Viewers {
            per_s,
            returns: number(json, "fam.returns").unwrap_or(0.85),
            rejoin_s: seconds(json, "fam.rejoin_us").unwrap_or(1.0),
            small_screens: number(json, "fam.small_screens").unwrap_or(0.0),
            impatient: 0.01,
            leave_early: 0.05,
            close_half: 0.0,
            reset: 0.0,
            controller_bias: number(json, "fam.lean").unwrap_or(0.0).min(1.0),
            failover_delay_s: seconds(json, "front_notice").unwrap_or(1.0),
        },
        reports: Reports {
            age_s: seconds(json, "fam.see").unwrap_or(0.7),
            every_s: seconds(json, "fam.tell").unwrap_or(3.0).max(0.2),
            noise: number(json, "tiers.0.report_noise").unwrap_or(0.0),
            streams: reported("inflight"),
            rack: reported("x1"),
        },
        list_delays: ListDelays {
            ended_s: seconds(json, "discovery.notice").unwrap_or(1.0),
            silent_s: seconds(json, "discovery.silent_notice").unwrap_or(8.0),
            started_s: seconds(json, "discovery.add").unwrap_or(1.0),
        },
        attempts: AttemptSettings {
            max_attempts: number(json, "allow.max_attempts").unwrap_or(4.0).max(1.0) as u32,
        },
        retry_after: RetryAfterSettings {
            allowed: allowed("retry_after"),
            max_s: seconds(json, "clients.max_retry_after").unwrap_or(0.5),
        },
        probes: ProbeSettings { allowed: allowed("probes"), timeout_s: 0.25 },
        charges: ChargeSettings {
            moves: number(json, "prices.moves").unwrap_or(0.0),
            cross_zone: number(json, "prices.cross_zone").unwrap_or(0.0),
        },
        cold_start: ColdStartSettings {
            warm_up_s,
            initial_part: initial_part.unwrap_or(0.4),
            overload_multiple: number(json, "fall_multiple").unwrap_or(3.0),
            window_s: seconds(json, "fall_for").unwrap_or(1.0),
        },
        retry_budget: retry_share.map(|share| RetryBudgetSettings {
            min_retries: number(json, "budget.free").unwrap_or(3.0),
            request_share: share,
            window_s: seconds(json, "budget.window").unwrap_or(5.0),
        }),
        links: LinkSettings { dial_timeout_s: seconds(json, "tiers.0.connect_timeout").unwrap_or(0.25) },
        rules: Rules { answer_slack_s: 0.5, drain_grace_s: seconds(json, "drain_grace").unwrap_or(0.5) },
        gossip: None,
        coordination: None,
        groups: Default::default(),
        faults,
    };
    Ok((day, notes))
}

/// Sizes of the original scenario and of the converted day.
struct Sizes {
    kept: usize,
    servers: usize,
    count: usize,
    balancers: usize,
    racks: usize,
    titles_count: usize,
}

impl Sizes {
    /// Indices that make up the same part of `scaled` as `hit` does of `among`, evenly spread from index `from` on.
    fn spread(hit: usize, among: usize, scaled: usize, from: usize) -> Vec<usize> {
        let share = hit as f64 / among.max(1) as f64;
        let hit = ((share * scaled as f64).round() as usize).clamp(usize::from(hit > 0), scaled);
        let mut on: Vec<usize> = (0..hit).map(|k| (from + k * scaled / hit.max(1)) % scaled).collect();
        on.sort_unstable();
        on.dedup();
        on
    }

    /// Converts a fault: to none if it has no counterpart, to several if it occurs in waves.
    fn convert_fault(
        &self,
        i: usize,
        row: &Json,
        streamers: &[Streamer],
        spares: &mut Vec<Streamer>,
    ) -> Vec<FaultWindow> {
        let kind = at(row, "kind").and_then(Json::as_str).unwrap_or("");
        let (size, extra) = (number(row, "size").unwrap_or(1.0), number(row, "extra").unwrap_or(1.0));
        let (at_s, duration_s) = (seconds(row, "at").unwrap_or(5.0), seconds(row, "len").unwrap_or(10.0));
        let stops = |step: &Json| rows(step, "stop").len();
        let affected = rows(row, "on").len() + rows(row, "steps").iter().map(stops).sum::<usize>();
        let on = Sizes::spread(affected, self.servers, self.kept, i * 3);
        let on_controllers = Sizes::spread(affected, self.balancers, self.count, i);
        let kind = match kind {
            "fast_errors" => FaultKind::QuickErrors { on, share: size },
            "hang" => FaultKind::Hang { on },
            "vanish" => FaultKind::Vanish { on },
            "slow" => FaultKind::SlowLink { on, times: size },
            "neighbour" => FaultKind::SlowLink { on, times: 1.0 / (1.0 - size).max(0.1) },
            "shared_slow" => FaultKind::SlowLink { on: (0..self.kept).collect(), times: size },
            "origin_slow" => {
                let weak = (self.racks as f64 * 0.3).ceil() as usize;
                FaultKind::WeakUplink { racks: (0..weak.min(self.racks)).collect(), times: size }
            }
            "report_late" => FaultKind::LateReports { by_s: size },
            "answer_lost" => {
                let reset = at(row, "how").and_then(Json::as_str) == Some("reset");
                FaultKind::AnswersLost { on, share: size, reset }
            }
            "hot_key" => {
                let few = (extra as usize).clamp(1, 3);
                let titles = (0..few).map(|k| format!("t{}", self.titles_count / 2 + k)).collect();
                FaultKind::Crowd { titles, share: size }
            }
            "ageing" => FaultKind::Ageing { on },
            "balancer_roll" => {
                FaultKind::KillControllers { on: on_controllers, down_s: extra.clamp(0.2, 5.0) }
            }
            // Each is paused for this many milliseconds, repeatedly.
            "balancer_stall" => {
                let stall = (size / 1e3).clamp(0.1, duration_s);
                let interval = (extra + stall).max(stall * 2.0);
                let times = (duration_s / interval).floor().max(1.0) as usize;
                let stalls = (0..times).map(|k| FaultWindow {
                    at_s: at_s + interval * k as f64,
                    duration_s: stall,
                    kind: FaultKind::PauseControllers { on: on_controllers.clone() },
                });
                return stalls.collect();
            }
            // In waves: each removes other streamers and adds as many new ones.
            "preempt" => {
                let mut from = i * 3;
                let waves = rows(row, "steps").iter().map(|step| {
                    let on = Sizes::spread(stops(step), self.servers, self.kept, from);
                    from += 1;
                    let first = self.kept + spares.len();
                    for gone in &on {
                        let name = format!("n{}", spares.len());
                        spares.push(Streamer { name, spare: true, ..streamers[*gone].clone() });
                    }
                    let fresh = (first..first + on.len()).collect();
                    let kind =
                        FaultKind::Removal { on, notice_s: size, spares: fresh, spares_after_s: extra };
                    FaultWindow { at_s: seconds(step, "at").unwrap_or(at_s), duration_s, kind }
                });
                return waves.collect();
            }
            _ => return Vec::new(),
        };
        vec![FaultWindow { at_s, duration_s, kind }]
    }
}
