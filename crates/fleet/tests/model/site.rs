//! The event loop of the model, and the checks.

use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, SocketAddr};

use hornbeam_fleet::{CallId, FleetInput, RunEnd};

use super::Millis;
use super::callers::ModelJob;
use super::hosts::Host;
use super::network::{Destination, Event, HostLife, Network, WorkerLife};
use super::schedule::{NodeFault, Schedule};
use super::worker::{FULL_CPU_MILLI, Worker};

pub(super) const HOSTS: usize = 3;
pub(super) const WORKERS: usize = 4;
pub(super) const CONTROLS: usize = 2;

/// CPU that a task needs; two fit a worker.
pub(super) const NEED_CPU_MILLI: u32 = 6800;

/// Time after which a worker that drains ends without an acknowledgement.
pub(super) const ENDS_ANYWAY_MS: Millis = 4000;

/// Time for which jobs arrive, and after which the model ends.
pub(super) const LOAD_UNTIL_MS: Millis = 13_000;
pub(super) const END_MS: Millis = 24_000;

/// `Site` is the state of the model.
pub struct Site {
    pub(super) now: Millis,
    pub(super) network: Network,
    pub(super) hosts: Vec<Host>,
    pub(super) workers: Vec<Worker>,
    pub(super) controls: Vec<BTreeMap<usize, (usize, Millis)>>,
    pub(super) jobs: Vec<ModelJob>,
    pub(super) calls: HashMap<CallId, (usize, usize)>,
    pub(super) last_call: CallId,
    pub(super) last_request: u64,
    pub(super) checks_drains: bool,
    /// Lines of the events so far, if they are recorded.
    pub trace: Option<Vec<String>>,
    /// Broken rules.
    pub broken: Vec<String>,
    /// Runs that have started.
    pub starts: u64,
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

    pub(super) fn note(&mut self, line: impl FnOnce() -> String) {
        if let Some(trace) = &mut self.trace {
            trace.push(format!("{:6} {}", self.now, line()));
        }
    }

    pub(super) fn handle(&mut self, event: Event) {
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
                    self.step(to.host, FleetInput::Batch(batch.0, batch.1));
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
                if self.is_frozen(host) {
                    let at = self.hosts[host].frozen_until;
                    return self.network.at(at, Event::CallerGone(host, call));
                }
                let (index, _) = self.calls[&call];
                let gone = FleetInput::CallerDisconnected(call, job_key(index));
                self.step(host, gone);
            }
            Event::InputsRead(to, pause) => {
                if self.hosts[to.host].life != to.life {
                    return;
                }
                if self.is_frozen(to.host) {
                    let at = self.hosts[to.host].frozen_until;
                    return self.network.at(at, Event::InputsRead(to, pause));
                }
                self.step(to.host, FleetInput::InputsRead(pause));
            }
            Event::CallerTimeout(call) => self.caller_leaves(call, 0),
            Event::HostsListed => self.list_hosts(),
            Event::NodeFault(fault) => self.node_fault(fault),
        }
    }

    pub(super) fn is_current(&self, life: WorkerLife) -> bool {
        let worker = &self.workers[life.worker];
        worker.is_up && worker.life == life.life
    }

    pub(super) fn is_frozen(&self, host: usize) -> bool {
        self.hosts[host].frozen_until > self.now
    }

    pub(super) fn node_fault(&mut self, fault: NodeFault) {
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
                let full = FULL_CPU_MILLI;
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
            NodeFault::ResetCallers { host } => self.reset_callers(host),
            NodeFault::Restart { host } => {
                self.hosts[host].drain_started = true;
                self.step(host, FleetInput::Drain);
            }
        }
    }
}

pub(super) fn host_id(host: usize) -> String {
    format!("entry-{}", host + 1)
}

pub(super) fn host_at(address: SocketAddr) -> usize {
    let IpAddr::V4(ip) = address.ip() else {
        unreachable!("hosts have IPv4 addresses");
    };
    usize::from(ip.octets()[3]) - 1
}

pub(super) fn worker_address(worker: usize) -> SocketAddr {
    let last = u8::try_from(worker + 1).expect("few workers");
    SocketAddr::from(([10, 9, 0, last], 80))
}

pub(super) fn worker_at(address: SocketAddr) -> usize {
    host_at(address)
}

pub(super) fn job_key(index: usize) -> u64 {
    0x1000 + index as u64
}

pub(super) fn job_index(key: u64) -> usize {
    usize::try_from(key.wrapping_sub(0x1000)).unwrap_or(usize::MAX)
}
