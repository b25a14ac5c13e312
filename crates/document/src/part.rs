//! Documents, and the messages that transfer them.

use std::hash::Hasher;
use std::sync::Arc;

use hornbeam_core::ids::ConfigVersion;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

/// `Checksum` detects that two texts or encodings differ by accident. It is no
/// protection against forgery.
pub type Checksum = u64;

/// Gets the checksum of some bytes. It is the same in all processes.
pub(crate) fn checksum(bytes: &[u8]) -> Checksum {
    let mut hasher = SipHasher13::new();
    hasher.write(bytes);
    hasher.finish()
}

/// `Document` is a published document.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Document {
    /// Identity of the document.
    pub id: DocumentId,
    /// Text of the document.
    pub text: Arc<str>,
}

impl Document {
    /// Creates a document from its version and text.
    pub fn new(version: ConfigVersion, text: Arc<str>) -> Self {
        let id = DocumentId {
            version,
            checksum: checksum(text.as_bytes()),
        };
        Self { id, text }
    }
}

/// `DocumentId` identifies a document by its version and the checksum of its
/// text.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct DocumentId {
    /// Version of the document.
    pub version: ConfigVersion,
    /// Checksum of the text.
    pub checksum: Checksum,
}

/// `PartRequest` asks for the next part of a document that is newer than the
/// one in force at the requesting host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct PartRequest {
    /// Version in force at the requesting host, 0 if none is.
    pub newer_than: ConfigVersion,
    /// Document to which a difference may refer.
    pub base: Option<DocumentId>,
    /// Point at which an interrupted download continues.
    pub resume: Option<ResumePoint>,
}

/// `ResumePoint` is the progress of a download.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct ResumePoint {
    /// Document that is being downloaded.
    pub target: DocumentId,
    /// Checksum of its encoding.
    pub encoding_checksum: Checksum,
    /// Number of bytes of the encoding that were received.
    pub offset_bytes: u32,
}

/// `Part` is a section of the encoding of a document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct Part {
    /// Document that the encoding describes.
    pub target: DocumentId,
    /// Whether the encoding refers to the base of the request.
    pub is_difference: bool,
    /// Checksum of the whole encoding.
    pub encoding_checksum: Checksum,
    /// Length of the whole encoding.
    pub encoding_bytes: u32,
    /// Position of this part in the encoding.
    pub offset_bytes: u32,
    /// Bytes of this part.
    pub bytes: Vec<u8>,
}
