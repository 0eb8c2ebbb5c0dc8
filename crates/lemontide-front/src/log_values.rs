//! How this crate's values are written to logs. Log readers match these names, so they are kept apart from the names of
//! the types and their fields in the code.

use crate::core::AbandonedAttempt;
use lemontide::log_values::{LogValue, Logged};
use std::fmt;

impl LogValue for AbandonedAttempt {
    fn fmt_log(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let AbandonedAttempt { connection, connection_closed, is_first_attempt, outcome, test } = self;
        f.debug_struct("GivenUp")
            .field("on", connection)
            .field("is_closed", connection_closed)
            .field("is_first", is_first_attempt)
            .field("ending", &Logged(outcome))
            .field("test", test)
            .finish()
    }
}
