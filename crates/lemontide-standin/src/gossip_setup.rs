//! Gossip on a day: keys and addresses for its controllers, and a member that lies.

use crate::day::DayGossip;
use crate::relay::Relay;
use crate::run::replace;
use crate::simulated_network::{secret_key, signing_key};
use ipnet::IpNet;
use lemontide::clock::Point;
use lemontide_front::settings::GossipSettings;
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

/// Streamers in one false testimony: as many as a testimony holds.
const STREAMERS_PER_FALSE_TESTIMONY: usize = 16;

/// Keys and addresses of all members on a day, the lying one last.
pub struct GossipSetup {
    listen_addresses: Vec<SocketAddr>,
    /// Where other members reach each one: its own address, or one of the relay.
    advertised_addresses: Vec<SocketAddr>,
    period_s: f64,
    folder: PathBuf,
    bytes_per_s: usize,
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn member_name(number: usize) -> String {
    format!("c{number}")
}

fn loopback() -> Vec<IpNet> {
    "127.0.0.0/8".parse().into_iter().collect()
}

impl GossipSetup {
    /// Writes keys into the folder and reserves free addresses, a loopback address for each member.
    pub fn prepare(controllers: usize, terms: &DayGossip, folder: &Path) -> io::Result<GossipSetup> {
        let mut listen_addresses = Vec::new();
        let mut public_keys = BTreeMap::new();
        for number in 0..=controllers {
            let at = ([127, 0, 2, (number + 1).min(250) as u8], 0);
            listen_addresses.push(UdpSocket::bind(SocketAddr::from(at))?.local_addr()?);
            public_keys.insert(member_name(number), vec![hex(&signing_key(number).public_key())]);
            let secret = secret_key(number);
            replace(&folder.join(format!("secret-{number}")), hex(&secret).as_bytes())?;
        }
        replace(&folder.join("keys.json"), &serde_json::to_vec(&public_keys)?)?;
        Ok(GossipSetup {
            advertised_addresses: listen_addresses.clone(),
            listen_addresses,
            period_s: terms.period_s,
            folder: folder.to_owned(),
            bytes_per_s: terms.bytes_per_s,
        })
    }

    /// Routes the datagrams of all members through a relay.
    pub async fn route_through(&mut self, relay: &Relay) -> io::Result<()> {
        self.advertised_addresses = relay.proxy_datagrams(&self.listen_addresses).await?;
        Ok(())
    }

    /// The gossip settings of a controller.
    pub fn settings(&self, number: usize) -> GossipSettings {
        GossipSettings {
            name: member_name(number),
            listen: self.listen_addresses[number],
            advertise: Some(self.advertised_addresses[number]),
            period_s: self.period_s,
            seeds: self.advertised_addresses.iter().take(3).copied().collect(),
            secret_key_file: self.folder.join(format!("secret-{number}")),
            public_keys_file: self.folder.join("keys.json"),
            allowed_networks: loopback(),
            bytes_per_s: self.bytes_per_s,
        }
    }

    /// The lying member, with a listed key like any other, and its socket.
    pub async fn lying_member(&self, clock: Clock) -> io::Result<(Node, tokio::net::UdpSocket)> {
        let number = self.listen_addresses.len() - 1;
        let mut keyring = Keyring::default();
        for i in 0..self.listen_addresses.len() {
            keyring.add(&member_name(i), &signing_key(i).public_key()).map_err(io::Error::other)?;
        }
        let config = NodeConfig {
            name: member_name(number),
            address: self.advertised_addresses[number],
            number: None,
            own_key: OwnKey::new(&secret_key(number)),
            keyring,
            allowed_networks: AllowedNetworks::new(&loopback()),
            seeds: self.advertised_addresses.iter().take(3).copied().collect(),
            timing: Timing::default(),
            // It does not keep to the byte budget of the other members.
            bytes_per_s: 1 << 20,
            boot_id: 1,
            rng_seed: 666,
        };
        let socket = tokio::net::UdpSocket::bind(self.listen_addresses[number]).await?;
        Ok((Node::new(Point::at(clock.now()), config), socket))
    }
}

/// Runs the lying member until the day ends: it reports that every streamer fails and accuses every other member.
pub async fn run_lying_member(
    (mut node, socket): (Node, tokio::net::UdpSocket),
    streamers: Vec<String>,
    clock: Clock,
) {
    let mut bytes = [0u8; MAX_DATAGRAM_BYTES + 1];
    let mut ticks = interval(Duration::from_millis(250));
    let mut round = 0;
    loop {
        ticks.tick().await;
        let now = || Point::at(clock.now());
        while let Ok(Ok((length, from))) =
            timeout(Duration::from_millis(5), socket.recv_from(&mut bytes)).await
        {
            node.receive(now(), from, &bytes[..length]);
        }
        node.tick(now());
        round += 1;
        let reported = streamers
            .iter()
            .cycle()
            .skip(round * STREAMERS_PER_FALSE_TESTIMONY / 2)
            .take(STREAMERS_PER_FALSE_TESTIMONY.min(streamers.len()));
        node.publish_false_testimony(
            reported.map(|s| Seen { streamer: s.clone(), tries: 100, failures: 100 }).collect(),
        );
        let members: Vec<String> = node.membership.peers().map(|(name, _)| name.clone()).collect();
        if let Some(accused) = members.get(round % members.len().max(1)) {
            node.send_false_suspicion(now(), accused);
        }
        for (to, datagram) in std::mem::take(&mut node.outbox) {
            let _ = socket.try_send_to(&datagram, to);
        }
    }
}
