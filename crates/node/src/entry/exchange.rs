//! Requests that the dispatcher sends, each in a task whose result is an input
//! of the dispatcher.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hornbeam_core::api::backend::{CancelAnswer, CancelRequest, TaskBatch, TaskBatchAnswer};
use hornbeam_core::event::Event;
use hornbeam_core::ids::{ChunkId, HostId};
use hornbeam_core::{Error, Result, log_event};
use hornbeam_dispatch::{
    Chunk, ChunkOutcome, ChunkTaskCancelStatus, DispatchInput, DispatchOutput, ExchangeOutcome,
};
use hornbeam_http::{HttpClient, Reply};
use hornbeam_transport::Link;
use tokio::task::JoinSet;

use super::claims::ClaimClient;
use super::metrics::EntryMetrics;
use super::peers::PeerTable;
use crate::metrics::MessageKind;
use crate::wire::{Request, RequestAnswer};

const TASKS_PATH: &str = "/v1/tasks";
const CANCEL_PATH: &str = "/v1/tasks/cancel";

/// `Exchanges` sends the requests of one entry host.
#[derive(Debug)]
pub(crate) struct Exchanges {
    /// Id of this host, for requests that identify their sender.
    pub(crate) host_id: HostId,
    /// Client with pooled connections to backend servers.
    pub(crate) tasks: HttpClient,
    /// Client for cancels, each on a new connection.
    pub(crate) cancels: HttpClient,
    /// Links to peers.
    pub(crate) peers: Arc<PeerTable>,
    /// Client for claims.
    pub(crate) claims: ClaimClient,
    /// Metrics.
    pub(crate) metrics: Arc<EntryMetrics>,
}

impl Exchanges {
    /// Starts the request of an output. Outputs that are answers to callers are
    /// handled by the event loop and ignored here.
    pub(crate) fn start(
        self: &Arc<Self>,
        output: DispatchOutput,
        running: &mut JoinSet<DispatchInput>,
    ) {
        let this = Arc::clone(self);
        match output {
            DispatchOutput::SendBatch {
                exchange,
                address,
                batch,
                timeout,
                ..
            } => {
                running.spawn(async move {
                    let outcome = this.send_batch(&address, &batch, timeout).await;
                    DispatchInput::ExchangeEnded(exchange, outcome)
                });
            }
            DispatchOutput::SendCancel {
                cancel,
                address,
                request,
                timeout,
            } => {
                running.spawn(async move {
                    let answer = this.send_cancel(&address, &request, timeout).await;
                    DispatchInput::CancelEnded(cancel, answer)
                });
            }
            DispatchOutput::SendChunk {
                peer,
                chunk,
                timeout,
            } => {
                running.spawn(async move {
                    let chunk_id = chunk.chunk_id;
                    let outcome = this.send_chunk(&peer, chunk, timeout).await;
                    DispatchInput::ChunkEnded(chunk_id, outcome)
                });
            }
            DispatchOutput::SendChunkCancel {
                peer,
                chunk_id,
                timeout,
            } => {
                running.spawn(async move {
                    let statuses = this.send_chunk_cancel(&peer, chunk_id, timeout).await;
                    DispatchInput::ChunkCancelEnded(chunk_id, statuses)
                });
            }
            DispatchOutput::RecordClaim {
                job_id,
                claim_key,
                valid_until_unix_ms,
                timeout,
            } => {
                running.spawn(async move {
                    let claims = &this.claims;
                    let recording =
                        claims.record(claim_key, job_id.clone(), valid_until_unix_ms, timeout);
                    let outcome = recording.await;
                    DispatchInput::ClaimEnded(job_id, outcome)
                });
            }
            DispatchOutput::DropConnections(address) => self.drop_connections(&address),
            _ => {}
        }
    }

    async fn send_batch(
        &self,
        address: &str,
        batch: &TaskBatch,
        timeout: Duration,
    ) -> ExchangeOutcome {
        self.metrics.messages.count_request(MessageKind::Task);
        let reply: Result<Reply<TaskBatchAnswer>> = match parse(address) {
            Ok(address) => self.tasks.post(address, TASKS_PATH, batch, timeout).await,
            Err(cause) => Err(cause),
        };
        match reply {
            Ok(reply) => {
                self.metrics.messages.count_answer(MessageKind::Task);
                self.metrics.batch_answered(&reply.body);
                ExchangeOutcome::Answered(reply.body)
            }
            Err(Error::NotSent(cause)) => ExchangeOutcome::NotSent(cause),
            Err(cause) => ExchangeOutcome::Unanswered(cause.to_string()),
        }
    }

    async fn send_cancel(
        &self,
        address: &str,
        request: &CancelRequest,
        timeout: Duration,
    ) -> Option<CancelAnswer> {
        self.metrics.messages.count_request(MessageKind::Cancel);
        let address = parse(address).ok()?;
        // A cancel is often sent because a connection hangs, so it must not
        // use a connection that was opened before.
        self.cancels.drop_connections(address);
        let sending = self.cancels.post(address, CANCEL_PATH, request, timeout);
        let reply: Reply<CancelAnswer> = sending.await.ok()?;
        self.metrics.messages.count_answer(MessageKind::Cancel);
        Some(reply.body)
    }

    async fn send_chunk(&self, peer: &HostId, chunk: Chunk, timeout: Duration) -> ChunkOutcome {
        let Some(link) = self.peers.link(peer) else {
            return ChunkOutcome::NotSent(format!("peer {peer} has no known address"));
        };
        self.metrics.messages.count_request(MessageKind::Chunk);
        let answer = link.call(&Request::RunChunk(chunk), timeout).await;
        match answer {
            Ok(RequestAnswer::Chunk(answer)) => {
                self.metrics.messages.count_answer(MessageKind::Chunk);
                ChunkOutcome::Answered(answer)
            }
            Ok(other) => ChunkOutcome::Unanswered(format!("wrong kind of answer: {other:?}")),
            Err(Error::NotSent(cause) | Error::Refused(cause)) => ChunkOutcome::NotSent(cause),
            Err(cause) => ChunkOutcome::Unanswered(cause.to_string()),
        }
    }

    async fn send_chunk_cancel(
        &self,
        peer: &HostId,
        chunk_id: ChunkId,
        timeout: Duration,
    ) -> Option<Vec<ChunkTaskCancelStatus>> {
        let link: Link = self.peers.link(peer)?;
        self.metrics.messages.count_request(MessageKind::Cancel);
        let request = Request::CancelChunk(self.host_id.clone(), chunk_id);
        let answer = link.call_on_new_connection(&request, timeout).await;
        match answer {
            Ok(RequestAnswer::ChunkCancelled(statuses)) => {
                self.metrics.messages.count_answer(MessageKind::Cancel);
                Some(statuses)
            }
            _ => None,
        }
    }

    fn drop_connections(&self, address: &str) {
        match parse(address) {
            Ok(address) => self.tasks.drop_connections(address),
            Err(cause) => log_event!(Event::ExchangeUnanswered; "{cause}"),
        }
    }
}

fn parse(address: &str) -> Result<SocketAddr> {
    let parsed = address.parse();
    parsed.map_err(|_| Error::not_sent(format!("`{address}` is no address of the form ip:port")))
}
