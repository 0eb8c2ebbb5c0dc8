//! The dispatcher's part of the list of streamers: what is told of them, and what follows for what waits or plays there.

use super::*;

impl Dispatcher {
    /// Takes news of the list. What waits for a streamer that drains or is gone is taken back at once.
    pub fn learn(&mut self, now: Point, hosts: &ListUpdate) {
        let mut lines: Vec<StreamerEntry> =
            hosts.streamers.iter().map(ListEntry::to_streamer_entry).collect();
        for entry in &hosts.streamers {
            self.learn_of(now, entry);
        }
        if hosts.full {
            let named = |known: &Known| hosts.streamers.iter().any(|entry| entry.id == known.entry.id);
            let gone = self.known.values().filter(|known| !named(known));
            let gone: Vec<ListEntry> =
                gone.map(|k| ListEntry { state: String::new(), ..k.entry.clone() }).collect();
            for entry in &gone {
                self.learn_of(now, entry);
            }
            lines.extend(gone.iter().map(ListEntry::to_streamer_entry));
        }
        self.module.update_list(now, &lines, hosts.full);
        self.carry_out(now);
        let names: Vec<Arc<str>> = self.known.keys().cloned().collect();
        for at in names {
            self.take_back(now, &at);
            self.forget(now, &at);
        }
        self.look_after_links(now, Span::ZERO);
        self.carry_out(now);
    }

    pub(super) fn learn_of(&mut self, now: Point, entry: &ListEntry) {
        let Some(known) = self.known.get_mut(&*entry.id) else {
            if entry.streamer_state() != StreamerState::Gone {
                let known = Known { entry: entry.clone(), links: Vec::new(), dark: None };
                self.known.insert(entry.id.as_str().into(), known);
            }
            return;
        };
        let before = std::mem::replace(&mut known.entry, entry.clone());
        if before.address != entry.address {
            // The process at the old address is not the one that the list means.
            for link in known.links.clone() {
                self.hang(now, link, Loss::Refused, CloseReason::AddressChanged);
            }
        }
        if let Some(started) = entry.started_at().filter(|_| before.started_at() != entry.started_at()) {
            // A new process: what stood in the old one is over.
            self.cut(now, &entry.id, |since| since < started);
        }
    }

    /// Takes back what waits for a streamer that gets nothing new any more.
    pub(super) fn take_back(&mut self, now: Point, at: &str) {
        let Some(known) = self.known.get(at) else { return };
        let stage = known.entry.streamer_state();
        for link in known.links.clone() {
            let Some(wire) = self.wires.get_mut(&link) else { continue };
            wire.link.wanted = stage != StreamerState::Gone;
            if stage != StreamerState::Ready {
                let shots = self.withdraw_waiting(link);
                self.never_began(now, shots, AttemptOutcome::NotSent);
            }
        }
    }

    /// Lets go of a streamer that is gone, once nothing is left of it.
    pub(super) fn forget(&mut self, now: Point, at: &str) {
        let Some(known) =
            self.known.get(at).filter(|known| known.entry.streamer_state() == StreamerState::Gone)
        else {
            return;
        };
        let up = |link: &u64| self.wires.get(link).is_some_and(|wire| wire.link.is_up());
        let links = known.links.clone();
        if !links.iter().any(up) {
            // Its address may be another's by now: nobody is asked there, and nobody will tell.
            self.cut(now, at, |_| true);
        }
        if self
            .held
            .values()
            .any(|held| &*held.at == at && (held.playing.is_some() || held.attempt.is_some()))
        {
            return;
        }
        for link in links {
            self.hang(now, link, Loss::Broke, CloseReason::StreamerGone);
            self.wires.remove(&link);
        }
        self.known.remove(at);
    }

    /// What stands at a streamer since a moment that `when` picks is over, though nobody could say so.
    pub(super) fn cut(&mut self, now: Point, at: &str, when: impl Fn(Point) -> bool) {
        let there = |held: &Held| &*held.at == at && held.playing.is_some_and(&when);
        let ids: Vec<u32> = self.held.iter().filter(|(_, held)| there(held)).map(|(id, _)| *id).collect();
        for id in ids {
            self.stream_over(now, id, AttemptOutcome::ConnectionLost, Load::default());
        }
    }
}
