//! Stands between controllers, and between controllers and streamers, and does to their traffic what a day's script
//! says: datagrams and bytes are dropped, delayed, doubled, reordered, cut off or held, for each ordered pair.
//!
//! Datagrams: each controller has a door, the address that it tells others. What comes to a door is known by where it
//! came from, and goes on to the owner from the sender's own door, so that answers come by here, too. Links: each
//! controller has an address of its own for each streamer.

use crate::day::Harm;
use lemontide_wire::tap::{Tap, TapEvent};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::Semaphore;
use tokio::time::sleep;

/// Datagrams on their way at most; more are lost, as in a full queue.
const FLYING_MOST: usize = 8192;
/// What a lost piece of a link costs: the other end's stack sends it again.
const SENT_AGAIN: Duration = Duration::from_millis(200);
/// How much later than its neighbours a datagram comes that is overtaken.
const OVERTAKEN: Duration = Duration::from_millis(30);
/// How often something that is held looks whether it may go on.
const LOOK: Duration = Duration::from_millis(10);
const PIECE: usize = 16 * 1024;
const DATAGRAM: usize = 2048;

/// One end of a pair.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    Controller(usize),
    Streamer(usize),
}

impl End {
    fn name(self) -> String {
        match self {
            End::Controller(number) => format!("controller:{number}"),
            End::Streamer(number) => format!("streamer:{number}"),
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    passed: u64,
    dropped: u64,
    delayed: u64,
    doubled: u64,
}

/// What is done now, and what was done, pair by pair.
#[derive(Default)]
struct Script {
    harms: BTreeMap<usize, (Vec<(End, End)>, Harm)>,
    counts: BTreeMap<(End, End), Count>,
}

/// What becomes of one piece of traffic.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fate {
    /// It goes on after this time, and once more where it is doubled.
    Passes {
        after: Duration,
        doubled: bool,
    },
    Lost,
}

struct Shared {
    script: Mutex<Script>,
    chance: Mutex<StdRng>,
}

/// The relay of a day. What it carries ends with the runtime that it was started on.
#[derive(Clone)]
pub struct Relay {
    shared: Arc<Shared>,
}

fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    fn harms(&self, from: End, to: End) -> Vec<Harm> {
        let script = lock(&self.script);
        let on = script.harms.values().filter(|(pairs, _)| pairs.contains(&(from, to)));
        on.map(|(_, harm)| harm.clone()).collect()
    }

    fn is_cut(&self, from: End, to: End) -> bool {
        self.harms(from, to).iter().any(|harm| harm.cut)
    }

    fn is_still(&self, from: End, to: End) -> bool {
        self.harms(from, to).iter().any(|harm| harm.still)
    }

    fn chance(&self, below: f64) -> bool {
        lock(&self.chance).random::<f64>() < below
    }

    fn count(&self, from: End, to: End, change: impl FnOnce(&mut Count)) {
        change(lock(&self.script).counts.entry((from, to)).or_default());
    }

    fn fate(&self, from: End, to: End) -> Fate {
        let (mut after, mut doubled) = (Duration::ZERO, false);
        for harm in self.harms(from, to) {
            if harm.cut || self.chance(harm.loss) {
                self.count(from, to, |count| count.dropped += 1);
                return Fate::Lost;
            }
            let (least, most) = harm.delay_s;
            let delay = least + (most - least).max(0.0) * lock(&self.chance).random::<f64>();
            after += Duration::try_from_secs_f64(delay).unwrap_or_default();
            if self.chance(harm.reordered) {
                after += OVERTAKEN;
            }
            doubled |= self.chance(harm.doubled);
        }
        self.count(from, to, |count| {
            count.passed += 1;
            count.delayed += u64::from(after > Duration::ZERO);
            count.doubled += u64::from(doubled);
        });
        Fate::Passes { after, doubled }
    }
}

impl Relay {
    pub fn new(seed: u64) -> Relay {
        let chance = Mutex::new(StdRng::seed_from_u64(seed));
        Relay { shared: Arc::new(Shared { script: Mutex::default(), chance }) }
    }

    /// From now on this is done to all traffic from one of these to one of those; `number` names it for its end.
    pub fn begin(&self, number: usize, pairs: Vec<(End, End)>, harm: Harm) {
        lock(&self.shared.script).harms.insert(number, (pairs, harm));
    }

    pub fn end(&self, number: usize) {
        lock(&self.shared.script).harms.remove(&number);
    }

    /// What was done, a line for each pair that had traffic.
    pub fn tell(&self, tap: &Tap) {
        for ((from, to), count) in &lock(&self.shared.script).counts {
            tap.record(TapEvent::Relayed {
                from: from.name(),
                to: to.name(),
                passed: count.passed,
                dropped: count.dropped,
                delayed: count.delayed,
                duplicated: count.doubled,
            });
        }
    }

