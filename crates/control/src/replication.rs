//! Log replication: appends by the leader, answers by the followers, and commit.

use hornbeam_core::ids::ReplicaId;

use crate::io::{Entry, Message};
use crate::progress::{InFlight, Progress};
use crate::replica::{Replica, Role};

/// Maximum encoded size of the entries of one append in bytes, unless its first
/// entry alone is larger.
const MAX_BATCH_BYTES: u64 = 1 << 20;

/// Index in an answer that shows only that the leader was heard. Entries are
/// numbered from 1.
const NO_INDEX: u64 = 0;

impl Replica {
    /// Handles a tick as the leader.
    pub(crate) fn tick_leader(&mut self) {
        if !self.has_quorum_contact() {
            let reason = format!(
                "no quorum of voters answered within the election timeout; {}",
                self.contact_ages()
            );
            return self.step_down(&reason);
        }
        let Role::Leader(leader_state) = &self.role else {
            return;
        };
        if self.now >= leader_state.next_heartbeat_at {
            self.remove_inactive_learners();
            self.start_heartbeat_round();
        }
    }

    fn has_quorum_contact(&self) -> bool {
        let Role::Leader(leader_state) = &self.role else {
            return false;
        };
        let cutoff = self.contact_cutoff();
        let is_reachable = |id: &&ReplicaId| match leader_state.progress.get(id) {
            Some(progress) => progress.last_contact >= cutoff,
            None => **id == self.options.id,
        };
        self.log.voters().iter().filter(is_reachable).count() >= self.quorum()
    }

    /// Describes when each other voter last answered, and whether the own disk is
    /// behind.
    fn contact_ages(&self) -> String {
        let Role::Leader(leader_state) = &self.role else {
            return String::new();
        };
        let age = |id: ReplicaId| match leader_state.progress.get(&id) {
            Some(progress) => {
                let age = self.now.saturating_sub(progress.last_contact);
                format!("{id:x} answered {} ms ago", age.as_millis())
            }
            None => format!("{id:x} is not tracked"),
        };
        let ages: Vec<String> = self.other_voters().into_iter().map(age).collect();
        let disk = if self.persist.is_in_flight() {
            "a write is in flight"
        } else {
            "no write is in flight"
        };
        format!("{}; {disk}", ages.join(", "))
    }

    /// Starts a heartbeat round. A replica that has entries to receive gets them
    /// instead of an empty append.
    pub(crate) fn start_heartbeat_round(&mut self) {
        self.track_voters();
        let now = self.now;
        let heartbeat_interval = self.options.heartbeat_interval;
        let Role::Leader(leader_state) = &mut self.role else {
            return;
        };
        leader_state.round += 1;
        leader_state.next_heartbeat_at = now + heartbeat_interval;
        let ids: Vec<ReplicaId> = leader_state.progress.keys().copied().collect();
        for id in ids {
            if !self.send_entries_to(id) {
                self.send_heartbeat(id);
            }
        }
        self.confirm_reads();
        self.advance_commit();
    }

    /// Sends new entries to every replica that has no batch in flight.
    pub(crate) fn send_entries(&mut self) {
        self.track_voters();
        let Role::Leader(leader_state) = &self.role else {
            return;
        };
        let ids: Vec<ReplicaId> = leader_state.progress.keys().copied().collect();
        for id in ids {
            self.send_entries_to(id);
        }
    }

    /// Sends the next batch to a replica; false if there is nothing to send or
    /// an earlier batch is still in flight.
    pub(crate) fn send_entries_to(&mut self, id: ReplicaId) -> bool {
        let last_index = self.log.last_index();
        let sent_at = self.now;
        // A lost batch is retransmitted well before the follower campaigns.
        let retransmit_after = self.options.election_timeout / 2;
        let Role::Leader(leader_state) = &mut self.role else {
            return false;
        };
        let round = leader_state.round;
        let Some(progress) = leader_state.progress.get_mut(&id) else {
            return false;
        };
        let is_recent = |batch: &InFlight| sent_at < batch.sent_at + retransmit_after;
        if progress.in_flight.as_ref().is_some_and(is_recent) || progress.next_index > last_index {
            return false;
        }
        let previous_index = progress.next_index - 1;
        let Some(previous_term) = self.log.term_at(previous_index) else {
            let last_index = self.log.snapshot().index;
            progress.in_flight = Some(InFlight {
                last_index,
                sent_at,
            });
            self.send_snapshot_part(id, round);
            return true;
        };
        let entries = self.log.entries_from(previous_index + 1, MAX_BATCH_BYTES);
        let last_index = previous_index + entries.len() as u64;
        progress.in_flight = Some(InFlight {
            last_index,
            sent_at,
        });
        let message = Message::Append {
            term: self.hard_state.term,
            previous_index,
            previous_term,
            entries,
            commit: self.commit_index,
            round,
        };
        self.send(id, message);
        true
    }

