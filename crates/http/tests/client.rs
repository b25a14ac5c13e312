//! Tests of the client against peers that interrupt the exchange.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use googletest::prelude::*;
use hornbeam_core::Error;
use hornbeam_http::{ClientOptions, HttpClient, Reply};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

const TIMEOUT: Duration = Duration::from_millis(400);
const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ntrue";

/// Point at which the peer interrupts the exchange.
#[derive(Clone, Copy, Debug, PartialEq)]
enum FailurePoint {
    OnAccept,
    PartialHead,
    AfterRequest,
    PartialResponse,
    Never,
    NoResponse,
}

/// Traffic that the peer has received.
#[derive(Default)]
struct PeerStats {
    connections: AtomicUsize,
    bytes: AtomicUsize,
    requests: AtomicUsize,
}

/// Starts a peer that applies `failures` to its connections in turn; the last
/// one applies to all further connections.
async fn start_peer(failures: &'static [FailurePoint]) -> (SocketAddr, Arc<PeerStats>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let stats = Arc::new(PeerStats::default());
    let shared = stats.clone();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            let number = shared.connections.fetch_add(1, Ordering::SeqCst);
            let failure = failures[number.min(failures.len() - 1)];
            tokio::spawn(serve_connection(stream, failure, shared.clone()));
        }
    });
    (address, stats)
}

async fn serve_connection(mut stream: TcpStream, failure: FailurePoint, stats: Arc<PeerStats>) {
    if failure == FailurePoint::OnAccept {
        return;
    }
    let mut request = Vec::new();
    loop {
        let mut buffer = [0; 16];
        let Ok(count @ 1..) = stream.read(&mut buffer).await else {
            return;
        };
        stats.bytes.fetch_add(count, Ordering::SeqCst);
        request.extend_from_slice(&buffer[..count]);
        if failure == FailurePoint::PartialHead {
            return;
        }
        if !request.ends_with(b"\"body\"") {
            continue;
        }
        request.clear();
        stats.requests.fetch_add(1, Ordering::SeqCst);
        match failure {
            FailurePoint::PartialResponse => {
                stream
                    .write_all(&RESPONSE[..RESPONSE.len() - 2])
                    .await
                    .unwrap();
                return;
            }
            FailurePoint::Never => stream.write_all(RESPONSE).await.unwrap(),
            FailurePoint::NoResponse => {}
            _ => return,
        }
    }
}

fn client(max_connections: usize) -> HttpClient {
    HttpClient::new(ClientOptions {
        max_connections_per_address: max_connections,
        connect_timeout: Duration::from_millis(200),
        idle_timeout: Duration::from_millis(300),
        max_response_bytes: 1000,
        ..ClientOptions::default()
    })
    .unwrap()
}

async fn post(client: &HttpClient, address: SocketAddr) -> hornbeam_core::Result<Reply<bool>> {
    client.post(address, "/v1/tasks", &"body", TIMEOUT).await
}

/// Guards against a resend by `volo-http`, and against "not sent" for a request
/// of which the peer has received a byte.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_interrupted_exchange_is_sent_once_and_its_outcome_is_unknown() {
    for failure in [
        FailurePoint::PartialHead,
        FailurePoint::AfterRequest,
        FailurePoint::PartialResponse,
        FailurePoint::NoResponse,
    ] {
        let failures: &'static [FailurePoint] = Box::leak(Box::new([failure]));
        let (address, stats) = start_peer(failures).await;
        let result = post(&client(4), address).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        let requests = stats.requests.load(Ordering::SeqCst);
        let connections = stats.connections.load(Ordering::SeqCst);
        expect_true!(
            matches!(result, Err(Error::OutcomeUnknown(_))),
            "{failure:?}: {result:?}"
        );
        expect_that!(connections, eq(1), "{failure:?}");
        expect_that!(
            requests,
            eq(usize::from(failure != FailurePoint::PartialHead)),
            "{failure:?}"
        );
    }
}

/// Guards against a resend on a second connection when the peer closes the
/// first one while the request is about to be written.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_close_racing_with_the_request_never_causes_a_resend() {
    for round in 0..100 {
        let (address, stats) =
            start_peer(&[FailurePoint::OnAccept, FailurePoint::AfterRequest]).await;
        let result = post(&client(4), address).await;
        let bytes = stats.bytes.load(Ordering::SeqCst);
        assert!(result.is_err(), "round {round}");
        assert_eq!(bytes, 0, "the request went to a second connection");
        assert_eq!(stats.connections.load(Ordering::SeqCst), 1);
    }
}

/// Guards against a resend when the peer closes a pooled connection just before
/// it is reused.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_pooled_connection_closed_before_reuse_never_causes_a_resend() {
    for round in 0..50 {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let later_connections = Arc::new(PeerStats::default());
        let shared = later_connections.clone();
        tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut buffer = [0; 1000];
            let mut request = Vec::new();
            while !request.ends_with(b"\"body\"") {
                let count = stream.read(&mut buffer).await.unwrap();
                request.extend_from_slice(&buffer[..count]);
            }
            stream.write_all(RESPONSE).await.unwrap();
            if round % 2 == 0 {
                tokio::task::yield_now().await;
            }
            drop(stream);
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                tokio::spawn(serve_connection(
                    stream,
                    FailurePoint::Never,
                    shared.clone(),
                ));
            }
        });
        let client = client(1);
        post(&client, address).await.unwrap();
        let result = post(&client, address).await;
        let requests = later_connections.requests.load(Ordering::SeqCst);
        match result {
            Ok(_) => assert_eq!(requests, 1),
            Err(Error::NotSent(_) | Error::OutcomeUnknown(_)) => assert_eq!(requests, 0),
            Err(other) => panic!("unexpected error {other}"),
        }
    }
}

