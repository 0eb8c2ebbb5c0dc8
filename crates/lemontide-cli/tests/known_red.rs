//! The list of known failures, `KNOWN-RED.txt`, as `.ci/known-red` reads it for `.ci/run`.

use std::process::Command;

/// The tests of the workspace, as `cargo test -- --list` prints them.
const TESTS: &str = "one: test\nfolder::two: test\nthree: test\nfour: test\nsame: test\nsame: test\n";

/// The tests that the reader prints for this list; none if it rejects the list.
fn read(list: &str) -> Option<String> {
    read_with_messages(list).map(|(tests, _)| tests)
}

/// The tests and the messages that the reader prints for this list; none if it rejects the list.
fn read_with_messages(list: &str) -> Option<(String, String)> {
    let folder = tempfile::tempdir().expect("a folder");
    let (file, all_tests) = (folder.path().join("KNOWN-RED.txt"), folder.path().join("tests"));
    std::fs::write(&file, list).expect("written");
    std::fs::write(&all_tests, TESTS).expect("written");
    let reader = concat!(env!("CARGO_MANIFEST_DIR"), "/../../.ci/known-red");
    let run = Command::new("bash").arg(reader).arg(&file).arg(&all_tests).output().expect("it runs");
    let tests = String::from_utf8_lossy(&run.stdout).into_owned();
    assert!(run.status.success() || !run.stderr.is_empty(), "a rejection has a message");
    let messages = String::from_utf8_lossy(&run.stderr).into_owned();
    run.status.success().then_some((tests, messages))
}

#[test]
fn tests_can_be_listed_one_line_a_case() {
    assert_eq!(read("").as_deref(), Some(""));
    assert_eq!(read("\n  \n").as_deref(), Some(""));
    let list = "one | cargo test one, seed 7 | what was seen, in words | 35\n\
                folder::two | another command | another fault | 36\nthree | a | b | 1\n\
                one | cargo test one, seed 8 | another case of the first | 35\nfour | a | b | 1";
    assert_eq!(read(list).as_deref(), Some("one\nfolder::two\nthree\nfour\n"), "each test once");
}

#[test]
fn a_repeated_line_two_seeds_a_malformed_line_and_an_unknown_test_are_rejected() {
    let malformed = [
        "one | c | s | 1\none | c | s | 1",
        "one | soak --seed 1, soak --seed 2 | s | 1",
        "one",
        "one | c",
        "one | c | 1",
        "one |  | s | 1",
        "one | c |  | 1",
        "one | c | s | ",
        "one | c | s | soon",
        "one | c | s | more | 1",
        "one two | c | s | 1",
    ];
    for list in malformed {
        assert_eq!(read(list), None, "{list}");
    }
    for list in ["none | c | s | 1\n", "on | c | s | 1\n", "two | c | s | 1\n", "same | c | s | 1\n"] {
        assert_eq!(read(list), None, "{list}");
    }
}

#[test]
fn a_day_of_the_bench_is_printed_and_excludes_no_test() {
    let list =
        "day herd+mass | lbreal SITE --rough herd+mass --seed 3482657755 | one lost | 42\none | c | s | 1\n";
    let (tests, messages) = read_with_messages(list).expect("well formed");
    assert_eq!(tests, "one\n");
    assert_eq!(messages, "known red: day herd+mass, seed 3482657755, not played here\n");
}

#[test]
fn a_day_without_its_command_or_seed_or_that_is_listed_twice_is_rejected() {
    let day = "day herd+mass | lbreal SITE --rough herd+mass --seed 1 | s | 1\n";
    assert!(read(day).is_some());
    let malformed = [
        day.repeat(2),
        "day herd+mass | lbreal SITE --rough herd+mass --seed 1 and --seed 2 | s | 1".to_owned(),
        "day herd+mass | lbreal SITE --rough herd+mass | s | 1".to_owned(),
        "day herd+mass | lbreal SITE --rough roll+mass --seed 1 | s | 1".to_owned(),
        "day herd+mass | lbreal SITE --rough herd --seed 1 | s | 1".to_owned(),
        "day herd+mass | lbreal SITE --rough herd+mass --seed any | s | 1".to_owned(),
        "day herd+mass | lbreal SITE --rough herd+mass --seed 1 | s | ".to_owned(),
        "day herd+mass | lbreal SITE --rough herd+mass --seed 1 | 1".to_owned(),
        "day | lbreal SITE --rough herd+mass --seed 1 | s | 1".to_owned(),
    ];
    for list in malformed {
        assert_eq!(read(&list), None, "{list}");
    }
}
