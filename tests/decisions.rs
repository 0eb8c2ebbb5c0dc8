//! One small test for each failure found, without the bench.

use lemontide::chance::Chance;
use lemontide::clock::{Point, Span};

#[test]
fn every_seed_gives_a_running_generator() {
    for seed in [0, 1, u64::from(u32::MAX), u64::MAX] {
        let mut chance = Chance::from_seed(seed);
        let draws: Vec<f64> = (0..50).map(|_| chance.between(0.0, 1.0)).collect();
        assert!(draws.windows(2).any(|w| w[0] != w[1]), "seed {seed} stands still");
    }
}

#[test]
fn a_turn_starts_at_its_own_multiple() {
    let turn = Span::of(2.0);
    assert_eq!(Point::at(4.0).turn(turn), 2);
    assert_eq!(Point::at(5.5).into_turn(turn), Span::of(1.5));
}
