//! Classifies the answers to jobs.

use hornbeam_core::api::caller::{Outcome, SubmitAnswer, SubmitRequest};
use hornbeam_core::{Error, Result};
use hornbeam_http::Reply;

/// HTTP status of a complete job.
const COMPLETE_STATUS: u16 = 200;

/// `JobOutcome` is the outcome of a job as its caller sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum JobOutcome {
    /// A complete answer that belongs to the request.
    Complete,
    /// The job failed.
    Failed,
    /// The job was not run.
    Refused,
    /// No answer.
    Unanswered,
    /// An incomplete or inconsistent answer, or one for another request.
    Wrong,
}

/// Classifies the answer that a caller received.
pub(crate) fn classify(
    request: &SubmitRequest,
    result: &Result<Reply<SubmitAnswer>>,
) -> JobOutcome {
    match result {
        Ok(reply) if reply.body.request_id != request.request_id => JobOutcome::Wrong,
        Ok(reply) => classify_reply(request, reply),
        Err(Error::Codec(_)) => JobOutcome::Wrong,
        Err(_) => JobOutcome::Unanswered,
    }
}

fn classify_reply(request: &SubmitRequest, reply: &Reply<SubmitAnswer>) -> JobOutcome {
    let is_200 = reply.status == COMPLETE_STATUS;
    let has_results = !reply.body.results.is_empty();
    match reply.body.outcome {
        Outcome::Complete if is_200 && is_complete(request, &reply.body) => JobOutcome::Complete,
        Outcome::Failed if !is_200 && !has_results => JobOutcome::Failed,
        Outcome::Refused if !is_200 && !has_results => JobOutcome::Refused,
        _ => JobOutcome::Wrong,
    }
}

/// Whether every task has its own result, exactly once and in order.
fn is_complete(request: &SubmitRequest, answer: &SubmitAnswer) -> bool {
    let Some(job_id) = &answer.job_id else {
        return false;
    };
    answer.results.len() == request.tasks.len()
        && (0..).zip(&answer.results).all(|(index, result)| {
            result.index == index && result.output == format!("{job_id}/{index}")
        })
}
