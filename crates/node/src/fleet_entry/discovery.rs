//! Registration at the control hosts, and discovery of peers and of newer
//! documents.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hornbeam_core::evacuation::EvacuationList;
use hornbeam_core::event::Event;
use hornbeam_core::ids::ConfigVersion;
use hornbeam_core::{Error, log_event};
use hornbeam_fleet::{FleetInput, PeerInfo};
use hornbeam_timer::TimerService;
use hornbeam_transport::{Link, LinkOptions};
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::document_download::DocumentSource;
use super::event_loop::FleetEntryState;
use super::input::{FleetLoopHandle, FleetLoopInput};
use super::member_lists::MemberLists;
use crate::lifecycle::{Lifecycle, LifecycleState};
use crate::wire::{EntryRegistration, Request, RequestAnswer};

/// Interval of registrations at the home control host. Their answers announce
/// newer documents, which must be in force within 2 s.
const HOME_INTERVAL: Duration = Duration::from_millis(400);

/// Interval of registrations at the other control hosts, which need them to
/// relay reports of workers.
const REGISTRATION_INTERVAL: Duration = Duration::from_millis(900);

/// Interval of registrations before the first document.
const STARTUP_INTERVAL: Duration = Duration::from_millis(80);

/// Shortest wait between two checks for due registrations. It bounds their cost
/// while a call is in flight beyond its interval.
const MIN_WAIT: Duration = Duration::from_millis(40);

/// Timeout of a registration.
const REGISTRATION_TIMEOUT: Duration = Duration::from_millis(700);

/// Interval at which a control host that refused the newest request gets it
/// again. It may have been replaced by a newer build between two registrations,
/// without a failed call, and an order that it acknowledges must be in force
/// here within 5 s.
const FORM_CHECK_INTERVAL: Duration = Duration::from_secs(3);

/// Interval at which the scheduler is told of the hosts that are present.
const PRESENCE_INTERVAL: Duration = Duration::from_secs(1);

/// Time without an answer after which a control host that is not a seed is
/// removed.
const CONTROL_HOST_TTL: Duration = Duration::from_secs(10);

/// `Discovery` registers one entry host, and keeps its peers and the sources of
/// newer documents up to date.
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
    /// Hosts that have documents.
    pub(crate) document_sources: watch::Sender<Vec<DocumentSource>>,
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
    next_call_at: Duration,
    is_reachable: bool,
    is_call_in_flight: bool,
    /// The newest request that the build of the control host is known to accept.
    form: RegistrationForm,
    /// Time at which the newest request is tried again.
    next_form_check_at: Duration,
    document_version: ConfigVersion,
}

/// `RegistrationForm` is a request of registration. Builds refuse those of later
/// builds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum RegistrationForm {
    /// [`Request::RegisterWithEvacuations`].
    #[default]
    WithEvacuations,
    /// [`Request::RegisterSince`].
    Since,
    /// [`Request::Register`].
    Whole,
}

impl RegistrationForm {
    /// Gets the form of the next earlier build.
    const fn earlier(self) -> Option<Self> {
        match self {
            Self::WithEvacuations => Some(Self::Since),
            Self::Since => Some(Self::Whole),
            Self::Whole => None,
        }
    }
}

