//! The loop that owns the fleet.

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

use super::input::{EntryInput, Figures};
use super::log_budget::LogBudget;
use super::metrics::FleetMetrics;
use super::orders::Orders;
use crate::lifecycle::{FailOnDrop, Lifecycle, LifecycleEvent};

/// Inputs that are taken before the next tick of the timer is looked at.
const MAX_INPUTS_AT_ONCE: usize = 64;

/// `InForce` is what the servers of an entry host need to know.
#[derive(Clone, Debug)]
pub(crate) struct InForce {
    /// The queues, if a document is in force.
    pub(crate) queues: Option<Arc<QueueTable>>,
    /// Text of the document.
    pub(crate) text: Arc<str>,
    /// Whether callers can be served.
    pub(crate) is_ready: bool,
    /// Whether callers are to open new connections.
    pub(crate) sends_callers_away: bool,
    /// Workers owned.
    pub(crate) owned_workers: u32,
    /// Newest version at a peer, and its link address.
    pub(crate) newest_at_peers: Option<(ConfigVersion, SocketAddr)>,
}

impl Default for InForce {
    fn default() -> Self {
        Self {
            queues: None,
            text: Arc::from(""),
            is_ready: false,
            sends_callers_away: false,
            owned_workers: 0,
            newest_at_peers: None,
        }
    }
}

/// `EntryShell` runs the fleet: inputs in, outputs carried out.
#[derive(Debug)]
pub(crate) struct EntryShell {
    /// Id of this host.
    pub(crate) host_id: HostId,
    /// The decisions.
    pub(crate) fleet: Fleet,
    /// The time.
    pub(crate) timer: TimerService,
    /// The life cycle of the process.
    pub(crate) lifecycle: Arc<Lifecycle>,
    /// What the servers need to know.
    pub(crate) in_force: watch::Sender<InForce>,
    /// Orders under way.
    pub(crate) orders: Orders,
    /// Metrics.
    pub(crate) metrics: Arc<FleetMetrics>,
    /// Those who wait for an answer.
    pub(crate) waiting: Waiting,
    /// Lines of the log that may still be written this second.
    pub(crate) log_budget: LogBudget,
}

/// `Waiting` holds the senders that answers go to.
#[derive(Debug, Default)]
pub(crate) struct Waiting {
    calls: HashMap<CallId, oneshot::Sender<JobOutcome>>,
    last_report: ReportId,
    reports: HashMap<ReportId, oneshot::Sender<ReportAnswer>>,
}

impl EntryShell {
    /// Runs until it is stopped.
    pub(crate) async fn run(mut self, mut inputs: mpsc::UnboundedReceiver<EntryInput>) {
        let lifecycle = Arc::clone(&self.lifecycle);
        let _fail = FailOnDrop::new(&lifecycle);
        let leaving = lifecycle.leaving();
        tokio::pin!(leaving);
        let mut draining = false;
        let mut received = Vec::new();
        loop {
            let wakeup = self.fleet.next_wakeup();
            tokio::select! {
                count = inputs.recv_many(&mut received, MAX_INPUTS_AT_ONCE) => {
                    if count == 0 {
                        break;
                    }
                }
                end = self.orders.next_end() => self.step(end),
                () = &mut leaving, if !draining => {
                    draining = true;
                    self.step(FleetInput::Drain);
                }
                () = self.timer.sleep_until(wakeup) => self.step(FleetInput::Tick),
            }
            let mut stopped = false;
            for input in received.drain(..) {
                stopped |= matches!(input, EntryInput::Stop);
                self.take(input);
            }
            if stopped {
                break;
            }
            self.publish();
            if draining && self.fleet.is_drained() && self.lifecycle.on(LifecycleEvent::Drained) {
                log_event!(Event::DrainFinished, host = self.host_id; "nothing is left to do");
            }
        }
        self.orders.stop_all().await;
    }

    fn take(&mut self, input: EntryInput) {
        match input {
            EntryInput::Fleet(input) => self.step(input),
            EntryInput::Submit(call, submission, sender) => {
                self.waiting.calls.insert(call, sender);
                self.metrics.submitted(&submission.queue);
                self.step(FleetInput::Submitted(call, submission));
            }
            EntryInput::Report(report, sender) => {
                self.waiting.last_report += 1;
                let id = self.waiting.last_report;
                self.waiting.reports.insert(id, sender);
                self.step(FleetInput::Reported(id, *report));
            }
            EntryInput::Document(text, queues) => self.apply(&text, queues),
            EntryInput::Pending(queue, sender) => {
                // The caller has gone if nobody takes the answer.
                let _ = sender.send(self.fleet.pending_jobs(&queue));
            }
            EntryInput::Figures(sender) => {
                let _ = sender.send(self.figures());
            }
            // Handled by `run`, which ends.
            EntryInput::Stop => {}
        }
    }

