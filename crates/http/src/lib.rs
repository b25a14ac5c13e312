//! HTTP with JSON bodies for callers, operators and backend servers, built on
//! `volo-http`.
//!
//! Errors of the client tell a request that certainly never left from one
//! whose fate is unknown; see `docs/design.md`, section 7. The server bounds
//! connections, bodies and time; see section 13.

#![forbid(unsafe_code)]

mod client;
mod server;

pub use client::{ClientOptions, HttpClient, Reply};
pub use server::{HttpServer, HttpServerOptions};
