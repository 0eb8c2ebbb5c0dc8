//! Rules that follow from the settings alone.

use super::*;

impl Policy {
    /// Most attempts of one session.
    pub(super) fn max_attempts(&self) -> u32 {
        self.number_or("shots.most", 1.0).max(1.0) as u32
    }

    /// After this time the next load report is overdue; where none comes by itself, the last one is old.
    pub(super) fn report_lifetime(&self) -> Span {
        if self.number_or("notes.every", 1.0) <= 0.0 {
            return Span::of(REPORT_STALE_S / 2.0);
        }
        get_span(&self.settings, "notes.age") + get_span(&self.settings, "notes.every") * 1.5
    }

    /// Whether a probe reports the load of a link. Otherwise three useless probes would precede every request.
    pub(super) fn probes_report_load(&self) -> bool {
        get_flag(&self.settings, "looks.allowed") && get_text(&self.settings, "links.told") != Some("never")
    }

    /// Whether anything besides a shortfall reports the utilization of links: periodic reports, answers or probes.
    pub(super) fn load_is_reported(&self) -> bool {
        let by_answers = !matches!(get_text(&self.settings, "links.told"), Some("never" | "looks"));
        by_answers || self.probes_report_load() || self.number_or("notes.every", 1.0) > 0.0
    }
}
