//! `hornbeam members`: shows and changes the members of the control group.

use bpaf::{Parser, construct, long};
use eyre::Result;
use hornbeam_core::Error;
use hornbeam_core::api::operator::{ControlStatus, LearnerStatus, MembersOutcome, MembersRequest};
use hornbeam_core::ids::ReplicaId;
use serde::Serialize;

use crate::client::ApiClient;
use crate::commands::history;
use crate::commands::show::READ_TIMEOUT;
use crate::exit::Exit;
use crate::globals::{GlobalOptions, globals};
use crate::input::{AuditMetadata, audit_metadata, unique_id};
use crate::output;

/// Role of the control host that tracks the learners.
const LEADER: &str = "leader";

/// `Members` holds the arguments of the command.
#[derive(Clone, Debug)]
pub(crate) struct Members {
    /// Options of every command.
    pub(crate) globals: GlobalOptions,
    action: Action,
}

/// `Action` is the requested operation on the membership.
#[derive(Clone, Debug)]
enum Action {
    Show,
    Change(MembersChange),
}

/// `MembersChange` is a membership change and its audit metadata.
#[derive(Clone, Debug)]
struct MembersChange {
    steps: Steps,
    metadata: AuditMetadata,
}

/// `Steps` are the membership changes in the order in which they are made. The
/// group accepts one change at a time.
#[derive(Clone, Debug)]
struct Steps {
    add: Option<ReplicaId>,
    remove: Option<ReplicaId>,
}

/// `GroupLine` is the printed membership.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
struct GroupLine {
    leader: ReplicaId,
    voters: Vec<ReplicaId>,
    learners: Vec<LearnerStatus>,
    last_index: u64,
}

/// `StepLine` is the printed outcome of one change.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
struct StepLine {
    change_id: String,
    voters: Vec<ReplicaId>,
    #[serde(flatten)]
    outcome: MembersOutcome,
}

/// Parses the command.
pub(crate) fn parser() -> impl Parser<Members> {
    let replace = {
        let remove = remove_id().map(Some);
        let add = add_id().map(Some);
        let steps = construct!(Steps { add, remove });
        change(
            steps,
            "replace",
            "--remove 3 --add 8123",
            "Add a replica and remove another",
        )
    };
    let add = {
        let steps = add_id().map(|id| Steps {
            add: Some(id),
            remove: None,
        });
        change(steps, "add", "--add 8123", "Add a replica")
    };
    let remove = {
        let steps = remove_id().map(|id| Steps {
            add: None,
            remove: Some(id),
        });
        change(steps, "remove", "--remove 3", "Remove a replica")
    };
    let show = globals().map(|globals| Members {
        globals,
        action: Action::Show,
    });
    construct!([replace, add, remove, show])
        .to_options()
        .descr("Shows or changes the voting members of the control group")
        .footer(
            "A replica can be added once `hornbeam members` shows it as a learner that holds \
             the whole log. `replace` adds first, so a refused addition changes nothing.\n\n\
             Example:\n\n      hornbeam members --control 10.0.0.1:7100\n      \
             hornbeam members replace --control 10.0.0.1:7100 --credential-file operator.key \
             --remove 3 --add 8123 --operator aigerim --reason 'lost disk'",
        )
        .command("members")
        .help("Show or change the members of the control group")
}

fn change(
    steps: impl Parser<Steps> + 'static,
    name: &'static str,
    ids: &str,
    help: &'static str,
) -> impl Parser<Members> {
    let globals = globals();
    let metadata = audit_metadata();
    let action = construct!(MembersChange { steps, metadata }).map(Action::Change);
    let example = format!(
        "Example:\n\n      hornbeam members {name} --control 10.0.0.1:7100 \
         --credential-file operator.key {ids} --operator aigerim --reason 'lost disk'"
    );
    construct!(Members { globals, action })
        .to_options()
        .descr(help)
        .footer(example.as_str())
        .command(name)
        .help(help)
}

fn add_id() -> impl Parser<ReplicaId> {
    long("add")
        .help("Replica that gets a vote; `hornbeam members` shows the ids of learners")
        .argument::<ReplicaId>("ID")
}

fn remove_id() -> impl Parser<ReplicaId> {
    long("remove")
        .help("Replica that loses its vote")
        .argument::<ReplicaId>("ID")
}

impl Members {
    /// Shows the members, or makes the changes one after another.
    ///
    /// # Errors
    /// If no control host answers, none leads, or a change is refused.
    pub(crate) async fn run(self) -> Result<Exit> {
        let api = self.globals.control_api(READ_TIMEOUT)?;
        match &self.action {
            Action::Show => {
                let line = GroupLine::from_status(leader(&api).await?);
                output::print_result(self.globals.output, &line, group_text)?;
                Ok(Exit::Ok)
            }
            Action::Change(change) => self.change(&api, change).await,
        }
    }

