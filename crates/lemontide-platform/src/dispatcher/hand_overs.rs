//! The dispatcher's part of hand-overs. A client hands a session over by naming the streamer at which it plays already.
//! Until that streamer has spoken of the session, this is a claim of the client alone, which can name sessions that no
//! streamer has. Claims have limits of their own, so that they take no place from sessions that streamers know, nor
//! from new requests.

use super::*;

/// One in so many of the places for requests and sessions can be taken by hand-overs that are not confirmed.
const UNCONFIRMED_DIVISOR: usize = 2;

/// Sessions that were handed over and that their streamer has not spoken of yet.
#[derive(Default)]
pub(super) struct UnconfirmedHandOvers {
    streamer_by_id: BTreeMap<u32, Arc<str>>,
    count_by_streamer: HashMap<Arc<str>, usize>,
}

impl UnconfirmedHandOvers {
    fn insert(&mut self, id: u32, streamer: Arc<str>) {
        *self.count_by_streamer.entry(streamer.clone()).or_default() += 1;
        self.streamer_by_id.insert(id, streamer);
    }

    /// The streamer has spoken of the session, or it is not tracked any more.
    pub(super) fn remove(&mut self, id: u32) {
        let Some(streamer) = self.streamer_by_id.remove(&id) else { return };
        let Some(count) = self.count_by_streamer.get_mut(&streamer) else { return };
        *count -= 1;
        if *count == 0 {
            self.count_by_streamer.remove(&streamer);
        }
    }

    pub(super) fn contains(&self, id: u32) -> bool {
        self.streamer_by_id.contains_key(&id)
    }

    fn count(&self) -> usize {
        self.streamer_by_id.len()
    }

    fn count_at(&self, streamer: &str) -> usize {
        self.count_by_streamer.get(streamer).copied().unwrap_or_default()
    }
}

impl Dispatcher {
    /// Takes over a session that plays already. One that can't be used is ignored, as it is owed no answer; one that is
    /// over, or for which there is no room, is released to its client.
    pub(super) fn hand_over(&mut self, now: Point, of: (u64, u64), mut set_up: SetUp, read: (Point, Span)) {
        let (connection_id, session) = of;
        let Some(streamer) = set_up.plays_at().cloned() else { return };
        if self.why_unusable(of, &set_up).is_some() {
            return;
        }
        self.add_viewer_evidence(now, connection_id, ViewerEvidence::SetUp);
        // The session may be tracked already, or have ended here while its hand-over was on the way.
        if self.id_by_session.contains_key(&session) || self.ended.contains(session) {
            return;
        }
        match self.untracked_ends.find(session) {
            Some(UntrackedEnd::ByStreamer(cause::CANCELLED)) => return,
            Some(UntrackedEnd::ByStreamer(why)) => {
                let why = if why == cause::NORMAL { why } else { cause::FAILED };
                return self.refuse_hand_over(now, of, why);
            }
            Some(UntrackedEnd::ByViewer) => {
                return self.release_claimed_at_streamer(now, &streamer.as_str().into(), session)
            }
            None => {}
        }
        let listed = self.streamers.get_key_value(&*streamer);
        let Some((streamer, state)) = listed.map(|(streamer, known)| (streamer.clone(), known.state()))
        else {
            return self.refuse_hand_over(now, of, cause::FAILED);
        };
        if state == StreamerState::Gone {
            self.release_claimed_at_streamer(now, &streamer, session);
            return self.refuse_hand_over(now, of, cause::FAILED);
        }
        if !self.has_room_for_hand_over(connection_id, &streamer) {
            tracing::debug!(target: "viewers", session = format!("{session:016x}"), conn = connection_id, "no room for a hand-over");
            return self.refuse_hand_over(now, of, cause::FAILED);
        }
        let id = self.next_id();
        let request = self.build_request(id, &set_up, read);
        let deadline = request.deadline;
        let handle = self.controller.adopt(now, &request, &streamer);
        set_up.drop_payload();
        let tracked = TrackedSession::new((connection_id, session), handle, None, set_up, (read.0, deadline));
        self.unconfirmed_hand_overs.insert(id, streamer.clone());
        self.client_shares.add(connection_id, tracked.charge);
        self.sessions.insert(id, TrackedSession { streamer, playing_since: Some(now), ..tracked });
        self.id_by_session.insert(session, id);
        self.apply_actions(now);
    }

    fn has_room_for_hand_over(&self, connection_id: u64, streamer: &str) -> bool {
        let unconfirmed = &self.unconfirmed_hand_overs;
        unconfirmed.count() < self.settings.max_tracked / UNCONFIRMED_DIVISOR
            && self.client_shares.has_room(connection_id, Charge::default(), self.free_session_count())
            && self.controller.can_adopt(streamer, unconfirmed.count_at(streamer))
    }

    /// Tells the client that the session that it hands over is not kept here.
    fn refuse_hand_over(&mut self, now: Point, (connection_id, session): (u64, u64), why: u8) {
        self.owe_claim_release(now, connection_id, session, Body::release(why));
    }
}
