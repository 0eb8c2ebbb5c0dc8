//! The judge: reads taps and nothing else, and says of each of the six rules whether it was kept, with the
//! lines that break it. It knows nothing of the controller; what a controller wrote of itself is held against
//! what the other end of the socket saw.

use lemontide_wire::list::StreamerState;
use lemontide_wire::tap::{ClassRules, JudgeRules, ResponseKind, TapEvent, TapOutcome, TapRecord};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// Lines that the ends wrote at one moment may lie this far apart, in seconds.
const NEAR: f64 = 0.05;
/// Breaches of a rule that are spelled out.
const SHOWN: usize = 5;

#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Breach {
    pub what: String,
    /// The lines that show it.
    pub lines: Vec<String>,
}

#[derive(Clone, Debug, Serialize)]
pub struct Rule {
    pub name: &'static str,
    /// How many things were held against it.
    pub checked: usize,
    pub broken: usize,
    /// The first breaches.
    pub breaches: Vec<Breach>,
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct Answers {
    pub asks: usize,
    /// Taken by a controller that went on running, by number of answers.
    pub none: usize,
    pub one: usize,
    pub two: usize,
    /// Asks that no running controller owed an answer: it was killed or stood still, or the viewer left.
    pub excused: usize,
    pub plays: usize,
    pub turned_back: usize,
    pub scrapped: usize,
    pub in_time: usize,
}

/// Gain that came over gain asked for.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Service {
    pub whole: f64,
    pub lanes: BTreeMap<String, f64>,
    pub worst_ten_s: f64,
}

#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    pub rules: Vec<Rule>,
    pub answers: Answers,
    pub service: Service,
    /// Set-ups that streamers got, and streamers that fell over.
    pub set_ups: usize,
    pub fell: usize,
}

impl Verdict {
    pub fn is_clean(&self) -> bool {
        self.rules.iter().all(|rule| rule.broken == 0) && self.answers.none == 0 && self.answers.two == 0
    }

    /// The table for people.
    pub fn table(&self) -> String {
        let mut text = format!("{:<28} {:>8} {:>7}\n", "rule", "checked", "broken");
        for rule in &self.rules {
            text += &format!("{:<28} {:>8} {:>7}\n", rule.name, rule.checked, rule.broken);
            for breach in &rule.breaches {
                text += &format!("  {}\n", breach.what);
                for line in &breach.lines {
                    text += &format!("    {line}\n");
                }
            }
        }
        let a = &self.answers;
        text += &format!(
            "answers: {} asks; none {}, one {}, two {}; not owed {}; plays {}, turned back {}, scrapped {}; in time {}\n",
            a.asks, a.none, a.one, a.two, a.excused, a.plays, a.turned_back, a.scrapped, a.in_time
        );
        text += &format!(
            "service (stand-ins): {:.3} whole, {:.3} worst 10 s",
            self.service.whole, self.service.worst_ten_s
        );
        for (lane, service) in &self.service.lanes {
            text += &format!(", {service:.3} {lane}");
        }
        text += &format!("\nset-ups {}, streamers fallen {}\n", self.set_ups, self.fell);
        text
    }
}

struct Book {
    rule: Rule,
}

impl Book {
    fn new(name: &'static str) -> Book {
        Book { rule: Rule { name, checked: 0, broken: 0, breaches: Vec::new() } }
    }

    fn holds(&mut self, fine: bool, what: impl FnOnce() -> String, lines: &[&TapRecord]) {
        self.rule.checked += 1;
        if fine {
            return;
        }
        self.rule.broken += 1;
        if self.rule.breaches.len() < SHOWN {
            let lines = lines.iter().filter_map(|line| serde_json::to_string(line).ok()).collect();
            self.rule.breaches.push(Breach { what: what(), lines });
        }
    }
}

