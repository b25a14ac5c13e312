//! Placement by the pace of workers, where `scheduling.pace` is on. The decisions
//! are in `hornbeam-placement`; the design is in `docs/design/pace.md`.

use std::time::Duration;

use hornbeam_core::ids::ServiceId;
use hornbeam_placement::{FastCapacity, Pace, PaceNeed, PaceRank, PaceTable, RunOutlook};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::fleet::Fleet;
use crate::io::{PollResponse, RunProgress};
use crate::placement::Preference;
use crate::queues::QueueTable;
use crate::stragglers::{MAX_SLOW_ATTEMPT, MOVE_COST};
use crate::worker::{RunState, Worker, WorkerKey};

/// Least progress in percent from which the run time is projected. Workers report
/// whole percents, so less is too coarse.
const MIN_PROGRESS_PERCENT: u32 = 3;

/// `ServicePaces` is what a host knows about the paces of its workers.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServicePaces {
    tables: IndexMap<ServiceId, PaceTable>,
    /// Smallest stretch among the queues of each service.
    stretches: IndexMap<ServiceId, f64>,
}

impl ServicePaces {
    /// Takes over the stretches of a new configuration.
    pub(crate) fn set_queues(&mut self, queues: &QueueTable) {
        self.stretches.clear();
        for queue in &queues.queues {
            let stretch = self.stretches.entry(queue.service.clone());
            let stretch = stretch.or_insert(queue.stretch);
            *stretch = stretch.min(queue.stretch);
        }
    }
}

/// Percent of the mean pace for each unit of an encoded pace, so that a byte holds
/// up to five times the mean.
const PERCENT_PER_UNIT: f64 = 2.0;

/// `FreePaces` lists the paces of the workers of one service that have free
/// resources, in the order in which the status lists these.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub(crate) struct FreePaces {
    /// Service of the workers.
    pub(crate) service: ServiceId,
    /// Paces in units of 2 percent of the mean.
    units: Vec<u8>,
}

impl FreePaces {
    /// Gets the paces of the workers.
    pub(crate) fn paces(&self) -> impl Iterator<Item = Pace> {
        let relative = |unit: &u8| f64::from(*unit) * PERCENT_PER_UNIT / 100.0;
        self.units.iter().map(move |unit| Pace::new(relative(unit)))
    }

    fn push(&mut self, pace: Pace) {
        let unit = pace.relative() * 100.0 / PERCENT_PER_UNIT;
        self.units
            .push(unit.round().clamp(1.0, f64::from(u8::MAX)) as u8);
    }
}

/// `PaceOrder` ranks the workers of one service for a task.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PaceOrder {
    need: PaceNeed,
    fast: FastCapacity,
}

impl PaceOrder {
    /// Whether a worker of this pace is fast enough for the task.
    pub(crate) fn is_met_by(&self, pace: Pace) -> bool {
        self.need.is_met_by(pace)
    }
}

impl Fleet {
    /// Whether a worker is fast enough for a task.
    pub(crate) fn is_fast_enough(&self, worker_key: WorkerKey, order: PaceOrder) -> bool {
        let worker = self.workers.get(&worker_key);
        worker.is_some_and(|worker| order.is_met_by(self.worker_pace(worker)))
    }

    /// Gets the paces of the workers with free resources, for peers; `None` where
    /// pace does not count.
    pub(crate) fn own_free_paces(&self) -> Option<Vec<FreePaces>> {
        let mut services: Vec<FreePaces> = Vec::new();
        for worker in self.workers.values() {
            let service = &worker.report.service;
            if !self.has_uneven_paces(service) || !self.reports_as_free(worker) {
                continue;
            }
            let known = services.iter().position(|paces| paces.service == *service);
            let index = known.unwrap_or_else(|| {
                services.push(FreePaces {
                    service: service.clone(),
                    units: Vec::new(),
                });
                services.len() - 1
            });
            services[index].push(self.worker_pace(worker));
        }
        (!services.is_empty()).then_some(services)
    }

    /// Whether workers of a service differ so much in pace that some miss the
    /// objectives that others meet.
    fn has_uneven_paces(&self, service: &ServiceId) -> bool {
        if !self.options.scheduling.pace {
            return false;
        }
        let table = self.paces.tables.get(service);
        let extremes = table.and_then(PaceTable::extremes);
        let stretch = self.paces.stretches.get(service);
        match (extremes, stretch) {
            (Some((slowest, fastest)), Some(stretch)) => {
                fastest.relative() > slowest.relative() * stretch
            }
            _ => false,
        }
    }

