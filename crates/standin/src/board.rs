//! What a stand-in knows of its tasks: which wait, run, have ended or were
//! cancelled before they started.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hornbeam_core::api::backend::{CancelRequest, CancelStatus, TaskCancelStatus};
use hornbeam_core::ids::{JobId, TaskId, TaskIndex};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::options::StartRecord;

/// Time for which a cancelled task that never started is refused; longer than
/// any exchange that was sent before the cancellation can be under way.
const TOMBSTONE_LIFE: Duration = Duration::from_secs(60);

/// Most tombstones. A cancellation beyond it gets no promise: the fate is
/// given as started, which makes the sender treat the outcome as unknown.
const MAX_TOMBSTONES: usize = 200_000;

/// `Board` holds the states of all tasks.
pub(crate) struct Board {
    began: Instant,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    tasks: HashMap<TaskId, Task>,
    /// Tasks that wait or run.
    load: u32,
    starts: Vec<StartRecord>,
    tombstones: HashMap<JobId, BTreeSet<TaskIndex>>,
    tombstone_count: usize,
    /// Jobs with tombstones in the order in which they end.
    expiries: VecDeque<(Instant, JobId, Vec<TaskIndex>)>,
}

#[derive(Default)]
struct Task {
    phase: Phase,
    /// Wakes the task when it is cancelled.
    cancelled: Arc<Notify>,
}

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Phase {
    #[default]
    Waiting,
    Running,
    Ended,
}

impl Board {
    /// Creates an empty board.
    pub(crate) fn new() -> Self {
        Self {
            began: Instant::now(),
            state: Mutex::default(),
        }
    }

    /// Notes that a task waits for a slot, and gets what wakes it when it is
    /// cancelled. `None` if it was cancelled before.
    pub(crate) fn wait(&self, id: &TaskId) -> Option<Arc<Notify>> {
        let mut state = self.lock();
        if state.is_buried(id) {
            return None;
        }
        let cancelled = Arc::new(Notify::new());
        // A task that is sent twice keeps the phase of its first start, since
        // it must never again be reported as not started.
        state.tasks.entry(id.clone()).or_default().cancelled = cancelled.clone();
        state.load += 1;
        Some(cancelled)
    }

    /// Notes that a waiting task starts. False if it was cancelled meanwhile.
    pub(crate) fn start(&self, id: &TaskId, payload: &str) -> bool {
        let mut state = self.lock();
        if state.is_buried(id) {
            return false;
        }
        if let Some(task) = state.tasks.get_mut(id) {
            task.phase = Phase::Running;
        }
        state.starts.push(StartRecord {
            task: id.clone(),
            at: self.began.elapsed(),
            payload: payload.into(),
        });
        true
    }

    /// Notes that a waiting task will not start.
    pub(crate) fn give_up(&self, id: &TaskId) {
        let mut state = self.lock();
        state.load -= 1;
        let waits = |task: &Task| task.phase == Phase::Waiting;
        if state.tasks.get(id).is_some_and(waits) {
            state.tasks.remove(id);
        }
    }

    /// Notes that a running task has ended. It is remembered, as its start is,
    /// so that a later query gets a true answer.
    pub(crate) fn end(&self, id: &TaskId) {
        let mut state = self.lock();
        state.load -= 1;
        if let Some(task) = state.tasks.get_mut(id) {
            task.phase = Phase::Ended;
        }
    }

    /// Cancels tasks and says what became of each.
    pub(crate) fn cancel(&self, request: &CancelRequest) -> Vec<TaskCancelStatus> {
        let mut state = self.lock();
        state.expire();
        let fates: Vec<TaskCancelStatus> = request
            .tasks
            .iter()
            .map(|index| TaskCancelStatus {
                index: *index,
                fate: state.cancel(&request.job_id, *index),
            })
            .collect();
        let buried = fates
            .iter()
            .filter(|fate| fate.fate == CancelStatus::NeverStarted)
            .map(|fate| fate.index)
            .collect();
        let until = Instant::now() + TOMBSTONE_LIFE;
        state
            .expiries
            .push_back((until, request.job_id.clone(), buried));
        fates
    }

    /// Says what became of tasks without cancelling them.
    pub(crate) fn fates(&self, request: &CancelRequest) -> Vec<TaskCancelStatus> {
        let state = self.lock();
        let fate = |index: &TaskIndex| TaskCancelStatus {
            index: *index,
            fate: state.fate(&(request.job_id.clone(), *index)),
        };
        request.tasks.iter().map(fate).collect()
    }

    /// Gets the number of tasks that wait or run.
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
    fn is_buried(&self, (job, index): &TaskId) -> bool {
        self.tombstones
            .get(job)
            .is_some_and(|indexes| indexes.contains(index))
    }

    fn fate(&self, id: &TaskId) -> CancelStatus {
        match self.tasks.get(id).map(|task| task.phase) {
            Some(Phase::Running) => CancelStatus::Started,
            Some(Phase::Ended) => CancelStatus::Finished,
            Some(Phase::Waiting) | None => CancelStatus::NeverStarted,
        }
    }

    fn cancel(&mut self, job: &JobId, index: TaskIndex) -> CancelStatus {
        let id = (job.clone(), index);
        let fate = self.fate(&id);
        if fate == CancelStatus::NeverStarted && !self.bury(job, index) {
            return CancelStatus::Started;
        }
        if let Some(task) = self.tasks.get(&id) {
            task.cancelled.notify_one();
        }
        fate
    }

    /// Adds a tombstone. False if there is no room for it.
    fn bury(&mut self, job: &JobId, index: TaskIndex) -> bool {
        if self.is_buried(&(job.clone(), index)) {
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
                self.unbury(&job, &indexes);
            }
        }
    }

    fn unbury(&mut self, job: &JobId, indexes: &[TaskIndex]) {
        let Some(buried) = self.tombstones.get_mut(job) else {
            return;
        };
        for index in indexes {
            self.tombstone_count -= usize::from(buried.remove(index));
        }
        if buried.is_empty() {
            self.tombstones.remove(job);
        }
    }
}
