//! Parses nested settings, as operators write them, into the flat map of `lemontide::interface`, and named values of
//! load reports into its `Load`. Used by every adapter that receives such settings.

use lemontide::interface::{ControllerSettings, Load, SettingValue};
use serde_json::Value as Json;

/// Kind of value that a setting must have. The elements of a list get a name each, with their index at its end.
#[derive(Clone, Copy, PartialEq)]
enum ValueKind {
    /// A number of 0 or more.
    Number,
    Text,
    /// Yes or no; where it is absent, no.
    Flag,
    Numbers,
    Texts,
    Flags,
}

/// Whether a setting can be absent. Those that can are optional for operators, or stand for something that the
/// deployment does without.
#[derive(Clone, Copy, PartialEq)]
enum Presence {
    Required,
    Optional,
    /// A list with one element for each class.
    PerClass,
}

use Presence::{Optional, PerClass, Required};
use ValueKind::{Flag, Flags, Number, Numbers, Text, Texts};

/// Path of a setting in the operators' settings, and its name in the controller's settings.
const SETTINGS: &[(&str, &str, ValueKind, Presence)] = &[
    ("me", "me", Number, Required),
    ("peers_total", "controllers", Number, Required),
    ("zone", "zone", Text, Optional),
    ("kinds", "kinds", Texts, Required),
    ("over_share_worth", "over_share_gain", Number, Optional),
    ("family_info.kind_slots", "kind_streams", Numbers, Required),
    ("family_info.positions", "cells", Number, Required),
    ("family_info.lowest_rung", "lane_floor", Numbers, PerClass),
    ("family_info.top_by_class", "lane_top", Numbers, PerClass),
    ("family_info.class_scale", "lane_scale", Numbers, PerClass),
    ("family_info.class_seats", "lane_seats", Numbers, PerClass),
    ("family_info.live", "lane_live", Flags, PerClass),
    ("family_info.rung_kb", "ladder.kb", Numbers, Required),
    ("family_info.worth_by_rung", "ladder.gain", Numbers, Required),
    ("family_info.join", "ladder.join", Number, Required),
    ("family_info.kb_per_weight", "link.kb_per_weight", Number, Required),
    ("family_info.rack_link_kb", "rack.kb", Number, Required),
    ("family_info.racks", "rack.count", Number, Required),
    ("family_info.seen_after", "notes.age", Number, Required),
    ("family_info.told_every", "notes.every", Number, Required),
    ("policy_limits.dial_timeout", "dial.timeout", Number, Optional),
    ("policy_limits.try_limit", "shots.most", Number, Required),
    ("policy_limits.retry_after", "retry_after.allowed", Flag, Optional),
    ("policy_limits.max_retry_after", "retry_after.longest", Number, Optional),
    ("policy_limits.may_probe", "looks.allowed", Flag, Optional),
    ("charges.cross_zone", "charges.cross_zone", Number, Optional),
    ("rules.ask_within", "list.ask_within", Number, Optional),
    ("rules.cold", "cold.span", Number, Required),
    ("rules.cold_from", "cold.from", Number, Required),
    ("rules.fall_multiple", "cold.multiple", Number, Required),
    ("rules.fall", "cold.window", Number, Required),
    ("rules.extra_floor", "ration.floor", Number, Optional),
    ("rules.extra_ratio", "ration.share", Number, Optional),
    ("rules.look_back", "ration.window", Number, Optional),
];

/// Largest number accepted: sizes, rates and times of all deployments are far smaller, and sums of them stay exact.
const MAX_NUMBER: f64 = 1e15;
/// Largest count accepted of things for which memory is allocated one by one.
const MAX_COUNT: f64 = 1e6;

