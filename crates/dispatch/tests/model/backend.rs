//! Fake backend server.

use std::collections::BTreeMap;

use hornbeam_core::api::backend::{
    Announcement, CancelAnswer, CancelRequest, CancelStatus, TaskBatch, TaskCancelStatus, TaskEnd,
    TaskStatus,
};
use hornbeam_core::ids::{JobId, TaskIndex};

use crate::plan::Fault;
use crate::world::ExchangeRef;

type TaskKey = (JobId, TaskIndex);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Run {
    Waiting,
    Running,
    Over,
    Refused,
}

/// `Held` is a batch that the server has not answered.
#[derive(Clone, Debug)]
pub struct Held {
    /// Exchange to answer.
    pub exchange: ExchangeRef,
    /// The batch.
    pub batch: TaskBatch,
    /// What goes wrong with it.
    pub fault: Fault,
    /// Tasks that have ended.
    pub ends: BTreeMap<TaskIndex, TaskEnd>,
}

/// `Backend` is one server over all its incarnations.
#[derive(Debug)]
pub struct Backend {
    /// What it announces now.
    pub announcement: Announcement,
    /// Host that it announces to.
    pub owner: usize,
    /// Whether its lease is with the owner, and until when.
    pub lease_until_ms: Option<u64>,
    /// Whether it withdrew in this incarnation.
    pub withdrawn: bool,
    /// Batches without an answer.
    pub held: Vec<Held>,
    runs: BTreeMap<TaskKey, Run>,
}

impl Backend {
    /// Creates a server that has not announced itself.
    pub fn new(announcement: Announcement, owner: usize) -> Self {
        Self {
            announcement,
            owner,
            lease_until_ms: None,
            withdrawn: false,
            held: Vec::new(),
            runs: BTreeMap::new(),
        }
    }

    /// Starts again with nothing but a new incarnation.
    pub fn restart(&mut self) -> Vec<Held> {
        self.announcement.incarnation += 1;
        self.announcement.grant += 1;
        self.lease_until_ms = None;
        self.withdrawn = false;
        self.runs.clear();
        std::mem::take(&mut self.held)
    }

    /// Takes a batch; its tasks wait until [`Self::start`] or are refused.
    pub fn receive(&mut self, exchange: ExchangeRef, batch: TaskBatch, fault: Fault) {
        let refused = self.withdrawn
            || batch.incarnation != self.announcement.incarnation
            || batch.grant != self.announcement.grant
            || (!self.announcement.shared && !self.has_room(batch.tasks.len()));
        let mut held = Held {
            exchange,
            batch,
            fault,
            ends: BTreeMap::new(),
        };
        for task in &held.batch.tasks {
            let key = (held.batch.job_id.clone(), task.index);
            if refused || self.runs.get(&key) == Some(&Run::Refused) {
                let end = end_of(task.index, TaskStatus::NotStarted, "refused", 0);
                held.ends.insert(task.index, end);
            } else if self.runs.get(&key) != Some(&Run::Running) {
                self.runs.insert(key, Run::Waiting);
            }
        }
        self.held.push(held);
    }

    /// Starts the waiting tasks of an exchange unless it is too late, and
    /// returns those that started.
    pub fn start(&mut self, exchange: ExchangeRef, waited_ms: u64) -> Vec<TaskKey> {
        let Some(held) = self.held.iter_mut().find(|h| h.exchange == exchange) else {
            return Vec::new();
        };
        let mut started = Vec::new();
        for task in &held.batch.tasks {
            if held.ends.contains_key(&task.index) {
                continue;
            }
            let key = (held.batch.job_id.clone(), task.index);
            if waited_ms > held.batch.start_within_ms {
                let end = end_of(task.index, TaskStatus::NotStarted, "too late", 0);
                held.ends.insert(task.index, end);
                self.runs.remove(&key);
            } else {
                self.runs.insert(key.clone(), Run::Running);
                started.push(key);
            }
        }
        started
    }

    /// Ends a running task.
    pub fn end(&mut self, exchange: ExchangeRef, index: TaskIndex, run_ms: u64) {
        let Some(held) = self.held.iter_mut().find(|h| h.exchange == exchange) else {
            return;
        };
        let key = (held.batch.job_id.clone(), index);
        if self.runs.get(&key) != Some(&Run::Running) || held.ends.contains_key(&index) {
            return;
        }
        let status = match held.fault {
            Fault::TaskFails => TaskStatus::Failed,
            Fault::TaskStops => TaskStatus::Stopped,
            _ => TaskStatus::Finished,
        };
        let output = format!("{}/{index}", held.batch.job_id);
        held.ends
            .insert(index, end_of(index, status, &output, run_ms));
        self.runs.insert(key, Run::Over);
    }

    /// Answers a cancel request and stops what it names.
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
    pub fn take_ended(&mut self) -> Vec<Held> {
        let ended = |held: &Held| held.ends.len() == held.batch.tasks.len();
        let (ended, held) = std::mem::take(&mut self.held).into_iter().partition(ended);
        self.held = held;
        ended
    }

    /// Whether a shared server has to let a batch wait for its slots.
    pub fn must_wait(&self, exchange: ExchangeRef) -> bool {
        let held = self.held.iter().find(|h| h.exchange == exchange);
        let running = self.runs.values().filter(|run| **run == Run::Running);
        self.announcement.shared
            && held.is_some()
            && running.count() >= self.announcement.slots as usize
    }

    fn has_room(&self, tasks: usize) -> bool {
        let busy = |run: &&Run| matches!(run, Run::Waiting | Run::Running);
        let busy = self.runs.values().filter(busy).count();
        busy + tasks <= self.announcement.slots as usize
    }

    fn cancel_task(&mut self, job: &JobId, index: TaskIndex) -> CancelStatus {
        let key = (job.clone(), index);
        let (fate, next, status) = match self.runs.get(&key) {
            None | Some(Run::Refused | Run::Waiting) => (
                CancelStatus::NeverStarted,
                Run::Refused,
                TaskStatus::NotStarted,
            ),
            Some(Run::Running) => (CancelStatus::Started, Run::Over, TaskStatus::Stopped),
            Some(Run::Over) => (CancelStatus::Finished, Run::Over, TaskStatus::Stopped),
        };
        self.runs.insert(key, next);
        for held in self.held.iter_mut().filter(|h| h.batch.job_id == *job) {
            let named = held.batch.tasks.iter().any(|task| task.index == index);
            if named && !held.ends.contains_key(&index) {
                held.ends
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