    /// Puts a document in force unless an equal or newer one is.
    fn apply(&mut self, text: &Arc<str>, queues: Arc<QueueTable>) {
        let present = self.fleet.queues().map_or(0, |queues| queues.version);
        if queues.version <= present {
            return;
        }
        self.step(FleetInput::Queues(Arc::clone(&queues)));
        self.in_force.send_modify(|in_force| {
            in_force.queues = Some(queues);
            in_force.text = text.clone();
        });
    }

    fn step(&mut self, input: FleetInput) {
        self.metrics.order_ended(&input);
        let now = self.timer.now();
        let outputs = self.fleet.step(now, self.timer.unix_ms(), input);
        for output in outputs {
            self.carry_out(output);
        }
    }

    fn carry_out(&mut self, output: FleetOutput) {
        match output {
            FleetOutput::Answer(call, outcome) => {
                self.metrics.answered(outcome);
                if let Some(sender) = self.waiting.calls.remove(&call) {
                    // The caller has gone if nobody takes the answer.
                    let _ = sender.send(outcome);
                }
            }
            FleetOutput::AnswerReport(id, answer) => {
                if let Some(sender) = self.waiting.reports.remove(&id) {
                    let _ = sender.send(answer);
                }
            }
            FleetOutput::Start(order) => self.orders.start(order),
            FleetOutput::Stop(order) => self.orders.stop(order),
            FleetOutput::Poll(order) => self.orders.look(order),
            FleetOutput::Probe(order) => self.orders.check(order),
            FleetOutput::SendBatch(host, address, batch) => {
                self.orders.send_batch((host, address), batch);
            }
            FleetOutput::CloseConnections(worker) => self.orders.forget(worker),
            FleetOutput::RecordTimes(times) => self.metrics.ended(times),
            FleetOutput::Log(event, subject, message) => self.log(event, &subject, &message),
        }
    }

    /// Writes a line unless too many of its event were written this second.
    fn log(&mut self, event: Event, subject: &Subject, message: &str) {
        let second = self.timer.now().as_secs();
        for (event, count) in self.log_budget.begin(second) {
            log_event!(
                Event::LinesLeftOut, host = self.host_id;
                "{count} lines of event {} were left out in a second", event.name()
            );
        }
        self.metrics.logged(event);
        if !self.log_budget.allows(event) {
            return self.metrics.left_out(event);
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

    /// Tells the servers what has changed.
    fn publish(&self) {
        let is_ready = self.fleet.is_ready();
        let sends_callers_away = self.fleet.closes_caller_connections();
        let owned_workers = u32::try_from(self.fleet.owned_workers()).unwrap_or(u32::MAX);
        let newest_at_peers = self.fleet.newest_peer_config();
        self.in_force.send_if_modified(|in_force| {
            let is_changed = in_force.is_ready != is_ready
                || in_force.sends_callers_away != sends_callers_away
                || in_force.owned_workers != owned_workers
                || in_force.newest_at_peers != newest_at_peers;
            in_force.is_ready = is_ready;
            in_force.sends_callers_away = sends_callers_away;
            in_force.owned_workers = owned_workers;
            in_force.newest_at_peers = newest_at_peers;
            is_changed
        });
    }

    fn figures(&self) -> Figures {
        let document_version = self.fleet.queues().map_or(0, |queues| queues.version);
        let newest = self.fleet.newest_peer_config();
        let newest = newest.map_or(0, |(version, _)| version);
        Figures {
            owned_workers: u32::try_from(self.fleet.owned_workers()).unwrap_or(u32::MAX),
            free_cpu_milli: self.fleet.free_cpu_milli(),
            jobs: u32::try_from(self.fleet.jobs_in_progress()).unwrap_or(u32::MAX),
            waiting_tasks: self.fleet.waiting_tasks(),
            document_version,
            document_lag: newest.saturating_sub(document_version),
        }
    }
}
