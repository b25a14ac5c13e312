//! Validation of the announcements of backend servers.
//!
//! Announcements carry no credential, and an entry host keeps them in memory,
//! so each field is bounded.

use std::net::SocketAddr;

use hornbeam_core::api::backend::Announcement;
use hornbeam_core::{Finding, Findings, Place};

/// Maximum length of an id in bytes.
const MAX_ID_BYTES: usize = 128;
/// Maximum slots of one server. The sum over all servers must not overflow.
const MAX_SLOTS: u32 = 65_536;

/// Gets the findings about an announcement.
pub(crate) fn check(announcement: &Announcement) -> Findings {
    let mut findings = Findings::new();
    let mut report = |path: &str, message: String| {
        findings.push(Finding::new(Place::body(path), message));
    };
    if announcement.address.parse::<SocketAddr>().is_err() {
        report("address", "It must have the form ip:port.".to_owned());
    }
    let ids = [
        ("server_id", &announcement.server_id),
        ("failure_domain", &announcement.failure_domain),
        ("rack", &announcement.rack),
        ("worker_id", &announcement.worker_id),
        ("service", &announcement.service),
    ];
    for (path, id) in ids {
        if id.len() > MAX_ID_BYTES {
            report(path, format!("It must have at most {MAX_ID_BYTES} bytes."));
        }
    }
    if announcement.slots > MAX_SLOTS {
        report("slots", format!("It must be at most {MAX_SLOTS}."));
    }
    findings
}
