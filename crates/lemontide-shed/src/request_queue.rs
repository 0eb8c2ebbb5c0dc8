//! Where taken requests wait for their turn: a queue for each class, bounded together. The best go first, no class
//! under its stated share; one whose time is over is handed out as late; a full room lets a better request in for
//! the newest of the least.

use lemontide::clock::Point;
use std::collections::VecDeque;

/// How a full room and the next turn are decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueDiscipline {
    /// First come, first served; the newest is dropped when it is full.
    Fifo,
    /// By the classes' ranks and shares.
    ByRank,
}

#[derive(Debug, PartialEq)]
pub enum Enqueued<T> {
    Waiting,
    /// It waits, and this one lost its place to it.
    Displaced(T),
    Rejected(T),
}

#[derive(Debug, PartialEq)]
pub enum Dequeued<T> {
    Ready(T),
    /// It can't be answered in time any more.
    Expired(T),
}

struct Waits<T> {
    until: Point,
    number: u64,
    what: T,
}

pub struct RequestQueue<T> {
    order: QueueDiscipline,
    most: usize,
    /// A class's queue holds at most this many.
    max_per_class: usize,
    classes: Vec<VecDeque<Waits<T>>>,
    /// Rank and stated share of each class, and how many turns it had lately.
    rank: Vec<f64>,
    share: Vec<f64>,
    turns: Vec<f64>,
    waiting: usize,
    entered: u64,
}

/// Turns are forgotten by half when there were so many.
const TURNS_KEPT: f64 = 256.0;

impl<T> RequestQueue<T> {
    pub fn new(order: QueueDiscipline, most: usize, max_per_class: usize, classes: usize) -> RequestQueue<T> {
        let classes = classes.max(1);
        RequestQueue {
            order,
            most: most.max(1),
            max_per_class: max_per_class.max(1),
            classes: (0..classes).map(|_| VecDeque::new()).collect(),
            rank: vec![1.0; classes],
            share: vec![0.0; classes],
            turns: vec![0.0; classes],
            waiting: 0,
            entered: 0,
        }
    }

