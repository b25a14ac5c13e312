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
    let (value, used) = bincode::serde::decode_from_slice(bytes, CODEC).map_err(Error::corrupt)?;
    if used != bytes.len() {
        return Err(Error::corrupt("trailing bytes after the encoded value"));
    }
    Ok(value)
}

/// Gets the encoded size of a value in bytes, `u64::MAX` if it cannot be encoded.
pub(crate) fn encoded_size<T: Serialize>(value: &T) -> u64 {
    let mut size = SizeWriter::default();
    match bincode::serde::encode_into_writer(value, &mut size, CODEC) {
        Ok(()) => size.bytes_written as u64,
        Err(_) => u64::MAX,
    }
}
