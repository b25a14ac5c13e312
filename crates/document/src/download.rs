//! The receiving side of a transfer.

use hornbeam_core::{Error, Result};

use crate::encoding::decode;
use crate::part::{Document, Part, PartRequest, ResumePoint, checksum};

/// Maximum size of an encoding in bytes. The encoding of the largest document is
/// smaller, because it is compressed.
const MAX_ENCODING_BYTES: u32 = 8 << 20;

/// `Download` assembles a newer document from its parts.
#[derive(Debug, Default)]
pub struct Download {
    /// The newest document that was received.
    current: Option<Document>,
    /// The document that is being received.
    partial: Option<Partial>,
    /// Whether the last difference could not be applied, so that the whole
    /// document is requested.
    wants_whole: bool,
}

/// `Partial` is the part of an encoding that was received.
#[derive(Debug)]
struct Partial {
    point: ResumePoint,
    is_difference: bool,
    encoding_bytes: u32,
    bytes: Vec<u8>,
}

impl Download {
    /// Gets the newest document that was received.
    pub fn current(&self) -> Option<&Document> {
        self.current.as_ref()
    }

    /// Gets the request for the next part.
    pub fn request(&self) -> PartRequest {
        let current = self.current.as_ref().map(|document| document.id);
        PartRequest {
            newer_than: current.map_or(0, |id| id.version),
            base: current.filter(|_| !self.wants_whole),
            resume: self.partial.as_ref().map(|partial| partial.point),
        }
    }

    /// Records a document that was received as a whole.
    pub fn replace(&mut self, document: Document) {
        self.partial = None;
        self.wants_whole = false;
        self.current = Some(document);
    }

    /// Adds a part, and gets the document if it was the last one.
    ///
    /// # Errors
    /// `Codec` if the part does not continue the download, or if the document
    /// cannot be decoded. The download then starts again from the beginning.
    pub fn add(&mut self, part: Part) -> Result<Option<&Document>> {
        let added = self.append(part);
        if added.is_err() {
            self.partial = None;
        }
        let Some(complete) = added? else {
            return Ok(None);
        };
        let base = self.current.as_ref().filter(|_| complete.is_difference);
        let base_text = base.map_or("", |base| &base.text);
        match decode(base_text, &complete.bytes, complete.point.target) {
            Ok(document) => {
                self.replace(document);
                Ok(self.current())
            }
            Err(cause) => {
                self.wants_whole = true;
                Err(cause)
            }
        }
    }

    /// Appends a part, and takes the encoding if it is complete.
    fn append(&mut self, part: Part) -> Result<Option<Partial>> {
        let current = self.current.as_ref();
        if current.is_some_and(|current| current.id.version >= part.target.version) {
            return Err(Error::codec("the part belongs to an older document"));
        }
        if part.bytes.is_empty() || part.encoding_bytes > MAX_ENCODING_BYTES {
            return Err(Error::codec(
                "the part has no bytes or is of a too large document",
            ));
        }
        let partial = match self.partial.take() {
            Some(partial) if partial.is_continued_by(&part) => partial,
            _ => Partial::begin(&part)?,
        };
        let partial = partial.with(&part);
        if partial.point.offset_bytes < partial.encoding_bytes {
            self.partial = Some(partial);
            return Ok(None);
        }
        let is_whole = partial.point.offset_bytes == partial.encoding_bytes
            && checksum(&partial.bytes) == partial.point.encoding_checksum;
        if !is_whole {
            return Err(Error::codec("the checksum of the encoding does not match"));
        }
        Ok(Some(partial))
    }
}

impl Partial {
    /// Begins with the first part of an encoding.
    fn begin(part: &Part) -> Result<Self> {
        if part.offset_bytes != 0 {
            return Err(Error::codec("the part does not continue the download"));
        }
        Ok(Self {
            point: ResumePoint {
                target: part.target,
                encoding_checksum: part.encoding_checksum,
                offset_bytes: 0,
            },
            is_difference: part.is_difference,
            encoding_bytes: part.encoding_bytes,
            bytes: Vec::new(),
        })
    }

    fn is_continued_by(&self, part: &Part) -> bool {
        self.point.target == part.target
            && self.point.encoding_checksum == part.encoding_checksum
            && self.point.offset_bytes == part.offset_bytes
            && self.is_difference == part.is_difference
            && self.encoding_bytes == part.encoding_bytes
    }

    fn with(mut self, part: &Part) -> Self {
        self.bytes.extend_from_slice(&part.bytes);
        let len = u32::try_from(self.bytes.len());
        self.point.offset_bytes = len.unwrap_or(u32::MAX);
        self
    }
}
