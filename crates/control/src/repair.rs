//! Repair of the group: selection of the next membership change.
//!
//! The id of a replica consists of the address of its host and a random part, so
//! a host that lost its disk is recognised by its address. See
//! `docs/platform.md`.

use std::time::Duration;

use hornbeam_core::ids::ReplicaId;

use crate::replica::{Replica, Role};

/// `RepairOptions` are the options of the automatic repair of a group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RepairOptions {
    /// Number of voting members to maintain: twice the host losses to tolerate,
    /// plus one.
    pub target_voters: usize,
    /// Time without an answer after which a voter is replaced by a learner that
    /// has caught up; default 3 s, which is longer than a restart and shorter
    /// than the time after which the next host may be lost.
    pub replace_after: Duration,
}

impl Default for RepairOptions {
    fn default() -> Self {
        Self {
            target_voters: 3,
            replace_after: Duration::from_secs(3),
        }
    }
}

/// Number of low-order random bits in a replica id; the others are the address
/// of the host.
const RANDOM_BITS: u32 = 32;

/// Gets the part of a replica id that identifies its host.
pub const fn host_of(id: ReplicaId) -> u64 {
    id >> RANDOM_BITS
}

impl Replica {
    /// Gets the voters after the next repair step, if one is needed and this
    /// replica is the leader. Each step adds or removes one voter; a new voter is
    /// added before an old one is removed.
    pub fn next_repair(&self, options: &RepairOptions) -> Option<Vec<ReplicaId>> {
        let Role::Leader(leader_state) = &self.role else {
            return None;
        };
        let voters = self.log.voters();
        let unresponsive = self.unresponsive_voter(options.replace_after);
        let stale_voter = voters.iter().find(|id| self.has_replacement(**id)).copied();
        if voters.len() > options.target_voters
            && let Some(removed) = stale_voter
                .or(unresponsive)
                .or_else(|| self.last_other_voter())
        {
            let kept = voters.iter().filter(|id| **id != removed);
            return Some(kept.copied().collect());
        }
        let needs_member =
            voters.len() < options.target_voters || stale_voter.is_some() || unresponsive.is_some();
        if !needs_member {
            return None;
        }
        let last_index = self.log.last_index();
        let cutoff = self.contact_cutoff();
        let mut caught_up = leader_state.progress.iter().filter(|(id, progress)| {
            !voters.contains(id)
                && progress.match_index == last_index
                && progress.last_contact >= cutoff
        });
        let (added, _) = caught_up.next()?;
        Some(voters.iter().copied().chain([*added]).collect())
    }

    /// Whether another replica id of the voter's host is reachable.
    fn has_replacement(&self, voter: ReplicaId) -> bool {
        let Role::Leader(leader_state) = &self.role else {
            return false;
        };
        let cutoff = self.contact_cutoff();
        let is_replacement = |id: ReplicaId| id != voter && host_of(id) == host_of(voter);
        let mut reachable = leader_state
            .progress
            .iter()
            .filter(|(_, progress)| progress.last_contact >= cutoff);
        reachable.any(|(id, _)| is_replacement(*id))
    }

    /// Gets a voter that has not answered within `limit`.
    fn unresponsive_voter(&self, limit: Duration) -> Option<ReplicaId> {
        let Role::Leader(leader_state) = &self.role else {
            return None;
        };
        let cutoff = self.now.saturating_sub(limit);
        let unresponsive = |id: &&ReplicaId| {
            let progress = leader_state.progress.get(id);
            progress.is_some_and(|progress| progress.last_contact < cutoff)
        };
        self.log.voters().iter().find(unresponsive).copied()
    }

    fn last_other_voter(&self) -> Option<ReplicaId> {
        let mut voters = self.log.voters().iter().copied();
        voters.rfind(|id| *id != self.options.id)
    }
}
