//! The event loop of the model, and the checks.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use hornbeam_fleet::{
    CallId, Fleet, FleetInput, FleetOptions, FleetOutput, JobOutcome, PeerInfo, PollOutcome,
    ReportAnswer, ReportId, Resources, RunEnd, RunId, StartOutcome, StartRefusal, StopOutcome,
    Submission, WorkerReport,
};

use super::Millis;
use super::callers::{CALLER_TIMEOUT_MS, MAX_SENDS, ModelJob, RETRY_DELAY_MS};
use super::network::{
    Destination, Event, HostLife, MessageKind, Network, RequestResult, SentReport, WorkerLife,
    WorkerRequest,
};
use super::schedule::{NodeFault, Schedule};
use super::worker::Worker;
use crate::common::{SERVICE, UNIX_MS, address, queues};

const HOSTS: usize = 3;
const WORKERS: usize = 4;
const CONTROLS: usize = 2;

/// CPU that a task needs; two fit a worker.
const NEED_CPU_MILLI: u32 = 6800;

const REPORT_INTERVAL_MS: Millis = 1500;
const REPORT_TIMEOUT_MS: Millis = 1000;
const BATCH_TIMEOUT_MS: Millis = 250;
const POLL_TIMEOUT_MARGIN_MS: Millis = 150;
const STOP_TIME_MS: Millis = 50;

/// Time for which a worker serves on after its drain was acknowledged.
const SERVES_ON_MS: Millis = 2500;

/// Time after the acknowledgement of a drain from which no task may start.
const DRAIN_MS: Millis = 2000;

/// Time after which a worker that drains ends without an acknowledgement.
const ENDS_ANYWAY_MS: Millis = 4000;

/// Time for which jobs arrive, and after which the model ends.
const LOAD_UNTIL_MS: Millis = 13_000;
const END_MS: Millis = 24_000;

/// `Site` is the state of the model.
pub struct Site {
    now: Millis,
    network: Network,
    hosts: Vec<Host>,
    workers: Vec<Worker>,
    controls: Vec<BTreeMap<usize, (usize, Millis)>>,
    jobs: Vec<ModelJob>,
    calls: HashMap<CallId, (usize, usize)>,
    last_call: CallId,
    last_request: u64,
    checks_drains: bool,
    /// Lines of the events so far, if they are recorded.
    pub trace: Option<Vec<String>>,
    /// Broken rules.
    pub broken: Vec<String>,
    /// Runs that have started.
    pub starts: u64,
}

struct Host {
    life: u32,
    fleet: Option<Fleet>,
    frozen_until: Millis,
    last_report: ReportId,
    reports: HashMap<ReportId, (SentReport, Option<usize>)>,
    open_requests: HashMap<u64, ()>,
    open_batches: HashMap<u64, ()>,
    drain_started: bool,
    next_tick: Millis,
}

impl Site {
    pub fn new(schedule: &Schedule) -> Self {
        let mut site = Self {
            now: 1000,
            network: Network::new(schedule.seed, schedule.messages.clone()),
            hosts: Vec::new(),
            workers: (0..WORKERS).map(Worker::new).collect(),
            controls: vec![BTreeMap::new(); CONTROLS],
            jobs: Vec::new(),
            calls: HashMap::new(),
            last_call: 0,
            last_request: 0,
            checks_drains: !schedule.disturbs_hosts(),
            trace: None,
            broken: Vec::new(),
            starts: 0,
        };
        for host in 0..HOSTS {
            site.hosts.push(Host::down());
            site.start_host(host);
        }
        for worker in 0..WORKERS {
            site.network
                .at(1000 + 30 * worker as Millis, Event::WorkerStarts(worker));
        }
        site.network.at(1000, Event::HostsListed);
        for (at, fault) in &schedule.nodes {
            site.network.at(2500 + at, Event::NodeFault(*fault));
        }
        let mut at = 2500;
        while at < LOAD_UNTIL_MS {
            let job = site.jobs.len();
            let work_ms = match site.network.draw(10) {
                0 => 3500,
                1..=3 => 900,
                4..=6 => 200,
                _ => 60,
            };
            site.jobs
                .push(ModelJob::new(1 + site.network.draw(3) as u32, work_ms));
            site.network.at(at, Event::CallerSends(job));
            at += 80 + site.network.draw(240);
        }
        site
    }