/// Fields of the lists of classes and tenants: list and field in the operators' settings, then in the controller's.
const LIST_FIELDS: &[(&str, &str, &str, &str, ValueKind, Presence)] = &[
    ("classes", "name", "lanes", "name", Text, Required),
    ("classes", "worth", "lanes", "gain", Number, Required),
    ("classes", "aim", "lanes", "latency_goal", Number, Required),
    ("classes", "hard_limit", "lanes", "cut_off", Number, Required),
    ("classes", "group", "lanes", "key_holds", Text, Optional),
    ("classes", "window", "lanes", "key_window", Number, Optional),
    ("tenants", "name", "tenants", "name", Text, Required),
    ("tenants", "quota_per_s", "tenants", "quota_per_s", Number, Optional),
];

/// Settings with a fixed set of values.
const CHOICES: &[(&str, &[&str])] = &[
    ("membership_mode", &["pushed", "on_request"]),
    ("report.how", &["answers", "probe", "none"]),
    ("weight_source", &["none", "nominal", "rough", "live"]),
];

/// Parses nested settings into the controller's flat map. An error names the setting and the remedy.
pub fn parse_settings(config: &Json) -> Result<ControllerSettings, String> {
    let mut settings = ControllerSettings::new();
    let classes = rows(config, "classes")?;
    for (path, name, kind, presence) in SETTINGS {
        let value = find(config, path);
        match (kind, value) {
            (_, None) if *presence == Optional => {}
            (_, None) => return Err(format!("{path}: it is missing; {}", kind.remedy())),
            (Number | Text | Flag, Some(value)) => {
                insert_value(&mut settings, path, (*name).to_owned(), value, *kind)?
            }
            (_, Some(value)) => {
                let values = value.as_array().ok_or_else(|| format!("{path}: no list; {}", kind.remedy()))?;
                if *presence == PerClass && values.len() != classes.len() {
                    let (given, needed) = (values.len(), classes.len());
                    return Err(format!("{path}: {given} for {needed} classes; give one for each, in order"));
                }
                for (i, value) in values.iter().enumerate() {
                    insert_value(&mut settings, &format!("{path}.{i}"), format!("{name}.{i}"), value, *kind)?;
                }
            }
        }
    }
    for (source_list, source_field, list, field, kind, presence) in LIST_FIELDS {
        for (i, row) in rows(config, source_list)?.iter().enumerate() {
            let path = format!("{source_list}.{i}.{source_field}");
            match row.get(source_field).filter(|value| !value.is_null()) {
                Some(value) => {
                    insert_value(&mut settings, &path, format!("{list}.{i}.{field}"), value, *kind)?
                }
                None if *presence == Optional => {}
                None => return Err(format!("{path}: it is missing; {}", kind.remedy())),
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
    for (path, known) in CHOICES {
        let value = find(config, path).map(|value| value.as_str().unwrap_or_default());
        if value.is_none_or(|value| !known.contains(&value)) {
            return Err(format!("{path}: missing or not known; give one of {}", known.join(", ")));
        }
    }
    check_combinations(config)?;
    let names = find(config, "report.names").and_then(Json::as_array);
    let reports_link =
        names.into_iter().flatten().any(|name| matches!(name.as_str(), Some("x0" | "cpu_share")));
    let reported_by = match find(config, "report.how").and_then(Json::as_str) {
        Some("answers") if reports_link => "answers",
        Some("probe") if reports_link => "looks",
        _ => "never",
    };
    settings.insert("links.told".to_owned(), SettingValue::Text(reported_by.to_owned()));
    let is = |path, text| SettingValue::Flag(find(config, path).and_then(Json::as_str) == Some(text));
    settings.insert("list.on_request".to_owned(), is("membership_mode", "on_request"));
    settings.insert("link.weight_is_live".to_owned(), is("weight_source", "live"));
    Ok(settings)
}

/// Checks settings that depend on each other, and numbers that are out of range.
fn check_combinations(config: &Json) -> Result<(), String> {
    let number = |path| find(config, path).and_then(Json::as_f64);
    let length = |path| find(config, path).and_then(Json::as_array).map_or(0, Vec::len);
    for (path, min) in
        [("peers_total", 1.0), ("family_info.positions", 1.0), ("policy_limits.try_limit", 1.0)]
    {
        if number(path).is_some_and(|value| value < min) {
            return Err(format!("{path}: below {min}; give {min} or more"));
        }
    }
    for path in ["family_info.positions", "family_info.racks", "peers_total"] {
        if number(path).is_some_and(|value| value > MAX_COUNT) {
            return Err(format!("{path}: above {MAX_COUNT}; give less"));
        }
    }
    for list in ["classes", "tenants"] {
        let rows = rows(config, list)?;
        let name = |row: &Json| row.get("name").cloned();
        if let Some(duplicate) =
            (1..rows.len()).find(|i| rows[..*i].iter().any(|row| name(row) == name(&rows[*i])))
        {
            return Err(format!("{list}.{duplicate}.name: it is used twice; give each a name of its own"));
        }
    }
    let lacks_quota =
        |row: &Json| ["share", "quota_per_s"].iter().all(|key| row.get(key).is_none_or(Json::is_null));
    if let Some(i) = rows(config, "tenants")?.iter().position(lacks_quota) {
        return Err(format!("tenants.{i}.share: it is missing; give the tenant's part, or quota_per_s"));
    }
    for (path, other) in
        [("family_info.worth_by_rung", "family_info.rung_kb"), ("family_info.kind_slots", "kinds")]
    {
        let (given, needed) = (length(path), length(other));
        if given != needed || needed == 0 {
            return Err(format!(
                "{path}: {given} for {needed} in {other}; give one for each, and one at least"
            ));
        }
    }
    let list_on_request = find(config, "membership_mode").and_then(Json::as_str) == Some("on_request");
    let dependent = [
        ("rules.ask_within", list_on_request, "membership_mode on_request"),
        ("rules.look_back", number("rules.extra_ratio").is_some(), "rules.extra_ratio"),
        ("rules.extra_floor", number("rules.extra_ratio").is_some(), "rules.extra_ratio"),
        (
            "policy_limits.max_retry_after",
            find(config, "policy_limits.retry_after") == Some(&Json::Bool(true)),
            "policy_limits.retry_after",
        ),
    ];
    for (path, needed, beside) in dependent {
        if needed && number(path).is_none() {
            return Err(format!("{path}: it is missing beside {beside}; give a number"));
        }
    }
    Ok(())
}

/// The value at a path of keys separated by dots; none where it is absent or null.
fn find<'a>(config: &'a Json, path: &str) -> Option<&'a Json> {
    let found = path.split('.').try_fold(config, |value, key| value.get(key));
    found.filter(|value| !value.is_null())
}

/// The rows of a list of objects; an absent one has none.
fn rows<'a>(config: &'a Json, path: &str) -> Result<&'a [Json], String> {
    match find(config, path) {
        None => Ok(&[]),
        Some(Json::Array(rows)) => Ok(rows),
        Some(_) => Err(format!("{path}: no list; give a list of objects")),
    }
}

impl ValueKind {
    /// The end of an error message: what to give instead.
    fn remedy(self) -> &'static str {
        match self {
            Number => "give a number from 0 to 1e15",
            Text => "give a text",
            Flag => "give true or false",
            Numbers => "give a list of numbers from 0 to 1e15",
            Texts => "give a list of texts",
            Flags => "give a list of true and false",
        }
    }
}

/// Inserts one value under `name`; errors name it by `path`.
fn insert_value(
    settings: &mut ControllerSettings,
    path: &str,
    name: String,
    value: &Json,
    kind: ValueKind,
) -> Result<(), String> {
    let value = match (kind, value) {
        (Number | Numbers, Json::Number(n)) => {
            n.as_f64().filter(|n| (0.0..=MAX_NUMBER).contains(n)).map(SettingValue::Number)
        }
        (Text | Texts, Json::String(s)) => Some(SettingValue::Text(s.clone())),
        (Flag | Flags, Json::Bool(b)) => Some(SettingValue::Flag(*b)),
        _ => None,
    };
    let element_kind = match kind {
        Numbers => Number,
        Texts => Text,
        Flags => Flag,
        kind => kind,
    };
    let value = value.ok_or_else(|| format!("{path}: not usable; {}", element_kind.remedy()))?;
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
