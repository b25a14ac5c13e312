//! What a worker says of itself.

use std::net::SocketAddr;

use hornbeam_core::ids::{FailureDomainId, ServiceId, WorkerId};
use serde::{Deserialize, Serialize};

use crate::room::Resources;

/// `WorkerReport` is a worker's status report.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct WorkerReport {
    /// Id of the worker.
    pub worker_id: WorkerId,
    /// Start of this incarnation, in ms since the Unix epoch. A worker may
    /// start again under the id that it had.
    pub born_unix_ms: u64,
    /// Number of the report within the incarnation.
    pub sequence: u64,
    /// Service whose tasks it runs.
    pub service: ServiceId,
    /// Address that takes orders.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: FailureDomainId,
    /// Whether it is about to leave and takes no new task.
    pub draining: bool,
    /// Whole room.
    pub capacity: Resources,
    /// Kind of the machine and rack.
    pub labels: Vec<String>,
}
