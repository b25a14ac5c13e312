//! Start of a drain.

use hornbeam_core::event::Event;
use hornbeam_core::log_event;

use crate::lifecycle::{LifeEvent, Lifecycle};

/// Starts a drain unless one has started already. Whoever has work in flight
/// waits for the life cycle to change and reports when nothing is left.
pub(crate) fn start(life: &Lifecycle) {
    if life.on(LifeEvent::Drain) {
        log_event!(Event::DrainStarted; "new work is refused from now on");
    }
}
