//! The event loop that owns the fleet scheduler.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use hornbeam_core::event::Event;
use hornbeam_core::ids::{ConfigVersion, HostId};
use hornbeam_core::log_event;
use hornbeam_fleet::{
    CallId, Fleet, FleetInput, FleetOutput, JobOutcome, QueueTable, ReportAnswer, ReportId, Subject,
};
use hornbeam_timer::TimerService;
use tokio::sync::{mpsc, oneshot, watch};

use super::input::{FleetLoopInput, FleetStats};
use super::log_rate_limit::LogRateLimiter;
use super::metrics::FleetMetrics;
use super::outbound_requests::OutboundRequests;
use crate::lifecycle::{FailOnDrop, Lifecycle, LifecycleEvent};

/// Maximum number of inputs that are handled before the timer is checked again.
const MAX_INPUT_BATCH: usize = 64;

/// `FleetEntryState` is the state that the event loop shares with the servers.
#[derive(Clone, Debug)]
pub(crate) struct FleetEntryState {
    /// The queues, if a document is in force.
    pub(crate) queues: Option<Arc<QueueTable>>,
    /// Text of the document in force.
    pub(crate) text: Arc<str>,
    /// Whether callers can be served.
    pub(crate) is_ready: bool,
    /// Whether callers are made to open new connections.
    pub(crate) closes_caller_connections: bool,
    /// Number of owned workers.
    pub(crate) owned_workers: u32,
    /// Newest version that a peer reported, and the link address of this peer.
    pub(crate) newest_peer_config: Option<(ConfigVersion, SocketAddr)>,
}

impl Default for FleetEntryState {
    fn default() -> Self {
        Self {
            queues: None,
            text: Arc::from(""),
            is_ready: false,
            closes_caller_connections: false,
            owned_workers: 0,
            newest_peer_config: None,
        }
    }
}

/// `FleetLoop` feeds inputs to the fleet scheduler and executes its outputs.
#[derive(Debug)]
pub(crate) struct FleetLoop {
    /// Id of this host.
    pub(crate) host_id: HostId,
    /// The scheduler.
    pub(crate) fleet: Fleet,
    /// Clock and timers.
    pub(crate) timer: TimerService,
    /// The life cycle of the process.
    pub(crate) lifecycle: Arc<Lifecycle>,
    /// State shared with the servers.
    pub(crate) state: watch::Sender<FleetEntryState>,
    /// Requests in flight.
    pub(crate) requests: OutboundRequests,
    /// Metrics.
    pub(crate) metrics: Arc<FleetMetrics>,
    /// Senders of pending answers.
    pub(crate) waiters: Waiters,
    /// Rate limit of log lines.
    pub(crate) log_rate_limit: LogRateLimiter,
}

/// `Waiters` holds the senders of pending answers.
#[derive(Debug, Default)]
pub(crate) struct Waiters {
    calls: HashMap<CallId, oneshot::Sender<JobOutcome>>,
    last_report: ReportId,
    reports: HashMap<ReportId, oneshot::Sender<ReportAnswer>>,
}

impl FleetLoop {
    /// Runs until it is stopped.
    pub(crate) async fn run(mut self, mut inputs: mpsc::UnboundedReceiver<FleetLoopInput>) {
        let lifecycle = Arc::clone(&self.lifecycle);
        let _fail = FailOnDrop::new(&lifecycle);
        let drain_started = lifecycle.drain_started();
        tokio::pin!(drain_started);
        let mut draining = false;
        let mut received = Vec::new();
        loop {
            let wakeup = self.fleet.next_wakeup();
            tokio::select! {
                count = inputs.recv_many(&mut received, MAX_INPUT_BATCH) => {
                    if count == 0 {
                        break;
                    }
                }
                input = self.requests.next_completed() => {
                    if matches!(input, FleetInput::InputsRead(_)) {
                        // What the connections gave is in the channel.
                        received.extend(std::iter::from_fn(|| inputs.try_recv().ok()));
                        received.push(FleetLoopInput::Fleet(input));
                    } else {
                        self.step(input);
                    }
                }
                () = &mut drain_started, if !draining => {
                    draining = true;
                    self.step(FleetInput::Drain);
                }
                () = self.timer.sleep_until(wakeup) => self.step(FleetInput::Tick),
            }
            if self.handle_received(&mut received) {
                break;
            }
            self.publish();
            if draining && self.fleet.is_drained() && self.lifecycle.on(LifecycleEvent::Drained) {
                log_event!(
                    Event::DrainFinished, host = self.host_id;
                    "all work is finished or the drain deadline has passed"
                );
            }
        }
        self.requests.shutdown().await;
    }

    /// Handles the received inputs; true if the event loop is to end.
    fn handle_received(&mut self, received: &mut Vec<FleetLoopInput>) -> bool {
        let mut stopped = false;
        for input in received.drain(..) {
            stopped |= matches!(input, FleetLoopInput::Stop);
            self.handle_input(input);
        }
        stopped
    }

