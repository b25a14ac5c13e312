//! Tests of sending a change and of comparing configurations.

use std::sync::Mutex;
use std::time::Duration;

use googletest::prelude::*;
use hornbeam_core::api::operator::{ChangeContent, ChangeOutcome, ChangeRequest};
use hornbeam_core::config::{Configuration, Institution};
use hornbeam_core::{Error, Result};
use hornbeam_ctl::{ChangeSender, RetryLimits, differences, send_until_known};
use proptest::prelude::{Just, Strategy, prop_assert, prop_assert_eq, prop_oneof, proptest};
use proptest::test_runner::{Config, RngSeed};

/// `ScriptedSender` answers successive attempts from a list and records them.
struct ScriptedSender {
    answers: Vec<Result<ChangeOutcome>>,
    sent: Mutex<Vec<(usize, String)>>,
}

impl ChangeSender for ScriptedSender {
    async fn send(&self, attempt: usize, change: &ChangeRequest) -> Result<ChangeOutcome> {
        let mut sent = self.sent.lock().unwrap();
        sent.push((attempt, change.change_id.clone()));
        self.answers[attempt].clone()
    }
}

fn request() -> ChangeRequest {
    ChangeRequest {
        expected_version: 1,
        change_id: "change-1".into(),
        operator: "aigerim".into(),
        reason: "test".into(),
        content: ChangeContent::Rollback(1),
    }
}

fn answers() -> impl Strategy<Value = Vec<Result<ChangeOutcome>>> {
    let message = || String::from("m");
    let answer = prop_oneof![
        4 => Just(Ok(ChangeOutcome::Unknown { message: message() })),
        4 => Just(Err(Error::OutcomeUnknown(message()))),
        4 => Just(Err(Error::NotSent(message()))),
        4 => Just(Ok(ChangeOutcome::Unavailable { message: message() })),
        1 => Just(Err(Error::Refused(message()))),
        1 => Just(Ok(ChangeOutcome::Accepted { version: 2 })),
        1 => Just(Ok(ChangeOutcome::Conflict {
            current_version: 2,
            winner_change_id: "other".into(),
            winner_operator: "nimal".into(),
        })),
        1 => Just(Ok(ChangeOutcome::Invalid { findings: Vec::new() })),
    ];
    proptest::collection::vec(answer, 1..8)
}

fn is_unknown(answer: &Result<ChangeOutcome>) -> bool {
    matches!(
        answer,
        Err(Error::OutcomeUnknown(_)) | Ok(ChangeOutcome::Unknown { .. })
    )
}

fn is_decided(answer: &Result<ChangeOutcome>) -> bool {
    use ChangeOutcome::{Accepted, Conflict, Invalid};
    matches!(
        answer,
        Ok(Accepted { .. } | Conflict { .. } | Invalid { .. })
    )
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(1), ..Config::default() })]

    /// Guards against reporting "not recorded" after an attempt with an unknown
    /// outcome, against a second change id, and against sending after a decision.
    #[test]
    fn unknown_outcome_is_resolved_only_by_a_decision(answers in answers()) {
        let sender = ScriptedSender { answers: answers.clone(), sent: Mutex::default() };
        let limits = RetryLimits { attempts: answers.len(), delay: Duration::ZERO };
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
        let result = runtime.block_on(send_until_known(&sender, &request(), limits));

        let sent = sender.sent.into_inner().unwrap();
        prop_assert!(sent.iter().enumerate().all(|(n, (attempt, id))| n == *attempt && id == "change-1"));
        let seen = &answers[..sent.len()];
        let last = seen.last().unwrap();
        prop_assert!(!seen[..sent.len() - 1].iter().any(is_decided));
        if is_decided(last) {
            prop_assert_eq!(&result, last);
        } else if seen.iter().any(is_unknown) {
            prop_assert!(is_unknown(&result));
            prop_assert_eq!(sent.len(), answers.len());
        } else {
            let refused = matches!(result, Err(Error::Refused(_)));
            let unavailable = matches!(result, Ok(ChangeOutcome::Unavailable { .. }));
            prop_assert!(refused || (unavailable && sent.len() == answers.len()));
        }
    }
}

/// Guards against a comparison that hides a changed, added or removed
/// setting, or lists an equal one.
#[gtest]
fn differences_lists_every_changed_setting() {
    let mut before = Configuration {
        site: "dala".into(),
        entry_hosts: 8,
        ..Configuration::default()
    };
    before
        .institutions
        .insert("a.b".into(), Institution::default());
    let mut after = before.clone();
    expect_that!(differences(&before, &after), is_empty());
    after.entry_hosts = 9;
    after.institutions["a.b"].weight = 2;
    after.failure_domains.push("almaty-a".into());
    after
        .institutions
        .insert("new".into(), Institution::default());
    let paths = |from, to| -> Vec<String> {
        let found = differences(from, to);
        found
            .into_iter()
            .map(|difference| difference.path)
            .collect()
    };
    let expected = [
        "entry_hosts",
        "failure_domains",
        "institutions.\"a.b\".weight",
        "institutions.new.max_queue_ms",
        "institutions.new.max_tasks_per_exchange",
        "institutions.new.teams",
        "institutions.new.weight",
    ];
    for mut found in [paths(&before, &after), paths(&after, &before)] {
        found.sort();
        expect_that!(found, container_eq(expected.map(String::from)));
    }
    let found = differences(&before, &after);
    let weight = found
        .iter()
        .find(|d| d.path.ends_with("b\".weight"))
        .unwrap();
    expect_that!(weight.before, some(eq(&serde_json::json!(1))));
    expect_that!(weight.after, some(eq(&serde_json::json!(2))));
}
