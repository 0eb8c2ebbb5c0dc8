//! A controller as a real process on loopback, with scripted streamers, viewers and a list around it.
#![allow(dead_code)] // each test program uses its own part

use bytes::Bytes;
use lemontide::interface::Load;
use lemontide_platform::codec::{Body, Message, RequestDetails, SetUp};
use lemontide_standin::platform::{settings, Attended, End, Journal, SOON};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::{json, Value as Json};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::process::{Child, Command};
use tokio::time::{sleep, timeout};

/// Controllers started so far.
static STARTED: AtomicU32 = AtomicU32::new(0);

/// A streamer in the test: every connection is attended to, and what comes on any of them comes here.
pub struct Streamer {
    pub listener: TcpListener,
    pub links: Vec<Attended>,
}

/// A controller as a process, with the ends around it.
pub struct Served {
    pub process: Child,
    pub listen: SocketAddr,
    pub journal: Journal,
    pub streamers: Vec<Streamer>,
    pub config: Json,
    pub folder: tempfile::TempDir,
}

impl Served {
    /// Starts one with so many streamers; `change` may change its configuration.
    pub async fn start(streamers: usize, change: impl Fn(&mut Json)) -> Served {
        let folder = tempfile::tempdir().expect("a folder");
        let journal = Journal::start().await.expect("a port");
        let mut all = Vec::new();
        let mut servers = Vec::new();
        for at in 0..streamers {
            let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
            servers.push(server(at, &listener, "in_service"));
            all.push(Streamer { listener, links: Vec::new() });
        }
        // An address of its own: on the common one another's connection may take the port during a restart.
        let number = STARTED.fetch_add(1, Ordering::Relaxed);
        let own = Ipv4Addr::new(127, 77, (number / 250) as u8, (number % 250) as u8 + 1);
        let free = std::net::TcpListener::bind((own, 0)).expect("a free port");
        let listen = free.local_addr().expect("it is bound");
        drop(free);
        let mut settings = settings();
        settings["policy_limits"]["try_limit"] = json!(4);
        let mut config = json!({"listen": listen, "seed": "1", "settings": settings,
            "limits": {"sockets": 1024}, "journal": journal.address().expect("it is bound").to_string(),
            "known": {"pos": 1, "entries": [{"pos": 1, "hosts": {"full": true, "servers": servers}}]}});
        change(&mut config);
        let process = spawn(folder.path(), &config, listen);
        Served { process, listen, journal, streamers: all, config, folder }
    }

    pub fn signal(&self, signal: Signal) {
        let pid = self.process.id().expect("it runs");
        kill(Pid::from_raw(pid as i32), signal).expect("sent");
    }

    /// Stops the process until `go_on`, so that it finds at once whatever comes in between.
    pub async fn hold(&self) {
        self.signal(Signal::SIGSTOP);
        // The signal is sent; the process stands still once the kernel says so.
        let pid = self.process.id().expect("it runs");
        let stands =
            || std::fs::read_to_string(format!("/proc/{pid}/stat")).is_ok_and(|s| s.contains(") T "));
        let held = async {
            while !stands() {
                sleep(Duration::from_millis(1)).await;
            }
        };
        timeout(SOON, held).await.expect("it stands still");
    }

    pub fn go_on(&self) {
        self.signal(Signal::SIGCONT);
    }

    pub async fn viewer(&self) -> End {
        End::viewer(self.listen).await.expect("it listens")
    }

    /// The next message that is no test from any streamer, with the streamer and its connection.
    pub async fn next(&mut self) -> Option<(usize, usize, Message)> {
        self.next_within(SOON).await
    }

    pub async fn next_within(&mut self, within: Duration) -> Option<(usize, usize, Message)> {
        let until = Instant::now() + within;
        loop {
            for (at, streamer) in self.streamers.iter_mut().enumerate() {
                let accepted = timeout(Duration::from_millis(1), streamer.listener.accept());
                if let Ok(Ok((socket, _))) = accepted.await {
                    streamer.links.push(End::of(socket).attend());
                }
                for (link, attended) in streamer.links.iter_mut().enumerate() {
                    if let Some(message) = attended.try_news() {
                        return Some((at, link, message));
                    }
                }
            }
            if Instant::now() >= until {
                return None;
            }
        }
    }

    pub async fn say(&mut self, at: (usize, usize), session: u64, body: Body) {
        self.streamers[at.0].links[at.1].say(session, body).await.expect("sent");
    }

    pub async fn ends(mut self) -> std::process::ExitStatus {
        timeout(SOON * 2, self.process.wait()).await.expect("it ends").expect("waited for")
    }
}

pub fn server(at: usize, listener: &TcpListener, state: &str) -> Json {
    let addr = listener.local_addr().expect("it is bound").to_string();
    json!({"id": format!("s{at}"), "addr": addr, "zone": "a", "kind": "std", "cell": 0, "state": state,
        "weight": 1, "started_ms": 0})
}

pub fn spawn(folder: &std::path::Path, config: &Json, listen: SocketAddr) -> Child {
    spawn_logging(folder, config, listen, None)
}

/// The same, with a line for every request in that file.
pub fn spawn_logging(
    folder: &std::path::Path,
    config: &Json,
    listen: SocketAddr,
    log: Option<&std::path::Path>,
) -> Child {
    let file = folder.join("config.json");
    std::fs::write(&file, config.to_string()).expect("written");
    let most = config["limits"]["sockets"].as_u64().expect("a number");
    // The descriptors are the platform's: no more than it says.
    let mut command = Command::new("/bin/sh");
    if let Some(log) = log {
        let log = std::fs::File::create(log).expect("a file");
        command.env("LEMONTIDE_LOG", "request=debug").stderr(log.try_clone().expect("a file")).stdout(log);
    }
    command
        .arg("-c")
        .arg(format!("ulimit -n {most}; exec {} serve", env!("CARGO_BIN_EXE_lemontide")))
        .env("RELAY_CONFIG", &file)
        .env("RELAY_LISTEN", listen.to_string())
        .kill_on_drop(true)
        .spawn()
        .expect("it starts")
}

pub fn set_up(lane: &str, at: Option<&str>) -> Body {
    let at = at.map(str::to_owned);
    Body::SetUp(SetUp {
        class: lane.into(),
        tenant: "acme".into(),
        title: "t".into(),
        wait_ms: 60_000,
        details: Some(RequestDetails {
            first_cell: 0,
            replicas: 1,
            max_rung: 1,
            is_retry: false,
            playing_at: at,
        }),
        description: Bytes::from_static(b"asked"),
        ..SetUp::default()
    })
}

pub fn answer() -> Body {
    Body::Answer { description: Bytes::from_static(b"made"), load: Load::default() }
}

/// The controller passes a test on this connection: all that came on it before is heard.
pub async fn passes(viewer: &mut End) {
    viewer.say(u64::MAX, Body::Test).await.expect("sent");
    loop {
        let heard = viewer.hear().await.expect("told");
        if heard.body == (Body::TestResult { passed: true }) {
            return;
        }
    }
}
