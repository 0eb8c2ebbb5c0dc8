//! The list of tests that may fail, as `.ci/run` reads it.

use std::process::Command;

const TESTS: &str = "one: test\nfolder::two: test\nthree: test\nfour: test\nsame: test\nsame: test\n";

/// What the reader prints for this list; none where it refuses it.
fn read(list: &str) -> Option<String> {
    let folder = tempfile::tempdir().expect("a folder");
    let (file, tests) = (folder.path().join("KNOWN-RED.txt"), folder.path().join("tests"));
    std::fs::write(&file, list).expect("written");
    std::fs::write(&tests, TESTS).expect("written");
    let reader = concat!(env!("CARGO_MANIFEST_DIR"), "/../../.ci/known-red");
    let run = Command::new("bash").arg(reader).arg(&file).arg(&tests).output().expect("it runs");
    let told = String::from_utf8_lossy(&run.stdout).into_owned();
    assert!(run.status.success() || !run.stderr.is_empty(), "a refusal says why");
    run.status.success().then_some(told)
}

#[test]
fn up_to_three_tests_may_be_named() {
    assert_eq!(read("").as_deref(), Some(""));
    assert_eq!(read("\n  \n").as_deref(), Some(""));
    let list = "one | a cause, in words | 35\nfolder::two | another | 36\nthree | third | 1";
    assert_eq!(read(list).as_deref(), Some("one\nfolder::two\nthree\n"));
}

#[test]
fn a_fourth_a_malformed_line_and_what_names_no_test_are_refused() {
    let four = "one | c | 1\nfolder::two | c | 1\nthree | c | 1\nfour | c | 1\n";
    for list in [four, "one", "one | c", "one |  | 1", "one | c | ", "one | c | soon", "one two | c | 1"] {
        assert_eq!(read(list), None, "{list}");
    }
    for list in ["none | c | 1\n", "on | c | 1\n", "two | c | 1\n", "same | c | 1\n"] {
        assert_eq!(read(list), None, "{list}");
    }
}
