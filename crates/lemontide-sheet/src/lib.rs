//! Turns the wire's nested settings into the module's plain map, and named figures of load into the module's
//! `Load`; wire names become ours. Used by every adapter that is handed these settings.

use lemontide::interface::{Load, Sheet, Value};
use serde_json::Value as Json;

/// Where the wire keeps a setting, and what we call it; lists keep their index behind the name.
const NAMES: &[(&str, &str)] = &[
    ("me", "me"),
    ("peers_total", "controllers"),
    ("zone", "zone"),
    ("areas", "zones"),
    ("kinds", "kinds"),
    ("over_share_worth", "over_share_gain"),
    ("family_info.kind_slots", "kind_streams"),
    ("family_info.positions", "cells"),
    ("family_info.lowest_rung", "lane_floor"),
    ("family_info.top_by_class", "lane_top"),
    ("family_info.class_scale", "lane_scale"),
    ("family_info.class_seats", "lane_seats"),
    ("family_info.live", "lane_live"),
    ("family_info.rung_kb", "ladder.kb"),
    ("family_info.worth_by_rung", "ladder.gain"),
    ("family_info.join", "ladder.join"),
    ("family_info.shortfall_cost", "ladder.shortfall_cost"),
    ("family_info.switch_cost_s", "ladder.switch_cost"),
    ("family_info.kb_per_weight", "link.kb_per_weight"),
    ("family_info.links_kb", "link.total_kb"),
    ("family_info.guard", "link.guard"),
    ("family_info.rack_link_kb", "rack.kb"),
    ("family_info.racks", "rack.count"),
    ("family_info.seen_after", "notes.age"),
    ("family_info.told_every", "notes.every"),
    ("policy_limits.try_limit", "shots.most"),
    ("policy_limits.retry_after", "retry_after.allowed"),
    ("policy_limits.max_retry_after", "retry_after.longest"),
    ("policy_limits.may_probe", "looks.allowed"),
    ("policy_limits.peers", "messages.allowed"),
    ("charges.moves", "charges.moves"),
    ("charges.cross_zone", "charges.cross_zone"),
    ("rules.ask_within", "list.ask_within"),
    ("rules.cold", "cold.span"),
    ("rules.cold_from", "cold.from"),
    ("rules.fall_multiple", "cold.multiple"),
    ("rules.fall", "cold.window"),
    ("rules.extra_floor", "ration.floor"),
    ("rules.extra_ratio", "ration.share"),
    ("rules.look_back", "ration.window"),
];

/// Fields of the wire's list of classes and tenants.
const FIELDS: &[(&str, &str, &str, &str)] = &[
    ("classes", "name", "lanes", "name"),
    ("classes", "worth", "lanes", "gain"),
    ("classes", "aim", "lanes", "latency_goal"),
    ("classes", "hard_limit", "lanes", "cut_off"),
    ("tenants", "name", "tenants", "name"),
    ("tenants", "quota_per_s", "tenants", "quota_per_s"),
    ("tenants", "share", "tenants", "share"),
];

pub fn sheet(config: &Json) -> Sheet {
    let mut sheet = Sheet::new();
    for (wire, ours) in NAMES {
        let value = wire.split('.').try_fold(config, |at, key| at.get(key));
        match value {
            Some(Json::Array(values)) => {
                for (i, value) in values.iter().enumerate() {
                    put(&mut sheet, format!("{ours}.{i}"), value);
                }
            }
            Some(value) => put(&mut sheet, (*ours).to_owned(), value),
            None => {}
        }
    }
    for (wire, field, ours, name) in FIELDS {
        let rows = config.get(wire).and_then(Json::as_array);
        for (i, row) in rows.into_iter().flatten().enumerate() {
            if let Some(value) = row.get(field) {
                put(&mut sheet, format!("{ours}.{i}.{name}"), value);
            }
        }
    }
    for (i, row) in config.get("classes").and_then(Json::as_array).into_iter().flatten().enumerate() {
        let repeat = match row.get("effect").and_then(Json::as_str) {
            Some("read_like") => "free",
            Some("idempotency_key") => "keyed",
            _ => "paid",
        };
        sheet.insert(format!("lanes.{i}.repeat"), Value::Text(repeat.to_owned()));
    }
    let report = |name: &str| config.get("report").and_then(|report| report.get(name));
    let names = report("names").and_then(Json::as_array);
    let link = names.into_iter().flatten().any(|name| matches!(name.as_str(), Some("x0" | "cpu_share")));
    let told = match report("how").and_then(Json::as_str) {
        Some("answers") if link => "answers",
        Some("probe") if link => "looks",
        Some(_) => "never",
        None => "answers",
    };
    sheet.insert("links.told".to_owned(), Value::Text(told.to_owned()));
    let on_request = config.get("membership_mode").and_then(Json::as_str) == Some("on_request");
    sheet.insert("list.on_request".to_owned(), Value::Flag(on_request));
    sheet
}

fn put(sheet: &mut Sheet, name: String, value: &Json) {
    let value = match value {
        Json::Number(n) => n.as_f64().map(Value::Number),
        Json::String(s) => Some(Value::Text(s.clone())),
        Json::Bool(b) => Some(Value::Flag(*b)),
        _ => None,
    };
    if let Some(value) = value {
        sheet.insert(name, value);
    }
}

/// Reads one named figure of a load report into `load`; unknown names are skipped.
pub fn figure(load: &mut Load, name: &str, value: Option<f64>) {
    match name {
        "busy_reqs" => load.streams = value,
        "x0" => load.link = value,
        "cpu_share" => load.link = load.link.or(value),
        "x1" => load.rack = value,
        _ => {}
    }
}
