//! Drain of the host: workers are handed over to peers and jobs finish.

use hornbeam_core::event::Event;
use hornbeam_core::ids::HostId;

use crate::fleet::Fleet;
use crate::io::{ReportAnswer, Subject};
use crate::job::{Job, JobKey, JobOutcome, NotRun};
use crate::peer::Peer;
use crate::peer_messages::PeerMessage;
use crate::report::WorkerReport;
use crate::worker::{Phase, Worker, WorkerKey};

impl Fleet {
    pub(crate) fn start_drain(&mut self) {
        if self.drain_started.is_some() {
            return;
        }
        self.drain_started = Some(self.now);
        let message = format!(
            "{} jobs and {} tasks of peers in progress, {} workers to hand over",
            self.jobs.len(),
            self.peer_tasks.len(),
            self.workers.len()
        );
        self.log(Event::DrainStarted, Subject::Host, message);
        self.return_waiting_peer_tasks();
        for peer in self.peers.values_mut() {
            peer.schedule_status();
        }
    }

    /// Hands over idle workers, and ends the remaining jobs at the drain
    /// deadline.
    pub(crate) fn continue_drain(&mut self) {
        let Some(started) = self.drain_started else {
            return;
        };
        self.hand_over_idle_workers();
        if self.now < started + self.options.max_drain {
            return;
        }
        let keys: Vec<JobKey> = self.jobs.keys().copied().collect();
        for key in keys {
            let started = self.jobs.get(&key).is_some_and(Job::may_have_started);
            let outcome = if started {
                JobOutcome::TimedOut
            } else {
                JobOutcome::NotRun(NotRun::Draining)
            };
            self.end_job(key, outcome, "the drain deadline has passed");
        }
    }

    fn hand_over_idle_workers(&mut self) {
        let is_idle = |worker: &&Worker| worker.runs.is_empty() && worker.phase == Phase::Ready;
        let idle: Vec<WorkerKey> = self
            .workers
            .values()
            .filter(is_idle)
            .map(|worker| worker.worker_key)
            .collect();
        for worker_key in idle {
            let Some(domain) = self
                .workers
                .get(&worker_key)
                .map(|worker| worker.report.failure_domain.clone())
            else {
                continue;
            };
            let Some(host) = self.choose_handover_peer(&domain) else {
                return;
            };
            self.hand_over(worker_key, &host);
        }
    }

    /// Chooses the peer that takes over a worker: among the peers in the
    /// worker's failure domain, or all peers if it has none, the one that owns
    /// the fewest workers.
    fn choose_handover_peer(&self, domain: &str) -> Option<HostId> {
        let now = self.now;
        let is_fit = |peer: &&Peer| peer.is_responsive(now) && !peer.status.draining;
        let rank = |peer: &&Peer| (peer.failure_domain != domain, peer.status.owned);
        let fit = self.peers.iter().filter(|(_, peer)| is_fit(peer));
        let handover_peer = fit.min_by_key(|(_, peer)| rank(peer))?;
        Some(handover_peer.0.clone())
    }

    /// Forwards the report of a worker that was handed over to its new owner.
    pub(crate) fn forward_report(&mut self, report: &WorkerReport) -> Option<ReportAnswer> {
        let (host, fencing_token) = self.handed_over.get(&report.worker_id)?;
        let peer = self.peers.get_mut(host)?;
        if !peer.is_responsive(self.now) {
            return None;
        }
        peer.push(PeerMessage::HandOver(report.clone(), *fencing_token));
        Some(ReportAnswer::Moved(peer.address))
    }

    fn hand_over(&mut self, worker_key: WorkerKey, host: &HostId) {
        let Some(worker) = self.workers.get(&worker_key) else {
            return;
        };
        let (report, fencing_token) = (worker.report.clone(), worker.fencing_token);
        self.handed_over
            .insert(report.worker_id.clone(), (host.clone(), fencing_token));
        if let Some(peer) = self.peers.get_mut(host) {
            peer.push(PeerMessage::HandOver(report, fencing_token));
            peer.status.owned += 1;
        }
        let reason = format!("it was handed over to peer {host}");
        self.remove_worker(worker_key, self.now, &reason);
    }
}
