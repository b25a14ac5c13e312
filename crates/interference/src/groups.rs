//! Ids of queues, and the queue that a task of unknown queue most likely has.

use std::time::Duration;

use indexmap::IndexMap;

use crate::MAX_QUEUES;

/// Weight of one job in the moving average of the shape of a queue.
const JOB_WEIGHT: f64 = 0.05;

/// Largest distance, as the logarithm of a ratio, between a task and the queue
/// that it is counted to. Declared times are off by about 40 percent, so a task of
/// the queue is rarely off by more than a factor of 2.
const MAX_DISTANCE: f64 = std::f64::consts::LN_2;

/// `QueueId` is a small number for a queue on this host.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct QueueId(pub u16);

impl QueueId {
    /// Id of no queue; it is never assigned.
    pub(crate) const NONE: Self = Self(u16::MAX);
}

/// `TaskShape` is what a host knows of a task of a peer's job, whose queue is not
/// in the message.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TaskShape {
    /// Cores, in thousandths.
    pub cpu_milli: u32,
    /// Number of accelerators.
    pub accelerators: u32,
    /// Expected run time.
    pub expected: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Group {
    log_cpu: f64,
    log_expected: f64,
    accelerators: u32,
    used_at: Duration,
}

/// `QueueGroups` assigns ids to the queues of own jobs, by name, and finds the
/// queue of most similar need and expected time for a task of a peer.
#[derive(Clone, Debug, Default)]
pub struct QueueGroups {
    groups: IndexMap<String, Group>,
}

impl QueueGroups {
    /// Gets the id of the queue of an own task. If all ids are taken, it is that of
    /// the queue unused for longest, whose id is returned as replaced: what was
    /// learned of it must be forgotten.
    pub fn own(&mut self, queue: &str, shape: TaskShape, now: Duration) -> (QueueId, bool) {
        let fresh = Group {
            log_cpu: f64::from(shape.cpu_milli.max(1)).ln(),
            log_expected: log_of(shape.expected),
            accelerators: shape.accelerators,
            used_at: now,
        };
        if let Some((index, _, group)) = self.groups.get_full_mut(queue) {
            group.log_cpu += JOB_WEIGHT * (fresh.log_cpu - group.log_cpu);
            group.log_expected += JOB_WEIGHT * (fresh.log_expected - group.log_expected);
            group.accelerators = fresh.accelerators;
            group.used_at = now;
            return (id_of(index), false);
        }
        if self.groups.len() < MAX_QUEUES {
            let (index, _) = self.groups.insert_full(queue.to_owned(), fresh);
            return (id_of(index), false);
        }
        let ages = self.groups.values().map(|group| group.used_at);
        let (_, index) = ages.zip(0..).min().unwrap_or((now, 0));
        self.groups.swap_remove_index(index);
        // The new entry is last and is swapped into the place that became free.
        let (last, _) = self.groups.insert_full(queue.to_owned(), fresh);
        self.groups.swap_indices(index, last);
        (id_of(index), true)
    }

    /// Gets the id of the queue that a peer's task most likely has; `None` if no
    /// queue of this host is similar. Its run is then neither a victim nor an
    /// aggressor.
    pub fn similar(&self, shape: TaskShape) -> Option<QueueId> {
        let log_cpu = f64::from(shape.cpu_milli.max(1)).ln();
        let log_expected = log_of(shape.expected);
        let alike = self.groups.values().enumerate();
        let alike = alike.filter(|(_, group)| group.accelerators == shape.accelerators);
        let distance = |group: &Group| {
            let cpu = (group.log_cpu - log_cpu).abs();
            cpu.max((group.log_expected - log_expected).abs())
        };
        let distances = alike.map(|(index, group)| (distance(group), index));
        let (nearest, index) = distances.min_by(|(a, _), (b, _)| a.total_cmp(b))?;
        (nearest <= MAX_DISTANCE).then(|| id_of(index))
    }

    /// Gets the id of a queue by its name.
    pub fn id(&self, queue: &str) -> Option<QueueId> {
        self.groups.get_index_of(queue).map(id_of)
    }

    /// Gets the name of a queue.
    pub fn name(&self, queue: QueueId) -> Option<&str> {
        let (name, _) = self.groups.get_index(usize::from(queue.0))?;
        Some(name)
    }

    /// Gets all queues with their ids.
    pub fn iter(&self) -> impl Iterator<Item = (QueueId, &str)> {
        let names = self.groups.keys().enumerate();
        names.map(|(index, name)| (id_of(index), name.as_str()))
    }
}

fn id_of(index: usize) -> QueueId {
    QueueId(u16::try_from(index).unwrap_or(u16::MAX))
}

/// Gets the logarithm of a time; the bound keeps it finite for a declared time of
/// zero.
fn log_of(time: Duration) -> f64 {
    time.as_secs_f64().max(1e-4).ln()
}
