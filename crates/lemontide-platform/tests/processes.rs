//! Which process a connection to a streamer leads to, and which sessions are over with the one that is gone, in virtual
//! time. A reset connection is dialled again, and the address may have another owner by then.

mod common;

use common::{list_entry, set_up_of, Harness, STREAMERS, VIEWERS};
use lemontide::clock::Point;
use lemontide_platform::codec::{cause, Body, SessionReport};
use lemontide_platform::config::{ListEntry, ListUpdate};
use lemontide_platform::dispatcher::ConnectionLoss;

/// A connection that was reset is up again after this time.
const REDIAL_TIME_S: f64 = 0.5;

/// A session that plays, and its streamer.
struct PlayingSession {
    harness: Harness,
    session: u64,
    link: u64,
    streamer: usize,
}

fn start_session() -> PlayingSession {
    let mut harness = Harness::new();
    let (session, link) = harness.start_session("free");
    let port: usize = harness.addresses[&link][10..].parse().expect("a port");
    PlayingSession { harness, session, link, streamer: port - 9000 }
}

/// A session that was handed over and plays at streamer 1, and the link that is dialled for it.
fn hand_over_session() -> PlayingSession {
    let mut harness = Harness::new();
    let session = 7;
    let mut handed_over = set_up_of("free");
    handed_over.details.as_mut().expect("some").playing_at = Some("s1".into());
    harness.viewer_sends(VIEWERS, session, Body::SetUp(handed_over));
    harness.advance(0.2);
    let is_its = |(_, address): &(&u64, &String)| *address == "127.0.0.1:9001";
    let link = *harness.addresses.iter().find(is_its).expect("it is dialled").0;
    PlayingSession { harness, session, link, streamer: 1 }
}

/// The entry of another streamer at the address of this one.
fn successor(streamer: usize) -> ListEntry {
    ListEntry { id: "new".into(), ..list_entry(streamer, "in_service") }
}

impl PlayingSession {
    /// The links to the streamer's address, with the number of the last dial of each.
    fn dials(&self) -> Vec<(u64, u64)> {
        let address = list_entry(self.streamer, "").address;
        let dials = self.harness.last_dials.iter();
        let at_address = dials.filter(|(link, _)| self.harness.addresses[link] == address);
        at_address.map(|(link, dial)| (*link, *dial)).collect()
    }

    fn lose_connections(&mut self) {
        for (link, _) in self.dials() {
            self.harness.lose_connection(link, ConnectionLoss::Disconnected);
        }
    }

    fn release_causes(&self) -> Vec<u8> {
        let messages = self.harness.messages_to_viewer(self.session);
        let causes = messages.into_iter().filter_map(|body| match body {
            Body::Release { cause, .. } => Some(*cause),
            _ => None,
        });
        causes.collect()
    }

    /// The whole list, with these entries in place of the streamer's own.
    fn whole_list(&self, entries: Vec<ListEntry>) -> ListUpdate {
        let others = (0..STREAMERS).filter(|at| *at != self.streamer);
        let others = others.map(|at| list_entry(at, "in_service"));
        ListUpdate { full: true, streamers: others.chain(entries).collect() }
    }

    fn apply(&mut self, event: Event) {
        let (old, new) = (|state| list_entry(self.streamer, state), successor(self.streamer));
        match event {
            Event::Reset => self.lose_connections(),
            Event::Drains => self.harness.update_entry(old("terminating")),
            Event::IsGone => self.harness.update_entry(old("terminated")),
            Event::HasSuccessor => self.harness.update_entry(new),
            Event::WholeList => {
                let update = self.whole_list(vec![new]);
                self.harness.apply_list_update(&update);
            }
        }
        self.harness.advance(REDIAL_TIME_S);
    }

