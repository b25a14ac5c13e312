//! Configuration changes sent by operators.

use hornbeam_control::{ChangeCommand, ChangeResult};
use hornbeam_core::api::operator::{ChangeContent, ChangeOutcome, ChangeRequest};
use hornbeam_core::config::Configuration;
use hornbeam_core::event::Event;
use hornbeam_core::ids::ConfigVersion;
use hornbeam_core::{Error, Finding, Place, log_event};

use super::audit_fields;
use super::input::ControlInput;
use super::leader::LeaderClient;
use crate::wire::ChangeAnswer;

/// Validates a change and submits it to the leader.
pub(crate) async fn apply(leader: &LeaderClient, request: ChangeRequest) -> ChangeOutcome {
    let findings = audit_fields::check(&request.change_id, &request.operator, &request.reason);
    if !findings.is_empty() {
        return ChangeOutcome::Invalid { findings };
    }
    let (action, configuration) = match resolve_content(leader, &request.content).await {
        Ok(content) => content,
        Err(outcome) => return *outcome,
    };
    let command = ChangeCommand {
        expected_version: request.expected_version,
        change_id: request.change_id,
        operator: request.operator,
        reason: request.reason,
        action,
        // Set by the leader from its clock.
        proposed_unix_ms: 0,
        configuration,
    };
    let answer = leader.change(&command).await;
    let outcome = outcome(answer);
    log_outcome(&command, &outcome);
    outcome
}

/// Builds the outcome of a change that no replica recorded.
pub(crate) fn unavailable(message: &str) -> ChangeOutcome {
    ChangeOutcome::Unavailable {
        message: message.to_owned(),
    }
}

/// Gets the HTTP status for an outcome.
pub(crate) const fn http_status(outcome: &ChangeOutcome) -> u16 {
    match outcome {
        ChangeOutcome::Accepted { .. } => 200,
        ChangeOutcome::Invalid { .. } => 400,
        ChangeOutcome::Conflict { .. } => 409,
        ChangeOutcome::Unavailable { .. } => 503,
        ChangeOutcome::Unknown { .. } => 504,
    }
}

/// Gets the name of an outcome in metrics.
pub(crate) const fn label(outcome: &ChangeOutcome) -> &'static str {
    match outcome {
        ChangeOutcome::Accepted { .. } => "accepted",
        ChangeOutcome::Invalid { .. } => "invalid",
        ChangeOutcome::Conflict { .. } => "conflict",
        ChangeOutcome::Unavailable { .. } => "unavailable",
        ChangeOutcome::Unknown { .. } => "unknown",
    }
}

/// Gets the action for the audit trail and the new configuration of a change.
async fn resolve_content(
    leader: &LeaderClient,
    content: &ChangeContent,
) -> Result<(String, Configuration), Box<ChangeOutcome>> {
    match content {
        ChangeContent::Files(files) => match hornbeam_config::load(files) {
            Ok(configuration) => Ok(("files".to_owned(), configuration)),
            Err(Error::Invalid(findings)) => Err(Box::new(ChangeOutcome::Invalid { findings })),
            Err(cause) => Err(Box::new(unavailable(&cause.to_string()))),
        },
        ChangeContent::Rollback(version) => {
            let configuration = read_version(leader, *version).await?;
            Ok((format!("rollback to {version}"), configuration))
        }
    }
}

/// Reads the configuration of an earlier version.
async fn read_version(
    leader: &LeaderClient,
    version: ConfigVersion,
) -> Result<Configuration, Box<ChangeOutcome>> {
    if !leader.confirm_read().await {
        let outcome = unavailable("No leader confirmed by a quorum was found.");
        return Err(Box::new(outcome));
    }
    let read = |waiter| ControlInput::Config(Some(version), waiter);
    match leader.event_loop.ask(read).await {
        Ok(Some(answer)) if version > 0 => Ok(answer.configuration),
        Ok(_) => {
            let place = Place::body("content.rollback");
            let finding = Finding::new(place, format!("Version {version} is not kept."));
            let findings = vec![finding];
            Err(Box::new(ChangeOutcome::Invalid { findings }))
        }
        Err(cause) => Err(Box::new(unavailable(&cause.to_string()))),
    }
}

fn outcome(answer: ChangeAnswer) -> ChangeOutcome {
    match answer {
        ChangeAnswer::Decided(ChangeResult::Accepted(version)) => {
            ChangeOutcome::Accepted { version }
        }
        ChangeAnswer::Decided(ChangeResult::Conflict {
            current_version,
            winner_change_id,
            winner_operator,
        }) => ChangeOutcome::Conflict {
            current_version,
            winner_change_id,
            winner_operator,
        },
        ChangeAnswer::Refused(cause) => ChangeOutcome::Invalid {
            findings: vec![Finding::new(Place::body("content"), cause)],
        },
        ChangeAnswer::NotLeader(_) => unavailable("No leader can be reached."),
        ChangeAnswer::Unknown => ChangeOutcome::Unknown {
            message: "The leader was lost; send the change again with its change id.".to_owned(),
        },
    }
}

fn log_outcome(command: &ChangeCommand, outcome: &ChangeOutcome) {
    let (change_id, operator) = (&command.change_id, &command.operator);
    match outcome {
        ChangeOutcome::Accepted { version } => {
            log_event!(
                Event::ChangeAccepted, change_id = change_id, operator = operator;
                "configuration {version} is accepted"
            );
        }
        ChangeOutcome::Conflict {
            current_version,
            winner_change_id,
            ..
        } => {
            log_event!(
                Event::ChangeConflict, change_id = change_id, operator = operator;
                "rejected: change {winner_change_id} has already created configuration {current_version}"
            );
        }
        _ => {}
    }
}
