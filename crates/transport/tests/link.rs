//! Tests of calls over whole, silent and refused connections.

mod common;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use common::{Ask, Proxy, WITHIN, link, start};
use googletest::prelude::*;
use hornbeam_core::{Error, Result};
use hornbeam_transport::{Link, LinkOptions, ServerOptions};
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep, timeout};

/// Guards against mixed-up answers, blocked flow control windows and further
/// connections when many small and large calls run at once.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_calls_share_one_connection() {
    let server = start(ServerOptions::default()).await;
    let proxy = Proxy::start(server.address, usize::MAX, usize::MAX).await;
    // No probes: on a machine that is short of processor time a late pong
    // would add a connection, which is right but not what this test counts.
    let options = LinkOptions {
        probe_after: Duration::from_secs(60),
        ..LinkOptions::default()
    };
    let link = Link::new(proxy.address, options);
    let calls = (0..600u32).map(|number| {
        let link = link.clone();
        tokio::spawn(async move {
            let bytes = if number % 100 == 0 { 3 << 20 } else { 100 };
            let message = number.to_be_bytes().repeat(bytes / 4);
            let answer: Vec<u8> = link
                .call(&Ask::Echo(message.clone()), WITHIN)
                .await
                .unwrap();
            assert!(answer == message);
        })
    });
    for call in calls.collect::<Vec<_>>() {
        call.await.unwrap();
    }
    expect_that!(proxy.connections.load(Ordering::SeqCst), eq(1));
    let answer: Vec<u8> = link
        .call_on_new_connection(&Ask::Echo(vec![1]), WITHIN)
        .await
        .unwrap();
    expect_that!(answer, eq(&vec![1]));
    expect_that!(proxy.connections.load(Ordering::SeqCst), eq(2));
}

/// Guards against calls that keep using a connection that has become silent,
/// and against a replacement that cuts the calls that still run on it.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_connection_is_replaced_and_its_calls_go_on() {
    let server = start(ServerOptions::default()).await;
    let proxy = Proxy::start(server.address, usize::MAX, usize::MAX).await;
    let link = link(proxy.address);
    let long_link = link.clone();
    let long =
        tokio::spawn(async move { long_link.call::<_, Vec<u8>>(&Ask::Wait(200), WITHIN).await });
    sleep(Duration::from_millis(50)).await;
    let silent = proxy.silence();
    let short = Duration::from_millis(100);
    let lost = link.call::<_, Vec<u8>>(&Ask::Echo(vec![1]), short).await;
    expect_true!(matches!(lost, Err(Error::OutcomeUnknown(_))), "{lost:?}");
    let begin = Instant::now();
    let replaced = link.call::<_, Vec<u8>>(&Ask::Echo(vec![2]), WITHIN).await;
    expect_that!(replaced, ok(eq(&vec![2])));
    expect_that!(begin.elapsed(), lt(Duration::from_secs(1)));
    expect_that!(proxy.connections.load(Ordering::SeqCst), eq(2));
    silent.store(false, Ordering::SeqCst);
    expect_true!(long.await.unwrap().is_ok());
}

/// Guards against a connection that became silent while idle and is used
/// without a probe, which would make the outcome of the next call unknown.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_idle_connection_is_probed_before_use() {
    let server = start(ServerOptions::default()).await;
    let proxy = Proxy::start(server.address, usize::MAX, usize::MAX).await;
    let options = LinkOptions {
        probe_after: Duration::from_millis(50),
        probe_timeout: Duration::from_millis(100),
        ..LinkOptions::default()
    };
    let link = Link::new(proxy.address, options);
    let echo = async |byte| {
        link.call::<_, Vec<u8>>(&Ask::Echo(vec![byte]), WITHIN)
            .await
    };
    expect_that!(echo(1).await, ok(eq(&vec![1])));
    sleep(Duration::from_millis(60)).await;
    expect_that!(echo(2).await, ok(eq(&vec![2])));
    expect_that!(proxy.connections.load(Ordering::SeqCst), eq(1));
    let _silent = proxy.silence();
    sleep(Duration::from_millis(60)).await;
    expect_that!(echo(3).await, ok(eq(&vec![3])));
    expect_that!(proxy.connections.load(Ordering::SeqCst), eq(2));
    expect_that!(server.service.handled.load(Ordering::SeqCst), eq(3));
}