    /// Whether new sessions are set up at the streamer's address, by whatever streamer is there.
    fn is_address_used(&mut self, by: impl Fn(u64) -> bool) -> bool {
        let address = list_entry(self.streamer, "").address;
        (0..200).any(|_| {
            self.harness.advance(0.05);
            let request = self.harness.request("free");
            let Some((link, _)) = self.harness.last_attempt(request) else { return false };
            self.harness.streamer_answers(request);
            by(link) && self.harness.addresses[&link] == address
        })
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    /// The process ends and its connections are reset. Another process is at the address at once.
    Reset,
    Drains,
    IsGone,
    HasSuccessor,
    WholeList,
}

/// All orders of some events.
fn orders(events: &[Event]) -> Vec<Vec<Event>> {
    let [first, rest @ ..] = events else { return vec![Vec::new()] };
    let insert =
        |order: Vec<Event>| (0..=order.len()).map(move |at| [&order[..at], &[*first], &order[at..]].concat());
    orders(rest).into_iter().flat_map(insert).collect()
}

/// Guards against a session that stands for ever because another streamer answers at the address of its own: the
/// reset and the news of the list come in any order, one by one or as a whole list.
#[test]
fn a_session_is_over_with_its_process_in_any_order_of_reset_and_list() {
    use Event::{Drains, HasSuccessor, IsGone, Reset, WholeList};
    for events in [
        &[Reset, IsGone][..],
        &[Reset, HasSuccessor],
        &[Reset, WholeList],
        &[Reset, IsGone, HasSuccessor],
        &[Reset, Drains, IsGone, HasSuccessor],
        &[Reset, Drains, WholeList],
    ] {
        for order in orders(events) {
            for start in [start_session, hand_over_session] {
                let mut playing = start();
                order.iter().for_each(|event| playing.apply(*event));
                assert_eq!(playing.release_causes(), [cause::FAILED], "{order:?}");
                assert_eq!(playing.harness.dispatcher.tracked_count(), 0, "{order:?}");
            }
        }
    }
}

/// Guards against set-ups for a streamer that are written to another one at its address.
#[test]
fn nothing_is_dialled_for_a_streamer_whose_address_has_a_new_owner() {
    for later in ["terminating", "in_service", "terminated"] {
        let mut playing = start_session();
        playing.apply(Event::HasSuccessor);
        assert!(playing.release_causes().is_empty(), "the connection to the old process is still up");
        playing.apply(Event::Reset);
        assert_eq!(playing.release_causes(), [cause::FAILED]);
        // A later word about the old streamer does not make it the owner of the address again.
        playing.harness.update_entry(list_entry(playing.streamer, later));
        let old_dials = playing.dials();
        let old_link = playing.link;
        assert!(!playing.is_address_used(|link| link == old_link), "{later}: a set-up for the old streamer");
        let dials = playing.dials();
        assert!(old_dials.iter().all(|old| dials.contains(old)), "{later}: dialled again");
    }
}

/// The new streamer is used under its own id, over a connection of its own.
#[test]
fn the_new_owner_of_an_address_gets_set_ups() {
    let mut playing = start_session();
    playing.apply(Event::Reset);
    playing.apply(Event::HasSuccessor);
    let others = (0..STREAMERS).filter(|at| *at != playing.streamer);
    others.for_each(|at| playing.harness.update_entry(list_entry(at, "terminating")));
    let old_link = playing.link;
    assert!(playing.is_address_used(|link| link != old_link));
}

/// What a streamer says of a session shows that the process at the other end holds it.
#[test]
fn a_session_that_its_streamer_spoke_of_lives_on_with_that_connection() {
    for start in [start_session, hand_over_session] {
        let mut playing = start();
        playing.apply(Event::Reset);
        let report = Body::SessionReport(SessionReport::LinkUtilization(0.5));
        playing.harness.streamer_sends_on(playing.link, playing.session, report);
        playing.apply(Event::IsGone);
        assert!(playing.release_causes().is_empty(), "its process is connected");
        playing.apply(Event::Reset);
        assert_eq!(playing.release_causes(), [cause::FAILED]);
    }
}

/// Guards against a session at a streamer that has got another address while no connection to it was up.
#[test]
fn a_session_is_over_when_its_streamer_moves_while_it_is_not_connected() {
    let mut playing = start_session();
    playing.harness.dials_stall = true;
    playing.lose_connections();
    playing.harness.lose_connection(playing.link, ConnectionLoss::DialFailed);
    let moved = ListEntry { address: "127.0.0.1:19000".into(), ..list_entry(playing.streamer, "in_service") };
    playing.harness.dials_stall = false;
    playing.harness.update_entry(moved);
    playing.harness.advance(0.3);
    assert_eq!(playing.release_causes(), [cause::FAILED]);
}

/// A restart under the same id: the list tells it by the time of the start, or by a removal in between.
#[test]
fn a_session_is_over_when_its_streamer_restarts_under_the_same_id() {
    for states in
        [&["in_service"][..], &["terminated", "in_service"], &["terminating", "terminated", "in_service"]]
    {
        let mut playing = start_session();
        playing.harness.advance(1.0);
        let started_ms = (playing.harness.now - Point::at(0.0)).seconds() * 1e3;
        playing.apply(Event::Reset);
        assert!(playing.release_causes().is_empty(), "a reset alone proves nothing");
        for state in states {
            playing.harness.update_entry(ListEntry { started_ms, ..list_entry(playing.streamer, state) });
            playing.harness.advance(0.1);
        }
        assert_eq!(playing.release_causes(), [cause::FAILED], "{states:?}");
    }
}

/// A hand-over names a streamer whose address has a new owner.
#[test]
fn a_session_that_is_handed_over_at_a_superseded_streamer_is_released_at_once() {
    let mut playing = start_session();
    playing.apply(Event::HasSuccessor);
    let mut handed_over = set_up_of("free");
    handed_over.details.as_mut().expect("some").playing_at = Some(format!("s{}", playing.streamer));
    playing.harness.viewer_sends(VIEWERS, 7, Body::SetUp(handed_over));
    assert!(matches!(
        playing.harness.messages_to_viewer(7)[..],
        [Body::Release { cause: cause::FAILED, .. }]
    ));
}
