//! Races between two events in a running controller. The tests force them: they stop the process by a signal, so that
//! it finds both events on its sockets at the same time when it continues.

mod common;

use common::{answer, list_entry, set_up, spawn, spawn_logging, wait_for_test, RunningController};
use lemontide_platform::codec::{cause, Body, SetUp};
use lemontide_standin::stub_platform::{PlatformConnection, StubJournal, WAIT_TIMEOUT};
use nix::sys::signal::Signal;
use serde_json::{json, Value as Json};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

/// Two thousand requests whose streamers refuse them while the process is stopped, for longer than the tenth of a
/// second after which an attempt counts; half of their viewers have closed or cancelled by then. No further attempt
/// begins for those, and one begins for each of the others.
#[tokio::test]
async fn no_attempt_begins_for_a_viewer_that_has_left() {
    const ROUNDS: u64 = 40;
    const REQUESTS_PER_ROUND: u64 = 50;
    let mut controller = RunningController::start(3, |_| {}).await;
    let mut late_attempts = 0;
    let (mut left, mut stayed) = (0, 0);
    for round in 0..ROUNDS {
        let mut viewers: BTreeMap<u64, PlatformConnection> = BTreeMap::new();
        let mut attempts: BTreeMap<u64, (usize, usize)> = BTreeMap::new();
        for n in 1..=REQUESTS_PER_ROUND {
            let mut viewer = controller.viewer().await;
            let session = round * REQUESTS_PER_ROUND + n;
            viewer.send(session, set_up(if n % 2 == 0 { "free" } else { "paid" }, None)).await.expect("sent");
            viewers.insert(session, viewer);
        }
        while attempts.len() < REQUESTS_PER_ROUND as usize {
            let (at, connection, message) = controller.next_message().await.expect("sent on");
            attempts.insert(message.session, (at, connection));
        }
        controller.pause().await;
        let mut departed = BTreeSet::new();
        for session in attempts.keys().copied() {
            match session % 4 {
                0 => drop(viewers.remove(&session)),
                1 => {
                    let viewer = viewers.get_mut(&session).expect("not removed");
                    viewer.send(session, Body::release(cause::NORMAL)).await.expect("sent");
                }
                _ => continue,
            }
            departed.insert(session);
        }
        for (session, at) in &attempts {
            controller.streamer_sends(*at, *session, Body::release(cause::NOT_SENT)).await;
        }
        sleep(Duration::from_millis(150)).await;
        controller.resume();
        let mut retried = BTreeSet::new();
        while retried.len() < (REQUESTS_PER_ROUND as usize - departed.len()) {
            let (at, connection, message) =
                controller.next_message().await.expect("requests of remaining viewers are sent elsewhere");
            match message.body {
                Body::SetUp(_) if departed.contains(&message.session) => late_attempts += 1,
                Body::SetUp(_) => {
                    retried.insert(message.session);
                    controller.streamer_sends((at, connection), message.session, answer()).await;
                    controller
                        .streamer_sends((at, connection), message.session, Body::release(cause::NORMAL))
                        .await;
                }
                _ => {}
            }
        }
        while let Some((_, _, message)) = controller.next_message_within(Duration::from_millis(20)).await {
            late_attempts +=
                usize::from(matches!(message.body, Body::SetUp(_)) && departed.contains(&message.session));
        }
        left += departed.len();
        stayed += retried.len();
    }
    println!("{left} viewers left, {stayed} stayed; attempts begun for those who had left: {late_attempts}");
    assert_eq!(late_attempts, 0);
}

