//! Which holders of a title an instance uses first, by weighted rendezvous hashing of instance and streamer.
//!
//! The hashes of one streamer over the numbers of a fleet are a van der Corput sequence, so that the first n numbers are
//! spread evenly, and no hash changes when another instance comes or goes. Each streamer takes the numbers in an order
//! of its own (shuffled as in B. Burley, "Practical hash-based Owen scrambling", 2020), so that the instances that
//! use one streamer first are independent of those that use its neighbour first.

/// Bits of a hash: more than the numbers of the largest fleet have.
const HASH_BITS: u32 = 24;

/// A streamer that holds a title.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Holder {
    /// What the streamer is hashed by; the same for every instance.
    pub streamer_key: u32,
    /// Its size; a weight that is not finite or not above 0 counts as the smallest.
    pub weight: f64,
    /// In the own zone, or where traffic between zones costs nothing.
    pub is_local: bool,
    /// Known to be full, suspected, draining or gone: others are used before it.
    pub unavailable: bool,
}

/// The hashes of one instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RendezvousHash {
    number: u32,
}

impl RendezvousHash {
    /// The hashes of the instance with this number.
    pub fn new(number: u32) -> RendezvousHash {
        RendezvousHash { number }
    }

    /// The hash of this instance and a streamer, strictly between 0 and 1.
    pub fn unit_hash(&self, streamer_key: u32) -> f64 {
        let seed = mix(u64::from(streamer_key));
        let shuffled = (0..HASH_BITS).rev().fold(0, |scrambled: u32, bit| {
            // A bit is flipped pseudo-randomly, the same for all numbers that share the bits above it.
            let bits_above = u64::from(self.number) >> (bit + 1);
            let flip = mix(seed ^ u64::from(bit) << 32 ^ bits_above) & 1;
            scrambled << 1 | (self.number >> bit & 1) ^ flip as u32
        });
        (f64::from(shuffled.reverse_bits() >> (32 - HASH_BITS)) + 0.5) / f64::from(1u32 << HASH_BITS)
    }

    /// Score of weighted rendezvous hashing: the lowest goes first, and each holder is first in proportion to its weight.
    fn score(&self, holder: &Holder) -> f64 {
        let weight = if holder.weight.is_finite() { holder.weight.max(1e-6) } else { 1e-6 };
        -self.unit_hash(holder.streamer_key).ln() / weight
    }

    /// Indices of the holders that this instance uses first, best first, at most `max` and at least one. Available
    /// holders come before unavailable ones, and local ones before others. With a `max` above 1 an available holder of
    /// another zone is among them if there is one. While there is a holder at all, the result is not empty.
    pub fn select(&self, holders: &[Holder], max: usize) -> Vec<usize> {
        let mut order: Vec<usize> = (0..holders.len()).collect();
        let rank = |index: &usize| {
            let holder = &holders[*index];
            (holder.unavailable, !holder.is_local, self.score(holder))
        };
        order.sort_by(|a, b| {
            let (rank_a, rank_b) = (rank(a), rank(b));
            (rank_a.0, rank_a.1).cmp(&(rank_b.0, rank_b.1)).then(rank_a.2.total_cmp(&rank_b.2))
        });
        let max = max.max(1);
        let remote = order.iter().position(|index| !holders[*index].is_local && !holders[*index].unavailable);
        if let Some(remote) = remote.filter(|remote| max > 1 && *remote >= max) {
            // One holder of another zone replaces the last one: if the own zone is lost, all local holders are lost.
            let index = order.remove(remote);
            order.insert(max - 1, index);
        }
        order.truncate(max);
        order
    }
}

/// The finisher of SplitMix64 (G. Steele, D. Lea, C. Flood, 2014).
fn mix(seed: u64) -> u64 {
    let mut bits = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    bits = (bits ^ bits >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ bits >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ bits >> 31
}
