//! Checks the six rules of the service, and two on top, against the records of what crossed the sockets. For each
//! rule it counts the checks and lists the records that show a violation. The records are its only input: what a
//! controller recorded about itself is compared with what the other end of the socket recorded.

use lemontide_wire::list::StreamerState;
use lemontide_wire::tap::{ClassRules, JudgeRules, ResponseKind, TapEvent, TapOutcome, TapRecord};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// Records of one event at two endpoints can differ in time by up to this many seconds.
const TIME_TOLERANCE_S: f64 = 0.05;
/// Number of violations of a rule that are listed with their records.
const MAX_LISTED_VIOLATIONS: usize = 5;

/// A violation of a rule.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Violation {
    #[serde(rename = "what")]
    pub description: String,
    /// The records that show it, as JSON.
    #[serde(rename = "lines")]
    pub records: Vec<String>,
}

/// The result of all checks of one rule.
#[derive(Clone, Debug, Serialize)]
pub struct RuleResult {
    pub name: &'static str,
    /// Number of checks made.
    #[serde(rename = "checked")]
    pub check_count: usize,
    #[serde(rename = "broken")]
    pub violation_count: usize,
    /// The first violations.
    #[serde(rename = "breaches")]
    pub violations: Vec<Violation>,
}

/// How requests were answered.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ResponseCounts {
    #[serde(rename = "asks")]
    pub requests: usize,
    /// Requests accepted by a controller that stayed up, by their number of responses.
    #[serde(rename = "none")]
    pub unanswered: usize,
    #[serde(rename = "one")]
    pub answered_once: usize,
    #[serde(rename = "two")]
    pub answered_repeatedly: usize,
    /// Requests that need no answer: their controller was killed or paused, the viewer left, or the connection failed
    /// before a controller received the request.
    pub excused: usize,
    pub plays: usize,
    #[serde(rename = "turned_back")]
    pub rejected: usize,
    #[serde(rename = "scrapped")]
    pub failed: usize,
    pub in_time: usize,
}

/// Gain that was delivered, divided by the gain that was requested.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ServiceRatios {
    #[serde(rename = "whole")]
    pub overall: f64,
    #[serde(rename = "lanes")]
    pub by_class: BTreeMap<String, f64>,
    pub worst_ten_s: f64,
}

/// The result of all rules.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    pub rules: Vec<RuleResult>,
    #[serde(rename = "answers")]
    pub responses: ResponseCounts,
    pub service: ServiceRatios,
    /// Number of set-ups that streamers received.
    pub set_ups: usize,
    /// Number of times that a streamer crashed from overload.
    #[serde(rename = "fell")]
    pub streamer_crashes: usize,
}

impl Verdict {
    /// Whether no rule was violated.
    pub fn is_clean(&self) -> bool {
        self.rules.iter().all(|rule| rule.violation_count == 0)
            && self.responses.unanswered == 0
            && self.responses.answered_repeatedly == 0
    }

    /// A table for printing.
    pub fn table(&self) -> String {
        let mut text = format!("{:<28} {:>8} {:>7}\n", "rule", "checked", "broken");
        for rule in &self.rules {
            text += &format!("{:<28} {:>8} {:>7}\n", rule.name, rule.check_count, rule.violation_count);
            for violation in &rule.violations {
                text += &format!("  {}\n", violation.description);
                for record in &violation.records {
                    text += &format!("    {record}\n");
                }
            }
        }
        let counts = &self.responses;
        text += &format!(
            "answers: {} requests; none {}, one {}, two {}; not owed {}; plays {}, rejected {}, failed {}; in time {}\n",
            counts.requests,
            counts.unanswered,
            counts.answered_once,
            counts.answered_repeatedly,
            counts.excused,
            counts.plays,
            counts.rejected,
            counts.failed,
            counts.in_time
        );
        text += &format!(
            "service (stand-ins): {:.3} overall, {:.3} worst 10 s",
            self.service.overall, self.service.worst_ten_s
        );
        for (class, ratio) in &self.service.by_class {
            text += &format!(", {ratio:.3} {class}");
        }
        text += &format!("\nset-ups {}, streamers crashed {}\n", self.set_ups, self.streamer_crashes);
        text
    }
}

/// Counts the checks of one rule and collects its violations.
struct RuleChecker {
    result: RuleResult,
}

impl RuleChecker {
    fn new(name: &'static str) -> RuleChecker {
        RuleChecker {
            result: RuleResult { name, check_count: 0, violation_count: 0, violations: Vec::new() },
        }
    }

