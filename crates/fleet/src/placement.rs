//! Placement of tasks on workers and peers.

use std::time::Duration;

use hornbeam_core::ids::{HostId, ServiceId};
use hornbeam_interference::Newcomer;

use crate::fleet::Fleet;
use crate::pace::PaceOrder;
use crate::peer::Peer;
use crate::resources::{Resources, ServiceResources};
use crate::worker::{Worker, WorkerKey};

/// Load up to which a peer is sent more waiting tasks, as waiting tasks per
/// serving worker in percent. Above it tasks wait longer than their objectives
/// allow.
const MAX_QUEUE_LOAD_PERCENT: u32 = 150;

/// `Preference` orders the workers that fit a task, beyond the tightest fit.
#[derive(Debug, Default)]
pub(crate) struct Preference {
    /// Order by pace, where pace counts.
    pub(crate) pace: Option<PaceOrder>,
    /// The task as a neighbour of others, where interference counts.
    pub(crate) newcomer: Option<Newcomer>,
    /// Time by which the run must have ended even if no stop arrives, so that it
    /// cannot join a worker whose lease already goes beyond.
    pub(crate) lease_limit: Option<Duration>,
}

impl Fleet {
    /// Chooses the worker of this host with the tightest fit, which leaves room
    /// for large tasks, among those that come first by pace and by what runs there.
    /// Cold workers come after others, and the worker `avoid` comes last.
    pub(crate) fn choose_worker(
        &self,
        service: &ServiceId,
        need: &Resources,
        avoid: Option<WorkerKey>,
        preference: &Preference,
    ) -> Option<WorkerKey> {
        let ends_in_time = |worker: &&Worker| {
            let limit = preference.lease_limit;
            limit.is_none_or(|limit| worker.lease.ends_by() <= limit)
        };
        let fits = |worker: &&Worker| {
            worker.report.service == *service
                && worker.accepts_runs(self.now)
                && ends_in_time(worker)
                && worker.free().can_fit(need)
        };
        let rank = |worker: &&Worker| {
            let left = worker.free().cpu_milli - need.cpu_milli;
            (
                avoid == Some(worker.worker_key),
                self.is_cold(worker),
                worker.failures,
                self.pace_rank(preference.pace, worker),
                self.interference_penalty(preference.newcomer.as_ref(), worker),
                left,
            )
        };
        let fitting = self.workers.values().filter(fits);
        fitting.min_by_key(rank).map(|worker| worker.worker_key)
    }

    /// Whether a worker gets runs only if no other fits, here or at a peer.
    pub(crate) fn is_cold_worker(&self, worker_key: WorkerKey) -> bool {
        let worker = self.workers.get(&worker_key);
        worker.is_some_and(|worker| self.is_cold(worker))
    }

    /// Chooses a peer with free resources for a task and deducts them from its
    /// known status. Peers in an evacuated failure domain come last, because their
    /// status may be older than the evacuation. Of the others, those in the failure
    /// domain of this host come first, then those with the most free cores.
    pub(crate) fn choose_peer(&mut self, service: &ServiceId, need: &Resources) -> Option<HostId> {
        let own_domain = &self.options.failure_domain;
        let now = self.now;
        let fits = |peer: &&Peer| {
            peer.is_responsive(now)
                && !peer.status.draining
                && best_fit(peer, service, need).is_some()
        };
        let rank = |peer: &&Peer| {
            let is_remaining = !self.is_evacuated(&peer.failure_domain);
            let is_near = peer.failure_domain == *own_domain;
            (is_remaining, is_near, free_cpu(peer, service))
        };
        let candidates = self.peers.iter().filter(|(_, peer)| fits(peer));
        let (host, _) = candidates.max_by_key(|(_, peer)| rank(peer))?;
        let host = host.clone();
        let peer = self.peers.get_mut(&host)?;
        let index = best_fit(peer, service, need)?;
        if let Some(resources) = service_resources_mut(peer, service) {
            resources.free[index].subtract(need);
        }
        Some(host)
    }

