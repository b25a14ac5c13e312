//! Tasks that this host runs for its peers.

use std::sync::Arc;
use std::time::Duration;

use hornbeam_core::event::Event;
use hornbeam_core::ids::HostId;

use crate::fleet::Fleet;
use crate::io::{RunEnd, Subject};
use crate::job::RunId;
use crate::peer_messages::{PeerMessage, TaskChunk};
use crate::placement::Preference;
use crate::worker::WorkerKey;

/// `PeerTask` is a task of a peer's job that waits or runs here.
#[derive(Clone, Debug)]
pub(crate) struct PeerTask {
    /// Host that owns the job.
    pub(crate) origin: HostId,
    /// Worker that runs the task; `None` while it waits.
    pub(crate) worker: Option<WorkerKey>,
    /// Latest start time less the lead of the priority. Tasks are started in
    /// ascending order of this time.
    pub(crate) effective_start_by: Duration,
    /// Time until which the task may wait.
    pub(crate) start_by: Duration,
    /// Description of the task; the list of tasks is empty.
    pub(crate) chunk: Arc<TaskChunk>,
    /// Time by which the run has ended, if its worker is no longer owned.
    pub(crate) ends_by: Option<Duration>,
}

impl Fleet {
    /// Accepts the tasks of a peer. They start as soon as resources are free
    /// and are returned if none are free in time. A chunk that was long in
    /// transit is returned as well, because its origin may have started the
    /// tasks elsewhere.
    pub(crate) fn on_chunk(&mut self, origin: &HostId, mut chunk: TaskChunk, is_recent: bool) {
        // A peer that has not accepted a batch recently may count its tasks here
        // as lost, and would not learn of their ends.
        let has_recent_ack = self
            .peers
            .get(origin)
            .is_some_and(|peer| peer.has_recent_ack(self.now));
        let tasks = std::mem::take(&mut chunk.tasks);
        let runs: Vec<RunId> = tasks
            .iter()
            .map(|task| RunId {
                job: chunk.job,
                task: task.task,
                attempt: task.attempt,
            })
            .collect();
        // Without a configuration this host may not have heard of evacuations either.
        let is_configured = self.queues.is_some();
        if !is_configured || !is_recent || !has_recent_ack || self.drain_started.is_some() {
            return self.return_tasks(origin, runs);
        }
        let (taken, runs) = runs.into_iter().partition(|run| self.has_run(*run));
        self.return_taken_runs(origin, taken);
        let start_by = self.now + Duration::from_millis(chunk.start_within_ms);
        let effective_start_by = start_by.saturating_sub(Duration::from_millis(chunk.lead_ms));
        let chunk = Arc::new(chunk);
        for run in runs {
            let peer_task = PeerTask {
                origin: origin.clone(),
                worker: None,
                effective_start_by,
                start_by,
                chunk: Arc::clone(&chunk),
                ends_by: None,
            };
            self.peer_tasks.insert(run, peer_task);
            self.waiting_peer_tasks.insert((effective_start_by, run));
        }
    }

    /// Whether a run with this id is known here. Hosts number the attempts of a
    /// task by themselves, so a run of an earlier call for the job can have the id
    /// of a new one.
    pub(crate) fn has_run(&self, run: RunId) -> bool {
        let mut workers = self.workers.values();
        self.peer_tasks.contains_key(&run)
            || workers.any(|worker| worker.runs.contains_key(&run))
            || self.is_unsettled(run)
    }

    /// Returns runs whose ids runs of earlier calls still have here. The end of
    /// one would be taken for the end of the other.
    fn return_taken_runs(&mut self, origin: &HostId, runs: Vec<RunId>) {
        let is_repeated = |run: &RunId| {
            let known = self.peer_tasks.get(run);
            known.is_some_and(|peer_task| peer_task.origin == *origin)
        };
        let others: Vec<RunId> = runs.into_iter().filter(|run| !is_repeated(run)).collect();
        if others.is_empty() {
            return;
        }
        for run in &others {
            self.log(
                Event::RunNotStarted,
                Subject::Run(*run),
                format!("run {run} is returned to peer {origin}: a former run has its id"),
            );
        }
        self.return_tasks(origin, others);
    }

    /// Starts a waiting task of a peer; false if no worker has free resources for
    /// it.
    pub(crate) fn start_peer_task(&mut self, run: RunId) -> bool {
        let lease_limit = self.peer_run_limit(run);
        let Some(peer_task) = self.peer_tasks.get(&run) else {
            return true;
        };
        if lease_limit.is_none() {
            return false;
        }
        let chunk = Arc::clone(&peer_task.chunk);
        let expected = Duration::from_millis(chunk.expected_ms);
        // The objective of a peer's job is not known here; the fastest worker comes
        // first.
        let preference = Preference {
            pace: self.pace_order(&chunk.service, expected, Duration::ZERO),
            newcomer: self.peer_newcomer(chunk.need, expected),
            lease_limit,
        };
        let worker = self.choose_worker(&chunk.service, &chunk.need, None, &preference);
        let Some(worker) = worker else {
            return false;
        };
        self.waiting_peer_tasks
            .remove(&(peer_task.effective_start_by, run));
        if let Some(peer_task) = self.peer_tasks.get_mut(&run) {
            peer_task.worker = Some(worker);
        }
        self.start_run(worker, run, chunk.spec.clone(), chunk.need, expected);
        true
    }

