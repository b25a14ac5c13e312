//! Quotas of teams. Each entry host limits the tasks of the jobs that it
//! admitted.

use std::collections::BTreeSet;
use std::time::Duration;

use hornbeam_core::config::Configuration;
use hornbeam_core::ids::{InstitutionId, TeamId};
use indexmap::{IndexMap, IndexSet};

use crate::fair_queue::FlowKey;
use crate::io::TeamLimit;
use crate::keys::{InstitutionKey, PoolKey, TeamKey};

/// `TeamQuota` is this host's share of one team's quota, and its use.
#[derive(Debug, Default)]
pub(crate) struct TeamQuota {
    /// Slots of the quota that are assigned to this host.
    pub(crate) share_slots: u32,
    /// Slots that this host never lends to its peers.
    pub(crate) guaranteed_slots: u32,
    /// Slots that this host may currently use for the team.
    pub(crate) limit_slots: u32,
    /// Slots in use for jobs that this host admitted.
    pub(crate) used_slots: u32,
    /// Queued tasks of the team's jobs that this host admitted.
    pub(crate) queued_tasks: u32,
    /// Estimated run time of the team's queued tasks, in ms.
    pub(crate) queued_work_ms: u64,
    /// Earliest time at which the limit may be raised again.
    pub(crate) next_raise_at: Duration,
    /// Flows that wait for quota, with their pools.
    blocked: BTreeSet<(PoolKey, FlowKey)>,
}

impl TeamQuota {
    /// Gets the slots that are left under the limit.
    pub(crate) fn available_slots(&self) -> u32 {
        self.limit_slots.saturating_sub(self.used_slots)
    }

    /// Gets the slots that peers must count as used by this host. Tasks beyond
    /// a limit that was lowered still run.
    pub(crate) fn reserved_slots(&self) -> u32 {
        self.limit_slots.max(self.used_slots)
    }

    fn configure(&mut self, quota_slots: u32, hosts: u32) {
        self.share_slots = quota_slots.div_ceil(hosts);
        self.guaranteed_slots = guaranteed_part(self.share_slots, hosts);
        let guaranteed_to_peers = u64::from(hosts - 1) * u64::from(self.guaranteed_slots);
        let max_limit_slots = u64::from(hosts) * u64::from(self.share_slots) - guaranteed_to_peers;
        let max_limit_slots = u32::try_from(max_limit_slots).unwrap_or(u32::MAX);
        self.limit_slots = self
            .limit_slots
            .clamp(self.guaranteed_slots, max_limit_slots);
    }
}

/// Gets the part of a share that is never lent: half of it, or all of it if
/// there is a single host, which has no peer to lend to.
fn guaranteed_part(share_slots: u32, hosts: u32) -> u32 {
    match hosts {
        1 => share_slots,
        _ => share_slots.div_ceil(2),
    }
}

/// `Quotas` holds the quotas of the institutions and teams known to this host.
#[derive(Debug, Default)]
pub(crate) struct Quotas {
    institutions: IndexSet<InstitutionId>,
    teams: IndexMap<(InstitutionKey, TeamId), TeamQuota>,
}

impl Quotas {
    /// Gets the keys of a team and creates it if it does not exist.
    pub(crate) fn key(&mut self, institution: &str, team: &str) -> (InstitutionKey, TeamKey) {
        let institution = match self.institutions.get_index_of(institution) {
            Some(key) => key,
            None => self.institutions.insert_full(institution.to_owned()).0,
        };
        let entry = self.teams.entry((institution, team.to_owned()));
        let key = entry.index();
        entry.or_default();
        (institution, key)
    }

    pub(crate) fn team(&mut self, key: TeamKey) -> &mut TeamQuota {
        &mut self.teams[key]
    }

    pub(crate) fn keys(&self) -> std::ops::Range<TeamKey> {
        0..self.teams.len()
    }

    /// Applies the shares of a configuration and returns the flows that may no
    /// longer be blocked.
    pub(crate) fn configure(&mut self, configuration: &Configuration) -> Vec<(PoolKey, FlowKey)> {
        let hosts = configuration.entry_hosts.max(1);
        for (institution, terms) in &configuration.institutions {
            for (team, limits) in &terms.teams {
                let (_, key) = self.key(institution, team);
                self.teams[key].configure(limits.quota_slots, hosts);
            }
        }
        self.take_blocked_flows()
    }

    /// Records a flow that waits for quota.
    pub(crate) fn block_flow(&mut self, pool: PoolKey, flow: FlowKey) {
        self.teams[flow.team].blocked.insert((pool, flow));
    }

    /// Removes and returns the blocked flows of every team.
    pub(crate) fn take_blocked_flows(&mut self) -> Vec<(PoolKey, FlowKey)> {
        let blocked = self.teams.values_mut();
        blocked
            .flat_map(|team| std::mem::take(&mut team.blocked))
            .collect()
    }

    /// Removes and returns the blocked flows of one team.
    pub(crate) fn take_blocked_flows_of(&mut self, key: TeamKey) -> BTreeSet<(PoolKey, FlowKey)> {
        std::mem::take(&mut self.teams[key].blocked)
    }

    /// Counts slots as used.
    pub(crate) fn acquire(&mut self, key: TeamKey, slots: u32) {
        self.teams[key].used_slots += slots;
    }

    /// Counts slots as free and returns the flows that may no longer be blocked.
    pub(crate) fn release(&mut self, key: TeamKey, slots: u32) -> BTreeSet<(PoolKey, FlowKey)> {
        let team = &mut self.teams[key];
        team.used_slots = team.used_slots.saturating_sub(slots);
        self.take_blocked_flows_of(key)
    }

    /// Gets the limits to report in a status: those that differ from the
    /// guaranteed slots.
    pub(crate) fn limits(&self) -> Vec<TeamLimit> {
        let teams = self.teams.iter();
        let changed = teams.filter(|(_, team)| team.reserved_slots() != team.guaranteed_slots);
        let limit = |((institution, name), team): (&(InstitutionKey, TeamId), &TeamQuota)| {
            Some(TeamLimit {
                institution: self.institutions.get_index(*institution)?.clone(),
                team: name.clone(),
                limit_slots: team.reserved_slots(),
            })
        };
        changed.filter_map(limit).collect()
    }
}