/// A streamer that refuses every set-up at once, and reports when it received each.
async fn refuse_all(listener: TcpListener, set_ups: mpsc::Sender<(u64, Instant)>) {
    while let Ok((socket, _)) = listener.accept().await {
        let (set_ups, mut connection) = (set_ups.clone(), PlatformConnection::from_socket(socket));
        tokio::spawn(async move {
            while let Ok(message) = connection.receive().await {
                let answer = match message.body {
                    Body::SetUp(_) => Body::release(cause::NOT_SENT),
                    Body::Test => Body::TestResult { passed: true },
                    _ => continue,
                };
                if matches!(message.body, Body::SetUp(_)) {
                    let _ = set_ups.send((message.session, Instant::now())).await;
                }
                if connection.send(message.session, answer).await.is_err() {
                    return;
                }
            }
        });
    }
}

/// Viewers leave at any moment while streamers refuse their requests at once. When an attempt arrives depends on the
/// machine, but none arrives much later than its viewer's close.
#[tokio::test]
async fn viewers_that_leave_at_random_moments_get_no_late_attempts() {
    const VIEWERS: u64 = 500;
    let controller = RunningController::start(3, |_| {}).await;
    let (set_ups, mut set_up_receiver) = mpsc::channel(VIEWERS as usize * 8);
    let (left, mut left_receiver) = mpsc::channel(VIEWERS as usize);
    let (process, listen) = (controller.process, controller.listen);
    let _kept_alive = (process, controller.journal, controller.folder);
    for streamer in controller.streamers {
        tokio::spawn(refuse_all(streamer.listener, set_ups.clone()));
    }
    for session in 1..=VIEWERS {
        let left = left.clone();
        tokio::spawn(async move {
            // The times depend on the session number alone, so that every run is the same.
            let spread = session.wrapping_mul(0x9e37_79b9_7f4a_7c15);
            sleep(Duration::from_millis(spread >> 54)).await;
            let mut viewer = PlatformConnection::connect(listen).await.expect("connected");
            viewer.send(session, set_up("free", None)).await.expect("sent");
            sleep(Duration::from_micros((spread >> 40) & 0x0fff)).await;
            if session % 2 == 0 {
                let _ = viewer.send(session, Body::release(cause::NORMAL)).await;
                let _ = left.send((session, Instant::now())).await;
                sleep(Duration::from_millis(50)).await;
            } else {
                drop(viewer);
                let _ = left.send((session, Instant::now())).await;
            }
        });
    }
    drop((left, set_ups));
    let mut left_at = BTreeMap::new();
    while let Some((session, at)) = left_receiver.recv().await {
        left_at.insert(session, at);
    }
    assert_eq!(left_at.len(), VIEWERS as usize);
    sleep(Duration::from_millis(1500)).await;
    let (mut all, mut after, mut late, mut very_late) = (0, 0, 0, 0);
    while let Ok((session, at)) = set_up_receiver.try_recv() {
        let since = at.saturating_duration_since(left_at[&session]);
        all += 1;
        after += usize::from(since > Duration::ZERO);
        late += usize::from(since > Duration::from_millis(100));
        very_late += usize::from(since > Duration::from_secs(1));
    }
    println!(
        "{VIEWERS} viewers left, {all} attempts: {after} arrived after that, {late} over 0.1 s, {very_late} over 1 s"
    );
    assert!(all > 0 && very_late == 0);
}

/// A set-up that arrives while the process is stopped is answered within its viewer's time, counted from its arrival.
#[tokio::test]
async fn a_stall_shortens_the_wait_of_requests_received_in_it() {
    let mut controller = RunningController::start(1, |_| {}).await;
    let mut viewer = controller.viewer().await;
    wait_for_test(&mut viewer).await;
    controller.pause().await;
    let Body::SetUp(request) = set_up("paid", None) else { panic!("a set-up") };
    viewer.send(5, Body::SetUp(SetUp { wait_ms: 3000, ..request })).await.expect("sent");
    sleep(Duration::from_millis(1500)).await;
    controller.resume();
    let (_, _, message) = controller.next_message().await.expect("sent on");
    let Body::SetUp(sent) = message.body else { panic!("a set-up") };
    // The measured stall is at most one period of the timer too short.
    assert!(sent.wait_ms <= 3000 - 1500 + 120, "{} ms left", sent.wait_ms);
}

