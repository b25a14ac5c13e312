//! Which worker, or which peer, gets a task.

use hornbeam_core::ids::{HostId, ServiceId};

use crate::fleet::Fleet;
use crate::peer::Peer;
use crate::room::{Resources, ServiceResources};
use crate::worker::{Worker, WorkerKey};

/// Waiting tasks per worker that takes tasks, in hundredths, up to which a peer is sent more.
/// Beyond that tasks wait longer than their objectives allow.
const MAX_QUEUE_LENGTH: u32 = 150;

impl Fleet {
    /// Chooses the worker of this host that the task fits best, so that large
    /// tasks find room later; `avoid` comes last.
    pub(crate) fn choose_worker(
        &self,
        service: &ServiceId,
        need: &Resources,
        avoid: Option<WorkerKey>,
    ) -> Option<WorkerKey> {
        let fits = |worker: &&Worker| {
            worker.report.service == *service
                && worker.takes_runs(self.now)
                && worker.free().holds(need)
        };
        let rank = |worker: &&Worker| {
            let left = worker.free().cpu_milli - need.cpu_milli;
            (avoid == Some(worker.worker_key), worker.failures, left)
        };
        let fitting = self.workers.values().filter(fits);
        fitting.min_by_key(rank).map(|worker| worker.worker_key)
    }

    /// Chooses the peer that has room for a task, and takes the room off what
    /// is known of it. The own failure domain comes first, then the peer with
    /// the most free room.
    pub(crate) fn choose_peer(&mut self, service: &ServiceId, need: &Resources) -> Option<HostId> {
        let own_domain = &self.options.failure_domain;
        let now = self.now;
        let has_room = |peer: &&Peer| {
            peer.is_lively(now) && !peer.status.draining && best_fit(peer, service, need).is_some()
        };
        let rank = |peer: &&Peer| (peer.failure_domain == *own_domain, free_cpu(peer, service));
        let with_room = self.peers.iter().filter(|(_, peer)| has_room(peer));
        let (host, _) = with_room.max_by_key(|(_, peer)| rank(peer))?;
        let host = host.clone();
        let peer = self.peers.get_mut(&host)?;
        let at = best_fit(peer, service, need)?;
        if let Some(rooms) = rooms_mut(peer, service) {
            rooms.free[at].take(need);
        }
        Some(host)
    }

    /// Chooses the peer at which the fewest tasks wait for each worker that
    /// takes tasks, if that is fewer than here, and counts one more there.
    pub(crate) fn choose_queue(&mut self, service: &ServiceId) -> Option<HostId> {
        let own = queue_length(self.waiting_tasks(), self.serving_workers());
        let now = self.now;
        let is_fit = |peer: &&Peer| {
            peer.is_lively(now)
                && peer.is_confirmed(now)
                && !peer.status.draining
                && rooms_of(peer, service).is_some()
        };
        let length = |peer: &Peer| queue_length(peer.status.waiting + 1, peer.status.serving);
        let fit = self.peers.iter().filter(|(_, peer)| is_fit(peer));
        let shortest = fit.min_by_key(|(_, peer)| length(peer))?;
        let is_shorter = length(shortest.1) < own && length(shortest.1) <= MAX_QUEUE_LENGTH;
        let host = is_shorter.then(|| shortest.0.clone())?;
        let peer = self.peers.get_mut(&host)?;
        peer.status.waiting += 1;
        Some(host)
    }

    /// Whether there is room for a task on a worker other than `except`.
    pub(crate) fn has_room(
        &self,
        service: &ServiceId,
        need: &Resources,
        except: WorkerKey,
    ) -> bool {
        let own = self.choose_worker(service, need, Some(except));
        let has_peer = self.peers.values().any(|peer| {
            peer.is_lively(self.now)
                && !peer.status.draining
                && best_fit(peer, service, need).is_some()
        });
        own.is_some_and(|worker_key| worker_key != except) || has_peer
    }

    /// Whether a task fits no worker that this host or a peer has, while some
    /// are known.
    pub(crate) fn fits_nowhere(&self, service: &ServiceId, need: &Resources) -> bool {
        let own = self
            .workers
            .values()
            .filter(|worker| worker.report.service == *service);
        let own = own.map(|worker| worker.report.capacity);
        let peers = self.peers.values().flat_map(|peer| &peer.status.rooms);
        let theirs = peers.filter(|rooms| rooms.service == *service);
        let mut largest = own.chain(theirs.map(|rooms| rooms.largest)).peekable();
        largest.peek().is_some() && !largest.any(|room| room.holds(need))
    }

    /// Counts the own workers that take tasks now.
    pub(crate) fn serving_workers(&self) -> u32 {
        let serving = self.workers.values();
        let serving = serving.filter(|worker| worker.takes_runs(self.now));
        u32::try_from(serving.count()).unwrap_or(u32::MAX)
    }

    /// Gets the free room of the own workers by service.
    pub(crate) fn own_rooms(&self) -> Vec<ServiceResources> {
        let mut rooms: Vec<ServiceResources> = Vec::new();
        for worker in self.workers.values() {
            let service = &worker.report.service;
            let at = rooms.iter().position(|rooms| rooms.service == *service);
            let at = at.unwrap_or_else(|| {
                rooms.push(ServiceResources {
                    service: service.clone(),
                    free: Vec::new(),
                    largest: Resources::default(),
                });
                rooms.len() - 1
            });
            let rooms = &mut rooms[at];
            if worker.report.capacity.cpu_milli > rooms.largest.cpu_milli {
                rooms.largest = worker.report.capacity;
            }
            let free = worker.free();
            if worker.takes_runs(self.now) && free.cpu_milli > 0 {
                rooms.free.push(free);
            }
        }
        rooms
    }
}

/// Gets the number of tasks that wait for each worker, in hundredths.
fn queue_length(waiting: u32, workers: u32) -> u32 {
    match workers {
        0 => u32::MAX,
        workers => waiting.saturating_mul(100) / workers,
    }
}

fn rooms_mut<'a>(peer: &'a mut Peer, service: &ServiceId) -> Option<&'a mut ServiceResources> {
    let rooms = peer.status.rooms.iter_mut();
    rooms.into_iter().find(|rooms| rooms.service == *service)
}

fn rooms_of<'a>(peer: &'a Peer, service: &ServiceId) -> Option<&'a ServiceResources> {
    peer.status
        .rooms
        .iter()
        .find(|rooms| rooms.service == *service)
}

/// Gets the position of the smallest room of a peer that holds a task.
fn best_fit(peer: &Peer, service: &ServiceId, need: &Resources) -> Option<usize> {
    let rooms = rooms_of(peer, service)?;
    let fitting = rooms.free.iter().enumerate();
    let fitting = fitting.filter(|(_, room)| room.holds(need));
    fitting
        .min_by_key(|(_, room)| room.cpu_milli)
        .map(|(at, _)| at)
}

fn free_cpu(peer: &Peer, service: &ServiceId) -> u64 {
    let rooms = rooms_of(peer, service);
    let free = rooms.into_iter().flat_map(|rooms| &rooms.free);
    free.map(|room| u64::from(room.cpu_milli)).sum()
}
