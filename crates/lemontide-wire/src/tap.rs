//! Taps: records of what each socket endpoint saw, as JSON lines with times of one clock. They are the only
//! input of the judge.

use crate::clock::Clock;
use crate::list::{ListEntry, StreamerState};
use serde::{Deserialize, Serialize};
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};

/// One line of a tap. `at` is in seconds of the wall clock, `endpoint` is the name of the socket endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TapRecord {
    pub at: f64,
    #[serde(rename = "end")]
    pub endpoint: String,
    #[serde(flatten)]
    pub event: TapEvent,
}

/// Kind of a response to a player.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ResponseKind {
    Plays,
    #[serde(rename = "turned_back")]
    Rejected,
    #[serde(rename = "scrapped")]
    Failed,
    /// Not accepted at all, for example because the request is invalid.
    #[serde(rename = "not_taken")]
    NotAccepted,
    /// There was no response, since the connection failed.
    #[serde(rename = "none")]
    NoResponse,
}

/// How an attempt, or the session that it set up, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TapOutcome {
    Served,
    Errored,
    #[serde(rename = "sent_back")]
    Refused,
    Cancelled,
    #[serde(rename = "broken")]
    ConnectionLost,
}

/// What a tap records.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum TapEvent {
    // The day: its rules, and actions on the processes of controllers.
    #[serde(rename = "terms")]
    Rules {
        #[serde(rename = "terms")]
        rules: JudgeRules,
    },
    Killed {
        controller: usize,
    },
    Paused {
        controller: usize,
    },
    Continued {
        controller: usize,
    },
    /// The controller was asked to stop in order.
    Leaving {
        controller: usize,
    },
    /// What the relay between two endpoints did to their traffic over the day.
    Relayed {
        from: String,
        to: String,
        passed: u64,
        dropped: u64,
        delayed: u64,
        #[serde(rename = "doubled")]
        duplicated: u64,
    },
    #[serde(rename = "listed")]
    ListPublished {
        version: u64,
        entries: Vec<ListEntry>,
    },
    // The controller's endpoint.
    #[serde(rename = "up")]
    ControllerStarted {
        controller: usize,
    },
    /// A change of the list that reached this controller: one record for each.
    #[serde(rename = "told")]
    ListChangeReceived {
        streamer: String,
        #[serde(rename = "stage")]
        state: StreamerState,
        #[serde(rename = "started")]
        started_at: Option<f64>,
    },
    #[serde(rename = "asked")]
    RequestReceived {
        #[serde(rename = "ask")]
        request_id: String,
        #[serde(rename = "lane")]
        class: String,
        title: String,
        #[serde(rename = "cut_off")]
        deadline: f64,
    },
    /// Recorded just before an attempt is written to the socket.
    #[serde(rename = "sent")]
    AttemptSent {
        #[serde(rename = "ask")]
        request_id: String,
        #[serde(rename = "shot")]
        attempt: u32,
        streamer: String,
        #[serde(rename = "lane")]
        class: String,
        title: String,
        rung: usize,
    },
    /// The streamer reported the outcome of an attempt.
    #[serde(rename = "heard")]
    OutcomeReceived {
        #[serde(rename = "ask")]
        request_id: String,
        #[serde(rename = "shot")]
        attempt: u32,
        #[serde(rename = "how")]
        outcome: TapOutcome,
    },
    /// The controller stopped waiting for an attempt.
    #[serde(rename = "gave_up")]
    AttemptAbandoned {
        #[serde(rename = "ask")]
        request_id: String,
        #[serde(rename = "shot")]
        attempt: u32,
    },
    /// Bytes of gossip that were sent in the last whole second.
    #[serde(rename = "gossip")]
    GossipSent {
        bytes: usize,
    },
    LinkLost {
        streamer: String,
    },
    /// Numbers of the missing controllers whose turns this one covers, until the given time or the next
    /// record of this kind.
    #[serde(rename = "stands")]
    TurnsCovered {
        #[serde(rename = "numbers")]
        controllers: Vec<u32>,
        until: f64,
    },
    #[serde(rename = "answered")]
    ResponseSent {
        #[serde(rename = "ask")]
        request_id: String,
        kind: ResponseKind,
    },
    // The streamer's endpoint.
    #[serde(rename = "born")]
    StreamerStarted {
        streamer: String,
        #[serde(rename = "started")]
        started_at: f64,
    },
    #[serde(rename = "got")]
    AttemptReceived {
        streamer: String,
        controller: usize,
        #[serde(rename = "ask")]
        request_id: String,
        #[serde(rename = "shot")]
        attempt: u32,
        #[serde(rename = "lane")]
        class: String,
        title: String,
        rung: usize,
    },
    #[serde(rename = "played")]
    PlayStarted {
        streamer: String,
        #[serde(rename = "ask")]
        request_id: String,
        #[serde(rename = "shot")]
        attempt: u32,
    },
    #[serde(rename = "done")]
    AttemptEnded {
        streamer: String,
        #[serde(rename = "ask")]
        request_id: String,
        #[serde(rename = "shot")]
        attempt: u32,
        #[serde(rename = "how")]
        outcome: TapOutcome,
    },
    #[serde(rename = "rung")]
    RungChanged {
        streamer: String,
        #[serde(rename = "ask")]
        request_id: String,
        #[serde(rename = "lane")]
        class: String,
        rung: usize,
    },
    /// What a session received in the last second: seconds played, and the part of its rate that was
    /// delivered.
    #[serde(rename = "given")]
    Delivered {
        streamer: String,
        #[serde(rename = "ask")]
        request_id: String,
        rung: usize,
        seconds: f64,
        share: f64,
    },
    #[serde(rename = "fell")]
    StreamerCrashed {
        streamer: String,
    },
    // The player's endpoint.
    #[serde(rename = "ask")]
    RequestSent {
        #[serde(rename = "ask")]
        request_id: String,
        viewer: String,
        controller: usize,
        #[serde(rename = "lane")]
        class: String,
        title: String,
        #[serde(rename = "goal")]
        latency_goal: f64,
        #[serde(rename = "cut_off")]
        deadline: f64,
        #[serde(rename = "top")]
        max_rung: usize,
        /// Seconds that the viewer still wants to watch.
        #[serde(rename = "wanted")]
        wanted_s: f64,
    },
    #[serde(rename = "answer")]
    ResponseReceived {
        #[serde(rename = "ask")]
        request_id: String,
        kind: ResponseKind,
    },
    /// The player gave up or left before the response.
    #[serde(rename = "left")]
    ViewerLeft {
        #[serde(rename = "ask")]
        request_id: String,
    },
}

