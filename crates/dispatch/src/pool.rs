//! The servers and the queue of one service, with the indexes that make
//! placement independent of the number of servers.

use std::collections::BTreeSet;

use hornbeam_core::ids::ServiceId;
use indexmap::{IndexMap, IndexSet};

use crate::ejection::FailureHistogram;
use crate::estimate::RunTimeRatio;
use crate::fair_queue::FairQueue;
use crate::keys::ServerKey;
use crate::server::{Listing, Resources, Server};

/// `Shape` is the servers of a pool that have the same capacity.
#[derive(Debug, Default)]
pub(crate) struct Shape {
    servers: u32,
    /// Servers that may get a task, by rank.
    pub(crate) open: BTreeSet<(u32, ServerKey)>,
}

/// `Pool` is one service at this host.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    pub(crate) service: ServiceId,
    pub(crate) queue: FairQueue,
    pub(crate) shapes: IndexMap<Resources, Shape>,
    /// Servers that share themselves among entry hosts and may get a task.
    pub(crate) shared: IndexSet<ServerKey>,
    /// Known servers, ejected ones included.
    pub(crate) servers: u32,
    pub(crate) ejected: u32,
    pub(crate) slots: u32,
    pub(crate) free_slots: u32,
    pub(crate) queued_tasks: u32,
    /// Whether the last status said that slots were free.
    pub(crate) told_free: bool,
    /// Whether the last status said that tasks waited for a slot.
    pub(crate) told_waiting: bool,
    pub(crate) queued_work_ms: u64,
    pub(crate) failures: FailureHistogram,
    pub(crate) ratio: RunTimeRatio,
}

impl Pool {
    /// Creates a pool without servers.
    pub(crate) fn new(service: &str) -> Self {
        Self {
            service: service.to_owned(),
            ..Self::default()
        }
    }

    /// Whether a known server could hold a task with this use.
    pub(crate) fn could_hold(&self, need: &Resources) -> bool {
        self.shapes.keys().any(|capacity| capacity.holds(need))
    }

    /// Whether tasks wait because no slot is free.
    pub(crate) fn waits_for_slots(&self) -> bool {
        self.queued_tasks > 0 && self.free_slots == 0
    }

    /// Replaces what a server contributes.
    pub(crate) fn relist(&mut self, key: ServerKey, server: &mut Server) {
        let (old, new) = (server.listing, server.current_listing());
        if old == new {
            return;
        }
        server.listing = new;
        self.free_slots = self.free_slots - old.free_slots + new.free_slots;
        self.slots = self.slots - old.slots + new.slots;
        self.servers = self.servers - u32::from(old.known) + u32::from(new.known);
        self.ejected = self.ejected - u32::from(old.ejected) + u32::from(new.ejected);
        if old.known != new.known {
            self.count_failures(server, new.known);
        }
        if server.announcement.shared {
            self.relist_shared(key, new);
        }
        self.relist_shape(key, server, old, new);
    }

    fn count_failures(&mut self, server: &Server, known: bool) {
        let failures = server.failures.failures();
        match known {
            true => self.failures.add(failures),
            false => self.failures.remove(failures),
        }
    }

    fn relist_shared(&mut self, key: ServerKey, new: Listing) {
        match new.rank {
            Some(_) => self.shared.insert(key),
            None => self.shared.swap_remove(&key),
        };
    }

    fn relist_shape(&mut self, key: ServerKey, server: &Server, old: Listing, new: Listing) {
        let capacity = Resources::of_server(&server.announcement);
        let shape = self.shapes.entry(capacity).or_default();
        shape.servers = shape.servers - u32::from(old.known) + u32::from(new.known);
        if let Some(rank) = old.rank {
            shape.open.remove(&(rank, key));
        }
        if let Some(rank) = new.rank
            && !server.announcement.shared
        {
            shape.open.insert((rank, key));
        }
        if shape.servers == 0 {
            self.shapes.swap_remove(&capacity);
        }
    }
}
