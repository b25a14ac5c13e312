//! HTTP with JSON bodies for callers, operators and backend servers, built on
//! `volo-http`.
//!
//! Errors of the client tell a request that certainly never left from one
//! whose fate is unknown; see `docs/design.md`, section 7. The server bounds
//! connections, bodies and time; see section 13.

#![forbid(unsafe_code)]

mod body;
mod client;
mod connections;
mod credential;
mod send_mark;
mod server;

pub use body::{BodyLimits, BodyRejection, json_answer, parse_json, read_json, text_answer};
pub use bytes::Bytes;
pub use client::{ClientOptions, HttpClient, Reply};
pub use credential::is_authorized;
pub use server::{HttpServer, HttpServerOptions, close_without_answer};
