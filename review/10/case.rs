//! Bad clients hand over sessions that no streamer knows, hundreds at once and again and again. The controller must stay
//! under its memory limit, over which the platform kills it.

#[path = "../standin-2/common.rs"]
mod common;

use common::*;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;

const STREAMERS: usize = 6;
const BAD_CLIENTS: u64 = 6;
/// Each bad client sends so many at once, closes, and comes again after a while.
const AT_ONCE: usize = 300;
const PAUSE_S: f64 = 0.2;
const TROUBLE_FROM_S: f64 = 6.0;
const END_S: f64 = 100.0;
/// The highest limit of a scored day; the configuration of the controller gives it.
const MEMORY_MB: f64 = 192.0;
const REQUESTS_PER_S: f64 = 4.0;

fn start_streamer(record: &Record, number: usize, listener: TcpListener) {
    let record = record.clone();
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let record = record.clone();
            thread::spawn(move || {
                let connection = Connection::new(socket);
                while let Ok(message) = connection.read() {
                    let session = message.session;
                    let reply = match message.kind {
                        TEST => Message::new(TEST_RESULT, session).with(92, &[1]),
                        RELEASE => Message::new(RELEASE_HEARD, session),
                        SET_UP => {
                            record.line(&format!("s-{number}: runs {session:016x}"));
                            let (connection, session) = (connection.clone(), session);
                            thread::spawn(move || {
                                sleep(5.0);
                                let _ = connection.send(&Message::release(session, 16));
                            });
                            Message::answer(session, &format!("play-{session:x}"))
                        }
                        _ => continue,
                    };
                    if connection.send(&reply).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

/// Sends hundreds of hand-overs at full speed, reads what comes, and does it again.
fn start_bad_client(record: &Record, number: u64, controller: SocketAddr) {
    let record = record.clone();
    thread::spawn(move || {
        record.wait_until(TROUBLE_FROM_S);
        let mut chance = Chance(0x0bad_0000 + number);
        let mut sent = 0;
        loop {
            let Ok(socket) = TcpStream::connect(controller) else { return };
            let connection = Connection::new(socket);
            let reader = connection.clone();
            thread::spawn(move || while reader.read().is_ok() {});
            for _ in 0..AT_ONCE {
                let session = chance.next();
                let mut message =
                    set_up(session, "genafspil", &format!("t{:015x}", session % 50), 3000, 0, 1);
                let figures = message.parameters.iter_mut().filter(|(code, _)| *code == 74);
                let at = format!(";at:s-{}", session % STREAMERS as u64);
                figures.for_each(|(_, value)| value.extend_from_slice(at.as_bytes()));
                if connection.send(&message).is_err() {
                    break;
                }
                sent += 1;
            }
            if sent % 6000 == 0 {
                record.line(&format!(
                    "bad client {number}: has handed over {sent} sessions that no streamer knows"
                ));
            }
            sleep(PAUSE_S);
            connection.close();
        }
    });
}

fn resident_mb(pid: u32) -> Option<f64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kb: f64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kb / 1024.0)
}

fn main() {
    let record = Record::create();
    let mut entries = Vec::new();
    for number in 0..STREAMERS {
        let listener = listen();
        entries.push(entry(&format!("s-{number}"), address_of(&listener), 0, "in_service", 0.0));
        start_streamer(&record, number, listener);
    }
    let journal = Journal::start(&record, &entries);
    let settings = Settings { cells: 1, ..Settings::default() }.json();
    let mut controller = Controller::start(&record, "n1", &settings, journal.address, &journal.known());
    if with_trouble() {
        (0..BAD_CLIENTS).for_each(|number| start_bad_client(&record, number, controller.address));
    }
    record.wait_until(4.0);
    let client = Client::connect(&record, controller.address).unwrap_or_else(|e| cannot_run(&e.to_string()));
    let mut chance = Chance(0x5eed_0012);
    let (mut broken, mut told_at) = (Vec::new(), 0.0);
    while record.now() < END_S && broken.is_empty() {
        let session = chance.next();
        let message = set_up(session, "genafspil", &format!("t{:015x}", session % 50), 3000, 0, 1);
        let _ = client.connection.send(&message);
        sleep(1.0 / REQUESTS_PER_S);
        if let Some(how) = controller.ended() {
            broken.push(format!("the controller has ended: {how}: {}", controller.log()));
            break;
        }
        let Some(resident) = resident_mb(controller.pid()) else { cannot_run("its memory can't be read") };
        if record.now() > told_at + 2.0 {
            told_at = record.now();
            record.line(&format!("controller: resident memory {resident:.1} MB"));
        }
        if resident > MEMORY_MB {
            broken.push(format!(
                "the controller holds {resident:.1} MB at {:.1} s; over {MEMORY_MB:.0} MB the platform kills it",
                record.now()
            ));
        }
    }
    drop(controller);
    std::process::exit(verdict(&record, &broken));
}
