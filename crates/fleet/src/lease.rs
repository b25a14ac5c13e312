//! The lease of a worker: one end for all that runs on it, on its own clock.

use std::time::Duration;

/// Most by which a worker's clock may be slow, in percent.
const CLOCK_SLOW_PERCENT: u32 = 2;

/// Time between the end of a lease and the moment at which the worker has
/// killed what it ran.
const LAPSE_SLACK: Duration = Duration::from_millis(20);

/// `Lease` is what the owner knows of a worker's clock and lease.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lease {
    /// A reading of the worker's clock and the time it arrived.
    reading: Option<Reading>,
    /// Largest lease end ever sent, on the worker's clock.
    granted_ms: u64,
    /// Time at which everything that this owner started or extended is over.
    over_at: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Reading {
    clock_ms: u64,
    at: Duration,
}

impl Lease {
    /// Takes note of the worker's clock.
    pub(crate) fn read(&mut self, clock_ms: u64, now: Duration) {
        self.reading = Some(Reading { clock_ms, at: now });
    }

    /// Gets the lease end to send now, on the worker's clock; `None` until the
    /// clock was read.
    pub(crate) fn extend(&mut self, now: Duration, length: Duration) -> Option<u64> {
        let reading = self.reading?;
        let since = now.saturating_sub(reading.at);
        let end = reading.clock_ms + millis(since + length);
        self.granted_ms = self.granted_ms.max(end);
        self.over_at = self.over_at.max(self.arrival_of(reading, end));
        Some(self.granted_ms)
    }

    /// Gets the time at which all runs under this lease are over, whatever
    /// became of the orders.
    pub(crate) fn over_at(&self) -> Duration {
        self.over_at
    }

    /// Gets the latest time at which the worker's clock shows `clock_ms`.
    fn arrival_of(&self, reading: Reading, clock_ms: u64) -> Duration {
        let ahead = Duration::from_millis(clock_ms.saturating_sub(reading.clock_ms));
        reading.at + ahead + ahead * CLOCK_SLOW_PERCENT / (100 - CLOCK_SLOW_PERCENT) + LAPSE_SLACK
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
