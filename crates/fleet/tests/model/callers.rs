//! Callers that send a job again if they get no result.

use hornbeam_fleet::{CallId, JobOutcome};

use super::Millis;

/// Time for which a caller waits.
pub const CALLER_TIMEOUT_MS: Millis = 1500;

/// Time after a missing result at which a caller sends its job again.
pub const RETRY_DELAY_MS: Millis = 1300;

/// Number of times that a job is sent.
pub const MAX_SENDS: u32 = 3;

/// `ModelJob` is a job of the load.
#[derive(Debug)]
pub struct ModelJob {
    pub tasks: u32,
    pub work_ms: Millis,
    pub sends: u32,
    /// Call in progress.
    pub call: Option<CallId>,
    pub outcome: Option<JobOutcome>,
    /// Whether each call so far was answered as not run.
    pub all_refused: bool,
    /// Tasks that have ended with a result.
    pub done: Vec<bool>,
    /// Whether a run has started.
    pub has_started: bool,
}
