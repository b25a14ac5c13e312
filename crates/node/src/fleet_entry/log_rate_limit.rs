//! Rate limit of log lines, so that logging costs no more CPU time during a
//! burst than under the usual load.

use hornbeam_core::event::Event;
use indexmap::IndexMap;

/// Maximum lines of one event per second: several times the number of jobs that
/// an entry host completes per second at its share of the load.
const MAX_LINES_PER_SECOND: u32 = 100;

/// `LogRateLimiter` counts the lines of the current second by event.
#[derive(Debug, Default)]
pub(crate) struct LogRateLimiter {
    second: u64,
    lines: IndexMap<Event, u32>,
}

impl LogRateLimiter {
    /// Resets the counts if `second` is a new one; gets the events with
    /// suppressed lines in the previous second, and the number of these lines.
    pub(crate) fn start_second(&mut self, second: u64) -> Vec<(Event, u32)> {
        if second == self.second {
            return Vec::new();
        }
        self.second = second;
        let counts = self.lines.drain(..);
        counts
            .filter(|(_, count)| *count > MAX_LINES_PER_SECOND)
            .map(|(event, count)| (event, count - MAX_LINES_PER_SECOND))
            .collect()
    }

    /// Whether a line may be written. Lines about refused and failed jobs are
    /// never suppressed.
    pub(crate) fn allows(&mut self, event: Event) -> bool {
        if matches!(event, Event::FleetJobRefused | Event::FleetJobFailed) {
            return true;
        }
        let count = self.lines.entry(event).or_default();
        *count += 1;
        *count <= MAX_LINES_PER_SECOND
    }
}
