//! Stand-ins of the operators' platform for the review's cases: the protocol of PROTOCOL.md, the journal service,
//! streamers, viewers, and the start of controllers by the command of the deploy file. Standard library only.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn kill(pid: i32, signal: i32) -> i32;
    fn listen(fd: i32, backlog: i32) -> i32;
    fn prctl(option: i32, arg2: u64, arg3: u64, arg4: u64, arg5: u64) -> i32;
}

// ---- record ----

static START: OnceLock<Instant> = OnceLock::new();
static RECORD: OnceLock<Mutex<File>> = OnceLock::new();

/// Opens `record.txt` in the case's folder.
pub fn open_record(folder: &Path) {
    START.get_or_init(Instant::now);
    let file = File::create(folder.join("record.txt")).expect("record.txt can be written");
    RECORD.get_or_init(|| Mutex::new(file));
}

/// Seconds since the start of the case.
pub fn now() -> f64 {
    START.get_or_init(Instant::now).elapsed().as_secs_f64()
}

pub fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis())
}

/// Writes a line with its time to the record.
pub fn record(line: impl AsRef<str>) {
    if let Some(file) = RECORD.get() {
        let _ = writeln!(file.lock().unwrap(), "{:9.3} {}", now(), line.as_ref());
    }
}

/// Waits until so many seconds after the start of the case.
pub fn wait_until(at: f64) {
    let left = at - now();
    if left > 0.0 {
        sleep(Duration::from_secs_f64(left));
    }
}

/// Whether the disruption is to happen (`TROUBLE=0` leaves it out).
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// ---- messages ----

pub const SET_UP: u8 = 1;
pub const ANSWER: u8 = 9;
pub const RELEASE: u8 = 12;
pub const RELEASE_HEARD: u8 = 16;
pub const NOTE: u8 = 44;
pub const MOVE: u8 = 51;
pub const TEST: u8 = 52;
pub const TESTED: u8 = 53;
pub const RUNG: u8 = 60;

pub type Parameters = Vec<(u8, Vec<u8>)>;

#[derive(Clone, Debug)]
pub struct Message {
    pub kind: u8,
    pub session: u64,
    pub parameters: Parameters,
}

impl Message {
    pub fn new(kind: u8, session: u64, parameters: &[(u8, &[u8])]) -> Message {
        let parameters = parameters.iter().map(|(code, value)| (*code, value.to_vec())).collect();
        Message { kind, session, parameters }
    }

    pub fn release(session: u64, cause: u8) -> Message {
        Message::new(RELEASE, session, &[(92, &[cause])])
    }

    pub fn bytes(&self) -> Vec<u8> {
        let mut body = vec![self.kind];
        body.extend(self.session.to_be_bytes());
        for (code, value) in &self.parameters {
            body.push(*code);
            body.extend((value.len() as u16).to_be_bytes());
            body.extend(value);
        }
        let mut bytes = (body.len() as u16).to_be_bytes().to_vec();
        bytes.extend(body);
        bytes
    }

    pub fn get(&self, code: u8) -> Option<&[u8]> {
        self.parameters.iter().find(|(own, _)| *own == code).map(|(_, value)| &value[..])
    }

    pub fn text(&self, code: u8) -> String {
        String::from_utf8_lossy(self.get(code).unwrap_or_default()).into_owned()
    }

    pub fn cause(&self) -> u8 {
        self.get(92).and_then(|value| value.first().copied()).unwrap_or(0)
    }

    /// One line for the record.
    pub fn line(&self) -> String {
        let name = match self.kind {
            SET_UP => "set-up",
            6 => "progress",
            ANSWER => "answer",
            RELEASE => "release",
            RELEASE_HEARD => "release-heard",
            NOTE => "note",
            MOVE => "move",
            TEST => "test",
            TESTED => "tested",
            RUNG => "rung",
            _ => "unknown",
        };
        let mut line = format!("{name} {:016x}", self.session);
        for (code, value) in &self.parameters {
            match code {
                92 => line += &format!(" cause={}", value.first().unwrap_or(&0)),
                94 if value.len() > 60 => line += &format!(" 94=({} bytes)", value.len()),
                code => line += &format!(" {code}={}", String::from_utf8_lossy(value)),
            }
        }
        line
    }
}

