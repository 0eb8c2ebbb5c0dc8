//! A relay between controllers, and between controllers and streamers, that injects the network faults of a day:
//! datagrams and bytes are dropped, delayed, duplicated, reordered, blocked or held, for each ordered pair of endpoints.
//!
//! Datagrams: each controller has a relay address, which it advertises to the others. The relay finds the sender of a
//! datagram by its source address and forwards it from the sender's relay address, so that replies pass through the
//! relay, too. Links: each controller has its own relay address for each streamer.

use crate::day::Impairment;
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

/// Maximum number of datagrams in transit; further ones are dropped, as by a full queue.
const MAX_DATAGRAMS_IN_TRANSIT: usize = 8192;
/// Delay of a lost piece of a link, as by a retransmission in the sender's TCP stack.
const RETRANSMISSION_DELAY: Duration = Duration::from_millis(200);
/// Extra delay of a datagram that is reordered behind later ones.
const REORDERING_DELAY: Duration = Duration::from_millis(30);
/// Interval in which held traffic checks whether it can go on; also the delay after a socket error.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
const STREAM_BUFFER_BYTES: usize = 16 * 1024;
const DATAGRAM_BUFFER_BYTES: usize = 2048;

/// One endpoint of a path.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Endpoint {
    Controller(usize),
    Streamer(usize),
}

impl Endpoint {
    fn name(self) -> String {
        match self {
            Endpoint::Controller(number) => format!("controller:{number}"),
            Endpoint::Streamer(number) => format!("streamer:{number}"),
        }
    }
}

/// What the relay did to the traffic of one path.
#[derive(Clone, Copy, Debug, Default)]
struct PathCounts {
    passed: u64,
    dropped: u64,
    delayed: u64,
    duplicated: u64,
}

/// The impairments in force by number of the fault, and the counts by path.
#[derive(Default)]
struct RelayState {
    impairments: BTreeMap<usize, (Vec<(Endpoint, Endpoint)>, Impairment)>,
    counts: BTreeMap<(Endpoint, Endpoint), PathCounts>,
}

/// What the relay does with one datagram or one read of a link.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Disposition {
    /// It is forwarded after this delay, twice if it is duplicated.
    Forward {
        delay: Duration,
        duplicated: bool,
    },
    Drop,
}

struct Shared {
    state: Mutex<RelayState>,
    rng: Mutex<StdRng>,
}

/// The relay of a run. Its sockets close with the runtime that it was started on.
#[derive(Clone)]
pub struct Relay {
    shared: Arc<Shared>,
}

fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    fn impairments(&self, from: Endpoint, to: Endpoint) -> Vec<Impairment> {
        let state = lock(&self.state);
        let active = state.impairments.values().filter(|(pairs, _)| pairs.contains(&(from, to)));
        active.map(|(_, impairment)| impairment.clone()).collect()
    }

    fn is_blocked(&self, from: Endpoint, to: Endpoint) -> bool {
        self.impairments(from, to).iter().any(|impairment| impairment.blocked)
    }

    fn is_stalled(&self, from: Endpoint, to: Endpoint) -> bool {
        self.impairments(from, to).iter().any(|impairment| impairment.stalled)
    }

    /// Draws whether an event of this probability occurs.
    fn occurs(&self, probability: f64) -> bool {
        lock(&self.rng).random::<f64>() < probability
    }

    fn count(&self, from: Endpoint, to: Endpoint, change: impl FnOnce(&mut PathCounts)) {
        change(lock(&self.state).counts.entry((from, to)).or_default());
    }

    /// Draws what happens to one datagram or one read of a link, and counts it.
    fn disposition(&self, from: Endpoint, to: Endpoint) -> Disposition {
        let (mut total_delay, mut duplicated) = (Duration::ZERO, false);
        for impairment in self.impairments(from, to) {
            if impairment.blocked || self.occurs(impairment.loss) {
                self.count(from, to, |count| count.dropped += 1);
                return Disposition::Drop;
            }
            let (min, max) = impairment.delay_s;
            let delay = min + (max - min).max(0.0) * lock(&self.rng).random::<f64>();
            total_delay += Duration::try_from_secs_f64(delay).unwrap_or_default();
            if self.occurs(impairment.reordered) {
                total_delay += REORDERING_DELAY;
            }
            duplicated |= self.occurs(impairment.duplicated);
        }
        self.count(from, to, |count| {
            count.passed += 1;
            count.delayed += u64::from(total_delay > Duration::ZERO);
            count.duplicated += u64::from(duplicated);
        });
        Disposition::Forward { delay: total_delay, duplicated }
    }
}

impl Relay {
    /// A relay without impairments; the seed is for its random draws.
    pub fn new(seed: u64) -> Relay {
        let rng = Mutex::new(StdRng::seed_from_u64(seed));
        Relay { shared: Arc::new(Shared { state: Mutex::default(), rng }) }
    }

    /// Starts an impairment of these paths; `number` identifies it for `end_impairment`.
    pub fn begin_impairment(&self, number: usize, pairs: Vec<(Endpoint, Endpoint)>, impairment: Impairment) {
        lock(&self.shared.state).impairments.insert(number, (pairs, impairment));
    }