/// Guards against errors that claim more than is known: a refusal after the
/// request took effect, or "unknown" for what never left.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn each_failure_has_its_error() {
    let options = ServerOptions {
        credential: Some("secret".into()),
        max_message_bytes: 1000,
        ..ServerOptions::default()
    };
    let server = start(options).await;
    let with = |credential: &str, max_message_bytes| {
        let options = LinkOptions {
            credential: Some(credential.into()),
            max_message_bytes,
            ..LinkOptions::default()
        };
        Link::new(server.address, options)
    };
    let link = with("secret", 2000);
    let call = async |link: &Link, ask: Ask| link.call::<_, Vec<u8>>(&ask, WITHIN).await;

    let refused = call(&link, Ask::Refuse).await;
    expect_true!(matches!(refused, Err(Error::Refused(_))), "{refused:?}");
    expect_that!(server.service.handled.load(Ordering::SeqCst), eq(1));
    let panicked = call(&link, Ask::Panic).await;
    expect_true!(
        matches!(panicked, Err(Error::OutcomeUnknown(_))),
        "{panicked:?}"
    );
    let inflated = call(&link, Ask::Inflate(1500)).await;
    expect_true!(
        matches!(inflated, Err(Error::OutcomeUnknown(_))),
        "{inflated:?}"
    );
    let undecodable: Result<(u64, String)> = link.call(&Ask::Inflate(2), WITHIN).await;
    expect_true!(
        matches!(undecodable, Err(Error::Codec(_))),
        "{undecodable:?}"
    );

    let handled = server.service.handled.load(Ordering::SeqCst);
    let wrong = call(&with("secreT", 2000), Ask::Echo(vec![])).await;
    expect_true!(matches!(wrong, Err(Error::Refused(_))), "{wrong:?}");
    let too_large = call(&link, Ask::Echo(vec![1; 1500])).await;
    expect_true!(matches!(too_large, Err(Error::Refused(_))), "{too_large:?}");
    let never_sent = call(&with("secret", 1000), Ask::Echo(vec![1; 1500])).await;
    expect_true!(
        matches!(never_sent, Err(Error::NotSent(_))),
        "{never_sent:?}"
    );
    expect_that!(server.service.handled.load(Ordering::SeqCst), eq(handled));

    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let closed = listener.local_addr().unwrap();
    drop(listener);
    let none = call(&common::link(closed), Ask::Echo(vec![])).await;
    expect_true!(matches!(none, Err(Error::NotSent(_))), "{none:?}");
}

/// Guards against a shutdown that cuts running requests, leaves tasks behind
/// or waits for idle connections.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn shutdown_waits_for_running_requests_only() {
    let server = start(ServerOptions::default()).await;
    let busy = link(server.address);
    let idle = link(server.address);
    let echo = idle.call::<_, Vec<u8>>(&Ask::Echo(vec![1]), WITHIN).await;
    expect_true!(echo.is_ok());
    let call = tokio::spawn(async move { busy.call::<_, Vec<u8>>(&Ask::Wait(700), WITHIN).await });
    sleep(Duration::from_millis(100)).await;
    server.shutdown.send(()).unwrap();
    let ended = timeout(Duration::from_secs(3), server.task).await;
    expect_true!(ended.unwrap().unwrap().is_ok());
    expect_true!(call.await.unwrap().is_ok());
    expect_that!(Arc::strong_count(&server.service), eq(1));
    let late = idle.call::<_, Vec<u8>>(&Ask::Echo(vec![1]), WITHIN).await;
    expect_true!(matches!(late, Err(Error::NotSent(_))), "{late:?}");
}

/// Guards against idle connections that stay open for ever, and against a
/// failed call when one has been closed.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_idle_connection_is_closed_and_replaced() {
    let options = ServerOptions {
        idle_timeout: Duration::from_millis(100),
        max_connections: 1,
        ..ServerOptions::default()
    };
    let server = start(options).await;
    let first = link(server.address);
    for round in 0..3u8 {
        let ask = Ask::Echo(vec![round]);
        let answer = first.call::<_, Vec<u8>>(&ask, WITHIN).await;
        expect_that!(answer, ok(eq(&vec![round])));
        sleep(Duration::from_millis(200)).await;
    }
    let second = link(server.address);
    let answer = second.call::<_, Vec<u8>>(&Ask::Echo(vec![9]), WITHIN).await;
    expect_that!(answer, ok(eq(&vec![9])));
}
