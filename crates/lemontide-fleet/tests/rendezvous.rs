//! Selection of holders by weighted rendezvous hashing: shares by weight, even spread, and few moves.

use lemontide_fleet::{Holder, RendezvousHash};

fn holder(cell: u32) -> Holder {
    let weight = if cell.is_multiple_of(2) { 16.0 } else { 10.0 };
    Holder { streamer_key: cell, weight, is_local: true, unavailable: false }
}

/// The holders of a title in `copies` cells from `home` on.
fn holders_from(home: u32, copies: u32, cells: u32) -> Vec<Holder> {
    (home..home + copies).map(|cell| holder(cell % cells)).collect()
}

#[test]
fn first_choices_are_spread_by_weight_for_any_size_of_fleet() {
    let cells = 200;
    for fleet in [10u32, 30, 100, 300, 1000] {
        let mut chosen = vec![0.0; cells as usize];
        for number in 0..fleet {
            for home in 0..cells {
                let holders = holders_from(home, 3, cells);
                let first = RendezvousHash::new(number).select(&holders, 1);
                chosen[holders[first[0]].streamer_key as usize] += 1.0;
            }
        }
        let weights: f64 = (0..cells).map(|cell| holder(cell).weight).sum();
        let expected = |cell: u32| f64::from(fleet * cells) * holder(cell).weight / weights;
        let worst = (0..cells).map(|cell| chosen[cell as usize] / expected(cell)).fold(0.0, f64::max);
        let max = 1.05 + 3.2 / f64::from(fleet).sqrt();
        assert!(worst < max, "busiest at {worst:.2} of its expected load with {fleet} instances");
    }
}

/// One instance uses about half of the streamers over all titles, not all of them.
#[test]
fn the_first_choices_of_one_instance_over_all_titles_are_few() {
    for number in [0, 1, 2, 77, 299] {
        let first = |home| {
            let holders = holders_from(home, 3, 200);
            holders[RendezvousHash::new(number).select(&holders, 1)[0]].streamer_key
        };
        let used: std::collections::BTreeSet<u32> = (0..200).map(first).collect();
        assert!((60..=110).contains(&used.len()), "{} of 200", used.len());
    }
}

/// A streamer that disappears changes the choice only of the instances that used it.
#[test]
fn a_lost_streamer_moves_only_the_instances_that_used_it() {
    let holders = holders_from(4, 5, 200);
    let without: Vec<Holder> = holders.iter().copied().filter(|h| h.streamer_key != 6).collect();
    for number in 0..100 {
        let hash = RendezvousHash::new(number);
        let (before, after) = (holders[hash.select(&holders, 1)[0]], without[hash.select(&without, 1)[0]]);
        assert!(
            before.streamer_key == 6 || before.streamer_key == after.streamer_key,
            "instance {number} moved without need"
        );
    }
}

#[test]
fn hashes_are_spread_evenly_for_any_size_of_fleet() {
    for cell in [0, 1, 199] {
        for fleet in 1..200u32 {
            let mut hashes: Vec<f64> =
                (0..fleet).map(|number| RendezvousHash::new(number).unit_hash(cell)).collect();
            hashes.sort_by(f64::total_cmp);
            hashes.push(1.0 + hashes[0]);
            let widest = hashes.windows(2).map(|two| two[1] - two[0]).fold(0.0, f64::max);
            assert!(widest <= 4.0 / f64::from(fleet), "gap of {widest} with {fleet}");
        }
    }
}

#[test]
fn zones_unavailable_holders_and_invalid_weights() {
    let mut holders = holders_from(0, 6, 200);
    holders[..3].iter_mut().for_each(|holder| holder.is_local = false);
    for number in 0..50 {
        let first = RendezvousHash::new(number).select(&holders, 2);
        assert!(first[0] >= 3 && first[1] < 3, "the own zone first, and another zone besides: {first:?}");
        assert!(RendezvousHash::new(number).select(&holders, 1)[0] >= 3);
    }
    holders.iter_mut().for_each(|holder| holder.unavailable = true);
    assert_eq!(
        RendezvousHash::new(3).select(&holders, 9).len(),
        6,
        "unavailable holders are selected when there are no others"
    );
    assert!(RendezvousHash::new(3).select(&[], 2).is_empty());
    holders[2].unavailable = false;
    assert_eq!(RendezvousHash::new(3).select(&holders, 0), [2]);
    for weight in [0.0, -1.0, f64::NAN, f64::INFINITY] {
        let invalid = [Holder { weight, ..holder(1) }, holder(2)];
        assert_eq!(RendezvousHash::new(5).select(&invalid, 2).len(), 2);
    }
}
