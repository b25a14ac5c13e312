//! Tasks that this host runs for its peers.

use std::time::Duration;

use hornbeam_core::event::Event;
use hornbeam_core::ids::HostId;

use crate::fleet::Fleet;
use crate::io::{RunEnd, Subject};
use crate::job::RunId;
use crate::peer::{PeerMessage, TaskChunk};
use crate::worker::WorkerNumber;

/// `Guest` is a run for a peer.
#[derive(Clone, Debug)]
pub(crate) struct Guest {
    /// Host whose job it is part of.
    pub(crate) origin: HostId,
    /// Worker that runs it.
    pub(crate) worker: WorkerNumber,
    /// When it is over, if its worker is no longer owned.
    pub(crate) over_at: Option<Duration>,
}

impl Fleet {
    /// Starts what fits of a peer's tasks and sends the rest back.
    pub(crate) fn on_chunk(&mut self, origin: &HostId, chunk: &TaskChunk) {
        // A peer that has not taken a batch lately may have given up tasks
        // here, and would not hear of their ends.
        let is_confirmed = self
            .peers
            .get(origin)
            .is_some_and(|peer| peer.is_confirmed(self.now));
        let mut refused = Vec::new();
        for task in &chunk.tasks {
            let run = RunId {
                job: chunk.job,
                task: task.task,
                attempt: task.attempt,
            };
            if self.guests.contains_key(&run) {
                continue;
            }
            let worker = self.choose_worker(&chunk.service, &chunk.need, None);
            match worker {
                Some(worker) if is_confirmed && self.drain_started.is_none() => {
                    let guest = Guest {
                        origin: origin.clone(),
                        worker,
                        over_at: None,
                    };
                    self.guests.insert(run, guest);
                    let expected = Duration::from_millis(chunk.expected_ms);
                    self.start_run(worker, run, chunk.spec.clone(), chunk.need, expected);
                }
                _ => refused.push(run),
            }
        }
        if refused.is_empty() {
            return;
        }
        if let Some(peer) = self.peers.get_mut(origin) {
            peer.push(PeerMessage::Refused(refused));
            peer.want_status();
        }
    }

    /// Stops runs that their origin no longer wants.
    pub(crate) fn on_stop_guests(&mut self, runs: &[RunId]) {
        for run in runs {
            if let Some(guest) = self.guests.get(run) {
                self.want_stop(guest.worker, *run);
            }
        }
    }

    /// Stops the runs for an origin that may have given them up.
    pub(crate) fn stop_guests_of(&mut self, origin: &HostId) {
        let theirs: Vec<(RunId, WorkerNumber)> = self
            .guests
            .iter()
            .filter(|(_, guest)| guest.origin == *origin)
            .map(|(run, guest)| (*run, guest.worker))
            .collect();
        for (run, worker) in theirs {
            self.want_stop(worker, run);
        }
    }

    /// Forgets the runs for an origin that has started anew, once stopped.
    pub(crate) fn drop_guests_of(&mut self, origin: &HostId) {
        self.stop_guests_of(origin);
        let before = self.guests.len();
        self.guests.retain(|_, guest| guest.origin != *origin);
        let dropped = before - self.guests.len();
        if dropped > 0 {
            self.log(
                Event::RunLost,
                Subject::Peer(origin.clone()),
                format!("{dropped} runs for host {origin} are stopped: it has started anew"),
            );
        }
    }

    /// Reports runs whose worker is no longer owned and whose lease has ended.
    pub(crate) fn end_orphaned_guests(&mut self) {
        let now = self.now;
        let is_over = |guest: &Guest| guest.over_at.is_some_and(|at| at <= now);
        let over: Vec<RunId> = self
            .guests
            .iter()
            .filter(|(_, guest)| is_over(guest))
            .map(|(run, _)| *run)
            .collect();
        for run in over {
            let Some(guest) = self.guests.swap_remove(&run) else {
                continue;
            };
            if let Some(peer) = self.peers.get_mut(&guest.origin) {
                peer.push(PeerMessage::Ended(run, RunEnd::Lost, 0));
            }
        }
    }
}
