//! What this instance saw of the streamers itself: tries and failures that fade, bounded in number. Never hearsay.

use crate::message::{Seen, MAX_TESTIMONY_STREAMERS};
use lemontide::clock::Point;
use std::collections::BTreeMap;

/// Half of what was seen has faded after so many seconds.
const HALF_LIFE: f64 = 4.0;
/// Streamers that are remembered at most.
const STREAMERS_MOST: usize = 4096;
/// Less than this is not worth a word.
const LEAST: f64 = 0.5;

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OutcomeCounts {
    pub attempts: f64,
    pub failures: f64,
    at: Point,
}

impl OutcomeCounts {
    fn faded(&self, now: Point) -> OutcomeCounts {
        let part = 0.5f64.powf((now - self.at).seconds().max(0.0) / HALF_LIFE);
        OutcomeCounts { attempts: self.attempts * part, failures: self.failures * part, at: now }
    }

    pub fn failure_ratio(&self) -> f64 {
        if self.attempts > 0.0 {
            self.failures / self.attempts
        } else {
            0.0
        }
    }
}

#[derive(Clone, Debug, Default)]
pub struct LocalObservations {
    of: BTreeMap<String, OutcomeCounts>,
}

impl LocalObservations {
    pub fn record_outcome(&mut self, now: Point, streamer: &str, good: bool) {
        if !self.of.contains_key(streamer) && self.of.len() >= STREAMERS_MOST {
            self.of.retain(|_, tally| tally.faded(now).attempts >= LEAST);
            if self.of.len() >= STREAMERS_MOST {
                return;
            }
        }
        let tally = self.of.entry(streamer.to_owned()).or_default();
        *tally = tally.faded(now);
        tally.attempts += 1.0;
        tally.failures += if good { 0.0 } else { 1.0 };
    }

    pub fn counts(&self, now: Point, streamer: &str) -> OutcomeCounts {
        self.of.get(streamer).map_or_else(OutcomeCounts::default, |tally| tally.faded(now))
    }

    /// What is worth telling: failing streamers first, then the most tried ones; rounded, so that it changes only
    /// when something happened. Empty where nothing was seen lately.
    pub fn most_relevant(&self, now: Point) -> Vec<Seen> {
        let lately = self.of.iter().map(|(name, tally)| (name, tally.faded(now)));
        let mut told: Vec<(&String, OutcomeCounts)> =
            lately.filter(|(_, tally)| tally.attempts >= LEAST).collect();
        told.sort_by(|a, b| {
            b.1.failures
                .total_cmp(&a.1.failures)
                .then(b.1.attempts.total_cmp(&a.1.attempts))
                .then(a.0.cmp(b.0))
        });
        let seen = |(name, tally): (&String, OutcomeCounts)| {
            let tries = tally.attempts.round().clamp(1.0, 1e6) as u32;
            let failures = (tally.failure_ratio() * f64::from(tries)).round() as u32;
            Seen { streamer: name.clone(), tries, failures: failures.min(tries) }
        };
        told.into_iter().take(MAX_TESTIMONY_STREAMERS).map(seen).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_was_seen_fades_and_the_worst_is_told_first() {
        let mut evidence = LocalObservations::default();
        let at = |s: f64| Point::at(1000.0 + s);
        for i in 0..40 {
            evidence.record_outcome(at(0.0), &format!("s{i:02}"), i != 30);
        }
        let told = evidence.most_relevant(at(0.1));
        assert_eq!(
            (told.len(), told[0].streamer.as_str(), told[0].failures),
            (MAX_TESTIMONY_STREAMERS, "s30", 1)
        );
        assert!((evidence.counts(at(4.0), "s30").failures - 0.5).abs() < 1e-9);
        assert!(evidence.most_relevant(at(20.0)).is_empty());
        (0..2 * STREAMERS_MOST).for_each(|i| evidence.record_outcome(at(30.0), &i.to_string(), true));
        assert!(evidence.of.len() <= STREAMERS_MOST);
    }
}
