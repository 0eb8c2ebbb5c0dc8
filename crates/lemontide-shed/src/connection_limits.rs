//! Limits on open connections: on all of them together, and on those from one network. At a limit a new connection
//! replaces the one that has been idle longest; a connection with a request in progress is never closed for another.

use lemontide::clock::{Point, Span};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, HashMap};
use std::net::IpAddr;

/// A connection that was idle for less is not closed for another: its player may be about to send a request.
const MIN_IDLE_TO_REPLACE: Span = Span::of_millis(500);

/// Limits on open connections.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    pub max_connections: usize,
    /// Most connections from one network. The addresses with the same prefix of the length below count as one network.
    pub max_per_network: usize,
    pub prefix_bits_v4: u8,
    pub prefix_bits_v6: u8,
}

/// What to do with a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptDecision {
    /// Accept it; it gets this id.
    Accept(u64),
    /// Accept it under the first id, and close the connection of the second one.
    AcceptAndClose(u64, u64),
    /// Reject it: the limit on all connections is reached.
    LimitReached,
    /// Reject it: its network's limit is reached.
    NetworkLimitReached,
}

/// Figures about connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConnectionCounts {
    pub open: usize,
    pub idle: usize,
    pub networks: usize,
    /// Connections refused at the limit on all connections and at a network's limit.
    pub refused_full: u64,
    pub refused_network: u64,
    /// Idle connections that were closed for another one, or by `close_idle`.
    pub closed_idle: u64,
}

#[derive(Clone, Debug, Default)]
struct Network {
    open: usize,
    /// Idle connections, the one that has been idle longest first.
    idle: BTreeSet<(Point, u64)>,
}

/// Tracks open connections and enforces the limits.
#[derive(Clone, Debug)]
pub struct ConnectionLimiter {
    limits: ConnectionLimits,
    /// Each connection's network, and since when it is idle.
    connections: HashMap<u64, (IpAddr, Option<Point>)>,
    networks: HashMap<IpAddr, Network>,
    /// The same for all networks together.
    idle: BTreeSet<(Point, u64)>,
    next_id: u64,
    counts: ConnectionCounts,
}

impl ConnectionLimiter {
    /// A limiter without any connections.
    pub fn new(limits: ConnectionLimits) -> ConnectionLimiter {
        ConnectionLimiter {
            limits,
            connections: HashMap::new(),
            networks: HashMap::new(),
            idle: BTreeSet::new(),
            next_id: 0,
            counts: ConnectionCounts::default(),
        }
    }

    /// The network of an address: its prefix, with an IPv4-mapped IPv6 address taken as IPv4.
    fn network_of(&self, address: IpAddr) -> IpAddr {
        let prefix = |bits: u8, max: u32| u32::from(bits).min(max);
        match address {
            IpAddr::V4(v4) => {
                let bits = prefix(self.limits.prefix_bits_v4, 32);
                let mask = u32::MAX.checked_shl(32 - bits).unwrap_or(0);
                IpAddr::V4((v4.to_bits() & mask).into())
            }
            IpAddr::V6(v6) => match v6.to_ipv4_mapped() {
                Some(v4) => self.network_of(IpAddr::V4(v4)),
                None => {
                    let bits = prefix(self.limits.prefix_bits_v6, 128);
                    let mask = u128::MAX.checked_shl(128 - bits).unwrap_or(0);
                    IpAddr::V6((v6.to_bits() & mask).into())
                }
            },
        }
    }

    /// Decides about a new connection. An accepted one counts as idle from now on.
    pub fn try_accept(&mut self, now: Point, address: IpAddr) -> AcceptDecision {
        let network = self.network_of(address);
        let replaceable = |idle: &BTreeSet<(Point, u64)>| {
            idle.first().filter(|(since, _)| now - *since >= MIN_IDLE_TO_REPLACE).map(|(_, id)| *id)
        };
        let same_network = self.networks.get(&network);
        let mut to_close = None;
        if same_network.is_some_and(|network| network.open >= self.limits.max_per_network) {
            to_close = same_network.and_then(|network| replaceable(&network.idle));
            if to_close.is_none() {
                self.counts.refused_network += 1;
                return AcceptDecision::NetworkLimitReached;
            }
        } else if self.connections.len() >= self.limits.max_connections {
            to_close = replaceable(&self.idle);
            if to_close.is_none() {
                self.counts.refused_full += 1;
                return AcceptDecision::LimitReached;
            }
        }
        if let Some(closed) = to_close {
            self.remove(closed);
            self.counts.closed_idle += 1;
        }
        let id = self.next_id;
        self.next_id += 1;
        self.connections.insert(id, (network, Some(now)));
        self.idle.insert((now, id));
        let same_network = self.networks.entry(network).or_default();
        same_network.open += 1;
        same_network.idle.insert((now, id));
        match to_close {
            Some(closed) => AcceptDecision::AcceptAndClose(id, closed),
            None => AcceptDecision::Accept(id),
        }
    }

    /// A request has begun on this connection.
    pub fn mark_busy(&mut self, id: u64) {
        self.set_idle_since(id, None);
    }

    /// The answer to the request has been sent.
    pub fn mark_idle(&mut self, now: Point, id: u64) {
        self.set_idle_since(id, Some(now));
    }

    fn set_idle_since(&mut self, id: u64, idle_since: Option<Point>) {
        let Some((network, before)) = self.connections.get_mut(&id) else { return };
        let old = std::mem::replace(before, idle_since);
        let Some(network) = self.networks.get_mut(network) else { return };
        if let Some(old) = old {
            self.idle.remove(&(old, id));
            network.idle.remove(&(old, id));
        }
        if let Some(now) = idle_since {
            self.idle.insert((now, id));
            network.idle.insert((now, id));
        }
    }

