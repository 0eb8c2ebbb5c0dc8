//! The program as a user runs it: days end to end, settings with their errors, schemas as published.

use std::path::Path;
use std::process::{Command, Output};

fn lemontide(args: &[&str]) -> Output {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    Command::new(env!("CARGO_BIN_EXE_lemontide")).args(args).current_dir(root).output().expect("it runs")
}

fn text(output: &Output) -> String {
    let of = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    of(&output.stdout) + &of(&output.stderr)
}

#[test]
fn a_short_day_is_clean() {
    let output = lemontide(&["day", "run", "days/short.json"]);
    assert!(output.status.success(), "{}", text(&output));
    assert!(text(&output).contains("none 0") && text(&output).contains("two 0"), "{}", text(&output));
}

#[test]
fn a_short_day_with_gossip_and_a_liar_is_clean() {
    let folder = tempfile::tempdir().expect("a folder is to be had");
    let keep = folder.path().to_string_lossy().into_owned();
    let output = lemontide(&["day", "run", "days/gossip-short.json", "--keep", &keep]);
    assert!(output.status.success(), "{}", text(&output));
    let tap = std::fs::read_to_string(folder.path().join("controller-0.tap")).expect("it is there");
    assert!(tap.contains("\"what\":\"gossip\""), "datagrams left");
    let output = lemontide(&["gossip", "127.0.0.1:1"]);
    assert!(!output.status.success() && text(&output).contains("is it a controller"), "{}", text(&output));
}

#[test]
fn a_fault_made_on_purpose_is_found_and_named() {
    let output = lemontide(&["day", "run", "days/quick-errors.json", "--fault", "duplicates"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(text(&output).contains("reached") && text(&output).contains("twice"), "{}", text(&output));
    let output = lemontide(&["day", "run", "days/quick-errors.json", "--fault", "swallows"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(text(&output).contains("no answer"), "{}", text(&output));
}

#[test]
fn every_day_and_the_example_settings_are_valid() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let days = std::fs::read_dir(root.join("days")).expect("the days are there");
    for day in days.flatten() {
        let path = day.path();
        let output = lemontide(&["check", "--day", &path.to_string_lossy()]);
        assert!(output.status.success(), "{}", text(&output));
    }
    let output = lemontide(&["check", "deploy/front.json"]);
    assert!(output.status.success(), "{}", text(&output));
}

#[test]
fn wrong_settings_are_named_by_file_path_and_remedy() {
    let folder = tempfile::tempdir().expect("a folder is to be had");
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let good = std::fs::read_to_string(root.join("deploy/front.json")).expect("the example is there");
    let file = folder.path().join("front.json");
    let name = file.to_string_lossy().into_owned();
    for (from, to, path, remedy) in [
        ("\"me\": 0", "\"me\": 9", "me", "count from 0"),
        ("\"most\": 4", "\"most\": \"4\"", "shots.most", "schema"),
        ("\"cut_off_s\": 3", "\"cut_off_s\": 0.1", "lanes[0].latency_goal_s", "lower it"),
        ("\"zone\"", "\"zones\"", "zones", "schema"),
    ] {
        assert!(good.contains(from), "{from}");
        std::fs::write(&file, good.replacen(from, to, 1)).expect("it can be written");
        let output = lemontide(&["check", &name]);
        let said = text(&output);
        assert_eq!(output.status.code(), Some(1), "{said}");
        assert!(said.contains(&name) && said.contains(path) && said.contains(remedy), "{said}");
    }
    let output = lemontide(&["front", "--settings", "/nowhere.json"]);
    assert!(text(&output).contains("/nowhere.json"), "{}", text(&output));
}

#[test]
fn the_schemas_are_as_published() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    for name in ["front", "day", "list", "wish", "answer"] {
        let published =
            std::fs::read_to_string(root.join(format!("schema/{name}.json"))).expect("it is there");
        let printed = lemontide(&["schema", name]);
        let same = String::from_utf8_lossy(&printed.stdout) == published;
        assert!(same, "{name}: run `lemontide schema --into schema`");
    }
}