    fn handle_input(&mut self, input: FleetLoopInput) {
        match input {
            FleetLoopInput::Fleet(input) => self.step(input),
            FleetLoopInput::Submit(call, submission, sender) => {
                self.waiters.calls.insert(call, sender);
                self.metrics.job_submitted(&submission.queue);
                self.step(FleetInput::Submitted(call, submission));
            }
            FleetLoopInput::Report(report, times, sender) => {
                self.waiters.last_report += 1;
                let id = self.waiters.last_report;
                self.waiters.reports.insert(id, sender);
                self.step(match (times.clock_ms, times.cold_remaining_ms) {
                    (Some(clock_ms), Some(cold_ms)) => {
                        FleetInput::ReportedCold(id, *report, clock_ms, cold_ms)
                    }
                    (Some(clock_ms), None) => FleetInput::ReportedAt(id, *report, clock_ms),
                    (None, _) => FleetInput::Reported(id, *report),
                });
            }
            FleetLoopInput::Document(text, queues) => self.apply(&text, queues),
            FleetLoopInput::PendingJobs(queue, sender) => {
                // Fails only if the caller has disconnected.
                let _ = sender.send(self.fleet.pending_jobs(&queue));
            }
            FleetLoopInput::FleetStats(sender) => {
                let _ = sender.send(self.stats());
            }
            // Handled by `run`.
            FleetLoopInput::Stop => {}
        }
    }

    /// Applies a document unless an equal or newer one is in force.
    fn apply(&mut self, text: &Arc<str>, queues: Arc<QueueTable>) {
        let present = self.fleet.queues().map_or(0, |queues| queues.version);
        if queues.version <= present {
            return;
        }
        self.step(FleetInput::Queues(Arc::clone(&queues)));
        self.state.send_modify(|state| {
            state.queues = Some(queues);
            state.text = text.clone();
        });
    }

    fn step(&mut self, input: FleetInput) {
        self.metrics.request_ended(&input);
        let now = self.timer.now();
        let outputs = self.fleet.step(now, self.timer.unix_ms(), input);
        for output in outputs {
            self.execute(output);
        }
    }

    fn execute(&mut self, output: FleetOutput) {
        match output {
            FleetOutput::Answer(call, outcome) => {
                self.metrics.job_answered(outcome);
                if let Some(sender) = self.waiters.calls.remove(&call) {
                    // Fails only if the caller has disconnected.
                    let _ = sender.send(outcome);
                }
            }
            FleetOutput::AnswerReport(id, answer) => {
                if let Some(sender) = self.waiters.reports.remove(&id) {
                    let _ = sender.send(answer);
                }
            }
            FleetOutput::Start(request) => self.requests.start(request),
            FleetOutput::Stop(request) => self.requests.stop(request),
            FleetOutput::Poll(request) => self.requests.poll(request),
            FleetOutput::Probe(request) => self.requests.probe(request),
            FleetOutput::SendBatch(host, address, batch, extension) => {
                self.requests.send_batch((host, address), batch, extension);
            }
            FleetOutput::ReportLosses(host, address, report) => {
                self.requests.report_losses((host, address), report);
            }
            FleetOutput::ReadInputs(pause) => self.requests.read_inputs(pause),
            FleetOutput::DropConnections(worker) => self.requests.drop_connections(worker),
            FleetOutput::RecordTimes(times) => self.metrics.job_ended(times),
            FleetOutput::Log(event, subject, message) => self.log(event, &subject, &message),
        }
    }

    /// Writes a log line unless its event is over the rate limit.
    fn log(&mut self, event: Event, subject: &Subject, message: &str) {
        let second = self.timer.now().as_secs();
        for (event, count) in self.log_rate_limit.start_second(second) {
            log_event!(
                Event::LinesLeftOut, host = self.host_id;
                "{count} lines of event {} were suppressed in one second", event.name()
            );
        }
        self.metrics.event_logged(event);
        if !self.log_rate_limit.allows(event) {
            return self.metrics.line_suppressed(event);
        }
        let host = &self.host_id;
        match subject {
            Subject::Host => log_event!(event, host = host; "{message}"),
            Subject::Job(job) => {
                log_event!(event, host = host, job = format!("{job:016x}"); "{message}");
            }
            Subject::Run(run) => {
                let job = format!("{:016x}", run.job);
                log_event!(event, host = host, job = job, run = run; "{message}");
            }
            Subject::Worker(worker) => {
                log_event!(event, host = host, worker = worker; "{message}");
            }
            Subject::Peer(peer) => log_event!(event, host = host, peer = peer; "{message}"),
        }
    }

    /// Updates the state shared with the servers if it has changed.
    fn publish(&self) {
        let is_ready = self.fleet.is_ready();
        let closes_caller_connections = self.fleet.closes_caller_connections();
        let owned_workers = u32::try_from(self.fleet.owned_workers()).unwrap_or(u32::MAX);
        let newest_peer_config = self.fleet.newest_peer_config();
        self.state.send_if_modified(|state| {
            let is_changed = state.is_ready != is_ready
                || state.closes_caller_connections != closes_caller_connections
                || state.owned_workers != owned_workers
                || state.newest_peer_config != newest_peer_config;
            state.is_ready = is_ready;
            state.closes_caller_connections = closes_caller_connections;
            state.owned_workers = owned_workers;
            state.newest_peer_config = newest_peer_config;
            is_changed
        });
    }

    fn stats(&self) -> FleetStats {
        let document_version = self.fleet.queues().map_or(0, |queues| queues.version);
        let newest = self.fleet.newest_peer_config();
        let newest = newest.map_or(0, |(version, _)| version);
        let evacuations = self.fleet.evacuations();
        let evacuated = evacuations.failure_domains.len();
        FleetStats {
            evacuated_failure_domains: u32::try_from(evacuated).unwrap_or(u32::MAX),
            evacuation_revision: evacuations.revision,
            owned_workers: u32::try_from(self.fleet.owned_workers()).unwrap_or(u32::MAX),
            free_cpu_milli: self.fleet.free_cpu_milli(),
            jobs: u32::try_from(self.fleet.jobs_in_progress()).unwrap_or(u32::MAX),
            waiting_tasks: self.fleet.waiting_tasks(),
            document_version,
            document_lag: newest.saturating_sub(document_version),
        }
    }
}
