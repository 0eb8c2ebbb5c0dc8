//! Decodes the wire's events into calls on the decision module and encodes its results.

use lemontide::clock::{Point, Span};
use lemontide::control::{Controller, SessionHandle};
use lemontide::interface::{Actions, AttemptOutcome, Load, Request, StreamerEntry, StreamerState};
use serde::Deserialize;
use serde_json::{json, Value as Json};
use std::collections::{BTreeMap, HashMap};

#[derive(Deserialize)]
struct Batch {
    time: f64,
    parts: Vec<Part>,
}

#[derive(Deserialize)]
struct Part {
    controller: i64,
    happened: Vec<HashMap<String, Json>>,
}

#[derive(Deserialize)]
struct Attach {
    #[serde(default)]
    rng_seed: u64,
    config: Json,
}

#[derive(Deserialize)]
struct Entry {
    streamer: String,
    #[serde(default)]
    site: String,
    #[serde(default)]
    sku: String,
    #[serde(default)]
    slot_no: usize,
    #[serde(default)]
    stage_state: String,
    #[serde(default)]
    capacity_hint: Option<f64>,
    #[serde(default)]
    came_up: Option<f64>,
}

#[derive(Deserialize)]
struct Directory {
    #[serde(default)]
    page: i64,
    #[serde(default)]
    members: Vec<Entry>,
}

#[derive(Deserialize)]
struct Registry {
    #[serde(default)]
    page: i64,
    form: String,
}

/// The fields of every event that concerns one subscription; which are there depends on the event.
#[derive(Deserialize)]
struct News {
    op_id: u32,
    #[serde(default)]
    priority: String,
    #[serde(default)]
    owner: Json,
    #[serde(default)]
    title: Json,
    #[serde(default)]
    give_up_at: Option<f64>,
    #[serde(default)]
    weight_hint: Option<f64>,
    #[serde(default)]
    base: usize,
    #[serde(default)]
    span: usize,
    #[serde(default)]
    top: usize,
    #[serde(default)]
    returned: bool,
    #[serde(default)]
    streamer: String,
    #[serde(default)]
    verdict: i64,
    #[serde(default)]
    terminal: bool,
    #[serde(default)]
    metrics: Vec<Json>,
    #[serde(default)]
    what: i64,
    #[serde(default)]
    level: f64,
}

#[derive(Deserialize)]
struct Look {
    streamer: String,
    #[serde(default)]
    verdict: i64,
    #[serde(default)]
    metrics: Vec<Json>,
}

struct Host {
    controller: Controller,
    handles: HashMap<u32, SessionHandle>,
    reports: Vec<String>,
}

/// All instances of this process; they share nothing but the numbered lists, which are the wire's.
#[derive(Default)]
pub struct Hosts {
    hosts: BTreeMap<i64, Host>,
    pages: HashMap<i64, Vec<StreamerEntry>>,
}

fn decode<T: serde::de::DeserializeOwned>(name: &str, body: Json) -> Result<T, String> {
    serde_json::from_value(body).map_err(|e| format!("{name}: {e}"))
}

fn words(value: &Json) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}

impl Hosts {
    /// Answers one line of the wire.
    pub fn batch(&mut self, line: &[u8]) -> Result<Json, String> {
        let batch: Batch = serde_json::from_slice(line).map_err(|e| format!("not a batch: {e}"))?;
        let now = Point::at(batch.time);
        let mut replies = Vec::new();
        for part in batch.parts {
            let mut output = Vec::new();
            for message in part.happened {
                for (name, body) in message {
                    self.event(now, part.controller, &name, body, &mut output)?;
                }
            }
            if !output.is_empty() {
                replies.push(json!({"controller": part.controller, "output": output}));
            }
        }
        Ok(json!({ "parts": replies }))
    }

