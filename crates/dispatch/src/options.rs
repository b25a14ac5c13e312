//! Options of the dispatcher.

use std::time::Duration;

use hornbeam_core::ids::{FailureDomainId, HostId};

/// `PlacementPolicy` chooses the backend server of a task.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PlacementPolicy {
    /// Only servers that lease all their slots to this host, one task a slot.
    #[default]
    Leased,
    /// Baseline: any server at random, whatever its load; servers queue.
    Random,
    /// Baseline: the less loaded of two servers at random, by the load that
    /// answers carry plus this host's own tasks in flight; servers queue.
    TwoChoices,
}

/// `DispatchOptions` are the settings of a dispatcher that no configuration
/// change touches.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DispatchOptions {
    /// Id of this entry host; no default.
    pub host_id: HostId,
    /// Failure domain of this entry host; no default.
    pub failure_domain: FailureDomainId,
    /// Placement policy; default leased.
    pub placement: PlacementPolicy,
    /// Seed of every random choice; default 0.
    pub seed: u64,
    /// Length of a backend server's lease; default 2 s.
    pub lease: Duration,
    /// Time within which the cancel query must be answered; default 1 s.
    pub cancel_timeout: Duration,
    /// Time after which a peer that sent no status is not used; default 1 s.
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
