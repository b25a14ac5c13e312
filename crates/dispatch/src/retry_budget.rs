//! Retry budget over a sliding window.

use std::collections::VecDeque;
use std::time::Duration;

/// Length of the window, in buckets of one second.
const WINDOW_BUCKETS: u64 = 10;

/// Retries that are always allowed within one window, so that a host with
/// little traffic can retry too.
const MIN_RETRIES_PER_WINDOW: u64 = 10;

/// Number of first sends that allow one retry.
const SENDS_PER_RETRY: u64 = 10;

#[derive(Debug)]
struct Bucket {
    second: u64,
    first_sends: u64,
    retries: u64,
}

/// `RetryBudget` limits retries to a tenth of the first sends.
#[derive(Debug, Default)]
pub(crate) struct RetryBudget {
    buckets: VecDeque<Bucket>,
    first_sends: u64,
    retries: u64,
}

impl RetryBudget {
    pub(crate) fn count_first_sends(&mut self, now: Duration, count: u64) {
        self.advance(now).first_sends += count;
        self.first_sends += count;
    }

    /// Takes one retry if the budget allows it.
    pub(crate) fn try_acquire(&mut self, now: Duration) -> bool {
        self.advance(now);
        let allowed = MIN_RETRIES_PER_WINDOW.max(self.first_sends / SENDS_PER_RETRY);
        if self.retries >= allowed {
            return false;
        }
        self.advance(now).retries += 1;
        self.retries += 1;
        true
    }

    /// Removes expired buckets and returns the current one.
    fn advance(&mut self, now: Duration) -> &mut Bucket {
        let second = now.as_secs();
        while let Some(first) = self.buckets.front()
            && first.second + WINDOW_BUCKETS <= second
        {
            self.first_sends -= first.first_sends;
            self.retries -= first.retries;
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|last| last.second != second) {
            self.buckets.push_back(Bucket {
                second,
                first_sends: 0,
                retries: 0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
