//! The journal service is slow: it begins to tell a reader something 1.6 s after it was asked. A streamer drains, and
//! ends 15 s later. The controller must learn of the drain in the time that the pages give and send nothing new there;
//! what it sends there all the same is cut when the streamer ends.

#[path = "../standin-2/common.rs"]
mod common;

use common::*;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

const SLOW_S: f64 = 1.6;
const DRAIN_AT_S: f64 = 12.0;
const ENDS_AFTER_S: f64 = 15.0;
const END_S: f64 = 32.0;
/// At the latest 4 s after it is in the service an event counts as told; then the grace of the settings, and 50 ms.
const TOLD_S: f64 = 4.0;
const GRACE_S: f64 = 0.25 + 0.05;
const REQUESTS_PER_S: f64 = 8.0;
const LIFE_S: f64 = 4.0;

#[derive(Default)]
struct Streamer {
    number: usize,
    has_ended: AtomicBool,
    connections: Mutex<Vec<Connection>>,
    /// When each set-up arrived.
    set_ups: Mutex<Map<u64, f64>>,
    standing: Mutex<Vec<u64>>,
}

fn start_streamer(record: &Record, number: usize, listener: TcpListener) -> Arc<Streamer> {
    let streamer = Arc::new(Streamer { number, ..Streamer::default() });
    let (own, record) = (streamer.clone(), record.clone());
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let connection = Connection::new(socket);
            if own.has_ended.load(Ordering::SeqCst) {
                reset(&connection.socket);
                continue;
            }
            lock(&own.connections).push(connection.clone());
            let (own, record) = (own.clone(), record.clone());
            thread::spawn(move || {
                while let Ok(message) = connection.read() {
                    if own.has_ended.load(Ordering::SeqCst) {
                        return;
                    }
                    serve(&own, &record, &connection, message);
                }
            });
        }
    });
    streamer
}

fn serve(own: &Arc<Streamer>, record: &Record, connection: &Connection, message: Message) {
    let session = message.session;
    match message.kind {
        TEST => drop(connection.send(&Message::new(TEST_RESULT, session).with(92, &[1]))),
        RELEASE => drop(connection.send(&Message::new(RELEASE_HEARD, session))),
        SET_UP => {
            lock(&own.set_ups).insert(session, record.now());
            record.line(&format!("s-{}: got {}", own.number, message.describe()));
            let (own, connection) = (own.clone(), connection.clone());
            thread::spawn(move || {
                sleep(0.08);
                let _ = connection.send(&Message::answer(session, &format!("play-{session:x}")));
                lock(&own.standing).push(session);
                sleep(LIFE_S);
                if !own.has_ended.load(Ordering::SeqCst) {
                    lock(&own.standing).retain(|other| *other != session);
                    let _ = connection.send(&Message::release(session, 16));
                }
            });
        }
        _ => {}
    }
}

fn main() {
    let record = Record::create();
    let (mut addresses, mut streamers) = (Vec::new(), Vec::new());
    for number in 0..4 {
        let listener = listen();
        addresses.push(address_of(&listener));
        streamers.push(start_streamer(&record, number, listener));
    }
    let entries: Vec<String> = addresses
        .iter()
        .enumerate()
        .map(|(number, address)| entry(&format!("s-{number}"), *address, 0, "in_service", 0.0))
        .collect();
    let journal = Journal::start_slow(&record, &entries, if with_trouble() { SLOW_S } else { 0.0 });
    let settings = Settings { cells: 1, ..Settings::default() }.json();
    let mut controller = Controller::start(&record, "n1", &settings, journal.address, &journal.known());
    record.wait_until(4.0);
    let client = Client::connect(&record, controller.address).unwrap_or_else(|e| cannot_run(&e.to_string()));
    let mut chance = Chance(0x5eed_0009);
    let (mut drained_at, mut cut) = (None, None);
    let draining = &streamers[1];
    while record.now() < END_S {
        let session = chance.next();
        let class = if session % 3 == 0 { "proevelektion" } else { "genafspil" };
        let _ =
            client.connection.send(&set_up(session, class, &format!("t{:015x}", session % 40), 3000, 0, 1));
        sleep(1.0 / REQUESTS_PER_S);
        if drained_at.is_none() && record.now() >= DRAIN_AT_S {
            drained_at = Some(record.now());
            journal.tell(&[entry("s-1", addresses[1], 0, "terminating", 0.0)]);
        }
        if cut.is_none() && record.now() >= DRAIN_AT_S + ENDS_AFTER_S {
            draining.has_ended.store(true, Ordering::SeqCst);
            let standing = lock(&draining.standing).clone();
            record.line(&format!("s-1: its process ends; {} sessions are cut", standing.len()));
            lock(&draining.connections).iter().for_each(|connection| reset(&connection.socket));
            cut = Some(standing);
            journal.tell(&[entry("s-1", addresses[1], 0, "terminated", 0.0)]);
        }
        if let Some(how) = controller.ended() {
            cannot_run(&format!("the controller has ended: {how}: {}", controller.log()));
        }
    }
    let (drained_at, cut) = (drained_at.unwrap_or(END_S), cut.unwrap_or_default());
    let set_ups = lock(&draining.set_ups).clone();
    if !set_ups.values().any(|at| *at < drained_at) {
        cannot_run("the streamer got nothing before it drained");
    }
    let limit = drained_at + TOLD_S + GRACE_S;
    let mut late: Vec<(f64, u64)> =
        set_ups.iter().filter(|(_, at)| **at > limit).map(|(session, at)| (*at, *session)).collect();
    late.sort_by(|a, b| a.0.total_cmp(&b.0));
    let lost = cut.iter().filter(|session| set_ups.get(session).is_some_and(|at| *at > limit)).count();
    let broken: Vec<String> = late
        .first()
        .map(|(at, session)| {
            format!(
                "{} set-ups went to s-1 later than {:.2} s after its drain was in the service, the first ({session:016x}) {:.3} s after it; {lost} of their sessions were cut when s-1 ended",
                late.len(), TOLD_S + GRACE_S, at - drained_at
            )
        })
        .into_iter()
        .collect();
    drop(controller);
    std::process::exit(verdict(&record, &broken));
}
