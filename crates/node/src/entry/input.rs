//! Inputs of the event loop that owns the dispatcher, and the handle that sends
//! them.

use std::sync::Arc;

use hornbeam_core::api::backend::{AnnounceAnswer, Announcement, Withdrawal};
use hornbeam_core::api::caller::{SubmitAnswer, SubmitRequest};
use hornbeam_core::api::operator::EntryStatus;
use hornbeam_core::ids::{ChunkId, HostId, JobId};
use hornbeam_core::{Error, Result};
use hornbeam_dispatch::{Chunk, ChunkAnswer, ChunkTaskCancelStatus, DispatchInput, PeerStatus};
use tokio::sync::{mpsc, oneshot};

/// Capacity of the input queue; senders wait when it is full.
const QUEUE_CAPACITY: usize = 4096;

/// `DispatchLoopInput` is an input of the event loop.
#[derive(Debug)]
pub(crate) enum DispatchLoopInput {
    /// An input of the dispatcher that has no answer.
    Dispatch(DispatchInput),
    /// A job; answered when it has ended.
    Submit(JobId, Arc<SubmitRequest>, oneshot::Sender<SubmitAnswer>),
    /// An announcement; answered in the same step.
    Announce(Announcement, oneshot::Sender<AnnounceAnswer>),
    /// A withdrawal; answered after the step, when no more work is started on
    /// the server.
    Withdraw(Withdrawal, oneshot::Sender<()>),
    /// A forwarded chunk; answered when it has ended.
    Chunk(Chunk, oneshot::Sender<ChunkAnswer>),
    /// A cancelled chunk; answered in the same step.
    ChunkCancel(HostId, ChunkId, oneshot::Sender<Vec<ChunkTaskCancelStatus>>),
    /// Gets the status for operators.
    Status(oneshot::Sender<EntryStatus>),
    /// Gets the status for peers.
    PeerStatus(oneshot::Sender<PeerStatus>),
    /// Ends the event loop.
    Stop,
}

/// `DispatchLoopHandle` sends inputs to the event loop.
#[derive(Clone, Debug)]
pub(crate) struct DispatchLoopHandle {
    inputs: mpsc::Sender<DispatchLoopInput>,
    cancels: mpsc::UnboundedSender<JobId>,
}

/// `DispatchLoopReceiver` is the receiving side of a [`DispatchLoopHandle`].
#[derive(Debug)]
pub(crate) struct DispatchLoopReceiver {
    /// Inputs in order.
    pub(crate) inputs: mpsc::Receiver<DispatchLoopInput>,
    /// Jobs whose callers have disconnected.
    pub(crate) cancels: mpsc::UnboundedReceiver<JobId>,
}

/// Creates a connected pair.
pub(crate) fn channel() -> (DispatchLoopHandle, DispatchLoopReceiver) {
    let (inputs, input_receiver) = mpsc::channel(QUEUE_CAPACITY);
    // Unbounded, because a caller's disconnect is detected in `drop`, which
    // cannot wait. There is at most one message per job in flight.
    let (cancels, cancel_receiver) = mpsc::unbounded_channel();
    let receiver = DispatchLoopReceiver {
        inputs: input_receiver,
        cancels: cancel_receiver,
    };
    (DispatchLoopHandle { inputs, cancels }, receiver)
}

impl DispatchLoopHandle {
    /// Sends an input without waiting for an answer.
    ///
    /// # Errors
    /// `Refused` if the host has stopped.
    pub(crate) async fn send(&self, input: DispatchInput) -> Result<()> {
        self.send_input(DispatchLoopInput::Dispatch(input)).await
    }

    /// Sends an input with a sender for its answer and waits for the answer.
    ///
    /// # Errors
    /// `Refused` if the host has stopped, so that the input had no effect;
    /// `OutcomeUnknown` if the host stopped before it answered.
    pub(crate) async fn ask<A>(
        &self,
        input: impl FnOnce(oneshot::Sender<A>) -> DispatchLoopInput,
    ) -> Result<A> {
        let (sender, receiver) = oneshot::channel();
        self.send_input(input(sender)).await?;
        let lost = |_| Error::outcome_unknown("the entry host stopped before it answered");
        receiver.await.map_err(lost)
    }

    /// Creates a guard that cancels a job when it is dropped before
    /// [`CallerGuard::disarm`], as happens when the caller disconnects.
    pub(crate) fn guard(&self, job_id: JobId) -> CallerGuard {
        CallerGuard {
            job_id: Some(job_id),
            cancels: self.cancels.clone(),
        }
    }

    /// Whether the event loop is running.
    pub(crate) fn is_live(&self) -> bool {
        !self.inputs.is_closed()
    }

    /// Ends the event loop after the inputs that are already queued.
    pub(crate) async fn stop(&self) {
        // Fails only if the event loop has already ended.
        let _ = self.send_input(DispatchLoopInput::Stop).await;
    }

    async fn send_input(&self, input: DispatchLoopInput) -> Result<()> {
        self.inputs.send(input).await.map_err(|_| stopped())
    }
}

fn stopped() -> Error {
    Error::refused("the entry host has stopped")
}

/// `CallerGuard` reports a caller that disconnects before its answer.
#[derive(Debug)]
pub(crate) struct CallerGuard {
    job_id: Option<JobId>,
    cancels: mpsc::UnboundedSender<JobId>,
}

impl CallerGuard {
    /// Disarms the guard because the job has its answer.
    pub(crate) fn disarm(mut self) {
        self.job_id = None;
    }
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        if let Some(job_id) = self.job_id.take() {
            // Fails only if the event loop has ended, and its jobs with it.
            let _ = self.cancels.send(job_id);
        }
    }
}