    fn check(&mut self, passed: bool, description: impl FnOnce() -> String, records: &[&TapRecord]) {
        self.result.check_count += 1;
        if passed {
            return;
        }
        self.result.violation_count += 1;
        if self.result.violations.len() < MAX_LISTED_VIOLATIONS {
            let records = records.iter().filter_map(|record| serde_json::to_string(record).ok()).collect();
            self.result.violations.push(Violation { description: description(), records });
        }
    }
}

/// All records of one request, by kind and in order.
#[derive(Default)]
struct RequestRecords<'a> {
    request_sent: Option<&'a TapRecord>,
    responses_received: Vec<&'a TapRecord>,
    viewer_left: Option<&'a TapRecord>,
    requests_received: Vec<&'a TapRecord>,
    responses_sent: Vec<&'a TapRecord>,
    attempts_sent: Vec<&'a TapRecord>,
    attempts_received: Vec<&'a TapRecord>,
    /// Outcomes that the controller received, and attempts that it abandoned.
    ends_at_controller: Vec<&'a TapRecord>,
    /// Ends of attempts as the streamer recorded them.
    ends_at_streamer: Vec<&'a TapRecord>,
    delivered: Vec<&'a TapRecord>,
}

/// Checks all rules on the records of a scenario, which can be in any order. None if no record states the rules.
pub fn check_rules(records: &[TapRecord]) -> Option<Verdict> {
    let mut sorted: Vec<&TapRecord> = records.iter().collect();
    sorted.sort_by(|a, b| a.at.total_cmp(&b.at));
    let rules = sorted.iter().find_map(|record| match &record.event {
        TapEvent::Rules { rules } => Some(rules),
        _ => None,
    })?;
    let index = RecordIndex::new(&sorted, rules);
    let (response_rule, responses) = index.check_responses();
    let rules = vec![
        response_rule,
        index.check_repeated_attempts(),
        index.check_drains(),
        index.check_cold_starts(),
        index.check_class_limits(),
        index.check_retry_budget(),
        index.check_shared_cold_budget(),
        index.check_turn_coverage(),
    ];
    let set_ups = index.requests.values().map(|request| request.attempts_received.len()).sum();
    let streamer_crashes =
        sorted.iter().filter(|record| matches!(record.event, TapEvent::StreamerCrashed { .. })).count();
    Some(Verdict { rules, responses, service: index.service(), set_ups, streamer_crashes })
}

/// The records, indexed by request and by controller.
struct RecordIndex<'a> {
    rules: &'a JudgeRules,
    records: &'a [&'a TapRecord],
    requests: BTreeMap<&'a str, RequestRecords<'a>>,
    /// For each controller: times at which it was killed, times at which it started, periods in which it was paused.
    kills: BTreeMap<usize, Vec<f64>>,
    starts: BTreeMap<usize, Vec<f64>>,
    pauses: BTreeMap<usize, Vec<(f64, f64)>>,
}

/// The number of a controller, from the name of its endpoint.
fn controller_number(endpoint: &str) -> Option<usize> {
    endpoint.strip_prefix("controller:")?.parse().ok()
}

impl<'a> RecordIndex<'a> {
    fn new(records: &'a [&'a TapRecord], rules: &'a JudgeRules) -> RecordIndex<'a> {
        let mut index = RecordIndex {
            rules,
            records,
            requests: BTreeMap::new(),
            kills: BTreeMap::new(),
            starts: BTreeMap::new(),
            pauses: BTreeMap::new(),
        };
        for record in records.iter().copied() {
            match &record.event {
                TapEvent::RequestSent { request_id, .. } => {
                    index.entry(request_id).request_sent = Some(record)
                }
                TapEvent::ResponseReceived { request_id, .. } => {
                    index.entry(request_id).responses_received.push(record)
                }
                TapEvent::ViewerLeft { request_id } => index.entry(request_id).viewer_left = Some(record),
                TapEvent::RequestReceived { request_id, .. } => {
                    index.entry(request_id).requests_received.push(record)
                }
                TapEvent::ResponseSent { request_id, .. } => {
                    index.entry(request_id).responses_sent.push(record)
                }
                TapEvent::AttemptSent { request_id, .. } => {
                    index.entry(request_id).attempts_sent.push(record)
                }
                TapEvent::AttemptReceived { request_id, .. } => {
                    index.entry(request_id).attempts_received.push(record)
                }
                TapEvent::OutcomeReceived { request_id, .. }
                | TapEvent::AttemptAbandoned { request_id, .. } => {
                    index.entry(request_id).ends_at_controller.push(record)
                }
                TapEvent::AttemptEnded { request_id, .. } => {
                    index.entry(request_id).ends_at_streamer.push(record)
                }
                TapEvent::Delivered { request_id, .. } => index.entry(request_id).delivered.push(record),
                TapEvent::Killed { controller } => {
                    index.kills.entry(*controller).or_default().push(record.at)
                }
                TapEvent::ControllerStarted { controller } => {
                    index.starts.entry(*controller).or_default().push(record.at)
                }
                TapEvent::Paused { controller } => {
                    index.pauses.entry(*controller).or_default().push((record.at, f64::INFINITY));
                }
                TapEvent::Continued { controller } => {
                    if let Some(last) = index.pauses.entry(*controller).or_default().last_mut() {
                        last.1 = record.at;
                    }
                }
                _ => {}
            }
        }
        index
    }

