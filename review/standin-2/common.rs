//! Stand-ins for the cases of the second review: clients, streamers and the journal service of the operators' platform,
//! and the controller as a process of its own. Only the standard library is used, and only loopback addresses.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const SET_UP: u8 = 1;
pub const PROGRESS: u8 = 6;
pub const ANSWER: u8 = 9;
pub const RELEASE: u8 = 12;
pub const RELEASE_HEARD: u8 = 16;
pub const NOTE: u8 = 44;
pub const MOVE: u8 = 51;
pub const TEST: u8 = 52;
pub const TEST_RESULT: u8 = 53;
pub const RUNG: u8 = 60;

pub fn sleep(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds.max(0.0)));
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

pub fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64() * 1e3)
}

/// Whether the disruption is played.
pub fn with_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The record of a run: one line for each thing that was sent, answered or run.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn create() -> Record {
        start_watchdog();
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".into());
        let file = File::create(&path).unwrap_or_else(|e| cannot_run(&format!("{path}: {e}")));
        let record = Record(Arc::new((Instant::now(), Mutex::new(file))));
        record.line(&format!("trouble={}", u8::from(with_trouble())));
        record
    }

    /// Seconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.0 .0.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let mut file = lock(&self.0 .1);
        let _ = writeln!(file, "{:9.4} {text}", self.0 .0.elapsed().as_secs_f64());
    }

    pub fn wait_until(&self, seconds: f64) {
        sleep(seconds - self.now());
    }
}

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

/// Sends a signal to a process that the case started.
pub fn signal(pid: u32, number: i32) {
    unsafe { kill(pid as i32, number) };
}

/// The controllers that run now.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// The case can't run: ends what it started, with exit code 2.
pub fn cannot_run(why: &str) -> ! {
    const SIGKILL: i32 = 9;
    lock(&RUNNING).iter().for_each(|pid| signal(*pid, SIGKILL));
    eprintln!("can't run: {why}");
    std::process::exit(2)
}

/// Ends the run if it takes longer than this.
const LONGEST_RUN_S: f64 = 117.0;

fn start_watchdog() {
    thread::spawn(|| {
        sleep(LONGEST_RUN_S);
        cannot_run("it took too long")
    });
}

/// One message of the protocol.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    pub kind: u8,
    pub session: u64,
    pub parameters: Vec<(u8, Vec<u8>)>,
}

impl Message {
    pub fn new(kind: u8, session: u64) -> Message {
        Message { kind, session, parameters: Vec::new() }
    }

    pub fn with(mut self, code: u8, value: &[u8]) -> Message {
        self.parameters.push((code, value.to_vec()));
        self
    }

    pub fn release(session: u64, cause: u8) -> Message {
        Message::new(RELEASE, session).with(92, &[cause])
    }

    pub fn answer(session: u64, description: &str) -> Message {
        Message::new(ANSWER, session).with(82, b"busy_reqs:1;x0:0.1").with(94, description.as_bytes())
    }

    pub fn text(&self, code: u8) -> String {
        let found = self.parameters.iter().find(|(own, _)| *own == code);
        found.map_or(String::new(), |(_, value)| String::from_utf8_lossy(value).into_owned())
    }

    pub fn cause(&self) -> u8 {
        let found = self.parameters.iter().find(|(own, _)| *own == 92);
        found.and_then(|(_, value)| value.first().copied()).unwrap_or(0)
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut body = vec![self.kind];
        body.extend_from_slice(&self.session.to_be_bytes());
        for (code, value) in &self.parameters {
            body.push(*code);
            body.extend_from_slice(&(value.len() as u16).to_be_bytes());
            body.extend_from_slice(value);
        }
        let mut bytes = (body.len() as u16).to_be_bytes().to_vec();
        bytes.extend_from_slice(&body);
        bytes
    }

