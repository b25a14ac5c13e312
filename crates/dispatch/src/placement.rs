//! Choice of the backend server for a task.

use rand::Rng;

use crate::dispatcher::Dispatcher;
use crate::keys::{PoolKey, ServerKey};
use crate::options::PlacementPolicy;
use crate::server::Resources;

/// Maximum servers of one capacity class that are considered for a task. Servers
/// with the largest free share come first, so later ones rarely fit. It also
/// bounds the random draws among shared servers.
const MAX_CANDIDATES: usize = 8;

impl Dispatcher {
    /// Chooses a server with capacity for a task. The lease is checked here,
    /// immediately before the send, because this process may have been paused
    /// since the timers last ran.
    pub(crate) fn choose_server(
        &mut self,
        pool: PoolKey,
        required: &Resources,
        excluded: &[ServerKey],
    ) -> Option<ServerKey> {
        loop {
            let key = match self.leased_candidate(pool, required, excluded) {
                Some(key) => key,
                None => self.shared_candidate(pool, excluded)?,
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
        required: &Resources,
        excluded: &[ServerKey],
    ) -> Option<ServerKey> {
        let capacity_classes = self.pools[pool].capacity_classes.iter();
        let fitting = capacity_classes.filter(|(capacity, _)| capacity.can_fit(required));
        let first_available = |available: &std::collections::BTreeSet<(u32, ServerKey)>| {
            let candidates = available.iter().rev().take(MAX_CANDIDATES).copied();
            let has_capacity = |key| {
                let server = self.servers.get(key);
                server.is_some_and(|server| server.has_capacity_for(required))
            };
            candidates
                .into_iter()
                .find(|(_, key)| has_capacity(*key) && !excluded.contains(key))
        };
        fitting
            .filter_map(|(_, class)| first_available(&class.available))
            .max()
            .map(|(_, key)| key)
    }

    fn shared_candidate(&mut self, pool: PoolKey, excluded: &[ServerKey]) -> Option<ServerKey> {
        let first = self.random_shared(pool, excluded)?;
        if self.options.placement != PlacementPolicy::TwoChoices {
            return Some(first);
        }
        let second = self.random_shared(pool, excluded)?;
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

    /// Draws a random shared server. A few draws usually find one that does not
    /// refuse the task, without a search.
    fn random_shared(&mut self, pool: PoolKey, excluded: &[ServerKey]) -> Option<ServerKey> {
        let shared = &self.pools[pool].shared;
        if shared.is_empty() {
            return None;
        }
        let mut draw = || shared[self.rng.random_range(0..shared.len())];
        (0..MAX_CANDIDATES)
            .map(|_| draw())
            .find(|key| !excluded.contains(key))
    }
}
