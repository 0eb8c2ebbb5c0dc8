//! What to make of others' words. A claim weighs by how many independent voices stand behind it, by how well
//! each voice's earlier claims agreed with what was then seen here, and by its age; own successes outweigh it. One
//! voice alone never suffices.

use crate::authentication::SignerKey;
use crate::message::Testimony;
use crate::observations::LocalObservations;
use lemontide::clock::Point;
use std::collections::BTreeMap;

/// Seconds after which a claim has lost two thirds of its weight, and after which it is dropped.
const AGE: f64 = 8.0;
const OLDEST: f64 = 30.0;
/// A word that all is well is of its moment: a streamer that fails now served a few seconds ago.
const WELL: f64 = 3.0;
/// Voices that must say the same before anything is believed.
const VOICES_LEAST: usize = 2;
/// A streamer counts as claimed to fail from this part of failures on.
const FAILING: f64 = 0.5;
/// What one own recent success weighs next to a fully trusted voice, and so many of them at most.
const OWN_SUCCESS: f64 = 1.0;
const OWN_MOST: f64 = 4.0;
/// A voice starts with the trust of one agreement in so many; disagreeing costs more than agreeing earns, and
/// both fade with this half-life in seconds.
const START: (f64, f64) = (2.0, 3.0);
const LIE: f64 = 3.0;
const MEMORY: f64 = 300.0;
/// Under this trust a voice is not listened to at all.
const DEAF: f64 = 0.2;
/// Origins whose testimony is kept at most.
const ORIGINS_MOST: usize = 4096;

/// How a voice's claims fared against what was seen here.
#[derive(Clone, Copy, Debug, Default)]
pub struct SignerTrust {
    agreed: f64,
    lied: f64,
    at: Point,
}

impl SignerTrust {
    fn faded(&self, now: Point) -> SignerTrust {
        let part = 0.5f64.powf((now - self.at).seconds().max(0.0) / MEMORY);
        SignerTrust { agreed: self.agreed * part, lied: self.lied * part, at: now }
    }

    /// From 0 to 1.
    pub fn value(&self, now: Point) -> f64 {
        let now = self.faded(now);
        let value = (START.0 + now.agreed) / (START.1 + now.agreed + LIE * now.lied);
        if value < DEAF {
            0.0
        } else {
            value
        }
    }
}

#[derive(Clone, Debug)]
struct Claim {
    voice: SignerKey,
    boot: u64,
    seq: u64,
    at: Point,
    /// Covered bytes, to tell two words under one number apart.
    said: Vec<u8>,
    seen: BTreeMap<String, (u32, u32)>,
}

/// What became of a testimony.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    Newer,
    /// Known, or older than what is known.
    Stale,
    /// Its origin said something else under the same number.
    Equivocation,
}

#[derive(Clone, Debug, Default)]
pub struct TestimonyStore {
    claims: BTreeMap<String, Claim>,
    trust: BTreeMap<SignerKey, SignerTrust>,
}

impl TestimonyStore {
    /// Takes a testimony whose signature was verified. For each origin only its latest word counts, so order and
    /// repetition make no difference. `covered` is what the signature covers.
    pub fn merge(
        &mut self,
        now: Point,
        voice: SignerKey,
        said: &Testimony,
        covered: Vec<u8>,
    ) -> MergeOutcome {
        if let Some(known) = self.claims.get(&said.origin) {
            if (said.boot, said.seq) == (known.boot, known.seq) && covered != known.said {
                // Signed twice by the same hand: nothing it says is worth anything for a while.
                self.count(now, voice, 0.0, 20.0);
                return MergeOutcome::Equivocation;
            }
            if known.boot == said.boot && said.seq <= known.seq {
                return MergeOutcome::Stale;
            }
        } else if self.claims.len() >= ORIGINS_MOST {
            self.claims.retain(|_, claim| (now - claim.at).seconds() < OLDEST);
            if self.claims.len() >= ORIGINS_MOST {
                return MergeOutcome::Stale;
            }
        }
        let seen =
            said.seen.iter().map(|seen| (seen.streamer.clone(), (seen.tries, seen.failures))).collect();
        let claim = Claim { voice, boot: said.boot, seq: said.seq, at: now, said: covered, seen };
        self.claims.insert(said.origin.clone(), claim);
        MergeOutcome::Newer
    }

    fn count(&mut self, now: Point, voice: SignerKey, agreed: f64, lied: f64) {
        let trust = self.trust.entry(voice).or_insert(SignerTrust { at: now, ..SignerTrust::default() });
        *trust = trust.faded(now);
        trust.agreed += agreed;
        trust.lied += lied;
    }

