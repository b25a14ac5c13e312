//! Times at which the dispatcher has something to do.

use std::collections::BTreeSet;
use std::time::Duration;

use hornbeam_core::ids::{ChunkId, HostId, Incarnation, ServerId};

use crate::keys::{JobKey, ServerKey, TeamKey};

/// `Timer` is what to do at a time.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Timer {
    /// The lease of a server ends.
    LeaseExpiry(ServerKey),
    /// An ejected server gets a single task.
    StartTrial(ServerKey),
    /// The record of a server that left is dropped.
    RemoveServer(ServerKey),
    /// The withdrawal of a server without a lease is forgotten.
    RemoveWithdrawal(ServerId, Incarnation),
    /// The deadline of a job passes.
    JobDeadline(JobKey),
    /// The status of a peer is overdue.
    PeerTimeout(HostId),
    /// The limit of a team may be raised again.
    RaiseLimit(TeamKey),
    /// The record of a chunk that a peer had forwarded is dropped.
    RemoveChunkRecord(HostId, ChunkId),
}

/// `Timers` holds every pending timer in order of time.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    pending: BTreeSet<(Duration, Timer)>,
}

impl Timers {
    /// Adds a timer.
    pub(crate) fn set(&mut self, due_at: Duration, timer: Timer) {
        self.pending.insert((due_at, timer));
    }

    /// Removes a timer that was set for this time.
    pub(crate) fn clear(&mut self, due_at: Duration, timer: Timer) {
        self.pending.remove(&(due_at, timer));
    }

    /// Gets the time of the first timer.
    pub(crate) fn first(&self) -> Option<Duration> {
        self.pending.first().map(|(due_at, _)| *due_at)
    }

    /// Removes and returns the first timer that is due.
    pub(crate) fn pop_due(&mut self, now: Duration) -> Option<Timer> {
        let due = self.first().is_some_and(|due_at| due_at <= now);
        due.then(|| self.pending.pop_first())?
            .map(|(_, timer)| timer)
    }
}
