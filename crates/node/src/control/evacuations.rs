//! Evacuation orders, and the list of evacuated failure domains that this host
//! gives to entry hosts.

use std::time::Duration;

use hornbeam_control::{Command, CommandResult, EvacuateCommand, ProposalOutcome, Replica};
use hornbeam_core::api::operator::{EvacuationOutcome, EvacuationRequest};
use hornbeam_core::evacuation::EvacuationList;
use hornbeam_core::event::Event;
use hornbeam_core::ids::{HostId, ReplicaId};
use hornbeam_core::{Error, Finding, Findings, Place, log_event};
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::input::ControlInput;
use super::leader::{LEADER_RETRY_DELAY, LeaderClient};
use crate::wire::{EvacuateAnswer, Request, RequestAnswer};

/// Time after which an order that is not committed is answered with a failure.
/// An operator has 5 s to get it acknowledged by any control host; with 1.2 s
/// for each, three hosts that are cut off leave time for a fourth.
const ORDER_TIMEOUT: Duration = Duration::from_millis(1200);

/// Timeout of the check of a voter. An unreachable voter must leave enough time
/// to commit the order within 1 s.
const SUPPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum length of the name of a failure domain in bytes, as in configurations.
const MAX_NAME_BYTES: usize = 64;

/// Maximum number of failure domains that are evacuated at once, as in
/// configurations. It bounds the answers to registrations.
const MAX_FAILURE_DOMAINS: usize = 64;

/// `Evacuations` holds the list of evacuated failure domains that this host has
/// applied, and handles orders to change it.
#[derive(Clone, Debug)]
pub(crate) struct Evacuations {
    host_id: HostId,
    /// `None` while the replica may lack committed orders after its start.
    list: watch::Sender<Option<EvacuationList>>,
}

impl Evacuations {
    /// Creates the state of a host that has applied nothing.
    pub(crate) fn new(host_id: HostId) -> Self {
        Self {
            host_id,
            list: watch::Sender::new(None),
        }
    }

    /// Gets the list, empty while it is not known.
    pub(crate) fn list(&self) -> EvacuationList {
        self.list.borrow().clone().unwrap_or_default()
    }

    /// Gets the list if it is newer than a revision or no revision is known.
    pub(crate) fn newer_than(&self, known_revision: Option<u64>) -> Option<EvacuationList> {
        let list = self.list.borrow();
        let newer = list.as_ref().filter(|list| {
            known_revision.is_none_or(|known_revision| list.revision > known_revision)
        });
        newer.cloned()
    }

    /// Takes over the list of the replica. After a start the entries of the log
    /// are applied only when a leader has confirmed them, so until then the list
    /// may lack acknowledged orders and is not given to entry hosts.
    pub(crate) fn update(&self, replica: &Replica, recovered_index: u64) {
        let list = replica.state().evacuations();
        let is_known = self.list.borrow().is_some();
        // The new leader may have replaced entries at the end of the recovered
        // log, so the log may now end before the recovered index.
        let needed_index = recovered_index.min(replica.last_index());
        let is_current =
            is_known || replica.leader().is_some() && replica.commit_index() >= needed_index;
        let is_newer = |current: &Option<EvacuationList>| {
            current
                .as_ref()
                .is_none_or(|current| list.revision > current.revision)
        };
        if !is_current || !is_newer(&self.list.borrow()) {
            return;
        }
        if list.revision > 0 {
            log_event!(
                Event::EvacuationsInForce, host = self.host_id;
                "revision {}: evacuated failure domains {:?}", list.revision, list.failure_domains
            );
        }
        self.list.send_replace(Some(list.clone()));
    }

    /// Commits an order at this host or at the leader and logs its outcome.
    pub(crate) async fn order(
        &self,
        leader: &LeaderClient,
        order: EvacuationRequest,
    ) -> EvacuationOutcome {
        let findings = check(&order.failure_domain);
        let action = if order.is_evacuated {
            "evacuate"
        } else {
            "return to service"
        };
        let name: String = order.failure_domain.chars().take(MAX_NAME_BYTES).collect();
        let outcome = if findings.is_empty() {
            let command = EvacuateCommand {
                failure_domain: order.failure_domain,
                is_evacuated: order.is_evacuated,
                // Set by the leader from its clock.
                proposed_unix_ms: 0,
            };
            let committing = self.commit(leader, &command);
            let answer = leader.timer.timeout(ORDER_TIMEOUT, committing).await;
            outcome(answer.unwrap_or(EvacuateAnswer::Unknown))
        } else {
            EvacuationOutcome::Invalid { findings }
        };
        let event = match outcome {
            EvacuationOutcome::Acknowledged { .. } => Event::EvacuationOrdered,
            _ => Event::EvacuationNotAcknowledged,
        };
        log_event!(event, host = self.host_id; "{action} failure domain {name:?}: {outcome:?}");
        outcome
    }

