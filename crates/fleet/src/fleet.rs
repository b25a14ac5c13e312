//! The fleet: its fields, the dispatch of inputs and the timers.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use hornbeam_core::event::Event;
use hornbeam_core::ids::{FailureDomainId, HostId, TaskIndex, WorkerId};
use indexmap::IndexMap;

use crate::admission::RecentJobs;
use crate::estimates::Estimates;
use crate::fencing::{FencingToken, FencingTokens};
use crate::guests::Guest;
use crate::io::{FleetInput, FleetOutput, Subject};
use crate::job::{Job, JobKey, RunId};
use crate::options::FleetOptions;
use crate::peer::{Peer, Sender};
use crate::queues::QueueTable;
use crate::scheduling::SPREAD_AFTER;
use crate::waits::RunTimes;
use crate::worker::{Worker, WorkerKey};

/// Longest time without a tick, so that a forgotten timer cannot stall a host.
const MAX_SLEEP: Duration = Duration::from_millis(100);

/// Shortest time between two ticks. Timers need no better resolution, and each
/// tick costs processor time.
const MIN_SLEEP: Duration = Duration::from_millis(2);

/// `Fleet` decides which task runs on which worker, and what its ends mean.
#[derive(Debug)]
pub struct Fleet {
    pub(crate) options: FleetOptions,
    pub(crate) sender: Sender,
    pub(crate) now: Duration,
    pub(crate) unix_ms: u64,
    pub(crate) queues: Option<Arc<QueueTable>>,
    pub(crate) jobs: IndexMap<JobKey, Job>,
    /// Jobs with queued tasks, the most urgent first.
    pub(crate) urgent: BTreeSet<(Duration, JobKey)>,
    /// Tasks whose last run may go on, by the time at which it is over.
    pub(crate) lingering: BTreeSet<(Duration, JobKey, TaskIndex)>,
    /// Jobs by the time at which they are given up.
    pub(crate) deadlines: BTreeSet<(Duration, JobKey)>,
    pub(crate) recent: RecentJobs,
    pub(crate) estimates: Estimates,
    pub(crate) run_times: RunTimes,
    pub(crate) workers: BTreeMap<WorkerKey, Worker>,
    pub(crate) by_id: IndexMap<WorkerId, WorkerKey>,
    pub(crate) last_worker: WorkerKey,
    pub(crate) fencing_tokens: FencingTokens,
    pub(crate) guests: IndexMap<RunId, Guest>,
    /// Tasks of peers that wait for room here, the most urgent first.
    pub(crate) waiting_guests: BTreeSet<(Duration, RunId)>,
    pub(crate) peers: IndexMap<HostId, Peer>,
    /// Hosts that were present when the neighbours were chosen.
    pub(crate) present: BTreeSet<(FailureDomainId, HostId)>,
    /// When the neighbours are next chosen.
    pub(crate) next_choice_at: Duration,
    /// Whether room has become free or short since peers were told.
    pub(crate) room_changed: bool,
    /// Whether tasks waited when peers were last told.
    pub(crate) was_waiting: bool,
    /// Workers handed over during a drain, with the heir and the generation.
    pub(crate) handed_over: IndexMap<WorkerId, (HostId, FencingToken)>,
    /// When a look was last lost.
    pub(crate) look_lost_at: Option<Duration>,
    pub(crate) drain_started: Option<Duration>,
    pub(crate) outputs: Vec<FleetOutput>,
}