/// Parameters of the judge's rules, from the day.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JudgeRules {
    /// How long after its deadline a response still counts as in time.
    #[serde(rename = "answer_slack")]
    pub answer_slack_s: f64,
    #[serde(rename = "drain_grace")]
    pub drain_grace_s: f64,
    #[serde(rename = "cold")]
    pub cold_start: ColdStartRules,
    #[serde(rename = "ration")]
    pub retry_budget: Option<RetryBudget>,
    #[serde(rename = "lanes")]
    pub classes: Vec<ClassRules>,
    /// The part of a session's gain that each rung earns.
    #[serde(rename = "gain")]
    pub gain_by_rung: Vec<f64>,
    pub shortfall_cost: f64,
}

/// Limits of a streamer that has just started.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ColdStartRules {
    /// Maximum number of streams on one streamer.
    #[serde(rename = "places")]
    pub max_streams: f64,
    /// Duration of the warm-up, the part of its full setup rate that a streamer starts at, and the multiple
    /// of its current setup rate and the window above which it crashes.
    #[serde(rename = "span")]
    pub warm_up_s: f64,
    #[serde(rename = "from")]
    pub initial_part: f64,
    #[serde(rename = "multiple")]
    pub overload_multiple: f64,
    #[serde(rename = "window")]
    pub window_s: f64,
}

/// Budget of attempts beyond the first one of each session, within a sliding window.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RetryBudget {
    #[serde(rename = "floor")]
    pub min_retries: f64,
    #[serde(rename = "share")]
    pub request_share: f64,
    #[serde(rename = "window")]
    pub window_s: f64,
}

/// Rules of one class of requests.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassRules {
    pub name: String,
    pub gain: f64,
    #[serde(rename = "paid")]
    pub at_most_once: bool,
    #[serde(rename = "floor")]
    pub min_rung: usize,
    #[serde(rename = "seats")]
    pub max_sessions_per_title: usize,
}

/// Writes records to a file. Each line is flushed to the system as a whole, so that only the last line of a
/// killed process can be incomplete.
#[derive(Clone)]
pub struct Tap {
    clock: Clock,
    endpoint: Arc<str>,
    writer: Option<Arc<Mutex<BufWriter<File>>>>,
}

impl Tap {
    /// Appends to a file; creates it if needed.
    pub fn open(path: &Path, clock: Clock, endpoint: &str) -> io::Result<Tap> {
        let file = File::options().create(true).append(true).open(path)?;
        let writer = Some(Arc::new(Mutex::new(BufWriter::with_capacity(64 * 1024, file))));
        Ok(Tap { clock, endpoint: endpoint.into(), writer })
    }

    /// A tap that records nothing.
    pub fn disabled(clock: Clock) -> Tap {
        Tap { clock, endpoint: "".into(), writer: None }
    }

    /// The same file, with records under the name of another endpoint.
    pub fn with_endpoint(&self, endpoint: &str) -> Tap {
        Tap { endpoint: endpoint.into(), ..self.clone() }
    }

    /// The tap's clock, in seconds.
    pub fn now(&self) -> f64 {
        self.clock.now()
    }

    /// Records an event at the current time.
    pub fn record(&self, event: TapEvent) {
        self.record_at(self.clock.now(), event);
    }

    /// Records an event at a given time, in seconds of the tap's clock.
    pub fn record_at(&self, at: f64, event: TapEvent) {
        let Some(writer) = &self.writer else { return };
        let record = TapRecord { at, endpoint: self.endpoint.to_string(), event };
        let Ok(mut text) = serde_json::to_vec(&record) else { return };
        text.push(b'\n');
        let mut writer = writer.lock().unwrap_or_else(PoisonError::into_inner);
        // A full disk must not stop the service; the judge then finds that records are missing.
        let _ = writer.write_all(&text).and_then(|()| writer.flush());
    }
}

/// Reads a tap. An incomplete last line, as a killed process can leave it, is ignored. Any other invalid line
/// is an error with the number of the line.
pub fn read_records(path: &Path) -> io::Result<Vec<TapRecord>> {
    let text = std::fs::read_to_string(path)?;
    let mut records = Vec::new();
    let line_count = text.lines().count();
    for (i, line) in text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty()) {
        match serde_json::from_str(line) {
            Ok(record) => records.push(record),
            Err(_) if i + 1 == line_count && !text.ends_with('\n') => {}
            Err(e) => {
                let error = format!("{}, line {}: {e}", path.display(), i + 1);
                return Err(io::Error::new(io::ErrorKind::InvalidData, error));
            }
        }
    }
    Ok(records)
}
