//! Quotas of teams. Each entry host enforces its limit over the tasks of the
//! jobs that it admitted.

use std::collections::BTreeSet;
use std::time::Duration;

use hornbeam_core::config::Configuration;
use hornbeam_core::ids::{InstitutionId, TeamId};
use indexmap::{IndexMap, IndexSet};

use crate::fair_queue::FlowKey;
use crate::io::TeamLimit;
use crate::keys::{InstitutionKey, PoolKey, TeamKey};

/// `TeamQuota` is this host's part of one team's quota.
#[derive(Debug, Default)]
pub(crate) struct TeamQuota {
    /// Slots of the quota that belong to this host.
    pub(crate) share_slots: u32,
    /// Slots that this host keeps whatever its peers need.
    pub(crate) guaranteed_slots: u32,
    /// Slots that this host may use at once for the team now.
    pub(crate) limit_slots: u32,
    /// Slots in use for jobs that this host admitted.
    pub(crate) used_slots: u32,
    /// Queued tasks of the team's jobs that this host admitted.
    pub(crate) queued_tasks: u32,
    /// Estimated run time of the team's queued tasks, in ms.
    pub(crate) queued_work_ms: u64,
    /// Time before which the limit is not raised again.
    pub(crate) next_raise_at: Duration,
    /// Flows that wait for room, by pool.
    blocked: BTreeSet<(PoolKey, FlowKey)>,
}

impl TeamQuota {
    /// Gets the slots that the team may still use.
    pub(crate) fn available_slots(&self) -> u32 {
        self.limit_slots.saturating_sub(self.used_slots)
    }

    /// Gets the slots that peers must leave to this host: after a limit was
    /// lowered, the tasks above it still run.
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

/// Gets the part of a share that is never lent. A single host has nobody to
/// lend to.
fn guaranteed_part(share_slots: u32, hosts: u32) -> u32 {
    match hosts {
        1 => share_slots,
        _ => share_slots.div_ceil(2),
    }
}

/// `Quotas` holds the institutions and teams that this host has seen.
#[derive(Debug, Default)]
pub(crate) struct Quotas {
    institutions: IndexSet<InstitutionId>,
    teams: IndexMap<(InstitutionKey, TeamId), TeamQuota>,
}

impl Quotas {
    /// Gets the keys of a team, which is added if it is new.
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

    /// Gets a team.
    pub(crate) fn team(&mut self, key: TeamKey) -> &mut TeamQuota {
        &mut self.teams[key]
    }

    /// Gets the keys of all teams.
    pub(crate) fn keys(&self) -> std::ops::Range<TeamKey> {
        0..self.teams.len()
    }

    /// Takes over the shares of a configuration and returns the flows that may
    /// have room now.
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

    /// Records a flow that waits for room.
    pub(crate) fn block_flow(&mut self, pool: PoolKey, flow: FlowKey) {
        self.teams[flow.team].blocked.insert((pool, flow));
    }

    /// Returns the flows of every team that wait for room.
    pub(crate) fn take_blocked_flows(&mut self) -> Vec<(PoolKey, FlowKey)> {
        let blocked = self.teams.values_mut();
        blocked
            .flat_map(|team| std::mem::take(&mut team.blocked))
            .collect()
    }

    /// Returns the flows of one team that wait for room.
    pub(crate) fn take_blocked_flows_of(&mut self, key: TeamKey) -> BTreeSet<(PoolKey, FlowKey)> {
        std::mem::take(&mut self.teams[key].blocked)
    }

    /// Counts slots as used.
    pub(crate) fn acquire(&mut self, key: TeamKey, slots: u32) {
        self.teams[key].used_slots += slots;
    }

    /// Counts slots as free and returns the flows that may have room now.
    pub(crate) fn release(&mut self, key: TeamKey, slots: u32) -> BTreeSet<(PoolKey, FlowKey)> {
        let team = &mut self.teams[key];
        team.used_slots = team.used_slots.saturating_sub(slots);
        self.take_blocked_flows_of(key)
    }

    /// Gets the limits that differ from half a share, for a status.
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
