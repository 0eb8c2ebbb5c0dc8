//! A controller with 256 descriptors holds sessions on more streamers than it may have connections. Idle connections
//! are reset now and then. Every client whose session ends must hear of it within 8 s.

#[path = "../standin-2/common.rs"]
mod common;

use common::*;
use std::io;
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::thread;

const STREAMERS: usize = 120;
const CELLS: usize = 40;
const REQUESTS_PER_S: f64 = 50.0;
const WORK_S: f64 = 0.05;
const LIFE_S: f64 = 15.0;
const TROUBLE_FROM_S: f64 = 20.0;
const RESETS: usize = 12;
const RESET_EVERY_S: f64 = 1.0;
const REQUESTS_UNTIL_S: f64 = 50.0;
/// Where no release could be sent, a client is released this long after its session's end, plus 50 ms.
const LIMIT_S: f64 = 8.05;

/// A streamer as the protocol describes it.
#[derive(Default)]
struct Streamer {
    number: usize,
    open: Mutex<Vec<Connection>>,
    /// Releases that go out on the next connection opened, too.
    again: Mutex<Vec<Message>>,
    /// Set-ups that are not answered.
    pending: Mutex<usize>,
    standing: Mutex<usize>,
    ended: Mutex<Map<u64, f64>>,
}

fn start_streamer(record: &Record, number: usize, listener: TcpListener) -> Arc<Streamer> {
    let streamer = Arc::new(Streamer { number, ..Streamer::default() });
    let (own, record) = (streamer.clone(), record.clone());
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let (own, record) = (own.clone(), record.clone());
            thread::spawn(move || {
                let connection = Connection::new(socket);
                record.line(&format!("s-{}: connection {} is opened", own.number, connection.number));
                let again = {
                    lock(&own.open).push(connection.clone());
                    lock(&own.again).clone()
                };
                for release in again {
                    record.line(&format!(
                        "s-{}: sends again on {}: {}",
                        own.number,
                        connection.number,
                        release.describe()
                    ));
                    let _ = connection.send(&release);
                }
                let _ = serve(&own, &record, &connection);
                record.line(&format!("s-{}: connection {} has ended", own.number, connection.number));
                lock(&own.open).retain(|other| other.number != connection.number);
                connection.close();
            });
        }
    });
    streamer
}

fn serve(own: &Arc<Streamer>, record: &Record, connection: &Connection) -> io::Result<()> {
    loop {
        let message = connection.read()?;
        match message.kind {
            TEST => connection.send(&Message::new(TEST_RESULT, message.session).with(92, &[1]))?,
            RELEASE => {
                lock(&own.again).retain(|release| release.session != message.session);
                connection.send(&Message::new(RELEASE_HEARD, message.session))?
            }
            RELEASE_HEARD => lock(&own.again).retain(|release| release.session != message.session),
            SET_UP => {
                *lock(&own.pending) += 1;
                let (own, record, connection) = (own.clone(), record.clone(), connection.clone());
                thread::spawn(move || {
                    let session = message.session;
                    sleep(WORK_S);
                    let sent = connection.send(&Message::answer(session, &format!("play-{session:x}")));
                    *lock(&own.pending) -= 1;
                    if sent.is_err() {
                        return;
                    }
                    record.line(&format!("s-{}: {session:016x} stands", own.number));
                    *lock(&own.standing) += 1;
                    sleep(LIFE_S);
                    *lock(&own.standing) -= 1;
                    lock(&own.ended).insert(session, record.now());
                    let release = Message::release(session, 16);
                    let open = lock(&own.open);
                    lock(&own.again).push(release.clone());
                    let on = open.iter().find(|other| other.number == connection.number).or(open.first());
                    match on {
                        Some(on) => drop(on.send(&release)),
                        None => record.line(&format!(
                            "s-{}: has no connection for {}",
                            own.number,
                            release.describe()
                        )),
                    }
                });
            }
            _ => {}
        }
    }
}

