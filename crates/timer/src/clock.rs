//! Clocks: the clock of the operating system and a manual clock for tests.

use std::future::Future;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use tokio::sync::watch;

/// `Clock` provides the current time and waits until a given time.
pub trait Clock: Clone + Send + Sync + 'static {
    /// Gets the monotonic time since the clock was created.
    fn now(&self) -> Duration;

    /// Gets the wall-clock time in ms since the Unix epoch. It may jump, so
    /// no lease or deadline inside the system may depend on it.
    fn unix_ms(&self) -> u64;

    /// Waits until the monotonic time has reached `at`.
    fn sleep_until(&self, at: Duration) -> impl Future<Output = ()> + Send;
}

/// `SystemClock` is the clock of the operating system.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    start: Instant,
}

impl Default for SystemClock {
    fn default() -> Self {
        Self {
            start: Instant::now(),
        }
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn unix_ms(&self) -> u64 {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
    }

    async fn sleep_until(&self, at: Duration) {
        tokio::time::sleep_until((self.start + at).into()).await;
    }
}

/// `ManualClock` changes only when a test advances it. Its wall-clock time
/// starts at the Unix epoch.
#[derive(Clone, Debug)]
pub struct ManualClock {
    now: Arc<watch::Sender<Duration>>,
}

impl Default for ManualClock {
    fn default() -> Self {
        Self {
            now: Arc::new(watch::Sender::new(Duration::ZERO)),
        }
    }
}

impl ManualClock {
    /// Advances the time and wakes every task whose wake-up time is reached.
    pub fn advance(&self, by: Duration) {
        self.now.send_modify(|now| *now += by);
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Duration {
        *self.now.borrow()
    }

    fn unix_ms(&self) -> u64 {
        u64::try_from(self.now().as_millis()).unwrap_or(u64::MAX)
    }

    async fn sleep_until(&self, at: Duration) {
        let mut changes = self.now.subscribe();
        // The sender lives at least as long as `self`, so waiting cannot fail.
        let _ = changes.wait_for(|now| *now >= at).await;
    }
}