pub fn read_message(from: &mut impl Read) -> io::Result<Message> {
    let mut head = [0; 2];
    from.read_exact(&mut head)?;
    let mut body = vec![0; usize::from(u16::from_be_bytes(head))];
    from.read_exact(&mut body)?;
    let bad = || io::Error::new(io::ErrorKind::InvalidData, "not a message");
    if body.len() < 9 {
        return Err(bad());
    }
    let session = u64::from_be_bytes(body[1..9].try_into().unwrap());
    let (mut rest, mut parameters) = (&body[9..], Vec::new());
    while !rest.is_empty() {
        if rest.len() < 3 {
            return Err(bad());
        }
        let length = usize::from(u16::from_be_bytes([rest[1], rest[2]]));
        if rest.len() < 3 + length {
            return Err(bad());
        }
        parameters.push((rest[0], rest[3..3 + length].to_vec()));
        rest = &rest[3 + length..];
    }
    Ok(Message { kind: body[0], session, parameters })
}

/// Waits for bytes to read on a socket with a read timeout; false if none came within it.
fn has_bytes(socket: &TcpStream) -> bool {
    let kind = socket.peek(&mut [0]).map_err(|error| error.kind());
    !matches!(kind, Err(io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut))
}

/// Makes the close of this socket a reset; it is sent as its last handle is dropped.
pub fn set_reset_on_close(socket: &TcpStream) {
    let linger = [1, 0];
    unsafe { setsockopt(socket.as_raw_fd(), 1, 13, linger.as_ptr(), 8) };
}

// ---- journal service ----

/// The journal service: numbered events, told to each connection after its `tail N`; every second the last number.
pub struct Journal {
    pub address: SocketAddr,
    events: Mutex<Vec<String>>,
    /// How long after `tail N` the first line of a connection comes, in milliseconds.
    pub answer_delay_ms: AtomicU64,
}

impl Journal {
    pub fn start(first_servers: &str) -> Arc<Journal> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let journal = Arc::new(Journal {
            address: listener.local_addr().unwrap(),
            events: Mutex::new(Vec::new()),
            answer_delay_ms: AtomicU64::new(0),
        });
        journal.push_event(true, first_servers);
        let own = journal.clone();
        spawn(move || {
            for socket in listener.incoming().flatten() {
                let journal = own.clone();
                spawn(move || journal.serve(socket));
            }
        });
        journal
    }

    fn push_event(&self, full: bool, servers: &str) -> usize {
        let mut events = self.events.lock().unwrap();
        let position = events.len() + 1;
        events.push(format!(
            "{{\"pos\":{position},\"hosts\":{{\"version\":{position},\"full\":{full},\"servers\":[{servers}]}}}}"
        ));
        position
    }

    /// A change of the list is in the journal service from now on.
    pub fn push(&self, servers: &str) {
        let position = self.push_event(false, servers);
        record(format!("journal service: event {position} is in: {servers}"));
    }

    /// The events up to now, in the form of the configuration file.
    pub fn known(&self) -> String {
        let events = self.events.lock().unwrap();
        format!("{{\"pos\":{},\"entries\":[{}]}}", events.len(), events.join(","))
    }

    fn serve(&self, mut socket: TcpStream) {
        let _ = socket.set_nodelay(true);
        let peer = socket.peer_addr().map(|peer| peer.port()).unwrap_or(0);
        let mut line = String::new();
        let Ok(reader) = socket.try_clone() else { return };
        if BufReader::new(reader).read_line(&mut line).unwrap_or(0) == 0 {
            return;
        }
        let Some(mut told) = line.trim().strip_prefix("tail ").and_then(|n| n.parse::<usize>().ok()) else { return };
        let asked = now();
        record(format!("journal service: connection {peer} asks {}", line.trim()));
        sleep(Duration::from_millis(self.answer_delay_ms.load(Ordering::Relaxed)));
        // The first line comes at once after that: the events, or the last number.
        let mut last_line_at = f64::NEG_INFINITY;
        loop {
            let new: Vec<String> = self.events.lock().unwrap()[told..].to_vec();
            let count = told + new.len();
            for event in new {
                if writeln!(socket, "{event}").is_err() {
                    return record(format!("journal service: connection {peer} was closed by its reader"));
                }
                told += 1;
                last_line_at = now();
                record(format!("journal service: wrote event {told} to connection {peer}"));
            }
            if now() - last_line_at >= 1.0 {
                let is_first = last_line_at < 0.0;
                if writeln!(socket, "{count}").is_err() {
                    return record(format!("journal service: connection {peer} was closed by its reader"));
                }
                last_line_at = now();
                if is_first {
                    record(format!("journal service: first line to connection {peer} after {:.3} s", now() - asked));
                }
            }
            sleep(Duration::from_millis(5));
        }
    }
}

