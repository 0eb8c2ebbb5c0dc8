//! Admitted requests that wait to be processed: one queue per class, with a common capacity. Higher ranks go first, but
//! no class gets less than its reserved share. A request past its deadline is returned as expired. When the queue is
//! full, a request of a higher rank displaces the newest one of the lowest rank.

use lemontide::clock::Point;
use std::collections::VecDeque;

/// Which request is next, and which one is dropped when the queue is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueDiscipline {
    /// First in, first out; a full queue rejects new requests.
    Fifo,
    /// By the ranks and reserved shares of the classes.
    ByRank,
}

/// What became of a request that was pushed.
#[derive(Debug, PartialEq)]
pub enum Enqueued<T> {
    /// It waits.
    Waiting,
    /// It waits in place of this one, which was dropped.
    Displaced(T),
    /// There is no room for it.
    Rejected(T),
}

/// A request that was taken from the queue.
#[derive(Debug, PartialEq)]
pub enum Dequeued<T> {
    /// It is to be processed.
    Ready(T),
    /// Its deadline has passed.
    Expired(T),
}

struct Entry<T> {
    deadline: Point,
    sequence: u64,
    item: T,
}

/// Queues of all classes.
pub struct RequestQueue<T> {
    discipline: QueueDiscipline,
    capacity: usize,
    max_per_class: usize,
    classes: Vec<VecDeque<Entry<T>>>,
    /// Of each class: its rank, its reserved share, and how many of its requests were recently processed.
    ranks: Vec<f64>,
    shares: Vec<f64>,
    processed: Vec<f64>,
    waiting: usize,
    next_sequence: u64,
}

/// The counts of processed requests are halved when their sum exceeds this, so that old ones are forgotten.
const MAX_PROCESSED_SUM: f64 = 256.0;

impl<T> RequestQueue<T> {
    /// A queue for `capacity` requests in all and `max_per_class` of each of `classes` classes.
    pub fn new(
        discipline: QueueDiscipline,
        capacity: usize,
        max_per_class: usize,
        classes: usize,
    ) -> RequestQueue<T> {
        let classes = classes.max(1);
        RequestQueue {
            discipline,
            capacity: capacity.max(1),
            max_per_class: max_per_class.max(1),
            classes: (0..classes).map(|_| VecDeque::new()).collect(),
            ranks: vec![1.0; classes],
            shares: vec![0.0; classes],
            processed: vec![0.0; classes],
            waiting: 0,
            next_sequence: 0,
        }
    }

    /// Sets ranks from 0 to 1 and reserved shares, in the order of the classes.
    pub fn set_ranks(&mut self, ranks: &[f64], shares: &[f64]) {
        for (to, from) in self.ranks.iter_mut().zip(ranks) {
            *to = *from;
        }
        for (to, from) in self.shares.iter_mut().zip(shares) {
            *to = *from;
        }
    }

    /// How many requests wait.
    pub fn len(&self) -> usize {
        self.waiting
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// The oldest request of each class.
    pub fn heads(&self) -> impl Iterator<Item = &T> {
        self.classes.iter().filter_map(|class| class.front()).map(|entry| &entry.item)
    }

    /// How full the queue is: waiting requests as a share of its capacity.
    pub fn fill_ratio(&self) -> f64 {
        self.waiting as f64 / self.capacity as f64
    }

    /// Adds a request of a class, which expires at `deadline`.
    pub fn push(&mut self, class: usize, deadline: Point, item: T) -> Enqueued<T> {
        let class = class.min(self.classes.len() - 1);
        if self.classes[class].len() >= self.max_per_class {
            return Enqueued::Rejected(item);
        }
        let mut displaced = None;
        if self.waiting >= self.capacity {
            let Some(lowest) = self.class_to_displace(class) else { return Enqueued::Rejected(item) };
            displaced = self.classes[lowest].pop_back();
            self.waiting -= 1;
        }
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.classes[class].push_back(Entry { deadline, sequence, item });
        self.waiting += 1;
        match displaced {
            Some(displaced) => Enqueued::Displaced(displaced.item),
            None => Enqueued::Waiting,
        }
    }

    /// The class whose newest request is dropped for one of `class`: the one of the lowest rank, among those that rank
    /// below `class` and hold more than their reserved share of the queue.
    fn class_to_displace(&self, class: usize) -> Option<usize> {
        if self.discipline == QueueDiscipline::Fifo {
            return None;
        }
        let within_share =
            |other: usize| self.classes[other].len() as f64 <= self.shares[other] * self.capacity as f64;
        (0..self.classes.len())
            .filter(|other| !self.classes[*other].is_empty() && self.ranks[*other] < self.ranks[class])
            .filter(|other| !within_share(*other))
            .min_by(|a, b| self.ranks[*a].total_cmp(&self.ranks[*b]))
    }

    /// Takes the next request. Expired ones come first, as their answer is due.
    pub fn pop(&mut self, now: Point) -> Option<Dequeued<T>> {
        let expired = |class: &VecDeque<Entry<T>>| class.front().is_some_and(|entry| entry.deadline <= now);
        if let Some(class) = self.classes.iter().position(expired) {
            return self.pop_class(class).map(Dequeued::Expired);
        }
        let class = self.next_class()?;
        self.processed[class] += 1.0;
        if self.processed.iter().sum::<f64>() > MAX_PROCESSED_SUM {
            self.processed.iter_mut().for_each(|processed| *processed /= 2.0);
        }
        self.pop_class(class).map(Dequeued::Ready)
    }

    fn next_class(&self) -> Option<usize> {
        let mut waiting = (0..self.classes.len()).filter(|class| !self.classes[*class].is_empty());
        if self.discipline == QueueDiscipline::Fifo {
            return waiting.min_by_key(|class| self.classes[*class].front().map(|entry| entry.sequence));
        }
        let all: f64 = self.processed.iter().sum::<f64>() + 1.0;
        let below_share =
            |class: &usize| self.shares[*class] > 0.0 && self.processed[*class] < self.shares[*class] * all;
        let owed = waiting.clone().find(below_share);
        owed.or_else(|| {
            // Among classes of equal rank the oldest request goes first, so that their order in the settings does
            // not matter.
            let best = waiting.clone().map(|class| self.ranks[class]).fold(f64::NEG_INFINITY, f64::max);
            waiting
                .by_ref()
                .filter(|class| self.ranks[*class] >= best)
                .min_by_key(|class| self.classes[*class].front().map(|entry| entry.sequence))
        })
    }

    fn pop_class(&mut self, class: usize) -> Option<T> {
        let entry = self.classes[class].pop_front()?;
        self.waiting -= 1;
        Some(entry.item)
    }
}
