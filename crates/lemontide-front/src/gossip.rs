//! Carries gossip's datagrams over UDP between this controller and others. What is said and believed is decided
//! in `lemontide-gossip`; what to make of it, in the decision module.

use crate::events::Happened;
use crate::settings::{read_json, GossipSettings};
use lemontide::clock::{Point, Span};
use lemontide_gossip::authentication::{AllowedNetworks, Keyring, OwnKey};
use lemontide_gossip::membership::Timing;
use lemontide_gossip::message::MAX_DATAGRAM_BYTES;
use lemontide_gossip::node::{GossipView, Node, NodeConfig};
use lemontide_wire::clock::Clock;
use lemontide_wire::tap::{Tap, TapEvent};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::path::Path;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{timeout_at, Instant};

/// Evidence and questions that wait.
const EVIDENCE_MOST: usize = 4096;
const QUESTIONS_MOST: usize = 16;
/// A probe's answer is awaited for this part of the period; one that counts as dead is called on each so many periods.
const TIMEOUT_PART: f64 = 0.3;
const HEAL_PERIODS: f64 = 3.0;
/// How often what is believed is handed to the deciding thread.
const HAND_OVER: Duration = Duration::from_millis(250);

/// What this controller saw of a streamer.
pub struct Heard {
    pub streamer: String,
    pub good: bool,
}

type Questions = mpsc::Sender<oneshot::Sender<GossipView>>;

/// Reads a key of 64 hex digits.
pub fn key(text: &str) -> Option<[u8; 32]> {
    let text = text.trim();
    if text.len() != 64 || !text.is_ascii() {
        return None;
    }
    let mut key = [0; 32];
    for (i, byte) in key.iter_mut().enumerate() {
        *byte = u8::from_str_radix(text.get(2 * i..2 * i + 2)?, 16).ok()?;
    }
    Some(key)
}

/// Reads the secret and the ring. Errors name the file and the remedy.
fn keys(terms: &GossipSettings) -> io::Result<(OwnKey, Keyring)> {
    let wrong = |file: &Path, what: &str| io::Error::other(format!("{}: {what}", file.display()));
    let secret = std::fs::read_to_string(&terms.secret_key_file)
        .map_err(|e| wrong(&terms.secret_key_file, &e.to_string()))?;
    let secret =
        key(&secret).ok_or_else(|| wrong(&terms.secret_key_file, "a secret key is 64 hex digits"))?;
    let listed: BTreeMap<String, Vec<String>> =
        read_json(&terms.public_keys_file).map_err(io::Error::other)?;
    let mut ring = Keyring::default();
    for (name, publics) in &listed {
        for (i, public) in publics.iter().enumerate() {
            let at = format!("at {name}[{i}]: ");
            let public = key(public)
                .ok_or_else(|| wrong(&terms.public_keys_file, &(at.clone() + "a key is 64 hex digits")))?;
            ring.add(name, &public).map_err(|what| wrong(&terms.public_keys_file, &(at + what)))?;
        }
    }
    if !ring.contains(&terms.name) {
        return Err(wrong(
            &terms.public_keys_file,
            &format!("it has no key of {}; list this instance, too", terms.name),
        ));
    }
    Ok((OwnKey::new(&secret), ring))
}

