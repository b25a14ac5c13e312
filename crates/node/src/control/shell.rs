//! The loop that owns the replica.

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
use hornbeam_timer::TimerService;
use tokio::sync::{mpsc, oneshot, watch};

use super::disk::DiskEvent;
use super::input::ControlInput;
use super::outboxes::Outboxes;
use crate::config_watch::ConfigWatch;
use crate::lifecycle::{FailOnDrop, Lifecycle, LifecycleEvent};

/// Time between looks for a needed repair.
const REPAIR_PERIOD: Duration = Duration::from_millis(100);

/// `ControlShell` runs the replica: inputs in, outputs carried out.
#[derive(Debug)]
pub(crate) struct ControlShell {
    /// Id of this host.
    pub(crate) host_id: HostId,
    /// Id of the replica.
    pub(crate) replica_id: ReplicaId,
    /// The consensus.
    pub(crate) replica: Replica,
    /// The time.
    pub(crate) timer: TimerService,
    /// The life cycle of the process.
    pub(crate) lifecycle: Arc<Lifecycle>,
    /// Configuration applied here.
    pub(crate) config: ConfigWatch,
    /// Messages to other replicas.
    pub(crate) outboxes: Outboxes,
    /// Requests to the disk thread.
    pub(crate) disk: std_mpsc::Sender<PersistRequest>,
    /// Size of the data folder in bytes.
    pub(crate) disk_bytes: u64,
    /// Those who wait for an answer.
    pub(crate) waiting: Waiting,
    /// The document in force here.
    pub(crate) document: watch::Sender<PublishedDocument>,
    /// How the group repairs itself, if it does.
    pub(crate) repair: Option<RepairOptions>,
}

/// `Waiting` holds the senders that answers go to.
#[derive(Debug, Default)]
pub(crate) struct Waiting {
    next_id: u64,
    proposals: HashMap<ProposalId, oneshot::Sender<ProposalOutcome>>,
    reads: HashMap<ReadId, oneshot::Sender<Option<u64>>>,
    applied: Vec<(u64, oneshot::Sender<()>)>,
}

impl Waiting {
    fn next_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    /// Whether nobody waits for a decision.
    fn is_idle(&self) -> bool {
        self.proposals.is_empty() && self.reads.is_empty()
    }

