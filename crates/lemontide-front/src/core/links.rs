//! The state of one link to a streamer: when it is dialled, what waits to be written, when it counts as lost.
//! It is the same whatever the orders on it are: those of lemontide's own link, or a platform's messages.
//! The I/O does what is said here and reports back under the number of the dial; reports of older dials are
//! stale and change nothing.

use lemontide::clock::{Point, Span};
use lemontide_shed::concurrency::ConcurrencyLimit;
use lemontide_wire::link::ControllerMessage;
use std::collections::VecDeque;

/// Without a word for so long the other end is gone, though the connection looks open.
const SILENCE: Span = Span::of_millis(3000);
/// A word is asked for when there was none for so long.
const PING_AFTER: Span = Span::of_millis(1000);
/// Orders that may wait for a link; a set-up beyond them is told as never sent.
const QUEUE_MOST: usize = 512;
/// Orders handed over in one go: few enough that little is in doubt when the link is cut.
const BATCH_MOST: usize = 32;
/// First wait before a link is dialled again, the longest one, and the least span between two dials.
const REDIAL: Span = Span::of_millis(200);
const REDIAL_LONGEST: Span = Span::of_millis(4000);
const REDIAL_LEAST: Span = Span::of_millis(100);
/// A gap between two looks at the clock from which this process stood still itself.
const STALL: Span = Span::of_millis(500);

/// An order that waits or is being written. A set-up is named by `shot`, and must not be written any more after
/// `not_after`: by then it is no longer what the module decided.
#[derive(Clone, Debug, PartialEq)]
pub struct Queued<O = ControllerMessage> {
    pub order: O,
    pub shot: Option<(u32, u32)>,
    pub not_after: Option<Point>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// Not connected; dialled again at that moment.
    Down {
        redial: Point,
    },
    Dialling {
        until: Point,
    },
    Up {
        heard: Point,
        pinged: Point,
        writing: Option<Point>,
    },
}

/// What a look at the clock found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Fine,
    /// Dial it.
    Dial,
    /// Ask it for a word.
    Ping,
    /// Close it: it is half open, or the dial took too long.
    Lost,
}

pub struct Link<O = ControllerMessage> {
    /// Number of the last dial.
    pub dial: u64,
    state: State,
    failures: u32,
    dialled: Option<Point>,
    queue: VecDeque<Queued<O>>,
    /// Bounds set-ups under way, where the settings ask for it.
    pub flight: Option<ConcurrencyLimit>,
    /// Whether the list still names it; one that is gone is not dialled again.
    pub wanted: bool,
    /// Since when nothing needs it: such a link is not dialled until something does.
    pub idle: Option<Point>,
}

impl<O> Link<O> {
    pub fn new(now: Point) -> Link<O> {
        let state = State::Down { redial: now };
        Link {
            dial: 0,
            state,
            failures: 0,
            dialled: None,
            queue: VecDeque::new(),
            flight: None,
            wanted: true,
            idle: None,
        }
    }

    pub fn is_up(&self) -> bool {
        matches!(self.state, State::Up { .. })
    }

    pub fn is_dialling(&self) -> bool {
        matches!(self.state, State::Dialling { .. })
    }

    /// Starts a dial; its number.
    pub fn start_dial(&mut self, now: Point, timeout: Span) -> u64 {
        self.dial += 1;
        self.dialled = Some(now);
        self.state = State::Dialling { until: now + timeout };
        self.dial
    }

    /// Whether something to be sent at once may start a dial now, whatever wait is left.
    pub fn may_dial(&self, now: Point) -> bool {
        let rested = self.dialled.is_none_or(|at| now - at >= REDIAL_LEAST);
        self.wanted && rested && matches!(self.state, State::Down { .. })
    }

    pub fn up(&mut self, now: Point) {
        self.failures = 0;
        if let Some(flight) = &mut self.flight {
            flight.reset(now);
        }
        self.state = State::Up { heard: now, pinged: now, writing: None };
    }

    /// The link is down. It is dialled again after a wait that doubles with each failure and is spread by
    /// `chance` in 0 to 1, so that a fleet of controllers does not come back in one moment.
    pub fn down(&mut self, now: Point, chance: f64) {
        let doubled = REDIAL * f64::from(1u32 << self.failures.min(10));
        let wait = doubled.min(REDIAL_LONGEST) * (0.5 + chance);
        self.failures += 1;
        self.state = State::Down { redial: now + wait };
    }

