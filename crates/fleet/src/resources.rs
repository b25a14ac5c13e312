//! Resources that tasks need and workers have: cores, memory and accelerators.

use hornbeam_core::ids::ServiceId;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// `Resources` is an amount of cores, memory and accelerators.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct Resources {
    /// Processor time, in thousandths of a core.
    pub cpu_milli: u32,
    /// Memory in MB.
    pub memory_mb: u32,
    /// Number of accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// Whether `need` fits into this amount.
    pub fn can_fit(&self, need: &Self) -> bool {
        self.cpu_milli >= need.cpu_milli
            && self.memory_mb >= need.memory_mb
            && self.accelerators >= need.accelerators
    }

    /// Subtracts `need`, saturating at 0.
    pub fn subtract(&mut self, need: &Self) {
        self.cpu_milli = self.cpu_milli.saturating_sub(need.cpu_milli);
        self.memory_mb = self.memory_mb.saturating_sub(need.memory_mb);
        self.accelerators = self.accelerators.saturating_sub(need.accelerators);
    }

    /// Adds `other`, saturating at the largest value.
    pub fn add(&mut self, other: &Self) {
        self.cpu_milli = self.cpu_milli.saturating_add(other.cpu_milli);
        self.memory_mb = self.memory_mb.saturating_add(other.memory_mb);
        self.accelerators = self.accelerators.saturating_add(other.accelerators);
    }
}

/// Largest number of capacities that are remembered of a service.
const MAX_KNOWN_CAPACITIES: usize = 16;

/// `KnownCapacities` remembers the largest capacities that workers of each
/// service have reported. A reduced capacity may be restored, so that a task that
/// fits no worker now can fit one later.
#[derive(Clone, Debug, Default)]
pub(crate) struct KnownCapacities {
    services: IndexMap<ServiceId, Vec<Resources>>,
}

impl KnownCapacities {
    /// Adds a reported capacity.
    pub(crate) fn add(&mut self, service: &ServiceId, capacity: Resources) {
        let known = self.services.entry(service.clone()).or_default();
        if known.iter().any(|known| known.can_fit(&capacity)) {
            return;
        }
        known.retain(|known| !capacity.can_fit(known));
        if known.len() < MAX_KNOWN_CAPACITIES {
            known.push(capacity);
        }
    }

    /// Whether a task has ever fitted a worker; true if none is known.
    pub(crate) fn can_fit(&self, service: &ServiceId, need: &Resources) -> bool {
        let known = self.services.get(service);
        known.is_none_or(|known| known.iter().any(|known| known.can_fit(need)))
    }
}

/// `ServiceResources` lists the free resources of a host's workers of one
/// service, with one entry for each worker that has some.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct ServiceResources {
    /// Service of the workers.
    pub service: ServiceId,
    /// Free resources of each worker.
    pub free: Vec<Resources>,
    /// Capacity of the largest worker. It tells a task that only has to wait
    /// from one that fits no worker.
    pub largest: Resources,
}
