//! Raft invariants that a simulated group must satisfy at every step.

use std::collections::BTreeMap;

use hornbeam_control::{Command, Message, Replica};
use hornbeam_core::ids::ReplicaId;

/// Observations so far, which no later step may contradict.
#[derive(Debug, Default)]
pub struct Invariants {
    leaders: BTreeMap<u64, ReplicaId>,
    entries_seen: BTreeMap<(u64, u64), Command>,
    committed_terms: BTreeMap<u64, u64>,
    states: BTreeMap<u64, Vec<u8>>,
    commit_indexes: BTreeMap<ReplicaId, u64>,
}

impl Invariants {
    /// Checks that a term has one leader and a commit index has one state.
    pub fn check_step(&mut self, id: ReplicaId, replica: &Replica) {
        let term = replica.term();
        if replica.is_leader() {
            let first = *self.leaders.entry(term).or_insert(id);
            assert_eq!(first, id, "two leaders in term {term}");
        }
        let index = replica.commit_index();
        if self.commit_indexes.insert(id, index) == Some(index) {
            return;
        }
        let state = replica.state().encode().expect("a state encodes");
        let first = self.states.entry(index).or_insert_with(|| state.clone());
        assert!(
            *first == state,
            "replica {id} has another state at index {index}"
        );
    }

    /// Checks that entries with equal index and term are equal, and that the
    /// committed entries at an index have the same term.
    pub fn check_sent(&mut self, message: &Message) {
        let Message::Append {
            entries, commit, ..
        } = message
        else {
            return;
        };
        for entry in entries {
            let key = (entry.index, entry.term);
            let known = self
                .entries_seen
                .entry(key)
                .or_insert_with(|| entry.command.clone());
            assert_eq!(*known, entry.command, "two entries at {key:?}");
            if entry.index <= *commit {
                let term = *self
                    .committed_terms
                    .entry(entry.index)
                    .or_insert(entry.term);
                assert_eq!(term, entry.term, "committed entry {} changed", entry.index);
            }
        }
    }
}
