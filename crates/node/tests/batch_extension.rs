//! Extended batches to peers of the present and of the former version.

mod harness;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use googletest::prelude::*;
use harness::{free_address, wait_until};
use hornbeam_core::Error;
use hornbeam_fleet::{
    BatchExtension, BatchTime, FleetOptions, PeerBatch, PeerMessage, PeerStatus, TAG_PACE,
};
use hornbeam_http::HttpServerOptions;
use hornbeam_node::{BatchLink, FleetEntryHost, FleetEntryOptions, Host, Request, RequestAnswer};
use hornbeam_transport::{Link, LinkOptions, ServerOptions, Service, serve};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

const TIMEOUT: Duration = Duration::from_secs(5);

/// `FormerRequest` is [`Request`] up to the batches, as the former version knew
/// it. The messages before are not sent here.
#[derive(Debug, Deserialize, Serialize)]
enum FormerRequest {
    V0,
    V1,
    V2,
    V3,
    V4,
    V5,
    V6,
    V7,
    V8,
    V9,
    V10,
    V11,
    V12,
    V13,
    V14,
    V15,
    V16,
    Batch(Box<PeerBatch>),
}

/// `FormerHost` cannot decode an extended batch.
#[derive(Clone, Default)]
struct FormerHost {
    sequences: Arc<Mutex<Vec<u64>>>,
}

impl Service for FormerHost {
    type Request = FormerRequest;
    type Answer = RequestAnswer;

    async fn handle(&self, request: FormerRequest) -> hornbeam_core::Result<RequestAnswer> {
        let FormerRequest::Batch(batch) = request else {
            return Err(Error::refused("not a batch"));
        };
        self.sequences.lock().unwrap().push(batch.sequence);
        Ok(RequestAnswer::Done)
    }
}

/// `CountingHost` records the sequence numbers of batches by their format.
#[derive(Clone, Default)]
struct CountingHost {
    accepts_extensions: bool,
    /// Whether it does not answer the first extended batch in time.
    loses_first: bool,
    extended: Arc<Mutex<Vec<u64>>>,
    plain: Arc<Mutex<Vec<u64>>>,
}

impl Service for CountingHost {
    type Request = Request;
    type Answer = RequestAnswer;

    async fn handle(&self, request: Request) -> hornbeam_core::Result<RequestAnswer> {
        match request {
            Request::ExtendedBatch(batch, _) => {
                self.extended.lock().unwrap().push(batch.sequence);
                if self.loses_first && batch.sequence == 1 {
                    std::future::pending().await
                }
                let refused = || Error::refused("an entry host does not answer this request");
                let answer = self.accepts_extensions.then_some(RequestAnswer::Done);
                answer.ok_or_else(refused)
            }
            Request::Batch(batch) => {
                self.plain.lock().unwrap().push(batch.sequence);
                Ok(RequestAnswer::Done)
            }
            _ => Err(Error::refused("not a batch")),
        }
    }
}

struct Server {
    stop: oneshot::Sender<()>,
    task: JoinHandle<()>,
}

impl Server {
    async fn start<S: Service>(address: SocketAddr, service: S) -> Self {
        let listener = TcpListener::bind(address).await.expect("a free address");
        let (stop, stopped) = oneshot::channel();
        let task = tokio::spawn(async move {
            let stopped = async move {
                // Ends when the sender is dropped, too.
                let _ = stopped.await;
            };
            let served = serve(
                listener,
                Arc::new(service),
                ServerOptions::default(),
                stopped,
            );
            served.await.expect("the server runs");
        });
        Self { stop, task }
    }

    async fn stop(self) {
        drop(self.stop);
        self.task.await.expect("the server stops");
    }
}

fn batch(from: SocketAddr, sequence: u64) -> PeerBatch {
    PeerBatch {
        from: "entry-2".into(),
        address: from,
        failure_domain: "fd-b".into(),
        time: BatchTime {
            incarnation: 7,
            sent_ms: sequence,
        },
        echo: None,
        sequence,
        messages: vec![PeerMessage::Status(PeerStatus::default())],
    }
}

fn extension() -> Option<BatchExtension> {
    let mut extension = BatchExtension::default();
    extension.push(TAG_PACE, vec![1, 2, 3]);
    Some(extension)
}

