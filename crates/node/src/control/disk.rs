//! The thread that writes and syncs, so that the event loop never blocks on the
//! disk.

use std::sync::mpsc::Receiver;

use hornbeam_control::{DiskStorage, PersistId, PersistRequest};
use hornbeam_core::Error;
use tokio::sync::mpsc::UnboundedSender;

/// `DiskEvent` is an event that the disk thread reports.
#[derive(Debug)]
pub(crate) enum DiskEvent {
    /// A request and all earlier ones are synced; holds the size of all files
    /// in bytes.
    Persisted(PersistId, u64),
    /// The disk failed; the thread has ended.
    Failed(Error),
}

/// Executes requests in order until their sender is dropped or one fails. The
/// replica batches what arrives during one sync into the next request.
pub(crate) fn run(
    mut disk: DiskStorage,
    requests: &Receiver<PersistRequest>,
    events: &UnboundedSender<DiskEvent>,
) {
    for request in requests {
        let event = match disk.persist(&request) {
            Ok(()) => DiskEvent::Persisted(request.id, disk.size_bytes()),
            Err(cause) => DiskEvent::Failed(cause),
        };
        let failed = matches!(event, DiskEvent::Failed(_));
        if events.send(event).is_err() || failed {
            return;
        }
    }
}
