//! Changes, claims and reads, forwarded to the leader if another host leads.

use std::sync::Arc;
use std::time::Duration;

use hornbeam_control::{
    ChangeCommand, ClaimCommand, ClaimResult, Command, CommandResult, MembersCommand,
    ProposalOutcome, PublishCommand,
};
use hornbeam_core::Error;
use hornbeam_core::ids::ReplicaId;
use hornbeam_dispatch::ClaimOutcome;
use hornbeam_timer::TimerService;

use super::input::{ControlHandle, ControlInput};
use super::replicas::ReplicaTable;
use crate::wire::{ChangeAnswer, MembersAnswer, PublishAnswer, Request, RequestAnswer};

/// Maximum wait while no leader is known. An election takes up to about a
/// second.
const LEADER_WAIT: Duration = Duration::from_secs(2);
/// Delay before the leader is looked up again.
pub(super) const LEADER_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Timeout of a proposal. A leader without a quorum steps down long before.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of a request forwarded to the leader; longer than the leader's own
/// timeout of the proposal.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(6);

/// `LeaderClient` submits requests to the leader, wherever it runs.
#[derive(Clone, Debug)]
pub(crate) struct LeaderClient {
    /// The event loop that owns this host's replica.
    pub(crate) event_loop: ControlHandle,
    /// Links to the other control hosts.
    pub(crate) replicas: Arc<ReplicaTable>,
    /// Clock and timers.
    pub(crate) timer: TimerService,
}

impl LeaderClient {
    /// Applies a change at this host or at the leader. `NotLeader` means that
    /// no replica recorded the change.
    pub(crate) async fn change(&self, command: &ChangeCommand) -> ChangeAnswer {
        let deadline = self.timer.now() + LEADER_WAIT;
        loop {
            let answer = match self.change_local(command.clone()).await {
                ChangeAnswer::NotLeader(Some(leader)) => self.forward_change(leader, command).await,
                answer => answer,
            };
            if !matches!(answer, ChangeAnswer::NotLeader(_)) || self.timer.now() >= deadline {
                return answer;
            }
            self.timer.sleep(LEADER_RETRY_DELAY).await;
        }
    }

    /// Applies a change only if this host leads.
    pub(crate) async fn change_local(&self, command: ChangeCommand) -> ChangeAnswer {
        match self.propose(Command::Change(Box::new(command))).await {
            ProposalOutcome::Applied(CommandResult::Change(result)) => {
                ChangeAnswer::Decided(result)
            }
            ProposalOutcome::NotLeader(leader) => ChangeAnswer::NotLeader(leader),
            ProposalOutcome::Refused(cause) => {
                ChangeAnswer::Refused(format!("The change is refused: {cause}."))
            }
            ProposalOutcome::Applied(_) | ProposalOutcome::Unknown => ChangeAnswer::Unknown,
        }
    }

    /// Publishes a document at this host or at the leader.
    pub(crate) async fn publish(&self, command: &PublishCommand) -> PublishAnswer {
        let deadline = self.timer.now() + LEADER_WAIT;
        loop {
            let answer = match self.publish_local(command.clone()).await {
                PublishAnswer::NotLeader(Some(leader)) => {
                    self.forward_publish(leader, command).await
                }
                answer => answer,
            };
            if !matches!(answer, PublishAnswer::NotLeader(_)) || self.timer.now() >= deadline {
                return answer;
            }
            self.timer.sleep(LEADER_RETRY_DELAY).await;
        }
    }

    /// Publishes a document only if this host leads.
    pub(crate) async fn publish_local(&self, command: PublishCommand) -> PublishAnswer {
        match self.propose(Command::Publish(Box::new(command))).await {
            ProposalOutcome::Applied(CommandResult::Publish(result)) => {
                PublishAnswer::Decided(result)
            }
            ProposalOutcome::NotLeader(leader) => PublishAnswer::NotLeader(leader),
            ProposalOutcome::Refused(cause) => PublishAnswer::Refused(cause.to_string()),
            ProposalOutcome::Applied(_) | ProposalOutcome::Unknown => PublishAnswer::Unknown,
        }
    }

    async fn forward_publish(&self, leader: ReplicaId, command: &PublishCommand) -> PublishAnswer {
        let request = Request::Publish(Box::new(command.clone()));
        match self.forward(leader, &request).await {
            Ok(RequestAnswer::Published(answer)) => answer,
            Err(Error::NotSent(_) | Error::Refused(_)) => PublishAnswer::NotLeader(None),
            Ok(_) | Err(_) => PublishAnswer::Unknown,
        }
    }

    /// Records a claim at this host or at the leader.
    pub(crate) async fn claim(&self, command: &ClaimCommand) -> ClaimOutcome {
        match self.propose(Command::Claim(command.clone())).await {
            ProposalOutcome::NotLeader(Some(leader)) => {
                let request = Request::ForwardedClaim(command.clone());
                match self.forward(leader, &request).await {
                    Ok(RequestAnswer::Claim(outcome)) => outcome,
                    _ => ClaimOutcome::Unavailable,
                }
            }
            outcome => claim_outcome(&outcome),
        }
    }

