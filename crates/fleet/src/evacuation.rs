//! Evacuated failure domains, whose workers get no new runs.
//!
//! An operator evacuates a failure domain before maintenance, or because its
//! power or network is about to fail. Runs that have started there finish, and
//! everything that waits goes to workers of the other domains. When the domain
//! returns to service, its workers may be cold, and so come last at first.

use std::time::Duration;

use hornbeam_core::evacuation::EvacuationList;
use hornbeam_core::event::Event;
use hornbeam_core::ids::{FailureDomainId, ServiceId};

use crate::fleet::Fleet;
use crate::io::{ReportId, Subject};
use crate::job::RunId;
use crate::report::WorkerReport;
use crate::resources::Resources;
use crate::verification::Verification;
use crate::worker::Worker;

impl Fleet {
    /// Applies the list of evacuated failure domains. Lists come from several
    /// control hosts and can arrive late, so a lower revision changes nothing.
    pub(crate) fn on_evacuations(&mut self, list: EvacuationList) {
        if list.revision <= self.evacuations.revision {
            return;
        }
        let former = std::mem::replace(&mut self.evacuations, list);
        for worker in self.workers.values_mut() {
            worker.is_evacuated = self.evacuations.contains(&worker.report.failure_domain);
        }
        let evacuated = self.workers.values().filter(|worker| worker.is_evacuated);
        let message = format!(
            "evacuations of revision {} replace revision {}: evacuated failure domains are {}; {} of {} workers of this host are in them",
            self.evacuations.revision,
            former.revision,
            list_domains(&self.evacuations),
            evacuated.count(),
            self.workers.len()
        );
        self.log(Event::EvacuationsApplied, Subject::Host, message);
        self.resources_changed = true;
        // Peers learn of the change at once, so that they send no tasks that would
        // come back and expect no capacity that is gone.
        let now = self.now;
        let responsive = self.peers.values_mut();
        for peer in responsive.filter(|peer| peer.is_responsive(now)) {
            peer.schedule_status();
        }
        // Neighbours depend on the evacuated failure domains.
        self.present_hosts.clear();
        self.next_selection_at = Duration::ZERO;
    }

    /// Gets the list of evacuated failure domains that is applied.
    pub fn evacuations(&self) -> &EvacuationList {
        &self.evacuations
    }

    pub(crate) fn is_evacuated(&self, failure_domain: &FailureDomainId) -> bool {
        self.evacuations.contains(failure_domain)
    }

    /// Handles a report with the time for which the worker still expects to be
    /// slow. The time of a report that a later one overtook is ignored.
    pub(crate) fn on_reported_cold(
        &mut self,
        id: ReportId,
        report: WorkerReport,
        clock_ms: u64,
        remaining: Duration,
    ) {
        let cold_until = self.now.saturating_add(remaining);
        let worker_id = report.worker_id.clone();
        let identity = (report.born_unix_ms, report.sequence);
        self.on_reported(id, report, Some(Verification::ReportClock(clock_ms)));
        let worker_key = self.worker_keys_by_id.get(&worker_id);
        if let Some(worker) = worker_key.and_then(|key| self.workers.get_mut(key))
            && (worker.report.born_unix_ms, worker.report.sequence) == identity
        {
            worker.cold_until = cold_until;
        }
    }

    /// Whether a worker gets runs only if no other fits, because it is cold.
    /// Before the first evacuation cold workers are treated like others.
    pub(crate) fn is_cold(&self, worker: &Worker) -> bool {
        self.evacuations.revision > 0 && self.now < worker.cold_until
    }

    /// Sends waiting tasks of peers back to their origins if only evacuated
    /// workers of this host fit them.
    pub(crate) fn return_evacuated_peer_tasks(&mut self) {
        if self.evacuations.failure_domains.is_empty() {
            return;
        }
        let waiting = self.waiting_peer_tasks.iter().copied();
        let stranded: Vec<(Duration, RunId)> = waiting
            .filter(|(_, run)| {
                let peer_task = self.peer_tasks.get(run);
                peer_task.is_some_and(|peer_task| {
                    let chunk = &peer_task.chunk;
                    self.fits_only_evacuated(&chunk.service, &chunk.need)
                })
            })
            .collect();
        self.return_peer_tasks(stranded);
    }

    /// Whether a task fits evacuated workers of this host when they are idle, and
    /// no others that serve.
    fn fits_only_evacuated(&self, service: &ServiceId, need: &Resources) -> bool {
        let fits = |worker: &&Worker| {
            worker.report.service == *service && worker.report.capacity.can_fit(need)
        };
        let is_left = |worker: &Worker| {
            !worker.is_evacuated && !worker.report.draining && worker.unanswered_polls == 0
        };
        let fitting = || self.workers.values().filter(fits);
        fitting().any(|worker| worker.is_evacuated) && !fitting().any(is_left)
    }

    /// Whether this host owns workers and an evacuation leaves none to start tasks
    /// on.
    pub(crate) fn serves_only_through_peers(&self) -> bool {
        self.workers.values().any(|worker| worker.is_evacuated) && self.serving_workers() == 0
    }
}

fn list_domains(list: &EvacuationList) -> String {
    let names: Vec<&str> = list.failure_domains.iter().map(String::as_str).collect();
    if names.is_empty() {
        "none".to_owned()
    } else {
        names.join(", ")
    }
}
