//! Links to the other replicas by id.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use hornbeam_core::ids::ReplicaId;
use hornbeam_transport::{Link, LinkOptions};

/// Replicas that are remembered. The group has a handful of members; more ids
/// only come from replicas that lost their disks one after the other.
const MAX_REPLICAS: usize = 64;

/// `ReplicaTable` finds the other control hosts: those of the settings, and
/// those with a new id by the address in their messages.
#[derive(Debug)]
pub(crate) struct ReplicaTable {
    options: LinkOptions,
    links: Mutex<HashMap<ReplicaId, Link>>,
}

impl ReplicaTable {
    /// Creates a table of the replicas in the settings.
    pub(crate) fn new(options: LinkOptions, known: &[(ReplicaId, SocketAddr)]) -> Self {
        let link = |(id, at): &(ReplicaId, SocketAddr)| (*id, Link::new(*at, options.clone()));
        let links = known.iter().map(link).collect();
        Self {
            links: Mutex::new(links),
            options,
        }
    }

    /// Takes note of the address of a replica that sent a message.
    pub(crate) fn learn(&self, id: ReplicaId, address: SocketAddr) {
        let mut links = self.lock();
        if links.get(&id).is_some_and(|link| link.address() == address) {
            return;
        }
        if links.contains_key(&id) || links.len() < MAX_REPLICAS {
            links.insert(id, Link::new(address, self.options.clone()));
        }
    }

    /// Gets the link to a replica.
    pub(crate) fn link(&self, id: ReplicaId) -> Option<Link> {
        self.lock().get(&id).cloned()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ReplicaId, Link>> {
        // No holder of the lock can panic between two changes.
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
