//! A test service, its server and a proxy that injects connection faults.
#![allow(dead_code)] // Justification: each test file uses only some of the items.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use hornbeam_core::{Error, Result};
use hornbeam_transport::{Link, LinkOptions, ServerOptions, Service, serve};
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Maximum size of a response to [`TestRequest::Inflate`], whose size can come
/// from random input.
const MAX_INFLATE_BYTES: usize = 1 << 20;

pub const TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum TestRequest {
    Echo(Vec<u8>),
    Wait(u64),
    Refuse,
    Inflate(usize),
    Panic,
    Names(Vec<String>),
}

/// Handles [`TestRequest`]s and counts them.
#[derive(Default)]
pub struct EchoService {
    pub handled: AtomicUsize,
}

impl Service for EchoService {
    type Request = TestRequest;
    type Answer = Vec<u8>;

    async fn handle(&self, request: TestRequest) -> Result<Vec<u8>> {
        self.handled.fetch_add(1, Ordering::SeqCst);
        match request {
            TestRequest::Echo(bytes) => Ok(bytes),
            TestRequest::Wait(wait_ms) => {
                sleep(Duration::from_millis(wait_ms)).await;
                Ok(wait_ms.to_be_bytes().to_vec())
            }
            TestRequest::Refuse => Err(Error::refused("not now")),
            TestRequest::Inflate(bytes) => Ok(vec![7; bytes.min(MAX_INFLATE_BYTES)]),
            TestRequest::Panic => panic!("on request"),
            TestRequest::Names(names) => Ok(names.concat().into_bytes()),
        }
    }
}

/// A running server and the handles to inspect and stop it.
pub struct RunningServer {
    pub address: SocketAddr,
    pub service: Arc<EchoService>,
    pub shutdown: oneshot::Sender<()>,
    pub task: JoinHandle<Result<()>>,
}

pub async fn start(options: ServerOptions) -> RunningServer {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let service = Arc::new(EchoService::default());
    let (shutdown, ended) = oneshot::channel();
    let serving = serve(listener, service.clone(), options, async {
        let _ = ended.await;
    });
    let task = tokio::spawn(serving);
    RunningServer {
        address,
        service,
        shutdown,
        task,
    }
}

pub fn link(address: SocketAddr) -> Link {
    Link::new(
        address,
        LinkOptions {
            probe_timeout: Duration::from_millis(200),
            ..LinkOptions::default()
        },
    )
}

/// Forwards bytes, closes a connection after a given number of bytes, and
/// withholds bytes while the connection is stalled. [`Proxy::stall`] affects
/// only connections that were opened before it.
pub struct Proxy {
    pub address: SocketAddr,
    pub connections: Arc<AtomicUsize>,
    current: Arc<std::sync::Mutex<Arc<AtomicBool>>>,
}

impl Proxy {
    pub async fn start(to: SocketAddr, to_server_bytes: usize, to_client_bytes: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let connections = Arc::new(AtomicUsize::new(0));
        let current = Arc::new(std::sync::Mutex::new(Arc::new(AtomicBool::new(false))));
        let (count, flag) = (connections.clone(), current.clone());
        tokio::spawn(async move {
            loop {
                let (client, _) = listener.accept().await.unwrap();
                count.fetch_add(1, Ordering::SeqCst);
                let stalled = flag.lock().unwrap().clone();
                tokio::spawn(async move {
                    let Ok(server) = TcpStream::connect(to).await else {
                        return;
                    };
                    let (client_read, client_write) = client.into_split();
                    let (server_read, server_write) = server.into_split();
                    tokio::select! {
                        () = forward(client_read, server_write, to_server_bytes, &stalled) => {}
                        () = forward(server_read, client_write, to_client_bytes, &stalled) => {}
                    }
                });
            }
        });
        Self {
            address,
            connections,
            current,
        }
    }

    /// Stalls the connections opened so far and returns the flag that ends the
    /// stall when it is set to false.
    pub fn stall(&self) -> Arc<AtomicBool> {
        let mut current = self.current.lock().unwrap();
        let stalled_flag = std::mem::replace(&mut *current, Arc::new(AtomicBool::new(false)));
        stalled_flag.store(true, Ordering::SeqCst);
        stalled_flag
    }
}

async fn forward(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    mut remaining_bytes: usize,
    stalled: &AtomicBool,
) {
    let mut buffer = vec![0; 1 << 16];
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        while stalled.load(Ordering::SeqCst) {
            sleep(Duration::from_millis(5)).await;
        }
        let count = count.min(remaining_bytes);
        remaining_bytes -= count;
        if to.write_all(&buffer[..count]).await.is_err() || remaining_bytes == 0 {
            return;
        }
    }
}
