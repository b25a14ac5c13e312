//! States of the tasks of a stand-in: waiting, running, ended, or cancelled
//! before they started.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hornbeam_core::api::backend::{CancelRequest, CancelStatus, TaskCancelStatus};
use hornbeam_core::ids::{JobId, TaskId, TaskIndex};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::options::StartRecord;

/// Lifetime of the tombstone of a task that was cancelled before it started;
/// longer than an exchange sent before the cancellation can be in flight.
const TOMBSTONE_TTL: Duration = Duration::from_secs(60);

/// Maximum number of tombstones. A cancellation beyond it is answered with
/// `Started`, so that the sender treats the outcome as unknown.
const MAX_TOMBSTONES: usize = 200_000;

/// `TaskTable` tracks the state of every task.
pub(crate) struct TaskTable {
    started_at: Instant,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    tasks: HashMap<TaskId, Task>,
    /// Number of waiting and running tasks.
    load: u32,
    starts: Vec<StartRecord>,
    tombstones: HashMap<JobId, BTreeSet<TaskIndex>>,
    tombstone_count: usize,
    /// Tombstones by job, in order of expiry.
    expiries: VecDeque<(Instant, JobId, Vec<TaskIndex>)>,
}

#[derive(Default)]
struct Task {
    phase: Phase,
    /// Notified when the task is cancelled.
    cancelled: Arc<Notify>,
}

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Phase {
    #[default]
    Waiting,
    Running,
    Ended,
}

impl TaskTable {
    /// Creates an empty table.
    pub(crate) fn new() -> Self {
        Self {
            started_at: Instant::now(),
            state: Mutex::default(),
        }
    }

    /// Registers a task that waits for a slot. Returns the notification of its
    /// cancellation, or `None` if it is already cancelled.
    pub(crate) fn add_waiting(&self, id: &TaskId) -> Option<Arc<Notify>> {
        let mut state = self.lock();
        if state.has_tombstone(id) {
            return None;
        }
        let cancelled = Arc::new(Notify::new());
        // A task that is sent twice keeps the phase of its first start, since it
        // must not be reported as never started any more.
        state.tasks.entry(id.clone()).or_default().cancelled = cancelled.clone();
        state.load += 1;
        Some(cancelled)
    }

    /// Marks a waiting task as running. False if it was cancelled in the meantime.
    pub(crate) fn mark_running(&self, id: &TaskId, payload: &str) -> bool {
        let mut state = self.lock();
        if state.has_tombstone(id) {
            return false;
        }
        if let Some(task) = state.tasks.get_mut(id) {
            task.phase = Phase::Running;
        }
        state.starts.push(StartRecord {
            task: id.clone(),
            at: self.started_at.elapsed(),
            payload: payload.into(),
        });
        true
    }

    /// Removes a waiting task that will not start.
    pub(crate) fn remove_waiting(&self, id: &TaskId) {
        let mut state = self.lock();
        state.load -= 1;
        let waits = |task: &Task| task.phase == Phase::Waiting;
        if state.tasks.get(id).is_some_and(waits) {
            state.tasks.remove(id);
        }
    }

    /// Marks a running task as ended. The entry is kept, so that a later query
    /// gets the correct status.
    pub(crate) fn mark_ended(&self, id: &TaskId) {
        let mut state = self.lock();
        state.load -= 1;
        if let Some(task) = state.tasks.get_mut(id) {
            task.phase = Phase::Ended;
        }
    }

    /// Cancels tasks and returns the status of each.
    pub(crate) fn cancel(&self, request: &CancelRequest) -> Vec<TaskCancelStatus> {
        let mut state = self.lock();
        state.expire();
        let statuses: Vec<TaskCancelStatus> = request
            .tasks
            .iter()
            .map(|index| TaskCancelStatus {
                index: *index,
                fate: state.cancel(&request.job_id, *index),
            })
            .collect();
        let with_tombstone = statuses
            .iter()
            .filter(|status| status.fate == CancelStatus::NeverStarted)
            .map(|status| status.index)
            .collect();
        let until = Instant::now() + TOMBSTONE_TTL;
        state
            .expiries
            .push_back((until, request.job_id.clone(), with_tombstone));
        statuses
    }

    /// Gets the status of tasks without cancelling them.
    pub(crate) fn statuses(&self, request: &CancelRequest) -> Vec<TaskCancelStatus> {
        let state = self.lock();
        let status = |index: &TaskIndex| TaskCancelStatus {
            index: *index,
            fate: state.status(&(request.job_id.clone(), *index)),
        };
        request.tasks.iter().map(status).collect()
    }

    /// Gets the number of waiting and running tasks.
    pub(crate) fn load(&self) -> u32 {
        self.lock().load
    }

    /// Gets every start so far.
    pub(crate) fn starts(&self) -> Vec<StartRecord> {
        self.lock().starts.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn has_tombstone(&self, (job, index): &TaskId) -> bool {
        self.tombstones
            .get(job)
            .is_some_and(|indexes| indexes.contains(index))
    }

    fn status(&self, id: &TaskId) -> CancelStatus {
        match self.tasks.get(id).map(|task| task.phase) {
            Some(Phase::Running) => CancelStatus::Started,
            Some(Phase::Ended) => CancelStatus::Finished,
            Some(Phase::Waiting) | None => CancelStatus::NeverStarted,
        }
    }

    fn cancel(&mut self, job: &JobId, index: TaskIndex) -> CancelStatus {
        let id = (job.clone(), index);
        let status = self.status(&id);
        if status == CancelStatus::NeverStarted && !self.add_tombstone(job, index) {
            return CancelStatus::Started;
        }
        if let Some(task) = self.tasks.get(&id) {
            task.cancelled.notify_one();
        }
        status
    }

    /// Adds a tombstone. False if the limit is reached.
    fn add_tombstone(&mut self, job: &JobId, index: TaskIndex) -> bool {
        if self.has_tombstone(&(job.clone(), index)) {
            return true;
        }
        if self.tombstone_count >= MAX_TOMBSTONES {
            return false;
        }
        self.tombstone_count += 1;
        self.tombstones
            .entry(job.clone())
            .or_default()
            .insert(index)
    }

    fn expire(&mut self) {
        let now = Instant::now();
        while let Some((until, _, _)) = self.expiries.front()
            && *until <= now
        {
            if let Some((_, job, indexes)) = self.expiries.pop_front() {
                self.remove_tombstones(&job, &indexes);
            }
        }
    }

    fn remove_tombstones(&mut self, job: &JobId, indexes: &[TaskIndex]) {
        let Some(with_tombstone) = self.tombstones.get_mut(job) else {
            return;
        };
        for index in indexes {
            self.tombstone_count -= usize::from(with_tombstone.remove(index));
        }
        if with_tombstone.is_empty() {
            self.tombstones.remove(job);
        }
    }
}
