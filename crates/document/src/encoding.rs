//! Compressed encoding of a difference.

use std::io::{Read, Write};

use bincode::config::{Configuration, Limit, LittleEndian, Varint};
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use hornbeam_core::{Error, Result};

use crate::difference::{Segment, assemble, difference};
use crate::part::{Document, DocumentId};

/// Maximum size of a document in bytes, the same as for a document that an
/// operator publishes.
const MAX_DOCUMENT_BYTES: usize = 4 << 20;

/// Maximum size of an encoding before its compression: a document, and segments
/// with a few bytes each.
const MAX_SEGMENT_BYTES: usize = 2 * MAX_DOCUMENT_BYTES;

type CodecConfiguration = Configuration<LittleEndian, Varint, Limit<MAX_SEGMENT_BYTES>>;

const CODEC: CodecConfiguration = bincode::config::standard().with_limit::<MAX_SEGMENT_BYTES>();

/// Encodes a text as the difference to a base, which is empty for the whole
/// text.
///
/// # Errors
/// `Limit` if a text is too large, `Codec` if it cannot be encoded.
pub(crate) fn encode(base: &str, target: &str) -> Result<Vec<u8>> {
    let segments = difference(base, target)?;
    let encoded = bincode::serde::encode_to_vec(&segments, CODEC).map_err(Error::codec)?;
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::default());
    encoder.write_all(&encoded).map_err(Error::codec)?;
    encoder.finish().map_err(Error::codec)
}

/// Decodes a document and checks that it is the expected one.
///
/// # Errors
/// `Codec` if the encoding is damaged, does not fit the base, or describes
/// another document.
pub(crate) fn decode(base: &str, encoded: &[u8], expected: DocumentId) -> Result<Document> {
    let mut inflated = Vec::new();
    // One byte more than allowed shows that the limit is exceeded.
    let limit_bytes = MAX_SEGMENT_BYTES as u64 + 1;
    DeflateDecoder::new(encoded)
        .take(limit_bytes)
        .read_to_end(&mut inflated)
        .map_err(Error::codec)?;
    if inflated.len() > MAX_SEGMENT_BYTES {
        return Err(Error::codec("the encoding exceeds the size limit"));
    }
    let (segments, read_bytes): (Vec<Segment>, usize) =
        bincode::serde::decode_from_slice(&inflated, CODEC).map_err(Error::codec)?;
    if read_bytes != inflated.len() {
        return Err(Error::codec("the encoding is followed by further bytes"));
    }
    let text = assemble(base, &segments, MAX_DOCUMENT_BYTES)?;
    let document = Document::new(expected.version, text.into());
    if document.id != expected {
        return Err(Error::codec("the checksum of the document does not match"));
    }
    Ok(document)
}
