//! The program as a user runs it: whole days, errors in settings, the published schemas, and the process under signals.

use std::path::Path;
use std::process::{Command, Output};

/// Runs the program in the root folder of the workspace.
fn lemontide(args: &[&str]) -> Output {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    Command::new(env!("CARGO_BIN_EXE_lemontide")).args(args).current_dir(root).output().expect("it runs")
}

/// What the program printed to standard output and standard error.
fn text(output: &Output) -> String {
    let decode = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    decode(&output.stdout) + &decode(&output.stderr)
}

#[test]
fn a_short_day_is_clean() {
    let output = lemontide(&["day", "run", "days/short.json"]);
    assert!(output.status.success(), "{}", text(&output));
    assert!(text(&output).contains("none 0") && text(&output).contains("two 0"), "{}", text(&output));
}

#[test]
fn a_short_day_with_gossip_and_a_liar_is_clean() {
    let folder = tempfile::tempdir().expect("a folder can be created");
    let keep = folder.path().to_string_lossy().into_owned();
    let output = lemontide(&["day", "run", "days/gossip-short.json", "--keep", &keep]);
    assert!(output.status.success(), "{}", text(&output));
    let tap = std::fs::read_to_string(folder.path().join("controller-0.tap")).expect("it exists");
    assert!(tap.contains("\"what\":\"gossip\""), "gossip was sent");
    let output = lemontide(&["gossip", "127.0.0.1:1"]);
    assert!(!output.status.success() && text(&output).contains("is it a controller"), "{}", text(&output));
}

#[test]
fn an_injected_fault_is_found_and_named() {
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
    let days = std::fs::read_dir(root.join("days")).expect("the folder of days exists");
    for day in days.flatten() {
        let path = day.path();
        let output = lemontide(&["check", "--day", &path.to_string_lossy()]);
        assert!(output.status.success(), "{}", text(&output));
    }
    let output = lemontide(&["check", "deploy/front.json"]);
    assert!(output.status.success(), "{}", text(&output));
}

#[test]
fn errors_in_settings_name_the_file_the_path_and_the_remedy() {
    let folder = tempfile::tempdir().expect("a folder can be created");
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let valid = std::fs::read_to_string(root.join("deploy/front.json")).expect("the example exists");
    let file = folder.path().join("front.json");
    let name = file.to_string_lossy().into_owned();
    for (from, to, path, remedy) in [
        ("\"me\": 0", "\"me\": 9", "me", "count from 0"),
        ("\"most\": 4", "\"most\": \"4\"", "shots.most", "schema"),
        ("\"cut_off_s\": 3", "\"cut_off_s\": 0.1", "lanes[0].latency_goal_s", "lower it"),
        ("\"zone\"", "\"zones\"", "zones", "schema"),
    ] {
        assert!(valid.contains(from), "{from}");
        std::fs::write(&file, valid.replacen(from, to, 1)).expect("it can be written");
        let output = lemontide(&["check", &name]);
        let printed = text(&output);
        assert_eq!(output.status.code(), Some(1), "{printed}");
        assert!(printed.contains(&name) && printed.contains(path) && printed.contains(remedy), "{printed}");
    }
    let output = lemontide(&["front", "--settings", "/nowhere.json"]);
    assert!(text(&output).contains("/nowhere.json"), "{}", text(&output));
}

#[test]
fn the_schemas_are_as_published() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    for name in ["front", "day", "list", "wish", "answer"] {
        let published = std::fs::read_to_string(root.join(format!("schema/{name}.json"))).expect("it exists");
        let printed = lemontide(&["schema", name]);
        let is_same = String::from_utf8_lossy(&printed.stdout) == published;
        assert!(is_same, "{name}: run `lemontide schema --into schema`");
    }
}

