//! State of the dispatcher and its step function.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use hornbeam_core::Result;
use hornbeam_core::api::operator::EntryStatus;
use hornbeam_core::config::Configuration;
use hornbeam_core::event::Event;
use hornbeam_core::ids::{
    ChunkId, ConfigVersion, ExchangeId, HostId, Incarnation, ServerId, ServiceId,
};
use indexmap::IndexMap;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::cancels::CancelQuery;
use crate::charts::Charts;
use crate::chunks_received::ReceivedChunks;
use crate::chunks_sent::SentChunk;
use crate::exchanges::Exchange;
use crate::io::{CancelId, DispatchInput, DispatchOutput, PeerStatus};
use crate::job::JobTable;
use crate::keys::PoolKey;
use crate::options::DispatchOptions;
use crate::peers::Peer;
use crate::pool::Pool;
use crate::quota::Quotas;
use crate::retry_budget::RetryBudget;
use crate::server::ServerTable;
use crate::timers::{Timer, Timers};

/// `Dispatcher` admits, queues and places the jobs of one entry host.
#[derive(Debug)]
pub struct Dispatcher {
    pub(crate) options: DispatchOptions,
    pub(crate) charts: Charts,
    pub(crate) now: Duration,
    pub(crate) unix_ms: u64,
    pub(crate) outputs: Vec<DispatchOutput>,
    pub(crate) config_version: ConfigVersion,
    pub(crate) config: Option<Arc<Configuration>>,
    pub(crate) pools: IndexMap<ServiceId, Pool>,
    pub(crate) quotas: Quotas,
    pub(crate) servers: ServerTable,
    /// Server incarnations that withdrew without holding a lease.
    pub(crate) withdrawn: BTreeSet<(ServerId, Incarnation)>,
    pub(crate) jobs: JobTable,
    pub(crate) exchanges: IndexMap<ExchangeId, Exchange>,
    pub(crate) cancels: IndexMap<CancelId, CancelQuery>,
    pub(crate) peers: IndexMap<HostId, Peer>,
    pub(crate) chunks: IndexMap<ChunkId, SentChunk>,
    pub(crate) received_chunks: ReceivedChunks,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) timers: Timers,
    pub(crate) rng: ChaCha8Rng,
    /// Pools whose queue or capacity changed in this step.
    pub(crate) changed_pools: BTreeSet<PoolKey>,
    pub(crate) draining: bool,
    pub(crate) drained: bool,
    /// Earliest time at which limits may be lowered again.
    pub(crate) next_lower_at: Duration,
    last_id: u64,
}

impl Dispatcher {
    /// Creates a dispatcher that has no configuration and no servers yet.
    ///
    /// # Errors
    /// Returns the findings if an embedded state chart is invalid.
    pub fn new(options: DispatchOptions) -> Result<Self> {
        Ok(Self {
            charts: Charts::parse()?,
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            options,
            now: Duration::ZERO,
            unix_ms: 0,
            outputs: Vec::new(),
            config_version: 0,
            config: None,
            pools: IndexMap::new(),
            quotas: Quotas::default(),
            servers: ServerTable::default(),
            withdrawn: BTreeSet::new(),
            jobs: JobTable::default(),
            exchanges: IndexMap::new(),
            cancels: IndexMap::new(),
            peers: IndexMap::new(),
            chunks: IndexMap::new(),
            received_chunks: ReceivedChunks::default(),
            retry_budget: RetryBudget::default(),
            timers: Timers::default(),
            changed_pools: BTreeSet::new(),
            draining: false,
            drained: false,
            next_lower_at: Duration::ZERO,
            last_id: 0,
        })
    }

    /// Handles one input and returns the actions to carry out. `now` is the
    /// monotonic time of the process. `unix_ms` is the wall clock; it is compared
    /// with `valid_until_unix_ms` and seeds the ids.
    pub fn step(
        &mut self,
        now: Duration,
        unix_ms: u64,
        input: DispatchInput,
    ) -> Vec<DispatchOutput> {
        self.now = self.now.max(now);
        self.unix_ms = unix_ms;
        self.run_timers();
        self.handle_input(input);
        self.schedule_changed_pools();
        self.check_drained();
        std::mem::take(&mut self.outputs)
    }

