//! HTTP with JSON bodies for callers, operators and backend servers, built on
//! `volo-http`.
//!
//! Client errors distinguish a request that was certainly never sent from one
//! whose outcome is unknown; see `docs/design.md`, section 7. The server
//! limits connections, body sizes and durations; see section 13.

#![forbid(unsafe_code)]

mod body;
mod client;
mod connection_pools;
mod credential;
mod send_tracker;
mod server;

pub use body::{BodyLimits, BodyRejection, json_response, parse_json, read_json, text_response};
pub use bytes::Bytes;
pub use client::{CallError, CallResult, ClientOptions, HttpClient, Reply};
pub use credential::is_authorized;
pub use server::{HttpServer, HttpServerOptions, close_without_response};
