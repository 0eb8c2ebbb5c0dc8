//! The state of one link to a streamer: when it is dialled, which messages wait to be written, when it counts as lost.
//! It is independent of the type of its messages: those of lemontide's own link, or a platform's.
//! The I/O carries out what is decided here and reports back with the number of the dial; reports of older dials are
//! stale and change nothing.

use lemontide::clock::{Point, Span};
use lemontide_shed::concurrency::ConcurrencyLimit;
use lemontide_wire::link::ControllerMessage;
use std::collections::VecDeque;

/// A link on which nothing arrived for this time is lost, even if its connection looks open.
const SILENCE_TIMEOUT: Span = Span::of_millis(3000);
/// A ping is sent when nothing arrived for this time.
const PING_AFTER_SILENCE: Span = Span::of_millis(1000);
/// Highest number of messages that wait for a link; a set-up beyond it is reported as never sent.
const MAX_QUEUED_MESSAGES: usize = 512;
/// Highest number of messages in one batch: few enough that little is in doubt when the link is lost.
const MAX_BATCH_MESSAGES: usize = 32;
/// First delay before a link is dialled again.
const INITIAL_REDIAL_DELAY: Span = Span::of_millis(200);
/// Longest delay before a link is dialled again.
const MAX_REDIAL_DELAY: Span = Span::of_millis(4000);
/// Shortest time between two dials.
const MIN_DIAL_INTERVAL: Span = Span::of_millis(100);
/// From this time between two checks on, this process itself was stalled.
const STALL_THRESHOLD: Span = Span::of_millis(500);

/// A message that waits to be written or is being written.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedMessage<M = ControllerMessage> {
    pub message: M,
    /// Set for a set-up alone: id of its session and number of its attempt.
    pub attempt: Option<(u32, u32)>,
    /// The message must not be written after this moment: by then the module's decision no longer holds.
    pub not_after: Option<Point>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// Not connected; dialled again at that moment.
    Down {
        redial_at: Point,
    },
    Dialling {
        deadline: Point,
    },
    Up {
        /// When the last message arrived.
        last_received: Point,
        last_pinged: Point,
        /// Since when a batch is being written.
        writing_since: Option<Point>,
    },
}

/// What the I/O has to do for a link after a check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkAction {
    None,
    Dial,
    /// Send a ping, as nothing arrived for a while.
    Ping,
    /// Close it: it is half open, or the dial took too long.
    Close,
}

/// The state of one link, with the messages that wait for it.
pub struct Link<M = ControllerMessage> {
    /// Number of the last dial.
    pub dial: u64,
    state: State,
    /// Failures in a row.
    failures: u32,
    last_dialled: Option<Point>,
    queue: VecDeque<QueuedMessage<M>>,
    /// Limits concurrent set-ups, if the settings enable it.
    pub set_up_limit: Option<ConcurrencyLimit>,
    /// Whether the list names the streamer as ready or draining; otherwise the link is not dialled again.
    pub is_listed: bool,
    /// Since when nothing needs it: such a link is not dialled until something does.
    pub idle_since: Option<Point>,
}

impl<M> Link<M> {
    /// A link that is dialled at the first check.
    pub fn new(now: Point) -> Link<M> {
        let state = State::Down { redial_at: now };
        Link {
            dial: 0,
            state,
            failures: 0,
            last_dialled: None,
            queue: VecDeque::new(),
            set_up_limit: None,
            is_listed: true,
            idle_since: None,
        }
    }

    /// Whether it is connected.
    pub fn is_up(&self) -> bool {
        matches!(self.state, State::Up { .. })
    }

    /// Whether a dial is in progress.
    pub fn is_dialling(&self) -> bool {
        matches!(self.state, State::Dialling { .. })
    }

    /// Starts a dial and returns its number.
    pub fn start_dial(&mut self, now: Point, timeout: Span) -> u64 {
        self.dial += 1;
        self.last_dialled = Some(now);
        self.state = State::Dialling { deadline: now + timeout };
        self.dial
    }

    /// Whether a message to be sent at once can start a dial now, before the delay of the next one is over.
    pub fn can_dial(&self, now: Point) -> bool {
        let interval_over = self.last_dialled.is_none_or(|at| now - at >= MIN_DIAL_INTERVAL);
        self.is_listed && interval_over && matches!(self.state, State::Down { .. })
    }

    /// The dial succeeded.
    pub fn connected(&mut self, now: Point) {
        self.failures = 0;
        if let Some(set_up_limit) = &mut self.set_up_limit {
            set_up_limit.reset(now);
        }
        self.state = State::Up { last_received: now, last_pinged: now, writing_since: None };
    }

    /// The link is down. It is dialled again after a delay that doubles with each failure and is spread by
    /// `random` in 0 to 1, so that many controllers do not reconnect at the same moment.
    pub fn disconnected(&mut self, now: Point, random: f64) {
        let doubled = INITIAL_REDIAL_DELAY * f64::from(1u32 << self.failures.min(10));
        let delay = doubled.min(MAX_REDIAL_DELAY) * (0.5 + random);
        self.failures += 1;
        self.state = State::Down { redial_at: now + delay };
    }

