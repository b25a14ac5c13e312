//! Fake backend server.

use std::collections::BTreeMap;

use hornbeam_core::api::backend::{
    Announcement, CancelAnswer, CancelRequest, CancelStatus, TaskBatch, TaskCancelStatus, TaskEnd,
    TaskStatus,
};
use hornbeam_core::ids::{JobId, TaskIndex};

use crate::plan::Fault;
use crate::simulation::ExchangeRef;

type TaskKey = (JobId, TaskIndex);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RunState {
    Waiting,
    Running,
    Ended,
    Refused,
}

/// `PendingBatch` is a batch that the server has not answered yet.
#[derive(Clone, Debug)]
pub struct PendingBatch {
    /// Exchange to answer.
    pub exchange: ExchangeRef,
    /// The batch.
    pub batch: TaskBatch,
    /// Fault to inject.
    pub fault: Fault,
    /// Tasks that have ended.
    pub ends: BTreeMap<TaskIndex, TaskEnd>,
}

/// `Backend` is one server across all its incarnations.
#[derive(Debug)]
pub struct Backend {
    /// What it announces now.
    pub announcement: Announcement,
    /// Host that it announces to.
    pub owner: usize,
    /// Expiry of its lease at the owner; `None` without a lease.
    pub lease_until_ms: Option<u64>,
    /// Whether it withdrew in this incarnation.
    pub withdrawn: bool,
    /// Batches that are not answered yet.
    pub pending: Vec<PendingBatch>,
    runs: BTreeMap<TaskKey, RunState>,
}

impl Backend {
    /// Creates a server that has not announced itself.
    pub fn new(announcement: Announcement, owner: usize) -> Self {
        Self {
            announcement,
            owner,
            lease_until_ms: None,
            withdrawn: false,
            pending: Vec::new(),
            runs: BTreeMap::new(),
        }
    }

    /// Restarts without state under a new incarnation, and returns the batches
    /// that are lost.
    pub fn restart(&mut self) -> Vec<PendingBatch> {
        self.announcement.incarnation += 1;
        self.announcement.grant += 1;
        self.lease_until_ms = None;
        self.withdrawn = false;
        self.runs.clear();
        std::mem::take(&mut self.pending)
    }

    /// Receives a batch. Its tasks wait until [`Self::start`] or are refused.
    pub fn receive(&mut self, exchange: ExchangeRef, batch: TaskBatch, fault: Fault) {
        let refused = self.withdrawn
            || batch.incarnation != self.announcement.incarnation
            || batch.grant != self.announcement.grant
            || (!self.announcement.shared && !self.has_free_slots(batch.tasks.len()));
        let mut pending = PendingBatch {
            exchange,
            batch,
            fault,
            ends: BTreeMap::new(),
        };
        for task in &pending.batch.tasks {
            let key = (pending.batch.job_id.clone(), task.index);
            if refused || self.runs.get(&key) == Some(&RunState::Refused) {
                let end = end_of(task.index, TaskStatus::NotStarted, "refused", 0);
                pending.ends.insert(task.index, end);
            } else if self.runs.get(&key) != Some(&RunState::Running) {
                self.runs.insert(key, RunState::Waiting);
            }
        }
        self.pending.push(pending);
    }

    /// Starts the waiting tasks of an exchange unless the start timeout has
    /// passed, and returns those that started.
    pub fn start(&mut self, exchange: ExchangeRef, waited_ms: u64) -> Vec<TaskKey> {
        let Some(pending) = self
            .pending
            .iter_mut()
            .find(|batch| batch.exchange == exchange)
        else {
            return Vec::new();
        };
        let mut started = Vec::new();
        for task in &pending.batch.tasks {
            if pending.ends.contains_key(&task.index) {
                continue;
            }
            let key = (pending.batch.job_id.clone(), task.index);
            if waited_ms > pending.batch.start_within_ms {
                let end = end_of(task.index, TaskStatus::NotStarted, "too late", 0);
                pending.ends.insert(task.index, end);
                self.runs.remove(&key);
            } else {
                self.runs.insert(key.clone(), RunState::Running);
                started.push(key);
            }
        }
        started
    }

    /// Ends a running task.
    pub fn end(&mut self, exchange: ExchangeRef, index: TaskIndex, run_ms: u64) {
        let Some(pending) = self
            .pending
            .iter_mut()
            .find(|batch| batch.exchange == exchange)
        else {
            return;
        };
        let key = (pending.batch.job_id.clone(), index);
        if self.runs.get(&key) != Some(&RunState::Running) || pending.ends.contains_key(&index) {
            return;
        }
        let status = match pending.fault {
            Fault::TaskFails => TaskStatus::Failed,
            Fault::TaskStops => TaskStatus::Stopped,
            _ => TaskStatus::Finished,
        };
        let output = format!("{}/{index}", pending.batch.job_id);
        pending
            .ends
            .insert(index, end_of(index, status, &output, run_ms));
        self.runs.insert(key, RunState::Ended);
    }

    /// Cancels the requested tasks and returns their status.
    pub fn cancel(&mut self, request: &CancelRequest) -> CancelAnswer {
        let incarnation = self.announcement.incarnation;
        let mut fates = Vec::new();
        if request.incarnation == incarnation {
            for &index in &request.tasks {
                let fate = self.cancel_task(&request.job_id, index);
                fates.push(TaskCancelStatus { index, fate });
            }
        }
        CancelAnswer { incarnation, fates }
    }

    /// Removes the batches of which every task has ended.
    pub fn take_ended(&mut self) -> Vec<PendingBatch> {
        let ended = |pending: &PendingBatch| pending.ends.len() == pending.batch.tasks.len();
        let (ended, pending) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(ended);
        self.pending = pending;
        ended
    }

    /// Whether a batch has to wait because a shared server has no free slot.
    pub fn must_wait(&self, exchange: ExchangeRef) -> bool {
        let pending = self.pending.iter().find(|batch| batch.exchange == exchange);
        let running = self.runs.values().filter(|run| **run == RunState::Running);
        self.announcement.shared
            && pending.is_some()
            && running.count() >= self.announcement.slots as usize
    }

    fn has_free_slots(&self, tasks: usize) -> bool {
        let busy = |run: &&RunState| matches!(run, RunState::Waiting | RunState::Running);
        let busy = self.runs.values().filter(busy).count();
        busy + tasks <= self.announcement.slots as usize
    }

    fn cancel_task(&mut self, job: &JobId, index: TaskIndex) -> CancelStatus {
        let key = (job.clone(), index);
        let (fate, next, status) = match self.runs.get(&key) {
            None | Some(RunState::Refused | RunState::Waiting) => (
                CancelStatus::NeverStarted,
                RunState::Refused,
                TaskStatus::NotStarted,
            ),
            Some(RunState::Running) => {
                (CancelStatus::Started, RunState::Ended, TaskStatus::Stopped)
            }
            Some(RunState::Ended) => (CancelStatus::Finished, RunState::Ended, TaskStatus::Stopped),
        };
        self.runs.insert(key, next);
        for pending in self
            .pending
            .iter_mut()
            .filter(|pending| pending.batch.job_id == *job)
        {
            let named = pending.batch.tasks.iter().any(|task| task.index == index);
            if named && !pending.ends.contains_key(&index) {
                pending
                    .ends
                    .insert(index, end_of(index, status, "cancelled", 0));
            }
        }
        fate
    }
}

fn end_of(index: TaskIndex, status: TaskStatus, output: &str, run_ms: u64) -> TaskEnd {
    TaskEnd {
        index,
        status,
        output: output.to_owned(),
        run_ms,
    }
}
