//! Batches of entries, which are the records of the log file.

use hornbeam_core::{Error, Result};

use crate::codec;
use crate::io::{Entry, SnapshotData};

/// Maximum encoded size of the entries in one log record in bytes, unless its
/// only entry is larger.
const MAX_BATCH_BYTES: u64 = 8 << 20;

/// Splits entries into batches of bounded size.
pub(crate) fn split(entries: &[Entry]) -> Vec<&[Entry]> {
    let mut batches = Vec::new();
    let mut start = 0;
    let mut bytes = 0;
    for (position, entry) in entries.iter().enumerate() {
        let entry_bytes = codec::encoded_size(entry);
        if position > start && bytes + entry_bytes > MAX_BATCH_BYTES {
            batches.push(&entries[start..position]);
            start = position;
            bytes = 0;
        }
        bytes += entry_bytes;
    }
    if start < entries.len() {
        batches.push(&entries[start..]);
    }
    batches
}

/// Joins batches; each one replaces the entries from its first index on.
pub(crate) fn join(payloads: &[&[u8]]) -> Result<Vec<Entry>> {
    let mut joined: Vec<Entry> = Vec::new();
    for payload in payloads {
        let batch: Vec<Entry> = codec::decode(payload)?;
        for entry in batch {
            append_or_replace(&mut joined, entry)?;
        }
    }
    Ok(joined)
}

fn append_or_replace(entries: &mut Vec<Entry>, entry: Entry) -> Result<()> {
    if let Some(first) = entries.first() {
        let position = entry.index.checked_sub(first.index);
        let Some(position) = position.filter(|at| *at <= entries.len() as u64) else {
            return Err(Error::corrupt(format!(
                "log has a gap at index {}",
                entry.index
            )));
        };
        entries.truncate(position as usize);
    }
    entries.push(entry);
    Ok(())
}

/// Gets the entries after a snapshot. There are none if the log begins within the
/// snapshot but lacks the last entry that it covers, because installing the
/// snapshot then replaced the whole log.
pub(crate) fn after_snapshot(
    mut entries: Vec<Entry>,
    snapshot: Option<&SnapshotData>,
) -> Vec<Entry> {
    let Some(snapshot) = snapshot else {
        return entries;
    };
    let starts_before = entries
        .first()
        .is_some_and(|first| first.index <= snapshot.index);
    let holds_last = entries
        .iter()
        .any(|entry| (entry.index, entry.term) == (snapshot.index, snapshot.term));
    if starts_before && !holds_last {
        return Vec::new();
    }
    entries.retain(|entry| entry.index > snapshot.index);
    entries
}

/// Checks that the entries follow the snapshot without a gap.
///
/// # Errors
/// `Corrupt` if they do not.
pub(crate) fn check_follows_snapshot(
    entries: &[Entry],
    snapshot: Option<&SnapshotData>,
) -> Result<()> {
    let expected = snapshot.map_or(1, |snapshot| snapshot.index + 1);
    match entries.first() {
        Some(first) if first.index != expected => Err(Error::corrupt(format!(
            "log starts at index {}, expected {expected}",
            first.index
        ))),
        _ => Ok(()),
    }
}