impl Fleet {
    /// Creates a fleet without workers, peers and configuration.
    pub fn new(options: FleetOptions) -> Self {
        let sender = Sender {
            host_id: options.host_id.clone(),
            address: options.link_address,
            failure_domain: options.failure_domain.clone(),
            incarnation: options.incarnation,
        };
        Self {
            fencing_tokens: FencingTokens::new(options.link_address),
            sender,
            options,
            now: Duration::ZERO,
            unix_ms: 0,
            queues: None,
            jobs: IndexMap::new(),
            urgent: BTreeSet::new(),
            lingering: BTreeSet::new(),
            deadlines: BTreeSet::new(),
            recent: RecentJobs::default(),
            estimates: Estimates::default(),
            run_times: RunTimes::default(),
            workers: BTreeMap::new(),
            by_id: IndexMap::new(),
            last_worker: 0,
            guests: IndexMap::new(),
            waiting_guests: BTreeSet::new(),
            peers: IndexMap::new(),
            present: BTreeSet::new(),
            next_choice_at: Duration::ZERO,
            room_changed: false,
            was_waiting: false,
            handed_over: IndexMap::new(),
            look_lost_at: None,
            drain_started: None,
            outputs: Vec::new(),
        }
    }

    /// Reacts to one input; `now` is the monotonic time of the process and
    /// `unix_ms` the time of day, which serves only for generations.
    pub fn step(&mut self, now: Duration, unix_ms: u64, input: FleetInput) -> Vec<FleetOutput> {
        self.now = self.now.max(now);
        self.unix_ms = unix_ms;
        // After a pause of the process, what ended meanwhile comes first.
        self.end_lapsed_leases();
        self.react(input);
        self.watch_workers();
        self.watch_peers();
        self.release_lingering();
        self.give_up_jobs();
        self.drain();
        self.schedule();
        self.send_looks_and_stops();
        self.send_batches();
        std::mem::take(&mut self.outputs)
    }

    fn react(&mut self, input: FleetInput) {
        match input {
            FleetInput::Tick => {}
            FleetInput::Queues(queues) => self.on_queues(queues),
            FleetInput::Submitted(call, submission) => self.on_submitted(call, submission),
            FleetInput::CallerDisconnected(call, job) => self.on_caller_gone(call, job),
            FleetInput::Reported(id, report) => self.on_reported(id, report),
            FleetInput::Departed(worker_id) => self.on_departed(&worker_id),
            FleetInput::StartRequestEnded(worker_key, run, answer) => {
                self.on_start_answered(worker_key, run, answer);
            }
            FleetInput::StopRequestEnded(worker_key, run, answer) => {
                self.on_stop_answered(worker_key, run, answer);
            }
            FleetInput::PollEnded(worker_key, answer) => self.on_looked(worker_key, answer),
            FleetInput::ProbeEnded(worker_key, answer) => self.on_checked(worker_key, answer),
            FleetInput::Batch(batch) => self.on_batch(batch),
            FleetInput::BatchEnded(host, taken) => {
                if let Some(peer) = self.peers.get_mut(&host) {
                    peer.batch_ended(taken, self.now);
                }
            }
            FleetInput::Peers(addresses) => self.on_peers(addresses),
            FleetInput::Drain => self.start_drain(),
        }
    }

    /// Gets the next time at which a `Tick` has something to do.
    pub fn next_wakeup(&self) -> Duration {
        let timers = [
            self.deadlines.first().map(|(at, _)| *at),
            self.first_start_by(),
            self.first_spread(),
            self.lingering.first().map(|(at, _, _)| *at),
        ];
        let workers = self
            .workers
            .values()
            .map(|worker| self.worker_wakeup(worker));
        let peers = self.peers.values().map(|peer| peer.wakeup(self.now));
        let first = timers
            .into_iter()
            .flatten()
            .chain(workers)
            .chain(peers)
            .min();
        let latest = self.now + MAX_SLEEP;
        first.unwrap_or(latest).clamp(self.now + MIN_SLEEP, latest)
    }

    /// Gets the first time at which a job or a task of a peer becomes late.
    fn first_start_by(&self) -> Option<Duration> {
        let jobs = self.urgent.iter().filter_map(|(_, key)| self.jobs.get(key));
        let jobs = jobs.filter(|job| !job.may_have_started());
        let guests = self.waiting_guests.iter();
        let guests = guests.filter_map(|(_, run)| self.guests.get(run));
        let starts = jobs.map(|job| job.start_by);
        starts.chain(guests.map(|guest| guest.start_by)).min()
    }

