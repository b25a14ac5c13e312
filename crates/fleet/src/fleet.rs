//! State of the decision logic, dispatch of its inputs, and timers.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use hornbeam_admission::{MeanWork, Rejections, Shares};
use hornbeam_core::evacuation::EvacuationList;
use hornbeam_core::event::Event;
use hornbeam_core::ids::{FailureDomainId, HostId, TaskIndex, WorkerId};
use indexmap::IndexMap;

use crate::admission::RecentJobs;
use crate::fencing::{FencingToken, FencingTokens};
use crate::interference::Interference;
use crate::io::{FleetInput, FleetOutput, Subject};
use crate::job::{Job, JobKey, RunId};
use crate::loss_log::LossLog;
use crate::neighbours::ListedHost;
use crate::options::FleetOptions;
use crate::pace::ServicePaces;
use crate::pauses::Pause;
use crate::peer::{BatchSender, Peer};
use crate::peer_tasks::PeerTask;
use crate::queues::QueueTable;
use crate::resources::KnownCapacities;
use crate::restarts::RestartedWorkers;
use crate::run_times::RunTimeEstimates;
use crate::scheduling::OFFLOAD_AFTER;
use crate::verification::Verification;
use crate::wait_estimate::MeanRunTime;
use crate::worker::{Worker, WorkerKey};

/// Longest time without a tick, so that a missed timer cannot stall the host.
const MAX_WAKEUP_DELAY: Duration = Duration::from_millis(100);

/// Time since the last step from which on the process counts as paused.
const MAX_STEP_DELAY: Duration = Duration::from_millis(140);

/// Shortest time between two ticks. Timers need no finer resolution, and each
/// tick costs processor time.
const MIN_WAKEUP_DELAY: Duration = Duration::from_millis(2);

/// `Fleet` decides which task runs on which worker and handles the ends of
/// runs.
#[derive(Debug)]
pub struct Fleet {
    pub(crate) options: FleetOptions,
    pub(crate) sender: BatchSender,
    pub(crate) now: Duration,
    pub(crate) unix_ms: u64,
    pub(crate) queues: Option<Arc<QueueTable>>,
    pub(crate) evacuations: EvacuationList,
    pub(crate) jobs: IndexMap<JobKey, Job>,
    /// Jobs with queued tasks by effective start time, the earliest first.
    pub(crate) queued_jobs: BTreeSet<(Duration, JobKey)>,
    /// Tasks whose last run may still be active, by the time at which it has
    /// ended.
    pub(crate) awaiting_expiry: BTreeSet<(Duration, JobKey, TaskIndex)>,
    /// Jobs by the time at which their callers stop waiting.
    pub(crate) deadlines: BTreeSet<(Duration, JobKey)>,
    pub(crate) recent_jobs: RecentJobs,
    pub(crate) losses: LossLog,
    pub(crate) known_capacities: KnownCapacities,
    pub(crate) estimates: RunTimeEstimates,
    pub(crate) mean_run_time: MeanRunTime,
    pub(crate) paces: ServicePaces,
    pub(crate) interference: Interference,
    pub(crate) mean_work: MeanWork,
    pub(crate) shares: Shares,
    pub(crate) rejections: Rejections,
    /// Time until the waiting work has drained, as of the last estimate.
    pub(crate) drain_time: Duration,
    pub(crate) workers: BTreeMap<WorkerKey, Worker>,
    pub(crate) worker_keys_by_id: IndexMap<WorkerId, WorkerKey>,
    /// Workers whose later incarnation may run tasks of the former one.
    pub(crate) restarted_workers: RestartedWorkers,
    pub(crate) last_worker_key: WorkerKey,
    pub(crate) fencing_tokens: FencingTokens,
    pub(crate) peer_tasks: IndexMap<RunId, PeerTask>,
    /// Tasks of peers that wait for free resources here, by effective start
    /// time.
    pub(crate) waiting_peer_tasks: BTreeSet<(Duration, RunId)>,
    /// Hosts that the control hosts list.
    pub(crate) listed_hosts: IndexMap<HostId, ListedHost>,
    /// Hosts with which this host exchanges batches, or did so. They are few, so
    /// the cost of a step does not grow with the number of hosts.
    pub(crate) peers: IndexMap<HostId, Peer>,
    /// Hosts that were present when the neighbours were last selected.
    pub(crate) present_hosts: BTreeSet<(FailureDomainId, HostId)>,
    /// Time at which the neighbours are next selected.
    pub(crate) next_selection_at: Duration,
    /// Whether free resources have changed since peers were last told.
    pub(crate) resources_changed: bool,
    /// Whether tasks waited when peers were last told.
    pub(crate) had_waiting_tasks: bool,
    /// Workers handed over during a drain, with the new owner and the last
    /// fencing token of this host.
    pub(crate) handed_over: IndexMap<WorkerId, (HostId, FencingToken)>,
    /// Time at which the last poll was lost.
    pub(crate) poll_lost_at: Option<Duration>,
    /// Pause of the process whose inputs may not be handled yet.
    pub(crate) pause: Option<Pause>,
    /// Number of the last pause.
    pub(crate) last_pause: u64,
    pub(crate) drain_started: Option<Duration>,
    pub(crate) outputs: Vec<FleetOutput>,
}

