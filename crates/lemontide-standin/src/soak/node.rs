//! One controller as a real process: started, signalled, watched and started again.

use super::event_log::{ColdBudget, NodeEvent, Recorder, CLASSES};
use super::plan::Plan;
use super::stub_discovery::StubDiscovery;
use crate::platform;
use lemontide_platform::codec::Body;
use nix::sys::signal::{kill, Signal as UnixSignal};
use nix::unistd::Pid;
use serde_json::{json, Value as Json};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;
use tokio::process::{Child, Command};
use tokio::sync::{watch, Mutex};
use tokio::time::{sleep, timeout};

/// Limits of a node, as its configuration gives them: descriptors, and resident memory in MB.
const SOCKETS: u64 = 512;
pub const MEMORY_MB: u64 = 64;
/// SIGKILL comes so long after SIGTERM: the longest deadline, 3 s at most, and 0.7 s, in seconds.
const KILL_AFTER: f64 = 3.7;
/// From SIGKILL to the next start, in seconds.
const START_AFTER: f64 = 0.3;
/// Requests a second of one tenant over all nodes that count as within its share.
const TENANT_QUOTA_PER_S: f64 = 30.0;
/// More signals follow SIGTERM, so long after each other, in series.
const SERIES: [UnixSignal; 4] =
    [UnixSignal::SIGHUP, UnixSignal::SIGTERM, UnixSignal::SIGHUP, UnixSignal::SIGTERM];
const BETWEEN_SIGNALS: Duration = Duration::from_millis(150);
/// How often a process is looked at, and how long it may take to be ready.
const LOOK_EVERY: Duration = Duration::from_millis(250);
const READY_WITHIN: Duration = Duration::from_secs(10);

/// What clients know of a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Status {
    /// It has passed a test since its start.
    Up,
    /// SIGTERM was sent then.
    Terminating(f64),
    Down,
}

pub struct Node {
    pub at: usize,
    pub listen: SocketAddr,
    pub status: watch::Sender<Status>,
    program: PathBuf,
    folder: PathBuf,
    recorder: Arc<Recorder>,
    discovery: Arc<StubDiscovery>,
    settings: Json,
    zone: String,
    signals_in_series: bool,
    child: Mutex<Option<Child>>,
    starts: std::sync::atomic::AtomicU64,
}

/// Settings of all nodes.
pub fn settings(plan: &Plan) -> Json {
    let mut settings = platform::settings();
    if let Some(places) = plan.places {
        settings["family_info"]["kind_slots"] = json!([places]);
        settings["rules"] = json!({"cold": 4, "cold_from": 0.4, "fall_multiple": 2.5, "fall": 1});
    }
    let classes: Vec<Json> = CLASSES
        .iter()
        .map(|class| {
            let effect = if class.is_idempotent { "read_like" } else { "non_idempotent" };
            json!({"name": class.name, "worth": 1, "aim": class.latency_goal_s, "hard_limit": class.deadline_s, "effect": effect})
        })
        .collect();
    settings["classes"] = json!(classes);
    settings["peers_total"] = json!(plan.nodes);
    settings["family_info"]["positions"] = json!(plan.servers);
    settings["policy_limits"]["try_limit"] = json!(5);
    settings["areas"] = json!((0..plan.zones).map(|zone| plan.zone(zone)).collect::<Vec<_>>());
    let share = 1.0 / plan.tenants as f64;
    let tenant =
        |at: usize| json!({"name": format!("t{at}"), "share": share, "quota_per_s": TENANT_QUOTA_PER_S});
    settings["tenants"] = json!((0..plan.tenants).map(tenant).collect::<Vec<_>>());
    settings
}

/// What servers take while they are cold, by these settings; the page's rule 4.
pub fn cold_budget(settings: &Json) -> Option<ColdBudget> {
    let number = |name: &str| settings.pointer(name).and_then(Json::as_f64);
    let (cold_span_s, window_s) = (number("/rules/cold").filter(|span| *span > 0.0)?, number("/rules/fall")?);
    let pace = number("/family_info/kind_slots/0")? / cold_span_s * number("/rules/cold_from")?;
    Some(ColdBudget {
        set_ups_per_window: number("/rules/fall_multiple")? * pace * window_s,
        window_s,
        cold_span_s,
    })
}

impl Node {
    /// A node that is not started yet; its files lie in the folder.
    pub fn new(
        plan: &Plan,
        (at, listen): (usize, SocketAddr),
        (program, folder): (&Path, &Path),
        (recorder, discovery): (Arc<Recorder>, Arc<StubDiscovery>),
        settings: Json,
    ) -> Arc<Node> {
        Arc::new(Node {
            at,
            listen,
            status: watch::channel(Status::Down).0,
            program: program.to_owned(),
            folder: folder.to_owned(),
            recorder,
            discovery,
            settings,
            zone: plan.zone(at),
            signals_in_series: plan.signals_in_series,
            child: Mutex::new(None),
            starts: Default::default(),
        })
    }

    fn config_file(&self) -> PathBuf {
        self.folder.join(format!("n{}.json", self.at))
    }

    pub fn log_file(&self) -> PathBuf {
        self.folder.join(format!("n{}.log", self.at))
    }

