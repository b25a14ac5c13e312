//! Membership changes of one voter at a time, and learners.

use std::collections::BTreeSet;

use hornbeam_core::api::operator::LearnerStatus;
use hornbeam_core::ids::ReplicaId;

use crate::io::{Message, Refusal};
use crate::progress::Progress;
use crate::replica::{Replica, Role};

/// Maximum number of learners that a leader replicates to.
const MAX_LEARNERS: usize = 8;

/// Election timeouts without an answer after which a leader drops a learner.
const LEARNER_TIMEOUT_FACTOR: u32 = 10;

impl Replica {
    /// Gets the reason why a membership change cannot be recorded now, if any.
    pub(crate) fn membership_refusal(&self, proposed: &[ReplicaId]) -> Option<Refusal> {
        let Role::Leader(leader_state) = &self.role else {
            return None;
        };
        // The quorums of two uncommitted changes, or of changes by two leaders,
        // may be disjoint.
        let required_commit = leader_state.first_index.max(self.log.voters_index());
        if self.commit_index < required_commit {
            return Some(Refusal::MembershipChangePending);
        }
        let Some(added) = single_member_change(self.log.voters(), proposed) else {
            return Some(Refusal::NotSingleMemberChange);
        };
        let is_lagging =
            added.is_some_and(|id| self.match_index(id) != Some(self.log.last_index()));
        is_lagging.then_some(Refusal::NotCaughtUp)
    }

    /// Gets the learners that this leader replicates to and their last matching
    /// index; empty if this replica is not the leader.
    pub fn learners(&self) -> Vec<LearnerStatus> {
        let Role::Leader(leader_state) = &self.role else {
            return Vec::new();
        };
        let voters = self.log.voters();
        let tracked = leader_state.progress.iter();
        tracked
            .filter(|(id, _)| !voters.contains(id))
            .map(|(id, progress)| LearnerStatus {
                replica_id: *id,
                match_index: progress.match_index,
            })
            .collect()
    }

    /// Starts to track voters that a membership change added.
    pub(crate) fn track_voters(&mut self) {
        let next_index = self.log.last_index() + 1;
        let now = self.now;
        let others = self.other_voters();
        if let Role::Leader(leader_state) = &mut self.role {
            for id in others {
                let progress = leader_state.progress.entry(id);
                progress.or_insert_with(|| Progress::new(next_index, now));
            }
        }
    }

    /// Steps down if a committed membership change removed this leader.
    pub(crate) fn step_down_if_removed(&mut self) {
        let is_committed = self.commit_index >= self.log.voters_index();
        if self.is_leader() && is_committed && !self.is_voter() {
            self.start_heartbeat_round();
            self.step_down("this replica is no longer a voting member");
        }
    }

    /// Announces this learner, which has no leader, to the known voters. The
    /// leader among them starts to replicate to it.
    pub(crate) fn announce(&mut self) {
        let announcement = Message::AppendAnswer {
            term: self.hard_state.term,
            success: false,
            index: self.log.last_index() + 1,
            round: 0,
        };
        for id in self.other_voters() {
            self.send_after_sync(id, announcement.clone());
        }
    }

    /// Starts to track a replica that announced itself, unless there are too many
    /// learners; `hint` is the next index that it may need.
    pub(crate) fn admit_learner(&mut self, id: ReplicaId, hint: u64) {
        let voters = self.log.voters().len();
        let next_index = hint.clamp(1, self.log.last_index() + 1);
        let now = self.now;
        let Role::Leader(leader_state) = &mut self.role else {
            return;
        };
        if leader_state.progress.len() < voters + MAX_LEARNERS {
            let progress = leader_state.progress.entry(id);
            progress.or_insert_with(|| Progress::new(next_index, now));
        }
    }

    /// Stops tracking learners that have not answered within the timeout.
    pub(crate) fn remove_inactive_learners(&mut self) {
        let timeout = self.options.election_timeout * LEARNER_TIMEOUT_FACTOR;
        let cutoff = self.now.saturating_sub(timeout);
        let voters: BTreeSet<ReplicaId> = self.log.voters().iter().copied().collect();
        if let Role::Leader(leader_state) = &mut self.role {
            let tracked = &mut leader_state.progress;
            tracked.retain(|id, progress| voters.contains(id) || progress.last_contact >= cutoff);
        }
    }
}

/// Gets the added member, or `Some(None)` if one is removed. `None` means that
/// the sets do not differ by exactly one member.
fn single_member_change(
    current: &[ReplicaId],
    proposed: &[ReplicaId],
) -> Option<Option<ReplicaId>> {
    let before: BTreeSet<ReplicaId> = current.iter().copied().collect();
    let after: BTreeSet<ReplicaId> = proposed.iter().copied().collect();
    let has_duplicates = after.len() != proposed.len();
    if has_duplicates || after.is_empty() || before.symmetric_difference(&after).count() != 1 {
        return None;
    }
    Some(after.difference(&before).next().copied())
}
