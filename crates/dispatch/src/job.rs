//! Jobs and their tasks.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use hornbeam_core::api::caller::{SubmitRequest, TaskResult, TaskSpec};
use hornbeam_core::ids::{ChunkId, ExchangeId, HostId, JobId, TaskIndex};
use indexmap::IndexMap;

use crate::charts::{JobState, TaskState};
use crate::fair_queue::{FlowKey, Weights};
use crate::io::Chunk;
use crate::keys::{JobKey, PoolKey, ServerKey, TaskPosition};

/// `Origin` is the source of a job.
#[derive(Debug)]
pub(crate) enum Origin {
    /// A caller submitted the whole job.
    Caller(Arc<SubmitRequest>),
    /// A peer forwarded a part of its job; the tasks are ordered by index.
    Peer(Box<Chunk>),
}

/// `Task` is one task of a job.
#[derive(Debug)]
pub(crate) struct Task {
    pub(crate) state: TaskState,
    /// Run time in ms, as estimated when the job was created.
    pub(crate) work_ms: u64,
    /// Whether the task has been sent at least once.
    pub(crate) sent_before: bool,
    pub(crate) result: Option<TaskResult>,
    /// Servers that have cancelled the task and will refuse it.
    pub(crate) refused_by: Vec<ServerKey>,
}

/// `Job` is a submission or a received chunk in progress.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) id: JobId,
    pub(crate) origin: Origin,
    pub(crate) state: JobState,
    pub(crate) pool: PoolKey,
    pub(crate) flow: FlowKey,
    pub(crate) weights: Weights,
    pub(crate) max_tasks_per_exchange: u32,
    pub(crate) task_grace_ms: u64,
    pub(crate) admitted_at: Duration,
    pub(crate) deadline: Duration,
    /// Time from which no task may start.
    pub(crate) start_deadline: Duration,
    pub(crate) tasks: Vec<Task>,
    /// Tasks that wait for a slot.
    pub(crate) queued: BTreeSet<TaskPosition>,
    pub(crate) queued_work_ms: u64,
    pub(crate) finished_tasks: u32,
    pub(crate) exchanges: BTreeSet<ExchangeId>,
    pub(crate) chunks: BTreeSet<ChunkId>,
    /// Peers that did not start a chunk of the job, possibly because its tasks do
    /// not fit their servers.
    pub(crate) excluded_peers: Vec<HostId>,
}

impl Job {
    /// Gets the declaration of a task.
    pub(crate) fn spec(&self, position: TaskPosition) -> &TaskSpec {
        match &self.origin {
            Origin::Caller(request) => &request.tasks[position as usize],
            Origin::Peer(chunk) => &chunk.tasks[position as usize].spec,
        }
    }

    /// Gets the index of a task in the whole job.
    pub(crate) fn index(&self, position: TaskPosition) -> TaskIndex {
        match &self.origin {
            Origin::Caller(_) => position,
            Origin::Peer(chunk) => chunk.tasks[position as usize].index,
        }
    }

    /// Whether it is certain that no task has started.
    pub(crate) fn no_task_started(&self) -> bool {
        self.queued.len() == self.tasks.len()
            || matches!(self.state, JobState::Admitted | JobState::Claiming)
    }

    /// Whether a peer forwarded the job.
    pub(crate) fn is_from_peer(&self) -> bool {
        matches!(self.origin, Origin::Peer(_))
    }
}

/// `JobTable` holds the jobs in progress.
#[derive(Debug, Default)]
pub(crate) struct JobTable {
    jobs: IndexMap<JobKey, Job>,
    by_id: IndexMap<JobId, JobKey>,
    last_key: JobKey,
}

impl JobTable {
    pub(crate) fn insert(&mut self, job: Job) -> JobKey {
        self.last_key += 1;
        if !job.is_from_peer() {
            self.by_id.insert(job.id.clone(), self.last_key);
        }
        self.jobs.insert(self.last_key, job);
        self.last_key
    }

    /// Gets the key of a job that a caller submitted to this host.
    pub(crate) fn find(&self, id: &str) -> Option<JobKey> {
        self.by_id.get(id).copied()
    }

    pub(crate) fn get(&self, key: JobKey) -> Option<&Job> {
        self.jobs.get(&key)
    }

    pub(crate) fn get_mut(&mut self, key: JobKey) -> Option<&mut Job> {
        self.jobs.get_mut(&key)
    }

    pub(crate) fn remove(&mut self, key: JobKey) -> Option<Job> {
        let job = self.jobs.swap_remove(&key)?;
        if !job.is_from_peer() {
            self.by_id.swap_remove(&job.id);
        }
        Some(job)
    }

    /// Gets the number of jobs in progress, including received chunks.
    pub(crate) fn len(&self) -> usize {
        self.jobs.len()
    }
}
