//! Records of backend servers.

use std::collections::BTreeSet;
use std::time::Duration;

use hornbeam_core::api::backend::Announcement;
use hornbeam_core::api::caller::TaskSpec;
use hornbeam_core::ids::{ExchangeId, ServerId};
use indexmap::IndexMap;

use crate::charts::ServerState;
use crate::ejection::FailureRecord;
use crate::keys::{PoolKey, ServerKey};

/// Rank of a server on trial. It is above every other rank, so that the trial
/// ends soon.
const TRIAL_RANK: u32 = u32::MAX;

/// Rank of an idle server. Ranks of other servers are a fraction of it.
const IDLE_RANK: u64 = 1_024;

/// `Resources` is the declared resource use of tasks, or a capacity.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub(crate) struct Resources {
    pub(crate) cpu_milli: u64,
    pub(crate) memory_mib: u64,
    pub(crate) accelerators: u64,
}

impl Resources {
    /// Gets the declared resource use of a task.
    pub(crate) fn of_task(spec: &TaskSpec) -> Self {
        Self {
            cpu_milli: spec.cpu_milli.into(),
            memory_mib: spec.memory_mib.into(),
            accelerators: spec.accelerators.into(),
        }
    }

    /// Gets the capacity that a server announced.
    pub(crate) fn of_server(announcement: &Announcement) -> Self {
        Self {
            cpu_milli: announcement.cpu_milli.into(),
            memory_mib: announcement.memory_mib.into(),
            accelerators: announcement.accelerators.into(),
        }
    }

    /// Whether this capacity is sufficient for `other`.
    pub(crate) fn can_fit(&self, other: &Self) -> bool {
        self.cpu_milli >= other.cpu_milli
            && self.memory_mib >= other.memory_mib
            && self.accelerators >= other.accelerators
    }

    pub(crate) fn add(&mut self, other: &Self) {
        self.cpu_milli += other.cpu_milli;
        self.memory_mib += other.memory_mib;
        self.accelerators += other.accelerators;
    }

    pub(crate) fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Gets the smallest free share of any resource, scaled to [`IDLE_RANK`].
    fn rank(&self, free: &Self) -> u64 {
        let part = |free: u64, all: u64| (free * IDLE_RANK).checked_div(all).unwrap_or(IDLE_RANK);
        part(free.cpu_milli, self.cpu_milli)
            .min(part(free.memory_mib, self.memory_mib))
            .min(part(free.accelerators, self.accelerators))
    }
}

/// `IndexEntry` is a server's contribution to the index and totals of its pool.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct IndexEntry {
    /// Order among the servers with free slots; `None` if the server may not get
    /// a task.
    pub(crate) rank: Option<u32>,
    /// Slots that may get a task.
    pub(crate) free_slots: u32,
    /// Slots that count towards the pool's capacity.
    pub(crate) slots: u32,
    /// Whether the server counts as a known server of its service.
    pub(crate) known: bool,
    /// Whether the server is ejected or on trial.
    pub(crate) ejected: bool,
}

/// `Server` is the record of one incarnation of a backend server.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) announcement: Announcement,
    pub(crate) pool: PoolKey,
    pub(crate) state: ServerState,
    /// Time at which this host treats the lease as expired.
    pub(crate) lease_end: Duration,
    pub(crate) busy_slots: u32,
    pub(crate) used: Resources,
    pub(crate) exchanges: BTreeSet<ExchangeId>,
    /// Set by a failed exchange and cleared by the next lease renewal.
    pub(crate) suspended: bool,
    pub(crate) failures: FailureRecord,
    /// Delay before the next trial.
    pub(crate) trial_delay: Duration,
    /// Load that the last answer reported.
    pub(crate) reported_load: u32,
    /// Tasks sent since the last answer.
    pub(crate) sent_since_report: u32,
    pub(crate) index_entry: IndexEntry,
}

