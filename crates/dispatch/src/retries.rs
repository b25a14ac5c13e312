//! Retries of tasks that are proven not to have started.

use hornbeam_core::api::caller::Reason;
use hornbeam_core::event::Event;

use crate::charts::{JobEvent, TaskEvent};
use crate::dispatcher::Dispatcher;
use crate::keys::{JobKey, ServerKey, TaskPosition};

impl Dispatcher {
    /// Requeues tasks that are proven not to have started and takes `retries`
    /// from the budget, or fails their job if the budget is exhausted.
    pub(crate) fn retry_tasks(
        &mut self,
        key: JobKey,
        positions: &[TaskPosition],
        retries: usize,
        cause: &str,
    ) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let id = job.id.clone();
        for _ in 0..retries {
            if !self.retry_budget.try_acquire(self.now) {
                self.apply_task_event(key, positions, TaskEvent::Lose);
                let message = format!("The retry budget is used up: {cause}.");
                self.fail_job(key, Reason::RetriesExhausted, message);
                return;
            }
        }
        let message = format!(
            "job {id}: {} tasks are queued again: {cause}",
            positions.len()
        );
        self.log(Event::TaskRetried, message);
        self.apply_task_event(key, positions, TaskEvent::Return);
        self.enqueue_tasks(key, positions.iter().copied());
        if self.jobs.get(key).is_some_and(|job| job.no_task_started()) {
            self.apply_job_event(key, JobEvent::Unsend);
        }
    }

    /// Excludes a server for tasks that it will refuse after their cancellation.
    pub(crate) fn exclude_server(
        &mut self,
        key: JobKey,
        server: ServerKey,
        positions: &[TaskPosition],
    ) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        for &position in positions {
            job.tasks[position as usize].refused_by.push(server);
        }
    }
}
