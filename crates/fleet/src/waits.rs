//! How long a job that arrives now would wait for room.

use std::time::Duration;

use crate::fleet::Fleet;
use crate::job::Job;
use crate::room::Resources;

/// Part of the waiting tasks that go before a job of priority 0, in percent:
/// those of its own priority.
const AHEAD_OF_FIRST_PRIORITY_PERCENT: u32 = 30;

/// Weight of one run in the mean time of runs.
const WEIGHT: f64 = 0.02;

/// `RunTimes` is the mean time that a run takes its room.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunTimes {
    mean: Option<Duration>,
}

impl RunTimes {
    /// Takes note of a run.
    pub(crate) fn learn(&mut self, took: Duration) {
        let mean = match self.mean {
            Some(mean) => mean.mul_f64(1.0 - WEIGHT) + took.mul_f64(WEIGHT),
            None => took,
        };
        self.mean = Some(mean);
    }
}

impl Fleet {
    /// Gets why a job would start its last task too late for its objective, if
    /// it would. The reckoning takes all hosts as one queue, because waiting
    /// tasks are spread over them, and the workers that take tasks as alike.
    pub(crate) fn comes_too_late(&self, job: &Job) -> Option<String> {
        let mean = self.run_times.mean?;
        let lively = || self.peers.values().filter(|peer| peer.is_lively(self.now));
        let waiting: u32 = lively().map(|peer| peer.status.waiting).sum();
        let waiting = waiting + self.waiting_tasks();
        let ahead = if job.urgency == job.start_by {
            waiting
        } else {
            waiting * AHEAD_OF_FIRST_PRIORITY_PERCENT / 100
        };
        let tasks = u32::try_from(job.tasks.len()).unwrap_or(u32::MAX);
        let served_at_once = self.free_slots(job);
        let to_wait = ahead.saturating_add(tasks).saturating_sub(served_at_once);
        let own_workers = self.serving_workers();
        let peers_workers: u32 = lively().map(|peer| peer.status.serving).sum();
        let own_slots = f64::from(self.own_slots(job));
        if waiting == 0 || to_wait == 0 || own_slots == 0.0 {
            return None;
        }
        let slots = own_slots * f64::from(own_workers + peers_workers) / f64::from(own_workers);
        let wait = mean.mul_f64(f64::from(to_wait) / slots);
        let patience = job.start_by.saturating_sub(self.now);
        (wait > patience).then(|| {
            format!(
                "its last task would wait {} ms for room and may wait {} ms; {ahead} tasks ahead, {tasks} of its own, room for {served_at_once} now and {slots:.0} in all, {} ms a run",
                wait.as_millis(),
                patience.as_millis(),
                mean.as_millis()
            )
        })
    }

    /// Counts the tasks of a job that the own workers hold when they are empty.
    fn own_slots(&self, job: &Job) -> u32 {
        let serving = self
            .workers
            .values()
            .filter(|worker| worker.report.service == job.service && worker.takes_runs(self.now));
        serving
            .map(|worker| slots_in(&worker.report.capacity, &job.need))
            .sum()
    }

    /// Counts the tasks of a job for which there is room here or at peers now.
    fn free_slots(&self, job: &Job) -> u32 {
        let own = self.own_rooms();
        let peers = self.peers.values().filter(|peer| peer.is_lively(self.now));
        let rooms = own.iter().chain(peers.flat_map(|peer| &peer.status.rooms));
        let free = rooms
            .filter(|rooms| rooms.service == job.service)
            .flat_map(|rooms| &rooms.free);
        free.map(|room| slots_in(room, &job.need)).sum()
    }
}

/// Counts the tasks that fit a room by its processors, which run out first.
fn slots_in(room: &Resources, need: &Resources) -> u32 {
    room.cpu_milli / need.cpu_milli.max(1)
}
