//! The server.
//!
//! The router, its handlers and their types are `volo-http`'s. The connections
//! are driven by `hyper` directly instead of `volo-http`'s `Server::run`: that
//! function reacts to signals, cuts connections 30 s later, does not tell when
//! a connection ends, and offers no limit on the size and time of heads.

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

/// Most headers of one request.
const MAX_HEADERS: usize = 64;

/// Smallest read buffer that `hyper` accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8192;

/// Pause after a failed accept, which mostly means that the process is out of
/// file descriptors.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);

/// `HttpServerOptions` are the limits of an [`HttpServer`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HttpServerOptions {
    /// Most open connections; more wait to be accepted; default 4096.
    pub max_connections: usize,
    /// Time within which the request head must arrive, counted from the start
    /// of the connection or the end of the previous request, so that it bounds
    /// idle time too; default 5 s.
    pub head_timeout: Duration,
    /// Largest request head in bytes; default 16 KiB.
    pub max_head_bytes: usize,
    /// Time within which a caller must take more of its answer. A caller that
    /// reads nothing would otherwise hold up [`HttpServer::stop`]; default
    /// 10 s.
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

/// `HttpServer` serves one router on one address. It does not react to
/// signals. Dropping it has the effect of [`HttpServer::abort`].
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    stopping: watch::Sender<bool>,
    accepting: JoinHandle<()>,
}

impl HttpServer {
    /// Binds an address (port 0 chooses one) and starts to serve. The future
    /// of a handler is dropped if its caller goes away, so a handler spawns
    /// what must not be cut short.
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

    /// Like [`HttpServer::start`], on an address that is bound already.
    ///
    /// # Errors
    /// `Io` if the listener does not tell its address.
    pub fn start_on(
        listener: TcpListener,
        router: Router,
        options: HttpServerOptions,
    ) -> Result<Self> {
        let address = listener.local_addr().map_err(Error::io)?;
        let (stopping, stopped) = watch::channel(false);
        let acceptor = Acceptor {
            listener,
            permits: Arc::new(Semaphore::new(options.max_connections)),
            builder: connection_builder(&options),
            write_timeout: options.write_timeout,
            router: Arc::new(router),
            stopped,
        };
        let accepting = tokio::spawn(acceptor.run());
        Ok(Self {
            address,
            stopping,
            accepting,
        })
    }

    /// Gets the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting, waits for requests in flight without a time limit,
    /// and joins every task.
    pub async fn stop(mut self) {
        self.stopping.send_replace(true);
        // The task fails only if it is aborted, and only `self` can do that.
        let _ = (&mut self.accepting).await;
    }

    /// Stops at once and cuts every connection, as a crash would.
    pub fn abort(self) {}
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        // The task owns the connections' tasks, which end with it.
        self.accepting.abort();
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
    stopped: watch::Receiver<bool>,
}

impl Acceptor {
    async fn run(mut self) {
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                biased;
                _ = self.stopped.changed() => break,
                Some(_) = connections.join_next() => {}
                accepted = accept(&self.listener, &self.permits) => match accepted {
                    Ok(accepted) => drop(connections.spawn(self.connection(accepted).run())),
                    Err(_) => tokio::time::sleep(ACCEPT_RETRY).await,
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
            stopped: self.stopped.clone(),
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

/// `Connection` is one connection and what serves it.
struct Connection {
    accepted: Accepted,
    builder: http1::Builder,
    write_timeout: Duration,
    router: Arc<Router>,
    stopped: watch::Receiver<bool>,
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
        // An error only says that the caller broke the connection or the
        // protocol; the connection is over either way.
        tokio::select! {
            _ = serving.as_mut() => {}
            () = stopped(&mut self.stopped) => {
                serving.as_mut().graceful_shutdown();
                let _ = serving.await;
            }
        }
        drop(permit);
    }
}

/// Waits until the server stops.
async fn stopped(receiver: &mut watch::Receiver<bool>) {
    // An error means that the server is gone, which stops it as well.
    let _ = receiver.wait_for(|stopped| *stopped).await;
}

async fn handle(
    router: Arc<Router>,
    peer: SocketAddr,
    request: http::Request<hyper::body::Incoming>,
) -> std::result::Result<Response, Cut> {
    let mut context = ServerContext::new(Address::from(peer));
    let request = request.map(Body::from_incoming);
    let response = router.call(&mut context, request).await.into_response();
    match response.extensions().get::<Cut>() {
        Some(cut) => Err(*cut),
        None => Ok(response),
    }
}

/// `Cut` marks a response in whose place the connection is closed.
#[derive(Clone, Copy, Debug)]
struct Cut;

impl fmt::Display for Cut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the handler closes the connection without an answer")
    }
}

impl std::error::Error for Cut {}

/// Gets a response for which the server closes the connection without an
/// answer. Stand-ins use it to show how callers deal with lost connections.
pub fn close_without_answer() -> Response {
    let mut response = Response::new(Body::empty());
    response.extensions_mut().insert(Cut);
    response
}
