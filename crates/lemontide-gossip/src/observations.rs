//! Outcomes of attempts at streamers that this instance saw itself: counts that decay over time, for a bounded number
//! of streamers. Nothing that other members report enters here.

use crate::message::{Seen, MAX_TESTIMONY_STREAMERS};
use lemontide::clock::Point;
use std::collections::BTreeMap;

/// Counts halve in this time.
const HALF_LIFE_S: f64 = 4.0;
/// Most streamers that counts are kept for.
const MAX_STREAMERS: usize = 4096;
/// A streamer with fewer attempts than this, after decay, is not reported.
const MIN_REPORTED_ATTEMPTS: f64 = 0.5;

/// Decaying counts of the outcomes at one streamer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OutcomeCounts {
    /// All attempts.
    pub attempts: f64,
    /// Those of them that failed.
    pub failures: f64,
    updated_at: Point,
}

impl OutcomeCounts {
    fn decayed(&self, now: Point) -> OutcomeCounts {
        let factor = 0.5f64.powf((now - self.updated_at).seconds().max(0.0) / HALF_LIFE_S);
        OutcomeCounts { attempts: self.attempts * factor, failures: self.failures * factor, updated_at: now }
    }

    /// Failures over attempts, 0 without attempts.
    pub fn failure_ratio(&self) -> f64 {
        if self.attempts > 0.0 {
            self.failures / self.attempts
        } else {
            0.0
        }
    }
}

/// Outcome counts by streamer.
#[derive(Clone, Debug, Default)]
pub struct LocalObservations {
    by_streamer: BTreeMap<String, OutcomeCounts>,
}

impl LocalObservations {
    /// Counts the outcome of one attempt at a streamer.
    pub fn record_outcome(&mut self, now: Point, streamer: &str, succeeded: bool) {
        if !self.by_streamer.contains_key(streamer) && self.by_streamer.len() >= MAX_STREAMERS {
            self.by_streamer.retain(|_, counts| counts.decayed(now).attempts >= MIN_REPORTED_ATTEMPTS);
            if self.by_streamer.len() >= MAX_STREAMERS {
                return;
            }
        }
        let counts = self.by_streamer.entry(streamer.to_owned()).or_default();
        *counts = counts.decayed(now);
        counts.attempts += 1.0;
        counts.failures += if succeeded { 0.0 } else { 1.0 };
    }

    /// The counts of a streamer, decayed to now.
    pub fn counts(&self, now: Point, streamer: &str) -> OutcomeCounts {
        self.by_streamer.get(streamer).map_or_else(OutcomeCounts::default, |counts| counts.decayed(now))
    }

    /// The observations for a testimony: streamers with most failures first, then those with most attempts. Counts
    /// are rounded, so that the result changes only when something happened. Empty if nothing was seen lately.
    pub fn most_relevant(&self, now: Point) -> Vec<Seen> {
        let decayed = self.by_streamer.iter().map(|(name, counts)| (name, counts.decayed(now)));
        let mut reported: Vec<(&String, OutcomeCounts)> =
            decayed.filter(|(_, counts)| counts.attempts >= MIN_REPORTED_ATTEMPTS).collect();
        reported.sort_by(|a, b| {
            b.1.failures
                .total_cmp(&a.1.failures)
                .then(b.1.attempts.total_cmp(&a.1.attempts))
                .then(a.0.cmp(b.0))
        });
        let seen = |(name, counts): (&String, OutcomeCounts)| {
            let tries = counts.attempts.round().clamp(1.0, 1e6) as u32;
            let failures = (counts.failure_ratio() * f64::from(tries)).round() as u32;
            Seen { streamer: name.clone(), tries, failures: failures.min(tries) }
        };
        reported.into_iter().take(MAX_TESTIMONY_STREAMERS).map(seen).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn counts_decay_and_most_failures_are_reported_first() {
        let mut observations = LocalObservations::default();
        let at = |s: f64| Point::at(1000.0 + s);
        for i in 0..40 {
            observations.record_outcome(at(0.0), &format!("s{i:02}"), i != 30);
        }
        let reported = observations.most_relevant(at(0.1));
        assert_eq!(
            (reported.len(), reported[0].streamer.as_str(), reported[0].failures),
            (MAX_TESTIMONY_STREAMERS, "s30", 1)
        );
        assert!((observations.counts(at(4.0), "s30").failures - 0.5).abs() < 1e-9);
        assert!(observations.most_relevant(at(20.0)).is_empty());
        (0..2 * MAX_STREAMERS).for_each(|i| observations.record_outcome(at(30.0), &i.to_string(), true));
        assert!(observations.by_streamer.len() <= MAX_STREAMERS);
    }
}
