//! Which pace a task needs, and which workers come first for it.

use std::time::Duration;

use crate::pace::Pace;

/// Factor by which a task may take longer than expected and still meet its
/// objective on a worker that counts as fast enough. Declared run times are off
/// by about 40 percent, and the longest task of a job decides.
const RUN_TIME_MARGIN: f64 = 1.3;

/// Share of the capacity of fast workers, in percent, that stays free for tasks
/// that need them. Tasks that meet their objectives elsewhere use the rest.
const RESERVED_FAST_PERCENT: u64 = 30;

/// `PaceNeed` is the pace that a task needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PaceNeed {
    slowest_sufficient: Pace,
}

impl PaceNeed {
    /// Gets the need of a task that the mean worker runs in `expected` and that
    /// must end within `time_left`.
    pub fn new(expected: Duration, time_left: Duration) -> Self {
        let left = time_left.as_secs_f64();
        let relative = if left > 0.0 {
            expected.as_secs_f64() * RUN_TIME_MARGIN / left
        } else {
            f64::MAX
        };
        Self {
            slowest_sufficient: Pace::new(relative.max(f64::MIN_POSITIVE)),
        }
    }

    /// Whether a worker of this pace meets the need.
    pub fn is_met_by(&self, pace: Pace) -> bool {
        pace >= self.slowest_sufficient
    }
}

/// `FastCapacity` is the capacity of the workers of the fastest types.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FastCapacity {
    /// Free cores, in thousandths.
    pub free_cpu_milli: u64,
    /// All cores, in thousandths.
    pub total_cpu_milli: u64,
}

impl FastCapacity {
    /// Whether so little is left that only tasks that need fast workers should
    /// take it.
    pub fn is_scarce(&self) -> bool {
        self.free_cpu_milli * 100 < self.total_cpu_milli * RESERVED_FAST_PERCENT
    }
}

/// `PaceRank` orders the workers that fit a task; the smallest comes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct PaceRank(i64);

impl PaceRank {
    /// Rank of every worker where pace does not count.
    pub const EQUAL: Self = Self(0);

    /// Ranks a worker for a task. The fastest comes first, unless fast workers are
    /// scarce and the task does without: then the slowest that meets its need
    /// does.
    pub fn new(need: PaceNeed, pace: Pace, fast: FastCapacity) -> Self {
        // Percent steps make workers of one type equal, so that the tightest fit
        // decides among them.
        let percent = (pace.relative() * 100.0).round() as i64;
        if fast.is_scarce() && need.is_met_by(pace) {
            Self(percent - i64::from(u32::MAX))
        } else {
            Self(-percent)
        }
    }
}
