//! Inputs of the event loop that owns the replica, and the handle that sends
//! them.

use hornbeam_control::{Command, Message, ProposalOutcome};
use hornbeam_core::api::operator::{AuditEntry, ConfigAnswer, ControlStatus};
use hornbeam_core::ids::{ConfigVersion, OperatorId, ReplicaId};
use hornbeam_core::{Error, Result};
use tokio::sync::{mpsc, oneshot};

/// Capacity of the input queue; senders wait when it is full.
const QUEUE_CAPACITY: usize = 4096;

/// `ControlInput` is an input of the event loop.
#[derive(Debug)]
pub(crate) enum ControlInput {
    /// A message from another replica.
    Received(ReplicaId, Box<Message>),
    /// Proposes a command.
    Propose(Command, oneshot::Sender<ProposalOutcome>),
    /// Confirms with a quorum that this replica leads; answered with the read
    /// index, or `None` if a quorum did not confirm it.
    ConfirmRead(oneshot::Sender<Option<u64>>),
    /// Waits until the state up to an index is applied.
    WaitApplied(u64, oneshot::Sender<()>),
    /// Reads the configuration in force, or an earlier one.
    Config(Option<ConfigVersion>, oneshot::Sender<Option<ConfigAnswer>>),
    /// Reads the audit trail.
    History(HistoryFilter, oneshot::Sender<Vec<AuditEntry>>),
    /// Gets the status for operators.
    Status(oneshot::Sender<ControlStatus>),
    /// Ends the event loop.
    Stop,
}

/// `HistoryFilter` selects entries of the audit trail.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct HistoryFilter {
    /// Only changes of this operator.
    pub(crate) operator: Option<OperatorId>,
    /// Only this version and later ones.
    pub(crate) from_version: ConfigVersion,
}

impl HistoryFilter {
    /// Whether an entry is selected.
    pub(crate) fn selects(&self, entry: &AuditEntry) -> bool {
        let operator = self.operator.as_ref();
        entry.version >= self.from_version && operator.is_none_or(|name| *name == entry.operator)
    }
}

/// `ControlHandle` sends inputs to the event loop.
#[derive(Clone, Debug)]
pub(crate) struct ControlHandle {
    inputs: mpsc::Sender<ControlInput>,
}

/// Creates a connected pair.
pub(crate) fn channel() -> (ControlHandle, mpsc::Receiver<ControlInput>) {
    let (inputs, receiver) = mpsc::channel(QUEUE_CAPACITY);
    (ControlHandle { inputs }, receiver)
}

impl ControlHandle {
    /// Whether the event loop is running.
    pub(crate) fn is_live(&self) -> bool {
        !self.inputs.is_closed()
    }

    /// Sends an input without waiting for an answer.
    ///
    /// # Errors
    /// `Refused` if the host has stopped.
    pub(crate) async fn send(&self, input: ControlInput) -> Result<()> {
        let stopped = |_| Error::refused("the control host has stopped");
        self.inputs.send(input).await.map_err(stopped)
    }

    /// Sends an input with a sender for its answer and waits for the answer.
    ///
    /// # Errors
    /// `Refused` if the host has stopped, so that the input had no effect;
    /// `OutcomeUnknown` if the host stopped before it answered.
    pub(crate) async fn ask<A>(
        &self,
        input: impl FnOnce(oneshot::Sender<A>) -> ControlInput,
    ) -> Result<A> {
        let (sender, receiver) = oneshot::channel();
        self.send(input(sender)).await?;
        let lost = |_| Error::outcome_unknown("the control host stopped before it answered");
        receiver.await.map_err(lost)
    }
}
