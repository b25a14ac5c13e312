//! The configuration that operators apply and that every process follows.
//!
//! The `hornbeam-config` crate builds it from a base file and a site overlay;
//! see `docs/design.md`.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::ids::{FailureDomainId, InstitutionId, ServiceId, TeamId};

/// `Configuration` is one accepted state of everything that operators set.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "snake_case")]
pub struct Configuration {
    /// Name of the site, for example `dala`.
    pub site: String,
    /// Failure domains of the site, in order of preference when equal.
    pub failure_domains: Vec<FailureDomainId>,
    /// Number of entry hosts; quotas are divided by it.
    pub entry_hosts: u32,
    /// Services by id.
    pub services: IndexMap<ServiceId, Service>,
    /// Institutions by id.
    pub institutions: IndexMap<InstitutionId, Institution>,
}

/// `Service` says what tasks of a service may ask for and how they are limited.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "snake_case")]
pub struct Service {
    /// Institution that owns the service.
    pub institution: InstitutionId,
    /// Most tasks in one job, 1 to 570; default 570.
    pub max_tasks_per_job: u32,
    /// Largest payload of one task in bytes; default 65536.
    pub max_payload_bytes: u32,
    /// Longest time that a caller may ask to wait, in ms; default 60000.
    pub max_timeout_ms: u64,
    /// Time by which a task may overrun its declared run time before its
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
    /// Weight in the fair order under overload; default 1.
    pub weight: u32,
    /// Most tasks of one job in one exchange with one backend server; more
    /// saves messages but delays answers; default 1.
    pub max_tasks_per_exchange: u32,
    /// Longest estimated queueing time at admission, in ms; default 5000.
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

/// `Team` is a part of an institution with its own quota.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "snake_case")]
pub struct Team {
    /// Weight among the teams of the institution; default 1.
    pub weight: u32,
    /// Most slots in use at once, over all entry hosts; default 400.
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
