//! The lease of a worker. All runs on the worker share one expiry time, which
//! is measured on the worker's clock.

use std::time::Duration;

/// Largest amount by which a worker's clock may run slow, in percent.
const MAX_CLOCK_SLOWDOWN_PERCENT: u32 = 2;

/// Time that a worker takes after the lease expires to kill its runs.
const KILL_DELAY: Duration = Duration::from_millis(20);

/// Time after a run was last wanted by which it has ended, whichever messages are
/// lost. Callers send a job again 1,300 ms after they got no answer.
pub(crate) const RUN_END_LIMIT: Duration = Duration::from_millis(1260);

/// Gets the longest time for which a run goes on after a lease of this length was
/// granted.
pub(crate) fn longest(length: Duration) -> Duration {
    on_slow_clock(length) + KILL_DELAY
}

/// Gets the longest time in which a worker's clock advances by `duration`.
fn on_slow_clock(duration: Duration) -> Duration {
    duration * 100 / (100 - MAX_CLOCK_SLOWDOWN_PERCENT)
}

/// `Lease` is what the owner knows about a worker's clock and lease.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lease {
    /// Last reading of the worker's clock.
    reading: Option<Reading>,
    /// Latest lease expiry ever sent, on the worker's clock.
    latest_expiry_ms: u64,
    /// Time by which every run that this owner started or extended has ended.
    ends_by: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Reading {
    clock_ms: u64,
    at: Duration,
}

impl Reading {
    /// Gets the longest lease from this reading on under which all runs have ended
    /// by `limit`.
    fn longest_lease_until(self, limit: Duration) -> Duration {
        let left = limit.saturating_sub(self.at).saturating_sub(KILL_DELAY);
        left * (100 - MAX_CLOCK_SLOWDOWN_PERCENT) / 100
    }
}

impl Lease {
    /// Records a reading of the worker's clock.
    pub(crate) fn record_clock(&mut self, clock_ms: u64, now: Duration) {
        self.reading = Some(Reading { clock_ms, at: now });
    }

    /// Gets the last reading of the worker's clock, in ms.
    pub(crate) fn clock_ms(&self) -> u64 {
        self.reading.map_or(0, |reading| reading.clock_ms)
    }

    /// Extends the lease and gets the new expiry on the worker's clock; `None`
    /// until the clock has been read. If there is a limit, runs that the extension
    /// keeps alive have ended by then.
    pub(crate) fn extend(
        &mut self,
        now: Duration,
        length: Duration,
        limit: Option<Duration>,
    ) -> Option<u64> {
        let reading = self.reading?;
        let since = now.saturating_sub(reading.at);
        let allowed = limit.map_or(Duration::MAX, |limit| reading.longest_lease_until(limit));
        let end = reading
            .clock_ms
            .saturating_add(millis(allowed.min(since + length)));
        self.latest_expiry_ms = self.latest_expiry_ms.max(end);
        self.ends_by = self.ends_by.max(self.latest_time_of(reading, end));
        Some(self.latest_expiry_ms)
    }

    /// Records that a former owner may have extended the lease until runs end at
    /// `ends_by`.
    pub(crate) fn record_former(&mut self, ends_by: Duration) {
        self.ends_by = self.ends_by.max(ends_by);
    }

    /// Gets the latest expiry sent, on the worker's clock; `None` until the clock
    /// has been read.
    pub(crate) fn latest_expiry_ms(&self) -> Option<u64> {
        self.reading.map(|_| self.latest_expiry_ms)
    }

    /// Gets the time by which all runs under this lease have ended, whether or
    /// not the requests to the worker arrived.
    pub(crate) fn ends_by(&self) -> Duration {
        self.ends_by
    }

    /// Gets the latest time at which the worker's clock shows `clock_ms`.
    fn latest_time_of(&self, reading: Reading, clock_ms: u64) -> Duration {
        let ahead = Duration::from_millis(clock_ms.saturating_sub(reading.clock_ms));
        reading.at + longest(ahead)
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
