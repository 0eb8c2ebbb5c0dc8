//! What a streamer can still take: free streams, spare rate of link and uplink, and what a session adds to them.

use super::*;

impl Controller {
    /// How many more sessions at this rung the streamer can take, `a` in phi: the smaller of its free streams and of
    /// the spare rate of its link and uplink, counted in sessions. A session that joins a stream needs no free one.
    pub(super) fn capacity(&self, now: Point, slot: usize, streamer_index: usize, rung: usize) -> f64 {
        let session = &self.sessions[slot];
        let streamer = &self.streamers[streamer_index];
        let own = streamer.own_streams;
        // The reported number expires, as only answers to own attempts update it: otherwise a streamer that was
        // full once is never used again.
        let reported = streamer
            .streams
            .filter(|_| (now - streamer.streams_reported_at).seconds() < REPORT_STALE_S / 2.0);
        let (kb, count) = self.added_load(slot, streamer_index, rung);
        let free_streams = streamer.max_streams - reported.map_or(own, |reported| reported.max(own));
        let free_streams = if count > 0.0 { free_streams } else { f64::INFINITY };
        let max_utilization = if rung == session.min_rung { MAX_UTILIZATION } else { TARGET_UTILIZATION };
        free_streams.min(self.spare_rate(now, streamer_index, max_utilization) / kb)
    }

    /// Whether another session can be adopted at a streamer that has not confirmed `unconfirmed` adopted ones. These
    /// take a part of its streams only: otherwise sessions that nobody has make it seem full, and no attempt there
    /// ever brings the report that shows how empty it is.
    pub fn can_adopt(&self, streamer: &str, unconfirmed: usize) -> bool {
        let known = self.by_name.get(streamer).map(|index| &self.streamers[*index]);
        known.is_some_and(|known| unconfirmed as f64 + 1.0 <= known.max_streams * MAX_UNCONFIRMED_PART)
    }

    /// Number of own viewers, `x` in phi, that share a live stream at this streamer and rung.
    pub(super) fn sharing_viewers(&self, slot: usize, streamer_index: usize, rung: usize) -> f64 {
        let session = &self.sessions[slot];
        let is_there = |s: &Session| s.streamer == streamer_index && s.is_placed() && s.rung == rung;
        self.sharing_sessions(session).filter(|(_, s)| is_there(s)).count() as f64
    }