    /// The next message of a connection; an error once it has ended or can't be read.
    pub fn read(from: &mut impl Read) -> io::Result<Message> {
        let mut head = [0; 2];
        from.read_exact(&mut head)?;
        let mut body = vec![0; usize::from(u16::from_be_bytes(head))];
        from.read_exact(&mut body)?;
        let bad = || io::Error::new(io::ErrorKind::InvalidData, "not a message");
        if body.len() < 9 {
            return Err(bad());
        }
        let session = u64::from_be_bytes(body[1..9].try_into().map_err(|_| bad())?);
        let mut message = Message::new(body[0], session);
        let mut rest = &body[9..];
        while !rest.is_empty() {
            if rest.len() < 3 {
                return Err(bad());
            }
            let length = usize::from(u16::from_be_bytes([rest[1], rest[2]]));
            if rest.len() < 3 + length {
                return Err(bad());
            }
            message.parameters.push((rest[0], rest[3..3 + length].to_vec()));
            rest = &rest[3 + length..];
        }
        Ok(message)
    }

    pub fn describe(&self) -> String {
        let session = format!("{:016x}", self.session);
        match self.kind {
            SET_UP => format!(
                "set-up {session} class={} title={} wait_ms={} rung={} figures={}",
                self.text(64),
                self.text(72),
                self.text(66),
                self.text(86),
                self.text(74)
            ),
            ANSWER => format!("answer {session} description={}", self.text(94)),
            RELEASE => format!("release {session} cause={}", self.cause()),
            RELEASE_HEARD => format!("release heard {session}"),
            TEST => format!("test {session}"),
            TEST_RESULT => format!("test result {session}"),
            RUNG => format!("rung {session} {}", self.text(86)),
            MOVE => format!("move {session}"),
            NOTE => format!("note {session} {}={}", self.text(78), self.text(88)),
            kind => format!("message of type {kind} {session}"),
        }
    }
}

/// One row of the settings' classes.
pub struct Class {
    pub name: &'static str,
    pub effect: &'static str,
    pub aim: f64,
    pub hard_limit: f64,
}

/// The two classes of a small deployment: one that is paid for at set-up, one that may be repeated.
pub const CLASSES: &[Class] = &[
    Class { name: "proevelektion", effect: "non_idempotent", aim: 0.8, hard_limit: 3.0 },
    Class { name: "genafspil", effect: "read_like", aim: 1.5, hard_limit: 5.0 },
];

/// What the cases change of the settings of a small deployment.
pub struct Settings {
    pub me: usize,
    pub controllers: usize,
    pub cells: usize,
    pub slots: usize,
    pub cold: f64,
    pub extra_rules: &'static str,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { me: 0, controllers: 1, cells: 2, slots: 40, cold: 6.0, extra_rules: "" }
    }
}

impl Settings {
    pub fn json(&self) -> String {
        let classes: Vec<String> = CLASSES
            .iter()
            .map(|c| {
                format!(
                    r#"{{"name":"{}","effect":"{}","aim":{},"hard_limit":{},"worth":1.0,"group":"all","window":5.0,"streamed":true,"late_worth":0.0}}"#,
                    c.name, c.effect, c.aim, c.hard_limit
                )
            })
            .collect();
        format!(
            r#"{{"areas":["hal-a","hal-b"],"zone":"hal-a","me":{me},"peers_total":{controllers},"kinds":["tre-kerner"],
"callers":{{"marks_retry":true}},"charges":{{"cross_zone":0.02,"late_fail":0.08,"moves":0.13}},
"classes":[{classes}],"tenants":[{{"name":"flexhuset","share":1.0,"quota_per_s":1000.0}}],
"family":"streams","family_info":{{"class_scale":[1.0,1.0],"class_seats":[0,0],"guard":0.0,"join":1.0,
"kb_per_weight":40000.0,"kind_slots":[{slots}],"links_kb":1000000.0,"live":[false,false],"lowest_rung":[0,0],
"positions":{cells},"rack_link_kb":1000000.0,"racks":1,"rung_kb":[200.0,400.0,600.0],"seen_after":0.8,
"shortfall_cost":7.0,"switch_cost_s":0.6,"told_every":3.0,"top_by_class":[2,2],"worth_by_rung":[0.2,0.6,1.0]}},
"layer":0,"membership_mode":"pushed","over_share_worth":0.1,
"policy_limits":{{"conn_idle":15.0,"dial_timeout":0.25,"max_retry_after":0.5,"may_cancel":true,"may_probe":false,
"peers":false,"retry_after":true,"second_copies":false,"streams_per_conn":32,"try_limit":5}},
"report":{{"how":"answers","names":["busy_reqs","x0"]}},"resolution":0.01,
"rules":{{"answer_slack":0.04,"cold":{cold},"cold_from":0.5,"fall":1.0,"fall_multiple":2.5,
"stop_sending_within":0.25{extra}}},
"tiers":["kursus-medie"],"weight_source":"nominal","worth_by":"request"}}"#,
            me = self.me,
            controllers = self.controllers,
            classes = classes.join(","),
            slots = self.slots,
            cells = self.cells,
            cold = self.cold,
            extra = self.extra_rules,
        )
    }
}