    /// Gets the first time at which tasks may wait at peers.
    fn first_spread(&self) -> Option<Duration> {
        let jobs = self.urgent.iter().filter_map(|(_, key)| self.jobs.get(key));
        let spreads = jobs.map(|job| job.arrived_at + SPREAD_AFTER);
        spreads.filter(|at| *at > self.now).min()
    }

    /// Whether this host can serve callers: it has a configuration, does not
    /// drain and knows some worker.
    pub fn is_ready(&self) -> bool {
        let has_worker = !self.workers.is_empty()
            || self
                .peers
                .values()
                .any(|peer| peer.is_lively(self.now) && !peer.status.rooms.is_empty());
        self.queues.is_some() && self.drain_started.is_none() && has_worker
    }

    /// Whether a drain has begun.
    pub fn is_draining(&self) -> bool {
        self.drain_started.is_some()
    }

    /// Whether callers are to open new connections, which lead to other hosts.
    pub fn closes_caller_connections(&self) -> bool {
        let closes = |started: Duration| self.now >= started + self.options.drain_close_after;
        self.drain_started.is_some_and(closes)
    }

    /// Whether nothing is left to do after a drain.
    pub fn is_drained(&self) -> bool {
        let Some(started) = self.drain_started else {
            return false;
        };
        let is_idle = self.jobs.is_empty() && self.guests.is_empty() && self.workers.is_empty();
        let since = self.now.saturating_sub(started);
        is_idle && since >= self.options.min_drain || since >= self.options.max_drain
    }

    /// Gets the number of workers owned.
    pub fn owned_workers(&self) -> usize {
        self.workers.len()
    }

    /// Gets the processors that are free on the own workers that take tasks, in
    /// thousandths of a core.
    pub fn free_cpu_milli(&self) -> u64 {
        let rooms = self.own_rooms();
        let free = rooms.iter().flat_map(|rooms| &rooms.free);
        free.map(|room| u64::from(room.cpu_milli)).sum()
    }

    /// Gets the number of jobs in progress.
    pub fn jobs_in_progress(&self) -> usize {
        self.jobs.len()
    }

    /// Gets the number of tasks that wait for room here, those of peers
    /// included.
    pub fn waiting_tasks(&self) -> u32 {
        let queued = self.urgent.iter().filter_map(|(_, key)| self.jobs.get(key));
        let waiting: usize = queued.map(|job| job.queued).sum();
        u32::try_from(waiting + self.waiting_guests.len()).unwrap_or(u32::MAX)
    }

    /// Counts the jobs of a queue for which no task has started.
    pub fn pending_jobs(&self, queue: &str) -> u64 {
        let waits = |job: &&Job| job.queue == queue && !job.may_have_started();
        self.jobs.values().filter(waits).count() as u64
    }

    /// Gets the configuration in force.
    pub fn queues(&self) -> Option<&Arc<QueueTable>> {
        self.queues.as_ref()
    }

    /// Gets the newest version that a peer has reported, and its address.
    pub fn newest_peer_config(&self) -> Option<(u64, std::net::SocketAddr)> {
        let lively = self.peers.values().filter(|peer| peer.is_lively(self.now));
        lively
            .map(|peer| (peer.status.config_version, peer.address))
            .max()
    }

    fn on_queues(&mut self, queues: Arc<QueueTable>) {
        let present = self.queues.as_ref().map_or(0, |queues| queues.version);
        if queues.version <= present && self.queues.is_some() {
            return;
        }
        self.log(
            Event::ConfigInForce,
            Subject::Host,
            format!(
                "version {} with {} queues is in force after version {present}",
                queues.version,
                queues.queues.len()
            ),
        );
        self.queues = Some(queues);
    }

    pub(crate) fn put(&mut self, output: FleetOutput) {
        self.outputs.push(output);
    }

    pub(crate) fn log(&mut self, event: Event, subject: Subject, message: impl Into<String>) {
        self.outputs
            .push(FleetOutput::Log(event, subject, message.into()));
    }
}
