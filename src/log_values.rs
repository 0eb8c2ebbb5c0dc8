//! How values are written to logs. Log readers match these names, so they are kept apart from the names of the types
//! and their fields in the code.

use crate::interface::{AttemptOutcome, Load};
use std::fmt;

/// A value that is written to logs under names of its own.
pub trait LogValue {
    /// Writes the value as logs show it.
    fn fmt_log(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result;
}

/// Makes `Debug`, with which a log event writes a field, print the log form of a value.
pub struct Logged<T>(pub T);

impl<T: LogValue> fmt::Debug for Logged<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt_log(f)
    }
}

impl<T: LogValue + ?Sized> LogValue for &T {
    fn fmt_log(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        (**self).fmt_log(f)
    }
}

impl<T: LogValue> LogValue for Option<T> {
    fn fmt_log(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(&self.as_ref().map(Logged), f)
    }
}

impl<T: LogValue> LogValue for [T] {
    fn fmt_log(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_list().entries(self.iter().map(Logged)).finish()
    }
}

impl AttemptOutcome {
    /// The name of the outcome in logs; log readers match it.
    pub fn log_name(self) -> &'static str {
        match self {
            AttemptOutcome::Served => "Served",
            AttemptOutcome::Errored => "Errored",
            AttemptOutcome::Refused => "SentBack",
            AttemptOutcome::TimedOut => "TimedOut",
            AttemptOutcome::NoConnection => "NoConnection",
            AttemptOutcome::ConnectionLost => "Broken",
            AttemptOutcome::Cancelled => "Cancelled",
            AttemptOutcome::NotSent => "NotSent",
            AttemptOutcome::Unknown => "Unknown",
        }
    }
}

impl LogValue for AttemptOutcome {
    fn fmt_log(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.log_name())
    }
}

impl LogValue for Load {
    fn fmt_log(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Load { streams, link_utilization, uplink_utilization } = self;
        f.debug_struct("Load")
            .field("streams", streams)
            .field("link", link_utilization)
            .field("rack", uplink_utilization)
            .finish()
    }
}