    /// Plays the schedule to its end.
    pub fn play(&mut self) {
        while let Some((at, event)) = self.network.next() {
            if at > END_MS {
                break;
            }
            self.now = self.now.max(at);
            self.handle(event);
        }
        self.check_jobs();
    }

    fn note(&mut self, line: impl FnOnce() -> String) {
        if let Some(trace) = &mut self.trace {
            trace.push(format!("{:6} {}", self.now, line()));
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(to) => {
                if self.hosts[to.host].life == to.life && self.now >= self.hosts[to.host].next_tick
                {
                    self.step(to.host, FleetInput::Tick);
                }
            }
            Event::AtWorker(worker, from, id, request) => {
                self.at_worker(worker, from, id, request);
            }
            Event::PollDue(life, id) => {
                if self.is_current(life) {
                    self.answer_poll(life.worker, id);
                }
            }
            Event::RequestEnded(to, id, result) => self.request_ended(to, id, result),
            Event::ReportArrives(Destination::Control(control), sent) => {
                self.relay(control, sent, 0);
            }
            Event::ReportArrives(Destination::Host(host), sent) => {
                self.report_to_host(host, sent, None);
            }
            Event::RelayedArrives(control, host, sent) => {
                self.report_to_host(host, sent, Some(control));
            }
            Event::RelayAnswered(control, host, sent, answer) => {
                self.relay_answered(control, host, &sent, answer);
            }
            Event::ReportAnswered(life, report, next) => self.report_answered(life, report, next),
            Event::ReportDue(life, report) => {
                if self.is_current(life) && self.workers[life.worker].reports == report {
                    self.send_report(life.worker);
                }
            }
            Event::ReportTimeout(life, report) => self.report_timed_out(life, report),
            Event::DeregistrationArrives(to, worker) => self.deregistered(to, worker),
            Event::Leaves(life) => self.leave(life),
            Event::Ends(life) => self.worker_ends(life),
            Event::WorkerStarts(worker) => self.start_worker(worker),
            Event::RunDone(life, run) => {
                if self.is_current(life) && self.workers[life.worker].end_run(run, RunEnd::Done) {
                    self.run_done(life.worker, run);
                    self.answer_waiting_polls(life.worker);
                }
            }
            Event::RunStopped(life, run) => {
                if self.is_current(life) && self.workers[life.worker].end_run(run, RunEnd::Lost) {
                    self.note(|| format!("run {run} on w{} is stopped", life.worker));
                    self.answer_waiting_polls(life.worker);
                }
            }
            Event::LeaseCheck(life) => self.check_lease(life),
            Event::BatchArrives(to, from, batch, id) => {
                let answer_to = HostLife {
                    host: from,
                    life: self.hosts[from].life,
                };
                let is_up =
                    self.hosts[to.host].life == to.life && self.hosts[to.host].fleet.is_some();
                if is_up && self.is_frozen(to.host) {
                    let at = self.hosts[to.host].frozen_until;
                    return self
                        .network
                        .at(at, Event::BatchArrives(to, from, batch, id));
                }
                let ended = Event::BatchEnded(answer_to, to.host, id, is_up);
                self.network.at(self.now + 1, ended);
                if is_up {
                    self.step(to.host, FleetInput::Batch(batch));
                }
            }
            Event::BatchEnded(to, peer, id, accepted) => {
                if self.hosts[to.host].life != to.life || self.hosts[to.host].fleet.is_none() {
                    return;
                }
                if self.is_frozen(to.host) {
                    let at = self.hosts[to.host].frozen_until;
                    return self
                        .network
                        .at(at, Event::BatchEnded(to, peer, id, accepted));
                }
                if self.hosts[to.host].open_batches.remove(&id).is_some() {
                    let ended = FleetInput::BatchEnded(host_id(peer), accepted);
                    self.step(to.host, ended);
                }
            }
            Event::HostStarts(host) => self.start_host(host),
            Event::JobArrives(host, call) => self.job_arrives(host, call),
            Event::JobAnswered(call, outcome) => self.job_answered(call, outcome),
            Event::CallerSends(job) => self.caller_sends(job),
            Event::CallerGone(host, call) => {
                let (index, _) = self.calls[&call];
                let gone = FleetInput::CallerDisconnected(call, job_key(index));
                self.step(host, gone);
            }
            Event::CallerTimeout(call) => self.caller_timeout(call),
            Event::HostsListed => self.list_hosts(),
            Event::NodeFault(fault) => self.node_fault(fault),
        }
    }

