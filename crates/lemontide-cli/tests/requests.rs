//! `lemontide requests` on logs that the tests write.

use std::process::Command;

/// Runs the command on this log. Returns whether it exits with 0, and what it prints.
fn run_on_log(log: &str) -> (bool, String) {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("n0.log");
    std::fs::write(&file, log).expect("written");
    let run =
        Command::new(env!("CARGO_BIN_EXE_lemontide")).arg("requests").arg(&file).output().expect("it runs");
    (run.status.success(), String::from_utf8_lossy(&run.stdout).into_owned())
}

/// The log line of a request that ends with a playing session.
fn request_end(session: u64) -> String {
    format!(
        r#"0.1 {{"target":"request","session":"{session:016x}","outcome":"Plays","wait_ms":100,"written_ms":9.5}}"#
    )
}

/// The log line of a session that ends by this cause after so many milliseconds of playing.
fn session_end(session: u64, cause: u8, playing_ms: f64) -> String {
    format!(
        r#"0.2 {{"target":"streamers","session":"{session:016x}","streamer":"s1","cause":{cause},"playing_ms":{playing_ms}}}"#
    )
}

#[test]
fn sessions_that_their_viewers_end_at_once_are_counted_by_streamer() {
    let log = [
        request_end(1),
        session_end(1, 31, 0.4),
        request_end(2),
        session_end(2, 31, 250.0),
        request_end(3),
        session_end(3, 16, 0.1),
    ]
    .join("\n");
    let (succeeds, printed) = run_on_log(&log);
    assert!(succeeds, "{printed}");
    assert!(
        printed.contains("2 sessions ended by their viewers, 1 within 250 ms of their answer\n"),
        "{printed}"
    );
    let row: Vec<&str> = printed.lines().last().expect("a row").split_whitespace().collect();
    assert_eq!(row, ["s1", "2", "1"]);
}

#[test]
fn a_request_without_an_end_is_wrong() {
    let read = r#"0.1 {"target":"request","session":"0000000000000001","message":"read"}"#;
    let (succeeds, printed) = run_on_log(read);
    assert!(!succeeds && printed.contains("no end"), "{printed}");
}
