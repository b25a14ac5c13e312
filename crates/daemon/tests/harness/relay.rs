//! A TCP relay whose connections can be cut, silenced or delayed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Largest piece that is passed on at once.
const PIECE_BYTES: usize = 16 << 10;

/// `Manner` is what a relay does with the bytes it gets.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Manner {
    /// Passes everything on.
    #[default]
    Pass,
    /// Closes open connections, and new ones at once.
    Cut,
    /// Keeps connections open and passes nothing on.
    Silent,
    /// Passes answers on, but nothing to the server.
    SilentToServer,
    /// Passes requests on, but nothing back.
    SilentToClient,
    /// Waits before each piece on the way back.
    DelayToClient(Duration),
    /// Closes a connection after this many more bytes to the server.
    CutToServerAfter(usize),
    /// Closes a connection after this many more bytes on the way back.
    CutToClientAfter(usize),
}

/// `Relay` listens and connects each connection to its target. Dropping it
/// closes everything.
pub struct Relay {
    address: SocketAddr,
    target: Arc<watch::Sender<SocketAddr>>,
    manner: Arc<watch::Sender<Manner>>,
    once: Arc<AtomicBool>,
    accepting: JoinHandle<()>,
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum Direction {
    ToServer,
    ToClient,
}

impl Relay {
    /// Starts a relay to a target.
    pub fn start(target: SocketAddr) -> Self {
        let listener = super::free_listener();
        listener.set_nonblocking(true).expect("a listener");
        let address = listener.local_addr().expect("a bound address");
        let listener = TcpListener::from_std(listener).expect("a listener");
        let target = Arc::new(watch::Sender::new(target));
        let manner = Arc::new(watch::Sender::new(Manner::Pass));
        let once = Arc::new(AtomicBool::new(false));
        let rules = Rules {
            manner: manner.clone(),
            once: once.clone(),
        };
        let accepting = tokio::spawn(accept(listener, target.clone(), rules));
        Self {
            address,
            target,
            manner,
            once,
            accepting,
        }
    }

    /// Gets the address that clients connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes where new connections go.
    pub fn set_target(&self, target: SocketAddr) {
        self.target.send_replace(target);
    }

    /// Changes what becomes of bytes, on open connections as well.
    pub fn set(&self, manner: Manner) {
        self.once.store(false, Ordering::SeqCst);
        self.manner.send_replace(manner);
    }

    /// Gets what becomes of bytes now.
    pub fn manner(&self) -> Manner {
        *self.manner.borrow()
    }

    /// Cuts one connection in this manner and passes everything on after it.
    pub fn set_once(&self, manner: Manner) {
        self.once.store(true, Ordering::SeqCst);
        self.manner.send_replace(manner);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.set(Manner::Cut);
        self.accepting.abort();
    }
}

/// `Rules` are what the connections of one relay share.
#[derive(Clone)]
struct Rules {
    manner: Arc<watch::Sender<Manner>>,
    /// Whether the manner ends with the first connection that it cuts.
    once: Arc<AtomicBool>,
}

async fn accept(listener: TcpListener, target: Arc<watch::Sender<SocketAddr>>, rules: Rules) {
    while let Ok((client, _)) = listener.accept().await {
        if *rules.manner.borrow() == Manner::Cut {
            continue;
        }
        let target = *target.borrow();
        let rules = rules.clone();
        tokio::spawn(async move {
            if let Ok(server) = TcpStream::connect(target).await {
                join(client, server, rules).await;
            }
        });
    }
}

/// Passes bytes in both directions until one of them ends.
async fn join(client: TcpStream, server: TcpStream, rules: Rules) {
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let mut manner = rules.manner.subscribe();
    tokio::select! {
        () = pump(from_client, to_server, &rules, Direction::ToServer) => {}
        () = pump(from_server, to_client, &rules, Direction::ToClient) => {}
        _ = manner.wait_for(|manner| *manner == Manner::Cut) => {}
    }
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    rules: &Rules,
    direction: Direction,
) {
    let mut manner = rules.manner.subscribe();
    let mut piece = vec![0; PIECE_BYTES];
    let mut passed = 0;
    let mut last = Manner::Pass;
    while let Ok(length @ 1..) = from.read(&mut piece).await {
        let waited = manner.wait_for(|manner| !manner.is_silent(direction)).await;
        let Ok(now) = waited.map(|now| *now) else {
            return;
        };
        if now != last {
            (last, passed) = (now, 0);
        }
        if let (Manner::DelayToClient(delay), Direction::ToClient) = (now, direction) {
            tokio::time::sleep(delay).await;
        }
        let room = now
            .room_bytes(direction)
            .map_or(length, |room| room - passed);
        let passing = length.min(room);
        if to.write_all(&piece[..passing]).await.is_err() {
            return;
        }
        passed += passing;
        if passing < length {
            if rules.once.swap(false, Ordering::SeqCst) {
                rules.manner.send_replace(Manner::Pass);
            }
            return;
        }
    }
}

impl Manner {
    fn is_silent(self, direction: Direction) -> bool {
        match self {
            Self::Silent => true,
            Self::SilentToServer => direction == Direction::ToServer,
            Self::SilentToClient => direction == Direction::ToClient,
            _ => false,
        }
    }

    /// Gets the number of bytes after which this direction is cut.
    fn room_bytes(self, direction: Direction) -> Option<usize> {
        match (self, direction) {
            (Self::CutToServerAfter(bytes), Direction::ToServer)
            | (Self::CutToClientAfter(bytes), Direction::ToClient) => Some(bytes),
            _ => None,
        }
    }
}
