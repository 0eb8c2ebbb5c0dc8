//! Carries a day of the bench, as its `draw` writes it, over to a day for the real controller, scaled to what one
//! machine can do. Kinds of trouble are carried over by what they do; sizes are those of the drawn day.

use crate::day::{Day, DayLane, DayTenant, News, Reports, Rules, Streamer, Title, Trouble, Viewers, What};
use lemontide_front::settings::{
    AttemptSettings, ChargeSettings, ClassSettings, ColdStartSettings, Ladder, LinkSettings, ProbeSettings,
    RepeatPolicy, RetryAfterSettings, RetryBudgetSettings,
};
use serde_json::Value as Json;
use std::collections::BTreeMap;

/// What one machine plays at most: controllers as processes, streamers as listeners, viewers a second.
const CONTROLLERS: usize = 8;
const STREAMERS: usize = 24;
const PER_S: f64 = 25.0;

/// A number at a path of keys and indices.
fn number(json: &Json, path: &str) -> Option<f64> {
    at(json, path)?.as_f64()
}

fn at<'a>(json: &'a Json, path: &str) -> Option<&'a Json> {
    path.split('.').try_fold(json, |json, key| match key.parse::<usize>() {
        Ok(index) => json.get(index),
        Err(_) => json.get(key),
    })
}

fn rows<'a>(json: &'a Json, path: &str) -> &'a [Json] {
    at(json, path).and_then(Json::as_array).map_or(&[], |rows| rows)
}

/// The day's times are whole microseconds.
fn micros(json: &Json, path: &str) -> Option<f64> {
    number(json, path).map(|micros| micros / 1e6)
}