/// The controller finds a streamer's answer and its viewer's close at the same time: the session is released, as it
/// has no viewer.
#[tokio::test]
async fn a_session_whose_answer_crosses_its_viewers_close_is_released() {
    let mut controller = RunningController::start(1, |_| {}).await;
    let mut viewer = controller.viewer().await;
    viewer.send(5, set_up("free", None)).await.expect("sent");
    let (at, connection, _) = controller.next_message().await.expect("sent on");
    controller.pause().await;
    controller.streamer_sends((at, connection), 5, answer()).await;
    drop(viewer);
    sleep(Duration::from_millis(50)).await;
    controller.resume();
    let (_, _, message) = controller.next_message().await.expect("the release");
    assert_eq!((message.session, message.body), (5, Body::release(cause::NORMAL)));
}

/// A set-up arrives on the connection that has been idle for longest, at the moment in which it is to be closed for a
/// new connection. Guards against closing it with the set-up unread, and against dropping its report.
#[tokio::test]
async fn a_set_up_that_crosses_an_idle_close_is_accepted() {
    // Of the 96 descriptors, 96 - 24 - 32 = 40 are for viewers.
    let mut controller = RunningController::start(1, |config| config["limits"]["sockets"] = json!(96)).await;
    let mut viewers = Vec::new();
    for _ in 0..40 {
        let mut viewer = controller.viewer().await;
        wait_for_test(&mut viewer).await;
        viewers.push(viewer);
    }
    for session in 1..=5 {
        controller.pause().await;
        viewers[0].send(session, set_up("free", None)).await.expect("sent");
        let mut newcomer = controller.viewer().await;
        newcomer.send(u64::MAX, Body::Test).await.expect("sent");
        controller.resume();
        let (at, connection, message) = controller.next_message().await.expect("sent on");
        assert_eq!(message.session, session);
        newcomer.receive().await.expect("another connection was closed");
        controller.streamer_sends((at, connection), session, answer()).await;
        assert_eq!(viewers[0].receive().await.expect("answered on the same connection").body, answer());
        controller.streamer_sends((at, connection), session, Body::release(cause::NORMAL)).await;
        viewers[0].receive().await.expect("released");
        viewers.remove(1);
        let answered = viewers.remove(0);
        viewers.push(newcomer);
        viewers.push(answered);
        for viewer in &mut viewers[..] {
            wait_for_test(viewer).await;
        }
    }
}

/// Idle viewers use all descriptors that they can get while the journal service can't be reached. The connections to
/// the journal service and to streamers have descriptors of their own.
#[tokio::test]
async fn idle_viewers_use_up_no_descriptors_of_the_list_or_of_set_ups() {
    let unreachable = TcpListener::bind(("127.0.0.1", 0)).await.expect("a free port");
    let journal_address = unreachable.local_addr().expect("bound");
    drop(unreachable);
    let mut controller = RunningController::start(1, |config| {
        config["limits"]["sockets"] = json!(96);
        config["journal"] = json!(journal_address.to_string());
    })
    .await;
    let mut idle = Vec::new();
    for n in 0..160 {
        let mut viewer = controller.viewer().await;
        // Half of them send one message, the others nothing.
        if n % 2 == 0 {
            wait_for_test(&mut viewer).await;
        }
        idle.push(viewer);
    }
    let mut viewer = controller.viewer().await;
    viewer.send(7, set_up("free", None)).await.expect("sent");
    let (at_streamer, connection, message) = controller.next_message().await.expect("sent on");
    assert_eq!(message.session, 7);
    controller.streamer_sends((at_streamer, connection), 7, answer()).await;
    assert_eq!(viewer.receive().await.expect("answered").body, answer());
    let journal = StubJournal::bind(journal_address).await.expect("the port is free");
    let (mut reader, last) = journal.accept_reader().await.expect("requested in spite of the idle viewers");
    assert_eq!(last, 1);
    let draining = list_entry(0, &controller.streamers[0].listener, "terminating");
    let event = json!({"pos": 2, "hosts": {"full": false, "servers": [draining]}});
    reader.write_all(format!("{event}\n").as_bytes()).await.expect("sent");
    let drained = async {
        for session in 100.. {
            viewer.send(session, set_up("free", None)).await.expect("sent");
            tokio::select! {
                message = viewer.receive() => {
                    assert!(matches!(message.expect("answered").body, Body::Release { .. }));
                    return;
                }
                sent = controller.next_message() => {
                    let (at, connection, message) = sent.expect("sent on");
                    controller.streamer_sends((at, connection), message.session, answer()).await;
                }
            }
            viewer.receive().await.expect("answered");
        }
    };
    timeout(WAIT_TIMEOUT, drained).await.expect("the drain takes effect");
    assert!(controller.process.try_wait().expect("status").is_none(), "still running");
}

