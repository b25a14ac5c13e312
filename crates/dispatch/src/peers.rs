//! Peer entry hosts: status messages, loss detection and redirects.

use std::collections::BTreeMap;
use std::time::Duration;

use hornbeam_core::event::Event;
use hornbeam_core::ids::HostId;

use crate::dispatcher::Dispatcher;
use crate::io::PeerStatus;
use crate::keys::TeamKey;
use crate::timers::Timer;

/// Excess of servers over a peer from which this host redirects new servers to
/// the peer. Below 2, a redirect would only swap the roles of the two hosts.
const REDIRECT_MARGIN_SERVERS: u32 = 2;

/// `Peer` is the state of one peer according to its last status.
#[derive(Debug)]
pub(crate) struct Peer {
    /// The last status, adjusted for what this host has sent there since.
    pub(crate) status: PeerStatus,
    limits: BTreeMap<TeamKey, u32>,
    expires_at: Duration,
    alive: bool,
}

impl Peer {
    /// Whether a status has arrived within the peer timeout.
    pub(crate) fn is_alive(&self) -> bool {
        self.alive
    }

    /// Gets the time at which the peer counts as lost without a new status.
    pub(crate) fn expires_at(&self) -> Duration {
        self.expires_at
    }

    /// Gets a team's limit at the peer; `None` stands for half of the share.
    pub(crate) fn limit_slots(&self, team: TeamKey) -> Option<u32> {
        self.limits.get(&team).copied()
    }

    fn is_usable(&self) -> bool {
        self.alive && !self.status.draining
    }

    /// Gets the number of free slots of a service.
    pub(crate) fn free_slots(&self, service: &str) -> u32 {
        self.load(service).map_or(0, |load| load.free_slots)
    }

    fn slots(&self, service: &str) -> u32 {
        self.load(service).map_or(0, |load| load.slots)
    }

    fn load(&self, service: &str) -> Option<&crate::io::ServiceLoad> {
        let mut services = self.status.services.iter();
        services.find(|load| load.service == service)
    }
}

impl Dispatcher {
    /// Stores the status of a peer.
    pub(crate) fn on_peer_status(&mut self, status: PeerStatus) {
        let id = status.host_id.clone();
        if id == self.options.host_id {
            return;
        }
        if self.is_outdated(&status) {
            return;
        }
        let expires_at = self.now + self.options.peer_timeout;
        let peer = Peer {
            limits: self.limits_by_team(&status.team_limits),
            status,
            expires_at,
            alive: true,
        };
        let before = self.peers.insert(id.clone(), peer);
        if let Some(before) = &before {
            self.timers
                .clear(before.expires_at, Timer::PeerTimeout(id.clone()));
        }
        self.timers.set(expires_at, Timer::PeerTimeout(id.clone()));
        if !before.is_some_and(|peer| peer.alive) {
            self.log(
                Event::PeerFound,
                format!("received a status from peer {id}"),
            );
        }
        for (pool, flow) in self.quotas.take_blocked_flows() {
            self.activate(pool, flow);
        }
        self.mark_waiting_pools_changed();
    }

    /// Whether a newer status of the host has arrived. A lost host is exempt: it
    /// may have restarted with a clock that was set back.
    fn is_outdated(&self, status: &PeerStatus) -> bool {
        let known = self.peers.get(&status.host_id);
        known.is_some_and(|peer| peer.alive && peer.status.sequence >= status.sequence)
    }

    /// Stops using a peer whose status is overdue. Queries it for the chunks that
    /// were sent to it and cancels the chunks that it forwarded.
    pub(crate) fn on_peer_lost(&mut self, id: &HostId) {
        let Some(peer) = self.peers.get_mut(id) else {
            return;
        };
        peer.alive = false;
        let timeout_ms = self.options.peer_timeout.as_millis();
        let message = format!("peer {id} has sent no status for {timeout_ms} ms");
        self.log(Event::PeerLost, message);
        self.query_chunks_of(id);
        self.cancel_chunks_from(id);
    }

