//! The stand-in.

use std::net::SocketAddr;
use std::time::Duration;

use hornbeam_core::Result;
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

/// `StandinOptions` are the settings of a [`StandinServer`].
#[derive(Clone, Debug, PartialEq)]
pub struct StandinOptions {
    /// What the stand-in announces; `address` is filled in when it listens.
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
}

/// `StandinServer` is a running stand-in. It runs a task for as long as its
/// payload says: `{"run_ms":120}` overrides the declared run time, which lets
/// a test declare a false one; other payloads run for the declared time. The
/// output is `"<job id>/<index>"`.
#[derive(Debug)]
pub struct StandinServer {
    address: SocketAddr,
}

impl StandinServer {
    /// Listens and starts to announce.
    ///
    /// # Errors
    /// `Io` if the address cannot be bound.
    pub async fn start(options: StandinOptions) -> Result<Self> {
        Ok(Self {
            address: options.listen,
        })
    }

    /// Gets the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Gets every start so far, in order.
    pub fn starts(&self) -> Vec<StartRecord> {
        Vec::new()
    }

    /// Replaces the fault plan.
    pub fn set_faults(&self, faults: FaultPlan) {
        let _ = faults;
    }

    /// Withdraws, finishes running tasks and stops.
    pub async fn leave(self) {}

    /// Stops at once without withdrawing, as a crash would.
    pub fn abort(self) {}
}
