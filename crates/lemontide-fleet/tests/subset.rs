//! Width and changes of the subset of streamers that an instance uses first.

use lemontide::clock::Point;
use lemontide_fleet::{CellRange, Holder, StreamerSubset};

fn at(seconds: f64) -> Point {
    Point::at(50.0 + seconds)
}

fn holder(streamer_key: u32) -> Holder {
    Holder { streamer_key, weight: 1.0, is_local: true, unavailable: false }
}

#[test]
fn high_traffic_widens_at_once_and_the_subset_narrows_slowly() {
    let mut subset = StreamerSubset::new(at(0.0), 3);
    (0..200).for_each(|i| subset.record_request(at(f64::from(i) * 0.05)));
    subset.adapt_width(at(10.0), Some(1.0));
    assert!((3..=12).contains(&subset.holders_per_title()), "{}", subset.holders_per_title());
    let wide = subset.holders_per_title();
    subset.adapt_width(at(15.0), Some(1.0));
    assert_eq!(subset.holders_per_title(), wide, "half a holder less");
    subset.adapt_width(at(200.0), Some(1.0));
    assert_eq!(subset.holders_per_title(), 1);
    for mean_per_s in [None, Some(f64::NAN), Some(0.0), Some(-1.0), Some(f64::INFINITY)] {
        subset.adapt_width(at(201.0), mean_per_s);
        assert_eq!(subset.holders_per_title(), 1, "{mean_per_s:?}");
    }
    subset.adapt_width(at(100.0), Some(1.0));
    assert_eq!(subset.holders_per_title(), 1, "a clock that went back");
}

#[test]
fn an_unavailable_holder_is_replaced_at_once_and_the_change_is_returned() {
    let mut subset = StreamerSubset::new(at(0.0), 3);
    let ranges = || [(0, 3), (3, 3), (0, 3)].into_iter();
    let all = |(home, copies): CellRange| {
        (home..home + copies).map(|cell| (cell as u32, holder(cell as u32))).collect()
    };
    let entered = subset.select(ranges(), all);
    assert_eq!((entered.len(), subset.len()), (2, 2), "one of each three; the repeated range counts once");
    let lost = entered[0].0;
    let without_lost = |range: CellRange| -> Vec<(u32, Holder)> {
        let mark =
            |(number, holder): (u32, Holder)| (number, Holder { unavailable: number == lost, ..holder });
        all(range).into_iter().map(mark).collect()
    };
    let changes = subset.select(ranges(), without_lost);
    assert!(changes.contains(&(lost, false)) && changes.len() == 2, "{changes:?}");
    assert!(!subset.contains(lost) && subset.len() == 2);
    assert!(
        subset.select(ranges(), |_| Vec::new()).iter().all(|(_, entered)| !entered),
        "without holders none can enter"
    );
    assert!(subset.is_empty());
}
