//! Whether an answer is whole and belongs to its request.

use hornbeam_core::api::caller::{Outcome, SubmitAnswer, SubmitRequest};
use hornbeam_core::{Error, Result};
use hornbeam_http::Reply;

/// HTTP status of a complete job.
const COMPLETE_STATUS: u16 = 200;

/// `JobEnd` is how a job ended for its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum JobEnd {
    /// A whole answer.
    Complete,
    /// A failure.
    Failed,
    /// Not run.
    Refused,
    /// No answer.
    Unanswered,
    /// An answer that is not whole or belongs to another request.
    Wrong,
}

/// Judges what a caller got.
pub(crate) fn judge(request: &SubmitRequest, result: &Result<Reply<SubmitAnswer>>) -> JobEnd {
    match result {
        Ok(reply) if reply.body.request_id != request.request_id => JobEnd::Wrong,
        Ok(reply) => judge_own(request, reply),
        Err(Error::Codec(_)) => JobEnd::Wrong,
        Err(_) => JobEnd::Unanswered,
    }
}

fn judge_own(request: &SubmitRequest, reply: &Reply<SubmitAnswer>) -> JobEnd {
    let is_200 = reply.status == COMPLETE_STATUS;
    let has_results = !reply.body.results.is_empty();
    match reply.body.outcome {
        Outcome::Complete if is_200 && is_whole(request, &reply.body) => JobEnd::Complete,
        Outcome::Failed if !is_200 && !has_results => JobEnd::Failed,
        Outcome::Refused if !is_200 && !has_results => JobEnd::Refused,
        _ => JobEnd::Wrong,
    }
}

/// Says whether every task has its own result, once and in order.
fn is_whole(request: &SubmitRequest, answer: &SubmitAnswer) -> bool {
    let Some(job_id) = &answer.job_id else {
        return false;
    };
    answer.results.len() == request.tasks.len()
        && (0..).zip(&answer.results).all(|(index, result)| {
            result.index == index && result.output == format!("{job_id}/{index}")
        })
}
