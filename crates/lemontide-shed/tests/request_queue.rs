//! Order, displacement and expiry of requests that wait to be processed.

use lemontide::clock::Point;
use lemontide_shed::request_queue::{Dequeued, Enqueued, QueueDiscipline, RequestQueue};
use proptest::prelude::*;

fn at(s: f64) -> Point {
    Point::at(1000.0 + s)
}

fn queue(capacity: usize) -> RequestQueue<u32> {
    let mut queue = RequestQueue::new(QueueDiscipline::ByRank, capacity, capacity, 2);
    queue.set_ranks(&[1.0, 0.1], &[0.0, 0.2]);
    queue
}

#[test]
fn the_highest_rank_goes_first_and_a_reserved_share_is_kept() {
    let mut queue = queue(1000);
    for i in 0..400 {
        assert_eq!(queue.push((i % 2) as usize, at(10.0), i), Enqueued::Waiting);
    }
    let first: Vec<u32> = (0..100)
        .filter_map(|_| queue.pop(at(0.0)))
        .map(|dequeued| match dequeued {
            Dequeued::Ready(i) | Dequeued::Expired(i) => i,
        })
        .collect();
    let lowest = first.iter().filter(|i| **i % 2 == 1).count();
    assert!((18..=22).contains(&lowest), "{lowest} of 100 are of the lowest class, which has a fifth");
}

#[test]
fn in_a_full_queue_a_higher_rank_displaces_the_newest_of_the_lowest() {
    let mut queue = queue(10);
    for i in 0..10 {
        queue.push(1, at(10.0), i);
    }
    assert_eq!(queue.push(1, at(10.0), 10), Enqueued::Rejected(10));
    for i in 0..8 {
        assert_eq!(queue.push(0, at(10.0), 100 + i), Enqueued::Displaced(9 - i));
    }
    // The two that are left are the reserved share of their class.
    assert_eq!(queue.push(0, at(10.0), 200), Enqueued::Rejected(200));
    let mut fifo = RequestQueue::new(QueueDiscipline::Fifo, 1, 1, 2);
    assert_eq!(fifo.push(1, at(1.0), 1), Enqueued::Waiting);
    assert_eq!(fifo.push(0, at(1.0), 2), Enqueued::Rejected(2));
}

#[test]
fn expired_requests_are_returned_as_such_before_any_other() {
    let mut queue = queue(10);
    queue.push(0, at(5.0), 1);
    queue.push(1, at(1.0), 2);
    assert_eq!(queue.pop(at(1.0)), Some(Dequeued::Expired(2)));
    assert_eq!(queue.pop(at(1.0)), Some(Dequeued::Ready(1)));
    assert_eq!(queue.pop(at(1.0)), None);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Each request leaves the queue exactly once, and the queue never exceeds its capacity.
    #[test]
    fn no_request_is_lost_or_returned_twice(
        steps in proptest::collection::vec((0usize..4, 0usize..3, 0.0f64..3.0), 1..200),
        capacity in 1usize..20, fifo in proptest::bool::ANY,
    ) {
        let discipline = if fifo { QueueDiscipline::Fifo } else { QueueDiscipline::ByRank };
        let mut queue = RequestQueue::new(discipline, capacity, capacity, 3);
        queue.set_ranks(&[1.0, 0.5, 0.5], &[0.0, 0.1, 0.0]);
        let mut out = Vec::new();
        for (i, (step, class, valid_s)) in steps.iter().enumerate() {
            let now = i as f64 * 0.1;
            if *step == 0 {
                out.extend(queue.pop(at(now)).map(|(Dequeued::Ready(i) | Dequeued::Expired(i))| i));
            }
            match queue.push(*class, at(now + valid_s), i) {
                Enqueued::Waiting => {}
                Enqueued::Displaced(i) | Enqueued::Rejected(i) => out.push(i),
            }
            prop_assert!(queue.len() <= capacity);
        }
        while let Some(Dequeued::Ready(i) | Dequeued::Expired(i)) = queue.pop(at(100.0)) {
            out.push(i);
        }
        out.sort_unstable();
        prop_assert_eq!(out, (0..steps.len()).collect::<Vec<_>>());
    }
}