impl Fleet {
    /// Creates a fleet without workers, peers or configuration.
    pub fn new(options: FleetOptions) -> Self {
        let sender = BatchSender {
            host_id: options.host_id.clone(),
            address: options.link_address,
            failure_domain: options.failure_domain.clone(),
            incarnation: options.incarnation,
            has_pending_inputs: false,
        };
        Self {
            fencing_tokens: FencingTokens::new(options.link_address),
            sender,
            options,
            now: Duration::ZERO,
            unix_ms: 0,
            queues: None,
            evacuations: EvacuationList::default(),
            jobs: IndexMap::new(),
            queued_jobs: BTreeSet::new(),
            awaiting_expiry: BTreeSet::new(),
            deadlines: BTreeSet::new(),
            recent_jobs: RecentJobs::default(),
            losses: LossLog::default(),
            known_capacities: KnownCapacities::default(),
            estimates: RunTimeEstimates::default(),
            mean_run_time: MeanRunTime::default(),
            paces: ServicePaces::default(),
            interference: Interference::default(),
            mean_work: MeanWork::default(),
            shares: Shares::default(),
            rejections: Rejections::default(),
            drain_time: Duration::ZERO,
            workers: BTreeMap::new(),
            worker_keys_by_id: IndexMap::new(),
            restarted_workers: RestartedWorkers::new(),
            last_worker_key: 0,
            peer_tasks: IndexMap::new(),
            waiting_peer_tasks: BTreeSet::new(),
            listed_hosts: IndexMap::new(),
            peers: IndexMap::new(),
            present_hosts: BTreeSet::new(),
            next_selection_at: Duration::ZERO,
            resources_changed: false,
            had_waiting_tasks: false,
            handed_over: IndexMap::new(),
            poll_lost_at: None,
            pause: None,
            last_pause: 0,
            drain_started: None,
            outputs: Vec::new(),
        }
    }

    /// Handles one input. `now` is the monotonic time of the process; `unix_ms`
    /// is the wall-clock time, which is used only for fencing tokens.
    pub fn step(&mut self, now: Duration, unix_ms: u64, input: FleetInput) -> Vec<FleetOutput> {
        let paused_at = self.now;
        self.now = self.now.max(now);
        if !paused_at.is_zero() && now > paused_at + MAX_STEP_DELAY {
            self.on_paused(paused_at);
        }
        self.end_pause();
        self.unix_ms = unix_ms;
        // After a pause of the process, leases that expired meanwhile come
        // before the input.
        self.expire_leases();
        self.handle_input(input);
        self.remove_unresponsive_workers();
        self.decline_overdue_reports();
        self.settle_restarted_workers();
        self.check_peers();
        self.requeue_expired();
        self.end_expired_jobs();
        self.continue_drain();
        self.schedule();
        self.send_due_requests();
        self.send_batches();
        std::mem::take(&mut self.outputs)
    }

