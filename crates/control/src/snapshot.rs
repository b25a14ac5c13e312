//! Snapshots: compaction of the log and installation of a received snapshot.

use hornbeam_core::event::Event;

use crate::io::SnapshotData;
use crate::replica::Replica;
use crate::state::ControlState;

/// Encoded size of the entries after the snapshot that triggers the next one,
/// whatever their number. It bounds the memory used by large configurations.
const SNAPSHOT_LOG_BYTES: u64 = 16 << 20;

/// Size of the newest snapshot above which the next one waits until the log has
/// grown by as much. A snapshot contains every claim of about 90 s. With
/// thousands of claims per second, a snapshot every `snapshot_entries` entries
/// writes many times the bytes of the log and delays the entries queued after it.
const SMALL_SNAPSHOT_BYTES: u64 = 1 << 20;

/// Divisor of `snapshot_entries` that gives the number of compacted entries kept
/// in memory, so that a follower slightly behind does not need the snapshot.
const TRAILING_DIVISOR: u64 = 16;

impl Replica {
    /// Compacts the applied entries into a snapshot once there are enough.
    pub(crate) fn take_snapshot_if_due(&mut self) {
        let applied = self.commit_index - self.log.snapshot().index;
        let is_long = applied >= self.options.snapshot_entries.max(1);
        let is_large = applied > 0 && self.log.bytes_after_snapshot() >= SNAPSHOT_LOG_BYTES;
        if !is_long && !is_large || !self.log_exceeds_snapshot() {
            return;
        }
        let Ok(state) = self.state.encode() else {
            return;
        };
        let index = self.commit_index;
        let snapshot = SnapshotData {
            index,
            term: self.log.term_at(index).unwrap_or_default(),
            voters: self.log.voters_at(index),
            state,
        };
        self.persist.put_snapshot(snapshot.clone());
        let trailing = self.options.snapshot_entries / TRAILING_DIVISOR;
        self.log.compact(snapshot, trailing);
        self.log_event(Event::SnapshotWritten, format!("snapshot at index {index}"));
    }

    /// Whether the log after the newest snapshot is large enough for a new one.
    fn log_exceeds_snapshot(&self) -> bool {
        let snapshot_bytes = self.log.snapshot().state.len() as u64;
        snapshot_bytes <= SMALL_SNAPSHOT_BYTES || self.log.bytes_after_snapshot() >= snapshot_bytes
    }

    /// Installs a snapshot that is newer than the applied state; false if its
    /// state cannot be decoded.
    pub(crate) fn install_snapshot(&mut self, snapshot: SnapshotData) -> bool {
        let Ok(state) = ControlState::decode(&snapshot.state) else {
            return false;
        };
        let index = snapshot.index;
        self.state = state;
        self.commit_index = index;
        self.persist.put_snapshot(snapshot.clone());
        self.log.install(snapshot);
        if self.log.last_index() == index {
            self.persist.reset_to(index);
        }
        true
    }
}