/// An entry of the list.
pub fn entry(id: &str, address: SocketAddr, cell: usize, state: &str, started_ms: u128) -> String {
    format!(
        "{{\"id\":\"{id}\",\"addr\":\"{address}\",\"zone\":\"hal-a\",\"kind\":\"tre-kerner\",\"cell\":{cell},\
         \"state\":\"{state}\",\"weight\":3,\"started_ms\":{started_ms}}}"
    )
}

// ---- controllers ----

/// Settings of a small deployment: two controllers, two classes, two tenants, with `cells` cells.
pub fn settings(me: usize, cells: usize) -> String {
    format!(
        r#"{{"areas":["hal-a","hal-b"],"callers":{{"marks_retry":true}},
"charges":{{"connection":0.0,"cross_zone":0.02,"handshake":0.0,"late_fail":0.08,"membership_mode":0.0,"moves":0.13,"origin":0.0,"peer":0.0,"probe":0.0,"waste":0.0}},
"classes":[{{"aim":0.8,"effect":"non_idempotent","group":"all","hard_limit":3.0,"late_worth":0.0,"name":"proevelektion","streamed":true,"window":5.0,"worth":3.0}},
{{"aim":1.5,"effect":"read_like","group":"all","hard_limit":5.0,"late_worth":0.0,"name":"genafspil","streamed":true,"window":5.0,"worth":1.0}}],
"family":"streams",
"family_info":{{"class_scale":[1.0,1.0],"class_seats":[0,0],"guard":0.0,"join":1.0,"kb_per_weight":4267.0,"kind_slots":[40,27],"links_kb":96662.0,"live":[false,false],"lowest_rung":[0,0],"positions":{cells},"rack_link_kb":80000.0,"racks":1,"rung_kb":[210.0,400.0,640.0,1100.0,1900.0],"seen_after":0.76,"shortfall_cost":7.0,"switch_cost_s":0.58,"told_every":3.25,"top_by_class":[4,4],"worth_by_rung":[0.2,0.43,0.6,0.8,1.0]}},
"kinds":["tre-kerner","to-kerner"],"layer":0,"me":{me},"membership_mode":"pushed",
"objective_mix":{{"whole":0.5,"worst_class":0.2,"worst_tenant":0.1,"worst_window":0.2}},"over_share_worth":0.1,"peers_total":2,
"policy_limits":{{"conn_idle":15.0,"cpu_us_per_request":0.0,"cpu_us_per_s":400000,"dial_timeout":0.25,"max_retry_after":2.0,"may_cancel":true,"may_probe":false,"open_cap":20000,"peers":false,"retry_after":true,"second_copies":false,"streams_per_conn":32,"try_limit":5}},
"report":{{"how":"answers","names":["busy_reqs","x0"]}},"resolution":0.01,
"rules":{{"answer_slack":0.04,"cold":6.0,"cold_from":0.5,"fall":1.0,"fall_multiple":2.5,"stop_sending_within":0.25}},
"tenants":[{{"name":"flexhuset","quota_per_s":20.0,"share":0.71}},{{"name":"skrivebordsgaarden","quota_per_s":8.0,"share":0.29}}],
"tiers":["kursus-medie"],"weight_source":"nominal","worth_by":"work","zone":"hal-a"}}"#
    )
}

/// A controller, started by `run` of the deploy file; it ends with this process.
pub struct Controller {
    pub name: String,
    pub listen: SocketAddr,
    child: Child,
}

impl Controller {
    pub fn start(root: &Path, folder: &Path, me: usize, cells: usize, journal: &Journal) -> Controller {
        Controller::start_with(root, folder, me, cells, journal, 512)
    }

