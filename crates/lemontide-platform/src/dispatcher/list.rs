//! The dispatcher's part of the list of streamers: what changes for attempts that wait for a streamer and sessions that
//! play there, and which of the streamers with the same address is the one that is there now.

use super::*;

impl Dispatcher {
    /// Applies a change of the list. Attempts that wait for a streamer that drains or is gone are withdrawn at once.
    pub fn update_list(&mut self, now: Point, hosts: &ListUpdate) {
        self.list_changes += 1;
        for entry in &hosts.streamers {
            self.update_entry(now, entry);
        }
        let mut gone = Vec::new();
        if hosts.full {
            let listed: BTreeSet<&str> = hosts.streamers.iter().map(|entry| &*entry.id).collect();
            let is_listed = |known: &KnownStreamer| listed.contains(&*known.entry.id);
            let unlisted = self.streamers.values().filter(|known| !is_listed(known));
            gone.extend(unlisted.map(|known| ListEntry { state: String::new(), ..known.entry.clone() }));
        }
        for entry in &gone {
            self.update_entry(now, entry);
        }
        let superseded = self.update_superseded();
        let changed = hosts.streamers.iter().chain(&gone);
        let entries: Vec<StreamerEntry> = changed
            .map(|entry| match self.streamers.get(&*entry.id) {
                Some(known) => known.module_entry(),
                None => entry.to_streamer_entry(),
            })
            .chain(superseded)
            .collect();
        self.controller.update_list(now, &entries, hosts.full);
        self.apply_actions(now);
        for streamer in self.streamers_to_check(&entries) {
            self.withdraw_waiting_at(now, &streamer);
            self.remove_if_gone(now, &streamer);
        }
        self.check_links(now, Span::ZERO);
        self.apply_actions(now);
    }

    /// The streamers of these entries, and those that are not ready: what waits there or is left there may end by now.
    fn streamers_to_check(&self, changed: &[StreamerEntry]) -> Vec<Arc<str>> {
        let changed: BTreeSet<&str> = changed.iter().map(|entry| &*entry.streamer).collect();
        let is_checked = |streamer: &str, known: &KnownStreamer| {
            known.state() != StreamerState::Ready || changed.contains(streamer)
        };
        let checked = self.streamers.iter().filter(|(streamer, known)| is_checked(streamer, known));
        checked.map(|(streamer, _)| streamer.clone()).collect()
    }

    /// Applies the new entry of one streamer.
    pub(super) fn update_entry(&mut self, now: Point, entry: &ListEntry) {
        let is_ready = entry.streamer_state() == StreamerState::Ready;
        let address_since = if is_ready { self.list_changes } else { 0 };
        let Some(known) = self.streamers.get_mut(&*entry.id) else {
            if entry.streamer_state() != StreamerState::Gone {
                let known = KnownStreamer {
                    entry: entry.clone(),
                    address_since,
                    is_superseded: false,
                    link_ids: Vec::new(),
                    unreachable_since: None,
                    unheard: Unheard::Nothing,
                };
                self.streamers.insert(entry.id.as_str().into(), known);
            }
            return;
        };
        let before = std::mem::replace(&mut known.entry, entry.clone());
        let is_moved = before.address != entry.address;
        let is_ready_again = is_ready && before.streamer_state() == StreamerState::Gone;
        if is_moved || is_ready_again {
            known.address_since = address_since;
        }
        if is_moved {
            // The process at the old address is not the one that the list means.
            for link in known.link_ids.clone() {
                self.close_link(now, link, ConnectionLoss::Refused, CloseReason::AddressChanged);
            }
            // Without a connection nothing was closed, and the next dial reaches the new process.
            self.end_sessions_at(now, &entry.id, |_, _| true);
        }
        if let Some(started) = entry.started_at().filter(|_| before.started_at() != entry.started_at()) {
            // The streamer was started again: sessions of the old process are over.
            self.end_sessions_at(now, &entry.id, |_, tracked| {
                tracked.playing_since.is_some_and(|since| since < started)
            });
        }
    }

