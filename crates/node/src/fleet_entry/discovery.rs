//! Registration at the control hosts, discovery of peers, and download of newer
//! documents.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hornbeam_core::event::Event;
use hornbeam_core::log_event;
use hornbeam_fleet::{FleetInput, PeerInfo};
use hornbeam_platform::read_document;
use hornbeam_timer::TimerService;
use hornbeam_transport::{Link, LinkOptions};
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::event_loop::FleetEntryState;
use super::input::{FleetLoopHandle, FleetLoopInput};
use crate::lifecycle::{Lifecycle, LifecycleState};
use crate::wire::{EntryRegistration, Request, RequestAnswer};

/// Interval of registrations at each control host. Their answers announce newer
/// documents, which must be in force within 2 s.
const REGISTRATION_INTERVAL: Duration = Duration::from_millis(400);

/// Interval of registrations before the first document.
const STARTUP_REGISTRATION_INTERVAL: Duration = Duration::from_millis(80);

/// Timeout of a registration.
const REGISTRATION_TIMEOUT: Duration = Duration::from_millis(700);

/// Timeout of the download of a document.
const DOCUMENT_TIMEOUT: Duration = Duration::from_millis(1000);

/// Time without an answer after which a control host that is not a seed is
/// removed.
const CONTROL_HOST_TTL: Duration = Duration::from_secs(10);

/// `Discovery` registers one entry host and keeps its peers and its document up
/// to date.
#[derive(Debug)]
pub(crate) struct Discovery {
    /// Id, address and failure domain of this host.
    pub(crate) host: PeerInfo,
    /// Address for the status reports of its workers.
    pub(crate) report_address: SocketAddr,
    /// Control hosts from the settings.
    pub(crate) seeds: watch::Receiver<Vec<SocketAddr>>,
    /// Options of the links.
    pub(crate) link_options: LinkOptions,
    /// The event loop.
    pub(crate) event_loop: FleetLoopHandle,
    /// State shared by the event loop.
    pub(crate) state: watch::Sender<FleetEntryState>,
    /// Clock and timers.
    pub(crate) timer: TimerService,
    /// The life cycle of the process, which ends the task.
    pub(crate) lifecycle: Arc<Lifecycle>,
}

/// `ControlHostState` is the state of the calls to one control host.
#[derive(Debug)]
struct ControlHostState {
    link: Link,
    last_answer_at: Duration,
    is_reachable: bool,
    is_call_in_flight: bool,
}

/// `RegistrationResult` is the result of a registration at one control host.
type RegistrationResult = (SocketAddr, hornbeam_core::Result<RequestAnswer>);

impl Discovery {
    /// Runs until the process is drained or has failed.
    pub(crate) async fn run(self) {
        tokio::select! {
            () = self.run_registrations() => {}
            () = self.lifecycle.stopped() => {}
        }
    }

    async fn run_registrations(&self) {
        let mut control_hosts = HashMap::new();
        let mut calls: JoinSet<RegistrationResult> = JoinSet::new();
        let mut next_at = self.timer.now();
        loop {
            tokio::select! {
                () = self.timer.sleep_until(next_at) => {
                    self.register(&mut control_hosts, &mut calls);
                    next_at = self.timer.now() + self.registration_interval();
                }
                Some(ended) = calls.join_next() => {
                    // Calls neither panic nor are aborted while this task runs.
                    let Ok((address, answer)) = ended else { continue };
                    self.on_answer(&mut control_hosts, address, answer).await;
                }
            }
        }
    }

    /// Gets the time until the next registration. A host without a document
    /// cannot serve callers, so it registers more often.
    fn registration_interval(&self) -> Duration {
        if self.version() == 0 {
            STARTUP_REGISTRATION_INTERVAL
        } else {
            REGISTRATION_INTERVAL
        }
    }

    fn add_control_host(
        &self,
        control_hosts: &mut HashMap<SocketAddr, ControlHostState>,
        address: SocketAddr,
    ) {
        control_hosts
            .entry(address)
            .or_insert_with(|| ControlHostState {
                link: Link::new(address, self.link_options.clone()),
                last_answer_at: self.timer.now(),
                is_reachable: false,
                is_call_in_flight: false,
            });
    }

