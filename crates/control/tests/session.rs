//! A session of two operators, compared with a golden file.

mod common;

use std::fmt::Display;
use std::io::Write;
use std::time::Duration;

use common::change;
use common::cluster::{Answer, Cluster};
use goldenfile::Mint;
use hornbeam_control::{ChangeCommand, Command, ReplicaInput};
use hornbeam_core::ids::ReplicaId;

/// Time within which a group without faults elects a leader and answers.
const SETTLE_TIME: Duration = Duration::from_secs(2);

struct Session {
    cluster: Cluster,
    requests: u64,
    text: String,
}

impl Session {
    fn new() -> Self {
        let mut cluster = Cluster::new(3, 21, 4);
        cluster.run(SETTLE_TIME);
        Self {
            cluster,
            requests: 0,
            text: String::new(),
        }
    }

    fn leader(&self) -> ReplicaId {
        self.cluster.leader().expect("a majority runs")
    }

    fn line(&mut self, line: impl Display) {
        self.text.push_str(&format!("{line}\n"));
    }

    /// Writes a comment on the next steps into the golden file.
    fn note(&mut self, what: &str) {
        self.line(format_args!("# {what}"));
    }

    /// Sends a change to the leader.
    fn send(&mut self, change: &ChangeCommand) {
        self.requests += 1;
        let ChangeCommand {
            operator,
            change_id,
            action,
            expected_version,
            ..
        } = change;
        let number = self.requests;
        self.line(format_args!(
            "{number} {operator}: {change_id} ({action}) on version {expected_version}"
        ));
        let leader = self.leader();
        let command = Command::Change(Box::new(change.clone()));
        self.cluster
            .step(leader, ReplicaInput::Propose(number, command));
    }

    /// Runs the group and writes the answers.
    fn answers(&mut self) {
        self.cluster.run(SETTLE_TIME);
        for (_, answer) in std::mem::take(&mut self.cluster.answers) {
            if let Answer::Proposal(request, end) = answer {
                self.line(format_args!("{request} -> {end:?}"));
            }
        }
    }

    /// Writes the state, which must be the same on every replica.
    fn state(&mut self) {
        let leader = self.leader();
        let state = self
            .cluster
            .replica(leader)
            .expect("it leads")
            .state()
            .clone();
        for id in 1..=3 {
            let replica = self.cluster.replica(id).expect("all run");
            assert_eq!(*replica.state(), state, "replica {id} differs");
        }
        let site = &state.configuration().site;
        self.line(format_args!("version {}: {site}", state.version()));
        for line in state.audit_trail() {
            self.line(format_args!(
                "  version {} {} by {}: {}",
                line.version, line.change_id, line.operator, line.action
            ));
        }
    }
}

/// Guards against a concurrent change that is lost silently, a repeated change
/// that is applied twice or answered differently after a crash, and a rollback
/// that rewrites history.
#[test]
fn two_operators() {
    let mut session = Session::new();
    session.note("two operators race with equal versions");
    let first = change(0, "feed-rounds", "aigerim");
    let second = change(0, "new-team", "dilshan");
    session.send(&first);
    session.send(&second);
    session.answers();

    session.note("the answer to the repeated race is lost; the leader crashes; resend");
    let third = change(1, "new-team-2", "dilshan");
    session.send(&third);
    session.cluster.run(SETTLE_TIME);
    session.cluster.answers.clear();
    let leader = session.leader();
    session.cluster.crash(leader);
    session.cluster.run(SETTLE_TIME);
    session.send(&third);
    session.answers();

    session.note("all replicas restart; every change is sent again");
    for id in 1..=3 {
        session.cluster.crash(id);
    }
    session.cluster.run(2 * SETTLE_TIME);
    for change in [&first, &second, &third] {
        session.send(change);
    }
    session.answers();

    session.note("rollback to version 1");
    let leader = session.leader();
    let state = session.cluster.replica(leader).expect("it leads").state();
    let earlier = state.configuration_at(1).expect("it is kept").clone();
    let mut rollback = change(2, "undo", "aigerim");
    rollback.action = "rollback to 1".into();
    rollback.configuration = earlier;
    session.send(&rollback);
    session.answers();
    session.state();

    let mut mint = Mint::new("tests/golden");
    let mut golden = mint
        .new_goldenfile("two_operators.txt")
        .expect("a writable folder");
    golden
        .write_all(session.text.as_bytes())
        .expect("a writable file");
}
