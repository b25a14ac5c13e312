//! What a leader knows about the log of another replica.

use std::time::Duration;

/// `Progress` tracks one follower or learner.
#[derive(Debug)]
pub(crate) struct Progress {
    /// Last index that is known to match and to be synced there.
    pub(crate) match_index: u64,
    /// Index of the next entry to send.
    pub(crate) next_index: u64,
    /// Largest round of heartbeats that was answered.
    pub(crate) round: u64,
    /// Time of the last answer.
    pub(crate) heard_at: Duration,
    /// Batch or part of a snapshot that has no answer yet.
    pub(crate) in_flight: Option<InFlight>,
    /// Snapshot under way, by its index, and the bytes of it that arrived.
    snapshot: Option<(u64, u64)>,
}

/// `InFlight` is a batch of entries or a part of a snapshot on its way.
#[derive(Debug)]
pub(crate) struct InFlight {
    /// Last index that it brings.
    pub(crate) last_index: u64,
    /// When it was sent.
    pub(crate) sent_at: Duration,
}

impl Progress {
    /// Creates the progress of a replica of which nothing is known.
    pub(crate) fn new(next_index: u64, now: Duration) -> Self {
        Self {
            match_index: 0,
            next_index,
            round: 0,
            heard_at: now,
            in_flight: None,
            snapshot: None,
        }
    }

    /// Gets where the next part of a snapshot starts, in bytes.
    pub(crate) fn snapshot_offset(&self, index: u64) -> usize {
        let under_way = self.snapshot.filter(|(under_way, _)| *under_way == index);
        under_way.map_or(0, |(_, arrived_bytes)| {
            usize::try_from(arrived_bytes).unwrap_or(usize::MAX)
        })
    }

    /// Notes how much of a snapshot arrived; false if that is nothing new, as
    /// with the answer to a part that was sent twice.
    pub(crate) fn ask_snapshot_part(&mut self, index: u64, arrived_bytes: u64) -> bool {
        if self.snapshot == Some((index, arrived_bytes)) {
            return false;
        }
        self.snapshot = Some((index, arrived_bytes));
        self.in_flight = None;
        true
    }

    /// Notes that the log matches up to an index.
    pub(crate) fn matched(&mut self, index: u64) {
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(self.match_index + 1);
        let arrived = |batch: &InFlight| batch.last_index <= self.match_index;
        if self.in_flight.as_ref().is_some_and(arrived) {
            self.in_flight = None;
        }
    }

    /// Notes that the log did not match; `hint` is where to try next. An
    /// answer that is older than a match has no effect.
    pub(crate) fn mismatched(&mut self, hint: u64) {
        let earlier = self.next_index.saturating_sub(1);
        self.next_index = hint.min(earlier).max(self.match_index + 1);
        self.in_flight = None;
    }
}