    /// Whether the delay after the last failure is over.
    pub fn is_redial_due(&self, now: Point) -> bool {
        matches!(self.state, State::Down { redial_at } if now >= redial_at) && self.can_dial(now)
    }

    /// The link is down after it had worked, and can be dialled without a delay.
    pub fn redial_at_once(&mut self, now: Point) {
        if let State::Down { redial_at } = &mut self.state {
            *redial_at = now;
        }
    }

    /// The link is closed because nothing needs it. This is no failure; it is dialled again when something needs it.
    pub fn close_idle(&mut self, now: Point) {
        self.state = State::Down { redial_at: now };
    }

    /// A message arrived.
    pub fn message_received(&mut self, now: Point) {
        if let State::Up { last_received, .. } = &mut self.state {
            *last_received = now;
        }
    }

    /// Whether another message can be queued.
    pub fn has_room(&self) -> bool {
        self.queue.len() < MAX_QUEUED_MESSAGES
    }

    /// Queues a message; returns false if the queue is full.
    pub fn push(&mut self, queued: QueuedMessage<M>) -> bool {
        let has_room = self.has_room();
        if has_room {
            self.queue.push_back(queued);
        }
        has_room
    }

    /// The next messages to write, once the last ones are written. Set-ups beyond the streamer's limit stay in the
    /// queue; messages about playing sessions are written before them.
    pub fn next_batch(&mut self, now: Point) -> Vec<QueuedMessage<M>> {
        let State::Up { writing_since: writing_since @ None, .. } = &mut self.state else {
            return Vec::new();
        };
        let batch: Vec<_> = match &mut self.set_up_limit {
            None => self.queue.drain(..self.queue.len().min(MAX_BATCH_MESSAGES)).collect(),
            Some(set_up_limit) => {
                let mut batch = Vec::new();
                let mut held_back = VecDeque::new();
                while batch.len() < MAX_BATCH_MESSAGES {
                    let Some(queued) = self.queue.pop_front() else { break };
                    if queued.attempt.is_some() && !set_up_limit.has_capacity(now) {
                        held_back.push_back(queued);
                        continue;
                    }
                    if queued.attempt.is_some() {
                        set_up_limit.record_sent();
                    }
                    batch.push(queued);
                }
                held_back.append(&mut self.queue);
                self.queue = held_back;
                batch
            }
        };
        *writing_since = (!batch.is_empty()).then_some(now);
        batch
    }

    /// The last batch is written.
    pub fn batch_written(&mut self) {
        if let State::Up { writing_since, .. } = &mut self.state {
            *writing_since = None;
        }
    }

    /// Removes a set-up from the queue; returns whether it was there, and so provably never ran.
    pub fn withdraw(&mut self, attempt: (u32, u32)) -> bool {
        let waiting = self.queue.len();
        self.queue.retain(|queued| queued.attempt != Some(attempt));
        self.queue.len() < waiting
    }

    /// Empties the queue; returns the attempts of the set-ups in it, which never ran.
    pub fn withdraw_all(&mut self) -> Vec<(u32, u32)> {
        self.queue.drain(..).filter_map(|queued| queued.attempt).collect()
    }

    /// Removes the set-ups alone from the queue; returns their attempts.
    pub fn withdraw_set_ups(&mut self) -> Vec<(u32, u32)> {
        let attempts = self.queue.iter().filter_map(|queued| queued.attempt).collect();
        self.queue.retain(|queued| queued.attempt.is_none());
        attempts
    }

