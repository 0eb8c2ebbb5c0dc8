//! Taps: what every socket endpoint saw, as JSON lines on one clock. The judge reads nothing else.

use crate::clock::Clock;
use crate::list::{ListEntry, StreamerState};
use serde::{Deserialize, Serialize};
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};

/// One line of a tap. `at` is in seconds of the wall clock, `endpoint` names the socket endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TapRecord {
    pub at: f64,
    #[serde(rename = "end")]
    pub endpoint: String,
    #[serde(flatten)]
    pub event: TapEvent,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ResponseKind {
    Plays,
    #[serde(rename = "turned_back")]
    Rejected,
    #[serde(rename = "scrapped")]
    Failed,
    /// Not accepted at all, as an invalid request.
    #[serde(rename = "not_taken")]
    NotAccepted,
    /// No answer came: the connection failed.
    #[serde(rename = "none")]
    NoResponse,
}

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

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum TapEvent {
    // The day: its rules, and what was done to the controllers' processes.
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
    /// It was asked to leave in order.
    Leaving {
        controller: usize,
    },
    /// What stood between two ends did to their traffic over the day.
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
    /// Just before an attempt is written to the socket.
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
    /// The outcome of an attempt that came back.
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
    /// Bytes of gossip that left in the last whole second.
    #[serde(rename = "gossip")]
    GossipSent {
        bytes: usize,
    },
    LinkLost {
        streamer: String,
    },
    /// Numbers of missing controllers whose turns this one takes, until then or until it says otherwise.
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
    /// What a session got in the last second: seconds played, at this part of its rate.
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
        /// Seconds that the viewer still wants.
        #[serde(rename = "wanted")]
        wanted_s: f64,
    },
    #[serde(rename = "answer")]
    ResponseReceived {
        #[serde(rename = "ask")]
        request_id: String,
        kind: ResponseKind,
    },
    /// The player gave up or left before the answer.
    #[serde(rename = "left")]
    ViewerLeft {
        #[serde(rename = "ask")]
        request_id: String,
    },
}

/// The rules in figures, as the day states them.
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
    /// What each rung earns, as a part of its gain.
    #[serde(rename = "gain")]
    pub gain_by_rung: Vec<f64>,
    pub shortfall_cost: f64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ColdStartRules {
    /// Streams that one streamer runs at most.
    #[serde(rename = "places")]
    pub max_streams: f64,
    /// Warm-up in seconds, the part that it starts at, and the multiple and window of falling over.
    #[serde(rename = "span")]
    pub warm_up_s: f64,
    #[serde(rename = "from")]
    pub initial_part: f64,
    #[serde(rename = "multiple")]
    pub overload_multiple: f64,
    #[serde(rename = "window")]
    pub window_s: f64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RetryBudget {
    #[serde(rename = "floor")]
    pub min_retries: f64,
    #[serde(rename = "share")]
    pub request_share: f64,
    #[serde(rename = "window")]
    pub window_s: f64,
}

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

/// Writes lines to a file; each is handed to the system whole, so that a killed process leaves no half line
/// but its last.
#[derive(Clone)]
pub struct Tap {
    clock: Clock,
    endpoint: Arc<str>,
    into: Option<Arc<Mutex<BufWriter<File>>>>,
}

impl Tap {
    /// Adds to a file, or makes it.
    pub fn open(path: &Path, clock: Clock, endpoint: &str) -> io::Result<Tap> {
        let file = File::options().create(true).append(true).open(path)?;
        let into = Some(Arc::new(Mutex::new(BufWriter::with_capacity(64 * 1024, file))));
        Ok(Tap { clock, endpoint: endpoint.into(), into })
    }

    /// Keeps nothing.
    pub fn disabled(clock: Clock) -> Tap {
        Tap { clock, endpoint: "".into(), into: None }
    }

    /// The same file under another end's name.
    pub fn with_endpoint(&self, endpoint: &str) -> Tap {
        Tap { endpoint: endpoint.into(), ..self.clone() }
    }

    /// The tap's clock, in seconds.
    pub fn now(&self) -> f64 {
        self.clock.now()
    }

    pub fn record(&self, event: TapEvent) {
        self.record_at(self.clock.now(), event);
    }

    pub fn record_at(&self, at: f64, event: TapEvent) {
        let Some(into) = &self.into else { return };
        let line = TapRecord { at, endpoint: self.endpoint.to_string(), event };
        let Ok(mut text) = serde_json::to_vec(&line) else { return };
        text.push(b'\n');
        let mut into = into.lock().unwrap_or_else(PoisonError::into_inner);
        // A full disk must not stop the service; the judge then finds lines missing.
        let _ = into.write_all(&text).and_then(|()| into.flush());
    }
}

/// Reads a tap. A last line cut short, as a killed process leaves it, is left out; any other bad line is an
/// error that names its number.
pub fn read_records(path: &Path) -> io::Result<Vec<TapRecord>> {
    let text = std::fs::read_to_string(path)?;
    let mut lines = Vec::new();
    let last = text.lines().count();
    for (i, line) in text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty()) {
        match serde_json::from_str(line) {
            Ok(line) => lines.push(line),
            Err(_) if i + 1 == last && !text.ends_with('\n') => {}
            Err(e) => {
                let what = format!("{}, line {}: {e}", path.display(), i + 1);
                return Err(io::Error::new(io::ErrorKind::InvalidData, what));
            }
        }
    }
    Ok(lines)
}
