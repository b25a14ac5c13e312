//! The regression of one victim queue on the time shared with its aggressors.

use std::time::Duration;

use crate::groups::QueueId;

/// Largest number of aggressors of a victim; only the most active are kept, so
/// that the memory does not grow with the square of the number of queues.
pub(crate) const MAX_AGGRESSORS: usize = 8;

/// Size of the regression: the speed without neighbours and one loss of speed
/// per aggressor.
const SIZE: usize = MAX_AGGRESSORS + 1;

/// Number of runs of a victim after which an observation has lost 63 percent of
/// its weight. Runs of 900 ms beside ones of 60 ms all share about the same time
/// with them, so that a factor of 2.0 needs this many to be within 15 percent.
const LONG_MEMORY_RUNS: f64 = 1600.0;

/// The same of the second estimate, which shows that factors have changed.
const SHORT_MEMORY_RUNS: f64 = 200.0;

/// Time after which an observation has lost 63 percent of its weight. A queue that
/// starts some tasks a second has its long memory in it.
const MEMORY_TIME: Duration = Duration::from_secs(300);

/// Logarithm of how much more likely the recent runs must be by the short estimate
/// before the long one is replaced by it. By chance that happens about once in 400
/// times that the short one is ahead at all.
const CHANGE_EVIDENCE: f64 = 6.0;

/// Standard deviation of the loss of speed by an aggressor about which nothing
/// is known. It pulls estimates from few runs towards no loss.
const PRIOR_LOSS_DEVIATION: f64 = 0.5;

/// Standard deviation of the speed without neighbours before the first run, from
/// the error of declared times.
const PRIOR_SPEED_DEVIATION: f64 = 0.5;

/// Bounds of the variance of one observation. Declared run times that are off by
/// up to 40 percent give 0.06, with 3 stragglers in 100 about 0.08.
const VARIANCE_BOUNDS: (f64, f64) = (0.02, 0.25);

/// Variance of one observation before it has been learned.
const INITIAL_VARIANCE: f64 = 0.08;

/// Weight of one run in the moving average of the variance.
const VARIANCE_WEIGHT: f64 = 0.01;

/// Activity, in decayed runs with full overlap, below which an aggressor gives
/// way to a new one.
const LEAST_ACTIVITY: f64 = 2.0;

/// Largest weight of what peers have learned, in runs with full overlap. Own
/// observations outweigh it within seconds.
const MAX_PEER_RUNS: f64 = 60.0;

/// Number of standard errors by which a loss must exceed zero before it counts.
/// Estimates are read after each run, so that 2 would often be exceeded by
/// chance.
const SIGNIFICANT_ERRORS: f64 = 4.0;

/// Smallest loss of speed that counts, a factor of 1.1. Smaller ones are not
/// worth a looser fit.
const MIN_LOSS: f64 = 0.09;

/// Largest loss of speed, a factor of 10.
const MAX_LOSS: f64 = 0.9;

/// `Loss` is the share of its speed that a victim loses to one neighbour.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Loss {
    pub(crate) share: f64,
    pub(crate) error: f64,
}

impl Loss {
    /// Gets the factor by which the victim's run time grows.
    pub(crate) fn factor(self) -> f64 {
        1.0 / (1.0 - self.share.clamp(-1.0, MAX_LOSS))
    }

    /// Gets the confidence from 0, nothing is known, to 1.
    pub(crate) fn confidence(self) -> f64 {
        let ratio = self.error / PRIOR_LOSS_DEVIATION;
        (1.0 - ratio * ratio).clamp(0.0, 1.0)
    }

    /// Whether the loss is larger than chance explains.
    pub(crate) fn is_significant(self) -> bool {
        self.share >= MIN_LOSS && self.share >= SIGNIFICANT_ERRORS * self.error
    }

    /// Whether a loss that was significant still counts, at half the bounds.
    pub(crate) fn remains_significant(self) -> bool {
        self.share >= MIN_LOSS / 2.0 && self.share >= SIGNIFICANT_ERRORS / 2.0 * self.error
    }
}

