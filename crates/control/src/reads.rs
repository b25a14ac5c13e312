//! Linearizable reads: the leader confirms by a heartbeat round that it still
//! leads.

use std::collections::VecDeque;

use crate::io::{ReadId, ReplicaOutput};
use crate::replica::{Replica, Role};

/// `PendingReads` are the reads that wait for a heartbeat round, oldest first.
#[derive(Debug, Default)]
pub(crate) struct PendingReads {
    pending: VecDeque<PendingRead>,
}

#[derive(Debug)]
struct PendingRead {
    id: ReadId,
    round: u64,
}

impl Replica {
    pub(crate) fn on_read(&mut self, id: ReadId) {
        let Role::Leader(leader_state) = &mut self.role else {
            return self.complete_read(id, false);
        };
        // Only a round that starts after the read proves that this replica
        // was still the leader when the read arrived.
        let round = leader_state.round + 1;
        leader_state
            .reads
            .pending
            .push_back(PendingRead { id, round });
        self.start_read_round();
    }

    /// Completes the reads whose round a quorum has answered. The first entry of
    /// the term must be committed, because only then does the commit index cover
    /// everything that earlier leaders committed.
    pub(crate) fn confirm_reads(&mut self) {
        let confirmed_round = self.confirmed_round();
        let commit_index = self.commit_index;
        let Role::Leader(leader_state) = &mut self.role else {
            return;
        };
        if commit_index < leader_state.first_index {
            return;
        }
        let pending = &mut leader_state.reads.pending;
        let mut confirmed = Vec::new();
        while let Some(read) = pending.pop_front_if(|read| read.round <= confirmed_round) {
            confirmed.push(read.id);
        }
        for id in confirmed {
            self.complete_read(id, true);
        }
        self.start_read_round();
    }

    /// Starts a round if the oldest read waits for one that has not started.
    /// Reads that arrive during a round share the next one.
    fn start_read_round(&mut self) {
        let Role::Leader(leader_state) = &self.role else {
            return;
        };
        let oldest = leader_state.reads.pending.front();
        if oldest.is_some_and(|read| read.round > leader_state.round) {
            self.start_heartbeat_round();
        }
    }

    /// Fails all pending reads of a leader that stepped down.
    pub(crate) fn fail_pending_reads(&mut self, reads: PendingReads) {
        for read in reads.pending {
            self.complete_read(read.id, false);
        }
    }

    fn complete_read(&mut self, id: ReadId, confirmed: bool) {
        self.outputs
            .push(ReplicaOutput::ReadCompleted(id, confirmed));
    }

    /// Gets the latest round that a quorum of voters has answered.
    fn confirmed_round(&self) -> u64 {
        let Role::Leader(leader_state) = &self.role else {
            return 0;
        };
        self.quorum_value(|id| match leader_state.progress.get(&id) {
            Some(progress) => progress.round,
            None if id == self.options.id => leader_state.round,
            None => 0,
        })
    }
}
