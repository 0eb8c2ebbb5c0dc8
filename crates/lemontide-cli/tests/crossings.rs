//! Two events that cross in the running process, the crossing forced: a process that is stopped by a signal finds both
//! on its sockets at once when it goes on.

mod common;

use common::{answer, list_entry, set_up, spawn, spawn_logging, wait_for_test, RunningController};
use lemontide_platform::codec::{cause, Body, SetUp};
use lemontide_standin::platform::{End, Journal, SOON};
use nix::sys::signal::Signal;
use serde_json::{json, Value as Json};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

/// Two thousand requests whose streamers send them back while the process stands still, for longer than the tenth of a
/// second after which an attempt counts; half of their viewers have closed or cancelled by then. None of theirs may
/// begin, all of the others do.
#[tokio::test]
async fn no_attempt_begins_for_a_viewer_that_has_gone() {
    const ROUNDS: u64 = 40;
    const EACH: u64 = 50;
    let mut controller = RunningController::start(3, |_| {}).await;
    let mut begun_after = 0;
    let (mut left, mut stayed) = (0, 0);
    for round in 0..ROUNDS {
        let mut viewers: BTreeMap<u64, End> = BTreeMap::new();
        let mut out: BTreeMap<u64, (usize, usize)> = BTreeMap::new();
        for n in 1..=EACH {
            let mut viewer = controller.viewer().await;
            let session = round * EACH + n;
            viewer.say(session, set_up(if n % 2 == 0 { "free" } else { "paid" }, None)).await.expect("sent");
            viewers.insert(session, viewer);
        }
        while out.len() < EACH as usize {
            let (at, link, message) = controller.next_message().await.expect("sent on");
            out.insert(message.session, (at, link));
        }
        controller.pause().await;
        let mut gone = BTreeSet::new();
        for session in out.keys().copied() {
            match session % 4 {
                0 => drop(viewers.remove(&session)),
                1 => {
                    let viewer = viewers.get_mut(&session).expect("it is there");
                    viewer.say(session, Body::release(cause::NORMAL)).await.expect("sent");
                }
                _ => continue,
            }
            gone.insert(session);
        }
        for (session, at) in &out {
            controller.streamer_sends(*at, *session, Body::release(cause::NOT_SENT)).await;
        }
        sleep(Duration::from_millis(150)).await;
        controller.resume();
        let mut again = BTreeSet::new();
        while again.len() < (EACH as usize - gone.len()) {
            let (at, link, message) = controller.next_message().await.expect("who stayed is sent elsewhere");
            match message.body {
                Body::SetUp(_) if gone.contains(&message.session) => begun_after += 1,
                Body::SetUp(_) => {
                    again.insert(message.session);
                    controller.streamer_sends((at, link), message.session, answer()).await;
                    controller
                        .streamer_sends((at, link), message.session, Body::release(cause::NORMAL))
                        .await;
                }
                _ => {}
            }
        }
        while let Some((_, _, message)) = controller.next_message_within(Duration::from_millis(20)).await {
            begun_after +=
                usize::from(matches!(message.body, Body::SetUp(_)) && gone.contains(&message.session));
        }
        left += gone.len();
        stayed += again.len();
    }
    println!("{left} viewers left, {stayed} stayed; attempts begun for those who had left: {begun_after}");
    assert_eq!(begun_after, 0);
}

/// Sends every set-up of a streamer back at once, and tells when it came.
async fn send_back(listener: TcpListener, came: mpsc::Sender<(u64, Instant)>) {
    while let Ok((socket, _)) = listener.accept().await {
        let (came, mut link) = (came.clone(), End::of(socket));
        tokio::spawn(async move {
            while let Ok(message) = link.hear().await {
                let answer = match message.body {
                    Body::SetUp(_) => Body::release(cause::NOT_SENT),
                    Body::Test => Body::TestResult { passed: true },
                    _ => continue,
                };
                if matches!(message.body, Body::SetUp(_)) {
                    let _ = came.send((message.session, Instant::now())).await;
                }
                if link.say(message.session, answer).await.is_err() {
                    return;
                }
            }
        });
    }
}

