//! `lemontide requests` on logs that are written here.

use std::process::Command;

fn told(log: &str) -> (bool, String) {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("n0.log");
    std::fs::write(&file, log).expect("written");
    let run =
        Command::new(env!("CARGO_BIN_EXE_lemontide")).arg("requests").arg(&file).output().expect("it runs");
    (run.status.success(), String::from_utf8_lossy(&run.stdout).into_owned())
}

fn end(session: u64) -> String {
    format!(
        r#"0.1 {{"target":"request","session":"{session:016x}","outcome":"Plays","wait_ms":100,"written_ms":9.5}}"#
    )
}

fn ended(session: u64, cause: u8, playing_ms: f64) -> String {
    format!(
        r#"0.2 {{"target":"streamers","session":"{session:016x}","streamer":"s1","cause":{cause},"playing_ms":{playing_ms}}}"#
    )
}

#[test]
fn sessions_that_their_viewers_end_at_once_are_counted_by_streamer() {
    let log = [end(1), ended(1, 31, 0.4), end(2), ended(2, 31, 250.0), end(3), ended(3, 16, 0.1)].join("\n");
    let (is_well, told) = told(&log);
    assert!(is_well, "{told}");
    assert!(told.contains("2 sessions ended by their viewers, 1 within 250 ms of their answer\n"), "{told}");
    let row: Vec<&str> = told.lines().last().expect("a row").split_whitespace().collect();
    assert_eq!(row, ["s1", "2", "1"]);
}

#[test]
fn a_request_without_an_end_is_wrong() {
    let read = r#"0.1 {"target":"request","session":"0000000000000001","message":"read"}"#;
    let (is_well, told) = told(read);
    assert!(!is_well && told.contains("no end"), "{told}");
}
