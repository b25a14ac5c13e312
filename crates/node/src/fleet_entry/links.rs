//! Answers to the links of the system's own processes at an entry host of
//! guarded workers.

use hornbeam_control::PublishedDocument;
use hornbeam_core::{Error, Result};
use hornbeam_fleet::FleetInput;
use hornbeam_transport::Service;
use tokio::sync::watch;

use super::input::{EntryHandle, EntryInput};
use super::shell::InForce;
use crate::wire::{Request, RequestAnswer};

/// `EntryLinks` answers the links of an entry host.
#[derive(Debug)]
pub(crate) struct EntryLinks {
    /// The shell loop.
    pub(crate) shell: EntryHandle,
    /// What is in force here.
    pub(crate) in_force: watch::Sender<InForce>,
}

impl Service for EntryLinks {
    type Request = Request;
    type Answer = RequestAnswer;

    async fn handle(&self, request: Request) -> Result<RequestAnswer> {
        match request {
            Request::Ping => Ok(RequestAnswer::Done),
            Request::Batch(batch) => {
                self.shell
                    .send(EntryInput::Fleet(FleetInput::Batch(*batch)))?;
                Ok(RequestAnswer::Done)
            }
            Request::Announce(report) => {
                let answer = self.shell.ask(|sender| EntryInput::Report(report, sender));
                Ok(RequestAnswer::Announced(answer.await?))
            }
            Request::Departed(worker_id) => {
                let departed = FleetInput::Departed(worker_id);
                self.shell.send(EntryInput::Fleet(departed))?;
                Ok(RequestAnswer::Done)
            }
            Request::Document(have_version) => {
                let document = self.newer_document(have_version);
                Ok(RequestAnswer::Document(document))
            }
            _ => Err(Error::refused("an entry host does not answer this request")),
        }
    }
}

impl EntryLinks {
    fn newer_document(&self, have_version: u64) -> Option<PublishedDocument> {
        let in_force = self.in_force.borrow();
        let queues = in_force.queues.as_ref()?;
        let newer = queues.version > have_version;
        newer.then(|| PublishedDocument {
            version: queues.version,
            text: in_force.text.clone(),
        })
    }
}
