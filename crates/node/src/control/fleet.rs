//! What a control host does for guarded workers: documents, status reports,
//! the list of entry hosts.

pub(crate) mod join;
pub(crate) mod registry;
pub(crate) mod routes;
