//! Pauses of the process, in which callers may have left.
//!
//! The inputs that arrived during a pause are handled one by one after it. Until
//! then the runs here count as last wanted when the pause began, and the tasks of
//! jobs that arrived before it do not start (`docs/platform.md`, "Leases").

use std::time::Duration;

use hornbeam_core::event::Event;

use crate::fleet::Fleet;
use crate::io::{FleetOutput, Subject};
use crate::job::JobKey;
use crate::lease::RUN_END_LIMIT;

/// Shortest time after a pause in which its inputs count as not handled. It covers
/// those that reach the machine only when it runs again.
const MIN_PENDING_INPUTS_TIME: Duration = Duration::from_millis(50);

/// `Pause` is a pause of the process whose inputs may not be handled yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pause {
    /// Time of the last step before it.
    began_at: Duration,
    /// Time until which its inputs count as not handled.
    pub(crate) pending_until: Duration,
    /// Whether all connections have been read since its end.
    connections_are_read: bool,
}

impl Fleet {
    /// Limits the leases of all runs after a pause that began at `paused_at`, and
    /// asks for all connections to be read.
    pub(crate) fn on_paused(&mut self, paused_at: Duration) {
        // It replaces an earlier one: jobs that arrived before that one arrived before
        // this one too.
        self.pause = Some(Pause {
            began_at: paused_at,
            pending_until: self.now + MIN_PENDING_INPUTS_TIME,
            connections_are_read: false,
        });
        self.sender.has_pending_inputs = true;
        for worker in self.workers.values_mut() {
            for run in worker.runs.values_mut() {
                run.lease_limit.get_or_insert(paused_at + RUN_END_LIMIT);
            }
        }
        self.last_pause += 1;
        self.emit(FleetOutput::ReadInputs(self.last_pause));
        let message = format!(
            "the process stood still for {} ms; tasks of {} jobs wait until it is known which callers have left",
            self.now.saturating_sub(paused_at).as_millis(),
            self.queued_jobs.len()
        );
        self.log(Event::ProcessPaused, Subject::Host, message);
    }

    /// Records that all connections have been read since a pause. If another pause
    /// followed, they have to be read again.
    pub(crate) fn on_inputs_read(&mut self, pause: u64) {
        if pause == self.last_pause
            && let Some(pause) = &mut self.pause
        {
            pause.connections_are_read = true;
        }
        self.end_pause();
    }

    /// Removes the limits of [`Self::on_paused`] from the runs that are still wanted,
    /// once the inputs from the last pause are handled.
    pub(crate) fn end_pause(&mut self) {
        let is_over = |pause: Pause| pause.connections_are_read && self.now >= pause.pending_until;
        if !self.pause.is_some_and(is_over) {
            return;
        }
        self.pause = None;
        self.sender.has_pending_inputs = false;
        for worker in self.workers.values_mut() {
            for (id, run) in &mut worker.runs {
                if !run.stop_requested && !self.peer_tasks.contains_key(id) {
                    run.lease_limit = None;
                }
            }
        }
    }

    /// Whether the caller of a job may have left in a pause and have sent the job to
    /// another host. A job that arrived after the pause was read from a connection
    /// that was open then.
    pub(crate) fn caller_may_have_left(&self, key: JobKey) -> bool {
        let Some(pause) = self.pause else {
            return false;
        };
        let job = self.jobs.get(&key);
        job.is_some_and(|job| job.arrived_at <= pause.began_at)
    }
}
