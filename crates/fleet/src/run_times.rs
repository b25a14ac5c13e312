//! Run time estimates, corrected by the observed times of ended runs.

use std::time::Duration;

use indexmap::IndexMap;

/// Weight of one run in the moving average.
const RUN_WEIGHT: f64 = 0.02;

/// Bounds of a single observed ratio, so that a few outliers cannot make every
/// objective look unreachable or every job look easy to meet.
const RATIO_BOUNDS: (f64, f64) = (0.5, 2.0);

/// Longest time that a calculation yields. Times from outside the process can
/// be of any size, and the sum of a few of these must not overflow.
const MAX_TIME: Duration = Duration::from_secs(365 * 24 * 3600);

/// Multiplies a time by a factor of any size; the result is at most
/// [`MAX_TIME`].
pub(crate) fn scaled(time: Duration, factor: f64) -> Duration {
    let seconds = time.min(MAX_TIME).as_secs_f64() * factor.max(0.0);
    Duration::try_from_secs_f64(seconds).map_or(MAX_TIME, |time| time.min(MAX_TIME))
}

/// `RunTimeEstimates` holds the mean ratio of actual to declared run time for
/// each queue.
#[derive(Debug, Default)]
pub(crate) struct RunTimeEstimates {
    ratios: IndexMap<String, f64>,
}

impl RunTimeEstimates {
    /// Gets the expected run time for a declared one.
    pub(crate) fn expected_run_time(&self, queue: &str, declared: Duration) -> Duration {
        let ratio = self.ratios.get(queue).copied().unwrap_or(1.0);
        scaled(declared, ratio)
    }

    /// Records the time that a run took.
    pub(crate) fn record(&mut self, queue: &str, declared: Duration, took: Duration) {
        if declared.is_zero() {
            return;
        }
        let observed = took.as_secs_f64() / declared.as_secs_f64();
        let observed = observed.clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1);
        match self.ratios.get_mut(queue) {
            Some(ratio) => *ratio += RUN_WEIGHT * (observed - *ratio),
            None => {
                self.ratios
                    .insert(queue.to_owned(), 1.0 + RUN_WEIGHT * (observed - 1.0));
            }
        }
    }
}
