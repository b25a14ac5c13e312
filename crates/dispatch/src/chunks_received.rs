//! Chunks that peers forward to this host. Each chunk is a separate job here,
//! which runs on this host's servers only.

use std::collections::BTreeMap;
use std::time::Duration;

use hornbeam_core::api::backend::CancelStatus;
use hornbeam_core::api::caller::{Outcome, Reason};
use hornbeam_core::ids::{ChunkId, HostId};
use indexmap::IndexMap;

use crate::admission::QueueAssignment;
use crate::charts::TaskState;
use crate::dispatcher::Dispatcher;
use crate::fair_queue::FlowKey;
use crate::io::{Chunk, ChunkAnswer, ChunkTaskCancelStatus, DispatchOutput};
use crate::job::{Job, Origin};
use crate::keys::JobKey;
use crate::server::Resources;
use crate::timers::Timer;
use crate::validation::find_terms;

/// Time for which the record of an ended chunk is kept, so that a delayed chunk
/// does not run after its cancellation and a late query gets the right status.
const CHUNK_RECORD_RETENTION: Duration = Duration::from_secs(120);

/// `ChunkRecord` is the state of a chunk that a peer forwarded.
#[derive(Debug)]
enum ChunkRecord {
    Running(JobKey),
    Ended(Vec<ChunkTaskCancelStatus>),
    /// The cancellation arrived before the chunk.
    CancelledBeforeReceipt,
}

/// `ReceivedChunks` holds the records of the chunks of every peer.
#[derive(Debug, Default)]
pub(crate) struct ReceivedChunks {
    peers: IndexMap<HostId, BTreeMap<ChunkId, ChunkRecord>>,
}

impl ReceivedChunks {
    pub(crate) fn remove(&mut self, peer: &str, chunk: ChunkId) {
        if let Some(chunks) = self.peers.get_mut(peer) {
            chunks.remove(&chunk);
        }
    }

    fn find(&self, peer: &str, chunk: ChunkId) -> Option<&ChunkRecord> {
        self.peers.get(peer)?.get(&chunk)
    }

    fn set(&mut self, peer: &str, chunk: ChunkId, record: ChunkRecord) {
        if !self.peers.contains_key(peer) {
            self.peers.insert(peer.to_owned(), BTreeMap::new());
        }
        if let Some(chunks) = self.peers.get_mut(peer) {
            chunks.insert(chunk, record);
        }
    }

    fn running(&self, peer: &str) -> Vec<JobKey> {
        let chunks = self.peers.get(peer).into_iter().flatten();
        let running = chunks.filter_map(|(_, record)| match record {
            ChunkRecord::Running(job) => Some(*job),
            _ => None,
        });
        running.collect()
    }
}

impl Dispatcher {
    /// Runs a chunk, or answers that none of its tasks started.
    pub(crate) fn on_chunk_received(&mut self, mut chunk: Chunk) {
        match self.received_chunks.find(&chunk.from, chunk.chunk_id) {
            Some(ChunkRecord::CancelledBeforeReceipt) => {
                self.reject_chunk(&chunk, "the chunk was cancelled");
                return;
            }
            Some(_) => return,
            None => {}
        }
        chunk.tasks.sort_by_key(|task| task.index);
        match self.assign_chunk(&chunk) {
            Ok(assignment) => self.run_chunk(chunk, assignment),
            Err(cause) => self.reject_chunk(&chunk, &cause),
        }
    }

    /// Cancels a chunk and reports whether its tasks started. For a chunk that
    /// is unknown to this process the answer is empty, because an earlier process
    /// of this host may have run it.
    pub(crate) fn on_chunk_cancel_received(&mut self, peer: HostId, chunk: ChunkId) {
        let statuses = match self.received_chunks.find(&peer, chunk) {
            Some(ChunkRecord::Running(job)) => {
                let job = *job;
                let statuses = self
                    .jobs
                    .get(job)
                    .map(cancel_statuses_of)
                    .unwrap_or_default();
                self.fail_job(job, Reason::Cancelled, "The peer cancelled the chunk.");
                statuses
            }
            Some(ChunkRecord::Ended(statuses)) => statuses.clone(),
            Some(ChunkRecord::CancelledBeforeReceipt) => Vec::new(),
            None => {
                self.retain_chunk_record(&peer, chunk, ChunkRecord::CancelledBeforeReceipt);
                Vec::new()
            }
        };
        self.outputs
            .push(DispatchOutput::AnswerChunkCancel(statuses));
    }

