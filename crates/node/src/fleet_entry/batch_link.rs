//! Batches to one peer, in the format that its build accepts.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hornbeam_core::Error;
use hornbeam_fleet::{BatchExtension, PeerBatch};
use hornbeam_transport::Link;

use crate::wire::{Request, RequestAnswer};

/// Time for which a host that refused an extended batch gets none. A host that
/// is replaced by a newer build gets extensions again within this time, also if
/// the connection to it goes through unnoticed.
const REFUSAL_RETENTION: Duration = Duration::from_secs(10);

/// `BatchLink` sends batches to one peer. Clones share the connection and what
/// is known of the peer's build.
#[derive(Clone, Debug)]
pub struct BatchLink {
    link: Link,
    refusal: Arc<Mutex<Option<Refusal>>>,
}

/// `Refusal` records that the peer accepts no extended batches.
#[derive(Clone, Copy, Debug)]
struct Refusal {
    at: Instant,
    /// Number of connections of the link at that time.
    connections: u64,
}

impl BatchLink {
    /// Creates a sender of batches on a link.
    pub fn new(link: Link) -> Self {
        Self {
            link,
            refusal: Arc::default(),
        }
    }

    /// Gets the link.
    pub(crate) fn link(&self) -> &Link {
        &self.link
    }

    /// Sends a batch, and returns whether the peer accepted it. A peer that
    /// refuses the batch because of its extension gets it without; a refused
    /// batch had no effect, so it is not delivered twice.
    pub async fn send(
        &self,
        batch: PeerBatch,
        extension: Option<BatchExtension>,
        timeout: Duration,
    ) -> bool {
        let deadline = Instant::now() + timeout;
        let mut is_refused = false;
        let mut batch = Box::new(batch);
        if let Some(extension) = extension
            && !self.refuses_extensions()
        {
            let request = Request::ExtendedBatch(batch, extension);
            let answer = self.link.call(&request, timeout).await;
            if !matches!(answer, Err(Error::Refused(_))) {
                return matches!(answer, Ok(RequestAnswer::Done));
            }
            let Request::ExtendedBatch(refused, _) = request else {
                return false;
            };
            batch = refused;
            is_refused = true;
        }
        let connections = self.link.connections();
        let time_left = deadline.saturating_duration_since(Instant::now());
        let answer = self.link.call(&Request::Batch(batch), time_left).await;
        let is_accepted = matches!(answer, Ok(RequestAnswer::Done));
        // A host that accepts neither format refused for another reason.
        if is_refused && is_accepted {
            let at = Instant::now();
            *self.lock_refusal() = Some(Refusal { at, connections });
        }
        is_accepted
    }

    /// Whether the peer refused an extended batch recently, on the present
    /// connection.
    fn refuses_extensions(&self) -> bool {
        let mut refusal = self.lock_refusal();
        let connections = self.link.connections();
        *refusal = refusal.filter(|refusal| {
            refusal.connections == connections && refusal.at.elapsed() < REFUSAL_RETENTION
        });
        refusal.is_some()
    }

    fn lock_refusal(&self) -> MutexGuard<'_, Option<Refusal>> {
        self.refusal.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
