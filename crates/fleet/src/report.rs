//! Status reports of workers.

use std::net::SocketAddr;

use hornbeam_core::ids::{FailureDomainId, ServiceId, WorkerId};
use serde::{Deserialize, Serialize};

use crate::resources::Resources;

/// `WorkerReport` is a status report that a worker sends about itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct WorkerReport {
    /// Id of the worker.
    pub worker_id: WorkerId,
    /// Start time of this incarnation, in ms since the Unix epoch. A worker may
    /// restart under its previous id.
    pub born_unix_ms: u64,
    /// Sequence number of the report within the incarnation.
    pub sequence: u64,
    /// Service whose tasks it runs.
    pub service: ServiceId,
    /// Address at which the worker accepts requests.
    pub address: SocketAddr,
    /// Failure domain of the worker.
    pub failure_domain: FailureDomainId,
    /// Whether the worker is about to leave and accepts no new tasks.
    pub draining: bool,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Machine type and rack.
    pub labels: Vec<String>,
}
