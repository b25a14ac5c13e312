//! When rejected callers are to return, and their precedence when they do.

use std::time::Duration;

use indexmap::IndexMap;

/// Bounds of the estimated time after which a rejected caller may return, before
/// jitter. A shorter one would bring callers back into the same overload; a
/// longer one is beyond what the estimate can tell.
const RETRY_AFTER_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(250), Duration::from_secs(5));

/// Time for which a rejection is remembered. It exceeds the longest retry-after
/// time with jitter, 7.5 s, by what a caller may take to return.
const RETENTION: Duration = Duration::from_secs(20);

/// Largest number of rejections to remember.
const MAX_REJECTIONS: usize = 4096;

/// Gets the retry-after time in a rejection: the time until the work ahead has
/// drained, with jitter from the job's id over the next half of it, so that
/// callers that were rejected together do not return together.
pub fn retry_after(drain_time: Duration, job: u64) -> Duration {
    let base = drain_time.clamp(RETRY_AFTER_BOUNDS.0, RETRY_AFTER_BOUNDS.1);
    // The finalizer of SplitMix64 spreads ids that differ in few bits.
    let mut hash = job.wrapping_add(0x9e37_79b9_7f4a_7c15);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^= hash >> 31;
    let share = hash as f64 / u64::MAX as f64;
    base + (base / 2).mul_f64(share)
}

/// `Rejections` remembers when rejected callers may return.
#[derive(Debug, Default)]
pub struct Rejections {
    by_job: IndexMap<u64, Rejection>,
}

#[derive(Clone, Copy, Debug)]
struct Rejection {
    at: Duration,
    return_at: Duration,
}

impl Rejections {
    /// Records a rejection with its retry-after time.
    pub fn record(&mut self, job: u64, now: Duration, retry_after: Duration) {
        let is_old = |(_, earlier): &(&u64, &Rejection)| now > earlier.at + RETENTION;
        let stale = self.by_job.iter().take_while(is_old).count();
        let surplus = (self.by_job.len() + 1).saturating_sub(MAX_REJECTIONS);
        // Dropping one record shifts all others, so that a full table drops an
        // eighth at once.
        let surplus = if surplus > 0 { MAX_REJECTIONS / 8 } else { 0 };
        self.by_job.drain(..stale.max(surplus));
        let rejection = Rejection {
            at: now,
            return_at: now + retry_after,
        };
        // A job that is rejected again moves to the end, so that records stay in
        // the order of their times.
        self.by_job.shift_remove(&job);
        self.by_job.insert(job, rejection);
    }

    /// Whether the caller of a job returns as told, not before the retry-after
    /// time. Such a job goes before new ones of its priority.
    pub fn returns_as_told(&self, job: u64, now: Duration) -> bool {
        let rejection = self.by_job.get(&job);
        rejection
            .is_some_and(|rejection| now >= rejection.return_at && now <= rejection.at + RETENTION)
    }

    /// Gets the number of records.
    pub fn len(&self) -> usize {
        self.by_job.len()
    }

    /// Whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.by_job.is_empty()
    }
}
