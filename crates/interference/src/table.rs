//! The factors of all pairs of queues, and the preference that follows from them.

use std::time::Duration;

use indexmap::IndexMap;

use crate::MAX_QUEUES;
use crate::estimate::VictimEstimate;
use crate::groups::{QueueGroups, QueueId};
use crate::summary::{InterferenceSummary, PairSummary, hash_of};

/// Weight of one run in the speed of its worker, which covers the last seconds, so
/// that the pace of a worker is not taken for interference.
const WORKER_RUN_WEIGHT: f64 = 1.0 / 32.0;

/// Weight of one run in the speed of all runs of the host, which covers about half a
/// second at 80 runs a second. When all runs are slow while workers are full, that
/// is load and not interference between two queues.
const HOST_RUN_WEIGHT: f64 = 1.0 / 40.0;

/// Weight with which these speeds return to the mean at each run.
/// Without it, the speeds of all workers and all queues could drift in opposite
/// directions.
const RETURN_WEIGHT: f64 = 0.001;

/// Bounds of the speeds of a worker and of the host relative to the mean.
const SPEED_BOUNDS: (f64, f64) = (0.2, 5.0);

/// Largest observed speed of a run. Shorter runs have a wrong expected time.
const MAX_SPEED: f64 = 2.5;

/// Largest number of workers whose speeds are known, several times those of an
/// entry host.
const MAX_WORKERS: usize = 256;

/// One placement in so many ignores the preference, so that pairs which are kept
/// apart are observed again.
const EXPLORATION_PERIOD: u64 = 64;

/// Share of its expected time below which the rest of a run is not estimated,
/// because expected times are off by about 40 percent.
const MIN_REST_SHARE: f64 = 0.25;

/// Penalties that differ by less than this share of a run time are equal, so that
/// the tightest fit decides.
const PENALTY_STEP: f64 = 0.05;

/// `Observation` is an ended run.
#[derive(Clone, Copy, Debug)]
pub struct Observation<'a> {
    /// Worker that ran it.
    pub worker: u64,
    /// Pace of the worker, 1.0 if unknown.
    pub pace: f64,
    /// Queue of the task.
    pub queue: QueueId,
    /// Expected time on a worker of mean pace.
    pub expected: Duration,
    /// Time that it took.
    pub took: Duration,
    /// Mean number of neighbours by queue.
    pub overlaps: &'a [(QueueId, f64)],
}

/// `PairFactor` is what is known of an ordered pair of queues.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PairFactor {
    /// Factor by which a neighbour of the aggressor lengthens the victim.
    pub factor: f64,
    /// Confidence from 0, nothing is known, to 1.
    pub confidence: f64,
    /// Whether the factor affects placement.
    pub is_significant: bool,
}

/// `PairChange` is a pair that begins or ceases to affect placement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PairChange {
    /// Queue that is slowed down.
    pub victim: QueueId,
    /// Queue that slows it down.
    pub aggressor: QueueId,
    /// What is known now.
    pub factor: PairFactor,
}

/// `Neighbour` is a run on a worker that a task may join.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Neighbour {
    /// Queue of its task.
    pub queue: QueueId,
    /// Expected run time.
    pub expected: Duration,
    /// Time since its start.
    pub elapsed: Duration,
}

/// `Newcomer` is a task that is to be placed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Newcomer {
    /// Queue of the task.
    pub queue: QueueId,
    /// Expected run time.
    pub expected: Duration,
    /// Time from now to the objective of its job; zero if unknown.
    pub slack: Duration,
    /// Random number of the caller, which selects exploratory placements.
    pub draw: u64,
}

/// Moving average of observed by predicted speeds.
#[derive(Clone, Copy, Debug)]
struct CommonSpeed {
    speed: f64,
    runs: f64,
}

impl Default for CommonSpeed {
    fn default() -> Self {
        Self {
            speed: 1.0,
            runs: 0.0,
        }
    }
}

impl CommonSpeed {
    fn record(&mut self, ratio: f64, weight: f64) {
        self.runs += 1.0;
        let weight = weight.max(1.0 / (self.runs + 1.0));
        self.speed += weight * (ratio - self.speed);
        self.speed += RETURN_WEIGHT * (1.0 - self.speed);
        self.speed = self.speed.clamp(SPEED_BOUNDS.0, SPEED_BOUNDS.1);
    }
}