/// One entry of the list of streamers.
pub fn entry(id: &str, address: SocketAddr, cell: usize, state: &str, started_ms: f64) -> String {
    format!(
        r#"{{"id":"{id}","addr":"{address}","zone":"hal-a","kind":"tre-kerner","cell":{cell},"state":"{state}","weight":1,"started_ms":{started_ms:.0}}}"#
    )
}

/// One event of the journal service.
pub fn event(pos: usize, full: bool, entries: &[String]) -> String {
    format!(r#"{{"pos":{pos},"hosts":{{"version":{pos},"full":{full},"servers":[{}]}}}}"#, entries.join(","))
}

/// The journal service. It tells each reader the events after the one that it names, and the last number every second.
pub struct Journal {
    pub address: SocketAddr,
    shared: Arc<(Mutex<Vec<String>>, Condvar)>,
    record: Record,
}

impl Journal {
    pub fn start(record: &Record, first: &[String]) -> Journal {
        Journal::start_slow(record, first, 0.0)
    }

    /// A service that begins to tell a reader anything only so many seconds after it was asked.
    pub fn start_slow(record: &Record, first: &[String], delay_s: f64) -> Journal {
        let listener = listen();
        let address = address_of(&listener);
        let shared = Arc::new((Mutex::new(vec![event(1, true, first)]), Condvar::new()));
        let (events, log) = (shared.clone(), record.clone());
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let (events, log) = (events.clone(), log.clone());
                thread::spawn(move || Journal::serve(socket, &events, &log, delay_s));
            }
        });
        Journal { address, shared, record: record.clone() }
    }

    fn serve(socket: TcpStream, events: &(Mutex<Vec<String>>, Condvar), log: &Record, delay_s: f64) {
        let Ok(copy) = socket.try_clone() else { return };
        let mut line = String::new();
        if BufReader::new(copy).read_line(&mut line).is_err() {
            return;
        }
        let Some(mut told) = line.trim().strip_prefix("tail ").and_then(|n| n.parse::<usize>().ok()) else {
            return;
        };
        log.line(&format!("journal: asked for what follows {told}"));
        sleep(delay_s);
        let mut socket = socket;
        let mut last_word = Instant::now();
        let mut known = lock(&events.0);
        loop {
            let new: Vec<String> = known.iter().skip(told).cloned().collect();
            let position = known.len();
            drop(known);
            for event in new {
                if socket.write_all(format!("{event}\n").as_bytes()).is_err() {
                    return log.line("journal: a reader has left");
                }
                told += 1;
                log.line(&format!("journal: told event {told}"));
            }
            if last_word.elapsed() >= Duration::from_secs(1) {
                last_word = Instant::now();
                if socket.write_all(format!("{position}\n").as_bytes()).is_err() {
                    return log.line("journal: a reader has left");
                }
            }
            known = lock(&events.0);
            if known.len() > told {
                continue;
            }
            known = events
                .1
                .wait_timeout(known, Duration::from_millis(100))
                .map_or_else(|e| e.into_inner().0, |r| r.0);
        }
    }

    /// Adds an event.
    pub fn tell(&self, entries: &[String]) {
        let mut events = lock(&self.shared.0);
        let pos = events.len() + 1;
        self.record.line(&format!("journal: event {pos} is in the service: {}", entries.join(" ")));
        events.push(event(pos, false, entries));
        self.shared.1.notify_all();
    }

    /// All events up to now, as `known` of a configuration.
    pub fn known(&self) -> String {
        let events = lock(&self.shared.0);
        format!(r#"{{"pos":{},"entries":[{}]}}"#, events.len(), events.join(","))
    }
}

