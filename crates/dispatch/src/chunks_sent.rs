//! Chunks that this host forwards to peers.

use std::time::Duration;

use hornbeam_core::api::backend::CancelStatus;
use hornbeam_core::api::caller::{Reason, TaskResult};
use hornbeam_core::event::Event;
use hornbeam_core::ids::{ChunkId, HostId};

use crate::charts::{JobEvent, TaskEvent};
use crate::dispatcher::Dispatcher;
use crate::io::{
    Chunk, ChunkAnswer, ChunkOutcome, ChunkTask, ChunkTaskCancelStatus, DispatchOutput,
};
use crate::job::{Job, Origin};
use crate::keys::{JobKey, TaskPosition, TeamKey};
use crate::leases::millis;

/// Minimum tasks of a chunk that justify its two messages although a local
/// slot would soon be free.
const MIN_CHUNK_TASKS: usize = 4;

/// Estimated wait for a local slot, in ms, from which smaller chunks are
/// forwarded too.
const MIN_FORWARD_WAIT_MS: u64 = 50;

/// Time after the job's deadline for which this host waits for the peer's answer.
const CHUNK_GRACE: Duration = Duration::from_secs(1);

/// `SentChunk` is a forwarded chunk that has no final answer yet.
#[derive(Debug)]
pub(crate) struct SentChunk {
    job: JobKey,
    peer: HostId,
    positions: Vec<TaskPosition>,
    quota: TeamKey,
    /// Whether a cancel query has been sent.
    query_sent: bool,
}

impl Dispatcher {
    /// Forwards queued tasks of a job to a peer with free slots; `false` if no
    /// peer has any or the chunk is too small.
    pub(crate) fn forward(&mut self, key: JobKey) -> bool {
        let available_slots = self.available_quota_slots(key);
        let Some(job) = self.jobs.get(key) else {
            return false;
        };
        let Origin::Caller(request) = &job.origin else {
            return false;
        };
        let pool = &self.pools[job.pool];
        let Some((peer, free)) = self.best_peer(&pool.service, &job.excluded_peers) else {
            return false;
        };
        let count = job.queued.len().min(free.min(available_slots) as usize);
        let wait_ms = pool.queued_work_ms.checked_div(pool.slots.into());
        let waits_long = wait_ms.is_none_or(|wait| wait >= MIN_FORWARD_WAIT_MS);
        if count < MIN_CHUNK_TASKS && !waits_long {
            return false;
        }
        let positions: Vec<_> = job.queued.iter().take(count).copied().collect();
        let remaining = job.start_deadline.saturating_sub(self.now);
        let task = |&position: &TaskPosition| ChunkTask {
            index: job.index(position),
            spec: job.spec(position).clone(),
        };
        let chunk = Chunk {
            from: self.options.host_id.clone(),
            chunk_id: 0,
            job_id: job.id.clone(),
            institution: request.institution.clone(),
            team: request.team.clone(),
            service: request.service.clone(),
            remaining_ms: millis(remaining).max(1),
            tasks: positions.iter().map(task).collect(),
        };
        let timeout = job.deadline.saturating_sub(self.now) + CHUNK_GRACE;
        let peer = peer.clone();
        self.send_chunk(key, peer, positions, chunk, timeout);
        true
    }

    /// Handles the outcome of a forwarded chunk.
    pub(crate) fn on_chunk_ended(&mut self, id: ChunkId, outcome: ChunkOutcome) {
        let Some(chunk) = self.chunks.get(&id) else {
            if matches!(outcome, ChunkOutcome::Answered(_)) {
                self.log(Event::AnswerDropped, format!("late answer to chunk {id}"));
            }
            return;
        };
        if self.jobs.get(chunk.job).is_none() {
            self.log(
                Event::AnswerDropped,
                format!("chunk {id} was answered after the end of its job"),
            );
            self.release_chunk(id);
            return;
        }
        match outcome {
            ChunkOutcome::Answered(ChunkAnswer::Complete(results)) => {
                self.on_chunk_complete(id, results);
            }
            ChunkOutcome::Answered(ChunkAnswer::Failed(reason, message)) => {
                self.on_chunk_failed(id, reason, message);
            }
            ChunkOutcome::Answered(ChunkAnswer::NotStarted(cause)) => {
                self.exclude_peer(id);
                self.on_chunk_not_started(id, &cause);
            }
            ChunkOutcome::NotSent(cause) => self.on_chunk_not_started(id, &cause),
            ChunkOutcome::Unanswered(_) => self.query_chunk(id),
        }
    }

    /// Handles the answer or the timeout of a chunk cancellation.
    pub(crate) fn on_chunk_cancel_ended(
        &mut self,
        id: ChunkId,
        statuses: Option<Vec<ChunkTaskCancelStatus>>,
    ) {
        let Some(chunk) = self.chunks.get(&id) else {
            return;
        };
        let Some(job) = self.jobs.get(chunk.job) else {
            self.release_chunk(id);
            return;
        };
        let statuses = statuses.unwrap_or_default();
        let never_started = |position: &TaskPosition| {
            let index = job.index(*position);
            let mut of_task = statuses
                .iter()
                .filter(|status| status.index == index)
                .peekable();
            of_task.peek().is_some()
                && of_task.all(|status| status.fate == CancelStatus::NeverStarted)
        };
        if chunk.positions.iter().all(never_started) {
            self.on_chunk_not_started(id, "the peer says that it never started");
        } else {
            let message = "Forwarded tasks may or may not have run.";
            self.on_chunk_failed(id, Reason::OutcomeUnknown, message.to_owned());
        }
    }

