//! Registered entry hosts, and the choice of one for a worker.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hornbeam_core::ids::{HostId, WorkerId};
use hornbeam_fleet::{PeerInfo, WorkerReport};
use hornbeam_transport::{Link, LinkOptions};
use indexmap::{IndexMap, IndexSet};

use crate::wire::{EntryRegistration, MembershipUpdate, MembershipVersion};

/// Time after which an entry host that has not registered again counts as dead:
/// three missed registrations.
const REGISTRATION_TTL: Duration = Duration::from_secs(3);

/// Time for which a worker's reports go to the entry host that accepted the last
/// one.
const OWNER_TTL: Duration = Duration::from_secs(6);

/// Time for which an entry host that declined a worker's report comes last for it. The
/// worker reports again within 1.5 s.
const DECLINE_TTL: Duration = Duration::from_secs(3);

/// Interval at which expired records are removed. A search at each request
/// would cost time in proportion to all hosts and workers.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(100);

/// Number of changes of the membership that are kept. An entry host that missed
/// more of them gets the whole list.
const MAX_CHANGES: usize = 1024;

/// `EntryRegistry` holds the entry hosts that registered at this host.
#[derive(Debug)]
pub(crate) struct EntryRegistry {
    options: LinkOptions,
    /// Random number of this process.
    epoch: u64,
    table: Mutex<Table>,
}

#[derive(Debug, Default)]
struct Table {
    hosts: IndexMap<HostId, RegisteredHost>,
    owners: IndexMap<WorkerId, (HostId, Duration)>,
    /// Entry hosts that declined a worker's reports, and when they last did so.
    declines: IndexMap<WorkerId, IndexMap<HostId, Duration>>,
    /// Number of changes of the membership so far.
    change_count: u64,
    /// Hosts that joined, moved or left, the latest last.
    changes: VecDeque<HostId>,
    /// Time at which expired records are next removed.
    next_expiry_at: Duration,
}

