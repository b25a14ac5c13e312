//! Framing of records on disk: length, CRC-32 and payload.

use hornbeam_core::{Error, Result};

/// Maximum payload of a record in bytes. A snapshot at the target size takes
/// about 15 MB.
pub(crate) const MAX_RECORD_BYTES: usize = 256 << 20;

const HEADER_BYTES: usize = 8;

/// `ScannedRecords` are the complete records of a file.
#[derive(Debug, Default)]
pub(crate) struct ScannedRecords<'a> {
    /// Payloads of the complete records, in order.
    pub(crate) payloads: Vec<&'a [u8]>,
    /// Length of the complete records with their headers.
    pub(crate) length_bytes: usize,
}

/// Adds the length and checksum to a payload.
pub(crate) fn frame(payload: &[u8]) -> Result<Vec<u8>> {
    if payload.is_empty() || payload.len() > MAX_RECORD_BYTES {
        let size = payload.len();
        return Err(Error::limit(format!(
            "record payload of {size} bytes is not between 1 and {MAX_RECORD_BYTES} bytes"
        )));
    }
    let length = (payload.len() as u32).to_le_bytes();
    let mut record = Vec::with_capacity(HEADER_BYTES + payload.len());
    record.extend_from_slice(&length);
    record.extend_from_slice(&checksum(&length, payload).to_le_bytes());
    record.extend_from_slice(payload);
    Ok(record)
}

/// Parses a file that contains exactly one record.
pub(crate) fn parse_single<'a>(file: &str, bytes: &'a [u8]) -> Result<&'a [u8]> {
    match parse_first(bytes) {
        Some(payload) if HEADER_BYTES + payload.len() == bytes.len() => Ok(payload),
        _ => Err(Error::corrupt(format!("{file} fails its checksum"))),
    }
}

/// Parses the records of a file up to an incomplete last one.
///
/// Each record is synced before the next one is written, so a crash can damage
/// only the last one. If an intact record follows a damaged one, the damage has
/// another cause.
///
/// # Errors
/// `Corrupt` if an intact record follows a damaged one.
pub(crate) fn scan<'a>(file: &str, bytes: &'a [u8]) -> Result<ScannedRecords<'a>> {
    let mut scan = ScannedRecords::default();
    while let Some(payload) = parse_first(&bytes[scan.length_bytes..]) {
        scan.payloads.push(payload);
        scan.length_bytes += HEADER_BYTES + payload.len();
    }
    let damaged_at = scan.length_bytes;
    let mut later = damaged_at + 1..bytes.len();
    if later.any(|offset| parse_first(&bytes[offset..]).is_some()) {
        return Err(Error::corrupt(format!(
            "{file}: checksum mismatch in the record at byte {damaged_at}, which is not the last"
        )));
    }
    Ok(scan)
}

/// Gets the payload of an intact record at the start of `bytes`.
fn parse_first(bytes: &[u8]) -> Option<&[u8]> {
    let (length, rest) = bytes.split_first_chunk::<4>()?;
    let (expected, rest) = rest.split_first_chunk::<4>()?;
    let payload_bytes = u32::from_le_bytes(*length) as usize;
    if payload_bytes == 0 || payload_bytes > MAX_RECORD_BYTES {
        return None;
    }
    let payload = rest.get(..payload_bytes)?;
    (checksum(length, payload) == u32::from_le_bytes(*expected)).then_some(payload)
}

/// Computes a checksum that covers the length too, so that a damaged length is
/// detected.
fn checksum(length: &[u8; 4], payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(length);
    hasher.update(payload);
    hasher.finalize()
}
