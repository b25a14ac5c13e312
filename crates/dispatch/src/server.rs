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

/// Rank of a server that waits for its trial task, above every other, so that
/// the trial is soon over.
const TRIAL_RANK: u32 = u32::MAX;

/// Rank of a server that runs nothing.
const IDLE_RANK: u64 = 1_024;

/// `Resources` is a declared use or a capacity.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub(crate) struct Resources {
    pub(crate) cpu_milli: u64,
    pub(crate) memory_mib: u64,
    pub(crate) accelerators: u64,
}

impl Resources {
    /// Gets the declared use of a task.
    pub(crate) fn of_task(spec: &TaskSpec) -> Self {
        Self {
            cpu_milli: spec.cpu_milli.into(),
            memory_mib: spec.memory_mib.into(),
            accelerators: spec.accelerators.into(),
        }
    }

    /// Gets the capacity that a server announces.
    pub(crate) fn of_server(announcement: &Announcement) -> Self {
        Self {
            cpu_milli: announcement.cpu_milli.into(),
            memory_mib: announcement.memory_mib.into(),
            accelerators: announcement.accelerators.into(),
        }
    }

    /// Whether `other` fits.
    pub(crate) fn holds(&self, other: &Self) -> bool {
        self.cpu_milli >= other.cpu_milli
            && self.memory_mib >= other.memory_mib
            && self.accelerators >= other.accelerators
    }

    /// Adds a use.
    pub(crate) fn add(&mut self, other: &Self) {
        self.cpu_milli += other.cpu_milli;
        self.memory_mib += other.memory_mib;
        self.accelerators += other.accelerators;
    }

    /// Subtracts a use, or gets zero.
    pub(crate) fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Gets the smallest free part of any resource, scaled to [`IDLE_RANK`].
    fn rank(&self, free: &Self) -> u64 {
        let part = |free: u64, all: u64| (free * IDLE_RANK).checked_div(all).unwrap_or(IDLE_RANK);
        part(free.cpu_milli, self.cpu_milli)
            .min(part(free.memory_mib, self.memory_mib))
            .min(part(free.accelerators, self.accelerators))
    }
}

/// `Listing` is what a server contributes to the index of its pool.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct IndexEntry {
    /// Order among servers with free slots; `None` if it may get no task.
    pub(crate) rank: Option<u32>,
    /// Slots that may get a task.
    pub(crate) free_slots: u32,
    /// Slots that count as capacity.
    pub(crate) slots: u32,
    /// Whether the server counts among the known servers of its service.
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
    /// When this host treats the lease as ended.
    pub(crate) lease_end: Duration,
    pub(crate) busy_slots: u32,
    pub(crate) used: Resources,
    pub(crate) exchanges: BTreeSet<ExchangeId>,
    /// Set by a failed exchange, cleared by the next renewal.
    pub(crate) suspended: bool,
    pub(crate) failures: FailureRecord,
    /// Pause before the next trial.
    pub(crate) trial_delay: Duration,
    /// Load that the last answer carried.
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

    /// Whether the server's capacity has room for a task now.
    pub(crate) fn has_capacity_for(&self, required: &Resources) -> bool {
        Resources::of_server(&self.announcement)
            .saturating_sub(&self.used)
            .holds(required)
    }

    /// Gets the slots that may get a task now.
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

    /// Gets the connections that the server still accepts from this host.
    pub(crate) fn free_connections(&self) -> u32 {
        let open = u32::try_from(self.exchanges.len()).unwrap_or(u32::MAX);
        self.announcement.max_connections.saturating_sub(open)
    }

    /// Whether a server that queues tasks itself may get one.
    pub(crate) fn accepts_shared(&self) -> bool {
        self.state == ServerState::Serving && !self.suspended && self.free_connections() > 0
    }

    /// Gets what the server contributes to its pool now.
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

/// `ServerTable` holds the server records by key and the newest one by id.
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

    /// Gets the number of records.
    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    /// Gets the key of the newest record of an id.
    pub(crate) fn find(&self, id: &str) -> Option<ServerKey> {
        self.newest.get(id).copied()
    }

    /// Gets a record.
    pub(crate) fn get(&self, key: ServerKey) -> Option<&Server> {
        self.records.get(&key)
    }

    /// Gets a record to change.
    pub(crate) fn get_mut(&mut self, key: ServerKey) -> Option<&mut Server> {
        self.records.get_mut(&key)
    }

    /// Drops a record.
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
