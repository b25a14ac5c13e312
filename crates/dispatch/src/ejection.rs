//! Ejection of failing servers (outlier detection), and trials that restore
//! them.

use std::time::Duration;

use hornbeam_core::event::Event;

use crate::charts::{ServerEvent, ServerState};
use crate::dispatcher::Dispatcher;
use crate::keys::ServerKey;
use crate::timers::Timer;

/// Delay before the first trial of an ejected server. It doubles with each
/// ejection until a trial succeeds.
pub(crate) const INITIAL_TRIAL_DELAY: Duration = Duration::from_secs(1);

/// Maximum delay between trials.
const MAX_TRIAL_DELAY: Duration = Duration::from_secs(60);

/// Consecutive failures that eject a server.
const EJECT_CONSECUTIVE_FAILURES: u32 = 5;

/// Number of recent tasks over which the failure rate is computed.
const WINDOW_TASKS: u32 = 20;

/// Mask of the bits that the window uses.
const WINDOW_MASK: u32 = (1 << WINDOW_TASKS) - 1;

/// Failures in the window above which a server may be ejected: half of
/// the window.
const EJECT_WINDOW_FAILURES: u32 = WINDOW_TASKS / 2;

/// Failures in the window of the median server from which failures are
/// attributed to the service instead of a single server.
const SERVICE_WIDE_FAILURES: usize = WINDOW_TASKS as usize / 10;

/// Maximum share of a service's servers that are ejected at the same time, in
/// percent.
const MAX_EJECTED_PERCENT: u32 = 30;

/// `FailureRecord` holds the results of a server's last tasks.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FailureRecord {
    consecutive: u32,
    window: u32,
    recorded: u32,
}

impl FailureRecord {
    /// Records the result of one task.
    pub(crate) fn add(&mut self, failed: bool) {
        self.consecutive = if failed { self.consecutive + 1 } else { 0 };
        self.window = ((self.window << 1) | u32::from(failed)) & WINDOW_MASK;
        self.recorded = (self.recorded + 1).min(WINDOW_TASKS);
    }

    /// Gets the number of failures in the window.
    pub(crate) fn window_failures(&self) -> usize {
        self.window.count_ones() as usize
    }

    fn exceeds_window_threshold(&self) -> bool {
        self.recorded == WINDOW_TASKS && self.window.count_ones() > EJECT_WINDOW_FAILURES
    }
}

/// `FailureHistogram` counts servers by the failures in their window, so that
/// the cost of the median is independent of the number of servers.
#[derive(Debug, Default)]
pub(crate) struct FailureHistogram {
    servers: [u32; WINDOW_TASKS as usize + 1],
}

impl FailureHistogram {
    /// Adds a server with this number of failures.
    pub(crate) fn add(&mut self, failures: usize) {
        self.servers[failures] += 1;
    }

    /// Removes a server with this number of failures.
    pub(crate) fn remove(&mut self, failures: usize) {
        self.servers[failures] = self.servers[failures].saturating_sub(1);
    }

    /// Gets the failures in the window of the median server.
    fn median(&self) -> usize {
        let all: u32 = self.servers.iter().sum();
        let mut below = 0;
        let reaches_half = |count: &u32| {
            below += count;
            below * 2 >= all
        };
        self.servers.iter().position(reaches_half).unwrap_or(0)
    }
}

impl Dispatcher {
    /// Records the result of a task at a server, and ejects or restores the
    /// server if the result requires it.
    pub(crate) fn record_task_result(&mut self, key: ServerKey, failed: bool) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        let before = server.failures.window_failures();
        server.failures.add(failed);
        let (after, state) = (server.failures.window_failures(), server.state);
        if server.index_entry.known {
            let histogram = &mut self.pools[server.pool].failure_histogram;
            histogram.remove(before);
            histogram.add(after);
        }
        match (state, failed) {
            (ServerState::Trial, true) => self.eject(key),
            (ServerState::Trial, false) => self.restore(key),
            (ServerState::Serving, true) if self.should_eject(key) => self.eject(key),
            _ => {}
        }
    }

    /// Starts the trial of an ejected server.
    pub(crate) fn start_trial(&mut self, key: ServerKey) {
        self.apply_server_event(key, ServerEvent::Try);
    }

    fn should_eject(&self, key: ServerKey) -> bool {
        let Some(server) = self.servers.get(key) else {
            return false;
        };
        let pool = &self.pools[server.pool];
        let limit = pool.servers * MAX_EJECTED_PERCENT / 100;
        if pool.ejected >= limit {
            return false;
        }
        server.failures.consecutive >= EJECT_CONSECUTIVE_FAILURES
            || (server.failures.exceeds_window_threshold()
                && pool.failure_histogram.median() < SERVICE_WIDE_FAILURES)
    }

    fn eject(&mut self, key: ServerKey) {
        if !self.apply_server_event(key, ServerEvent::Eject) {
            return;
        }
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        let delay = server.trial_delay;
        server.trial_delay = (delay * 2).min(MAX_TRIAL_DELAY);
        let message = format!(
            "server {} is ejected for {} ms after {} consecutive failures",
            server.announcement.server_id,
            delay.as_millis(),
            server.failures.consecutive,
        );
        self.timers.set(self.now + delay, Timer::StartTrial(key));
        self.log(Event::ServerEjected, message);
    }

    fn restore(&mut self, key: ServerKey) {
        if !self.apply_server_event(key, ServerEvent::Restore) {
            return;
        }
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        server.trial_delay = INITIAL_TRIAL_DELAY;
        let message = format!(
            "server {} is restored after a successful trial",
            server.announcement.server_id
        );
        self.log(Event::ServerRestored, message);
    }
}