#[derive(Clone, Debug)]
struct Aggressor {
    queue: QueueId,
    /// Loss that peers have learned, and its weight in runs.
    peer_loss: f32,
    peer_runs: f32,
}

/// `Regression` holds the decayed sums of a weighted linear regression and its
/// solution. The speed of a run, expected by actual time, is that without
/// neighbours less a loss for each unit of shared time. Speeds rather than times
/// are used, because shared time enters them linearly and a straggler changes them
/// by at most 1.
#[derive(Clone, Debug)]
struct Regression {
    products: [[f32; SIZE]; SIZE],
    moments: [f32; SIZE],
    speed: f64,
    losses: [f32; MAX_AGGRESSORS],
    errors: [f32; MAX_AGGRESSORS],
}

impl Regression {
    fn new() -> Self {
        Self {
            products: [[0.0; SIZE]; SIZE],
            moments: [0.0; SIZE],
            speed: 1.0,
            losses: [0.0; MAX_AGGRESSORS],
            errors: [PRIOR_LOSS_DEVIATION as f32; MAX_AGGRESSORS],
        }
    }

    /// Gets the speed that is expected with these units of shared time.
    fn predicted_speed(&self, units: &[f32; SIZE]) -> f64 {
        /// A lower speed would make single observations outweigh all others.
        const MIN_SPEED: f64 = 0.1;
        let lost = self.losses.iter().zip(&units[1..]);
        let lost: f32 = lost.map(|(loss, units)| loss * units).sum();
        (self.speed * (1.0 - f64::from(lost))).max(MIN_SPEED)
    }

    fn add(&mut self, units: &[f32; SIZE], speed: f64, kept: f64) {
        let kept = kept as f32;
        for i in 0..SIZE {
            self.moments[i] = kept * self.moments[i] + units[i] * speed as f32;
            for j in 0..SIZE {
                self.products[i][j] = kept * self.products[i][j] + units[i] * units[j];
            }
        }
    }

    fn clear(&mut self, index: usize) {
        for other in 0..SIZE {
            self.products[index + 1][other] = 0.0;
            self.products[other][index + 1] = 0.0;
        }
        self.moments[index + 1] = 0.0;
        self.losses[index] = 0.0;
        self.errors[index] = PRIOR_LOSS_DEVIATION as f32;
    }

    /// Solves the regression with its priors, by a Cholesky decomposition.
    fn solve(&mut self, aggressors: &[Aggressor], variance: f64) {
        let size = aggressors.len() + 1;
        let prior = |deviation: f64| variance / (deviation * deviation);
        let mut matrix = self.products.map(|row| row.map(f64::from));
        let mut right = self.moments.map(f64::from);
        let speed_weight = prior(PRIOR_SPEED_DEVIATION);
        matrix[0][0] += speed_weight;
        right[0] += speed_weight;
        for (i, known) in (1..).zip(aggressors) {
            let peer_runs = f64::from(known.peer_runs);
            matrix[i][i] += prior(PRIOR_LOSS_DEVIATION) + peer_runs;
            // The coefficient is the negative loss at the speed without
            // neighbours.
            right[i] -= peer_runs * f64::from(known.peer_loss) * self.speed;
        }
        // Rounding can make a matrix of nearly equal shared times indefinite; the
        // former solution then stays until further runs differ.
        let Some(inverse) = inverse(&matrix, size) else {
            return;
        };
        let coefficient =
            |i: usize| -> f64 { (0..size).map(|j| inverse[i][j] * right[j]).sum::<f64>() };
        self.speed = coefficient(0).max(0.1);
        let places = self.losses.iter_mut().zip(&mut self.errors);
        for ((loss, error), i) in places.zip(1..size) {
            *loss = (-coefficient(i) / self.speed) as f32;
            *error = ((variance * inverse[i][i]).sqrt() / self.speed) as f32;
        }
    }
}

