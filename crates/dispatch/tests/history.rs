//! Tests of the history checker, mostly with histories that it must reject.

mod common;

use common::history::{HistoryEvent, Violation, check};
use googletest::prelude::*;
use hornbeam_core::api::caller::{Outcome, Reason, SubmitAnswer, TaskResult};

fn answer(outcome: Outcome, results: &[u32]) -> HistoryEvent {
    let result = |&index: &u32| TaskResult {
        index,
        output: format!("j/{index}"),
        server_id: "s".into(),
        run_ms: 1,
    };
    HistoryEvent::Answered {
        job: "j".into(),
        answer: SubmitAnswer {
            request_id: "r".into(),
            job_id: None,
            outcome,
            reason: (outcome != Outcome::Complete).then_some(Reason::TaskFailed),
            message: String::new(),
            findings: Vec::new(),
            results: results.iter().map(result).collect(),
            elapsed_ms: 0,
        },
    }
}

fn submitted(job: &str, repeatable: bool) -> HistoryEvent {
    HistoryEvent::Submitted {
        job: job.into(),
        request: "r".into(),
        tasks: 2,
        repeatable,
    }
}

fn started(job: &str, index: u32) -> HistoryEvent {
    HistoryEvent::Started {
        job: job.into(),
        index,
        server: "s".into(),
    }
}

fn with_job(steps: impl IntoIterator<Item = HistoryEvent>) -> Vec<Violation> {
    let history: Vec<_> = [submitted("j", true)].into_iter().chain(steps).collect();
    check(&history).into_iter().collect()
}

/// Guards against a checker that reports violations in valid histories.
#[gtest]
fn valid_histories_pass() {
    let complete = [
        started("j", 1),
        started("j", 0),
        answer(Outcome::Complete, &[0, 1]),
    ];
    expect_that!(with_job(complete), is_empty());
    let failed = [started("j", 0), answer(Outcome::Failed, &[])];
    expect_that!(with_job(failed), is_empty());
    expect_that!(with_job([answer(Outcome::Refused, &[])]), is_empty());
}

/// Guards against a checker that accepts invalid answers.
#[gtest]
fn invalid_answers_are_found() {
    let job = || "j".to_owned();
    let both = || [started("j", 0), started("j", 1)];
    let after_both =
        |last: &[HistoryEvent]| with_job(both().into_iter().chain(last.iter().cloned()));
    let wrong = [Violation::WrongResults(job())];
    for results in [&[0][..], &[1, 0], &[0, 1, 1]] {
        let violations = after_both(&[answer(Outcome::Complete, results)]);
        expect_that!(violations, eq(&wrong));
    }
    let never_ran = with_job([started("j", 0), answer(Outcome::Complete, &[0, 1])]);
    expect_that!(never_ran, eq(&wrong));
    let partial = after_both(&[answer(Outcome::Failed, &[0])]);
    expect_that!(partial, eq(&[Violation::WrongFailure(job())]));
    let refused = after_both(&[answer(Outcome::Refused, &[])]);
    expect_that!(refused, eq(&[Violation::RefusedButStarted(job())]));
    expect_that!(after_both(&[]), eq(&[Violation::NotAnswered(job())]));
    let complete = answer(Outcome::Complete, &[0, 1]);
    let twice = after_both(&[complete.clone(), complete]);
    expect_that!(twice, eq(&[Violation::AnsweredTwice(job())]));
}

/// Guards against a checker that accepts forbidden starts of tasks.
#[gtest]
fn forbidden_starts_are_found() {
    let twice = with_job([
        started("j", 0),
        started("j", 0),
        answer(Outcome::Failed, &[]),
    ]);
    expect_that!(twice, eq(&[Violation::StartedTwice("j".into(), 0)]));
    let late = with_job([answer(Outcome::Refused, &[]), started("j", 0)]);
    expect_that!(late, eq(&[Violation::RefusedButStarted("j".into())]));
    let lost = |job: &str| HistoryEvent::CallerLost { job: job.into() };
    let claimed = |job: &str| HistoryEvent::Claimed { job: job.into() };
    let unclaimed = check(&[submitted("j", false), started("j", 0), lost("j")]);
    expect_that!(
        unclaimed.into_iter().collect::<Vec<_>>(),
        eq(&[Violation::StartedUnclaimed("j".into())])
    );
    let resent = check(&[
        submitted("j", false),
        submitted("k", false),
        claimed("j"),
        claimed("k"),
        started("j", 0),
        started("k", 0),
        lost("j"),
        lost("k"),
    ]);
    expect_that!(
        resent.into_iter().collect::<Vec<_>>(),
        eq(&[Violation::RequestRanTwice("r".into())])
    );
}

/// Guards against a checker that accepts sends after a withdrawal, or an exceeded
/// limit.
#[gtest]
fn forbidden_sends_are_found() {
    let sent = |incarnation| HistoryEvent::Sent {
        host: "e".into(),
        server: "s".into(),
        incarnation,
    };
    let withdrew = HistoryEvent::Withdrew {
        host: "e".into(),
        server: "s".into(),
        incarnation: 1,
    };
    let history = [sent(1), withdrew.clone(), sent(2)];
    expect_that!(check(&history).is_empty(), eq(true));
    let violations = check(&[withdrew, sent(1)]);
    expect_that!(
        violations.contains(&Violation::SentAfterWithdrawal("s".into())),
        eq(true)
    );
    let in_use = |used| HistoryEvent::InUse {
        what: "slots".into(),
        used,
        limit: 2,
    };
    expect_that!(check(&[in_use(2)]).is_empty(), eq(true));
    expect_that!(
        check(&[in_use(3)]).contains(&Violation::LimitExceeded("slots".into())),
        eq(true)
    );
}
