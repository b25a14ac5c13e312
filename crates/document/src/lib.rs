//! Transfer of published documents between the processes of the system.
//!
//! A host that has an earlier document gets only the difference to it, a host
//! without one gets the whole document. Both are compressed and sent in parts,
//! so that an interrupted download continues where it stopped, also at another
//! host. See "Configuration" in `docs/platform.md`.

#![forbid(unsafe_code)]

mod difference;
mod download;
mod encoding;
mod history;
mod part;

pub use download::Download;
pub use history::{DocumentHistory, HistoryOptions};
pub use part::{Document, DocumentId, Part, PartRequest, ResumePoint};
