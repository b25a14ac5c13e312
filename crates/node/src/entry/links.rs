//! Answers to the links of the system's own processes at an entry host.

use std::sync::Arc;
use std::time::Duration;

use hornbeam_core::api::caller::Reason;
use hornbeam_core::{Error, Result};
use hornbeam_dispatch::{ChunkAnswer, DispatchInput};
use hornbeam_timer::TimerService;
use hornbeam_transport::Service;

use super::input::{ShellHandle, ShellInput};
use crate::config_watch::{self, ConfigWatch};
use crate::lifecycle::Lifecycle;
use crate::wire::{Request, RequestAnswer};

/// `EntryLinks` answers the links of an entry host.
#[derive(Debug)]
pub(crate) struct EntryLinks {
    /// The shell loop.
    pub(crate) shell: ShellHandle,
    /// What is in force here.
    pub(crate) config: ConfigWatch,
    /// The time.
    pub(crate) timer: TimerService,
    /// Ends long polls when the process leaves.
    pub(crate) lifecycle: Arc<Lifecycle>,
}

impl Service for EntryLinks {
    type Request = Request;
    type Answer = RequestAnswer;

    async fn handle(&self, request: Request) -> Result<RequestAnswer> {
        match request {
            Request::Ping => Ok(RequestAnswer::Done),
            Request::Status(status) => {
                let input = DispatchInput::PeerStatusReceived(status);
                self.shell.send(input).await?;
                Ok(RequestAnswer::Done)
            }
            Request::RunChunk(chunk) => {
                let run = |answer| ShellInput::Chunk(chunk, answer);
                chunk_answer(self.shell.ask(run).await)
            }
            Request::CancelChunk(peer, chunk_id) => {
                let cancel = |answer| ShellInput::ChunkCancel(peer, chunk_id, answer);
                let fates = self.shell.ask(cancel).await?;
                Ok(RequestAnswer::ChunkCancelled(fates))
            }
            Request::Follow {
                have_version,
                wait_ms,
            } => {
                let wait = Duration::from_millis(wait_ms);
                let poll = config_watch::long_poll(&self.config, have_version, wait, &self.timer);
                let newer = self.lifecycle.unless_leaving(poll).await;
                Ok(RequestAnswer::Configuration(newer.flatten()))
            }
            _ => Err(Error::refused("an entry host does not answer this request")),
        }
    }
}

/// Turns the shell's answer into the answer on the link. An error on a link
/// says that the chunk had no effect, which a lost answer does not prove.
fn chunk_answer(answer: Result<ChunkAnswer>) -> Result<RequestAnswer> {
    match answer {
        Err(Error::OutcomeUnknown(cause)) => {
            let answer = ChunkAnswer::Failed(Reason::OutcomeUnknown, cause);
            Ok(RequestAnswer::Chunk(answer))
        }
        answer => answer.map(RequestAnswer::Chunk),
    }
}
