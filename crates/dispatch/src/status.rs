//! Status reports for peers and operators.

use std::time::Duration;

use hornbeam_core::api::operator::EntryStatus;

use crate::dispatcher::Dispatcher;
use crate::io::{PeerStatus, ServiceLoad};
use crate::keys::PoolKey;
use crate::pool::Pool;

impl Dispatcher {
    /// Gets the status for peers, with empty addresses.
    pub(crate) fn status_for_peers(&mut self) -> PeerStatus {
        let load = |pool: &Pool| ServiceLoad {
            service: pool.service.clone(),
            free_slots: pool.free_slots,
            slots: pool.slots,
            queued_tasks: pool.queued_tasks,
        };
        let sequence = self.next_id();
        for pool in self.pools.values_mut() {
            pool.reported_free = pool.free_slots > 0;
            pool.reported_waiting = pool.waits_for_slots();
        }
        PeerStatus {
            host_id: self.options.host_id.clone(),
            sequence,
            failure_domain: self.options.failure_domain.clone(),
            http_address: String::new(),
            link_address: String::new(),
            config_version: self.config_version,
            draining: self.draining,
            servers: self.pools.values().map(|pool| pool.servers).sum(),
            services: self.pools.values().map(load).collect(),
            team_limits: self.quotas.limits(),
        }
    }

    /// Requests an immediate status if a peer needs it: slots became free or ran
    /// out while a peer has queued tasks, or tasks started to wait here while no
    /// peer is known to have a free slot.
    pub(crate) fn request_urgent_status(&mut self, key: PoolKey) {
        let pool = &self.pools[key];
        let free_changed = (pool.free_slots > 0) != pool.reported_free;
        let starts_to_wait = pool.waits_for_slots() && !pool.reported_waiting;
        let is_urgent = (free_changed && self.peers_have_queued_tasks(&pool.service))
            || (starts_to_wait && self.best_peer(&pool.service, &[]).is_none());
        if is_urgent {
            self.request_status();
        }
    }

    /// Gets the status for operators.
    pub(crate) fn status_for_operators(&self, now: Duration) -> EntryStatus {
        let busy: usize = self.exchanges.values().map(|e| e.tasks.len()).sum();
        EntryStatus {
            host_id: self.options.host_id.clone(),
            failure_domain: self.options.failure_domain.clone(),
            config_version: self.config_version,
            draining: self.draining,
            servers: self.pools.values().map(|pool| pool.servers).sum(),
            slots: self.pools.values().map(|pool| pool.slots).sum(),
            slots_busy: u32::try_from(busy).unwrap_or(u32::MAX),
            queued_tasks: self.pools.values().map(|pool| pool.queued_tasks).sum(),
            jobs: u32::try_from(self.jobs.len()).unwrap_or(u32::MAX),
            peers: self.live_peers(now),
        }
    }
}
