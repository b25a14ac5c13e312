//! Announcements, leases and withdrawals of backend servers.

use std::time::Duration;

use hornbeam_core::api::backend::{AnnounceAnswer, Announcement, Withdrawal};
use hornbeam_core::event::Event;

use crate::charts::{ServerEvent, ServerState};
use crate::dispatcher::Dispatcher;
use crate::io::DispatchOutput;
use crate::keys::ServerKey;
use crate::options::PlacementPolicy;
use crate::server::Server;
use crate::timers::Timer;

/// Part of the lease, in percent, after which this host treats it as expired.
/// The rest is a margin for the drift between the two clocks.
const OWNER_LEASE_PERCENT: u32 = 90;

/// Renewals per lease, so that a single lost renewal does not end it.
const RENEWALS_PER_LEASE: u32 = 3;

/// Maximum number of server records, and separately of withdrawal records.
/// Announcements are not authenticated, so the number is bounded; the bound is
/// more than three times the number of servers of the largest site.
pub const MAX_SERVERS: usize = 8_192;

/// Maximum number of services that announcements may name. A configuration has
/// at most 1,000.
const MAX_SERVICES: usize = 2_048;

/// Time for which the incarnation of a server that left is kept, so that a
/// delayed announcement does not register it again.
const RECORD_RETENTION: Duration = Duration::from_secs(60);

impl Dispatcher {
    /// Accepts, renews, redirects or refuses a lease.
    pub(crate) fn on_announcement(&mut self, announcement: Announcement) {
        let known = self.servers.find(&announcement.server_id);
        let answer = match known {
            Some(key) if self.is_same_incarnation(key, &announcement) => {
                self.renew(key, announcement)
            }
            Some(key) if self.is_stale(key, &announcement) => self.refuse_lease(None),
            _ => self.on_new_incarnation(known, announcement),
        };
        self.outputs
            .push(DispatchOutput::AnswerAnnouncement(answer));
    }

    /// Stops sending work to a server that leaves.
    pub(crate) fn on_withdrawal(&mut self, withdrawal: Withdrawal) {
        let known = self.servers.find(&withdrawal.server_id);
        let incarnation = known
            .and_then(|key| self.servers.get(key))
            .map_or(0, |server| server.announcement.incarnation);
        match known {
            Some(key) if incarnation == withdrawal.incarnation => self.mark_server_leaving(key),
            Some(_) if incarnation > withdrawal.incarnation => {}
            _ => self.record_withdrawal(withdrawal),
        }
    }

    /// Records the withdrawal of an incarnation without a lease, because its
    /// announcement may arrive later.
    fn record_withdrawal(&mut self, withdrawal: Withdrawal) {
        let Withdrawal {
            server_id,
            incarnation,
        } = withdrawal;
        let timer = Timer::RemoveWithdrawal(server_id.clone(), incarnation);
        // A withdrawal beyond the limit holds no lease here, and a lease that a
        // delayed announcement creates expires by itself.
        if self.withdrawn.len() < MAX_SERVERS {
            self.timers.set(self.now + RECORD_RETENTION, timer);
            self.withdrawn.insert((server_id, incarnation));
        }
    }

    fn has_record_capacity(&self, announcement: &Announcement) -> bool {
        let is_known = self.pools.contains_key(&announcement.service);
        let has_service = is_known || self.pools.len() < MAX_SERVICES;
        has_service && self.servers.len() < MAX_SERVERS
    }

    fn has_withdrawn(&self, announcement: &Announcement) -> bool {
        let key = (announcement.server_id.clone(), announcement.incarnation);
        self.withdrawn.contains(&key)
    }

    /// Marks a server as leaving: it gets no more tasks and finishes the running
    /// ones.
    pub(crate) fn mark_server_leaving(&mut self, key: ServerKey) {
        if !self.apply_server_event(key, ServerEvent::Withdraw) {
            return;
        }
        let Some(server) = self.servers.get(key) else {
            return;
        };
        let message = format!("server {} withdrew", server.announcement.server_id);
        self.timers.clear(server.lease_end, Timer::LeaseExpiry(key));
        self.timers
            .set(self.now + RECORD_RETENTION, Timer::RemoveServer(key));
        self.log(Event::ServerWithdrawn, message);
    }

    /// Removes the record of a server that left, once it has no exchanges.
    pub(crate) fn remove_left_server(&mut self, key: ServerKey) {
        let Some(server) = self.servers.get(key) else {
            return;
        };
        if server.exchanges.is_empty() {
            self.servers.remove(key);
        } else {
            self.timers
                .set(self.now + RECORD_RETENTION, Timer::RemoveServer(key));
        }
    }

    /// Expires a lease that was not renewed and queries the server for its
    /// exchanges.
    pub(crate) fn expire_lease(&mut self, key: ServerKey) {
        if !self.apply_server_event(key, ServerEvent::Expire) {
            return;
        }
        let Some(server) = self.servers.get(key) else {
            return;
        };
        let address = server.announcement.address.clone();
        let message = format!("lease of server {} expired", server.announcement.server_id);
        self.timers.clear(server.lease_end, Timer::LeaseExpiry(key));
        self.log(Event::ServerLeaseExpired, message);
        self.outputs.push(DispatchOutput::DropConnections(address));
        self.query_server_exchanges(key);
        self.remove_unused_server(key);
    }

