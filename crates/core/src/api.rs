//! JSON types of the HTTP interfaces for callers, backend servers and
//! operators. Routes and status codes are listed in `docs/design.md`.

pub mod backend;
pub mod caller;
pub mod operator;
