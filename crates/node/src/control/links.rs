//! Requests from other processes of the system to a control host.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hornbeam_control::PublishedDocument;
use hornbeam_core::ids::ReplicaId;
use hornbeam_core::{Error, Result};
use hornbeam_timer::TimerService;
use hornbeam_transport::Service;
use tokio::sync::watch;

use super::evacuations::Evacuations;
use super::fleet::registry::EntryRegistry;
use super::input::ControlInput;
use super::leader::LeaderClient;
use super::replicas;
use crate::config_watch::{self, ConfigWatch};
use crate::documents::SharedDocuments;
use crate::lifecycle::{Lifecycle, LifecycleState};
use crate::wire::{Membership, MembershipUpdate, Request, RequestAnswer};

/// `ControlLinkService` answers the requests that arrive on links.
#[derive(Debug)]
pub(crate) struct ControlLinkService {
    /// Access to the leader and to this host's replica.
    pub(crate) leader: LeaderClient,
    /// Id of this host's replica.
    pub(crate) replica_id: ReplicaId,
    /// Configuration applied at this host.
    pub(crate) config: ConfigWatch,
    /// Clock and timers.
    pub(crate) timer: TimerService,
    /// The life cycle of the process.
    pub(crate) lifecycle: Arc<Lifecycle>,
    /// The document in force at this host.
    pub(crate) document: watch::Sender<PublishedDocument>,
    /// Documents to send to other hosts.
    pub(crate) documents: SharedDocuments,
    /// The list of evacuated failure domains at this host.
    pub(crate) evacuations: Evacuations,
    /// Registered entry hosts.
    pub(crate) registry: Arc<EntryRegistry>,
    /// Port for links, the same on all control hosts.
    pub(crate) link_port: u16,
}

impl Service for ControlLinkService {
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
                self.leader.replicas.record_address(from, address);
                let input = ControlInput::Received(from, message);
                self.leader.event_loop.send(input).await?;
                Ok(RequestAnswer::Done)
            }
            Request::Follow {
                have_version,
                wait_ms,
            } => {
                let wait = Duration::from_millis(wait_ms);
                let poll = config_watch::long_poll(&self.config, have_version, wait, &self.timer);
                let newer = self.lifecycle.unless_draining(poll).await;
                Ok(RequestAnswer::Configuration(newer.flatten()))
            }
            Request::Register(registration) => {
                self.registry.register(registration, self.timer.now());
                Ok(RequestAnswer::Registered(self.membership().await?))
            }
            Request::RegisterSince(registration, known) => {
                let now = self.timer.now();
                self.registry.register(registration, now);
                let update = self.registry.changes_since(known, now);
                Ok(RequestAnswer::RegisteredSince(MembershipUpdate {
                    control_hosts: self.control_hosts().await?,
                    document_version: self.document.borrow().version,
                    ..update
                }))
            }
            Request::RegisterWithEvacuations(registration, known, known_revision) => {
                let now = self.timer.now();
                self.registry.register(registration, now);
                let update = MembershipUpdate {
                    control_hosts: self.control_hosts().await?,
                    document_version: self.document.borrow().version,
                    ..self.registry.changes_since(known, now)
                };
                let newer = self.evacuations.newer_than(known_revision);
                Ok(RequestAnswer::RegisteredWithEvacuations(update, newer))
            }
            Request::CheckEvacuationSupport => Ok(RequestAnswer::Done),
            Request::Voters => {
                let status = self.leader.event_loop.ask(ControlInput::Status).await?;
                Ok(RequestAnswer::Voters(status.voters))
            }
            Request::Document(have_version) => {
                let document = self.document.borrow();
                let newer = (document.version > have_version).then(|| document.clone());
                Ok(RequestAnswer::Document(newer))
            }
            Request::DocumentPart(request) => {
                Ok(RequestAnswer::DocumentPart(self.documents.part(&request)?))
            }
            Request::Read => Ok(RequestAnswer::ReadAt(self.leader.read_index_local().await)),
            request => self.propose(request).await,
        }
    }
}

impl ControlLinkService {
    async fn membership(&self) -> Result<Membership> {
        Ok(Membership {
            entry_hosts: self.registry.entry_hosts(self.timer.now()),
            control_hosts: self.control_hosts().await?,
            document_version: self.document.borrow().version,
        })
    }

    /// Gets the link addresses of the control hosts.
    async fn control_hosts(&self) -> Result<Vec<SocketAddr>> {
        let status = self.leader.event_loop.ask(ControlInput::Status).await?;
        let learners = status.learners.iter().map(|learner| learner.replica_id);
        let ids = status.voters.iter().copied().chain(learners);
        let addresses = ids.filter_map(|id| replicas::address_of(id, self.link_port));
        Ok(addresses.collect())
    }

    async fn propose(&self, request: Request) -> Result<RequestAnswer> {
        if self.lifecycle.state() != LifecycleState::Ready {
            return Err(Error::refused("this control host is leaving"));
        }
        match request {
            Request::Claim(command) => {
                let outcome = self.leader.claim(&command).await;
                Ok(RequestAnswer::Claim(outcome))
            }
            Request::ForwardedClaim(command) => {
                let outcome = self.leader.claim_local(command).await;
                Ok(RequestAnswer::Claim(outcome))
            }
            Request::Apply(command) => {
                let answer = self.leader.change_local(*command).await;
                Ok(RequestAnswer::Change(answer))
            }
            Request::Publish(command) => {
                let answer = self.leader.publish_local(*command).await;
                Ok(RequestAnswer::Published(answer))
            }
            Request::Evacuate(command) => {
                let answer = self.evacuations.order_local(&self.leader, command).await;
                Ok(RequestAnswer::Evacuated(answer))
            }
            Request::Members(command) => {
                let answer = self.leader.change_members_local(command).await;
                Ok(RequestAnswer::Members(answer))
            }
            _ => Err(Error::refused(
                "a control host does not answer this request",
            )),
        }
    }
}