    fn is_current(&self, life: WorkerLife) -> bool {
        let worker = &self.workers[life.worker];
        worker.is_up && worker.life == life.life
    }

    fn is_frozen(&self, host: usize) -> bool {
        self.hosts[host].frozen_until > self.now
    }

    // Entry hosts.

    fn start_host(&mut self, host: usize) {
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

    fn step(&mut self, host: usize, input: FleetInput) {
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

    fn execute(&mut self, host: HostLife, output: FleetOutput) {
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
            FleetOutput::Poll(request) | FleetOutput::Probe(request)
                if request.target.address.port() == 0 =>
            {
                unreachable!("workers have ports");
            }
            FleetOutput::Poll(request) => self.poll(host, request, false),
            FleetOutput::Probe(request) => self.poll(host, request, true),
            FleetOutput::SendBatch(_, to, batch) => {
                let peer = host_at(to);
                let to = HostLife {
                    host: peer,
                    life: self.hosts[peer].life,
                };
                self.last_request += 1;
                let id = self.last_request;
                self.hosts[host.host].open_batches.insert(id, ());
                let arrives = Event::BatchArrives(to, host.host, batch, id);
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
            FleetOutput::DropConnections(_) | FleetOutput::RecordTimes(_) => {}
        }
    }

    fn poll(&mut self, host: HostLife, request: hornbeam_fleet::PollRequest, is_probe: bool) {
        let key = request.target.worker_key;
        let lost = RequestResult::Poll(key, PollOutcome::Unanswered, is_probe);
        let timeout = request.wait + Duration::from_millis(POLL_TIMEOUT_MARGIN_MS);
        let request = WorkerRequest::Poll { request, is_probe };
        self.send_to_worker(host, request, timeout, lost);
    }

    fn send_to_worker(
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

    fn request_ended(&mut self, to: HostLife, id: u64, result: RequestResult) {
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

    fn host_ends(&mut self, host: usize, down_ms: Millis) {
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

    fn list_hosts(&mut self) {
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

    // Reports.

    fn send_report(&mut self, worker: usize) {
        let clock_ms = self.workers[worker].clock_ms(self.now);
        let state = &mut self.workers[worker];
        state.reports += 1;
        let number = state.reports;
        state.awaited_report = Some(number);
        let life = WorkerLife {
            worker,
            life: state.life,
        };
        let report = WorkerReport {
            worker_id: format!("w{worker}"),
            born_unix_ms: state.born_unix_ms(),
            sequence: number,
            service: SERVICE.into(),
            address: worker_address(worker),
            failure_domain: "a".into(),
            draining: state.draining,
            capacity: Resources {
                cpu_milli: state.cpu_milli,
                memory_mb: 65_536,
                accelerators: 0,
            },
            labels: Vec::new(),
        };
        let sent = SentReport {
            from: life,
            report,
            clock_ms,
        };
        let to = state.destination;
        let arrives = Event::ReportArrives(to, sent);
        self.network
            .send(self.now, MessageKind::Report, worker, arrives);
        let timeout = Event::ReportTimeout(life, number);
        self.network.at(self.now + REPORT_TIMEOUT_MS, timeout);
    }

    fn report_timed_out(&mut self, life: WorkerLife, report: u64) {
        if !self.is_current(life) || self.workers[life.worker].awaited_report != Some(report) {
            return;
        }
        let worker = &mut self.workers[life.worker];
        let next = match worker.destination {
            Destination::Control(control) => (control + 1) % CONTROLS,
            Destination::Host(_) => life.worker % CONTROLS,
        };
        worker.destination = Destination::Control(next);
        self.send_report(life.worker);
    }

    fn report_answered(&mut self, life: WorkerLife, report: u64, next: Option<Destination>) {
        if !self.is_current(life) || self.workers[life.worker].awaited_report != Some(report) {
            return;
        }
        let now = self.now;
        let worker = &mut self.workers[life.worker];
        worker.awaited_report = None;
        if let Some(next) = next {
            worker.destination = next;
        }
        let due = Event::ReportDue(life, report);
        self.network.at(now + REPORT_INTERVAL_MS, due);
        let worker = &mut self.workers[life.worker];
        if worker.draining && worker.drain_acked_at.is_none() {
            worker.drain_acked_at = Some(now);
            self.note(|| format!("drain of w{} is acknowledged", life.worker));
            self.network.at(now + SERVES_ON_MS, Event::Leaves(life));
        }
    }

    /// Relays a report to the entry host that took the last one, or to the one
    /// that owns the fewest workers.
    fn relay(&mut self, control: usize, sent: SentReport, tried: usize) {
        let now = self.now;
        let owner = self.controls[control].get(&sent.from.worker);
        let owner = owner
            .filter(|(_, at)| now <= at + 6000)
            .map(|(host, _)| *host);
        let up = (0..HOSTS).filter(|host| {
            let state = &self.hosts[*host];
            !state.drain_started && state.fleet.is_some() && !self.is_frozen(*host)
        });
        let owned = |host: &usize| {
            let fleet = self.hosts[*host].fleet.as_ref();
            fleet.map_or(usize::MAX, Fleet::owned_workers)
        };
        let mut ranked: Vec<usize> = up.collect();
        ranked.sort_by_key(|host| (owner != Some(*host), owned(host)));
        if let Some(host) = ranked.get(tried) {
            let arrives = Event::RelayedArrives(control, *host, sent);
            self.network.send(now, MessageKind::Relayed, *host, arrives);
        }
    }

    fn report_to_host(&mut self, host: usize, sent: SentReport, control: Option<usize>) {
        if self.hosts[host].fleet.is_none() {
            return;
        }
        if self.is_frozen(host) {
            let at = self.hosts[host].frozen_until;
            let event = match control {
                Some(control) => Event::RelayedArrives(control, host, sent),
                None => Event::ReportArrives(Destination::Host(host), sent),
            };
            return self.network.at(at, event);
        }
        let state = &mut self.hosts[host];
        state.last_report += 1;
        let id = state.last_report;
        let input = FleetInput::ReportedAt(id, sent.report.clone(), sent.clock_ms);
        state.reports.insert(id, (sent, control));
        self.step(host, input);
    }

    fn answer_report(&mut self, host: usize, id: ReportId, answer: ReportAnswer) {
        let Some((sent, control)) = self.hosts[host].reports.remove(&id) else {
            return;
        };
        if let Some(control) = control {
            let answered = Event::RelayAnswered(control, host, sent, answer);
            return self.network.at(self.now + 1, answered);
        }
        let next = match answer {
            ReportAnswer::Taken => None,
            ReportAnswer::Moved(address) => Some(Destination::Host(host_at(address))),
            ReportAnswer::Declined => return,
        };
        self.acknowledge_report(&sent, next);
    }

    fn relay_answered(
        &mut self,
        control: usize,
        host: usize,
        sent: &SentReport,
        answer: ReportAnswer,
    ) {
        if answer == ReportAnswer::Taken {
            self.controls[control].insert(sent.from.worker, (host, self.now));
            self.acknowledge_report(sent, Some(Destination::Host(host)));
        }
    }

    fn acknowledge_report(&mut self, sent: &SentReport, next: Option<Destination>) {
        let answered = Event::ReportAnswered(sent.from, sent.report.sequence, next);
        self.network.send(
            self.now,
            MessageKind::ReportAnswer,
            sent.from.worker,
            answered,
        );
    }

    fn deregistered(&mut self, to: Destination, worker: usize) {
        let host = match to {
            Destination::Host(host) => Some(host),
            Destination::Control(control) => {
                let owner = self.controls[control].get(&worker);
                owner.map(|(host, _)| *host)
            }
        };
        if let Some(host) = host
            && self.hosts[host].fleet.is_some()
        {
            if self.is_frozen(host) {
                let at = self.hosts[host].frozen_until;
                let later = Event::DeregistrationArrives(Destination::Host(host), worker);
                return self.network.at(at, later);
            }
            self.note(|| format!("deregistration of w{worker} arrives at host {host}"));
            self.step(host, FleetInput::Departed(format!("w{worker}")));
        }
    }

    // Workers.

    fn start_worker(&mut self, worker: usize) {
        if self.workers[worker].is_up {
            return;
        }
        let now = self.now;
        self.workers[worker].start(worker, now);
        self.note(|| format!("w{worker} starts"));
        self.send_report(worker);
    }

    fn leave(&mut self, life: WorkerLife) {
        if !self.is_current(life) || self.workers[life.worker].is_leaving {
            return;
        }
        self.workers[life.worker].is_leaving = true;
        let to = self.workers[life.worker].destination;
        let arrives = Event::DeregistrationArrives(to, life.worker);
        self.network
            .send(self.now, MessageKind::Deregistration, life.worker, arrives);
        self.network.at(self.now + 5, Event::Ends(life));
    }

    fn worker_ends(&mut self, life: WorkerLife) {
        if !self.is_current(life) {
            return;
        }
        let worker = &mut self.workers[life.worker];
        worker.is_up = false;
        worker.runs.clear();
        let restarts_after = worker.restarts_after.unwrap_or(1000);
        self.note(|| format!("w{} ends", life.worker));
        let starts = Event::WorkerStarts(life.worker);
        self.network.at(self.now + restarts_after, starts);
    }

    fn at_worker(&mut self, index: usize, from: HostLife, id: u64, request: WorkerRequest) {
        if !self.workers[index].is_up {
            let result = match request {
                WorkerRequest::Start(request) => RequestResult::Start(
                    request.target.worker_key,
                    request.run,
                    StartOutcome::NotSent,
                ),
                WorkerRequest::Stop(request) => RequestResult::Stop(
                    request.target.worker_key,
                    request.run,
                    StopOutcome::Unanswered,
                ),
                WorkerRequest::Poll { request, is_probe } => RequestResult::Poll(
                    request.target.worker_key,
                    PollOutcome::ConnectionRefused,
                    is_probe,
                ),
            };
            // A request that its sender has given up was on its way; a start of
            // it may not be taken for one that was not sent.
            let ended = Event::RequestEnded(from, id, result);
            return self.network.at(self.now + 1, ended);
        }
        match request {
            WorkerRequest::Start(request) => self.carry_out_start(index, from, id, &request),
            WorkerRequest::Stop(request) => {
                let outcome = match self.workers[index].carry_out_stop(&request) {
                    None => StopOutcome::Fenced,
                    Some(begins) => {
                        if begins {
                            let life = self.worker_life(index);
                            let stopped = Event::RunStopped(life, request.run);
                            let takes = self.network.draw(STOP_TIME_MS);
                            self.network.at(self.now + takes, stopped);
                        }
                        StopOutcome::Accepted
                    }
                };
                let result = RequestResult::Stop(request.target.worker_key, request.run, outcome);
                self.answer(index, MessageKind::StopAnswer, from, id, result);
            }
            WorkerRequest::Poll { request, is_probe } => {
                let now = self.now;
                if !self.workers[index].carry_out_poll(&request, now) {
                    let clock = self.workers[index].clock_ms(now);
                    let outcome = PollOutcome::Fenced(Some(clock));
                    let key = request.target.worker_key;
                    let result = RequestResult::Poll(key, outcome, is_probe);
                    return self.answer(index, MessageKind::PollAnswer, from, id, result);
                }
                self.schedule_lease_check(index);
                let wait = u64::try_from(request.wait.as_millis()).expect("a small time");
                let has_ends = !self.workers[index].ended.is_empty();
                let waiting = (from, request, is_probe);
                self.workers[index].waiting_polls.insert(id, waiting);
                if wait == 0 || has_ends {
                    self.answer_poll(index, id);
                } else {
                    let life = self.worker_life(index);
                    self.network.at(now + wait, Event::PollDue(life, id));
                }
            }
        }
    }

    fn carry_out_start(
        &mut self,
        index: usize,
        from: HostLife,
        id: u64,
        request: &hornbeam_fleet::StartRequest,
    ) {
        let now = self.now;
        let run = request.run;
        let outcome = match self.workers[index].carry_out_start(request, NEED_CPU_MILLI, now) {
            Ok(is_new) => {
                if is_new {
                    self.run_started(index, run);
                }
                StartOutcome::Accepted(self.workers[index].clock_ms(now))
            }
            Err(refusal) => {
                if refusal != StartRefusal::Fenced {
                    self.schedule_lease_check(index);
                }
                StartOutcome::Refused(refusal)
            }
        };
        let result = RequestResult::Start(request.target.worker_key, run, outcome);
        self.answer(index, MessageKind::StartAnswer, from, id, result);
    }

    fn answer(
        &mut self,
        worker: usize,
        kind: MessageKind,
        to: HostLife,
        id: u64,
        result: RequestResult,
    ) {
        let ended = Event::RequestEnded(to, id, result);
        self.network.send(self.now, kind, worker, ended);
    }

    fn answer_poll(&mut self, worker: usize, id: u64) {
        let Some((to, request, is_probe)) = self.workers[worker].waiting_polls.remove(&id) else {
            return;
        };
        let response = self.workers[worker].poll_response(self.now);
        let outcome = PollOutcome::Answered(response);
        let result = RequestResult::Poll(request.target.worker_key, outcome, is_probe);
        self.answer(worker, MessageKind::PollAnswer, to, id, result);
    }

    fn answer_waiting_polls(&mut self, worker: usize) {
        let waiting: Vec<u64> = self.workers[worker].waiting_polls.keys().copied().collect();
        for id in waiting {
            self.answer_poll(worker, id);
        }
    }

    fn worker_life(&self, worker: usize) -> WorkerLife {
        WorkerLife {
            worker,
            life: self.workers[worker].life,
        }
    }

    fn schedule_lease_check(&mut self, worker: usize) {
        let life = self.worker_life(worker);
        let at = self.workers[worker].lease_expires_at().max(self.now);
        self.network.at(at, Event::LeaseCheck(life));
    }

    fn check_lease(&mut self, life: WorkerLife) {
        if !self.is_current(life) {
            return;
        }
        let now = self.now;
        let worker = &mut self.workers[life.worker];
        if worker.clock_ms(now) < worker.deadline_ms || worker.runs.is_empty() {
            return;
        }
        let runs: Vec<RunId> = worker.runs.keys().copied().collect();
        for run in &runs {
            worker.end_run(*run, RunEnd::Lost);
        }
        self.note(|| format!("lease of w{} expires with {runs:?}", life.worker));
        self.answer_waiting_polls(life.worker);
    }

    fn run_started(&mut self, index: usize, run: RunId) {
        let now = self.now;
        self.starts += 1;
        self.note(|| format!("run {run} starts on w{index}"));
        for (other, worker) in self.workers.iter().enumerate() {
            let same = |active: &&RunId| (active.job, active.task) == (run.job, run.task);
            let same = worker.runs.keys().filter(same);
            let same: Vec<RunId> = same
                .copied()
                .filter(|a| (other, *a) != (index, run))
                .collect();
            if worker.is_up && !same.is_empty() {
                self.broken.push(format!(
                    "TWICE: {run} starts on w{index} at {now} while {same:?} is on w{other}"
                ));
            }
        }
        let acked_at = self.workers[index].drain_acked_at;
        if self.checks_drains && acked_at.is_some_and(|at| now > at + DRAIN_MS) {
            self.broken.push(format!(
                "DRAIN: {run} starts on w{index} at {now}, acknowledged at {acked_at:?}"
            ));
        }
        let life = self.worker_life(index);
        let Some(job) = self.jobs.get_mut(job_index(run.job)) else {
            self.broken.push(format!("UNASKED: {run} of no job"));
            return;
        };
        job.has_started = true;
        let done_at = now + job.work_ms;
        self.network.at(done_at, Event::RunDone(life, run));
        self.schedule_lease_check(index);
    }

    fn run_done(&mut self, worker: usize, run: RunId) {
        self.note(|| format!("run {run} on w{worker} is done"));
        if let Some(job) = self.jobs.get_mut(job_index(run.job)) {
            job.done[run.task as usize] = true;
        }
    }

    // Callers.

    fn caller_sends(&mut self, index: usize) {
        self.last_call += 1;
        let call = self.last_call;
        let first = usize::try_from(self.network.draw(HOSTS as u64)).expect("a small number");
        let sends = self.jobs[index].sends as usize;
        let is_up = |host: &usize| self.hosts[*host].fleet.is_some();
        let order = (0..HOSTS).map(|step| (first + sends + step) % HOSTS);
        let Some(host) = order.into_iter().find(is_up) else {
            return self.network.at(self.now + 200, Event::CallerSends(index));
        };
        let job = &mut self.jobs[index];
        job.sends += 1;
        job.call = Some(call);
        self.calls.insert(call, (index, host));
        self.note(|| format!("caller sends job {:x} to host {host}", job_key(index)));
        let arrives = Event::JobArrives(host, call);
        self.network
            .send(self.now, MessageKind::Submission, host, arrives);
        let timeout = Event::CallerTimeout(call);
        self.network.at(self.now + CALLER_TIMEOUT_MS + 50, timeout);
    }

    fn job_arrives(&mut self, host: usize, call: CallId) {
        let Some((index, _)) = self.calls.get(&call).copied() else {
            return;
        };
        if self.is_frozen(host) {
            let at = self.hosts[host].frozen_until;
            return self.network.at(at, Event::JobArrives(host, call));
        }
        let job = &self.jobs[index];
        if job.call != Some(call) {
            // The caller has closed its connection, which the host sees before it
            // submits the job.
            return;
        }
        let submission = Submission {
            job: job_key(index),
            queue: "orders".into(),
            spec: Arc::from("work"),
            tasks: job.tasks,
            need: Resources {
                cpu_milli: NEED_CPU_MILLI,
                memory_mb: 64,
                accelerators: 0,
            },
            estimate: Duration::from_millis(job.work_ms),
            timeout: Duration::from_millis(CALLER_TIMEOUT_MS),
        };
        self.step(host, FleetInput::Submitted(call, submission));
    }

    fn job_answered(&mut self, call: CallId, outcome: JobOutcome) {
        let Some((index, _)) = self.calls.get(&call).copied() else {
            return;
        };
        self.note(|| format!("job {:x} is answered {outcome:?}", job_key(index)));
        let job = &mut self.jobs[index];
        if outcome == JobOutcome::Completed && job.done.iter().any(|done| !done) {
            self.broken.push(format!(
                "MIXED: job {:x} is completed, its tasks are done: {:?}",
                job_key(index),
                job.done
            ));
        }
        if job.call != Some(call) {
            return;
        }
        job.call = None;
        if outcome == JobOutcome::TimedOut {
            job.all_refused = false;
            self.caller_retries(index);
        } else {
            job.all_refused &= matches!(outcome, JobOutcome::NotRun(_));
            job.outcome = Some(outcome);
        }
    }

    fn caller_timeout(&mut self, call: CallId) {
        let Some((index, host)) = self.calls.get(&call).copied() else {
            return;
        };
        if self.jobs[index].call != Some(call) {
            return;
        }
        self.jobs[index].call = None;
        self.jobs[index].all_refused = false;
        if self.hosts[host].fleet.is_some() {
            let gone = FleetInput::CallerDisconnected(call, job_key(index));
            if self.is_frozen(host) {
                let at = self.hosts[host].frozen_until;
                self.network.at(at, Event::CallerGone(host, call));
            } else {
                self.step(host, gone);
            }
        }
        self.caller_retries(index);
    }

    fn caller_retries(&mut self, index: usize) {
        if self.jobs[index].sends < MAX_SENDS {
            let again = Event::CallerSends(index);
            self.network.at(self.now + RETRY_DELAY_MS, again);
        }
    }

    fn check_jobs(&mut self) {
        for (index, job) in self.jobs.iter().enumerate() {
            if job.sends > 0 && job.call.is_some() {
                self.broken.push(format!(
                    "LOST: job {:x} got no answer and its caller still waits",
                    job_key(index)
                ));
            }
            if job.all_refused && job.outcome.is_some() && job.has_started {
                self.broken.push(format!(
                    "REFUSED: job {:x} was refused as not run, and has run",
                    job_key(index)
                ));
            }
        }
    }

    fn node_fault(&mut self, fault: NodeFault) {
        self.note(|| format!("fault {fault:?}"));
        match fault {
            NodeFault::Leave { worker, down_ms } => {
                let life = self.worker_life(worker);
                let state = &mut self.workers[worker];
                if !state.is_up || state.draining {
                    return;
                }
                state.draining = true;
                state.restarts_after = Some(down_ms);
                self.send_report(worker);
                self.network
                    .at(self.now + ENDS_ANYWAY_MS, Event::Leaves(life));
            }
            NodeFault::Crash { worker, down_ms } => {
                self.workers[worker].restarts_after = Some(down_ms);
                let life = self.worker_life(worker);
                self.worker_ends(life);
            }
            NodeFault::Resize { worker, percent } => {
                let full = super::worker::FULL_CPU_MILLI;
                self.workers[worker].cpu_milli = full / 100 * percent;
            }
            NodeFault::Kill { host, down_ms } => {
                if self.hosts[host].fleet.is_some() {
                    self.host_ends(host, down_ms);
                }
            }
            NodeFault::Freeze { host, for_ms } => {
                let until = self.now + for_ms;
                let state = &mut self.hosts[host];
                state.frozen_until = state.frozen_until.max(until);
                state.next_tick = state.frozen_until;
                let life = HostLife {
                    host,
                    life: state.life,
                };
                self.network.at(until, Event::Tick(life));
            }
            NodeFault::Restart { host } => {
                self.hosts[host].drain_started = true;
                self.step(host, FleetInput::Drain);
            }
        }
    }
}

impl Host {
    fn down() -> Self {
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

impl ModelJob {
    fn new(tasks: u32, work_ms: Millis) -> Self {
        Self {
            tasks,
            work_ms,
            sends: 0,
            call: None,
            outcome: None,
            all_refused: true,
            done: vec![false; tasks as usize],
            has_started: false,
        }
    }
}

fn host_id(host: usize) -> String {
    format!("entry-{}", host + 1)
}

fn host_at(address: std::net::SocketAddr) -> usize {
    let std::net::IpAddr::V4(ip) = address.ip() else {
        unreachable!("hosts have IPv4 addresses");
    };
    usize::from(ip.octets()[3]) - 1
}

fn worker_address(worker: usize) -> std::net::SocketAddr {
    let last = u8::try_from(worker + 1).expect("few workers");
    std::net::SocketAddr::from(([10, 9, 0, last], 80))
}

fn worker_at(address: std::net::SocketAddr) -> usize {
    host_at(address)
}

fn job_key(index: usize) -> u64 {
    0x1000 + index as u64
}

fn job_index(key: u64) -> usize {
    usize::try_from(key.wrapping_sub(0x1000)).unwrap_or(usize::MAX)
}
