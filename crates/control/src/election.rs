//! Elections: pre-votes, votes and role changes.

use std::collections::BTreeSet;
use std::time::Duration;

use hornbeam_core::event::Event;
use hornbeam_core::ids::ReplicaId;
use rand::Rng;

use crate::command::Command;
use crate::io::{HardState, Message, ProposalOutcome};
use crate::persist::DeferredAction;
use crate::progress::Progress;
use crate::reads::PendingReads;
use crate::replica::{LeaderState, Replica, Role};

/// `GrantedVotes` is the set of voters that granted a vote or pre-vote.
pub(crate) type GrantedVotes = BTreeSet<ReplicaId>;

/// `LogPosition` is the term and index of the last entry of a log. Of two logs,
/// the one with the greater position is more up to date.
pub(crate) type LogPosition = (u64, u64);

impl Replica {
    /// Whether this replica may vote and campaign.
    pub(crate) fn is_voter(&self) -> bool {
        self.log.voters().contains(&self.options.id)
    }

    /// Gets the voters other than this replica.
    pub(crate) fn other_voters(&self) -> Vec<ReplicaId> {
        let voters = self.log.voters().iter().copied();
        voters.filter(|id| *id != self.options.id).collect()
    }

    /// Gets the number of voters that form a majority.
    pub(crate) fn quorum(&self) -> usize {
        self.log.voters().len() / 2 + 1
    }

    /// Sets a new random election deadline.
    pub(crate) fn reset_election_timer(&mut self) {
        self.set_election_timer(self.options.election_timeout);
    }

    /// Sets the election deadline to a random time between `shortest` and twice
    /// `shortest` from now.
    pub(crate) fn set_election_timer(&mut self, shortest: Duration) {
        let jitter = self.rng.random::<f64>();
        self.election_deadline = self.now + shortest + shortest.mul_f64(jitter);
    }

    pub(crate) fn on_election_timeout(&mut self) {
        self.leader = None;
        self.reset_election_timer();
        if self.is_voter() {
            self.start_pre_vote();
        } else {
            self.role = Role::Follower;
            self.announce();
        }
    }

    fn start_pre_vote(&mut self) {
        self.role = Role::PreCandidate(GrantedVotes::new());
        let (last_term, last_index) = self.last_position();
        let term = self.hard_state.term + 1;
        for id in self.other_voters() {
            let request = Message::PreVote {
                term,
                last_index,
                last_term,
            };
            self.send(id, request);
        }
        self.count_pre_vote(self.options.id);
    }

    pub(crate) fn on_pre_vote(&mut self, from: ReplicaId, term: u64, candidate_log: LogPosition) {
        // The sender may campaign because of an uncommitted membership change
        // that is not in the leader's log. Only the leader's log corrects that.
        self.admit_learner(from, candidate_log.1.saturating_add(1));
        if !self.is_voter() {
            return;
        }
        let granted = term > self.hard_state.term
            && !self.has_active_leader()
            && candidate_log >= self.last_position();
        let answer = Message::PreVoteAnswer {
            term: if granted { term } else { self.hard_state.term },
            granted,
        };
        self.send_after_sync(from, answer);
    }

    pub(crate) fn on_pre_vote_answer(&mut self, from: ReplicaId, term: u64, granted: bool) {
        if granted && term == self.hard_state.term + 1 {
            self.count_pre_vote(from);
        } else if !granted && term > self.hard_state.term {
            self.become_follower(term, None);
        }
    }

    fn count_pre_vote(&mut self, from: ReplicaId) {
        let Role::PreCandidate(votes) = &mut self.role else {
            return;
        };
        votes.insert(from);
        let votes = votes.clone();
        if self.has_majority(&votes) {
            self.start_election();
        }
    }

    fn start_election(&mut self) {
        self.role = Role::Candidate(GrantedVotes::new());
        self.reset_election_timer();
        self.put_hard_state(HardState {
            term: self.hard_state.term + 1,
            voted_for: Some(self.options.id),
        });
        self.persist
            .defer(DeferredAction::OwnVote(self.hard_state.term));
    }

    /// Counts the replica's vote for itself, which is now synced, and requests the
    /// votes of the others.
    pub(crate) fn on_own_vote(&mut self, term: u64) {
        if term != self.hard_state.term || !matches!(self.role, Role::Candidate(_)) {
            return;
        }
        let (last_term, last_index) = self.last_position();
        for id in self.other_voters() {
            let request = Message::Vote {
                term,
                last_index,
                last_term,
            };
            self.send(id, request);
        }
        self.count_vote(self.options.id);
    }

