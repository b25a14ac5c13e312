//! Shares of queues: whether the demand of a queue has grown beyond what it was.

use std::time::Duration;

use indexmap::IndexMap;

/// Time constant of the recent demand. A burst lasts seconds, so that it must
/// not count as recent demand before it ends.
const DEMAND_WINDOW: Duration = Duration::from_secs(15);

/// Growth of the demand that is not a burst, as a factor.
const HEADROOM: f64 = 1.3;

/// Demand that a queue may have at once, as a time at its recent rate.
const ALLOWANCE: Duration = Duration::from_secs(2);

/// Least number of jobs in the allowance. With fewer, the jobs of a queue with
/// one arrival a second would be beyond its share by chance in more than 1 of
/// 20 cases.
const ALLOWANCE_JOBS: f64 = 8.0;

/// Time from the first job of a queue within which its recent demand is not
/// known, and all jobs are within the share.
const LEARNING_TIME: Duration = Duration::from_secs(3);

/// Time without a job after which a queue is forgotten. Queues may be removed
/// from the configuration.
const RETENTION: Duration = Duration::from_secs(120);

/// `Shares` holds the recent demand of each queue.
#[derive(Debug, Default)]
pub struct Shares {
    queues: IndexMap<String, Demand>,
    pruned_at: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Demand {
    first_at: Duration,
    last_at: Duration,
    /// Moving average of arriving work, in core-milliseconds per millisecond,
    /// without the correction for the time since the first job.
    rate: f64,
    /// Mean work of a job.
    job_core_ms: f64,
    /// Work that may still arrive within the share.
    allowance: f64,
}

/// Weight of one job in the mean work of a job.
const JOB_WEIGHT: f64 = 0.05;

impl Shares {
    /// Records the arrival of a job, and gets whether it is within the share of
    /// its queue.
    pub fn record(&mut self, queue: &str, core_ms: f64, now: Duration) -> bool {
        self.prune(now);
        let Some(demand) = self.queues.get_mut(queue) else {
            let demand = Demand {
                first_at: now,
                last_at: now,
                rate: core_ms / millis(DEMAND_WINDOW),
                job_core_ms: core_ms,
                allowance: ALLOWANCE_JOBS * core_ms,
            };
            self.queues.insert(queue.to_owned(), demand);
            return true;
        };
        demand.record(core_ms, now)
    }

    fn prune(&mut self, now: Duration) {
        if now < self.pruned_at + RETENTION {
            return;
        }
        self.pruned_at = now;
        self.queues
            .retain(|_, demand| now < demand.last_at + RETENTION);
    }
}

impl Demand {
    fn record(&mut self, core_ms: f64, now: Duration) -> bool {
        let window_ms = millis(DEMAND_WINDOW);
        let passed_ms = millis(now.saturating_sub(self.last_at));
        let age_ms = millis(now.saturating_sub(self.first_at));
        self.last_at = now;
        self.rate *= (-passed_ms / window_ms).exp();
        // An average that began at 0 is too low by the weight of that 0.
        let known = 1.0 - (-age_ms / window_ms).exp();
        let rate = self.rate / known.max(1e-6);
        self.rate += core_ms / window_ms;
        self.job_core_ms += JOB_WEIGHT * (core_ms - self.job_core_ms);
        let most = (rate * millis(ALLOWANCE)).max(ALLOWANCE_JOBS * self.job_core_ms);
        if age_ms < millis(LEARNING_TIME) {
            self.allowance = most;
            return true;
        }
        self.allowance = (self.allowance + passed_ms * rate * HEADROOM).min(most);
        if self.allowance < core_ms {
            return false;
        }
        self.allowance -= core_ms;
        true
    }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}
