//! The thread that writes and syncs, so that the loop never waits for a disk.

use std::sync::mpsc::Receiver;

use hornbeam_control::{DiskLog, PersistId, PersistRequest};
use hornbeam_core::Error;
use tokio::sync::mpsc::UnboundedSender;

/// Most requests that are written and synced together.
const MAX_GROUP: usize = 256;

/// `DiskEvent` is what the thread reports.
#[derive(Debug)]
pub(crate) enum DiskEvent {
    /// A request and all before it are synced; the size of all files follows,
    /// in bytes.
    Persisted(PersistId, u64),
    /// The disk failed; the thread has ended.
    Failed(Error),
}

/// Carries out requests in order until their sender is gone or one fails.
pub(crate) fn run(
    mut disk: DiskLog,
    requests: &Receiver<PersistRequest>,
    events: &UnboundedSender<DiskEvent>,
) {
    let mut next = requests.recv().ok();
    while let Some(first) = next.take() {
        let (group, rest) = collect_group(first, requests);
        let event = match disk.persist(&group) {
            Ok(()) => DiskEvent::Persisted(group.id, disk.size_bytes()),
            Err(cause) => DiskEvent::Failed(cause),
        };
        let failed = matches!(event, DiskEvent::Failed(_));
        if events.send(event).is_err() || failed {
            return;
        }
        next = rest.or_else(|| requests.recv().ok());
    }
}

/// Joins a request with those that wait behind it, so that one sync serves all
/// of them. Returns the group and the first request that does not fit.
fn collect_group(
    first: PersistRequest,
    requests: &Receiver<PersistRequest>,
) -> (PersistRequest, Option<PersistRequest>) {
    let mut group = first;
    for _ in 1..MAX_GROUP {
        let Ok(request) = requests.try_recv() else {
            break;
        };
        if !follows(&group, &request) {
            return (group, Some(request));
        }
        group.id = request.id;
        group.hard_state = request.hard_state.or(group.hard_state);
        group.entries.extend(request.entries);
    }
    (group, None)
}

/// Whether a request only appends to what the group writes. One that replaces
/// entries or brings a snapshot must be carried out by itself.
fn follows(group: &PersistRequest, request: &PersistRequest) -> bool {
    let last = group.entries.last().map(|entry| entry.index);
    let first = request.entries.first().map(|entry| entry.index);
    let appends = match (last, first) {
        (Some(last), Some(first)) => first == last + 1,
        _ => true,
    };
    appends && request.snapshot.is_none()
}
