//! Faults of a simulated group.

use std::time::Duration;

use hornbeam_core::ids::ReplicaId;
use rand::Rng;

use super::cluster::{Cluster, Happening};

/// Faults under which the property tests run.
pub const FAULTS: Faults = Faults {
    loss: 0.05,
    double: 0.05,
    delay_ms: 15,
    long_delay: 0.05,
    slow_sync: 0.1,
    persist_crash: 0.01,
};

/// Longest delay of a message with a long delay, in ms.
pub const LONG_DELAY_MS: u64 = 300;

/// Probabilities and limits of the faults, all of them 0 when they stop.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Of a message to be lost.
    pub loss: f64,
    /// Of a message to arrive twice.
    pub double: f64,
    /// Longest delay of a message in ms; different delays reorder messages.
    pub delay_ms: u64,
    /// Of a message to be delayed beyond an election timeout.
    pub long_delay: f64,
    /// Of a sync that takes longer than an election timeout.
    pub slow_sync: f64,
    /// Of a host to crash before, during or after a persist request.
    pub persist_crash: f64,
}

impl Cluster {
    /// Crashes a host; it restarts after a while.
    pub fn crash(&mut self, id: ReplicaId) {
        let restart_at = self.now + Duration::from_millis(self.random.random_range(1..600));
        let Some(host) = self.hosts.get_mut(&id) else {
            return;
        };
        if host.replica.take().is_none() {
            return;
        }
        host.log = None;
        host.persists.clear();
        host.epoch += 1;
        host.disk.crash(&mut self.random);
        let epoch = host.epoch;
        self.push(restart_at, Happening::Restart(id, epoch));
    }

    /// Stops a host for a while; everything it would do happens after it.
    pub fn freeze(&mut self, id: ReplicaId, duration: Duration) {
        if let Some(host) = self.hosts.get_mut(&id) {
            host.frozen_until = self.now + duration;
        }
    }

    /// Stops all faults and thaws all hosts.
    pub fn heal(&mut self) {
        self.faults = Faults::default();
        self.cuts.clear();
        for host in self.hosts.values_mut() {
            host.frozen_until = self.now;
        }
    }

    /// Injects a fault now and then, into leaders above all.
    pub fn disturb(&mut self) {
        let any = self.any_host();
        let leader = self.leader().unwrap_or(any);
        let duration = Duration::from_millis(self.random.random_range(50..500));
        match self.random.random_range(0..100) {
            0 => self.crash(any),
            1 => self.crash(leader),
            2 => self.freeze(any, duration),
            3 => self.freeze(leader, duration),
            4 => {
                self.cuts.insert((leader, any));
            }
            5 => self.split(|id| id == leader),
            6 => {
                let side = self.random.random::<u64>();
                self.split(|id| side >> (id % 64) & 1 == 0);
            }
            7..10 => self.cuts.clear(),
            _ => {}
        }
    }

    /// Cuts the hosts on one side off from the others.
    pub fn split(&mut self, is_inside: impl Fn(ReplicaId) -> bool) {
        let ids: Vec<ReplicaId> = self.hosts.keys().copied().collect();
        for (from, to) in ids.iter().flat_map(|a| ids.iter().map(move |b| (*a, *b))) {
            if is_inside(from) != is_inside(to) {
                self.cuts.insert((from, to));
            }
        }
    }
}
