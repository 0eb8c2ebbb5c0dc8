//! One streamer of ten is replaced by another at its address, as on the days with replacements in steps.

#[path = "../standin/common.rs"]
mod common;
use common::*;

const SESSION: u64 = 0x5e55_0000_0000_0003;
/// PROTOCOL.md: where no release could be sent, within 8 s of its end; each time limit is 50 ms longer.
const RELEASED_WITHIN: f64 = 8.05;
/// How long nothing comes up at the address; STANDING.md: connections to streamers may come up late, up to 1 s.
const TAKEOVER: f64 = 0.7;

fn main() {
    let (root, _, temporary) = arguments();
    let streamers: Vec<_> = (0..10).map(|i| Streamer::start(&format!("s-{i}"))).collect();
    let list: Vec<String> =
        streamers.iter().enumerate().map(|(i, s)| entry(&format!("s-{i}"), s.address, i, "in_service", 0)).collect();
    let journal = Journal::start(&list.join(","));
    let controllers: Vec<Controller> =
        (0..2).map(|me| Controller::start(&root, &temporary, me, 11, &journal)).collect();
    controllers.iter().for_each(Controller::wait_ready);
    wait_until(6.0);

    // A viewer's session plays at one of the three streamers that hold its title; its connection stays open to the end.
    let viewer = ViewerConnection::open("v1", controllers[0].listen);
    viewer.set_up(SESSION, "genafspil", 5000, "7f3a9c21e0b4d655", 0, 3);
    match viewer.wait_for(SESSION, 6.0) {
        Some(answer) if answer.kind == ANSWER => {}
        _ => cannot_run("the session was not set up"),
    }
    let Some(at) = streamers.iter().position(|streamer| streamer.stands(SESSION)) else {
        cannot_run("the session stands at no streamer")
    };
    let (old, id) = (&streamers[at], format!("s-{at}"));
    wait_until(10.0);
    journal.push(&entry(&id, old.address, at, "terminating", 0));
    wait_until(13.0);

    let over_at;
    if has_trouble() {
        let queue = old.end_process();
        over_at = now();
        wait_until(over_at + TAKEOVER);
        old.come_up("s-new", queue);
        let started = unix_ms();
        wait_until(over_at + 1.5);
        journal.push(&format!(
            "{},{}",
            entry(&id, old.address, at, "terminated", 0),
            entry("s-new", old.address, 10, "in_service", started)
        ));
    } else {
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
