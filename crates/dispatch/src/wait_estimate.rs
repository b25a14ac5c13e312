//! Estimates of the waiting time of submitted jobs.

use hornbeam_core::api::caller::{Reason, SubmitRequest};

use crate::admission::{QueueAssignment, Refusal};
use crate::dispatcher::Dispatcher;

/// `Work` is the estimated run time of the tasks of a job, in ms.
#[derive(Clone, Copy, Debug)]
struct Work {
    longest_ms: u64,
    sum_ms: u64,
}

/// `Wait` is the estimated time until a job's first task starts and until its
/// last task is done, in ms.
#[derive(Clone, Copy, Debug)]
struct Wait {
    start_ms: u64,
    done_ms: u64,
}

impl Dispatcher {
    /// Refuses a job that would wait longer than its terms or its timeout allow.
    pub(crate) fn check_wait(
        &mut self,
        request: &SubmitRequest,
        assignment: &QueueAssignment,
    ) -> Result<(), Refusal> {
        let work = self.work_of(request, assignment);
        if work.longest_ms > request.timeout_ms {
            let message = format!(
                "A task runs {} ms, which is longer than the timeout.",
                work.longest_ms
            );
            return Err(Refusal::new(Reason::Overloaded, message));
        }
        let is_late = |wait: Wait| {
            let done_ms = wait
                .done_ms
                .max(wait.start_ms.saturating_add(work.longest_ms));
            wait.start_ms > assignment.terms.max_queue_ms || done_ms > request.timeout_ms
        };
        if is_late(self.wait_for_quota(assignment, work)) {
            let message = "The team's quota has no room in time.";
            return Err(Refusal::new(Reason::QuotaExceeded, message));
        }
        let wait = self.wait_for_slots(assignment, work);
        if is_late(wait) {
            let message = format!(
                "The job would start after {} ms and end after {} ms, which is too late.",
                wait.start_ms, wait.done_ms
            );
            return Err(Refusal::new(Reason::Overloaded, message));
        }
        Ok(())
    }

    fn work_of(&self, request: &SubmitRequest, assignment: &QueueAssignment) -> Work {
        let ratio = self.pools[assignment.pool].run_time_ratio;
        let estimates = || request.tasks.iter().map(|t| ratio.estimate_ms(t.run_ms));
        Work {
            longest_ms: estimates().max().unwrap_or(0),
            sum_ms: estimates().sum(),
        }
    }

    /// Estimates the wait that the team's quota alone causes.
    fn wait_for_quota(&mut self, assignment: &QueueAssignment, work: Work) -> Wait {
        let slots = self.attainable_slots(assignment.flow.team);
        let queued_ms = self.quotas.team(assignment.flow.team).queued_work_ms;
        let over_slots = |work_ms: u64| work_ms.checked_div(slots).unwrap_or(u64::MAX);
        Wait {
            start_ms: over_slots(queued_ms),
            done_ms: over_slots(queued_ms + work.sum_ms),
        }
    }

    /// Estimates the wait for slots from all queued work divided by the slots, but
    /// no longer than the team's fair share of the slots implies.
    fn wait_for_slots(&self, assignment: &QueueAssignment, work: Work) -> Wait {
        let pool = &self.pools[assignment.pool];
        let slots = match pool.slots {
            0 => self.peer_slots(&pool.service),
            slots => slots,
        };
        let until_done_ms = |more_ms| {
            let queue = &pool.queue;
            let share_ms = queue.work_until_done_ms(assignment.flow, assignment.weights(), more_ms);
            share_ms.min(pool.queued_work_ms + more_ms) / u64::from(slots.max(1))
        };
        Wait {
            start_ms: until_done_ms(0),
            done_ms: until_done_ms(work.sum_ms),
        }
    }
}