    async fn change(&self, api: &ApiClient, change: &MembersChange) -> Result<Exit> {
        let Steps { add, remove } = change.steps;
        let base = change.metadata.change_id.clone();
        let base = base.unwrap_or_else(|| unique_id("members"));
        if let Some(id) = add {
            let mut voters = leader(api).await?.voters;
            let present = voters.contains(&id);
            if !present {
                voters.push(id);
            }
            let exit = self.step(api, change, format!("{base}-add"), voters, present);
            let exit = exit.await?;
            if exit != Exit::Ok {
                return Ok(exit);
            }
        }
        if let Some(id) = remove {
            let mut voters = leader(api).await?.voters;
            let absent = !voters.contains(&id);
            voters.retain(|voter| *voter != id);
            return self
                .step(api, change, format!("{base}-remove"), voters, absent)
                .await;
        }
        Ok(Exit::Ok)
    }

    /// Makes one change and prints its outcome. A step that is already done is
    /// skipped, so a command can be repeated after a lost answer.
    async fn step(
        &self,
        api: &ApiClient,
        change: &MembersChange,
        change_id: String,
        voters: Vec<ReplicaId>,
        is_done: bool,
    ) -> Result<Exit> {
        let request = MembersRequest {
            voters,
            change_id,
            operator: change.metadata.operator.clone(),
            reason: change.metadata.reason.clone(),
        };
        let outcome = match is_done {
            true => MembersOutcome::Accepted,
            false => send(api, &request).await?,
        };
        let line = StepLine {
            change_id: request.change_id,
            voters: request.voters,
            outcome,
        };
        output::print_result(self.globals.output, &line, step_text)?;
        Ok(exit(&line.outcome))
    }
}

/// Sends a change. If its outcome is unknown, the audit trail is consulted.
async fn send(api: &ApiClient, request: &MembersRequest) -> Result<MembersOutcome> {
    let outcome = match api.post("/v1/members", request).await {
        Ok(reply) => reply.body,
        Err(Error::OutcomeUnknown(message)) => MembersOutcome::Unknown { message },
        Err(error) => return Err(error.into()),
    };
    if !matches!(outcome, MembersOutcome::Unknown { .. }) {
        return Ok(outcome);
    }
    let entries = history::entries(api, None, None).await;
    let is_recorded = entries.is_ok_and(|entries| {
        let mut ids = entries.iter().map(|entry| &entry.change_id);
        ids.any(|id| *id == request.change_id)
    });
    match is_recorded {
        true => Ok(MembersOutcome::Accepted),
        false => Ok(outcome),
    }
}

/// Reads the status of the leader. A partitioned leader may not have stepped down
/// yet, so of two hosts that claim to lead, the one with the higher term does.
async fn leader(api: &ApiClient) -> Result<ControlStatus> {
    let mut found: Option<ControlStatus> = None;
    let mut failure =
        Error::not_sent("none of the given control hosts is the leader; list all control hosts");
    for &address in api.addresses() {
        match api.get_from::<ControlStatus>(address, "/v1/status").await {
            Ok(status) if status.role == LEADER => {
                let known_term = found.as_ref().map_or(0, |known| known.term);
                if status.term > known_term {
                    found = Some(status);
                }
            }
            Ok(_) => {}
            Err(error) => failure = error,
        }
    }
    Ok(found.ok_or(failure)?)
}

impl GroupLine {
    fn from_status(status: ControlStatus) -> Self {
        Self {
            leader: status.replica_id,
            voters: status.voters,
            learners: status.learners,
            last_index: status.last_index,
        }
    }
}

fn exit(outcome: &MembersOutcome) -> Exit {
    match outcome {
        MembersOutcome::Accepted => Exit::Ok,
        MembersOutcome::Invalid { .. } => Exit::Findings,
        MembersOutcome::Refused { .. } | MembersOutcome::Unavailable { .. } => Exit::Refused,
        MembersOutcome::Unknown { .. } => Exit::Unknown,
    }
}

fn group_text(line: &GroupLine) -> String {
    let mut lines = vec![
        format!("leader {}", line.leader),
        format!("voters {}", ids(&line.voters)),
    ];
    lines.extend(line.learners.iter().map(|learner| {
        let LearnerStatus {
            replica_id,
            match_index,
        } = learner;
        let last_index = line.last_index;
        format!("learner {replica_id}: holds {match_index} of {last_index} log entries")
    }));
    lines.join("\n")
}

fn step_text(line: &StepLine) -> String {
    let id = &line.change_id;
    match &line.outcome {
        MembersOutcome::Accepted => format!("The voters are now {} ({id}).", ids(&line.voters)),
        MembersOutcome::Invalid { findings } => {
            let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
            format!("Nothing was changed:\n{}", lines.join("\n"))
        }
        MembersOutcome::Refused { message } | MembersOutcome::Unavailable { message } => {
            format!("Nothing was changed ({id}): {message}")
        }
        MembersOutcome::Unknown { message } => {
            format!("Change {id} may or may not be recorded: {message}")
        }
    }
}

fn ids(ids: &[ReplicaId]) -> String {
    let ids: Vec<String> = ids.iter().map(ToString::to_string).collect();
    ids.join(", ")
}