/// `InterferenceTable` learns the factors of all pairs of queues of a host.
#[derive(Clone, Debug, Default)]
pub struct InterferenceTable {
    victims: IndexMap<QueueId, VictimEstimate>,
    workers: IndexMap<u64, CommonSpeed>,
    host: CommonSpeed,
    /// Pairs that affect placement. Usually there are few or none, which makes a
    /// placement cheap.
    significant: IndexMap<(QueueId, QueueId), f64>,
}

impl InterferenceTable {
    /// Records an ended run, and gets the pairs whose effect on placement begins
    /// or ceases by it.
    pub fn record(&mut self, observation: &Observation<'_>, now: Duration) -> Vec<PairChange> {
        let took = observation.took.as_secs_f64() * observation.pace;
        if observation.expected.is_zero() || !took.is_finite() || took <= 0.0 {
            return Vec::new();
        }
        let speed = (observation.expected.as_secs_f64() / took).min(MAX_SPEED);
        let queue = observation.queue;
        if self.victims.len() >= MAX_QUEUES && !self.victims.contains_key(&queue) {
            self.remove_oldest_victim();
        }
        let victim = self.victims.entry(queue);
        let victim = victim.or_insert_with(|| VictimEstimate::new(now));
        let predicted = victim.predicted_speed(observation.overlaps);
        if self.workers.len() >= MAX_WORKERS && !self.workers.contains_key(&observation.worker) {
            self.workers.swap_remove_index(0);
        }
        let worker = self.workers.entry(observation.worker);
        let worker = worker.or_default();
        // The run is compared with earlier ones, not with itself.
        let common = worker.speed * self.host.speed;
        let own_speed = (speed / common).min(MAX_SPEED);
        victim.record(own_speed, observation.overlaps, now);
        let ratio = speed / predicted;
        let host = self.host.speed;
        self.host.record(ratio / worker.speed, HOST_RUN_WEIGHT);
        worker.record(ratio / host, WORKER_RUN_WEIGHT);
        self.update_significant(queue)
    }

    /// Gets what is known of an ordered pair.
    pub fn factor(&self, victim: QueueId, aggressor: QueueId) -> PairFactor {
        let loss = self.victims.get(&victim);
        let loss = loss.and_then(|known| known.loss(aggressor));
        let unknown = PairFactor {
            factor: 1.0,
            confidence: 0.0,
            is_significant: false,
        };
        loss.map_or(unknown, |loss| PairFactor {
            factor: loss.factor(),
            confidence: loss.confidence(),
            is_significant: loss.is_significant(),
        })
    }

    /// Whether any pair affects placement.
    pub fn has_effects(&self) -> bool {
        !self.significant.is_empty()
    }

    /// Gets the rank penalty of a task beside the given runs: the delay that it
    /// suffers and the delays that it inflicts, each relative to the expected time
    /// of the delayed run, because objectives are multiples of it. Lower is
    /// better; 0 if nothing is known.
    pub fn penalty(
        &self,
        newcomer: &Newcomer,
        neighbours: impl IntoIterator<Item = Neighbour>,
    ) -> u32 {
        if !self.has_effects() {
            return 0;
        }
        let mut suffered = 0.0;
        let mut inflicted = 0.0;
        for neighbour in neighbours {
            let suffers = self.excess(newcomer.queue, neighbour.queue);
            let inflicts = self.excess(neighbour.queue, newcomer.queue);
            if suffers == 0.0 && inflicts == 0.0 {
                continue;
            }
            let least = neighbour.expected.mul_f64(MIN_REST_SHARE);
            let rest = neighbour.expected.saturating_sub(neighbour.elapsed);
            let shared = rest.max(least).min(newcomer.expected).as_secs_f64();
            suffered += suffers * shared / newcomer.expected.as_secs_f64().max(1e-4);
            inflicted += inflicts * shared / neighbour.expected.as_secs_f64().max(1e-4);
        }
        if self.explores(newcomer, suffered) {
            return 0;
        }
        ((suffered + inflicted) / PENALTY_STEP).round().min(1e6) as u32
    }

    /// Whether a placement ignores the preference to observe a pair again, which it
    /// does only if the job ends within its objective even so.
    fn explores(&self, newcomer: &Newcomer, suffered: f64) -> bool {
        let needed = newcomer.expected.as_secs_f64() * (1.0 + suffered);
        newcomer.draw.is_multiple_of(EXPLORATION_PERIOD) && newcomer.slack.as_secs_f64() > needed
    }

