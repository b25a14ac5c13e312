//! Reads: a leader confirms by a round of heartbeats that it still leads.

use std::collections::VecDeque;

use crate::io::{ReadId, ReplicaOutput};
use crate::replica::{Replica, Role};

/// `Reads` are the reads that wait for a round of heartbeats, oldest first.
#[derive(Debug, Default)]
pub(crate) struct Reads {
    waiting: VecDeque<WaitingRead>,
}

#[derive(Debug)]
struct WaitingRead {
    id: ReadId,
    round: u64,
}

impl Replica {
    pub(crate) fn on_read(&mut self, id: ReadId) {
        let Role::Leader(leadership) = &mut self.role else {
            return self.end_read(id, false);
        };
        // Only a round that starts after the read proves that this replica
        // still led when the read arrived.
        let round = leadership.round + 1;
        leadership
            .reads
            .waiting
            .push_back(WaitingRead { id, round });
        self.start_read_round();
    }

    /// Ends the reads whose round a quorum has answered. The first entry of
    /// the term must be committed, as only then the commit index covers
    /// everything that earlier leaders committed.
    pub(crate) fn confirm_reads(&mut self) {
        let confirmed_round = self.confirmed_round();
        let commit_index = self.commit_index;
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        if commit_index < leadership.first_index {
            return;
        }
        let waiting = &mut leadership.reads.waiting;
        let mut confirmed = Vec::new();
        while let Some(read) = waiting.pop_front_if(|read| read.round <= confirmed_round) {
            confirmed.push(read.id);
        }
        for id in confirmed {
            self.end_read(id, true);
        }
        self.start_read_round();
    }

    /// Starts a round if the oldest read waits for one that has not started.
    /// Reads that arrive during a round share the next one.
    fn start_read_round(&mut self) {
        let Role::Leader(leadership) = &self.role else {
            return;
        };
        let oldest = leadership.reads.waiting.front();
        if oldest.is_some_and(|read| read.round > leadership.round) {
            self.start_round();
        }
    }

    /// Ends all reads of a leader that stepped down.
    pub(crate) fn end_reads(&mut self, reads: Reads) {
        for read in reads.waiting {
            self.end_read(read.id, false);
        }
    }

    fn end_read(&mut self, id: ReadId, confirmed: bool) {
        self.outputs
            .push(ReplicaOutput::ReadCompleted(id, confirmed));
    }

    /// Gets the last round that a quorum of voters has answered.
    fn confirmed_round(&self) -> u64 {
        let Role::Leader(leadership) = &self.role else {
            return 0;
        };
        self.quorum_value(|id| match leadership.progress.get(&id) {
            Some(progress) => progress.round,
            None if id == self.options.id => leadership.round,
            None => 0,
        })
    }
}
