//! Generation of job ids.

use std::sync::atomic::{AtomicU64, Ordering};

use hornbeam_core::ids::{HostId, JobId};

/// `JobIdGenerator` makes ids that are unique over the lifetime of the system
/// from the host's id, its start time and a counter.
#[derive(Debug)]
pub(crate) struct JobIdGenerator {
    host_id: HostId,
    start_unix_ms: u64,
    next: AtomicU64,
}

impl JobIdGenerator {
    /// Creates a generator for one start of a host.
    pub(crate) fn new(host_id: HostId, start_unix_ms: u64) -> Self {
        Self {
            host_id,
            start_unix_ms,
            next: AtomicU64::new(1),
        }
    }

    /// Makes the next id.
    pub(crate) fn next(&self) -> JobId {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        format!("{}-{}-{number}", self.host_id, self.start_unix_ms)
    }
}
