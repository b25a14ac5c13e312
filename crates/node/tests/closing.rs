//! Closing of connections when a fleet entry host stops.

mod harness;

use std::time::{Duration, Instant};

use googletest::prelude::*;
use harness::free_address;
use hornbeam_fleet::FleetOptions;
use hornbeam_http::HttpServerOptions;
use hornbeam_node::{FleetEntryHost, FleetEntryOptions, Host};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Time that the users leave a process after SIGTERM.
const GRACE_TIME: Duration = Duration::from_secs(6);

/// Start of a connection: the preface of HTTP/2 and an empty frame with settings.
const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0";

async fn start_host() -> (FleetEntryHost, Duration) {
    let fleet = FleetOptions::new("entry-0", "a", free_address());
    let longest_drain = fleet.max_drain;
    let mut fleet = fleet;
    fleet.min_drain = Duration::from_millis(10);
    let options = FleetEntryOptions {
        fleet,
        caller_listen: free_address(),
        readiness_listen: free_address(),
        report_listen: free_address(),
        metrics_listen: free_address(),
        control_hosts: vec![free_address()],
        http: HttpServerOptions::default(),
    };
    let host = FleetEntryHost::start(options).await.expect("an entry host");
    (host, longest_drain)
}

/// Guards against a host that is killed at the end of its grace time because it
/// waits for a peer, or for a caller, that does not close its connection.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_do_not_outlast_the_grace_time() {
    let (host, longest_drain) = start_host().await;
    let mut peer = TcpStream::connect(host.link_address()).await.unwrap();
    peer.write_all(HTTP2_PREFACE).await.unwrap();
    let mut caller = TcpStream::connect(host.http_address()).await.unwrap();
    caller
        .write_all(b"POST /orders/ HTTP/1.1\r\n")
        .await
        .unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;
    let stopping = Instant::now();
    host.stop().await;
    let closed_within = stopping.elapsed();
    expect_that!(longest_drain + closed_within, lt(GRACE_TIME));
    drop((peer, caller));
}
