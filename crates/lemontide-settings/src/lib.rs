//! Parses the nested settings as the operators write them into the flat map of `lemontide::interface`, and named
//! load values into its `Load`. Used by every adapter that receives such settings.

use lemontide::interface::{ControllerSettings, Load, SettingValue};
use serde_json::Value as Json;

/// What a setting has to be; a list is spelled out, with its index behind the name.
#[derive(Clone, Copy, PartialEq)]
enum Form {
    /// A number of 0 or more.
    Figure,
    Word,
    /// Yes or no; where it is absent, no.
    Switch,
    /// One for each lane, or as many as there are.
    Figures,
    Words,
    Switches,
}

/// Whether a setting may be absent. Those that may are named so by the wire, or mean nothing where they are.
#[derive(Clone, Copy, PartialEq)]
enum Need {
    Must,
    May,
    /// One for each lane.
    EachLane,
}

use Form::{Figure, Figures, Switch, Switches, Word, Words};
use Need::{EachLane, May, Must};

/// Where the wire keeps a setting, and what we call it.
const NAMES: &[(&str, &str, Form, Need)] = &[
    ("me", "me", Figure, Must),
    ("peers_total", "controllers", Figure, Must),
    ("zone", "zone", Word, May),
    ("kinds", "kinds", Words, Must),
    ("over_share_worth", "over_share_gain", Figure, May),
    ("family_info.kind_slots", "kind_streams", Figures, Must),
    ("family_info.positions", "cells", Figure, Must),
    ("family_info.lowest_rung", "lane_floor", Figures, EachLane),
    ("family_info.top_by_class", "lane_top", Figures, EachLane),
    ("family_info.class_scale", "lane_scale", Figures, EachLane),
    ("family_info.class_seats", "lane_seats", Figures, EachLane),
    ("family_info.live", "lane_live", Switches, EachLane),
    ("family_info.rung_kb", "ladder.kb", Figures, Must),
    ("family_info.worth_by_rung", "ladder.gain", Figures, Must),
    ("family_info.join", "ladder.join", Figure, Must),
    ("family_info.kb_per_weight", "link.kb_per_weight", Figure, Must),
    ("family_info.rack_link_kb", "rack.kb", Figure, Must),
    ("family_info.racks", "rack.count", Figure, Must),
    ("family_info.seen_after", "notes.age", Figure, Must),
    ("family_info.told_every", "notes.every", Figure, Must),
    ("policy_limits.dial_timeout", "dial.timeout", Figure, May),
    ("policy_limits.try_limit", "shots.most", Figure, Must),
    ("policy_limits.retry_after", "retry_after.allowed", Switch, May),
    ("policy_limits.max_retry_after", "retry_after.longest", Figure, May),
    ("policy_limits.may_probe", "looks.allowed", Switch, May),
    ("charges.cross_zone", "charges.cross_zone", Figure, May),
    ("rules.ask_within", "list.ask_within", Figure, May),
    ("rules.cold", "cold.span", Figure, Must),
    ("rules.cold_from", "cold.from", Figure, Must),
    ("rules.fall_multiple", "cold.multiple", Figure, Must),
    ("rules.fall", "cold.window", Figure, Must),
    ("rules.extra_floor", "ration.floor", Figure, May),
    ("rules.extra_ratio", "ration.share", Figure, May),
    ("rules.look_back", "ration.window", Figure, May),
];

/// No figure is larger: no size, rate or time of any deployment comes near it, and sums of them stay exact.
const MOST: f64 = 1e15;
/// Nor is any count of things that get a place each.
const COUNT_MOST: f64 = 1e6;

/// Fields of the wire's lists of classes and tenants.
const FIELDS: &[(&str, &str, &str, &str, Form, Need)] = &[
    ("classes", "name", "lanes", "name", Word, Must),
    ("classes", "worth", "lanes", "gain", Figure, Must),
    ("classes", "aim", "lanes", "latency_goal", Figure, Must),
    ("classes", "hard_limit", "lanes", "cut_off", Figure, Must),
    ("classes", "group", "lanes", "key_holds", Word, May),
    ("classes", "window", "lanes", "key_window", Figure, May),
    ("tenants", "name", "tenants", "name", Word, Must),
    ("tenants", "quota_per_s", "tenants", "quota_per_s", Figure, May),
];

