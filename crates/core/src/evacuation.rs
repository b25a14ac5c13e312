//! Failure domains in which operators allow no new tasks.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::ids::FailureDomainId;

/// `EvacuationList` is the set of evacuated failure domains at one revision.
///
/// Copies of the list travel between hosts and can arrive late; the one with the
/// higher revision is newer. The design is in
/// `docs/design/load-and-evacuation.md`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct EvacuationList {
    /// Number of orders that have changed the list, 0 if none has.
    pub revision: u64,
    /// Failure domains whose workers get no new tasks.
    pub failure_domains: BTreeSet<FailureDomainId>,
}

impl EvacuationList {
    /// Whether a failure domain is evacuated.
    pub fn contains(&self, failure_domain: &str) -> bool {
        self.failure_domains.contains(failure_domain)
    }
}
