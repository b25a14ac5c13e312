//! Answers to the links of the system's own processes at a control host.

use std::sync::Arc;
use std::time::Duration;

use hornbeam_core::ids::ReplicaId;
use hornbeam_core::{Error, Result};
use hornbeam_timer::TimerService;
use hornbeam_transport::Service;

use super::input::ControlInput;
use super::leader::LeaderCalls;
use crate::config_watch::{self, ConfigWatch};
use crate::lifecycle::{LifeState, Lifecycle};
use crate::wire::{Request, RequestAnswer};

/// `ControlLinks` answers the links of a control host.
#[derive(Debug)]
pub(crate) struct ControlLinks {
    /// Ways to the leader and to this host's replica.
    pub(crate) leader: LeaderCalls,
    /// Id of this host's replica.
    pub(crate) replica_id: ReplicaId,
    /// What is applied here.
    pub(crate) config: ConfigWatch,
    /// The time.
    pub(crate) timer: TimerService,
    /// The life cycle of the process.
    pub(crate) life: Arc<Lifecycle>,
}

impl Service for ControlLinks {
    type Request = Request;
    type Answer = RequestAnswer;

    async fn handle(&self, request: Request) -> Result<RequestAnswer> {
        match request {
            Request::Ping => Ok(RequestAnswer::Done),
            Request::Replica {
                from,
                to,
                address,
                message,
            } => {
                if to != self.replica_id {
                    return Err(Error::refused("the message is meant for another replica"));
                }
                self.leader.replicas.learn(from, address);
                let input = ControlInput::Received(from, message);
                self.leader.shell.send(input).await?;
                Ok(RequestAnswer::Done)
            }
            Request::Follow {
                have_version,
                wait_ms,
            } => {
                let wait = Duration::from_millis(wait_ms);
                let poll = config_watch::long_poll(&self.config, have_version, wait, &self.timer);
                let newer = self.life.unless_leaving(poll).await;
                Ok(RequestAnswer::Configuration(newer.flatten()))
            }
            Request::Read => Ok(RequestAnswer::ReadAt(self.leader.read_here().await)),
            request => self.propose(request).await,
        }
    }
}

impl ControlLinks {
    async fn propose(&self, request: Request) -> Result<RequestAnswer> {
        if self.life.state() != LifeState::Ready {
            return Err(Error::refused("this control host is leaving"));
        }
        match request {
            Request::Claim(command) => {
                let end = self.leader.claim(&command).await;
                Ok(RequestAnswer::Claim(end))
            }
            Request::ForwardedClaim(command) => {
                let end = self.leader.claim_here(command).await;
                Ok(RequestAnswer::Claim(end))
            }
            Request::Apply(command) => {
                let answer = self.leader.change_here(*command).await;
                Ok(RequestAnswer::Change(answer))
            }
            Request::Members(command) => {
                let answer = self.leader.members_here(command).await;
                Ok(RequestAnswer::Members(answer))
            }
            _ => Err(Error::refused(
                "a control host does not answer this request",
            )),
        }
    }
}