async fn send(link: &BatchLink, sequences: std::ops::RangeInclusive<u64>) {
    for sequence in sequences {
        let batch = batch(free_address(), sequence);
        assert!(link.send(batch, extension(), TIMEOUT).await, "{sequence}");
    }
}

fn batch_link(address: SocketAddr) -> BatchLink {
    BatchLink::new(Link::new(address, LinkOptions::default()))
}

/// Guards against a host of the former version, which cannot decode the request,
/// that gets no batches, or gets them twice.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn former_hosts_get_each_batch_once_without_extension() {
    let (address, host) = (free_address(), FormerHost::default());
    let server = Server::start(address, host.clone()).await;
    send(&batch_link(address), 1..=3).await;
    expect_that!(*host.sequences.lock().unwrap(), eq(&vec![1, 2, 3]));
    server.stop().await;
}

/// Guards against a refused attempt with each batch to a host of the former
/// version, and against extensions that stay off after it was replaced.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn refusal_holds_until_the_connection_is_replaced() {
    let (address, former) = (free_address(), CountingHost::default());
    let server = Server::start(address, former.clone()).await;
    let link = batch_link(address);
    send(&link, 1..=4).await;
    expect_that!(*former.extended.lock().unwrap(), eq(&vec![1]));
    expect_that!(*former.plain.lock().unwrap(), eq(&vec![1, 2, 3, 4]));
    server.stop().await;
    let present = CountingHost {
        accepts_extensions: true,
        ..CountingHost::default()
    };
    let server = Server::start(address, present.clone()).await;
    // The fleet retransmits a batch that fails with the former connection. The
    // first one on the new connection may still be sent without extension.
    wait_until("the new connection", async || {
        link.send(batch(address, 5), extension(), TIMEOUT).await
    })
    .await;
    send(&link, 6..=8).await;
    expect_that!(*present.extended.lock().unwrap(), contains(eq(&8)));
    let extended = present.extended.lock().unwrap().len();
    let plain = present.plain.lock().unwrap().len();
    expect_that!(extended + plain, eq(4));
    expect_that!(plain, le(1));
    server.stop().await;
}

/// Guards against a plain batch after an extended one whose outcome is unknown:
/// the host may have accepted it, and the fleet retransmits it anyway.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn unanswered_batch_is_not_sent_in_the_other_format() {
    let address = free_address();
    let host = CountingHost {
        accepts_extensions: true,
        loses_first: true,
        ..CountingHost::default()
    };
    let server = Server::start(address, host.clone()).await;
    let link = batch_link(address);
    let short = Duration::from_millis(200);
    let sent = link.send(batch(address, 1), extension(), short).await;
    expect_false!(sent);
    send(&link, 2..=2).await;
    expect_that!(*host.extended.lock().unwrap(), eq(&vec![1, 2]));
    expect_that!(*host.plain.lock().unwrap(), is_empty());
    drop(link);
    server.stop().await;
}

/// Guards against an entry host that refuses or does not handle extended
/// batches: it must answer the sender with its own batches.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn entry_hosts_accept_extended_batches() {
    let options = FleetEntryOptions {
        fleet: FleetOptions::new("entry-1", "fd-a", free_address()),
        caller_listen: free_address(),
        readiness_listen: free_address(),
        report_listen: free_address(),
        metrics_listen: free_address(),
        control_hosts: vec![free_address()],
        http: HttpServerOptions::default(),
    };
    let entry = FleetEntryHost::start(options).await.expect("an entry host");
    let (address, peer) = (free_address(), CountingHost::default());
    let server = Server::start(address, peer.clone()).await;
    let request = Request::ExtendedBatch(Box::new(batch(address, 1)), extension().unwrap());
    let link = Link::new(entry.link_address(), LinkOptions::default());
    let answer = link.call::<_, RequestAnswer>(&request, TIMEOUT).await;
    expect_true!(matches!(answer, Ok(RequestAnswer::Done)), "{answer:?}");
    wait_until("a batch of the entry host", async || {
        !peer.plain.lock().unwrap().is_empty()
    })
    .await;
    // No part contributes, so its own batches have the former format.
    expect_that!(*peer.extended.lock().unwrap(), is_empty());
    entry.stop().await;
    server.stop().await;
}
