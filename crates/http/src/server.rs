//! The HTTP server.
//!
//! The router, its handlers and their types come from `volo-http`. Connections
//! are driven by `hyper` directly instead of by `volo-http`'s `Server::run`,
//! which reacts to signals, closes connections 30 s later, does not report when
//! a connection ends, and does not limit the size and duration of heads.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hornbeam_core::{Error, Result};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::task::{JoinHandle, JoinSet};
use tokio_io_timeout::TimeoutStream;
use volo::net::Address;
use volo::service::Service;
use volo_http::body::Body;
use volo_http::context::ServerContext;
use volo_http::response::Response;
use volo_http::server::{IntoResponse, Router};

/// Maximum number of headers of one request.
const MAX_HEADERS: usize = 64;

/// Minimum size of a read buffer that `hyper` accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8192;

/// Delay after a failed accept. The usual cause is a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// `HttpServerOptions` are the limits of an [`HttpServer`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HttpServerOptions {
    /// Maximum number of open connections; further ones wait to be accepted;
    /// default 4096.
    pub max_connections: usize,
    /// Time within which the request head must arrive, counted from the start
    /// of the connection or the end of the previous request, so that it limits
    /// idle time too; default 5 s.
    pub head_timeout: Duration,
    /// Maximum size of a request head in bytes; default 16 KiB.
    pub max_head_bytes: usize,
    /// Time within which a caller must read more of its response; default 10 s.
    /// A caller that reads nothing would otherwise block [`HttpServer::stop`].
    pub write_timeout: Duration,
}

impl Default for HttpServerOptions {
    fn default() -> Self {
        Self {
            max_connections: 4096,
            head_timeout: Duration::from_secs(5),
            max_head_bytes: 16 << 10,
            write_timeout: Duration::from_secs(10),
        }
    }
}

/// `HttpServer` serves one router on one address. It does not handle signals.
/// Dropping it has the effect of [`HttpServer::abort`].
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    stop_sender: watch::Sender<bool>,
    accept_task: JoinHandle<()>,
}

impl HttpServer {
    /// Binds an address (port 0 selects a free port) and starts to serve. The
    /// future of a handler is dropped if its caller disconnects, so a handler
    /// must spawn work that has to run to completion.
    ///
    /// # Errors
    /// `Io` if the address cannot be bound.
    pub async fn start(
        address: SocketAddr,
        router: Router,
        options: HttpServerOptions,
    ) -> Result<Self> {
        let listener = TcpListener::bind(address).await.map_err(Error::io)?;
        Self::start_on(listener, router, options)
    }

    /// Like [`HttpServer::start`], on a listener that is already bound.
    ///
    /// # Errors
    /// `Io` if the address of the listener cannot be read.
    pub fn start_on(
        listener: TcpListener,
        router: Router,
        options: HttpServerOptions,
    ) -> Result<Self> {
        let address = listener.local_addr().map_err(Error::io)?;
        let (stop_sender, stop_receiver) = watch::channel(false);
        let acceptor = Acceptor {
            listener,
            permits: Arc::new(Semaphore::new(options.max_connections)),
            builder: connection_builder(&options),
            write_timeout: options.write_timeout,
            router: Arc::new(router),
            stop_receiver,
        };
        let accept_task = tokio::spawn(acceptor.run());
        Ok(Self {
            address,
            stop_sender,
            accept_task,
        })
    }

    /// Gets the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections, waits for requests in flight without a time
    /// limit, and joins every task.
    pub async fn stop(mut self) {
        self.stop_sender.send_replace(true);
        // The task fails only if it is aborted, which only `self` can do.
        let _ = (&mut self.accept_task).await;
    }

    /// Stops immediately and closes every connection, as a crash would.
    pub fn abort(self) {}
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        // The task owns the connection tasks, which end with it.
        self.accept_task.abort();
    }
}

fn connection_builder(options: &HttpServerOptions) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(options.head_timeout)
        .max_buf_size(options.max_head_bytes.max(MIN_BUFFER_BYTES))
        .max_header_size(options.max_head_bytes)
        .max_headers(MAX_HEADERS);
    builder
}