/// All that the taps say of one ask, in order.
#[derive(Default)]
struct Ask<'a> {
    ask: Option<&'a TapRecord>,
    answers: Vec<&'a TapRecord>,
    left: Option<&'a TapRecord>,
    asked: Vec<&'a TapRecord>,
    answered: Vec<&'a TapRecord>,
    sent: Vec<&'a TapRecord>,
    got: Vec<&'a TapRecord>,
    /// Heard and given up at the controller's end, done at the streamer's.
    over: Vec<&'a TapRecord>,
    done: Vec<&'a TapRecord>,
    given: Vec<&'a TapRecord>,
}

/// Judges a day by its taps, in any order. None where the taps state no terms.
pub fn judge(lines: &[TapRecord]) -> Option<Verdict> {
    let mut sorted: Vec<&TapRecord> = lines.iter().collect();
    sorted.sort_by(|a, b| a.at.total_cmp(&b.at));
    let terms = sorted.iter().find_map(|line| match &line.event {
        TapEvent::Rules { rules: terms } => Some(terms),
        _ => None,
    })?;
    let day = Taps::sort(&sorted, terms);
    let (lost, answers) = day.none_lost();
    let rules = vec![
        lost,
        day.none_twice(),
        day.drains_kept(),
        day.none_pushed_over(),
        day.terms_kept(),
        day.rationed(),
        day.cold_shared(),
        day.one_heir(),
    ];
    let set_ups = day.asks.values().map(|ask| ask.got.len()).sum();
    let fell = sorted.iter().filter(|line| matches!(line.event, TapEvent::StreamerCrashed { .. })).count();
    Some(Verdict { rules, answers, service: day.service(), set_ups, fell })
}

struct Taps<'a> {
    terms: &'a JudgeRules,
    lines: &'a [&'a TapRecord],
    asks: BTreeMap<&'a str, Ask<'a>>,
    /// Moments at which each controller was killed and came up, and spans in which it stood still.
    killed: BTreeMap<usize, Vec<f64>>,
    up: BTreeMap<usize, Vec<f64>>,
    paused: BTreeMap<usize, Vec<(f64, f64)>>,
}

/// The number of the controller that an end's name tells.
fn controller(end: &str) -> Option<usize> {
    end.strip_prefix("controller:")?.parse().ok()
}

impl<'a> Taps<'a> {
    fn sort(lines: &'a [&'a TapRecord], terms: &'a JudgeRules) -> Taps<'a> {
        let mut taps = Taps {
            terms,
            lines,
            asks: BTreeMap::new(),
            killed: BTreeMap::new(),
            up: BTreeMap::new(),
            paused: BTreeMap::new(),
        };
        for line in lines.iter().copied() {
            match &line.event {
                TapEvent::RequestSent { request_id: ask, .. } => taps.of(ask).ask = Some(line),
                TapEvent::ResponseReceived { request_id: ask, .. } => taps.of(ask).answers.push(line),
                TapEvent::ViewerLeft { request_id: ask } => taps.of(ask).left = Some(line),
                TapEvent::RequestReceived { request_id: ask, .. } => taps.of(ask).asked.push(line),
                TapEvent::ResponseSent { request_id: ask, .. } => taps.of(ask).answered.push(line),
                TapEvent::AttemptSent { request_id: ask, .. } => taps.of(ask).sent.push(line),
                TapEvent::AttemptReceived { request_id: ask, .. } => taps.of(ask).got.push(line),
                TapEvent::OutcomeReceived { request_id: ask, .. }
                | TapEvent::AttemptAbandoned { request_id: ask, .. } => taps.of(ask).over.push(line),
                TapEvent::AttemptEnded { request_id: ask, .. } => taps.of(ask).done.push(line),
                TapEvent::Delivered { request_id: ask, .. } => taps.of(ask).given.push(line),
                TapEvent::Killed { controller } => taps.killed.entry(*controller).or_default().push(line.at),
                TapEvent::ControllerStarted { controller } => {
                    taps.up.entry(*controller).or_default().push(line.at)
                }
                TapEvent::Paused { controller } => {
                    taps.paused.entry(*controller).or_default().push((line.at, f64::INFINITY));
                }
                TapEvent::Continued { controller } => {
                    if let Some(last) = taps.paused.entry(*controller).or_default().last_mut() {
                        last.1 = line.at;
                    }
                }
                _ => {}
            }
        }
        taps
    }

