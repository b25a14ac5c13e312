//! Difference between two texts.
//!
//! Texts are compared in sections that end with a closing brace. A published
//! document has one such section for each queue, so the difference that a
//! changed queue makes is this queue.

use std::collections::HashMap;

use hornbeam_core::{Error, Result};
use serde::{Deserialize, Serialize};

/// Character that ends a section.
const SECTION_END: char = '}';

/// `Segment` is a piece of the target text.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Segment {
    /// Bytes of the base, by offset and length.
    Copied(u32, u32),
    /// Text that the base does not have.
    New(String),
}

/// Gets the segments from which `target` is assembled, given `base`.
///
/// # Errors
/// `Limit` if a text has 4 GiB or more.
pub(crate) fn difference(base: &str, target: &str) -> Result<Vec<Segment>> {
    let sections = sections_by_text(base)?;
    let mut segments = Vec::new();
    for section in target.split_inclusive(SECTION_END) {
        let len = text_len(section)?;
        match (segments.last_mut(), sections.get(section)) {
            // Equal sections can occur more than once, so a section that
            // follows the copied ones in the base goes before the first equal
            // one.
            (Some(Segment::Copied(offset, copied)), Some(_))
                if follows(base, *offset, *copied, section) =>
            {
                *copied += len;
            }
            (_, Some(found)) => segments.push(Segment::Copied(*found, len)),
            (Some(Segment::New(text)), None) => text.push_str(section),
            (_, None) => segments.push(Segment::New(section.to_owned())),
        }
    }
    Ok(segments)
}

/// Assembles the target text.
///
/// # Errors
/// `Codec` if a segment refers to text that the base does not have, or if the
/// target has more than `max_bytes`.
pub(crate) fn assemble(base: &str, segments: &[Segment], max_bytes: usize) -> Result<String> {
    let mut target = String::new();
    for segment in segments {
        let text = match segment {
            Segment::Copied(offset, len) => copied_text(base, *offset, *len)?,
            Segment::New(text) => text,
        };
        if target.len() + text.len() > max_bytes {
            return Err(Error::codec("the document exceeds the size limit"));
        }
        target.push_str(text);
    }
    Ok(target)
}

fn sections_by_text(base: &str) -> Result<HashMap<&str, u32>> {
    let mut offset = 0;
    let mut sections = HashMap::new();
    for section in base.split_inclusive(SECTION_END) {
        sections.entry(section).or_insert(offset);
        offset += text_len(section)?;
    }
    // The whole length was summed up without an overflow only if it fits.
    text_len(base)?;
    Ok(sections)
}

/// Whether a section follows a range of the base directly.
fn follows(base: &str, offset: u32, len: u32, section: &str) -> bool {
    let end = offset as usize + len as usize;
    base.get(end..)
        .is_some_and(|rest| rest.starts_with(section))
}

fn copied_text(base: &str, offset: u32, len: u32) -> Result<&str> {
    let start = offset as usize;
    let range = start..start.saturating_add(len as usize);
    base.get(range)
        .ok_or_else(|| Error::codec("the difference refers to text that its base does not have"))
}

fn text_len(text: &str) -> Result<u32> {
    u32::try_from(text.len()).map_err(|_| Error::limit("the document is too large"))
}
