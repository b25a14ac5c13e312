//! Weighted deficit round robin over institutions and their teams.
//!
//! Deficits may become negative, so a long task is served at once and the
//! flow waits afterwards. The order is work-conserving: a flow without jobs
//! leaves the ring. It keeps a negative deficit, or a team could run more than
//! its share by never having two jobs queued.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::keys::{InstitutionKey, JobKey, TeamKey};

/// Run time that a flow of weight 1 may start in one round, in ms. One second
/// is about the longest common task, so most picks need one round.
const QUANTUM_MS: i64 = 1_000;

/// `FlowKey` names the queue of one team in one service. Chunks that peers
/// forward have flows of their own, because the quota of this host does not
/// apply to them.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct FlowKey {
    pub(crate) institution: InstitutionKey,
    pub(crate) team: TeamKey,
    pub(crate) foreign: bool,
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
    listed: bool,
}

#[derive(Debug, Default)]
struct Lane {
    weight: i64,
    deficit: i64,
    ring: VecDeque<FlowKey>,
    /// Sum of the weights of flows that have jobs.
    active_weight: i64,
    listed: bool,
}

/// `FairQueue` orders the jobs of one service that have queued tasks.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    lanes: BTreeMap<InstitutionKey, Lane>,
    flows: BTreeMap<FlowKey, Flow>,
    ring: VecDeque<InstitutionKey>,
    /// Sum of the weights of lanes that have jobs.
    active_weight: i64,
}

impl FairQueue {
    /// Adds queued work of a job, at its place in the order of admission.
    pub(crate) fn add(&mut self, key: FlowKey, weights: Weights, job: JobKey, work_ms: u64) {
        self.count_active(key, -1);
        let lane = self.lanes.entry(key.institution).or_default();
        lane.weight = i64::from(weights.institution.max(1));
        let flow = self.flows.entry(key).or_default();
        flow.weight = i64::from(weights.team.max(1));
        flow.jobs.insert(job);
        flow.queued_work_ms += work_ms;
        self.count_active(key, 1);
        self.activate(key);
    }

    /// Subtracts queued work that was started or given up.
    pub(crate) fn subtract_work(&mut self, key: FlowKey, work_ms: u64) {
        if let Some(flow) = self.flows.get_mut(&key) {
            flow.queued_work_ms -= work_ms;
        }
    }

    /// Removes a job.
    pub(crate) fn remove(&mut self, key: FlowKey, job: JobKey) {
        self.count_active(key, -1);
        if let Some(flow) = self.flows.get_mut(&key) {
            flow.jobs.remove(&job);
        }
        self.count_active(key, 1);
    }

    /// Gets the work that is done, on all slots together, until a flow's queue
    /// and `more_ms` of its work are done, if every active flow gets its
    /// share. In ms.
    pub(crate) fn work_until_done_ms(&self, key: FlowKey, weights: Weights, more_ms: u64) -> u64 {
        let lane = self.lanes.get(&key.institution);
        let flow = self.flows.get(&key);
        let own_ms = flow.map_or(0, |flow| flow.queued_work_ms) + more_ms;
        let weight_of = |weight: u32| f64::from(weight.max(1));
        let is_active = |flow: &Flow| !flow.jobs.is_empty();
        let mut lane_weights = self.active_weight as f64;
        let mut flow_weights = lane.map_or(0, |lane| lane.active_weight) as f64;
        if flow_weights == 0.0 {
            lane_weights += weight_of(weights.institution);
        }
        if !flow.is_some_and(is_active) {
            flow_weights += weight_of(weights.team);
        }
        let share =
            weight_of(weights.institution) / lane_weights * weight_of(weights.team) / flow_weights;
        (own_ms as f64 / share) as u64
    }

    /// Puts a flow back into the ring.
    pub(crate) fn activate(&mut self, key: FlowKey) {
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        if flow.listed || flow.jobs.is_empty() {
            return;
        }
        flow.listed = true;
        let lane = self.lanes.entry(key.institution).or_default();
        lane.ring.push_back(key);
        if !lane.listed {
            lane.listed = true;
            self.ring.push_back(key.institution);
        }
    }

    /// Takes a flow that [`Self::pick`] returned out of the ring until it is
    /// activated again.
    pub(crate) fn set_aside(&mut self, key: FlowKey) {
        let Some(lane) = self.lanes.get_mut(&key.institution) else {
            return;
        };
        if lane.ring.front() == Some(&key) {
            lane.ring.pop_front();
        }
        if let Some(flow) = self.flows.get_mut(&key) {
            flow.listed = false;
        }
    }

    /// Gets the job whose turn it is.
    pub(crate) fn pick(&mut self) -> Option<(FlowKey, JobKey)> {
        loop {
            let institution = *self.ring.front()?;
            let lane = self.lanes.get_mut(&institution)?;
            let Some(&key) = lane.ring.front() else {
                lane.listed = false;
                lane.deficit = lane.deficit.min(0);
                self.ring.pop_front();
                continue;
            };
            let flow = self.flows.get_mut(&key)?;
            let Some(&job) = flow.jobs.first() else {
                flow.listed = false;
                flow.deficit = flow.deficit.min(0);
                lane.ring.pop_front();
                continue;
            };
            if lane.deficit <= 0 {
                lane.deficit += lane.weight * QUANTUM_MS;
                self.ring.rotate_left(1);
                continue;
            }
            if flow.deficit <= 0 {
                flow.deficit += flow.weight * QUANTUM_MS;
                lane.ring.rotate_left(1);
                continue;
            }
            return Some((key, job));
        }
    }

    /// Gets up to `most` jobs of a flow that follow its first one.
    pub(crate) fn following(&self, key: FlowKey, most: usize) -> Vec<JobKey> {
        let jobs = self.flows.get(&key).into_iter().flat_map(|flow| &flow.jobs);
        jobs.skip(1).take(most).copied().collect()
    }

    /// Charges a flow for tasks that it started.
    pub(crate) fn charge(&mut self, key: FlowKey, work_ms: u64) {
        let work_ms = i64::try_from(work_ms).unwrap_or(i64::MAX / 4);
        if let Some(flow) = self.flows.get_mut(&key) {
            flow.deficit -= work_ms;
        }
        if let Some(lane) = self.lanes.get_mut(&key.institution) {
            lane.deficit -= work_ms;
        }
    }

    /// Adds a flow with jobs to the sums of active weights, or subtracts it.
    fn count_active(&mut self, key: FlowKey, sign: i64) {
        let (Some(flow), Some(lane)) = (self.flows.get(&key), self.lanes.get_mut(&key.institution))
        else {
            return;
        };
        if flow.jobs.is_empty() {
            return;
        }
        let was_active = lane.active_weight > 0;
        lane.active_weight += sign * flow.weight;
        let is_active = lane.active_weight > 0;
        if was_active != is_active {
            self.active_weight += sign * lane.weight;
        }
    }
}
