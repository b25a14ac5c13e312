//! Settings of a fleet.

use std::net::SocketAddr;
use std::time::Duration;

use hornbeam_core::ids::{FailureDomainId, HostId};

/// `FleetOptions` are the settings of a [`crate::Fleet`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FleetOptions {
    /// Id of this host; no default.
    pub host_id: HostId,
    /// Failure domain of this host; no default.
    pub failure_domain: FailureDomainId,
    /// Address at which other hosts reach this one; no default.
    pub link_address: SocketAddr,
    /// Distinguishes successive process starts of this host; no default.
    pub incarnation: u64,
    /// Longest lease that a worker accepts; default 1 s.
    pub max_lease: Duration,
    /// Longest time that a worker takes to stop a run; default 50 ms.
    pub max_stop_time: Duration,
    /// Time for which a poll waits at the worker for a run to end. Polls renew
    /// the lease, so they are frequent enough that one lost poll does not
    /// expire it; default 400 ms.
    pub poll_wait: Duration,
    /// Time from the start of a drain after which each caller's connection is
    /// closed with its next answer; default 2.2 s. By then a load balancer that
    /// probes once a second has missed two answers and routes to other hosts.
    pub drain_close_after: Duration,
    /// Time from the start of a drain during which jobs are still accepted;
    /// default 4.4 s, which leaves most jobs time to finish.
    pub drain_accept_for: Duration,
    /// Shortest duration of a drain; default 3.5 s, in which callers move to
    /// other hosts.
    pub min_drain: Duration,
    /// Longest duration of a drain, after which remaining jobs are given up;
    /// default 5.2 s, below the 6 s after which the host process is killed.
    pub max_drain: Duration,
    /// Optional scheduling decisions; default all off.
    pub scheduling: SchedulingOptions,
}

/// `SchedulingOptions` switches scheduling decisions that a deployment must ask
/// for. With all of them off, decisions are those of builds without them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SchedulingOptions {
    /// Whether tasks are placed by the pace of the workers; default off.
    pub pace: bool,
    /// Whether admission counts work and tells priorities apart; default off.
    pub fair_admission: bool,
    /// Whether tasks that slow each other down are kept apart; default off.
    pub interference: bool,
}

impl FleetOptions {
    /// Creates the options of a host, with defaults for the other settings.
    pub fn new(
        host_id: impl Into<HostId>,
        failure_domain: impl Into<FailureDomainId>,
        link_address: SocketAddr,
    ) -> Self {
        Self {
            host_id: host_id.into(),
            failure_domain: failure_domain.into(),
            link_address,
            incarnation: 0,
            max_lease: Duration::from_millis(1000),
            max_stop_time: Duration::from_millis(50),
            poll_wait: Duration::from_millis(400),
            drain_close_after: Duration::from_millis(2200),
            drain_accept_for: Duration::from_millis(4400),
            min_drain: Duration::from_millis(3500),
            max_drain: Duration::from_millis(5200),
            scheduling: SchedulingOptions::default(),
        }
    }
}
