//! Requests and answers between the system's own processes: one h2 stream per
//! request, bodies encoded with `bincode`.
//!
//! Errors tell a request that certainly never left from one whose fate is
//! unknown. See `docs/design.md`, sections 5, 7 and 13.

#![forbid(unsafe_code)]

mod connection;
mod link;
mod message;
mod server;
mod stream;

pub use link::{Link, LinkOptions};
pub use server::{ServerOptions, Service, serve};
