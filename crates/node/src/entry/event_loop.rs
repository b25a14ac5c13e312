//! The event loop that owns the dispatcher.

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
use super::input::{DispatchLoopInput, DispatchLoopReceiver};
use super::metrics::EntryMetrics;
use super::peers::PeerTable;
use crate::lifecycle::{FailOnDrop, Lifecycle, LifecycleEvent};

/// `JobWaiter` is a caller that waits for the answer to its job.
#[derive(Debug)]
struct JobWaiter {
    received: Duration,
    answer: oneshot::Sender<SubmitAnswer>,
}

/// `DispatchLoop` feeds inputs to the dispatcher and executes its outputs.
#[derive(Debug)]
pub(crate) struct DispatchLoop {
    /// The dispatcher, which does no I/O.
    pub(crate) dispatcher: Dispatcher,
    /// Clock and timers.
    pub(crate) timer: TimerService,
    /// The life cycle of the process.
    pub(crate) lifecycle: Arc<Lifecycle>,
    /// Metrics.
    pub(crate) metrics: Arc<EntryMetrics>,
    /// Peers by id.
    pub(crate) peers: Arc<PeerTable>,
    /// Sends the requests of the dispatcher.
    pub(crate) exchanges: Arc<Exchanges>,
    /// Senders of pending answers.
    waiters: Waiters,
    /// Exchanges in flight; the result of each is an input.
    running: JoinSet<DispatchInput>,
}

/// `Waiters` holds the senders of pending answers.
#[derive(Debug, Default)]
struct Waiters {
    jobs: HashMap<JobId, JobWaiter>,
    chunks: HashMap<(HostId, ChunkId), oneshot::Sender<ChunkAnswer>>,
    announcement: Option<oneshot::Sender<AnnounceAnswer>>,
    chunk_cancel: Option<oneshot::Sender<Vec<ChunkTaskCancelStatus>>>,
}

impl DispatchLoop {
    /// Creates the event loop of a dispatcher.
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

    /// Runs until it is stopped, then aborts and joins the exchanges.
    pub(crate) async fn run(mut self, mut receiver: DispatchLoopReceiver) {
        let lifecycle = Arc::clone(&self.lifecycle);
        let _fail = FailOnDrop::new(&lifecycle);
        let drain_started = lifecycle.drain_started();
        tokio::pin!(drain_started);
        let mut draining = false;
        loop {
            let wakeup = self.dispatcher.next_wakeup();
            tokio::select! {
                input = receiver.inputs.recv() => match input {
                    Some(DispatchLoopInput::Stop) | None => break,
                    Some(input) => self.handle_input(input),
                },
                Some(job_id) = receiver.cancels.recv() => {
                    self.step(DispatchInput::CallerCancelled(job_id));
                }
                Some(result) = self.running.join_next() => self.exchange_ended(result),
                () = &mut drain_started, if !draining => {
                    draining = true;
                    self.step(DispatchInput::DrainStarted);
                }
                () = wait_until(&self.timer, wakeup) => self.step(DispatchInput::Tick),
            }
        }
        self.running.shutdown().await;
    }

    fn handle_input(&mut self, input: DispatchLoopInput) {
        match input {
            DispatchLoopInput::Dispatch(input) => self.handle_dispatch(input),
            DispatchLoopInput::Submit(job_id, request, answer) => {
                self.submit(job_id, request, answer)
            }
            DispatchLoopInput::Announce(announcement, answer) => {
                self.waiters.announcement = Some(answer);
                self.step(DispatchInput::Announced(announcement));
            }
            DispatchLoopInput::Withdraw(withdrawal, answer) => {
                self.step(DispatchInput::Withdrawn(withdrawal));
                let _ = answer.send(());
            }
            DispatchLoopInput::Chunk(chunk, answer) => {
                let key = (chunk.from.clone(), chunk.chunk_id);
                self.waiters.chunks.insert(key, answer);
                self.step(DispatchInput::ChunkReceived(chunk));
            }
            DispatchLoopInput::ChunkCancel(peer, chunk_id, answer) => {
                self.waiters.chunk_cancel = Some(answer);
                self.step(DispatchInput::ChunkCancelReceived(peer, chunk_id));
            }
            DispatchLoopInput::Status(answer) => {
                let _ = answer.send(self.dispatcher.entry_status(self.timer.now()));
            }
            DispatchLoopInput::PeerStatus(answer) => {
                let _ = answer.send(self.dispatcher.peer_status(self.timer.now()));
            }
            // Handled by `run`.
            DispatchLoopInput::Stop => {}
        }
    }

    /// Submits a job unless its caller disconnected while the input was queued.
    /// The cancel may have been handled before the job, without any effect.
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

    fn handle_dispatch(&mut self, input: DispatchInput) {
        if let DispatchInput::PeerStatusReceived(status) = &input {
            self.peers.record_status(status);
        }
        self.step(input);
    }

    fn exchange_ended(&mut self, result: Result<DispatchInput, tokio::task::JoinError>) {
        match result {
            Ok(input) => self.step(input),
            Err(cause) => {
                log_event!(Event::ProcessFailed; "the task of a request ended without a result: {cause}");
            }
        }
    }

    fn step(&mut self, input: DispatchInput) {
        let started = self.timer.now();
        let unix_ms = self.timer.unix_ms();
        let outputs = self.dispatcher.step(started, unix_ms, input);
        self.metrics.record_step(self.timer.now() - started);
        for output in outputs {
            self.execute(output);
        }
    }

    fn execute(&mut self, output: DispatchOutput) {
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
            DispatchOutput::AnswerChunkCancel(statuses) => {
                if let Some(waiter) = self.waiters.chunk_cancel.take() {
                    let _ = waiter.send(statuses);
                }
            }
            DispatchOutput::SendStatus => self.peers.request_status(),
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
        // Fails only if the caller has disconnected; its job has ended anyway.
        let _ = waiter.answer.send(answer);
    }

    fn log(&self, event: Event, message: &str) {
        if event == Event::TaskRetried {
            self.metrics.task_retried();
        }
        log_event!(event, host = self.exchanges.host_id; "{message}");
    }
}

/// Waits until the given time, or indefinitely if there is none.
async fn wait_until(timer: &TimerService, at: Option<Duration>) {
    match at {
        Some(at) => timer.sleep_until(at).await,
        None => std::future::pending().await,
    }
}