    fn entry(&mut self, request_id: &'a str) -> &mut RequestRecords<'a> {
        self.requests.entry(request_id).or_default()
    }

    fn class_rules(&self, name: &str) -> Option<&ClassRules> {
        self.rules.classes.iter().find(|class| class.name == name)
    }

    /// Whether the controller was killed or paused at any time in this period.
    fn was_unavailable(&self, controller: usize, from: f64, to: f64) -> bool {
        let killed = self.kills.get(&controller).into_iter().flatten();
        let paused = self.pauses.get(&controller).into_iter().flatten();
        killed.clone().any(|at| (from - TIME_TOLERANCE_S..=to + TIME_TOLERANCE_S).contains(at))
            || paused
                .clone()
                .any(|(since, until)| *since <= to + TIME_TOLERANCE_S && *until >= from - TIME_TOLERANCE_S)
    }

    /// Rule 1: each request that a running controller accepted gets exactly one response before its deadline.
    fn check_responses(&self) -> (RuleResult, ResponseCounts) {
        let mut checker = RuleChecker::new("no subscription lost");
        let mut counts = ResponseCounts::default();
        for (name, request) in &self.requests {
            let Some(record) = request.request_sent else {
                // No player sent this request, so any response to it is a violation.
                if let Some(response) = request.responses_sent.first() {
                    checker.check(false, || format!("{name}: answered, but never requested"), &[response]);
                }
                continue;
            };
            let TapEvent::RequestSent { controller, latency_goal, deadline, .. } = &record.event else {
                continue;
            };
            counts.requests += 1;
            let answer_by = deadline + self.rules.answer_slack_s;
            let received = |kind: ResponseKind| {
                request.responses_received.iter().any(
                    |record| matches!(&record.event, TapEvent::ResponseReceived { kind: k, .. } if *k == kind),
                )
            };
            counts.plays += usize::from(received(ResponseKind::Plays));
            counts.rejected += usize::from(received(ResponseKind::Rejected));
            counts.failed += usize::from(received(ResponseKind::Failed));
            let responses: Vec<&&TapRecord> = request
                .responses_received
                .iter()
                .filter(|record| {
                    !matches!(
                        &record.event,
                        TapEvent::ResponseReceived { kind: ResponseKind::NoResponse, .. }
                    )
                })
                .collect();
            counts.in_time += usize::from(
                received(ResponseKind::Plays) && responses.iter().any(|record| record.at <= *latency_goal),
            );
            let left_early = request.viewer_left.is_some_and(|left| left.at < *deadline - TIME_TOLERANCE_S);
            let unavailable = self.was_unavailable(*controller, record.at, answer_by);
            // The connection failed before any controller received the request, so none has to answer it.
            let not_received = request.requests_received.is_empty()
                && responses.is_empty()
                && received(ResponseKind::NoResponse);
            let repeated = responses.len() > 1 || request.responses_sent.len() > 1;
            let in_time = responses.first().is_some_and(|record| record.at <= answer_by);
            if !repeated && !in_time && (left_early || unavailable || not_received) {
                counts.excused += 1;
                continue;
            }
            match (responses.len(), repeated) {
                (_, true) => counts.answered_repeatedly += 1,
                (0, _) => counts.unanswered += 1,
                _ => counts.answered_once += 1,
            }
            let records: Vec<&TapRecord> = [record]
                .into_iter()
                .chain(request.requests_received.iter().copied())
                .chain(request.responses_received.iter().copied())
                .collect();
            let description = || match (responses.len(), repeated) {
                (_, true) => format!("{name}: more than one answer"),
                (0, _) => format!("{name}: no answer"),
                _ => format!("{name}: answered after its deadline"),
            };
            checker.check(in_time && !repeated, description, &records);
        }
        (checker.result, counts)
    }

    /// When an attempt ended for the controller that sent it, by the controller's own records; and whether that
    /// controller received a refusal from the streamer.
    fn attempt_end(
        &self,
        request: &RequestRecords<'a>,
        number: u32,
        streamer: &str,
        sent_at: f64,
    ) -> (Option<f64>, bool) {
        let mut ended_at: Option<f64> = None;
        let mut refused = false;
        for record in &request.ends_at_controller {
            let is_end = match &record.event {
                TapEvent::OutcomeReceived { attempt, outcome, .. } if *attempt == number => {
                    refused |= *outcome == TapOutcome::Refused;
                    // A session that plays has not ended, but its request is answered, so no further attempt is allowed.
                    *outcome != TapOutcome::Served
                }
                TapEvent::AttemptAbandoned { attempt, .. } if *attempt == number => true,
                _ => false,
            };
            if is_end && record.at >= sent_at {
                ended_at = Some(ended_at.map_or(record.at, |at: f64| at.min(record.at)));
            }
        }
        let lost = self.records.iter().find(|record| {
            record.at >= sent_at
                && matches!(&record.event, TapEvent::LinkLost { streamer: s } if s == streamer)
        });
        let lost_at = lost.map(|record| record.at);
        (ended_at.into_iter().chain(lost_at).reduce(f64::min), refused)
    }

    /// Rule 2: a request of an at-most-once class is retried or rejected only if each earlier attempt provably never
    /// ran, and no request has two attempts in progress at once.
    fn check_repeated_attempts(&self) -> RuleResult {
        let mut checker = RuleChecker::new("no set-up twice");
        for (name, request) in &self.requests {
            let mut arrived = BTreeMap::new();
            for record in &request.attempts_received {
                let TapEvent::AttemptReceived { streamer, attempt, .. } = &record.event else { continue };
                let before = arrived.insert((streamer, attempt), *record);
                let records: Vec<&TapRecord> = before.into_iter().chain([*record]).collect();
                checker.check(
                    before.is_none(),
                    || format!("{name}: attempt {attempt} reached {streamer} twice"),
                    &records,
                );
                let sent = request.attempts_sent.iter().any(|record| {
                    matches!(&record.event, TapEvent::AttemptSent { streamer: s, attempt: n, .. } if s == streamer && n == attempt)
                });
                checker.check(
                    sent,
                    || format!("{name}: attempt {attempt} reached {streamer}, but no controller sent it"),
                    &[record],
                );
            }
            let at_most_once =
                request.request_sent.or(request.attempts_sent.first().copied()).is_some_and(|record| {
                    match &record.event {
                        TapEvent::RequestSent { class, .. } | TapEvent::AttemptSent { class, .. } => {
                            self.class_rules(class).is_none_or(|class| class.at_most_once)
                        }
                        _ => false,
                    }
                });
            for (i, record) in request.attempts_sent.iter().enumerate() {
                for earlier in &request.attempts_sent[..i] {
                    let TapEvent::AttemptSent { attempt, streamer, .. } = &earlier.event else {
                        continue;
                    };
                    let (ended_at, refused) = self.attempt_end(request, *attempt, streamer, earlier.at);
                    let ended_before = ended_at.is_some_and(|ended_at| ended_at <= record.at);
                    checker.check(
                        ended_before,
                        || format!("{name}: retried while attempt {attempt} was in progress"),
                        &[earlier, record],
                    );
                    if at_most_once {
                        let description = || {
                            format!(
                                "{name}: at most once, but retried although attempt {attempt} can have run"
                            )
                        };
                        checker.check(
                            refused && self.was_refused(request, *attempt),
                            description,
                            &[earlier, record],
                        );
                    }
                }
            }
            let rejection = request.responses_sent.iter().find(|record| {
                matches!(&record.event, TapEvent::ResponseSent { kind: ResponseKind::Rejected, .. })
            });
            if let (true, Some(response)) = (at_most_once, rejection) {
                for record in &request.attempts_sent {
                    let TapEvent::AttemptSent { attempt, .. } = &record.event else { continue };
                    let description = || {
                        format!("{name}: at most once, but rejected although attempt {attempt} can have run")
                    };
                    checker.check(self.was_refused(request, *attempt), description, &[record, response]);
                }
            }
        }
        checker.result
    }

    /// Whether the streamer itself recorded that it refused the attempt without running it.
    fn was_refused(&self, request: &RequestRecords<'a>, number: u32) -> bool {
        request.ends_at_streamer
            .iter()
            .any(|record| matches!(&record.event, TapEvent::AttemptEnded { attempt, outcome: TapOutcome::Refused, .. } if *attempt == number))
    }

    /// What a controller knew of a streamer by a given time, from the list changes that it received since its own last
    /// start: the change since which it must not send there, if any, and the latest start of the streamer.
    fn known_state(&self, number: usize, name: &str, by: f64) -> (Option<&'a TapRecord>, Option<f64>) {
        let since = self
            .starts
            .get(&number)
            .into_iter()
            .flatten()
            .filter(|start| **start <= by)
            .fold(0.0, |latest: f64, start| latest.max(*start));
        let (mut not_ready_since, mut last_start) = (None, None::<f64>);
        for record in self.records.iter().filter(|record| record.at >= since && record.at <= by) {
            let TapEvent::ListChangeReceived { streamer, state, started_at } = &record.event else {
                continue;
            };
            if streamer != name || controller_number(&record.endpoint) != Some(number) {
                continue;
            }
            if *state == StreamerState::Ready {
                not_ready_since = None;
            } else {
                not_ready_since = not_ready_since.or(Some(*record));
            }
            last_start = last_start.into_iter().chain(*started_at).reduce(f64::max);
        }
        (not_ready_since, last_start)
    }

    /// Rule 3: no new attempt to a streamer later than the grace period after the controller received that it drains or
    /// is gone.
    fn check_drains(&self) -> RuleResult {
        let mut checker = RuleChecker::new("drains kept");
        let changed = self.records.iter().filter_map(|record| match &record.event {
            TapEvent::ListChangeReceived { streamer, state, .. } if *state != StreamerState::Ready => {
                Some(streamer.as_str())
            }
            _ => None,
        });
        let ever_not_ready: BTreeSet<&str> = changed.collect();
        for (name, request) in &self.requests {
            for record in &request.attempts_sent {
                let TapEvent::AttemptSent { streamer, .. } = &record.event else { continue };
                let Some(number) = controller_number(&record.endpoint) else { continue };
                let not_ready_since = if ever_not_ready.contains(streamer.as_str()) {
                    self.known_state(number, streamer, record.at).0
                } else {
                    None
                };
                let late = not_ready_since.filter(|since| record.at > since.at + self.rules.drain_grace_s);
                let records: Vec<&TapRecord> = late.into_iter().chain([*record]).collect();
                checker.check(
                    late.is_none(),
                    || format!("{name}: sent to {streamer}, which drains or is gone"),
                    &records,
                );
            }
        }
        checker.result
    }

    /// Rule 4: attempts that a streamer received while it was cold, against its capacity in each sliding window. A window
    /// over budget is a violation only if the senders of more than half of its attempts knew of the start.
    fn check_cold_starts(&self) -> RuleResult {
        let mut checker = RuleChecker::new("no cold streamer pushed over");
        let cold = &self.rules.cold_start;
        let mut received: BTreeMap<&str, Vec<&TapRecord>> = BTreeMap::new();
        for record in self.records {
            if let TapEvent::AttemptReceived { streamer, .. } = &record.event {
                received.entry(streamer).or_default().push(record);
            }
        }
        for record in self.records {
            let TapEvent::StreamerStarted { streamer, started_at } = &record.event else { continue };
            let all = received.get(streamer.as_str()).map_or(&[][..], |received| received);
            let while_cold: Vec<&&TapRecord> = all
                .iter()
                .filter(|attempt| attempt.at >= *started_at && attempt.at < started_at + cold.warm_up_s)
                .collect();
            for (i, last) in while_cold.iter().enumerate() {
                let window: Vec<&&&TapRecord> =
                    while_cold[..=i].iter().filter(|attempt| last.at - attempt.at <= cold.window_s).collect();
                let warmth = cold.initial_part
                    + (1.0 - cold.initial_part) * (last.at - started_at) / cold.warm_up_s.max(1e-3);
                let budget = cold.overload_multiple * cold.max_streams / cold.warm_up_s.max(1e-3)
                    * warmth.min(1.0)
                    * cold.window_s;
                // One attempt of slack, for randomness.
                let over_budget = window.len() as f64 > budget + 1.0;
                let informed = window
                    .iter()
                    .filter(|attempt| self.sender_knew_start(attempt, streamer, *started_at))
                    .count();
                let violated = over_budget && informed * 2 > window.len();
                let description = || {
                    let count = window.len();
                    format!("{streamer}: {count} set-ups within {} s, {budget:.1} allowed", cold.window_s)
                };
                let records: Vec<&TapRecord> = [*record]
                    .into_iter()
                    .chain(window.iter().map(|attempt| **attempt as &TapRecord))
                    .collect();
                checker.check(!violated, description, &records);
            }
        }
        checker.result
    }

    /// In addition to rule 4, over all controllers together: attempts sent by controllers that knew of a streamer's start,
    /// in any window while it was cold, against its capacity. Uses the times at which attempts were sent, since turns
    /// are assigned by these.
    fn check_shared_cold_budget(&self) -> RuleResult {
        let mut checker = RuleChecker::new("cold budget shared out");
        let cold = &self.rules.cold_start;
        let mut sent: BTreeMap<&str, Vec<(usize, &TapRecord)>> = BTreeMap::new();
        for record in self.records {
            if let (TapEvent::AttemptSent { streamer, .. }, Some(number)) =
                (&record.event, controller_number(&record.endpoint))
            {
                sent.entry(streamer).or_default().push((number, record));
            }
        }
        for record in self.records {
            let TapEvent::StreamerStarted { streamer, started_at } = &record.event else { continue };
            let all = sent.get(streamer.as_str()).map_or(&[][..], |sent| sent);
            let is_cold = |at: f64| at >= *started_at && at < started_at + cold.warm_up_s;
            let knew = |number: &usize, at: f64| self.knew_start(*number, streamer, *started_at, at);
            let while_cold: Vec<&TapRecord> = all
                .iter()
                .filter(|(number, record)| is_cold(record.at) && knew(number, record.at))
                .map(|(_, record)| *record)
                .collect();
            for (i, last) in while_cold.iter().enumerate() {
                let window: Vec<&TapRecord> = while_cold[..=i]
                    .iter()
                    .filter(|sent| last.at - sent.at <= cold.window_s)
                    .copied()
                    .collect();
                let warmth = cold.initial_part
                    + (1.0 - cold.initial_part) * (last.at - started_at) / cold.warm_up_s.max(1e-3);
                let budget = cold.overload_multiple * cold.max_streams / cold.warm_up_s.max(1e-3)
                    * warmth.min(1.0)
                    * cold.window_s;
                let description = || {
                    let count = window.len();
                    format!(
                        "{streamer}: {count} sent within {} s by all controllers together, {budget:.1} allowed",
                        cold.window_s
                    )
                };
                let records: Vec<&TapRecord> = [*record].into_iter().chain(window.iter().copied()).collect();
                checker.check(window.len() as f64 <= budget + 1.0, description, &records);
            }
        }
        checker.result
    }

    /// The turns of a missing controller are covered by one other controller at a time, whichever instances each of them
    /// considers present.
    fn check_turn_coverage(&self) -> RuleResult {
        let mut checker = RuleChecker::new("one heir a number");
        // For each number: which controller covers it, from when, and until when by its last record.
        let mut coverage: BTreeMap<u32, Vec<(usize, f64, f64, &TapRecord)>> = BTreeMap::new();
        for record in self.records {
            let (number, covered, until) = match &record.event {
                TapEvent::TurnsCovered { controllers, until } => {
                    (controller_number(&record.endpoint), &controllers[..], *until)
                }
                TapEvent::Killed { controller } => (Some(*controller), &[][..], record.at),
                _ => continue,
            };
            let Some(number) = number else { continue };
            for periods in coverage.values_mut() {
                for period in periods.iter_mut().filter(|period| period.0 == number && period.2 > record.at) {
                    period.2 = record.at;
                }
            }
            for missing in covered {
                let periods = coverage.entry(*missing).or_default();
                match periods.iter_mut().find(|period| period.0 == number && period.2 >= record.at) {
                    Some(period) => period.2 = until,
                    None => periods.push((number, record.at, until, record)),
                }
            }
        }
        for (missing, periods) in coverage {
            for (i, later) in periods.iter().enumerate() {
                let overlapping = periods[..i].iter().find(|period| {
                    period.0 != later.0 && period.2.min(later.2) > period.1.max(later.1) + TIME_TOLERANCE_S
                });
                let records: Vec<&TapRecord> =
                    overlapping.into_iter().map(|period| period.3).chain([later.3]).collect();
                checker.check(
                    overlapping.is_none(),
                    || format!("two controllers cover the turns of controller {missing}"),
                    &records,
                );
            }
        }
        checker.result
    }

    /// Whether the controller that sent this attempt knew of the streamer's start.
    fn sender_knew_start(&self, received: &TapRecord, name: &str, started_at: f64) -> bool {
        let TapEvent::AttemptReceived { controller, .. } = &received.event else { return false };
        self.knew_start(*controller, name, started_at, received.at)
    }

    /// Whether a controller knew of a streamer's start by a given time: it received the list change, it lost its link
    /// to the old process in the 60 s before the start or since, or it started later than the streamer.
    fn knew_start(&self, number: usize, name: &str, started_at: f64, by: f64) -> bool {
        let known_start = self.known_state(number, name, by).1;
        let started_later =
            self.starts.get(&number).into_iter().flatten().any(|start| *start >= started_at && *start <= by);
        let lost_link = self.records.iter().any(|record| {
            let lost = matches!(&record.event, TapEvent::LinkLost { streamer } if streamer == name);
            lost && controller_number(&record.endpoint) == Some(number)
                && (started_at - 60.0..=by).contains(&record.at)
        });
        started_later || lost_link || known_start.is_some_and(|start| start >= started_at - TIME_TOLERANCE_S)
    }

    /// Rule 5: no rung under a class's minimum, and no more sessions of a title and class at one controller than the
    /// class allows.
    fn check_class_limits(&self) -> RuleResult {
        let mut checker = RuleChecker::new("terms kept");
        let min_rung = |class: &str| self.class_rules(class).map_or(0, |class| class.min_rung);
        /// Changes of the number of sessions, each with the record of the attempt.
        type SessionChanges<'a> = Vec<(f64, i64, &'a TapRecord)>;
        let mut sessions: BTreeMap<(usize, &str, &str), SessionChanges> = BTreeMap::new();
        for record in self.records {
            let (class, rung) = match &record.event {
                TapEvent::AttemptReceived { class, rung, .. } | TapEvent::RungChanged { class, rung, .. } => {
                    (class, *rung)
                }
                _ => continue,
            };
            let description = || format!("rung {rung} is under the minimum of class {class}");
            checker.check(rung >= min_rung(class), description, &[record]);
        }
        for request in self.requests.values() {
            for record in &request.attempts_sent {
                let TapEvent::AttemptSent { attempt, streamer, class, title, .. } = &record.event else {
                    continue;
                };
                let (Some(number), true) = (
                    controller_number(&record.endpoint),
                    self.class_rules(class).is_some_and(|class| class.max_sessions_per_title > 0),
                ) else {
                    continue;
                };
                let (ended_at, _) = self.attempt_end(request, *attempt, streamer, record.at);
                let ended = request.ends_at_streamer.iter().find(
                    |record| matches!(&record.event, TapEvent::AttemptEnded { attempt: n, .. } if n == attempt),
                );
                let killed =
                    self.kills.get(&number).into_iter().flatten().find(|at| **at >= record.at).copied();
                let ends =
                    [ended_at, ended.map(|ended| ended.at), killed].into_iter().flatten().reduce(f64::min);
                let changes = sessions.entry((number, class, title)).or_default();
                changes.push((record.at, 1, record));
                changes.push((ends.unwrap_or(f64::INFINITY), -1, record));
            }
        }
        for ((number, class, title), mut changes) in sessions {
            // At equal times the end of a session counts before the start of another.
            changes.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
            let max_sessions = self.class_rules(class).map_or(0, |class| class.max_sessions_per_title) as i64;
            let mut count = 0;
            for (_, change, record) in changes {
                count += change;
                let description = || {
                    format!("controller {number} has {count} sessions of {title} in class {class}, {max_sessions} allowed")
                };
                if change > 0 {
                    checker.check(count <= max_sessions, description, &[record]);
                }
            }
        }
        checker.result
    }