    fn handle_input(&mut self, input: FleetInput) {
        match input {
            FleetInput::Tick => {}
            FleetInput::Queues(queues) => self.on_queues(queues),
            FleetInput::Evacuations(list) => self.on_evacuations(list),
            FleetInput::Submitted(call, submission) => self.on_submitted(call, submission),
            FleetInput::CallerDisconnected(call, job) => self.on_caller_disconnected(call, job),
            FleetInput::Reported(id, report) => self.on_reported(id, report, None),
            FleetInput::ReportedAt(id, report, clock_ms) => {
                self.on_reported(id, report, Some(Verification::ReportClock(clock_ms)));
            }
            FleetInput::ReportedCold(id, report, clock_ms, cold_ms) => {
                self.on_reported_cold(id, report, clock_ms, Duration::from_millis(cold_ms));
            }
            FleetInput::Departed(worker_id) => self.on_departed(&worker_id),
            FleetInput::StartRequestEnded(worker_key, run, outcome) => {
                self.on_start_request_ended(worker_key, run, outcome);
            }
            FleetInput::StopRequestEnded(worker_key, run, outcome) => {
                self.on_stop_request_ended(worker_key, run, outcome);
            }
            FleetInput::PollEnded(worker_key, outcome) => self.on_poll_ended(worker_key, outcome),
            FleetInput::ProbeEnded(worker_key, outcome) => self.on_probe_ended(worker_key, outcome),
            FleetInput::Batch(batch, extension) => self.on_batch(batch, extension),
            FleetInput::BatchEnded(host, accepted) => {
                if let Some(peer) = self.peers.get_mut(&host) {
                    peer.batch_ended(accepted, self.now);
                }
            }
            FleetInput::LossesReported(report) => self.on_losses_reported(report),
            FleetInput::LossReportEnded(host, job, accepted) => {
                self.on_loss_report_ended(host, job, accepted);
            }
            FleetInput::InputsRead(pause) => self.on_inputs_read(pause),
            FleetInput::Peers(peers) => self.on_peers(peers),
            FleetInput::Drain => self.start_drain(),
        }
    }

    /// Gets the next time at which a `Tick` is needed.
    pub fn next_wakeup(&self) -> Duration {
        let timers = [
            self.deadlines.first().map(|(at, _)| *at),
            self.first_start_by(),
            self.first_offload_at(),
            self.awaiting_expiry.first().map(|(at, _, _)| *at),
            self.next_settlement_at(),
            self.pause.map(|pause| pause.pending_until),
        ];
        let workers = self
            .workers
            .values()
            .map(|worker| self.worker_wakeup(worker));
        let peers = self.peers.values().map(|peer| peer.next_wakeup(self.now));
        let first = timers
            .into_iter()
            .flatten()
            .chain(workers)
            .chain(peers)
            .min();
        let latest = self.now + MAX_WAKEUP_DELAY;
        first
            .unwrap_or(latest)
            .clamp(self.now + MIN_WAKEUP_DELAY, latest)
    }

    /// Gets the earliest time by which a waiting job or task of a peer must
    /// start.
    fn first_start_by(&self) -> Option<Duration> {
        let jobs = self
            .queued_jobs
            .iter()
            .filter_map(|(_, key)| self.jobs.get(key));
        let jobs = jobs.filter(|job| !job.may_have_started());
        let peer_tasks = self.waiting_peer_tasks.iter();
        let peer_tasks = peer_tasks.filter_map(|(_, run)| self.peer_tasks.get(run));
        let starts = jobs.map(|job| job.start_by);
        starts
            .chain(peer_tasks.map(|peer_task| peer_task.start_by))
            .min()
    }

    /// Gets the earliest time at which waiting tasks may be sent to peers.
    fn first_offload_at(&self) -> Option<Duration> {
        let jobs = self
            .queued_jobs
            .iter()
            .filter_map(|(_, key)| self.jobs.get(key));
        let offloads = jobs.map(|job| job.arrived_at + OFFLOAD_AFTER);
        offloads.filter(|at| *at > self.now).min()
    }

