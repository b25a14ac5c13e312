//! Inputs of the event loop that owns the fleet scheduler, and the handle that
//! sends them.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use hornbeam_core::{Error, Result};
use hornbeam_fleet::{
    CallId, FleetInput, JobKey, JobOutcome, QueueTable, ReportAnswer, Submission, WorkerReport,
};
use tokio::sync::{mpsc, oneshot};

/// `FleetLoopInput` is an input of the event loop.
#[derive(Debug)]
pub(crate) enum FleetLoopInput {
    /// An input of the scheduler that has no answer.
    Fleet(FleetInput),
    /// A job; its outcome goes to the sender.
    Submit(CallId, Submission, oneshot::Sender<JobOutcome>),
    /// A status report, with the times beside it; its answer goes to the sender.
    Report(
        Box<WorkerReport>,
        ReportTimes,
        oneshot::Sender<ReportAnswer>,
    ),
    /// A newer document: its text and the queues that it defines.
    Document(Arc<str>, Arc<QueueTable>),
    /// Counts the jobs of a queue that have not started.
    PendingJobs(String, oneshot::Sender<u64>),
    /// Asks for the current statistics.
    FleetStats(oneshot::Sender<FleetStats>),
    /// Ends the event loop.
    Stop,
}

/// `ReportTimes` holds the times that come beside a status report.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReportTimes {
    /// The worker's clock when it sent the report, in ms.
    pub(crate) clock_ms: Option<u64>,
    /// Time for which the worker still expects to be slow, in ms. A relayed report
    /// does not have it.
    pub(crate) cold_remaining_ms: Option<u64>,
}

/// `FleetStats` are the current values of the gauges in the metrics.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FleetStats {
    /// Workers owned.
    pub(crate) owned_workers: u32,
    /// Free CPU of the workers that accept tasks, in thousandths of a core.
    pub(crate) free_cpu_milli: u64,
    /// Jobs in progress.
    pub(crate) jobs: u32,
    /// Tasks that wait for free resources.
    pub(crate) waiting_tasks: u32,
    /// Number of evacuated failure domains.
    pub(crate) evacuated_failure_domains: u32,
    /// Revision of the list of evacuated failure domains.
    pub(crate) evacuation_revision: u64,
    /// Version of the document in force.
    pub(crate) document_version: u64,
    /// Number of versions by which the newest document at a peer is ahead.
    pub(crate) document_lag: u64,
}

/// `FleetLoopHandle` sends inputs to the event loop.
#[derive(Clone, Debug)]
pub(crate) struct FleetLoopHandle {
    inputs: mpsc::UnboundedSender<FleetLoopInput>,
    last_call: Arc<AtomicU64>,
}

/// Creates a connected pair. The channel is unbounded, because the disconnect
/// of a caller must never be lost; connections and peers bound its inputs.
pub(crate) fn channel() -> (FleetLoopHandle, mpsc::UnboundedReceiver<FleetLoopInput>) {
    let (inputs, receiver) = mpsc::unbounded_channel();
    let handle = FleetLoopHandle {
        inputs,
        last_call: Arc::default(),
    };
    (handle, receiver)
}

impl FleetLoopHandle {
    /// Sends an input without waiting for an answer.
    ///
    /// # Errors
    /// `Refused` if the host has stopped.
    pub(crate) fn send(&self, input: FleetLoopInput) -> Result<()> {
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
        input: impl FnOnce(oneshot::Sender<A>) -> FleetLoopInput,
    ) -> Result<A> {
        let (sender, receiver) = oneshot::channel();
        self.send(input(sender))?;
        let lost = |_| Error::outcome_unknown("the entry host stopped before it answered");
        receiver.await.map_err(lost)
    }

    /// Submits a job and waits for its outcome. Dropping this future before
    /// reports to the event loop that the caller has disconnected.
    ///
    /// # Errors
    /// As [`FleetLoopHandle::ask`].
    pub(crate) async fn submit(&self, submission: Submission) -> Result<JobOutcome> {
        let call = self.last_call.fetch_add(1, Ordering::Relaxed) + 1;
        let mut guard = CallGuard {
            handle: self,
            call,
            job: submission.job,
            is_answered: false,
        };
        let answer = self.ask(|sender| FleetLoopInput::Submit(call, submission, sender));
        let answer = answer.await;
        guard.is_answered = true;
        answer
    }
}

/// `CallGuard` reports a caller that disconnects before its answer.
struct CallGuard<'a> {
    handle: &'a FleetLoopHandle,
    call: CallId,
    job: JobKey,
    is_answered: bool,
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        if !self.is_answered {
            let disconnected = FleetInput::CallerDisconnected(self.call, self.job);
            // Fails only if the event loop has ended, and its jobs with it.
            let _ = self.handle.send(FleetLoopInput::Fleet(disconnected));
        }
    }
}