/// Guards against viewers that send messages without end and so keep the loop from all sources that its `select!` polls
/// after them.
#[tokio::test]
async fn a_flood_delays_neither_signals_nor_the_list_nor_other_viewers() {
    let controller = RunningController::start(1, |_| {}).await;
    let (stop, _) = tokio::sync::broadcast::channel::<()>(1);
    let mut floods = Vec::new();
    for _ in 0..8 {
        let socket = tokio::net::TcpStream::connect(controller.listen);
        let socket = match socket.await {
            Ok(socket) => socket,
            Err(_) => PlatformConnection::connect(controller.listen).await.expect("connected").into_socket(),
        };
        let mut stopped = stop.subscribe();
        let (mut read, mut write) = socket.into_split();
        floods.push(tokio::spawn(async move {
            // A test message, each of which must be answered, over and over.
            let test = [&[0, 13, 52][..], &[0, 0, 0, 0, 0, 0, 0, 9], &[92, 0, 1, 0]].concat().repeat(500);
            let mut sink = tokio::io::sink();
            tokio::select! {
                _ = tokio::io::copy(&mut read, &mut sink) => {}
                () = async { while write.write_all(&test).await.is_ok() {} } => {}
                _ = stopped.recv() => {}
            }
        }));
    }
    let mut other = controller.viewer().await;
    wait_for_test(&mut other).await;
    let moved = StubJournal::start().await.expect("a port");
    let mut config = controller.config.clone();
    config["journal"] = json!(moved.address().expect("bound").to_string());
    std::fs::write(controller.folder.path().join("config.json"), config.to_string()).expect("written");
    controller.signal(Signal::SIGHUP);
    moved.accept_reader().await.expect("requested at the new address");
    controller.signal(Signal::SIGTERM);
    assert!(controller.wait_for_exit().await.success());
    let _ = stop.send(());
}

/// A session is released at the moment in which its viewer's connection closes. Guards against a release that is
/// written to that connection and lost.
#[tokio::test]
async fn a_release_that_crosses_a_close_is_sent_on_another_connection() {
    let mut controller = RunningController::start(1, |_| {}).await;
    let (mut first, mut other) = (controller.viewer().await, controller.viewer().await);
    let mut at = (0, 0);
    for (session, viewer) in [(1, &mut first), (2, &mut other)] {
        viewer.send(session, set_up("free", None)).await.expect("sent");
        let (streamer, connection, message) = controller.next_message().await.expect("sent on");
        assert_eq!(message.session, session);
        at = (streamer, connection);
        controller.streamer_sends(at, session, answer()).await;
        assert_eq!(viewer.receive().await.expect("answered").body, answer());
    }
    controller.pause().await;
    drop(first);
    controller.streamer_sends(at, 1, Body::release(cause::NORMAL)).await;
    sleep(Duration::from_millis(150)).await;
    controller.resume();
    let message = other.receive().await.expect("received on the other connection");
    assert_eq!((message.session, message.body), (1, Body::release(cause::NORMAL)));
}