    /// Cancels the chunks of a peer that is lost.
    pub(crate) fn cancel_chunks_from(&mut self, peer: &str) {
        for job in self.received_chunks.running(peer) {
            self.fail_job(job, Reason::Cancelled, "The forwarding peer was lost.");
        }
    }

    /// Answers the chunk of a job that ended; `error` is `None` if the job is
    /// complete.
    pub(crate) fn answer_chunk(&mut self, job: &Job, error: Option<(Outcome, Reason, String)>) {
        let Origin::Peer(chunk) = &job.origin else {
            return;
        };
        let answer = match error {
            None => {
                let results = job.tasks.iter().filter_map(|task| task.result.clone());
                ChunkAnswer::Complete(results.collect())
            }
            Some((_, _, message)) if job.no_task_started() => ChunkAnswer::NotStarted(message),
            Some((_, reason, message)) => ChunkAnswer::Failed(reason, message),
        };
        let record = ChunkRecord::Ended(cancel_statuses_of(job));
        self.retain_chunk_record(&chunk.from, chunk.chunk_id, record);
        self.outputs.push(DispatchOutput::AnswerChunk {
            peer: chunk.from.clone(),
            chunk_id: chunk.chunk_id,
            answer,
        });
    }

    fn assign_chunk(&mut self, chunk: &Chunk) -> Result<QueueAssignment, String> {
        if self.draining {
            return Err("the host is draining".into());
        }
        let Some(config) = self.config.clone() else {
            return Err("the host has no configuration".into());
        };
        let terms = find_terms(&config, &chunk.institution, &chunk.team, &chunk.service)
            .map_err(|refusal| refusal.message)?;
        let repeated = |pair: &[crate::io::ChunkTask]| pair[0].index == pair[1].index;
        if chunk.tasks.is_empty() || chunk.tasks.windows(2).any(repeated) {
            return Err("the chunk is empty or repeats a task".into());
        }
        let key = self.pool_key(&chunk.service);
        let pool = &self.pools[key];
        let mut requirements = chunk.tasks.iter().map(|t| Resources::of_task(&t.spec));
        if pool.slots == 0 || !requirements.all(|required| pool.fits_any_server(&required)) {
            return Err("the host has no server for the chunk".into());
        }
        let (institution, team) = self.quotas.key(&chunk.institution, &chunk.team);
        Ok(QueueAssignment {
            pool: key,
            flow: FlowKey {
                institution,
                team,
                remote: true,
            },
            terms,
        })
    }

    fn run_chunk(&mut self, chunk: Chunk, assignment: QueueAssignment) {
        let (from, chunk_id) = (chunk.from.clone(), chunk.chunk_id);
        let timeout = Duration::from_millis(chunk.remaining_ms);
        let id = chunk.job_id.clone();
        let job = self.new_job(id, Origin::Peer(Box::new(chunk)), assignment, timeout);
        let key = self.insert_job(job);
        self.received_chunks
            .set(&from, chunk_id, ChunkRecord::Running(key));
        self.enqueue_job(key);
    }

    fn reject_chunk(&mut self, chunk: &Chunk, cause: &str) {
        let statuses = chunk.tasks.iter().map(|task| ChunkTaskCancelStatus {
            index: task.index,
            fate: CancelStatus::NeverStarted,
        });
        let record = ChunkRecord::Ended(statuses.collect());
        self.retain_chunk_record(&chunk.from, chunk.chunk_id, record);
        self.outputs.push(DispatchOutput::AnswerChunk {
            peer: chunk.from.clone(),
            chunk_id: chunk.chunk_id,
            answer: ChunkAnswer::NotStarted(cause.to_owned()),
        });
    }

    fn retain_chunk_record(&mut self, peer: &str, chunk: ChunkId, record: ChunkRecord) {
        self.received_chunks.set(peer, chunk, record);
        let timer = Timer::RemoveChunkRecord(peer.to_owned(), chunk);
        self.timers.set(self.now + CHUNK_RECORD_RETENTION, timer);
    }
}

/// Gets whether each task of a chunk started. A task that was sent counts as
/// started, because it may have.
fn cancel_statuses_of(job: &Job) -> Vec<ChunkTaskCancelStatus> {
    let statuses = job.tasks.iter().enumerate().map(|(position, task)| {
        let fate = match task.state {
            TaskState::Queued => CancelStatus::NeverStarted,
            TaskState::Finished => CancelStatus::Finished,
            _ => CancelStatus::Started,
        };
        let position = u32::try_from(position).unwrap_or(u32::MAX);
        ChunkTaskCancelStatus {
            index: job.index(position),
            fate,
        }
    });
    statuses.collect()
}
