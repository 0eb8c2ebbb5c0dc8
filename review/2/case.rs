//! A viewer's resting connection ends while its session plays; then the session ends at its streamer.

#[path = "../standin/common.rs"]
mod common;
use common::*;

const SESSION: u64 = 0x5e55_0000_0000_0002;
/// PROTOCOL.md: where no release could be sent, within 8 s of its end; each time limit is 50 ms longer.
const RELEASED_WITHIN: f64 = 8.05;

fn main() {
    let (root, _, temporary) = arguments();
    // Six streamers; each title lies on three. The last three run as many streams as they can.
    let streamers: Vec<_> = (0..6).map(|i| Streamer::start(&format!("s-{i}"))).collect();
    streamers[3..].iter().for_each(|streamer| streamer.set_mode(Mode::Full));
    let list: Vec<String> =
        streamers.iter().enumerate().map(|(i, s)| entry(&format!("s-{i}"), s.address, i, "in_service", 0)).collect();
    let journal = Journal::start(&list.join(","));
    let controllers: Vec<Controller> =
        (0..2).map(|me| Controller::start(&root, &temporary, me, 6, &journal)).collect();
    controllers.iter().for_each(Controller::wait_ready);
    wait_until(6.0);

    let first = ViewerConnection::open("v1", controllers[0].listen);
    first.set_up(SESSION, "genafspil", 5000, "7f3a9c21e0b4d655", 0, 3);
    match first.wait_for(SESSION, 6.0) {
        Some(answer) if answer.kind == ANSWER => {}
        _ => cannot_run("the session was not set up"),
    }
    let Some(plays) = streamers.iter().find(|streamer| streamer.stands(SESSION)) else {
        cannot_run("the session stands at no streamer")
    };
    // The connection rests for 2 s.
    wait_until(8.0);
    if has_trouble() {
        first.close();
    }
    // From here on there is always another connection from viewers. Its set-ups are refused, as the three
    // streamers that hold their title are full; it carries no session, so it is closed after under 4 s, and the next is open.
    let (mut others, mut asked, mut end) = (Vec::<ViewerConnection>::new(), 0u64, None);
    let mut tested = 0.0;
    loop {
        if now() >= 10.0 && end.is_none() {
            end = Some(now());
            plays.end(SESSION, 16);
        }
        if end.is_some_and(|at| now() - at >= 16.0) {
            break;
        }
        let count = others.len();
        if now() >= 8.1 + 3.0 * count as f64 {
            others.push(ViewerConnection::open(&format!("w{count}"), controllers[0].listen));
            if count > 0 {
                wait_until(now() + 0.2);
                others[count - 1].close();
            }
        }
        if let Some(other) = others.last().filter(|_| now() - tested >= 1.0) {
            tested = now();
            asked += 1;
            other.test(asked);
            other.set_up(0xa5ce_0000_0000_0000 + asked, "genafspil", 5000, "00c4c4c4c4c4c4c4", 3, 3);
        }
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
    let end = end.unwrap_or_default();
    let mut all: Vec<&ViewerConnection> = others.iter().collect();
    all.push(&first);
    let passed: usize = others.iter().map(ViewerConnection::tests_passed).sum();
    if passed < 10 {
        cannot_run("the other connections from viewers were not served");
    }
    let released = all.iter().flat_map(|viewer| viewer.about(SESSION)).find(|(_, message)| message.kind == RELEASE);
    record(format!(
        "the session ended at {end:.3}; meanwhile {} connections from viewers passed {passed} tests; released: {released:?}",
        others.len()
    ));
    let broken = match released {
        Some((at, _)) if at - end <= RELEASED_WITHIN => None,
        Some((at, _)) => Some(format!("the session was released {:.3} s after its end", at - end)),
        None => Some("the session is over and was never released: it is left standing (16 s)".to_owned()),
    };
    finish(controllers, broken)
}