/// Reads a drawn day. Errors name the path that is missing. Notes tell what was scaled or left out.
pub fn import(json: &Json, name: &str) -> Result<(Day, Vec<String>), String> {
    let need = |path: &str| number(json, path).ok_or_else(|| format!("{path}: missing, or no number"));
    let need_s = |path: &str| need(path).map(|micros| micros / 1e6);
    if at(json, "family").and_then(Json::as_str) != Some("streams") {
        return Err("family: only days of streams can be carried over".into());
    }
    let mut notes = Vec::new();
    let zones: Vec<String> = rows(json, "zones").iter().filter_map(Json::as_str).map(str::to_owned).collect();
    if zones.is_empty() {
        return Err("zones: missing, or empty".into());
    }
    let zone = |row: &Json| zones[(number(row, "zone").unwrap_or(0.0) as usize).min(zones.len() - 1)].clone();

    // Those that are not up at the start are replacements, which are drawn anew with their trouble.
    let all = rows(json, "servers");
    let servers: Vec<&Json> = all.iter().filter(|row| at(row, "up") != Some(&Json::Bool(false))).collect();
    let kept = servers.len().min(STREAMERS);
    let part = kept as f64 / servers.len().max(1) as f64;
    if kept < servers.len() {
        notes
            .push(format!("{kept} of {} streamers; viewers and controllers by the same part", servers.len()));
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
    let count = ((balancers.len() as f64 * part).round() as usize).clamp(2.min(balancers.len()), CONTROLLERS);
    if count < balancers.len() {
        notes.push(format!("{count} of {} controllers", balancers.len()));
    }
    let controllers: Vec<String> = (0..count.max(1)).map(|i| zones[i % zones.len()].clone()).collect();

    let rates: Vec<f64> = rows(json, "fam.rates").iter().filter_map(Json::as_f64).collect();
    if rates.is_empty() {
        return Err("fam.rates: missing, or empty".into());
    }
    let earned = |rung: usize| {
        // What a rung earns, where the day does not say: from a fifth, evenly by the logarithm of its rate.
        let told = rows(json, "fam.worth").get(rung).and_then(Json::as_f64);
        let (low, high) = (rates[0].ln(), rates[rates.len() - 1].ln());
        let place = if high > low { (rates[rung].ln() - low) / (high - low) } else { 1.0 };
        told.unwrap_or(0.2 + 0.8 * place)
    };
    let ladder = Ladder { gains: (0..rates.len()).map(earned).collect(), rates_kb_per_s: rates.clone() };
    let life = need("fam.life_s")?;
    let classes = rows(json, "classes");
    if classes.is_empty() {
        return Err("classes: missing, or empty".into());
    }
    let lanes: Vec<DayLane> = classes
        .iter()
        .enumerate()
        .map(|(i, class)| {
            let uses = |what: &str| number(json, &format!("fam.uses.{i}.{what}"));
            let lasts = life * uses("life").unwrap_or(1.0);
            let top = (uses("top").unwrap_or(1e6) as usize).min(rates.len() - 1);
            DayLane {
                lane: ClassSettings {
                    name: at(class, "name").and_then(Json::as_str).unwrap_or("lane").to_owned(),
                    gain: number(class, "worth").unwrap_or(1.0),
                    latency_goal_s: micros(class, "aim").unwrap_or(1.0),
                    deadline_s: micros(class, "deadline").unwrap_or(3.0),
                    repeat_policy: match at(class, "effect").and_then(Json::as_str) {
                        Some("safe") => RepeatPolicy::Repeatable,
                        _ => RepeatPolicy::AtMostOnce,
                    },
                    min_rung: uses("floor").unwrap_or(0.0) as usize,
                    max_rung: Some(top),
                    rate_scale: uses("scale").unwrap_or(1.0),
                    max_sessions_per_title: uses("seats").unwrap_or(0.0) as usize,
                    is_live: false,
                },
                share: number(class, "share").unwrap_or(1.0),
                watched_s: (lasts * 0.5, lasts * 1.5),
                set_up_s: micros(class, "work").unwrap_or(0.07),
            }
        })
        .collect();
    if classes
        .iter()
        .enumerate()
        .any(|(i, _)| at(json, &format!("fam.uses.{i}.live")) == Some(&Json::Bool(true)))
    {
        notes.push("live lanes are played as recorded ones: no shared streams here".into());
    }

    // Viewers: so many that their middle rung asks for the day's load of what links and uplinks give.
    let load = need("traffic.load")?;
    let middle = rates[rates.len() / 2];
    let given = links.min(uplinks_kb.iter().sum());
    let shares: f64 = lanes.iter().map(|lane| lane.share).sum();
    let watched = lanes
        .iter()
        .map(|l| l.share * l.lane.rate_scale * (l.watched_s.0 + l.watched_s.1) / 2.0)
        .sum::<f64>();
    let wanted = 0.92 * load * given / (middle * watched / shares.max(1e-9)).max(1e-9);
    let per_s = wanted.min(PER_S);
    if per_s < wanted {
        notes.push(format!("{per_s} viewers a second instead of {wanted:.1}"));
    }

    let copies = ((need("fam.copies")? * 2.0).round() as usize).clamp(3.min(cells), cells);
    let zipf = number(json, "fam.title_zipf").unwrap_or(0.8);
    let titles_count = (cells * 5).max(1);
    let titles: BTreeMap<String, Title> = (0..titles_count)
        .map(|i| {
            let share = 1.0 / ((i + 1) as f64).powf(zipf);
            // Scattered over the cells, the same each time.
            (format!("t{i}"), Title { home: (i * 7) % cells, copies, share })
        })
        .collect();
    notes.push(format!("{titles_count} titles drawn anew, by the day's law"));

    let sizes =
        Sizes { kept, servers: servers.len(), count, balancers: balancers.len(), racks, titles_count };
    let mut spares = Vec::new();
    let mut troubles = Vec::new();
    for (i, row) in rows(json, "troubles").iter().enumerate() {
        let carried = sizes.trouble(i, row, &streamers, &mut spares);
        if carried.is_empty() {
            let kind = at(row, "kind").and_then(Json::as_str).unwrap_or("");
            notes.push(format!("trouble `{kind}` has no counterpart here and is left out"));
        }
        troubles.extend(carried);
    }

    let reports = rows(json, "tiers.0.report_fields");
    let reported = |name: &str| reports.iter().any(|field| field.as_str() == Some(name));
    let allowed = |name: &str| at(json, &format!("allow.{name}")) == Some(&Json::Bool(true));
    let ration = number(json, "budget.share").filter(|share| *share > 0.0);
    let tenants: Vec<DayTenant> = rows(json, "tenants")
        .iter()
        .filter_map(|row| {
            let share = number(row, "share").unwrap_or(1.0);
            let name = at(row, "name")?.as_str()?.to_owned();
            Some(DayTenant { name, quota_per_s: per_s * share, share })
        })
        .collect();
    let warm =
        number(json, "tiers.0.stated_cold").or(number(json, "tiers.0.kinds.0.cold")).unwrap_or(1e7) / 1e6;
    let from = number(json, "tiers.0.stated_cold_from").or(number(json, "tiers.0.kinds.0.cold_from"));
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
        places: (number(json, "fam.core_slots").unwrap_or(15.0) * cores).round().max(1.0),
        kb_per_weight: core_kb,
        cells,
        titles,
        lanes,
        tenants,
        over_share_gain: number(json, "traffic.over_share_worth").unwrap_or(0.0),
        ladder,
        shortfall_cost: number(json, "fam.stall").unwrap_or(7.0),
        viewers: Viewers {
            per_s,
            returns: number(json, "fam.returns").unwrap_or(0.85),
            rejoin_s: micros(json, "fam.rejoin_us").unwrap_or(1.0),
            small_screens: number(json, "fam.small_screens").unwrap_or(0.0),
            impatient: 0.01,
            leave_early: 0.05,
            close_half: 0.0,
            reset: 0.0,
            lean: number(json, "fam.lean").unwrap_or(0.0).min(1.0),
            notice_s: micros(json, "front_notice").unwrap_or(1.0),
        },
        reports: Reports {
            age_s: micros(json, "fam.see").unwrap_or(0.7),
            every_s: micros(json, "fam.tell").unwrap_or(3.0).max(0.2),
            noise: number(json, "tiers.0.report_noise").unwrap_or(0.0),
            streams: reported("inflight"),
            rack: reported("x1"),
        },
        news: News {
            ended_s: micros(json, "discovery.notice").unwrap_or(1.0),
            silent_s: micros(json, "discovery.silent_notice").unwrap_or(8.0),
            started_s: micros(json, "discovery.add").unwrap_or(1.0),
        },
        shots: AttemptSettings {
            max_attempts: number(json, "allow.max_attempts").unwrap_or(4.0).max(1.0) as u32,
        },
        retry_after: RetryAfterSettings {
            allowed: allowed("retry_after"),
            max_s: micros(json, "clients.max_retry_after").unwrap_or(0.5),
        },
        looks: ProbeSettings { allowed: allowed("probes"), timeout_s: 0.25 },
        charges: ChargeSettings {
            moves: number(json, "prices.moves").unwrap_or(0.0),
            cross_zone: number(json, "prices.cross_zone").unwrap_or(0.0),
        },
        cold: ColdStartSettings {
            warm_up_s: warm,
            initial_part: from.unwrap_or(0.4),
            overload_multiple: number(json, "fall_multiple").unwrap_or(3.0),
            window_s: micros(json, "fall_for").unwrap_or(1.0),
        },
        ration: ration.map(|share| RetryBudgetSettings {
            min_retries: number(json, "budget.free").unwrap_or(3.0),
            request_share: share,
            window_s: micros(json, "budget.window").unwrap_or(5.0),
        }),
        links: LinkSettings { dial_timeout_s: micros(json, "tiers.0.connect_timeout").unwrap_or(0.25) },
        rules: Rules { answer_slack_s: 0.5, drain_grace_s: micros(json, "drain_grace").unwrap_or(0.5) },
        gossip: None,
        together: None,
        groups: Default::default(),
        troubles,
    };
    Ok((day, notes))
}