    pub(crate) fn on_vote(&mut self, from: ReplicaId, term: u64, candidate_log: LogPosition) {
        if !self.is_voter() {
            return;
        }
        // A candidate that missed heartbeats must not depose a leader that the
        // other voters still receive heartbeats from.
        if term > self.hard_state.term && !self.has_active_leader() {
            self.become_follower(term, None);
        }
        let granted = term == self.hard_state.term && self.can_vote_for(from, candidate_log);
        if granted {
            self.role = Role::Follower;
            self.reset_election_timer();
            self.put_hard_state(HardState {
                term,
                voted_for: Some(from),
            });
        }
        let answer = Message::VoteAnswer {
            term: self.hard_state.term,
            granted,
        };
        self.send_after_sync(from, answer);
    }

    fn can_vote_for(&self, candidate: ReplicaId, candidate_log: LogPosition) -> bool {
        let vote_available = self.hard_state.voted_for.is_none_or(|id| id == candidate);
        vote_available && candidate_log >= self.last_position()
    }

    pub(crate) fn on_vote_answer(&mut self, from: ReplicaId, term: u64, granted: bool) {
        if term > self.hard_state.term {
            self.become_follower(term, None);
        } else if term == self.hard_state.term && granted {
            self.count_vote(from);
        }
    }

    fn count_vote(&mut self, from: ReplicaId) {
        let Role::Candidate(votes) = &mut self.role else {
            return;
        };
        votes.insert(from);
        let votes = votes.clone();
        if self.has_majority(&votes) {
            self.become_leader();
        }
    }

    fn has_majority(&self, votes: &GrantedVotes) -> bool {
        let voters = self.log.voters().iter();
        voters.filter(|id| votes.contains(id)).count() >= self.quorum()
    }

    fn become_leader(&mut self) {
        let next_index = self.log.last_index() + 1;
        let others = self.other_voters().into_iter();
        let progress = others.map(|id| (id, Progress::new(next_index, self.now)));
        self.role = Role::Leader(LeaderState {
            first_index: next_index,
            progress: progress.collect(),
            round: 0,
            next_heartbeat_at: self.now,
            reads: PendingReads::default(),
            proposals: Default::default(),
        });
        self.leader = Some(self.options.id);
        self.log_event(
            Event::LeaderElected,
            format!("became leader of term {}", self.hard_state.term),
        );
        // Entries of earlier terms are committed only through an entry of the
        // current term, so the term starts with one.
        self.append_in_current_term(Command::Noop);
        self.start_heartbeat_round();
    }

    /// Becomes a follower in a term that is not below the current one.
    pub(crate) fn become_follower(&mut self, term: u64, leader: Option<ReplicaId>) {
        if term > self.hard_state.term {
            self.put_hard_state(HardState {
                term,
                voted_for: None,
            });
            self.leader = None;
        }
        if leader.is_some() {
            self.leader = leader;
            self.last_leader_contact = self.now;
            self.reset_election_timer();
        }
        if self.is_leader() {
            self.step_down("another replica has a newer term");
        }
        self.role = Role::Follower;
    }

    /// Gives up leadership; proposals in flight get an unknown outcome.
    pub(crate) fn step_down(&mut self, reason: &str) {
        let Role::Leader(leader_state) = std::mem::replace(&mut self.role, Role::Follower) else {
            return;
        };
        if self.leader == Some(self.options.id) {
            self.leader = None;
        }
        self.reset_election_timer();
        self.log_event(Event::LeaderSteppedDown, reason);
        for id in leader_state.proposals.into_values() {
            self.complete_proposal(id, ProposalOutcome::Unknown);
        }
        self.fail_pending_reads(leader_state.reads);
    }

    /// Whether this replica leads or has a leader within the election timeout.
    fn has_active_leader(&self) -> bool {
        if self.is_leader() {
            return true;
        }
        let elapsed = self.now.saturating_sub(self.last_leader_contact);
        self.leader.is_some() && elapsed < self.options.election_timeout
    }

    fn last_position(&self) -> LogPosition {
        (self.log.last_term(), self.log.last_index())
    }

    fn put_hard_state(&mut self, hard_state: HardState) {
        if hard_state != self.hard_state {
            self.hard_state = hard_state;
            self.persist.put_hard_state(hard_state);
        }
    }

    /// Gets the time before which a contact is too old to count for a quorum.
    pub(crate) fn contact_cutoff(&self) -> Duration {
        self.now.saturating_sub(self.options.election_timeout)
    }
}