    /// The same with so many descriptors.
    pub fn start_with(
        root: &Path,
        folder: &Path,
        me: usize,
        cells: usize,
        journal: &Journal,
        sockets: usize,
    ) -> Controller {
        let name = format!("n{}", me + 1);
        let listen = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let config = folder.join(format!("{name}.json"));
        let text = format!(
            "{{\"name\":\"{name}\",\"listen\":\"{listen}\",\"seed\":\"8c1f30d27a5be96{me}\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":{sockets}}},\"journal\":\"{}\",\"known\":{},\"settings\":{}}}",
            journal.address,
            journal.known(),
            settings(me, cells)
        );
        std::fs::write(&config, text).expect("a configuration file");
        let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file");
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")?.split('"').next()).expect("its run");
        let log = File::create(folder.join(format!("{name}.log"))).unwrap();
        let tmp = folder.join(format!("{name}.tmp"));
        std::fs::create_dir_all(&tmp).unwrap();
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(run).current_dir(root);
        command.env("RELAY_NAME", &name).env("RELAY_LISTEN", listen.to_string()).env("RELAY_CONFIG", &config);
        command.env("TMPDIR", tmp);
        command.stdin(Stdio::null()).stdout(log.try_clone().unwrap()).stderr(log);
        // It is killed if this process dies.
        unsafe {
            command.pre_exec(|| {
                prctl(1, 9, 0, 0, 0);
                Ok(())
            })
        };
        let child = command.spawn().expect("the controller starts");
        record(format!("{name}: started, pid {}, listens on {listen}", child.id()));
        Controller { name, listen, child }
    }

    /// Waits until it passes a test.
    pub fn wait_ready(&self) {
        for _ in 0..400 {
            if let Ok(mut socket) = TcpStream::connect(self.listen) {
                let _ = socket.set_read_timeout(Some(Duration::from_secs(2)));
                let test = Message::new(TEST, 1, &[(92, &[0])]);
                if socket.write_all(&test.bytes()).is_ok() && read_message(&mut socket).is_ok() {
                    return record(format!("{}: passed its first test", self.name));
                }
            }
            sleep(Duration::from_millis(20));
        }
        cannot_run("a controller was not ready");
    }

    /// Makes it stand still, or go on.
    pub fn stand_still(&self, stands_still: bool) {
        record(format!("{}: {}", self.name, if stands_still { "stands still (SIGSTOP)" } else { "goes on (SIGCONT)" }));
        unsafe { kill(self.child.id() as i32, if stands_still { 19 } else { 18 }) };
    }

    /// Whether it still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Controller {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The case couldn't run. Controllers are killed as this process ends.
pub fn cannot_run(why: &str) -> ! {
    record(format!("RESULT could not run: {why}"));
    eprintln!("could not run: {why}");
    std::process::exit(2)
}

/// Ends the case with its verdict, after its controllers are killed.
pub fn finish(controllers: Vec<Controller>, broken: Option<String>) -> ! {
    let mut controllers = controllers;
    for controller in &mut controllers {
        if !controller.is_running() {
            record(format!("{} is not running any more", controller.name));
        }
    }
    drop(controllers);
    match broken {
        Some(how) => {
            record(format!("RESULT rule broken: {how}"));
            println!("rule broken: {how}");
            std::process::exit(1)
        }
        None => {
            record("RESULT rule held");
            println!("rule held");
            std::process::exit(0)
        }
    }
}

/// Root of the repository, folder of the case, and an empty temporary folder, as `run.sh` gives them.
pub fn arguments() -> (PathBuf, PathBuf, PathBuf) {
    let arguments: Vec<PathBuf> = std::env::args_os().skip(1).map(PathBuf::from).collect();
    if arguments.len() != 3 {
        eprintln!("usage: case ROOT FOLDER TEMPORARY");
        std::process::exit(2);
    }
    open_record(&arguments[1]);
    (arguments[0].clone(), arguments[1].clone(), arguments[2].clone())
}

// ---- streamers ----

/// The ladder and the link of a streamer, as `settings` has them.
const RUNGS_KB: [f64; 5] = [210.0, 400.0, 640.0, 1100.0, 1900.0];
const LINK_KB: f64 = 3.0 * 4267.0;

/// How a streamer treats set-ups.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Mode {
    /// Sets each up.
    Serves,
    /// Refuses each with cause 34.
    Full,
}

