//! Keeps the configuration up to date: long polls at control hosts, and polls of
//! peers when a peer reports a version that no control host delivers.

use std::sync::Arc;
use std::time::Duration;

use hornbeam_core::config::Configuration;
use hornbeam_core::ids::ConfigVersion;
use hornbeam_dispatch::DispatchInput;
use hornbeam_timer::TimerService;
use hornbeam_transport::Link;

use super::input::DispatchLoopHandle;
use super::peers::PeerTable;
use crate::config_watch::ConfigWatch;
use crate::lifecycle::Lifecycle;
use crate::wire::{Request, RequestAnswer};

/// Duration of a long poll, below the 2 s within which a change must be in
/// force. After an empty poll the next control host is asked, so a partitioned
/// one that never learns of a change delays an entry host no longer than this.
const POLL_WAIT: Duration = Duration::from_millis(1000);
/// Timeout of a long poll, its duration included.
const POLL_TIMEOUT: Duration = Duration::from_millis(1300);
/// Delay after an error, so that a failed control host is not flooded.
const ERROR_BACKOFF: Duration = Duration::from_millis(100);
/// Timeout of a poll of a peer.
const PEER_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time for control hosts to deliver a version after a peer reported it. Entry
/// hosts usually get a change at the same time, and polling peers at once would
/// only cost messages.
const PEER_DELAY: Duration = Duration::from_millis(500);

/// `ConfigPoller` keeps the configuration of one entry host up to date.
#[derive(Debug)]
pub(crate) struct ConfigPoller {
    /// The event loop, which gets newer configurations.
    pub(crate) event_loop: DispatchLoopHandle,
    /// Configuration in force at this host.
    pub(crate) config: ConfigWatch,
    /// Control hosts, in the order in which they are polled.
    pub(crate) control_hosts: Vec<Link>,
    /// Peers and the versions they report.
    pub(crate) peers: Arc<PeerTable>,
    /// Clock and timers.
    pub(crate) timer: TimerService,
    /// The life cycle of the process, which ends the task.
    pub(crate) lifecycle: Arc<Lifecycle>,
}

impl ConfigPoller {
    /// Runs until the process is drained or has failed. Both sources are polled
    /// concurrently, so that an unresponsive control host does not delay a
    /// peer's answer.
    pub(crate) async fn run(self) {
        tokio::select! {
            () = self.poll_control_hosts() => {}
            () = self.poll_newer_peers() => {}
            () = self.lifecycle.stopped() => {}
        }
    }

    async fn poll_control_hosts(&self) {
        if self.control_hosts.is_empty() {
            return std::future::pending().await;
        }
        for link in self.control_hosts.iter().cycle() {
            while self.poll(link, POLL_WAIT, POLL_TIMEOUT).await {}
        }
    }

    async fn poll_newer_peers(&self) {
        loop {
            let version = self.config.version();
            self.peers.wait_for_config_newer_than(version).await;
            self.timer.sleep(PEER_DELAY).await;
            self.poll_peers().await;
        }
    }

    async fn poll_peers(&self) {
        for link in self
            .peers
            .links_with_config_newer_than(self.config.version())
        {
            if self.poll(&link, Duration::ZERO, PEER_TIMEOUT).await {
                return;
            }
        }
    }

    /// Polls one process; returns whether a newer version is now in force.
    async fn poll(&self, link: &Link, wait: Duration, timeout: Duration) -> bool {
        let request = Request::Follow {
            have_version: self.config.version(),
            wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
        };
        let answer = link.call(&request, timeout).await;
        match answer {
            Ok(RequestAnswer::Configuration(Some(newer))) => {
                let (version, configuration) = *newer;
                self.apply(version, configuration).await
            }
            Ok(_) => false,
            Err(_) => {
                self.timer.sleep(ERROR_BACKOFF).await;
                false
            }
        }
    }

    /// Applies a version unless an equal or newer one is in force.
    async fn apply(&self, version: ConfigVersion, configuration: Configuration) -> bool {
        if version <= self.config.version() {
            return false;
        }
        let configuration = Arc::new(configuration);
        let input = DispatchInput::ConfigInForce(version, Arc::clone(&configuration));
        // The dispatcher gets it first, so that a host that reports itself as
        // ready does not refuse a job because it has no configuration.
        let in_force = self.event_loop.send(input).await.is_ok();
        in_force && self.config.publish(version, configuration)
    }
}
