//! The log in memory.

use std::collections::VecDeque;

use hornbeam_core::ids::ReplicaId;

use crate::codec;
use crate::command::Command;
use crate::io::{Entry, SnapshotData};

/// Largest encoded size of one entry in bytes. A configuration of 720 teams
/// has some 60 KB.
pub const MAX_ENTRY_BYTES: u64 = 4 << 20;

/// `Log` is the newest snapshot, the entries after it and a few before it.
#[derive(Debug)]
pub(crate) struct Log {
    snapshot: SnapshotData,
    base_index: u64,
    base_term: u64,
    entries: VecDeque<StoredEntry>,
    members: Vec<MembersAt>,
    bytes_after_snapshot: u64,
}

#[derive(Debug)]
struct StoredEntry {
    entry: Entry,
    bytes: u64,
}

/// `MembersAt` is a set of voters and the index of the entry that made it.
#[derive(Debug)]
struct MembersAt {
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
            members: vec![MembersAt {
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

    /// Gets the last index.
    pub(crate) fn last_index(&self) -> u64 {
        self.base_index + self.entries.len() as u64
    }

    /// Gets the term of the last entry.
    pub(crate) fn last_term(&self) -> u64 {
        let last = self.entries.back();
        last.map_or(self.base_term, |stored| stored.entry.term)
    }

    /// Gets the term of an entry, if it is in memory or right before.
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

    /// Gets the first index in memory from which on all entries up to `index`
    /// have its term.
    pub(crate) fn first_index_of_term(&self, index: u64) -> u64 {
        let term = self.term_at(index);
        let mut first = index;
        while first > self.base_index + 1 && self.term_at(first - 1) == term {
            first -= 1;
        }
        first
    }

    /// Gets the entries from an index on: at least one if there is any, and
    /// then as many as fit into `max_bytes`.
    pub(crate) fn batch(&self, from: u64, max_bytes: u64) -> Vec<Entry> {
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
        let bytes = codec::encoded_bytes(&entry);
        if let Command::Members(members) = &entry.command {
            self.members.push(MembersAt {
                index: entry.index,
                voters: members.voters.clone(),
            });
        }
        self.bytes_after_snapshot += bytes;
        self.entries.push_back(StoredEntry { entry, bytes });
    }

    /// Removes all entries from an index on. They are not committed, hence
    /// after the snapshot.
    pub(crate) fn truncate_from(&mut self, index: u64) {
        while self.last_index() >= index {
            let Some(removed) = self.entries.pop_back() else {
                break;
            };
            self.bytes_after_snapshot -= removed.bytes;
        }
        self.members.retain(|members| members.index < index);
    }

    /// Gets the voters by the last entry that sets them, committed or not.
    pub(crate) fn voters(&self) -> &[ReplicaId] {
        self.members.last().map_or(&[], |last| &last.voters)
    }

    /// Gets the index of the entry that set the present voters.
    pub(crate) fn voters_index(&self) -> u64 {
        self.members.last().map_or(0, |last| last.index)
    }

    /// Gets the voters as of an index.
    pub(crate) fn voters_at(&self, index: u64) -> Vec<ReplicaId> {
        let mut before = self.members.iter().rev();
        let found = before.find(|members| members.index <= index);
        found.map_or_else(Vec::new, |members| members.voters.clone())
    }

    /// Puts a snapshot of the own state in place and drops the entries before
    /// its last `trailing` ones.
    pub(crate) fn compact(&mut self, snapshot: SnapshotData, trailing: u64) {
        let base_index = snapshot.index.saturating_sub(trailing);
        while self.base_index < base_index {
            let Some(removed) = self.entries.pop_front() else {
                break;
            };
            self.base_index = removed.entry.index;
            self.base_term = removed.entry.term;
        }
        self.forget_members_before(&snapshot);
        let kept = (snapshot.index - self.base_index) as usize;
        let after = self.entries.iter().skip(kept);
        self.bytes_after_snapshot = after.map(|stored| stored.bytes).sum();
        self.snapshot = snapshot;
    }

    /// Replaces the log by a leader's snapshot. Entries after it stay if the
    /// log holds the last entry of the snapshot.
    pub(crate) fn install(&mut self, snapshot: SnapshotData) {
        let matches = self.term_at(snapshot.index) == Some(snapshot.term);
        if matches {
            return self.compact(snapshot, 0);
        }
        *self = Self::new(snapshot, Vec::new());
    }

    fn forget_members_before(&mut self, snapshot: &SnapshotData) {
        self.members
            .retain(|members| members.index > snapshot.index);
        let base = MembersAt {
            index: snapshot.index,
            voters: snapshot.voters.clone(),
        };
        self.members.insert(0, base);
    }
}
