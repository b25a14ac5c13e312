//! Draining of this host.

use hornbeam_core::event::Event;

use crate::dispatcher::Dispatcher;
use crate::io::DispatchOutput;

impl Dispatcher {
    /// Starts draining: new jobs, chunks and servers are refused from now on.
    pub(crate) fn start_drain(&mut self) {
        if !self.draining {
            self.draining = true;
            self.log(Event::DrainStarted, "new work is refused");
        }
    }

    /// Reports the end of the drain once, when nothing is in flight.
    pub(crate) fn check_drained(&mut self) {
        let idle = self.jobs.len() == 0
            && self.exchanges.is_empty()
            && self.cancels.is_empty()
            && self.chunks.is_empty();
        if self.draining && !self.drained && idle {
            self.drained = true;
            self.log(Event::DrainFinished, "nothing is in flight");
            self.outputs.push(DispatchOutput::Drained);
        }
    }
}
