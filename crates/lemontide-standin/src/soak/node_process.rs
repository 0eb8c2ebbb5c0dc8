//! A controller as a real process: starts, signals, monitors and restarts it.

use super::event_log::{ColdBudget, NodeEvent, Recorder, CLASSES};
use super::plan::Plan;
use super::stub_discovery::StubDiscovery;
use crate::stub_platform;
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

/// Limits of a node, as set in its configuration: open descriptors, and resident memory.
const MAX_DESCRIPTORS: u64 = 512;
pub const MAX_MEMORY_MB: u64 = 64;
/// SIGKILL follows SIGTERM after this time: the longest deadline, counted as 3 s at most, plus 0.7 s.
const KILL_AFTER_S: f64 = 3.7;
/// Time from SIGKILL to the next start.
const RESTART_DELAY_S: f64 = 0.3;
/// Requests per second of one tenant over all nodes that count as within its share.
const TENANT_QUOTA_PER_S: f64 = 30.0;
/// Signals that follow SIGTERM where the scenario repeats shutdown signals, and the time between them.
const EXTRA_SHUTDOWN_SIGNALS: [UnixSignal; 4] =
    [UnixSignal::SIGHUP, UnixSignal::SIGTERM, UnixSignal::SIGHUP, UnixSignal::SIGTERM];
const SIGNAL_INTERVAL: Duration = Duration::from_millis(150);
/// How often a process is checked, and how long it may take to be ready.
const MONITOR_INTERVAL: Duration = Duration::from_millis(250);
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// The state of a node process, as clients know it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NodeStatus {
    /// It has passed a health test since its start.
    Up,
    /// SIGTERM was sent at this time.
    Terminating(f64),
    /// It has not passed a test since its start, or is stopped.
    Down,
}

/// A controller process and its files.
pub struct NodeProcess {
    pub index: usize,
    pub listen_address: SocketAddr,
    pub status: watch::Sender<NodeStatus>,
    program: PathBuf,
    folder: PathBuf,
    recorder: Arc<Recorder>,
    discovery: Arc<StubDiscovery>,
    settings: Json,
    zone: String,
    repeats_shutdown_signals: bool,
    child: Mutex<Option<Child>>,
    start_count: std::sync::atomic::AtomicU64,
}

