//! The control host's services for guarded workers: published documents,
//! status reports, the registry of entry hosts.

pub(crate) mod join;
pub(crate) mod registry;
pub(crate) mod routes;