/// `Acceptor` accepts connections and owns their tasks.
struct Acceptor {
    listener: TcpListener,
    permits: Arc<Semaphore>,
    builder: http1::Builder,
    write_timeout: Duration,
    router: Arc<Router>,
    stop_receiver: watch::Receiver<bool>,
}

impl Acceptor {
    async fn run(mut self) {
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                biased;
                _ = self.stop_receiver.changed() => break,
                Some(_) = connections.join_next() => {}
                accepted = accept(&self.listener, &self.permits) => match accepted {
                    Ok(accepted) => drop(connections.spawn(self.connection(accepted).run())),
                    Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
                },
            }
        }
        drop(self.listener);
        while connections.join_next().await.is_some() {}
    }

    fn connection(&self, accepted: Accepted) -> Connection {
        Connection {
            accepted,
            builder: self.builder.clone(),
            write_timeout: self.write_timeout,
            router: self.router.clone(),
            stop_receiver: self.stop_receiver.clone(),
        }
    }
}

struct Accepted {
    stream: TcpStream,
    peer: SocketAddr,
    permit: OwnedSemaphorePermit,
}

async fn accept(listener: &TcpListener, permits: &Arc<Semaphore>) -> io::Result<Accepted> {
    let permit = permits
        .clone()
        .acquire_owned()
        .await
        .map_err(io::Error::other)?;
    let (stream, peer) = listener.accept().await?;
    stream.set_nodelay(true)?;
    Ok(Accepted {
        stream,
        peer,
        permit,
    })
}

/// `Connection` is an accepted connection with the state to serve it.
struct Connection {
    accepted: Accepted,
    builder: http1::Builder,
    write_timeout: Duration,
    router: Arc<Router>,
    stop_receiver: watch::Receiver<bool>,
}

impl Connection {
    /// Serves requests until the connection ends. When the server stops, the
    /// request in flight is answered first.
    async fn run(mut self) {
        let Accepted {
            stream,
            peer,
            permit,
        } = self.accepted;
        let router = self.router;
        let service = service_fn(move |request: http::Request<hyper::body::Incoming>| {
            handle(router.clone(), peer, request)
        });
        let mut stream = TimeoutStream::new(stream);
        stream.set_write_timeout(Some(self.write_timeout));
        let stream = TokioIo::new(Box::pin(stream));
        let serving = self.builder.serve_connection(stream, service);
        tokio::pin!(serving);
        // An error means that the caller broke the connection or the protocol;
        // the connection is closed in either case.
        tokio::select! {
            _ = serving.as_mut() => {}
            () = wait_for_stop(&mut self.stop_receiver) => {
                serving.as_mut().graceful_shutdown();
                let _ = serving.await;
            }
        }
        drop(permit);
    }
}

/// Waits until the server stops.
async fn wait_for_stop(receiver: &mut watch::Receiver<bool>) {
    // An error means that the server was dropped, which also stops it.
    let _ = receiver.wait_for(|stopped| *stopped).await;
}

async fn handle(
    router: Arc<Router>,
    peer: SocketAddr,
    request: http::Request<hyper::body::Incoming>,
) -> std::result::Result<Response, CloseConnection> {
    let mut context = ServerContext::new(Address::from(peer));
    let request = request.map(Body::from_incoming);
    let response = router.call(&mut context, request).await.into_response();
    match response.extensions().get::<CloseConnection>() {
        Some(close) => Err(*close),
        None => Ok(response),
    }
}

/// `CloseConnection` marks a response instead of which the connection is
/// closed.
#[derive(Clone, Copy, Debug)]
struct CloseConnection;

impl fmt::Display for CloseConnection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the handler closes the connection without a response")
    }
}

impl std::error::Error for CloseConnection {}

/// Gets a response that makes the server close the connection without
/// sending one. Stand-ins use it to test how callers handle lost connections.
pub fn close_without_response() -> Response {
    let mut response = Response::new(Body::empty());
    response.extensions_mut().insert(CloseConnection);
    response
}
