//! Options of the dispatcher.

use std::time::Duration;

use hornbeam_core::ids::{FailureDomainId, HostId};

/// `PlacementPolicy` selects how the backend server of a task is chosen.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PlacementPolicy {
    /// Only servers that lease all their slots to this host, with at most one
    /// task per slot.
    #[default]
    Leased,
    /// Baseline: any server at random, regardless of its load; servers queue
    /// tasks.
    Random,
    /// Baseline: the less loaded of two random servers, by the load that
    /// answers report plus the tasks that this host has sent since; servers
    /// queue tasks.
    TwoChoices,
}

/// `DispatchOptions` are the settings of a dispatcher that stay fixed when the
/// configuration changes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DispatchOptions {
    /// Id of this entry host; no default.
    pub host_id: HostId,
    /// Failure domain of this entry host; no default.
    pub failure_domain: FailureDomainId,
    /// Placement policy; default leased.
    pub placement: PlacementPolicy,
    /// Seed of the random number generator; default 0.
    pub seed: u64,
    /// Duration of a backend server's lease; default 2 s.
    pub lease: Duration,
    /// Timeout of a cancel query; default 1 s.
    pub cancel_timeout: Duration,
    /// Time without a status after which a peer counts as lost; default 1 s.
    pub peer_timeout: Duration,
}

impl Default for DispatchOptions {
    fn default() -> Self {
        Self {
            host_id: HostId::new(),
            failure_domain: FailureDomainId::new(),
            placement: PlacementPolicy::default(),
            seed: 0,
            lease: Duration::from_secs(2),
            cancel_timeout: Duration::from_secs(1),
            peer_timeout: Duration::from_secs(1),
        }
    }
}
