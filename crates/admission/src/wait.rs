//! Estimate of the time at which the last task of a job would start.

use std::fmt;
use std::time::Duration;

use crate::work::Work;

/// Relative error of the expected run time of one task. Declared run times are
/// wrong by about 40 %; the errors of several tasks partly cancel out.
const TASK_ERROR: f64 = 0.4;

/// Relative error of the estimate that remains with any number of tasks. The
/// status of a peer may be 400 ms old, and workers differ in pace. Estimates of
/// 71 ms with 60 ms allowed rejected jobs while workers were free.
const RESIDUAL_ERROR: f64 = 0.15;

/// Longest wait that is estimated.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Halvings of the interval that holds the wait: to about a millisecond.
const WAIT_SEARCH_STEPS: u32 = 16;

/// Shortest span in which a run ends, so that no division is by 0.
const MIN_SPAN_MS: f64 = 1.0;

/// Share of its expected run time within which a run that has exceeded the
/// expected time and its error is taken to end.
const OVERRUN: f64 = 0.25;

/// `JobDemand` is what a job needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JobDemand {
    /// Number of tasks that have not started.
    pub tasks: u32,
    /// Thousandths of a core that each task needs.
    pub cpu_milli: u32,
    /// Expected run time of a task.
    pub expected: Duration,
    /// Time left until the last task must start.
    pub time_left: Duration,
}

/// `Supply` is what the workers here and at peers have for tasks of a job. A
/// slot is room for one of its tasks on one worker: two workers with half of it
/// each have none.
#[derive(Clone, Debug, PartialEq)]
pub struct Supply {
    /// Free slots.
    pub free_slots: u32,
    /// Slots of the serving workers if all were idle.
    pub serving_slots: u32,
    /// When runs in progress end. It is a sample that stands for all busy slots:
    /// a mean over short and long runs would hide that the short ones end soon.
    pub ends: Vec<EndSpan>,
}

impl Supply {
    /// Gets the time after which waiting work has drained, if all slots of tasks
    /// with these cores work on it; `None` without any slot.
    pub fn drain_time(&self, work: &Work, cpu_milli: u32) -> Option<Duration> {
        let cores = f64::from(self.serving_slots) * f64::from(cpu_milli) / 1000.0;
        if cores <= 0.0 {
            return None;
        }
        let seconds = work.core_ms / cores / 1000.0;
        Some(MAX_WAIT.mul_f64((seconds / MAX_WAIT.as_secs_f64()).clamp(0.0, 1.0)))
    }
}

/// `EndSpan` is the span within which a run ends, each time in it being equally
/// likely.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndSpan {
    first_ms: f64,
    length_ms: f64,
}

impl EndSpan {
    /// Gets the span of a run from its expected time and the time it has taken.
    pub fn of_run(expected: Duration, elapsed: Duration) -> Self {
        let (expected, elapsed) = (millis(expected), millis(elapsed));
        let first_ms = (expected * (1.0 - TASK_ERROR) - elapsed).max(0.0);
        let last_ms = (expected * (1.0 + TASK_ERROR) - elapsed).max(expected * OVERRUN);
        Self {
            first_ms,
            length_ms: (last_ms - first_ms).max(MIN_SPAN_MS),
        }
    }

    /// Gets the span of runs of which only the mean remaining time is known.
    pub fn of_mean(remaining: Duration) -> Self {
        Self {
            first_ms: 0.0,
            length_ms: (2.0 * millis(remaining)).max(MIN_SPAN_MS),
        }
    }

    /// Gets the probability that the run has ended by a time, and the mean time
    /// since.
    fn ended_by(&self, ms: f64) -> (f64, f64) {
        let since_first = (ms - self.first_ms).max(0.0);
        if since_first < self.length_ms {
            let ended = since_first / self.length_ms;
            return (ended, ended * since_first / 2.0);
        }
        (1.0, since_first - self.length_ms / 2.0)
    }
}

