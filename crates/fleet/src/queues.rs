//! Configuration of queues and services.

use std::time::Duration;

use hornbeam_core::ids::{ConfigVersion, ServiceId};
use indexmap::IndexMap;

/// `Queue` receives the jobs that are sent to one host name and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Name of the queue.
    pub name: String,
    /// Host name to which its jobs are sent.
    pub host_name: String,
    /// Path prefix to which its jobs are sent.
    pub path_prefix: String,
    /// Service whose workers run its tasks.
    pub service: ServiceId,
    /// Priority among the queues; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs of a task after which its job fails.
    pub attempts: u32,
    /// Factor applied to the expected run time of a job to get its latency
    /// objective.
    pub stretch: f64,
    /// Time added to the product of expected run time and `stretch` to get the
    /// latency objective.
    pub objective_extra: Duration,
    /// Longest time that a job may take.
    pub timeout: Duration,
}

/// `ServiceSettings` are the settings of one service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceSettings {
    /// Largest number of connections from all hosts to one worker.
    pub max_connections: u32,
    /// Whether workers of the service reject runs that exceed their free
    /// resources.
    pub enforces_capacity: bool,
}

/// `Limits` bounds the size of requests from callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Largest request body in bytes.
    pub max_body_bytes: usize,
}

/// `QueueTable` is one version of the configuration of queues and services.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueTable {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// All queues.
    pub queues: Vec<Queue>,
    /// Services by name.
    pub services: IndexMap<ServiceId, ServiceSettings>,
    /// Limits on requests.
    pub limits: Limits,
}

impl QueueTable {
    /// Finds the queue for a request: among the queues with this host name, the
    /// one with the longest matching path prefix.
    pub fn find(&self, host_name: &str, path: &str) -> Option<&Queue> {
        let fits = |queue: &&Queue| {
            queue.host_name.eq_ignore_ascii_case(host_name) && path.starts_with(&queue.path_prefix)
        };
        let matching = self.queues.iter().filter(fits);
        matching.max_by_key(|queue| queue.path_prefix.len())
    }
}
