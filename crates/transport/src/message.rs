//! Encoding, decoding and reading of messages, and the protocol constants that
//! client and server share.

use bincode::config::{Configuration, Limit, LittleEndian, Varint};
use bytes::{Bytes, BytesMut};
use h2::RecvStream;
use hornbeam_core::{Error, Result};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Path of the URI of requests.
pub(crate) const CALL_PATH: &str = "/call";
/// Path of the URI of pings.
pub(crate) const PING_PATH: &str = "/ping";
/// URI of requests. h2 requires an authority, which the server ignores.
pub(crate) const CALL_URI: &str = "http://hornbeam/call";
/// URI of pings.
pub(crate) const PING_URI: &str = "http://hornbeam/ping";

/// Maximum bytes that the decoder reads or reserves for one message, so that a
/// message cannot claim more memory than any allowed message needs.
const DECODE_LIMIT_BYTES: usize = 64 << 20;

/// Maximum size of the header list of a request or response in bytes.
pub(crate) const MAX_HEADER_LIST_BYTES: u32 = 8 << 10;
/// Flow control window of one stream in bytes, large enough to send a chunk of
/// typical size without waiting for the receiver.
pub(crate) const STREAM_WINDOW_BYTES: u32 = 1 << 20;
/// Flow control window of a connection in bytes.
pub(crate) const CONNECTION_WINDOW_BYTES: u32 = 8 << 20;

type CodecConfiguration = Configuration<LittleEndian, Varint, Limit<DECODE_LIMIT_BYTES>>;

const CODEC: CodecConfiguration = bincode::config::standard().with_limit::<DECODE_LIMIT_BYTES>();

/// Encodes a message.
///
/// # Errors
/// `Codec` if it cannot be encoded, `Limit` if it exceeds `max_bytes`.
pub(crate) fn encode<M: Serialize>(message: &M, max_bytes: usize) -> Result<Bytes> {
    let encoded = bincode::serde::encode_to_vec(message, CODEC).map_err(Error::codec)?;
    if encoded.len() > max_bytes {
        let bytes = encoded.len();
        let cause = format!("the message has {bytes} bytes of at most {max_bytes}");
        return Err(Error::limit(cause));
    }
    Ok(encoded.into())
}

/// Decodes a message.
///
/// # Errors
/// `Codec` if it is malformed or followed by further bytes.
pub(crate) fn decode<M: DeserializeOwned>(encoded: &[u8]) -> Result<M> {
    let (message, read_bytes) =
        bincode::serde::decode_from_slice(encoded, CODEC).map_err(Error::codec)?;
    if read_bytes != encoded.len() {
        return Err(Error::codec("the message is followed by further bytes"));
    }
    Ok(message)
}

/// `ReadError` states why a body could not be read.
#[derive(Debug)]
pub(crate) enum ReadError {
    /// The stream ended before the end of the body.
    Truncated(h2::Error),
    /// The body exceeds the size limit.
    TooLarge,
    /// The receiver has no buffer space for it at present.
    BufferFull,
}

/// Reads a complete body. `reserve` must grant the buffer space for each part
/// before the part is stored.
pub(crate) async fn read_body(
    body: &mut RecvStream,
    max_bytes: usize,
    mut reserve: impl FnMut(usize) -> bool,
) -> std::result::Result<Bytes, ReadError> {
    let mut received = BytesMut::new();
    while let Some(part) = body.data().await {
        let part = part.map_err(ReadError::Truncated)?;
        if received.len() + part.len() > max_bytes {
            return Err(ReadError::TooLarge);
        }
        if !reserve(part.len()) {
            return Err(ReadError::BufferFull);
        }
        received.extend_from_slice(&part);
        body.flow_control()
            .release_capacity(part.len())
            .map_err(ReadError::Truncated)?;
    }
    Ok(received.freeze())
}
