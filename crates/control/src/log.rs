//! The log in memory.

use std::collections::VecDeque;

use hornbeam_core::ids::ReplicaId;

use crate::codec;
use crate::command::Command;
use crate::io::{Entry, SnapshotData};

/// Maximum encoded size of one entry in bytes. A configuration of 720 teams
/// takes about 60 KB.
pub const MAX_ENTRY_BYTES: u64 = 4 << 20;

/// `Log` is the newest snapshot, the entries after it and some before it.
#[derive(Debug)]
pub(crate) struct Log {
    snapshot: SnapshotData,
    base_index: u64,
    base_term: u64,
    entries: VecDeque<StoredEntry>,
    voter_sets: Vec<VoterSet>,
    bytes_after_snapshot: u64,
}

#[derive(Debug)]
struct StoredEntry {
    entry: Entry,
    bytes: u64,
}

/// `VoterSet` is a set of voters and the index of the entry that set it.
#[derive(Debug)]
struct VoterSet {
    index: u64,
    voters: Vec<ReplicaId>,
}

impl Log {
    /// Creates a log from a snapshot and the entries after it.
    pub(crate) fn new(snapshot: SnapshotData, entries: Vec<Entry>) -> Self {
        let mut log = Self {
            base_index: snapshot.index,
            base_term: snapshot.term,
            entries: VecDeque::new(),
            voter_sets: vec![VoterSet {
                index: snapshot.index,
                voters: snapshot.voters.clone(),
            }],
            bytes_after_snapshot: 0,
            snapshot,
        };
        entries.into_iter().for_each(|entry| log.append(entry));
        log
    }

    /// Gets the newest snapshot.
    pub(crate) fn snapshot(&self) -> &SnapshotData {
        &self.snapshot
    }

    /// Gets the encoded size of the entries after the snapshot.
    pub(crate) fn bytes_after_snapshot(&self) -> u64 {
        self.bytes_after_snapshot
    }

    /// Gets the index before the first entry in memory.
    pub(crate) fn base_index(&self) -> u64 {
        self.base_index
    }

    pub(crate) fn last_index(&self) -> u64 {
        self.base_index + self.entries.len() as u64
    }

    /// Gets the term of the last entry.
    pub(crate) fn last_term(&self) -> u64 {
        let last = self.entries.back();
        last.map_or(self.base_term, |stored| stored.entry.term)
    }

    /// Gets the term of an entry that is in memory or directly before the first.
    pub(crate) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Gets an entry, if it is in memory.
    pub(crate) fn get(&self, index: u64) -> Option<&Entry> {
        let position = index.checked_sub(self.base_index + 1)?;
        let stored = self.entries.get(position as usize);
        stored.map(|stored| &stored.entry)
    }

    /// Gets the first index of the run of entries up to `index` that have the
    /// same term, as far as they are in memory.
    pub(crate) fn first_index_of_term(&self, index: u64) -> u64 {
        let term = self.term_at(index);
        let mut first = index;
        while first > self.base_index + 1 && self.term_at(first - 1) == term {
            first -= 1;
        }
        first
    }

    /// Gets the entries from an index on, as many as fit into `max_bytes` but at
    /// least one if there is any.
    pub(crate) fn entries_from(&self, from: u64, max_bytes: u64) -> Vec<Entry> {
        let skipped = from.saturating_sub(self.base_index + 1) as usize;
        let mut bytes = 0;
        self.entries
            .iter()
            .skip(skipped)
            .take_while(|stored| {
                let fits = bytes == 0 || bytes + stored.bytes <= max_bytes;
                bytes += stored.bytes;
                fits
            })
            .map(|stored| stored.entry.clone())
            .collect()
    }

    /// Appends an entry at the next index.
    pub(crate) fn append(&mut self, entry: Entry) {
        let bytes = codec::encoded_size(&entry);
        if let Command::Members(members) = &entry.command {
            self.voter_sets.push(VoterSet {
                index: entry.index,
                voters: members.voters.clone(),
            });
        }
        self.bytes_after_snapshot += bytes;
        self.entries.push_back(StoredEntry { entry, bytes });
    }

    /// Removes all entries from an index on. They are not committed and thus
    /// after the snapshot.
    pub(crate) fn truncate_from(&mut self, index: u64) {
        while self.last_index() >= index {
            let Some(removed) = self.entries.pop_back() else {
                break;
            };
            self.bytes_after_snapshot -= removed.bytes;
        }
        self.voter_sets.retain(|set| set.index < index);
    }

    /// Gets the voters set by the last membership entry, committed or not.
    pub(crate) fn voters(&self) -> &[ReplicaId] {
        self.voter_sets.last().map_or(&[], |last| &last.voters)
    }

    /// Gets the index of the entry that set the current voters.
    pub(crate) fn voters_index(&self) -> u64 {
        self.voter_sets.last().map_or(0, |last| last.index)
    }

    /// Gets the voters as of an index.
    pub(crate) fn voters_at(&self, index: u64) -> Vec<ReplicaId> {
        let mut before = self.voter_sets.iter().rev();
        let found = before.find(|set| set.index <= index);
        found.map_or_else(Vec::new, |set| set.voters.clone())
    }

    /// Compacts the log to a snapshot of the applied state, but keeps the last
    /// `trailing` entries that it covers.
    pub(crate) fn compact(&mut self, snapshot: SnapshotData, trailing: u64) {
        let base_index = snapshot.index.saturating_sub(trailing);
        while self.base_index < base_index {
            let Some(removed) = self.entries.pop_front() else {
                break;
            };
            self.base_index = removed.entry.index;
            self.base_term = removed.entry.term;
        }
        self.drop_voter_sets_before(&snapshot);
        let kept = (snapshot.index - self.base_index) as usize;
        let after = self.entries.iter().skip(kept);
        self.bytes_after_snapshot = after.map(|stored| stored.bytes).sum();
        self.snapshot = snapshot;
    }

    /// Replaces the log by a snapshot from the leader. Later entries are kept if
    /// the log contains the last entry of the snapshot.
    pub(crate) fn install(&mut self, snapshot: SnapshotData) {
        let matches = self.term_at(snapshot.index) == Some(snapshot.term);
        if matches {
            return self.compact(snapshot, 0);
        }
        *self = Self::new(snapshot, Vec::new());
    }

    fn drop_voter_sets_before(&mut self, snapshot: &SnapshotData) {
        self.voter_sets.retain(|set| set.index > snapshot.index);
        let base = VoterSet {
            index: snapshot.index,
            voters: snapshot.voters.clone(),
        };
        self.voter_sets.insert(0, base);
    }
}
