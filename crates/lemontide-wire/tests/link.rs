//! Encoding and decoding of the frames of a link.

use bytes::{Bytes, BytesMut};
use lemontide_wire::link::{ControllerCodec, ControllerMessage, SetUp, StreamerCodec};
use proptest::prelude::*;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

#[test]
fn frames_can_arrive_in_pieces_and_unknown_bodies_are_skipped() {
    let message = ControllerMessage::SetUp(SetUp { id: 7, ask: "v1.0".into(), ..SetUp::default() });
    let mut bytes = BytesMut::new();
    LengthDelimitedCodec::new().encode(Bytes::from_static(&[0xfa, 0x01, 0x00]), &mut bytes).expect("it fits");
    ControllerCodec::default().encode(message.clone(), &mut bytes).expect("it fits");
    let (mut codec, mut received) = (StreamerCodec::default(), BytesMut::new());
    let mut messages = Vec::new();
    for byte in bytes {
        received.extend_from_slice(&[byte]);
        messages.extend(codec.decode(&mut received).expect("all frames are valid"));
    }
    assert_eq!(messages, vec![message]);
}

proptest! {
    #[test]
    fn arbitrary_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let mut received = BytesMut::from(&bytes[..]);
        while let Ok(Some(_)) = ControllerCodec::default().decode(&mut received) {}
    }
}

#[test]
fn an_oversized_frame_is_an_error() {
    let mut received = BytesMut::from(&[0x7f, 0xff, 0xff, 0xff, 1][..]);
    assert!(StreamerCodec::default().decode(&mut received).is_err());
}
