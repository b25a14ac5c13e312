//! Place of a job in the line for cores.
//!
//! Jobs start in ascending order of their latest start time less a lead. A lead
//! is a time, not a class: a job that waits comes first in the end, so that no
//! queue is starved.

use std::time::Duration;

/// Leads of priorities 0, 1 and all others, for jobs within the share of their
/// queue. Most jobs have less than 150 ms until their latest start, so that a
/// job of priority 0 goes first, also before the last tasks of started jobs of
/// others. The others differ by 20 ms: with 75 ms, long jobs of priority 2 came
/// first only when their latest start had nearly passed.
const LEADS: [Duration; 3] = [
    Duration::from_millis(200),
    Duration::from_millis(40),
    Duration::from_millis(20),
];

/// The same for jobs beyond the share of their queue: behind those within their
/// share, of the same priority and of the next one.
const LEADS_BEYOND_SHARE: [Duration; 3] = [
    Duration::from_millis(30),
    Duration::from_millis(10),
    Duration::ZERO,
];

/// `Standing` is what decides the place of a new job besides its latest start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Standing {
    /// Priority of its queue; 0 is the highest.
    pub priority: u32,
    /// Whether the demand of the queue is within its recent share.
    pub is_within_share: bool,
}

impl Standing {
    /// Gets the time by which the job precedes others with the same latest start
    /// time.
    pub fn lead(&self) -> Duration {
        let leads = if self.is_within_share {
            LEADS
        } else {
            LEADS_BEYOND_SHARE
        };
        leads[(self.priority as usize).min(leads.len() - 1)]
    }

    /// Gets the place of a new job.
    pub fn place(&self, start_by: Duration) -> Duration {
        start_by.saturating_sub(self.lead())
    }
}

/// Gets the place before all jobs of a priority that have not started. It is for
/// the last tasks of a started job: cores of the first ones are wasted if these
/// start too late. No waiting job has a latest start before `now`.
pub fn place_before_new(priority: u32, now: Duration) -> Duration {
    let first = Standing {
        priority,
        is_within_share: true,
    };
    first.place(now)
}
