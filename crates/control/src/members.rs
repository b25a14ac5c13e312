//! Changes of the voting members, one at a time, and learners.

use std::collections::BTreeSet;

use hornbeam_core::api::operator::LearnerStatus;
use hornbeam_core::ids::ReplicaId;

use crate::io::{Message, Refusal};
use crate::progress::Progress;
use crate::replica::{Replica, Role};

/// Most learners that a leader sends its log to.
const MAX_LEARNERS: usize = 8;

/// Election timeouts without an answer after which a leader forgets a learner.
const LEARNER_PATIENCE: u32 = 10;

impl Replica {
    /// Gets why the leader cannot record a change of members now.
    pub(crate) fn members_refusal(&self, proposed: &[ReplicaId]) -> Option<Refusal> {
        let Role::Leader(leadership) = &self.role else {
            return None;
        };
        // Quorums of two uncommitted changes, or of changes by two leaders,
        // need not overlap.
        let settled = leadership.first_index.max(self.log.voters_index());
        if self.commit_index < settled {
            return Some(Refusal::MembersPending);
        }
        let Some(added) = single_difference(self.log.voters(), proposed) else {
            return Some(Refusal::NotOneMember);
        };
        let behind = added.is_some_and(|id| self.match_index(id) != Some(self.log.last_index()));
        behind.then_some(Refusal::NotCaughtUp)
    }

    /// Gets the learners that this leader sends its log to, each with the last
    /// log entry that it is known to hold; none at another replica.
    pub fn learners(&self) -> Vec<LearnerStatus> {
        let Role::Leader(leadership) = &self.role else {
            return Vec::new();
        };
        let voters = self.log.voters();
        let tracked = leadership.progress.iter();
        tracked
            .filter(|(id, _)| !voters.contains(id))
            .map(|(id, progress)| LearnerStatus {
                replica_id: *id,
                match_index: progress.match_index,
            })
            .collect()
    }

    /// Starts to track voters that a change of members added.
    pub(crate) fn track_voters(&mut self) {
        let next_index = self.log.last_index() + 1;
        let now = self.now;
        let others = self.other_voters();
        if let Role::Leader(leadership) = &mut self.role {
            for id in others {
                let progress = leadership.progress.entry(id);
                progress.or_insert_with(|| Progress::new(next_index, now));
            }
        }
    }

    /// Steps down when a committed change of members removed this leader.
    pub(crate) fn step_down_if_removed(&mut self) {
        let settled = self.commit_index >= self.log.voters_index();
        if self.is_leader() && settled && !self.is_voter() {
            self.start_round();
            self.step_down("this replica is no longer a voting member");
        }
    }

    /// Announces a learner that hears no leader to the voters it knows. The
    /// leader among them answers with its log.
    pub(crate) fn announce(&mut self) {
        let announcement = Message::AppendAnswer {
            term: self.hard_state.term,
            success: false,
            index: self.log.last_index() + 1,
            round: 0,
        };
        for id in self.other_voters() {
            self.send_synced(id, announcement.clone());
        }
    }

    /// Starts to track a replica that announced itself, if there is room;
    /// `hint` is where its log may continue.
    pub(crate) fn admit_learner(&mut self, id: ReplicaId, hint: u64) {
        let voters = self.log.voters().len();
        let next_index = hint.clamp(1, self.log.last_index() + 1);
        let now = self.now;
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        if leadership.progress.len() < voters + MAX_LEARNERS {
            let progress = leadership.progress.entry(id);
            progress.or_insert_with(|| Progress::new(next_index, now));
        }
    }

    /// Forgets learners that have been silent for long.
    pub(crate) fn forget_learners(&mut self) {
        let patience = self.options.election_timeout * LEARNER_PATIENCE;
        let horizon = self.now.saturating_sub(patience);
        let voters: BTreeSet<ReplicaId> = self.log.voters().iter().copied().collect();
        if let Role::Leader(leadership) = &mut self.role {
            let tracked = &mut leadership.progress;
            tracked.retain(|id, progress| voters.contains(id) || progress.heard_at >= horizon);
        }
    }
}

/// Gets the added member, or none if one is removed. The outer `None` means
/// that the sets do not differ by exactly one member.
fn single_difference(present: &[ReplicaId], proposed: &[ReplicaId]) -> Option<Option<ReplicaId>> {
    let before: BTreeSet<ReplicaId> = present.iter().copied().collect();
    let after: BTreeSet<ReplicaId> = proposed.iter().copied().collect();
    let named_twice = after.len() != proposed.len();
    if named_twice || after.is_empty() || before.symmetric_difference(&after).count() != 1 {
        return None;
    }
    Some(after.difference(&before).next().copied())
}
