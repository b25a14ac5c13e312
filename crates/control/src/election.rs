//! Elections: pre-votes, votes and changes of the role.

use std::collections::BTreeSet;
use std::time::Duration;

use hornbeam_core::event::Event;
use hornbeam_core::ids::ReplicaId;
use rand::Rng;

use crate::command::Command;
use crate::io::{HardState, Message, ProposalOutcome};
use crate::persist::Deferred;
use crate::progress::Progress;
use crate::reads::Reads;
use crate::replica::{Leadership, Replica, Role};

/// `Ballot` is the set of voters that granted a vote or pre-vote.
pub(crate) type Ballot = BTreeSet<ReplicaId>;

/// `LogEnd` is term and index of a last entry; of two logs, the greater one is
/// more up to date.
pub(crate) type LogEnd = (u64, u64);

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

    /// Sets a new random time for the next election.
    pub(crate) fn reset_election_timer(&mut self) {
        self.set_election_timer(self.options.election_timeout);
    }

    /// Sets a random time between `shortest` and twice that for the next
    /// election.
    pub(crate) fn set_election_timer(&mut self, shortest: Duration) {
        let extra = self.random.random::<f64>();
        self.election_at = self.now + shortest + shortest.mul_f64(extra);
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
        self.role = Role::PreCandidate(Ballot::new());
        let (last_term, last_index) = self.log_end();
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

    pub(crate) fn on_pre_vote(&mut self, from: ReplicaId, term: u64, end: LogEnd) {
        // A replica may campaign because of a change of members that is not in
        // the leader's log. Only the leader's log tells it otherwise.
        self.admit_learner(from, end.1.saturating_add(1));
        if !self.is_voter() {
            return;
        }
        let granted = term > self.hard_state.term && !self.hears_leader() && end >= self.log_end();
        let answer = Message::PreVoteAnswer {
            term: if granted { term } else { self.hard_state.term },
            granted,
        };
        self.send_synced(from, answer);
    }

    pub(crate) fn on_pre_vote_answer(&mut self, from: ReplicaId, term: u64, granted: bool) {
        if granted && term == self.hard_state.term + 1 {
            self.count_pre_vote(from);
        } else if !granted && term > self.hard_state.term {
            self.follow(term, None);
        }
    }

    fn count_pre_vote(&mut self, from: ReplicaId) {
        let Role::PreCandidate(ballot) = &mut self.role else {
            return;
        };
        ballot.insert(from);
        let ballot = ballot.clone();
        if self.is_won(&ballot) {
            self.start_election();
        }
    }

    fn start_election(&mut self) {
        self.role = Role::Candidate(Ballot::new());
        self.reset_election_timer();
        self.put_hard_state(HardState {
            term: self.hard_state.term + 1,
            voted_for: Some(self.options.id),
        });
        self.persist.defer(Deferred::OwnVote(self.hard_state.term));
    }

    /// Counts the own vote, which is on disk now, and asks the other voters.
    pub(crate) fn on_own_vote(&mut self, term: u64) {
        if term != self.hard_state.term || !matches!(self.role, Role::Candidate(_)) {
            return;
        }
        let (last_term, last_index) = self.log_end();
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

    pub(crate) fn on_vote(&mut self, from: ReplicaId, term: u64, end: LogEnd) {
        if !self.is_voter() {
            return;
        }
        // A candidate that missed heartbeats must not depose a leader that the
        // others still hear.
        if term > self.hard_state.term && !self.hears_leader() {
            self.follow(term, None);
        }
        let granted = term == self.hard_state.term && self.can_vote_for(from, end);
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
        self.send_synced(from, answer);
    }

    fn can_vote_for(&self, candidate: ReplicaId, end: LogEnd) -> bool {
        let is_free = self.hard_state.voted_for.is_none_or(|id| id == candidate);
        is_free && end >= self.log_end()
    }

    pub(crate) fn on_vote_answer(&mut self, from: ReplicaId, term: u64, granted: bool) {
        if term > self.hard_state.term {
            self.follow(term, None);
        } else if term == self.hard_state.term && granted {
            self.count_vote(from);
        }
    }

    fn count_vote(&mut self, from: ReplicaId) {
        let Role::Candidate(ballot) = &mut self.role else {
            return;
        };
        ballot.insert(from);
        let ballot = ballot.clone();
        if self.is_won(&ballot) {
            self.become_leader();
        }
    }

    fn is_won(&self, ballot: &Ballot) -> bool {
        let voters = self.log.voters().iter();
        voters.filter(|id| ballot.contains(id)).count() >= self.quorum()
    }

    fn become_leader(&mut self) {
        let next_index = self.log.last_index() + 1;
        let others = self.other_voters().into_iter();
        let progress = others.map(|id| (id, Progress::new(next_index, self.now)));
        self.role = Role::Leader(Leadership {
            first_index: next_index,
            progress: progress.collect(),
            round: 0,
            heartbeat_at: self.now,
            reads: Reads::default(),
            proposals: Default::default(),
        });
        self.leader = Some(self.options.id);
        self.log_event(
            Event::LeaderElected,
            format!("leads term {}", self.hard_state.term),
        );
        // Entries of earlier terms are committed only by counting an entry of
        // the own term, so the term starts with one.
        self.append_own(Command::Noop);
        self.start_round();
    }

    /// Becomes a follower in a term that is not below the present one.
    pub(crate) fn follow(&mut self, term: u64, leader: Option<ReplicaId>) {
        if term > self.hard_state.term {
            self.put_hard_state(HardState {
                term,
                voted_for: None,
            });
            self.leader = None;
        }
        if leader.is_some() {
            self.leader = leader;
            self.leader_heard_at = self.now;
            self.reset_election_timer();
        }
        if self.is_leader() {
            self.step_down("another replica has a newer term");
        }
        self.role = Role::Follower;
    }

    /// Stops leading; proposals in flight have an unknown outcome.
    pub(crate) fn step_down(&mut self, reason: &str) {
        let Role::Leader(leadership) = std::mem::replace(&mut self.role, Role::Follower) else {
            return;
        };
        if self.leader == Some(self.options.id) {
            self.leader = None;
        }
        self.reset_election_timer();
        self.log_event(Event::LeaderSteppedDown, reason);
        for id in leadership.proposals.into_values() {
            self.end_proposal(id, ProposalOutcome::Unknown);
        }
        self.end_reads(leadership.reads);
    }

    /// Whether an election would be needless.
    fn hears_leader(&self) -> bool {
        if self.is_leader() {
            return true;
        }
        let silent_for = self.now.saturating_sub(self.leader_heard_at);
        self.leader.is_some() && silent_for < self.options.election_timeout
    }

    fn log_end(&self) -> LogEnd {
        (self.log.last_term(), self.log.last_index())
    }

    fn put_hard_state(&mut self, hard_state: HardState) {
        if hard_state != self.hard_state {
            self.hard_state = hard_state;
            self.persist.put_hard_state(hard_state);
        }
    }

    /// Gets the time before which an answer is too old for a quorum.
    pub(crate) fn quorum_horizon(&self) -> Duration {
        self.now.saturating_sub(self.options.election_timeout)
    }
}
