//! The event loop that owns the replica.

use std::collections::HashMap;
use std::sync::{Arc, mpsc as std_mpsc};
use std::time::Duration;

use hornbeam_control::{
    Command, MembersCommand, PersistRequest, ProposalId, ProposalOutcome, PublishedDocument,
    ReadId, RepairOptions, Replica, ReplicaInput, ReplicaOutput,
};
use hornbeam_core::api::operator::{ConfigAnswer, ControlStatus};
use hornbeam_core::event::Event;
use hornbeam_core::ids::{ConfigVersion, HostId, ReplicaId};
use hornbeam_core::{Error, log_event};
use hornbeam_document::Document;
use hornbeam_timer::TimerService;
use tokio::sync::{mpsc, oneshot, watch};

use super::disk::DiskEvent;
use super::evacuations::Evacuations;
use super::input::ControlInput;
use super::outboxes::Outboxes;
use crate::config_watch::ConfigWatch;
use crate::documents::SharedDocuments;
use crate::lifecycle::{FailOnDrop, Lifecycle, LifecycleEvent};

/// Interval of checks whether the group needs a change of members.
const REPAIR_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// `ControlLoop` feeds inputs to the replica and executes its outputs.
#[derive(Debug)]
pub(crate) struct ControlLoop {
    /// Id of this host.
    pub(crate) host_id: HostId,
    /// Id of the replica.
    pub(crate) replica_id: ReplicaId,
    /// The consensus state machine.
    pub(crate) replica: Replica,
    /// Clock and timers.
    pub(crate) timer: TimerService,
    /// The life cycle of the process.
    pub(crate) lifecycle: Arc<Lifecycle>,
    /// Configuration applied at this host.
    pub(crate) config: ConfigWatch,
    /// Messages to other replicas.
    pub(crate) outboxes: Outboxes,
    /// Requests to the disk thread.
    pub(crate) disk: std_mpsc::Sender<PersistRequest>,
    /// Size of the data folder in bytes.
    pub(crate) disk_bytes: u64,
    /// Senders of pending answers.
    pub(crate) waiters: Waiters,
    /// The document in force at this host.
    pub(crate) document: watch::Sender<PublishedDocument>,
    /// Documents to send to other hosts.
    pub(crate) documents: SharedDocuments,
    /// The list of evacuated failure domains at this host.
    pub(crate) evacuations: Evacuations,
    /// Last index of the log when the process started. Its entries count as
    /// applied only once a leader has confirmed them.
    pub(crate) recovered_index: u64,
    /// Options of the automatic repair of the group's membership, if enabled.
    pub(crate) repair: Option<RepairOptions>,
}

/// `Waiters` holds the senders of pending answers.
#[derive(Debug, Default)]
pub(crate) struct Waiters {
    next_id: u64,
    proposals: HashMap<ProposalId, oneshot::Sender<ProposalOutcome>>,
    reads: HashMap<ReadId, oneshot::Sender<Option<u64>>>,
    applied: Vec<(u64, oneshot::Sender<()>)>,
}

impl Waiters {
    fn next_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    /// Whether no proposal and no read is pending.
    fn is_idle(&self) -> bool {
        self.proposals.is_empty() && self.reads.is_empty()
    }

    /// Answers all pending requests with an unknown outcome.
    fn fail_all(&mut self) {
        for (_, waiter) in self.proposals.drain() {
            let _ = waiter.send(ProposalOutcome::Unknown);
        }
        for (_, waiter) in self.reads.drain() {
            let _ = waiter.send(None);
        }
        self.applied.clear();
    }
}

