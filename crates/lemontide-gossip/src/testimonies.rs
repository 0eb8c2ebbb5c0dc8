//! What other members report about streamers, and how far to believe it. The weight of a report depends on how many
//! independent signers make it, on how well each signer's earlier reports agreed with local observations, and on its
//! age; successes seen here outweigh it. The reports of one signer alone are never believed.

use crate::authentication::SignerKey;
use crate::message::Testimony;
use crate::observations::LocalObservations;
use lemontide::clock::Point;
use std::collections::BTreeMap;

/// A failure report loses two thirds of its weight in this time (exponential decay). Up to this age
/// reports are also compared with outcomes seen here.
const FAILURE_DECAY_S: f64 = 8.0;
/// The same for a report that a streamer is healthy. It holds for a moment only: a streamer that fails now may have
/// served a few seconds ago.
const HEALTHY_DECAY_S: f64 = 3.0;
/// A testimony is ignored from this age on.
const MAX_AGE_S: f64 = 30.0;
/// Quorum: signers that must report failures of a streamer before it is believed to fail.
const MIN_ACCUSING_SIGNERS: usize = 2;
/// A report says that a streamer fails if at least this part of its tries failed.
const FAILING_RATIO: f64 = 0.5;
/// Weight of one recent success seen here, next to one report by a fully trusted signer.
const OWN_SUCCESS_WEIGHT: f64 = 1.0;
/// Most own successes that are counted.
const MAX_OWN_SUCCESSES: f64 = 4.0;
/// A signer starts with the trust of one that agreed in 2 of 3 cases.
const PRIOR_AGREEMENTS: f64 = 2.0;
const PRIOR_REPORTS: f64 = 3.0;
/// Weight of one contradiction next to one agreement: false reports cost more trust than true ones earn.
const CONTRADICTION_WEIGHT: f64 = 3.0;
/// Agreements and contradictions halve in this time.
const TRUST_HALF_LIFE_S: f64 = 300.0;
/// Below this trust a signer's reports are ignored.
const MIN_TRUST: f64 = 0.2;
/// Most origins whose testimony is kept.
const MAX_ORIGINS: usize = 4096;

/// How a signer's reports compared with local observations.
#[derive(Clone, Copy, Debug, Default)]
pub struct SignerTrust {
    agreements: f64,
    contradictions: f64,
    updated_at: Point,
}

impl SignerTrust {
    fn decayed(&self, now: Point) -> SignerTrust {
        let factor = 0.5f64.powf((now - self.updated_at).seconds().max(0.0) / TRUST_HALF_LIFE_S);
        SignerTrust {
            agreements: self.agreements * factor,
            contradictions: self.contradictions * factor,
            updated_at: now,
        }
    }

    /// Trust from 0 to 1.
    pub fn value(&self, now: Point) -> f64 {
        let now = self.decayed(now);
        let value = (PRIOR_AGREEMENTS + now.agreements)
            / (PRIOR_REPORTS + now.agreements + CONTRADICTION_WEIGHT * now.contradictions);
        if value < MIN_TRUST {
            0.0
        } else {
            value
        }
    }
}

/// The latest testimony of one origin.
#[derive(Clone, Debug)]
struct StoredTestimony {
    signer: SignerKey,
    boot_id: u64,
    seq: u64,
    received_at: Point,
    /// Kept to recognize a second, different testimony with the same sequence number.
    signed_bytes: Vec<u8>,
    /// Tries and failures by streamer.
    seen: BTreeMap<String, (u32, u32)>,
}

/// Result of merging a testimony.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// It was stored.
    Newer,
    /// It is stored already, is older than the stored one, or there is no room for another origin.
    Stale,
    /// Its origin signed a different testimony with the same sequence number.
    Equivocation,
}

/// The latest testimony of each origin and the trust in each signer.
#[derive(Clone, Debug, Default)]
pub struct TestimonyStore {
    testimonies: BTreeMap<String, StoredTestimony>,
    trust: BTreeMap<SignerKey, SignerTrust>,
}

impl TestimonyStore {
    /// Merges a testimony whose signature was verified. Only the latest one of each origin is kept, so order and
    /// repetition make no difference. `signed_bytes` are the bytes that its signature covers.
    pub fn merge(
        &mut self,
        now: Point,
        signer: SignerKey,
        testimony: &Testimony,
        signed_bytes: Vec<u8>,
    ) -> MergeOutcome {
        if let Some(known) = self.testimonies.get(&testimony.origin) {
            if (testimony.boot, testimony.seq) == (known.boot_id, known.seq)
                && signed_bytes != known.signed_bytes
            {
                // The same key signed both: its reports are ignored for a while.
                self.adjust_trust(now, signer, 0.0, 20.0);
                return MergeOutcome::Equivocation;
            }
            if known.boot_id == testimony.boot && testimony.seq <= known.seq {
                return MergeOutcome::Stale;
            }
        } else if self.testimonies.len() >= MAX_ORIGINS {
            self.testimonies.retain(|_, stored| (now - stored.received_at).seconds() < MAX_AGE_S);
            if self.testimonies.len() >= MAX_ORIGINS {
                return MergeOutcome::Stale;
            }
        }
        let seen =
            testimony.seen.iter().map(|seen| (seen.streamer.clone(), (seen.tries, seen.failures))).collect();
        let stored = StoredTestimony {
            signer,
            boot_id: testimony.boot,
            seq: testimony.seq,
            received_at: now,
            signed_bytes,
            seen,
        };
        self.testimonies.insert(testimony.origin.clone(), stored);
        MergeOutcome::Newer
    }

