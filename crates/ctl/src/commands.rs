//! Implementations of the commands, one module each.

pub(crate) mod apply;
pub(crate) mod check;
pub(crate) mod demo;
pub mod diff;
pub(crate) mod drain;
pub(crate) mod evacuate;
pub(crate) mod evacuations;
pub(crate) mod export;
pub(crate) mod history;
pub(crate) mod import;
pub(crate) mod load;
pub(crate) mod members;
pub(crate) mod rollback;
pub(crate) mod show;
pub(crate) mod standin;
pub(crate) mod status;
pub(crate) mod story;
pub(crate) mod submit;
