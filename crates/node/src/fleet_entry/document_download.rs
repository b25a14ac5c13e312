//! Download of newer documents from control hosts and peers.

use std::sync::Arc;
use std::time::Duration;

use hornbeam_core::event::Event;
use hornbeam_core::ids::{ConfigVersion, HostId};
use hornbeam_core::{Error, Result, log_event};
use hornbeam_document::{Document, Download};
use hornbeam_platform::read_document;
use hornbeam_timer::TimerService;
use hornbeam_transport::Link;
use tokio::sync::watch;

use super::input::{FleetLoopHandle, FleetLoopInput};
use crate::documents::SharedDocuments;
use crate::lifecycle::Lifecycle;
use crate::wire::{Request, RequestAnswer};

/// Timeout of one part. A part takes 64 ms at 2 Mbit/s, and a control host needs
/// some time to encode the first one.
const PART_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of a whole document from a host of a build that sends no parts.
const WHOLE_DOCUMENT_TIMEOUT: Duration = Duration::from_secs(4);

/// Delay before the next source is asked after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// `DocumentSource` is a host that has a document.
#[derive(Clone, Debug)]
pub(crate) struct DocumentSource {
    /// Version of the document that it reported last.
    pub(crate) version: ConfigVersion,
    /// Link to the host.
    pub(crate) link: Link,
}

impl PartialEq for DocumentSource {
    fn eq(&self, other: &Self) -> bool {
        self.version == other.version && self.link.address() == other.link.address()
    }
}

/// `DocumentDownload` keeps the document of one entry host up to date.
#[derive(Debug)]
pub(crate) struct DocumentDownload {
    /// Id of this host.
    pub(crate) host_id: HostId,
    /// Hosts that have documents.
    pub(crate) sources: watch::Receiver<Vec<DocumentSource>>,
    /// The event loop.
    pub(crate) event_loop: FleetLoopHandle,
    /// Documents to send to peers.
    pub(crate) documents: SharedDocuments,
    /// Clock and timers.
    pub(crate) timer: TimerService,
    /// The life cycle of the process, which ends the task.
    pub(crate) lifecycle: Arc<Lifecycle>,
}

impl DocumentDownload {
    /// Runs until the process is drained or has failed.
    pub(crate) async fn run(mut self) {
        let lifecycle = Arc::clone(&self.lifecycle);
        tokio::select! {
            () = self.run_downloads() => {}
            () = lifecycle.stopped() => {}
        }
    }

    async fn run_downloads(&mut self) {
        let mut download = Download::default();
        let mut failures = 0;
        loop {
            let version = download.current().map_or(0, |document| document.id.version);
            let Some(source) = self.choose_source(version, failures) else {
                failures = 0;
                // Fails only if the discovery has ended; this task then ends as
                // well.
                let _ = self.sources.changed().await;
                continue;
            };
            match fetch(&source.link, &mut download).await {
                Ok(Some(document)) => self.apply(document),
                Ok(None) => {}
                Err(cause) => {
                    failures += 1;
                    log_event!(
                        Event::HostReachability, host = self.host_id;
                        "no part of a document above version {version} could be downloaded from {}: {cause}",
                        source.link.address()
                    );
                    self.timer.sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Chooses a host that has a newer document. After a failure the next one is
    /// chosen, and the download continues there.
    fn choose_source(&mut self, version: ConfigVersion, failures: usize) -> Option<DocumentSource> {
        let sources = self.sources.borrow_and_update();
        let newer: Vec<&DocumentSource> = sources
            .iter()
            .filter(|source| source.version > version)
            .collect();
        let index = failures.checked_rem(newer.len())?;
        Some(newer[index].clone())
    }

    fn apply(&self, document: Document) {
        match read_document(&document.text) {
            Ok(queues) => {
                self.documents.add(document.clone());
                let input = FleetLoopInput::Document(document.text, Arc::new(queues));
                // Fails only if the event loop has ended.
                let _ = self.event_loop.send(input);
            }
            Err(findings) => log_event!(
                Event::PublishRejected, host = self.host_id;
                "the document of version {} cannot be read: {findings:?}", document.id.version
            ),
        }
    }
}

/// Fetches the next part of a newer document, and gets the document if it is
/// complete.
async fn fetch(link: &Link, download: &mut Download) -> Result<Option<Document>> {
    let request = Request::DocumentPart(download.request());
    match link.call(&request, PART_TIMEOUT).await {
        Ok(RequestAnswer::DocumentPart(Some(part))) => Ok(download.add(part)?.cloned()),
        Ok(_) => Err(Error::refused("it has no newer document")),
        Err(Error::Refused(_)) => fetch_whole(link, download).await,
        Err(cause) => Err(cause),
    }
}

/// Fetches a newer document from a host of a build that sends no parts.
async fn fetch_whole(link: &Link, download: &mut Download) -> Result<Option<Document>> {
    let version = download.current().map_or(0, |document| document.id.version);
    let request = Request::Document(version);
    match link.call(&request, WHOLE_DOCUMENT_TIMEOUT).await? {
        RequestAnswer::Document(Some(published)) => {
            download.replace(Document::new(published.version, published.text));
            Ok(download.current().cloned())
        }
        _ => Err(Error::refused("it has no newer document")),
    }
}
