//! Inputs of the loop that owns the fleet, and the handle that sends them.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use hornbeam_core::{Error, Result};
use hornbeam_fleet::{
    CallId, FleetInput, JobKey, JobOutcome, QueueTable, ReportAnswer, Submission, WorkerReport,
};
use tokio::sync::{mpsc, oneshot};

/// `EntryInput` is an input of the loop.
#[derive(Debug)]
pub(crate) enum EntryInput {
    /// An event for the fleet that nobody waits for.
    Fleet(FleetInput),
    /// A job and the way to its answer.
    Submit(CallId, Submission, oneshot::Sender<JobOutcome>),
    /// A status report and the way to its answer.
    Report(Box<WorkerReport>, oneshot::Sender<ReportAnswer>),
    /// A newer document with its text.
    Document(Arc<str>, Arc<QueueTable>),
    /// Counts the jobs of a queue that have not started.
    Pending(String, oneshot::Sender<u64>),
    /// Asks for the present figures.
    Figures(oneshot::Sender<Figures>),
    /// Ends the loop.
    Stop,
}

/// `Figures` are the present figures of a fleet.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Figures {
    /// Workers owned.
    pub(crate) owned_workers: u32,
    /// Free processors of the workers that take tasks, in thousandths of a core.
    pub(crate) free_cpu_milli: u64,
    /// Jobs in progress.
    pub(crate) jobs: u32,
    /// Tasks that wait for room.
    pub(crate) waiting_tasks: u32,
    /// Version of the configuration in force.
    pub(crate) document_version: u64,
    /// Versions by which the newest document at a peer is ahead.
    pub(crate) document_lag: u64,
}

/// `EntryHandle` sends inputs to the loop.
#[derive(Clone, Debug)]
pub(crate) struct EntryHandle {
    inputs: mpsc::UnboundedSender<EntryInput>,
    last_call: Arc<AtomicU64>,
}

/// Creates a connected pair. The channel is not bounded, because the loop must
/// hear of each caller that leaves; its inputs come from connections and peers
/// that are bounded in number.
pub(crate) fn channel() -> (EntryHandle, mpsc::UnboundedReceiver<EntryInput>) {
    let (inputs, receiver) = mpsc::unbounded_channel();
    let handle = EntryHandle {
        inputs,
        last_call: Arc::default(),
    };
    (handle, receiver)
}

impl EntryHandle {
    /// Sends an input that nobody waits for.
    ///
    /// # Errors
    /// `Refused` if the host has stopped.
    pub(crate) fn send(&self, input: EntryInput) -> Result<()> {
        let stopped = |_| Error::refused("the entry host has stopped");
        self.inputs.send(input).map_err(stopped)
    }

    /// Sends an input with a sender for its answer and waits for the answer.
    ///
    /// # Errors
    /// `Refused` if the host has stopped, so that the input had no effect;
    /// `OutcomeUnknown` if the host stopped before it answered.
    pub(crate) async fn ask<A>(
        &self,
        input: impl FnOnce(oneshot::Sender<A>) -> EntryInput,
    ) -> Result<A> {
        let (sender, receiver) = oneshot::channel();
        self.send(input(sender))?;
        let lost = |_| Error::outcome_unknown("the entry host stopped before it answered");
        receiver.await.map_err(lost)
    }

    /// Submits a job and waits for its end. The loop is told if this future is
    /// dropped before, because then the caller has gone.
    ///
    /// # Errors
    /// As [`EntryHandle::ask`].
    pub(crate) async fn submit(&self, submission: Submission) -> Result<JobOutcome> {
        let call = self.last_call.fetch_add(1, Ordering::Relaxed) + 1;
        let mut guard = CallGuard {
            handle: self,
            call,
            job: submission.job,
            is_answered: false,
        };
        let answer = self.ask(|sender| EntryInput::Submit(call, submission, sender));
        let answer = answer.await;
        guard.is_answered = true;
        answer
    }
}

/// `CallGuard` tells the loop that a caller has gone.
struct CallGuard<'a> {
    handle: &'a EntryHandle,
    call: CallId,
    job: JobKey,
    is_answered: bool,
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        if !self.is_answered {
            let gone = FleetInput::CallerDisconnected(self.call, self.job);
            // An error says that the loop has ended, and its jobs with it.
            let _ = self.handle.send(EntryInput::Fleet(gone));
        }
    }
}
