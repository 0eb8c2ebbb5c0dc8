//! The gossip messages: size limits, decoding with validation, and the bytes that signatures cover.

use prost::Message;

mod generated {
    #![allow(missing_docs)]
    include!(concat!(env!("OUT_DIR"), "/lemontide.gossip.v1.rs"));
}
pub use body::Kind;
pub use generated::*;

/// Largest datagram that is sent or accepted: it fits in one frame of an ordinary network.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// Longest name of an instance or streamer.
pub const MAX_NAME_BYTES: usize = 64;
/// Most streamers in one testimony.
pub const MAX_TESTIMONY_STREAMERS: usize = 16;

/// A message that can be signed.
pub trait Signable {
    /// The bytes that the signature covers. They begin with a tag of the message type, so that a signature of one
    /// type is not valid for another.
    fn signed_bytes(&self) -> Vec<u8>;
}

/// Joins a tag and length-prefixed fields.
fn tagged_fields(tag: &str, fields: &[&[u8]]) -> Vec<u8> {
    let mut bytes = tag.as_bytes().to_vec();
    for field in fields {
        bytes.extend_from_slice(&(field.len() as u32).to_be_bytes());
        bytes.extend_from_slice(field);
    }
    bytes
}

impl Signable for Datagram {
    fn signed_bytes(&self) -> Vec<u8> {
        let (boot, seq) = (self.boot.to_be_bytes(), self.seq.to_be_bytes());
        tagged_fields("lemontide datagram", &[self.sender.as_bytes(), &boot, &seq, &self.body])
    }
}

impl Signable for Record {
    fn signed_bytes(&self) -> Vec<u8> {
        let (incarnation, left) = (self.incarnation.to_be_bytes(), [u8::from(self.left)]);
        let number = self.number.map(u32::to_be_bytes);
        let fields = [self.name.as_bytes(), self.address.as_bytes(), &incarnation[..], &left[..]];
        // A record without a number is signed as in versions that had no numbers.
        let fields: Vec<&[u8]> = fields.into_iter().chain(number.iter().map(|n| &n[..])).collect();
        tagged_fields("lemontide record", &fields)
    }
}

impl Signable for Suspicion {
    fn signed_bytes(&self) -> Vec<u8> {
        let fields = [self.accuser.as_bytes(), self.name.as_bytes(), &self.incarnation.to_be_bytes()];
        tagged_fields("lemontide suspicion", &fields)
    }
}

impl Signable for Testimony {
    fn signed_bytes(&self) -> Vec<u8> {
        let unsigned = Testimony { signature: Vec::new(), ..self.clone() };
        tagged_fields("lemontide testimony", &[&unsigned.encode_to_vec()])
    }
}

/// Decodes a datagram's envelope. Returns `None` if it is too large or malformed, or if the sender's name or the
/// signature has a wrong length.
pub fn decode_datagram(bytes: &[u8]) -> Option<Datagram> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return None;
    }
    let datagram = Datagram::decode(bytes).ok()?;
    let valid = !datagram.sender.is_empty()
        && datagram.sender.len() <= MAX_NAME_BYTES
        && datagram.signature.len() == 64;
    valid.then_some(datagram)
}

/// Decodes a datagram's body. Returns `None` if it is malformed or without a kind, or if a name, an address, a count
/// or a list in it is out of its limits.
pub fn decode_body(bytes: &[u8]) -> Option<Body> {
    let body = Body::decode(bytes).ok()?;
    let valid_name = |name: &str| !name.is_empty() && name.len() <= MAX_NAME_BYTES;
    let valid = body.kind.is_some()
        && body
            .records
            .iter()
            .all(|record| valid_name(&record.name) && record.address.len() <= MAX_NAME_BYTES)
        && body
            .suspicions
            .iter()
            .all(|suspicion| valid_name(&suspicion.name) && valid_name(&suspicion.accuser))
        && body.testimonies.iter().all(|testimony| {
            let valid_seen = |seen: &Seen| valid_name(&seen.streamer) && seen.failures <= seen.tries;
            valid_name(&testimony.origin)
                && testimony.seen.len() <= MAX_TESTIMONY_STREAMERS
                && testimony.seen.iter().all(valid_seen)
        });
    valid.then_some(body)
}
