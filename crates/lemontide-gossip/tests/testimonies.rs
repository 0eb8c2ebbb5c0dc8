//! How far testimonies are believed: quorum, colluding signers, equivocation, order of arrival.

use lemontide::clock::Point;
use lemontide_gossip::message::{Seen, Signable, Testimony};
use lemontide_gossip::observations::LocalObservations;
use lemontide_gossip::testimonies::{MergeOutcome, TestimonyStore};
use proptest::prelude::*;

fn at(s: f64) -> Point {
    Point::at(1000.0 + s)
}

fn testimony(origin: u8, seq: u64, seen: &[(&str, u32, u32)]) -> Testimony {
    let seen = seen.iter().map(|(s, tries, failures)| Seen {
        streamer: (*s).into(),
        tries: *tries,
        failures: *failures,
    });
    Testimony { origin: format!("i{origin}"), boot: 1, seq, seen: seen.collect(), signature: Vec::new() }
}

fn merge(store: &mut TestimonyStore, now: Point, signer: u8, testimony: &Testimony) -> MergeOutcome {
    store.merge(now, [signer; 32], testimony, testimony.signed_bytes())
}

#[test]
fn one_signer_is_never_believed_however_many_instances_share_its_key() {
    let mut store = TestimonyStore::default();
    for origin in 0..20 {
        merge(&mut store, at(0.0), 1, &testimony(origin, 1, &[("s", 9, 9)]));
    }
    assert!(store.failure_scores(at(0.1), &LocalObservations::default()).is_empty());
    merge(&mut store, at(0.0), 2, &testimony(99, 1, &[("s", 9, 9)]));
    assert!(store.failure_scores(at(0.1), &LocalObservations::default())["s"] > 0.5);
    assert!(store.failure_scores(at(31.0), &LocalObservations::default()).is_empty(), "all scores decay");
}

#[test]
fn five_colluding_signers_of_twenty_do_not_discredit_a_healthy_streamer() {
    let mut store = TestimonyStore::default();
    for origin in 0..5 {
        merge(&mut store, at(0.0), origin, &testimony(origin, 1, &[("s", 9, 9)]));
    }
    // Without other reports the five have some weight; three signers that used the streamer bring it down.
    for origin in 5..8 {
        merge(&mut store, at(0.0), origin, &testimony(origin, 1, &[("s", 4, 0)]));
    }
    let score = store.failure_scores(at(0.1), &LocalObservations::default()).get("s").copied().unwrap_or(0.0);
    assert!(score < 0.3, "{score}");
    // Successes seen here outweigh the reports, and cost the colluding signers their trust.
    let mut own = LocalObservations::default();
    for i in 0..3 {
        own.record_outcome(at(0.2 + f64::from(i)), "s", true);
        store.record_outcome(at(0.2 + f64::from(i)), "s", true);
    }
    assert!(store.failure_scores(at(3.0), &own).is_empty());
    assert!(store.signer_trust(at(3.0), &[0; 32]) < 0.2);
    for origin in 0..5 {
        merge(&mut store, at(10.0), origin, &testimony(origin, 2, &[("t", 9, 9)]));
    }
    let score = store.failure_scores(at(10.0), &own).get("t").copied().unwrap_or(0.0);
    assert!(score < 0.35, "the lost trust counts for another streamer, too: {score}");
}

#[test]
fn a_real_failure_is_believed_though_one_signer_reports_it_healthy() {
    let mut store = TestimonyStore::default();
    for origin in 0..8 {
        merge(&mut store, at(0.0), origin, &testimony(origin, 1, &[("s", 4, 4)]));
    }
    merge(&mut store, at(0.0), 50, &testimony(50, 1, &[("s", 1000, 0)]));
    assert!(store.failure_scores(at(0.5), &LocalObservations::default())["s"] > 0.6);
}

#[test]
fn a_signer_that_equivocates_loses_its_trust() {
    let mut store = TestimonyStore::default();
    let (one, other) = (testimony(1, 1, &[("s", 4, 4)]), testimony(1, 1, &[("s", 4, 0)]));
    assert_eq!(merge(&mut store, at(0.0), 1, &one), MergeOutcome::Newer);
    assert_eq!(merge(&mut store, at(0.0), 1, &one), MergeOutcome::Stale);
    assert_eq!(merge(&mut store, at(0.0), 1, &other), MergeOutcome::Equivocation);
    assert!(store.signer_trust(at(0.0), &[1; 32]) == 0.0);
}

proptest! {
    /// Order and repetition make no difference to the scores, as long as nobody equivocates.
    #[test]
    fn testimonies_merge_in_any_order(
        received in proptest::collection::vec((0u8..6, 1u64..5), 1..20),
        order in any::<proptest::sample::Index>(),
    ) {
        let testimony_of = |(origin, seq): &(u8, u64)| {
            // An origin makes one testimony under each sequence number.
            testimony(*origin, *seq, &[("s", 3, (u32::from(*origin) + *seq as u32) % 4)])
        };
        let mut one = TestimonyStore::default();
        received.iter().for_each(|r| { merge(&mut one, at(0.0), r.0, &testimony_of(r)); });
        let mut other = TestimonyStore::default();
        let split = order.index(received.len());
        let rotated: Vec<_> = received[split..].iter().chain(&received[..split]).chain(&received).collect();
        rotated.iter().rev().for_each(|r| { merge(&mut other, at(0.0), r.0, &testimony_of(r)); });
        prop_assert_eq!(
            one.failure_scores(at(1.0), &LocalObservations::default()),
            other.failure_scores(at(1.0), &LocalObservations::default())
        );
    }

    /// A score is always from 0 to 1, whatever is reported.
    #[test]
    fn scores_are_bounded(received in proptest::collection::vec((any::<u8>(), 0u64..4, 0u32..2000, 0u32..2000), 0..60)) {
        let mut store = TestimonyStore::default();
        for (origin, seq, tries, failures) in received {
            merge(&mut store, at(0.0), origin, &testimony(origin, seq, &[("s", tries, failures.min(tries))]));
        }
        let scores = store.failure_scores(at(0.5), &LocalObservations::default());
        prop_assert!(scores.values().all(|score| (0.0..=1.0).contains(score)));
    }
}
