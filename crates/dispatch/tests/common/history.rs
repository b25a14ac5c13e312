//! Checker for the history of a simulation with several hosts and servers.

use std::collections::{BTreeMap, BTreeSet};

use hornbeam_core::api::caller::{Outcome, SubmitAnswer};
use hornbeam_core::ids::{HostId, Incarnation, JobId, RequestId, ServerId, TaskIndex};

/// `HistoryEvent` is one event of a history, which lists them in order.
#[derive(Clone, Debug)]
pub enum HistoryEvent {
    /// A caller submitted a job.
    Submitted {
        job: JobId,
        request: RequestId,
        tasks: u32,
        repeatable: bool,
    },
    /// A claim was recorded for a job.
    Claimed { job: JobId },
    /// The host of a job crashed, so its caller gets no answer.
    CallerLost { job: JobId },
    /// A task started on a server.
    Started {
        job: JobId,
        index: TaskIndex,
        server: ServerId,
    },
    /// A caller got an answer.
    Answered { job: JobId, answer: SubmitAnswer },
    /// A host received the withdrawal of a server.
    Withdrew {
        host: HostId,
        server: ServerId,
        incarnation: Incarnation,
    },
    /// A host sent tasks to a server.
    Sent {
        host: HostId,
        server: ServerId,
        incarnation: Incarnation,
    },
    /// The use of a limited resource changed.
    InUse { what: String, used: u32, limit: u32 },
}

/// `Violation` is a broken guarantee.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Violation {
    /// A task started more than once.
    StartedTwice(JobId, TaskIndex),
    /// A job got more than one answer.
    AnsweredTwice(JobId),
    /// A job got no answer.
    NotAnswered(JobId),
    /// A complete answer lacks a result, or has one that is out of order, belongs
    /// to another task, or reports a server on which the task did not start.
    WrongResults(JobId),
    /// A failed or refused answer has results or lacks a reason.
    WrongFailure(JobId),
    /// A task of a refused job started.
    RefusedButStarted(JobId),
    /// Tasks of two jobs of the same request that is not repeatable started.
    RequestRanTwice(RequestId),
    /// A task started without the claim that it needs.
    StartedUnclaimed(JobId),
    /// A host sent tasks to a server after receiving its withdrawal.
    SentAfterWithdrawal(ServerId),
    /// A limit was exceeded.
    LimitExceeded(String),
}

#[derive(Default)]
struct JobRecord {
    request: RequestId,
    tasks: u32,
    repeatable: bool,
    claimed: bool,
    caller_lost: bool,
    starts: BTreeMap<TaskIndex, Vec<ServerId>>,
    answers: Vec<SubmitAnswer>,
}

/// Gets every violation in the history of a completed run.
pub fn check(history: &[HistoryEvent]) -> BTreeSet<Violation> {
    let mut jobs: BTreeMap<JobId, JobRecord> = BTreeMap::new();
    let mut withdrawn = BTreeSet::new();
    let mut violations = BTreeSet::new();
    for step in history.iter().cloned() {
        match step {
            HistoryEvent::Submitted {
                job,
                request,
                tasks,
                repeatable,
            } => {
                let record = jobs.entry(job).or_default();
                (record.request, record.tasks, record.repeatable) = (request, tasks, repeatable);
            }
            HistoryEvent::Claimed { job } => jobs.entry(job).or_default().claimed = true,
            HistoryEvent::CallerLost { job } => jobs.entry(job).or_default().caller_lost = true,
            HistoryEvent::Started { job, index, server } => {
                let record = jobs.entry(job.clone()).or_default();
                if !record.repeatable && !record.claimed {
                    violations.insert(Violation::StartedUnclaimed(job));
                }
                record.starts.entry(index).or_default().push(server);
            }
            HistoryEvent::Answered { job, answer } => {
                jobs.entry(job).or_default().answers.push(answer)
            }
            HistoryEvent::Withdrew {
                host,
                server,
                incarnation,
            } => {
                withdrawn.insert((host, server, incarnation));
            }
            HistoryEvent::Sent {
                host,
                server,
                incarnation,
            } => {
                if withdrawn.contains(&(host, server.clone(), incarnation)) {
                    violations.insert(Violation::SentAfterWithdrawal(server));
                }
            }
            HistoryEvent::InUse { what, used, limit } => {
                if used > limit {
                    violations.insert(Violation::LimitExceeded(what));
                }
            }
        }
    }
    for (job, record) in &jobs {
        check_job(job, record, &mut violations);
    }
    check_requests(&jobs, &mut violations);
    violations
}

fn check_job(job: &JobId, record: &JobRecord, violations: &mut BTreeSet<Violation>) {
    for (index, servers) in &record.starts {
        if servers.len() > 1 {
            violations.insert(Violation::StartedTwice(job.clone(), *index));
        }
    }
    match record.answers.len() {
        0 if !record.caller_lost => {
            violations.insert(Violation::NotAnswered(job.clone()));
        }
        0 | 1 => {}
        _ => {
            violations.insert(Violation::AnsweredTwice(job.clone()));
        }
    }
    for answer in &record.answers {
        let valid_failure = answer.results.is_empty() && answer.reason.is_some();
        match answer.outcome {
            Outcome::Complete if !has_all_results(job, record, answer) => {
                violations.insert(Violation::WrongResults(job.clone()));
            }
            Outcome::Refused if !record.starts.is_empty() => {
                violations.insert(Violation::RefusedButStarted(job.clone()));
            }
            Outcome::Refused | Outcome::Failed if !valid_failure => {
                violations.insert(Violation::WrongFailure(job.clone()));
            }
            _ => {}
        }
    }
}

fn has_all_results(job: &JobId, record: &JobRecord, answer: &SubmitAnswer) -> bool {
    let in_order = answer.results.iter().map(|result| result.index);
    let is_own = |result: &hornbeam_core::api::caller::TaskResult| {
        let starts = record.starts.get(&result.index);
        let started_there = starts.is_some_and(|servers| servers.contains(&result.server_id));
        started_there && result.output == format!("{job}/{}", result.index)
    };
    in_order.eq(0..record.tasks)
        && answer.results.iter().all(is_own)
        && answer.request_id == record.request
}

fn check_requests(jobs: &BTreeMap<JobId, JobRecord>, violations: &mut BTreeSet<Violation>) {
    let mut ran = BTreeSet::new();
    for record in jobs.values() {
        if !record.repeatable && !record.starts.is_empty() && !ran.insert(&record.request) {
            violations.insert(Violation::RequestRanTwice(record.request.clone()));
        }
    }
}
