//! Transfer of a snapshot in parts to a replica that is behind the log.
//!
//! Parts keep a snapshot of any size within the message limit of a link and let
//! heartbeats pass between them. The receiver assembles the parts in memory and
//! requests the next one. A lost part is retransmitted after the same timeout as
//! a lost batch of entries.

use hornbeam_core::ids::ReplicaId;

use crate::io::{Message, SnapshotData, SnapshotPart};
use crate::record::MAX_RECORD_BYTES;
use crate::replica::{Replica, Role};

/// Maximum size of a part in bytes, equal to that of a batch of entries.
const MAX_PART_BYTES: usize = 1 << 20;

/// `IncomingSnapshot` is a snapshot of which the first parts were received.
#[derive(Debug)]
pub(crate) struct IncomingSnapshot {
    from: ReplicaId,
    leader_term: u64,
    snapshot: SnapshotData,
}

impl IncomingSnapshot {
    fn matches(&self, from: ReplicaId, leader_term: u64, part: &SnapshotPart) -> bool {
        let snapshot = &self.snapshot;
        let same_snapshot = (snapshot.index, snapshot.term) == (part.index, part.term);
        same_snapshot && self.from == from && self.leader_term == leader_term
    }

    /// Appends a part if it is the next one.
    fn append(&mut self, part: &SnapshotPart) {
        let is_next = self.snapshot.state.len() as u64 == part.offset_bytes;
        let after = part.offset_bytes + part.bytes.len() as u64;
        if is_next && after <= part.total_bytes {
            self.snapshot.state.extend_from_slice(&part.bytes);
        }
    }
}

impl Replica {
    /// Sends the part of the newest snapshot that a replica requested last.
    pub(crate) fn send_snapshot_part(&mut self, to: ReplicaId, round: u64) {
        let snapshot = self.log.snapshot();
        let offset = match &self.role {
            Role::Leader(leader_state) => leader_state
                .progress
                .get(&to)
                .map_or(0, |progress| progress.snapshot_offset(snapshot.index)),
            _ => return,
        };
        let start = offset.min(snapshot.state.len());
        let end = snapshot.state.len().min(start + MAX_PART_BYTES);
        let part = SnapshotPart {
            index: snapshot.index,
            term: snapshot.term,
            voters: snapshot.voters.clone(),
            total_bytes: snapshot.state.len() as u64,
            offset_bytes: start as u64,
            bytes: snapshot.state[start..end].to_vec(),
        };
        let term = self.hard_state.term;
        self.send(to, Message::SnapshotPart { term, part, round });
    }

    pub(crate) fn on_snapshot_part(
        &mut self,
        from: ReplicaId,
        term: u64,
        part: SnapshotPart,
        round: u64,
    ) {
        if term < self.hard_state.term {
            return self.answer_append(from, false, self.log.last_index() + 1, round);
        }
        self.become_follower(term, Some(from));
        if part.index <= self.commit_index {
            self.incoming_snapshot = None;
            return self.answer_append(from, true, self.commit_index, round);
        }
        if part.total_bytes > MAX_RECORD_BYTES as u64 {
            return;
        }
        self.collect_part(from, term, part, round);
    }

    fn collect_part(&mut self, from: ReplicaId, leader_term: u64, part: SnapshotPart, round: u64) {
        let mut incoming = match self.incoming_snapshot.take() {
            Some(incoming) if incoming.matches(from, leader_term, &part) => incoming,
            _ => IncomingSnapshot {
                from,
                leader_term,
                snapshot: SnapshotData {
                    index: part.index,
                    term: part.term,
                    voters: part.voters.clone(),
                    state: Vec::new(),
                },
            },
        };
        incoming.append(&part);
        let received_bytes = incoming.snapshot.state.len() as u64;
        if received_bytes < part.total_bytes {
            self.incoming_snapshot = Some(incoming);
            let answer = Message::SnapshotPartAnswer {
                term: self.hard_state.term,
                index: part.index,
                next_offset_bytes: received_bytes,
                round,
            };
            return self.send(from, answer);
        }
        // A snapshot that cannot be decoded is not acknowledged, so that the
        // leader does not count it as replicated.
        if self.install_snapshot(incoming.snapshot) {
            self.answer_append(from, true, part.index, round);
        }
    }

    pub(crate) fn on_snapshot_part_answer(
        &mut self,
        from: ReplicaId,
        term: u64,
        requested: (u64, u64),
        round: u64,
    ) {
        if term > self.hard_state.term {
            return self.become_follower(term, None);
        }
        let now = self.now;
        let is_current = term == self.hard_state.term;
        let Role::Leader(leader_state) = &mut self.role else {
            return;
        };
        let Some(progress) = leader_state.progress.get_mut(&from).filter(|_| is_current) else {
            return;
        };
        progress.last_contact = now;
        progress.round = progress.round.max(round);
        if progress.record_snapshot_offset(requested.0, requested.1) {
            self.send_entries_to(from);
        }
        self.confirm_reads();
    }
}