impl ControlLoop {
    /// Runs until it is stopped or the disk fails.
    pub(crate) async fn run(
        mut self,
        mut inputs: mpsc::Receiver<ControlInput>,
        mut disk_events: mpsc::UnboundedReceiver<DiskEvent>,
    ) {
        let lifecycle = Arc::clone(&self.lifecycle);
        let _fail = FailOnDrop::new(&lifecycle);
        let drain_started = lifecycle.drain_started();
        tokio::pin!(drain_started);
        let mut draining = false;
        // Publishes the state restored from the snapshot.
        self.publish();
        let mut repair_ticks = self.timer.ticks(REPAIR_CHECK_INTERVAL);
        loop {
            let wakeup = self.replica.next_wakeup();
            tokio::select! {
                input = inputs.recv() => match input {
                    Some(ControlInput::Stop) | None => break,
                    Some(input) => self.handle_input(input),
                },
                Some(event) = disk_events.recv() => match event {
                    DiskEvent::Persisted(id, disk_bytes) => {
                        self.disk_bytes = disk_bytes;
                        self.step(ReplicaInput::Persisted(id));
                    }
                    DiskEvent::Failed(cause) => {
                        self.fail(&cause);
                        break;
                    }
                },
                () = &mut drain_started, if !draining => {
                    draining = true;
                    log_event!(Event::DrainStarted, host = self.host_id; "new work is refused");
                }
                () = self.timer.sleep_until(wakeup) => self.step(ReplicaInput::Tick),
                _ = repair_ticks.next(), if self.repair.is_some() => self.repair_group(),
            }
            if draining && self.waiters.is_idle() && self.lifecycle.on(LifecycleEvent::Drained) {
                log_event!(Event::DrainFinished; "no proposal and no read is pending");
            }
        }
        self.waiters.fail_all();
        self.outboxes.stop().await;
    }

    /// Stops the replica permanently. Other replicas may have recorded what it
    /// proposed, so the answers say neither accepted nor rejected.
    fn fail(&mut self, cause: &Error) {
        log_event!(Event::DiskFailed, host = self.host_id; "disk failed, the control host stops: {cause}");
        self.waiters.fail_all();
        self.lifecycle.on(LifecycleEvent::Failed);
    }

    fn handle_input(&mut self, input: ControlInput) {
        match input {
            ControlInput::Received(from, message) => {
                self.step(ReplicaInput::Received(from, message));
            }
            ControlInput::Propose(command, waiter) => self.propose(command, waiter),
            ControlInput::ConfirmRead(waiter) => {
                let id = self.waiters.next_id();
                self.waiters.reads.insert(id, waiter);
                self.step(ReplicaInput::Read(id));
            }
            ControlInput::WaitApplied(index, waiter) => {
                self.waiters.applied.push((index, waiter));
                self.notify_applied();
            }
            ControlInput::Config(version, waiter) => {
                let _ = waiter.send(self.config_at(version));
            }
            ControlInput::History(filter, waiter) => {
                let audit = self.replica.state().audit_trail().iter();
                let selected = audit.filter(|entry| filter.selects(entry)).cloned();
                let _ = waiter.send(selected.collect());
            }
            ControlInput::Status(waiter) => {
                let _ = waiter.send(self.status());
            }
            // Handled by `run`.
            ControlInput::Stop => {}
        }
    }

    fn propose(&mut self, mut command: Command, waiter: oneshot::Sender<ProposalOutcome>) {
        set_proposal_time(&mut command, self.timer.unix_ms());
        let id = self.waiters.next_id();
        self.waiters.proposals.insert(id, waiter);
        self.step(ReplicaInput::Propose(id, command));
    }

    /// Proposes the next change of members that repairs the group, if any.
    fn repair_group(&mut self) {
        let Some(options) = self.repair else {
            return;
        };
        let Some(voters) = self.replica.next_repair(&options) else {
            return;
        };
        log_event!(
            Event::GroupRepair, host = self.host_id;
            "changing voters from {:x?} to {voters:x?}", self.replica.voters()
        );
        let command = Command::Members(MembersCommand {
            voters,
            change_id: format!(
                "repair-{}-{}",
                self.replica.term(),
                self.replica.last_index()
            ),
            operator: self.host_id.clone(),
            reason: "repair of the group".to_owned(),
            proposed_unix_ms: 0,
        });
        let (waiter, _) = oneshot::channel();
        self.propose(command, waiter);
    }

