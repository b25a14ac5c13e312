//! Extension of the batches between entry hosts: values by tag that
//! [`PeerStatus`](crate::PeerStatus) has no field for.
//!
//! The binary codec has no optional trailing fields, so a status cannot grow
//! while hosts of two builds run in one cluster. Values in an extension are
//! encoded one by one, and a host skips those that it does not know.

use std::time::Duration;

use bincode::config::{Configuration, Limit, LittleEndian, Varint};
use hornbeam_core::event::Event;
use hornbeam_core::ids::HostId;
use hornbeam_core::{Error, Result};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::fleet::Fleet;
use crate::io::Subject;

/// Maximum size of an encoded extension. A host sends at most 5 KB/s, and a
/// status goes to each neighbour several times a second.
pub const MAX_EXTENSION_BYTES: usize = 2048;

/// Tag of the pace of the workers with free resources.
pub const TAG_PACE: u16 = 1;

/// Tag of the queued work by priority.
pub const TAG_QUEUED_WORK: u16 = 2;

/// Tag of the interference factors.
pub const TAG_INTERFERENCE: u16 = 3;

/// Tags that this build knows.
const KNOWN_TAGS: [u16; 3] = [TAG_PACE, TAG_QUEUED_WORK, TAG_INTERFERENCE];

/// Bytes of an encoded entry besides its value: the tag and the length of the
/// value, each of at most 3 bytes in the variable-length encoding.
const ENTRY_OVERHEAD_BYTES: usize = 6;

/// Bytes of the encoded number of entries, at most.
const LIST_OVERHEAD_BYTES: usize = 3;

/// Shortest time between two log lines about ignored entries of one peer. A
/// peer of another build sends such entries with each status.
const IGNORED_LOG_INTERVAL: Duration = Duration::from_secs(60);

const CODEC: Configuration<LittleEndian, Varint, Limit<MAX_EXTENSION_BYTES>> =
    bincode::config::standard().with_limit::<MAX_EXTENSION_BYTES>();

/// `BatchExtension` is a list of values that a batch carries besides its
/// messages.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct BatchExtension {
    /// Values in ascending order of their tags.
    pub entries: Vec<ExtensionEntry>,
}

/// `ExtensionEntry` is one value of a [`BatchExtension`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct ExtensionEntry {
    /// Identifies the type of the value.
    pub tag: u16,
    /// The encoded value.
    pub bytes: Vec<u8>,
}

impl BatchExtension {
    /// Gets the encoded value of a tag.
    pub fn get(&self, tag: u16) -> Option<&[u8]> {
        let entry = self.entries.iter().find(|entry| entry.tag == tag)?;
        Some(&entry.bytes)
    }

    /// Adds the encoded value of a tag, in place of a former one. If the
    /// extension exceeds [`MAX_EXTENSION_BYTES`] then, the entries with the
    /// highest tags are dropped until it does not, because the lower tags matter
    /// more. A value that does not fit even alone drops no other entry.
    pub fn push(&mut self, tag: u16, bytes: Vec<u8>) {
        self.entries.retain(|entry| entry.tag != tag);
        if LIST_OVERHEAD_BYTES + ENTRY_OVERHEAD_BYTES + bytes.len() > MAX_EXTENSION_BYTES {
            return;
        }
        let position = self.entries.partition_point(|entry| entry.tag < tag);
        self.entries.insert(position, ExtensionEntry { tag, bytes });
        while self.size_bound() > MAX_EXTENSION_BYTES {
            self.entries.pop();
        }
    }

    /// Gets an upper bound of the encoded size in bytes.
    fn size_bound(&self) -> usize {
        let entries = self.entries.iter();
        let entries: usize = entries
            .map(|entry| ENTRY_OVERHEAD_BYTES + entry.bytes.len())
            .sum();
        LIST_OVERHEAD_BYTES + entries
    }

    /// Splits a received extension into the part that this build can use, within
    /// the size limit, and the first tag that it does not know.
    fn into_known(self) -> (Self, Option<u16>) {
        let mut known = Self::default();
        let mut unknown_tag = None;
        for entry in self.entries {
            if KNOWN_TAGS.contains(&entry.tag) {
                known.push(entry.tag, entry.bytes);
            } else {
                unknown_tag = unknown_tag.or(Some(entry.tag));
            }
        }
        (known, unknown_tag)
    }
}

