//! Tests of the server against slow, malicious and disconnected callers.

use std::net::SocketAddr;
use std::time::Duration;

use googletest::prelude::*;
use hornbeam_core::api::caller::SubmitRequest;
use hornbeam_http::{
    BodyLimits, ClientOptions, HttpClient, HttpServer, HttpServerOptions, is_authorized,
    json_response, parse_json, read_json,
};
use http::HeaderMap;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::Router;
use volo_http::server::route::{get, post};

const HEAD_TIMEOUT: Duration = Duration::from_millis(200);
const LIMITS: BodyLimits = BodyLimits {
    max_bytes: 100,
    timeout: Duration::from_millis(200),
};

async fn sum(request: Request) -> Response {
    match read_json::<Vec<u32>>(request, &LIMITS).await {
        Ok(numbers) => json_response(200, &numbers.iter().sum::<u32>()),
        Err(rejection) => json_response(rejection.status, &rejection.findings),
    }
}

async fn wait(request: Request) -> Response {
    let wait_ms = read_json(request, &LIMITS).await.unwrap_or(0);
    sleep(Duration::from_millis(wait_ms)).await;
    json_response(200, &wait_ms)
}

async fn server(max_connections: usize) -> HttpServer {
    let router = Router::new()
        .route("/sum", post(sum))
        .route("/wait", post(wait))
        .route(
            "/large",
            get(|| async { json_response(200, &"x".repeat(40 << 20)) }),
        )
        .route("/ok", get(|| async { json_response(200, &true) }));
    let options = HttpServerOptions {
        max_connections,
        head_timeout: HEAD_TIMEOUT,
        max_head_bytes: 1000,
        write_timeout: Duration::from_millis(300),
    };
    let listen = "127.0.0.1:0".parse().unwrap();
    HttpServer::start(listen, router, options).await.unwrap()
}

/// Sends raw bytes and returns everything received until the server closes the
/// connection.
async fn send_raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut response = Vec::new();
    let reading = stream.read_to_end(&mut response);
    let _ = timeout(Duration::from_secs(2), reading)
        .await
        .expect("the server must close the connection");
    String::from_utf8(response).unwrap()
}

fn request(path: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("POST {path} HTTP/1.1\r\nhost: a\r\ncontent-length: {length}\r\n\r\n{body}").into()
}

/// Guards against a graceful stop that aborts a request in flight, as
/// `volo-http` does 30 s after a stop; see guarantee G7 of docs/PROOFS.md.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn stop_waits_for_a_request_of_over_30_s() {
    const RUN_MS: u64 = 31_500;
    let server = server(10).await;
    let address = server.address();
    let client = HttpClient::new(ClientOptions::default()).unwrap();
    let call = tokio::spawn(async move {
        let time_limit = Duration::from_secs(60);
        client
            .post::<_, u64>(address, "/wait", &RUN_MS, time_limit)
            .await
    });
    sleep(Duration::from_millis(200)).await;
    let started = Instant::now();
    server.stop().await;
    expect_that!(started.elapsed(), gt(Duration::from_secs(31)));
    expect_that!(call.await.unwrap().unwrap().body, eq(RUN_MS));
    expect_true!(TcpStream::connect(address).await.is_err());
}

/// Guards against idle connections that delay a stop, and against an abort that
/// still responds to requests in flight.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn stop_is_prompt_when_idle_and_abort_closes_connections() {
    let idle = server(10).await;
    let client = HttpClient::new(ClientOptions::default()).unwrap();
    let time_limit = Duration::from_secs(5);
    let reply = client.get::<bool>(idle.address(), "/ok", time_limit).await;
    expect_true!(reply.unwrap().body);
    timeout(Duration::from_secs(1), idle.stop()).await.unwrap();

    let busy = server(10).await;
    let address = busy.address();
    let call = tokio::spawn(async move {
        client
            .post::<_, u64>(address, "/wait", &3000, time_limit)
            .await
    });
    sleep(Duration::from_millis(100)).await;
    busy.abort();
    let result = timeout(Duration::from_secs(1), call).await.unwrap();
    expect_true!(matches!(
        result.unwrap(),
        Err(hornbeam_core::Error::OutcomeUnknown(_))
    ));
}

