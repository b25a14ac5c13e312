//! Quotas of teams. Each entry host enforces its share over the tasks of the
//! jobs that it admitted.

use std::collections::BTreeSet;

use hornbeam_core::config::Configuration;
use hornbeam_core::ids::{InstitutionId, TeamId};
use indexmap::{IndexMap, IndexSet};

use crate::fair_queue::FlowKey;
use crate::keys::{InstitutionKey, PoolKey, TeamKey};

/// `TeamQuota` is the use of one team's share.
#[derive(Debug, Default)]
pub(crate) struct TeamQuota {
    /// Slots that this host may use at once for the team.
    pub(crate) share_slots: u32,
    /// Slots in use for jobs that this host admitted.
    pub(crate) used_slots: u32,
    /// Estimated run time of the team's queued tasks, in ms.
    pub(crate) queued_work_ms: u64,
    /// Flows that wait for room, by pool.
    blocked: BTreeSet<(PoolKey, FlowKey)>,
}

impl TeamQuota {
    /// Gets the slots that the team may still use.
    pub(crate) fn room(&self) -> u32 {
        self.share_slots.saturating_sub(self.used_slots)
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

    /// Takes over the shares of a configuration and returns the flows that may
    /// have room now.
    pub(crate) fn configure(&mut self, configuration: &Configuration) -> Vec<(PoolKey, FlowKey)> {
        let hosts = configuration.entry_hosts.max(1);
        for (institution, terms) in &configuration.institutions {
            for (team, limits) in &terms.teams {
                let (_, key) = self.key(institution, team);
                self.teams[key].share_slots = limits.quota_slots.div_ceil(hosts);
            }
        }
        let blocked = self.teams.values_mut();
        blocked
            .flat_map(|team| std::mem::take(&mut team.blocked))
            .collect()
    }

    /// Records a flow that waits for room.
    pub(crate) fn block(&mut self, pool: PoolKey, flow: FlowKey) {
        self.teams[flow.team].blocked.insert((pool, flow));
    }

    /// Counts slots as used.
    pub(crate) fn take(&mut self, key: TeamKey, slots: u32) {
        self.teams[key].used_slots += slots;
    }

    /// Counts slots as free and returns the flows that may have room now.
    pub(crate) fn release(&mut self, key: TeamKey, slots: u32) -> BTreeSet<(PoolKey, FlowKey)> {
        let team = &mut self.teams[key];
        team.used_slots = team.used_slots.saturating_sub(slots);
        std::mem::take(&mut team.blocked)
    }
}
