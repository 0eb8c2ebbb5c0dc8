//! What a streamer can take: free places, spare link and uplink, and what a subscription adds to them.

use super::*;

impl Controller {
    /// a(i) = min(k, n): free streams, and spare link and uplink in subscriptions at this rung.
    pub(super) fn capacity(&self, now: Point, place: usize, at: usize, rung: usize) -> f64 {
        let held = &self.held[place];
        let streamer = &self.streamers[at];
        let own = streamer.own_count;
        // It lapses, as only own set-ups and their ends bring it. Symptom: once full, never asked again.
        let told = streamer.streams.filter(|_| (now - streamer.counted).seconds() < STALE / 2.0);
        let (kb, count) = self.takes(place, at, rung);
        let k = streamer.places - told.map_or(own, |told| told.max(own));
        let k = if count > 0.0 { k } else { f64::INFINITY };
        let fill = if rung == held.floor { BRIM } else { FILL };
        k.min(self.room(now, at, fill) / kb)
    }

    /// x: own viewers that share a live stream at this streamer and rung.
    pub(super) fn shared(&self, place: usize, at: usize, rung: usize) -> f64 {
        let held = &self.held[place];
        let there = |s: &Subscription| s.streamer == at && s.seated() && s.rung == rung;
        self.mates(held).filter(|(_, s)| there(s)).count() as f64
    }

    /// Own subscriptions that share a stream with this one where streamer and rung are the same.
    pub(super) fn mates<'a>(
        &'a self,
        held: &'a Subscription,
    ) -> impl Iterator<Item = (usize, &'a Subscription)> {
        let shares = self.lanes[held.lane].live && self.ladder.join < 1.0;
        let alike =
            |s: &Subscription| (s.title, s.lane) == (held.title, held.lane) && s.serial != held.serial;
        self.held.iter().take(if shares { usize::MAX } else { 0 }).filter(move |(_, s)| alike(s))
    }

    /// What a subscription takes of a streamer's link and places: one that joins a stream adds a part of the
    /// rate and takes no place. Symptom: a crowd before one live title fills a link that is nearly empty.
    pub(super) fn takes(&self, place: usize, at: usize, rung: usize) -> (f64, f64) {
        let joins = self.shared(place, at, rung) > 0.0;
        let (part, count) = if joins { (self.ladder.join.max(1e-3), 0.0) } else { (1.0, 1.0) };
        (self.rate(self.held[place].lane, rung) * part, count)
    }

    pub(super) fn rate(&self, lane: usize, rung: usize) -> f64 {
        self.ladder.kb[rung] * self.lanes[lane].scale
    }

    /// The part of a rate that falls to each of those who share, or would share, a stream with this one.
    pub(super) fn part(&self, held: &Subscription) -> f64 {
        let near = |s: &Subscription| s.seated() && (!held.seated() || s.streamer == held.streamer);
        let mates = self.mates(held).filter(|(_, s)| near(s)).count() as f64;
        (1.0 + mates * self.ladder.join) / (1.0 + mates)
    }

    /// What a subscription's step from the rung below up to this one takes of a link, and earns per kB.
    pub(super) fn step(&self, held: &Subscription, rung: usize) -> (f64, f64) {
        let below = rung.checked_sub(1).filter(|below| *below >= held.floor);
        let kb = self.rate(held.lane, rung) - below.map_or(0.0, |below| self.rate(held.lane, below));
        let gain = self.ladder.gain[rung] - below.map_or(0.0, |below| self.ladder.gain[below]);
        let kb = kb * self.part(held);
        (kb, held.gain * gain / kb.max(1e-9))
    }

    /// Fullness of a link as told, with own changes since; what was never told, or long ago, counts as the
    /// fleet's mean. Symptom: a silent or new link that looks empty draws everything.
    pub(super) fn fullness(&self, now: Point, at: usize) -> f64 {
        let link = &self.streamers[at].link;
        let lasts = |told: &Point| (now - *told).seconds() <= STALE / 2.0 || self.rules.tells();
        let Some(told) = link.told.filter(lasts) else {
            let others = 1.0 - 1.0 / self.rules.controllers();
            return self.streamers[at].own_kb / link.kb.max(1e-9) + others * self.fleet.mean_full.min(FILL);
        };
        // Nothing is old before the next note is due. Symptom: rare notes, and links that look like the mean.
        let old = (now - told).seconds() - STALE / 2.0;
        let due = if old > 0.0 { self.rules.lapse().seconds() - STALE / 2.0 } else { 0.0 };
        let stale = ((old - due.max(0.0)) / STALE).clamp(0.0, 1.0);
        link.fullness() + link.full * self.fleet.growth + stale * (self.fleet.mean_full - link.full).max(0.0)
    }

    /// A cold streamer's link is cold too.
    pub(super) fn warmth(&self, now: Point, at: usize) -> f64 {
        let cold = Some(&self.streamers[at]).filter(|streamer| streamer.is_cold(&self.rules, now));
        cold.map_or(1.0, |_| self.rules.number_or("cold.from", 1.0))
    }

    /// Spare kB a second of a streamer's link and its rack's uplink, under the fill that is aimed at.
    pub(super) fn room(&self, now: Point, at: usize, fill: f64) -> f64 {
        let streamer = &self.streamers[at];
        let fill = if now - streamer.looked < BEAT { fill.max(LOOKED_FILL) } else { fill };
        let room = (fill * self.warmth(now, at) - self.fullness(now, at)) * streamer.link.kb;
        let uplink = &self.racks[streamer.rack];
        room.min((fill - self.uplink_fullness(now, at)) * uplink.kb.max(1e-9))
    }

    /// Fullness of the uplink behind a streamer, as told. It lapses: a rack out of use tells nothing new.
    pub(super) fn told_uplink(&self, now: Point, at: usize) -> Option<f64> {
        let uplink = &self.racks[self.streamers[at].rack];
        let told = uplink.told.is_some_and(|told| (now - told).seconds() < STALE / 2.0);
        told.then(|| uplink.fullness())
    }

    /// The same, or the fleet's mean where uplinks are told of, but not this one.
    pub(super) fn uplink_fullness(&self, now: Point, at: usize) -> f64 {
        let mean = self.fleet.mean_uplink.map_or(f64::NEG_INFINITY, |mean| mean.min(FILL));
        self.told_uplink(now, at).unwrap_or(mean)
    }

    /// Enters an own change at a streamer into its accounts.
    pub(super) fn book(&mut self, now: Point, at: usize, kb: f64, count: f64) {
        let Some(streamer) = self.streamers.get_mut(at) else { return };
        streamer.own_kb += kb;
        streamer.own_count += count;
        for pipe in [&mut streamer.link, &mut self.racks[streamer.rack]] {
            pipe.book(now, kb, now - Span::of(2.0 * STALE));
        }
    }
}
