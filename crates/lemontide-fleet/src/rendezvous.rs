//! Which holders of a title an instance uses first: a weighted draw for each pair of instance and streamer.
//!
//! The draws of one streamer over the numbers of a fleet are a van der Corput sequence, so that the first n numbers are
//! spread evenly and nobody's draw moves when another comes or goes. Each streamer takes the numbers in an order of its
//! own (shuffled as in B. Burley, "Practical hash-based Owen scrambling", 2020), so that what falls to one says nothing
//! of what falls to its neighbour. Weights count as in weighted rendezvous hashing.

/// Digits of a draw: more than the largest fleet has numbers.
const DIGITS: u32 = 24;

/// A streamer that holds a title.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Holder {
    /// Its number on the ring, the same for every instance.
    pub streamer_key: u32,
    /// Its size; one that is no number above 0 counts as the smallest.
    pub weight: f64,
    /// In the own zone, or where crossing costs nothing.
    pub is_local: bool,
    /// Known to be full, doubted, draining or gone: it makes room for the next.
    pub unavailable: bool,
}

/// An instance's place among all.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RendezvousHash {
    number: u32,
}

impl RendezvousHash {
    pub fn new(number: u32) -> RendezvousHash {
        RendezvousHash { number }
    }

    /// The draw of this instance at a streamer, from 0 up to 1.
    pub fn unit_hash(&self, streamer: u32) -> f64 {
        let seed = mix(u64::from(streamer));
        let shuffled = (0..DIGITS).rev().fold(0, |drawn: u32, place| {
            // A digit is flipped by chance, the same for all that share the digits before it.
            let before = u64::from(self.number) >> (place + 1);
            let flip = mix(seed ^ u64::from(place) << 32 ^ before) & 1;
            drawn << 1 | (self.number >> place & 1) ^ flip as u32
        });
        (f64::from(shuffled.reverse_bits() >> (32 - DIGITS)) + 0.5) / f64::from(1u32 << DIGITS)
    }

    /// The least goes first, and each goes first as often as it weighs.
    fn distance(&self, holder: &Holder) -> f64 {
        let weight = if holder.weight.is_finite() { holder.weight.max(1e-6) } else { 1e-6 };
        -self.unit_hash(holder.streamer_key).ln() / weight
    }

    /// The holders that this instance uses first, as indices, best first: `most` of them that are not spent, near ones
    /// before others, but one of another zone among them where there is one and `most` is above 1. It never names
    /// none while a holder is left: spent ones come last.
    pub fn select(&self, holders: &[Holder], most: usize) -> Vec<usize> {
        let mut order: Vec<usize> = (0..holders.len()).collect();
        let rank =
            |at: &usize| (holders[*at].unavailable, !holders[*at].is_local, self.distance(&holders[*at]));
        order.sort_by(|a, b| {
            let (a, b) = (rank(a), rank(b));
            (a.0, a.1).cmp(&(b.0, b.1)).then(a.2.total_cmp(&b.2))
        });
        let most = most.max(1);
        let far = order.iter().position(|at| !holders[*at].is_local && !holders[*at].unavailable);
        if let Some(far) = far.filter(|far| most > 1 && *far >= most) {
            // A zone that is lost takes all near ones with it.
            let at = order.remove(far);
            order.insert(most - 1, at);
        }
        order.truncate(most);
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
