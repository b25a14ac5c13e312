//! Times at which the dispatcher has something to do.

use std::collections::BTreeSet;
use std::time::Duration;

use hornbeam_core::ids::{ChunkId, HostId, Incarnation, ServerId};

use crate::keys::{JobKey, ServerKey, TeamKey};

/// `Timer` is what to do at a time.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Timer {
    /// The lease of a server ends.
    Lease(ServerKey),
    /// An ejected server gets a single task.
    Trial(ServerKey),
    /// The record of a server that left is dropped.
    Forget(ServerKey),
    /// The withdrawal of a server without a lease is forgotten.
    ForgetWithdrawal(ServerId, Incarnation),
    /// The deadline of a job passes.
    Deadline(JobKey),
    /// The status of a peer is overdue.
    Peer(HostId),
    /// The limit of a team may be raised again.
    Quota(TeamKey),
    /// The record of a chunk that a peer had forwarded is dropped.
    ForgetChunk(HostId, ChunkId),
}

/// `Timers` holds every pending timer in order of time.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    pending: BTreeSet<(Duration, Timer)>,
}

impl Timers {
    /// Adds a timer.
    pub(crate) fn set(&mut self, at: Duration, timer: Timer) {
        self.pending.insert((at, timer));
    }

    /// Removes a timer that was set for this time.
    pub(crate) fn clear(&mut self, at: Duration, timer: Timer) {
        self.pending.remove(&(at, timer));
    }

    /// Gets the time of the first timer.
    pub(crate) fn first(&self) -> Option<Duration> {
        self.pending.first().map(|(at, _)| *at)
    }

    /// Removes and returns the first timer that is due.
    pub(crate) fn pop_due(&mut self, now: Duration) -> Option<Timer> {
        let due = self.first().is_some_and(|at| at <= now);
        due.then(|| self.pending.pop_first())?
            .map(|(_, timer)| timer)
    }
}