/// `VictimEstimate` holds what is known of the aggressors of one queue.
#[derive(Clone, Debug)]
pub(crate) struct VictimEstimate {
    aggressors: Vec<Aggressor>,
    long: Regression,
    short: Regression,
    /// Logarithm of how much more likely recent runs are by the short estimate.
    change_evidence: f64,
    variance: f64,
    recorded_at: Duration,
}

impl VictimEstimate {
    pub(crate) fn new(now: Duration) -> Self {
        Self {
            aggressors: Vec::new(),
            long: Regression::new(),
            short: Regression::new(),
            change_evidence: 0.0,
            variance: INITIAL_VARIANCE,
            recorded_at: now,
        }
    }

    /// Gets the decayed number of runs.
    pub(crate) fn activity(&self) -> f32 {
        self.long.products[0][0]
    }

    /// Gets the time of the last observation.
    pub(crate) fn recorded_at(&self) -> Duration {
        self.recorded_at
    }

    /// Gets the speed that is expected with these units of shared time.
    pub(crate) fn predicted_speed(&self, overlaps: &[(QueueId, f64)]) -> f64 {
        self.long.predicted_speed(&self.units(overlaps))
    }

    /// Records the speed of a run and its units of shared time by aggressor.
    pub(crate) fn record(&mut self, speed: f64, overlaps: &[(QueueId, f64)], now: Duration) {
        for (queue, _) in overlaps {
            self.slot(*queue);
        }
        let units = self.units(overlaps);
        let residual = |regression: &Regression| {
            let residual = speed - regression.predicted_speed(&units);
            residual * residual
        };
        let (long, short) = (residual(&self.long), residual(&self.short));
        self.variance += VARIANCE_WEIGHT * (long.min(short) - self.variance);
        self.variance = self.variance.clamp(VARIANCE_BOUNDS.0, VARIANCE_BOUNDS.1);
        let evidence = (long - short) / (2.0 * self.variance);
        self.change_evidence = (self.change_evidence + evidence).max(0.0);
        if self.change_evidence > CHANGE_EVIDENCE {
            self.change_evidence = 0.0;
            self.long = self.short.clone();
        }
        let passed = now.saturating_sub(self.recorded_at).as_secs_f64();
        self.recorded_at = now;
        let by_time = (-passed / MEMORY_TIME.as_secs_f64()).exp();
        let kept = |runs: f64| (1.0 - 1.0 / runs) * by_time;
        self.long.add(&units, speed, kept(LONG_MEMORY_RUNS));
        self.short.add(&units, speed, kept(SHORT_MEMORY_RUNS));
        for known in &mut self.aggressors {
            known.peer_runs *= kept(SHORT_MEMORY_RUNS) as f32;
        }
        self.solve();
    }

    /// Gets the loss of speed to an aggressor; `None` if the pair is not known.
    pub(crate) fn loss(&self, aggressor: QueueId) -> Option<Loss> {
        let index = self.position(aggressor)?;
        Some(Loss {
            share: f64::from(self.long.losses[index]),
            error: f64::from(self.long.errors[index]),
        })
    }

    /// Gets the known aggressors.
    pub(crate) fn aggressors(&self) -> impl Iterator<Item = QueueId> {
        self.aggressors.iter().map(|known| known.queue)
    }

    /// Gets the aggressors with the loss to each and the number of own runs with
    /// full overlap that it is worth, without what peers contributed.
    pub(crate) fn own_losses(&self) -> impl Iterator<Item = (QueueId, f64, f64)> {
        self.aggressors.iter().enumerate().map(|(index, known)| {
            let share = f64::from(self.long.losses[index]).clamp(-1.0, MAX_LOSS);
            let own = f64::from(self.long.products[index + 1][index + 1]);
            let error = f64::from(self.long.errors[index]);
            let worth = self.variance / (error * error).max(1e-6);
            let runs = (worth - f64::from(known.peer_runs)).clamp(0.0, own);
            (known.queue, share, runs)
        })
    }