    /// Whether this host can serve callers: it has a configuration, does not
    /// drain and knows at least one worker.
    pub fn is_ready(&self) -> bool {
        let has_worker = !self.workers.is_empty()
            || self
                .peers
                .values()
                .any(|peer| peer.is_responsive(self.now) && !peer.status.resources.is_empty());
        self.queues.is_some() && self.drain_started.is_none() && has_worker
    }

    /// Whether a drain has started.
    pub fn is_draining(&self) -> bool {
        self.drain_started.is_some()
    }

    /// Whether connections of callers are closed, so that callers open new ones
    /// to other hosts.
    pub fn closes_caller_connections(&self) -> bool {
        let closes = |started: Duration| self.now >= started + self.options.drain_close_after;
        self.drain_started.is_some_and(closes)
    }

    /// Whether a drain has finished.
    pub fn is_drained(&self) -> bool {
        let Some(started) = self.drain_started else {
            return false;
        };
        let is_idle = self.jobs.is_empty()
            && self.peer_tasks.is_empty()
            && self.workers.is_empty()
            && self.restarted_workers.is_empty();
        let since = self.now.saturating_sub(started);
        is_idle && since >= self.options.min_drain || since >= self.options.max_drain
    }

    /// Gets the number of workers owned.
    pub fn owned_workers(&self) -> usize {
        self.workers.len()
    }

    /// Gets the free cores of the workers of this host that accept runs, in
    /// thousandths of a core.
    pub fn free_cpu_milli(&self) -> u64 {
        let resources = self.free_resources();
        let free = resources.iter().flat_map(|resources| &resources.free);
        free.map(|amount| u64::from(amount.cpu_milli)).sum()
    }

    /// Gets the number of jobs in progress.
    pub fn jobs_in_progress(&self) -> usize {
        self.jobs.len()
    }

    /// Gets the number of tasks that wait for free resources here, including
    /// tasks of peers, without those that wait for a worker of their own.
    pub fn waiting_tasks(&self) -> u32 {
        let queued = self.queued_jobs.iter();
        let queued = queued.filter_map(|(_, key)| Some((key, self.jobs.get(key)?)));
        let waiting: usize = queued.map(|(key, job)| self.queued_tasks(*key, job)).sum();
        u32::try_from(waiting + self.waiting_peer_tasks.len()).unwrap_or(u32::MAX)
    }

    /// Counts the jobs of a queue of which no task has started.
    pub fn pending_jobs(&self, queue: &str) -> u64 {
        let is_pending = |job: &&Job| job.queue == queue && !job.may_have_started();
        self.jobs.values().filter(is_pending).count() as u64
    }

    /// Gets the configuration in force.
    pub fn queues(&self) -> Option<&Arc<QueueTable>> {
        self.queues.as_ref()
    }

    /// Gets the newest configuration version reported by a peer, and the
    /// address of that peer.
    pub fn newest_peer_config(&self) -> Option<(u64, std::net::SocketAddr)> {
        let responsive = self
            .peers
            .values()
            .filter(|peer| peer.is_responsive(self.now));
        responsive
            .map(|peer| (peer.status.config_version, peer.address))
            .max()
    }

    fn on_queues(&mut self, queues: Arc<QueueTable>) {
        let current = self.queues.as_ref().map_or(0, |queues| queues.version);
        if queues.version <= current && self.queues.is_some() {
            return;
        }
        self.log(
            Event::ConfigInForce,
            Subject::Host,
            format!(
                "configuration {} with {} queues is in force and replaces configuration {current}",
                queues.version,
                queues.queues.len()
            ),
        );
        self.paces.set_queues(&queues);
        self.queues = Some(queues);
    }

    pub(crate) fn emit(&mut self, output: FleetOutput) {
        self.outputs.push(output);
    }

    pub(crate) fn log(&mut self, event: Event, subject: Subject, message: impl Into<String>) {
        self.outputs
            .push(FleetOutput::Log(event, subject, message.into()));
    }
}