pub fn listen() -> TcpListener {
    TcpListener::bind(("127.0.0.1", 0)).unwrap_or_else(|e| cannot_run(&format!("no free port: {e}")))
}

pub fn address_of(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().unwrap_or_else(|e| cannot_run(&e.to_string()))
}

/// A connection on which several threads write.
#[derive(Clone)]
pub struct Connection {
    pub number: u64,
    pub socket: Arc<TcpStream>,
    writing: Arc<Mutex<()>>,
}

static CONNECTIONS: AtomicU64 = AtomicU64::new(0);

impl Connection {
    pub fn new(socket: TcpStream) -> Connection {
        let _ = socket.set_nodelay(true);
        Connection {
            number: CONNECTIONS.fetch_add(1, Ordering::Relaxed) + 1,
            socket: Arc::new(socket),
            writing: Arc::default(),
        }
    }

    pub fn send(&self, message: &Message) -> io::Result<()> {
        let _turn = lock(&self.writing);
        (&*self.socket).write_all(&message.encode())
    }

    pub fn read(&self) -> io::Result<Message> {
        Message::read(&mut &*self.socket)
    }

    pub fn close(&self) {
        let _ = self.socket.shutdown(Shutdown::Both);
    }
}

/// A controller as a process of its own, started by the `run` line of the deploy file.
pub struct Controller {
    child: Child,
    pub address: SocketAddr,
    folder: PathBuf,
}

impl Controller {
    /// Starts it in a temporary folder, and waits until it passes a test.
    pub fn start(
        record: &Record,
        name: &str,
        settings: &str,
        journal: SocketAddr,
        known: &str,
    ) -> Controller {
        for _ in 0..8 {
            let address = address_of(&listen());
            let mut controller = Controller::start_at(record, name, settings, journal, known, address);
            // Another program may have taken the port in between.
            sleep(0.15);
            if controller.ended().is_some() && controller.log().contains("Address already in use") {
                continue;
            }
            controller.wait_until_ready(record);
            return controller;
        }
        cannot_run("no free port for a controller")
    }

    pub fn start_at(
        record: &Record,
        name: &str,
        settings: &str,
        journal: SocketAddr,
        known: &str,
        address: SocketAddr,
    ) -> Controller {
        let folder =
            std::env::temp_dir().join(format!("review-2-{}-{name}-{}", std::process::id(), address.port()));
        std::fs::create_dir_all(&folder).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let config_path = folder.join("config.json");
        write_config(&config_path, name, settings, journal, known, address);
        let log_path = folder.join("log.txt");
        let log = File::create(&log_path).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let root = std::env::var("ROOT").unwrap_or_else(|_| ".".into());
        let arguments = std::env::var("CONTROLLER_ARGUMENTS").unwrap_or_default();
        let mut command = Command::new("/bin/sh");
        // It ends with this process, however that ends.
        let end_with_parent = || {
            const PR_SET_PDEATHSIG: i32 = 1;
            const SIGKILL: u64 = 9;
            unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) };
            Ok(())
        };
        unsafe { std::os::unix::process::CommandExt::pre_exec(&mut command, end_with_parent) };
        let child = command
            .args(["-c", &format!("exec target/release/lemontide serve {arguments}")])
            .current_dir(root)
            .env("RELAY_NAME", name)
            .env("RELAY_LISTEN", address.to_string())
            .env("RELAY_CONFIG", &config_path)
            .env("TMPDIR", &folder)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::from(log))
            .spawn()
            .unwrap_or_else(|e| cannot_run(&format!("the controller does not start: {e}")));
        lock(&RUNNING).push(child.id());
        record.line(&format!("controller {name}: started, pid {}", child.id()));
        Controller { child, address, folder }
    }

    pub fn wait_until_ready(&self, record: &Record) {
        let start = Instant::now();
        while start.elapsed() < Duration::from_secs(30) {
            if let Ok(socket) = TcpStream::connect(self.address) {
                let connection = Connection::new(socket);
                let test = Message::new(TEST, 1).with(92, &[0]);
                if connection.send(&test).is_ok() && connection.read().is_ok_and(|m| m.kind == TEST_RESULT) {
                    record.line("controller: has passed a test");
                    return;
                }
            }
            sleep(0.02);
        }
        eprintln!("{}", self.log());
        cannot_run("the controller is not ready within 30 s")
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// How it ended, if it has.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log.txt")).unwrap_or_default()
    }

    pub fn config_path(&self) -> PathBuf {
        self.folder.join("config.json")
    }
}