/// How large the drawn day is, and what is kept of it.
struct Sizes {
    kept: usize,
    servers: usize,
    count: usize,
    balancers: usize,
    racks: usize,
    titles_count: usize,
}

impl Sizes {
    /// As large a part of `scaled` as `hit` is of `among`, spread over it from a place of its own.
    fn spread(hit: usize, among: usize, scaled: usize, from: usize) -> Vec<usize> {
        let share = hit as f64 / among.max(1) as f64;
        let hit = ((share * scaled as f64).round() as usize).clamp(usize::from(hit > 0), scaled);
        let mut on: Vec<usize> = (0..hit).map(|k| (from + k * scaled / hit.max(1)) % scaled).collect();
        on.sort_unstable();
        on.dedup();
        on
    }

    /// A drawn trouble as it is here: none where it has no counterpart, several where it comes in waves.
    fn trouble(
        &self,
        i: usize,
        row: &Json,
        streamers: &[Streamer],
        spares: &mut Vec<Streamer>,
    ) -> Vec<Trouble> {
        let kind = at(row, "kind").and_then(Json::as_str).unwrap_or("");
        let (size, extra) = (number(row, "size").unwrap_or(1.0), number(row, "extra").unwrap_or(1.0));
        let (at_s, for_s) = (micros(row, "at").unwrap_or(5.0), micros(row, "len").unwrap_or(10.0));
        let stops = |step: &Json| rows(step, "stop").len();
        let told = rows(row, "on").len() + rows(row, "steps").iter().map(stops).sum::<usize>();
        let on = Sizes::spread(told, self.servers, self.kept, i * 3);
        let by = Sizes::spread(told, self.balancers, self.count, i);
        let what = match kind {
            "fast_errors" => What::QuickErrors { on, share: size },
            "hang" => What::Hang { on },
            "vanish" => What::Vanish { on },
            "slow" => What::SlowLink { on, times: size },
            "neighbour" => What::SlowLink { on, times: 1.0 / (1.0 - size).max(0.1) },
            "shared_slow" => What::SlowLink { on: (0..self.kept).collect(), times: size },
            "origin_slow" => {
                let weak = (self.racks as f64 * 0.3).ceil() as usize;
                What::WeakUplink { racks: (0..weak.min(self.racks)).collect(), times: size }
            }
            "report_late" => What::LateReports { by_s: size },
            "answer_lost" => {
                let reset = at(row, "how").and_then(Json::as_str) == Some("reset");
                What::AnswersLost { on, share: size, reset }
            }
            "hot_key" => {
                let few = (extra as usize).clamp(1, 3);
                let titles = (0..few).map(|k| format!("t{}", self.titles_count / 2 + k)).collect();
                What::Crowd { titles, share: size }
            }
            "ageing" => What::Ageing { on },
            "balancer_roll" => What::KillControllers { on: by, down_s: extra.clamp(0.2, 5.0) },
            // Each stands still for so many milliseconds, again and again.
            "balancer_stall" => {
                let stall = (size / 1e3).clamp(0.1, for_s);
                let every = (extra + stall).max(stall * 2.0);
                let times = (for_s / every).floor().max(1.0) as usize;
                let stalls = (0..times).map(|k| Trouble {
                    at_s: at_s + every * k as f64,
                    for_s: stall,
                    what: What::PauseControllers { on: by.clone() },
                });
                return stalls.collect();
            }
            // In waves: each takes others away and brings as many new ones.
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
                    let what = What::Removal { on, notice_s: size, spares: fresh, spares_after_s: extra };
                    Trouble { at_s: micros(step, "at").unwrap_or(at_s), for_s, what }
                });
                return waves.collect();
            }
            _ => return Vec::new(),
        };
        vec![Trouble { at_s, for_s, what }]
    }
}