/// A session ends, at its streamer or by its viewer, before its hand-over reaches the controller that takes it over.
#[tokio::test]
async fn a_session_that_ended_before_it_was_handed_over_is_released_at_once() {
    let mut controller = RunningController::start(1, |_| {}).await;
    let mut viewer = controller.viewer().await;
    viewer.send(1, set_up("free", None)).await.expect("sent");
    let (at, connection, _) = controller.next_message().await.expect("sent on");
    controller.streamer_sends((at, connection), 1, answer()).await;
    viewer.receive().await.expect("answered");
    controller.streamer_sends((at, connection), 8, Body::release(cause::NORMAL)).await;
    viewer.send(9, Body::release(cause::NORMAL)).await.expect("sent");
    // The messages on a connection are read in order, so that the release before this one has been read as well.
    controller.streamer_sends((at, connection), 1, Body::release(cause::NORMAL)).await;
    assert_eq!(viewer.receive().await.expect("released").session, 1);
    for session in [8, 9] {
        viewer.send(session, set_up("free", Some("s0"))).await.expect("sent");
    }
    let message = viewer.receive().await.expect("its streamer ended it");
    assert_eq!((message.session, message.body), (8, Body::release(cause::NORMAL)));
    let (_, _, message) = controller.next_message().await.expect("its viewer ended it");
    assert_eq!((message.session, message.body), (9, Body::release(cause::NORMAL)));
}

/// A class has a deadline that is longer than any fixed time of a stop. Requests that were accepted before the stop are
/// answered, and signals that are repeated or sent together change nothing.
#[tokio::test]
async fn a_stop_waits_for_the_longest_deadline_and_other_signals_change_nothing() {
    let mut controller = RunningController::start(1, |_| {}).await;
    let mut viewer = controller.viewer().await;
    viewer.send(1, set_up("paid", None)).await.expect("sent");
    let (at, connection, _) = controller.next_message().await.expect("sent on");
    for signal in [Signal::SIGTERM, Signal::SIGHUP, Signal::SIGTERM] {
        controller.signal(signal);
    }
    // Longer than the eight seconds after which a stopping process once ended, even if it owed answers.
    sleep(Duration::from_millis(8700)).await;
    controller.streamer_sends((at, connection), 1, Body::release(cause::ERROR)).await;
    assert_eq!(viewer.receive().await.expect("the final answer").body, Body::release(cause::FAILED));
    assert!(controller.wait_for_exit().await.success());
}

/// The process finds an answer and two dozen new requests at the same time: the viewer has the answer before a
/// streamer has any of the requests. A viewer that leaves while its answer waits would never be answered.
#[tokio::test]
async fn an_answer_is_sent_before_any_new_request_is_decided() {
    const ROUNDS: u64 = 8;
    const NEW_REQUESTS: u64 = 24;
    let mut controller = RunningController::start(1, |_| {}).await;
    let mut requesters = Vec::new();
    for _ in 0..4 {
        requesters.push(controller.viewer().await);
    }
    let mut viewer = controller.viewer().await;
    for round in 1..=ROUNDS {
        let session = round * 1000;
        viewer.send(session, set_up("paid", None)).await.expect("sent");
        let (at, connection, message) = controller.next_message().await.expect("sent on");
        assert_eq!(message.session, session);
        controller.pause().await;
        for n in 1..=NEW_REQUESTS {
            let requester = &mut requesters[n as usize % 4];
            requester.send(session + n, set_up("free", None)).await.expect("sent");
        }
        controller.streamer_sends((at, connection), session, answer()).await;
        // When the other ends have written everything, it is in the sockets of the process.
        let written = async {
            while !controller.streamers[at].connections[connection].all_sent() {
                sleep(Duration::from_millis(1)).await;
            }
        };
        timeout(WAIT_TIMEOUT, written).await.expect("written");
        controller.resume();
        let answered = async { viewer.receive().await.expect("answered").session };
        let first = tokio::select! {
            biased;
            session = answered => session,
            message = controller.next_message() => message.expect("sent on").2.session,
        };
        assert_eq!(first, session, "round {round}: a new request was sent on before the answer");
        for _ in 0..NEW_REQUESTS {
            let (at, connection, message) = controller.next_message().await.expect("sent on");
            controller.streamer_sends((at, connection), message.session, answer()).await;
        }
        for n in 1..=NEW_REQUESTS {
            let message = requesters[n as usize % 4].receive().await.expect("answered");
            assert_eq!(message.body, answer());
        }
    }
}

