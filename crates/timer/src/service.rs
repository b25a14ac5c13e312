//! Access to time and wake-ups for the components of a process.

use std::time::Duration;

use crate::clock::{Clock, SystemClock};

/// `TimerService` provides time and wake-ups from one [`Clock`]. Clones share
/// the clock.
#[derive(Clone, Debug, Default)]
pub struct TimerService<C = SystemClock> {
    clock: C,
}

impl<C: Clock> TimerService<C> {
    /// Creates a service that uses `clock`.
    pub fn new(clock: C) -> Self {
        Self { clock }
    }

    /// Gets the monotonic time since the clock was created.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Gets the wall-clock time in ms since the Unix epoch.
    pub fn unix_ms(&self) -> u64 {
        self.clock.unix_ms()
    }

    /// Waits for a period.
    pub async fn sleep(&self, period: Duration) {
        self.clock.sleep_until(self.clock.now() + period).await;
    }

    /// Waits until a monotonic time; returns immediately if it has passed.
    pub async fn sleep_until(&self, at: Duration) {
        self.clock.sleep_until(at).await;
    }

    /// Waits for a future for at most `period`; `None` means that the timeout
    /// expired and the future was dropped.
    pub async fn timeout<F: Future>(&self, period: Duration, future: F) -> Option<F::Output> {
        tokio::select! {
            biased;
            output = future => Some(output),
            () = self.sleep(period) => None,
        }
    }

    /// Creates periodic ticks, the first after one period.
    pub fn ticks(&self, period: Duration) -> Ticks<C> {
        Ticks {
            clock: self.clock.clone(),
            period,
            next: self.clock.now() + period,
        }
    }
}

/// `Ticks` produces periodic wake-ups.
#[derive(Debug)]
pub struct Ticks<C = SystemClock> {
    clock: C,
    period: Duration,
    next: Duration,
}

impl<C: Clock> Ticks<C> {
    /// Waits for the next tick and returns the time at which it fired. Missed
    /// ticks, for example while the process was suspended, are skipped.
    pub async fn next(&mut self) -> Duration {
        self.clock.sleep_until(self.next).await;
        let now = self.clock.now();
        self.next = (self.next + self.period).max(now);
        now
    }
}
