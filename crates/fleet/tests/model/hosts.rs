//! Entry hosts of the model and their requests.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use hornbeam_fleet::{
    CallId, Fleet, FleetInput, FleetOptions, FleetOutput, PeerInfo, PollOutcome, PollRequest,
    ReportId, StartOutcome, StopOutcome,
};

use super::Millis;
use super::network::{Event, HostLife, MessageKind, RequestResult, SentReport, WorkerRequest};
use super::site::{HOSTS, Site, host_at, host_id, worker_at};
use crate::common::{UNIX_MS, address, queues};

const BATCH_TIMEOUT_MS: Millis = 250;

const POLL_TIMEOUT_MARGIN_MS: Millis = 150;

/// Longest time that a busy host takes to read a connection after a pause.
pub(super) const SLOWEST_READ_MS: Millis = 75;

/// `Host` is an entry host, through all its processes.
pub(super) struct Host {
    pub(super) life: u32,
    pub(super) fleet: Option<Fleet>,
    pub(super) frozen_until: Millis,
    pub(super) last_report: ReportId,
    pub(super) reports: HashMap<ReportId, (SentReport, Option<usize>)>,
    pub(super) open_requests: HashMap<u64, ()>,
    pub(super) open_batches: HashMap<u64, ()>,
    pub(super) drain_started: bool,
    pub(super) next_tick: Millis,
}

impl Host {
    pub(super) fn down() -> Self {
        Self {
            life: 0,
            fleet: None,
            frozen_until: 0,
            last_report: 0,
            reports: HashMap::new(),
            open_requests: HashMap::new(),
            open_batches: HashMap::new(),
            drain_started: false,
            next_tick: 0,
        }
    }
}

impl Site {
    pub(super) fn start_host(&mut self, host: usize) {
        let number = u8::try_from(host + 1).expect("few hosts");
        let mut options = FleetOptions::new(host_id(host), "a", address(number));
        let life = self.hosts[host].life + 1;
        options.incarnation = u64::from(life) * 10 + host as u64;
        self.hosts[host] = Host {
            life,
            fleet: Some(Fleet::new(options)),
            ..Host::down()
        };
        self.note(|| format!("host {host} starts"));
        self.step(host, FleetInput::Queues(Arc::new(queues(1))));
    }

    pub(super) fn step(&mut self, host: usize, input: FleetInput) {
        let now = Duration::from_millis(self.now);
        let unix_ms = UNIX_MS + self.now;
        let state = &mut self.hosts[host];
        let Some(fleet) = &mut state.fleet else {
            return;
        };
        let outputs = fleet.step(now, unix_ms, input);
        let wakeup = fleet.next_wakeup();
        let life = HostLife {
            host,
            life: state.life,
        };
        let is_drained = state.drain_started && fleet.is_drained();
        let at = u64::try_from(wakeup.as_millis()).expect("a small time") + 1;
        let at = at.max(state.frozen_until);
        state.next_tick = at;
        self.network.at(at, Event::Tick(life));
        for output in outputs {
            self.execute(life, output);
        }
        if is_drained {
            self.host_ends(host, 300);
        }
    }

    pub(super) fn execute(&mut self, host: HostLife, output: FleetOutput) {
        match output {
            FleetOutput::Answer(call, outcome) => {
                self.network
                    .at(self.now + 1, Event::JobAnswered(call, outcome));
            }
            FleetOutput::AnswerReport(id, answer) => self.answer_report(host.host, id, answer),
            FleetOutput::Start(request) => {
                let (key, run) = (request.target.worker_key, request.run);
                let lost = RequestResult::Start(key, run, StartOutcome::Unanswered);
                let timeout = request.timeout;
                self.send_to_worker(host, WorkerRequest::Start(request), timeout, lost);
            }
            FleetOutput::Stop(request) => {
                let (key, run) = (request.target.worker_key, request.run);
                let lost = RequestResult::Stop(key, run, StopOutcome::Unanswered);
                let timeout = request.timeout;
                self.send_to_worker(host, WorkerRequest::Stop(request), timeout, lost);
            }
            FleetOutput::Poll(request) => self.poll(host, request, false),
            FleetOutput::Probe(request) => self.poll(host, request, true),
            FleetOutput::SendBatch(_, to, batch, extension) => {
                let peer = host_at(to);
                let to = HostLife {
                    host: peer,
                    life: self.hosts[peer].life,
                };
                self.last_request += 1;
                let id = self.last_request;
                self.hosts[host.host].open_batches.insert(id, ());
                let arrives = Event::BatchArrives(to, host.host, (batch, extension), id);
                self.network
                    .send(self.now, MessageKind::Batch, host.host, arrives);
                let lost = Event::BatchEnded(host, peer, id, false);
                self.network.at(self.now + BATCH_TIMEOUT_MS, lost);
            }
            FleetOutput::ReportLosses(to, address, report) => {
                let job = report.losses.first().map_or(0, |loss| loss.run.job);
                let peer = host_at(address);
                self.step(peer, FleetInput::LossesReported(report));
                self.step(host.host, FleetInput::LossReportEnded(to, job, true));
            }
            FleetOutput::Log(event, _, message) => {
                let host = host.host;
                self.note(|| format!("host {host} {}: {message}", event.name()));
            }
            FleetOutput::ReadInputs(pause) => {
                let read_at = self.now + SLOWEST_READ_MS + 1;
                self.network.at(read_at, Event::InputsRead(host, pause));
            }
            FleetOutput::DropConnections(_) | FleetOutput::RecordTimes(_) => {}
        }
    }