    /// The connection is closed.
    pub fn remove(&mut self, id: u64) {
        self.set_idle_since(id, None);
        let Some((address, _)) = self.connections.remove(&id) else { return };
        if let Some(network) = self.networks.get_mut(&address) {
            network.open -= 1;
            if network.open == 0 {
                self.networks.remove(&address);
            }
        }
    }

    /// Removes connections that have been idle for at least `min_idle` and returns their ids, for the caller to close
    /// them: at most `max`, those that have been idle longest first.
    pub fn close_idle(&mut self, now: Point, min_idle: Span, max: usize) -> Vec<u64> {
        let closed: Vec<u64> = self
            .idle
            .iter()
            .take_while(|(since, _)| now - *since >= min_idle)
            .take(max)
            .map(|(_, id)| *id)
            .collect();
        for id in &closed {
            self.remove(*id);
            self.counts.closed_idle += 1;
        }
        closed
    }

    /// Figures about connections now and since the start.
    pub fn counts(&self) -> ConnectionCounts {
        ConnectionCounts {
            open: self.connections.len(),
            idle: self.idle.len(),
            networks: self.networks.len(),
            ..self.counts
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn at(seconds: f64) -> Point {
        Point::at(1000.0 + seconds)
    }

    fn ip(text: &str) -> IpAddr {
        text.parse().expect("an address")
    }

    fn limiter(max_connections: usize, max_per_network: usize) -> ConnectionLimiter {
        let limits =
            ConnectionLimits { max_connections, max_per_network, prefix_bits_v4: 24, prefix_bits_v6: 56 };
        ConnectionLimiter::new(limits)
    }

    #[test]
    fn ten_thousand_idle_connections_do_not_block_a_new_one() {
        let mut limiter = limiter(10_000, 10_000);
        let accept = |limiter: &mut ConnectionLimiter, s, from| match limiter.try_accept(at(s), from) {
            AcceptDecision::Accept(id) | AcceptDecision::AcceptAndClose(id, _) => Some(id),
            AcceptDecision::LimitReached | AcceptDecision::NetworkLimitReached => None,
        };
        for i in 0..10_000u32 {
            assert!(accept(&mut limiter, 0.0, ip(&format!("10.0.{}.{}", i / 250, i % 250))).is_some());
        }
        assert_eq!(
            limiter.try_accept(at(0.1), ip("10.9.0.1")),
            AcceptDecision::LimitReached,
            "the idle ones are too young to be closed"
        );
        let id = accept(&mut limiter, 1.0, ip("10.9.0.1")).expect("the longest idle is closed");
        limiter.mark_busy(id);
        assert_eq!(limiter.counts().open, 10_000);
        assert_eq!((limiter.counts().closed_idle, limiter.counts().refused_full), (1, 1));
    }

    #[test]
    fn a_network_at_its_limit_does_not_affect_others() {
        let mut limiter = limiter(100, 3);
        let first: Vec<_> = (0..3).map(|i| limiter.try_accept(at(0.0), ip(&format!("10.0.0.{i}")))).collect();
        assert_eq!(limiter.try_accept(at(0.1), ip("10.0.0.9")), AcceptDecision::NetworkLimitReached);
        assert!(
            matches!(limiter.try_accept(at(0.1), ip("10.0.1.9")), AcceptDecision::Accept(_)),
            "other networks are not affected"
        );
        for decision in &first {
            let AcceptDecision::Accept(id) = decision else { panic!("{decision:?}") };
            limiter.mark_busy(*id);
        }
        assert_eq!(
            limiter.try_accept(at(9.0), ip("10.0.0.9")),
            AcceptDecision::NetworkLimitReached,
            "a busy connection is not closed"
        );
        let mapped = limiter.try_accept(at(9.0), ip("::ffff:10.0.0.77"));
        assert_eq!(mapped, AcceptDecision::NetworkLimitReached, "a mapped address is the same network");
    }

    proptest! {
        /// For any sequence of events no limit is exceeded and no busy connection is closed for another.
        #[test]
        fn limits_hold_and_busy_connections_stay(
            steps in proptest::collection::vec((0u8..5, 0u8..6, 0usize..20), 1..300),
        ) {
            let mut limiter = limiter(12, 5);
            let mut open: Vec<(u64, bool)> = Vec::new();
            for (i, (step, from, which)) in steps.iter().enumerate() {
                let now = at(i as f64 * 0.2);
                match step {
                    0 | 1 => match limiter.try_accept(now, ip(&format!("10.0.{from}.1"))) {
                        AcceptDecision::Accept(id) => open.push((id, false)),
                        AcceptDecision::AcceptAndClose(id, closed) => {
                            let index = open.iter().position(|(id, _)| *id == closed).expect("it was open");
                            prop_assert!(!open.remove(index).1, "a busy connection was closed");
                            open.push((id, false));
                        }
                        AcceptDecision::LimitReached => prop_assert!(open.len() == 12),
                        AcceptDecision::NetworkLimitReached => {}
                    },
                    _ if open.is_empty() => {}
                    2 => {
                        let index = which % open.len();
                        open[index].1 = true;
                        limiter.mark_busy(open[index].0);
                    }
                    3 => {
                        let index = which % open.len();
                        open[index].1 = false;
                        limiter.mark_idle(now, open[index].0);
                    }
                    _ => limiter.remove(open.remove(which % open.len()).0),
                }
                let counts = limiter.counts();
                prop_assert_eq!(counts.open, open.len());
                prop_assert_eq!(counts.idle, open.iter().filter(|(_, busy)| !busy).count());
                prop_assert!(counts.open <= 12 && limiter.networks.values().all(|n| n.open <= 5 && n.open > 0));
            }
        }
    }
}