    /// Something was seen here: every voice that spoke of this streamer lately is held against it.
    pub fn record_outcome(&mut self, now: Point, streamer: &str, good: bool) {
        let mut held = BTreeMap::new();
        for claim in self.claims.values().filter(|claim| (now - claim.at).seconds() < AGE) {
            let Some((tries, failures)) = claim.seen.get(streamer) else { continue };
            let failing = f64::from(*failures) >= FAILING * f64::from((*tries).max(1));
            // To call a bad streamer good is said of a moment ago, too, and weighs less than crying wolf.
            let (agreed, lied) = match (failing, good) {
                (true, false) => (1.0, 0.0),
                (true, true) => (0.0, 1.0),
                (false, true) => (0.2, 0.0),
                (false, false) => (0.0, 0.2),
            };
            held.insert(claim.voice, (agreed, lied));
        }
        for (voice, (agreed, lied)) in held {
            self.count(now, voice, agreed, lied);
        }
    }

    pub fn signer_trust(&self, now: Point, voice: &SignerKey) -> f64 {
        self.trust.get(voice).copied().unwrap_or_default().value(now)
    }

    /// Voices that testified lately, with their trust.
    pub fn trust_by_origin(&self, now: Point) -> Vec<(String, f64)> {
        let lately = self.claims.iter().filter(|(_, claim)| (now - claim.at).seconds() < OLDEST);
        lately.map(|(origin, claim)| (origin.clone(), self.signer_trust(now, &claim.voice))).collect()
    }

