//! Which streamers hold a title, and what is forgotten once nothing refers to it. Streamers are kept in places that are
//! used again: whatever keeps the place of a streamer is corrected here when that streamer is removed.

use super::*;
use std::collections::HashSet;

/// Number of titles without a session from which these are forgotten: clients can ask for any name.
const MAX_UNUSED_TITLES: usize = 4096;

impl Controller {
    /// The title of a request. Every request states the cells of its title: a title that moved must not be requested
    /// from its old ones.
    pub(super) fn record_title(&mut self, now: Point, request: &Request) -> usize {
        let key = TitleKey::of(request.title);
        let title_index = match self.by_title.get(&key) {
            Some(index) => *index,
            None => {
                if self.titles.len() >= self.sessions.len() + MAX_UNUSED_TITLES {
                    self.remove_unused_titles(|_| false);
                }
                let index = self.titles.insert(Title::default());
                self.by_title.insert(key, index);
                index
            }
        };
        let title = &mut self.titles[title_index];
        title.last_requested = now;
        let cells = (request.first_cell, request.replicas);
        if title.cells != cells {
            (title.cells, title.holders_revision) = (cells, None);
        }
        title_index
    }

    /// Finds the holders of a title again if the mapping of streamers to cells has changed. A session that is placed
    /// again may have been requested before the change.
    pub(super) fn refresh_holders(&mut self, title_index: usize) {
        let title = &mut self.titles[title_index];
        if title.holders_revision == Some(self.list_revision) {
            return;
        }
        let cells = self.policy.number_or("cells", 1.0).max(1.0) as usize;
        let (first_cell, replicas) = title.cells;
        let holds = |s: &Streamer| (s.cell + cells - first_cell % cells) % cells < replicas;
        let holders = self.streamers.iter().filter(|(_, s)| holds(s));
        title.holders = holders.map(|(index, _)| index).collect();
        title.holders_revision = Some(self.list_revision);
    }

    /// Removes streamers that left the list and titles that are no longer requested, once no session refers to
    /// them: otherwise memory grows with every new name.
    pub(super) fn remove_unused(&mut self, now: Point) {
        let retention = get_span(&self.policy.settings, "cold.span").max(Span::of(2.0 * REPORT_STALE_S));
        let sessions = &self.sessions;
        let is_used = |index: usize| {
            sessions.iter().any(|(_, s)| s.streamer == index || s.first_error_streamer == Some(index))
        };
        let count_before = self.streamers.len();
        self.streamers.retain(|index, s| {
            s.unlisted_since.is_none_or(|since| now - since <= retention) || is_used(index)
        });
        self.remove_unused_titles(|title| now - title.last_requested <= retention);
        if self.streamers.len() < count_before {
            self.forget_removed_places();
        }
    }

    /// Removes the titles that no session refers to, except for some.
    fn remove_unused_titles(&mut self, is_kept: impl Fn(&Title) -> bool) {
        let used: HashSet<usize> = self.sessions.iter().map(|(_, session)| session.title).collect();
        self.titles.retain(|index, title| is_kept(title) || used.contains(&index));
        self.by_title.retain(|_, index| self.titles.contains(*index));
    }

    /// Corrects what keeps places of streamers, before another streamer gets one of them.
    fn forget_removed_places(&mut self) {
        self.list_revision += 1;
        self.by_name.retain(|_, index| self.streamers.contains(*index));
        for (_, title) in &mut self.titles {
            title.holders.retain(|index| self.streamers.contains(*index));
            title.preferred_holder =
                title.preferred_holder.filter(|(index, _)| self.streamers.contains(*index));
        }
    }

    /// Numbers of streamers and of titles of which anything is known.
    pub fn known_counts(&self) -> (usize, usize) {
        (self.streamers.len(), self.titles.len())
    }
}
