//! Tests of the client against peers that break the exchange.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use googletest::prelude::*;
use hornbeam_core::Error;
use hornbeam_http::{ClientOptions, HttpClient, Reply};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

const WITHIN: Duration = Duration::from_millis(400);
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ntrue";

/// Where the peer breaks the exchange.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Cut {
    OnAccept,
    HalfHead,
    WholeRequest,
    HalfAnswer,
    Never,
    Silent,
}

/// What the peer has seen.
#[derive(Default)]
struct Seen {
    connections: AtomicUsize,
    bytes: AtomicUsize,
    requests: AtomicUsize,
}

/// Starts a peer that treats its connections by `cuts` in turn; the last one
/// applies to all further connections.
async fn peer(cuts: &'static [Cut]) -> (SocketAddr, Arc<Seen>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let seen = Arc::new(Seen::default());
    let shared = seen.clone();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            let number = shared.connections.fetch_add(1, Ordering::SeqCst);
            let cut = cuts[number.min(cuts.len() - 1)];
            tokio::spawn(treat(stream, cut, shared.clone()));
        }
    });
    (address, seen)
}

async fn treat(mut stream: TcpStream, cut: Cut, seen: Arc<Seen>) {
    if cut == Cut::OnAccept {
        return;
    }
    let mut request = Vec::new();
    loop {
        let mut buffer = [0; 16];
        let Ok(count @ 1..) = stream.read(&mut buffer).await else {
            return;
        };
        seen.bytes.fetch_add(count, Ordering::SeqCst);
        request.extend_from_slice(&buffer[..count]);
        if cut == Cut::HalfHead {
            return;
        }
        if !request.ends_with(b"\"body\"") {
            continue;
        }
        request.clear();
        seen.requests.fetch_add(1, Ordering::SeqCst);
        match cut {
            Cut::HalfAnswer => {
                stream.write_all(&ANSWER[..ANSWER.len() - 2]).await.unwrap();
                return;
            }
            Cut::Never => stream.write_all(ANSWER).await.unwrap(),
            Cut::Silent => {}
            _ => return,
        }
    }
}

fn client(max_connections: usize) -> HttpClient {
    HttpClient::new(ClientOptions {
        max_connections_per_address: max_connections,
        connect_timeout: Duration::from_millis(200),
        idle_timeout: Duration::from_millis(300),
        max_answer_bytes: 1000,
        ..ClientOptions::default()
    })
    .unwrap()
}

async fn post(client: &HttpClient, address: SocketAddr) -> hornbeam_core::Result<Reply<bool>> {
    client.post(address, "/v1/tasks", &"body", WITHIN).await
}

/// Guards against a second send of a request by the library, and against a
/// "not sent" for a request of which the peer has seen a byte.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_cut_exchange_is_sent_once_and_named_rightly() {
    for cut in [
        Cut::HalfHead,
        Cut::WholeRequest,
        Cut::HalfAnswer,
        Cut::Silent,
    ] {
        let cuts: &'static [Cut] = Box::leak(Box::new([cut]));
        let (address, seen) = peer(cuts).await;
        let result = post(&client(4), address).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        let requests = seen.requests.load(Ordering::SeqCst);
        let connections = seen.connections.load(Ordering::SeqCst);
        expect_true!(
            matches!(result, Err(Error::OutcomeUnknown(_))),
            "{cut:?}: {result:?}"
        );
        expect_that!(connections, eq(1), "{cut:?}");
        expect_that!(requests, eq(usize::from(cut != Cut::HalfHead)), "{cut:?}");
    }
}

/// Guards against a wrong "not sent" when the peer closes a connection while
/// the request is about to be written, on a new and on a pooled connection.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_close_that_races_the_request_never_doubles_it() {
    for round in 0..100 {
        let (address, seen) = peer(&[Cut::OnAccept, Cut::WholeRequest]).await;
        let result = post(&client(4), address).await;
        let bytes = seen.bytes.load(Ordering::SeqCst);
        assert!(result.is_err(), "round {round}");
        assert_eq!(bytes, 0, "the request went to a second connection");
        assert_eq!(seen.connections.load(Ordering::SeqCst), 1);
    }
}

/// Guards against a resend when a pooled connection is closed by the peer just
/// before it is used again.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_pooled_connection_closed_before_reuse_never_doubles_a_request() {
    for round in 0..50 {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let second = Arc::new(Seen::default());
        let shared = second.clone();
        tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut buffer = [0; 1000];
            let mut request = Vec::new();
            while !request.ends_with(b"\"body\"") {
                let count = stream.read(&mut buffer).await.unwrap();
                request.extend_from_slice(&buffer[..count]);
            }
            stream.write_all(ANSWER).await.unwrap();
            if round % 2 == 0 {
                tokio::task::yield_now().await;
            }
            drop(stream);
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                tokio::spawn(treat(stream, Cut::Never, shared.clone()));
            }
        });
        let client = client(1);
        post(&client, address).await.unwrap();
        let result = post(&client, address).await;
        let requests = second.requests.load(Ordering::SeqCst);
        match result {
            Ok(_) => assert_eq!(requests, 1),
            Err(Error::NotSent(_) | Error::OutcomeUnknown(_)) => assert_eq!(requests, 0),
            Err(other) => panic!("unexpected error {other}"),
        }
    }
}