    /// Takes over what peers have learned of a pair.
    pub(crate) fn set_peer_loss(&mut self, aggressor: QueueId, share: f64, runs: f64) {
        if let Some(index) = self.slot(aggressor) {
            let known = &mut self.aggressors[index];
            known.peer_loss = share.clamp(-1.0, MAX_LOSS) as f32;
            known.peer_runs = runs.clamp(0.0, MAX_PEER_RUNS) as f32;
            self.solve();
        }
    }

    /// Forgets an aggressor whose id is given to another queue.
    pub(crate) fn forget(&mut self, aggressor: QueueId) {
        if let Some(index) = self.position(aggressor) {
            self.clear(index);
            self.aggressors[index].queue = QueueId::NONE;
        }
    }

    fn solve(&mut self) {
        self.long.solve(&self.aggressors, self.variance);
        self.short.solve(&self.aggressors, self.variance);
    }

    fn position(&self, queue: QueueId) -> Option<usize> {
        let mut known = self.aggressors.iter();
        known.position(|known| known.queue == queue)
    }

    /// Gets the row of the regression for these units of shared time.
    fn units(&self, overlaps: &[(QueueId, f64)]) -> [f32; SIZE] {
        let mut units = [0.0; SIZE];
        units[0] = 1.0;
        for (queue, shared) in overlaps {
            if let Some(index) = self.position(*queue) {
                units[index + 1] = *shared as f32;
            }
        }
        units
    }

    /// Gets the place of an aggressor; a new one takes the place of the least
    /// active if that one is hardly seen any more.
    fn slot(&mut self, queue: QueueId) -> Option<usize> {
        if let Some(index) = self.position(queue) {
            return Some(index);
        }
        let fresh = Aggressor {
            queue,
            peer_loss: 0.0,
            peer_runs: 0.0,
        };
        if self.aggressors.len() < MAX_AGGRESSORS {
            self.aggressors.push(fresh);
            return Some(self.aggressors.len() - 1);
        }
        let activity = |index: &usize| {
            self.long.products[index + 1][index + 1] + self.aggressors[*index].peer_runs
        };
        let least = (0..MAX_AGGRESSORS).min_by(|a, b| activity(a).total_cmp(&activity(b)))?;
        if f64::from(activity(&least)) >= LEAST_ACTIVITY {
            return None;
        }
        self.clear(least);
        self.aggressors[least] = fresh;
        Some(least)
    }

    fn clear(&mut self, index: usize) {
        self.long.clear(index);
        self.short.clear(index);
        self.aggressors[index].peer_runs = 0.0;
    }
}

/// Inverts a symmetric positive definite matrix; `None` if rounding has made it
/// indefinite.
fn inverse(matrix: &[[f64; SIZE]; SIZE], size: usize) -> Option<[[f64; SIZE]; SIZE]> {
    let mut lower = [[0.0_f64; SIZE]; SIZE];
    for i in 0..size {
        for j in 0..=i {
            let sum: f64 = (0..j).map(|k| lower[i][k] * lower[j][k]).sum();
            let rest = matrix[i][j] - sum;
            if i != j {
                lower[i][j] = rest / lower[j][j];
            } else if rest > 1e-9 {
                lower[i][i] = rest.sqrt();
            } else {
                return None;
            }
        }
    }
    let mut inverse = [[0.0_f64; SIZE]; SIZE];
    // The inverse is symmetric, so that its columns are its rows.
    for (unit, row) in inverse.iter_mut().enumerate().take(size) {
        for i in 0..size {
            let right = if i == unit { 1.0 } else { 0.0 };
            let sum: f64 = (0..i).map(|k| lower[i][k] * row[k]).sum();
            row[i] = (right - sum) / lower[i][i];
        }
        for i in (0..size).rev() {
            let sum: f64 = (i + 1..size).map(|k| lower[k][i] * row[k]).sum();
            row[i] = (row[i] - sum) / lower[i][i];
        }
    }
    Some(inverse)
}
