//! The holders that a title keeps, while the list of streamers changes under sessions in hand.

mod common;

use common::{entry, holds, request, seconds, single_controller, FREE, STREAMERS};
use lemontide::clock::Point;
use lemontide::control::{Controller, SessionHandle};
use lemontide::interface::{AttemptOutcome, Load, StreamerEntry, StreamerState};

/// A streamer is removed this long after it has left the list.
const RETENTION_S: f64 = 60.0;

/// A session in hand, whose holders were found while the streamers in the first two of its three cells were listed; they
/// have left the list and are removed since. Returns the streamer of its attempt, too.
fn session_whose_holders_are_removed() -> (Controller, SessionHandle, Point) {
    let (mut controller, start) = single_controller(&[]);
    let gone: Vec<StreamerEntry> = (0..2).map(|cell| entry(cell, StreamerState::Gone, None)).collect();
    let found = controller.submit(start, &request(1, FREE, "t", 0, start + seconds(1.0)));
    found.attempt_ended(&mut controller, start, AttemptOutcome::Cancelled, true, Load::default());
    controller.update_list(start, &gone, false);
    let before = start + seconds(RETENTION_S - 0.5);
    controller.tick(before);
    controller.actions.clear();
    let in_hand = controller.submit(before, &request(2, FREE, "t", 0, before + seconds(9.0)));
    assert_eq!(&*controller.actions.attempts[0].streamer, "s2", "the only holder that is listed");
    controller.actions.clear();
    let after = start + seconds(RETENTION_S + 0.5);
    controller.tick(after);
    assert_eq!(controller.known_counts().0, STREAMERS - 2, "the others are removed");
    (controller, in_hand, after)
}

fn is_refused(controller: &mut Controller, handle: SessionHandle, now: Point) {
    controller.actions.clear();
    handle.attempt_ended(controller, now, AttemptOutcome::Refused, false, Load::default());
}

/// Guards against a panic when a session is placed again after some of its holders were removed (review/6).
#[test]
fn a_session_is_placed_again_after_its_holders_were_removed() {
    let (mut controller, in_hand, now) = session_whose_holders_are_removed();
    is_refused(&mut controller, in_hand, now);
    assert_eq!(controller.actions.rejected.len(), 1, "no other holder is left");
}

/// Guards against an attempt at a streamer that has got the place of a removed holder and does not hold the title.
#[test]
fn a_streamer_in_the_place_of_a_removed_holder_gets_no_attempt() {
    let (mut controller, in_hand, now) = session_whose_holders_are_removed();
    let new = |name: &str, cell| {
        let streamer = name.to_owned();
        StreamerEntry { streamer, ..entry(cell, StreamerState::Ready, None) }
    };
    controller.update_list(now, &[new("n4", 4), new("n5", 5)], false);
    is_refused(&mut controller, in_hand, now);
    assert!(controller.actions.attempts.is_empty(), "{:?}", controller.actions.attempts);
    assert_eq!(controller.actions.rejected.len(), 1);
}

/// Guards against an attempt at a streamer that has moved to another cell since the request came.
#[test]
fn a_session_is_placed_again_at_the_holders_of_the_present_list() {
    let (mut controller, now) = single_controller(&[]);
    let in_hand = controller.submit(now, &request(1, FREE, "t", 0, now + seconds(9.0)));
    let first = controller.actions.attempts[0].streamer.clone();
    let moved = |old_cell: usize, cell| {
        let streamer = format!("s{old_cell}");
        StreamerEntry { streamer, ..entry(cell, StreamerState::Ready, None) }
    };
    let swapped: Vec<StreamerEntry> =
        (0..3).flat_map(|cell| [moved(cell, cell + 3), moved(cell + 3, cell)]).collect();
    controller.update_list(now, &swapped, false);
    is_refused(&mut controller, in_hand, now);
    let next = &controller.actions.attempts[0].streamer;
    assert!(!holds(next, 0), "{next} has moved as {first} has, and does not hold the title");
}

/// Guards against memory that grows with every new name of a title that a client asks for.
#[test]
fn titles_that_nobody_watches_are_bounded_under_ever_new_names() {
    const NAMES: u32 = 50_000;
    const MAX_TITLES: usize = 4100;
    let (mut controller, now) = single_controller(&[]);
    let watched = controller.submit(now, &request(1, FREE, "watched", 0, now + seconds(9.0)));
    watched.playing(&mut controller, now);
    for id in 2..NAMES {
        let name = format!("title {id}");
        let asked = controller.submit(now, &request(id, FREE, &name, 0, now + seconds(1.0)));
        asked.attempt_ended(&mut controller, now, AttemptOutcome::Cancelled, true, Load::default());
        controller.actions.clear();
        assert!(controller.known_counts().1 <= MAX_TITLES, "{:?}", controller.known_counts());
    }
}