/// Idle connections do not wake the process. The test counts the wake-ups instead of measuring time. With a hundred
/// idle connections the process was once woken up to a thousand times a second, and on a small share of a core that
/// delayed answers.
#[tokio::test]
async fn idle_connections_do_not_wake_the_process() {
    const CONNECTIONS: usize = 100;
    let controller = RunningController::start(1, |_| {}).await;
    let mut idle = Vec::new();
    for _ in 0..CONNECTIONS {
        let mut viewer = controller.viewer().await;
        wait_for_test(&mut viewer).await;
        idle.push(viewer);
        sleep(Duration::from_millis(1)).await;
    }
    let pid = controller.process.id().expect("running");
    let count_wake_ups = || {
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("running");
        let line = status.lines().find_map(|line| line.strip_prefix("voluntary_ctxt_switches:"));
        line.and_then(|n| n.trim().parse::<u64>().ok()).expect("a number")
    };
    let (before, since) = (count_wake_ups(), Instant::now());
    sleep(Duration::from_millis(1500)).await;
    // Counted per second, as this test itself may be delayed; the process's own timer fires ten times a second.
    let (times, seconds) = (count_wake_ups() - before, since.elapsed().as_secs_f64());
    println!("woken {times} times in {seconds:.2} s with {CONNECTIONS} idle connections");
    assert!((times as f64) < 100.0 * seconds, "woken {times} times in {seconds:.2} s");
}