/// The settings of all nodes.
pub fn settings(plan: &Plan) -> Json {
    let mut settings = stub_platform::settings();
    if let Some(capacity) = plan.server_capacity {
        settings["family_info"]["kind_slots"] = json!([capacity]);
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
    settings["peers_total"] = json!(plan.node_count);
    settings["family_info"]["positions"] = json!(plan.server_count);
    settings["policy_limits"]["try_limit"] = json!(5);
    settings["areas"] = json!((0..plan.zone_count).map(|zone| plan.zone(zone)).collect::<Vec<_>>());
    let share = 1.0 / plan.tenant_count as f64;
    let tenant =
        |at: usize| json!({"name": format!("t{at}"), "share": share, "quota_per_s": TENANT_QUOTA_PER_S});
    settings["tenants"] = json!((0..plan.tenant_count).map(tenant).collect::<Vec<_>>());
    settings
}

/// The budget of cold servers by these settings, which is rule 4 of the platform's page.
pub fn cold_budget(settings: &Json) -> Option<ColdBudget> {
    let number = |path: &str| settings.pointer(path).and_then(Json::as_f64);
    let (cold_span_s, window_s) = (number("/rules/cold").filter(|span| *span > 0.0)?, number("/rules/fall")?);
    let set_ups_per_s = number("/family_info/kind_slots/0")? / cold_span_s * number("/rules/cold_from")?;
    Some(ColdBudget {
        set_ups_per_window: number("/rules/fall_multiple")? * set_ups_per_s * window_s,
        window_s,
        cold_span_s,
    })
}

impl NodeProcess {
    /// Creates a node that is not started yet; its files are in the folder.
    pub fn new(
        plan: &Plan,
        (index, listen_address): (usize, SocketAddr),
        (program, folder): (&Path, &Path),
        (recorder, discovery): (Arc<Recorder>, Arc<StubDiscovery>),
        settings: Json,
    ) -> Arc<NodeProcess> {
        Arc::new(NodeProcess {
            index,
            listen_address,
            status: watch::channel(NodeStatus::Down).0,
            program: program.to_owned(),
            folder: folder.to_owned(),
            recorder,
            discovery,
            settings,
            zone: plan.zone(index),
            repeats_shutdown_signals: plan.repeats_shutdown_signals,
            child: Mutex::new(None),
            start_count: Default::default(),
        })
    }

    /// The configuration file of the process.
    fn config_path(&self) -> PathBuf {
        self.folder.join(format!("n{}.json", self.index))
    }

    /// The file to which the process writes its output.
    pub fn log_path(&self) -> PathBuf {
        self.folder.join(format!("n{}.log", self.index))
    }

    /// Writes the configuration and returns the position of the discovery list that it contains.
    fn write_config(&self) -> io::Result<u64> {
        let start_number = self.start_count.load(std::sync::atomic::Ordering::Relaxed);
        let mut settings = self.settings.clone();
        settings["me"] = json!(self.index);
        settings["zone"] = json!(self.zone);
        let (position, known) = self.discovery.snapshot();
        let config = json!({
            "name": format!("n{}", self.index), "listen": self.listen_address, "seed": format!("{:x}", start_number * 64 + self.index as u64),
            "limits": {"cores": 1.0, "memory_mb": MAX_MEMORY_MB, "sockets": MAX_DESCRIPTORS},
            "journal": self.discovery.address().to_string(), "known": known, "settings": settings,
        });
        // The file is replaced atomically, as an operator does.
        let new = self.config_path().with_extension("new");
        std::fs::write(&new, config.to_string())?;
        std::fs::rename(new, self.config_path())?;
        Ok(position)
    }

    /// Starts the process and waits until it passes a health test, or until the timeout.
    pub async fn start(self: &Arc<NodeProcess>) -> io::Result<()> {
        self.start_count.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let position = self.write_config()?;
        self.discovery.mark_sent_up_to(position);
        let log = std::fs::OpenOptions::new().create(true).append(true).open(self.log_path())?;
        let command = format!("ulimit -n {MAX_DESCRIPTORS}; exec \"$0\" --log-text serve");
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(command)
            .arg(&self.program)
            .env("LEMONTIDE_LOG", "warn,attempt=debug,decision=debug,streamers=debug,viewers=debug")
            .env("RELAY_NAME", format!("n{}", self.index))
            .env("RELAY_CONFIG", self.config_path())
            .env("RELAY_LISTEN", self.listen_address.to_string())
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        self.recorder.record_node_event(self.index, NodeEvent::Started);
        *self.child.lock().await = Some(child);
        if timeout(READY_TIMEOUT, self.wait_until_ready()).await.is_ok() {
            self.recorder.record_node_event(self.index, NodeEvent::Ready);
            self.status.send_replace(NodeStatus::Up);
        }
        Ok(())
    }

    /// Waits until the process answers a health test.
    async fn wait_until_ready(&self) {
        loop {
            if let Ok(mut client) = stub_platform::PlatformConnection::connect(self.listen_address).await {
                if client.send(0, Body::Test).await.is_ok() && client.receive().await.is_ok() {
                    return;
                }
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    async fn signal(&self, signal: UnixSignal) {
        let child = self.child.lock().await;
        if let Some(id) = child.as_ref().and_then(Child::id) {
            // `monitor` notices a process that has exited meanwhile.
            let _ = kill(Pid::from_raw(id as i32), signal);
        }
    }

    /// Sends SIGTERM, then SIGKILL at the earliest time that is allowed, and starts the process again.
    pub async fn restart(self: Arc<NodeProcess>) -> io::Result<()> {
        let now = self.recorder.now();
        self.recorder.record_node_event(self.index, NodeEvent::Terminate);
        self.status.send_replace(NodeStatus::Terminating(now));
        self.signal(UnixSignal::SIGTERM).await;
        for signal in EXTRA_SHUTDOWN_SIGNALS.into_iter().filter(|_| self.repeats_shutdown_signals) {
            sleep(SIGNAL_INTERVAL).await;
            self.signal(signal).await;
        }
        tokio::time::sleep_until(self.recorder.instant(now + KILL_AFTER_S)).await;
        self.kill_and_restart().await
    }

    /// Kills the process and starts it again.
    pub async fn kill_and_restart(self: Arc<NodeProcess>) -> io::Result<()> {
        self.stop().await;
        sleep(Duration::from_secs_f64(RESTART_DELAY_S)).await;
        self.start().await
    }

    /// Kills the process. The time of SIGKILL is logged when the process is gone, as it may have read what was sent
    /// until then.
    pub async fn stop(&self) {
        self.status.send_replace(NodeStatus::Down);
        if let Some(mut child) = self.child.lock().await.take() {
            let _ = child.start_kill();
            let _ = child.wait().await;
        }
        self.recorder.record_node_event(self.index, NodeEvent::Kill);
    }

    /// Moves discovery to its next address and writes a new configuration, so many times, each with a SIGHUP.
    pub async fn reconfigure(&self, times: usize) -> io::Result<()> {
        for _ in 0..times {
            self.discovery.move_to_next_address();
            self.write_config()?;
            self.recorder.record_node_event(self.index, NodeEvent::Reconfigure);
            self.signal(UnixSignal::SIGHUP).await;
            sleep(Duration::from_millis(200)).await;
        }
        Ok(())
    }

    /// Monitors the process: whether it has exited by itself, and whether it exceeds its resource limits.
    pub async fn monitor(self: Arc<NodeProcess>) {
        loop {
            sleep(MONITOR_INTERVAL).await;
            let mut child = self.child.lock().await;
            let Some(process) = child.as_mut() else { continue };
            match process.try_wait() {
                Ok(None) => {
                    if let Some(id) = process.id() {
                        self.check_resource_limits(id);
                    }
                }
                Ok(Some(exit)) => {
                    let was_terminated = matches!(*self.status.borrow(), NodeStatus::Terminating(_));
                    self.recorder.record_node_event(
                        self.index,
                        NodeEvent::Exited { is_expected: was_terminated && exit.success() },
                    );
                    child.take();
                }
                Err(_) => {}
            }
        }
    }

    /// Logs a breach of the memory or the descriptor limit.
    fn check_resource_limits(&self, id: u32) {
        let now = self.recorder.now();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let resident_kb = resident.and_then(|line| line.trim().trim_end_matches(" kB").parse::<u64>().ok());
        let descriptors = std::fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count) as u64;
        if resident_kb.is_some_and(|kb| kb > MAX_MEMORY_MB * 1024) || descriptors > MAX_DESCRIPTORS {
            let values =
                format!("{} kB resident, {descriptors} descriptors", resident_kb.unwrap_or_default());
            self.recorder.event_log().limit_breaches.push((now, self.index, values));
        }
    }
}
