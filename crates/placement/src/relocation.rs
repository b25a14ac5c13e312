//! Whether a run is stopped and started again on a faster worker.

use std::time::Duration;

/// Factor by which a restart must shorten the rest of a run that misses its
/// objective anyway. A restart throws away the work that is done.
const MIN_SPEEDUP: u32 = 2;

/// `RunOutlook` is what is expected of a run that goes on, and of a restart.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RunOutlook {
    /// Remaining time on its worker, by its progress.
    pub remaining: Duration,
    /// Time that a restart on a free faster worker takes.
    pub restart: Duration,
    /// Time until the objective of the job is missed.
    pub until_objective: Duration,
    /// Time until the caller stops waiting.
    pub until_deadline: Duration,
}

impl RunOutlook {
    /// Whether the caller gains enough by a restart: an answer that it would not
    /// wait for, or a late one in half of the time.
    pub fn gains_by_restart(&self) -> bool {
        if self.restart >= self.remaining {
            return false;
        }
        let is_saved = self.remaining > self.until_deadline && self.restart <= self.until_deadline;
        let is_late = self.remaining > self.until_objective;
        is_saved || (is_late && self.restart * MIN_SPEEDUP <= self.remaining)
    }
}
