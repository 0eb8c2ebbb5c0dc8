//! When a request came through each step on its way, for the one line that is logged at its end.

use lemontide::clock::Point;
use lemontide_front::core::seconds;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Plays,
    Rejected,
    Failed,
    /// Its viewer cancelled it or closed its connection: no answer is owed.
    ViewerLeft,
}

/// The steps of one request; one that was not reached is missing.
#[derive(Clone, Debug, PartialEq)]
pub struct Steps {
    pub session: u64,
    pub conn: u64,
    pub outcome: Outcome,
    pub attempts: u32,
    /// How long its viewer waits, in milliseconds.
    pub wait_ms: u64,
    /// Its last byte was read from the viewer's connection.
    pub read_at: Point,
    /// The first streamer was chosen.
    pub decided_at: Option<Point>,
    /// The last attempt began to be written.
    pub begun_at: Option<Point>,
    /// The streamer's answer was read.
    pub answered_at: Option<Point>,
    /// The final answer was handed to the viewer's connection.
    pub reply_queued_at: Option<Point>,
}

impl Steps {
    /// Whether anybody reads the line.
    pub fn are_logged() -> bool {
        tracing::enabled!(target: "request", tracing::Level::DEBUG)
    }

    /// Logs the line, in milliseconds since the request was read; `written` is when the socket had taken the answer.
    pub fn log(&self, written_at: Option<Point>) {
        let ms_since_read =
            |at: Option<Point>| at.map(|at| ((at - self.read_at).seconds() * 1e6).round() / 1e3);
        tracing::debug!(
            target: "request",
            session = format!("{:016x}", self.session),
            conn = self.conn,
            outcome = ?self.outcome,
            attempts = self.attempts,
            wait_ms = self.wait_ms,
            read_s = seconds(self.read_at),
            decided_ms = ms_since_read(self.decided_at),
            begun_ms = ms_since_read(self.begun_at),
            answered_ms = ms_since_read(self.answered_at),
            said_ms = ms_since_read(self.reply_queued_at),
            written_ms = ms_since_read(written_at),
        );
    }
}