/// Viewers that leave at any moment while streamers send their requests back at once. When an attempt arrives
/// depends on the machine; none comes much later than its viewer's close.
#[tokio::test]
async fn viewers_that_leave_at_random_moments_get_no_late_attempts() {
    const EACH: u64 = 500;
    let controller = RunningController::start(3, |_| {}).await;
    let (came, mut comes) = mpsc::channel(EACH as usize * 8);
    let (left, mut leaves) = mpsc::channel(EACH as usize);
    let (process, listen) = (controller.process, controller.listen);
    let _kept = (process, controller.journal, controller.folder);
    for streamer in controller.streamers {
        tokio::spawn(send_back(streamer.listener, came.clone()));
    }
    for session in 1..=EACH {
        let left = left.clone();
        tokio::spawn(async move {
            // Spread by the number alone, so that every run is the same.
            let spread = session.wrapping_mul(0x9e37_79b9_7f4a_7c15);
            sleep(Duration::from_millis(spread >> 54)).await;
            let mut viewer = End::viewer(listen).await.expect("it listens");
            viewer.say(session, set_up("free", None)).await.expect("sent");
            sleep(Duration::from_micros((spread >> 40) & 0x0fff)).await;
            if session % 2 == 0 {
                let _ = viewer.say(session, Body::release(cause::NORMAL)).await;
                let _ = left.send((session, Instant::now())).await;
                sleep(Duration::from_millis(50)).await;
            } else {
                drop(viewer);
                let _ = left.send((session, Instant::now())).await;
            }
        });
    }
    drop((left, came));
    let mut gone = BTreeMap::new();
    while let Some((session, when)) = leaves.recv().await {
        gone.insert(session, when);
    }
    assert_eq!(gone.len(), EACH as usize);
    sleep(Duration::from_millis(1500)).await;
    let (mut all, mut after, mut late, mut very_late) = (0, 0, 0, 0);
    while let Ok((session, when)) = comes.try_recv() {
        let since = when.saturating_duration_since(gone[&session]);
        all += 1;
        after += usize::from(since > Duration::ZERO);
        late += usize::from(since > Duration::from_millis(100));
        very_late += usize::from(since > Duration::from_secs(1));
    }
    println!("{EACH} viewers left, {all} attempts: {after} came after that, {late} over 0.1 s, {very_late} over 1 s");
    assert!(all > 0 && very_late == 0);
}

/// A set-up that came while the process stood still is answered by the time its viewer gave, counted from then.
#[tokio::test]
async fn a_stall_shortens_the_wait_of_what_came_in_it() {
    let mut controller = RunningController::start(1, |_| {}).await;
    let mut viewer = controller.viewer().await;
    wait_for_test(&mut viewer).await;
    controller.pause().await;
    let Body::SetUp(asked) = set_up("paid", None) else { panic!("it is one") };
    viewer.say(5, Body::SetUp(SetUp { wait_ms: 3000, ..asked })).await.expect("sent");
    sleep(Duration::from_millis(1500)).await;
    controller.resume();
    let (_, _, message) = controller.next_message().await.expect("sent on");
    let Body::SetUp(sent) = message.body else { panic!("it is one") };
    // The stall is seen but for one beat of the timer at most.
    assert!(sent.wait_ms <= 3000 - 1500 + 120, "{} ms left", sent.wait_ms);
}

/// A streamer's answer and its viewer's close are found at once: nobody watches that stream.
#[tokio::test]
async fn an_answer_that_crosses_a_close_leaves_no_stream_behind() {
    let mut controller = RunningController::start(1, |_| {}).await;
    let mut viewer = controller.viewer().await;
    viewer.say(5, set_up("free", None)).await.expect("sent");
    let (at, link, _) = controller.next_message().await.expect("sent on");
    controller.pause().await;
    controller.streamer_sends((at, link), 5, answer()).await;
    drop(viewer);
    sleep(Duration::from_millis(50)).await;
    controller.resume();
    let (_, _, message) = controller.next_message().await.expect("it is ended");
    assert_eq!((message.session, message.body), (5, Body::release(cause::NORMAL)));
}