    /// Ends the impairment with this number.
    pub fn end_impairment(&self, number: usize) {
        lock(&self.shared.state).impairments.remove(&number);
    }

    /// Records what was done, with one record for each path that had traffic.
    pub fn record_counts(&self, tap: &Tap) {
        for ((from, to), count) in &lock(&self.shared.state).counts {
            tap.record(TapEvent::Relayed {
                from: from.name(),
                to: to.name(),
                passed: count.passed,
                dropped: count.dropped,
                delayed: count.delayed,
                duplicated: count.duplicated,
            });
        }
    }

    /// Opens relay sockets for the datagrams of controllers that listen at these addresses, and returns the addresses of
    /// the sockets. Datagrams from any other source address are dropped.
    pub async fn proxy_datagrams(&self, listening: &[SocketAddr]) -> io::Result<Vec<SocketAddr>> {
        let mut sockets = Vec::new();
        for number in 0..listening.len() {
            let at = SocketAddr::from(([127, 0, 3, (number + 1).min(250) as u8], 0));
            sockets.push(UdpSocket::bind(at).await?);
        }
        let addresses = sockets.iter().map(UdpSocket::local_addr).collect::<io::Result<Vec<_>>>()?;
        let sockets = Arc::new(sockets);
        let in_transit = Arc::new(Semaphore::new(MAX_DATAGRAMS_IN_TRANSIT));
        for to in 0..listening.len() {
            let (shared, sockets, in_transit, listening) =
                (self.shared.clone(), sockets.clone(), in_transit.clone(), listening.to_vec());
            tokio::spawn(async move {
                let mut bytes = [0u8; DATAGRAM_BUFFER_BYTES];
                loop {
                    let Ok((length, source)) = sockets[to].recv_from(&mut bytes).await else {
                        sleep(POLL_INTERVAL).await;
                        continue;
                    };
                    let Some(from) = listening.iter().position(|at| *at == source) else { continue };
                    let path = (Endpoint::Controller(from), Endpoint::Controller(to));
                    let Disposition::Forward { delay, duplicated } = shared.disposition(path.0, path.1)
                    else {
                        continue;
                    };
                    let Ok(permit) = in_transit.clone().try_acquire_owned() else { continue };
                    let (shared, sockets, address) = (shared.clone(), sockets.clone(), listening[to]);
                    let datagram = bytes[..length].to_vec();
                    tokio::spawn(async move {
                        let _permit = permit;
                        sleep(delay).await;
                        while shared.is_stalled(path.0, path.1) {
                            sleep(POLL_INTERVAL).await;
                        }
                        for _ in 0..if duplicated { 2 } else { 1 } {
                            let _ = sockets[from].send_to(&datagram, address).await;
                        }
                    });
                }
            });
        }
        Ok(addresses)
    }

    /// Opens a relay address for connections of one controller to one streamer, which listens at `to`.
    pub async fn proxy_link(
        &self,
        controller: usize,
        streamer: usize,
        to: SocketAddr,
    ) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let shared = self.shared.clone();
        let (near, far) = (Endpoint::Controller(controller), Endpoint::Streamer(streamer));
        tokio::spawn(async move {
            loop {
                let Ok((socket, _)) = listener.accept().await else {
                    sleep(POLL_INTERVAL).await;
                    continue;
                };
                // A blocked path accepts no connections.
                if shared.is_blocked(near, far) || shared.is_blocked(far, near) {
                    continue;
                }
                tokio::spawn(forward_connection(shared.clone(), (near, far), socket, to));
            }
        });
        Ok(address)
    }
}

/// Forwards one connection until an endpoint closes it or the path is blocked.
async fn forward_connection(
    shared: Arc<Shared>,
    (near, far): (Endpoint, Endpoint),
    socket: TcpStream,
    to: SocketAddr,
) {
    let Ok(other) = TcpStream::connect(to).await else { return };
    let _ = (socket.set_nodelay(true), other.set_nodelay(true));
    let (near_reader, near_writer) = socket.into_split();
    let (far_reader, far_writer) = other.into_split();
    let blocked = async {
        while !shared.is_blocked(near, far) && !shared.is_blocked(far, near) {
            sleep(POLL_INTERVAL).await;
        }
    };
    tokio::select! {
        () = forward_direction(&shared, (near, far), near_reader, far_writer) => {}
        () = forward_direction(&shared, (far, near), far_reader, near_writer) => {}
        () = blocked => {}
    }
}

/// Forwards one direction, in order.
async fn forward_direction(
    shared: &Shared,
    (from, to): (Endpoint, Endpoint),
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
) {
    let mut bytes = vec![0u8; STREAM_BUFFER_BYTES];
    loop {
        while shared.is_stalled(from, to) {
            sleep(POLL_INTERVAL).await;
        }
        let Ok(length @ 1..) = reader.read(&mut bytes).await else { return };
        while shared.is_stalled(from, to) {
            sleep(POLL_INTERVAL).await;
        }
        // Bytes of a connection are not lost, duplicated or reordered, only delayed.
        let delay = match shared.disposition(from, to) {
            Disposition::Forward { delay, .. } => delay,
            Disposition::Drop => RETRANSMISSION_DELAY,
        };
        sleep(delay).await;
        if writer.write_all(&bytes[..length]).await.is_err() {
            return;
        }
    }
}
