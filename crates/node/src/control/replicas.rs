//! Links to the other replicas, by id.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Mutex, MutexGuard, PoisonError};

use hornbeam_control::host_of;
use hornbeam_core::ids::ReplicaId;
use hornbeam_transport::{Link, LinkOptions};

/// Maximum number of known replicas. The group has a handful of members; more
/// ids arise only when replicas lose their disks one after the other.
const MAX_REPLICAS: usize = 64;

/// Makes the id of a replica at an address; `nonce` distinguishes the successive
/// replicas of one host.
pub(crate) fn replica_id_for(address: Ipv4Addr, nonce: u32) -> ReplicaId {
    u64::from(address.to_bits()) << 32 | u64::from(nonce)
}

/// Gets the address that a replica id contains.
pub(crate) fn address_of(id: ReplicaId, port: u16) -> Option<SocketAddr> {
    let bits = u32::try_from(host_of(id)).ok()?;
    Some(SocketAddr::from((Ipv4Addr::from_bits(bits), port)))
}

/// `ReplicaTable` holds the links to the other control hosts. Their addresses come
/// from the settings, from received messages or from the replica ids.
#[derive(Debug)]
pub(crate) struct ReplicaTable {
    options: LinkOptions,
    /// Port for links of all control hosts, if replica ids contain addresses.
    link_port: Option<u16>,
    links: Mutex<HashMap<ReplicaId, Link>>,
}

impl ReplicaTable {
    /// Creates a table with the replicas from the settings.
    pub(crate) fn new(
        options: LinkOptions,
        known: &[(ReplicaId, SocketAddr)],
        link_port: Option<u16>,
    ) -> Self {
        let link = |(id, at): &(ReplicaId, SocketAddr)| (*id, Link::new(*at, options.clone()));
        let links = known.iter().map(link).collect();
        Self {
            links: Mutex::new(links),
            options,
            link_port,
        }
    }

    /// Records the address of a replica that sent a message.
    pub(crate) fn record_address(&self, id: ReplicaId, address: SocketAddr) {
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
        let mut links = self.lock();
        if let Some(link) = links.get(&id) {
            return Some(link.clone());
        }
        let address = address_of(id, self.link_port?)?;
        if links.len() >= MAX_REPLICAS {
            return None;
        }
        let link = Link::new(address, self.options.clone());
        links.insert(id, link.clone());
        Some(link)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ReplicaId, Link>> {
        // No holder of the lock can panic between two changes.
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
