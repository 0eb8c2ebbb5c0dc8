//! Who may hold a connection: so many in all, so many from one network. A full house closes the connection that
//! has been idle longest for a new one; one that asks or is answered is never closed for another.

use lemontide::clock::{Point, Span};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, HashMap};
use std::net::IpAddr;

/// A connection that was idle for less is not closed for another: its player may be about to ask.
const IDLE_LEAST: Span = Span::of_millis(500);

/// Bounds of the house.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    pub max_connections: usize,
    /// Connections from one network, and how many leading bits of an address name it.
    pub max_per_network: usize,
    pub prefix_bits_v4: u8,
    pub prefix_bits_v6: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptDecision {
    /// Come in, under this number.
    Accept(u64),
    /// Come in; the connection of the second number is closed for it.
    AcceptAndClose(u64, u64),
    LimitReached,
    NetworkLimitReached,
}

/// Connections in figures.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConnectionCounts {
    pub open: usize,
    pub idle: usize,
    pub networks: usize,
    /// Refused for a full house and for a full network, and closed for another.
    pub refused_full: u64,
    pub refused_network: u64,
    pub closed_idle: u64,
}

#[derive(Clone, Debug, Default)]
struct Network {
    open: usize,
    idle: BTreeSet<(Point, u64)>,
}

#[derive(Clone, Debug)]
pub struct ConnectionLimiter {
    bounds: ConnectionLimits,
    /// Each connection's network, and since when it is idle.
    inside: HashMap<u64, (IpAddr, Option<Point>)>,
    networks: HashMap<IpAddr, Network>,
    idle: BTreeSet<(Point, u64)>,
    next: u64,
    counts: ConnectionCounts,
}

impl ConnectionLimiter {
    pub fn new(bounds: ConnectionLimits) -> ConnectionLimiter {
        ConnectionLimiter {
            bounds,
            inside: HashMap::new(),
            networks: HashMap::new(),
            idle: BTreeSet::new(),
            next: 0,
            counts: ConnectionCounts::default(),
        }
    }

    fn network(&self, from: IpAddr) -> IpAddr {
        let keep = |bits: u8, of: u32| u32::from(bits).min(of);
        match from {
            IpAddr::V4(v4) => {
                let bits = keep(self.bounds.prefix_bits_v4, 32);
                let mask = u32::MAX.checked_shl(32 - bits).unwrap_or(0);
                IpAddr::V4((v4.to_bits() & mask).into())
            }
            IpAddr::V6(v6) => match v6.to_ipv4_mapped() {
                Some(v4) => self.network(IpAddr::V4(v4)),
                None => {
                    let bits = keep(self.bounds.prefix_bits_v6, 128);
                    let mask = u128::MAX.checked_shl(128 - bits).unwrap_or(0);
                    IpAddr::V6((v6.to_bits() & mask).into())
                }
            },
        }
    }

    /// Somebody wants to come in. A new connection counts as idle from now on.
    pub fn try_accept(&mut self, now: Point, from: IpAddr) -> AcceptDecision {
        let network = self.network(from);
        let rested = |idle: &BTreeSet<(Point, u64)>| {
            idle.first().filter(|(since, _)| now - *since >= IDLE_LEAST).map(|(_, id)| *id)
        };
        let here = self.networks.get(&network);
        let mut closes = None;
        if here.is_some_and(|here| here.open >= self.bounds.max_per_network) {
            closes = here.and_then(|here| rested(&here.idle));
            if closes.is_none() {
                self.counts.refused_network += 1;
                return AcceptDecision::NetworkLimitReached;
            }
        } else if self.inside.len() >= self.bounds.max_connections {
            closes = rested(&self.idle);
            if closes.is_none() {
                self.counts.refused_full += 1;
                return AcceptDecision::LimitReached;
            }
        }
        if let Some(closed) = closes {
            self.remove(closed);
            self.counts.closed_idle += 1;
        }
        let id = self.next;
        self.next += 1;
        self.inside.insert(id, (network, Some(now)));
        self.idle.insert((now, id));
        let here = self.networks.entry(network).or_default();
        here.open += 1;
        here.idle.insert((now, id));
        match closes {
            Some(closed) => AcceptDecision::AcceptAndClose(id, closed),
            None => AcceptDecision::Accept(id),
        }
    }

    /// A request came on this connection.
    pub fn mark_busy(&mut self, id: u64) {
        self.set(id, None);
    }

    /// Its answer is out.
    pub fn mark_idle(&mut self, now: Point, id: u64) {
        self.set(id, Some(now));
    }

    fn set(&mut self, id: u64, idle: Option<Point>) {
        let Some((network, before)) = self.inside.get_mut(&id) else { return };
        let old = std::mem::replace(before, idle);
        let Some(here) = self.networks.get_mut(network) else { return };
        if let Some(old) = old {
            self.idle.remove(&(old, id));
            here.idle.remove(&(old, id));
        }
        if let Some(now) = idle {
            self.idle.insert((now, id));
            here.idle.insert((now, id));
        }
    }

