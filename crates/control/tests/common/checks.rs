//! What must hold in a simulated group at every step.

use std::collections::BTreeMap;

use hornbeam_control::{Command, Message, Replica};
use hornbeam_core::ids::ReplicaId;

/// Everything seen so far that must not change.
#[derive(Debug, Default)]
pub struct Checks {
    leaders: BTreeMap<u64, ReplicaId>,
    contents: BTreeMap<(u64, u64), Command>,
    committed_terms: BTreeMap<u64, u64>,
    states: BTreeMap<u64, Vec<u8>>,
    commit_indexes: BTreeMap<ReplicaId, u64>,
}

impl Checks {
    /// Checks that a term has one leader and an index has one state.
    pub fn stepped(&mut self, id: ReplicaId, replica: &Replica) {
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

    /// Checks that entries of one index and term are equal, and that those
    /// committed at an index are of one term.
    pub fn sent(&mut self, message: &Message) {
        let Message::Append {
            entries, commit, ..
        } = message
        else {
            return;
        };
        for entry in entries {
            let key = (entry.index, entry.term);
            let known = self
                .contents
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