/// Encodes a value of an extension.
///
/// # Errors
/// `Codec` if it cannot be encoded, `Limit` if it exceeds
/// [`MAX_EXTENSION_BYTES`].
pub fn encode_entry<T: Serialize>(value: &T) -> Result<Vec<u8>> {
    let bytes = bincode::serde::encode_to_vec(value, CODEC).map_err(Error::codec)?;
    if bytes.len() > MAX_EXTENSION_BYTES {
        let cause = format!(
            "the value has {} bytes of at most {MAX_EXTENSION_BYTES}",
            bytes.len()
        );
        return Err(Error::limit(cause));
    }
    Ok(bytes)
}

/// Decodes a value of an extension.
///
/// # Errors
/// `Codec` if it is malformed or followed by further bytes, `Limit` if it
/// exceeds [`MAX_EXTENSION_BYTES`].
pub fn decode_entry<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    if bytes.len() > MAX_EXTENSION_BYTES {
        return Err(Error::limit("the value exceeds the size limit"));
    }
    let (value, read_bytes) =
        bincode::serde::decode_from_slice(bytes, CODEC).map_err(Error::codec)?;
    if read_bytes != bytes.len() {
        return Err(Error::codec("the value is followed by further bytes"));
    }
    Ok(value)
}

impl Fleet {
    /// Gets the extension that accompanies the status of this host, or `None` if
    /// no enabled part contributes to it; the batch then goes out in the format
    /// of the previous build.
    pub(crate) fn own_extension(&self) -> Option<BatchExtension> {
        let mut extension = BatchExtension::default();
        if let Some(paces) = self.own_free_paces() {
            // The value is left out if it exceeds the limit.
            if let Ok(bytes) = encode_entry(&paces) {
                extension.push(TAG_PACE, bytes);
            }
        }
        (!extension.entries.is_empty()).then_some(extension)
    }

    /// Gets the newest extension of a peer.
    pub fn peer_extension(&self, host: &HostId) -> Option<&BatchExtension> {
        self.peers.get(host)?.extension.as_ref()
    }

    /// Gets a value of the newest extension of a peer. One that cannot be
    /// decoded is logged and dropped, so that it is decoded only once.
    pub fn decode_peer_entry<T: DeserializeOwned>(&mut self, host: &HostId, tag: u16) -> Option<T> {
        let extension = self.peers.get_mut(host)?.extension.as_mut()?;
        match decode_entry(extension.get(tag)?) {
            Ok(value) => Some(value),
            Err(cause) => {
                extension.entries.retain(|entry| entry.tag != tag);
                self.log_ignored_entry(host, tag, &cause.to_string());
                None
            }
        }
    }

    /// Replaces the extension of a peer by the one that came with its newest
    /// status.
    pub(crate) fn record_extension(&mut self, host: &HostId, extension: Option<BatchExtension>) {
        let Some(peer) = self.peers.get_mut(host) else {
            return;
        };
        let (known, unknown_tag) = extension.map(BatchExtension::into_known).unzip();
        peer.extension = known;
        peer.free_paces = Vec::new();
        if self.options.scheduling.pace {
            let paces = self.decode_peer_entry(host, TAG_PACE).unwrap_or_default();
            if let Some(peer) = self.peers.get_mut(host) {
                peer.free_paces = paces;
            }
        }
        if let Some(tag) = unknown_tag.flatten() {
            self.log_ignored_entry(host, tag, "this build does not know the tag");
        }
    }

    /// Logs an ignored entry unless another one of the peer was logged recently.
    fn log_ignored_entry(&mut self, host: &HostId, tag: u16, cause: &str) {
        let now = self.now;
        let Some(peer) = self.peers.get_mut(host) else {
            return;
        };
        let last = peer.ignored_entry_logged_at;
        if last.is_some_and(|at| now.saturating_sub(at) < IGNORED_LOG_INTERVAL) {
            return;
        }
        peer.ignored_entry_logged_at = Some(now);
        self.log(
            Event::ExtensionIgnored,
            Subject::Peer(host.clone()),
            format!("entry {tag} of the batch extension of peer {host} was ignored: {cause}"),
        );
    }
}
