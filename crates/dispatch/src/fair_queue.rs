//! Hierarchical weighted deficit round robin over institutions and their teams.
//!
//! Deficit counters may become negative: a long task starts immediately and its
//! flow waits afterwards. The scheduler is work-conserving: a flow without jobs
//! leaves the ring. It keeps a negative deficit; otherwise a team could exceed
//! its share by never having two jobs queued.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::keys::{InstitutionKey, JobKey, TeamKey};

/// Quantum of a flow of weight 1 in one round, in ms of run time. One second is
/// about the longest common task, so most picks need one round.
const QUANTUM_MS: i64 = 1_000;

/// `FlowKey` identifies the queue of one team in one service. Chunks that peers
/// forward have separate flows, because this host's quota does not apply to
/// them.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct FlowKey {
    pub(crate) institution: InstitutionKey,
    pub(crate) team: TeamKey,
    pub(crate) remote: bool,
}

/// `Weights` are the weights of one flow and of its institution.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Weights {
    pub(crate) institution: u32,
    pub(crate) team: u32,
}

#[derive(Debug, Default)]
struct Flow {
    weight: i64,
    deficit: i64,
    jobs: BTreeSet<JobKey>,
    queued_work_ms: u64,
    in_ring: bool,
}

#[derive(Debug, Default)]
struct FlowGroup {
    weight: i64,
    deficit: i64,
    ring: VecDeque<FlowKey>,
    /// Sum of the weights of the flows that have jobs.
    backlogged_weight: i64,
    in_ring: bool,
}

/// `FairQueue` orders the jobs of one service that have queued tasks.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    groups: BTreeMap<InstitutionKey, FlowGroup>,
    flows: BTreeMap<FlowKey, Flow>,
    ring: VecDeque<InstitutionKey>,
    /// Sum of the weights of the groups that have jobs.
    backlogged_weight: i64,
}

impl FairQueue {
    /// Adds queued work of a job. Jobs of a flow are kept in the order of their
    /// admission.
    pub(crate) fn add(&mut self, key: FlowKey, weights: Weights, job: JobKey, work_ms: u64) {
        self.update_backlogged_weight(key, -1);
        let group = self.groups.entry(key.institution).or_default();
        group.weight = i64::from(weights.institution.max(1));
        let flow = self.flows.entry(key).or_default();
        flow.weight = i64::from(weights.team.max(1));
        flow.jobs.insert(job);
        flow.queued_work_ms += work_ms;
        self.update_backlogged_weight(key, 1);
        self.activate(key);
    }

    /// Subtracts queued work that was started or cancelled.
    pub(crate) fn subtract_work(&mut self, key: FlowKey, work_ms: u64) {
        if let Some(flow) = self.flows.get_mut(&key) {
            flow.queued_work_ms -= work_ms;
        }
    }

    /// Removes a job from its flow.
    pub(crate) fn remove(&mut self, key: FlowKey, job: JobKey) {
        self.update_backlogged_weight(key, -1);
        if let Some(flow) = self.flows.get_mut(&key) {
            flow.jobs.remove(&job);
        }
        self.update_backlogged_weight(key, 1);
    }

    /// Estimates the work in ms that the whole pool completes by the time a flow's
    /// queued work and `more_ms` more are complete, if each backlogged flow gets
    /// its weighted share of the slots.
    pub(crate) fn work_until_done_ms(&self, key: FlowKey, weights: Weights, more_ms: u64) -> u64 {
        let group = self.groups.get(&key.institution);
        let flow = self.flows.get(&key);
        let own_ms = flow.map_or(0, |flow| flow.queued_work_ms) + more_ms;
        let weight_of = |weight: u32| f64::from(weight.max(1));
        let is_backlogged = |flow: &Flow| !flow.jobs.is_empty();
        let mut group_weights = self.backlogged_weight as f64;
        let mut flow_weights = group.map_or(0, |group| group.backlogged_weight) as f64;
        if flow_weights == 0.0 {
            group_weights += weight_of(weights.institution);
        }
        if !flow.is_some_and(is_backlogged) {
            flow_weights += weight_of(weights.team);
        }
        let share =
            weight_of(weights.institution) / group_weights * weight_of(weights.team) / flow_weights;
        (own_ms as f64 / share) as u64
    }

    /// Adds a flow to the ring if it has jobs.
    pub(crate) fn activate(&mut self, key: FlowKey) {
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        if flow.in_ring || flow.jobs.is_empty() {
            return;
        }
        flow.in_ring = true;
        let group = self.groups.entry(key.institution).or_default();
        group.ring.push_back(key);
        if !group.in_ring {
            group.in_ring = true;
            self.ring.push_back(key.institution);
        }
    }

    /// Removes a flow that [`Self::pick`] returned from the ring until it is
    /// activated again.
    pub(crate) fn deactivate(&mut self, key: FlowKey) {
        let Some(group) = self.groups.get_mut(&key.institution) else {
            return;
        };
        if group.ring.front() == Some(&key) {
            group.ring.pop_front();
        }
        if let Some(flow) = self.flows.get_mut(&key) {
            flow.in_ring = false;
        }
    }

    /// Gets the job that is next in turn, and its flow.
    pub(crate) fn pick(&mut self) -> Option<(FlowKey, JobKey)> {
        loop {
            let institution = *self.ring.front()?;
            let group = self.groups.get_mut(&institution)?;
            let Some(&key) = group.ring.front() else {
                group.in_ring = false;
                group.deficit = group.deficit.min(0);
                self.ring.pop_front();
                continue;
            };
            let flow = self.flows.get_mut(&key)?;
            let Some(&job) = flow.jobs.first() else {
                flow.in_ring = false;
                flow.deficit = flow.deficit.min(0);
                group.ring.pop_front();
                continue;
            };
            if group.deficit <= 0 {
                group.deficit += group.weight * QUANTUM_MS;
                self.ring.rotate_left(1);
                continue;
            }
            if flow.deficit <= 0 {
                flow.deficit += flow.weight * QUANTUM_MS;
                group.ring.rotate_left(1);
                continue;
            }
            return Some((key, job));
        }
    }

    /// Gets up to `limit` jobs of a flow that follow its first one.
    pub(crate) fn jobs_after_first(&self, key: FlowKey, limit: usize) -> Vec<JobKey> {
        let jobs = self.flows.get(&key).into_iter().flat_map(|flow| &flow.jobs);
        jobs.skip(1).take(limit).copied().collect()
    }

    /// Subtracts started work from the deficits of a flow and its group.
    pub(crate) fn charge(&mut self, key: FlowKey, work_ms: u64) {
        let work_ms = i64::try_from(work_ms).unwrap_or(i64::MAX / 4);
        if let Some(flow) = self.flows.get_mut(&key) {
            flow.deficit -= work_ms;
        }
        if let Some(group) = self.groups.get_mut(&key.institution) {
            group.deficit -= work_ms;
        }
    }

    /// Adds the weight of a backlogged flow to the sums, or subtracts it.
    fn update_backlogged_weight(&mut self, key: FlowKey, sign: i64) {
        let (Some(flow), Some(group)) =
            (self.flows.get(&key), self.groups.get_mut(&key.institution))
        else {
            return;
        };
        if flow.jobs.is_empty() {
            return;
        }
        let was_backlogged = group.backlogged_weight > 0;
        group.backlogged_weight += sign * flow.weight;
        let is_backlogged = group.backlogged_weight > 0;
        if was_backlogged != is_backlogged {
            self.backlogged_weight += sign * group.weight;
        }
    }
}
