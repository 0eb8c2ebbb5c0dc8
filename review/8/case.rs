//! One of several connections between a controller and a streamer is reset while a streamer's release is on its way.
//! The streamer sends the release again on the next connection opened, as the protocol says. The client must hear it.

#[path = "../standin-2/common.rs"]
mod common;

use common::*;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// The streamers that hold the title that all viewers ask for.
const STREAMERS: usize = 3;
const VIEWERS: u64 = 4;
const WORK_S: f64 = 0.1;
/// How long each session plays: the first ends by itself while the others go on.
const LIVES_S: [f64; VIEWERS as usize] = [6.0, 25.0, 30.0, 35.0];
const FIRST_S: f64 = 5.0;
/// Where no release could be sent, a client is released this long after its session's end, plus 50 ms.
const LIMIT_S: f64 = 8.05;

/// A streamer as the protocol describes it.
#[derive(Default)]
struct Streamer {
    /// Connections that are open, in order.
    open: Mutex<Vec<Connection>>,
    /// Releases that go out on the next connection opened, too.
    again: Mutex<Vec<Message>>,
    order: Mutex<Vec<u64>>,
    ended: Mutex<Map<u64, f64>>,
}

fn start_streamer(record: &Record, listener: TcpListener) -> Arc<Streamer> {
    let streamer = Arc::new(Streamer::default());
    let (own, record) = (streamer.clone(), record.clone());
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let (own, record) = (own.clone(), record.clone());
            thread::spawn(move || {
                let connection = Connection::new(socket);
                record.line(&format!("streamer: connection {} is opened", connection.number));
                lock(&own.open).push(connection.clone());
                let again = lock(&own.again).clone();
                for release in again {
                    record.line(&format!(
                        "streamer: sends again on {}: {}",
                        connection.number,
                        release.describe()
                    ));
                    let _ = connection.send(&release);
                }
                let _ = serve(&own, &record, &connection);
                record.line(&format!("streamer: connection {} has ended", connection.number));
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
                record.line(&format!("streamer: got {}", message.describe()));
                lock(&own.again).retain(|release| release.session != message.session);
                connection.send(&Message::new(RELEASE_HEARD, message.session))?
            }
            RELEASE_HEARD => lock(&own.again).retain(|release| release.session != message.session),
            SET_UP => {
                record.line(&format!("streamer: got on {} {}", connection.number, message.describe()));
                let place = {
                    let mut order = lock(&own.order);
                    order.push(message.session);
                    order.len() - 1
                };
                let (own, record, connection) = (own.clone(), record.clone(), connection.clone());
                thread::spawn(move || {
                    let session = message.session;
                    sleep(WORK_S);
                    let _ = connection.send(&Message::answer(session, &format!("play-{session:x}")));
                    sleep(LIVES_S[place.min(LIVES_S.len() - 1)]);
                    let release = Message::release(session, 16);
                    lock(&own.ended).insert(session, record.now());
                    let open = lock(&own.open).clone();
                    let on = open.iter().find(|other| other.number == connection.number).or(open.first());
                    lock(&own.again).push(release.clone());
                    if let Some(on) = on {
                        record.line(&format!("streamer: sends on {} {}", on.number, release.describe()));
                        let _ = on.send(&release);
                    }
                });
            }
            _ => {}
        }
    }
}

/// Passes on what crosses a connection. The one that carries the first release is reset under it, once.
fn start_proxy(record: &Record, to: SocketAddr, armed: &Arc<AtomicBool>) -> SocketAddr {
    let listener = listen();
    let address = address_of(&listener);
    let (record, armed) = (record.clone(), armed.clone());
    let opened = Arc::new(AtomicUsize::new(0));
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(to) else { continue };
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            let (near, far) = (Arc::new(near), Arc::new(far));
            let (record, armed) = (record.clone(), armed.clone());
            let number = opened.fetch_add(1, Ordering::Relaxed) + 1;
            let up = (near.clone(), far.clone());
            thread::spawn(move || {
                let _ = io::copy(&mut &*up.0, &mut &*up.1);
                let _ = up.1.shutdown(std::net::Shutdown::Write);
            });
            thread::spawn(move || {
                while let Ok(message) = Message::read(&mut &*far) {
                    if message.kind == RELEASE && armed.swap(false, Ordering::SeqCst) {
                        record.line(&format!("network: link {number} is reset under {}", message.describe()));
                        reset(&near);
                        reset(&far);
                        return;
                    }
                    if io::Write::write_all(&mut &*near, &message.encode()).is_err() {
                        break;
                    }
                }
                let _ = near.shutdown(std::net::Shutdown::Both);
            });
        }
    });
    address
}

fn main() {
    let record = Record::create();
    let armed = Arc::new(AtomicBool::new(with_trouble()));
    let (mut streamers, mut entries) = (Vec::new(), Vec::new());
    for number in 0..STREAMERS {
        let listener = listen();
        let address = start_proxy(&record, address_of(&listener), &armed);
        entries.push(entry(&format!("s-{number}"), address, 0, "in_service", 0.0));
        streamers.push(start_streamer(&record, listener));
    }
    let journal = Journal::start(&record, &entries);
    let settings = Settings { cells: 1, ..Settings::default() }.json();
    let mut controller = Controller::start(&record, "n1", &settings, journal.address, &journal.known());
    record.wait_until(FIRST_S);
    let client = Client::connect(&record, controller.address).unwrap_or_else(|e| cannot_run(&e.to_string()));
    let mut waiting: Vec<u64> = Vec::new();
    let mut heard: Map<u64, (bool, Option<f64>)> = Map::new();
    let mut chance = Chance(0x5eed_0007);
    for _ in 0..VIEWERS {
        let session = chance.next();
        waiting.push(session);
        let _ = client.send(&record, &set_up(session, "genafspil", "t7f3a9c21e0b4d65", 5000, 0, 1));
    }
    let end = FIRST_S + WORK_S + LIVES_S[0] + LIMIT_S + 2.0;
    while record.now() < end {
        let Ok((at, message)) = client.heard.recv_timeout(std::time::Duration::from_millis(100)) else {
            continue;
        };
        let Some(message) = message else { break };
        let state = heard.entry(message.session).or_default();
        match message.kind {
            ANSWER => state.0 = true,
            RELEASE | MOVE => {
                state.1.get_or_insert(at);
                let _ = client.send(&record, &Message::new(RELEASE_HEARD, message.session));
            }
            _ => {}
        }
    }
    if let Some(how) = controller.ended() {
        cannot_run(&format!("the controller has ended: {how}: {}", controller.log()));
    }
    let ended: Map<u64, f64> = streamers.iter().flat_map(|streamer| lock(&streamer.ended).clone()).collect();
    if ended.is_empty() {
        cannot_run(&format!("no session has stood: {}", controller.log()));
    }
    let mut broken = Vec::new();
    for (session, ended_at) in ended {
        let (answered, released_at) = heard.get(&session).copied().unwrap_or_default();
        let late = released_at.is_none_or(|at| at > ended_at + LIMIT_S);
        if answered && late && record.now() > ended_at + LIMIT_S {
            let released =
                released_at.map_or("never".to_owned(), |at| format!("{:.3} s after", at - ended_at));
            broken.push(format!(
                "session {session:016x} has stood and ended at {ended_at:.3}; its client was released {released} (within {LIMIT_S} s)"
            ));
        }
    }
    drop(controller);
    std::process::exit(verdict(&record, &broken));
}
