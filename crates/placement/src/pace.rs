//! The pace of workers, learned from the times of their runs.

use std::time::Duration;

use indexmap::IndexMap;

/// `MachineType` identifies workers that are built alike.
pub type MachineType = String;

/// Weight of one run in the moving average of a machine type.
const TYPE_RUN_WEIGHT: f64 = 0.05;

/// Runs after which the pace of a machine type is known. Declared run times are
/// off by about 40 percent, so the mean of this many is within 10 percent.
const MIN_TYPE_RUNS: u32 = 16;

/// Bounds of the ratio of one observed run time to the expected one. A task that
/// is long by itself says nothing about its worker.
const RATIO_BOUNDS: (f64, f64) = (0.25, 3.0);

/// Largest number of machine types of a service that are told apart; further
/// ones count as of mean pace.
const MAX_MACHINE_TYPES: usize = 16;

/// `Pace` is how fast a worker runs tasks, relative to the mean of its service:
/// 2.0 takes half the time.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Pace(f64);

impl Pace {
    /// Pace of the mean worker, and of a worker about which nothing is known.
    pub const MEAN: Self = Self(1.0);

    /// Creates a pace from its value relative to the mean.
    pub fn new(relative: f64) -> Self {
        Self(if relative.is_finite() && relative > 0.0 {
            relative
        } else {
            1.0
        })
    }

    /// Gets the value relative to the mean.
    pub fn relative(self) -> f64 {
        self.0
    }

    /// Gets the time that a worker of this pace takes for what takes the mean
    /// worker `mean`.
    pub fn time_for(self, mean: Duration) -> Duration {
        scaled(mean, 1.0 / self.0)
    }

    /// Gets the time that the mean worker takes for what took a worker of this
    /// pace `took`.
    pub fn mean_time_of(self, took: Duration) -> Duration {
        scaled(took, self.0)
    }
}

/// Multiplies a time by a factor; the result is bounded, because declared times
/// can be of any size.
fn scaled(time: Duration, factor: f64) -> Duration {
    const MAX_TIME: Duration = Duration::from_secs(365 * 24 * 3600);
    let seconds = time.min(MAX_TIME).as_secs_f64() * factor;
    Duration::try_from_secs_f64(seconds).map_or(MAX_TIME, |time| time.min(MAX_TIME))
}

/// `PaceTable` holds the paces of the machine types of one service.
#[derive(Clone, Debug, Default)]
pub struct PaceTable {
    types: IndexMap<MachineType, TypePace>,
}

#[derive(Clone, Copy, Debug)]
struct TypePace {
    /// Moving average of the ratio of observed to expected run time.
    slowness: f64,
    runs: u32,
    /// Number of known workers of the type, which weighs it in the mean.
    workers: u32,
}

impl PaceTable {
    /// Records the ratio of the time that a run took to the time that was
    /// expected on the mean worker.
    pub fn record(&mut self, machine_type: &str, expected: Duration, took: Duration) {
        if expected.is_zero() {
            return;
        }
        let ratio = took.as_secs_f64() / expected.as_secs_f64();
        let ratio = ratio.clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1);
        let Some(known) = self.entry(machine_type) else {
            return;
        };
        known.runs = known.runs.saturating_add(1);
        // The first runs count equally, so that a start value does not last.
        let weight = TYPE_RUN_WEIGHT.max(1.0 / f64::from(known.runs));
        known.slowness += weight * (ratio - known.slowness);
    }

    /// Sets the numbers of workers by machine type, which weigh the types in the
    /// mean.
    pub fn set_workers<'a>(&mut self, counts: impl IntoIterator<Item = (&'a str, u32)>) {
        for known in self.types.values_mut() {
            known.workers = 0;
        }
        for (machine_type, count) in counts {
            if let Some(known) = self.entry(machine_type) {
                known.workers = count;
            }
        }
    }

    /// Gets the pace of a machine type.
    pub fn pace(&self, machine_type: &str) -> Pace {
        let known = self.types.get(machine_type);
        match known.filter(|known| known.is_known()) {
            Some(known) => Pace::new(known.speed() / self.mean_speed()),
            None => Pace::MEAN,
        }
    }

    /// Gets the slowest and the fastest pace of the types with workers; `None`
    /// unless at least two types are known.
    pub fn extremes(&self) -> Option<(Pace, Pace)> {
        let mean = self.mean_speed();
        let present = self.present().map(|known| known.speed() / mean);
        let speeds: Vec<f64> = present.collect();
        let slowest = speeds.iter().copied().reduce(f64::min)?;
        let fastest = speeds.iter().copied().reduce(f64::max)?;
        (speeds.len() > 1).then(|| (Pace::new(slowest), Pace::new(fastest)))
    }

    fn present(&self) -> impl Iterator<Item = &TypePace> {
        let types = self.types.values();
        types.filter(|known| known.is_known() && known.workers > 0)
    }

    /// Gets the mean speed over the workers of known types.
    fn mean_speed(&self) -> f64 {
        let workers: f64 = self.present().map(|known| f64::from(known.workers)).sum();
        let speeds = self.present();
        let total: f64 = speeds
            .map(|known| known.speed() * f64::from(known.workers))
            .sum();
        if workers > 0.0 { total / workers } else { 1.0 }
    }

    fn entry(&mut self, machine_type: &str) -> Option<&mut TypePace> {
        if self.types.len() >= MAX_MACHINE_TYPES && !self.types.contains_key(machine_type) {
            return None;
        }
        let entry = self.types.entry(machine_type.to_owned());
        Some(entry.or_insert(TypePace {
            slowness: 1.0,
            runs: 0,
            workers: 0,
        }))
    }
}

impl TypePace {
    fn is_known(&self) -> bool {
        self.runs >= MIN_TYPE_RUNS
    }

    fn speed(&self) -> f64 {
        1.0 / self.slowness
    }
}
