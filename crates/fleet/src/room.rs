//! Processors, memory and accelerators: what a task needs and a worker has.

use hornbeam_core::ids::ServiceId;
use serde::{Deserialize, Serialize};

/// `Room` is an amount of a worker's resources.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct Resources {
    /// Processor time, in thousandths of a core.
    pub cpu_milli: u32,
    /// Memory in MB.
    pub memory_mb: u32,
    /// Accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// Whether `need` fits.
    pub fn holds(&self, need: &Self) -> bool {
        self.cpu_milli >= need.cpu_milli
            && self.memory_mb >= need.memory_mb
            && self.accelerators >= need.accelerators
    }

    /// Takes `need` away, at most what is there.
    pub fn take(&mut self, need: &Self) {
        self.cpu_milli = self.cpu_milli.saturating_sub(need.cpu_milli);
        self.memory_mb = self.memory_mb.saturating_sub(need.memory_mb);
        self.accelerators = self.accelerators.saturating_sub(need.accelerators);
    }

    /// Adds `other`.
    pub fn add(&mut self, other: &Self) {
        self.cpu_milli = self.cpu_milli.saturating_add(other.cpu_milli);
        self.memory_mb = self.memory_mb.saturating_add(other.memory_mb);
        self.accelerators = self.accelerators.saturating_add(other.accelerators);
    }
}

/// `RoomOfService` lists the free room of a host's workers of one service, one
/// entry a worker that has some.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct ServiceResources {
    /// The service.
    pub service: ServiceId,
    /// Free room by worker.
    pub free: Vec<Resources>,
    /// Largest worker, to tell a task that only has to wait from one that fits
    /// nowhere.
    pub largest: Resources,
}
