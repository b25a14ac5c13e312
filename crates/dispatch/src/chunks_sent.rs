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

/// Tasks from which a chunk is worth its two messages although a local slot
/// would soon be free.
const MIN_CHUNK_TASKS: usize = 4;

/// Estimated wait for a local slot from which smaller chunks are forwarded, in
/// ms.
const FORWARD_WAIT_MS: u64 = 50;

/// Time after the job's deadline for which the answer of a peer is awaited.
const CHUNK_GRACE: Duration = Duration::from_secs(1);

/// `SentChunk` is a forwarded chunk without a final answer.
#[derive(Debug)]
pub(crate) struct SentChunk {
    job: JobKey,
    peer: HostId,
    positions: Vec<TaskPosition>,
    quota: TeamKey,
    /// Whether a cancel query is under way.
    asking: bool,
}

impl Dispatcher {
    /// Forwards queued tasks of a job to a peer with free slots; `false` if
    /// there is none or the chunk is not worth it.
    pub(crate) fn forward(&mut self, key: JobKey) -> bool {
        let room = self.quota_room(key);
        let Some(job) = self.jobs.get(key) else {
            return false;
        };
        let Origin::Caller(request) = &job.origin else {
            return false;
        };
        let pool = &self.pools[job.pool];
        let Some((peer, free)) = self.best_peer(&pool.service, &job.avoid_peers) else {
            return false;
        };
        let count = job.queued.len().min(free.min(room) as usize);
        let wait_ms = pool.queued_work_ms.checked_div(pool.slots.into());
        let waits_long = wait_ms.is_none_or(|wait| wait >= FORWARD_WAIT_MS);
        if count < MIN_CHUNK_TASKS && !waits_long {
            return false;
        }
        let positions: Vec<_> = job.queued.iter().take(count).copied().collect();
        let remaining = job.start_until.saturating_sub(self.now);
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

    /// Reacts to the end of a chunk by what it proves.
    pub(crate) fn chunk_ended(&mut self, id: ChunkId, end: ChunkOutcome) {
        let Some(chunk) = self.chunks.get(&id) else {
            if matches!(end, ChunkOutcome::Answered(_)) {
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
        match end {
            ChunkOutcome::Answered(ChunkAnswer::Complete(results)) => {
                self.chunk_complete(id, results);
            }
            ChunkOutcome::Answered(ChunkAnswer::Failed(reason, message)) => {
                self.chunk_failed(id, reason, message);
            }
            ChunkOutcome::Answered(ChunkAnswer::NotStarted(cause)) => {
                self.avoid_peer(id);
                self.chunk_not_started(id, &cause);
            }
            ChunkOutcome::NotSent(cause) => self.chunk_not_started(id, &cause),
            ChunkOutcome::Unanswered(_) => self.query_chunk(id),
        }
    }

    /// Reacts to the end of a chunk cancellation.
    pub(crate) fn chunk_cancel_ended(
        &mut self,
        id: ChunkId,
        fates: Option<Vec<ChunkTaskCancelStatus>>,
    ) {
        let Some(chunk) = self.chunks.get(&id) else {
            return;
        };
        let Some(job) = self.jobs.get(chunk.job) else {
            self.release_chunk(id);
            return;
        };
        let fates = fates.unwrap_or_default();
        let never_started = |position: &TaskPosition| {
            let index = job.index(*position);
            let mut of_task = fates.iter().filter(|fate| fate.index == index).peekable();
            of_task.peek().is_some() && of_task.all(|fate| fate.fate == CancelStatus::NeverStarted)
        };
        if chunk.positions.iter().all(never_started) {
            self.chunk_not_started(id, "the peer says that it never started");
        } else {
            let message = "Forwarded tasks may or may not have run.";
            self.chunk_failed(id, Reason::OutcomeUnknown, message.to_owned());
        }
    }

    /// Cancels the chunks of an ended job.
    pub(crate) fn cancel_chunks(&mut self, job: &Job) {
        for id in &job.chunks {
            self.send_chunk_cancel(*id);
        }
    }

    /// Asks a peer that is no longer heard from for its chunks.
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
        self.quotas.take(flow.team, slots);
        self.use_peer_slots(&peer, &chunk.service, slots);
        self.change_tasks(key, &positions, TaskEvent::Forward);
        self.change_job(key, JobEvent::Send);
        let sent = SentChunk {
            job: key,
            peer: peer.clone(),
            positions,
            quota: flow.team,
            asking: false,
        };
        self.chunks.insert(id, sent);
        chunk.chunk_id = id;
        self.out.push(DispatchOutput::SendChunk {
            peer,
            chunk,
            timeout,
        });
    }

    fn chunk_complete(&mut self, id: ChunkId, results: Vec<TaskResult>) {
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

    /// Whether the results are those of the chunk's tasks, in their order.
    fn has_all_results(&self, id: ChunkId, results: &[TaskResult]) -> bool {
        let Some(chunk) = self.chunks.get(&id) else {
            return false;
        };
        let Some(job) = self.jobs.get(chunk.job) else {
            return false;
        };
        let asked = chunk.positions.iter().map(|position| job.index(*position));
        asked.eq(results.iter().map(|result| result.index))
    }

    /// Fails the job of a chunk. A peer cancels a chunk of its own accord only
    /// if it lost this host; the caller of the job has cancelled nothing.
    fn chunk_failed(&mut self, id: ChunkId, reason: Reason, message: String) {
        let reason = match reason {
            Reason::Cancelled => Reason::OutcomeUnknown,
            reason => reason,
        };
        if let Some(chunk) = self.release_chunk(id) {
            self.change_tasks(chunk.job, &chunk.positions, TaskEvent::Lose);
            self.fail_job(chunk.job, reason, message);
        }
    }

    /// Queues a chunk's tasks again. The peer's free slots were not what its
    /// status said, so none are assumed until the next status.
    fn chunk_not_started(&mut self, id: ChunkId, cause: &str) {
        let Some(chunk) = self.release_chunk(id) else {
            return;
        };
        if let Some(job) = self.jobs.get(chunk.job) {
            let service = self.pools[job.pool].service.clone();
            self.use_peer_slots(&chunk.peer, &service, u32::MAX);
        }
        self.retry_tasks(chunk.job, &chunk.positions, 1, cause);
    }

    fn avoid_peer(&mut self, id: ChunkId) {
        let Some(chunk) = self.chunks.get(&id) else {
            return;
        };
        if let Some(job) = self.jobs.get_mut(chunk.job) {
            job.avoid_peers.push(chunk.peer.clone());
        }
    }

    fn query_chunk(&mut self, id: ChunkId) {
        let Some(chunk) = self.chunks.get(&id) else {
            return;
        };
        let (job, positions) = (chunk.job, chunk.positions.clone());
        self.change_tasks(job, &positions, TaskEvent::Ask);
        self.send_chunk_cancel(id);
    }

    fn send_chunk_cancel(&mut self, id: ChunkId) {
        let Some(chunk) = self.chunks.get_mut(&id) else {
            return;
        };
        if chunk.asking {
            return;
        }
        chunk.asking = true;
        self.out.push(DispatchOutput::SendChunkCancel {
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
