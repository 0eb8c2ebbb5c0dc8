//! The times at which a request passed each step, for one log line at its end.

use lemontide::clock::Point;
use lemontide_front::core::seconds;

/// How a request ended. The names are values of the log field `outcome`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Its session plays.
    Plays,
    /// It was rejected: to repeat it is harmless.
    Rejected,
    /// It failed.
    Failed,
    /// Its viewer cancelled it or closed its connection: no answer is owed.
    ViewerLeft,
}

/// The steps of one request. A step that was not reached has no time.
#[derive(Clone, Debug, PartialEq)]
pub struct Steps {
    /// Session number of the request.
    pub session: u64,
    /// The viewer connection that it was read on.
    pub conn: u64,
    /// How it ended.
    pub outcome: Outcome,
    /// Number of attempts that were decided for it.
    pub attempts: u32,
    /// How long its viewer waits, in milliseconds.
    pub wait_ms: u64,
    /// When its last byte was read from the viewer connection.
    pub read_at: Point,
    /// When the first streamer was chosen.
    pub decided_at: Option<Point>,
    /// When the last attempt began to be written.
    pub begun_at: Option<Point>,
    /// When the streamer's answer was read.
    pub answered_at: Option<Point>,
    /// When the final answer was passed to the viewer connection.
    pub reply_queued_at: Option<Point>,
}

impl Steps {
    /// Whether the log line is enabled.
    pub fn are_logged() -> bool {
        tracing::enabled!(target: "request", tracing::Level::DEBUG)
    }

    /// Logs the line, in milliseconds since the request was read. `written_at` is when the socket had taken the answer.
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
