//! The drill's messages, from a batch of events to the reply.

#[path = "../src/wire.rs"]
mod wire;

use serde_json::{json, Value as Json};
use wire::Instances;

/// Settings of the first message: a live class with at most two sessions a title, and a class set up at most once
/// whose lowest rung is 1.
fn config() -> Json {
    let class = |name: &str, effect: &str| json!({"name": name, "worth": 1, "aim": 1, "hard_limit": 3, "effect": effect});
    json!({
        "me": 0, "peers_total": 1, "zone": "a", "kinds": ["std"], "weight_source": "nominal",
        "membership_mode": "on_request", "classes": [class("live", "read_like"), class("paid", "non_idempotent")],
        "family_info": {"kind_slots": [300], "positions": 1, "lowest_rung": [0, 1], "top_by_class": [2, 2],
            "class_scale": [1, 1], "class_seats": [2, 0], "live": [true, false], "join": 0.2,
            "rung_kb": [100, 200, 400], "worth_by_rung": [0.3, 0.6, 1], "kb_per_weight": 1e6, "racks": 1,
            "rack_link_kb": 1e7, "seen_after": 1, "told_every": 3},
        "policy_limits": {"try_limit": 3, "retry_after": true, "max_retry_after": 0.5},
        "report": {"how": "answers", "names": ["x0"]},
        "rules": {"ask_within": 10, "cold": 0, "cold_from": 1, "fall_multiple": 2, "fall": 1}
    })
}

/// The actions of the instance for these events, each with its name on the wire.
fn run(instances: &mut Instances, time: f64, happened: Json) -> Vec<(String, Json)> {
    let batch = json!({"time": time, "parts": [{"controller": 0, "happened": happened}]});
    let reply = instances.run_batch(batch.to_string().as_bytes()).expect("a batch");
    let output = reply.pointer("/parts/0/output").and_then(Json::as_array).cloned().unwrap_or_default();
    let action = |action: &Json| action.as_object().and_then(|action| action.clone().into_iter().next());
    output.iter().filter_map(action).collect()
}

fn start(instances: &mut Instances) -> Vec<(String, Json)> {
    let members = json!([{"streamer": "s0", "site": "a", "sku": "std", "slot_no": 0, "stage_state": "IN", "capacity_hint": 1}]);
    run(
        instances,
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
fn a_list_on_request_is_requested_and_requested_again_when_lost() {
    let mut instances = Instances::default();
    assert_eq!(names(&start(&mut instances)), ["Schedule"], "the first list was not requested");
    let tick = |instances: &mut Instances, time| run(instances, time, json!([{"Reminder": {"nonce": 1}}]));
    let first = tick(&mut instances, 100.5);
    assert!(first.contains(&("Track".to_owned(), json!({"want": true}))), "{first:?}");
    assert!(!names(&tick(&mut instances, 101.0)).contains(&"Track"), "requested once");
    run(&mut instances, 101.1, json!([{"Registry": {"page": 0, "form": "lost", "index": 0}}]));
    let again = (1..20).any(|i| names(&tick(&mut instances, 101.1 + 0.3 * f64::from(i))).contains(&"Track"));
    assert!(again);
    run(&mut instances, 114.0, json!([{"Registry": {"page": 0, "form": "incr", "index": 2}}]));
    let once_more =
        (1..60).any(|i| names(&tick(&mut instances, 114.0 + 0.3 * f64::from(i))).contains(&"Track"));
    assert!(!once_more, "after an answer, changes of the list come by themselves");
}

#[test]
fn full_titles_unusable_rungs_and_titles_without_holders_are_rejected_at_once() {
    let mut instances = Instances::default();
    start(&mut instances);
    let request = |id: u32, class: &str, max_rung: usize, replicas: usize| {
        json!({"Request": {"op_id": id, "priority": class, "entity": "w", "title": "t", "give_up_at": 113.0, "base": 0,
            "span": replicas, "top": max_rung}})
    };
    let accepted = run(&mut instances, 110.0, json!([request(1, "live", 2, 1), request(2, "live", 2, 1)]));
    assert_eq!(names(&accepted), ["Grade", "Assign", "Grade", "Assign"]);
    for (id, class, max_rung, replicas, why) in [
        (3, "live", 2, 1, "the title has its two sessions"),
        (4, "paid", 0, 1, "its screen can show no rung of this class"),
        (5, "paid", 2, 0, "no streamer holds the title"),
    ] {
        let answer = run(&mut instances, 110.0, json!([request(id, class, max_rung, replicas)]));
        assert_eq!(answer, [("SayNo".to_owned(), json!({"op_id": id, "retry_in": 0.5}))], "{why}");
    }
    let paid = run(&mut instances, 110.0, json!([request(6, "paid", 2, 1)]));
    assert!(paid.iter().all(|(name, body)| name != "Grade" || body["level"].as_u64() >= Some(1)), "{paid:?}");
}

#[test]
fn invalid_settings_end_the_run_with_an_error_that_names_them() {
    let mut config = config();
    config["rules"]["fall"] = json!("soon");
    let batch =
        json!({"time": 1, "parts": [{"controller": 0, "happened": [{"Attach": {"config": config}}]}]});
    let error = Instances::default().run_batch(batch.to_string().as_bytes()).expect_err("invalid settings");
    assert!(error.starts_with("Attach: config.rules.fall: not usable; give"), "{error}");
}