    /// Removes the record of an expired server if it has no exchanges.
    pub(crate) fn remove_unused_server(&mut self, key: ServerKey) {
        let unused = self.servers.get(key).is_some_and(|server| {
            server.state == ServerState::Expired && server.exchanges.is_empty()
        });
        if unused {
            self.servers.remove(key);
        }
    }

    /// Applies an event to a server's state; `false` if the chart ignores it.
    pub(crate) fn apply_server_event(&mut self, key: ServerKey, event: ServerEvent) -> bool {
        let Some(server) = self.servers.get_mut(key) else {
            return false;
        };
        let Some(next) = self.charts.server.next(server.state, event) else {
            return false;
        };
        server.state = next;
        self.reindex(key);
        true
    }

    /// Updates the index of the pool after a change to a server.
    pub(crate) fn reindex(&mut self, key: ServerKey) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        let pool = server.pool;
        self.pools[pool].reindex(key, server);
        self.changed_pools.insert(pool);
    }

    fn is_same_incarnation(&self, key: ServerKey, announcement: &Announcement) -> bool {
        self.servers.get(key).is_some_and(|server| {
            let known = &server.announcement;
            known.incarnation == announcement.incarnation && known.grant <= announcement.grant
        })
    }

    fn is_stale(&self, key: ServerKey, announcement: &Announcement) -> bool {
        self.servers.get(key).is_some_and(|server| {
            let known = &server.announcement;
            known.incarnation >= announcement.incarnation
        })
    }

    fn on_new_incarnation(
        &mut self,
        earlier: Option<ServerKey>,
        announcement: Announcement,
    ) -> AnnounceAnswer {
        if let Some(key) = earlier {
            self.discard_incarnation(key);
        }
        if self.has_withdrawn(&announcement) {
            return self.refuse_lease(None);
        }
        if self.draining {
            let peer = self.redirect_target(&announcement.failure_domain);
            return self.refuse_lease(peer);
        }
        if announcement.shared && self.options.placement == PlacementPolicy::Leased {
            return self.refuse_lease(None);
        }
        if !self.has_record_capacity(&announcement) {
            return self.refuse_lease(None);
        }
        if !announcement.shared
            && let Some(peer) = self.less_loaded_peer(&announcement.failure_domain)
        {
            return self.refuse_lease(Some(peer));
        }
        self.take_lease(announcement)
    }

    fn take_lease(&mut self, announcement: Announcement) -> AnnounceAnswer {
        let pool = self.pool_key(&announcement.service);
        let message = format!(
            "server {} at {} leased {} slots",
            announcement.server_id, announcement.address, announcement.slots,
        );
        let initial = self.charts.server.initial();
        let key = self
            .servers
            .insert(Server::new(announcement, pool, initial));
        self.log(Event::ServerLeased, message);
        self.extend_lease(key);
        self.accept_lease()
    }

    fn renew(&mut self, key: ServerKey, announcement: Announcement) -> AnnounceAnswer {
        if self.draining
            && self.pool_is_idle(key)
            && let Some(peer) = self.redirect_target(&announcement.failure_domain)
        {
            self.mark_server_leaving(key);
            return self.refuse_lease(Some(peer));
        }
        let Some(server) = self.servers.get_mut(key) else {
            return self.refuse_lease(None);
        };
        if server.state == ServerState::Leaving {
            return self.refuse_lease(None);
        }
        server.suspended = false;
        server.announcement.grant = announcement.grant;
        server.announcement.address = announcement.address;
        self.apply_server_event(key, ServerEvent::Renew);
        self.extend_lease(key);
        self.accept_lease()
    }

    fn pool_is_idle(&self, key: ServerKey) -> bool {
        self.servers
            .get(key)
            .is_none_or(|server| self.pools[server.pool].queued_tasks == 0)
    }

    fn extend_lease(&mut self, key: ServerKey) {
        let lease_end = self.now + self.options.lease * OWNER_LEASE_PERCENT / 100;
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        self.timers.clear(server.lease_end, Timer::LeaseExpiry(key));
        server.lease_end = lease_end;
        self.timers.set(lease_end, Timer::LeaseExpiry(key));
        self.reindex(key);
    }

    /// Discards the record of a server that has restarted. Its tasks are lost,
    /// because the new process cannot report their state.
    fn discard_incarnation(&mut self, key: ServerKey) {
        self.apply_server_event(key, ServerEvent::Withdraw);
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        let lease_end = server.lease_end;
        let exchanges = std::mem::take(&mut server.exchanges);
        self.timers.clear(lease_end, Timer::LeaseExpiry(key));
        let released: Vec<_> = exchanges
            .into_iter()
            .filter_map(|id| self.release_exchange(id))
            .collect();
        for exchange in released {
            self.lose_tasks(exchange.job, &exchange.tasks, "the server started again");
        }
        self.servers.remove(key);
    }

    fn accept_lease(&self) -> AnnounceAnswer {
        AnnounceAnswer {
            host_id: self.options.host_id.clone(),
            accepted: true,
            lease_ms: millis(self.options.lease),
            renew_ms: millis(self.options.lease / RENEWALS_PER_LEASE),
            redirect: None,
        }
    }

    fn refuse_lease(&self, redirect: Option<String>) -> AnnounceAnswer {
        AnnounceAnswer {
            accepted: false,
            lease_ms: 0,
            redirect,
            ..self.accept_lease()
        }
    }
}

/// Converts a duration to whole milliseconds.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
