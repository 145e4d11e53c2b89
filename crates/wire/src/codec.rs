//! Encoding of requests and frames.

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use serde::de::DeserializeOwned;
use serde::Serialize;
use thiserror::Error;

use crate::frame::Frame;

/// Protocol version, which must be the same on both sides.
pub const PROTOCOL_VERSION: u16 = 1;

/// Maximum accepted frame length, so that a malicious length field cannot exhaust memory.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

const LENGTH_BYTES: usize = 4;

/// Error for received bytes that are not a valid message.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum DecodeError {
    /// The bytes are not a message of the expected type.
    #[error("message cannot be decoded: {0}; check that all processes run the same release")]
    Malformed(String),
    /// Bytes follow the message.
    #[error("{0} bytes follow the message; check that all processes run the same release")]
    TrailingBytes(usize),
    /// A frame is longer than allowed.
    #[error("frame of {0} bytes exceeds the limit of {MAX_FRAME_BYTES}; close the connection")]
    TooLong(usize),
    /// The input ends within a frame.
    #[error("input ends within a frame; resume the stream")]
    Truncated,
}

/// Encodes a message.
///
/// # Errors
///
/// Returns an error if the message cannot be represented.
pub fn encode(message: &impl Serialize) -> Result<Vec<u8>, DecodeError> {
    postcard::to_stdvec(message).map_err(|e| DecodeError::Malformed(e.to_string()))
}

/// Decodes a message that fills `bytes`.
///
/// # Errors
///
/// Returns an error if `bytes` are not exactly one message.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    match postcard::take_from_bytes(bytes) {
        Ok((message, [])) => Ok(message),
        Ok((_, rest)) => Err(DecodeError::TrailingBytes(rest.len())),
        Err(e) => Err(DecodeError::Malformed(e.to_string())),
    }
}

/// Encodes a frame with a length prefix.
///
/// # Errors
///
/// Returns an error if the frame is longer than [`MAX_FRAME_BYTES`].
pub fn encode_frame(frame: &Frame) -> Result<Bytes, DecodeError> {
    let payload = encode(frame)?;
    if payload.len() > MAX_FRAME_BYTES {
        return Err(DecodeError::TooLong(payload.len()));
    }
    let mut out = BytesMut::with_capacity(LENGTH_BYTES + payload.len());
    out.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    out.extend_from_slice(&payload);
    Ok(out.freeze())
}

/// Splits a byte stream into frames.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    buffer: BytesMut,
}

impl FrameDecoder {
    /// Creates an empty decoder.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next frame if it has been received completely.
    ///
    /// # Errors
    ///
    /// Returns an error if the frame is too long or malformed; the connection is then unusable.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, DecodeError> {
        let Some(length) = self.buffer.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_le_bytes(*length) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(DecodeError::TooLong(length));
        }
        if self.buffer.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        self.buffer.advance(LENGTH_BYTES);
        let payload = self.buffer.split_to(length);
        decode(&payload).map(Some)
    }

    /// Checks that the input ended at a frame boundary.
    ///
    /// # Errors
    ///
    /// Returns [`DecodeError::Truncated`] if an incomplete frame remains.
    pub fn finish(&self) -> Result<(), DecodeError> {
        if self.buffer.is_empty() {
            return Ok(());
        }
        Err(DecodeError::Truncated)
    }
}

/// Decodes all frames of a complete answer.
///
/// # Errors
///
/// Returns an error if any frame is malformed or the last one is incomplete.
pub fn decode_frames(bytes: &[u8]) -> Result<Vec<Frame>, DecodeError> {
    let mut decoder = FrameDecoder::new();
    decoder.push(bytes);
    let mut frames = Vec::new();
    while let Some(frame) = decoder.next_frame()? {
        frames.push(frame);
    }
    decoder.finish()?;
    Ok(frames)
}
