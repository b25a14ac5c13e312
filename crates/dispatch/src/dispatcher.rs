//! The dispatcher.

use std::time::Duration;

use hornbeam_core::Result;
use hornbeam_core::api::operator::EntryStatus;

use crate::io::{DispatchInput, DispatchOutput, PeerStatus};
use crate::options::DispatchOptions;

/// `Dispatcher` decides for one entry host.
#[derive(Debug)]
pub struct Dispatcher {
    options: DispatchOptions,
}

impl Dispatcher {
    /// Creates a dispatcher without configuration or servers.
    ///
    /// # Errors
    /// The findings of an invalid state chart.
    pub fn new(options: DispatchOptions) -> Result<Self> {
        Ok(Self { options })
    }

    /// Reacts to one input. `now` is the monotonic time of the process and
    /// `unix_ms` the wall clock, used only against `valid_until_unix_ms`.
    pub fn step(
        &mut self,
        now: Duration,
        unix_ms: u64,
        input: DispatchInput,
    ) -> Vec<DispatchOutput> {
        let _ = (now, unix_ms, input);
        Vec::new()
    }

    /// Gets the next time at which a `Tick` has something to do.
    pub fn next_wakeup(&self) -> Option<Duration> {
        None
    }

    /// Gets the status for peers. The shell fills in the addresses.
    pub fn peer_status(&self, now: Duration) -> PeerStatus {
        let _ = now;
        PeerStatus {
            host_id: self.options.host_id.clone(),
            failure_domain: self.options.failure_domain.clone(),
            http_address: String::new(),
            link_address: String::new(),
            config_version: 0,
            draining: false,
            servers: 0,
            services: Vec::new(),
        }
    }

    /// Gets the status for operators.
    pub fn entry_status(&self, now: Duration) -> EntryStatus {
        let _ = now;
        EntryStatus {
            host_id: self.options.host_id.clone(),
            failure_domain: self.options.failure_domain.clone(),
            config_version: 0,
            draining: false,
            servers: 0,
            slots: 0,
            slots_busy: 0,
            queued_tasks: 0,
            jobs: 0,
            peers: Vec::new(),
        }
    }
}