    /// Chooses a peer with a free worker that is fast enough for a task, and deducts
    /// the resources from its known status. The order of peers is that of
    /// [`Self::choose_peer`].
    pub(crate) fn choose_fast_peer(
        &mut self,
        service: &ServiceId,
        need: &Resources,
        order: PaceOrder,
    ) -> Option<HostId> {
        let own_domain = &self.options.failure_domain;
        let now = self.now;
        let fits = |peer: &&Peer| {
            peer.is_responsive(now)
                && !peer.status.draining
                && fast_fit(peer, service, need, order).is_some()
        };
        let rank = |peer: &&Peer| (peer.failure_domain == *own_domain, free_cpu(peer, service));
        let candidates = self.peers.iter().filter(|(_, peer)| fits(peer));
        let (host, _) = candidates.max_by_key(|(_, peer)| rank(peer))?;
        let host = host.clone();
        let peer = self.peers.get_mut(&host)?;
        let index = fast_fit(peer, service, need, order)?;
        if let Some(resources) = service_resources_mut(peer, service) {
            resources.free[index].subtract(need);
        }
        Some(host)
    }

    /// Chooses the peer with the fewest waiting tasks per serving worker, if
    /// that is fewer than here, and counts one more waiting task there.
    pub(crate) fn choose_least_loaded_peer(&mut self, service: &ServiceId) -> Option<HostId> {
        let own = queue_load_percent(self.waiting_tasks(), self.serving_workers());
        let now = self.now;
        let is_fit = |peer: &&Peer| {
            peer.is_responsive(now)
                && peer.has_recent_ack(now)
                && !peer.status.draining
                && service_resources(peer, service).is_some()
        };
        let load = |peer: &Peer| {
            queue_load_percent(peer.status.waiting.saturating_add(1), peer.status.serving)
        };
        let fit = self.peers.iter().filter(|(_, peer)| is_fit(peer));
        let least_loaded = fit.min_by_key(|(_, peer)| load(peer))?;
        let is_lower = load(least_loaded.1) < own && load(least_loaded.1) <= MAX_QUEUE_LOAD_PERCENT;
        let host = is_lower.then(|| least_loaded.0.clone())?;
        let peer = self.peers.get_mut(&host)?;
        peer.status.waiting = peer.status.waiting.saturating_add(1);
        Some(host)
    }

    /// Whether a task fits on a peer, or on a worker of this host other than
    /// `except`.
    pub(crate) fn fits_elsewhere(
        &self,
        service: &ServiceId,
        need: &Resources,
        except: WorkerKey,
    ) -> bool {
        let own = self.choose_worker(service, need, Some(except), &Preference::default());
        let has_peer = self.peers.values().any(|peer| {
            peer.is_responsive(self.now)
                && !peer.status.draining
                && best_fit(peer, service, need).is_some()
        });
        // A run that moves to a cold worker would be slow there as well.
        let is_other = |key: WorkerKey| key != except && !self.is_cold_worker(key);
        own.is_some_and(is_other) || has_peer
    }

    /// Whether a task fits no known worker of this host or its peers outside the
    /// evacuated failure domains; false if none is known.
    pub(crate) fn fits_nowhere(&self, service: &ServiceId, need: &Resources) -> bool {
        let own = self
            .workers
            .values()
            .filter(|worker| worker.report.service == *service && !worker.is_evacuated);
        let own = own.map(|worker| worker.report.capacity);
        let peers = self.peers.values().flat_map(|peer| &peer.status.resources);
        let theirs = peers.filter(|resources| resources.service == *service);
        let mut largest = own
            .chain(theirs.map(|resources| resources.largest))
            .peekable();
        largest.peek().is_some() && !largest.any(|capacity| capacity.can_fit(need))
    }

    /// Counts the workers of this host that accept runs now.
    pub(crate) fn serving_workers(&self) -> u32 {
        let serving = self.workers.values();
        let serving = serving.filter(|worker| worker.accepts_runs(self.now));
        u32::try_from(serving.count()).unwrap_or(u32::MAX)
    }

