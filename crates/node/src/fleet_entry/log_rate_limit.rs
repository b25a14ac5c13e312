//! A bound on the lines of the log, so that a burst costs no more processor
//! time for logging than the usual load.

use hornbeam_core::event::Event;
use indexmap::IndexMap;

/// Lines of one event that are written in a second: several times the jobs that
/// an entry host completes at its share of the load.
const MAX_LINES_PER_SECOND: u32 = 100;

/// `LogRateLimiter` counts the lines of this second by event.
#[derive(Debug, Default)]
pub(crate) struct LogRateLimiter {
    second: u64,
    lines: IndexMap<Event, u32>,
}

impl LogRateLimiter {
    /// Starts a second if it is a new one; gets the events of which lines were
    /// left out in the last one, and how many.
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

    /// Whether a line may be written. Those of jobs that were refused or
    /// failed always are.
    pub(crate) fn allows(&mut self, event: Event) -> bool {
        if matches!(event, Event::FleetJobRefused | Event::FleetJobFailed) {
            return true;
        }
        let count = self.lines.entry(event).or_default();
        *count += 1;
        *count <= MAX_LINES_PER_SECOND
    }
}