impl Drop for Controller {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        lock(&RUNNING).retain(|pid| *pid != self.child.id());
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

pub fn write_config(
    path: &Path,
    name: &str,
    settings: &str,
    journal: SocketAddr,
    known: &str,
    address: SocketAddr,
) {
    let text = format!(
        r#"{{"name":"{name}","listen":"{address}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":256}},"journal":"{journal}","known":{known},"settings":{settings}}}"#
    );
    std::fs::write(path, text).unwrap_or_else(|e| cannot_run(&e.to_string()));
}

/// What a client has heard on one connection.
pub struct Client {
    pub connection: Connection,
    pub heard: Receiver<(f64, Option<Message>)>,
}

impl Client {
    /// Connects to a controller; what it sends arrives in `heard`, and `None` at the end of the connection.
    pub fn connect(record: &Record, address: SocketAddr) -> io::Result<Client> {
        let connection = Connection::new(TcpStream::connect(address)?);
        let (sender, heard) = channel();
        let (reader, record) = (connection.clone(), record.clone());
        thread::spawn(move || loop {
            let message = reader.read().ok();
            match &message {
                Some(message) => {
                    record.line(&format!("client {}: got {}", reader.number, message.describe()))
                }
                None => record.line(&format!("client {}: connection ended", reader.number)),
            }
            let is_last = message.is_none();
            if sender.send((record.now(), message)).is_err() || is_last {
                return;
            }
        });
        Ok(Client { connection, heard })
    }

    pub fn send(&self, record: &Record, message: &Message) -> io::Result<()> {
        record.line(&format!("client {}: sends {}", self.connection.number, message.describe()));
        self.connection.send(message)
    }
}

/// A set-up of a viewer.
pub fn set_up(session: u64, class: &str, title: &str, wait_ms: u64, home: usize, copies: usize) -> Message {
    Message::new(SET_UP, session)
        .with(64, class.as_bytes())
        .with(66, wait_ms.to_string().as_bytes())
        .with(68, b"flexhuset")
        .with(72, title.as_bytes())
        .with(74, format!("home:{home};copies:{copies};top:2;viewer:{session:016x}").as_bytes())
        .with(94, format!("offer-{session:x}").as_bytes())
}

/// Ends a run with the verdict.
pub fn verdict(record: &Record, broken: &[String]) -> i32 {
    for line in broken {
        record.line(&format!("BROKEN: {line}"));
        println!("BROKEN: {line}");
    }
    let text = if broken.is_empty() { "the rule held" } else { "the rule was broken" };
    record.line(text);
    println!("{text}");
    i32::from(!broken.is_empty())
}

/// A small generator of chance with a fixed start.
pub struct Chance(pub u64);

impl Chance {
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// A number from 0 to 1.
    pub fn part(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
}

pub type Map<K, V> = HashMap<K, V>;

extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const [i32; 2], length: u32) -> i32;
    fn dup2(from: i32, to: i32) -> i32;
}

/// Resets a connection: its socket is closed with nothing left to send, though other threads still hold it, and the other
/// end reads a reset.
pub fn reset(socket: &TcpStream) {
    use std::os::fd::AsRawFd;
    // The values are those of Linux on x86-64 and on arm64.
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    // On, for 0 seconds.
    let linger = [1i32, 0];
    unsafe { setsockopt(socket.as_raw_fd(), SOL_SOCKET, SO_LINGER, &linger, 8) };
    // Sends nothing; it wakes a thread that reads, which would keep the socket open.
    let _ = socket.shutdown(Shutdown::Read);
    match File::open("/dev/null") {
        Ok(null) => unsafe { dup2(null.as_raw_fd(), socket.as_raw_fd()) },
        Err(e) => cannot_run(&format!("/dev/null: {e}")),
    };
}