    /// Opens the doors of controllers that listen at these addresses; who is to be reached there. An address that is
    /// none of theirs is nobody's, and its datagrams go nowhere.
    pub async fn doors(&self, listening: &[SocketAddr]) -> io::Result<Vec<SocketAddr>> {
        let mut doors = Vec::new();
        for number in 0..listening.len() {
            let at = SocketAddr::from(([127, 0, 3, (number + 1).min(250) as u8], 0));
            doors.push(UdpSocket::bind(at).await?);
        }
        let addresses = doors.iter().map(UdpSocket::local_addr).collect::<io::Result<Vec<_>>>()?;
        let doors = Arc::new(doors);
        let flying = Arc::new(Semaphore::new(FLYING_MOST));
        for to in 0..listening.len() {
            let (shared, doors, flying, listening) =
                (self.shared.clone(), doors.clone(), flying.clone(), listening.to_vec());
            tokio::spawn(async move {
                let mut bytes = [0u8; DATAGRAM];
                loop {
                    let Ok((length, source)) = doors[to].recv_from(&mut bytes).await else {
                        sleep(LOOK).await;
                        continue;
                    };
                    let Some(from) = listening.iter().position(|at| *at == source) else { continue };
                    let ends = (End::Controller(from), End::Controller(to));
                    let Fate::Passes { after, doubled } = shared.fate(ends.0, ends.1) else { continue };
                    let Ok(flies) = flying.clone().try_acquire_owned() else { continue };
                    let (shared, doors, at) = (shared.clone(), doors.clone(), listening[to]);
                    let datagram = bytes[..length].to_vec();
                    tokio::spawn(async move {
                        let _flies = flies;
                        sleep(after).await;
                        while shared.is_still(ends.0, ends.1) {
                            sleep(LOOK).await;
                        }
                        for _ in 0..if doubled { 2 } else { 1 } {
                            let _ = doors[from].send_to(&datagram, at).await;
                        }
                    });
                }
            });
        }
        Ok(addresses)
    }

    /// Opens a way from one controller to one streamer that listens there; where the controller finds it.
    pub async fn link(&self, controller: usize, streamer: usize, to: SocketAddr) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let shared = self.shared.clone();
        let (near, far) = (End::Controller(controller), End::Streamer(streamer));
        tokio::spawn(async move {
            loop {
                let Ok((socket, _)) = listener.accept().await else {
                    sleep(LOOK).await;
                    continue;
                };
                // A way that is cut takes nobody in.
                if shared.is_cut(near, far) || shared.is_cut(far, near) {
                    continue;
                }
                tokio::spawn(carry(shared.clone(), (near, far), socket, to));
            }
        });
        Ok(address)
    }
}

/// Carries one connection until an end closes it or the way is cut.
async fn carry(shared: Arc<Shared>, (near, far): (End, End), socket: TcpStream, to: SocketAddr) {
    let Ok(other) = TcpStream::connect(to).await else { return };
    let _ = (socket.set_nodelay(true), other.set_nodelay(true));
    let (near_reads, near_writes) = socket.into_split();
    let (far_reads, far_writes) = other.into_split();
    let cut = async {
        while !shared.is_cut(near, far) && !shared.is_cut(far, near) {
            sleep(LOOK).await;
        }
    };
    tokio::select! {
        () = pass(&shared, (near, far), near_reads, far_writes) => {}
        () = pass(&shared, (far, near), far_reads, near_writes) => {}
        () = cut => {}
    }
}

