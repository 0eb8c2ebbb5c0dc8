//! What a streamer can take: free places, spare link and uplink, and what a subscription adds to them.

use super::*;

impl Controller {
    /// a(i) = min(k, n): free streams, and spare link and uplink in subscriptions at this rung.
    pub(super) fn capacity(&self, now: Point, place: usize, at: usize, rung: usize) -> f64 {
        let held = &self.sessions[place];
        let streamer = &self.streamers[at];
        let own = streamer.own_streams;
        // It lapses, as only own set-ups and their ends bring it. Symptom: once full, never asked again.
        let told = streamer.streams.filter(|_| (now - streamer.streams_reported_at).seconds() < STALE / 2.0);
        let (kb, count) = self.added_load(place, at, rung);
        let k = streamer.max_streams - told.map_or(own, |told| told.max(own));
        let k = if count > 0.0 { k } else { f64::INFINITY };
        let fill = if rung == held.min_rung { BRIM } else { FILL };
        k.min(self.spare_rate(now, at, fill) / kb)
    }

    /// x: own viewers that share a live stream at this streamer and rung.
    pub(super) fn sharing_viewers(&self, place: usize, at: usize, rung: usize) -> f64 {
        let held = &self.sessions[place];
        let there = |s: &Session| s.streamer == at && s.is_placed() && s.rung == rung;
        self.sharing_sessions(held).filter(|(_, s)| there(s)).count() as f64
    }

    /// Own subscriptions that share a stream with this one where streamer and rung are the same.
    pub(super) fn sharing_sessions<'a>(
        &'a self,
        held: &'a Session,
    ) -> impl Iterator<Item = (usize, &'a Session)> {
        let shares = self.classes[held.class].is_live && self.ladder.shared_rate_part < 1.0;
        let alike = |s: &Session| (s.title, s.class) == (held.title, held.class) && s.serial != held.serial;
        self.sessions.iter().take(if shares { usize::MAX } else { 0 }).filter(move |(_, s)| alike(s))
    }

    /// What a subscription takes of a streamer's link and places: one that joins a stream adds a part of the
    /// rate and takes no place. Symptom: a crowd before one live title fills a link that is nearly empty.
    pub(super) fn added_load(&self, place: usize, at: usize, rung: usize) -> (f64, f64) {
        let joins = self.sharing_viewers(place, at, rung) > 0.0;
        let (part, count) = if joins { (self.ladder.shared_rate_part.max(1e-3), 0.0) } else { (1.0, 1.0) };
        (self.rate(self.sessions[place].class, rung) * part, count)
    }

    pub(super) fn rate(&self, lane: usize, rung: usize) -> f64 {
        self.ladder.rates_kb_per_s[rung] * self.classes[lane].rate_scale
    }

    /// The part of a rate that falls to each of those who share, or would share, a stream with this one.
    pub(super) fn shared_rate_part(&self, held: &Session) -> f64 {
        let near = |s: &Session| s.is_placed() && (!held.is_placed() || s.streamer == held.streamer);
        let mates = self.sharing_sessions(held).filter(|(_, s)| near(s)).count() as f64;
        (1.0 + mates * self.ladder.shared_rate_part) / (1.0 + mates)
    }

    /// What a subscription's step from the rung below up to this one takes of a link, and earns per kB.
    pub(super) fn step_cost_and_gain(&self, held: &Session, rung: usize) -> (f64, f64) {
        let below = rung.checked_sub(1).filter(|below| *below >= held.min_rung);
        let kb = self.rate(held.class, rung) - below.map_or(0.0, |below| self.rate(held.class, below));
        let gain = self.ladder.gains[rung] - below.map_or(0.0, |below| self.ladder.gains[below]);
        let kb = kb * self.shared_rate_part(held);
        (kb, held.gain * gain / kb.max(1e-9))
    }

    /// Fullness of a link as told, with own changes since; what was never told, or long ago, counts as the
    /// fleet's mean. Symptom: a silent or new link that looks empty draws everything.
    pub(super) fn link_utilization(&self, now: Point, at: usize) -> f64 {
        let link = &self.streamers[at].link;
        let lasts = |told: &Point| (now - *told).seconds() <= STALE / 2.0 || self.policy.load_is_reported();
        let Some(told) = link.reported_at.filter(lasts) else {
            let others = 1.0 - 1.0 / self.policy.controller_count();
            return self.streamers[at].own_rate_kb / link.capacity_kb.max(1e-9)
                + others * self.fleet.mean_utilization.min(FILL);
        };
        // Nothing is old before the next note is due. Symptom: rare notes, and links that look like the mean.
        let old = (now - told).seconds() - STALE / 2.0;
        let due = if old > 0.0 { self.policy.report_lifetime().seconds() - STALE / 2.0 } else { 0.0 };
        let stale = ((old - due.max(0.0)) / STALE).clamp(0.0, 1.0);
        link.utilization()
            + link.reported_utilization * self.fleet.growth_since_report
            + stale * (self.fleet.mean_utilization - link.reported_utilization).max(0.0)
    }

    /// A cold streamer's link is cold too.
    pub(super) fn warm_up_part(&self, now: Point, at: usize) -> f64 {
        let cold = Some(&self.streamers[at]).filter(|streamer| streamer.is_cold(&self.policy, now));
        cold.map_or(1.0, |_| self.policy.number_or("cold.from", 1.0))
    }

    /// Spare kB a second of a streamer's link and its rack's uplink, under the fill that is aimed at.
    pub(super) fn spare_rate(&self, now: Point, at: usize, fill: f64) -> f64 {
        let streamer = &self.streamers[at];
        let fill = if now - streamer.last_probed < BEAT { fill.max(LOOKED_FILL) } else { fill };
        let room =
            (fill * self.warm_up_part(now, at) - self.link_utilization(now, at)) * streamer.link.capacity_kb;
        let uplink = &self.racks[streamer.rack];
        room.min((fill - self.uplink_utilization(now, at)) * uplink.capacity_kb.max(1e-9))
    }

    /// Fullness of the uplink behind a streamer, as told. It lapses: a rack out of use tells nothing new.
    pub(super) fn reported_uplink_utilization(&self, now: Point, at: usize) -> Option<f64> {
        let uplink = &self.racks[self.streamers[at].rack];
        let told = uplink.reported_at.is_some_and(|told| (now - told).seconds() < STALE / 2.0);
        told.then(|| uplink.utilization())
    }

    /// The same, or the fleet's mean where uplinks are told of, but not this one.
    pub(super) fn uplink_utilization(&self, now: Point, at: usize) -> f64 {
        let mean = self.fleet.mean_uplink_utilization.map_or(f64::NEG_INFINITY, |mean| mean.min(FILL));
        self.reported_uplink_utilization(now, at).unwrap_or(mean)
    }

    /// Enters an own change at a streamer into its accounts.
    pub(super) fn record_change(&mut self, now: Point, at: usize, kb: f64, count: f64) {
        let Some(streamer) = self.streamers.get_mut(at) else { return };
        streamer.own_rate_kb += kb;
        streamer.own_streams += count;
        for pipe in [&mut streamer.link, &mut self.racks[streamer.rack]] {
            pipe.record_change(now, kb, now - Span::of(2.0 * STALE));
        }
    }
}
