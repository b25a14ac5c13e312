//! Status reports and deregistrations of the model's workers, and their relay.

use hornbeam_fleet::{Fleet, FleetInput, ReportAnswer, ReportId, Resources, WorkerReport};

use super::Millis;
use super::network::{Destination, Event, MessageKind, SentReport, WorkerLife};
use super::site::{CONTROLS, HOSTS, Site, host_at, worker_address};
use crate::common::SERVICE;

pub(super) const REPORT_INTERVAL_MS: Millis = 1500;

const REPORT_TIMEOUT_MS: Millis = 1000;

/// Time for which a worker serves on after its drain was acknowledged.
const SERVES_ON_MS: Millis = 2500;

impl Site {
    pub(super) fn send_report(&mut self, worker: usize) {
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

    pub(super) fn report_timed_out(&mut self, life: WorkerLife, report: u64) {
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

    pub(super) fn report_answered(
        &mut self,
        life: WorkerLife,
        report: u64,
        next: Option<Destination>,
    ) {
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
    pub(super) fn relay(&mut self, control: usize, sent: SentReport, tried: usize) {
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

    pub(super) fn report_to_host(&mut self, host: usize, sent: SentReport, control: Option<usize>) {
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

    pub(super) fn answer_report(&mut self, host: usize, id: ReportId, answer: ReportAnswer) {
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

    pub(super) fn relay_answered(
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

    pub(super) fn acknowledge_report(&mut self, sent: &SentReport, next: Option<Destination>) {
        let answered = Event::ReportAnswered(sent.from, sent.report.sequence, next);
        self.network.send(
            self.now,
            MessageKind::ReportAnswer,
            sent.from.worker,
            answered,
        );
    }

    pub(super) fn deregistered(&mut self, to: Destination, worker: usize) {
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
}
