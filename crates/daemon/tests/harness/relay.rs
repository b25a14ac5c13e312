//! A TCP relay that can close, stall or delay its connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Maximum number of bytes that are forwarded at once.
const BUFFER_BYTES: usize = 16 << 10;

/// `RelayMode` is what a relay does with its connections and their bytes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RelayMode {
    /// Forwards everything.
    #[default]
    Forward,
    /// Closes open connections, and new ones as soon as they are accepted.
    Disconnect,
    /// Keeps connections open and forwards nothing.
    Stall,
    /// Forwards to the client, but nothing to the server.
    StallToServer,
    /// Forwards to the server, but nothing to the client.
    StallToClient,
    /// Delays each block of bytes to the client.
    DelayToClient(Duration),
    /// Closes a connection after this many more bytes to the server.
    DisconnectAfterToServer(usize),
    /// Closes a connection after this many more bytes to the client.
    DisconnectAfterToClient(usize),
}

/// `Relay` accepts connections and relays each one to its target. Dropping it
/// closes all of them.
pub struct Relay {
    address: SocketAddr,
    target: Arc<watch::Sender<SocketAddr>>,
    mode: Arc<watch::Sender<RelayMode>>,
    one_shot: Arc<AtomicBool>,
    accept_task: JoinHandle<()>,
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
        let mode = Arc::new(watch::Sender::new(RelayMode::Forward));
        let one_shot = Arc::new(AtomicBool::new(false));
        let state = RelayState {
            mode: mode.clone(),
            one_shot: one_shot.clone(),
        };
        let accept_task = tokio::spawn(accept(listener, target.clone(), state));
        Self {
            address,
            target,
            mode,
            one_shot,
            accept_task,
        }
    }

    /// Gets the address that clients connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the target of new connections.
    pub fn set_target(&self, target: SocketAddr) {
        self.target.send_replace(target);
    }

    /// Changes the mode of open and new connections.
    pub fn set_mode(&self, mode: RelayMode) {
        self.one_shot.store(false, Ordering::SeqCst);
        self.mode.send_replace(mode);
    }

    /// Gets the current mode.
    pub fn mode(&self) -> RelayMode {
        *self.mode.borrow()
    }

    /// Sets a mode that ends with the first connection that it closes; then the
    /// relay forwards everything again.
    pub fn set_once(&self, mode: RelayMode) {
        self.one_shot.store(true, Ordering::SeqCst);
        self.mode.send_replace(mode);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.set_mode(RelayMode::Disconnect);
        self.accept_task.abort();
    }
}

/// `RelayState` is the state that the connections of one relay share.
#[derive(Clone)]
struct RelayState {
    mode: Arc<watch::Sender<RelayMode>>,
    /// Whether the mode ends with the first connection that it closes.
    one_shot: Arc<AtomicBool>,
}

async fn accept(listener: TcpListener, target: Arc<watch::Sender<SocketAddr>>, state: RelayState) {
    while let Ok((client, _)) = listener.accept().await {
        if *state.mode.borrow() == RelayMode::Disconnect {
            continue;
        }
        let target = *target.borrow();
        let state = state.clone();
        tokio::spawn(async move {
            if let Ok(server) = TcpStream::connect(target).await {
                relay_connection(client, server, state).await;
            }
        });
    }
}

/// Forwards bytes in both directions until one of them ends.
async fn relay_connection(client: TcpStream, server: TcpStream, state: RelayState) {
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let mut mode = state.mode.subscribe();
    tokio::select! {
        () = forward_direction(from_client, to_server, &state, Direction::ToServer) => {}
        () = forward_direction(from_server, to_client, &state, Direction::ToClient) => {}
        _ = mode.wait_for(|mode| *mode == RelayMode::Disconnect) => {}
    }
}

async fn forward_direction(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    state: &RelayState,
    direction: Direction,
) {
    let mut mode = state.mode.subscribe();
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut forwarded = 0;
    let mut last_mode = RelayMode::Forward;
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        let waited = mode.wait_for(|mode| !mode.is_stalled(direction)).await;
        let Ok(current) = waited.map(|current| *current) else {
            return;
        };
        if current != last_mode {
            (last_mode, forwarded) = (current, 0);
        }
        if let (RelayMode::DelayToClient(delay), Direction::ToClient) = (current, direction) {
            tokio::time::sleep(delay).await;
        }
        let limit = current
            .byte_limit(direction)
            .map_or(length, |limit| limit - forwarded);
        let forward_length = length.min(limit);
        if to.write_all(&buffer[..forward_length]).await.is_err() {
            return;
        }
        forwarded += forward_length;
        if forward_length < length {
            if state.one_shot.swap(false, Ordering::SeqCst) {
                state.mode.send_replace(RelayMode::Forward);
            }
            return;
        }
    }
}

impl RelayMode {
    fn is_stalled(self, direction: Direction) -> bool {
        match self {
            Self::Stall => true,
            Self::StallToServer => direction == Direction::ToServer,
            Self::StallToClient => direction == Direction::ToClient,
            _ => false,
        }
    }

    /// Gets the number of bytes after which this direction is closed.
    fn byte_limit(self, direction: Direction) -> Option<usize> {
        match (self, direction) {
            (Self::DisconnectAfterToServer(bytes), Direction::ToServer)
            | (Self::DisconnectAfterToClient(bytes), Direction::ToClient) => Some(bytes),
            _ => None,
        }
    }
}
