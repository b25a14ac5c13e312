//! Golden-file test of the inputs and outputs of a complete job.

mod common;

use std::io::Write;

use common::{Host, announcement, batches, finished, request};
use goldenfile::Mint;
use hornbeam_core::api::backend::{CancelAnswer, CancelStatus, TaskCancelStatus};
use hornbeam_dispatch::{DispatchInput, DispatchOutput, ExchangeOutcome};

/// `Session` writes every input and output to a golden file.
struct Session {
    host: Host,
    file: std::fs::File,
}

impl Session {
    fn step(&mut self, input: DispatchInput) -> Vec<DispatchOutput> {
        writeln!(self.file, "at {} ms: {input:?}", self.host.now_ms).unwrap();
        let outputs = self.host.step(input);
        for output in &outputs {
            writeln!(self.file, "    {output:?}").unwrap();
        }
        outputs
    }
}

/// Guards against unintended changes to the order or content of the outputs for
/// a job that is claimed, retried after a lost exchange and completed.
#[test]
fn job_with_a_retry() {
    let mut mint = Mint::new("tests/golden");
    let file = mint.new_goldenfile("job_with_a_retry.txt").unwrap();
    let mut session = Session {
        host: Host::with_id("e1"),
        file,
    };
    session.step(DispatchInput::Announced(announcement("s1")));
    let mut once = request("r-1", 2);
    once.repeatable = false;
    once.valid_until_unix_ms = Some(9_000);
    session.step(DispatchInput::Submitted("j1".into(), once.into()));
    session.host.now_ms = 5;
    let recorded = hornbeam_dispatch::ClaimOutcome::Recorded;
    let sent = batches(&session.step(DispatchInput::ClaimEnded("j1".into(), recorded)));
    session.host.now_ms = 20;
    let lost = ExchangeOutcome::Unanswered("connection reset".into());
    let outputs = session.step(DispatchInput::ExchangeEnded(sent[0].exchange, lost));
    let cancel = outputs.iter().find_map(|output| match output {
        DispatchOutput::SendCancel { cancel, .. } => Some(*cancel),
        _ => None,
    });
    session.step(DispatchInput::Announced(announcement("s2")));
    session.host.now_ms = 25;
    let never_started = CancelAnswer {
        incarnation: 1,
        fates: vec![TaskCancelStatus {
            index: 0,
            fate: CancelStatus::NeverStarted,
        }],
    };
    let again = session.step(DispatchInput::CancelEnded(
        cancel.unwrap(),
        Some(never_started),
    ));
    session.host.now_ms = 105;
    for sent in [&sent[1..], &batches(&again)].concat() {
        let answer = finished(&sent.server_id, &sent.batch);
        let outcome = ExchangeOutcome::Answered(answer);
        session.step(DispatchInput::ExchangeEnded(sent.exchange, outcome));
        session.host.now_ms += 20;
    }
    session.step(DispatchInput::DrainStarted);
}
