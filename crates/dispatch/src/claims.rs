//! Claims of requests that are not repeatable.

use hornbeam_core::api::caller::Reason;

use crate::charts::JobState;
use crate::dispatcher::Dispatcher;
use crate::io::ClaimOutcome;

impl Dispatcher {
    /// Queues a job if its claim is recorded and refuses it otherwise.
    pub(crate) fn on_claim_ended(&mut self, job_id: &str, outcome: ClaimOutcome) {
        let Some(key) = self.jobs.find(job_id) else {
            return;
        };
        let claiming = |state| state == JobState::Claiming;
        if !self.jobs.get(key).is_some_and(|job| claiming(job.state)) {
            return;
        }
        match outcome {
            ClaimOutcome::Recorded => self.enqueue_job(key),
            ClaimOutcome::AlreadyClaimed => {
                let message = "Another job holds the claim on this request id.";
                self.refuse_job(key, Reason::AlreadyClaimed, message);
            }
            ClaimOutcome::Expired => {
                let message = "The time in valid_until_unix_ms has passed.";
                self.refuse_job(key, Reason::Expired, message);
            }
            ClaimOutcome::Unavailable => {
                let message = "The claim on the request id was not confirmed in time.";
                self.refuse_job(key, Reason::ClaimUnavailable, message);
            }
        }
    }
}
