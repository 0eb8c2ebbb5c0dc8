//! What follows from the settings alone.

use super::*;

impl HouseRules {
    /// Shots of one subscription at most.
    pub(super) fn shots_most(&self) -> u32 {
        self.number_or("shots.most", 1.0).max(1.0) as u32
    }

    /// After so long the next note is overdue; where none comes by itself, what was told is old.
    pub(super) fn lapse(&self) -> Span {
        if self.number_or("notes.every", 1.0) <= 0.0 {
            return Span::of(STALE / 2.0);
        }
        get_span(&self.sheet, "notes.age") + get_span(&self.sheet, "notes.every") * 1.5
    }

    /// Whether a look brings news of a link. Symptom: looks that tell nothing, three before every wish.
    pub(super) fn looks_tell(&self) -> bool {
        get_flag(&self.sheet, "looks.allowed") && get_text(&self.sheet, "links.told") != Some("never")
    }

    /// Whether anything tells how full links are, but for short delivery: notes, answers or looks.
    pub(super) fn tells(&self) -> bool {
        let by_answers = !matches!(get_text(&self.sheet, "links.told"), Some("never" | "looks"));
        by_answers || self.looks_tell() || self.number_or("notes.every", 1.0) > 0.0
    }
}
