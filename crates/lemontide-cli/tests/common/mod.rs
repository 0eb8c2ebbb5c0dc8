//! A controller as a real process on loopback, with scripted streamers, viewers and journal service.
#![allow(dead_code)] // each test program uses only a part of it

use bytes::Bytes;
use lemontide::interface::Load;
use lemontide_platform::codec::{Body, Message, RequestDetails, SetUp};
use lemontide_standin::stub_platform::{
    settings, BackgroundConnection, PlatformConnection, StubJournal, WAIT_TIMEOUT,
};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::{json, Value as Json};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::process::{Child, Command};
use tokio::time::{sleep, timeout};

/// Number of controllers started so far.
static STARTED_CONTROLLERS: AtomicU32 = AtomicU32::new(0);

/// A streamer that the test plays, with all connections to it.
pub struct TestStreamer {
    pub listener: TcpListener,
    pub connections: Vec<BackgroundConnection>,
}

/// A running controller process, and the services that the test plays around it.
pub struct RunningController {
    pub process: Child,
    pub listen: SocketAddr,
    pub journal: StubJournal,
    pub streamers: Vec<TestStreamer>,
    pub config: Json,
    pub folder: tempfile::TempDir,
}

impl RunningController {
    /// Starts a controller with this number of streamers. `change_config` can change its configuration.
    pub async fn start(streamer_count: usize, change_config: impl Fn(&mut Json)) -> RunningController {
        let folder = tempfile::tempdir().expect("a folder");
        let journal = StubJournal::start().await.expect("a port");
        let mut streamers = Vec::new();
        let mut entries = Vec::new();
        for at in 0..streamer_count {
            let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
            entries.push(list_entry(at, &listener, "in_service"));
            streamers.push(TestStreamer { listener, connections: Vec::new() });
        }
        // Each controller has an address of its own: on a common one, another connection can take the port during a
        // restart.
        let number = STARTED_CONTROLLERS.fetch_add(1, Ordering::Relaxed);
        let own_address = Ipv4Addr::new(127, 77, (number / 250) as u8, (number % 250) as u8 + 1);
        let free_port = std::net::TcpListener::bind((own_address, 0)).expect("a free port");
        let listen = free_port.local_addr().expect("bound");
        drop(free_port);
        let mut settings = settings();
        settings["policy_limits"]["try_limit"] = json!(4);
        let mut config = json!({"listen": listen, "seed": "1", "settings": settings,
            "limits": {"sockets": 1024}, "journal": journal.address().expect("bound").to_string(),
            "known": {"pos": 1, "entries": [{"pos": 1, "hosts": {"full": true, "servers": entries}}]}});
        change_config(&mut config);
        let process = spawn(folder.path(), &config, listen);
        RunningController { process, listen, journal, streamers, config, folder }
    }

    pub fn signal(&self, signal: Signal) {
        let pid = self.process.id().expect("running");
        kill(Pid::from_raw(pid as i32), signal).expect("sent");
    }

    /// Stops the process until `resume`, so that it then receives at once everything that was sent in between.
    pub async fn pause(&self) {
        self.signal(Signal::SIGSTOP);
        // The signal is sent now; the process is stopped only when the kernel shows it.
        let pid = self.process.id().expect("running");
        let is_stopped =
            || std::fs::read_to_string(format!("/proc/{pid}/stat")).is_ok_and(|s| s.contains(") T "));
        let stopped = async {
            while !is_stopped() {
                sleep(Duration::from_millis(1)).await;
            }
        };
        timeout(WAIT_TIMEOUT, stopped).await.expect("stopped in time");
    }

    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// A new viewers' connection.
    pub async fn viewer(&self) -> PlatformConnection {
        PlatformConnection::connect(self.listen).await.expect("connected")
    }

    /// The next message to any streamer, except tests, with the streamer and its connection.
    pub async fn next_message(&mut self) -> Option<(usize, usize, Message)> {
        self.next_message_within(WAIT_TIMEOUT).await
    }