    /// Checks timeouts, `gap` after the last check. A process that was stalled received nothing during that time, so a
    /// gap that shows a stall does not count as silence of the other end.
    pub fn check(&mut self, now: Point, gap: Span) -> LinkAction {
        match &mut self.state {
            State::Down { redial_at } => {
                if self.is_listed && self.idle_since.is_none() && now >= *redial_at {
                    return LinkAction::Dial;
                }
            }
            State::Dialling { deadline } => {
                if gap >= STALL_THRESHOLD {
                    *deadline = *deadline + gap;
                }
                // The I/O applies the same deadline; this check is for a dial that never reports its end.
                if now - *deadline >= SILENCE_TIMEOUT {
                    return LinkAction::Close;
                }
            }
            State::Up { last_received, last_pinged, writing_since } => {
                if gap >= STALL_THRESHOLD {
                    *last_received = *last_received + gap;
                    *writing_since = writing_since.map(|since| since + gap);
                }
                let write_is_stuck = writing_since.is_some_and(|since| now - since >= SILENCE_TIMEOUT);
                if now - *last_received >= SILENCE_TIMEOUT || write_is_stuck {
                    return LinkAction::Close;
                }
                if now - *last_received >= PING_AFTER_SILENCE && now - *last_pinged >= PING_AFTER_SILENCE {
                    *last_pinged = now;
                    return LinkAction::Ping;
                }
            }
        }
        LinkAction::None
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use lemontide_wire::link::{Ping, SetUp};

    fn at(s: f64) -> Point {
        Point::at(1000.0 + s)
    }

    fn set_up(id: u32) -> QueuedMessage {
        let message = ControllerMessage::SetUp(SetUp { id, ..SetUp::default() });
        QueuedMessage { message, attempt: Some((id, 0)), not_after: None }
    }

    fn connected_link() -> Link {
        let mut link: Link = Link::new(at(0.0));
        link.start_dial(at(0.0), Span::of_millis(250));
        link.connected(at(0.0));
        link
    }

    #[test]
    fn a_half_open_link_is_pinged_then_closed_but_not_after_a_local_stall() {
        let mut link = connected_link();
        assert_eq!(link.check(at(0.9), Span::of(0.1)), LinkAction::None);
        assert_eq!(link.check(at(1.0), Span::of(0.1)), LinkAction::Ping);
        assert_eq!(link.check(at(1.1), Span::of(0.1)), LinkAction::None);
        assert_eq!(link.check(at(3.0), Span::of(0.1)), LinkAction::Close);
        let mut link = connected_link();
        assert_eq!(link.check(at(9.0), Span::of(9.0)), LinkAction::None);
        assert_eq!(link.check(at(12.0), Span::of(0.1)), LinkAction::Close);
    }

    #[test]
    fn a_streamer_that_sends_but_never_reads_is_closed() {
        let mut link = connected_link();
        assert!(link.push(set_up(1)));
        assert_eq!(link.next_batch(at(0.0)).len(), 1);
        assert!(link.push(set_up(2)));
        for tenth in 1..30 {
            link.message_received(at(f64::from(tenth) / 10.0));
            assert!(link.next_batch(at(f64::from(tenth) / 10.0)).is_empty());
        }
        assert_eq!(link.check(at(3.0), Span::of(0.1)), LinkAction::Close);
        assert!(
            link.withdraw((2, 0)) && !link.withdraw((1, 0)),
            "only a set-up still in the queue provably never ran"
        );
    }

    #[test]
    fn the_queue_is_bounded_and_set_ups_can_be_withdrawn() {
        let mut link = connected_link();
        let ping = QueuedMessage {
            message: ControllerMessage::Ping(Ping { nonce: 1 }),
            attempt: None,
            not_after: None,
        };
        assert!(link.push(ping));
        let pushed = (0..2000).take_while(|id| link.push(set_up(*id))).count();
        assert_eq!(pushed, MAX_QUEUED_MESSAGES - 1);
        assert_eq!(link.withdraw_set_ups().len(), MAX_QUEUED_MESSAGES - 1);
        assert_eq!(link.next_batch(at(0.0)).len(), 1);
    }

    #[test]
    fn set_ups_beyond_the_limit_wait_and_other_messages_overtake_them() {
        let mut link = connected_link();
        link.set_up_limit = Some(ConcurrencyLimit::new(at(0.0)));
        let limit = link.set_up_limit.as_ref().map_or(0, ConcurrencyLimit::limit);
        (0..limit as u32 + 10).for_each(|id| assert!(link.push(set_up(id))));
        let mut sent_count = 0;
        while let Some(sent) = Some(link.next_batch(at(0.0)).len()).filter(|sent| *sent > 0) {
            sent_count += sent;
            link.batch_written();
        }
        assert_eq!(sent_count, limit, "no more than the limit of concurrent set-ups");
        assert!(link.push(QueuedMessage {
            message: ControllerMessage::Ping(Ping { nonce: 1 }),
            attempt: None,
            not_after: None
        }));
        assert!(matches!(&link.next_batch(at(0.0))[..], [only] if only.attempt.is_none()));
        link.batch_written();
        assert!(link.withdraw((limit as u32 + 9, 0)), "a set-up still in the queue provably never ran");
        if let Some(set_up_limit) = &mut link.set_up_limit {
            set_up_limit.record_answer(at(0.1), Some(Span::of_millis(100)));
        }
        assert_eq!(
            link.next_batch(at(0.1)).first().and_then(|queued| queued.attempt),
            Some((limit as u32, 0))
        );
    }

    #[test]
    fn redials_back_off() {
        let mut link: Link = Link::new(at(0.0));
        let mut now = at(0.0);
        let mut delays = Vec::new();
        for _ in 0..8 {
            link.start_dial(now, Span::of_millis(250));
            link.disconnected(now, 0.5);
            let State::Down { redial_at } = link.state else { panic!("the link is down") };
            delays.push((redial_at - now).seconds());
            now = redial_at;
        }
        assert_eq!(delays, [0.2, 0.4, 0.8, 1.6, 3.2, 4.0, 4.0, 4.0]);
        link.idle_since = Some(now);
        assert_eq!(
            link.check(at(100.0), Span::ZERO),
            LinkAction::None,
            "an idle link is not dialled by the check"
        );
        assert!(link.can_dial(at(100.0)), "a message to be sent at once can dial it");
        link.idle_since = None;
        assert_eq!(link.check(at(100.0), Span::ZERO), LinkAction::Dial);
        link.is_listed = false;
        assert_eq!(link.check(at(100.0), Span::ZERO), LinkAction::None);
        assert!(!link.can_dial(at(100.0)));
    }
}