impl Server {
    /// Creates a record without a lease.
    pub(crate) fn new(announcement: Announcement, pool: PoolKey, state: ServerState) -> Self {
        Self {
            announcement,
            pool,
            state,
            lease_end: Duration::ZERO,
            busy_slots: 0,
            used: Resources::default(),
            exchanges: BTreeSet::new(),
            suspended: false,
            failures: FailureRecord::default(),
            trial_delay: crate::ejection::INITIAL_TRIAL_DELAY,
            reported_load: 0,
            sent_since_report: 0,
            index_entry: IndexEntry::default(),
        }
    }

    /// Whether the server has enough free capacity for a task.
    pub(crate) fn has_capacity_for(&self, required: &Resources) -> bool {
        Resources::of_server(&self.announcement)
            .saturating_sub(&self.used)
            .can_fit(required)
    }

    /// Gets the number of slots that may get a task now.
    pub(crate) fn free_slots(&self) -> u32 {
        let slots = self.announcement.slots;
        let free = match self.state {
            ServerState::Serving => slots.saturating_sub(self.busy_slots),
            ServerState::Trial => 1_u32.saturating_sub(self.busy_slots),
            _ => 0,
        };
        match self.suspended || self.free_connections() == 0 {
            true => 0,
            false => free,
        }
    }

    /// Gets the number of connections that the server still accepts from this
    /// host.
    pub(crate) fn free_connections(&self) -> u32 {
        let open = u32::try_from(self.exchanges.len()).unwrap_or(u32::MAX);
        self.announcement.max_connections.saturating_sub(open)
    }

    /// Whether a shared server, which queues tasks itself, may get a task.
    pub(crate) fn accepts_shared(&self) -> bool {
        self.state == ServerState::Serving && !self.suspended && self.free_connections() > 0
    }

    /// Computes the server's index entry from its state.
    pub(crate) fn current_index_entry(&self) -> IndexEntry {
        let free_slots = self.free_slots();
        let serving = self.state == ServerState::Serving;
        let ejected = matches!(self.state, ServerState::Ejected | ServerState::Trial);
        let open = match self.announcement.shared {
            true => self.accepts_shared(),
            false => free_slots > 0,
        };
        IndexEntry {
            rank: open.then(|| self.rank(free_slots)),
            free_slots,
            slots: if serving { self.announcement.slots } else { 0 },
            known: serving || ejected,
            ejected,
        }
    }

    fn rank(&self, free_slots: u32) -> u32 {
        if self.state == ServerState::Trial {
            return TRIAL_RANK;
        }
        let capacity = Resources::of_server(&self.announcement);
        let free = capacity.saturating_sub(&self.used);
        let slots = u64::from(free_slots) * IDLE_RANK / u64::from(self.announcement.slots.max(1));
        u32::try_from(slots.min(capacity.rank(&free))).unwrap_or(0)
    }
}

/// `ServerTable` holds the server records by key, and the key of the newest
/// record by server id.
#[derive(Debug, Default)]
pub(crate) struct ServerTable {
    records: IndexMap<ServerKey, Server>,
    newest: IndexMap<ServerId, ServerKey>,
    last_key: ServerKey,
}

impl ServerTable {
    /// Adds a record, which becomes the newest one of its id.
    pub(crate) fn insert(&mut self, server: Server) -> ServerKey {
        self.last_key += 1;
        let id = server.announcement.server_id.clone();
        self.newest.insert(id, self.last_key);
        self.records.insert(self.last_key, server);
        self.last_key
    }

    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    /// Gets the key of the newest record of a server id.
    pub(crate) fn find(&self, id: &str) -> Option<ServerKey> {
        self.newest.get(id).copied()
    }

    pub(crate) fn get(&self, key: ServerKey) -> Option<&Server> {
        self.records.get(&key)
    }

    pub(crate) fn get_mut(&mut self, key: ServerKey) -> Option<&mut Server> {
        self.records.get_mut(&key)
    }

    pub(crate) fn remove(&mut self, key: ServerKey) {
        let Some(server) = self.records.swap_remove(&key) else {
            return;
        };
        let id = &server.announcement.server_id;
        if self.newest.get(id) == Some(&key) {
            self.newest.swap_remove(id);
        }
    }
}
