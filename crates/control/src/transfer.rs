//! Transfer of a snapshot in parts to a replica that lags behind the log.
//!
//! Parts keep a snapshot of any size within the largest message of a link and
//! let heartbeats pass between them. The receiver collects the parts in memory
//! and asks for the next one; a lost part is sent again by the same timer as a
//! lost batch of entries.

use hornbeam_core::ids::ReplicaId;

use crate::io::{Message, SnapshotData, SnapshotPart};
use crate::record::MAX_RECORD_BYTES;
use crate::replica::{Replica, Role};

/// Largest part of a snapshot in bytes, as large as a batch of entries.
const MAX_PART_BYTES: usize = 1 << 20;

/// `IncomingSnapshot` holds the parts of a snapshot that have arrived.
#[derive(Debug)]
pub(crate) struct IncomingSnapshot {
    from: ReplicaId,
    leader_term: u64,
    snapshot: SnapshotData,
}

impl IncomingSnapshot {
    fn is_of(&self, from: ReplicaId, leader_term: u64, part: &SnapshotPart) -> bool {
        let snapshot = &self.snapshot;
        let same_snapshot = (snapshot.index, snapshot.term) == (part.index, part.term);
        same_snapshot && self.from == from && self.leader_term == leader_term
    }

    /// Takes over a part if it is the next one.
    fn append(&mut self, part: &SnapshotPart) {
        let is_next = self.snapshot.state.len() as u64 == part.offset_bytes;
        let after = part.offset_bytes + part.bytes.len() as u64;
        if is_next && after <= part.total_bytes {
            self.snapshot.state.extend_from_slice(&part.bytes);
        }
    }
}

impl Replica {
    /// Sends the part of the newest snapshot that a replica asked for last.
    pub(crate) fn send_snapshot_part(&mut self, to: ReplicaId, round: u64) {
        let snapshot = self.log.snapshot();
        let offset = match &self.role {
            Role::Leader(leadership) => leadership
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
        self.follow(term, Some(from));
        if part.index <= self.commit_index {
            self.incoming = None;
            return self.answer_append(from, true, self.commit_index, round);
        }
        if part.total_bytes > MAX_RECORD_BYTES as u64 {
            return;
        }
        self.collect(from, term, part, round);
    }

    fn collect(&mut self, from: ReplicaId, leader_term: u64, part: SnapshotPart, round: u64) {
        let mut incoming = match self.incoming.take() {
            Some(incoming) if incoming.is_of(from, leader_term, &part) => incoming,
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
        let arrived_bytes = incoming.snapshot.state.len() as u64;
        if arrived_bytes < part.total_bytes {
            self.incoming = Some(incoming);
            let answer = Message::SnapshotPartAnswer {
                term: self.hard_state.term,
                index: part.index,
                next_offset_bytes: arrived_bytes,
                round,
            };
            return self.send(from, answer);
        }
        // A snapshot that cannot be decoded stays unanswered, so that the
        // leader does not count it.
        if self.install_snapshot(incoming.snapshot) {
            self.answer_append(from, true, part.index, round);
        }
    }

    pub(crate) fn on_snapshot_part_answer(
        &mut self,
        from: ReplicaId,
        term: u64,
        asked: (u64, u64),
        round: u64,
    ) {
        if term > self.hard_state.term {
            return self.follow(term, None);
        }
        let now = self.now;
        let is_current = term == self.hard_state.term;
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let Some(progress) = leadership.progress.get_mut(&from).filter(|_| is_current) else {
            return;
        };
        progress.heard_at = now;
        progress.round = progress.round.max(round);
        if progress.ask_snapshot_part(asked.0, asked.1) {
            self.send_entries_to(from);
        }
        self.confirm_reads();
    }
}
