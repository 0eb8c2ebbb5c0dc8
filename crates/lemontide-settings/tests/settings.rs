//! Nested settings are parsed into the controller's map, or give an error that names the setting and the remedy.

use lemontide::interface::{get_flag, get_number, get_text};
use lemontide_settings::parse_settings;
use serde_json::{json, Value as Json};

/// Valid settings with two classes, as a controller receives them.
fn valid_settings() -> Json {
    let class = |name: &str, effect: &str| json!({"name": name, "worth": 1, "aim": 1, "hard_limit": 3, "effect": effect});
    json!({
        "me": 0, "peers_total": 2, "zone": "a", "kinds": ["std"], "membership_mode": "pushed", "weight_source": "rough",
        "classes": [class("free", "read_like"), class("paid", "non_idempotent")],
        "family_info": {"kind_slots": [30], "positions": 4, "lowest_rung": [0, 1], "top_by_class": [1, 1],
            "class_scale": [1, 1.5], "class_seats": [0, 2], "live": [true, false], "join": 0.2, "rung_kb": [200, 400],
            "worth_by_rung": [0.3, 1], "kb_per_weight": 1e4, "rack_link_kb": 1e5, "racks": 2, "seen_after": 1,
            "told_every": 3},
        "policy_limits": {"try_limit": 3}, "report": {"how": "answers", "names": ["busy_reqs", "x0"]},
        "rules": {"cold": 10, "cold_from": 0.5, "fall_multiple": 2.5, "fall": 1}, "a key to come": [1, {"x": null}]
    })
}

/// The same with the value at one path replaced; `Json::Null` removes it.
fn with_value(path: &str, value: Json) -> Json {
    let mut settings = valid_settings();
    let (parent, name) = path.rsplit_once('/').expect("a path");
    settings.pointer_mut(parent).expect("the parent exists")[name] = value;
    settings
}

#[test]
fn valid_settings_are_parsed_and_unknown_ones_skipped() {
    let parsed = parse_settings(&valid_settings()).expect("valid");
    assert_eq!(
        (get_number(&parsed, "lane_seats.1"), get_number(&parsed, "lane_scale.1")),
        (Some(2.0), Some(1.5))
    );
    assert_eq!(
        (get_number(&parsed, "ladder.join"), get_text(&parsed, "lanes.1.repeat")),
        (Some(0.2), Some("paid"))
    );
    assert!(get_flag(&parsed, "lane_live.0") && !get_flag(&parsed, "lane_live.1"));
    assert!(
        !get_flag(&parsed, "looks.allowed") && !get_flag(&parsed, "list.on_request"),
        "an absent flag is false"
    );
}

#[test]
fn how_link_load_is_reported_follows_from_the_report_settings() {
    for (how, names, reported_by) in [
        ("answers", json!(["x1", "cpu_share"]), "answers"),
        ("answers", json!(["busy_reqs"]), "never"),
        ("probe", json!(["x0"]), "looks"),
        ("none", json!([]), "never"),
    ] {
        let parsed =
            parse_settings(&with_value("/report", json!({"how": how, "names": names}))).expect("valid");
        assert_eq!(get_text(&parsed, "links.told"), Some(reported_by), "{how}");
    }
}

/// Guards against settings that are silently ignored when they cannot be read, so that a default takes their place.
#[test]
fn errors_name_the_setting_and_the_remedy() {
    for (path, value, message) in [
        ("/rules/cold", Json::Null, "rules.cold: it is missing; give a number"),
        ("/rules/fall", json!("1"), "rules.fall: not usable; give a number"),
        ("/family_info/rung_kb", json!([200, -1]), "family_info.rung_kb.1: not usable; give"),
        ("/family_info/rung_kb", json!([]), "family_info.worth_by_rung: 2 for 0"),
        ("/family_info/rung_kb", json!(7), "family_info.rung_kb: no list; give"),
        ("/family_info/live", json!([true]), "family_info.live: 1 for 2 classes; give"),
        ("/family_info/live", json!([1, 0]), "family_info.live.0: not usable; give true or false"),
        ("/family_info/positions", json!(0), "family_info.positions: below 1; give"),
        ("/kinds", json!(["a", "b"]), "family_info.kind_slots: 1 for 2 in kinds; give"),
        ("/classes/0/effect", json!("maybe"), "classes.0.effect: not known; give"),
        ("/classes/1/name", Json::Null, "classes.1.name: it is missing; give"),
        ("/membership_mode", json!("asked"), "membership_mode: missing or not known; give"),
        ("/membership_mode", json!("on_request"), "rules.ask_within: it is missing beside"),
        ("/rules/extra_ratio", json!(0.1), "rules.look_back: it is missing beside"),
        ("/policy_limits/retry_after", json!(true), "policy_limits.max_retry_after: it is missing beside"),
        ("/report/how", json!("rumour"), "report.how: missing or not known; give"),
    ] {
        let error = parse_settings(&with_value(path, value)).expect_err(path);
        assert!(error.starts_with(message), "{error}");
    }
    assert!(parse_settings(&json!([])).is_err());
}