    /// Ranks from 0 to 1 and stated shares, in the order of the classes.
    pub fn set_ranks(&mut self, rank: &[f64], share: &[f64]) {
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

    /// The first of each class.
    pub fn heads(&self) -> impl Iterator<Item = &T> {
        self.classes.iter().filter_map(|class| class.front()).map(|waits| &waits.what)
    }

    /// How full it is, as a part of its bound.
    pub fn fill_ratio(&self) -> f64 {
        self.waiting as f64 / self.most as f64
    }

    pub fn push(&mut self, class: usize, until: Point, what: T) -> Enqueued<T> {
        let class = class.min(self.classes.len() - 1);
        if self.classes[class].len() >= self.max_per_class {
            return Enqueued::Rejected(what);
        }
        let mut lost = None;
        if self.waiting >= self.most {
            let Some(least) = self.displaced_for(class) else { return Enqueued::Rejected(what) };
            lost = self.classes[least].pop_back();
            self.waiting -= 1;
        }
        let number = self.entered;
        self.entered += 1;
        self.classes[class].push_back(Waits { until, number, what });
        self.waiting += 1;
        match lost {
            Some(lost) => Enqueued::Displaced(lost.what),
            None => Enqueued::Waiting,
        }
    }

    /// The class whose newest gives way to one of `class`: the least, if it is less, and not under its share.
    fn displaced_for(&self, class: usize) -> Option<usize> {
        if self.order == QueueDiscipline::Fifo {
            return None;
        }
        let keeps = |other: usize| self.classes[other].len() as f64 <= self.share[other] * self.most as f64;
        (0..self.classes.len())
            .filter(|other| !self.classes[*other].is_empty() && self.rank[*other] < self.rank[class])
            .filter(|other| !keeps(*other))
            .min_by(|a, b| self.rank[*a].total_cmp(&self.rank[*b]))
    }

    /// The next one. Those whose time is over come first: their answer is due.
    pub fn pop(&mut self, now: Point) -> Option<Dequeued<T>> {
        let late = |class: &VecDeque<Waits<T>>| class.front().is_some_and(|waits| waits.until <= now);
        if let Some(class) = self.classes.iter().position(late) {
            return self.pop_class(class).map(Dequeued::Expired);
        }
        let class = self.turn()?;
        self.turns[class] += 1.0;
        if self.turns.iter().sum::<f64>() > TURNS_KEPT {
            self.turns.iter_mut().for_each(|turns| *turns /= 2.0);
        }
        self.pop_class(class).map(Dequeued::Ready)
    }

    fn turn(&self) -> Option<usize> {
        let mut waiting = (0..self.classes.len()).filter(|class| !self.classes[*class].is_empty());
        if self.order == QueueDiscipline::Fifo {
            return waiting.min_by_key(|class| self.classes[*class].front().map(|waits| waits.number));
        }
        let all: f64 = self.turns.iter().sum::<f64>() + 1.0;
        let starved =
            |class: &usize| self.share[*class] > 0.0 && self.turns[*class] < self.share[*class] * all;
        let owed = waiting.clone().find(starved);
        owed.or_else(|| {
            // The first of equals, so that no class goes before its equal by its number alone.
            let best = waiting.clone().map(|class| self.rank[class]).fold(f64::NEG_INFINITY, f64::max);
            waiting
                .by_ref()
                .filter(|class| self.rank[*class] >= best)
                .min_by_key(|class| self.classes[*class].front().map(|waits| waits.number))
        })
    }

    fn pop_class(&mut self, class: usize) -> Option<T> {
        let waits = self.classes[class].pop_front()?;
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

    fn room(most: usize) -> RequestQueue<u32> {
        let mut room = RequestQueue::new(QueueDiscipline::ByRank, most, most, 2);
        room.set_ranks(&[1.0, 0.1], &[0.0, 0.2]);
        room
    }

    #[test]
    fn the_best_go_first_and_a_share_is_kept() {
        let mut room = room(1000);
        for i in 0..400 {
            assert_eq!(room.push((i % 2) as usize, at(10.0), i), Enqueued::Waiting);
        }
        let first: Vec<u32> = (0..100)
            .filter_map(|_| room.pop(at(0.0)))
            .map(|turn| match turn {
                Dequeued::Ready(i) | Dequeued::Expired(i) => i,
            })
            .collect();
        let least = first.iter().filter(|i| **i % 2 == 1).count();
        assert!((18..=22).contains(&least), "{least} of 100 are the least class's, which has a fifth");
    }

    #[test]
    fn a_full_room_lets_the_better_in_for_the_newest_of_the_least() {
        let mut room = room(10);
        for i in 0..10 {
            room.push(1, at(10.0), i);
        }
        assert_eq!(room.push(1, at(10.0), 10), Enqueued::Rejected(10));
        for i in 0..8 {
            assert_eq!(room.push(0, at(10.0), 100 + i), Enqueued::Displaced(9 - i));
        }
        // The two that are left are the class's share.
        assert_eq!(room.push(0, at(10.0), 200), Enqueued::Rejected(200));
        let mut arrival = RequestQueue::new(QueueDiscipline::Fifo, 1, 1, 2);
        assert_eq!(arrival.push(1, at(1.0), 1), Enqueued::Waiting);
        assert_eq!(arrival.push(0, at(1.0), 2), Enqueued::Rejected(2));
    }

    #[test]
    fn what_is_late_is_handed_out_as_such_before_anything() {
        let mut room = room(10);
        room.push(0, at(5.0), 1);
        room.push(1, at(1.0), 2);
        assert_eq!(room.pop(at(1.0)), Some(Dequeued::Expired(2)));
        assert_eq!(room.pop(at(1.0)), Some(Dequeued::Ready(1)));
        assert_eq!(room.pop(at(1.0)), None);
    }

    proptest! {
        /// Whatever comes in whatever order: each request leaves the room exactly once, and it is never over its bound.
        #[test]
        fn none_is_lost_and_none_comes_twice(
            steps in proptest::collection::vec((0usize..4, 0usize..3, 0.0f64..3.0), 1..200),
            most in 1usize..20, arrival in proptest::bool::ANY,
        ) {
            let order = if arrival { QueueDiscipline::Fifo } else { QueueDiscipline::ByRank };
            let mut room = RequestQueue::new(order, most, most, 3);
            room.set_ranks(&[1.0, 0.5, 0.5], &[0.0, 0.1, 0.0]);
            let mut out = Vec::new();
            for (i, (step, class, lasts)) in steps.iter().enumerate() {
                let now = i as f64 * 0.1;
                if *step == 0 {
                    out.extend(room.pop(at(now)).map(|(Dequeued::Ready(i) | Dequeued::Expired(i))| i));
                }
                match room.push(*class, at(now + lasts), i) {
                    Enqueued::Waiting => {}
                    Enqueued::Displaced(i) | Enqueued::Rejected(i) => out.push(i),
                }
                prop_assert!(room.len() <= most);
            }
            while let Some(Dequeued::Ready(i) | Dequeued::Expired(i)) = room.pop(at(100.0)) {
                out.push(i);
            }
            out.sort_unstable();
            prop_assert_eq!(out, (0..steps.len()).collect::<Vec<_>>());
        }
    }
}
