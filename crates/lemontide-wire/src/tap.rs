//! Taps: what every socket end saw, as JSON lines on one clock. The judge reads nothing else.

use crate::clock::Clock;
use crate::list::{Entry, Stage};
use serde::{Deserialize, Serialize};
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};

/// One line. `at` is in seconds of the wall clock, `end` names the socket end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    pub at: f64,
    pub end: String,
    #[serde(flatten)]
    pub what: What,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    Plays,
    TurnedBack,
    Scrapped,
    /// Refused before it was taken, as a wish that is not valid.
    NotTaken,
    /// No answer came: the connection failed.
    None,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum How {
    Served,
    Errored,
    SentBack,
    Cancelled,
    Broken,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum What {
    // The day: its terms, and what was done to the controllers' processes.
    Terms {
        terms: Terms,
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
        doubled: u64,
    },
    Listed {
        version: u64,
        entries: Vec<Entry>,
    },
    // The controller's end.
    Up {
        controller: usize,
    },
    /// The list as this controller was told it: one line a change.
    Told {
        streamer: String,
        stage: Stage,
        started: Option<f64>,
    },
    Asked {
        ask: String,
        lane: String,
        title: String,
        cut_off: f64,
    },
    /// Just before a set-up is handed to the socket.
    Sent {
        ask: String,
        shot: u32,
        streamer: String,
        lane: String,
        title: String,
        rung: usize,
    },
    /// An outcome that came back for a shot, or the moment at which the controller stopped waiting for it.
    Heard {
        ask: String,
        shot: u32,
        how: How,
    },
    GaveUp {
        ask: String,
        shot: u32,
    },
    /// Bytes of gossip that left in the last whole second.
    Gossip {
        bytes: usize,
    },
    LinkLost {
        streamer: String,
    },
    /// Numbers of missing controllers whose turns this one takes, until then or until it says otherwise.
    Stands {
        numbers: Vec<u32>,
        until: f64,
    },
    Answered {
        ask: String,
        kind: Kind,
    },
    // The streamer's end.
    Born {
        streamer: String,
        started: f64,
    },
    Got {
        streamer: String,
        controller: usize,
        ask: String,
        shot: u32,
        lane: String,
        title: String,
        rung: usize,
    },
    Played {
        streamer: String,
        ask: String,
        shot: u32,
    },
    Done {
        streamer: String,
        ask: String,
        shot: u32,
        how: How,
    },
    Rung {
        streamer: String,
        ask: String,
        lane: String,
        rung: usize,
    },
    /// What a subscription got in the last second: seconds played, at this part of its rate.
    Given {
        streamer: String,
        ask: String,
        rung: usize,
        seconds: f64,
        share: f64,
    },
    Fell {
        streamer: String,
    },
    // The player's end.
    Ask {
        ask: String,
        viewer: String,
        controller: usize,
        lane: String,
        title: String,
        goal: f64,
        cut_off: f64,
        top: usize,
        /// Seconds that the viewer still wants.
        wanted: f64,
    },
    Answer {
        ask: String,
        kind: Kind,
    },
    /// The player gave up or left before the answer.
    Left {
        ask: String,
    },
}

/// The rules in figures, as the day states them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Terms {
    /// How long after its cut-off an answer still counts as in time, in seconds.
    pub answer_slack: f64,
    pub drain_grace: f64,
    pub cold: Cold,
    pub ration: Option<Ration>,
    pub lanes: Vec<LaneTerms>,
    /// What each rung earns, as a part of its gain.
    pub gain: Vec<f64>,
    pub shortfall_cost: f64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Cold {
    /// Streams that one streamer runs at most.
    pub places: f64,
    /// Warm-up in seconds, the part that it starts at, and the multiple and window of falling over.
    pub span: f64,
    pub from: f64,
    pub multiple: f64,
    pub window: f64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Ration {
    pub floor: f64,
    pub share: f64,
    pub window: f64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LaneTerms {
    pub name: String,
    pub gain: f64,
    pub paid: bool,
    pub floor: usize,
    pub seats: usize,
}

/// Writes lines to a file; each is handed to the system whole, so that a killed process leaves no half line
/// but its last.
#[derive(Clone)]
pub struct Tap {
    clock: Clock,
    end: Arc<str>,
    into: Option<Arc<Mutex<BufWriter<File>>>>,
}

impl Tap {
    /// Adds to a file, or makes it.
    pub fn to(path: &Path, clock: Clock, end: &str) -> io::Result<Tap> {
        let file = File::options().create(true).append(true).open(path)?;
        let into = Some(Arc::new(Mutex::new(BufWriter::with_capacity(64 * 1024, file))));
        Ok(Tap { clock, end: end.into(), into })
    }

    /// Keeps nothing.
    pub fn none(clock: Clock) -> Tap {
        Tap { clock, end: "".into(), into: None }
    }

    /// The same file under another end's name.
    pub fn named(&self, end: &str) -> Tap {
        Tap { end: end.into(), ..self.clone() }
    }

    /// The tap's clock, in seconds.
    pub fn now(&self) -> f64 {
        self.clock.now()
    }

    pub fn write(&self, what: What) {
        self.write_at(self.clock.now(), what);
    }

    pub fn write_at(&self, at: f64, what: What) {
        let Some(into) = &self.into else { return };
        let line = Line { at, end: self.end.to_string(), what };
        let Ok(mut text) = serde_json::to_vec(&line) else { return };
        text.push(b'\n');
        let mut into = into.lock().unwrap_or_else(PoisonError::into_inner);
        // A full disk must not stop the service; the judge then finds lines missing.
        let _ = into.write_all(&text).and_then(|()| into.flush());
    }
}

/// Reads a tap. A last line cut short, as a killed process leaves it, is left out; any other bad line is an
/// error that names its number.
pub fn read(path: &Path) -> io::Result<Vec<Line>> {
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
