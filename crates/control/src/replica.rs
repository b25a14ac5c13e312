//! The replica.

use std::time::Duration;

use hornbeam_core::Result;
use hornbeam_core::ids::ReplicaId;

use crate::disk::Recovered;
use crate::io::{ReplicaInput, ReplicaOptions, ReplicaOutput};
use crate::state::ControlState;

/// `Replica` is one member of the control group.
#[derive(Debug)]
pub struct Replica {
    state: ControlState,
}

impl Replica {
    /// Creates a replica from what its disk held.
    ///
    /// # Errors
    /// `Corrupt` if the snapshot cannot be decoded.
    pub fn new(options: ReplicaOptions, recovered: Recovered, now: Duration) -> Result<Self> {
        let _ = (options, recovered, now);
        Ok(Self {
            state: ControlState::default(),
        })
    }

    /// Reacts to one input; `now` is the monotonic time of the process.
    pub fn step(&mut self, now: Duration, input: ReplicaInput) -> Vec<ReplicaOutput> {
        let _ = (now, input);
        Vec::new()
    }

    /// Gets the next time at which a `Tick` has something to do.
    pub fn next_wakeup(&self) -> Duration {
        Duration::MAX
    }

    /// Gets the applied state. It holds only committed entries, but another
    /// replica may have committed more; use `Read` for a current view.
    pub fn state(&self) -> &ControlState {
        &self.state
    }

    /// Gets the leader that this replica knows of.
    pub fn leader(&self) -> Option<ReplicaId> {
        None
    }

    /// Whether this replica leads.
    pub fn is_leader(&self) -> bool {
        false
    }

    /// Gets `leader`, `follower`, `candidate` or `learner`.
    pub fn role_name(&self) -> &'static str {
        "follower"
    }

    /// Gets the current term.
    pub fn term(&self) -> u64 {
        0
    }

    /// Gets the index of the last committed entry.
    pub fn commit_index(&self) -> u64 {
        0
    }

    /// Gets the index of the last entry in the log.
    pub fn last_index(&self) -> u64 {
        0
    }

    /// Gets the voting members.
    pub fn voters(&self) -> &[ReplicaId] {
        &[]
    }
}