/// A set-up that comes on the connection that has been idle for longest, in the moment in which another needs its
/// place: it was closed with the set-up unread, or its report was dropped.
#[tokio::test]
async fn a_set_up_that_crosses_an_idle_close_is_taken() {
    // 96 descriptors: 96 - 24 - 32 are the viewers'.
    let mut controller = RunningController::start(1, |config| config["limits"]["sockets"] = json!(96)).await;
    let mut viewers = Vec::new();
    for _ in 0..40 {
        let mut viewer = controller.viewer().await;
        wait_for_test(&mut viewer).await;
        viewers.push(viewer);
    }
    for session in 1..=5 {
        controller.pause().await;
        viewers[0].say(session, set_up("free", None)).await.expect("sent");
        let mut newcomer = controller.viewer().await;
        newcomer.say(u64::MAX, Body::Test).await.expect("sent");
        controller.resume();
        let (at, link, message) = controller.next_message().await.expect("sent on");
        assert_eq!(message.session, session);
        newcomer.hear().await.expect("another made room");
        controller.streamer_sends((at, link), session, answer()).await;
        assert_eq!(viewers[0].hear().await.expect("answered where it asked").body, answer());
        controller.streamer_sends((at, link), session, Body::release(cause::NORMAL)).await;
        viewers[0].hear().await.expect("released");
        viewers.remove(1);
        let owed = viewers.remove(0);
        viewers.push(newcomer);
        viewers.push(owed);
        for viewer in &mut viewers[..] {
            wait_for_test(viewer).await;
        }
    }
}

/// Idle viewers fill whatever descriptors they get while the list can't be reached: the list has its own, and set-ups
/// are sent on.
#[tokio::test]
async fn idle_viewers_keep_neither_the_list_nor_set_ups_from_their_descriptors() {
    let away = TcpListener::bind(("127.0.0.1", 0)).await.expect("a free port");
    let at = away.local_addr().expect("it is bound");
    drop(away);
    let mut controller = RunningController::start(1, |config| {
        config["limits"]["sockets"] = json!(96);
        config["journal"] = json!(at.to_string());
    })
    .await;
    let mut idle = Vec::new();
    for n in 0..160 {
        let mut viewer = controller.viewer().await;
        // Some say a word and nothing more, and some nothing at all.
        if n % 2 == 0 {
            wait_for_test(&mut viewer).await;
        }
        idle.push(viewer);
    }
    let mut asks = controller.viewer().await;
    asks.say(7, set_up("free", None)).await.expect("sent");
    let (at_streamer, link, message) = controller.next_message().await.expect("sent on");
    assert_eq!(message.session, 7);
    controller.streamer_sends((at_streamer, link), 7, answer()).await;
    assert_eq!(asks.hear().await.expect("answered").body, answer());
    let back = Journal::listen(at).await.expect("the port is free");
    let (mut reader, last) = back.reader().await.expect("it asks though viewers fill the rest");
    assert_eq!(last, 1);
    let drains = list_entry(0, &controller.streamers[0].listener, "terminating");
    let event = json!({"pos": 2, "hosts": {"full": false, "servers": [drains]}});
    reader.write_all(format!("{event}\n").as_bytes()).await.expect("sent");
    let obeyed = async {
        for session in 100.. {
            asks.say(session, set_up("free", None)).await.expect("sent");
            tokio::select! {
                told = asks.hear() => {
                    assert!(matches!(told.expect("answered").body, Body::Release { .. }));
                    return;
                }
                sent = controller.next_message() => {
                    let (at, link, message) = sent.expect("sent on");
                    controller.streamer_sends((at, link), message.session, answer()).await;
                }
            }
            asks.hear().await.expect("answered");
        }
    };
    timeout(SOON, obeyed).await.expect("the drain is obeyed");
    assert!(controller.process.try_wait().expect("asked").is_none(), "it runs on");
}

