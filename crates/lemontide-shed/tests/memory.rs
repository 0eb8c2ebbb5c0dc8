//! Order of the stages of memory shedding, as pressure rises and falls.

use lemontide::clock::Point;
use lemontide_shed::memory::{MemoryShedder, MemoryStage};

fn at(s: f64) -> Point {
    Point::at(1000.0 + s)
}

#[test]
fn slow_growth_enters_the_stages_in_order_and_before_the_limit() {
    let mut memory = MemoryShedder::default();
    let mut entered = Vec::new();
    for i in 0..400 {
        // From below the start of shedding to the limit within 40 s.
        let pressure = f64::from(i) / 400.0 * 1.2 - 0.2;
        let stage = memory.update(at(f64::from(i) / 10.0), Some(pressure));
        if entered.last().is_none_or(|(last, _)| *last != stage) {
            entered.push((stage, pressure));
        }
    }
    let stages: Vec<_> = entered.iter().map(|(stage, _)| *stage).collect();
    assert_eq!(stages, [MemoryStage::Free, MemoryStage::Shed, MemoryStage::Caches, MemoryStage::History]);
    assert!(entered[3].1 < 0.75, "growth is extrapolated: {entered:?}");
}

#[test]
fn stages_are_left_one_at_a_time_and_kept_without_a_reading() {
    let mut memory = MemoryShedder::default();
    assert_eq!(memory.update(at(0.0), Some(0.9)), MemoryStage::History);
    assert_eq!(memory.update(at(1.0), None), MemoryStage::History);
    let mut entered = Vec::new();
    for i in 10..200 {
        let now = f64::from(i) / 10.0;
        let stage = memory.update(at(now), Some(-0.5));
        if entered.last().is_none_or(|(last, _)| *last != stage) {
            entered.push((stage, now));
        }
    }
    let stages: Vec<_> = entered.iter().map(|(stage, _)| *stage).collect();
    assert_eq!(stages, [MemoryStage::History, MemoryStage::Caches, MemoryStage::Shed, MemoryStage::Free]);
    assert!(entered.windows(2).all(|w| w[1].1 - w[0].1 > 1.9), "{entered:?}");
}
