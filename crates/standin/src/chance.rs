//! Random choices of a stand-in.

use std::sync::{Mutex, MutexGuard, PoisonError};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::options::FaultPlan;

/// `ExchangeFault` is what goes wrong with one exchange.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ExchangeFault {
    /// Nothing.
    None,
    /// The connection is closed before the tasks start.
    CloseBeforeStart,
    /// The connection is closed after the tasks ran.
    CloseAfterRun,
    /// There is no answer.
    Silent,
    /// The answer names another job.
    WrongAnswer,
}

/// `TaskFault` is what goes wrong with one task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum TaskFault {
    /// Nothing.
    None,
    /// The task ends with an error.
    Fail,
    /// The worker stops the task.
    Stop,
    /// The task runs ten times its length.
    Straggle,
}

/// `Chance` draws faults by the plan that is in force.
pub(crate) struct Chance {
    state: Mutex<State>,
}

struct State {
    plan: FaultPlan,
    random: ChaCha8Rng,
}

impl Chance {
    /// Creates the choices of one stand-in.
    pub(crate) fn new(plan: FaultPlan, seed: u64) -> Self {
        let random = ChaCha8Rng::seed_from_u64(seed);
        Self {
            state: Mutex::new(State { plan, random }),
        }
    }

    /// Replaces the plan.
    pub(crate) fn set_plan(&self, plan: FaultPlan) {
        self.lock().plan = plan;
    }

    /// Draws a number below `end`, or 0 if `end` is 0.
    pub(crate) fn below(&self, end: usize) -> usize {
        self.lock().random.random_range(0..end.max(1))
    }

    /// Draws what goes wrong with an exchange.
    pub(crate) fn exchange(&self) -> ExchangeFault {
        let mut state = self.lock();
        let plan = state.plan.clone();
        state
            .pick(&[
                (plan.close_before_start, ExchangeFault::CloseBeforeStart),
                (plan.close_after_run, ExchangeFault::CloseAfterRun),
                (plan.silent, ExchangeFault::Silent),
                (plan.wrong_answer, ExchangeFault::WrongAnswer),
            ])
            .unwrap_or(ExchangeFault::None)
    }

    /// Draws what goes wrong with a task.
    pub(crate) fn task(&self) -> TaskFault {
        let mut state = self.lock();
        let plan = state.plan.clone();
        state
            .pick(&[
                (plan.fail, TaskFault::Fail),
                (plan.stop, TaskFault::Stop),
                (plan.straggle, TaskFault::Straggle),
            ])
            .unwrap_or(TaskFault::None)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Picks at most one entry, each with its probability.
    fn pick<T: Copy>(&mut self, entries: &[(f64, T)]) -> Option<T> {
        let mut drawn: f64 = self.random.random();
        for (probability, value) in entries {
            if drawn < *probability {
                return Some(*value);
            }
            drawn -= probability;
        }
        None
    }
}
