//! Inputs of the shell loop and the handle by which others send them.

use std::sync::Arc;

use hornbeam_core::api::backend::{AnnounceAnswer, Announcement, Withdrawal};
use hornbeam_core::api::caller::{SubmitAnswer, SubmitRequest};
use hornbeam_core::api::operator::EntryStatus;
use hornbeam_core::ids::{ChunkId, HostId, JobId};
use hornbeam_core::{Error, Result};
use hornbeam_dispatch::{Chunk, ChunkAnswer, ChunkTaskCancelStatus, DispatchInput, PeerStatus};
use tokio::sync::{mpsc, oneshot};

/// Inputs that may wait for the shell loop before senders wait.
const QUEUE: usize = 4096;

/// `ShellInput` is an input of the shell loop.
#[derive(Debug)]
pub(crate) enum ShellInput {
    /// An input of the dispatcher that nobody waits for.
    Dispatch(DispatchInput),
    /// A job; answered when it is over.
    Submit(JobId, Arc<SubmitRequest>, oneshot::Sender<SubmitAnswer>),
    /// An announcement; answered in the same step.
    Announce(Announcement, oneshot::Sender<AnnounceAnswer>),
    /// A withdrawal; answered after the step, when no more work is started on
    /// the server.
    Withdraw(Withdrawal, oneshot::Sender<()>),
    /// A forwarded chunk; answered when it is over.
    Chunk(Chunk, oneshot::Sender<ChunkAnswer>),
    /// A cancelled chunk; answered in the same step.
    ChunkCancel(HostId, ChunkId, oneshot::Sender<Vec<ChunkTaskCancelStatus>>),
    /// Asks for the status for operators.
    Status(oneshot::Sender<EntryStatus>),
    /// Asks for the status for peers.
    PeerStatus(oneshot::Sender<PeerStatus>),
    /// Ends the loop.
    Stop,
}

/// `ShellHandle` sends inputs to the shell loop.
#[derive(Clone, Debug)]
pub(crate) struct ShellHandle {
    inputs: mpsc::Sender<ShellInput>,
    cancels: mpsc::UnboundedSender<JobId>,
}

/// `ShellReceiver` is the receiving side of a [`ShellHandle`].
#[derive(Debug)]
pub(crate) struct ShellReceiver {
    /// Inputs in order.
    pub(crate) inputs: mpsc::Receiver<ShellInput>,
    /// Jobs whose callers went away.
    pub(crate) cancels: mpsc::UnboundedReceiver<JobId>,
}

/// Creates a connected pair.
pub(crate) fn channel() -> (ShellHandle, ShellReceiver) {
    let (inputs, input_receiver) = mpsc::channel(QUEUE);
    // Not bounded, because a caller's disconnect is noticed in `drop`, which
    // cannot wait. There is at most one message per job in flight.
    let (cancels, cancel_receiver) = mpsc::unbounded_channel();
    let receiver = ShellReceiver {
        inputs: input_receiver,
        cancels: cancel_receiver,
    };
    (ShellHandle { inputs, cancels }, receiver)
}

impl ShellHandle {
    /// Sends an input that nobody waits for.
    ///
    /// # Errors
    /// `Refused` if the host has stopped.
    pub(crate) async fn send(&self, input: DispatchInput) -> Result<()> {
        self.send_input(ShellInput::Dispatch(input)).await
    }

    /// Sends an input with a sender for its answer and waits for the answer.
    ///
    /// # Errors
    /// `Refused` if the host has stopped, so that the input had no effect;
    /// `OutcomeUnknown` if the host stopped before it answered.
    pub(crate) async fn ask<A>(
        &self,
        input: impl FnOnce(oneshot::Sender<A>) -> ShellInput,
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

    /// Whether the shell loop runs.
    pub(crate) fn is_live(&self) -> bool {
        !self.inputs.is_closed()
    }

    /// Ends the shell loop after the inputs that wait already.
    pub(crate) async fn stop(&self) {
        // Fails only when the loop has ended.
        let _ = self.send_input(ShellInput::Stop).await;
    }

    async fn send_input(&self, input: ShellInput) -> Result<()> {
        self.inputs.send(input).await.map_err(|_| stopped())
    }
}

fn stopped() -> Error {
    Error::refused("the entry host has stopped")
}

/// `CallerGuard` reports a caller that went away.
#[derive(Debug)]
pub(crate) struct CallerGuard {
    job_id: Option<JobId>,
    cancels: mpsc::UnboundedSender<JobId>,
}

impl CallerGuard {
    /// Ends the guard because the job has its answer.
    pub(crate) fn disarm(mut self) {
        self.job_id = None;
    }
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        if let Some(job_id) = self.job_id.take() {
            // Fails only when the shell loop has ended and with it the job.
            let _ = self.cancels.send(job_id);
        }
    }
}
