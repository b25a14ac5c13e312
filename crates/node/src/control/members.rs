//! Changes of the control group's voting members.

use hornbeam_core::ids::ReplicaId;
use serde::Deserialize;
use volo_http::response::Response;

use super::leader::LeaderCalls;
use crate::reply;
use crate::wire::MembersAnswer;

/// `MembersRequest` is the body of `POST /v1/members`.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub(crate) struct MembersRequest {
    /// Voting members from now on; they differ from the present ones by one.
    voters: Vec<ReplicaId>,
}

/// Brings a change to the leader. A replica that is added must hold the whole
/// log before; an operator sees that in its status.
pub(crate) async fn change(leader: &LeaderCalls, request: MembersRequest) -> Response {
    match leader.members(request.voters).await {
        MembersAnswer::Accepted => reply::json(200, &serde_json::json!({})),
        MembersAnswer::Refused(cause) => reply::text(409, format!("Refused: {cause}.")),
        MembersAnswer::NotLeader(_) => reply::text(503, "No leader can be reached."),
        MembersAnswer::Unknown => reply::text(504, "The change may or may not be recorded."),
    }
}