    /// The same, or none after this time.
    pub async fn next_message_within(&mut self, within: Duration) -> Option<(usize, usize, Message)> {
        let until = Instant::now() + within;
        loop {
            for (at, streamer) in self.streamers.iter_mut().enumerate() {
                let accepted = timeout(Duration::from_millis(1), streamer.listener.accept());
                if let Ok(Ok((socket, _))) = accepted.await {
                    streamer.connections.push(PlatformConnection::from_socket(socket).into_background());
                }
                for (connection, attended) in streamer.connections.iter_mut().enumerate() {
                    if let Some(message) = attended.try_receive() {
                        return Some((at, connection, message));
                    }
                }
            }
            if Instant::now() >= until {
                return None;
            }
        }
    }

    /// Sends a message from a streamer, on this connection of it.
    pub async fn streamer_sends(&mut self, at: (usize, usize), session: u64, body: Body) {
        self.streamers[at.0].connections[at.1].send(session, body).await.expect("sent");
    }

    /// Waits until the process ends.
    pub async fn wait_for_exit(mut self) -> std::process::ExitStatus {
        timeout(WAIT_TIMEOUT * 2, self.process.wait()).await.expect("ends in time").expect("waited for")
    }
}

/// An entry of the list of streamers.
pub fn list_entry(at: usize, listener: &TcpListener, state: &str) -> Json {
    let addr = listener.local_addr().expect("bound").to_string();
    json!({"id": format!("s{at}"), "addr": addr, "zone": "a", "kind": "std", "cell": 0, "state": state,
        "weight": 1, "started_ms": 0})
}

/// Starts a controller process.
pub fn spawn(folder: &std::path::Path, config: &Json, listen: SocketAddr) -> Child {
    spawn_logging(folder, config, listen, None)
}

/// The same; with a log file, each request is logged there.
pub fn spawn_logging(
    folder: &std::path::Path,
    config: &Json,
    listen: SocketAddr,
    log: Option<&std::path::Path>,
) -> Child {
    let config_file = folder.join("config.json");
    std::fs::write(&config_file, config.to_string()).expect("written");
    let max_descriptors = config["limits"]["sockets"].as_u64().expect("a number");
    // The process gets no more descriptors than the configuration allows.
    let mut command = Command::new("/bin/sh");
    if let Some(log) = log {
        let log = std::fs::File::create(log).expect("a file");
        command.env("LEMONTIDE_LOG", "request=debug").stderr(log.try_clone().expect("a file")).stdout(log);
    }
    command
        .arg("-c")
        .arg(format!("ulimit -n {max_descriptors}; exec {} serve", env!("CARGO_BIN_EXE_lemontide")))
        .env("RELAY_CONFIG", &config_file)
        .env("RELAY_LISTEN", listen.to_string())
        .kill_on_drop(true)
        .spawn()
        .expect("started")
}

/// A set-up of this class; with `playing_at`, of a session that plays already at that streamer.
pub fn set_up(class: &str, playing_at: Option<&str>) -> Body {
    let playing_at = playing_at.map(str::to_owned);
    Body::SetUp(SetUp {
        class: class.into(),
        tenant: "acme".into(),
        title: "t".into(),
        wait_ms: 60_000,
        details: Some(RequestDetails {
            first_cell: 0,
            replicas: 1,
            max_rung: 1,
            is_retry: false,
            playing_at,
        }),
        description: Bytes::from_static(b"asked"),
        ..SetUp::default()
    })
}

/// A streamer's answer to a set-up.
pub fn answer() -> Body {
    Body::Answer { description: Bytes::from_static(b"made"), load: Load::default() }
}

/// Waits until the controller passes a test on this connection: it has then read everything that was sent before.
pub async fn wait_for_test(viewer: &mut PlatformConnection) {
    viewer.send(u64::MAX, Body::Test).await.expect("sent");
    loop {
        let message = viewer.receive().await.expect("received");
        if message.body == (Body::TestResult { passed: true }) {
            return;
        }
    }
}
