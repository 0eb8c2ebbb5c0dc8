//! What a day with gossip needs: keys and addresses for its controllers, and a member that lies.

use crate::day::DayGossip;
use crate::relay::Relay;
use crate::run::replace;
use crate::town::own;
use ipnet::IpNet;
use lemontide::clock::Point;
use lemontide_front::settings::Gossip;
use lemontide_gossip::authentication::{AllowedNetworks, Keyring, OwnKey};
use lemontide_gossip::membership::Timing;
use lemontide_gossip::message::{Seen, MAX_DATAGRAM_BYTES};
use lemontide_gossip::node::{Node, NodeConfig};
use lemontide_wire::clock::Clock;
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::time::{interval, timeout};

/// Streamers that one lie names: as many as a testimony holds.
const LIE: usize = 16;

/// Keys and addresses of all who gossip on a day, the liar last.
pub struct Gossips {
    addresses: Vec<SocketAddr>,
    /// Where others reach each, by way of the relay.
    doors: Vec<SocketAddr>,
    period_s: f64,
    folder: PathBuf,
    bytes_per_s: usize,
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn name(number: usize) -> String {
    format!("c{number}")
}

fn loopback() -> Vec<IpNet> {
    "127.0.0.0/8".parse().into_iter().collect()
}

impl Gossips {
    /// Makes keys and finds free addresses, each of its own on loopback.
    pub fn prepare(controllers: usize, terms: &DayGossip, folder: &Path) -> io::Result<Gossips> {
        let mut addresses = Vec::new();
        let mut listed = BTreeMap::new();
        for number in 0..=controllers {
            let at = ([127, 0, 2, (number + 1).min(250) as u8], 0);
            addresses.push(UdpSocket::bind(SocketAddr::from(at))?.local_addr()?);
            listed.insert(name(number), vec![hex(&own(number).public_key())]);
            let secret = crate::town::secret(number);
            replace(&folder.join(format!("secret-{number}")), hex(&secret).as_bytes())?;
        }
        replace(&folder.join("keys.json"), &serde_json::to_vec(&listed)?)?;
        let folder = folder.to_owned();
        let (bytes_per_s, period_s) = (terms.bytes_per_s, terms.period_s);
        Ok(Gossips { doors: addresses.clone(), addresses, period_s, folder, bytes_per_s })
    }

    /// Lets all of them speak through a relay.
    pub async fn through(&mut self, relay: &Relay) -> io::Result<()> {
        self.doors = relay.doors(&self.addresses).await?;
        Ok(())
    }

    /// The settings of a controller's gossip.
    pub fn settings(&self, number: usize) -> Gossip {
        Gossip {
            name: name(number),
            listen: self.addresses[number],
            advertise: Some(self.doors[number]),
            period_s: self.period_s,
            seeds: self.doors.iter().take(3).copied().collect(),
            secret: self.folder.join(format!("secret-{number}")),
            keys: self.folder.join("keys.json"),
            networks: loopback(),
            bytes_per_s: self.bytes_per_s,
        }
    }

    /// The liar: a member like others, with a key of its own, and its socket.
    pub async fn liar(&self, clock: Clock) -> io::Result<(Node, tokio::net::UdpSocket)> {
        let number = self.addresses.len() - 1;
        let mut ring = Keyring::default();
        for i in 0..self.addresses.len() {
            ring.add(&name(i), &own(i).public_key()).map_err(io::Error::other)?;
        }
        let terms = NodeConfig {
            name: name(number),
            address: self.doors[number],
            number: None,
            own_key: OwnKey::new(&crate::town::secret(number)),
            keyring: ring,
            allowed_networks: AllowedNetworks::new(&loopback()),
            seeds: self.doors.iter().take(3).copied().collect(),
            timing: Timing::default(),
            // It keeps to no budget that honours anybody.
            bytes_per_s: 1 << 20,
            boot_id: 1,
            rng_seed: 666,
        };
        let socket = tokio::net::UdpSocket::bind(self.addresses[number]).await?;
        Ok((Node::new(Point::at(clock.now()), terms), socket))
    }
}

/// Lies until the day is over: every streamer fails, every other member is dead.
pub async fn lies((mut node, socket): (Node, tokio::net::UdpSocket), streamers: Vec<String>, clock: Clock) {
    let mut bytes = [0u8; MAX_DATAGRAM_BYTES + 1];
    let mut beat = interval(Duration::from_millis(250));
    let mut round = 0;
    loop {
        beat.tick().await;
        let now = || Point::at(clock.now());
        while let Ok(Ok((length, from))) =
            timeout(Duration::from_millis(5), socket.recv_from(&mut bytes)).await
        {
            node.receive(now(), from, &bytes[..length]);
        }
        node.tick(now());
        round += 1;
        let named = streamers.iter().cycle().skip(round * LIE / 2).take(LIE.min(streamers.len()));
        node.publish_false_testimony(
            named.map(|s| Seen { streamer: s.clone(), tries: 100, failures: 100 }).collect(),
        );
        let members: Vec<String> = node.membership.peers().map(|(name, _)| name.clone()).collect();
        if let Some(victim) = members.get(round % members.len().max(1)) {
            node.send_false_suspicion(now(), victim);
        }
        for (to, datagram) in std::mem::take(&mut node.outbox) {
            let _ = socket.try_send_to(&datagram, to);
        }
    }
}
