//! The configuration that operators apply and all processes use.
//!
//! The `hornbeam-config` crate builds it from a base file and a site overlay.
//! See `docs/design.md`.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::ids::{FailureDomainId, InstitutionId, ServiceId, TeamId};

/// `Configuration` holds all settings that operators control.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "snake_case")]
pub struct Configuration {
    /// Name of the site, for example `dala`.
    pub site: String,
    /// Failure domains of the site; the order breaks ties between them.
    pub failure_domains: Vec<FailureDomainId>,
    /// Number of entry hosts; each enforces its share of every quota.
    pub entry_hosts: u32,
    /// Services by id.
    pub services: IndexMap<ServiceId, Service>,
    /// Institutions by id.
    pub institutions: IndexMap<InstitutionId, Institution>,
}

/// `Service` holds the limits of one service's jobs and tasks.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "snake_case")]
pub struct Service {
    /// Institution that owns the service.
    pub institution: InstitutionId,
    /// Maximum number of tasks in one job, 1 to 570; default 570.
    pub max_tasks_per_job: u32,
    /// Maximum payload of one task in bytes; default 65536.
    pub max_payload_bytes: u32,
    /// Maximum timeout that a caller may request, in ms; default 60000.
    pub max_timeout_ms: u64,
    /// Time by which a task may exceed its declared run time before its
    /// exchange counts as unanswered, in ms; default 30000.
    pub task_grace_ms: u64,
}

impl Default for Service {
    fn default() -> Self {
        Self {
            institution: String::new(),
            max_tasks_per_job: 570,
            max_payload_bytes: 65_536,
            max_timeout_ms: 60_000,
            task_grace_ms: 30_000,
        }
    }
}

/// `Institution` holds the terms of one institution.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "snake_case")]
pub struct Institution {
    /// Weight in fair queueing under overload; default 1.
    pub weight: u32,
    /// Maximum number of tasks of one job in one exchange with a backend
    /// server; default 1. A larger value saves messages but delays answers.
    pub max_tasks_per_exchange: u32,
    /// Maximum estimated queueing time at admission, in ms; default 5000.
    pub max_queue_ms: u64,
    /// Teams by id.
    pub teams: IndexMap<TeamId, Team>,
}

impl Default for Institution {
    fn default() -> Self {
        Self {
            weight: 1,
            max_tasks_per_exchange: 1,
            max_queue_ms: 5_000,
            teams: IndexMap::new(),
        }
    }
}

/// `Team` holds the weight and the quota of one team of an institution.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "snake_case")]
pub struct Team {
    /// Weight among the teams of the institution; default 1.
    pub weight: u32,
    /// Maximum number of slots in use at once across all entry hosts; default
    /// 400.
    pub quota_slots: u32,
}

impl Default for Team {
    fn default() -> Self {
        Self {
            weight: 1,
            quota_slots: 400,
        }
    }
}
