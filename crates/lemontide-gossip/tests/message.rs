//! Decoding of arbitrary bytes, and signatures that are valid for one message type only.

use lemontide_gossip::message::{decode_body, decode_datagram, Record, Signable, Suspicion};
use proptest::prelude::*;

proptest! {
    #[test]
    fn arbitrary_bytes_are_decoded_or_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..1500)) {
        if let Some(datagram) = decode_datagram(&bytes) {
            let _ = decode_body(&datagram.body);
        }
        let _ = decode_body(&bytes);
    }
}

#[test]
fn signed_bytes_differ_between_message_types() {
    let record = Record { name: "a".into(), address: "b".into(), ..Record::default() };
    let suspicion = Suspicion { accuser: "a".into(), name: "b".into(), ..Suspicion::default() };
    assert_ne!(record.signed_bytes(), suspicion.signed_bytes());
    let shifted = Record { name: "ab".into(), address: String::new(), ..Record::default() };
    assert_ne!(record.signed_bytes(), shifted.signed_bytes(), "field lengths are signed, too");
}