struct StreamerState {
    mode: Mode,
    /// The titles that it holds; all where none is named.
    holds: Vec<String>,
    /// The process that runs there; an earlier one's connections are reset.
    process: String,
    /// Sessions that stand, with the connection of their set-up and the rung in force.
    sessions: HashMap<u64, (u64, usize)>,
    connections: HashMap<u64, TcpStream>,
    last_connection: u64,
    /// Sessions that were ended here lately; their release is repeated on the next connection opened.
    ended: Vec<(u64, u8)>,
    /// Set-ups that came: time, process, session, title.
    pub set_ups: Vec<(f64, String, u64, String)>,
}

/// One address at which a streamer's process listens.
pub struct Streamer {
    pub address: SocketAddr,
    listener: TcpListener,
    /// Nobody takes connections.
    is_dark: AtomicBool,
    state: Mutex<StreamerState>,
}

impl Streamer {
    pub fn start(process: &str) -> Arc<Streamer> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let state = StreamerState {
            mode: Mode::Serves,
            holds: Vec::new(),
            process: process.to_owned(),
            sessions: HashMap::new(),
            connections: HashMap::new(),
            last_connection: 0,
            ended: Vec::new(),
            set_ups: Vec::new(),
        };
        let address = listener.local_addr().unwrap();
        let _ = listener.set_nonblocking(true);
        let streamer = Arc::new(Streamer { address, listener, is_dark: AtomicBool::new(false), state: Mutex::new(state) });
        let own = streamer.clone();
        spawn(move || loop {
            if !own.is_dark.load(Ordering::Acquire) {
                if let Ok((socket, _)) = own.listener.accept() {
                    let _ = socket.set_nonblocking(false);
                    let streamer = own.clone();
                    spawn(move || streamer.serve(socket));
                    continue;
                }
            }
            sleep(Duration::from_millis(1));
        });
        streamer
    }

    pub fn set_mode(&self, mode: Mode) {
        let mut state = self.state.lock().unwrap();
        state.mode = mode;
        record(format!("streamer {}: {mode:?} from now on", state.process));
    }

    pub fn set_ups(&self) -> Vec<(f64, String, u64, String)> {
        self.state.lock().unwrap().set_ups.clone()
    }

    pub fn stands(&self, session: u64) -> bool {
        self.state.lock().unwrap().sessions.contains_key(&session)
    }

    /// The process ends: its connections are reset and its sessions cut. New connections don't come up, as the queue of
    /// its listener is full and nobody takes from it, until `come_up`.
    pub fn end_process(&self) -> Vec<TcpStream> {
        self.is_dark.store(true, Ordering::Release);
        sleep(Duration::from_millis(20));
        unsafe { listen(self.listener.as_raw_fd(), 0) };
        let dial = || TcpStream::connect_timeout(&self.address, Duration::from_millis(30)).ok();
        let queue: Vec<TcpStream> = std::iter::from_fn(dial).take(64).collect();
        let mut state = self.state.lock().unwrap();
        let sessions: Vec<String> = state.sessions.drain().map(|(session, _)| format!("{session:016x}")).collect();
        state.ended.clear();
        let connections: Vec<TcpStream> = state.connections.drain().map(|(_, socket)| socket).collect();
        connections.iter().for_each(set_reset_on_close);
        record(format!(
            "streamer {}: its process ends, {} connections are reset, over are: {}; nothing comes up at its address",
            state.process,
            connections.len(),
            sessions.join(" ")
        ));
        queue
    }

    /// Another process listens at the address from now on.
    pub fn come_up(&self, process: &str, queue: Vec<TcpStream>) {
        self.state.lock().unwrap().process = process.to_owned();
        drop(queue);
        unsafe { listen(self.listener.as_raw_fd(), 128) };
        record(format!("streamer {process}: listens at {}", self.address));
        self.is_dark.store(false, Ordering::Release);
    }

    pub fn set_holds(&self, titles: &[&str]) {
        self.state.lock().unwrap().holds = titles.iter().map(|title| title.to_string()).collect();
    }

    /// The stream of a session runs to its end; its release goes out on the connection of its set-up, or any other.
    pub fn end(&self, session: u64, cause: u8) {
        let mut state = self.state.lock().unwrap();
        let Some((connection, _)) = state.sessions.remove(&session) else {
            return record(format!("streamer {}: {session:016x} does not stand here", state.process));
        };
        state.ended.push((session, cause));
        let message = Message::release(session, cause);
        let own = state.connections.get(&connection).or(state.connections.values().next());
        let is_written = own.and_then(|mut socket| socket.write_all(&message.bytes()).ok()).is_some();
        record(format!("streamer {}: writes {} ({is_written})", state.process, message.line()));
    }

    /// Resets all connections; the process and its sessions are well.
    pub fn reset_connections(&self) {
        let mut state = self.state.lock().unwrap();
        let connections: Vec<TcpStream> = state.connections.drain().map(|(_, socket)| socket).collect();
        record(format!("streamer {}: {} connections are reset, it is well", state.process, connections.len()));
        connections.iter().for_each(set_reset_on_close);
    }

    /// The sessions that stand.
    pub fn standing(&self) -> Vec<u64> {
        self.state.lock().unwrap().sessions.keys().copied().collect()
    }

    /// Connections that were opened up to now.
    pub fn connections_opened(&self) -> u64 {
        self.state.lock().unwrap().last_connection
    }

    fn serve(&self, socket: TcpStream) {
        let _ = socket.set_nodelay(true);
        let Ok(mut reader) = socket.try_clone() else { return };
        let (number, process) = {
            let mut state = self.state.lock().unwrap();
            state.last_connection += 1;
            let number = state.last_connection;
            record(format!("streamer {}: connection {number} opened", state.process));
            for (session, cause) in state.ended.clone() {
                let _ = (&socket).write_all(&Message::release(session, cause).bytes());
            }
            state.connections.insert(number, socket);
            (number, state.process.clone())
        };
        loop {
            // A connection that was taken from the list is reset or belongs to a machine that is gone.
            let _ = reader.set_read_timeout(Some(Duration::from_millis(2)));
            while !has_bytes(&reader) {
                if !self.state.lock().unwrap().connections.contains_key(&number) {
                    return;
                }
            }
            let _ = reader.set_read_timeout(None);
            let message = read_message(&mut reader);
            let mut state = self.state.lock().unwrap();
            if !state.connections.contains_key(&number) {
                return;
            }
            let Ok(message) = message else {
                record(format!("streamer {process}: connection {number} ended"));
                state.connections.remove(&number);
                return;
            };
            if message.kind != TEST {
                record(format!("streamer {process}: connection {number} brings {}", message.line()));
            }
            let reply = match message.kind {
                TEST => Some(Message::new(TESTED, message.session, &[(92, &[1])])),
                RELEASE => {
                    state.sessions.remove(&message.session);
                    Some(Message::new(RELEASE_HEARD, message.session, &[]))
                }
                SET_UP => {
                    state.set_ups.push((now(), process.clone(), message.session, message.text(72)));
                    if !state.holds.is_empty() && !state.holds.contains(&message.text(72)) {
                        // It does not hold the title.
                        Some(Message::release(message.session, 47))
                    } else if state.mode == Mode::Full {
                        let full = Message::new(RELEASE, message.session, &[(92, &[34]), (82, b"busy_reqs:40;x0:0.9")]);
                        Some(full)
                    } else {
                        let rung = message.text(86).parse().unwrap_or(0).min(RUNGS_KB.len() - 1);
                        state.sessions.insert(message.session, (number, rung));
                        let demand: f64 = state.sessions.values().map(|(_, rung)| RUNGS_KB[*rung]).sum();
                        let load = format!("busy_reqs:{};x0:{:.3}", state.sessions.len(), demand / LINK_KB);
                        let description = format!("stream {:016x} at {process}", message.session);
                        let answer = [(82, load.as_bytes()), (94, description.as_bytes())];
                        Some(Message::new(ANSWER, message.session, &answer))
                    }
                }
                RUNG => {
                    let rung = message.text(86).parse().unwrap_or(0).min(RUNGS_KB.len() - 1);
                    match state.sessions.get_mut(&message.session) {
                        Some(session) => {
                            session.1 = rung;
                            None
                        }
                        // What a streamer can't use it answers with an error.
                        None => Some(Message::release(message.session, 47)),
                    }
                }
                _ => None,
            };
            if let Some(reply) = reply {
                if reply.kind != TESTED {
                    record(format!("streamer {process}: connection {number} gets {}", reply.line()));
                }
                if let Some(mut socket) = state.connections.get(&number) {
                    let _ = socket.write_all(&reply.bytes());
                }
            }
        }
    }
}