    /// Tells everybody that the outcome is unknown.
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

impl ControlShell {
    /// Runs until it is stopped or the disk fails.
    pub(crate) async fn run(
        mut self,
        mut inputs: mpsc::Receiver<ControlInput>,
        mut disk_events: mpsc::UnboundedReceiver<DiskEvent>,
    ) {
        let lifecycle = Arc::clone(&self.lifecycle);
        let _fail = FailOnDrop::new(&lifecycle);
        let leaving = lifecycle.leaving();
        tokio::pin!(leaving);
        let mut draining = false;
        // Publishes what the snapshot held.
        self.publish();
        let mut repair_ticks = self.timer.ticks(REPAIR_PERIOD);
        loop {
            let wakeup = self.replica.next_wakeup();
            tokio::select! {
                input = inputs.recv() => match input {
                    Some(ControlInput::Stop) | None => break,
                    Some(input) => self.take(input),
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
                () = &mut leaving, if !draining => {
                    draining = true;
                    log_event!(Event::DrainStarted, host = self.host_id; "new work is refused");
                }
                () = self.timer.sleep_until(wakeup) => self.step(ReplicaInput::Tick),
                _ = repair_ticks.next(), if self.repair.is_some() => self.repair_group(),
            }
            if draining && self.waiting.is_idle() && self.lifecycle.on(LifecycleEvent::Drained) {
                log_event!(Event::DrainFinished; "no proposal and no read is left");
            }
        }
        self.waiting.fail_all();
        self.outboxes.stop().await;
    }

    /// Stops the replica for good. What it had proposed may be recorded
    /// elsewhere, so nobody is told that it was accepted or that it was not.
    fn fail(&mut self, cause: &Error) {
        log_event!(Event::DiskFailed, host = self.host_id; "the control host stops: {cause}");
        self.waiting.fail_all();
        self.lifecycle.on(LifecycleEvent::Failed);
    }

    fn take(&mut self, input: ControlInput) {
        match input {
            ControlInput::Received(from, message) => {
                self.step(ReplicaInput::Received(from, message));
            }
            ControlInput::Propose(command, waiter) => self.propose(command, waiter),
            ControlInput::ConfirmRead(waiter) => {
                let id = self.waiting.next_id();
                self.waiting.reads.insert(id, waiter);
                self.step(ReplicaInput::Read(id));
            }
            ControlInput::WaitApplied(index, waiter) => {
                self.waiting.applied.push((index, waiter));
                self.release_applied();
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
            // Handled by `run`, which ends.
            ControlInput::Stop => {}
        }
    }

    fn propose(&mut self, mut command: Command, waiter: oneshot::Sender<ProposalOutcome>) {
        stamp(&mut command, self.timer.unix_ms());
        let id = self.waiting.next_id();
        self.waiting.proposals.insert(id, waiter);
        self.step(ReplicaInput::Propose(id, command));
    }

    /// Proposes the next change of members that the group needs, if any.
    fn repair_group(&mut self) {
        let Some(options) = self.repair else {
            return;
        };
        let Some(voters) = self.replica.next_repair(&options) else {
            return;
        };
        log_event!(
            Event::GroupRepair, host = self.host_id;
            "voters {:x?} become {voters:x?}", self.replica.voters()
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
            self.carry_out(output);
        }
    }

    fn carry_out(&mut self, output: ReplicaOutput) {
        match output {
            ReplicaOutput::Send(to, message) => {
                self.outboxes.push(to, message, &self.lifecycle);
            }
            ReplicaOutput::Persist(request) => {
                // Fails only if the disk thread has ended; its last event
                // says why and stops this loop.
                let _ = self.disk.send(request);
            }
            ReplicaOutput::ProposalCompleted(id, end) => {
                if let Some(waiter) = self.waiting.proposals.remove(&id) {
                    let _ = waiter.send(end);
                }
            }
            ReplicaOutput::ReadCompleted(id, confirmed) => {
                if let Some(waiter) = self.waiting.reads.remove(&id) {
                    let index = self.replica.commit_index();
                    let _ = waiter.send(confirmed.then_some(index));
                }
            }
            ReplicaOutput::Applied => {
                self.publish();
                self.release_applied();
            }
            ReplicaOutput::Log(event, message) => {
                log_event!(event, host = self.host_id; "{message}");
            }
        }
    }

    /// Tells the followers of a newer configuration.
    fn publish(&self) {
        let state = self.replica.state();
        let version = state.version();
        if version > self.config.version() {
            let configuration = Arc::new(state.configuration().clone());
            self.config.publish(version, configuration);
        }
        let published = state.published_document();
        self.document.send_if_modified(|current| {
            let is_newer = published.version > current.version;
            if is_newer {
                *current = published.clone();
            }
            is_newer
        });
    }

    fn release_applied(&mut self) {
        let index = self.replica.commit_index();
        let applied = |(at, _): &mut (u64, _)| *at <= index;
        for (_, waiter) in self.waiting.applied.extract_if(.., applied) {
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

/// Sets the proposer's wall clock. All replicas expire claims by the values in
/// the log and so decide alike.
fn stamp(command: &mut Command, unix_ms: u64) {
    match command {
        Command::Change(change) => change.proposed_unix_ms = unix_ms,
        Command::Claim(claim) => claim.now_unix_ms = unix_ms,
        Command::Members(members) => members.proposed_unix_ms = unix_ms,
        Command::Publish(publish) => publish.proposed_unix_ms = unix_ms,
        Command::Noop => {}
    }
}