    /// Whether the free resources of a worker are reported to peers. Those of cold
    /// workers are left out, because a peer cannot tell them from others and would
    /// use them while others are free.
    pub(crate) fn reports_as_free(&self, worker: &Worker) -> bool {
        self.has_free(worker) && !self.is_cold(worker)
    }

    fn has_free(&self, worker: &Worker) -> bool {
        worker.accepts_runs(self.now) && worker.free().cpu_milli > 0
    }

    /// Gets the free resources of the workers of this host by service, without
    /// workers in evacuated failure domains.
    pub(crate) fn free_resources(&self) -> Vec<ServiceResources> {
        self.free_resources_of(|worker| self.has_free(worker))
    }

    /// Gets the free resources that peers are told of.
    pub(crate) fn reported_resources(&self) -> Vec<ServiceResources> {
        self.free_resources_of(|worker| self.reports_as_free(worker))
    }

    fn free_resources_of(&self, offers_free: impl Fn(&Worker) -> bool) -> Vec<ServiceResources> {
        let mut resources: Vec<ServiceResources> = Vec::new();
        let remaining = self.workers.values().filter(|worker| !worker.is_evacuated);
        for worker in remaining {
            let service = &worker.report.service;
            let index = resources
                .iter()
                .position(|resources| resources.service == *service);
            let index = index.unwrap_or_else(|| {
                resources.push(ServiceResources {
                    service: service.clone(),
                    free: Vec::new(),
                    largest: Resources::default(),
                });
                resources.len() - 1
            });
            let resources = &mut resources[index];
            if worker.report.capacity.cpu_milli > resources.largest.cpu_milli {
                resources.largest = worker.report.capacity;
            }
            if offers_free(worker) {
                resources.free.push(worker.free());
            }
        }
        resources
    }
}

/// Gets the number of waiting tasks per worker, in percent.
fn queue_load_percent(waiting: u32, workers: u32) -> u32 {
    match workers {
        0 => u32::MAX,
        workers => waiting.saturating_mul(100) / workers,
    }
}

fn service_resources_mut<'a>(
    peer: &'a mut Peer,
    service: &ServiceId,
) -> Option<&'a mut ServiceResources> {
    let resources = peer.status.resources.iter_mut();
    resources
        .into_iter()
        .find(|resources| resources.service == *service)
}

fn service_resources<'a>(peer: &'a Peer, service: &ServiceId) -> Option<&'a ServiceResources> {
    peer.status
        .resources
        .iter()
        .find(|resources| resources.service == *service)
}

/// Gets the index of the smallest free resources of a peer that fit a task.
fn best_fit(peer: &Peer, service: &ServiceId, need: &Resources) -> Option<usize> {
    let resources = service_resources(peer, service)?;
    let fitting = resources.free.iter().enumerate();
    let fitting = fitting.filter(|(_, free)| free.can_fit(need));
    fitting
        .min_by_key(|(_, free)| free.cpu_milli)
        .map(|(index, _)| index)
}

/// Gets the index of the smallest free resources of a peer that fit a task and are
/// those of a worker that is fast enough.
fn fast_fit(peer: &Peer, service: &ServiceId, need: &Resources, order: PaceOrder) -> Option<usize> {
    let resources = service_resources(peer, service)?;
    let paces = peer.free_paces.iter();
    let paces = paces.into_iter().find(|paces| paces.service == *service)?;
    let free = resources.free.iter().zip(paces.paces()).enumerate();
    let fitting = free.filter(|(_, (free, pace))| free.can_fit(need) && order.is_met_by(*pace));
    fitting
        .min_by_key(|(_, (free, _))| free.cpu_milli)
        .map(|(index, _)| index)
}

fn free_cpu(peer: &Peer, service: &ServiceId) -> u64 {
    let resources = service_resources(peer, service);
    let free = resources.into_iter().flat_map(|resources| &resources.free);
    free.map(|amount| u64::from(amount.cpu_milli)).sum()
}