    fn event(
        &mut self,
        now: Point,
        instance: i64,
        name: &str,
        body: Json,
        output: &mut Vec<Json>,
    ) -> Result<(), String> {
        match name {
            "Attach" => {
                let attach: Attach = decode(name, body)?;
                let sheet = lemontide_settings::parse_settings(&attach.config)
                    .map_err(|e| format!("{name}: config.{e}"))?;
                let reports = attach.config.pointer("/report/names").and_then(Json::as_array);
                let host = Host {
                    controller: Controller::new(now, attach.rng_seed, &sheet),
                    handles: HashMap::new(),
                    reports: reports.into_iter().flatten().map(words).collect(),
                };
                self.hosts.insert(instance, host);
                return Ok(());
            }
            "Directory" => {
                let directory: Directory = decode(name, body)?;
                self.pages.insert(directory.page, directory.members.into_iter().map(Entry::line).collect());
                return Ok(());
            }
            "CrashNow" => {
                self.hosts.remove(&instance);
                return Ok(());
            }
            _ => {}
        }
        let Some(host) = self.hosts.get_mut(&instance) else {
            return Ok(());
        };
        let Host { controller, handles, reports } = host;
        match name {
            "Registry" => {
                let registry: Registry = decode(name, body)?;
                if registry.form == "lost" {
                    controller.list_unavailable(now);
                } else if let ("incr" | "total" | "warm_copy", Some(lines)) =
                    (registry.form.as_str(), self.pages.get(&registry.page))
                {
                    controller.update_list(now, lines, registry.form != "incr");
                }
            }
            "Reminder" => controller.tick(now),
            "ProbeResult" => {
                let look: Look = decode(name, body)?;
                let load = load(reports, &look.metrics);
                controller.probe_finished(now, &look.streamer, look.verdict == 200, load);
            }
            "Request" | "Inherited" => {
                let news: News = decode(name, body)?;
                let (tenant, title) = (words(&news.owner), words(&news.title));
                let wish = Request {
                    id: news.op_id,
                    class: &news.priority,
                    tenant: &tenant,
                    title: &title,
                    deadline: news.give_up_at.map_or(now, Point::at),
                    first_cell: news.base,
                    replicas: news.span,
                    max_rung: news.top,
                    is_retry: news.returned,
                    expected_duration: news.weight_hint.map(Span::of),
                };
                let handle = match name {
                    "Request" => controller.submit(now, &wish),
                    _ => controller.adopt(now, &wish, &news.streamer),
                };
                handles.insert(news.op_id, handle);
            }
            "Headers" | "Completed" | "ClientGone" | "Progress" => {
                let news: News = decode(name, body)?;
                let Some(handle) = handles.get(&news.op_id).copied() else {
                    return Ok(());
                };
                match (name, news.what) {
                    ("Headers", _) => handle.playing(controller, now),
                    ("ClientGone", _) => handle.viewer_left(controller),
                    ("Completed", _) => {
                        let load = load(reports, &news.metrics);
                        handle.attempt_ended(controller, now, ending(news.verdict), news.terminal, load);
                        if news.terminal {
                            handles.remove(&news.op_id);
                        }
                    }
                    (_, 1) => handle.shortfall_reported(controller, now, news.level),
                    (_, 2) => handle.rung_reported(controller, now, news.level.max(0.0) as usize),
                    (_, 3) => handle.load_reported(controller, now, Load::of_link(news.level)),
                    (_, 4) => handle.load_reported(controller, now, Load::of_uplink(news.level)),
                    _ => {}
                }
            }
            _ => {}
        }
        encode(now, &controller.actions, output);
        for id in controller.actions.rejected.iter().map(|(id, _)| id).chain(&controller.actions.failed) {
            handles.remove(id);
        }
        controller.actions.clear();
        Ok(())
    }
}

impl Entry {
    fn line(self) -> StreamerEntry {
        StreamerEntry {
            streamer: self.streamer,
            zone: self.site,
            kind: self.sku,
            cell: self.slot_no,
            state: match self.stage_state.as_str() {
                "IN" => StreamerState::Ready,
                "LAME" => StreamerState::Draining,
                _ => StreamerState::Gone,
            },
            weight: self.capacity_hint.unwrap_or(1.0),
            started_at: self.came_up.filter(|t| *t != 0.0).map(Point::at),
        }
    }
}