    fn excess(&self, victim: QueueId, aggressor: QueueId) -> f64 {
        let factor = self.significant.get(&(victim, aggressor));
        factor.map_or(0.0, |factor| factor - 1.0)
    }

    /// Forgets a queue whose id is given to another one.
    pub fn forget_queue(&mut self, queue: QueueId) {
        self.victims.swap_remove(&queue);
        for victim in self.victims.values_mut() {
            victim.forget(queue);
        }
        self.significant
            .retain(|(victim, aggressor), _| *victim != queue && *aggressor != queue);
    }

    /// Forgets a worker that has left or restarted.
    pub fn forget_worker(&mut self, worker: u64) {
        self.workers.swap_remove(&worker);
    }

    /// Gets the pairs that affect placement.
    pub fn effects(&self) -> impl Iterator<Item = PairChange> {
        let pairs = self.significant.keys();
        pairs.map(|(victim, aggressor)| PairChange {
            victim: *victim,
            aggressor: *aggressor,
            factor: self.factor(*victim, *aggressor),
        })
    }

    /// Gets what this host tells others. What peers told is not counted in the
    /// weights, so that estimates do not confirm each other in a circle.
    pub fn summary(&self, groups: &QueueGroups) -> InterferenceSummary {
        let mut pairs = Vec::new();
        for (victim, estimate) in &self.victims {
            for (aggressor, share, runs) in estimate.own_losses() {
                let (Some(victim), Some(aggressor)) =
                    (groups.name(*victim), groups.name(aggressor))
                else {
                    continue;
                };
                pairs.push(PairSummary {
                    victim: hash_of(victim),
                    aggressor: hash_of(aggressor),
                    factor_milli: (1000.0 / (1.0 - share)) as u16,
                    runs: runs as u16,
                });
            }
        }
        InterferenceSummary::new(pairs)
    }

    /// Takes over the merged summaries of the peers as priors of the pairs.
    pub fn adopt(&mut self, summary: &InterferenceSummary, groups: &QueueGroups, now: Duration) {
        let names = groups.iter().map(|(queue, name)| (hash_of(name), queue));
        let ids: IndexMap<u32, QueueId> = names.collect();
        for pair in &summary.pairs {
            let (Some(victim), Some(aggressor)) = (ids.get(&pair.victim), ids.get(&pair.aggressor))
            else {
                continue;
            };
            let share = 1.0 - 1000.0 / f64::from(pair.factor_milli.max(1));
            let estimate = self.victims.entry(*victim);
            let estimate = estimate.or_insert_with(|| VictimEstimate::new(now));
            estimate.set_peer_loss(*aggressor, share, f64::from(pair.runs));
            self.update_significant(*victim);
        }
    }

    fn remove_oldest_victim(&mut self) {
        let victims = self.victims.iter();
        let oldest = victims.min_by(|(_, a), (_, b)| {
            let by_time = a.recorded_at().cmp(&b.recorded_at());
            by_time.then(a.activity().total_cmp(&b.activity()))
        });
        if let Some(queue) = oldest.map(|(queue, _)| *queue) {
            self.victims.swap_remove(&queue);
            self.significant.retain(|(victim, _), _| *victim != queue);
        }
    }

    /// Updates the pairs of a victim that affect placement.
    fn update_significant(&mut self, victim: QueueId) -> Vec<PairChange> {
        let Some(estimate) = self.victims.get(&victim) else {
            return Vec::new();
        };
        let mut changes = Vec::new();
        for aggressor in estimate.aggressors() {
            let Some(loss) = estimate.loss(aggressor) else {
                continue;
            };
            let pair = (victim, aggressor);
            let was_significant = self.significant.contains_key(&pair);
            // A pair in effect stays so down to half the bounds, so that it does
            // not begin and cease with each run.
            let is_significant =
                loss.is_significant() || was_significant && loss.remains_significant();
            if is_significant {
                self.significant.insert(pair, loss.factor());
            } else if was_significant {
                self.significant.swap_remove(&pair);
            }
            if is_significant != was_significant {
                changes.push(PairChange {
                    victim,
                    aggressor,
                    factor: PairFactor {
                        factor: loss.factor(),
                        confidence: loss.confidence(),
                        is_significant,
                    },
                });
            }
        }
        changes
    }
}