    /// Finds the streamers whose address another one has got since. Returns the module's entries of those for which
    /// this has changed. The order in which a list tells of the two does not matter.
    fn update_superseded(&mut self) -> Vec<StreamerEntry> {
        let is_listed = |known: &&KnownStreamer| {
            known.entry.streamer_state() != StreamerState::Gone && !known.entry.address.is_empty()
        };
        let rank =
            |known: &KnownStreamer| (known.address_since, known.entry.started_at().unwrap_or(Point::at(0.0)));
        let mut owners: HashMap<&str, &KnownStreamer> = HashMap::new();
        for known in self.streamers.values().filter(is_listed) {
            let owner = owners.entry(&known.entry.address).or_insert(known);
            if rank(known) > rank(owner) {
                *owner = known;
            }
        }
        let is_superseded = |known: &KnownStreamer| {
            let owner = owners.get(&*known.entry.address);
            owner.is_some_and(|owner| owner.entry.id != known.entry.id && rank(owner) > rank(known))
        };
        let changed = self.streamers.iter().filter(|(_, known)| is_superseded(known) != known.is_superseded);
        let changed: Vec<Arc<str>> = changed.map(|(streamer, _)| streamer.clone()).collect();
        let mut entries = Vec::new();
        for streamer in changed {
            let Some(known) = self.streamers.get_mut(&streamer) else { continue };
            known.is_superseded = !known.is_superseded;
            let (address, is_superseded) = (&known.entry.address, known.is_superseded);
            tracing::info!(target: "streamers", streamer = &*streamer, address, is_superseded, "address has changed its owner");
            entries.push(known.module_entry());
        }
        entries
    }

    /// Withdraws attempts that wait for a streamer that gets nothing new any more.
    pub(super) fn withdraw_waiting_at(&mut self, now: Point, streamer: &str) {
        let Some(known) = self.streamers.get(streamer) else { return };
        let state = known.state();
        for link in known.link_ids.clone() {
            let Some(streamer_link) = self.links.get_mut(&link) else { continue };
            streamer_link.link.is_listed = state != StreamerState::Gone;
            if state != StreamerState::Ready {
                let attempts = self.withdraw_waiting(link);
                self.end_unbegun(now, attempts, AttemptOutcome::NotSent);
            }
        }
    }

    /// Ends what is over at a streamer that is gone, and closes its connections once no session plays and no attempt is
    /// unanswered there. It is removed then if the list does not contain it any more.
    pub(super) fn remove_if_gone(&mut self, now: Point, streamer: &str) {
        let Some(known) = self.streamers.get(streamer) else { return };
        if known.state() != StreamerState::Gone {
            return;
        }
        // A connection that is up leads to the process that the list had meant only where that has spoken on it: at the
        // same address there may be another one by now. Nothing is dialled there any more, so that nobody will report
        // the end of the other sessions.
        self.end_sessions_at(now, streamer, |dispatcher, tracked| !dispatcher.is_on_its_connection(tracked));
        let Some(known) = self.streamers.get(streamer) else { return };
        if self.sessions.values().any(|tracked| {
            &*tracked.streamer == streamer && (tracked.playing_since.is_some() || tracked.attempt.is_some())
        }) {
            return;
        }
        let is_listed = known.entry.streamer_state() != StreamerState::Gone;
        for link in known.link_ids.clone() {
            self.close_link(now, link, ConnectionLoss::Disconnected, CloseReason::StreamerGone);
            self.links.remove(&link);
        }
        match self.streamers.get_mut(streamer) {
            Some(known) if is_listed => known.link_ids.clear(),
            _ => {
                self.streamers.remove(streamer);
            }
        }
    }

    /// Whether the connection is up on which the streamer of this session spoke of it.
    fn is_on_its_connection(&self, tracked: &TrackedSession) -> bool {
        tracked.heard_on.is_some_and(|on| self.is_up(on))
    }

    /// Ends the sessions at a streamer that `which` selects: they are over, though the streamer could not report it.
    pub(super) fn end_sessions_at(
        &mut self,
        now: Point,
        streamer: &str,
        which: impl Fn(&Dispatcher, &TrackedSession) -> bool,
    ) {
        let is_there = |tracked: &TrackedSession| {
            &*tracked.streamer == streamer && tracked.playing_since.is_some() && which(self, tracked)
        };
        let ids: Vec<u32> =
            self.sessions.iter().filter(|(_, tracked)| is_there(tracked)).map(|(id, _)| *id).collect();
        if !ids.is_empty() {
            tracing::info!(target: "streamers", streamer, sessions = ids.len(), "sessions are over with their process");
        }
        for id in ids {
            self.end_session(now, id, AttemptOutcome::ConnectionLost, Load::default());
        }
    }
}
