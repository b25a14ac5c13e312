//! Changes of the control group's voting members.

use hornbeam_control::MembersCommand;
use hornbeam_core::Findings;
use hornbeam_core::api::operator::{MembersOutcome, MembersRequest};

use super::audit_fields;
use super::input::{ControlInput, HistoryFilter};
use super::leader::LeaderClient;
use crate::wire::MembersAnswer;

/// Submits a change to the leader. A replica that is added must have caught up
/// with the whole log first; an operator sees that in the leader's status.
pub(crate) async fn change(leader: &LeaderClient, request: MembersRequest) -> MembersOutcome {
    let findings = check(&request);
    if !findings.is_empty() {
        return MembersOutcome::Invalid { findings };
    }
    let change_id = request.change_id.clone();
    let command = MembersCommand {
        voters: request.voters,
        change_id: request.change_id,
        operator: request.operator,
        reason: request.reason,
        // Set by the leader from its clock.
        proposed_unix_ms: 0,
    };
    match leader.change_members(command).await {
        MembersAnswer::Accepted => MembersOutcome::Accepted,
        // A retransmit after a lost answer asks for the members that the first
        // attempt already made, and is refused for that reason.
        MembersAnswer::Refused(_) if is_recorded(leader, &change_id).await => {
            MembersOutcome::Accepted
        }
        MembersAnswer::Refused(cause) => MembersOutcome::Refused {
            message: format!("The change is refused: {cause}."),
        },
        MembersAnswer::NotLeader(_) => unavailable("No leader can be reached."),
        MembersAnswer::Unknown => MembersOutcome::Unknown {
            message: "The leader was lost; the audit trail shows if the change is recorded.".into(),
        },
    }
}

/// Whether the audit trail contains this change of members.
async fn is_recorded(leader: &LeaderClient, change_id: &str) -> bool {
    if !leader.confirm_read().await {
        return false;
    }
    let all = HistoryFilter::default();
    let read = |waiter| ControlInput::History(all, waiter);
    let entries = leader.event_loop.ask(read).await.unwrap_or_default();
    let mut members = entries.iter().filter(|entry| entry.version == 0);
    members.any(|entry| entry.change_id == change_id)
}

/// Builds the outcome of a change that no replica recorded.
pub(crate) fn unavailable(message: &str) -> MembersOutcome {
    MembersOutcome::Unavailable {
        message: message.to_owned(),
    }
}

/// Gets the HTTP status for an outcome.
pub(crate) const fn http_status(outcome: &MembersOutcome) -> u16 {
    match outcome {
        MembersOutcome::Accepted => 200,
        MembersOutcome::Invalid { .. } => 400,
        MembersOutcome::Refused { .. } => 409,
        MembersOutcome::Unavailable { .. } => 503,
        MembersOutcome::Unknown { .. } => 504,
    }
}

fn check(request: &MembersRequest) -> Findings {
    audit_fields::check(&request.change_id, &request.operator, &request.reason)
}
