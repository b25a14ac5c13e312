//! Pauses of the process, in which callers may have left.
//!
//! The inputs that arrived during a pause are handled one by one after it. Until
//! then the runs here count as last wanted when the pause began
//! (`docs/platform.md`, "Leases").

use std::time::Duration;

use crate::fleet::Fleet;
use crate::lease::RUN_END_LIMIT;

/// Time after a pause in which the inputs that arrived meanwhile are handled.
const PENDING_INPUTS_TIME: Duration = Duration::from_millis(50);

impl Fleet {
    /// Limits the leases of all runs after a pause that began at `paused_at`.
    pub(crate) fn on_paused(&mut self, paused_at: Duration) {
        self.sender.inputs_pending_until = Some(self.now + PENDING_INPUTS_TIME);
        for worker in self.workers.values_mut() {
            for run in worker.runs.values_mut() {
                run.lease_limit.get_or_insert(paused_at + RUN_END_LIMIT);
            }
        }
    }

    /// Removes these limits from the runs that are still wanted, once the inputs
    /// from the last pause are handled.
    pub(crate) fn end_pause(&mut self) {
        let is_over = |until: Duration| self.now >= until;
        if !self.sender.inputs_pending_until.is_some_and(is_over) {
            return;
        }
        self.sender.inputs_pending_until = None;
        for worker in self.workers.values_mut() {
            for (id, run) in &mut worker.runs {
                if !run.stop_requested && !self.peer_tasks.contains_key(id) {
                    run.lease_limit = None;
                }
            }
        }
    }
}