    /// Gets the time at which the next timer is due.
    pub fn next_wakeup(&self) -> Option<Duration> {
        self.timers.first()
    }

    /// Gets the status for peers. This also lowers the limits of teams to the
    /// reported values, so the caller must fill in the addresses and send it.
    pub fn peer_status(&mut self, now: Duration) -> PeerStatus {
        self.now = self.now.max(now);
        self.lower_limits();
        self.status_for_peers()
    }

    /// Gets the status for operators.
    pub fn entry_status(&self, now: Duration) -> EntryStatus {
        self.status_for_operators(now)
    }

    /// Gets an id that is unique within the process, and greater than the ids
    /// of earlier processes of the host as long as its wall clock advances.
    pub(crate) fn next_id(&mut self) -> u64 {
        /// Ids that a process may use per millisecond of its lifetime before
        /// the next process could repeat them.
        const IDS_PER_MS: u64 = 1 << 20;
        if self.last_id == 0 {
            self.last_id = self.unix_ms.saturating_mul(IDS_PER_MS);
        }
        self.last_id += 1;
        self.last_id
    }

    pub(crate) fn log(&mut self, event: Event, message: impl Into<String>) {
        self.outputs
            .push(DispatchOutput::Log(event, message.into()));
    }

    /// Gets the pool of a service and creates it if it does not exist.
    pub(crate) fn pool_key(&mut self, service: &str) -> PoolKey {
        if let Some(key) = self.pools.get_index_of(service) {
            return key;
        }
        let pool = Pool::new(service);
        self.pools.insert_full(service.to_owned(), pool).0
    }

    fn handle_input(&mut self, input: DispatchInput) {
        match input {
            DispatchInput::Tick => {}
            DispatchInput::ConfigInForce(version, config) => self.apply_config(version, config),
            DispatchInput::Announced(announcement) => self.on_announcement(announcement),
            DispatchInput::Withdrawn(withdrawal) => self.on_withdrawal(withdrawal),
            DispatchInput::Submitted(job_id, request) => self.on_submission(job_id, request),
            DispatchInput::CallerCancelled(job_id) => self.on_caller_cancelled(&job_id),
            DispatchInput::ClaimEnded(job_id, outcome) => self.on_claim_ended(&job_id, outcome),
            DispatchInput::ExchangeEnded(id, outcome) => self.on_exchange_ended(id, outcome),
            DispatchInput::CancelEnded(cancel, answer) => self.on_cancel_ended(cancel, answer),
            DispatchInput::PeerStatusReceived(status) => self.on_peer_status(status),
            DispatchInput::ChunkReceived(chunk) => self.on_chunk_received(chunk),
            DispatchInput::ChunkCancelReceived(peer, chunk) => {
                self.on_chunk_cancel_received(peer, chunk);
            }
            DispatchInput::ChunkEnded(chunk, outcome) => self.on_chunk_ended(chunk, outcome),
            DispatchInput::ChunkCancelEnded(id, statuses) => {
                self.on_chunk_cancel_ended(id, statuses)
            }
            DispatchInput::DrainStarted => self.start_drain(),
        }
    }

    fn run_timers(&mut self) {
        while let Some(timer) = self.timers.pop_due(self.now) {
            match timer {
                Timer::LeaseExpiry(server) => self.expire_lease(server),
                Timer::StartTrial(server) => self.start_trial(server),
                Timer::RemoveServer(server) => self.remove_left_server(server),
                Timer::RemoveWithdrawal(server, incarnation) => {
                    self.withdrawn.remove(&(server, incarnation));
                }
                Timer::JobDeadline(job) => self.on_job_deadline(job),
                Timer::PeerTimeout(peer) => self.on_peer_lost(&peer),
                Timer::RaiseLimit(team) => self.reactivate_blocked_flows(team),
                Timer::RemoveChunkRecord(peer, chunk) => self.received_chunks.remove(&peer, chunk),
            }
        }
    }

    fn apply_config(&mut self, version: ConfigVersion, config: Arc<Configuration>) {
        if version <= self.config_version {
            return;
        }
        self.config_version = version;
        for (pool, flow) in self.quotas.configure(&config) {
            self.activate(pool, flow);
        }
        self.config = Some(config);
        self.log(
            Event::ConfigInForce,
            format!("configuration {version} is in force"),
        );
    }
}
