//! Request-response transport between the system's own processes: one h2
//! stream per request, with bodies encoded by `bincode`.
//!
//! Errors distinguish a request that was certainly never sent from one whose
//! outcome is unknown. See `docs/design.md`, sections 5, 7 and 13.

#![forbid(unsafe_code)]

mod connection;
mod link;
mod message;
mod server;
mod stream;

pub use link::{Link, LinkOptions};
pub use server::{ServerOptions, Service, serve};
