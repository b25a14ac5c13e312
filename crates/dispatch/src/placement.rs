//! Choice of the backend server for a task.

use rand::Rng;

use crate::dispatcher::Dispatcher;
use crate::keys::{PoolKey, ServerKey};
use crate::options::PlacementPolicy;
use crate::server::Resources;

/// Servers of one capacity that are examined for a task. Servers with the
/// largest free part come first, so later ones hardly ever fit.
const MAX_PROBES: usize = 8;

impl Dispatcher {
    /// Chooses a server that may get a task with this use now. The lease is
    /// checked here, right before the send, because this process may have
    /// been paused since the last timer ran.
    pub(crate) fn choose_server(
        &mut self,
        pool: PoolKey,
        need: &Resources,
        avoid: &[ServerKey],
    ) -> Option<ServerKey> {
        loop {
            let key = match self.leased_candidate(pool, need, avoid) {
                Some(key) => key,
                None => self.shared_candidate(pool, avoid)?,
            };
            let valid = self
                .servers
                .get(key)
                .is_some_and(|server| server.lease_end > self.now);
            if valid {
                return Some(key);
            }
            self.expire_lease(key);
        }
    }

    fn leased_candidate(
        &self,
        pool: PoolKey,
        need: &Resources,
        avoid: &[ServerKey],
    ) -> Option<ServerKey> {
        let shapes = self.pools[pool].shapes.iter();
        let fitting = shapes.filter(|(capacity, _)| capacity.holds(need));
        let first_with_room = |open: &std::collections::BTreeSet<(u32, ServerKey)>| {
            let probes = open.iter().rev().take(MAX_PROBES).copied();
            let has_room = |key| {
                let server = self.servers.get(key);
                server.is_some_and(|server| server.has_room(need))
            };
            probes
                .into_iter()
                .find(|(_, key)| has_room(*key) && !avoid.contains(key))
        };
        fitting
            .filter_map(|(_, shape)| first_with_room(&shape.open))
            .max()
            .map(|(_, key)| key)
    }

    fn shared_candidate(&mut self, pool: PoolKey, avoid: &[ServerKey]) -> Option<ServerKey> {
        let first = self.random_shared(pool, avoid)?;
        if self.options.placement != PlacementPolicy::TwoChoices {
            return Some(first);
        }
        let second = self.random_shared(pool, avoid)?;
        let load = |key: ServerKey| {
            self.servers.get(key).map_or(u32::MAX, |server| {
                server
                    .reported_load
                    .saturating_add(server.sent_since_report)
            })
        };
        Some(if load(second) < load(first) {
            second
        } else {
            first
        })
    }

    /// Draws a shared server; a few draws avoid the servers that refuse the
    /// task without a search.
    fn random_shared(&mut self, pool: PoolKey, avoid: &[ServerKey]) -> Option<ServerKey> {
        let shared = &self.pools[pool].shared;
        if shared.is_empty() {
            return None;
        }
        let mut draw = || shared[self.rng.random_range(0..shared.len())];
        (0..MAX_PROBES)
            .map(|_| draw())
            .find(|key| !avoid.contains(key))
    }
}