/// Starts to gossip. What was seen goes in by the first sender; the second takes questions of operators.
pub async fn start(
    terms: &GossipSettings,
    clock: Clock,
    tap: Tap,
    seed: u64,
    number: Option<u32>,
    stopped: watch::Receiver<bool>,
    reports: mpsc::Sender<Happened>,
) -> io::Result<(mpsc::Sender<Heard>, Questions)> {
    let (own, ring) = keys(terms)?;
    let socket = UdpSocket::bind(terms.listen).await?;
    let node = Node::new(
        Point::at(clock.now()),
        NodeConfig {
            name: terms.name.clone(),
            address: terms.advertise.map_or_else(|| socket.local_addr(), Ok)?,
            number,
            own_key: own,
            keyring: ring,
            allowed_networks: AllowedNetworks::new(&terms.allowed_networks),
            seeds: terms.seeds.clone(),
            timing: Timing {
                probe_period: Span::of(terms.period_s),
                probe_timeout: Span::of(terms.period_s * TIMEOUT_PART),
                sync_interval: Span::of(terms.period_s * HEAL_PERIODS),
                ..Timing::default()
            },
            bytes_per_s: terms.bytes_per_s,
            // Unlike that of any earlier process of this instance, whatever its clock says.
            boot_id: rand::random(),
            rng_seed: seed,
        },
    );
    let (heard, hears) = mpsc::channel(EVIDENCE_MOST);
    let (asks, asked) = mpsc::channel(QUESTIONS_MOST);
    tokio::spawn(run(node, socket, terms.clone(), clock, tap, hears, asked, stopped, reports));
    Ok((heard, asks))
}

#[allow(clippy::too_many_arguments)] // all of them are ends of one task's channels
async fn run(
    mut node: Node,
    socket: UdpSocket,
    terms: GossipSettings,
    clock: Clock,
    tap: Tap,
    mut hears: mpsc::Receiver<Heard>,
    mut asked: mpsc::Receiver<oneshot::Sender<GossipView>>,
    mut stopped: watch::Receiver<bool>,
    reports: mpsc::Sender<Happened>,
) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else { return };
    let mut bytes = [0u8; MAX_DATAGRAM_BYTES + 1];
    let mut handed: BTreeSet<String> = BTreeSet::new();
    let shares = node.membership.own_record.number.is_some();
    let mut hand_over = Instant::now();
    let (mut second, mut sent) = (clock.now().floor(), 0);
    loop {
        let now = || Point::at(clock.now());
        let next = clock.instant(crate::core::seconds(node.next_tick_at()));
        // A tick that could not do all it wanted must not become a busy loop.
        let next = Instant::from_std(next).max(Instant::now() + Duration::from_millis(5)).min(hand_over);
        let _ = timeout_at(next, async {
            tokio::select! {
                came = socket.recv_from(&mut bytes) => {
                    if let Ok((length, from)) = came {
                        node.receive(now(), from, &bytes[..length]);
                    }
                }
                Some(seen) = hears.recv() => node.record_outcome(now(), &seen.streamer, seen.good),
                Some(reply) = asked.recv() => { let _ = reply.send(node.view(now())); }
                // Who leaves in order says so: nobody waits for a suspicion to last out.
                Ok(()) = stopped.changed(), if !*stopped.borrow() => node.leave(now()),
                _ = hangup.recv() => match keys(&terms) {
                    Ok((own, ring)) => node.set_keys(own, ring),
                    Err(e) => tracing::warn!(target: "gossip", error = %e, "kept the old keys"),
                },
            }
        })
        .await;
        node.tick(now());
        for (to, datagram) in std::mem::take(&mut node.outbox) {
            let second_now = clock.now().floor();
            if second_now > second {
                tap.record(TapEvent::GossipSent { bytes: sent });
                (second, sent) = (second_now, 0);
            }
            sent += datagram.len();
            // A datagram that can't leave is a lost one, and the protocol lives with those.
            let _ = socket.try_send_to(&datagram, to);
        }
        for change in node.take_changes() {
            tracing::info!(target: "gossip", ?change);
        }
        if Instant::now() >= hand_over {
            hand_over = Instant::now() + HAND_OVER;
            let weights = node.failure_scores(now());
            // Who is not suspected any more is told as such, once.
            let gone =
                handed.iter().filter(|name| !weights.contains_key(*name)).map(|name| (name.clone(), 0.0));
            let doubts: Vec<(String, f64)> = gone.chain(weights.clone()).collect();
            if !doubts.is_empty() {
                if reports.is_closed() {
                    return;
                }
                let _ = reports.try_send(Happened::Doubts(doubts));
            }
            handed = weights.into_keys().collect();
            if shares {
                let _ = reports.try_send(Happened::Fleet(node.gone_since_by_number()));
            }
        }
    }
}