    /// Cancels the chunks of an ended job.
    pub(crate) fn cancel_chunks(&mut self, job: &Job) {
        for id in &job.chunks {
            self.send_chunk_cancel(*id);
        }
    }

    /// Queries a lost peer for the state of its chunks.
    pub(crate) fn query_chunks_of(&mut self, peer: &str) {
        let chunks = self.chunks.iter().filter(|(_, chunk)| chunk.peer == peer);
        let ids: Vec<_> = chunks.map(|(id, _)| *id).collect();
        for id in ids {
            self.query_chunk(id);
        }
    }

    fn send_chunk(
        &mut self,
        key: JobKey,
        peer: HostId,
        positions: Vec<TaskPosition>,
        mut chunk: Chunk,
        timeout: Duration,
    ) {
        let work_ms = self.dequeue_tasks(key, &positions);
        let id = self.next_id();
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        job.chunks.insert(id);
        let flow = job.flow;
        let slots = u32::try_from(positions.len()).unwrap_or(u32::MAX);
        self.pools[job.pool].queue.charge(flow, work_ms);
        self.quotas.acquire(flow.team, slots);
        self.reserve_peer_slots(&peer, &chunk.service, slots);
        self.apply_task_event(key, &positions, TaskEvent::Forward);
        self.apply_job_event(key, JobEvent::Send);
        let sent = SentChunk {
            job: key,
            peer: peer.clone(),
            positions,
            quota: flow.team,
            query_sent: false,
        };
        self.chunks.insert(id, sent);
        chunk.chunk_id = id;
        self.outputs.push(DispatchOutput::SendChunk {
            peer,
            chunk,
            timeout,
        });
    }

    fn on_chunk_complete(&mut self, id: ChunkId, results: Vec<TaskResult>) {
        if !self.has_all_results(id, &results) {
            self.query_chunk(id);
            return;
        }
        let Some(chunk) = self.release_chunk(id) else {
            return;
        };
        for (position, result) in chunk.positions.iter().zip(results) {
            self.finish_task(chunk.job, *position, result);
        }
        self.complete_if_finished(chunk.job);
    }

    /// Whether the results match the chunk's tasks, in order.
    fn has_all_results(&self, id: ChunkId, results: &[TaskResult]) -> bool {
        let Some(chunk) = self.chunks.get(&id) else {
            return false;
        };
        let Some(job) = self.jobs.get(chunk.job) else {
            return false;
        };
        let expected = chunk.positions.iter().map(|position| job.index(*position));
        expected.eq(results.iter().map(|result| result.index))
    }

    /// Fails the job of a chunk. A peer cancels a chunk without a request only if
    /// it lost contact with this host, so the caller has not cancelled the job.
    fn on_chunk_failed(&mut self, id: ChunkId, reason: Reason, message: String) {
        let reason = match reason {
            Reason::Cancelled => Reason::OutcomeUnknown,
            reason => reason,
        };
        if let Some(chunk) = self.release_chunk(id) {
            self.apply_task_event(chunk.job, &chunk.positions, TaskEvent::Lose);
            self.fail_job(chunk.job, reason, message);
        }
    }

    /// Requeues a chunk's tasks. The peer has fewer free slots than its status
    /// reported, so it counts as having none until its next status.
    fn on_chunk_not_started(&mut self, id: ChunkId, cause: &str) {
        let Some(chunk) = self.release_chunk(id) else {
            return;
        };
        if let Some(job) = self.jobs.get(chunk.job) {
            let service = self.pools[job.pool].service.clone();
            self.reserve_peer_slots(&chunk.peer, &service, u32::MAX);
        }
        self.retry_tasks(chunk.job, &chunk.positions, 1, cause);
    }

    fn exclude_peer(&mut self, id: ChunkId) {
        let Some(chunk) = self.chunks.get(&id) else {
            return;
        };
        if let Some(job) = self.jobs.get_mut(chunk.job) {
            job.excluded_peers.push(chunk.peer.clone());
        }
    }

    fn query_chunk(&mut self, id: ChunkId) {
        let Some(chunk) = self.chunks.get(&id) else {
            return;
        };
        let (job, positions) = (chunk.job, chunk.positions.clone());
        self.apply_task_event(job, &positions, TaskEvent::Ask);
        self.send_chunk_cancel(id);
    }

    fn send_chunk_cancel(&mut self, id: ChunkId) {
        let Some(chunk) = self.chunks.get_mut(&id) else {
            return;
        };
        if chunk.query_sent {
            return;
        }
        chunk.query_sent = true;
        self.outputs.push(DispatchOutput::SendChunkCancel {
            peer: chunk.peer.clone(),
            chunk_id: id,
            timeout: self.options.cancel_timeout,
        });
    }

    fn release_chunk(&mut self, id: ChunkId) -> Option<SentChunk> {
        let chunk = self.chunks.swap_remove(&id)?;
        if let Some(job) = self.jobs.get_mut(chunk.job) {
            job.chunks.remove(&id);
        }
        let slots = u32::try_from(chunk.positions.len()).unwrap_or(u32::MAX);
        self.release_quota(chunk.quota, slots);
        Some(chunk)
    }
}
