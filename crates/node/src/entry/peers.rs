//! Peers: their addresses, their configuration versions, and the status messages
//! sent to them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hornbeam_core::ids::{ConfigVersion, HostId};
use hornbeam_dispatch::PeerStatus;
use hornbeam_timer::TimerService;
use hornbeam_transport::{Link, LinkOptions};
use tokio::sync::{Notify, watch};
use tokio::task::JoinSet;

use super::input::{DispatchLoopHandle, DispatchLoopInput};
use super::metrics::EntryMetrics;
use crate::lifecycle::Lifecycle;
use crate::metrics::MessageKind;
use crate::wire::{Request, RequestAnswer};

/// Interval of the periodic status messages: 4 per second.
const STATUS_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum time between two status messages, which bounds their cost.
const MIN_STATUS_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of a status message, below the 1 s after which a peer counts as lost,
/// so that there is time for another attempt.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

/// `Peer` is the state of a peer according to its last status.
#[derive(Clone, Debug)]
struct Peer {
    link: Link,
    config_version: ConfigVersion,
}

/// `PeerTable` holds the peers by the host id in their status messages.
#[derive(Debug)]
pub(crate) struct PeerTable {
    options: LinkOptions,
    peers: Mutex<HashMap<HostId, Peer>>,
    newest: watch::Sender<ConfigVersion>,
    status_due: Notify,
}

impl PeerTable {
    /// Creates an empty table whose links use the given options.
    pub(crate) fn new(options: LinkOptions) -> Self {
        Self {
            options,
            peers: Mutex::default(),
            newest: watch::Sender::new(0),
            status_due: Notify::new(),
        }
    }

    /// Records a peer's status.
    pub(crate) fn record_status(&self, status: &PeerStatus) {
        let Ok(address) = status.link_address.parse() else {
            return;
        };
        let mut peers = self.lock();
        let known = peers.get_mut(&status.host_id);
        match known.filter(|peer| peer.link.address() == address) {
            Some(peer) => peer.config_version = status.config_version,
            None => {
                let peer = Peer {
                    link: Link::new(address, self.options.clone()),
                    config_version: status.config_version,
                };
                peers.insert(status.host_id.clone(), peer);
            }
        }
        drop(peers);
        let version = status.config_version;
        self.newest.send_if_modified(|newest| {
            let newer = version > *newest;
            *newest = version.max(*newest);
            newer
        });
    }

    /// Requests that the next status be sent before the interval ends.
    pub(crate) fn request_status(&self) {
        self.status_due.notify_one();
    }

    /// Gets the link to a peer.
    pub(crate) fn link(&self, peer: &HostId) -> Option<Link> {
        self.lock().get(peer).map(|peer| peer.link.clone())
    }

    /// Gets the links to peers that have a version above the given one, newest
    /// version first.
    pub(crate) fn links_with_config_newer_than(&self, version: ConfigVersion) -> Vec<Link> {
        let peers = self.lock();
        let mut newer: Vec<&Peer> = peers
            .values()
            .filter(|peer| peer.config_version > version)
            .collect();
        newer.sort_by_key(|peer| std::cmp::Reverse(peer.config_version));
        newer.into_iter().map(|peer| peer.link.clone()).collect()
    }

    /// Waits until some peer has a version above the given one.
    pub(crate) async fn wait_for_config_newer_than(&self, version: ConfigVersion) {
        let mut newest = self.newest.subscribe();
        // The sender lives in `self`, so waiting cannot fail.
        let _ = newest.wait_for(|newest| *newest > version).await;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<HostId, Peer>> {
        // No holder of the lock can panic between two changes.
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// `StatusSender` sends this host's status to every peer from the settings.
#[derive(Debug)]
pub(crate) struct StatusSender {
    /// Source of the status.
    pub(crate) event_loop: DispatchLoopHandle,
    /// Addresses in the status.
    pub(crate) addresses: AdvertisedAddresses,
    /// Peers; signals that a status is due before the interval ends.
    pub(crate) peers: Arc<PeerTable>,
    /// Links to the peers from the settings.
    pub(crate) links: Vec<Link>,
    /// Clock and timers.
    pub(crate) timer: TimerService,
    /// Metrics.
    pub(crate) metrics: Arc<EntryMetrics>,
    /// The life cycle of the process, which ends the task.
    pub(crate) lifecycle: Arc<Lifecycle>,
}

/// `AdvertisedAddresses` are the addresses at which others connect to this host.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AdvertisedAddresses {
    /// For callers and backend servers.
    pub(crate) http: SocketAddr,
    /// For other processes of the system.
    pub(crate) link: SocketAddr,
}

impl StatusSender {
    /// Runs until the process is drained or has failed. While a peer is slow to
    /// answer, older status messages to it are skipped.
    pub(crate) async fn run(self) {
        let (sender, receiver) = watch::channel(None);
        let mut tasks = JoinSet::new();
        for link in &self.links {
            let metrics = Arc::clone(&self.metrics);
            tasks.spawn(send_statuses(link.clone(), receiver.clone(), metrics));
        }
        drop(receiver);
        tokio::select! {
            () = self.publish(&sender) => {}
            () = self.lifecycle.stopped() => {}
        }
        drop(sender);
        while tasks.join_next().await.is_some() {}
    }

    async fn publish(&self, statuses: &watch::Sender<Option<PeerStatus>>) {
        let mut ticks = self.timer.ticks(STATUS_INTERVAL);
        loop {
            let Ok(mut status) = self.event_loop.ask(DispatchLoopInput::PeerStatus).await else {
                return;
            };
            status.http_address = self.addresses.http.to_string();
            status.link_address = self.addresses.link.to_string();
            statuses.send_replace(Some(status));
            self.timer.sleep(MIN_STATUS_INTERVAL).await;
            tokio::select! {
                _ = ticks.next() => {}
                () = self.peers.status_due.notified() => {}
            }
        }
    }
}

/// Sends each new status to one peer until the source is dropped.
async fn send_statuses(
    link: Link,
    mut statuses: watch::Receiver<Option<PeerStatus>>,
    metrics: Arc<EntryMetrics>,
) {
    while statuses.changed().await.is_ok() {
        let status = statuses.borrow_and_update().clone();
        let Some(status) = status else {
            continue;
        };
        metrics.messages.count_request(MessageKind::Status);
        let answer = link.call(&Request::Status(status), STATUS_TIMEOUT).await;
        if let Ok(RequestAnswer::Done) = answer {
            metrics.messages.count_answer(MessageKind::Status);
        }
    }
}