/// Words of the wire that stand for one of a few things.
const CHOICES: &[(&str, &[&str])] = &[
    ("membership_mode", &["pushed", "on_request"]),
    ("report.how", &["answers", "probe", "none"]),
    ("weight_source", &["none", "nominal", "rough", "live"]),
];

/// Parses nested settings into the controller's flat map. An error names the setting and the remedy.
pub fn parse_settings(config: &Json) -> Result<ControllerSettings, String> {
    let mut settings = ControllerSettings::new();
    let classes = rows(config, "classes")?;
    for (wire, ours, form, need) in NAMES {
        let value = find(config, wire);
        match (form, value) {
            (_, None) if *need == May => {}
            (_, None) => return Err(format!("{wire}: it is missing; {}", form.remedy())),
            (Figure | Word | Switch, Some(value)) => {
                put(&mut settings, wire, (*ours).to_owned(), value, *form)?
            }
            (_, Some(value)) => {
                let of = value.as_array().ok_or_else(|| format!("{wire}: no list; {}", form.remedy()))?;
                if *need == EachLane && of.len() != classes.len() {
                    let (told, lanes) = (of.len(), classes.len());
                    return Err(format!("{wire}: {told} for {lanes} classes; give one for each, in order"));
                }
                for (i, value) in of.iter().enumerate() {
                    put(&mut settings, &format!("{wire}.{i}"), format!("{ours}.{i}"), value, *form)?;
                }
            }
        }
    }
    for (wire, field, ours, name, form, need) in FIELDS {
        for (i, row) in rows(config, wire)?.iter().enumerate() {
            let place = format!("{wire}.{i}.{field}");
            match row.get(field).filter(|value| !value.is_null()) {
                Some(value) => put(&mut settings, &place, format!("{ours}.{i}.{name}"), value, *form)?,
                None if *need == May => {}
                None => return Err(format!("{place}: it is missing; {}", form.remedy())),
            }
        }
    }
    for (i, row) in classes.iter().enumerate() {
        let repeat = match row.get("effect").and_then(Json::as_str) {
            Some("read_like") => "free",
            Some("idempotency_key") => "keyed",
            Some("non_idempotent") => "paid",
            _ => {
                let known = "read_like, idempotency_key or non_idempotent";
                return Err(format!("classes.{i}.effect: not known; give {known}"));
            }
        };
        settings.insert(format!("lanes.{i}.repeat"), SettingValue::Text(repeat.to_owned()));
    }
    for (wire, known) in CHOICES {
        let word = find(config, wire).map(|value| value.as_str().unwrap_or_default());
        if word.is_none_or(|word| !known.contains(&word)) {
            return Err(format!("{wire}: missing or not known; give one of {}", known.join(", ")));
        }
    }
    together(config)?;
    let names = find(config, "report.names").and_then(Json::as_array);
    let link = names.into_iter().flatten().any(|name| matches!(name.as_str(), Some("x0" | "cpu_share")));
    let told = match find(config, "report.how").and_then(Json::as_str) {
        Some("answers") if link => "answers",
        Some("probe") if link => "looks",
        _ => "never",
    };
    settings.insert("links.told".to_owned(), SettingValue::Text(told.to_owned()));
    let is = |wire, word| SettingValue::Flag(find(config, wire).and_then(Json::as_str) == Some(word));
    settings.insert("list.on_request".to_owned(), is("membership_mode", "on_request"));
    settings.insert("link.weight_is_live".to_owned(), is("weight_source", "live"));
    Ok(settings)
}

