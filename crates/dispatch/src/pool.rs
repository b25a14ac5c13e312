//! Servers and queue of one service, with the indexes that make the cost of
//! placement independent of the number of servers.

use std::collections::BTreeSet;

use hornbeam_core::ids::ServiceId;
use indexmap::{IndexMap, IndexSet};

use crate::ejection::FailureHistogram;
use crate::fair_queue::FairQueue;
use crate::keys::ServerKey;
use crate::run_time_estimate::RunTimeRatio;
use crate::server::{IndexEntry, Resources, Server};

/// `CapacityClass` indexes the servers of a pool that have the same capacity.
#[derive(Debug, Default)]
pub(crate) struct CapacityClass {
    servers: u32,
    /// Servers that may get a task, ordered by rank.
    pub(crate) available: BTreeSet<(u32, ServerKey)>,
}

/// `Pool` holds the servers and the queue of one service at this host.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    pub(crate) service: ServiceId,
    pub(crate) queue: FairQueue,
    pub(crate) capacity_classes: IndexMap<Resources, CapacityClass>,
    /// Servers that are shared by all entry hosts and may get a task.
    pub(crate) shared: IndexSet<ServerKey>,
    /// Number of known servers, including ejected ones.
    pub(crate) servers: u32,
    pub(crate) ejected: u32,
    pub(crate) slots: u32,
    pub(crate) free_slots: u32,
    pub(crate) queued_tasks: u32,
    /// Whether the last status reported free slots.
    pub(crate) reported_free: bool,
    /// Whether the last status reported tasks that wait for a slot.
    pub(crate) reported_waiting: bool,
    pub(crate) queued_work_ms: u64,
    pub(crate) failure_histogram: FailureHistogram,
    pub(crate) run_time_ratio: RunTimeRatio,
}

impl Pool {
    pub(crate) fn new(service: &str) -> Self {
        Self {
            service: service.to_owned(),
            ..Self::default()
        }
    }

    /// Whether any known server has enough total capacity for a task.
    pub(crate) fn fits_any_server(&self, required: &Resources) -> bool {
        self.capacity_classes
            .keys()
            .any(|capacity| capacity.can_fit(required))
    }

    /// Whether tasks wait because no slot is free.
    pub(crate) fn waits_for_slots(&self) -> bool {
        self.queued_tasks > 0 && self.free_slots == 0
    }

    /// Replaces the index entry of a server and updates the totals.
    pub(crate) fn reindex(&mut self, key: ServerKey, server: &mut Server) {
        let (old, new) = (server.index_entry, server.current_index_entry());
        if old == new {
            return;
        }
        server.index_entry = new;
        self.free_slots = self.free_slots - old.free_slots + new.free_slots;
        self.slots = self.slots - old.slots + new.slots;
        self.servers = self.servers - u32::from(old.known) + u32::from(new.known);
        self.ejected = self.ejected - u32::from(old.ejected) + u32::from(new.ejected);
        if old.known != new.known {
            self.update_failure_histogram(server, new.known);
        }
        if server.announcement.shared {
            self.reindex_shared(key, new);
        }
        self.reindex_capacity_class(key, server, old, new);
    }

    fn update_failure_histogram(&mut self, server: &Server, known: bool) {
        let failures = server.failures.window_failures();
        match known {
            true => self.failure_histogram.add(failures),
            false => self.failure_histogram.remove(failures),
        }
    }

    fn reindex_shared(&mut self, key: ServerKey, new: IndexEntry) {
        match new.rank {
            Some(_) => self.shared.insert(key),
            None => self.shared.swap_remove(&key),
        };
    }

    fn reindex_capacity_class(
        &mut self,
        key: ServerKey,
        server: &Server,
        old: IndexEntry,
        new: IndexEntry,
    ) {
        let capacity = Resources::of_server(&server.announcement);
        let class = self.capacity_classes.entry(capacity).or_default();
        class.servers = class.servers - u32::from(old.known) + u32::from(new.known);
        if let Some(rank) = old.rank {
            class.available.remove(&(rank, key));
        }
        if let Some(rank) = new.rank
            && !server.announcement.shared
        {
            class.available.insert((rank, key));
        }
        if class.servers == 0 {
            self.capacity_classes.swap_remove(&capacity);
        }
    }
}