/// `Registrations` is the state of all registrations of this host.
#[derive(Debug, Default)]
struct Registrations {
    control_hosts: HashMap<SocketAddr, ControlHostState>,
    member_lists: MemberLists,
    /// Revision of the newest list of evacuated failure domains, if there was
    /// one.
    evacuation_revision: Option<u64>,
    /// Whether a control host of a former build, which has no such list, has
    /// answered.
    has_answer_without_evacuations: bool,
    next_presence_at: Duration,
    calls: JoinSet<RegistrationResult>,
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
        let mut registrations = Registrations::default();
        let mut next_at = self.timer.now();
        let mut state = self.state.subscribe();
        loop {
            tokio::select! {
                () = self.timer.sleep_until(next_at) => {
                    self.register(&mut registrations);
                    next_at = self.next_call_at(&registrations);
                }
                Some(ended) = registrations.calls.join_next() => {
                    // Calls neither panic nor are aborted while this task runs.
                    let Ok((address, answer)) = ended else { continue };
                    self.on_answer(&mut registrations, address, answer);
                }
                Ok(()) = state.changed() => {}
            }
            self.publish_document_sources(&registrations);
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
                next_call_at: Duration::ZERO,
                is_reachable: false,
                is_call_in_flight: false,
                form: RegistrationForm::default(),
                next_form_check_at: Duration::ZERO,
                document_version: 0,
            });
    }

    /// Sends all registrations that are due.
    fn register(&self, registrations: &mut Registrations) {
        let now = self.timer.now();
        let control_hosts = &mut registrations.control_hosts;
        let seeds = self.seeds.borrow().clone();
        for seed in &seeds {
            self.add_control_host(control_hosts, *seed);
        }
        let is_kept = |at: &SocketAddr, host: &ControlHostState| {
            seeds.contains(at) || now <= host.last_answer_at + CONTROL_HOST_TTL
        };
        control_hosts.retain(|at, host| is_kept(at, host));
        registrations.member_lists.expire(now);
        let registration = EntryRegistration {
            host: self.host.clone(),
            report_address: self.report_address,
            owned: self.state.borrow().owned_workers,
            draining: self.lifecycle.state() != LifecycleState::Ready,
        };
        let home = self.home(control_hosts);
        let is_starting = self.version() == 0;
        for (address, host) in control_hosts {
            if host.is_call_in_flight || now < host.next_call_at {
                continue;
            }
            host.is_call_in_flight = true;
            host.next_call_at = now
                + match home {
                    // Without a document this host cannot serve callers.
                    _ if is_starting => STARTUP_INTERVAL,
                    Some(home) if home != *address => REGISTRATION_INTERVAL,
                    _ => HOME_INTERVAL,
                };
            if now >= host.next_form_check_at {
                host.form = RegistrationForm::default();
                host.next_form_check_at = now + FORM_CHECK_INTERVAL;
            }
            let registration = registration.clone();
            let known = registrations.member_lists.version(*address);
            let request = match host.form {
                RegistrationForm::WithEvacuations => {
                    let known_revision = registrations.evacuation_revision;
                    Request::RegisterWithEvacuations(registration, known, known_revision)
                }
                RegistrationForm::Since => Request::RegisterSince(registration, known),
                RegistrationForm::Whole => Request::Register(registration),
            };
            let (address, link) = (*address, host.link.clone());
            registrations
                .calls
                .spawn(async move { (address, link.call(&request, REGISTRATION_TIMEOUT).await) });
        }
    }

    /// Gets the time at which the next registration may be due.
    fn next_call_at(&self, registrations: &Registrations) -> Duration {
        let earliest = self.timer.now() + MIN_WAIT;
        let control_hosts = registrations.control_hosts.values();
        let next_at = control_hosts.map(|host| host.next_call_at).min();
        next_at.map_or(earliest, |at| at.max(earliest))
    }

    /// Gets the control host at which this host registers most often. Hosts
    /// choose different ones.
    fn home(&self, control_hosts: &HashMap<SocketAddr, ControlHostState>) -> Option<SocketAddr> {
        let rank = |address: &SocketAddr| {
            let mut hasher = DefaultHasher::new();
            (&self.host.host_id, address).hash(&mut hasher);
            hasher.finish()
        };
        let reachable = control_hosts.iter().filter(|(_, host)| host.is_reachable);
        reachable.map(|(address, _)| *address).min_by_key(rank)
    }

    fn on_answer(
        &self,
        registrations: &mut Registrations,
        address: SocketAddr,
        answer: hornbeam_core::Result<RequestAnswer>,
    ) {
        let now = self.timer.now();
        let Some(host) = registrations.control_hosts.get_mut(&address) else {
            return;
        };
        host.is_call_in_flight = false;
        if matches!(answer, Err(Error::Refused(_)))
            && let Some(earlier) = host.form.earlier()
        {
            host.form = earlier;
            host.next_call_at = now;
            return;
        }
        let lists = &mut registrations.member_lists;
        let mut newer_evacuations = None;
        let (has_changed, control_hosts, document_version) = match answer {
            Ok(RequestAnswer::RegisteredWithEvacuations(update, evacuations)) => {
                newer_evacuations = evacuations;
                let has_changed = lists.update(address, &update, now);
                (has_changed, update.control_hosts, update.document_version)
            }
            Ok(RequestAnswer::RegisteredSince(update)) => {
                registrations.has_answer_without_evacuations = true;
                let has_changed = lists.update(address, &update, now);
                (has_changed, update.control_hosts, update.document_version)
            }
            Ok(RequestAnswer::Registered(membership)) => {
                registrations.has_answer_without_evacuations = true;
                lists.replace(address, &membership, now);
                (false, membership.control_hosts, membership.document_version)
            }
            _ => {
                // The process at this address may be replaced by a newer build.
                host.form = RegistrationForm::default();
                return self.set_reachable(host, address, false);
            }
        };
        self.set_reachable(host, address, true);
        host.last_answer_at = now;
        host.document_version = document_version;
        for control_host in control_hosts {
            self.add_control_host(&mut registrations.control_hosts, control_host);
        }
        if let Some(list) = newer_evacuations {
            self.apply_evacuations(registrations, list);
        }
        if has_changed || now >= registrations.next_presence_at {
            registrations.next_presence_at = now + PRESENCE_INTERVAL;
            let peers = FleetInput::Peers(registrations.member_lists.hosts());
            // Fails only if the event loop has ended; this task then ends as well.
            let _ = self.event_loop.send(FleetLoopInput::Fleet(peers));
        }
    }

    /// Hands a list of evacuated failure domains to the scheduler, unless an equal
    /// or newer one from another control host came first.
    fn apply_evacuations(&self, registrations: &mut Registrations, list: EvacuationList) {
        let known_revision = registrations.evacuation_revision;
        if known_revision.is_some_and(|known_revision| list.revision <= known_revision) {
            return;
        }
        registrations.evacuation_revision = Some(list.revision);
        // Fails only if the event loop has ended; this task then ends as well.
        let _ = self
            .event_loop
            .send(FleetLoopInput::Fleet(FleetInput::Evacuations(list)));
    }

    fn set_reachable(&self, host: &mut ControlHostState, address: SocketAddr, is_reachable: bool) {
        if is_reachable == host.is_reachable {
            return;
        }
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

    /// Updates the hosts from which documents are downloaded: the control hosts
    /// that answer, and the peer with the newest document, for the case that no
    /// control host that has it can be reached.
    fn publish_document_sources(&self, registrations: &Registrations) {
        let control_hosts = registrations.control_hosts.values();
        let reachable = control_hosts.filter(|host| host.is_reachable);
        let mut sources: Vec<DocumentSource> = reachable
            .map(|host| DocumentSource {
                version: host.document_version,
                link: host.link.clone(),
            })
            .collect();
        if let Some((version, address)) = self.state.borrow().newest_peer_config {
            sources.push(DocumentSource {
                version,
                link: Link::new(address, self.link_options.clone()),
            });
        }
        // Without the list, a host that has just started would start tasks in
        // evacuated failure domains, with a document that a peer may have.
        let may_download = registrations.evacuation_revision.is_some()
            || registrations.has_answer_without_evacuations;
        let has_newer =
            may_download && sources.iter().any(|source| source.version > self.version());
        let sources = if has_newer { sources } else { Vec::new() };
        self.document_sources.send_if_modified(|current| {
            let is_changed = *current != sources;
            if is_changed {
                *current = sources;
            }
            is_changed
        });
    }

    fn version(&self) -> ConfigVersion {
        let state = self.state.borrow();
        state.queues.as_ref().map_or(0, |queues| queues.version)
    }
}
