//! Validation of the fields of a change that go into the audit trail.
//!
//! The audit trail keeps thousands of these texts in memory on every control
//! host, so each of them is bounded.

use hornbeam_core::{Finding, Findings, Place};

/// Maximum length of a change id and of an operator's name, in bytes.
const MAX_NAME_BYTES: usize = 128;
/// Maximum length of a reason, in bytes.
const MAX_REASON_BYTES: usize = 1024;

/// Gets the findings about the fields that go into the audit trail.
pub(crate) fn check(change_id: &str, operator: &str, reason: &str) -> Findings {
    let mut findings = Findings::new();
    check_text(&mut findings, "change_id", change_id, 1, MAX_NAME_BYTES);
    check_text(&mut findings, "operator", operator, 1, MAX_NAME_BYTES);
    check_text(&mut findings, "reason", reason, 0, MAX_REASON_BYTES);
    findings
}

fn check_text(findings: &mut Findings, path: &str, text: &str, min: usize, max: usize) {
    if text.len() < min || text.len() > max {
        let message = format!("It must have {min} to {max} bytes, not {}.", text.len());
        findings.push(Finding::new(Place::body(path), message));
    }
}
