//! Registration at the control hosts, the list of peers, and newer documents.

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

use super::input::{EntryHandle, EntryInput};
use super::shell::InForce;
use crate::lifecycle::{Lifecycle, LifecycleState};
use crate::wire::{EntryRegistration, Request, RequestAnswer};

/// Time between two registrations at each control host. A newer document is
/// noticed by them and must be in force within 2 s.
const PERIOD: Duration = Duration::from_millis(400);

/// Time between two registrations before the first document.
const FIRST_PERIOD: Duration = Duration::from_millis(80);

/// Time within which a control host must answer.
const ANSWER_WITHIN: Duration = Duration::from_millis(700);

/// Time within which a document must arrive.
const DOCUMENT_WITHIN: Duration = Duration::from_millis(1000);

/// Time after which a control host that is not a seed and does not answer is
/// forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(10);

/// `Membership` keeps one entry host in touch with the system.
#[derive(Debug)]
pub(crate) struct Membership {
    /// Id, address and failure domain of this host.
    pub(crate) host: PeerInfo,
    /// Address for the reports of its workers.
    pub(crate) report_address: SocketAddr,
    /// Control hosts of the settings.
    pub(crate) seeds: watch::Receiver<Vec<SocketAddr>>,
    /// Options of the links.
    pub(crate) link_options: LinkOptions,
    /// The loop that owns the fleet.
    pub(crate) shell: EntryHandle,
    /// What is in force here.
    pub(crate) in_force: watch::Sender<InForce>,
    /// The time.
    pub(crate) timer: TimerService,
    /// Ends the task.
    pub(crate) lifecycle: Arc<Lifecycle>,
}

/// `Known` is what is known of one control host.
#[derive(Debug)]
struct Known {
    link: Link,
    answered_at: Duration,
    is_reachable: bool,
    is_asked: bool,
}

/// `Answered` is the end of a registration at one control host.
type Answered = (SocketAddr, hornbeam_core::Result<RequestAnswer>);

impl Membership {
    /// Runs until the process has nothing left to do.
    pub(crate) async fn run(self) {
        tokio::select! {
            () = self.register_all() => {}
            () = self.lifecycle.stopped() => {}
        }
    }

    async fn register_all(&self) {
        let mut known = HashMap::new();
        let mut calls: JoinSet<Answered> = JoinSet::new();
        let mut next_at = self.timer.now();
        loop {
            tokio::select! {
                () = self.timer.sleep_until(next_at) => {
                    self.register(&mut known, &mut calls);
                    next_at = self.timer.now() + self.period();
                }
                Some(ended) = calls.join_next() => {
                    // Calls neither panic nor are aborted while this runs.
                    let Ok((address, answer)) = ended else { continue };
                    self.on_answer(&mut known, address, answer).await;
                }
            }
        }
    }

    /// Gets the time until the next registration. A host without a document
    /// serves nobody, so it asks more often.
    fn period(&self) -> Duration {
        if self.version() == 0 {
            FIRST_PERIOD
        } else {
            PERIOD
        }
    }

    fn learn(&self, known: &mut HashMap<SocketAddr, Known>, address: SocketAddr) {
        known.entry(address).or_insert_with(|| Known {
            link: Link::new(address, self.link_options.clone()),
            answered_at: self.timer.now(),
            is_reachable: false,
            is_asked: false,
        });
    }

    fn register(&self, known: &mut HashMap<SocketAddr, Known>, calls: &mut JoinSet<Answered>) {
        let now = self.timer.now();
        let seeds = self.seeds.borrow().clone();
        for seed in &seeds {
            self.learn(known, *seed);
        }
        let is_kept = |at: &SocketAddr, host: &Known| {
            seeds.contains(at) || now <= host.answered_at + FORGET_AFTER
        };
        known.retain(|at, host| is_kept(at, host));
        let request = Request::Register(EntryRegistration {
            host: self.host.clone(),
            report_address: self.report_address,
            owned: self.in_force.borrow().owned_workers,
            draining: self.lifecycle.state() != LifecycleState::Ready,
        });
        for (address, host) in known.iter_mut().filter(|(_, host)| !host.is_asked) {
            host.is_asked = true;
            let (address, link, request) = (*address, host.link.clone(), request.clone());
            calls.spawn(async move { (address, link.call(&request, ANSWER_WITHIN).await) });
        }
    }

    async fn on_answer(
        &self,
        known: &mut HashMap<SocketAddr, Known>,
        address: SocketAddr,
        answer: hornbeam_core::Result<RequestAnswer>,
    ) {
        let Some(host) = known.get_mut(&address) else {
            return;
        };
        host.is_asked = false;
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
        host.answered_at = self.timer.now();
        let link = host.link.clone();
        for control_host in membership.control_hosts {
            self.learn(known, control_host);
        }
        let peers = FleetInput::Peers(membership.entry_hosts);
        // An error says that the loop has ended, and this task is to end too.
        let _ = self.shell.send(EntryInput::Fleet(peers));
        if membership.document_version > self.version() {
            self.fetch(&link).await;
        } else {
            self.fetch_from_peer().await;
        }
    }

    /// Fetches a document that only a peer has reported, because the control
    /// hosts that have it cannot be reached from here.
    async fn fetch_from_peer(&self) {
        let newest = self.in_force.borrow().newest_at_peers;
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
            .call(&Request::Document(have_version), DOCUMENT_WITHIN)
            .await;
        let document = match answer {
            Ok(RequestAnswer::Document(Some(document))) => document,
            Ok(_) => return,
            Err(cause) => {
                log_event!(
                    Event::HostReachability, host = self.host.host_id;
                    "the document after version {have_version} could not be fetched from {}: {cause}",
                    link.address()
                );
                return;
            }
        };
        match read_document(&document.text) {
            Ok(queues) => {
                let input = EntryInput::Document(document.text, Arc::new(queues));
                // An error says that the loop has ended.
                let _ = self.shell.send(input);
            }
            Err(findings) => log_event!(
                Event::PublishRejected, host = self.host.host_id;
                "the document of version {} cannot be read: {findings:?}", document.version
            ),
        }
    }

    fn version(&self) -> u64 {
        let in_force = self.in_force.borrow();
        in_force.queues.as_ref().map_or(0, |queues| queues.version)
    }
}
