//! What a stand-in is told and what it records.

use std::net::SocketAddr;
use std::time::Duration;

use hornbeam_core::api::backend::Announcement;
use hornbeam_core::ids::TaskId;

/// `FaultPlan` says how often a stand-in misbehaves, each as a probability
/// from 0 to 1 per task or exchange; default none.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FaultPlan {
    /// A task ends with an error after it started.
    pub fail: f64,
    /// A task runs ten times its length.
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
    /// What the stand-in announces; an empty `address` is filled in when it
    /// listens. Another one stands for a relay before the stand-in.
    pub announcement: Announcement,
    /// Address to listen on; default `127.0.0.1:0`.
    pub listen: SocketAddr,
    /// HTTP addresses of entry hosts to announce to, tried in turn from a
    /// random one; stands for the platform's load balancer. If the
    /// announcement is `shared`, all of them at once; default none.
    pub entry_hosts: Vec<SocketAddr>,
    /// Delay added to each direction of every exchange; default zero.
    pub latency: Duration,
    /// Misbehaviour; default none.
    pub faults: FaultPlan,
    /// Seed of every random choice; default 0.
    pub seed: u64,
}

/// `StartRecord` is one start of a task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StartRecord {
    /// Task that started.
    pub task: TaskId,
    /// Time since the stand-in began.
    pub at: Duration,
    /// Payload of the task, by which a test finds the submission.
    pub payload: String,
}
