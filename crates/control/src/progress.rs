//! Replication progress of another replica, as seen by the leader.

use std::time::Duration;

/// `Progress` is the replication progress of one follower or learner.
#[derive(Debug)]
pub(crate) struct Progress {
    /// Last index that is known to match and to be synced on the replica.
    pub(crate) match_index: u64,
    /// Index of the next entry to send.
    pub(crate) next_index: u64,
    /// Latest heartbeat round that was answered.
    pub(crate) round: u64,
    /// Time of the last answer.
    pub(crate) last_contact: Duration,
    /// Batch of entries or part of a snapshot that is not acknowledged yet.
    pub(crate) in_flight: Option<InFlight>,
    /// Index of the snapshot being transferred, and its bytes received so far.
    snapshot_transfer: Option<(u64, u64)>,
}

/// `InFlight` is a batch of entries or a part of a snapshot in flight.
#[derive(Debug)]
pub(crate) struct InFlight {
    /// Last index that it covers.
    pub(crate) last_index: u64,
    /// Time at which it was sent.
    pub(crate) sent_at: Duration,
}

impl Progress {
    /// Creates the progress of a replica whose log is not known yet.
    pub(crate) fn new(next_index: u64, now: Duration) -> Self {
        Self {
            match_index: 0,
            next_index,
            round: 0,
            last_contact: now,
            in_flight: None,
            snapshot_transfer: None,
        }
    }

    /// Gets the offset of the next part of a snapshot in bytes.
    pub(crate) fn snapshot_offset(&self, index: u64) -> usize {
        let current = self
            .snapshot_transfer
            .filter(|(transferred, _)| *transferred == index);
        current.map_or(0, |(_, received_bytes)| {
            usize::try_from(received_bytes).unwrap_or(usize::MAX)
        })
    }

    /// Records how much of a snapshot was received; false if nothing changed, as
    /// with the answer to a duplicated part.
    pub(crate) fn record_snapshot_offset(&mut self, index: u64, received_bytes: u64) -> bool {
        if self.snapshot_transfer == Some((index, received_bytes)) {
            return false;
        }
        self.snapshot_transfer = Some((index, received_bytes));
        self.in_flight = None;
        true
    }

    /// Records that the log matches up to an index.
    pub(crate) fn record_match(&mut self, index: u64) {
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(self.match_index + 1);
        let is_acknowledged = |batch: &InFlight| batch.last_index <= self.match_index;
        if self.in_flight.as_ref().is_some_and(is_acknowledged) {
            self.in_flight = None;
        }
    }

    /// Records that the log did not match; `hint` is the index to try next. A
    /// stale answer cannot move the next index behind a known match.
    pub(crate) fn record_mismatch(&mut self, hint: u64) {
        let earlier = self.next_index.saturating_sub(1);
        self.next_index = hint.min(earlier).max(self.match_index + 1);
        self.in_flight = None;
    }
}
