//! Fault injection in a simulated group.

use std::time::Duration;

use hornbeam_core::ids::ReplicaId;
use rand::Rng;

use super::cluster::{Cluster, SimulatedEvent};

/// Faults injected by the property tests.
pub const FAULTS: Faults = Faults {
    loss: 0.05,
    duplication: 0.05,
    delay_ms: 15,
    long_delay: 0.05,
    slow_sync: 0.1,
    min_sync_ms: 0,
    persist_crash: 0.01,
};

/// Maximum delay of a message with a long delay, in ms.
pub const LONG_DELAY_MS: u64 = 300;

/// Probabilities and limits of the faults; all are 0 without faults.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Probability that a message is lost.
    pub loss: f64,
    /// Probability that a message is delivered twice.
    pub duplication: f64,
    /// Maximum delay of a message in ms; different delays reorder messages.
    pub delay_ms: u64,
    /// Probability that a message is delayed beyond an election timeout.
    pub long_delay: f64,
    /// Probability that a sync takes longer than an election timeout.
    pub slow_sync: f64,
    /// Time in ms that each sync takes in addition.
    pub min_sync_ms: u64,
    /// Probability that a host crashes before, during or after a persist request.
    pub persist_crash: f64,
}

impl Cluster {
    /// Crashes a host, which restarts after a random time.
    pub fn crash(&mut self, id: ReplicaId) {
        let restart_at = self.now + Duration::from_millis(self.rng.random_range(1..600));
        let Some(host) = self.hosts.get_mut(&id) else {
            return;
        };
        if host.replica.take().is_none() {
            return;
        }
        host.storage = None;
        host.pending_persists.clear();
        host.epoch += 1;
        host.disk.crash(&mut self.rng);
        let epoch = host.epoch;
        self.push(restart_at, SimulatedEvent::Restart(id, epoch));
    }

    /// Pauses a host; its events are handled after it resumes.
    pub fn pause(&mut self, id: ReplicaId, duration: Duration) {
        if let Some(host) = self.hosts.get_mut(&id) {
            host.paused_until = self.now + duration;
        }
    }

    /// Stops all faults and resumes all hosts.
    pub fn heal(&mut self) {
        self.faults = Faults::default();
        self.blocked_links.clear();
        for host in self.hosts.values_mut() {
            host.paused_until = self.now;
        }
    }

    /// Injects a random fault with a small probability, mostly into the leader.
    pub fn inject_random_fault(&mut self) {
        let any = self.random_host();
        let leader = self.leader().unwrap_or(any);
        let duration = Duration::from_millis(self.rng.random_range(50..500));
        match self.rng.random_range(0..100) {
            0 => self.crash(any),
            1 => self.crash(leader),
            2 => self.pause(any, duration),
            3 => self.pause(leader, duration),
            4 => {
                self.blocked_links.insert((leader, any));
            }
            5 => self.partition(|id| id == leader),
            6 => {
                let side = self.rng.random::<u64>();
                self.partition(|id| side >> (id % 64) & 1 == 0);
            }
            7..10 => self.blocked_links.clear(),
            _ => {}
        }
    }

    /// Partitions the hosts inside from the others.
    pub fn partition(&mut self, is_inside: impl Fn(ReplicaId) -> bool) {
        let ids: Vec<ReplicaId> = self.hosts.keys().copied().collect();
        for (from, to) in ids.iter().flat_map(|a| ids.iter().map(move |b| (*a, *b))) {
            if is_inside(from) != is_inside(to) {
                self.blocked_links.insert((from, to));
            }
        }
    }
}
