//! Inputs of the wait estimate by work: the line ahead of a job, and the slots
//! that it can use here and at peers.

use std::time::Duration;

use hornbeam_admission::{
    EndSpan, JobDemand, LateStart, PeerLine, QueuedWork, Standing, Supply, Work, check_start,
    place_before_new, retry_after,
};
use hornbeam_core::ids::{HostId, ServiceId};

use crate::admission::RETRY_AFTER_MS;
use crate::fleet::Fleet;
use crate::job::{Job, JobKey, NotRun};
use crate::peer::Peer;
use crate::resources::Resources;
use crate::wait_estimate::SHARE_AHEAD_OF_URGENT;
use crate::worker::{Run, RunState};

impl Fleet {
    /// Records the demand of a new job, and gets its place in the line. A caller
    /// that was rejected and returns as told goes before new ones.
    pub(crate) fn place_of(&mut self, job_key: JobKey, job: &Job) -> Duration {
        let work = Work::of_tasks(job.tasks.len(), job.need.cpu_milli, job.expected);
        let standing = Standing {
            priority: job.priority,
            is_within_share: self.shares.record(&job.queue, work.core_ms, self.now),
        };
        let place = standing.place(job.start_by);
        if self.rejections.returns_as_told(job_key, self.now) {
            return place.min(place_before_new(job.priority, self.now));
        }
        place
    }

    /// Places the last tasks of a job that has just started before the first
    /// tasks of others of its priority.
    pub(crate) fn advance_started(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get_mut(&key).filter(|job| job.queued > 0) else {
            return;
        };
        let place = place_before_new(job.priority, self.now);
        if place < job.effective_start_by {
            self.queued_jobs.remove(&(job.effective_start_by, key));
            job.effective_start_by = place;
            self.queued_jobs.insert((place, key));
        }
    }

    /// Checks whether the last tasks of a job that is next in the line would
    /// start too late if its first ones started now. The cores of these would be
    /// wasted.
    pub(crate) fn check_start_as_unit(&self, key: JobKey) -> Result<(), LateStart> {
        let Some(job) = self.jobs.get(&key) else {
            return Ok(());
        };
        let free_slots = self.free_task_slots(&job.service, &job.need);
        let tasks = u32::try_from(job.queued).unwrap_or(u32::MAX);
        if job.may_have_started() || free_slots == 0 || free_slots >= tasks {
            return Ok(());
        }
        check_start(
            &self.demand_of(job, tasks),
            &Work::default(),
            &self.supply_of(job, free_slots),
        )
    }

    fn demand_of(&self, job: &Job, tasks: u32) -> JobDemand {
        JobDemand {
            tasks,
            cpu_milli: job.need.cpu_milli,
            expected: job.expected,
            time_left: job.start_by.saturating_sub(self.now),
        }
    }

    fn supply_of(&self, job: &Job, free_slots: u32) -> Supply {
        Supply {
            free_slots,
            serving_slots: self.serving_slots(job),
            ends: self.run_ends(),
        }
    }

    /// Whether every queued task of a job fits the free resources of a worker
    /// here or at a peer, counted per worker.
    pub(crate) fn has_free_slots(&self, job: &Job) -> bool {
        let tasks = u32::try_from(job.queued).unwrap_or(u32::MAX);
        self.free_task_slots(&job.service, &job.need) >= tasks
    }

    /// Checks by work whether the last task of a job would start too late, and
    /// records how long the waiting work takes to drain.
    pub(crate) fn check_start_by_work(&mut self, job: &Job) -> Result<(), LateStart> {
        let tasks = u32::try_from(job.tasks.len()).unwrap_or(u32::MAX);
        let free_slots = self.free_task_slots(&job.service, &job.need);
        if free_slots >= tasks {
            self.drain_time = Duration::ZERO;
            return Ok(());
        }
        let ahead = self.work_ahead(job);
        let supply = self.supply_of(job, free_slots);
        let drain_time = supply.drain_time(&ahead, job.need.cpu_milli);
        self.drain_time = drain_time.unwrap_or_default();
        check_start(&self.demand_of(job, tasks), &ahead, &supply)
    }

