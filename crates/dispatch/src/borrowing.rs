//! Borrowing of unused quota between entry hosts; see docs/design.md,
//! section 10.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::dispatcher::Dispatcher;
use crate::io::{DispatchOutput, TeamLimit};
use crate::keys::{PoolKey, TeamKey};
use crate::timers::Timer;

/// Minimum time between two raises of one limit. It exceeds the latency of a
/// status message, so that peers learn of a raise before the next one.
const RAISE_INTERVAL: Duration = Duration::from_millis(50);

/// Minimum time between two reductions of the limits. It is below the interval
/// of the periodic status messages, so that each of them can lower the limits.
const LOWER_INTERVAL: Duration = Duration::from_millis(200);

impl Dispatcher {
    /// Raises a team's limit if more of its tasks could start now than the limit
    /// allows and the shares of the live hosts are not fully used.
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

    /// Gets the number of tasks for which this host and its best peer have
    /// free slots.
    fn startable_tasks(&self, pool: PoolKey) -> u32 {
        let pool = &self.pools[pool];
        if !pool.shared.is_empty() {
            return u32::MAX;
        }
        let peer_slots = self.best_peer(&pool.service, &[]).map_or(0, |best| best.1);
        pool.free_slots.saturating_add(peer_slots)
    }

    /// Lowers every limit to the slots in use, and further if the sum of the
    /// limits exceeds the shares of the live hosts. The rate is limited because
    /// lowering on each urgent status would soon require another raise.
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

    /// Gets the slots that the team could use at this host after its next
    /// raise.
    pub(crate) fn attainable_slots(&mut self, key: TeamKey) -> u64 {
        let unused = self.unused_slots(key);
        u64::from(self.quotas.team(key).limit_slots) + unused.div_ceil(2)
    }

    /// Reactivates the flows of a team that wait for quota.
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

    /// Requests that this host's status be sent, at most once per step.
    pub(crate) fn request_status(&mut self) {
        if !self.outputs.contains(&DispatchOutput::SendStatus) {
            self.outputs.push(DispatchOutput::SendStatus);
        }
    }

    /// Gets the part of the live hosts' shares that no limit covers.
    fn unused_slots(&mut self, key: TeamKey) -> u64 {
        let (shares, limits) = self.shares_and_limits(key);
        shares.saturating_sub(limits)
    }

    /// Gets this host's part of the slots by which the limits exceed the
    /// shares, in proportion to the slots that each host has borrowed.
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

    /// Gets the sums of the shares and of the limits of the live hosts. Slots
    /// that a lost peer had borrowed count as in use for one more timeout,
    /// because until then the peer may not know that it is disconnected.
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
