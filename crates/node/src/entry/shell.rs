//! The loop that owns the dispatcher.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use hornbeam_core::api::backend::AnnounceAnswer;
use hornbeam_core::api::caller::{SubmitAnswer, SubmitRequest};
use hornbeam_core::event::Event;
use hornbeam_core::ids::{ChunkId, HostId, JobId};
use hornbeam_core::log_event;
use hornbeam_dispatch::{
    ChunkAnswer, ChunkTaskCancelStatus, DispatchInput, DispatchOutput, Dispatcher,
};
use hornbeam_timer::TimerService;
use tokio::sync::oneshot;
use tokio::task::JoinSet;

use super::exchange::Exchanges;
use super::input::{ShellInput, ShellReceiver};
use super::metrics::EntryMetrics;
use super::peers::PeerTable;
use crate::lifecycle::{FailOnDrop, Lifecycle, LifecycleEvent};

/// `JobWaiter` is a caller that waits for its answer.
#[derive(Debug)]
struct JobWaiter {
    received: Duration,
    answer: oneshot::Sender<SubmitAnswer>,
}

/// `Shell` runs the dispatcher: inputs in, outputs carried out.
#[derive(Debug)]
pub(crate) struct Shell {
    /// The decisions.
    pub(crate) dispatcher: Dispatcher,
    /// The time.
    pub(crate) timer: TimerService,
    /// The life cycle of the process.
    pub(crate) lifecycle: Arc<Lifecycle>,
    /// Metrics.
    pub(crate) metrics: Arc<EntryMetrics>,
    /// Peers by id.
    pub(crate) peers: Arc<PeerTable>,
    /// Sends requests for the dispatcher.
    pub(crate) exchanges: Arc<Exchanges>,
    /// Callers that wait.
    waiters: Waiters,
    /// Exchanges in flight; each ends with an input.
    running: JoinSet<DispatchInput>,
}

/// `Waiters` are the senders that answers go to.
#[derive(Debug, Default)]
struct Waiters {
    jobs: HashMap<JobId, JobWaiter>,
    chunks: HashMap<(HostId, ChunkId), oneshot::Sender<ChunkAnswer>>,
    announcement: Option<oneshot::Sender<AnnounceAnswer>>,
    chunk_cancel: Option<oneshot::Sender<Vec<ChunkTaskCancelStatus>>>,
}

impl Shell {
    /// Creates a shell around a dispatcher.
    pub(crate) fn new(
        dispatcher: Dispatcher,
        timer: TimerService,
        lifecycle: Arc<Lifecycle>,
        peers: Arc<PeerTable>,
        exchanges: Exchanges,
    ) -> Self {
        Self {
            dispatcher,
            timer,
            lifecycle,
            metrics: Arc::clone(&exchanges.metrics),
            peers,
            exchanges: Arc::new(exchanges),
            waiters: Waiters::default(),
            running: JoinSet::new(),
        }
    }

    /// Runs until it is stopped, then ends and joins the exchanges.
    pub(crate) async fn run(mut self, mut receiver: ShellReceiver) {
        let lifecycle = Arc::clone(&self.lifecycle);
        let _fail = FailOnDrop::new(&lifecycle);
        let leaving = lifecycle.leaving();
        tokio::pin!(leaving);
        let mut draining = false;
        loop {
            let wakeup = self.dispatcher.next_wakeup();
            tokio::select! {
                input = receiver.inputs.recv() => match input {
                    Some(ShellInput::Stop) | None => break,
                    Some(input) => self.take(input),
                },
                Some(job_id) = receiver.cancels.recv() => {
                    self.step(DispatchInput::CallerCancelled(job_id));
                }
                Some(ended) = self.running.join_next() => self.exchange_ended(ended),
                () = &mut leaving, if !draining => {
                    draining = true;
                    self.step(DispatchInput::DrainStarted);
                }
                () = wait_until(&self.timer, wakeup) => self.step(DispatchInput::Tick),
            }
        }
        self.running.shutdown().await;
    }