    /// Records a claim only if this host leads.
    pub(crate) async fn claim_local(&self, command: ClaimCommand) -> ClaimOutcome {
        claim_outcome(&self.propose(Command::Claim(command)).await)
    }

    /// Waits until this host has applied everything that the leader has
    /// committed by now. Returns false if no quorum confirmed a leader.
    pub(crate) async fn confirm_read(&self) -> bool {
        let deadline = self.timer.now() + LEADER_WAIT;
        loop {
            if self.try_confirm_read().await {
                return true;
            }
            if self.timer.now() >= deadline {
                return false;
            }
            self.timer.sleep(LEADER_RETRY_DELAY).await;
        }
    }

    /// Confirms with a quorum that this host leads; gets the read index.
    pub(crate) async fn read_index_local(&self) -> Option<u64> {
        let asking = self.event_loop.ask(ControlInput::ConfirmRead);
        let answer = self.timer.timeout(PROPOSAL_TIMEOUT, asking).await;
        answer.and_then(Result::ok).flatten()
    }

    /// Changes the voting members at this host or at the leader.
    pub(crate) async fn change_members(&self, command: MembersCommand) -> MembersAnswer {
        match self.change_members_local(command.clone()).await {
            MembersAnswer::NotLeader(Some(leader)) => {
                match self.forward(leader, &Request::Members(command)).await {
                    Ok(RequestAnswer::Members(answer)) => answer,
                    Err(Error::NotSent(_) | Error::Refused(_)) => MembersAnswer::NotLeader(None),
                    Ok(_) | Err(_) => MembersAnswer::Unknown,
                }
            }
            answer => answer,
        }
    }

    /// Changes the voting members only if this host leads.
    pub(crate) async fn change_members_local(&self, command: MembersCommand) -> MembersAnswer {
        match self.propose(Command::Members(command)).await {
            ProposalOutcome::Applied(CommandResult::Members) => MembersAnswer::Accepted,
            ProposalOutcome::Refused(cause) => MembersAnswer::Refused(cause.to_string()),
            ProposalOutcome::NotLeader(leader) => MembersAnswer::NotLeader(leader),
            ProposalOutcome::Applied(_) | ProposalOutcome::Unknown => MembersAnswer::Unknown,
        }
    }

    async fn try_confirm_read(&self) -> bool {
        if self.read_index_local().await.is_some() {
            return true;
        }
        let Some(leader) = self.known_leader().await else {
            return false;
        };
        let index = match self.forward(leader, &Request::Read).await {
            Ok(RequestAnswer::ReadAt(Some(index))) => index,
            _ => return false,
        };
        let applying = self
            .event_loop
            .ask(|waiter| ControlInput::WaitApplied(index, waiter));
        let applied = self.timer.timeout(PROPOSAL_TIMEOUT, applying).await;
        matches!(applied, Some(Ok(())))
    }

    async fn known_leader(&self) -> Option<ReplicaId> {
        let status = self.event_loop.ask(ControlInput::Status).await.ok()?;
        status.leader
    }

    pub(super) async fn propose(&self, command: Command) -> ProposalOutcome {
        let asking = self
            .event_loop
            .ask(|waiter| ControlInput::Propose(command, waiter));
        match self.timer.timeout(PROPOSAL_TIMEOUT, asking).await {
            Some(Ok(outcome)) => outcome,
            Some(Err(Error::Refused(_))) => ProposalOutcome::NotLeader(None),
            Some(Err(_)) | None => ProposalOutcome::Unknown,
        }
    }

    async fn forward_change(&self, leader: ReplicaId, command: &ChangeCommand) -> ChangeAnswer {
        let request = Request::Apply(Box::new(command.clone()));
        match self.forward(leader, &request).await {
            Ok(RequestAnswer::Change(answer)) => answer,
            Err(Error::NotSent(_) | Error::Refused(_)) => ChangeAnswer::NotLeader(None),
            Ok(_) | Err(_) => ChangeAnswer::Unknown,
        }
    }

    pub(super) async fn forward(
        &self,
        leader: ReplicaId,
        request: &Request,
    ) -> hornbeam_core::Result<RequestAnswer> {
        let link = self.replicas.link(leader);
        let link = link.ok_or_else(|| Error::not_sent("the leader's address is not known"))?;
        link.call(request, FORWARD_TIMEOUT).await
    }
}

fn claim_outcome(outcome: &ProposalOutcome) -> ClaimOutcome {
    match outcome {
        ProposalOutcome::Applied(CommandResult::Claim(ClaimResult::Recorded)) => {
            ClaimOutcome::Recorded
        }
        ProposalOutcome::Applied(CommandResult::Claim(ClaimResult::AlreadyClaimed)) => {
            ClaimOutcome::AlreadyClaimed
        }
        ProposalOutcome::Applied(CommandResult::Claim(ClaimResult::Expired)) => {
            ClaimOutcome::Expired
        }
        _ => ClaimOutcome::Unavailable,
    }
}
