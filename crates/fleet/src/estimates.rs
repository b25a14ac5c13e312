//! Run times learned from ended runs.

use std::time::Duration;

use indexmap::IndexMap;

/// Weight of one run in the mean.
const WEIGHT: f64 = 0.02;

/// Bounds of a learned ratio, so that a few odd runs cannot make every
/// objective look hopeless or every job harmless.
const RATIO_BOUNDS: (f64, f64) = (0.5, 2.0);

/// `Estimates` holds, for each queue, the mean ratio of the time that a run
/// took to the time that was declared.
#[derive(Debug, Default)]
pub(crate) struct Estimates {
    ratios: IndexMap<String, f64>,
}

impl Estimates {
    /// Gets the expected run time for a declared one.
    pub(crate) fn expect(&self, queue: &str, declared: Duration) -> Duration {
        let ratio = self.ratios.get(queue).copied().unwrap_or(1.0);
        declared.mul_f64(ratio)
    }

    /// Takes note of a run.
    pub(crate) fn learn(&mut self, queue: &str, declared: Duration, took: Duration) {
        if declared.is_zero() {
            return;
        }
        let seen = took.as_secs_f64() / declared.as_secs_f64();
        let seen = seen.clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1);
        match self.ratios.get_mut(queue) {
            Some(ratio) => *ratio += WEIGHT * (seen - *ratio),
            None => {
                self.ratios
                    .insert(queue.to_owned(), 1.0 + WEIGHT * (seen - 1.0));
            }
        }
    }
}
