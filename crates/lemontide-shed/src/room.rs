//! Where taken wishes wait for their turn: a queue for each lane, bounded together. The best go first, no lane
//! under its stated share; one whose time is over is handed out as late; a full room lets a better wish in for
//! the newest of the least.

use lemontide::clock::Point;
use std::collections::VecDeque;

/// How a full room and the next turn are decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// First come, first served; the newest is dropped when it is full.
    Arrival,
    /// By the lanes' ranks and shares.
    Rank,
}

#[derive(Debug, PartialEq)]
pub enum Entered<T> {
    Waits,
    /// It waits, and this one lost its place to it.
    InPlaceOf(T),
    Full(T),
}

#[derive(Debug, PartialEq)]
pub enum Turn<T> {
    Go(T),
    /// It can't be answered in time any more.
    Late(T),
}

struct Waits<T> {
    until: Point,
    number: u64,
    what: T,
}

pub struct Room<T> {
    order: Order,
    most: usize,
    /// A lane's queue holds at most this many.
    lane_most: usize,
    lanes: Vec<VecDeque<Waits<T>>>,
    /// Rank and stated share of each lane, and how many turns it had lately.
    rank: Vec<f64>,
    share: Vec<f64>,
    turns: Vec<f64>,
    waiting: usize,
    entered: u64,
}

/// Turns are forgotten by half when there were so many.
const TURNS_KEPT: f64 = 256.0;

impl<T> Room<T> {
    pub fn new(order: Order, most: usize, lane_most: usize, lanes: usize) -> Room<T> {
        let lanes = lanes.max(1);
        Room {
            order,
            most: most.max(1),
            lane_most: lane_most.max(1),
            lanes: (0..lanes).map(|_| VecDeque::new()).collect(),
            rank: vec![1.0; lanes],
            share: vec![0.0; lanes],
            turns: vec![0.0; lanes],
            waiting: 0,
            entered: 0,
        }
    }

    /// Ranks from 0 to 1 and stated shares, in the order of the lanes.
    pub fn rank(&mut self, rank: &[f64], share: &[f64]) {
        for (to, from) in self.rank.iter_mut().zip(rank) {
            *to = *from;
        }
        for (to, from) in self.share.iter_mut().zip(share) {
            *to = *from;
        }
    }

    pub fn len(&self) -> usize {
        self.waiting
    }

    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// The first of each lane.
    pub fn fronts(&self) -> impl Iterator<Item = &T> {
        self.lanes.iter().filter_map(|lane| lane.front()).map(|waits| &waits.what)
    }

    /// How full it is, as a part of its bound.
    pub fn fullness(&self) -> f64 {
        self.waiting as f64 / self.most as f64
    }

    pub fn enter(&mut self, lane: usize, until: Point, what: T) -> Entered<T> {
        let lane = lane.min(self.lanes.len() - 1);
        if self.lanes[lane].len() >= self.lane_most {
            return Entered::Full(what);
        }
        let mut lost = None;
        if self.waiting >= self.most {
            let Some(least) = self.displaced_for(lane) else { return Entered::Full(what) };
            lost = self.lanes[least].pop_back();
            self.waiting -= 1;
        }
        let number = self.entered;
        self.entered += 1;
        self.lanes[lane].push_back(Waits { until, number, what });
        self.waiting += 1;
        match lost {
            Some(lost) => Entered::InPlaceOf(lost.what),
            None => Entered::Waits,
        }
    }

    /// The lane whose newest gives way to one of `lane`: the least, if it is less, and not under its share.
    fn displaced_for(&self, lane: usize) -> Option<usize> {
        if self.order == Order::Arrival {
            return None;
        }
        let keeps = |other: usize| self.lanes[other].len() as f64 <= self.share[other] * self.most as f64;
        (0..self.lanes.len())
            .filter(|other| !self.lanes[*other].is_empty() && self.rank[*other] < self.rank[lane])
            .filter(|other| !keeps(*other))
            .min_by(|a, b| self.rank[*a].total_cmp(&self.rank[*b]))
    }

    /// The next one. Those whose time is over come first: their answer is due.
    pub fn next(&mut self, now: Point) -> Option<Turn<T>> {
        let late = |lane: &VecDeque<Waits<T>>| lane.front().is_some_and(|waits| waits.until <= now);
        if let Some(lane) = self.lanes.iter().position(late) {
            return self.pop(lane).map(Turn::Late);
        }
        let lane = self.turn()?;
        self.turns[lane] += 1.0;
        if self.turns.iter().sum::<f64>() > TURNS_KEPT {
            self.turns.iter_mut().for_each(|turns| *turns /= 2.0);
        }
        self.pop(lane).map(Turn::Go)
    }