/// Settings that say something only together, and figures that nothing could be done with.
fn together(config: &Json) -> Result<(), String> {
    let figure = |wire| find(config, wire).and_then(Json::as_f64);
    let length = |wire| find(config, wire).and_then(Json::as_array).map_or(0, Vec::len);
    for (wire, least) in
        [("peers_total", 1.0), ("family_info.positions", 1.0), ("policy_limits.try_limit", 1.0)]
    {
        if figure(wire).is_some_and(|value| value < least) {
            return Err(format!("{wire}: below {least}; give {least} or more"));
        }
    }
    for wire in ["family_info.positions", "family_info.racks", "peers_total"] {
        if figure(wire).is_some_and(|value| value > COUNT_MOST) {
            return Err(format!("{wire}: above {COUNT_MOST}; give less"));
        }
    }
    for list in ["classes", "tenants"] {
        let rows = rows(config, list)?;
        let name = |row: &Json| row.get("name").cloned();
        if let Some(again) =
            (1..rows.len()).find(|i| rows[..*i].iter().any(|row| name(row) == name(&rows[*i])))
        {
            return Err(format!("{list}.{again}.name: it comes twice; give each a name of its own"));
        }
    }
    let shareless =
        |row: &Json| ["share", "quota_per_s"].iter().all(|of| row.get(of).is_none_or(Json::is_null));
    if let Some(at) = rows(config, "tenants")?.iter().position(shareless) {
        return Err(format!("tenants.{at}.share: it is missing; give the tenant's part, or quota_per_s"));
    }
    for (wire, other) in
        [("family_info.worth_by_rung", "family_info.rung_kb"), ("family_info.kind_slots", "kinds")]
    {
        let (told, of) = (length(wire), length(other));
        if told != of || of == 0 {
            return Err(format!("{wire}: {told} for {of} in {other}; give one for each, and one at least"));
        }
    }
    let by_request = find(config, "membership_mode").and_then(Json::as_str) == Some("on_request");
    let needs = [
        ("rules.ask_within", by_request, "membership_mode on_request"),
        ("rules.look_back", figure("rules.extra_ratio").is_some(), "rules.extra_ratio"),
        ("rules.extra_floor", figure("rules.extra_ratio").is_some(), "rules.extra_ratio"),
        (
            "policy_limits.max_retry_after",
            find(config, "policy_limits.retry_after") == Some(&Json::Bool(true)),
            "policy_limits.retry_after",
        ),
    ];
    for (wire, needed, beside) in needs {
        if needed && figure(wire).is_none() {
            return Err(format!("{wire}: it is missing beside {beside}; give a number"));
        }
    }
    Ok(())
}

fn find<'a>(config: &'a Json, wire: &str) -> Option<&'a Json> {
    let found = wire.split('.').try_fold(config, |at, key| at.get(key));
    found.filter(|value| !value.is_null())
}

/// The rows of a list of objects; an absent one has none.
fn rows<'a>(config: &'a Json, wire: &str) -> Result<&'a [Json], String> {
    match find(config, wire) {
        None => Ok(&[]),
        Some(Json::Array(rows)) => Ok(rows),
        Some(_) => Err(format!("{wire}: no list; give a list of objects")),
    }
}

impl Form {
    fn remedy(self) -> &'static str {
        match self {
            Figure => "give a number from 0 to 1e15",
            Word => "give a text",
            Switch => "give true or false",
            Figures => "give a list of numbers from 0 to 1e15",
            Words => "give a list of texts",
            Switches => "give a list of true and false",
        }
    }
}

fn put(
    settings: &mut ControllerSettings,
    place: &str,
    name: String,
    value: &Json,
    form: Form,
) -> Result<(), String> {
    let value = match (form, value) {
        (Figure | Figures, Json::Number(n)) => {
            n.as_f64().filter(|n| (0.0..=MOST).contains(n)).map(SettingValue::Number)
        }
        (Word | Words, Json::String(s)) => Some(SettingValue::Text(s.clone())),
        (Switch | Switches, Json::Bool(b)) => Some(SettingValue::Flag(*b)),
        _ => None,
    };
    let one = match form {
        Figures => Figure,
        Words => Word,
        Switches => Switch,
        one => one,
    };
    let value = value.ok_or_else(|| format!("{place}: not usable; {}", one.remedy()))?;
    settings.insert(name, value);
    Ok(())
}

/// Reads one named value of a load report into `load`; unknown names are skipped.
pub fn read_load_field(load: &mut Load, name: &str, value: Option<f64>) {
    match name {
        "busy_reqs" => load.streams = value,
        "x0" => load.link_utilization = value,
        "cpu_share" => load.link_utilization = load.link_utilization.or(value),
        "x1" => load.uplink_utilization = value,
        _ => {}
    }
}