    /// Closed as nothing needs it: no failure, and dialled again when something does.
    pub fn rest(&mut self, now: Point) {
        self.state = State::Down { redial: now };
    }

    pub fn heard(&mut self, now: Point) {
        if let State::Up { heard, .. } = &mut self.state {
            *heard = now;
        }
    }

    /// Puts an order in the queue; false where there is no room.
    pub fn push(&mut self, order: Queued<O>) -> bool {
        let room = self.queue.len() < QUEUE_MOST;
        if room {
            self.queue.push_back(order);
        }
        room
    }

    /// The next orders to write, once the last ones are written. A set-up that the streamer has no room for now
    /// stays behind; orders of what plays go before it.
    pub fn batch(&mut self, now: Point) -> Vec<Queued<O>> {
        let State::Up { writing: writing @ None, .. } = &mut self.state else { return Vec::new() };
        let batch: Vec<_> = match &mut self.flight {
            None => self.queue.drain(..self.queue.len().min(BATCH_MOST)).collect(),
            Some(flight) => {
                let mut batch = Vec::new();
                let mut stay = VecDeque::new();
                while batch.len() < BATCH_MOST {
                    let Some(order) = self.queue.pop_front() else { break };
                    if order.shot.is_some() && !flight.has_capacity(now) {
                        stay.push_back(order);
                        continue;
                    }
                    if order.shot.is_some() {
                        flight.record_sent();
                    }
                    batch.push(order);
                }
                stay.append(&mut self.queue);
                self.queue = stay;
                batch
            }
        };
        *writing = (!batch.is_empty()).then_some(now);
        batch
    }

    pub fn wrote(&mut self) {
        if let State::Up { writing, .. } = &mut self.state {
            *writing = None;
        }
    }

    /// Takes a waiting set-up out; whether it was there, and so provably never ran.
    pub fn withdraw(&mut self, shot: (u32, u32)) -> bool {
        let waiting = self.queue.len();
        self.queue.retain(|order| order.shot != Some(shot));
        self.queue.len() < waiting
    }

    /// Takes out all that waits; the set-ups among it never ran.
    pub fn withdraw_all(&mut self) -> Vec<(u32, u32)> {
        self.queue.drain(..).filter_map(|order| order.shot).collect()
    }

    /// Takes out the waiting set-ups alone.
    pub fn withdraw_set_ups(&mut self) -> Vec<(u32, u32)> {
        let shots = self.queue.iter().filter_map(|order| order.shot).collect();
        self.queue.retain(|order| order.shot.is_none());
        shots
    }

