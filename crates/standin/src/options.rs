//! Options and records of a stand-in.

use std::net::SocketAddr;
use std::time::Duration;

use hornbeam_core::api::backend::Announcement;
use hornbeam_core::ids::TaskId;

/// `FaultPlan` holds the probabilities of injected faults, from 0 to 1 per task
/// or exchange; default 0.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FaultPlan {
    /// A task fails after it started.
    pub fail: f64,
    /// A task runs for ten times its length.
    pub straggle: f64,
    /// An exchange gets no answer although its tasks run.
    pub silent: f64,
    /// An exchange's connection is closed before its tasks start.
    pub close_before_start: f64,
    /// An exchange's connection is closed after its tasks ran.
    pub close_after_run: f64,
    /// An exchange is answered for another job.
    pub wrong_answer: f64,
    /// A task is stopped by the worker after it started.
    pub stop: f64,
}

/// `StandinOptions` are the settings of a [`StandinServer`](crate::StandinServer).
#[derive(Clone, Debug, PartialEq)]
pub struct StandinOptions {
    /// Announcement of the stand-in. An empty `address` is replaced by the bound
    /// address; another one is that of a relay in front of the stand-in.
    pub announcement: Announcement,
    /// Address to listen on; default `127.0.0.1:0`.
    pub listen: SocketAddr,
    /// HTTP addresses of entry hosts, tried in turn from a random one in place of
    /// the platform's load balancer. A `shared` stand-in announces to all of them
    /// at once; default none.
    pub entry_hosts: Vec<SocketAddr>,
    /// Delay added to each direction of every exchange; default zero.
    pub latency: Duration,
    /// Injected faults; default none.
    pub faults: FaultPlan,
    /// Seed of every random choice; default 0.
    pub seed: u64,
}

/// `StartRecord` is the record of one task start.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StartRecord {
    /// Task that started.
    pub task: TaskId,
    /// Time since the start of the stand-in.
    pub at: Duration,
    /// Payload of the task, by which a test identifies its submission.
    pub payload: String,
}
