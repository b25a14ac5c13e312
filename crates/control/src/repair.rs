//! Repair of the group: which change of members comes next.
//!
//! The id of a replica holds the address of its host and a random part, so a
//! host that lost its disk is known by its address. See `docs/platform.md`.

use std::time::Duration;

use hornbeam_core::ids::ReplicaId;

use crate::replica::{Replica, Role};

/// `RepairOptions` say how a group repairs itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RepairOptions {
    /// Voting members to keep: twice the losses to be borne, plus one.
    pub target_voters: usize,
    /// Silence after which a voter is replaced if a learner can take its
    /// place; default 3 s, above a restart and below the time after which the
    /// next loss may come.
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

/// Bits of a replica id below those of its host's address.
const RANDOM_BITS: u32 = 32;

/// Gets the part of a replica id that names its host.
pub const fn host_of(id: ReplicaId) -> u64 {
    id >> RANDOM_BITS
}

impl Replica {
    /// Gets the voters after the next step of a repair, if one is needed and
    /// this replica leads. Each step differs from the present voters by one
    /// member; a new member is added before an old one is removed.
    pub fn next_repair(&self, options: &RepairOptions) -> Option<Vec<ReplicaId>> {
        let Role::Leader(leadership) = &self.role else {
            return None;
        };
        let voters = self.log.voters();
        let silent = self.silent_voter(options.replace_after);
        let replaced = voters.iter().find(|id| self.has_successor(**id)).copied();
        if voters.len() > options.target_voters
            && let Some(surplus) = replaced.or(silent).or_else(|| self.last_other_voter())
        {
            let kept = voters.iter().filter(|id| **id != surplus);
            return Some(kept.copied().collect());
        }
        let needs_one =
            voters.len() < options.target_voters || replaced.is_some() || silent.is_some();
        if !needs_one {
            return None;
        }
        let whole = self.log.last_index();
        let horizon = self.quorum_horizon();
        let mut able = leadership.progress.iter().filter(|(id, progress)| {
            !voters.contains(id) && progress.match_index == whole && progress.heard_at >= horizon
        });
        let (added, _) = able.next()?;
        Some(voters.iter().copied().chain([*added]).collect())
    }

    /// Whether the host of a voter has come back under another id.
    fn has_successor(&self, voter: ReplicaId) -> bool {
        let Role::Leader(leadership) = &self.role else {
            return false;
        };
        let horizon = self.quorum_horizon();
        let is_successor = |id: ReplicaId| id != voter && host_of(id) == host_of(voter);
        let mut heard = leadership
            .progress
            .iter()
            .filter(|(_, progress)| progress.heard_at >= horizon);
        heard.any(|(id, _)| is_successor(*id))
    }

    /// Gets a voter that has not answered for a time.
    fn silent_voter(&self, limit: Duration) -> Option<ReplicaId> {
        let Role::Leader(leadership) = &self.role else {
            return None;
        };
        let horizon = self.now.saturating_sub(limit);
        let silent = |id: &&ReplicaId| {
            let progress = leadership.progress.get(id);
            progress.is_some_and(|progress| progress.heard_at < horizon)
        };
        self.log.voters().iter().find(silent).copied()
    }

    fn last_other_voter(&self) -> Option<ReplicaId> {
        let mut voters = self.log.voters().iter().copied();
        voters.rfind(|id| *id != self.options.id)
    }
}