    /// Own sessions that share a stream with this one where streamer and rung are the same.
    pub(super) fn sharing_sessions<'a>(
        &'a self,
        session: &'a Session,
    ) -> impl Iterator<Item = (usize, &'a Session)> {
        let shares = self.classes[session.class].is_live && self.ladder.shared_rate_part < 1.0;
        let is_alike =
            |s: &Session| (s.title, s.class) == (session.title, session.class) && s.serial != session.serial;
        self.sessions.iter().take(if shares { usize::MAX } else { 0 }).filter(move |(_, s)| is_alike(s))
    }

    /// The rate and the number of streams that a session adds at a streamer. One that joins a stream adds a part
    /// of the rate and no stream: otherwise a crowd of viewers of one live title fills, by these records, a link
    /// that is nearly empty.
    pub(super) fn added_load(&self, slot: usize, streamer_index: usize, rung: usize) -> (f64, f64) {
        let joins = self.sharing_viewers(slot, streamer_index, rung) > 0.0;
        let (part, count) = if joins { (self.ladder.shared_rate_part.max(1e-3), 0.0) } else { (1.0, 1.0) };
        (self.rate(self.sessions[slot].class, rung) * part, count)
    }

    /// Rate of a session of a class at a rung, in kB a second.
    pub(super) fn rate(&self, class: usize, rung: usize) -> f64 {
        self.ladder.rates_kb_per_s[rung] * self.classes[class].rate_scale
    }

    /// The part of the full rate that each of the sessions that share, or would share, a stream with this one takes.
    pub(super) fn shared_rate_part(&self, session: &Session) -> f64 {
        let can_share =
            |s: &Session| s.is_placed() && (!session.is_placed() || s.streamer == session.streamer);
        let others = self.sharing_sessions(session).filter(|(_, s)| can_share(s)).count() as f64;
        (1.0 + others * self.ladder.shared_rate_part) / (1.0 + others)
    }

    /// The rate that the step of a session from the rung below to this one takes of a link, and its gain per kB.
    pub(super) fn step_cost_and_gain(&self, session: &Session, rung: usize) -> (f64, f64) {
        let below = rung.checked_sub(1).filter(|below| *below >= session.min_rung);
        let kb = self.rate(session.class, rung) - below.map_or(0.0, |below| self.rate(session.class, below));
        let gain = self.ladder.gains[rung] - below.map_or(0.0, |below| self.ladder.gains[below]);
        let kb = kb * self.shared_rate_part(session);
        (kb, session.gain * gain / kb.max(1e-9))
    }

    /// Utilization of a link: the last reported one with own changes since. A link without any report, or with
    /// an old one only, counts as the mean of the fleet: otherwise it would seem empty and attract all
    /// sessions.
    pub(super) fn link_utilization(&self, now: Point, streamer_index: usize) -> f64 {
        let link = &self.streamers[streamer_index].link;
        let is_valid = |reported_at: &Point| {
            (now - *reported_at).seconds() <= REPORT_STALE_S / 2.0 || self.policy.load_is_reported()
        };
        let Some(reported_at) = link.reported_at.filter(is_valid) else {
            let others_share = 1.0 - 1.0 / self.policy.controller_count();
            return self.streamers[streamer_index].own_rate_kb / link.capacity_kb.max(1e-9)
                + others_share * self.fleet.mean_utilization.min(TARGET_UTILIZATION);
        };
        // No report is old before the next one is due: otherwise, where reports are rare, links count as the mean.
        let old_s = (now - reported_at).seconds() - REPORT_STALE_S / 2.0;
        let next_due_s =
            if old_s > 0.0 { self.policy.report_lifetime().seconds() - REPORT_STALE_S / 2.0 } else { 0.0 };
        let staleness = ((old_s - next_due_s.max(0.0)) / REPORT_STALE_S).clamp(0.0, 1.0);
        link.utilization()
            + link.reported_utilization * self.fleet.growth_since_report
            + staleness * (self.fleet.mean_utilization - link.reported_utilization).max(0.0)
    }

    /// The part of its link that a streamer can use: less than 1 while it is cold.
    pub(super) fn warm_up_part(&self, now: Point, streamer_index: usize) -> f64 {
        let cold =
            Some(&self.streamers[streamer_index]).filter(|streamer| streamer.is_cold(&self.policy, now));
        cold.map_or(1.0, |_| self.policy.number_or("cold.from", 1.0))
    }

    /// Spare rate of a streamer's link and its rack's uplink, in kB a second, up to this utilization.
    pub(super) fn spare_rate(&self, now: Point, streamer_index: usize, max_utilization: f64) -> f64 {
        let streamer = &self.streamers[streamer_index];
        let max_utilization = if now - streamer.last_probed < TICK_INTERVAL {
            max_utilization.max(PROBED_TARGET_UTILIZATION)
        } else {
            max_utilization
        };
        let spare_kb = (max_utilization * self.warm_up_part(now, streamer_index)
            - self.link_utilization(now, streamer_index))
            * streamer.link.capacity_kb;
        let uplink = &self.racks[streamer.rack];
        spare_kb.min(
            (max_utilization - self.uplink_utilization(now, streamer_index)) * uplink.capacity_kb.max(1e-9),
        )
    }

    /// Reported utilization of the uplink behind a streamer. It expires, as a rack that is no longer used sends
    /// no new reports.
    pub(super) fn reported_uplink_utilization(&self, now: Point, streamer_index: usize) -> Option<f64> {
        let uplink = &self.racks[self.streamers[streamer_index].rack];
        let is_recent = uplink
            .reported_at
            .is_some_and(|reported_at| (now - reported_at).seconds() < REPORT_STALE_S / 2.0);
        is_recent.then(|| uplink.utilization())
    }

    /// The same, or the mean of the fleet where other uplinks are reported, but not this one.
    pub(super) fn uplink_utilization(&self, now: Point, streamer_index: usize) -> f64 {
        let mean =
            self.fleet.mean_uplink_utilization.map_or(f64::NEG_INFINITY, |mean| mean.min(TARGET_UTILIZATION));
        self.reported_uplink_utilization(now, streamer_index).unwrap_or(mean)
    }

    /// Records an own change of rate and streams at a streamer.
    pub(super) fn record_change(&mut self, now: Point, streamer_index: usize, kb: f64, count: f64) {
        let Some(streamer) = self.streamers.get_mut(streamer_index) else { return };
        streamer.own_rate_kb += kb;
        streamer.own_streams += count;
        for link in [&mut streamer.link, &mut self.racks[streamer.rack]] {
            link.record_change(now, kb, now - Span::of(2.0 * REPORT_STALE_S));
        }
    }
}