    /// Gets the pace of a worker; the mean pace where pace does not count, so that
    /// estimates and placement are the former ones there.
    pub(crate) fn worker_pace(&self, worker: &Worker) -> Pace {
        if !self.has_uneven_paces(&worker.report.service) {
            return Pace::MEAN;
        }
        let table = self.paces.tables.get(&worker.report.service);
        table.map_or(Pace::MEAN, |table| table.pace(machine_type(worker)))
    }

    /// Records the time that a successful run took on a worker.
    pub(crate) fn record_pace(
        &mut self,
        worker_key: WorkerKey,
        expected: Duration,
        took: Duration,
    ) {
        if !self.options.scheduling.pace {
            return;
        }
        let Some(worker) = self.workers.get(&worker_key) else {
            return;
        };
        let service = &worker.report.service;
        let table = self.paces.tables.entry(service.clone()).or_default();
        table.record(machine_type(worker), expected, took);
        let mut counts: IndexMap<&str, u32> = IndexMap::new();
        for worker in self.workers.values() {
            if worker.report.service == *service {
                *counts.entry(machine_type(worker)).or_default() += 1;
            }
        }
        table.set_workers(counts);
    }

    /// Gets the order of the workers of a service for a task that must end within
    /// `time_left`; `None` if they are so even that each meets the objectives that
    /// another one meets.
    pub(crate) fn pace_order(
        &self,
        service: &ServiceId,
        expected: Duration,
        time_left: Duration,
    ) -> Option<PaceOrder> {
        if !self.has_uneven_paces(service) {
            return None;
        }
        let (slowest, fastest) = self.paces.tables.get(service)?.extremes()?;
        let least_fast = Pace::new((slowest.relative() * fastest.relative()).sqrt());
        let mut fast = FastCapacity::default();
        for worker in self.workers.values() {
            if worker.report.service == *service
                && worker.accepts_runs(self.now)
                && self.worker_pace(worker) >= least_fast
            {
                fast.free_cpu_milli += u64::from(worker.free().cpu_milli);
                fast.total_cpu_milli += u64::from(worker.report.capacity.cpu_milli);
            }
        }
        Some(PaceOrder {
            need: PaceNeed::new(expected, time_left),
            fast,
        })
    }

    /// Moves runs of this host's jobs that are about to miss their objectives on
    /// slow workers to free faster ones, if the callers gain by it.
    pub(crate) fn move_late_runs(&mut self, worker_key: WorkerKey, response: &PollResponse) {
        if !self.options.scheduling.pace {
            return;
        }
        for progress in &response.running {
            if let Some(remaining) = self.remaining_if_moved(worker_key, progress) {
                self.move_run(worker_key, progress.run, remaining);
            }
        }
    }

    /// Gets the remaining time of a run whose caller gains if it is moved.
    fn remaining_if_moved(
        &self,
        worker_key: WorkerKey,
        progress: &RunProgress,
    ) -> Option<Duration> {
        let id = progress.run;
        let worker = self.workers.get(&worker_key)?;
        let run = worker.runs.get(&id)?;
        let job = self.jobs.get(&id.job)?;
        let RunState::Running(since) = run.state else {
            return None;
        };
        if run.stop_requested
            || id.attempt > MAX_SLOW_ATTEMPT
            || progress.done_percent < MIN_PROGRESS_PERCENT
        {
            return None;
        }
        let elapsed = self.now.saturating_sub(since);
        let projected = elapsed * 100 / progress.done_percent;
        let mean_time = self.worker_pace(worker).mean_time_of(projected);
        let service = &job.service;
        let preference = Preference {
            pace: Some(self.pace_order(service, mean_time, job.time_left(self.now))?),
            newcomer: None,
            lease_limit: None,
        };
        let target = self.choose_worker(service, &job.need, Some(worker_key), &preference)?;
        let target = self.workers.get(&target)?;
        let outlook = RunOutlook {
            remaining: projected.saturating_sub(elapsed),
            restart: self.worker_pace(target).time_for(mean_time) + MOVE_COST,
            until_objective: job.time_left(self.now),
            until_deadline: job.deadline.saturating_sub(self.now),
        };
        (target.worker_key != worker_key && outlook.gains_by_restart()).then_some(outlook.remaining)
    }

    /// Ranks a worker by its pace.
    pub(crate) fn pace_rank(&self, order: Option<PaceOrder>, worker: &Worker) -> PaceRank {
        order.map_or(PaceRank::EQUAL, |order| {
            PaceRank::new(order.need, self.worker_pace(worker), order.fast)
        })
    }
}

/// Gets the machine type of a worker, which is the first label of its report.
fn machine_type(worker: &Worker) -> &str {
    worker.report.labels.first().map_or("", String::as_str)
}