#[derive(Debug)]
struct RegisteredHost {
    registration: EntryRegistration,
    registered_at: Duration,
    /// Workers relayed to it since it last reported how many it owns.
    relayed: u32,
    /// Whether it has not answered a relayed report since its last
    /// registration.
    is_unresponsive: bool,
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
            epoch: rand::random(),
            table: Mutex::default(),
        }
    }

    /// Records the registration of an entry host.
    pub(crate) fn register(&self, registration: EntryRegistration, now: Duration) {
        let mut table = self.lock();
        table.expire(now);
        let host_id = registration.host.host_id.clone();
        match table.hosts.get_mut(&host_id) {
            Some(entry) if entry.link.address() == registration.host.address => {
                entry.registration = registration;
                entry.registered_at = now;
                entry.relayed = 0;
                entry.is_unresponsive = false;
            }
            _ => {
                let link = Link::new(registration.host.address, self.options.clone());
                let entry = RegisteredHost {
                    registration,
                    registered_at: now,
                    relayed: 0,
                    is_unresponsive: false,
                    link,
                };
                table.hosts.insert(host_id.clone(), entry);
                table.record_change(host_id);
            }
        }
    }

    /// Gets the entry hosts that are alive.
    pub(crate) fn entry_hosts(&self, now: Duration) -> Vec<PeerInfo> {
        let mut table = self.lock();
        table.expire(now);
        table.entry_hosts()
    }

    /// Gets what has changed in the list of entry hosts since a version, or the
    /// whole list if that is not known any more. The other fields of the update
    /// are empty.
    pub(crate) fn changes_since(
        &self,
        known: Option<MembershipVersion>,
        now: Duration,
    ) -> MembershipUpdate {
        let mut table = self.lock();
        table.expire(now);
        let mut update = MembershipUpdate {
            version: MembershipVersion {
                epoch: self.epoch,
                changes: table.change_count,
            },
            ..MembershipUpdate::default()
        };
        let known = known.filter(|known| known.epoch == self.epoch);
        match known.and_then(|known| table.changed_since(known.changes)) {
            Some(changed) => {
                for host_id in changed {
                    match table.hosts.get(&host_id) {
                        Some(entry) => update.joined.push(entry.registration.host.clone()),
                        None => update.left.push(host_id),
                    }
                }
            }
            None => {
                update.is_whole = true;
                update.joined = table.entry_hosts();
            }
        }
        update
    }

    /// Gets at most `count` entry hosts for a worker, best first: those that have not
    /// declined its reports, then the one that accepted its last report, those that
    /// answer, those in its failure domain, and those that own the fewest workers.
    pub(crate) fn candidates(
        &self,
        report: &WorkerReport,
        count: usize,
        now: Duration,
    ) -> Vec<Candidate> {
        let mut table = self.lock();
        table.expire(now);
        let owner = table.owners.get(&report.worker_id).map(|(host, _)| host);
        let declines = table.declines.get(&report.worker_id);
        let has_declined =
            |host_id: &HostId| declines.is_some_and(|hosts| hosts.contains_key(host_id));
        let mut entries: Vec<&RegisteredHost> = table
            .hosts
            .values()
            .filter(|entry| !entry.registration.draining)
            .collect();
        let rank = |entry: &&RegisteredHost| {
            let host = &entry.registration.host;
            (
                has_declined(&host.host_id),
                owner != Some(&host.host_id),
                entry.is_unresponsive,
                host.failure_domain != report.failure_domain,
                entry.registration.owned + entry.relayed,
            )
        };
        if entries.len() > count {
            entries.select_nth_unstable_by_key(count, rank);
            entries.truncate(count);
        }
        entries.sort_by_key(rank);
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
        let former = table
            .owners
            .insert(worker_id.clone(), (host_id.clone(), now));
        if former.is_none_or(|(former, _)| former != *host_id)
            && let Some(entry) = table.hosts.get_mut(host_id)
        {
            entry.relayed += 1;
        }
    }

    /// Records that an entry host did not take a worker's report, as one that cannot reach
    /// the worker.
    pub(crate) fn record_declined(&self, worker_id: &WorkerId, host_id: &HostId, now: Duration) {
        let mut table = self.lock();
        let hosts = table.declines.entry(worker_id.clone()).or_default();
        hosts.insert(host_id.clone(), now);
    }

    /// Records that an entry host did not answer a relayed report. Until it
    /// registers again, it comes last for workers that it does not own.
    pub(crate) fn record_unanswered(&self, host_id: &HostId) {
        if let Some(entry) = self.lock().hosts.get_mut(host_id) {
            entry.is_unresponsive = true;
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

impl Table {
    /// Removes hosts that have not registered again, and old owners.
    fn expire(&mut self, now: Duration) {
        if now < self.next_expiry_at {
            return;
        }
        self.next_expiry_at = now + EXPIRY_INTERVAL;
        self.owners.retain(|_, (_, at)| now <= *at + OWNER_TTL);
        self.declines.retain(|_, hosts| {
            hosts.retain(|_, at| now <= *at + DECLINE_TTL);
            !hosts.is_empty()
        });
        let has_expired =
            |_: &HostId, entry: &mut RegisteredHost| now > entry.registered_at + REGISTRATION_TTL;
        let expired: Vec<HostId> = self
            .hosts
            .extract_if(.., has_expired)
            .map(|(host_id, _)| host_id)
            .collect();
        for host_id in expired {
            self.record_change(host_id);
        }
    }

    fn record_change(&mut self, host_id: HostId) {
        self.change_count += 1;
        self.changes.push_back(host_id);
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
    }

    /// Gets the hosts that have changed since a number of changes; `None` if not
    /// all of these changes are kept.
    fn changed_since(&self, known: u64) -> Option<IndexSet<HostId>> {
        let missed = usize::try_from(self.change_count.checked_sub(known)?).ok()?;
        let first = self.changes.len().checked_sub(missed)?;
        Some(self.changes.range(first..).cloned().collect())
    }

    fn entry_hosts(&self) -> Vec<PeerInfo> {
        let entries = self.hosts.values();
        entries
            .map(|entry| entry.registration.host.clone())
            .collect()
    }
}
