//! Gossip with other controllers: sends and receives the datagrams over UDP. `lemontide-gossip` implements
//! the protocol; the decision module uses its results.

use crate::events::Event;
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

/// Maximum number of queued observations and of queued requests for the view.
const MAX_QUEUED_OBSERVATIONS: usize = 4096;
const MAX_QUEUED_VIEW_REQUESTS: usize = 16;
/// Timeout of a probe as a part of the probe period, and number of periods between two syncs with a member
/// declared dead.
const PROBE_TIMEOUT_PART: f64 = 0.3;
const SYNC_INTERVAL_PERIODS: f64 = 3.0;
/// How often the results are sent to the deciding thread.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Whether an attempt of this controller at a streamer succeeded.
pub struct Observation {
    pub streamer: String,
    pub succeeded: bool,
}

/// Sends requests for the view of the gossip, each with the channel for the reply.
pub type ViewRequests = mpsc::Sender<oneshot::Sender<GossipView>>;

/// Parses a key of 64 hex digits.
pub fn parse_key(text: &str) -> Option<[u8; 32]> {
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

/// Reads the secret key and the public keys. An error names the file and how to fix it.
fn read_keys(settings: &GossipSettings) -> io::Result<(OwnKey, Keyring)> {
    let error = |file: &Path, problem: &str| io::Error::other(format!("{}: {problem}", file.display()));
    let (secret_file, public_file) = (&settings.secret_key_file, &settings.public_keys_file);
    let secret = std::fs::read_to_string(secret_file).map_err(|e| error(secret_file, &e.to_string()))?;
    let secret =
        parse_key(&secret).ok_or_else(|| error(secret_file, "a secret key must be 64 hex digits"))?;
    let public_keys: BTreeMap<String, Vec<String>> = read_json(public_file).map_err(io::Error::other)?;
    let mut keyring = Keyring::default();
    for (name, keys) in &public_keys {
        for (i, key) in keys.iter().enumerate() {
            let place = format!("at {name}[{i}]: ");
            let key = parse_key(key)
                .ok_or_else(|| error(public_file, &(place.clone() + "a key must be 64 hex digits")))?;
            keyring.add(name, &key).map_err(|problem| error(public_file, &(place + problem)))?;
        }
    }
    if !keyring.contains(&settings.name) {
        let problem = format!("there is no key of {}; add a key of this instance", settings.name);
        return Err(error(public_file, &problem));
    }
    Ok((OwnKey::new(&secret), keyring))
}

/// Starts to gossip. The first sender takes observations of streamers, the second requests for the view.
pub async fn start(
    settings: &GossipSettings,
    clock: Clock,
    tap: Tap,
    rng_seed: u64,
    number: Option<u32>,
    stopped: watch::Receiver<bool>,
    events: mpsc::Sender<Event>,
) -> io::Result<(mpsc::Sender<Observation>, ViewRequests)> {
    let (own_key, keyring) = read_keys(settings)?;
    let socket = UdpSocket::bind(settings.listen).await?;
    let node = Node::new(
        Point::at(clock.now()),
        NodeConfig {
            name: settings.name.clone(),
            address: settings.advertise.map_or_else(|| socket.local_addr(), Ok)?,
            number,
            own_key,
            keyring,
            allowed_networks: AllowedNetworks::new(&settings.allowed_networks),
            seeds: settings.seeds.clone(),
            timing: Timing {
                probe_period: Span::of(settings.period_s),
                probe_timeout: Span::of(settings.period_s * PROBE_TIMEOUT_PART),
                sync_interval: Span::of(settings.period_s * SYNC_INTERVAL_PERIODS),
                ..Timing::default()
            },
            bytes_per_s: settings.bytes_per_s,
            // Random, so that it differs from that of every earlier process of this instance even if the
            // clock was set back.
            boot_id: rand::random(),
            rng_seed,
        },
    );
    let (observations, observed) = mpsc::channel(MAX_QUEUED_OBSERVATIONS);
    let (view_requests, views_requested) = mpsc::channel(MAX_QUEUED_VIEW_REQUESTS);
    tokio::spawn(run(node, socket, settings.clone(), clock, tap, observed, views_requested, stopped, events));
    Ok((observations, view_requests))
}

#[allow(clippy::too_many_arguments)] // These are the channels and the state of one task.
async fn run(
    mut node: Node,
    socket: UdpSocket,
    settings: GossipSettings,
    clock: Clock,
    tap: Tap,
    mut observed: mpsc::Receiver<Observation>,
    mut views_requested: mpsc::Receiver<oneshot::Sender<GossipView>>,
    mut stopped: watch::Receiver<bool>,
    events: mpsc::Sender<Event>,
) {
    let Ok(mut hangup_signal) = signal(SignalKind::hangup()) else { return };
    let mut bytes = [0u8; MAX_DATAGRAM_BYTES + 1];
    let mut reported: BTreeSet<String> = BTreeSet::new();
    let has_number = node.membership.own_record.number.is_some();
    let mut next_report_at = Instant::now();
    let (mut current_second, mut sent_bytes) = (clock.now().floor(), 0);
    loop {
        let now = || Point::at(clock.now());
        let next_tick_at = clock.instant(crate::core::seconds(node.next_tick_at()));
        // A tick can leave work undone, for example for lack of bytes. The minimum delay avoids a busy loop
        // then.
        let wake_at = Instant::from_std(next_tick_at)
            .max(Instant::now() + Duration::from_millis(5))
            .min(next_report_at);
        let _ = timeout_at(wake_at, async {
            tokio::select! {
                received = socket.recv_from(&mut bytes) => {
                    if let Ok((length, peer)) = received {
                        node.receive(now(), peer, &bytes[..length]);
                    }
                }
                Some(observation) = observed.recv() => {
                    node.record_outcome(now(), &observation.streamer, observation.succeeded);
                }
                Some(reply) = views_requested.recv() => { let _ = reply.send(node.view(now())); }
                // Announces an orderly stop, so that the other members don't have to wait for a suspicion to
                // expire.
                Ok(()) = stopped.changed(), if !*stopped.borrow() => node.leave(now()),
                _ = hangup_signal.recv() => match read_keys(&settings) {
                    Ok((own_key, keyring)) => node.set_keys(own_key, keyring),
                    Err(e) => tracing::warn!(target: "gossip", error = %e, "new keys are not valid; keeping the old ones"),
                },
            }
        })
        .await;
        node.tick(now());
        for (peer, datagram) in std::mem::take(&mut node.outbox) {
            let second = clock.now().floor();
            if second > current_second {
                tap.record(TapEvent::GossipSent { bytes: sent_bytes });
                (current_second, sent_bytes) = (second, 0);
            }
            sent_bytes += datagram.len();
            // A datagram that can't be sent counts as lost, which the protocol tolerates.
            let _ = socket.try_send_to(&datagram, peer);
        }
        for change in node.take_changes() {
            tracing::info!(target: "gossip", ?change);
        }
        if Instant::now() >= next_report_at {
            next_report_at = Instant::now() + REPORT_INTERVAL;
            let scores = node.failure_scores(now());
            // A streamer that is no longer suspected is reported once with a score of 0.
            let cleared =
                reported.iter().filter(|name| !scores.contains_key(*name)).map(|name| (name.clone(), 0.0));
            let suspicions: Vec<(String, f64)> = cleared.chain(scores.clone()).collect();
            if !suspicions.is_empty() {
                if events.is_closed() {
                    return;
                }
                let _ = events.try_send(Event::PeerSuspicions(suspicions));
            }
            reported = scores.into_keys().collect();
            if has_number {
                let _ = events.try_send(Event::PeersChanged(node.gone_since_by_number()));
            }
        }
    }
}
