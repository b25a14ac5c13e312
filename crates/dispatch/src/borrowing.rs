//! Borrowing of unused quota between entry hosts, as docs/design.md,
//! section 10, describes it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::dispatcher::Dispatcher;
use crate::io::{DispatchOutput, TeamLimit};
use crate::keys::{PoolKey, TeamKey};
use crate::timers::Timer;

/// Shortest time between two raises of one limit. It exceeds the latency of a
/// status, so that peers learn of a raise before the next one.
const RAISE_INTERVAL: Duration = Duration::from_millis(50);

/// Shortest time between two times at which limits are lowered. It is below
/// the interval of the regular statuses.
const LOWER_INTERVAL: Duration = Duration::from_millis(200);

impl Dispatcher {
    /// Raises a team's limit if the limit leaves less than what could start now
    /// and the shares of the hosts heard from have an unused part.
    pub(crate) fn raise_limit(&mut self, pool: PoolKey, key: TeamKey) {
        let startable = self.startable_tasks(pool);
        let team = self.quotas.team(key);
        let missing = team.queued_tasks.min(startable);
        let missing = missing.saturating_sub(team.available_slots());
        if missing == 0 {
            return;
        }
        let next_raise_at = team.next_raise_at;
        if next_raise_at > self.now {
            self.timers.set(next_raise_at, Timer::RaiseLimit(key));
            return;
        }
        let half = self.unused_slots(key).div_ceil(2);
        let raise = u32::try_from(half).unwrap_or(u32::MAX).min(missing);
        if raise == 0 {
            return;
        }
        let next_raise_at = self.now + RAISE_INTERVAL;
        let team = self.quotas.team(key);
        team.limit_slots = team.limit_slots.saturating_add(raise);
        team.next_raise_at = next_raise_at;
        self.request_status();
    }

    /// Gets the tasks for which this host and its best peer have a slot.
    fn startable_tasks(&self, pool: PoolKey) -> u32 {
        let pool = &self.pools[pool];
        if !pool.shared.is_empty() {
            return u32::MAX;
        }
        let peer_slots = self.best_peer(&pool.service, &[]).map_or(0, |best| best.1);
        pool.free_slots.saturating_add(peer_slots)
    }

    /// Lowers every limit to what the team uses, and below that if the limits
    /// together exceed the shares of the hosts heard from. Statuses that are
    /// sent early do not lower limits, or each raise would soon need another.
    pub(crate) fn lower_limits(&mut self) {
        if self.now < self.next_lower_at {
            return;
        }
        self.next_lower_at = self.now + LOWER_INTERVAL;
        for key in self.quotas.keys() {
            let to_return = self.slots_to_return(key);
            let team = self.quotas.team(key);
            let needed = team.used_slots.min(team.limit_slots);
            let limit = u64::from(needed).saturating_sub(to_return);
            let limit = u32::try_from(limit).unwrap_or(u32::MAX);
            team.limit_slots = limit.max(team.guaranteed_slots);
        }
    }

    /// Gets the slots that the team could use at this host once its limit has
    /// been raised.
    pub(crate) fn attainable_slots(&mut self, key: TeamKey) -> u64 {
        let unused = self.unused_slots(key);
        u64::from(self.quotas.team(key).limit_slots) + unused.div_ceil(2)
    }

    /// Makes the flows of a team that wait for room try again.
    pub(crate) fn reactivate_blocked_flows(&mut self, key: TeamKey) {
        for (pool, flow) in self.quotas.take_blocked_flows_of(key) {
            self.activate(pool, flow);
        }
    }

    /// Gets the limits of a status by team.
    pub(crate) fn limits_by_team(&mut self, limits: &[TeamLimit]) -> BTreeMap<TeamKey, u32> {
        let by_team = limits.iter().map(|limit| {
            let (_, key) = self.quotas.key(&limit.institution, &limit.team);
            (key, limit.limit_slots)
        });
        by_team.collect()
    }

    /// Asks the shell to send this host's status, once in a step.
    pub(crate) fn request_status(&mut self) {
        if !self.outputs.contains(&DispatchOutput::SendStatus) {
            self.outputs.push(DispatchOutput::SendStatus);
        }
    }

    /// Gets the unused part of the shares of the hosts heard from.
    fn unused_slots(&mut self, key: TeamKey) -> u64 {
        let (shares, limits) = self.shares_and_limits(key);
        shares.saturating_sub(limits)
    }

    /// Gets this host's part of the slots by which the limits exceed the
    /// shares, in proportion to what each host has borrowed.
    fn slots_to_return(&mut self, key: TeamKey) -> u64 {
        let (shares, limits) = self.shares_and_limits(key);
        let excess = limits.saturating_sub(shares);
        let team = self.quotas.team(key);
        let share = team.share_slots;
        let own = u64::from(team.reserved_slots().saturating_sub(share));
        let borrowed = |limit: u32| u64::from(limit.saturating_sub(share));
        let peers = self.peers.values().filter(|peer| peer.is_alive());
        let limits = peers.filter_map(|peer| peer.limit_slots(key));
        let all = own + limits.map(borrowed).sum::<u64>();
        (excess * own).checked_div(all).unwrap_or(0)
    }

    /// Gets the sum of the shares of the hosts heard from, and the sum of their
    /// limits. What a lost peer had borrowed counts as in use for one more
    /// timeout: until then the peer may not know that it is cut off.
    fn shares_and_limits(&mut self, key: TeamKey) -> (u64, u64) {
        let team = self.quotas.team(key);
        let (share, guaranteed) = (team.share_slots, team.guaranteed_slots);
        let mut shares = u64::from(share);
        let mut limits = u64::from(team.reserved_slots());
        let timeout = self.options.peer_timeout;
        for peer in self.peers.values() {
            let limit = peer.limit_slots(key).unwrap_or(guaranteed);
            if peer.is_alive() {
                shares += u64::from(share);
                limits += u64::from(limit);
            } else if self.now < peer.expires_at() + timeout {
                limits += u64::from(limit.saturating_sub(share));
            }
        }
        (shares, limits)
    }
}