    /// A look at the clock, `gap` after the last one. A process that stood still itself has heard nothing for
    /// that long: its own gap is not the other end's silence.
    pub fn look(&mut self, now: Point, gap: Span) -> Verdict {
        match &mut self.state {
            State::Down { redial } => {
                if self.wanted && self.idle.is_none() && now >= *redial {
                    return Verdict::Dial;
                }
            }
            State::Dialling { until } => {
                if gap >= STALL {
                    *until = *until + gap;
                }
                // The I/O keeps the same limit; this one is for a dial that never reports.
                if now - *until >= SILENCE {
                    return Verdict::Lost;
                }
            }
            State::Up { heard, pinged, writing } => {
                if gap >= STALL {
                    *heard = *heard + gap;
                    *writing = writing.map(|since| since + gap);
                }
                let stuck = writing.is_some_and(|since| now - since >= SILENCE);
                if now - *heard >= SILENCE || stuck {
                    return Verdict::Lost;
                }
                if now - *heard >= PING_AFTER && now - *pinged >= PING_AFTER {
                    *pinged = now;
                    return Verdict::Ping;
                }
            }
        }
        Verdict::Fine
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use lemontide_wire::link::{Ping, SetUp};

    fn at(s: f64) -> Point {
        Point::at(1000.0 + s)
    }

    fn set_up(id: u32) -> Queued {
        let order = ControllerMessage::SetUp(SetUp { id, ..SetUp::default() });
        Queued { order, shot: Some((id, 0)), not_after: None }
    }

    fn up() -> Link {
        let mut link: Link = Link::new(at(0.0));
        link.start_dial(at(0.0), Span::of_millis(250));
        link.up(at(0.0));
        link
    }

    #[test]
    fn a_half_open_link_is_pinged_then_lost_but_not_for_an_own_stall() {
        let mut link = up();
        assert_eq!(link.look(at(0.9), Span::of(0.1)), Verdict::Fine);
        assert_eq!(link.look(at(1.0), Span::of(0.1)), Verdict::Ping);
        assert_eq!(link.look(at(1.1), Span::of(0.1)), Verdict::Fine);
        assert_eq!(link.look(at(3.0), Span::of(0.1)), Verdict::Lost);
        let mut link = up();
        assert_eq!(link.look(at(9.0), Span::of(9.0)), Verdict::Fine);
        assert_eq!(link.look(at(12.0), Span::of(0.1)), Verdict::Lost);
    }

    #[test]
    fn an_end_that_never_reads_is_lost_though_it_talks() {
        let mut link = up();
        assert!(link.push(set_up(1)));
        assert_eq!(link.batch(at(0.0)).len(), 1);
        assert!(link.push(set_up(2)));
        for tenth in 1..30 {
            link.heard(at(f64::from(tenth) / 10.0));
            assert!(link.batch(at(f64::from(tenth) / 10.0)).is_empty());
        }
        assert_eq!(link.look(at(3.0), Span::of(0.1)), Verdict::Lost);
        assert!(link.withdraw((2, 0)) && !link.withdraw((1, 0)), "only what waits never ran");
    }

    #[test]
    fn the_queue_is_bounded_and_set_ups_can_be_taken_out() {
        let mut link = up();
        let ping = Queued { order: ControllerMessage::Ping(Ping { nonce: 1 }), shot: None, not_after: None };
        assert!(link.push(ping));
        let pushed = (0..2000).take_while(|id| link.push(set_up(*id))).count();
        assert_eq!(pushed, QUEUE_MOST - 1);
        assert_eq!(link.withdraw_set_ups().len(), QUEUE_MOST - 1);
        assert_eq!(link.batch(at(0.0)).len(), 1);
    }

    #[test]
    fn set_ups_wait_for_a_streamers_answers_and_other_orders_go_past_them() {
        let mut link = up();
        link.flight = Some(ConcurrencyLimit::new(at(0.0)));
        let limit = link.flight.as_ref().map_or(0, ConcurrencyLimit::limit);
        (0..limit as u32 + 10).for_each(|id| assert!(link.push(set_up(id))));
        let mut left = 0;
        while let Some(sent) = Some(link.batch(at(0.0)).len()).filter(|sent| *sent > 0) {
            left += sent;
            link.wrote();
        }
        assert_eq!(left, limit, "no more than it may have at once");
        assert!(link.push(Queued {
            order: ControllerMessage::Ping(Ping { nonce: 1 }),
            shot: None,
            not_after: None
        }));
        assert!(matches!(&link.batch(at(0.0))[..], [only] if only.shot.is_none()));
        link.wrote();
        assert!(link.withdraw((limit as u32 + 9, 0)), "what waits provably never ran");
        if let Some(flight) = &mut link.flight {
            flight.record_answer(at(0.1), Some(Span::of_millis(100)));
        }
        assert_eq!(link.batch(at(0.1)).first().and_then(|order| order.shot), Some((limit as u32, 0)));
    }

    #[test]
    fn redials_back_off_and_spread() {
        let mut link: Link = Link::new(at(0.0));
        let mut now = at(0.0);
        let mut waits = Vec::new();
        for _ in 0..8 {
            link.start_dial(now, Span::of_millis(250));
            link.down(now, 0.5);
            let State::Down { redial } = link.state else { panic!("it is down") };
            waits.push((redial - now).seconds());
            now = redial;
        }
        assert_eq!(waits, [0.2, 0.4, 0.8, 1.6, 3.2, 4.0, 4.0, 4.0]);
        link.idle = Some(now);
        assert_eq!(link.look(at(100.0), Span::ZERO), Verdict::Fine, "nothing needs it");
        assert!(link.may_dial(at(100.0)), "something to be sent at once may");
        link.idle = None;
        assert_eq!(link.look(at(100.0), Span::ZERO), Verdict::Dial);
        link.wanted = false;
        assert_eq!(link.look(at(100.0), Span::ZERO), Verdict::Fine);
        assert!(!link.may_dial(at(100.0)));
    }
}
