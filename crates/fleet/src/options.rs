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
    /// Distinguishes successive starts of this host; no default.
    pub incarnation: u64,
    /// Longest lease that a worker grants; default 1 s.
    pub max_lease: Duration,
    /// Longest time that a stop takes at a worker; default 50 ms.
    pub max_stop_time: Duration,
    /// Wait for an end at a worker per look. Lease renewals come at least this
    /// often, so that one lost look does not end a lease; default 400 ms.
    pub poll_wait: Duration,
    /// Time after the start of a drain at which the connections of callers are
    /// closed after their next answer; default 2.2 s, in which a load balancer
    /// that asks once a second has missed two answers and names other hosts.
    pub drain_close_after: Duration,
    /// Time after the start of a drain during which jobs are still taken;
    /// default 4.4 s, which leaves most jobs the time to end.
    pub drain_accept_for: Duration,
    /// Shortest time of a drain; default 3.5 s, in which callers are moved.
    pub min_drain: Duration,
    /// Time after the start of a drain at which what is left is given up;
    /// default 5.2 s, below the 6 s after which a host is killed.
    pub max_drain: Duration,
}

impl FleetOptions {
    /// Gets the options of a host with the defaults for the rest.
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
        }
    }
}