    /// Rejects a job because of overload, and gets the reason with the time after
    /// which its caller may return. The drain time is that of the last estimate,
    /// so that a rejection does not scan the waiting jobs again.
    pub(crate) fn overloaded(&mut self, job: JobKey) -> NotRun {
        let retry_after_ms = if self.options.scheduling.fair_admission {
            let retry_after = retry_after(self.drain_time, job);
            self.rejections.record(job, self.now, retry_after);
            u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX)
        } else {
            RETRY_AFTER_MS
        };
        NotRun::Overloaded { retry_after_ms }
    }

    /// Sums the waiting work that starts before a job, here and at peers.
    fn work_ahead(&self, job: &Job) -> Work {
        let mut ahead = Work::default();
        let mut own = Work::default();
        let is_ahead = |at: Duration| at <= job.effective_start_by;
        for (at, key) in &self.queued_jobs {
            let Some(queued) = self.jobs.get(key) else {
                continue;
            };
            let tasks = self.queued_tasks(*key, queued);
            let work = Work::of_tasks(tasks, queued.need.cpu_milli, queued.expected);
            own.add(&work);
            if is_ahead(*at) {
                ahead.add(&work);
            }
        }
        for (at, run) in &self.waiting_peer_tasks {
            let Some(peer_task) = self.peer_tasks.get(run) else {
                continue;
            };
            let expected = Duration::from_millis(peer_task.chunk.expected_ms);
            let work = Work::of_tasks(1, peer_task.chunk.need.cpu_milli, expected);
            own.add(&work);
            if is_ahead(*at) {
                ahead.add(&work);
            }
        }
        let mean = if own.tasks > 0.0 {
            own.scaled(1.0 / own.tasks)
        } else {
            // Without any ended run, the tasks at peers are taken to be like
            // those of the job.
            let like_job = || Work::of_tasks(1, job.need.cpu_milli, job.expected);
            self.mean_work.get().unwrap_or_else(like_job)
        };
        let share_ahead = match own.core_ms {
            0.0 if job.priority == 0 => SHARE_AHEAD_OF_URGENT,
            0.0 => 1.0,
            all => ahead.core_ms / all,
        };
        for (host, peer) in &self.peers {
            if !peer.is_responsive(self.now) {
                continue;
            }
            let line = PeerLine {
                waiting: peer.status.waiting,
                queued: self.queued_work_at(host),
            };
            ahead.add(&line.ahead_of(job.priority, &mean, share_ahead));
        }
        ahead
    }

    /// Gets the queued work that a peer has told by priority. No message carries
    /// it yet, so that its task count is used.
    const fn queued_work_at(&self, _host: &HostId) -> Option<QueuedWork> {
        None
    }

    /// Counts the tasks that fit free resources here and at peers, by worker.
    fn free_task_slots(&self, service: &ServiceId, need: &Resources) -> u32 {
        let own = self
            .workers
            .values()
            .filter(|worker| worker.report.service == *service && worker.accepts_runs(self.now));
        let own = own.map(|worker| task_slots(&worker.free(), need));
        let peers = self.peers.values().filter(|peer| self.may_run_at(peer));
        let resources = peers.flat_map(|peer| &peer.status.resources);
        let resources = resources.filter(|resources| resources.service == *service);
        let free = resources.flat_map(|resources| &resources.free);
        own.chain(free.map(|free| task_slots(free, need)))
            .fold(0, u32::saturating_add)
    }

    /// Counts the tasks of a job that fit the serving workers here and at peers
    /// when they are idle. Peers tell the number of their workers, not the size
    /// of each: they are taken to be like those here, or like their largest.
    fn serving_slots(&self, job: &Job) -> u32 {
        let own = self
            .workers
            .values()
            .filter(|worker| worker.report.service == job.service && worker.accepts_runs(self.now));
        let slots = own.map(|worker| task_slots(&worker.report.capacity, &job.need));
        let (count, own_slots) = slots.fold((0_u32, 0_u32), |(count, sum), slots| {
            (count + 1, sum.saturating_add(slots))
        });
        let peers = self.peers.values().filter(|peer| self.may_run_at(peer));
        let at_peers = peers.filter_map(|peer| {
            let mut resources = peer.status.resources.iter();
            let resources = resources.find(|resources| resources.service == job.service)?;
            let per_worker = if count > 0 {
                f64::from(own_slots) / f64::from(count)
            } else {
                f64::from(task_slots(&resources.largest, &job.need))
            };
            Some((f64::from(peer.status.serving) * per_worker) as u32)
        });
        at_peers.fold(own_slots, u32::saturating_add)
    }

    fn may_run_at(&self, peer: &Peer) -> bool {
        peer.is_responsive(self.now) && !peer.status.draining
    }

    /// Gets the spans in which the runs on the workers of this host end. They
    /// stand for those at peers as well.
    fn run_ends(&self) -> Vec<EndSpan> {
        let runs = self
            .workers
            .values()
            .flat_map(|worker| worker.runs.values());
        let mut ends: Vec<EndSpan> = runs.map(|run| self.end_span(run)).collect();
        if ends.is_empty() {
            let mean = self.mean_work.get().filter(|mean| mean.cores > 0.0);
            let mean_ms = mean.map_or(0.0, |mean| mean.core_ms / mean.cores);
            // Seen at any time, half of a run remains on average.
            ends.push(EndSpan::of_mean(Duration::from_secs_f64(mean_ms / 2000.0)));
        }
        ends
    }

    fn end_span(&self, run: &Run) -> EndSpan {
        let elapsed = match run.state {
            RunState::Running(since) => self.now.saturating_sub(since),
            RunState::Starting(_) | RunState::Unknown => Duration::ZERO,
        };
        EndSpan::of_run(run.expected, elapsed)
    }
}

/// Counts the tasks that fit one worker's resources.
fn task_slots(resources: &Resources, need: &Resources) -> u32 {
    let fit = |amount: u32, need: u32| amount.checked_div(need).unwrap_or(u32::MAX);
    let slots = fit(resources.cpu_milli, need.cpu_milli)
        .min(fit(resources.memory_mb, need.memory_mb))
        .min(fit(resources.accelerators, need.accelerators));
    // A task without any need fits as often as its worker has cores.
    slots.min(resources.cpu_milli)
}