// ---- viewers ----

/// A viewer's set-up; `more` goes behind its description.
pub fn set_up(
    session: u64,
    class: &str,
    wait_ms: u64,
    title: &str,
    home: usize,
    copies: usize,
    more: &str,
) -> Message {
    let figures = format!("home:{home};copies:{copies};top:4;viewer:{session:016x}");
    let (wait, description) = (wait_ms.to_string(), format!("asked {session:016x}{more}"));
    let parameters: [(u8, &[u8]); 6] = [
        (64, class.as_bytes()),
        (66, wait.as_bytes()),
        (68, b"flexhuset"),
        (72, title.as_bytes()),
        (74, figures.as_bytes()),
        (94, description.as_bytes()),
    ];
    Message::new(SET_UP, session, &parameters)
}

/// A connection from viewers; all that it receives is kept with its time.
pub struct ViewerConnection {
    pub name: String,
    socket: TcpStream,
    received: Arc<Mutex<Vec<(f64, Message)>>>,
    ended: Arc<AtomicBool>,
}

impl ViewerConnection {
    pub fn open(name: &str, controller: SocketAddr) -> ViewerConnection {
        let Ok(socket) = TcpStream::connect(controller) else { cannot_run("a viewer could not connect") };
        let _ = socket.set_nodelay(true);
        record(format!("viewer {name}: connected"));
        let received = Arc::new(Mutex::new(Vec::new()));
        let ended = Arc::new(AtomicBool::new(false));
        let (mut reader, own, own_end) = (socket.try_clone().unwrap(), received.clone(), ended.clone());
        let own_name = name.to_owned();
        spawn(move || {
            let end = loop {
                match read_message(&mut reader) {
                    Ok(message) => {
                        if message.kind != TESTED {
                            record(format!("viewer {own_name}: receives {}", message.line()));
                        }
                        own.lock().unwrap().push((now(), message));
                    }
                    Err(end) => break end,
                }
            };
            record(format!("viewer {own_name}: its connection ended ({:?})", end.kind()));
            own_end.store(true, Ordering::Release);
        });
        ViewerConnection { name: name.to_owned(), socket, received, ended }
    }