    /// The connection is closed.
    pub fn remove(&mut self, id: u64) {
        self.set(id, None);
        let Some((network, _)) = self.inside.remove(&id) else { return };
        if let Some(here) = self.networks.get_mut(&network) {
            here.open -= 1;
            if here.open == 0 {
                self.networks.remove(&network);
            }
        }
    }

    /// Connections that have been idle for so long, to be closed; at most so many, the longest first.
    pub fn close_idle(&mut self, now: Point, least: Span, most: usize) -> Vec<u64> {
        let old: Vec<u64> = self
            .idle
            .iter()
            .take_while(|(since, _)| now - *since >= least)
            .take(most)
            .map(|(_, id)| *id)
            .collect();
        for id in &old {
            self.remove(*id);
            self.counts.closed_idle += 1;
        }
        old
    }

    pub fn counts(&self) -> ConnectionCounts {
        ConnectionCounts {
            open: self.inside.len(),
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

    fn at(s: f64) -> Point {
        Point::at(1000.0 + s)
    }

    fn ip(text: &str) -> IpAddr {
        text.parse().expect("an address")
    }

    fn door(connections: usize, per_network: usize) -> ConnectionLimiter {
        ConnectionLimiter::new(ConnectionLimits {
            max_connections: connections,
            max_per_network: per_network,
            prefix_bits_v4: 24,
            prefix_bits_v6: 56,
        })
    }

    #[test]
    fn ten_thousand_idle_connections_keep_nobody_out() {
        let mut door = door(10_000, 10_000);
        let open = |door: &mut ConnectionLimiter, s, from| match door.try_accept(at(s), from) {
            AcceptDecision::Accept(id) | AcceptDecision::AcceptAndClose(id, _) => Some(id),
            AcceptDecision::LimitReached | AcceptDecision::NetworkLimitReached => None,
        };
        for i in 0..10_000u32 {
            assert!(open(&mut door, 0.0, ip(&format!("10.0.{}.{}", i / 250, i % 250))).is_some());
        }
        assert_eq!(
            door.try_accept(at(0.1), ip("10.9.0.1")),
            AcceptDecision::LimitReached,
            "they came only just now"
        );
        let id = open(&mut door, 1.0, ip("10.9.0.1")).expect("the longest idle goes");
        door.mark_busy(id);
        assert_eq!(door.counts().open, 10_000);
        assert_eq!((door.counts().closed_idle, door.counts().refused_full), (1, 1));
    }

    #[test]
    fn one_network_in_excess_pays_by_itself() {
        let mut door = door(100, 3);
        let first: Vec<_> = (0..3).map(|i| door.try_accept(at(0.0), ip(&format!("10.0.0.{i}")))).collect();
        assert_eq!(door.try_accept(at(0.1), ip("10.0.0.9")), AcceptDecision::NetworkLimitReached);
        assert!(
            matches!(door.try_accept(at(0.1), ip("10.0.1.9")), AcceptDecision::Accept(_)),
            "others are not concerned"
        );
        for knock in &first {
            let AcceptDecision::Accept(id) = knock else { panic!("{knock:?}") };
            door.mark_busy(*id);
        }
        assert_eq!(
            door.try_accept(at(9.0), ip("10.0.0.9")),
            AcceptDecision::NetworkLimitReached,
            "who asks is not closed"
        );
        let mapped = door.try_accept(at(9.0), ip("::ffff:10.0.0.77"));
        assert_eq!(mapped, AcceptDecision::NetworkLimitReached, "a mapped address is the same network");
    }

    proptest! {
        /// Whatever happens in whatever order, no bound is passed and no busy connection is closed for another.
        #[test]
        fn bounds_hold_and_the_busy_stay(
            steps in proptest::collection::vec((0u8..5, 0u8..6, 0usize..20), 1..300),
        ) {
            let mut door = door(12, 5);
            let mut inside: Vec<(u64, bool)> = Vec::new();
            for (i, (step, from, which)) in steps.iter().enumerate() {
                let now = at(i as f64 * 0.2);
                match step {
                    0 | 1 => match door.try_accept(now, ip(&format!("10.0.{from}.1"))) {
                        AcceptDecision::Accept(id) => inside.push((id, false)),
                        AcceptDecision::AcceptAndClose(id, closed) => {
                            let place = inside.iter().position(|(id, _)| *id == closed).expect("it was in");
                            prop_assert!(!inside.remove(place).1, "a busy one was closed");
                            inside.push((id, false));
                        }
                        AcceptDecision::LimitReached => prop_assert!(inside.len() == 12),
                        AcceptDecision::NetworkLimitReached => {}
                    },
                    _ if inside.is_empty() => {}
                    2 => {
                        let place = which % inside.len();
                        inside[place].1 = true;
                        door.mark_busy(inside[place].0);
                    }
                    3 => {
                        let place = which % inside.len();
                        inside[place].1 = false;
                        door.mark_idle(now, inside[place].0);
                    }
                    _ => door.remove(inside.remove(which % inside.len()).0),
                }
                let counts = door.counts();
                prop_assert_eq!(counts.open, inside.len());
                prop_assert_eq!(counts.idle, inside.iter().filter(|(_, busy)| !busy).count());
                prop_assert!(counts.open <= 12 && door.networks.values().all(|n| n.open <= 5 && n.open > 0));
            }
        }
    }
}
