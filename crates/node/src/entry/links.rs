//! Requests from other processes of the system to an entry host.

use std::sync::Arc;
use std::time::Duration;

use hornbeam_core::api::caller::Reason;
use hornbeam_core::{Error, Result};
use hornbeam_dispatch::{ChunkAnswer, DispatchInput};
use hornbeam_timer::TimerService;
use hornbeam_transport::Service;

use super::input::{DispatchLoopHandle, DispatchLoopInput};
use crate::config_watch::{self, ConfigWatch};
use crate::lifecycle::Lifecycle;
use crate::wire::{Request, RequestAnswer};

/// `EntryLinkService` answers the requests that arrive on links.
#[derive(Debug)]
pub(crate) struct EntryLinkService {
    /// The event loop.
    pub(crate) event_loop: DispatchLoopHandle,
    /// Configuration in force at this host.
    pub(crate) config: ConfigWatch,
    /// Clock and timers.
    pub(crate) timer: TimerService,
    /// The life cycle of the process, which ends long polls at a drain.
    pub(crate) lifecycle: Arc<Lifecycle>,
}

impl Service for EntryLinkService {
    type Request = Request;
    type Answer = RequestAnswer;

    async fn handle(&self, request: Request) -> Result<RequestAnswer> {
        match request {
            Request::Ping => Ok(RequestAnswer::Done),
            Request::Status(status) => {
                let input = DispatchInput::PeerStatusReceived(status);
                self.event_loop.send(input).await?;
                Ok(RequestAnswer::Done)
            }
            Request::RunChunk(chunk) => {
                let run = |answer| DispatchLoopInput::Chunk(chunk, answer);
                chunk_answer(self.event_loop.ask(run).await)
            }
            Request::CancelChunk(peer, chunk_id) => {
                let cancel = |answer| DispatchLoopInput::ChunkCancel(peer, chunk_id, answer);
                let statuses = self.event_loop.ask(cancel).await?;
                Ok(RequestAnswer::ChunkCancelled(statuses))
            }
            Request::Follow {
                have_version,
                wait_ms,
            } => {
                let wait = Duration::from_millis(wait_ms);
                let poll = config_watch::long_poll(&self.config, have_version, wait, &self.timer);
                let newer = self.lifecycle.unless_draining(poll).await;
                Ok(RequestAnswer::Configuration(newer.flatten()))
            }
            _ => Err(Error::refused("an entry host does not answer this request")),
        }
    }
}

/// Converts the event loop's answer into the answer on the link. An error on a
/// link means that the chunk had no effect, which a lost answer does not prove.
fn chunk_answer(answer: Result<ChunkAnswer>) -> Result<RequestAnswer> {
    match answer {
        Err(Error::OutcomeUnknown(cause)) => {
            let answer = ChunkAnswer::Failed(Reason::OutcomeUnknown, cause);
            Ok(RequestAnswer::Chunk(answer))
        }
        answer => answer.map(RequestAnswer::Chunk),
    }
}