    /// Gets the slots of a service at all usable peers.
    pub(crate) fn peer_slots(&self, service: &str) -> u32 {
        let peers = self.peers.values().filter(|peer| peer.is_usable());
        peers.map(|peer| peer.slots(service)).sum()
    }

    /// Gets the peer to forward to and its free slots: the peer with the most
    /// free slots, of this host's failure domain if one there has any.
    pub(crate) fn best_peer(&self, service: &str, excluded: &[HostId]) -> Option<(&HostId, u32)> {
        let peers = self.peers.iter();
        let peers = peers.filter(|(id, peer)| peer.is_usable() && !excluded.contains(id));
        let free = peers.map(|(id, peer)| (id, peer, peer.free_slots(service)));
        let order = |peer: &Peer, free| (self.is_local_domain(&peer.status.failure_domain), free);
        free.filter(|(_, _, free)| *free > 0)
            .max_by_key(|(_, peer, free)| order(peer, *free))
            .map(|(id, _, free)| (id, free))
    }

    /// Whether any usable peer has queued tasks of a service.
    pub(crate) fn peers_have_queued_tasks(&self, service: &str) -> bool {
        let peers = self.peers.values().filter(|peer| peer.is_usable());
        let mut loads = peers.filter_map(|peer| peer.load(service));
        loads.any(|load| load.queued_tasks > 0)
    }

    /// Subtracts slots from a peer's free slots until its next status arrives.
    pub(crate) fn reserve_peer_slots(&mut self, id: &str, service: &str, slots: u32) {
        let Some(peer) = self.peers.get_mut(id) else {
            return;
        };
        let mut services = peer.status.services.iter_mut();
        if let Some(load) = services.find(|load| load.service == service) {
            load.free_slots = load.free_slots.saturating_sub(slots);
        }
    }

    /// Gets the address of the peer with the fewest servers, with preference
    /// for `failure_domain`.
    pub(crate) fn redirect_target(&mut self, failure_domain: &str) -> Option<String> {
        let peers = self.peers.values_mut();
        let targets = peers.filter(|peer| peer.is_usable() && !peer.status.http_address.is_empty());
        let peer = targets.min_by_key(|peer| {
            let other_domain = peer.status.failure_domain != failure_domain;
            (other_domain, peer.status.servers)
        })?;
        peer.status.servers += 1;
        Some(peer.status.http_address.clone())
    }

    /// Gets the address of a peer that owns fewer servers than this host by at
    /// least [`REDIRECT_MARGIN_SERVERS`].
    pub(crate) fn less_loaded_peer(&mut self, failure_domain: &str) -> Option<String> {
        let own: u32 = self.pools.values().map(|pool| pool.servers).sum();
        let peers = self.peers.values_mut();
        let targets = peers.filter(|peer| {
            let more = own >= peer.status.servers + REDIRECT_MARGIN_SERVERS;
            peer.is_usable() && !peer.status.http_address.is_empty() && more
        });
        let peer = targets.min_by_key(|peer| {
            let other_domain = peer.status.failure_domain != failure_domain;
            (peer.status.servers, other_domain)
        })?;
        peer.status.servers += 1;
        Some(peer.status.http_address.clone())
    }

    /// Gets the peers whose status is not overdue.
    pub(crate) fn live_peers(&self, now: Duration) -> Vec<HostId> {
        let live = |peer: &Peer| peer.alive && peer.expires_at > now;
        let peers = self.peers.iter().filter(|(_, peer)| live(peer));
        peers.map(|(id, _)| id.clone()).collect()
    }

    fn is_local_domain(&self, failure_domain: &str) -> bool {
        failure_domain == self.options.failure_domain
    }

    fn mark_waiting_pools_changed(&mut self) {
        for (key, pool) in self.pools.values().enumerate() {
            if pool.queued_tasks > 0 {
                self.changed_pools.insert(key);
            }
        }
    }
}