    /// For each streamer that others speak of, how far to believe that it fails: from 0 to 1, 0 left out.
    pub fn failure_scores(&self, now: Point, own: &LocalObservations) -> BTreeMap<String, f64> {
        // One entry a voice and streamer: many instances under one key are one.
        let mut said: BTreeMap<&str, BTreeMap<SignerKey, (f64, f64)>> = BTreeMap::new();
        for claim in self.claims.values() {
            let age = (now - claim.at).seconds().max(0.0);
            let trust = self.signer_trust(now, &claim.voice);
            if age >= OLDEST || trust == 0.0 {
                continue;
            }
            for (streamer, (tries, failures)) in &claim.seen {
                let failing = f64::from(*failures) / f64::from((*tries).max(1));
                let entry = said.entry(streamer).or_default().entry(claim.voice).or_insert((0.0, 0.0));
                // Of several words under one voice the strongest counts, on either side.
                if failing >= FAILING {
                    entry.0 = entry.0.max(trust * (-age / AGE).exp() * failing);
                } else {
                    entry.1 = entry.1.max(trust * (-age / WELL).exp() * (1.0 - failing));
                }
            }
        }
        let mut weights = BTreeMap::new();
        for (streamer, voices) in said {
            let accusing = voices.values().filter(|(against, _)| *against > 0.0).count();
            if accusing < VOICES_LEAST {
                continue;
            }
            let against: f64 = voices.values().map(|voice| voice.0).sum();
            let mine = own.counts(now, streamer);
            let successes = (mine.attempts - mine.failures).max(0.0);
            let for_it =
                voices.values().map(|voice| voice.1).sum::<f64>() + OWN_SUCCESS * successes.min(OWN_MOST);
            let weight = (against - for_it) / (against + for_it + 0.5);
            if weight > 0.0 {
                weights.insert(streamer.to_owned(), weight.min(1.0));
            }
        }
        weights
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::message::{Seen, Signable};
    use proptest::prelude::*;

    fn at(s: f64) -> Point {
        Point::at(1000.0 + s)
    }

    fn said(origin: u8, seq: u64, seen: &[(&str, u32, u32)]) -> Testimony {
        let seen = seen.iter().map(|(s, tries, failures)| Seen {
            streamer: (*s).into(),
            tries: *tries,
            failures: *failures,
        });
        Testimony { origin: format!("i{origin}"), boot: 1, seq, seen: seen.collect(), signature: Vec::new() }
    }

    fn take(belief: &mut TestimonyStore, now: Point, voice: u8, testimony: &Testimony) -> MergeOutcome {
        belief.merge(now, [voice; 32], testimony, testimony.signed_bytes())
    }

    #[test]
    fn one_voice_never_suffices_however_many_instances_it_has() {
        let mut belief = TestimonyStore::default();
        for origin in 0..20 {
            take(&mut belief, at(0.0), 1, &said(origin, 1, &[("s", 9, 9)]));
        }
        assert!(belief.failure_scores(at(0.1), &LocalObservations::default()).is_empty());
        take(&mut belief, at(0.0), 2, &said(99, 1, &[("s", 9, 9)]));
        assert!(belief.failure_scores(at(0.1), &LocalObservations::default())["s"] > 0.5);
        assert!(
            belief.failure_scores(at(31.0), &LocalObservations::default()).is_empty(),
            "all belief fades"
        );
    }

    #[test]
    fn five_colluders_of_twenty_turn_nobody_from_a_healthy_streamer() {
        let mut belief = TestimonyStore::default();
        for origin in 0..5 {
            take(&mut belief, at(0.0), origin, &said(origin, 1, &[("s", 9, 9)]));
        }
        // While nobody else spoke they carry some weight; three who used it and say so bring it down.
        for origin in 5..8 {
            take(&mut belief, at(0.0), origin, &said(origin, 1, &[("s", 4, 0)]));
        }
        let weight =
            belief.failure_scores(at(0.1), &LocalObservations::default()).get("s").copied().unwrap_or(0.0);
        assert!(weight < 0.3, "{weight}");
        // And what is seen here ends it: own successes outweigh, and the liars' trust is spent.
        let mut own = LocalObservations::default();
        for i in 0..3 {
            own.record_outcome(at(0.2 + f64::from(i)), "s", true);
            belief.record_outcome(at(0.2 + f64::from(i)), "s", true);
        }
        assert!(belief.failure_scores(at(3.0), &own).is_empty());
        assert!(belief.signer_trust(at(3.0), &[0; 32]) < 0.2);
        for origin in 0..5 {
            take(&mut belief, at(10.0), origin, &said(origin, 2, &[("t", 9, 9)]));
        }
        let weight = belief.failure_scores(at(10.0), &own).get("t").copied().unwrap_or(0.0);
        assert!(weight < 0.35, "spent on another streamer, too: {weight}");
    }

    #[test]
    fn a_real_failure_is_believed_though_a_liar_calls_it_healthy() {
        let mut belief = TestimonyStore::default();
        for origin in 0..8 {
            take(&mut belief, at(0.0), origin, &said(origin, 1, &[("s", 4, 4)]));
        }
        take(&mut belief, at(0.0), 50, &said(50, 1, &[("s", 1000, 0)]));
        assert!(belief.failure_scores(at(0.5), &LocalObservations::default())["s"] > 0.6);
    }

    #[test]
    fn who_says_two_things_under_one_number_is_not_listened_to() {
        let mut belief = TestimonyStore::default();
        let (one, other) = (said(1, 1, &[("s", 4, 4)]), said(1, 1, &[("s", 4, 0)]));
        assert_eq!(take(&mut belief, at(0.0), 1, &one), MergeOutcome::Newer);
        assert_eq!(take(&mut belief, at(0.0), 1, &one), MergeOutcome::Stale);
        assert_eq!(take(&mut belief, at(0.0), 1, &other), MergeOutcome::Equivocation);
        assert!(belief.signer_trust(at(0.0), &[1; 32]) == 0.0);
    }

    proptest! {
        /// Order and repetition make no difference to what is believed, as long as nobody equivocates.
        #[test]
        fn words_merge_in_any_order(
            words in proptest::collection::vec((0u8..6, 1u64..5), 1..20),
            order in any::<proptest::sample::Index>(),
        ) {
            let testimony = |(origin, seq): &(u8, u64)| {
                // What an origin says under a number is one thing.
                said(*origin, *seq, &[("s", 3, (u32::from(*origin) + *seq as u32) % 4)])
            };
            let mut one = TestimonyStore::default();
            words.iter().for_each(|w| { take(&mut one, at(0.0), w.0, &testimony(w)); });
            let mut other = TestimonyStore::default();
            let turn = order.index(words.len());
            let turned: Vec<_> = words[turn..].iter().chain(&words[..turn]).chain(&words).collect();
            turned.iter().rev().for_each(|w| { take(&mut other, at(0.0), w.0, &testimony(w)); });
            prop_assert_eq!(one.failure_scores(at(1.0), &LocalObservations::default()), other.failure_scores(at(1.0), &LocalObservations::default()));
        }

        /// A weight is always within its bounds, whatever is claimed.
        #[test]
        fn weights_are_bounded(words in proptest::collection::vec((any::<u8>(), 0u64..4, 0u32..2000, 0u32..2000), 0..60)) {
            let mut belief = TestimonyStore::default();
            for (origin, seq, tries, failures) in words {
                take(&mut belief, at(0.0), origin, &said(origin, seq, &[("s", tries, failures.min(tries))]));
            }
            let weights = belief.failure_scores(at(0.5), &LocalObservations::default());
            prop_assert!(weights.values().all(|weight| (0.0..=1.0).contains(weight)));
        }
    }
}
