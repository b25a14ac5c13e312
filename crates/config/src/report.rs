//! Collects findings with their location.

use hornbeam_core::api::operator::{CheckRequest, SourceFile};
use hornbeam_core::{Finding, Findings, Place};

/// Maximum size of one file, in bytes. The configuration of the two-year
/// target takes about 100 KB.
pub const MAX_FILE_BYTES: usize = 1 << 20;

/// Maximum number of findings of one check; the last one then states how many
/// were omitted. It bounds the time and the size of the answer for hostile input.
pub const MAX_FINDINGS: usize = 1_000;

/// `FileRole` distinguishes the two files. Findings are sorted in its order.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum FileRole {
    /// The base file.
    Base,
    /// The site overlay.
    Overlay,
}

/// `Origin` is the position in a file at which a value is set.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Origin {
    /// File that sets the value.
    pub(crate) role: FileRole,
    /// Offset from the start of the file, in bytes.
    pub(crate) offset_bytes: usize,
}

/// `Report` collects the findings of both files.
#[derive(Debug)]
pub(crate) struct Report<'a> {
    files: &'a CheckRequest,
    findings: Vec<(Origin, Finding)>,
    omitted: usize,
}

impl<'a> Report<'a> {
    /// Creates an empty report.
    pub(crate) fn new(files: &'a CheckRequest) -> Self {
        Self {
            files,
            findings: Vec::new(),
            omitted: 0,
        }
    }

    /// Gets the file with a role.
    pub(crate) fn source(&self, role: FileRole) -> &'a SourceFile {
        match role {
            FileRole::Base => &self.files.base,
            FileRole::Overlay => &self.files.overlay,
        }
    }

    /// Adds a finding.
    pub(crate) fn add(&mut self, origin: Origin, path: &str, message: impl Into<String>) {
        // The last entry is reserved for the finding that counts omitted ones.
        if self.findings.len() >= MAX_FINDINGS - 1 {
            self.omitted += 1;
            return;
        }
        let place = place(self.source(origin.role), origin.offset_bytes, path);
        self.findings.push((origin, Finding::new(place, message)));
    }

    /// Gets the findings in the order of their location.
    pub(crate) fn finish(mut self) -> Findings {
        self.findings.sort_by_key(|(origin, _)| *origin);
        let mut findings: Findings = self
            .findings
            .into_iter()
            .map(|(_, finding)| finding)
            .collect();
        if self.omitted > 0 {
            let message = format!("{} more findings are not listed.", self.omitted);
            findings.push(Finding::new(Place::default(), message));
        }
        findings
    }
}

fn place(file: &SourceFile, offset_bytes: usize, path: &str) -> Place {
    let before = file.text.get(..offset_bytes).unwrap_or(&file.text);
    let line = before.matches('\n').count() + 1;
    let column = before.chars().rev().take_while(|c| *c != '\n').count() + 1;
    Place {
        source: file.name.clone(),
        path: path.into(),
        line: u32::try_from(line).unwrap_or(u32::MAX),
        column: u32::try_from(column).unwrap_or(u32::MAX),
    }
}