/// Guards against a stop that waits forever for a caller that does not read its
/// response.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_does_not_read_cannot_block_a_stop() {
    let server = server(10).await;
    let mut stream = TcpStream::connect(server.address()).await.unwrap();
    let raw_request = b"GET /large HTTP/1.1\r\nhost: a\r\n\r\n";
    stream.write_all(raw_request).await.unwrap();
    expect_that!(stream.read(&mut [0; 10]).await.unwrap(), gt(0));
    timeout(Duration::from_secs(5), server.stop())
        .await
        .unwrap();
}

/// Guards against callers that occupy a connection or memory by sending slowly,
/// endlessly or too much.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn slow_and_oversized_requests_are_rejected() {
    let server = server(10).await;
    let address = server.address();
    expect_that!(
        send_raw(address, b"POST /sum HTTP/1.1\r\nho").await,
        not(contains_substring("200"))
    );
    let header = format!("x: {}\r\n", "y".repeat(2000));
    let large = format!("GET /ok HTTP/1.1\r\n{header}\r\n");
    expect_that!(
        send_raw(address, large.as_bytes()).await,
        contains_substring(" 431 ")
    );
    let many = format!("GET /ok HTTP/1.1\r\n{}\r\n", "a: b\r\n".repeat(80));
    expect_that!(
        send_raw(address, many.as_bytes()).await,
        contains_substring(" 431 ")
    );
    let body = "1".repeat(200);
    expect_that!(
        send_raw(address, &request("/sum", &body)).await,
        contains_substring(" 413 ")
    );
    let slow = &request("/sum", "[1, 2, 3]")[..55];
    expect_that!(send_raw(address, slow).await, contains_substring(" 408 "));
    expect_that!(
        send_raw(address, &request("/sum", "[1, 2]")).await,
        contains_substring("\r\n\r\n3")
    );
}

/// Guards against more open connections than the limit, and against permits
/// that are not released when a connection closes.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn connections_over_the_limit_wait_to_be_accepted() {
    let server = server(2).await;
    let send = async || {
        let mut stream = TcpStream::connect(server.address()).await.unwrap();
        stream.write_all(&request("/sum", "[7]")).await.unwrap();
        stream
    };
    let has_response = async |stream: &mut TcpStream| {
        let mut buffer = [0; 500];
        let reading = stream.read(&mut buffer);
        matches!(timeout(HEAD_TIMEOUT / 2, reading).await, Ok(Ok(1..)))
    };
    for _ in 0..3 {
        let (mut first, mut second, mut third) = (send().await, send().await, send().await);
        expect_true!(has_response(&mut first).await);
        expect_true!(has_response(&mut second).await);
        expect_false!(has_response(&mut third).await);
        drop(first);
        expect_true!(has_response(&mut third).await);
    }
}

/// Guards against findings without the location that the caller must correct.
#[gtest]
fn findings_name_the_field_line_and_column() {
    let text = "{\n  \"request_id\": \"r\",\n  \"tasks\": [{\"run_ms\": 5}, {\"run\u{e9}\": 1}]\n}";
    let rejection = parse_json::<SubmitRequest>(text.as_bytes()).unwrap_err();
    expect_that!(rejection.status, eq(400));
    let place = &rejection.findings[0].place;
    expect_that!(place.path, starts_with("tasks[1]"));
    expect_that!(place.line, eq(3));
    expect_that!(place.column, eq(34));
    expect_that!(
        rejection.findings[0].message,
        starts_with("Unknown field `run\u{e9}`")
    );
    let trailing = parse_json::<u32>(b"1 2").unwrap_err();
    expect_that!(trailing.findings[0].place.column, eq(3));
    expect_that!(parse_json::<u32>(b"").unwrap_err().findings.len(), eq(1));
}

/// Guards against accepting a missing, shorter, longer or wrong credential.
#[gtest]
fn only_the_right_credential_passes() {
    let with = |value: &str| {
        let mut headers = HeaderMap::new();
        headers.insert("authorization", value.parse().unwrap());
        is_authorized(&headers, Some("secret"))
    };
    expect_true!(with("Bearer secret"));
    expect_true!(with("bearer secret"));
    for wrong in [
        "Bearer secre",
        "Bearer secrets",
        "Bearer ",
        "Basic secret",
        "secret",
        "",
    ] {
        expect_false!(with(wrong), "{wrong}");
    }
    expect_false!(is_authorized(&HeaderMap::new(), Some("secret")));
    expect_true!(is_authorized(&HeaderMap::new(), None));
}