/// On SIGHUP the process ignores an incomplete configuration file and connects to a new address of the journal service. On
/// SIGTERM it ends with success.
#[test]
fn serve_handles_the_signals_of_the_platform() {
    use lemontide_standin::stub_platform::{settings, PlatformConnection, StubJournal};
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let folder = tempfile::tempdir().expect("a folder");
        let file = folder.path().join("config.json");
        let (old_journal, new_journal) =
            (StubJournal::start().await.expect("a port"), StubJournal::start().await.expect("a port"));
        let free = std::net::TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
        let listen = free.local_addr().expect("it is bound");
        drop(free);
        let config = |journal: &StubJournal| {
            serde_json::json!({"listen": listen, "seed": "1", "settings": settings(),
                "journal": journal.address().expect("it is bound").to_string()})
            .to_string()
        };
        std::fs::write(&file, config(&old_journal)).expect("written");
        let mut serve = tokio::process::Command::new(env!("CARGO_BIN_EXE_lemontide"))
            .arg("serve")
            .env("RELAY_CONFIG", &file)
            .env("RELAY_LISTEN", listen.to_string())
            .kill_on_drop(true)
            .spawn()
            .expect("it starts");
        let pid = nix::unistd::Pid::from_raw(serve.id().expect("it runs") as i32);
        let (_reader, last_position) = old_journal.accept_reader().await.expect("it connects to the journal");
        assert_eq!(last_position, 0);
        std::fs::write(&file, &config(&new_journal)[..20]).expect("written");
        nix::sys::signal::kill(pid, nix::sys::signal::Signal::SIGHUP).expect("sent");
        let mut viewer = PlatformConnection::connect(listen).await.expect("it continues to serve");
        viewer.send(1, lemontide_platform::codec::Body::Test).await.expect("sent");
        viewer.receive().await.expect("it answers a test although the file is incomplete");
        std::fs::write(&file, config(&new_journal)).expect("written");
        nix::sys::signal::kill(pid, nix::sys::signal::Signal::SIGHUP).expect("sent");
        new_journal.accept_reader().await.expect("it connects to the new address");
        nix::sys::signal::kill(pid, nix::sys::signal::Signal::SIGTERM).expect("sent");
        let ended = tokio::time::timeout(lemontide_standin::stub_platform::WAIT_TIMEOUT, serve.wait()).await;
        let ended = ended.expect("it ends in time").expect("its status is known");
        assert!(ended.success(), "{ended}");
    });
}

#[test]
fn serve_without_its_configuration_names_what_is_missing() {
    let out = std::process::Command::new(env!("CARGO_BIN_EXE_lemontide"))
        .arg("serve")
        .env_remove("RELAY_CONFIG")
        .output()
        .expect("it runs");
    let errors = String::from_utf8_lossy(&out.stderr);
    assert!(!out.status.success() && errors.contains("RELAY_CONFIG"), "{errors}");
}

/// Guards against a controller that ignores an invalid setting and serves with a default instead.
#[test]
fn serve_names_a_setting_that_it_can_not_use() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("config.json");
    for (pointer, value, expected) in [
        (
            "/family_info/rung_kb",
            serde_json::json!("many"),
            "config.json: at settings.family_info.rung_kb: no list",
        ),
        (
            "/policy_limits/dial_timeout",
            serde_json::json!(0),
            "settings.policy_limits.dial_timeout: missing or not",
        ),
    ] {
        let mut settings = lemontide_standin::stub_platform::settings();
        *settings.pointer_mut(pointer).expect("it exists") = value;
        let config =
            serde_json::json!({"listen": "127.0.0.1:0", "journal": "127.0.0.1:9", "settings": settings});
        std::fs::write(&file, config.to_string()).expect("written");
        let mut serve = std::process::Command::new(env!("CARGO_BIN_EXE_lemontide"));
        let out = serve
            .arg("serve")
            .env("RELAY_CONFIG", &file)
            .env_remove("RELAY_LISTEN")
            .output()
            .expect("it runs");
        let errors = String::from_utf8_lossy(&out.stderr);
        assert!(!out.status.success() && errors.contains(expected), "{errors}");
    }
}