    /// Sends an empty append. It carries the commit index, and the answer shows
    /// whether `next_index` is right.
    fn send_heartbeat(&mut self, id: ReplicaId) {
        let Role::Leader(leader_state) = &self.role else {
            return;
        };
        let round = leader_state.round;
        let progress = leader_state.progress.get(&id);
        let before_next = progress.map_or(0, |progress| progress.next_index - 1);
        let (previous_index, previous_term) = match self.log.term_at(before_next) {
            Some(term) => (before_next, term),
            None => (0, 0),
        };
        let message = Message::Append {
            term: self.hard_state.term,
            previous_index,
            previous_term,
            entries: Vec::new(),
            commit: self.commit_index,
            round,
        };
        self.send(id, message);
    }

    pub(crate) fn on_append(&mut self, from: ReplicaId, message: Message) {
        let Message::Append {
            term,
            previous_index,
            previous_term,
            entries,
            commit,
            round,
        } = message
        else {
            return;
        };
        if term < self.hard_state.term {
            return self.answer_append(from, false, self.log.last_index() + 1, round);
        }
        self.become_follower(term, Some(from));
        if let Some(hint) = self.next_index_hint(previous_index, previous_term) {
            return self.answer_append(from, false, hint, round);
        }
        let last_index = previous_index + entries.len() as u64;
        self.append_received(entries);
        self.commit_to(commit.min(last_index));
        self.answer_append(from, true, last_index, round);
    }

    /// Gets the index that the leader should try next if the log does not match.
    /// Entries before the log in memory are committed, so they match.
    fn next_index_hint(&self, previous_index: u64, previous_term: u64) -> Option<u64> {
        if previous_index < self.log.base_index() {
            return None;
        }
        match self.log.term_at(previous_index) {
            Some(term) if term == previous_term => None,
            Some(_) => Some(self.log.first_index_of_term(previous_index)),
            None => Some(self.log.last_index() + 1),
        }
    }

    /// Appends the entries that are new. Conflicting entries in the log were
    /// never committed and are replaced.
    fn append_received(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            if entry.index <= self.commit_index || self.log.term_at(entry.index) == Some(entry.term)
            {
                continue;
            }
            if entry.index <= self.log.last_index() {
                self.log.truncate_from(entry.index);
                self.persist.truncate_from(entry.index);
            }
            self.log.append(entry);
        }
    }

    /// Answers an append or a snapshot once its content is synced. While an
    /// earlier sync is in flight, an answer without an index goes ahead: it
    /// proves that this replica hears the leader and knows no newer term, which
    /// does not depend on the disk. Without it, a leader whose voters have slow
    /// disks would lose its quorum.
    pub(crate) fn answer_append(&mut self, to: ReplicaId, success: bool, index: u64, round: u64) {
        if self.persist.is_in_flight() {
            let contact = Message::AppendAnswer {
                term: self.hard_state.term,
                success: true,
                index: NO_INDEX,
                round,
            };
            self.send(to, contact);
        }
        let answer = Message::AppendAnswer {
            term: self.hard_state.term,
            success,
            index,
            round,
        };
        self.send_after_sync(to, answer);
    }

    pub(crate) fn on_append_answer(&mut self, from: ReplicaId, message: Message) {
        let Message::AppendAnswer {
            term,
            success,
            index,
            round,
        } = message
        else {
            return;
        };
        if term > self.hard_state.term {
            return self.become_follower(term, None);
        }
        // An answer with an older term may be the announcement of a learner.
        let is_current = term == self.hard_state.term;
        if index != NO_INDEX {
            self.admit_learner(from, index);
        }
        let now = self.now;
        let Role::Leader(leader_state) = &mut self.role else {
            return;
        };
        let Some(progress) = leader_state.progress.get_mut(&from) else {
            return;
        };
        if is_current {
            record_append_answer(progress, success, index, round);
            progress.last_contact = now;
        }
        self.send_entries_to(from);
        self.advance_commit();
        self.confirm_reads();
    }

    /// Commits the entries that a quorum has synced. Only an entry of the current
    /// term is committed by counting replicas; it commits the ones before it.
    pub(crate) fn advance_commit(&mut self) {
        let Role::Leader(leader_state) = &self.role else {
            return;
        };
        let index = self.quorum_value(|id| match leader_state.progress.get(&id) {
            Some(progress) => progress.match_index,
            None if id == self.options.id => self.persist.durable_index(),
            None => 0,
        });
        if index <= self.commit_index || self.log.term_at(index) != Some(self.hard_state.term) {
            return;
        }
        self.commit_to(index);
        self.confirm_reads();
        self.step_down_if_removed();
    }

    /// Gets the largest value that a quorum of voters has reached.
    pub(crate) fn quorum_value(&self, value: impl Fn(ReplicaId) -> u64) -> u64 {
        let mut values: Vec<u64> = self.log.voters().iter().map(|id| value(*id)).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.quorum() - 1).copied().unwrap_or_default()
    }
}

fn record_append_answer(progress: &mut Progress, success: bool, index: u64, round: u64) {
    progress.round = progress.round.max(round);
    if success {
        progress.record_match(index);
    } else {
        progress.record_mismatch(index);
    }
}
