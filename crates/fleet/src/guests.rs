//! Tasks that this host runs for its peers.

use std::sync::Arc;
use std::time::Duration;

use hornbeam_core::event::Event;
use hornbeam_core::ids::HostId;

use crate::fleet::Fleet;
use crate::io::{RunEnd, Subject};
use crate::job::RunId;
use crate::peer::{PeerMessage, TaskChunk};
use crate::worker::WorkerKey;

/// `Guest` is a task of a peer, which waits for room or runs.
#[derive(Clone, Debug)]
pub(crate) struct Guest {
    /// Host whose job it is part of.
    pub(crate) origin: HostId,
    /// Worker that runs it; `None` while it waits.
    pub(crate) worker: Option<WorkerKey>,
    /// Rank among what waits; the smallest comes first.
    pub(crate) urgency: Duration,
    /// Until when it may wait.
    pub(crate) start_by: Duration,
    /// What the task is, without the list of tasks.
    pub(crate) chunk: Arc<TaskChunk>,
    /// When it is over, if its worker is no longer owned.
    pub(crate) over_at: Option<Duration>,
}

impl Fleet {
    /// Takes the tasks of a peer: they start as soon as there is room, and are
    /// sent back if there is none in time. A chunk that was long on its way is
    /// sent back as well, because its origin may have started the tasks
    /// elsewhere.
    pub(crate) fn on_chunk(&mut self, origin: &HostId, mut chunk: TaskChunk, is_recent: bool) {
        // A peer that has not taken a batch lately may have given up tasks
        // here, and would not hear of their ends.
        let is_confirmed = self
            .peers
            .get(origin)
            .is_some_and(|peer| peer.is_confirmed(self.now));
        let tasks = std::mem::take(&mut chunk.tasks);
        let runs: Vec<RunId> = tasks
            .iter()
            .map(|task| RunId {
                job: chunk.job,
                task: task.task,
                attempt: task.attempt,
            })
            .collect();
        if !is_recent || !is_confirmed || self.drain_started.is_some() {
            return self.send_back(origin, runs);
        }
        let start_by = self.now + Duration::from_millis(chunk.start_within_ms);
        let urgency = start_by.saturating_sub(Duration::from_millis(chunk.lead_ms));
        let chunk = Arc::new(chunk);
        for run in runs {
            if self.guests.contains_key(&run) {
                continue;
            }
            let guest = Guest {
                origin: origin.clone(),
                worker: None,
                urgency,
                start_by,
                chunk: Arc::clone(&chunk),
                over_at: None,
            };
            self.guests.insert(run, guest);
            self.waiting_guests.insert((urgency, run));
        }
    }

    /// Starts a waiting task of a peer; false if there is no room for it.
    pub(crate) fn start_guest(&mut self, run: RunId) -> bool {
        let Some(guest) = self.guests.get(&run) else {
            return true;
        };
        let chunk = Arc::clone(&guest.chunk);
        let Some(worker) = self.choose_worker(&chunk.service, &chunk.need, None) else {
            return false;
        };
        self.waiting_guests.remove(&(guest.urgency, run));
        if let Some(guest) = self.guests.get_mut(&run) {
            guest.worker = Some(worker);
        }
        let expected = Duration::from_millis(chunk.expected_ms);
        self.start_run(worker, run, chunk.spec.clone(), chunk.need, expected);
        true
    }

    /// Sends tasks back that have waited for as long as they may.
    pub(crate) fn refuse_late_guests(&mut self) {
        let is_late = |run: &RunId| {
            let guest = self.guests.get(run);
            guest.is_some_and(|guest| guest.start_by <= self.now)
        };
        let waiting = self.waiting_guests.iter().copied();
        let late: Vec<(Duration, RunId)> = waiting.filter(|(_, run)| is_late(run)).collect();
        for (urgency, run) in late {
            self.waiting_guests.remove(&(urgency, run));
            if let Some(guest) = self.guests.swap_remove(&run) {
                self.send_back(&guest.origin, vec![run]);
            }
        }
    }

    /// Sends all waiting tasks of peers back, because this host drains.
    pub(crate) fn send_back_waiting(&mut self) {
        for (_, run) in std::mem::take(&mut self.waiting_guests) {
            if let Some(guest) = self.guests.swap_remove(&run) {
                self.send_back(&guest.origin, vec![run]);
            }
        }
    }

    fn send_back(&mut self, origin: &HostId, runs: Vec<RunId>) {
        if let Some(peer) = self.peers.get_mut(origin) {
            peer.push(PeerMessage::Refused(runs));
            peer.want_status();
        }
    }

    /// Stops runs that their origin no longer wants.
    pub(crate) fn on_stop_guests(&mut self, runs: &[RunId]) {
        for run in runs {
            self.stop_guest(*run);
        }
    }

    fn stop_guest(&mut self, run: RunId) {
        let Some(guest) = self.guests.get(&run) else {
            return;
        };
        match guest.worker {
            Some(worker) => self.want_stop(worker, run),
            None => {
                self.waiting_guests.remove(&(guest.urgency, run));
                self.guests.swap_remove(&run);
            }
        }
    }

    /// Stops the runs for an origin that may have given them up.
    pub(crate) fn stop_guests_of(&mut self, origin: &HostId) {
        let theirs: Vec<RunId> = self
            .guests
            .iter()
            .filter(|(_, guest)| guest.origin == *origin)
            .map(|(run, _)| *run)
            .collect();
        for run in theirs {
            self.stop_guest(run);
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
