//! The recorded history of a run, and a checker of the guarantees on it.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use hornbeam_core::api::caller::{Outcome, SubmitAnswer};
use hornbeam_core::ids::{ConfigVersion, HostId, RequestId, ServerId, TaskIndex};

/// Maximum time after its withdrawal in which a backend server may still get
/// work.
const WITHDRAWAL_LIMIT: Duration = Duration::from_secs(3);

/// Number of a submission. Sending a request again is a new submission.
pub type Submission = u64;

/// `Event` is one event of a run.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller sent a request.
    Submitted {
        submission: Submission,
        request_id: RequestId,
        tasks: usize,
        repeatable: bool,
    },
    /// A caller received an answer.
    Answered {
        submission: Submission,
        answer: SubmitAnswer,
    },
    /// A backend server started a task.
    Started {
        server: ServerId,
        job: String,
        submission: Submission,
        index: TaskIndex,
        /// Time since the run began.
        at: Duration,
    },
    /// A backend server started its withdrawal.
    Withdrawn {
        server: ServerId,
        /// Time since the run began.
        at: Duration,
    },
    /// A host reported the configuration version that it has in force.
    Version {
        host: HostId,
        version: ConfigVersion,
    },
    /// An operator was told that a change was accepted as a version.
    Accepted {
        change: String,
        version: ConfigVersion,
    },
}

/// `Violation` is a way in which a history violates one of the guarantees G1 to
/// G8 of docs/PROOFS.md.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Violation {
    /// G1: a task of a submission started twice.
    StartedTwice,
    /// G2: an answer holds some results, but not one per task in order.
    PartialAnswer,
    /// G2: a submission was answered twice.
    AnsweredTwice,
    /// G3: an answer belongs to another request.
    MismatchedAnswer,
    /// G3: a complete answer names a task that never started.
    ResultWithoutStart,
    /// G4: a refused submission started a task.
    RefusedButStarted,
    /// G5: a request that is not repeatable ran in two submissions.
    NonRepeatableRerun,
    /// G6: a task started on a server more than 3 s after its withdrawal.
    StartedAfterWithdrawal,
    /// G8: a host reported a lower version than before.
    VersionDecreased,
    /// G8: two changes were accepted as the same version.
    DuplicateVersion,
}

/// Gets all violations in a history.
pub fn check(events: &[Event]) -> BTreeSet<Violation> {
    let mut violations = BTreeSet::new();
    let mut record_if = |is_violated: bool, violation: Violation| {
        if is_violated {
            violations.insert(violation);
        }
    };
    let submitted = submissions(events);
    let started = starts(events);
    let withdrawn = withdrawals(events);
    let mut answered = BTreeSet::new();
    let mut first_submissions: HashMap<&RequestId, Submission> = HashMap::new();
    let mut versions: HashMap<&HostId, ConfigVersion> = HashMap::new();
    let mut changes: HashMap<ConfigVersion, &String> = HashMap::new();
    for starts in started.values().flat_map(BTreeMap::values) {
        record_if(starts.len() > 1, Violation::StartedTwice);
    }
    for event in events {
        match event {
            Event::Answered { submission, answer } => {
                let twice = !answered.insert(*submission);
                record_if(twice, Violation::AnsweredTwice);
                let Some(request) = submitted.get(submission) else {
                    record_if(true, Violation::MismatchedAnswer);
                    continue;
                };
                let starts = started.get(submission);
                let other = answer.request_id != *request.request_id;
                record_if(other, Violation::MismatchedAnswer);
                let refused = answer.outcome == Outcome::Refused && starts.is_some();
                record_if(refused, Violation::RefusedButStarted);
                record_if(is_partial(answer, request.tasks), Violation::PartialAnswer);
                for result in &answer.results {
                    let start = starts.and_then(|starts| starts.get(&result.index));
                    let first_start = start.and_then(|start| start.first());
                    record_if(first_start.is_none(), Violation::ResultWithoutStart);
                    let is_own = first_start.is_none_or(|(job, server)| {
                        result.output == format!("{job}/{}", result.index)
                            && result.server_id == **server
                    });
                    record_if(!is_own, Violation::MismatchedAnswer);
                }
            }
            Event::Started {
                submission,
                server,
                at,
                ..
            } => {
                let late = withdrawn
                    .get(server)
                    .is_some_and(|withdrawn_at| *at > *withdrawn_at + WITHDRAWAL_LIMIT);
                record_if(late, Violation::StartedAfterWithdrawal);
                let Some(request) = submitted.get(submission) else {
                    continue;
                };
                if !request.repeatable {
                    let first = *first_submissions
                        .entry(request.request_id)
                        .or_insert(*submission);
                    record_if(first != *submission, Violation::NonRepeatableRerun);
                }
            }
            Event::Version { host, version } => {
                let last = versions.insert(host, *version).unwrap_or(0);
                record_if(*version < last, Violation::VersionDecreased);
            }
            Event::Accepted { change, version } => {
                let first = *changes.entry(*version).or_insert(change);
                record_if(first != change, Violation::DuplicateVersion);
            }
            Event::Submitted { .. } | Event::Withdrawn { .. } => {}
        }
    }
    violations
}

/// `SubmittedRequest` is the part of a request that the checks compare.
struct SubmittedRequest<'a> {
    request_id: &'a RequestId,
    tasks: usize,
    repeatable: bool,
}

/// Starts of one submission by task, each with its job and server.
type StartsByTask<'a> = BTreeMap<TaskIndex, Vec<(&'a String, &'a ServerId)>>;

fn submissions(events: &[Event]) -> HashMap<Submission, SubmittedRequest<'_>> {
    let submitted = events.iter().filter_map(|event| match event {
        Event::Submitted {
            submission,
            request_id,
            tasks,
            repeatable,
        } => {
            let request = SubmittedRequest {
                request_id,
                tasks: *tasks,
                repeatable: *repeatable,
            };
            Some((*submission, request))
        }
        _ => None,
    });
    submitted.collect()
}

fn starts(events: &[Event]) -> HashMap<Submission, StartsByTask<'_>> {
    let mut starts: HashMap<Submission, StartsByTask<'_>> = HashMap::new();
    for event in events {
        if let Event::Started {
            server,
            job,
            submission,
            index,
            ..
        } = event
        {
            let tasks = starts.entry(*submission).or_default();
            tasks.entry(*index).or_default().push((job, server));
        }
    }
    starts
}

fn withdrawals(events: &[Event]) -> HashMap<&ServerId, Duration> {
    let withdrawn = events.iter().filter_map(|event| match event {
        Event::Withdrawn { server, at } => Some((server, *at)),
        _ => None,
    });
    withdrawn.collect()
}

/// Whether a complete answer lacks a result or has them out of order, or another
/// answer has results.
fn is_partial(answer: &SubmitAnswer, tasks: usize) -> bool {
    if answer.outcome != Outcome::Complete {
        return !answer.results.is_empty();
    }
    let indexes = answer.results.iter().map(|result| result.index as usize);
    !indexes.eq(0..tasks)
}
