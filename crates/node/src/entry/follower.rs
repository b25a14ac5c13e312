//! Follows the configuration: long polls at control hosts, and peers when no
//! control host has what a peer reports.

use std::sync::Arc;
use std::time::Duration;

use hornbeam_core::config::Configuration;
use hornbeam_core::ids::ConfigVersion;
use hornbeam_dispatch::DispatchInput;
use hornbeam_timer::TimerService;
use hornbeam_transport::Link;

use super::input::ShellHandle;
use super::peers::PeerTable;
use crate::config_watch::ConfigWatch;
use crate::lifecycle::Lifecycle;
use crate::wire::{Request, RequestAnswer};

/// Longest long poll. After an empty one the next control host is asked, so
/// that a control host that is cut off from its group, and so never learns of
/// a change, cannot hold an entry host for longer. It is below the 2 s within
/// which a change must be in force.
const POLL_WAIT: Duration = Duration::from_millis(1000);
/// Time within which a poll must be answered, the wait included.
const POLL_TIMEOUT: Duration = Duration::from_millis(1300);
/// Pause after an error, so that a control host that is down is not flooded.
const ERROR_PAUSE: Duration = Duration::from_millis(100);
/// Time for a peer to send its configuration.
const PEER_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time that control hosts have to deliver a version after a peer reported
/// it. Peers usually learn of a change at the same moment, and then asking
/// them would only cost messages.
const PEER_DELAY: Duration = Duration::from_millis(500);

/// `Follower` keeps the configuration of one entry host up to date.
#[derive(Debug)]
pub(crate) struct Follower {
    /// Where newer configurations go.
    pub(crate) shell: ShellHandle,
    /// What is in force here.
    pub(crate) config: ConfigWatch,
    /// Control hosts, in the order in which they are asked.
    pub(crate) control_hosts: Vec<Link>,
    /// Peers and the versions they report.
    pub(crate) peers: Arc<PeerTable>,
    /// The time.
    pub(crate) timer: TimerService,
    /// Ends the task.
    pub(crate) lifecycle: Arc<Lifecycle>,
}

impl Follower {
    /// Runs until the process has nothing left to do. Both sources run side by
    /// side, so that a silent control host does not delay a peer's answer.
    pub(crate) async fn run(self) {
        tokio::select! {
            () = self.follow_control_hosts() => {}
            () = self.follow_peers() => {}
            () = self.lifecycle.stopped() => {}
        }
    }

    async fn follow_control_hosts(&self) {
        if self.control_hosts.is_empty() {
            return std::future::pending().await;
        }
        for link in self.control_hosts.iter().cycle() {
            while self.poll(link, POLL_WAIT, POLL_TIMEOUT).await {}
        }
    }

    async fn follow_peers(&self) {
        loop {
            let version = self.config.version();
            self.peers.wait_newer_than(version).await;
            self.timer.sleep(PEER_DELAY).await;
            self.ask_peers().await;
        }
    }

    async fn ask_peers(&self) {
        for link in self.peers.newer_than(self.config.version()) {
            if self.poll(&link, Duration::ZERO, PEER_TIMEOUT).await {
                return;
            }
        }
    }

    /// Asks one process; returns whether it had something newer.
    async fn poll(&self, link: &Link, wait: Duration, within: Duration) -> bool {
        let request = Request::Follow {
            have_version: self.config.version(),
            wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
        };
        let answer = link.call(&request, within).await;
        match answer {
            Ok(RequestAnswer::Configuration(Some(newer))) => {
                let (version, configuration) = *newer;
                self.apply(version, configuration).await
            }
            Ok(_) => false,
            Err(_) => {
                self.timer.sleep(ERROR_PAUSE).await;
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
        // The dispatcher gets it first, so that a host that says it is ready
        // does not refuse a job for want of a configuration.
        let in_force = self.shell.send(input).await.is_ok();
        in_force && self.config.publish(version, configuration)
    }
}