    pub fn send(&self, message: &Message) -> bool {
        if message.kind != TEST {
            record(format!("viewer {}: sends {}", self.name, message.line()));
        }
        (&self.socket).write_all(&message.bytes()).is_ok()
    }

    /// Writes bytes of a message that is recorded by its caller.
    pub fn write(&self, bytes: &[u8]) -> bool {
        (&self.socket).write_all(bytes).is_ok()
    }

    /// Sends a set-up with a description of its own.
    pub fn set_up(&self, session: u64, class: &str, wait_ms: u64, title: &str, home: usize, copies: usize) -> bool {
        self.send(&set_up(session, class, wait_ms, title, home, copies, ""))
    }

    pub fn test(&self, number: u64) -> bool {
        self.send(&Message::new(TEST, number, &[(92, &[0])]))
    }

    /// The messages about a session, with their times.
    pub fn about(&self, session: u64) -> Vec<(f64, Message)> {
        let received = self.received.lock().unwrap();
        received.iter().filter(|(_, m)| m.session == session && m.kind != TESTED).cloned().collect()
    }

    pub fn tests_passed(&self) -> usize {
        self.received.lock().unwrap().iter().filter(|(_, message)| message.kind == TESTED).count()
    }

    /// Waits for a message about a session.
    pub fn wait_for(&self, session: u64, seconds: f64) -> Option<Message> {
        let until = now() + seconds;
        loop {
            if let Some((_, message)) = self.about(session).into_iter().find(|(_, m)| m.kind == ANSWER || m.kind == RELEASE) {
                return Some(message);
            }
            if now() >= until {
                return None;
            }
            sleep(Duration::from_millis(5));
        }
    }

    /// Closes the connection.
    pub fn close(&self) {
        record(format!("viewer {}: closes its connection", self.name));
        let _ = self.socket.shutdown(Shutdown::Both);
    }

    pub fn has_ended(&self) -> bool {
        self.ended.load(Ordering::Acquire)
    }
}
