//! Encoding of all stored data.

use bincode::config::Configuration;
use bincode::enc::write::SizeWriter;
use hornbeam_core::{Error, Result};
use serde::Serialize;
use serde::de::DeserializeOwned;

const CODEC: Configuration = bincode::config::standard();

pub(crate) fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>> {
    bincode::serde::encode_to_vec(value, CODEC).map_err(Error::codec)
}

/// Decodes a value that takes up all of `bytes`.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    let (value, rest) = decode_first(bytes)?;
    if !rest.is_empty() {
        return Err(Error::corrupt("trailing bytes after the encoded value"));
    }
    Ok(value)
}

/// Decodes a value at the start of `bytes` and gets the bytes after it.
pub(crate) fn decode_first<T: DeserializeOwned>(bytes: &[u8]) -> Result<(T, &[u8])> {
    let (value, used) = bincode::serde::decode_from_slice(bytes, CODEC).map_err(Error::corrupt)?;
    let rest = bytes.get(used..).unwrap_or_default();
    Ok((value, rest))
}

/// Gets the encoded size of a value in bytes, `u64::MAX` if it cannot be encoded.
pub(crate) fn encoded_size<T: Serialize>(value: &T) -> u64 {
    let mut size = SizeWriter::default();
    match bincode::serde::encode_into_writer(value, &mut size, CODEC) {
        Ok(()) => size.bytes_written as u64,
        Err(_) => u64::MAX,
    }
}
