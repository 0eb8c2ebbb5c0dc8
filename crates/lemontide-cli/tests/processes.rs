//! Issue 51, case 3: the process of a streamer ends, and another streamer is at its address by the time at which the
//! controller has dialled it again. The sessions are over, and their viewers must be told.

mod common;

use common::{answer, list_entry, set_up, wait_for_test, RunningController};
use lemontide_platform::codec::{cause, Body};
use lemontide_standin::stub_platform::{BackgroundConnection, PlatformConnection};
use serde_json::{json, Value as Json};
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// How soon after the end of its process a session must be released: the platform's time where no release could be
/// sent, and its allowance for each time limit.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(8050);
/// A controller that dials a reset connection again does so within this time.
const REDIAL_TIME: Duration = Duration::from_millis(1000);
const SESSION: u64 = 1;

/// How the session came to the controller.
#[derive(Clone, Copy, Debug)]
enum Origin {
    SetUp,
    HandOver,
}

/// A controller with a session that plays at its only streamer.
struct PlayingSession {
    controller: RunningController,
    viewer: PlatformConnection,
    /// The connection to the streamer, and the connection to the journal service.
    streamer: Option<PlatformConnection>,
    journal: TcpStream,
    last_event: u64,
}

impl PlayingSession {
    async fn start(origin: Origin) -> PlayingSession {
        let controller = RunningController::start(1, |_| {}).await;
        let (journal, last_event) = controller.journal.accept_reader().await.expect("requested");
        let mut viewer = controller.viewer().await;
        let playing_at = matches!(origin, Origin::HandOver).then_some("s0");
        viewer.send(SESSION, set_up("free", playing_at)).await.expect("sent");
        let mut streamer =
            PlatformConnection::accept(&controller.streamers[0].listener).await.expect("dialled");
        if playing_at.is_none() {
            while streamer.receive().await.expect("a set-up").session != SESSION {}
            streamer.send(SESSION, answer()).await.expect("sent");
            assert_eq!(viewer.receive().await.expect("answered").body, answer());
        }
        wait_for_test(&mut viewer).await;
        PlayingSession { controller, viewer, streamer: Some(streamer), journal, last_event }
    }

    fn old_entry(&self, state: &str) -> Json {
        list_entry(0, &self.controller.streamers[0].listener, state)
    }

    /// The entry of another streamer at the address.
    fn new_entry(&self) -> Json {
        let mut entry = self.old_entry("in_service");
        entry["id"] = json!("s-new");
        entry
    }

    /// The process of the streamer ends: its connection is reset.
    fn end_streamer(&mut self) {
        let socket = self.streamer.take().expect("it runs").into_socket();
        socket.set_zero_linger().expect("set");
    }

    /// The journal service writes an event.
    async fn tell(&mut self, is_full: bool, entries: &[Json]) {
        self.last_event += 1;
        let event = json!({"pos": self.last_event, "hosts": {"full": is_full, "servers": entries}});
        self.journal.write_all(format!("{event}\n").as_bytes()).await.expect("sent");
    }
}

/// The next connection to the address, if one comes within the time of a redial.
async fn next_connection(controller: &RunningController) -> Option<BackgroundConnection> {
    let accepted = timeout(REDIAL_TIME, controller.streamers[0].listener.accept()).await.ok()?;
    Some(PlatformConnection::from_socket(accepted.expect("accepted").0).into_background())
}

/// Waits until the viewer has the release; false if it has none in time.
async fn is_released(viewer: &mut PlatformConnection, ended_at: Instant) -> bool {
    let released = async {
        while let Ok(message) = viewer.receive().await {
            if message.session == SESSION {
                return message.body == Body::release(cause::FAILED);
            }
        }
        false
    };
    timeout(RELEASE_TIMEOUT.saturating_sub(ended_at.elapsed()), released).await.unwrap_or(false)
}

/// The list tells of the successor after the controller has dialled the address again, and reached the successor.
async fn check_released_after_redial(is_full: bool) {
    for origin in [Origin::SetUp, Origin::HandOver] {
        let mut playing = PlayingSession::start(origin).await;
        playing.tell(false, &[playing.old_entry("terminating")]).await;
        sleep(Duration::from_millis(300)).await;
        let ended_at = Instant::now();
        playing.end_streamer();
        let _successor = next_connection(&playing.controller).await.expect("dialled again");
        sleep(Duration::from_millis(100)).await;
        let gone = (!is_full).then(|| playing.old_entry("terminated"));
        let entries: Vec<Json> = gone.into_iter().chain([playing.new_entry()]).collect();
        playing.tell(is_full, &entries).await;
        let released = is_released(&mut playing.viewer, ended_at).await;
        assert!(released, "{origin:?}: the session is left standing after its streamer has gone");
    }
}

/// Guards against sessions that stand for ever because another streamer answers at the address of theirs (review/3).
#[tokio::test]
async fn a_session_is_released_when_another_streamer_answers_at_its_address() {
    check_released_after_redial(false).await;
}

/// The same with a whole list that does not name the streamer any more.
#[tokio::test]
async fn a_session_is_released_when_a_whole_list_has_another_streamer_at_its_address() {
    check_released_after_redial(true).await;
}

/// The list tells of the successor first, and does not tell that the streamer has gone. Guards against a dial for the
/// old streamer that reaches the new one.
#[tokio::test]
async fn a_reset_connection_is_not_dialled_again_when_the_address_has_a_new_owner() {
    for origin in [Origin::SetUp, Origin::HandOver] {
        let mut playing = PlayingSession::start(origin).await;
        playing.tell(false, &[playing.new_entry()]).await;
        sleep(Duration::from_millis(300)).await;
        let ended_at = Instant::now();
        playing.end_streamer();
        let released = is_released(&mut playing.viewer, ended_at).await;
        assert!(released, "{origin:?}: the session is left standing after its streamer has gone");
        assert!(next_connection(&playing.controller).await.is_none(), "{origin:?}: dialled again");
    }
}