    /// Gets the time by which a run for a peer must have ended if nothing more is
    /// heard from its origin; `None` for a run of a job of this host.
    pub(crate) fn peer_run_limit(&self, run: RunId) -> Option<Duration> {
        let origin = &self.peer_tasks.get(&run)?.origin;
        self.peers.get(origin)?.run_limit()
    }

    /// Extends the limits of the runs that an origin still wants.
    pub(crate) fn extend_run_limits(&mut self, origin: &HostId) {
        let Some(limit) = self.peers.get(origin).and_then(|peer| peer.run_limit()) else {
            return;
        };
        for (id, peer_task) in &self.peer_tasks {
            let worker = peer_task.worker.filter(|_| peer_task.origin == *origin);
            let worker = worker.and_then(|worker_key| self.workers.get_mut(&worker_key));
            if let Some(run) = worker.and_then(|worker| worker.runs.get_mut(id))
                && !run.stop_requested
            {
                run.lease_limit = Some(limit);
            }
        }
    }

    /// Sends tasks that have waited as long as they may back to their origins.
    pub(crate) fn return_late_peer_tasks(&mut self) {
        let is_late = |run: &RunId| {
            let peer_task = self.peer_tasks.get(run);
            peer_task.is_some_and(|peer_task| peer_task.start_by <= self.now)
        };
        let waiting = self.waiting_peer_tasks.iter().copied();
        let late: Vec<(Duration, RunId)> = waiting.filter(|(_, run)| is_late(run)).collect();
        self.return_peer_tasks(late);
    }

    /// Sends some of the waiting tasks of peers back to their origins.
    pub(crate) fn return_peer_tasks(&mut self, returned: Vec<(Duration, RunId)>) {
        for (effective_start_by, run) in returned {
            self.waiting_peer_tasks.remove(&(effective_start_by, run));
            if let Some(peer_task) = self.peer_tasks.swap_remove(&run) {
                self.return_tasks(&peer_task.origin, vec![run]);
            }
        }
    }

    /// Sends all waiting tasks of peers back to their origins, because this host
    /// drains.
    pub(crate) fn return_waiting_peer_tasks(&mut self) {
        for (_, run) in std::mem::take(&mut self.waiting_peer_tasks) {
            if let Some(peer_task) = self.peer_tasks.swap_remove(&run) {
                self.return_tasks(&peer_task.origin, vec![run]);
            }
        }
    }

    fn return_tasks(&mut self, origin: &HostId, runs: Vec<RunId>) {
        if let Some(peer) = self.peers.get_mut(origin) {
            peer.push(PeerMessage::Refused(runs));
            peer.schedule_status();
        }
    }

    /// Stops runs that their origin no longer needs. A run of another host can have the
    /// same id, if the caller sent its job to both.
    pub(crate) fn on_stop_peer_tasks(&mut self, origin: &HostId, runs: &[RunId]) {
        for run in runs {
            let known = self.peer_tasks.get(run);
            if known.is_some_and(|peer_task| peer_task.origin == *origin) {
                self.stop_peer_task(*run);
            }
        }
    }

    pub(crate) fn stop_peer_task(&mut self, run: RunId) {
        let Some(peer_task) = self.peer_tasks.get(&run) else {
            return;
        };
        match peer_task.worker {
            Some(worker) => self.request_stop(worker, run),
            None => {
                self.waiting_peer_tasks
                    .remove(&(peer_task.effective_start_by, run));
                self.peer_tasks.swap_remove(&run);
            }
        }
    }

    /// Stops the runs of an origin that may count them as lost.
    pub(crate) fn stop_peer_tasks_of(&mut self, origin: &HostId) {
        let theirs: Vec<RunId> = self
            .peer_tasks
            .iter()
            .filter(|(_, peer_task)| peer_task.origin == *origin)
            .map(|(run, _)| *run)
            .collect();
        for run in theirs {
            self.stop_peer_task(run);
        }
    }

    /// Stops the runs of an origin that has restarted, and removes their
    /// records.
    pub(crate) fn drop_peer_tasks_of(&mut self, origin: &HostId) {
        self.stop_peer_tasks_of(origin);
        let before = self.peer_tasks.len();
        self.peer_tasks
            .retain(|_, peer_task| peer_task.origin != *origin);
        let dropped = before - self.peer_tasks.len();
        if dropped > 0 {
            self.log(
                Event::RunLost,
                Subject::Peer(origin.clone()),
                format!("{dropped} tasks of peer {origin} are stopped: it restarted"),
            );
        }
    }

    /// Reports runs as lost whose worker is no longer owned and whose lease has
    /// expired.
    pub(crate) fn end_orphaned_peer_tasks(&mut self) {
        let now = self.now;
        let has_ended = |peer_task: &PeerTask| peer_task.ends_by.is_some_and(|at| at <= now);
        let ended: Vec<RunId> = self
            .peer_tasks
            .iter()
            .filter(|(_, peer_task)| has_ended(peer_task))
            .map(|(run, _)| *run)
            .collect();
        for run in ended {
            let Some(peer_task) = self.peer_tasks.swap_remove(&run) else {
                continue;
            };
            if let Some(peer) = self.peers.get_mut(&peer_task.origin) {
                peer.push(PeerMessage::Ended(run, RunEnd::Lost, 0));
            }
        }
    }
}
