//! Tests of calls over working, stalled and refused connections.

mod common;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use common::{Proxy, TIMEOUT, TestRequest, link, start};
use googletest::prelude::*;
use hornbeam_core::{Error, Result};
use hornbeam_transport::{Link, LinkOptions, ServerOptions};
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep, timeout};

/// Guards against swapped responses, blocked flow control windows and additional
/// connections when many small and large calls run concurrently.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_calls_share_one_connection() {
    let server = start(ServerOptions::default()).await;
    let proxy = Proxy::start(server.address, usize::MAX, usize::MAX).await;
    // Probes are disabled: on an overloaded machine a late pong would correctly
    // open another connection, which is not what this test counts.
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
                .call(&TestRequest::Echo(message.clone()), TIMEOUT)
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
        .call_on_new_connection(&TestRequest::Echo(vec![1]), TIMEOUT)
        .await
        .unwrap();
    expect_that!(answer, eq(&vec![1]));
    expect_that!(proxy.connections.load(Ordering::SeqCst), eq(2));
}

/// Guards against calls that keep using an unresponsive connection, and against
/// a replacement that aborts the calls in flight on it.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_unresponsive_connection_is_replaced_and_its_calls_complete() {
    let server = start(ServerOptions::default()).await;
    let proxy = Proxy::start(server.address, usize::MAX, usize::MAX).await;
    let link = link(proxy.address);
    let long_link = link.clone();
    let long = tokio::spawn(async move {
        long_link
            .call::<_, Vec<u8>>(&TestRequest::Wait(200), TIMEOUT)
            .await
    });
    sleep(Duration::from_millis(50)).await;
    let stalled = proxy.stall();
    let short = Duration::from_millis(100);
    let timed_out = link
        .call::<_, Vec<u8>>(&TestRequest::Echo(vec![1]), short)
        .await;
    expect_true!(
        matches!(timed_out, Err(Error::OutcomeUnknown(_))),
        "{timed_out:?}"
    );
    let started = Instant::now();
    let replaced = link
        .call::<_, Vec<u8>>(&TestRequest::Echo(vec![2]), TIMEOUT)
        .await;
    expect_that!(replaced, ok(eq(&vec![2])));
    expect_that!(started.elapsed(), lt(Duration::from_secs(1)));
    expect_that!(proxy.connections.load(Ordering::SeqCst), eq(2));
    stalled.store(false, Ordering::SeqCst);
    expect_true!(long.await.unwrap().is_ok());
}

/// Guards against a link that never recovers from a connection that has gone
/// silent, because its calls have less time than a probe takes by default.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_connection_is_replaced_by_calls_shorter_than_the_probe() {
    let server = start(ServerOptions::default()).await;
    let proxy = Proxy::start(server.address, usize::MAX, usize::MAX).await;
    let options = LinkOptions::default();
    let call_timeout = options.probe_timeout / 2;
    let link = Link::new(proxy.address, options);
    let echo = async |byte| {
        link.call::<_, Vec<u8>>(&TestRequest::Echo(vec![byte]), call_timeout)
            .await
    };
    expect_that!(echo(1).await, ok(eq(&vec![1])));
    let _stalled = proxy.stall();
    let lost = echo(2).await;
    expect_true!(matches!(lost, Err(Error::OutcomeUnknown(_))), "{lost:?}");
    expect_that!(echo(3).await, ok(eq(&vec![3])));
    expect_that!(echo(4).await, ok(eq(&vec![4])));
    expect_that!(proxy.connections.load(Ordering::SeqCst), eq(2));
}

/// Guards against using a connection that became unresponsive while idle without
/// a probe, which would make the outcome of the next call unknown.
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
        link.call::<_, Vec<u8>>(&TestRequest::Echo(vec![byte]), TIMEOUT)
            .await
    };
    expect_that!(echo(1).await, ok(eq(&vec![1])));
    sleep(Duration::from_millis(60)).await;
    expect_that!(echo(2).await, ok(eq(&vec![2])));
    expect_that!(proxy.connections.load(Ordering::SeqCst), eq(1));
    let _stalled = proxy.stall();
    sleep(Duration::from_millis(60)).await;
    expect_that!(echo(3).await, ok(eq(&vec![3])));
    expect_that!(proxy.connections.load(Ordering::SeqCst), eq(2));
    expect_that!(server.service.handled.load(Ordering::SeqCst), eq(3));
}

