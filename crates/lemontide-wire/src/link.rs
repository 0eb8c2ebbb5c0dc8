//! The streamer link: length-delimited protobuf frames of bounded size.

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

/// Version of the link's protocol, which both ends exchange in the handshake.
pub const PROTOCOL_VERSION: u32 = 1;
/// A longer frame closes the link. No message of a correct peer is near this size.
pub const MAX_FRAME_BYTES: usize = 64 * 1024;

pub use to_controller::Body as StreamerMessage;
pub use to_streamer::Body as ControllerMessage;

/// Encodes `Out` and decodes `In`. A frame that is too long or malformed is an error. After an error the link
/// must be closed, since the rest of the byte stream can't be trusted.
pub struct Codec<Out, In> {
    frames: LengthDelimitedCodec,
    messages: PhantomData<(Out, In)>,
}

/// Codec of the controller's end of a link.
pub type ControllerCodec = Codec<ControllerMessage, StreamerMessage>;
/// Codec of the streamer's end of a link.
pub type StreamerCodec = Codec<StreamerMessage, ControllerMessage>;

impl<Out, In> Default for Codec<Out, In> {
    fn default() -> Self {
        let frames = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
        Codec { frames, messages: PhantomData }
    }
}

/// A message body that is sent in a frame of its own.
pub trait FrameBody: Sized {
    /// Encodes the message without the length of the frame.
    fn into_frame(self) -> Bytes;
    /// Decodes a message. None if its body is of a later version.
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
    fn encode(&mut self, body: Out, buffer: &mut BytesMut) -> io::Result<()> {
        self.frames.encode(body.into_frame(), buffer)
    }
}

impl<Out, In: FrameBody> Decoder for Codec<Out, In> {
    type Item = In;
    type Error = io::Error;
    fn decode(&mut self, buffer: &mut BytesMut) -> io::Result<Option<In>> {
        while let Some(frame) = self.frames.decode(buffer)? {
            let body = In::from_frame(frame).map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))?;
            // A body of a later version is skipped: either end can be newer than the other.
            if body.is_some() {
                return Ok(body);
            }
        }
        Ok(None)
    }
}