    fn step(&mut self, input: ReplicaInput) {
        let outputs = self.replica.step(self.timer.now(), input);
        for output in outputs {
            self.execute(output);
        }
        self.evacuations.update(&self.replica, self.recovered_index);
    }

    fn execute(&mut self, output: ReplicaOutput) {
        match output {
            ReplicaOutput::Send(to, message) => {
                self.outboxes.push(to, message, &self.lifecycle);
            }
            ReplicaOutput::Persist(request) => {
                // Fails only if the disk thread has ended; its last event holds
                // the error and stops this event loop.
                let _ = self.disk.send(request);
            }
            ReplicaOutput::ProposalCompleted(id, outcome) => {
                if let Some(waiter) = self.waiters.proposals.remove(&id) {
                    let _ = waiter.send(outcome);
                }
            }
            ReplicaOutput::ReadCompleted(id, confirmed) => {
                if let Some(waiter) = self.waiters.reads.remove(&id) {
                    let index = self.replica.commit_index();
                    let _ = waiter.send(confirmed.then_some(index));
                }
            }
            ReplicaOutput::Applied => {
                self.publish();
                self.notify_applied();
            }
            ReplicaOutput::Log(event, message) => {
                log_event!(event, host = self.host_id; "{message}");
            }
        }
    }

    /// Notifies the watchers of a newer configuration and a newer document.
    fn publish(&self) {
        let state = self.replica.state();
        let version = state.version();
        if version > self.config.version() {
            let configuration = Arc::new(state.configuration().clone());
            self.config.publish(version, configuration);
        }
        let published = state.published_document();
        if published.version > self.document.borrow().version {
            let document = Document::new(published.version, published.text.clone());
            self.documents.add(document);
        }
        self.document.send_if_modified(|current| {
            let is_newer = published.version > current.version;
            if is_newer {
                *current = published.clone();
            }
            is_newer
        });
    }

    fn notify_applied(&mut self) {
        let index = self.replica.commit_index();
        let applied = |(at, _): &mut (u64, _)| *at <= index;
        for (_, waiter) in self.waiters.applied.extract_if(.., applied) {
            let _ = waiter.send(());
        }
    }

    fn config_at(&self, version: Option<ConfigVersion>) -> Option<ConfigAnswer> {
        let state = self.replica.state();
        let version = version.unwrap_or(state.version());
        let configuration = if version == state.version() {
            state.configuration()
        } else {
            state.configuration_at(version)?
        };
        Some(ConfigAnswer {
            version,
            configuration: configuration.clone(),
        })
    }

    fn status(&self) -> ControlStatus {
        let state = self.replica.state();
        ControlStatus {
            host_id: self.host_id.clone(),
            replica_id: self.replica_id,
            role: self.replica.role_name().to_owned(),
            term: self.replica.term(),
            leader: self.replica.leader(),
            commit_index: self.replica.commit_index(),
            last_index: self.replica.last_index(),
            config_version: state.version(),
            claims: state.claim_count() as u64,
            voters: self.replica.voters().to_vec(),
            learners: self.replica.learners(),
            disk_bytes: self.disk_bytes,
        }
    }
}

/// Sets the time of a proposal from the proposer's wall clock. All replicas
/// expire claims by the times in the log and so reach the same decisions.
fn set_proposal_time(command: &mut Command, unix_ms: u64) {
    match command {
        Command::Change(change) => change.proposed_unix_ms = unix_ms,
        Command::Claim(claim) => claim.now_unix_ms = unix_ms,
        Command::Members(members) => members.proposed_unix_ms = unix_ms,
        Command::Publish(publish) => publish.proposed_unix_ms = unix_ms,
        Command::Evacuate(order) => order.proposed_unix_ms = unix_ms,
        Command::Noop => {}
    }
}
