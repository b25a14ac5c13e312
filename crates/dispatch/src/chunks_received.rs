//! Chunks that peers forward to this host. Each is a job of its own here,
//! which runs on this host's servers only.

use std::collections::BTreeMap;
use std::time::Duration;

use hornbeam_core::api::backend::CancelStatus;
use hornbeam_core::api::caller::{Outcome, Reason};
use hornbeam_core::ids::{ChunkId, HostId};
use indexmap::IndexMap;

use crate::admission::Placement;
use crate::charts::TaskState;
use crate::dispatcher::Dispatcher;
use crate::fair_queue::FlowKey;
use crate::io::{Chunk, ChunkAnswer, ChunkTaskCancelStatus, DispatchOutput};
use crate::job::{Job, Origin};
use crate::keys::JobKey;
use crate::request_checks::find_terms;
use crate::server::Resources;
use crate::timers::Timer;

/// Time for which an ended chunk is remembered, so that a delayed chunk does
/// not run after its cancellation and a late query gets the right fates.
const REMEMBER_CHUNK: Duration = Duration::from_secs(120);

/// `ChunkRecord` is what this host knows of a chunk that a peer forwarded.
#[derive(Debug)]
enum ChunkRecord {
    Running(JobKey),
    Ended(Vec<ChunkTaskCancelStatus>),
    /// The cancellation came before the chunk.
    CancelledUnseen,
}

/// `ReceivedChunks` holds the chunks of every peer.
#[derive(Debug, Default)]
pub(crate) struct ReceivedChunks {
    peers: IndexMap<HostId, BTreeMap<ChunkId, ChunkRecord>>,
}

impl ReceivedChunks {
    /// Drops the record of a chunk.
    pub(crate) fn forget(&mut self, peer: &str, chunk: ChunkId) {
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
    /// Runs a chunk or answers that nothing of it started.
    pub(crate) fn chunk_received(&mut self, mut chunk: Chunk) {
        match self.received.find(&chunk.from, chunk.chunk_id) {
            Some(ChunkRecord::CancelledUnseen) => {
                self.reject_chunk(&chunk, "the chunk was cancelled");
                return;
            }
            Some(_) => return,
            None => {}
        }
        chunk.tasks.sort_by_key(|task| task.index);
        match self.place_chunk(&chunk) {
            Ok(placement) => self.run_chunk(chunk, placement),
            Err(cause) => self.reject_chunk(&chunk, &cause),
        }
    }

    /// Cancels a chunk and reports what became of its tasks. Of a chunk that
    /// this process has not seen it reports nothing: an earlier process of
    /// this host may have run it.
    pub(crate) fn chunk_cancel_received(&mut self, peer: HostId, chunk: ChunkId) {
        let fates = match self.received.find(&peer, chunk) {
            Some(ChunkRecord::Running(job)) => {
                let job = *job;
                let fates = self.jobs.get(job).map(fates_of).unwrap_or_default();
                self.fail_job(job, Reason::Cancelled, "The peer cancelled the chunk.");
                fates
            }
            Some(ChunkRecord::Ended(fates)) => fates.clone(),
            Some(ChunkRecord::CancelledUnseen) => Vec::new(),
            None => {
                self.remember(&peer, chunk, ChunkRecord::CancelledUnseen);
                Vec::new()
            }
        };
        self.out.push(DispatchOutput::AnswerChunkCancel(fates));
    }

    /// Cancels the chunks of a peer that is no longer heard from.
    pub(crate) fn cancel_chunks_from(&mut self, peer: &str) {
        for job in self.received.running(peer) {
            self.fail_job(job, Reason::Cancelled, "The forwarding peer was lost.");
        }
    }

    /// Answers the chunk of a job that ended; `end` is `None` if complete.
    pub(crate) fn answer_chunk(&mut self, job: &Job, end: Option<(Outcome, Reason, String)>) {
        let Origin::Peer(chunk) = &job.origin else {
            return;
        };
        let answer = match end {
            None => {
                let results = job.tasks.iter().filter_map(|task| task.result.clone());
                ChunkAnswer::Complete(results.collect())
            }
            Some((_, _, message)) if job.nothing_started() => ChunkAnswer::NotStarted(message),
            Some((_, reason, message)) => ChunkAnswer::Failed(reason, message),
        };
        let record = ChunkRecord::Ended(fates_of(job));
        self.remember(&chunk.from, chunk.chunk_id, record);
        self.out.push(DispatchOutput::AnswerChunk {
            peer: chunk.from.clone(),
            chunk_id: chunk.chunk_id,
            answer,
        });
    }

    fn place_chunk(&mut self, chunk: &Chunk) -> Result<Placement, String> {
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
        let mut needs = chunk.tasks.iter().map(|t| Resources::of_task(&t.spec));
        if pool.slots == 0 || !needs.all(|need| pool.could_hold(&need)) {
            return Err("the host has no server for the chunk".into());
        }
        let (institution, team) = self.quotas.key(&chunk.institution, &chunk.team);
        Ok(Placement {
            pool: key,
            flow: FlowKey {
                institution,
                team,
                foreign: true,
            },
            terms,
        })
    }

    fn run_chunk(&mut self, chunk: Chunk, placement: Placement) {
        let (from, chunk_id) = (chunk.from.clone(), chunk.chunk_id);
        let timeout = Duration::from_millis(chunk.remaining_ms);
        let id = chunk.job_id.clone();
        let job = self.new_job(id, Origin::Peer(Box::new(chunk)), placement, timeout);
        let key = self.insert_job(job);
        self.received
            .set(&from, chunk_id, ChunkRecord::Running(key));
        self.enqueue_job(key);
    }

    fn reject_chunk(&mut self, chunk: &Chunk, cause: &str) {
        let fates = chunk.tasks.iter().map(|task| ChunkTaskCancelStatus {
            index: task.index,
            fate: CancelStatus::NeverStarted,
        });
        let record = ChunkRecord::Ended(fates.collect());
        self.remember(&chunk.from, chunk.chunk_id, record);
        self.out.push(DispatchOutput::AnswerChunk {
            peer: chunk.from.clone(),
            chunk_id: chunk.chunk_id,
            answer: ChunkAnswer::NotStarted(cause.to_owned()),
        });
    }

    fn remember(&mut self, peer: &str, chunk: ChunkId, record: ChunkRecord) {
        self.received.set(peer, chunk, record);
        let timer = Timer::ForgetChunk(peer.to_owned(), chunk);
        self.timers.set(self.now + REMEMBER_CHUNK, timer);
    }
}

/// Gets what became of every task of a chunk. A task that was sent may have
/// started.
fn fates_of(job: &Job) -> Vec<ChunkTaskCancelStatus> {
    let fates = job.tasks.iter().enumerate().map(|(position, task)| {
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
    fates.collect()
}