fn main() {
    let record = Record::create();
    let (mut entries, mut streamers) = (Vec::new(), Vec::new());
    for number in 0..STREAMERS {
        let listener = listen();
        entries.push(entry(&format!("s-{number}"), address_of(&listener), number % CELLS, "in_service", 0.0));
        streamers.push(start_streamer(&record, number, listener));
    }
    let journal = Journal::start(&record, &entries);
    let settings = Settings { cells: CELLS, ..Settings::default() }.json();
    let mut controller = Controller::start(&record, "n1", &settings, journal.address, &journal.known());
    record.wait_until(4.0);
    let client = Client::connect(&record, controller.address).unwrap_or_else(|e| cannot_run(&e.to_string()));
    let Client { connection, heard } = client;
    type State = (Option<f64>, Option<f64>);
    let states: Arc<Mutex<Map<u64, State>>> = Arc::default();
    let (own, reply) = (states.clone(), connection.clone());
    thread::spawn(move || {
        for (at, message) in heard {
            let Some(message) = message else { return };
            let mut states = lock(&own);
            let state = states.entry(message.session).or_default();
            match message.kind {
                ANSWER => state.0 = Some(at),
                RELEASE | MOVE => {
                    state.1.get_or_insert(at);
                    let _ = reply.send(&Message::new(RELEASE_HEARD, message.session));
                }
                _ => {}
            }
        }
    });
    let mut chance = Chance(0x5eed_0010);
    let mut resets = 0;
    while record.now() < REQUESTS_UNTIL_S + LIFE_S {
        if record.now() < REQUESTS_UNTIL_S {
            let (session, title) = (chance.next(), chance.next() % 600);
            let home = title as usize % CELLS;
            let _ = connection.send(&set_up(session, "genafspil", &format!("t{title:015x}"), 5000, home, 1));
        }
        sleep(-(1.0 - chance.part()).ln() / REQUESTS_PER_S);
        if with_trouble() && resets < RESETS && record.now() > TROUBLE_FROM_S + resets as f64 * RESET_EVERY_S
        {
            let idle = |s: &&Arc<Streamer>| {
                *lock(&s.pending) == 0 && *lock(&s.standing) > 1 && lock(&s.open).len() == 1
            };
            let idle: Vec<&Arc<Streamer>> = streamers.iter().filter(idle).collect();
            if let Some(streamer) = idle.get(chance.next() as usize % idle.len().max(1)) {
                if let Some(on) = lock(&streamer.open).first().cloned() {
                    resets += 1;
                    record.line(&format!(
                        "network: the idle connection {} of s-{} is reset; {} sessions stand there",
                        on.number,
                        streamer.number,
                        lock(&streamer.standing)
                    ));
                    reset(&on.socket);
                }
            }
        }
        if let Some(how) = controller.ended() {
            cannot_run(&format!("the controller has ended: {how}: {}", controller.log()));
        }
    }
    sleep(LIMIT_S + 1.0);
    let with_connection = streamers.iter().filter(|s| !lock(&s.open).is_empty()).count();
    record.line(&format!("streamers with a connection: {with_connection}"));
    let (states, now) = (lock(&states).clone(), record.now());
    let mut late = Vec::new();
    let mut stood = 0;
    for streamer in &streamers {
        for (session, ended_at) in lock(&streamer.ended).iter() {
            let (answered, released) = states.get(session).copied().unwrap_or_default();
            stood += usize::from(answered.is_some());
            if answered.is_some() && released.unwrap_or(now) > ended_at + LIMIT_S {
                let text = released.map_or("never".to_owned(), |at| format!("{:.3} s after", at - ended_at));
                record.line(&format!(
                    "late: {session:016x} at s-{} ended at {ended_at:.3}, its client was released {text}",
                    streamer.number
                ));
                late.push((*ended_at, *session, text));
            }
        }
    }
    record.line(&format!("{stood} sessions stood and ended"));
    if stood < 300 {
        cannot_run("too few sessions stood");
    }
    late.sort_by(|a, b| a.0.total_cmp(&b.0));
    let broken: Vec<String> = late
        .first()
        .map(|(at, session, text)| {
            format!(
                "{} of {stood} sessions have stood and ended without a release to their client within {LIMIT_S} s; the first is {session:016x}, ended at {at:.3}, released {text}",
                late.len()
            )
        })
        .into_iter()
        .collect();
    drop(controller);
    std::process::exit(verdict(&record, &broken));
}
