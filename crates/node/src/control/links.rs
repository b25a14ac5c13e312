//! Answers to the links of the system's own processes at a control host.

use std::sync::Arc;
use std::time::Duration;

use hornbeam_control::PublishedDocument;
use hornbeam_core::ids::ReplicaId;
use hornbeam_core::{Error, Result};
use hornbeam_timer::TimerService;
use hornbeam_transport::Service;
use tokio::sync::watch;

use super::fleet::registry::EntryRegistry;
use super::input::ControlInput;
use super::leader::LeaderCalls;
use super::replicas;
use crate::config_watch::{self, ConfigWatch};
use crate::lifecycle::{Lifecycle, LifecycleState};
use crate::wire::{Membership, Request, RequestAnswer};

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
    pub(crate) lifecycle: Arc<Lifecycle>,
    /// The document in force here.
    pub(crate) document: watch::Sender<PublishedDocument>,
    /// Entry hosts that are alive.
    pub(crate) registry: Arc<EntryRegistry>,
    /// Port of the links of all control hosts.
    pub(crate) id_port: u16,
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
                let newer = self.lifecycle.unless_leaving(poll).await;
                Ok(RequestAnswer::Configuration(newer.flatten()))
            }
            Request::Register(registration) => {
                self.registry.register(registration, self.timer.now());
                Ok(RequestAnswer::Registered(self.membership().await?))
            }
            Request::Voters => {
                let status = self.leader.shell.ask(ControlInput::Status).await?;
                Ok(RequestAnswer::Voters(status.voters))
            }
            Request::Document(have_version) => {
                let document = self.document.borrow();
                let newer = (document.version > have_version).then(|| document.clone());
                Ok(RequestAnswer::Document(newer))
            }
            Request::Read => Ok(RequestAnswer::ReadAt(self.leader.read_here().await)),
            request => self.propose(request).await,
        }
    }
}

impl ControlLinks {
    async fn membership(&self) -> Result<Membership> {
        let status = self.leader.shell.ask(ControlInput::Status).await?;
        let learners = status.learners.iter().map(|learner| learner.replica_id);
        let ids = status.voters.iter().copied().chain(learners);
        let addresses = ids.filter_map(|id| replicas::address_of(id, self.id_port));
        Ok(Membership {
            entry_hosts: self.registry.entry_hosts(self.timer.now()),
            control_hosts: addresses.collect(),
            document_version: self.document.borrow().version,
        })
    }

    async fn propose(&self, request: Request) -> Result<RequestAnswer> {
        if self.lifecycle.state() != LifecycleState::Ready {
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
            Request::Publish(command) => {
                let answer = self.leader.publish_here(*command).await;
                Ok(RequestAnswer::Published(answer))
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
