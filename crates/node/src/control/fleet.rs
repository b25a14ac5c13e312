//! The control host's services for a fleet of workers: published documents,
//! status reports, the registry of entry hosts.

pub(crate) mod join;
pub(crate) mod registry;
pub(crate) mod routes;