/// Guards against a refused connection that looks like one that could not be
/// established in time, and the other way round.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_connection_is_told_from_a_silent_one() {
    let call = async |address| {
        let header = ("x-test", "1");
        let client = client(4);
        let call = client.post_for_bytes(address, "/", header, &true, TIMEOUT);
        call.await.map_err(|failure| failure.is_connection_refused)
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    expect_that!(call(address).await.is_err_and(|refused| !refused), eq(true));
    drop(listener);
    expect_that!(call(address).await.is_err_and(|refused| refused), eq(true));
}

/// Guards against an unknown outcome for requests that were certainly not sent,
/// which would fail jobs needlessly.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_without_a_connection_is_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let closed = listener.local_addr().unwrap();
    drop(listener);
    let refused = post(&client(4), closed).await;
    expect_true!(matches!(refused, Err(Error::NotSent(_))), "{refused:?}");

    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let unaccepting = socket.listen(1).unwrap();
    let address = unaccepting.local_addr().unwrap();
    let mut backlog = Vec::new();
    let connect_timeout = Duration::from_millis(50);
    while let Ok(connection) =
        tokio::time::timeout(connect_timeout, TcpStream::connect(address)).await
    {
        backlog.push(connection);
    }
    let unaccepted = post(&client(4), address).await;
    expect_true!(
        matches!(unaccepted, Err(Error::NotSent(_))),
        "{unaccepted:?}"
    );
}

/// Guards against more concurrent requests to an address than its connection
/// limit allows, and against a wrong error for the requests that had to wait.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn requests_over_the_limit_wait_and_are_not_sent() {
    let (address, stats) = start_peer(&[FailurePoint::NoResponse]).await;
    let client = client(2);
    let call = |timeout| {
        let client = client.clone();
        tokio::spawn(async move {
            let result = client.post::<_, bool>(address, "/v1/tasks", &"body", timeout);
            result.await
        })
    };
    let running_calls = [call(3 * TIMEOUT), call(3 * TIMEOUT)];
    tokio::time::sleep(TIMEOUT / 2).await;
    let waiting_calls = [call(TIMEOUT), call(TIMEOUT), call(TIMEOUT), call(TIMEOUT)];
    let mut not_sent = 0;
    for call in running_calls.into_iter().chain(waiting_calls) {
        not_sent += usize::from(matches!(call.await.unwrap(), Err(Error::NotSent(_))));
    }
    expect_that!(not_sent, eq(4));
    expect_that!(stats.requests.load(Ordering::SeqCst), eq(2));
    expect_that!(stats.connections.load(Ordering::SeqCst), eq(2));
}

/// Guards against a new connection for every request when all permits are in
/// use and `volo-http` has not yet returned the old connection to its pool.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn saturation_does_not_open_excess_connections() {
    let (address, stats) = start_peer(&[FailurePoint::Never]).await;
    let client = client(8);
    let call = || {
        let client = client.clone();
        tokio::spawn(async move {
            let result = client.post::<_, bool>(address, "/v1/tasks", &"body", 20 * TIMEOUT);
            result.await.unwrap()
        })
    };
    let calls: Vec<_> = (0..2000).map(|_| call()).collect();
    for call in calls {
        call.await.unwrap();
    }
    expect_that!(stats.requests.load(Ordering::SeqCst), eq(2000));
    expect_that!(stats.connections.load(Ordering::SeqCst), le(12));
}

/// Guards against reuse of connections after their idle timeout or after
/// `drop_connections`: a middlebox may silently discard their packets.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn connections_are_reused_until_dropped_or_idle() {
    let (address, stats) = start_peer(&[FailurePoint::Never]).await;
    let client = client(4);
    for _ in 0..5 {
        post(&client, address).await.unwrap();
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    expect_that!(stats.connections.load(Ordering::SeqCst), eq(1));
    client.drop_connections(address);
    post(&client, address).await.unwrap();
    expect_that!(stats.connections.load(Ordering::SeqCst), eq(2));
    tokio::time::sleep(Duration::from_millis(350)).await;
    post(&client, address).await.unwrap();
    expect_that!(stats.connections.load(Ordering::SeqCst), eq(3));
}

/// Guards against losing the status of a response that is not JSON, which would
/// make a refused credential look like an unknown outcome.
#[gtest]
#[tokio::test]
async fn a_plain_text_response_keeps_its_status() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let response = b"HTTP/1.1 401 Unauthorized\r\ncontent-length: 5\r\n\r\nwrong";
        for _ in 0..2 {
            let (mut stream, _) = listener.accept().await.unwrap();
            let _ = stream.read(&mut [0; 1000]).await.unwrap();
            stream.write_all(response).await.unwrap();
        }
    });
    let client = client(4);
    let timeout = Duration::from_secs(1);
    let reply = client.post_text(address, "/", &1, timeout).await.unwrap();
    expect_that!(reply.status, eq(401));
    expect_that!(reply.body, eq("wrong"));
    client.drop_connections(address);
    let Err(Error::Codec(cause)) = post(&client, address).await else {
        panic!("plain text is not JSON");
    };
    expect_that!(cause, contains_substring("401"));
}

/// Guards against a response that exhausts memory, and against success for a
/// response that cannot be decoded.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_unusable_response_is_a_codec_error() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        for body in ["[".repeat(2000), "tru".to_owned()] {
            let (mut stream, _) = listener.accept().await.unwrap();
            let _ = stream.read(&mut [0; 1000]).await.unwrap();
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
            stream.write_all(head.as_bytes()).await.unwrap();
            stream.write_all(body.as_bytes()).await.unwrap();
        }
    });
    for _ in 0..2 {
        let result = post(&client(4), address).await;
        expect_true!(matches!(result, Err(Error::Codec(_))), "{result:?}");
    }
}