/// `LateStart` is the reason to reject a job: its last task would clearly start
/// too late.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LateStart {
    /// Estimated wait of the last task.
    pub wait: Duration,
    /// Time that it may wait.
    pub time_left: Duration,
    /// Work that starts before the job, in core-milliseconds.
    pub ahead_core_ms: f64,
    /// Work of the job itself, in core-milliseconds.
    pub own_core_ms: f64,
    /// Free and serving slots.
    pub slots: (u32, u32),
}

impl fmt::Display for LateStart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "its last task would wait {} ms for resources but may wait {} ms; {:.0} core-ms ahead, {:.0} of its own, {} of {} slots free",
            self.wait.as_millis(),
            self.time_left.as_millis(),
            self.ahead_core_ms,
            self.own_core_ms,
            self.slots.0,
            self.slots.1,
        )
    }
}

/// Checks whether the last task of a job can start in time behind the work
/// ahead. An error means that it clearly cannot. A job with room for all its
/// tasks now is never rejected, whatever the estimate of the line: the line may
/// need other resources, or be out of date.
pub fn check_start(job: &JobDemand, ahead: &Work, supply: &Supply) -> Result<(), LateStart> {
    if supply.free_slots >= job.tasks || supply.serving_slots == 0 {
        return Ok(());
    }
    let own = Work::of_tasks(job.tasks as usize, job.cpu_milli, job.expected);
    let mut line = *ahead;
    line.add(&own);
    let cores = f64::from(job.cpu_milli) / 1000.0;
    let flow = Flow::new(supply, cores, &line);
    let least = line.core_ms * (1.0 - margin(line.tasks));
    if flow.started_by(millis(job.time_left)) >= least {
        return Ok(());
    }
    Err(LateStart {
        wait: flow.wait_for(line.core_ms),
        time_left: job.time_left,
        ahead_core_ms: ahead.core_ms,
        own_core_ms: own.core_ms,
        slots: (supply.free_slots, supply.serving_slots),
    })
}

/// Gets the relative error of an estimate over this many tasks.
fn margin(tasks: f64) -> f64 {
    RESIDUAL_ERROR + TASK_ERROR / tasks.max(1.0).sqrt()
}

/// `Flow` is the rate at which cores take up queued work. A core that is or
/// becomes free takes up one queued task after the other.
struct Flow<'a> {
    free_cores: f64,
    busy_cores: f64,
    ends: &'a [EndSpan],
    /// Mean run time of the queued tasks.
    task_ms: f64,
}

impl<'a> Flow<'a> {
    fn new(supply: &'a Supply, cores: f64, line: &Work) -> Self {
        let free = f64::from(supply.free_slots.min(supply.serving_slots));
        Self {
            free_cores: free * cores,
            busy_cores: (f64::from(supply.serving_slots) - free) * cores,
            ends: &supply.ends,
            task_ms: if line.cores > 0.0 {
                line.core_ms / line.cores
            } else {
                0.0
            },
        }
    }

    /// Gets the work in core-milliseconds that has started by a time. Half of a
    /// task is in progress on each core on average, and a whole one on each core
    /// that has just become free.
    fn started_by(&self, ms: f64) -> f64 {
        let half = self.task_ms / 2.0;
        let on_free = self.free_cores * (ms + half).max(self.task_ms);
        let started = self.ends.iter().map(|span| {
            let (ended, since) = span.ended_by(ms);
            (since + ended * half).max(ended * self.task_ms)
        });
        let mean = started.sum::<f64>() / (self.ends.len().max(1) as f64);
        on_free + self.busy_cores * mean
    }

    /// Gets the time after which an amount of work has started.
    fn wait_for(&self, core_ms: f64) -> Duration {
        let (mut low, mut high) = (0.0, millis(MAX_WAIT));
        for _ in 0..WAIT_SEARCH_STEPS {
            let middle = (low + high) / 2.0;
            if self.started_by(middle) >= core_ms {
                high = middle;
            } else {
                low = middle;
            }
        }
        Duration::from_secs_f64(high / 1000.0)
    }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}
