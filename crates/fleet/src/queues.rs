//! The queues and services in force.

use std::time::Duration;

use hornbeam_core::ids::{ConfigVersion, ServiceId};
use indexmap::IndexMap;

/// `Queue` takes the jobs of one place, a host name and a path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Name of the queue.
    pub name: String,
    /// Host name that its jobs are sent to.
    pub host_name: String,
    /// Start of the path that its jobs are sent to.
    pub path_prefix: String,
    /// Service whose workers run its tasks.
    pub service: ServiceId,
    /// Rank among the queues; 0 comes first.
    pub priority: u32,
    /// Failed runs of a task after which its job fails.
    pub attempts: u32,
    /// Factor on a job's longest chain of work in its objective.
    pub stretch: f64,
    /// Time added to the stretched chain.
    pub objective_extra: Duration,
    /// Longest time that a job may take.
    pub timeout: Duration,
}

/// `ServiceTerms` are the terms of one service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceSettings {
    /// Most connections of all hosts to one worker.
    pub max_connections: u32,
    /// Whether its workers refuse what does not fit.
    pub enforces_capacity: bool,
}

/// `Limits` bound what callers send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Largest body in bytes.
    pub max_body_bytes: usize,
}

/// `QueueTable` is a version of the configuration of queues and services.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueTable {
    /// Version.
    pub version: ConfigVersion,
    /// Queues.
    pub queues: Vec<Queue>,
    /// Services by name.
    pub services: IndexMap<ServiceId, ServiceSettings>,
    /// Limits.
    pub limits: Limits,
}

impl QueueTable {
    /// Gets the queue of a place: of those with the host name, the one with
    /// the longest prefix that the path begins with.
    pub fn find(&self, host_name: &str, path: &str) -> Option<&Queue> {
        let fits = |queue: &&Queue| {
            queue.host_name.eq_ignore_ascii_case(host_name) && path.starts_with(&queue.path_prefix)
        };
        let matching = self.queues.iter().filter(fits);
        matching.max_by_key(|queue| queue.path_prefix.len())
    }
}