/// Viewers that say something without end kept the loop from everything that its `select!` names after them.
#[tokio::test]
async fn a_flood_keeps_neither_signals_nor_the_list_nor_others_waiting() {
    let controller = RunningController::start(1, |_| {}).await;
    let (stop, _) = tokio::sync::broadcast::channel::<()>(1);
    let mut floods = Vec::new();
    for _ in 0..8 {
        let socket = tokio::net::TcpStream::connect(controller.listen);
        let socket = match socket.await {
            Ok(socket) => socket,
            Err(_) => End::viewer(controller.listen).await.expect("it listens").into_socket(),
        };
        let mut stopped = stop.subscribe();
        let (mut read, mut write) = socket.into_split();
        floods.push(tokio::spawn(async move {
            // A test that wants an answer, over and over.
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
    let moved = Journal::start().await.expect("a port");
    let mut config = controller.config.clone();
    config["journal"] = json!(moved.address().expect("it is bound").to_string());
    std::fs::write(controller.folder.path().join("config.json"), config.to_string()).expect("written");
    controller.signal(Signal::SIGHUP);
    moved.reader().await.expect("it asks at the new address");
    controller.signal(Signal::SIGTERM);
    assert!(controller.wait_for_exit().await.success());
    let _ = stop.send(());
}

/// The end of what stood, told in the moment in which its viewer's connection closes: it was written there and lost.
#[tokio::test]
async fn a_release_that_crosses_a_close_goes_to_another_connection() {
    let mut controller = RunningController::start(1, |_| {}).await;
    let (mut first, mut other) = (controller.viewer().await, controller.viewer().await);
    let mut at = (0, 0);
    for (session, viewer) in [(1, &mut first), (2, &mut other)] {
        viewer.say(session, set_up("free", None)).await.expect("sent");
        let (streamer, link, message) = controller.next_message().await.expect("sent on");
        assert_eq!(message.session, session);
        at = (streamer, link);
        controller.streamer_sends(at, session, answer()).await;
        assert_eq!(viewer.hear().await.expect("answered").body, answer());
    }
    controller.pause().await;
    drop(first);
    controller.streamer_sends(at, 1, Body::release(cause::NORMAL)).await;
    sleep(Duration::from_millis(150)).await;
    controller.resume();
    let told = other.hear().await.expect("told on the other connection");
    assert_eq!((told.session, told.body), (1, Body::release(cause::NORMAL)));
}

/// A session ends before the one that takes it over has heard of it, either end first.
#[tokio::test]
async fn what_ended_before_it_was_handed_over_is_released_at_once() {
    let mut controller = RunningController::start(1, |_| {}).await;
    let mut viewer = controller.viewer().await;
    viewer.say(1, set_up("free", None)).await.expect("sent");
    let (at, link, _) = controller.next_message().await.expect("sent on");
    controller.streamer_sends((at, link), 1, answer()).await;
    viewer.hear().await.expect("answered");
    controller.streamer_sends((at, link), 8, Body::release(cause::NORMAL)).await;
    viewer.say(9, Body::release(cause::NORMAL)).await.expect("sent");
    // What was said on the streamer's connection before this is heard once this is.
    controller.streamer_sends((at, link), 1, Body::release(cause::NORMAL)).await;
    assert_eq!(viewer.hear().await.expect("released").session, 1);
    for session in [8, 9] {
        viewer.say(session, set_up("free", Some("s0"))).await.expect("sent");
    }
    let told = viewer.hear().await.expect("its streamer ended it");
    assert_eq!((told.session, told.body), (8, Body::release(cause::NORMAL)));
    let (_, _, told) = controller.next_message().await.expect("its viewer ended it");
    assert_eq!((told.session, told.body), (9, Body::release(cause::NORMAL)));
}

/// A stop with a deadline longer than any fixed time: what was taken before it is answered, and signals that come
/// twice or together change nothing.
#[tokio::test]
async fn a_stop_waits_for_the_longest_deadline_and_other_signals_change_nothing() {
    let mut controller = RunningController::start(1, |_| {}).await;
    let mut viewer = controller.viewer().await;
    viewer.say(1, set_up("paid", None)).await.expect("sent");
    let (at, link, _) = controller.next_message().await.expect("sent on");
    for signal in [Signal::SIGTERM, Signal::SIGHUP, Signal::SIGTERM] {
        controller.signal(signal);
    }
    // Longer than the eight seconds after which a stopping process used to end, whatever it owed.
    sleep(Duration::from_millis(8700)).await;
    controller.streamer_sends((at, link), 1, Body::release(cause::ERROR)).await;
    assert_eq!(viewer.hear().await.expect("the final answer").body, Body::release(cause::FAILED));
    assert!(controller.wait_for_exit().await.success());
}

/// An answer and two dozen new requests that a process finds at once: the answer is with its viewer before anything of the
/// requests is with a streamer. A viewer may leave while its answer waits, and is never answered then.
#[tokio::test]
async fn an_answer_leaves_before_anything_new_is_decided() {
    const ROUNDS: u64 = 8;
    const ASKED: u64 = 24;
    let mut controller = RunningController::start(1, |_| {}).await;
    let mut asking = Vec::new();
    for _ in 0..4 {
        asking.push(controller.viewer().await);
    }
    let mut viewer = controller.viewer().await;
    for round in 1..=ROUNDS {
        let session = round * 1000;
        viewer.say(session, set_up("paid", None)).await.expect("sent");
        let (at, link, message) = controller.next_message().await.expect("sent on");
        assert_eq!(message.session, session);
        controller.pause().await;
        for n in 1..=ASKED {
            let asks = &mut asking[n as usize % 4];
            asks.say(session + n, set_up("free", None)).await.expect("sent");
        }
        controller.streamer_sends((at, link), session, answer()).await;
        // All of it is in the sockets of the process once the other ends have written it.
        let written = async {
            while !controller.streamers[at].connections[link].is_said() {
                sleep(Duration::from_millis(1)).await;
            }
        };
        timeout(SOON, written).await.expect("written");
        controller.resume();
        let answered = async { viewer.hear().await.expect("answered").session };
        let first = tokio::select! {
            biased;
            session = answered => session,
            message = controller.next_message() => message.expect("sent on").2.session,
        };
        assert_eq!(first, session, "round {round}: a new request was sent on before the answer");
        for _ in 0..ASKED {
            let (at, link, message) = controller.next_message().await.expect("sent on");
            controller.streamer_sends((at, link), message.session, answer()).await;
        }
        for n in 1..=ASKED {
            let heard = asking[n as usize % 4].hear().await.expect("answered");
            assert_eq!(heard.body, answer());
        }
    }
}

/// Connections on which nothing happens wake nobody: what a process is woken for is counted, not timed. With a hundred it
/// was woken up to a thousand times a second, and on a small part of a core answers waited behind that.
#[tokio::test]
async fn idle_connections_wake_nobody() {
    const CONNECTIONS: usize = 100;
    let controller = RunningController::start(1, |_| {}).await;
    let mut idle = Vec::new();
    for _ in 0..CONNECTIONS {
        let mut viewer = controller.viewer().await;
        wait_for_test(&mut viewer).await;
        idle.push(viewer);
        sleep(Duration::from_millis(1)).await;
    }
    let pid = controller.process.id().expect("it runs");
    let woken = || {
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("it runs");
        let line = status.lines().find_map(|line| line.strip_prefix("voluntary_ctxt_switches:"));
        line.and_then(|n| n.trim().parse::<u64>().ok()).expect("a number")
    };
    let (before, since) = (woken(), Instant::now());
    sleep(Duration::from_millis(1500)).await;
    // However late this test itself goes on: its own beats come ten times a second.
    let (times, seconds) = (woken() - before, since.elapsed().as_secs_f64());
    println!("woken {times} times in {seconds:.2} s with {CONNECTIONS} idle connections");
    assert!((times as f64) < 100.0 * seconds, "woken {times} times in {seconds:.2} s");
}

/// Each request leaves one line in the log at its end, with how long each step took.
#[tokio::test]
async fn every_request_leaves_one_line() {
    let mut controller = RunningController::start(1, |_| {}).await;
    let log = controller.folder.path().join("log");
    controller.process.kill().await.expect("killed");
    controller.process =
        spawn_logging(controller.folder.path(), &controller.config, controller.listen, Some(&log));
    let mut viewer = controller.viewer().await;
    for session in [1, 2, 3] {
        viewer.say(session, set_up("paid", None)).await.expect("sent");
        let (at, link, message) = controller.next_message().await.expect("sent on");
        assert_eq!(message.session, session);
        match session {
            1 => controller.streamer_sends((at, link), 1, answer()).await,
            2 => controller.streamer_sends((at, link), 2, Body::release(cause::ERROR)).await,
            _ => viewer.say(3, Body::release(cause::NORMAL)).await.expect("sent"),
        }
        if session < 3 {
            viewer.hear().await.expect("answered");
        }
    }
    wait_for_test(&mut viewer).await;
    let lines = || {
        let text = std::fs::read_to_string(&log).unwrap_or_default();
        let lines = text.lines().filter_map(|line| serde_json::from_str::<Json>(line).ok());
        lines.filter(|line| line["target"] == "request").collect::<Vec<_>>()
    };
    let there = async {
        while lines().len() < 3 {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(SOON, there).await.expect("three lines");
    let lines = lines();
    let outcomes: Vec<_> = lines.iter().map(|line| (&line["session"], &line["outcome"])).collect();
    let wanted = [("1", "Plays"), ("2", "Failed"), ("3", "ViewerLeft")];
    let wanted = wanted.map(|(session, outcome)| (json!(format!("{session:0>16}")), json!(outcome)));
    assert_eq!(outcomes, wanted.iter().map(|(s, o)| (s, o)).collect::<Vec<_>>());
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
    let moved = Journal::start().await.expect("a port");
    let mut config = controller.config.clone();
    config["journal"] = json!(moved.address().expect("it is bound").to_string());
    let (file, text) = (controller.folder.path().join("config.json"), config.to_string());
    controller.journal.reader().await.expect("it asks");
    std::fs::write(&file, &text[..text.len() / 2]).expect("written");
    controller.signal(Signal::SIGHUP);
    wait_for_test(&mut viewer).await;
    std::fs::write(&file, &text).expect("written");
    moved.reader().await.expect("it asks at the new address, though nobody told it again");
}

/// Thirty processes under load are killed or stopped, one after the other, and started again.
#[tokio::test]
async fn restarted_processes_are_ready_soon() {
    const PROCESSES: usize = 30;
    let mut all = Vec::new();
    for n in 0..PROCESSES {
        all.push((n, RunningController::start(2, |config| config["limits"]["sockets"] = json!(256)).await));
    }
    let (tell, mut told) = mpsc::channel(PROCESSES);
    for (n, mut controller) in all {
        let tell = tell.clone();
        tokio::spawn(async move {
            let (stop, mut stopped) = tokio::sync::oneshot::channel::<()>();
            let listen = controller.listen;
            // Load until the restart is over: requests of which nobody hears again, on ever new connections.
            let load = tokio::spawn(async move {
                for session in 1.. {
                    let asked = async {
                        if let Ok(mut viewer) = End::viewer(listen).await {
                            let _ = viewer.say(session, set_up("free", None)).await;
                            sleep(Duration::from_millis(5)).await;
                        }
                    };
                    tokio::select! {
                        () = asked => {}
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
            let _ = tell.send(since.elapsed()).await;
            let _ = stop.send(());
            let _ = load.await;
        });
    }
    drop(tell);
    let mut took = Vec::new();
    while let Some(one) = timeout(SOON * 6, told.recv()).await.expect("every one comes back") {
        took.push(one);
    }
    took.sort();
    assert_eq!(took.len(), PROCESSES);
    let at = |part: usize| took[(PROCESSES * part / 100).min(PROCESSES - 1)];
    println!("ready after a restart: p50 {:?}, p90 {:?}, max {:?}", at(50), at(90), took[PROCESSES - 1]);
    assert!(at(90) < Duration::from_secs(10));
}