/// Guards against a stopping process that ends before its writer task has sent the last answer, so that the viewer never
/// gets its final answer.
#[test]
fn the_last_answer_before_a_stop_reaches_its_viewer() {
    use lemontide_platform::codec::{cause, Body, RequestDetails, SetUp};
    use lemontide_standin::stub_platform::{settings, PlatformConnection, StubJournal};
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let folder = tempfile::tempdir().expect("a folder");
        let file = folder.path().join("config.json");
        let streamer = tokio::net::TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
        let journal = StubJournal::start().await.expect("a port");
        let free = std::net::TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
        let listen = free.local_addr().expect("it is bound");
        drop(free);
        let server = serde_json::json!({"id": "s0", "addr": streamer.local_addr().expect("bound").to_string(),
            "zone": "a", "kind": "std", "cell": 0, "state": "in_service", "weight": 1, "started_ms": 0});
        let config = serde_json::json!({"listen": listen, "seed": "1", "settings": settings(),
            "journal": journal.address().expect("it is bound").to_string(),
            "known": {"pos": 1, "entries": [{"pos": 1, "hosts": {"full": true, "servers": [server]}}]}});
        std::fs::write(&file, config.to_string()).expect("written");
        let mut serve = tokio::process::Command::new(env!("CARGO_BIN_EXE_lemontide"))
            .arg("serve")
            .env("RELAY_CONFIG", &file)
            .env("RELAY_LISTEN", listen.to_string())
            .kill_on_drop(true)
            .spawn()
            .expect("it starts");
        let pid = nix::unistd::Pid::from_raw(serve.id().expect("it runs") as i32);
        let mut viewer = PlatformConnection::connect(listen).await.expect("it serves");
        let set_up = SetUp {
            class: "paid".into(),
            tenant: "acme".into(),
            title: "t".into(),
            wait_ms: 60_000,
            details: Some(RequestDetails {
                first_cell: 0,
                replicas: 1,
                max_rung: 1,
                is_retry: false,
                playing_at: None,
            }),
            ..SetUp::default()
        };
        viewer.send(7, Body::SetUp(set_up)).await.expect("sent");
        let mut streamer_link =
            PlatformConnection::accept(&streamer).await.expect("it connects").into_background();
        assert_eq!(streamer_link.receive().await.expect("the attempt").session, 7);
        nix::sys::signal::kill(pid, nix::sys::signal::Signal::SIGTERM).expect("sent");
        // Longer than a stopping process waits without pending requests: only this request keeps it running.
        tokio::time::sleep(std::time::Duration::from_millis(1600)).await;
        streamer_link.send(7, Body::release(cause::ERROR)).await.expect("sent");
        let answer = viewer.receive().await.expect("the final answer, before the process ends");
        assert_eq!(
            answer.body,
            Body::release(cause::FAILED),
            "an at-most-once request whose attempt can have run"
        );
        let ended = tokio::time::timeout(lemontide_standin::stub_platform::WAIT_TIMEOUT, serve.wait()).await;
        assert!(ended.expect("it ends in time").expect("its status is known").success());
    });
}

#[test]
fn logs_of_requests_are_joined_by_session() {
    let folder = tempfile::tempdir().expect("a folder");
    let line = |session: &str, fields: &str| {
        format!("0.1 {{\"target\":\"request\",\"session\":\"{session}\"{fields}}}\n")
    };
    let plays_fields =
        ",\"outcome\":\"Plays\",\"wait_ms\":100,\"decided_ms\":1.0,\"begun_ms\":2.0,\"written_ms\":";
    let end = |session: &str, written_ms: &str| line(session, &format!("{plays_fields}{written_ms}"));
    let first = [line("a", ""), end("a", "50.0"), line("b", ""), "no json {\n".into()].concat();
    let second = [end("c", "50.0"), end("c", "60.0"), end("d", "101.0")].concat();
    std::fs::write(folder.path().join("n0.log"), first).expect("written");
    std::fs::write(folder.path().join("n1.log"), second).expect("written");
    let run = |logs: &std::path::Path| {
        let output =
            std::process::Command::new(env!("CARGO_BIN_EXE_lemontide")).arg("requests").arg(logs).output();
        let output = output.expect("it runs");
        (output.status.code(), String::from_utf8_lossy(&output.stdout).into_owned())
    };
    let (code, printed) = run(folder.path());
    assert_eq!(code, Some(1), "{printed}");
    for expected in
        ["b  no end: ", "c  more than one end: 2", "d  an end after its time: ", "4 requests, 3 wrong"]
    {
        assert!(printed.contains(expected), "{expected} in {printed}");
    }
    assert!(!printed.contains("a  "), "{printed}");
    std::fs::write(folder.path().join("correct"), end("a", "50.0")).expect("written");
    assert_eq!(run(&folder.path().join("correct")).0, Some(0));
}