    /// Writes the configuration; the position of the list that it holds.
    fn write_config(&self) -> io::Result<u64> {
        let start = self.starts.load(std::sync::atomic::Ordering::Relaxed);
        let mut settings = self.settings.clone();
        settings["me"] = json!(self.at);
        settings["zone"] = json!(self.zone);
        let (position, known) = self.discovery.snapshot();
        let config = json!({
            "name": format!("n{}", self.at), "listen": self.listen, "seed": format!("{:x}", start * 64 + self.at as u64),
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
            "journal": self.discovery.address().to_string(), "known": known, "settings": settings,
        });
        // Replaced in one step, as an operator does.
        let new = self.config_file().with_extension("new");
        std::fs::write(&new, config.to_string())?;
        std::fs::rename(new, self.config_file())?;
        Ok(position)
    }

    /// Starts the process and waits until it passes a test.
    pub async fn start(self: &Arc<Node>) -> io::Result<()> {
        self.starts.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let position = self.write_config()?;
        self.discovery.mark_sent_up_to(position);
        let log = std::fs::OpenOptions::new().create(true).append(true).open(self.log_file())?;
        let command = format!("ulimit -n {SOCKETS}; exec \"$0\" --log-text serve");
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(command)
            .arg(&self.program)
            .env("LEMONTIDE_LOG", "warn,attempt=debug,decision=debug,streamers=debug,viewers=debug")
            .env("RELAY_NAME", format!("n{}", self.at))
            .env("RELAY_CONFIG", self.config_file())
            .env("RELAY_LISTEN", self.listen.to_string())
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        self.recorder.record_node_event(self.at, NodeEvent::Started);
        *self.child.lock().await = Some(child);
        if timeout(READY_WITHIN, self.passes_a_test()).await.is_ok() {
            self.recorder.record_node_event(self.at, NodeEvent::Ready);
            self.status.send_replace(Status::Up);
        }
        Ok(())
    }

    async fn passes_a_test(&self) {
        loop {
            if let Ok(mut client) = platform::End::viewer(self.listen).await {
                if client.say(0, Body::Test).await.is_ok() && client.hear().await.is_ok() {
                    return;
                }
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    async fn signal(&self, signal: UnixSignal) {
        let child = self.child.lock().await;
        if let Some(id) = child.as_ref().and_then(Child::id) {
            // A process that ended meanwhile is told by `watch`.
            let _ = kill(Pid::from_raw(id as i32), signal);
        }
    }

    /// SIGTERM, SIGKILL at the earliest, and a new process.
    pub async fn restart(self: Arc<Node>) -> io::Result<()> {
        let now = self.recorder.now();
        self.recorder.record_node_event(self.at, NodeEvent::Terminate);
        self.status.send_replace(Status::Terminating(now));
        self.signal(UnixSignal::SIGTERM).await;
        for signal in SERIES.into_iter().filter(|_| self.signals_in_series) {
            sleep(BETWEEN_SIGNALS).await;
            self.signal(signal).await;
        }
        tokio::time::sleep_until(self.recorder.instant(now + KILL_AFTER)).await;
        self.kill_and_start().await
    }

    pub async fn kill_and_start(self: Arc<Node>) -> io::Result<()> {
        self.end().await;
        sleep(Duration::from_secs_f64(START_AFTER)).await;
        self.start().await
    }

    /// Ends the process for good, or until it is started again. SIGKILL counts from when the process is no more: what
    /// was sent until then, it may have found.
    pub async fn end(&self) {
        self.status.send_replace(Status::Down);
        if let Some(mut child) = self.child.lock().await.take() {
            let _ = child.start_kill();
            let _ = child.wait().await;
        }
        self.recorder.record_node_event(self.at, NodeEvent::Kill);
    }

    pub async fn reconfigure(&self, times: usize) -> io::Result<()> {
        for _ in 0..times {
            self.discovery.move_to_next_address();
            self.write_config()?;
            self.recorder.record_node_event(self.at, NodeEvent::Reconfigure);
            self.signal(UnixSignal::SIGHUP).await;
            sleep(Duration::from_millis(200)).await;
        }
        Ok(())
    }

    /// Looks after the process: whether it has ended by itself, and what it needs.
    pub async fn watch(self: Arc<Node>) {
        loop {
            sleep(LOOK_EVERY).await;
            let mut child = self.child.lock().await;
            let Some(process) = child.as_mut() else { continue };
            match process.try_wait() {
                Ok(None) => {
                    if let Some(id) = process.id() {
                        self.measure(id);
                    }
                }
                Ok(Some(code)) => {
                    let was_asked = matches!(*self.status.borrow(), Status::Terminating(_));
                    self.recorder.record_node_event(
                        self.at,
                        NodeEvent::Exited { is_expected: was_asked && code.success() },
                    );
                    child.take();
                }
                Err(_) => {}
            }
        }
    }

    fn measure(&self, id: u32) {
        let now = self.recorder.now();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kb = resident.and_then(|line| line.trim().trim_end_matches(" kB").parse::<u64>().ok());
        let descriptors = std::fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count) as u64;
        if kb.is_some_and(|kb| kb > MEMORY_MB * 1024) || descriptors > SOCKETS {
            let what = format!("{} kB resident, {descriptors} descriptors", kb.unwrap_or_default());
            self.recorder.event_log().limit_breaches.push((now, self.at, what));
        }
    }
}