/// One line is logged at the end of each request, with the time of each step.
#[tokio::test]
async fn every_request_is_logged_once() {
    let mut controller = RunningController::start(1, |_| {}).await;
    let log = controller.folder.path().join("log");
    controller.process.kill().await.expect("killed");
    controller.process =
        spawn_logging(controller.folder.path(), &controller.config, controller.listen, Some(&log));
    let mut viewer = controller.viewer().await;
    for session in [1, 2, 3] {
        viewer.send(session, set_up("paid", None)).await.expect("sent");
        let (at, connection, message) = controller.next_message().await.expect("sent on");
        assert_eq!(message.session, session);
        match session {
            1 => controller.streamer_sends((at, connection), 1, answer()).await,
            2 => controller.streamer_sends((at, connection), 2, Body::release(cause::ERROR)).await,
            _ => viewer.send(3, Body::release(cause::NORMAL)).await.expect("sent"),
        }
        if session < 3 {
            viewer.receive().await.expect("answered");
        }
    }
    wait_for_test(&mut viewer).await;
    let lines = || {
        let text = std::fs::read_to_string(&log).unwrap_or_default();
        let lines = text.lines().filter_map(|line| serde_json::from_str::<Json>(line).ok());
        lines.filter(|line| line["target"] == "request").collect::<Vec<_>>()
    };
    let all_logged = async {
        while lines().len() < 3 {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(WAIT_TIMEOUT, all_logged).await.expect("three lines");
    let lines = lines();
    let outcomes: Vec<_> = lines.iter().map(|line| (&line["session"], &line["outcome"])).collect();
    let expected = [("1", "Plays"), ("2", "Failed"), ("3", "ViewerLeft")];
    let expected = expected.map(|(session, outcome)| (json!(format!("{session:0>16}")), json!(outcome)));
    assert_eq!(outcomes, expected.iter().map(|(s, o)| (s, o)).collect::<Vec<_>>());
    for step in ["decided_ms", "begun_ms", "answered_ms", "said_ms", "written_ms"] {
        assert!(lines[0][step].as_f64().is_some_and(|ms| ms >= 0.0), "{step}: {}", lines[0]);
    }
    let order = ["decided_ms", "begun_ms", "answered_ms", "said_ms", "written_ms"];
    let times: Vec<_> = order.iter().map(|step| lines[0][step].as_f64()).collect();
    assert!(times.is_sorted(), "{}", lines[0]);
}

/// A configuration that is half written when SIGHUP comes is read again.
#[tokio::test]
async fn a_half_written_configuration_is_read_again() {
    let controller = RunningController::start(1, |_| {}).await;
    let mut viewer = controller.viewer().await;
    wait_for_test(&mut viewer).await;
    let moved = StubJournal::start().await.expect("a port");
    let mut config = controller.config.clone();
    config["journal"] = json!(moved.address().expect("bound").to_string());
    let (file, text) = (controller.folder.path().join("config.json"), config.to_string());
    controller.journal.accept_reader().await.expect("requested");
    std::fs::write(&file, &text[..text.len() / 2]).expect("written");
    controller.signal(Signal::SIGHUP);
    wait_for_test(&mut viewer).await;
    std::fs::write(&file, &text).expect("written");
    moved.accept_reader().await.expect("requested at the new address, without another signal");
}

/// Each of thirty processes under load is killed or stopped, and then started again.
#[tokio::test]
async fn restarted_processes_are_ready_soon() {
    const PROCESSES: usize = 30;
    let mut controllers = Vec::new();
    for n in 0..PROCESSES {
        controllers
            .push((n, RunningController::start(2, |config| config["limits"]["sockets"] = json!(256)).await));
    }
    let (ready, mut ready_times) = mpsc::channel(PROCESSES);
    for (n, mut controller) in controllers {
        let ready = ready.clone();
        tokio::spawn(async move {
            let (stop, mut stopped) = tokio::sync::oneshot::channel::<()>();
            let listen = controller.listen;
            // Load until the restart is over: requests on new connections that are closed without waiting for the
            // answer.
            let load = tokio::spawn(async move {
                for session in 1.. {
                    let request = async {
                        if let Ok(mut viewer) = PlatformConnection::connect(listen).await {
                            let _ = viewer.send(session, set_up("free", None)).await;
                            sleep(Duration::from_millis(5)).await;
                        }
                    };
                    tokio::select! {
                        () = request => {}
                        _ = &mut stopped => return,
                    }
                }
            });
            let mut viewer = controller.viewer().await;
            wait_for_test(&mut viewer).await;
            controller.signal(if n % 2 == 0 { Signal::SIGTERM } else { Signal::SIGKILL });
            let _ = controller.process.wait().await;
            let since = Instant::now();
            controller.process = spawn(controller.folder.path(), &controller.config, controller.listen);
            let mut viewer = controller.viewer().await;
            wait_for_test(&mut viewer).await;
            let _ = ready.send(since.elapsed()).await;
            let _ = stop.send(());
            let _ = load.await;
        });
    }
    drop(ready);
    let mut times = Vec::new();
    while let Some(time) =
        timeout(WAIT_TIMEOUT * 6, ready_times.recv()).await.expect("every process is ready again")
    {
        times.push(time);
    }
    times.sort();
    assert_eq!(times.len(), PROCESSES);
    let percentile = |percent: usize| times[(PROCESSES * percent / 100).min(PROCESSES - 1)];
    println!(
        "ready after a restart: p50 {:?}, p90 {:?}, max {:?}",
        percentile(50),
        percentile(90),
        times[PROCESSES - 1]
    );
    assert!(percentile(90) < Duration::from_secs(10));
}