/// Carries one direction, in order.
async fn pass(shared: &Shared, (from, to): (End, End), mut reads: OwnedReadHalf, mut writes: OwnedWriteHalf) {
    let mut bytes = vec![0u8; PIECE];
    loop {
        while shared.is_still(from, to) {
            sleep(LOOK).await;
        }
        let Ok(length @ 1..) = reads.read(&mut bytes).await else { return };
        while shared.is_still(from, to) {
            sleep(LOOK).await;
        }
        // Bytes of a connection are neither lost nor doubled nor overtaken: they come later.
        let wait = match shared.fate(from, to) {
            Fate::Passes { after, .. } => after,
            Fate::Lost => SENT_AGAIN,
        };
        sleep(wait).await;
        if writes.write_all(&bytes[..length]).await.is_err() {
            return;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use lemontide_wire::clock::Clock;
    use tokio::time::timeout;

    const SOON: Duration = Duration::from_millis(150);
    const LONG: Duration = Duration::from_secs(20);

    fn one_way(from: usize, to: usize) -> Vec<(End, End)> {
        vec![(End::Controller(from), End::Controller(to))]
    }

    async fn pair() -> (Relay, Vec<UdpSocket>, Vec<SocketAddr>) {
        let relay = Relay::new(1);
        let mut ends = Vec::new();
        for _ in 0..2 {
            ends.push(UdpSocket::bind(("127.0.0.1", 0)).await.expect("a port"));
        }
        let at: Vec<SocketAddr> = ends.iter().map(|end| end.local_addr().expect("bound")).collect();
        let doors = relay.doors(&at).await.expect("doors");
        (relay, ends, doors)
    }

    async fn heard(end: &UdpSocket, within: Duration) -> Option<(Vec<u8>, SocketAddr)> {
        let mut bytes = [0u8; 64];
        let (length, from) = timeout(within, end.recv_from(&mut bytes)).await.ok()?.ok()?;
        Some((bytes[..length].to_vec(), from))
    }

    #[tokio::test]
    async fn datagrams_come_from_their_senders_door_and_a_one_way_cut_cuts_one_way() {
        let (relay, ends, doors) = pair().await;
        ends[0].send_to(b"to 1", doors[1]).await.expect("sent");
        assert_eq!(heard(&ends[1], LONG).await, Some((b"to 1".to_vec(), doors[0])));
        relay.begin(0, one_way(0, 1), Harm { cut: true, ..Harm::default() });
        ends[0].send_to(b"lost", doors[1]).await.expect("sent");
        ends[1].send_to(b"back", doors[0]).await.expect("sent");
        assert_eq!(heard(&ends[0], LONG).await, Some((b"back".to_vec(), doors[1])));
        assert_eq!(heard(&ends[1], SOON).await, None);
        relay.end(0);
        relay.begin(1, one_way(0, 1), Harm { doubled: 1.0, ..Harm::default() });
        ends[0].send_to(b"twice", doors[1]).await.expect("sent");
        let both = [heard(&ends[1], LONG).await, heard(&ends[1], LONG).await];
        assert!(both.iter().all(|one| one.as_ref().is_some_and(|(bytes, _)| bytes == b"twice")));
        let folder = tempfile::tempdir().expect("a folder");
        let file = folder.path().join("relay.tap");
        relay.tell(&Tap::open(&file, Clock::start(), "relay").expect("a file"));
        let lines = lemontide_wire::tap::read_records(&file).expect("it can be read");
        let of_first = lines.iter().find_map(|line| match &line.event {
            TapEvent::Relayed { from, passed, dropped, duplicated: doubled, .. }
                if from == "controller:0" =>
            {
                Some((*passed, *dropped, *doubled))
            }
            _ => None,
        });
        assert_eq!(of_first, Some((2, 1, 1)));
    }

    #[tokio::test]
    async fn what_is_held_comes_when_it_is_over() {
        let (relay, ends, doors) = pair().await;
        relay.begin(0, one_way(0, 1), Harm { still: true, ..Harm::default() });
        ends[0].send_to(b"later", doors[1]).await.expect("sent");
        assert_eq!(heard(&ends[1], SOON).await, None);
        relay.end(0);
        assert!(heard(&ends[1], LONG).await.is_some());
    }

    #[tokio::test]
    async fn a_link_is_carried_held_and_cut() {
        let relay = Relay::new(1);
        let streamer = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
        let way = relay.link(0, 3, streamer.local_addr().expect("bound")).await.expect("a way");
        let mut near = TcpStream::connect(way).await.expect("it takes connections");
        near.write_all(b"hello").await.expect("written");
        let (mut far, _) = streamer.accept().await.expect("it came");
        let mut bytes = [0u8; 5];
        far.read_exact(&mut bytes).await.expect("read");
        assert_eq!(&bytes, b"hello");
        let there = vec![(End::Controller(0), End::Streamer(3))];
        relay.begin(0, there.clone(), Harm { still: true, ..Harm::default() });
        sleep(LOOK * 4).await;
        near.write_all(b"later").await.expect("written");
        assert!(timeout(SOON, far.read_exact(&mut bytes)).await.is_err(), "held, and still open");
        relay.end(0);
        // A read that was given up took nothing: the relay had not passed it on.
        timeout(LONG, far.read_exact(&mut bytes)).await.expect("in time").expect("read");
        assert_eq!(&bytes, b"later");
        relay.begin(1, there, Harm { cut: true, ..Harm::default() });
        let ended = timeout(LONG, far.read(&mut bytes)).await.expect("in time");
        assert!(matches!(ended, Ok(0) | Err(_)), "cut: {ended:?}");
        let mut refused = TcpStream::connect(way).await.expect("the listener stands");
        assert!(matches!(timeout(LONG, refused.read(&mut bytes)).await, Ok(Ok(0) | Err(_))));
    }
}