    fn turn(&self) -> Option<usize> {
        let mut waiting = (0..self.lanes.len()).filter(|lane| !self.lanes[*lane].is_empty());
        if self.order == Order::Arrival {
            return waiting.min_by_key(|lane| self.lanes[*lane].front().map(|waits| waits.number));
        }
        let all: f64 = self.turns.iter().sum::<f64>() + 1.0;
        let starved = |lane: &usize| self.share[*lane] > 0.0 && self.turns[*lane] < self.share[*lane] * all;
        let owed = waiting.clone().find(starved);
        owed.or_else(|| {
            // The first of equals, so that no lane goes before its equal by its number alone.
            let best = waiting.clone().map(|lane| self.rank[lane]).fold(f64::NEG_INFINITY, f64::max);
            waiting
                .by_ref()
                .filter(|lane| self.rank[*lane] >= best)
                .min_by_key(|lane| self.lanes[*lane].front().map(|waits| waits.number))
        })
    }

    fn pop(&mut self, lane: usize) -> Option<T> {
        let waits = self.lanes[lane].pop_front()?;
        self.waiting -= 1;
        Some(waits.what)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn at(s: f64) -> Point {
        Point::at(1000.0 + s)
    }

    fn room(most: usize) -> Room<u32> {
        let mut room = Room::new(Order::Rank, most, most, 2);
        room.rank(&[1.0, 0.1], &[0.0, 0.2]);
        room
    }

    #[test]
    fn the_best_go_first_and_a_share_is_kept() {
        let mut room = room(1000);
        for i in 0..400 {
            assert_eq!(room.enter((i % 2) as usize, at(10.0), i), Entered::Waits);
        }
        let first: Vec<u32> = (0..100)
            .filter_map(|_| room.next(at(0.0)))
            .map(|turn| match turn {
                Turn::Go(i) | Turn::Late(i) => i,
            })
            .collect();
        let least = first.iter().filter(|i| **i % 2 == 1).count();
        assert!((18..=22).contains(&least), "{least} of 100 are the least lane's, which has a fifth");
    }

    #[test]
    fn a_full_room_lets_the_better_in_for_the_newest_of_the_least() {
        let mut room = room(10);
        for i in 0..10 {
            room.enter(1, at(10.0), i);
        }
        assert_eq!(room.enter(1, at(10.0), 10), Entered::Full(10));
        for i in 0..8 {
            assert_eq!(room.enter(0, at(10.0), 100 + i), Entered::InPlaceOf(9 - i));
        }
        // The two that are left are the lane's share.
        assert_eq!(room.enter(0, at(10.0), 200), Entered::Full(200));
        let mut arrival = Room::new(Order::Arrival, 1, 1, 2);
        assert_eq!(arrival.enter(1, at(1.0), 1), Entered::Waits);
        assert_eq!(arrival.enter(0, at(1.0), 2), Entered::Full(2));
    }

    #[test]
    fn what_is_late_is_handed_out_as_such_before_anything() {
        let mut room = room(10);
        room.enter(0, at(5.0), 1);
        room.enter(1, at(1.0), 2);
        assert_eq!(room.next(at(1.0)), Some(Turn::Late(2)));
        assert_eq!(room.next(at(1.0)), Some(Turn::Go(1)));
        assert_eq!(room.next(at(1.0)), None);
    }

    proptest! {
        /// Whatever comes in whatever order: each wish leaves the room exactly once, and it is never over its bound.
        #[test]
        fn none_is_lost_and_none_comes_twice(
            steps in proptest::collection::vec((0usize..4, 0usize..3, 0.0f64..3.0), 1..200),
            most in 1usize..20, arrival in proptest::bool::ANY,
        ) {
            let order = if arrival { Order::Arrival } else { Order::Rank };
            let mut room = Room::new(order, most, most, 3);
            room.rank(&[1.0, 0.5, 0.5], &[0.0, 0.1, 0.0]);
            let mut out = Vec::new();
            for (i, (step, lane, lasts)) in steps.iter().enumerate() {
                let now = i as f64 * 0.1;
                if *step == 0 {
                    out.extend(room.next(at(now)).map(|(Turn::Go(i) | Turn::Late(i))| i));
                }
                match room.enter(*lane, at(now + lasts), i) {
                    Entered::Waits => {}
                    Entered::InPlaceOf(i) | Entered::Full(i) => out.push(i),
                }
                prop_assert!(room.len() <= most);
            }
            while let Some(Turn::Go(i) | Turn::Late(i)) = room.next(at(100.0)) {
                out.push(i);
            }
            out.sort_unstable();
            prop_assert_eq!(out, (0..steps.len()).collect::<Vec<_>>());
        }
    }
}
