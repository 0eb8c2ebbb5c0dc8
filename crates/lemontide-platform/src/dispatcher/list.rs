//! The dispatcher's part of the list of streamers: what changes for attempts that wait for a streamer and sessions that
//! play there.

use super::*;

impl Dispatcher {
    /// Applies a change of the list. Attempts that wait for a streamer that drains or is gone are withdrawn at once.
    pub fn update_list(&mut self, now: Point, hosts: &ListUpdate) {
        let mut entries: Vec<StreamerEntry> =
            hosts.streamers.iter().map(ListEntry::to_streamer_entry).collect();
        for entry in &hosts.streamers {
            self.update_entry(now, entry);
        }
        if hosts.full {
            let is_listed =
                |known: &KnownStreamer| hosts.streamers.iter().any(|entry| entry.id == known.entry.id);
            let gone = self.streamers.values().filter(|known| !is_listed(known));
            let gone: Vec<ListEntry> =
                gone.map(|known| ListEntry { state: String::new(), ..known.entry.clone() }).collect();
            for entry in &gone {
                self.update_entry(now, entry);
            }
            entries.extend(gone.iter().map(ListEntry::to_streamer_entry));
        }
        self.controller.update_list(now, &entries, hosts.full);
        self.apply_actions(now);
        let names: Vec<Arc<str>> = self.streamers.keys().cloned().collect();
        for streamer in names {
            self.withdraw_waiting_at(now, &streamer);
            self.remove_if_gone(now, &streamer);
        }
        self.check_links(now, Span::ZERO);
        self.apply_actions(now);
    }

    /// Applies the new entry of one streamer.
    pub(super) fn update_entry(&mut self, now: Point, entry: &ListEntry) {
        let Some(known) = self.streamers.get_mut(&*entry.id) else {
            if entry.streamer_state() != StreamerState::Gone {
                let known =
                    KnownStreamer { entry: entry.clone(), link_ids: Vec::new(), unreachable_since: None };
                self.streamers.insert(entry.id.as_str().into(), known);
            }
            return;
        };
        let before = std::mem::replace(&mut known.entry, entry.clone());
        if before.address != entry.address {
            // The process at the old address is not the one that the list means.
            for link in known.link_ids.clone() {
                self.close_link(now, link, ConnectionLoss::Refused, CloseReason::AddressChanged);
            }
        }
        if let Some(started) = entry.started_at().filter(|_| before.started_at() != entry.started_at()) {
            // The streamer was started again: sessions of the old process are over.
            self.end_sessions_at(now, &entry.id, |since| since < started);
        }
    }

    /// Withdraws attempts that wait for a streamer that gets nothing new any more.
    pub(super) fn withdraw_waiting_at(&mut self, now: Point, streamer: &str) {
        let Some(known) = self.streamers.get(streamer) else { return };
        let state = known.entry.streamer_state();
        for link in known.link_ids.clone() {
            let Some(streamer_link) = self.links.get_mut(&link) else { continue };
            streamer_link.link.is_listed = state != StreamerState::Gone;
            if state != StreamerState::Ready {
                let attempts = self.withdraw_waiting(link);
                self.end_unbegun(now, attempts, AttemptOutcome::NotSent);
            }
        }
    }

    /// Removes a streamer that is gone, once no session plays and no attempt is unanswered there.
    pub(super) fn remove_if_gone(&mut self, now: Point, streamer: &str) {
        let Some(known) =
            self.streamers.get(streamer).filter(|known| known.entry.streamer_state() == StreamerState::Gone)
        else {
            return;
        };
        let is_up = |link: &u64| self.links.get(link).is_some_and(|streamer_link| streamer_link.link.is_up());
        let links = known.link_ids.clone();
        let has_connection = links.iter().any(is_up);
        tracing::info!(target: "streamers", streamer, has_connection, "gone from the list");
        if !has_connection {
            // Its address may belong to another streamer by now. It is not dialled any more, so it will not report the
            // end of its sessions.
            self.end_sessions_at(now, streamer, |_| true);
        }
        if self.sessions.values().any(|tracked| {
            &*tracked.streamer == streamer && (tracked.playing_since.is_some() || tracked.attempt.is_some())
        }) {
            return;
        }
        for link in links {
            self.close_link(now, link, ConnectionLoss::Disconnected, CloseReason::StreamerGone);
            self.links.remove(&link);
        }
        self.streamers.remove(streamer);
    }

    /// Ends the sessions at a streamer whose start of play `when` selects: they are over, though the streamer could not
    /// report it.
    pub(super) fn end_sessions_at(&mut self, now: Point, streamer: &str, when: impl Fn(Point) -> bool) {
        let is_there = |tracked: &TrackedSession| {
            &*tracked.streamer == streamer && tracked.playing_since.is_some_and(&when)
        };
        let ids: Vec<u32> =
            self.sessions.iter().filter(|(_, tracked)| is_there(tracked)).map(|(id, _)| *id).collect();
        for id in ids {
            self.end_session(now, id, AttemptOutcome::ConnectionLost, Load::default());
        }
    }
}