fn ending(verdict: i64) -> AttemptOutcome {
    match verdict {
        200 => AttemptOutcome::Served,
        502 => AttemptOutcome::Errored,
        429 => AttemptOutcome::Refused,
        408 => AttemptOutcome::TimedOut,
        521 => AttemptOutcome::NoConnection,
        520 => AttemptOutcome::ConnectionLost,
        444 => AttemptOutcome::Cancelled,
        409 => AttemptOutcome::NotSent,
        _ => AttemptOutcome::Unknown,
    }
}

/// Reads a report by the names that the settings gave its places; unknown names are skipped.
fn load(reports: &[String], metrics: &[Json]) -> Load {
    let mut load = Load::default();
    for (name, value) in reports.iter().zip(metrics) {
        lemontide_settings::read_load_field(&mut load, name, value.as_f64());
    }
    load
}

fn encode(now: Point, results: &Actions, output: &mut Vec<Json>) {
    for (id, rung) in &results.rung_changes {
        output.push(json!({"Grade": {"op_id": id, "level": rung}}));
    }
    for shot in &results.attempts {
        // A span that would round to nothing must not read as "no time-out".
        let within = shot.timeout.seconds();
        let within = if within == 0.0 { -1.0 } else { within };
        output.push(
            json!({"Assign": {"op_id": shot.session, "allow_for": within, "streamer": &*shot.streamer}}),
        );
    }
    for (id, after) in &results.rejected {
        let after = after.map(Span::seconds);
        output.push(json!({"SayNo": {"op_id": id, "retry_in": after}}));
    }
    for id in &results.failed {
        output.push(json!({"RespondError": {"op_id": id}}));
    }
    for id in &results.moved {
        output.push(json!({"Migrate": {"op_id": id}}));
    }
    for streamer in &results.probes {
        output.push(json!({"Inspect": {"streamer": &**streamer}}));
    }
    if results.request_list {
        output.push(json!({"Track": {"want": true}}));
    }
    if let Some(wake) = results.next_tick {
        let span = (wake - now).seconds().max(0.0);
        output.push(json!({"Schedule": {"span": span, "nonce": 1}}));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The first message's settings: a live lane with two seats a title, and a paid one whose floor is rung 1.
    fn config() -> Json {
        let lane = |name: &str, effect: &str| json!({"name": name, "worth": 1, "aim": 1, "hard_limit": 3, "effect": effect});
        json!({
            "me": 0, "peers_total": 1, "zone": "a", "kinds": ["std"], "weight_source": "nominal",
            "membership_mode": "on_request", "classes": [lane("live", "read_like"), lane("paid", "non_idempotent")],
            "family_info": {"kind_slots": [300], "positions": 1, "lowest_rung": [0, 1], "top_by_class": [2, 2],
                "class_scale": [1, 1], "class_seats": [2, 0], "live": [true, false], "join": 0.2,
                "rung_kb": [100, 200, 400], "worth_by_rung": [0.3, 0.6, 1], "kb_per_weight": 1e6, "racks": 1,
                "rack_link_kb": 1e7, "seen_after": 1, "told_every": 3},
            "policy_limits": {"try_limit": 3, "retry_after": true, "max_retry_after": 0.5},
            "report": {"how": "answers", "names": ["x0"]},
            "rules": {"ask_within": 10, "cold": 0, "cold_from": 1, "fall_multiple": 2, "fall": 1}
        })
    }

    /// What the instance did about these events, by the names of the actions.
    fn play(hosts: &mut Hosts, time: f64, happened: Json) -> Vec<(String, Json)> {
        let batch = json!({"time": time, "parts": [{"controller": 0, "happened": happened}]});
        let reply = hosts.batch(batch.to_string().as_bytes()).expect("a batch");
        let output = reply.pointer("/parts/0/output").and_then(Json::as_array).cloned().unwrap_or_default();
        let action = |one: &Json| one.as_object().and_then(|one| one.clone().into_iter().next());
        output.iter().filter_map(action).collect()
    }

    fn start(hosts: &mut Hosts) -> Vec<(String, Json)> {
        let members = json!([{"streamer": "s0", "site": "a", "sku": "std", "slot_no": 0, "stage_state": "IN", "capacity_hint": 1}]);
        play(
            hosts,
            100.0,
            json!([{"Attach": {"rng_seed": 7, "config": config()}},
                {"Directory": {"page": 0, "members": members}},
                {"Registry": {"page": 0, "form": "warm_copy", "index": 1}}]),
        )
    }

    fn names(actions: &[(String, Json)]) -> Vec<&str> {
        actions.iter().map(|(name, _)| &name[..]).collect()
    }

    #[test]
    fn a_list_on_request_is_asked_for_and_asked_for_again_when_lost() {
        let mut hosts = Hosts::default();
        assert_eq!(names(&start(&mut hosts)), ["Schedule"], "the list of the start is no answer");
        let beat = |hosts: &mut Hosts, time| play(hosts, time, json!([{"Reminder": {"nonce": 1}}]));
        let asked = beat(&mut hosts, 100.5);
        assert!(asked.contains(&("Track".to_owned(), json!({"want": true}))), "{asked:?}");
        assert!(!names(&beat(&mut hosts, 101.0)).contains(&"Track"), "once");
        play(&mut hosts, 101.1, json!([{"Registry": {"page": 0, "form": "lost", "index": 0}}]));
        let again = (1..20).any(|i| names(&beat(&mut hosts, 101.1 + 0.3 * f64::from(i))).contains(&"Track"));
        assert!(again);
        play(&mut hosts, 114.0, json!([{"Registry": {"page": 0, "form": "incr", "index": 2}}]));
        let idle = (1..60).any(|i| names(&beat(&mut hosts, 114.0 + 0.3 * f64::from(i))).contains(&"Track"));
        assert!(!idle, "it is followed");
    }

    #[test]
    fn seats_floors_and_titles_without_holders_are_answered_at_once() {
        let mut hosts = Hosts::default();
        start(&mut hosts);
        let wish = |id: u32, lane: &str, top: usize, span: usize| {
            json!({"Request": {"op_id": id, "priority": lane, "entity": "w", "title": "t", "give_up_at": 113.0, "base": 0,
                "span": span, "top": top}})
        };
        let taken = play(&mut hosts, 110.0, json!([wish(1, "live", 2, 1), wish(2, "live", 2, 1)]));
        assert_eq!(names(&taken), ["Grade", "Assign", "Grade", "Assign"]);
        for (id, lane, top, span, why) in [
            (3, "live", 2, 1, "both seats of the title are taken"),
            (4, "paid", 0, 1, "its screen shows nothing of this lane"),
            (5, "paid", 2, 0, "nobody holds it"),
        ] {
            let answer = play(&mut hosts, 110.0, json!([wish(id, lane, top, span)]));
            assert_eq!(answer, [("SayNo".to_owned(), json!({"op_id": id, "retry_in": 0.5}))], "{why}");
        }
        let paid = play(&mut hosts, 110.0, json!([wish(6, "paid", 2, 1)]));
        assert!(
            paid.iter().all(|(name, body)| name != "Grade" || body["level"].as_u64() >= Some(1)),
            "{paid:?}"
        );
    }

    #[test]
    fn settings_that_can_not_be_used_end_the_run_and_are_named() {
        let mut config = config();
        config["rules"]["fall"] = json!("soon");
        let batch =
            json!({"time": 1, "parts": [{"controller": 0, "happened": [{"Attach": {"config": config}}]}]});
        let error = Hosts::default().batch(batch.to_string().as_bytes()).expect_err("refused");
        assert!(error.starts_with("Attach: config.rules.fall: not usable; give"), "{error}");
    }
}
