//! The messages, their sizes, and what of them is signed.

use prost::Message;

mod generated {
    #![allow(missing_docs)]
    include!(concat!(env!("OUT_DIR"), "/lemontide.gossip.v1.rs"));
}
pub use body::Kind;
pub use generated::*;

/// Largest datagram that is sent or read, in bytes: one frame of an ordinary network.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// Longest name of an instance or streamer.
pub const MAX_NAME_BYTES: usize = 64;
/// Streamers in one testimony at most.
pub const MAX_TESTIMONY_STREAMERS: usize = 16;

/// What the signature of each kind covers, each with a tag of its own so that none can stand for another.
pub trait Signable {
    fn signed_bytes(&self) -> Vec<u8>;
}

fn fields(tag: &str, parts: &[&[u8]]) -> Vec<u8> {
    let mut covered = tag.as_bytes().to_vec();
    for part in parts {
        covered.extend_from_slice(&(part.len() as u32).to_be_bytes());
        covered.extend_from_slice(part);
    }
    covered
}

impl Signable for Datagram {
    fn signed_bytes(&self) -> Vec<u8> {
        let (boot, seq) = (self.boot.to_be_bytes(), self.seq.to_be_bytes());
        fields("lemontide datagram", &[self.sender.as_bytes(), &boot, &seq, &self.body])
    }
}

impl Signable for Record {
    fn signed_bytes(&self) -> Vec<u8> {
        let (incarnation, left) = (self.incarnation.to_be_bytes(), [u8::from(self.left)]);
        let number = self.number.map(u32::to_be_bytes);
        let parts = [self.name.as_bytes(), self.address.as_bytes(), &incarnation[..], &left[..]];
        // Without a number it is signed as before there were any.
        let parts: Vec<&[u8]> = parts.into_iter().chain(number.iter().map(|n| &n[..])).collect();
        fields("lemontide record", &parts)
    }
}

impl Signable for Suspicion {
    fn signed_bytes(&self) -> Vec<u8> {
        let parts = [self.accuser.as_bytes(), self.name.as_bytes(), &self.incarnation.to_be_bytes()];
        fields("lemontide suspicion", &parts)
    }
}

impl Signable for Testimony {
    fn signed_bytes(&self) -> Vec<u8> {
        let unsigned = Testimony { signature: Vec::new(), ..self.clone() };
        fields("lemontide testimony", &[&unsigned.encode_to_vec()])
    }
}

/// Reads a datagram's outer part; none where it is too large, malformed, or names no sender.
pub fn decode_datagram(bytes: &[u8]) -> Option<Datagram> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return None;
    }
    let datagram = Datagram::decode(bytes).ok()?;
    let sane = !datagram.sender.is_empty()
        && datagram.sender.len() <= MAX_NAME_BYTES
        && datagram.signature.len() == 64;
    sane.then_some(datagram)
}

/// Reads a body; none where it is malformed, without a kind, or a name in it is too long.
pub fn decode_body(bytes: &[u8]) -> Option<Body> {
    let body = Body::decode(bytes).ok()?;
    let short = |name: &str| !name.is_empty() && name.len() <= MAX_NAME_BYTES;
    let sane = body.kind.is_some()
        && body.records.iter().all(|r| short(&r.name) && r.address.len() <= MAX_NAME_BYTES)
        && body.suspicions.iter().all(|s| short(&s.name) && short(&s.accuser))
        && body.testimonies.iter().all(|t| {
            let sound = |seen: &Seen| short(&seen.streamer) && seen.failures <= seen.tries;
            short(&t.origin) && t.seen.len() <= MAX_TESTIMONY_STREAMERS && t.seen.iter().all(sound)
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
            if let Some(datagram) = decode_datagram(&bytes) {
                let _ = decode_body(&datagram.body);
            }
            let _ = decode_body(&bytes);
        }
    }

    #[test]
    fn no_kind_stands_for_another() {
        let record = Record { name: "a".into(), address: "b".into(), ..Record::default() };
        let suspicion = Suspicion { accuser: "a".into(), name: "b".into(), ..Suspicion::default() };
        assert_ne!(record.signed_bytes(), suspicion.signed_bytes());
        let moved = Record { name: "ab".into(), address: String::new(), ..Record::default() };
        assert_ne!(record.signed_bytes(), moved.signed_bytes(), "lengths are covered, too");
    }
}