    /// Commits an order only if this host leads.
    pub(crate) async fn order_local(
        &self,
        leader: &LeaderClient,
        command: EvacuateCommand,
    ) -> EvacuateAnswer {
        let status = match leader.event_loop.ask(ControlInput::Status).await {
            Ok(status) => status,
            Err(cause) => return EvacuateAnswer::Refused(cause.to_string()),
        };
        if status.leader != Some(status.replica_id) {
            return EvacuateAnswer::NotLeader(status.leader);
        }
        if command.is_evacuated {
            let list = self.list();
            let count = list.failure_domains.len();
            if !list.contains(&command.failure_domain) && count >= MAX_FAILURE_DOMAINS {
                return EvacuateAnswer::Refused(format!(
                    "{count} failure domains are evacuated, which is the maximum"
                ));
            }
        }
        let others = status.voters.iter().filter(|id| **id != status.replica_id);
        let support = check_support(leader, others).await;
        if !support.refusals.is_empty() {
            return EvacuateAnswer::Refused(format!(
                "a voter may be of a build without evacuations: {}",
                support.refusals.join("; ")
            ));
        }
        if support.accepted < status.voters.len() / 2 {
            return EvacuateAnswer::NotLeader(None);
        }
        match leader.propose(Command::Evacuate(command)).await {
            ProposalOutcome::Applied(CommandResult::Evacuated(revision)) => {
                EvacuateAnswer::Decided(revision)
            }
            ProposalOutcome::NotLeader(leader) => EvacuateAnswer::NotLeader(leader),
            ProposalOutcome::Refused(cause) => EvacuateAnswer::Refused(cause.to_string()),
            ProposalOutcome::Applied(_) | ProposalOutcome::Unknown => EvacuateAnswer::Unknown,
        }
    }

    /// Commits an order, again and again until a leader has answered. The caller
    /// bounds the time.
    async fn commit(&self, leader: &LeaderClient, command: &EvacuateCommand) -> EvacuateAnswer {
        loop {
            let answer = match self.order_local(leader, command.clone()).await {
                EvacuateAnswer::NotLeader(Some(to)) => forward(leader, to, command).await,
                answer => answer,
            };
            if !matches!(answer, EvacuateAnswer::NotLeader(_)) {
                return answer;
            }
            leader.timer.sleep(LEADER_RETRY_DELAY).await;
        }
    }
}

async fn forward(leader: &LeaderClient, to: ReplicaId, order: &EvacuateCommand) -> EvacuateAnswer {
    match leader.forward(to, &Request::Evacuate(order.clone())).await {
        Ok(RequestAnswer::Evacuated(answer)) => answer,
        // A leader of the previous build refuses the request, and so does one
        // that is leaving. The next leader may accept it.
        Err(Error::NotSent(_) | Error::Refused(_)) => EvacuateAnswer::NotLeader(None),
        Ok(_) | Err(_) => EvacuateAnswer::Unknown,
    }
}

/// `Support` counts the voters that can decode an evacuation order.
#[derive(Debug, Default)]
struct Support {
    accepted: usize,
    refusals: Vec<String>,
}

/// Asks voters whether they can decode an evacuation order. A voter that cannot
/// would get no log entry after it, and if a quorum of them is needed, nothing
/// could be committed until they are upgraded.
async fn check_support(leader: &LeaderClient, voters: impl Iterator<Item = &ReplicaId>) -> Support {
    let mut checks = JoinSet::new();
    for &id in voters {
        let Some(link) = leader.replicas.link(id) else {
            continue;
        };
        checks.spawn(async move {
            let request = Request::CheckEvacuationSupport;
            let answer: hornbeam_core::Result<RequestAnswer> =
                link.call(&request, SUPPORT_TIMEOUT).await;
            (id, answer)
        });
    }
    let mut support = Support::default();
    while let Some(ended) = checks.join_next().await {
        match ended {
            Ok((_, Ok(RequestAnswer::Done))) => support.accepted += 1,
            Ok((id, Err(Error::Refused(cause)))) => {
                support.refusals.push(format!("replica {id}: {cause}"));
            }
            // Unreachable voters count as absent; the quorum decides.
            Ok(_) | Err(_) => {}
        }
    }
    support
}

fn check(failure_domain: &str) -> Findings {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    let has_length = (1..=MAX_NAME_BYTES).contains(&failure_domain.len());
    let mut findings = Findings::new();
    if !has_length || !failure_domain.bytes().all(is_allowed) {
        let message = format!("It must have 1 to {MAX_NAME_BYTES} characters of [A-Za-z0-9._-].");
        findings.push(Finding::new(Place::body("failure_domain"), message));
    }
    findings
}

fn outcome(answer: EvacuateAnswer) -> EvacuationOutcome {
    match answer {
        EvacuateAnswer::Decided(revision) => EvacuationOutcome::Acknowledged { revision },
        EvacuateAnswer::Refused(cause) => unavailable(&format!("The order is refused: {cause}.")),
        EvacuateAnswer::NotLeader(_) => unavailable("No leader can be reached."),
        EvacuateAnswer::Unknown => EvacuationOutcome::Unknown {
            message: "The order was not confirmed in time; it can be sent again.".into(),
        },
    }
}

/// Builds the outcome of an order that no replica recorded.
pub(crate) fn unavailable(message: &str) -> EvacuationOutcome {
    EvacuationOutcome::Unavailable {
        message: message.to_owned(),
    }
}

/// Gets the HTTP status for an outcome.
pub(crate) const fn http_status(outcome: &EvacuationOutcome) -> u16 {
    match outcome {
        EvacuationOutcome::Acknowledged { .. } => 200,
        EvacuationOutcome::Invalid { .. } => 400,
        EvacuationOutcome::Unavailable { .. } => 503,
        EvacuationOutcome::Unknown { .. } => 504,
    }
}