    /// Rule 6: in any window, a controller's attempts beyond each request's first one stay within the retry budget.
    fn check_retry_budget(&self) -> RuleResult {
        let mut checker = RuleChecker::new("shots rationed");
        let Some(budget) = &self.rules.retry_budget else { return checker.result };
        let mut requests: BTreeMap<usize, Vec<f64>> = BTreeMap::new();
        let mut retries: BTreeMap<usize, Vec<&TapRecord>> = BTreeMap::new();
        for record in self.records {
            let Some(number) = controller_number(&record.endpoint) else { continue };
            match &record.event {
                TapEvent::RequestReceived { .. } => requests.entry(number).or_default().push(record.at),
                TapEvent::AttemptSent { attempt, .. } if *attempt > 0 => {
                    retries.entry(number).or_default().push(record)
                }
                _ => {}
            }
        }
        for (number, records) in retries {
            let none = Vec::new();
            let received = requests.get(&number).unwrap_or(&none);
            let starts = self.starts.get(&number).cloned().unwrap_or_default();
            for (i, record) in records.iter().enumerate() {
                let last_start = starts
                    .iter()
                    .filter(|start| **start <= record.at)
                    .fold(0.0, |latest: f64, start| latest.max(*start));
                let from = (record.at - budget.window_s).max(last_start);
                let retry_count =
                    records[..=i].iter().filter(|other| other.at > from + TIME_TOLERANCE_S).count();
                let request_count = received
                    .iter()
                    .filter(|at| **at >= from - TIME_TOLERANCE_S && **at <= record.at + TIME_TOLERANCE_S)
                    .count();
                let allowed = budget.min_retries + budget.request_share * request_count as f64;
                let description = || {
                    format!("controller {number}: {retry_count} retries, {request_count} requests received")
                };
                checker.check(retry_count as f64 <= allowed, description, &[record]);
            }
        }
        checker.result
    }

