//! Collection of findings with their place.

use hornbeam_core::api::operator::{CheckRequest, SourceFile};
use hornbeam_core::{Finding, Findings, Place};

/// Largest text of one file, in bytes. The configuration of the two-year
/// target takes about 100 KB.
pub const MAX_FILE_BYTES: usize = 1 << 20;

/// Most findings of one check; the last one then says how many were left out.
/// It bounds the time and the answer for a hostile file.
pub const MAX_FINDINGS: usize = 1_000;

/// `FileRole` tells the two files apart. The order is that of findings.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum FileRole {
    /// The base file.
    Base,
    /// The site overlay.
    Overlay,
}

/// `Origin` is the position in a file that set a value.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Origin {
    /// File.
    pub(crate) role: FileRole,
    /// Offset from its start, in bytes.
    pub(crate) offset_bytes: usize,
}

/// `Report` collects the findings of both files.
#[derive(Debug)]
pub(crate) struct Report<'a> {
    files: &'a CheckRequest,
    findings: Vec<(Origin, Finding)>,
    left_out: usize,
}

impl<'a> Report<'a> {
    /// Creates an empty report.
    pub(crate) fn new(files: &'a CheckRequest) -> Self {
        Self {
            files,
            findings: Vec::new(),
            left_out: 0,
        }
    }

    /// Gets a file.
    pub(crate) fn source(&self, role: FileRole) -> &'a SourceFile {
        match role {
            FileRole::Base => &self.files.base,
            FileRole::Overlay => &self.files.overlay,
        }
    }

    /// Adds a finding.
    pub(crate) fn add(&mut self, origin: Origin, path: &str, message: impl Into<String>) {
        // One place is kept for the finding that counts those left out.
        if self.findings.len() >= MAX_FINDINGS - 1 {
            self.left_out += 1;
            return;
        }
        let place = place(self.source(origin.role), origin.offset_bytes, path);
        self.findings.push((origin, Finding::new(place, message)));
    }

    /// Gets the findings in the order of their place.
    pub(crate) fn finish(mut self) -> Findings {
        self.findings.sort_by_key(|(origin, _)| *origin);
        let mut findings: Findings = self
            .findings
            .into_iter()
            .map(|(_, finding)| finding)
            .collect();
        if self.left_out > 0 {
            let message = format!("{} more findings are not listed.", self.left_out);
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