    fn of(&mut self, ask: &'a str) -> &mut Ask<'a> {
        self.asks.entry(ask).or_default()
    }

    fn lane(&self, name: &str) -> Option<&ClassRules> {
        self.terms.classes.iter().find(|lane| lane.name == name)
    }

    /// Whether the controller was killed, or stood still, at some moment of this span.
    fn was_off(&self, controller: usize, from: f64, to: f64) -> bool {
        let killed = self.killed.get(&controller).into_iter().flatten();
        let paused = self.paused.get(&controller).into_iter().flatten();
        killed.clone().any(|at| (from - NEAR..=to + NEAR).contains(at))
            || paused.clone().any(|(since, until)| *since <= to + NEAR && *until >= from - NEAR)
    }

    /// 1: every ask that a running controller took has exactly one answer before the viewer's time is up.
    fn none_lost(&self) -> (Rule, Answers) {
        let mut book = Book::new("no subscription lost");
        let mut answers = Answers::default();
        for (name, ask) in &self.asks {
            let Some(line) = ask.ask else {
                // Nobody asked this: an answer to it is one too many.
                if let Some(answered) = ask.answered.first() {
                    book.holds(false, || format!("{name}: answered, never asked"), &[answered]);
                }
                continue;
            };
            let TapEvent::RequestSent { controller, latency_goal: goal, deadline: cut_off, .. } = &line.event
            else {
                continue;
            };
            answers.asks += 1;
            let last = cut_off + self.terms.answer_slack_s;
            let said = |kind: ResponseKind| {
                ask.answers.iter().any(
                    |line| matches!(&line.event, TapEvent::ResponseReceived { kind: k, .. } if *k == kind),
                )
            };
            answers.plays += usize::from(said(ResponseKind::Plays));
            answers.turned_back += usize::from(said(ResponseKind::Rejected));
            answers.scrapped += usize::from(said(ResponseKind::Failed));
            let real: Vec<&&TapRecord> = ask
                .answers
                .iter()
                .filter(|line| {
                    !matches!(&line.event, TapEvent::ResponseReceived { kind: ResponseKind::NoResponse, .. })
                })
                .collect();
            answers.in_time +=
                usize::from(said(ResponseKind::Plays) && real.iter().any(|line| line.at <= *goal));
            let left_early = ask.left.is_some_and(|left| left.at < *cut_off - NEAR);
            let off = self.was_off(*controller, line.at, last);
            // A connection that failed where no controller had taken the ask: nobody owes an answer.
            let not_taken = ask.asked.is_empty() && real.is_empty() && said(ResponseKind::NoResponse);
            let twice = real.len() > 1 || ask.answered.len() > 1;
            let in_time = real.first().is_some_and(|line| line.at <= last);
            if !twice && !in_time && (left_early || off || not_taken) {
                answers.excused += 1;
                continue;
            }
            match (real.len(), twice) {
                (_, true) => answers.two += 1,
                (0, _) => answers.none += 1,
                _ => answers.one += 1,
            }
            let lines: Vec<&TapRecord> = [line]
                .into_iter()
                .chain(ask.asked.iter().copied())
                .chain(ask.answers.iter().copied())
                .collect();
            let what = || match (real.len(), twice) {
                (_, true) => format!("{name}: more than one answer"),
                (0, _) => format!("{name}: no answer"),
                _ => format!("{name}: answered after the viewer's time was up"),
            };
            book.holds(in_time && !twice, what, &lines);
        }
        (book.rule, answers)
    }

    /// When a shot was over for the controller that sent it, as far as its end says; and whether the streamer
    /// sent it back unseen.
    fn over(&self, ask: &Ask<'a>, of: u32, streamer: &str, sent: f64) -> (Option<f64>, bool) {
        let mut over: Option<f64> = None;
        let mut back = false;
        for line in &ask.over {
            let ends = match &line.event {
                TapEvent::OutcomeReceived { attempt: shot, outcome: how, .. } if *shot == of => {
                    back |= *how == TapOutcome::Refused;
                    // A shot that plays is not over, but it is answered: no other may follow it.
                    *how != TapOutcome::Served
                }
                TapEvent::AttemptAbandoned { attempt: shot, .. } if *shot == of => true,
                _ => false,
            };
            if ends && line.at >= sent {
                over = Some(over.map_or(line.at, |at: f64| at.min(line.at)));
            }
        }
        let lost = self.lines.iter().find(|line| {
            line.at >= sent && matches!(&line.event, TapEvent::LinkLost { streamer: s } if s == streamer)
        });
        let lost = lost.map(|line| line.at);
        (over.into_iter().chain(lost).reduce(f64::min), back)
    }

    /// 2: a paid subscription is sent again or turned back only when each earlier shot provably never ran, and
    /// no subscription has two shots out at once.
    fn none_twice(&self) -> Rule {
        let mut book = Book::new("no set-up twice");
        for (name, ask) in &self.asks {
            let mut arrived = BTreeMap::new();
            for line in &ask.got {
                let TapEvent::AttemptReceived { streamer, attempt: shot, .. } = &line.event else { continue };
                let before = arrived.insert((streamer, shot), *line);
                let lines: Vec<&TapRecord> = before.into_iter().chain([*line]).collect();
                book.holds(
                    before.is_none(),
                    || format!("{name}: shot {shot} reached {streamer} twice"),
                    &lines,
                );
                let sent = ask.sent.iter().any(|line| {
                    matches!(&line.event, TapEvent::AttemptSent { streamer: s, attempt: n, .. } if s == streamer && n == shot)
                });
                book.holds(
                    sent,
                    || format!("{name}: shot {shot} reached {streamer}, no one sent it"),
                    &[line],
                );
            }
            let paid = ask.ask.or(ask.sent.first().copied()).is_some_and(|line| match &line.event {
                TapEvent::RequestSent { class: lane, .. } | TapEvent::AttemptSent { class: lane, .. } => {
                    self.lane(lane).is_none_or(|lane| lane.at_most_once)
                }
                _ => false,
            });
            for (i, line) in ask.sent.iter().enumerate() {
                for earlier in &ask.sent[..i] {
                    let TapEvent::AttemptSent { attempt: shot, streamer, .. } = &earlier.event else {
                        continue;
                    };
                    let (over, back) = self.over(ask, *shot, streamer, earlier.at);
                    let fine = over.is_some_and(|over| over <= line.at);
                    book.holds(
                        fine,
                        || format!("{name}: sent again while shot {shot} is out"),
                        &[earlier, line],
                    );
                    if paid {
                        let what = || format!("{name}: paid, sent again though shot {shot} may have run");
                        book.holds(back && self.went_back(ask, *shot), what, &[earlier, line]);
                    }
                }
            }
            let turned_back = ask.answered.iter().find(|line| {
                matches!(&line.event, TapEvent::ResponseSent { kind: ResponseKind::Rejected, .. })
            });
            if let (true, Some(answer)) = (paid, turned_back) {
                for line in &ask.sent {
                    let TapEvent::AttemptSent { attempt: shot, .. } = &line.event else { continue };
                    let what = || format!("{name}: paid, turned back though shot {shot} may have run");
                    book.holds(self.went_back(ask, *shot), what, &[line, answer]);
                }
            }
        }
        book.rule
    }

    /// Whether the streamer itself sent the shot back unseen.
    fn went_back(&self, ask: &Ask<'a>, of: u32) -> bool {
        ask.done
            .iter()
            .any(|line| matches!(&line.event, TapEvent::AttemptEnded { attempt: shot, outcome: TapOutcome::Refused, .. } if *shot == of))
    }

    /// What a controller had been told of a streamer by some moment, of its present run: since when it must
    /// not be sent to, and the latest start.
    fn told(&self, of: usize, name: &str, by: f64) -> (Option<&'a TapRecord>, Option<f64>) {
        let since =
            self.up.get(&of).into_iter().flatten().filter(|up| **up <= by).fold(0.0, |a: f64, b| a.max(*b));
        let (mut shut, mut latest) = (None, None::<f64>);
        for line in self.lines.iter().filter(|line| line.at >= since && line.at <= by) {
            let TapEvent::ListChangeReceived { streamer, state: stage, started_at: started } = &line.event
            else {
                continue;
            };
            if streamer != name || controller(&line.endpoint) != Some(of) {
                continue;
            }
            if *stage == StreamerState::Ready {
                shut = None;
            } else {
                shut = shut.or(Some(*line));
            }
            latest = latest.into_iter().chain(*started).reduce(f64::max);
        }
        (shut, latest)
    }

    /// 3: nothing new to a streamer later than the grace after the controller was told that it drains or is gone.
    fn drains_kept(&self) -> Rule {
        let mut book = Book::new("drains kept");
        let told = self.lines.iter().filter_map(|line| match &line.event {
            TapEvent::ListChangeReceived { streamer, state: stage, .. } if *stage != StreamerState::Ready => {
                Some(streamer.as_str())
            }
            _ => None,
        });
        let ever: BTreeSet<&str> = told.collect();
        for (name, ask) in &self.asks {
            for line in &ask.sent {
                let TapEvent::AttemptSent { streamer, .. } = &line.event else { continue };
                let Some(of) = controller(&line.endpoint) else { continue };
                let shut =
                    if ever.contains(streamer.as_str()) { self.told(of, streamer, line.at).0 } else { None };
                let late = shut.filter(|shut| line.at > shut.at + self.terms.drain_grace_s);
                let lines: Vec<&TapRecord> = late.into_iter().chain([*line]).collect();
                book.holds(
                    late.is_none(),
                    || format!("{name}: sent to {streamer}, which drains or is gone"),
                    &lines,
                );
            }
        }
        book.rule
    }

    /// 4: set-ups that a streamer got while it was cold, against what it can take in any window of that length.
    fn none_pushed_over(&self) -> Rule {
        let mut book = Book::new("no cold streamer pushed over");
        let cold = &self.terms.cold_start;
        let mut got: BTreeMap<&str, Vec<&TapRecord>> = BTreeMap::new();
        for line in self.lines {
            if let TapEvent::AttemptReceived { streamer, .. } = &line.event {
                got.entry(streamer).or_default().push(line);
            }
        }
        for line in self.lines {
            let TapEvent::StreamerStarted { streamer, started_at: started } = &line.event else { continue };
            let all = got.get(streamer.as_str()).map_or(&[][..], |got| got);
            let here: Vec<&&TapRecord> =
                all.iter().filter(|got| got.at >= *started && got.at < started + cold.warm_up_s).collect();
            for (i, last) in here.iter().enumerate() {
                let window: Vec<&&&TapRecord> =
                    here[..=i].iter().filter(|got| last.at - got.at <= cold.window_s).collect();
                let warmth = cold.initial_part
                    + (1.0 - cold.initial_part) * (last.at - started) / cold.warm_up_s.max(1e-3);
                let budget = cold.overload_multiple * cold.max_streams / cold.warm_up_s.max(1e-3)
                    * warmth.min(1.0)
                    * cold.window_s;
                // Some slack for chance: one set-up.
                let over = window.len() as f64 > budget + 1.0;
                let knew = window.iter().filter(|got| self.knew(got, streamer, *started)).count();
                let blame = over && knew * 2 > window.len();
                let what = || {
                    let count = window.len();
                    format!("{streamer}: {count} set-ups within {} s, {budget:.1} allowed", cold.window_s)
                };
                let lines: Vec<&TapRecord> =
                    [*line].into_iter().chain(window.iter().map(|got| **got as &TapRecord)).collect();
                book.holds(!blame, what, &lines);
            }
        }
        book.rule
    }

    /// Beside rule 4, over all controllers together: what those sent who knew of a streamer's start, in any window while
    /// it was cold, against what it can take then. Held against the moments at which set-ups left, as turns are.
    fn cold_shared(&self) -> Rule {
        let mut book = Book::new("cold budget shared out");
        let cold = &self.terms.cold_start;
        let mut sent: BTreeMap<&str, Vec<(usize, &TapRecord)>> = BTreeMap::new();
        for line in self.lines {
            if let (TapEvent::AttemptSent { streamer, .. }, Some(of)) =
                (&line.event, controller(&line.endpoint))
            {
                sent.entry(streamer).or_default().push((of, line));
            }
        }
        for line in self.lines {
            let TapEvent::StreamerStarted { streamer, started_at: started } = &line.event else { continue };
            let all = sent.get(streamer.as_str()).map_or(&[][..], |sent| sent);
            let there = |at: f64| at >= *started && at < started + cold.warm_up_s;
            let knew = |of: &usize, at: f64| self.knew_start(*of, streamer, *started, at);
            let here: Vec<&TapRecord> = all
                .iter()
                .filter(|(of, line)| there(line.at) && knew(of, line.at))
                .map(|(_, line)| *line)
                .collect();
            for (i, last) in here.iter().enumerate() {
                let window: Vec<&TapRecord> =
                    here[..=i].iter().filter(|sent| last.at - sent.at <= cold.window_s).copied().collect();
                let warmth = cold.initial_part
                    + (1.0 - cold.initial_part) * (last.at - started) / cold.warm_up_s.max(1e-3);
                let budget = cold.overload_multiple * cold.max_streams / cold.warm_up_s.max(1e-3)
                    * warmth.min(1.0)
                    * cold.window_s;
                let what = || {
                    let count = window.len();
                    format!(
                        "{streamer}: {count} sent within {} s by all together, {budget:.1} allowed",
                        cold.window_s
                    )
                };
                let lines: Vec<&TapRecord> = [*line].into_iter().chain(window.iter().copied()).collect();
                book.holds(window.len() as f64 <= budget + 1.0, what, &lines);
            }
        }
        book.rule
    }

    /// Turns of a missing controller are taken by one other at a time, whatever each sees of the fleet.
    fn one_heir(&self) -> Rule {
        let mut book = Book::new("one heir a number");
        // Who stands for a number, from when, and until when it does by its last word.
        let mut stands: BTreeMap<u32, Vec<(usize, f64, f64, &TapRecord)>> = BTreeMap::new();
        for line in self.lines {
            let (of, numbers, until) = match &line.event {
                TapEvent::TurnsCovered { controllers: numbers, until } => {
                    (controller(&line.endpoint), &numbers[..], *until)
                }
                TapEvent::Killed { controller } => (Some(*controller), &[][..], line.at),
                _ => continue,
            };
            let Some(of) = of else { continue };
            for spans in stands.values_mut() {
                for span in spans.iter_mut().filter(|span| span.0 == of && span.2 > line.at) {
                    span.2 = line.at;
                }
            }
            for number in numbers {
                let spans = stands.entry(*number).or_default();
                match spans.iter_mut().find(|span| span.0 == of && span.2 >= line.at) {
                    Some(span) => span.2 = until,
                    None => spans.push((of, line.at, until, line)),
                }
            }
        }
        for (number, spans) in stands {
            for (i, later) in spans.iter().enumerate() {
                let both = spans[..i]
                    .iter()
                    .find(|span| span.0 != later.0 && span.2.min(later.2) > span.1.max(later.1) + NEAR);
                let lines: Vec<&TapRecord> = both.into_iter().map(|span| span.3).chain([later.3]).collect();
                book.holds(both.is_none(), || format!("two stand for controller {number}"), &lines);
            }
        }
        book.rule
    }

    /// Whether the controller that sent this set-up knew of the streamer's start.
    fn knew(&self, got: &TapRecord, name: &str, started: f64) -> bool {
        let TapEvent::AttemptReceived { controller: of, .. } = &got.event else { return false };
        self.knew_start(*of, name, started, got.at)
    }

    /// Whether a controller knew of a streamer's start by some moment: it was told, it saw the old process break, or
    /// it came up later itself.
    fn knew_start(&self, of: usize, name: &str, started: f64, by: f64) -> bool {
        let told = self.told(of, name, by).1;
        let up = self.up.get(&of).into_iter().flatten().any(|up| *up >= started && *up <= by);
        let witness = self.lines.iter().any(|line| {
            let lost = matches!(&line.event, TapEvent::LinkLost { streamer } if streamer == name);
            lost && controller(&line.endpoint) == Some(of) && (started - 60.0..=by).contains(&line.at)
        });
        up || witness || told.is_some_and(|told| told >= started - NEAR)
    }

    /// 5: never under a lane's floor, and never more subscriptions of one title and lane than seats.
    fn terms_kept(&self) -> Rule {
        let mut book = Book::new("terms kept");
        let floor = |lane: &str| self.lane(lane).map_or(0, |lane| lane.min_rung);
        /// Seats taken and given back, with the line of the set-up.
        type Seats<'a> = Vec<(f64, i64, &'a TapRecord)>;
        let mut seats: BTreeMap<(usize, &str, &str), Seats> = BTreeMap::new();
        for line in self.lines {
            let (lane, rung) = match &line.event {
                TapEvent::AttemptReceived { class: lane, rung, .. }
                | TapEvent::RungChanged { class: lane, rung, .. } => (lane, *rung),
                _ => continue,
            };
            book.holds(rung >= floor(lane), || format!("rung {rung} is under the floor of {lane}"), &[line]);
        }
        for ask in self.asks.values() {
            for line in &ask.sent {
                let TapEvent::AttemptSent { attempt: shot, streamer, class: lane, title, .. } = &line.event
                else {
                    continue;
                };
                let (Some(of), true) = (
                    controller(&line.endpoint),
                    self.lane(lane).is_some_and(|lane| lane.max_sessions_per_title > 0),
                ) else {
                    continue;
                };
                let (over, _) = self.over(ask, *shot, streamer, line.at);
                let done = ask.done.iter().find(
                    |line| matches!(&line.event, TapEvent::AttemptEnded { attempt: n, .. } if n == shot),
                );
                let killed = self.killed.get(&of).into_iter().flatten().find(|at| **at >= line.at).copied();
                let ends = [over, done.map(|done| done.at), killed].into_iter().flatten().reduce(f64::min);
                let taken = seats.entry((of, lane, title)).or_default();
                taken.push((line.at, 1, line));
                taken.push((ends.unwrap_or(f64::INFINITY), -1, line));
            }
        }
        for ((of, lane, title), mut taken) in seats {
            // At one moment a seat is given back before it is taken.
            taken.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
            let most = self.lane(lane).map_or(0, |lane| lane.max_sessions_per_title) as i64;
            let mut held = 0;
            for (_, change, line) in taken {
                held += change;
                let what =
                    || format!("controller {of} holds {held} of {title} in {lane}, which has {most} seats");
                if change > 0 {
                    book.holds(held <= most, what, &[line]);
                }
            }
        }
        book.rule
    }

