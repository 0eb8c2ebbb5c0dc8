//! Half of the streamers of a small deployment are replaced in steps. About a minute later, while viewers go on asking
//! as before, the controller must still be there and answer each of them.

#[path = "../standin-2/common.rs"]
mod common;

use common::*;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

const STREAMERS: usize = 18;
const CELLS: usize = 2;
const TITLES: u64 = 90;
/// One of so many set-ups meets a full streamer, as other controllers send to it, too.
const FULL_ONE_IN: u64 = 3;
/// How long a streamer works on a set-up, and how long a session plays.
const WORK_S: f64 = 0.3;
const LIFE_S: f64 = 6.0;
const REQUESTS_PER_S: f64 = 20.0;
const WAIT_MS: u64 = 5000;
/// A request must have its answer this long after its time is up.
const SLACK_S: f64 = 0.55;
/// Half of the streamers drain, one after the other, and are gone so long after that.
const FIRST_DRAINS_S: f64 = 8.0;
const STEP_S: f64 = 1.0;
const DRAINS_FOR_S: f64 = 7.0;
const END_S: f64 = 100.0;

/// A streamer that works on each set-up, refuses one in some as full, and ends sessions after a while. Returns what ends
/// its process: its connections close, and it takes no new one.
fn start_streamer(record: &Record, id: String, listener: TcpListener) -> Arc<Ending> {
    let ending = Arc::new(Ending::default());
    let (own, record) = (ending.clone(), record.clone());
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let connection = Connection::new(socket);
            if own.has_ended.load(Ordering::SeqCst) {
                reset(&connection.socket);
                continue;
            }
            lock(&own.connections).push(connection.clone());
            let (record, id) = (record.clone(), id.clone());
            thread::spawn(move || drop(serve(&record, &id, &connection)));
        }
    });
    ending
}

#[derive(Default)]
struct Ending {
    has_ended: AtomicBool,
    connections: Mutex<Vec<Connection>>,
}

impl Ending {
    fn end(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        lock(&self.connections).iter().for_each(|connection| reset(&connection.socket));
    }
}

fn serve(record: &Record, id: &str, connection: &Connection) -> io::Result<()> {
    loop {
        let message = connection.read()?;
        match message.kind {
            TEST => connection.send(&Message::new(TEST_RESULT, message.session).with(92, &[1]))?,
            RELEASE => connection.send(&Message::new(RELEASE_HEARD, message.session))?,
            SET_UP => {
                record.line(&format!("{id}: got {}", message.describe()));
                let (record, id, connection) = (record.clone(), id.to_owned(), connection.clone());
                thread::spawn(move || {
                    sleep(WORK_S);
                    let session = message.session;
                    let own: u64 = id.bytes().fold(7, |sum, byte| sum * 31 + u64::from(byte));
                    let mut chance = Chance(session.wrapping_mul(own | 1) | 1);
                    for _ in 0..4 {
                        chance.next();
                    }
                    if chance.next() % FULL_ONE_IN == 0 {
                        record.line(&format!("{id}: is full for {session:016x}"));
                        let _ = connection.send(&Message::release(session, 34));
                        return;
                    }
                    record.line(&format!("{id}: runs {session:016x}"));
                    let _ = connection.send(&Message::answer(session, &format!("from-{id}-{session:x}")));
                    sleep(LIFE_S);
                    let _ = connection.send(&Message::release(session, 16));
                });
            }
            _ => {}
        }
    }
}

struct Open {
    sent_at: f64,
    answered: bool,
}

fn main() {
    let record = Record::create();
    let (mut addresses, mut endings): (Vec<SocketAddr>, Vec<Arc<Ending>>) = (Vec::new(), Vec::new());
    for number in 0..STREAMERS {
        let listener = listen();
        addresses.push(address_of(&listener));
        endings.push(start_streamer(&record, format!("s-{number}"), listener));
    }
    let first: Vec<String> = addresses
        .iter()
        .enumerate()
        .map(|(number, address)| entry(&format!("s-{number}"), *address, number % CELLS, "in_service", 0.0))
        .collect();
    let journal = Journal::start(&record, &first);
    let settings = Settings { cells: CELLS, ..Settings::default() }.json();
    let mut controller = Controller::start(&record, "n1", &settings, journal.address, &journal.known());

    let open: Arc<Mutex<Map<u64, Open>>> = Arc::default();
    // Half of the streamers are replaced in steps: each drains while another takes its place, ends its sessions, and is gone.
    let journal = Arc::new(journal);
    for step in 0..if with_trouble() { STREAMERS / 2 } else { 0 } {
        let (replacing, journal) = (record.clone(), journal.clone());
        let number = step * 2 + (step % 2);
        let (address, ending) = (addresses[number], endings[number].clone());
        thread::spawn(move || {
            replacing.wait_until(FIRST_DRAINS_S + step as f64 * STEP_S);
            let (id, cell) = (format!("s-{number}"), number % CELLS);
            let listener = listen();
            let (new, new_address) = (format!("new-{step}"), address_of(&listener));
            start_streamer(&replacing, new.clone(), listener);
            journal.tell(&[
                entry(&id, address, cell, "terminating", 0.0),
                entry(&new, new_address, cell, "in_service", unix_ms()),
            ]);
            sleep(DRAINS_FOR_S);
            ending.end();
            journal.tell(&[entry(&id, address, cell, "terminated", 0.0)]);
        });
    }
    record.wait_until(4.0);
    let client = Client::connect(&record, controller.address).unwrap_or_else(|e| cannot_run(&e.to_string()));
    let Client { connection, heard } = client;
    let answered = open.clone();
    thread::spawn(move || {
        for (_, message) in heard {
            let Some(message) = message else { return };
            if let Some(open) = lock(&answered).get_mut(&message.session).filter(|_| message.kind != PROGRESS)
            {
                open.answered = true;
            }
        }
    });
    let mut chance = Chance(0x5eed_0001);
    let mut broken = Vec::new();
    let mut number: u64 = 0;
    while record.now() < END_S && broken.is_empty() {
        number += 1;
        let session = chance.next();
        let title = chance.next() % TITLES;
        let message =
            set_up(session, "genafspil", &format!("t{title:015x}"), WAIT_MS, title as usize % CELLS, 1);
        lock(&open).insert(session, Open { sent_at: record.now(), answered: false });
        if number % 40 == 1 {
            record.line(&format!("client: has sent {number} requests; now {}", message.describe()));
        }
        let _ = connection.send(&message);
        sleep(-(1.0 - chance.part()).ln() / REQUESTS_PER_S);
        if let Some(how) = controller.ended() {
            broken.push(format!(
                "the controller has crashed ({how}): {}",
                controller.log().trim().replace('\n', " | ")
            ));
        }
        let now = record.now();
        let is_late = |open: &Open| !open.answered && now - open.sent_at > WAIT_MS as f64 / 1e3 + SLACK_S;
        let late = lock(&open).iter().find(|(_, open)| is_late(open)).map(|(session, _)| *session);
        broken.extend(late.map(|session| format!("request {session:016x} has no answer")));
        lock(&open).retain(|_, open| !open.answered);
    }
    if !broken.is_empty() {
        let waiting: Vec<String> = lock(&open).keys().map(|session| format!("{session:016x}")).collect();
        record.line(&format!("without an answer: {}", waiting.join(" ")));
    }
    drop(controller);
    std::process::exit(verdict(&record, &broken));
}
