//! Estimation of run times from the declared run times.

/// Weight of the newest observation in the moving average.
const EWMA_WEIGHT: f64 = 0.05;

/// Bounds of one observed ratio, so that a single wrong declaration has a
/// limited effect on the mean.
const RATIO_BOUNDS: (f64, f64) = (0.01, 100.0);

/// `RunTimeRatio` is the exponentially weighted moving average of the ratio of
/// reported to declared run times of one service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunTimeRatio {
    mean: f64,
}

impl Default for RunTimeRatio {
    fn default() -> Self {
        Self { mean: 1.0 }
    }
}

impl RunTimeRatio {
    /// Adds the observation of one finished task.
    pub(crate) fn observe(&mut self, declared_ms: u64, reported_ms: u64) {
        let ratio = reported_ms as f64 / declared_ms.max(1) as f64;
        let ratio = ratio.clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1);
        self.mean += EWMA_WEIGHT * (ratio - self.mean);
    }

    /// Estimates the run time of a task in ms, at least 1.
    pub(crate) fn estimate_ms(&self, declared_ms: u64) -> u64 {
        ((declared_ms as f64 * self.mean) as u64).max(1)
    }
}
