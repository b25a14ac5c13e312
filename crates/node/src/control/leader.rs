//! Changes, claims and reads, taken to the leader if another host leads.

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

/// Longest wait for a leader that is not known yet. An election takes up to
/// about a second.
const LEADER_WAIT: Duration = Duration::from_secs(2);
/// Pause before the leader is looked up again.
const LEADER_PAUSE: Duration = Duration::from_millis(50);
/// Longest wait for the end of a proposal. A leader without a quorum steps
/// down long before.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest wait for the leader's answer to a forwarded request; above the
/// time that the leader itself takes to give up.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(6);

/// `LeaderCalls` brings requests to the leader.
#[derive(Clone, Debug)]
pub(crate) struct LeaderCalls {
    /// The loop that owns this host's replica.
    pub(crate) shell: ControlHandle,
    /// Links to the other control hosts.
    pub(crate) replicas: Arc<ReplicaTable>,
    /// The time.
    pub(crate) timer: TimerService,
}

impl LeaderCalls {
    /// Applies a change at this host or at the leader. `NotLeader` means that
    /// the change was recorded nowhere.
    pub(crate) async fn change(&self, command: &ChangeCommand) -> ChangeAnswer {
        let give_up = self.timer.now() + LEADER_WAIT;
        loop {
            let answer = match self.change_here(command.clone()).await {
                ChangeAnswer::NotLeader(Some(leader)) => self.forward_change(leader, command).await,
                answer => answer,
            };
            if !matches!(answer, ChangeAnswer::NotLeader(_)) || self.timer.now() >= give_up {
                return answer;
            }
            self.timer.sleep(LEADER_PAUSE).await;
        }
    }

    /// Applies a change only if this host leads.
    pub(crate) async fn change_here(&self, command: ChangeCommand) -> ChangeAnswer {
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
        let give_up = self.timer.now() + LEADER_WAIT;
        loop {
            let answer = match self.publish_here(command.clone()).await {
                PublishAnswer::NotLeader(Some(leader)) => {
                    self.forward_document(leader, command).await
                }
                answer => answer,
            };
            if !matches!(answer, PublishAnswer::NotLeader(_)) || self.timer.now() >= give_up {
                return answer;
            }
            self.timer.sleep(LEADER_PAUSE).await;
        }
    }

    /// Publishes a document only if this host leads.
    pub(crate) async fn publish_here(&self, command: PublishCommand) -> PublishAnswer {
        match self.propose(Command::Publish(Box::new(command))).await {
            ProposalOutcome::Applied(CommandResult::Publish(result)) => {
                PublishAnswer::Decided(result)
            }
            ProposalOutcome::NotLeader(leader) => PublishAnswer::NotLeader(leader),
            ProposalOutcome::Refused(cause) => PublishAnswer::Refused(cause.to_string()),
            ProposalOutcome::Applied(_) | ProposalOutcome::Unknown => PublishAnswer::Unknown,
        }
    }

    async fn forward_document(&self, leader: ReplicaId, command: &PublishCommand) -> PublishAnswer {
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
                    Ok(RequestAnswer::Claim(end)) => end,
                    _ => ClaimOutcome::Unavailable,
                }
            }
            end => claim_end(&end),
        }
    }

    /// Records a claim only if this host leads.
    pub(crate) async fn claim_here(&self, command: ClaimCommand) -> ClaimOutcome {
        claim_end(&self.propose(Command::Claim(command)).await)
    }

    /// Waits until this host's state is as new as the leader's now. Returns
    /// false if no leader confirmed by a quorum was found.
    pub(crate) async fn confirm_read(&self) -> bool {
        let give_up = self.timer.now() + LEADER_WAIT;
        loop {
            if self.try_confirm_read().await {
                return true;
            }
            if self.timer.now() >= give_up {
                return false;
            }
            self.timer.sleep(LEADER_PAUSE).await;
        }
    }

    /// Asks a quorum whether this host leads; gets the index to read at.
    pub(crate) async fn read_here(&self) -> Option<u64> {
        let asking = self.shell.ask(ControlInput::ConfirmRead);
        let answer = self.timer.timeout(PROPOSAL_TIMEOUT, asking).await;
        answer.and_then(Result::ok).flatten()
    }

    /// Changes the voting members at this host or at the leader.
    pub(crate) async fn members(&self, command: MembersCommand) -> MembersAnswer {
        match self.members_here(command.clone()).await {
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
    pub(crate) async fn members_here(&self, command: MembersCommand) -> MembersAnswer {
        match self.propose(Command::Members(command)).await {
            ProposalOutcome::Applied(CommandResult::Members) => MembersAnswer::Accepted,
            ProposalOutcome::Refused(cause) => MembersAnswer::Refused(cause.to_string()),
            ProposalOutcome::NotLeader(leader) => MembersAnswer::NotLeader(leader),
            ProposalOutcome::Applied(_) | ProposalOutcome::Unknown => MembersAnswer::Unknown,
        }
    }

    async fn try_confirm_read(&self) -> bool {
        if self.read_here().await.is_some() {
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
            .shell
            .ask(|waiter| ControlInput::WaitApplied(index, waiter));
        let applied = self.timer.timeout(PROPOSAL_TIMEOUT, applying).await;
        matches!(applied, Some(Ok(())))
    }

    async fn known_leader(&self) -> Option<ReplicaId> {
        let status = self.shell.ask(ControlInput::Status).await.ok()?;
        status.leader
    }

    async fn propose(&self, command: Command) -> ProposalOutcome {
        let asking = self
            .shell
            .ask(|waiter| ControlInput::Propose(command, waiter));
        match self.timer.timeout(PROPOSAL_TIMEOUT, asking).await {
            Some(Ok(end)) => end,
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

    async fn forward(
        &self,
        leader: ReplicaId,
        request: &Request,
    ) -> hornbeam_core::Result<RequestAnswer> {
        let link = self.replicas.link(leader);
        let link = link.ok_or_else(|| Error::not_sent("the leader's address is not known"))?;
        link.call(request, FORWARD_TIMEOUT).await
    }
}

fn claim_end(end: &ProposalOutcome) -> ClaimOutcome {
    match end {
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