    fn take(&mut self, input: ShellInput) {
        match input {
            ShellInput::Dispatch(input) => self.take_dispatch(input),
            ShellInput::Submit(job_id, request, answer) => self.submit(job_id, request, answer),
            ShellInput::Announce(announcement, answer) => {
                self.waiters.announcement = Some(answer);
                self.step(DispatchInput::Announced(announcement));
            }
            ShellInput::Withdraw(withdrawal, answer) => {
                self.step(DispatchInput::Withdrawn(withdrawal));
                let _ = answer.send(());
            }
            ShellInput::Chunk(chunk, answer) => {
                let key = (chunk.from.clone(), chunk.chunk_id);
                self.waiters.chunks.insert(key, answer);
                self.step(DispatchInput::ChunkReceived(chunk));
            }
            ShellInput::ChunkCancel(peer, chunk_id, answer) => {
                self.waiters.chunk_cancel = Some(answer);
                self.step(DispatchInput::ChunkCancelReceived(peer, chunk_id));
            }
            ShellInput::Status(answer) => {
                let _ = answer.send(self.dispatcher.entry_status(self.timer.now()));
            }
            ShellInput::PeerStatus(answer) => {
                let _ = answer.send(self.dispatcher.peer_status(self.timer.now()));
            }
            // Handled by `run`, which ends.
            ShellInput::Stop => {}
        }
    }

    /// Submits a job unless its caller went away while the input waited. The
    /// cancellation may have been taken before the job, and so had no effect.
    fn submit(
        &mut self,
        job_id: JobId,
        request: Arc<SubmitRequest>,
        answer: oneshot::Sender<SubmitAnswer>,
    ) {
        if answer.is_closed() {
            return;
        }
        let received = self.timer.now();
        let waiter = JobWaiter { received, answer };
        self.waiters.jobs.insert(job_id.clone(), waiter);
        self.step(DispatchInput::Submitted(job_id, request));
    }

    fn take_dispatch(&mut self, input: DispatchInput) {
        if let DispatchInput::PeerStatusReceived(status) = &input {
            self.peers.learn(status);
        }
        self.step(input);
    }

    fn exchange_ended(&mut self, ended: Result<DispatchInput, tokio::task::JoinError>) {
        match ended {
            Ok(input) => self.step(input),
            Err(cause) => {
                log_event!(Event::ProcessFailed; "an exchange ended without a result: {cause}");
            }
        }
    }

    fn step(&mut self, input: DispatchInput) {
        let started = self.timer.now();
        let unix_ms = self.timer.unix_ms();
        let outputs = self.dispatcher.step(started, unix_ms, input);
        self.metrics.step_took(self.timer.now() - started);
        for output in outputs {
            self.carry_out(output);
        }
    }

    fn carry_out(&mut self, output: DispatchOutput) {
        match output {
            DispatchOutput::AnswerAnnouncement(answer) => {
                if let Some(waiter) = self.waiters.announcement.take() {
                    let _ = waiter.send(answer);
                }
            }
            DispatchOutput::AnswerJob(job_id, answer) => self.answer_job(&job_id, answer),
            DispatchOutput::AnswerChunk {
                peer,
                chunk_id,
                answer,
            } => {
                if let Some(waiter) = self.waiters.chunks.remove(&(peer, chunk_id)) {
                    let _ = waiter.send(answer);
                }
            }
            DispatchOutput::AnswerChunkCancel(fates) => {
                if let Some(waiter) = self.waiters.chunk_cancel.take() {
                    let _ = waiter.send(fates);
                }
            }
            DispatchOutput::SendStatus => self.peers.hasten_status(),
            DispatchOutput::Log(event, message) => self.log(event, &message),
            DispatchOutput::Drained => {
                self.lifecycle.on(LifecycleEvent::Drained);
            }
            output => self.exchanges.start(output, &mut self.running),
        }
    }

    fn answer_job(&mut self, job_id: &JobId, answer: SubmitAnswer) {
        let Some(waiter) = self.waiters.jobs.remove(job_id) else {
            return;
        };
        let elapsed = self.timer.now() - waiter.received;
        self.metrics.job_answered(&answer, elapsed);
        // The caller may have gone away; its job is over all the same.
        let _ = waiter.answer.send(answer);
    }

    fn log(&self, event: Event, message: &str) {
        if event == Event::TaskRetried {
            self.metrics.task_retried();
        }
        log_event!(event, host = self.exchanges.host_id; "{message}");
    }
}

/// Waits until a time, or for ever if there is none.
async fn wait_until(timer: &TimerService, at: Option<Duration>) {
    match at {
        Some(at) => timer.sleep_until(at).await,
        None => std::future::pending().await,
    }
}
