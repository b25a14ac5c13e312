//! Timers of the dispatcher.

use std::collections::BTreeSet;
use std::time::Duration;

use hornbeam_core::ids::{ChunkId, HostId, Incarnation, ServerId};

use crate::keys::{JobKey, ServerKey, TeamKey};

/// `Timer` is the action of a timer.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Timer {
    /// The lease of a server expires.
    LeaseExpiry(ServerKey),
    /// An ejected server may get a single trial task.
    StartTrial(ServerKey),
    /// The record of a server that left is removed.
    RemoveServer(ServerKey),
    /// The record of a withdrawal without a lease is removed.
    RemoveWithdrawal(ServerId, Incarnation),
    /// The deadline of a job passes.
    JobDeadline(JobKey),
    /// The status of a peer is overdue.
    PeerTimeout(HostId),
    /// The limit of a team may be raised again.
    RaiseLimit(TeamKey),
    /// The record of a chunk that a peer forwarded is removed.
    RemoveChunkRecord(HostId, ChunkId),
}

/// `Timers` holds the pending timers, ordered by time.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    pending: BTreeSet<(Duration, Timer)>,
}

impl Timers {
    pub(crate) fn set(&mut self, due_at: Duration, timer: Timer) {
        self.pending.insert((due_at, timer));
    }

    /// Removes a timer that was set for `due_at`.
    pub(crate) fn clear(&mut self, due_at: Duration, timer: Timer) {
        self.pending.remove(&(due_at, timer));
    }

    /// Gets the time of the earliest timer.
    pub(crate) fn first(&self) -> Option<Duration> {
        self.pending.first().map(|(due_at, _)| *due_at)
    }

    /// Removes and returns the earliest timer if it is due.
    pub(crate) fn pop_due(&mut self, now: Duration) -> Option<Timer> {
        let due = self.first().is_some_and(|due_at| due_at <= now);
        due.then(|| self.pending.pop_first())?
            .map(|(_, timer)| timer)
    }
}