/// Guards against errors that state the wrong outcome: a refusal after the
/// request took effect, or an unknown outcome for a request never sent.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn each_failure_gives_the_correct_error() {
    let options = ServerOptions {
        credential: Some("secret".into()),
        max_message_bytes: 1000,
        ..ServerOptions::default()
    };
    let server = start(options).await;
    let link_with = |credential: &str, max_message_bytes| {
        let options = LinkOptions {
            credential: Some(credential.into()),
            max_message_bytes,
            ..LinkOptions::default()
        };
        Link::new(server.address, options)
    };
    let link = link_with("secret", 2000);
    let call =
        async |link: &Link, request: TestRequest| link.call::<_, Vec<u8>>(&request, TIMEOUT).await;

    let refused = call(&link, TestRequest::Refuse).await;
    expect_true!(matches!(refused, Err(Error::Refused(_))), "{refused:?}");
    expect_that!(server.service.handled.load(Ordering::SeqCst), eq(1));
    let panicked = call(&link, TestRequest::Panic).await;
    expect_true!(
        matches!(panicked, Err(Error::OutcomeUnknown(_))),
        "{panicked:?}"
    );
    let inflated = call(&link, TestRequest::Inflate(1500)).await;
    expect_true!(
        matches!(inflated, Err(Error::OutcomeUnknown(_))),
        "{inflated:?}"
    );
    let undecodable: Result<(u64, String)> = link.call(&TestRequest::Inflate(2), TIMEOUT).await;
    expect_true!(
        matches!(undecodable, Err(Error::Codec(_))),
        "{undecodable:?}"
    );

    let handled = server.service.handled.load(Ordering::SeqCst);
    let wrong = call(&link_with("secreT", 2000), TestRequest::Echo(vec![])).await;
    expect_true!(matches!(wrong, Err(Error::Refused(_))), "{wrong:?}");
    let too_large = call(&link, TestRequest::Echo(vec![1; 1500])).await;
    expect_true!(matches!(too_large, Err(Error::Refused(_))), "{too_large:?}");
    let never_sent = call(&link_with("secret", 1000), TestRequest::Echo(vec![1; 1500])).await;
    expect_true!(
        matches!(never_sent, Err(Error::NotSent(_))),
        "{never_sent:?}"
    );
    expect_that!(server.service.handled.load(Ordering::SeqCst), eq(handled));

    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let closed = listener.local_addr().unwrap();
    drop(listener);
    let none = call(&common::link(closed), TestRequest::Echo(vec![])).await;
    expect_true!(matches!(none, Err(Error::NotSent(_))), "{none:?}");
}

/// Guards against a shutdown that aborts running requests, leaks tasks or waits
/// for idle connections.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn shutdown_waits_for_running_requests_only() {
    let server = start(ServerOptions::default()).await;
    let busy = link(server.address);
    let idle = link(server.address);
    let echo = idle
        .call::<_, Vec<u8>>(&TestRequest::Echo(vec![1]), TIMEOUT)
        .await;
    expect_true!(echo.is_ok());
    let call = tokio::spawn(async move {
        busy.call::<_, Vec<u8>>(&TestRequest::Wait(700), TIMEOUT)
            .await
    });
    sleep(Duration::from_millis(100)).await;
    server.shutdown.send(()).unwrap();
    let ended = timeout(Duration::from_secs(3), server.task).await;
    expect_true!(ended.unwrap().unwrap().is_ok());
    expect_true!(call.await.unwrap().is_ok());
    expect_that!(Arc::strong_count(&server.service), eq(1));
    let late = idle
        .call::<_, Vec<u8>>(&TestRequest::Echo(vec![1]), TIMEOUT)
        .await;
    expect_true!(matches!(late, Err(Error::NotSent(_))), "{late:?}");
}

/// Guards against idle connections that stay open forever, and against a call
/// that fails because its idle connection was closed.
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
        let request = TestRequest::Echo(vec![round]);
        let answer = first.call::<_, Vec<u8>>(&request, TIMEOUT).await;
        expect_that!(answer, ok(eq(&vec![round])));
        sleep(Duration::from_millis(200)).await;
    }
    let second = link(server.address);
    let answer = second
        .call::<_, Vec<u8>>(&TestRequest::Echo(vec![9]), TIMEOUT)
        .await;
    expect_that!(answer, ok(eq(&vec![9])));
}
