//! The streamer link on the wire: length-delimited protobuf frames of bounded size.

use bytes::{Bytes, BytesMut};
use prost::Message;
use std::io;
use std::marker::PhantomData;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

mod generated {
    #![allow(missing_docs)]
    include!(concat!(env!("OUT_DIR"), "/lemontide.link.v1.rs"));
}
pub use generated::*;

pub const PROTOCOL_VERSION: u32 = 1;
/// A longer frame ends the link: no honest message comes near it.
pub const MAX_FRAME_BYTES: usize = 64 * 1024;

pub use to_controller::Body as StreamerMessage;
pub use to_streamer::Body as ControllerMessage;

/// Encodes `Out` and decodes `In`. A frame that is too long, malformed or empty is an error, after which the
/// link must be closed: what follows can't be trusted.
pub struct Codec<Out, In> {
    frames: LengthDelimitedCodec,
    of: PhantomData<(Out, In)>,
}

pub type ControllerCodec = Codec<ControllerMessage, StreamerMessage>;
pub type StreamerCodec = Codec<StreamerMessage, ControllerMessage>;

impl<Out, In> Default for Codec<Out, In> {
    fn default() -> Self {
        let frames = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
        Codec { frames, of: PhantomData }
    }
}

/// A body that travels in a message of its own.
pub trait FrameBody: Sized {
    fn into_frame(self) -> Bytes;
    fn from_frame(frame: BytesMut) -> Result<Option<Self>, prost::DecodeError>;
}

impl FrameBody for ControllerMessage {
    fn into_frame(self) -> Bytes {
        ToStreamer { body: Some(self) }.encode_to_vec().into()
    }

    fn from_frame(frame: BytesMut) -> Result<Option<Self>, prost::DecodeError> {
        Ok(ToStreamer::decode(frame)?.body)
    }
}

impl FrameBody for StreamerMessage {
    fn into_frame(self) -> Bytes {
        ToController { body: Some(self) }.encode_to_vec().into()
    }

    fn from_frame(frame: BytesMut) -> Result<Option<Self>, prost::DecodeError> {
        Ok(ToController::decode(frame)?.body)
    }
}

impl<Out: FrameBody, In> Encoder<Out> for Codec<Out, In> {
    type Error = io::Error;
    fn encode(&mut self, body: Out, into: &mut BytesMut) -> io::Result<()> {
        self.frames.encode(body.into_frame(), into)
    }
}

impl<Out, In: FrameBody> Decoder for Codec<Out, In> {
    type Item = In;
    type Error = io::Error;
    fn decode(&mut self, from: &mut BytesMut) -> io::Result<Option<In>> {
        while let Some(frame) = self.frames.decode(from)? {
            let body = In::from_frame(frame).map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))?;
            // A body of a later version is skipped: both ends may be newer than the other.
            if body.is_some() {
                return Ok(body);
            }
        }
        Ok(None)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn frames_cross_in_pieces_and_unknown_bodies_are_skipped() {
        let order = ControllerMessage::SetUp(SetUp { id: 7, ask: "v1.0".into(), ..SetUp::default() });
        let mut bytes = BytesMut::new();
        LengthDelimitedCodec::new()
            .encode(Bytes::from_static(&[0xfa, 0x01, 0x00]), &mut bytes)
            .expect("it fits");
        ControllerCodec::default().encode(order.clone(), &mut bytes).expect("it fits");
        let (mut end, mut come) = (StreamerCodec::default(), BytesMut::new());
        let mut read = Vec::new();
        for byte in bytes {
            come.extend_from_slice(&[byte]);
            read.extend(end.decode(&mut come).expect("all is valid"));
        }
        assert_eq!(read, vec![order]);
    }

    proptest! {
        #[test]
        fn garbage_ends_in_an_error_or_waits(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
            let mut come = BytesMut::from(&bytes[..]);
            while let Ok(Some(_)) = ControllerCodec::default().decode(&mut come) {}
        }
    }

    #[test]
    fn an_oversized_frame_is_an_error() {
        let mut come = BytesMut::from(&[0x7f, 0xff, 0xff, 0xff, 1][..]);
        assert!(StreamerCodec::default().decode(&mut come).is_err());
    }
}