/// Guards against "unknown" for requests that certainly never left, which
/// would fail jobs without need.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_without_a_connection_is_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let refusing = listener.local_addr().unwrap();
    drop(listener);
    let refused = post(&client(4), refusing).await;
    expect_true!(matches!(refused, Err(Error::NotSent(_))), "{refused:?}");

    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let full = socket.listen(1).unwrap();
    let address = full.local_addr().unwrap();
    let mut fillers = Vec::new();
    let pause = Duration::from_millis(50);
    while let Ok(filler) = tokio::time::timeout(pause, TcpStream::connect(address)).await {
        fillers.push(filler);
    }
    let unaccepted = post(&client(4), address).await;
    expect_true!(
        matches!(unaccepted, Err(Error::NotSent(_))),
        "{unaccepted:?}"
    );
}

/// Guards against more concurrent requests to a backend server than it has
/// connections, and against a wrong error for the ones that had to wait.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn requests_over_the_limit_wait_and_are_not_sent() {
    let (address, seen) = peer(&[Cut::Silent]).await;
    let client = client(2);
    let call = |within| {
        let client = client.clone();
        tokio::spawn(async move {
            let result = client.post::<_, bool>(address, "/v1/tasks", &"body", within);
            result.await
        })
    };
    let holders = [call(3 * WITHIN), call(3 * WITHIN)];
    tokio::time::sleep(WITHIN / 2).await;
    let waiters = [call(WITHIN), call(WITHIN), call(WITHIN), call(WITHIN)];
    let mut not_sent = 0;
    for call in holders.into_iter().chain(waiters) {
        not_sent += usize::from(matches!(call.await.unwrap(), Err(Error::NotSent(_))));
    }
    expect_that!(not_sent, eq(4));
    expect_that!(seen.requests.load(Ordering::SeqCst), eq(2));
    expect_that!(seen.connections.load(Ordering::SeqCst), eq(2));
}

/// Guards against a new connection for every request when all permits are in
/// use, because the library had not taken the old one back yet.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn saturation_does_not_multiply_connections() {
    let (address, seen) = peer(&[Cut::Never]).await;
    let client = client(8);
    let call = || {
        let client = client.clone();
        tokio::spawn(async move {
            let result = client.post::<_, bool>(address, "/v1/tasks", &"body", 20 * WITHIN);
            result.await.unwrap()
        })
    };
    let calls: Vec<_> = (0..2000).map(|_| call()).collect();
    for call in calls {
        call.await.unwrap();
    }
    expect_that!(seen.requests.load(Ordering::SeqCst), eq(2000));
    expect_that!(seen.connections.load(Ordering::SeqCst), le(12));
}

/// Guards against connections that outlive their idle time or a request to
/// drop them, because a middlebox may have made them silent.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn connections_are_reused_until_dropped_or_idle() {
    let (address, seen) = peer(&[Cut::Never]).await;
    let client = client(4);
    for _ in 0..5 {
        post(&client, address).await.unwrap();
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    expect_that!(seen.connections.load(Ordering::SeqCst), eq(1));
    client.drop_connections(address);
    post(&client, address).await.unwrap();
    expect_that!(seen.connections.load(Ordering::SeqCst), eq(2));
    tokio::time::sleep(Duration::from_millis(350)).await;
    post(&client, address).await.unwrap();
    expect_that!(seen.connections.load(Ordering::SeqCst), eq(3));
}

/// Guards against an answer that is not JSON and loses its status, so that a
/// refused credential looks like an unknown outcome.
#[gtest]
#[tokio::test]
async fn an_answer_of_plain_text_keeps_its_status() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let answer = b"HTTP/1.1 401 Unauthorized\r\ncontent-length: 5\r\n\r\nwrong";
        for _ in 0..2 {
            let (mut stream, _) = listener.accept().await.unwrap();
            let _ = stream.read(&mut [0; 1000]).await.unwrap();
            stream.write_all(answer).await.unwrap();
        }
    });
    let client = client(4);
    let within = Duration::from_secs(1);
    let reply = client.post_text(address, "/", &1, within).await.unwrap();
    expect_that!(reply.status, eq(401));
    expect_that!(reply.body, eq("wrong"));
    client.drop_connections(address);
    let Err(Error::Codec(cause)) = post(&client, address).await else {
        panic!("plain text is not JSON");
    };
    expect_that!(cause, contains_substring("401"));
}

/// Guards against an answer that fills the memory, and against success for an
/// answer that cannot be decoded.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_unusable_answer_is_a_codec_error() {
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
