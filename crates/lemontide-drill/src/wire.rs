//! Decodes the wire's events into calls on the decision module and encodes its results.

use lemontide::clock::{Point, Span};
use lemontide::control::{Controller, Handle};
use lemontide::interface::{Ending, Line, Load, Results, Stage, Wish};
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
    handles: HashMap<u32, Handle>,
    reports: Vec<String>,
}

/// All instances of this process; they share nothing but the numbered lists, which are the wire's.
#[derive(Default)]
pub struct Hosts {
    hosts: BTreeMap<i64, Host>,
    pages: HashMap<i64, Vec<Line>>,
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
                let sheet = lemontide_sheet::sheet(&attach.config);
                let reports = attach.config.pointer("/report/names").and_then(Json::as_array);
                let host = Host {
                    controller: Controller::start(now, attach.rng_seed, &sheet),
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
                    controller.list_lost(now);
                } else if let ("incr" | "total" | "warm_copy", Some(lines)) =
                    (registry.form.as_str(), self.pages.get(&registry.page))
                {
                    controller.learn(now, lines, registry.form != "incr");
                }
            }
            "Reminder" => controller.wake(now),
            "ProbeResult" => {
                let look: Look = decode(name, body)?;
                let load = load(reports, &look.metrics);
                controller.looked(now, &look.streamer, look.verdict == 200, load);
            }
            "Request" | "Inherited" => {
                let news: News = decode(name, body)?;
                let (tenant, title) = (words(&news.owner), words(&news.title));
                let wish = Wish {
                    id: news.op_id,
                    lane: &news.priority,
                    tenant: &tenant,
                    title: &title,
                    cut_off: news.give_up_at.map_or(now, Point::at),
                    home: news.base,
                    copies: news.span,
                    top: news.top,
                    returned: news.returned,
                    length: news.weight_hint.map(Span::of),
                };
                let handle = match name {
                    "Request" => controller.take(now, &wish),
                    _ => controller.inherit(now, &wish, &news.streamer),
                };
                handles.insert(news.op_id, handle);
            }
            "Headers" | "Completed" | "ClientGone" | "Progress" => {
                let news: News = decode(name, body)?;
                let Some(handle) = handles.get(&news.op_id).copied() else {
                    return Ok(());
                };
                match (name, news.what) {
                    ("Headers", _) => handle.plays(controller, now),
                    ("ClientGone", _) => handle.left(controller),
                    ("Completed", _) => {
                        let load = load(reports, &news.metrics);
                        handle.ended(controller, now, ending(news.verdict), news.terminal, load);
                        if news.terminal {
                            handles.remove(&news.op_id);
                        }
                    }
                    (_, 1) => handle.short(controller, now, news.level),
                    (_, 2) => handle.at_rung(controller, now, news.level.max(0.0) as usize),
                    (_, 3) => handle.load(controller, now, Load::link(news.level)),
                    (_, 4) => handle.load(controller, now, Load::rack(news.level)),
                    _ => {}
                }
            }
            _ => {}
        }
        encode(now, &controller.results, output);
        for id in controller.results.turned_back.iter().map(|(id, _)| id).chain(&controller.results.scrapped)
        {
            handles.remove(id);
        }
        controller.results.clear();
        Ok(())
    }
}

impl Entry {
    fn line(self) -> Line {
        Line {
            streamer: self.streamer,
            zone: self.site,
            kind: self.sku,
            cell: self.slot_no,
            stage: match self.stage_state.as_str() {
                "IN" => Stage::Ready,
                "LAME" => Stage::Draining,
                _ => Stage::Gone,
            },
            weight: self.capacity_hint.unwrap_or(1.0),
            started: self.came_up.filter(|t| *t != 0.0).map(Point::at),
        }
    }
}

fn ending(verdict: i64) -> Ending {
    match verdict {
        200 => Ending::Served,
        502 => Ending::Errored,
        429 => Ending::SentBack,
        408 => Ending::TimedOut,
        521 => Ending::NoConnection,
        520 => Ending::Broken,
        444 => Ending::Cancelled,
        409 => Ending::NotSent,
        _ => Ending::Unknown,
    }
}

/// Reads a report by the names that the settings gave its places; unknown names are skipped.
fn load(reports: &[String], metrics: &[Json]) -> Load {
    let mut load = Load::default();
    for (name, value) in reports.iter().zip(metrics) {
        lemontide_sheet::figure(&mut load, name, value.as_f64());
    }
    load
}

fn encode(now: Point, results: &Results, output: &mut Vec<Json>) {
    for (id, rung) in &results.rungs {
        output.push(json!({"Grade": {"op_id": id, "level": rung}}));
    }
    for shot in &results.shots {
        // A span that would round to nothing must not read as "no time-out".
        let within = shot.within.seconds();
        let within = if within == 0.0 { -1.0 } else { within };
        output.push(json!({"Assign": {"op_id": shot.id, "allow_for": within, "streamer": &*shot.streamer}}));
    }
    for (id, after) in &results.turned_back {
        let after = after.map(Span::seconds);
        output.push(json!({"SayNo": {"op_id": id, "retry_in": after}}));
    }
    for id in &results.scrapped {
        output.push(json!({"RespondError": {"op_id": id}}));
    }
    for id in &results.moved {
        output.push(json!({"Migrate": {"op_id": id}}));
    }
    for streamer in &results.looks {
        output.push(json!({"Inspect": {"streamer": &**streamer}}));
    }
    if results.follow {
        output.push(json!({"Track": {"want": true}}));
    }
    if let Some(wake) = results.wake {
        let span = (wake - now).seconds().max(0.0);
        output.push(json!({"Schedule": {"span": span, "nonce": 1}}));
    }
}
