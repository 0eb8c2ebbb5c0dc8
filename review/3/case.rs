//! A machine vanishes, and another one with a new id comes up at its address.

#[path = "../standin/common.rs"]
mod common;
use common::*;

const SESSION: u64 = 0x5e55_0000_0000_0003;
/// PROTOCOL.md: where no release could be sent, within 8 s of its end; each time limit is 50 ms longer.
const RELEASED_WITHIN: f64 = 8.05;

fn main() {
    let (root, folder, temporary) = arguments();
    let _ = folder;
    let (old, other) = (Streamer::start("s-old"), Streamer::start("s-other"));
    let list = [entry("s-old", old.address, 0, "in_service", 0), entry("s-other", other.address, 1, "in_service", 0)];
    let journal = Journal::start(&list.join(","));
    let controllers: Vec<Controller> =
        (0..2).map(|me| Controller::start(&root, &temporary, me, 3, &journal)).collect();
    controllers.iter().for_each(Controller::wait_ready);
    wait_until(6.0);

    // A viewer's session plays at s-old; its connection stays open to the end.
    let viewer = ViewerConnection::open("v1", controllers[0].listen);
    viewer.set_up(SESSION, "genafspil", 5000, "7f3a9c21e0b4d655", 0, 1);
    match viewer.wait_for(SESSION, 6.0) {
        Some(answer) if answer.kind == ANSWER => {}
        _ => cannot_run("the session was not set up"),
    }
    if !old.stands(SESSION) {
        cannot_run("the session does not stand at s-old");
    }
    wait_until(12.0);

    let over_at;
    if has_trouble() {
        over_at = now();
        old.vanish();
        wait_until(over_at + 2.0);
        if old.connections_while_silent() > 0 {
            cannot_run("a connection was opened to the machine that is gone");
        }
        // Another machine comes up at the address. The list tells it, and that the old one is gone.
        let started = unix_ms();
        old.replace("s-new");
        wait_until(over_at + 3.0);
        journal.push(&format!(
            "{},{}",
            entry("s-old", old.address, 0, "terminated", 0),
            entry("s-new", old.address, 2, "in_service", started)
        ));
    } else {
        wait_until(14.0);
        over_at = now();
        old.end(SESSION, 16);
    }
    wait_until(over_at + 16.0);

    let connected = viewer.test(99);
    wait_until(over_at + 16.3);
    if !connected || viewer.has_ended() || viewer.tests_passed() == 0 {
        cannot_run("the viewer's connection did not stay open");
    }
    let released = viewer.about(SESSION).into_iter().find(|(_, message)| message.kind == RELEASE);
    record(format!("the session was over at {over_at:.3}, released towards its viewer: {released:?}"));
    let broken = match released {
        Some((at, _)) if at - over_at <= RELEASED_WITHIN => None,
        Some((at, _)) => Some(format!("the session was released {:.3} s after its end", at - over_at)),
        None => Some("the session is over and was never released: it is left standing (16 s)".to_owned()),
    };
    finish(controllers, broken)
}
