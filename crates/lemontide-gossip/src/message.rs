//! The messages, their sizes, and what of them is signed.

use prost::Message;

mod generated {
    #![allow(missing_docs)]
    include!(concat!(env!("OUT_DIR"), "/lemontide.gossip.v1.rs"));
}
pub use body::Kind;
pub use generated::*;

/// Largest datagram that is sent or read, in bytes: one frame of an ordinary network.
pub const LARGEST: usize = 1200;
/// Longest name of an instance or streamer.
pub const NAME_MOST: usize = 64;
/// Streamers in one testimony at most.
pub const SEEN_MOST: usize = 16;

/// What the signature of each kind covers, each with a tag of its own so that none can stand for another.
pub trait Signed {
    fn covered(&self) -> Vec<u8>;
}

fn fields(tag: &str, parts: &[&[u8]]) -> Vec<u8> {
    let mut covered = tag.as_bytes().to_vec();
    for part in parts {
        covered.extend_from_slice(&(part.len() as u32).to_be_bytes());
        covered.extend_from_slice(part);
    }
    covered
}

impl Signed for Datagram {
    fn covered(&self) -> Vec<u8> {
        let (boot, seq) = (self.boot.to_be_bytes(), self.seq.to_be_bytes());
        fields("lemontide datagram", &[self.sender.as_bytes(), &boot, &seq, &self.body])
    }
}

impl Signed for Record {
    fn covered(&self) -> Vec<u8> {
        let (incarnation, left) = (self.incarnation.to_be_bytes(), [u8::from(self.left)]);
        let number = self.number.map(u32::to_be_bytes);
        let parts = [self.name.as_bytes(), self.address.as_bytes(), &incarnation[..], &left[..]];
        // Without a number it is signed as before there were any.
        let parts: Vec<&[u8]> = parts.into_iter().chain(number.iter().map(|n| &n[..])).collect();
        fields("lemontide record", &parts)
    }
}

impl Signed for Suspicion {
    fn covered(&self) -> Vec<u8> {
        let parts = [self.accuser.as_bytes(), self.name.as_bytes(), &self.incarnation.to_be_bytes()];
        fields("lemontide suspicion", &parts)
    }
}

impl Signed for Testimony {
    fn covered(&self) -> Vec<u8> {
        let unsigned = Testimony { signature: Vec::new(), ..self.clone() };
        fields("lemontide testimony", &[&unsigned.encode_to_vec()])
    }
}

/// Reads a datagram's outer part; none where it is too large, malformed, or names no sender.
pub fn outer(bytes: &[u8]) -> Option<Datagram> {
    if bytes.len() > LARGEST {
        return None;
    }
    let datagram = Datagram::decode(bytes).ok()?;
    let sane =
        !datagram.sender.is_empty() && datagram.sender.len() <= NAME_MOST && datagram.signature.len() == 64;
    sane.then_some(datagram)
}

/// Reads a body; none where it is malformed, without a kind, or a name in it is too long.
pub fn body(bytes: &[u8]) -> Option<Body> {
    let body = Body::decode(bytes).ok()?;
    let short = |name: &str| !name.is_empty() && name.len() <= NAME_MOST;
    let sane = body.kind.is_some()
        && body.records.iter().all(|r| short(&r.name) && r.address.len() <= NAME_MOST)
        && body.suspicions.iter().all(|s| short(&s.name) && short(&s.accuser))
        && body.testimonies.iter().all(|t| {
            let sound = |seen: &Seen| short(&seen.streamer) && seen.failures <= seen.tries;
            short(&t.origin) && t.seen.len() <= SEEN_MOST && t.seen.iter().all(sound)
        });
    sane.then_some(body)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #[test]
        fn any_bytes_are_read_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..1500)) {
            if let Some(datagram) = outer(&bytes) {
                let _ = body(&datagram.body);
            }
            let _ = body(&bytes);
        }
    }

    #[test]
    fn no_kind_stands_for_another() {
        let record = Record { name: "a".into(), address: "b".into(), ..Record::default() };
        let suspicion = Suspicion { accuser: "a".into(), name: "b".into(), ..Suspicion::default() };
        assert_ne!(record.covered(), suspicion.covered());
        let moved = Record { name: "ab".into(), address: String::new(), ..Record::default() };
        assert_ne!(record.covered(), moved.covered(), "lengths are covered, too");
    }
}