    pub(super) fn poll(&mut self, host: HostLife, request: PollRequest, is_probe: bool) {
        let key = request.target.worker_key;
        let lost = RequestResult::Poll(key, PollOutcome::Unanswered, is_probe);
        let timeout = request.wait + Duration::from_millis(POLL_TIMEOUT_MARGIN_MS);
        let request = WorkerRequest::Poll { request, is_probe };
        self.send_to_worker(host, request, timeout, lost);
    }

    pub(super) fn send_to_worker(
        &mut self,
        from: HostLife,
        request: WorkerRequest,
        timeout: Duration,
        lost: RequestResult,
    ) {
        self.last_request += 1;
        let id = self.last_request;
        self.hosts[from.host].open_requests.insert(id, ());
        let (kind, address) = match &request {
            WorkerRequest::Start(request) => (MessageKind::Start, request.target.address),
            WorkerRequest::Stop(request) => (MessageKind::Stop, request.target.address),
            WorkerRequest::Poll { request, .. } => (MessageKind::Poll, request.target.address),
        };
        let worker = worker_at(address);
        let arrives = Event::AtWorker(worker, from, id, request);
        self.network.send(self.now, kind, worker, arrives);
        let timeout = u64::try_from(timeout.as_millis()).expect("a small time");
        self.network
            .at(self.now + timeout, Event::RequestEnded(from, id, lost));
    }

    pub(super) fn request_ended(&mut self, to: HostLife, id: u64, result: RequestResult) {
        let host = &mut self.hosts[to.host];
        if host.life != to.life || host.fleet.is_none() {
            return;
        }
        if host.frozen_until > self.now {
            let at = host.frozen_until;
            return self.network.at(at, Event::RequestEnded(to, id, result));
        }
        if host.open_requests.remove(&id).is_none() {
            return;
        }
        let input = match result {
            RequestResult::Start(key, run, outcome) => {
                FleetInput::StartRequestEnded(key, run, outcome)
            }
            RequestResult::Stop(key, run, outcome) => {
                FleetInput::StopRequestEnded(key, run, outcome)
            }
            RequestResult::Poll(key, outcome, false) => FleetInput::PollEnded(key, outcome),
            RequestResult::Poll(key, outcome, true) => FleetInput::ProbeEnded(key, outcome),
        };
        self.step(to.host, input);
    }

    pub(super) fn host_ends(&mut self, host: usize, down_ms: Millis) {
        self.note(|| format!("host {host} ends"));
        self.hosts[host].fleet = None;
        let broken = self.calls.iter().filter(|(_, (_, at))| *at == host);
        let broken: Vec<CallId> = broken.map(|(call, _)| *call).collect();
        for call in broken {
            // The connection breaks; the caller sends again after a time.
            self.network.at(self.now + 1, Event::CallerTimeout(call));
        }
        self.network.at(self.now + down_ms, Event::HostStarts(host));
    }

    pub(super) fn list_hosts(&mut self) {
        let up = (0..HOSTS).filter(|host| self.hosts[*host].fleet.is_some());
        let info = |host: usize| PeerInfo {
            host_id: host_id(host),
            address: address(u8::try_from(host + 1).expect("few hosts")),
            failure_domain: "a".into(),
        };
        let listed: Vec<PeerInfo> = up.map(info).collect();
        for host in 0..HOSTS {
            if !self.is_frozen(host) {
                self.step(host, FleetInput::Peers(listed.clone()));
            }
        }
        self.network.at(self.now + 400, Event::HostsListed);
    }
}