    /// 6: in any window, a controller's shots beyond each subscription's first stay within the ration.
    fn rationed(&self) -> Rule {
        let mut book = Book::new("shots rationed");
        let Some(ration) = &self.terms.retry_budget else { return book.rule };
        let mut taken: BTreeMap<usize, Vec<f64>> = BTreeMap::new();
        let mut further: BTreeMap<usize, Vec<&TapRecord>> = BTreeMap::new();
        for line in self.lines {
            let Some(of) = controller(&line.endpoint) else { continue };
            match &line.event {
                TapEvent::RequestReceived { .. } => taken.entry(of).or_default().push(line.at),
                TapEvent::AttemptSent { attempt: shot, .. } if *shot > 0 => {
                    further.entry(of).or_default().push(line)
                }
                _ => {}
            }
        }
        for (of, lines) in further {
            let none = Vec::new();
            let taken = taken.get(&of).unwrap_or(&none);
            let ups = self.up.get(&of).cloned().unwrap_or_default();
            for (i, line) in lines.iter().enumerate() {
                let since = ups.iter().filter(|up| **up <= line.at).fold(0.0, |a: f64, b| a.max(*b));
                let from = (line.at - ration.window_s).max(since);
                let made = lines[..=i].iter().filter(|other| other.at > from + NEAR).count();
                let took = taken.iter().filter(|at| **at >= from - NEAR && **at <= line.at + NEAR).count();
                let most = ration.min_retries + ration.request_share * took as f64;
                let what = || format!("controller {of}: {made} further shots, {took} subscriptions taken");
                book.holds(made as f64 <= most, what, &[line]);
            }
        }
        book.rule
    }

