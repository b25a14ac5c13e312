//! Estimates how long a newly arrived job would wait for free resources.

use std::time::Duration;

use crate::fleet::Fleet;
use crate::job::Job;
use crate::resources::Resources;
use crate::run_times::scaled;

/// Share of the tasks that wait at peers and are ahead of a job of priority 0,
/// if none wait here: those of the same priority.
pub(crate) const SHARE_AHEAD_OF_URGENT: f64 = 0.3;

/// Weight of one run in the moving average of run times.
const RUN_WEIGHT: f64 = 0.02;

/// `MeanRunTime` is the mean time for which a run occupies its resources.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MeanRunTime {
    mean: Option<Duration>,
}

impl MeanRunTime {
    /// Records the time that a run took.
    pub(crate) fn record(&mut self, took: Duration) {
        let mean = match self.mean {
            Some(mean) => scaled(mean, 1.0 - RUN_WEIGHT) + scaled(took, RUN_WEIGHT),
            None => took,
        };
        self.mean = Some(mean);
    }
}

impl Fleet {
    /// Gets the reason if the job would start its last task too late for its
    /// objective. The estimate treats all hosts as one queue, because waiting
    /// tasks are spread over them, and all serving workers as equal.
    pub(crate) fn late_start_reason(&self, job: &Job) -> Option<String> {
        let mean = self.mean_run_time.mean?;
        let responsive = || {
            self.peers
                .values()
                .filter(|peer| peer.is_responsive(self.now))
        };
        let own_waiting = self.waiting_tasks();
        let peers_waiting = saturating_sum(responsive().map(|peer| peer.status.waiting));
        let waiting = peers_waiting.saturating_add(own_waiting);
        // Peers report how many tasks wait, not which; the share that goes first
        // is taken to be the same as here.
        let own_ahead = self.waiting_tasks_before(job.effective_start_by);
        let is_urgent = job.effective_start_by != job.start_by;
        let share_ahead = match own_waiting {
            0 if is_urgent => SHARE_AHEAD_OF_URGENT,
            0 => 1.0,
            _ => f64::from(own_ahead) / f64::from(own_waiting),
        };
        let ahead = own_ahead.saturating_add((f64::from(peers_waiting) * share_ahead) as u32);
        let tasks = u32::try_from(job.tasks.len()).unwrap_or(u32::MAX);
        let free_now = self.free_slots(job);
        let to_wait = ahead.saturating_add(tasks).saturating_sub(free_now);
        if waiting == 0 || to_wait == 0 {
            return None;
        }
        let own_workers = self.serving_workers();
        let peer_workers = saturating_sum(responsive().map(|peer| peer.status.serving));
        let slots = if self.serves_only_through_peers() {
            self.evacuated_slots_per_worker(job)? * f64::from(peer_workers)
        } else {
            let own_slots = f64::from(self.own_slots(job));
            own_slots * (f64::from(own_workers) + f64::from(peer_workers)) / f64::from(own_workers)
        };
        if slots.is_nan() || slots == 0.0 {
            return None;
        }
        let wait = scaled(mean, f64::from(to_wait) / slots);
        let time_left = job.start_by.saturating_sub(self.now);
        (wait > time_left).then(|| {
            format!(
                "its last task would wait {} ms for resources but may wait {} ms; {ahead} tasks ahead, {tasks} of its own, {free_now} of {slots:.0} slots free, {} ms per run",
                wait.as_millis(),
                time_left.as_millis(),
                mean.as_millis()
            )
        })
    }

    /// Counts the waiting tasks that start before those of a job with this
    /// effective start time.
    fn waiting_tasks_before(&self, effective_start_by: Duration) -> u32 {
        let before = self
            .queued_jobs
            .iter()
            .take_while(|(at, _)| *at <= effective_start_by);
        let queued = before.filter_map(|(_, key)| Some((key, self.jobs.get(key)?)));
        let own: usize = queued.map(|(key, job)| self.queued_tasks(*key, job)).sum();
        let peer_tasks = self
            .waiting_peer_tasks
            .iter()
            .take_while(|(at, _)| *at <= effective_start_by);
        u32::try_from(own + peer_tasks.count()).unwrap_or(u32::MAX)
    }

    /// Counts the tasks of a job that fit the serving workers of this host when
    /// they are idle.
    fn own_slots(&self, job: &Job) -> u32 {
        let serving = self
            .workers
            .values()
            .filter(|worker| worker.report.service == job.service && worker.accepts_runs(self.now));
        saturating_sum(serving.map(|worker| slots_in(&worker.report.capacity, &job.need)))
    }

    /// Gets the mean number of tasks of a job that fit a worker, from the evacuated
    /// workers of this host. Peers report how many workers serve, but not how large
    /// they are, and the evacuated ones are the best sample of them.
    fn evacuated_slots_per_worker(&self, job: &Job) -> Option<f64> {
        let evacuated = || self.workers.values().filter(|worker| worker.is_evacuated);
        let fitting = evacuated().filter(|worker| worker.report.service == job.service);
        let slots =
            saturating_sum(fitting.map(|worker| slots_in(&worker.report.capacity, &job.need)));
        let workers = evacuated().count();
        (workers > 0).then(|| f64::from(slots) / workers as f64)
    }

    /// Counts the tasks of a job that fit the free resources here and at peers.
    fn free_slots(&self, job: &Job) -> u32 {
        let own = self.free_resources();
        let peers = self
            .peers
            .values()
            .filter(|peer| peer.is_responsive(self.now));
        let resources = own
            .iter()
            .chain(peers.flat_map(|peer| &peer.status.resources));
        let free = resources
            .filter(|resources| resources.service == job.service)
            .flat_map(|resources| &resources.free);
        saturating_sum(free.map(|amount| slots_in(amount, &job.need)))
    }
}

/// Adds numbers of which some come from other processes, and may be of any size.
fn saturating_sum(numbers: impl Iterator<Item = u32>) -> u32 {
    numbers.fold(0, u32::saturating_add)
}

/// Counts the tasks that fit an amount of resources by cores, which run out
/// first.
fn slots_in(resources: &Resources, need: &Resources) -> u32 {
    resources.cpu_milli / need.cpu_milli.max(1)
}