    fn adjust_trust(&mut self, now: Point, signer: SignerKey, agreements: f64, contradictions: f64) {
        let initial = SignerTrust { updated_at: now, ..SignerTrust::default() };
        let trust = self.trust.entry(signer).or_insert(initial);
        *trust = trust.decayed(now);
        trust.agreements += agreements;
        trust.contradictions += contradictions;
    }

    /// Compares an outcome that was seen here with the recent report of each signer on this streamer, and adjusts the
    /// trust in these signers.
    pub fn record_outcome(&mut self, now: Point, streamer: &str, succeeded: bool) {
        let mut adjustments = BTreeMap::new();
        let recent = |stored: &&StoredTestimony| (now - stored.received_at).seconds() < FAILURE_DECAY_S;
        for stored in self.testimonies.values().filter(recent) {
            let Some((tries, failures)) = stored.seen.get(streamer) else { continue };
            let reported_failing = f64::from(*failures) >= FAILING_RATIO * f64::from((*tries).max(1));
            // A wrong report that a streamer is healthy may be about a moment ago, and weighs less than a false alarm.
            let (agreements, contradictions) = match (reported_failing, succeeded) {
                (true, false) => (1.0, 0.0),
                (true, true) => (0.0, 1.0),
                (false, true) => (0.2, 0.0),
                (false, false) => (0.0, 0.2),
            };
            adjustments.insert(stored.signer, (agreements, contradictions));
        }
        for (signer, (agreements, contradictions)) in adjustments {
            self.adjust_trust(now, signer, agreements, contradictions);
        }
    }

    /// Trust in a signer, from 0 to 1.
    pub fn signer_trust(&self, now: Point, signer: &SignerKey) -> f64 {
        self.trust.get(signer).copied().unwrap_or_default().value(now)
    }

    /// Trust in the signer of each origin with a recent testimony.
    pub fn trust_by_origin(&self, now: Point) -> Vec<(String, f64)> {
        let recent =
            self.testimonies.iter().filter(|(_, stored)| (now - stored.received_at).seconds() < MAX_AGE_S);
        recent.map(|(origin, stored)| (origin.clone(), self.signer_trust(now, &stored.signer))).collect()
    }

    /// How far to believe that each reported streamer fails, from 0 to 1. Streamers with score 0 are omitted.
    pub fn failure_scores(&self, now: Point, own: &LocalObservations) -> BTreeMap<String, f64> {
        // Weights for failing and for healthy, by streamer and signer: instances that share a key count once.
        let mut reports: BTreeMap<&str, BTreeMap<SignerKey, (f64, f64)>> = BTreeMap::new();
        for stored in self.testimonies.values() {
            let age_s = (now - stored.received_at).seconds().max(0.0);
            let trust = self.signer_trust(now, &stored.signer);
            if age_s >= MAX_AGE_S || trust == 0.0 {
                continue;
            }
            for (streamer, (tries, failures)) in &stored.seen {
                let failure_ratio = f64::from(*failures) / f64::from((*tries).max(1));
                let entry = reports.entry(streamer).or_default().entry(stored.signer).or_insert((0.0, 0.0));
                // Of several reports by one signer the strongest counts, on either side.
                if failure_ratio >= FAILING_RATIO {
                    entry.0 = entry.0.max(trust * (-age_s / FAILURE_DECAY_S).exp() * failure_ratio);
                } else {
                    entry.1 = entry.1.max(trust * (-age_s / HEALTHY_DECAY_S).exp() * (1.0 - failure_ratio));
                }
            }
        }
        let mut scores = BTreeMap::new();
        for (streamer, by_signer) in reports {
            let accusing = by_signer.values().filter(|(failing, _)| *failing > 0.0).count();
            if accusing < MIN_ACCUSING_SIGNERS {
                continue;
            }
            let failing: f64 = by_signer.values().map(|report| report.0).sum();
            let own_counts = own.counts(now, streamer);
            let own_successes = (own_counts.attempts - own_counts.failures).max(0.0);
            let healthy = by_signer.values().map(|report| report.1).sum::<f64>()
                + OWN_SUCCESS_WEIGHT * own_successes.min(MAX_OWN_SUCCESSES);
            let score = (failing - healthy) / (failing + healthy + 0.5);
            if score > 0.0 {
                scores.insert(streamer.to_owned(), score.min(1.0));
            }
        }
        scores
    }
}
