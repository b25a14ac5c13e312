//! Registered entry hosts, and the choice of one for a worker.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hornbeam_core::ids::{HostId, WorkerId};
use hornbeam_fleet::{PeerInfo, WorkerReport};
use hornbeam_transport::{Link, LinkOptions};
use indexmap::IndexMap;

use crate::wire::EntryRegistration;

/// Time after which an entry host that has not registered again counts as dead:
/// four missed registrations.
const REGISTRATION_TTL: Duration = Duration::from_secs(2);

/// Time for which a worker's reports go to the entry host that accepted the last
/// one.
const OWNER_TTL: Duration = Duration::from_secs(6);

/// `EntryRegistry` holds the entry hosts that registered at this host.
#[derive(Debug)]
pub(crate) struct EntryRegistry {
    options: LinkOptions,
    table: Mutex<Table>,
}

#[derive(Debug, Default)]
struct Table {
    hosts: IndexMap<HostId, RegisteredHost>,
    owners: IndexMap<WorkerId, (HostId, Duration)>,
}

#[derive(Debug)]
struct RegisteredHost {
    registration: EntryRegistration,
    registered_at: Duration,
    /// Workers relayed to it since it last reported how many it owns.
    relayed: u32,
    link: Link,
}

/// `Candidate` is an entry host that may become the owner of a worker.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    /// Id of the entry host.
    pub(crate) host_id: HostId,
    /// Link to the entry host.
    pub(crate) link: Link,
    /// Address for the status reports of its workers.
    pub(crate) report_address: SocketAddr,
}

impl EntryRegistry {
    pub(crate) fn new(options: LinkOptions) -> Self {
        Self {
            options,
            table: Mutex::default(),
        }
    }

    /// Records the registration of an entry host.
    pub(crate) fn register(&self, registration: EntryRegistration, now: Duration) {
        let mut table = self.lock();
        let host_id = registration.host.host_id.clone();
        match table.hosts.get_mut(&host_id) {
            Some(entry) if entry.link.address() == registration.host.address => {
                entry.registration = registration;
                entry.registered_at = now;
                entry.relayed = 0;
            }
            _ => {
                let link = Link::new(registration.host.address, self.options.clone());
                let entry = RegisteredHost {
                    registration,
                    registered_at: now,
                    relayed: 0,
                    link,
                };
                table.hosts.insert(host_id, entry);
            }
        }
    }

    /// Gets the entry hosts that are alive.
    pub(crate) fn entry_hosts(&self, now: Duration) -> Vec<PeerInfo> {
        let table = self.lock();
        let alive = table.hosts.values().filter(|entry| entry.is_alive(now));
        alive.map(|entry| entry.registration.host.clone()).collect()
    }

    /// Gets the entry hosts for a worker, best first: the one that accepted its
    /// last report, then those in its failure domain, then those that own the
    /// fewest workers.
    pub(crate) fn candidates(&self, report: &WorkerReport, now: Duration) -> Vec<Candidate> {
        let table = self.lock();
        let owner = table.owners.get(&report.worker_id);
        let owner = owner.filter(|(_, at)| now <= *at + OWNER_TTL);
        let owner = owner.map(|(host, _)| host.clone());
        let is_candidate =
            |entry: &&RegisteredHost| entry.is_alive(now) && !entry.registration.draining;
        let mut entries: Vec<&RegisteredHost> = table.hosts.values().filter(is_candidate).collect();
        entries.sort_by_key(|entry| {
            let host = &entry.registration.host;
            (
                owner.as_ref() != Some(&host.host_id),
                host.failure_domain != report.failure_domain,
                entry.registration.owned + entry.relayed,
            )
        });
        let candidate = |entry: &&RegisteredHost| Candidate {
            host_id: entry.registration.host.host_id.clone(),
            link: entry.link.clone(),
            report_address: entry.registration.report_address,
        };
        entries.iter().map(candidate).collect()
    }

    /// Records that an entry host accepted a worker's report.
    pub(crate) fn record_owner(&self, worker_id: &WorkerId, host_id: &HostId, now: Duration) {
        let mut table = self.lock();
        table.owners.retain(|_, (_, at)| now <= *at + OWNER_TTL);
        let former = table
            .owners
            .insert(worker_id.clone(), (host_id.clone(), now));
        if former.is_none_or(|(former, _)| former != *host_id)
            && let Some(entry) = table.hosts.get_mut(host_id)
        {
            entry.relayed += 1;
        }
    }

    /// Gets the link to the entry host that accepted the last report of a worker
    /// that this host relayed.
    pub(crate) fn owner_link(&self, worker_id: &WorkerId) -> Option<Link> {
        let table = self.lock();
        let (host, _) = table.owners.get(worker_id)?;
        Some(table.hosts.get(host)?.link.clone())
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        // No holder of the lock can panic between two changes.
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RegisteredHost {
    fn is_alive(&self, now: Duration) -> bool {
        now <= self.registered_at + REGISTRATION_TTL
    }
}
