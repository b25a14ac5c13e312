//! Requests from other processes of the system to a fleet entry host.

use hornbeam_control::PublishedDocument;
use hornbeam_core::{Error, Result};
use hornbeam_fleet::{BatchExtension, FleetInput, PeerBatch, WorkerReport};
use hornbeam_transport::Service;
use tokio::sync::watch;

use super::event_loop::FleetEntryState;
use super::input::{FleetLoopHandle, FleetLoopInput, ReportTimes};
use crate::documents::SharedDocuments;
use crate::wire::{Request, RequestAnswer};

/// `FleetLinkService` answers the requests that arrive on links.
#[derive(Debug)]
pub(crate) struct FleetLinkService {
    /// The event loop.
    pub(crate) event_loop: FleetLoopHandle,
    /// State shared by the event loop.
    pub(crate) state: watch::Sender<FleetEntryState>,
    /// Documents to send to peers.
    pub(crate) documents: SharedDocuments,
}

impl Service for FleetLinkService {
    type Request = Request;
    type Answer = RequestAnswer;

    async fn handle(&self, request: Request) -> Result<RequestAnswer> {
        match request {
            Request::Ping => Ok(RequestAnswer::Done),
            Request::Batch(batch) => self.accept_batch(*batch, None),
            Request::ExtendedBatch(batch, extension) => self.accept_batch(*batch, Some(extension)),
            Request::Losses(report) => {
                let reported = FleetInput::LossesReported(*report);
                self.event_loop.send(FleetLoopInput::Fleet(reported))?;
                Ok(RequestAnswer::Done)
            }
            Request::Announce(report) => self.announce(report, None).await,
            Request::AnnounceAt(report, clock_ms) => self.announce(report, Some(clock_ms)).await,
            Request::Departed(worker_id) => {
                let departed = FleetInput::Departed(worker_id);
                self.event_loop.send(FleetLoopInput::Fleet(departed))?;
                Ok(RequestAnswer::Done)
            }
            Request::Document(have_version) => {
                let document = self.newer_document(have_version);
                Ok(RequestAnswer::Document(document))
            }
            Request::DocumentPart(request) => {
                Ok(RequestAnswer::DocumentPart(self.documents.part(&request)?))
            }
            _ => Err(Error::refused("an entry host does not answer this request")),
        }
    }
}

impl FleetLinkService {
    fn accept_batch(
        &self,
        batch: PeerBatch,
        extension: Option<BatchExtension>,
    ) -> Result<RequestAnswer> {
        let batch = FleetInput::Batch(batch, extension);
        self.event_loop.send(FleetLoopInput::Fleet(batch))?;
        Ok(RequestAnswer::Done)
    }

    async fn announce(
        &self,
        report: Box<WorkerReport>,
        clock_ms: Option<u64>,
    ) -> Result<RequestAnswer> {
        let times = ReportTimes {
            clock_ms,
            cold_remaining_ms: None,
        };
        let asking = self
            .event_loop
            .ask(|sender| FleetLoopInput::Report(report, times, sender));
        Ok(RequestAnswer::Announced(asking.await?))
    }

    fn newer_document(&self, have_version: u64) -> Option<PublishedDocument> {
        let state = self.state.borrow();
        let queues = state.queues.as_ref()?;
        let newer = queues.version > have_version;
        newer.then(|| PublishedDocument {
            version: queues.version,
            text: state.text.clone(),
        })
    }
}
