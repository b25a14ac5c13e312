//! Property tests of malformed input and of connections closed at any byte.

mod common;

use std::sync::atomic::Ordering;
use std::time::Duration;

use common::{Proxy, TIMEOUT, TestRequest, link, start};
use hornbeam_core::Error;
use hornbeam_transport::ServerOptions;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
/// Maximum growth of the process's memory caused by malformed input.
const MAX_GROWTH_KIB: u64 = 64 << 10;

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap()
}

/// Gets the resident memory of this process.
fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.unwrap().split_whitespace().nth(1);
    number.unwrap().parse().unwrap()
}

/// Generates an h2 frame with arbitrary type, flags and stream.
fn frame() -> impl Strategy<Value = Vec<u8>> {
    let payload = proptest::collection::vec(any::<u8>(), 0..200);
    (0..12u8, any::<u8>(), 0..8u32, payload).prop_map(|(kind, flags, stream, payload)| {
        let length = u32::try_from(payload.len()).unwrap().to_be_bytes();
        let mut frame = length[1..].to_vec();
        frame.extend([kind, flags]);
        frame.extend(stream.to_be_bytes());
        frame.extend(payload);
        frame
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Guards against malformed frames that crash the server or exhaust its
    /// memory.
    #[test]
    fn malformed_frames_do_not_affect_other_requests(
        with_preface: bool,
        frames in proptest::collection::vec(frame(), 0..20),
    ) {
        runtime().block_on(async {
            let server = start(ServerOptions::default()).await;
            let before_kib = resident_kib();
            let mut stream = TcpStream::connect(server.address).await.unwrap();
            let preface = if with_preface { PREFACE } else { b"" };
            let bytes = [preface, &frames.concat()].concat();
            let _ = stream.write_all(&bytes).await;
            let answer: Vec<u8> = link(server.address)
                .call(&TestRequest::Echo(vec![5]), TIMEOUT)
                .await
                .unwrap();
            assert_eq!(answer, [5]);
            assert!(resident_kib() < before_kib + MAX_GROWTH_KIB);
        });
    }

    /// Guards against request bodies that exhaust memory by claiming huge lengths
    /// or crash the server when they are decoded.
    #[test]
    fn random_bodies_are_refused_or_handled(
        mut body in prop_oneof![Just(vec![]), proptest::collection::vec(any::<u8>(), 0..300)],
        // Every variant except `Wait` and `Panic`, which do not respond at once.
        kind in prop_oneof![Just(0u8), Just(2), Just(3), 5..8u8],
        length in prop_oneof![Just(vec![]), Just(vec![253, 255, 255, 255, 255, 255, 255, 255, 127])],
    ) {
        // The first byte selects the variant, the next ones the length of its
        // content, which may be far more than what follows.
        body.splice(0..0, length);
        body.insert(0, kind);
        runtime().block_on(async {
            let server = start(ServerOptions::default()).await;
            let before_kib = resident_kib();
            let result = post(server.address, body).await;
            let status = result.map(|status| status.as_u16());
            assert!(matches!(status, Ok(200 | 400 | 409) | Err(())), "{status:?}");
            assert!(resident_kib() < before_kib + MAX_GROWTH_KIB);
        });
    }

    /// Guards against a wrong outcome, and against a resend, of a request whose
    /// connection closes after any number of bytes in either direction.
    #[test]
    fn a_closed_connection_gives_the_correct_error(
        to_server_bytes in 1..400usize,
        to_client_bytes in 1..400usize,
    ) {
        runtime().block_on(async {
            let server = start(ServerOptions::default()).await;
            let proxy = Proxy::start(server.address, to_server_bytes, to_client_bytes).await;
            let request = TestRequest::Echo(vec![3; 150]);
            let result = link(proxy.address).call::<_, Vec<u8>>(&request, TIMEOUT).await;
            tokio::time::sleep(Duration::from_millis(2)).await;
            let handled = server.service.handled.load(Ordering::SeqCst);
            match result {
                Ok(answer) => assert!(handled == 1 && answer == vec![3; 150]),
                Err(Error::NotSent(_)) => assert_eq!(handled, 0),
                Err(Error::OutcomeUnknown(_)) => assert!(handled <= 1),
                Err(other) => panic!("unexpected error: {other}"),
            }
        });
    }
}

/// Sends a body in a well-formed h2 request and returns the status.
async fn post(address: std::net::SocketAddr, body: Vec<u8>) -> Result<http::StatusCode, ()> {
    let stream = TcpStream::connect(address).await.unwrap();
    let (mut sender, connection) = h2::client::handshake(stream).await.unwrap();
    let driver = tokio::spawn(connection);
    let request = http::Request::post("http://hornbeam/call")
        .body(())
        .unwrap();
    let (response, mut body_stream) = sender.send_request(request, false).unwrap();
    body_stream.send_data(body.into(), true).unwrap();
    let limit = Duration::from_millis(500);
    let status = match tokio::time::timeout(limit, response).await {
        Ok(Ok(response)) => Ok(response.status()),
        // A response over the size limit is not sent.
        Ok(Err(_)) | Err(_) => Err(()),
    };
    driver.abort();
    status
}
