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
    /// Batch or snapshot that has no answer yet.
    pub(crate) in_flight: Option<InFlight>,
}

/// `InFlight` is a batch of entries or a snapshot on its way.
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
        }
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