    fn register(
        &self,
        control_hosts: &mut HashMap<SocketAddr, ControlHostState>,
        calls: &mut JoinSet<RegistrationResult>,
    ) {
        let now = self.timer.now();
        let seeds = self.seeds.borrow().clone();
        for seed in &seeds {
            self.add_control_host(control_hosts, *seed);
        }
        let is_kept = |at: &SocketAddr, host: &ControlHostState| {
            seeds.contains(at) || now <= host.last_answer_at + CONTROL_HOST_TTL
        };
        control_hosts.retain(|at, host| is_kept(at, host));
        let request = Request::Register(EntryRegistration {
            host: self.host.clone(),
            report_address: self.report_address,
            owned: self.state.borrow().owned_workers,
            draining: self.lifecycle.state() != LifecycleState::Ready,
        });
        for (address, host) in control_hosts
            .iter_mut()
            .filter(|(_, host)| !host.is_call_in_flight)
        {
            host.is_call_in_flight = true;
            let (address, link, request) = (*address, host.link.clone(), request.clone());
            calls.spawn(async move { (address, link.call(&request, REGISTRATION_TIMEOUT).await) });
        }
    }

    async fn on_answer(
        &self,
        control_hosts: &mut HashMap<SocketAddr, ControlHostState>,
        address: SocketAddr,
        answer: hornbeam_core::Result<RequestAnswer>,
    ) {
        let Some(host) = control_hosts.get_mut(&address) else {
            return;
        };
        host.is_call_in_flight = false;
        let is_reachable = matches!(answer, Ok(RequestAnswer::Registered(_)));
        if is_reachable != host.is_reachable {
            host.is_reachable = is_reachable;
            let word = if is_reachable {
                "answers"
            } else {
                "does not answer"
            };
            log_event!(
                Event::HostReachability, host = self.host.host_id;
                "control host {address} {word}"
            );
        }
        let Ok(RequestAnswer::Registered(membership)) = answer else {
            return;
        };
        host.last_answer_at = self.timer.now();
        let link = host.link.clone();
        for control_host in membership.control_hosts {
            self.add_control_host(control_hosts, control_host);
        }
        let peers = FleetInput::Peers(membership.entry_hosts);
        // Fails only if the event loop has ended; this task then ends as well.
        let _ = self.event_loop.send(FleetLoopInput::Fleet(peers));
        if membership.document_version > self.version() {
            self.fetch(&link).await;
        } else {
            self.fetch_from_peer().await;
        }
    }

    /// Fetches a newer document from the peer that reported it, for the case
    /// that no control host that has it can be reached.
    async fn fetch_from_peer(&self) {
        let newest = self.state.borrow().newest_peer_config;
        if let Some((version, address)) = newest
            && version > self.version()
        {
            let link = Link::new(address, self.link_options.clone());
            self.fetch(&link).await;
        }
    }

    async fn fetch(&self, link: &Link) {
        let have_version = self.version();
        let answer = link
            .call(&Request::Document(have_version), DOCUMENT_TIMEOUT)
            .await;
        let document = match answer {
            Ok(RequestAnswer::Document(Some(document))) => document,
            Ok(_) => return,
            Err(cause) => {
                log_event!(
                    Event::HostReachability, host = self.host.host_id;
                    "no document above version {have_version} could be fetched from {}: {cause}",
                    link.address()
                );
                return;
            }
        };
        match read_document(&document.text) {
            Ok(queues) => {
                let input = FleetLoopInput::Document(document.text, Arc::new(queues));
                // Fails only if the event loop has ended.
                let _ = self.event_loop.send(input);
            }
            Err(findings) => log_event!(
                Event::PublishRejected, host = self.host.host_id;
                "the document of version {} cannot be read: {findings:?}", document.version
            ),
        }
    }

    fn version(&self) -> u64 {
        let state = self.state.borrow();
        state.queues.as_ref().map_or(0, |queues| queues.version)
    }
}