    /// Gain of the sessions that were set up within their latency goal, divided by the gain of all that viewers wanted.
    fn service(&self) -> ServiceRatios {
        // In each pair the first number is the gain earned, the second the gain wanted.
        let mut by_class: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
        let mut by_second: BTreeMap<i64, (f64, f64)> = BTreeMap::new();
        // A viewer's retries ask for what its first request already asked for, so only the first counts.
        let mut first_requests: BTreeMap<&str, &TapRecord> = BTreeMap::new();
        for record in self.records {
            if let TapEvent::RequestSent { viewer, .. } = &record.event {
                first_requests.entry(viewer).or_insert(record);
            }
        }
        for record in first_requests.values() {
            let TapEvent::RequestSent { class, max_rung, wanted_s, .. } = &record.event else {
                continue;
            };
            let class_gain = self.class_rules(class).map_or(1.0, |class| class.gain);
            let gain_per_s = class_gain * self.rules.gain_by_rung.get(*max_rung).copied().unwrap_or(1.0);
            by_class.entry(class).or_default().1 += gain_per_s * wanted_s;
            let mut at = record.at;
            let end = record.at + wanted_s;
            while at < end {
                let next = (at.floor() + 1.0).min(end);
                by_second.entry(at.floor() as i64).or_default().1 += gain_per_s * (next - at);
                at = next;
            }
        }
        for request in self.requests.values() {
            let Some(record) = request.request_sent else { continue };
            let TapEvent::RequestSent { class, latency_goal, .. } = &record.event else { continue };
            let plays = request.responses_received.iter().find(|record| {
                matches!(&record.event, TapEvent::ResponseReceived { kind: ResponseKind::Plays, .. })
            });
            if plays.is_none_or(|plays| plays.at > *latency_goal) {
                continue;
            }
            let class_gain = self.class_rules(class).map_or(1.0, |class| class.gain);
            for record in &request.delivered {
                let TapEvent::Delivered { rung, seconds, share, .. } = &record.event else { continue };
                let rung_gain = self.rules.gain_by_rung.get(*rung).copied().unwrap_or(0.0);
                let lost = self.rules.shortfall_cost * (0.98 - share).max(0.0);
                let earned = class_gain * rung_gain * seconds * (1.0 - lost).max(0.0);
                by_class.entry(class).or_default().0 += earned;
                by_second.entry((record.at - seconds / 2.0).floor() as i64).or_default().0 += earned;
            }
        }
        let ratio = |(earned, wanted): (f64, f64)| if wanted > 0.0 { earned / wanted } else { 1.0 };
        let overall = ratio(by_class.values().fold((0.0, 0.0), |sum, part| (sum.0 + part.0, sum.1 + part.1)));
        let seconds: Vec<i64> = by_second.keys().copied().collect();
        let window_ratio = |from: i64| {
            let parts = by_second.range(from..from + 10).map(|(_, part)| *part);
            ratio(parts.fold((0.0, 0.0), |sum, part| (sum.0 + part.0, sum.1 + part.1)))
        };
        let (first, last) = (seconds.first().copied().unwrap_or(0), seconds.last().copied().unwrap_or(0));
        let worst_ten_s = (first..=(last - 9).max(first)).map(window_ratio).fold(f64::INFINITY, f64::min);
        ServiceRatios {
            overall,
            by_class: by_class.iter().map(|(class, sums)| ((*class).to_owned(), ratio(*sums))).collect(),
            worst_ten_s: if worst_ten_s.is_finite() { worst_ten_s } else { 1.0 },
        }
    }
}
