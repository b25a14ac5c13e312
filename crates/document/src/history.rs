//! The documents that a host can send, and their encodings.

use std::collections::VecDeque;
use std::sync::Arc;

use hornbeam_core::{Error, Result};

use crate::encoding;
use crate::part::{Checksum, Document, DocumentId, Part, PartRequest, ResumePoint, checksum};

/// Size of a part in bytes. At 2 Mbit/s a part takes 64 ms, for which other
/// messages of the link may have to wait.
const PART_BYTES: usize = 16 << 10;

/// Number of encodings that are kept. Hosts that follow all changes share one;
/// the others serve hosts that missed some.
const MAX_ENCODINGS: usize = 8;

/// `HistoryOptions` bound the memory of a [`DocumentHistory`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HistoryOptions {
    /// Maximum number of documents; default 8.
    pub max_documents: usize,
    /// Maximum bytes of all documents; the newest one is kept even if it is
    /// larger; default 4 MiB.
    pub max_bytes: usize,
}

impl Default for HistoryOptions {
    fn default() -> Self {
        Self {
            max_documents: 8,
            max_bytes: 4 << 20,
        }
    }
}

/// `DocumentHistory` holds the newest documents, which serve as targets and as
/// bases of differences.
#[derive(Debug, Default)]
pub struct DocumentHistory {
    options: HistoryOptions,
    /// Documents by ascending version.
    documents: VecDeque<Document>,
    /// Encodings, the most recently created last.
    encodings: VecDeque<Encoding>,
}

#[derive(Clone, Debug)]
struct Encoding {
    base: Option<DocumentId>,
    target: DocumentId,
    checksum: Checksum,
    bytes: Arc<[u8]>,
}

impl DocumentHistory {
    /// Creates a history without documents.
    pub fn new(options: HistoryOptions) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Adds a document if it is newer than all others.
    pub fn add(&mut self, document: Document) {
        let newest = self.documents.back();
        if newest.is_some_and(|newest| newest.id.version >= document.id.version) {
            return;
        }
        self.documents.push_back(document);
        while self.documents.len() > self.options.max_documents.max(1) || self.is_over_size() {
            self.documents.pop_front();
        }
        let documents = &self.documents;
        let is_held = |id: DocumentId| documents.iter().any(|document| document.id == id);
        self.encodings.retain(|encoding| is_held(encoding.target));
    }

    fn is_over_size(&self) -> bool {
        let bytes: usize = self
            .documents
            .iter()
            .map(|document| document.text.len())
            .sum();
        self.documents.len() > 1 && bytes > self.options.max_bytes
    }

    /// Gets the newest document.
    pub fn newest(&self) -> Option<&Document> {
        self.documents.back()
    }

    /// Gets the requested part; `None` if there is no newer document.
    ///
    /// # Errors
    /// As the encoding of a document.
    pub fn part(&mut self, request: &PartRequest) -> Result<Option<Part>> {
        if let Some(resume) = request.resume
            && let Some(encoding) = self.resumed_encoding(request, resume)?
            && (resume.offset_bytes as usize) < encoding.bytes.len()
        {
            return encoding.part(resume.offset_bytes).map(Some);
        }
        let newest = self.newest().map(|document| document.id);
        match newest {
            Some(newest) if newest.version > request.newer_than => {
                self.encoding(request.base, newest)?.part(0).map(Some)
            }
            _ => Ok(None),
        }
    }

    /// Gets the encoding of which the requesting host has the beginning, if this
    /// host makes the same one.
    fn resumed_encoding(
        &mut self,
        request: &PartRequest,
        resume: ResumePoint,
    ) -> Result<Option<Encoding>> {
        let is_newer = resume.target.version > request.newer_than;
        if !is_newer || self.document(resume.target).is_none() {
            return Ok(None);
        }
        let encoding = self.encoding(request.base, resume.target)?;
        let is_same = encoding.checksum == resume.encoding_checksum;
        Ok(is_same.then_some(encoding))
    }

    fn document(&self, id: DocumentId) -> Option<&Document> {
        self.documents.iter().find(|document| document.id == id)
    }

    /// Gets the encoding of a document: the difference to the base if the base
    /// is held here, the whole document otherwise.
    fn encoding(&mut self, base: Option<DocumentId>, target: DocumentId) -> Result<Encoding> {
        let base = base.and_then(|base| self.document(base));
        let base_id = base.map(|base| base.id);
        let is_wanted =
            |encoding: &&Encoding| encoding.base == base_id && encoding.target == target;
        if let Some(encoding) = self.encodings.iter().find(is_wanted) {
            return Ok(encoding.clone());
        }
        let Some(document) = self.document(target) else {
            return Err(Error::refused("the document is not held here any more"));
        };
        let base_text = base.map_or("", |base| &base.text);
        let bytes: Arc<[u8]> = encoding::encode(base_text, &document.text)?.into();
        let encoding = Encoding {
            base: base_id,
            target,
            checksum: checksum(&bytes),
            bytes,
        };
        if self.encodings.len() >= MAX_ENCODINGS {
            self.encodings.pop_front();
        }
        self.encodings.push_back(encoding.clone());
        Ok(encoding)
    }
}

impl Encoding {
    fn part(&self, offset_bytes: u32) -> Result<Part> {
        let start = offset_bytes as usize;
        let end = self.bytes.len().min(start + PART_BYTES);
        let encoding_bytes = u32::try_from(self.bytes.len());
        Ok(Part {
            target: self.target,
            is_difference: self.base.is_some(),
            encoding_checksum: self.checksum,
            encoding_bytes: encoding_bytes.map_err(Error::limit)?,
            offset_bytes,
            bytes: self.bytes[start..end].to_vec(),
        })
    }
}