    /// Gain of what played, set up within the latency goal, over the gain of what viewers wanted.
    fn service(&self) -> Service {
        let mut sums: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
        let mut seconds: BTreeMap<i64, (f64, f64)> = BTreeMap::new();
        // A viewer's later tries ask for what its first one asked for already.
        let mut firsts: BTreeMap<&str, &TapRecord> = BTreeMap::new();
        for line in self.lines {
            if let TapEvent::RequestSent { viewer, .. } = &line.event {
                firsts.entry(viewer).or_insert(line);
            }
        }
        for line in firsts.values() {
            let TapEvent::RequestSent { class: lane, max_rung: top, wanted_s: wanted, .. } = &line.event
            else {
                continue;
            };
            let gain = self.lane(lane).map_or(1.0, |lane| lane.gain);
            let worth = gain * self.terms.gain_by_rung.get(*top).copied().unwrap_or(1.0);
            sums.entry(lane).or_default().1 += worth * wanted;
            let mut at = line.at;
            let end = line.at + wanted;
            while at < end {
                let next = (at.floor() + 1.0).min(end);
                seconds.entry(at.floor() as i64).or_default().1 += worth * (next - at);
                at = next;
            }
        }
        for ask in self.asks.values() {
            let Some(line) = ask.ask else { continue };
            let TapEvent::RequestSent { class: lane, latency_goal: goal, .. } = &line.event else { continue };
            let plays = ask.answers.iter().find(|line| {
                matches!(&line.event, TapEvent::ResponseReceived { kind: ResponseKind::Plays, .. })
            });
            if plays.is_none_or(|plays| plays.at > *goal) {
                continue;
            }
            let gain = self.lane(lane).map_or(1.0, |lane| lane.gain);
            for line in &ask.given {
                let TapEvent::Delivered { rung, seconds: lasted, share, .. } = &line.event else { continue };
                let rung = self.terms.gain_by_rung.get(*rung).copied().unwrap_or(0.0);
                let lost = self.terms.shortfall_cost * (0.98 - share).max(0.0);
                let earned = gain * rung * lasted * (1.0 - lost).max(0.0);
                sums.entry(lane).or_default().0 += earned;
                seconds.entry((line.at - lasted / 2.0).floor() as i64).or_default().0 += earned;
            }
        }
        let ratio = |(earned, asked): (f64, f64)| if asked > 0.0 { earned / asked } else { 1.0 };
        let whole = ratio(sums.values().fold((0.0, 0.0), |a, b| (a.0 + b.0, a.1 + b.1)));
        let moments: Vec<i64> = seconds.keys().copied().collect();
        let window = |from: i64| {
            let parts = seconds.range(from..from + 10).map(|(_, part)| *part);
            ratio(parts.fold((0.0, 0.0), |a, b| (a.0 + b.0, a.1 + b.1)))
        };
        let (first, last) = (moments.first().copied().unwrap_or(0), moments.last().copied().unwrap_or(0));
        let worst_ten_s = (first..=(last - 9).max(first)).map(window).fold(f64::INFINITY, f64::min);
        Service {
            whole,
            lanes: sums.iter().map(|(lane, sum)| ((*lane).to_owned(), ratio(*sum))).collect(),
            worst_ten_s: if worst_ten_s.is_finite() { worst_ten_s } else { 1.0 },
        }
    }
}
