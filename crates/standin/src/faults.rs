//! Random fault injection of a stand-in.

use std::sync::{Mutex, MutexGuard, PoisonError};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::options::FaultPlan;

/// `ExchangeFault` is the fault injected into one exchange.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ExchangeFault {
    /// No fault.
    None,
    /// The connection is closed before the tasks start.
    CloseBeforeStart,
    /// The connection is closed after the tasks ran.
    CloseAfterRun,
    /// The exchange gets no answer.
    Silent,
    /// The answer has the id of another job.
    WrongAnswer,
}

/// `TaskFault` is the fault injected into one task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum TaskFault {
    /// No fault.
    None,
    /// The task ends with an error.
    Fail,
    /// The worker stops the task.
    Stop,
    /// The task runs ten times its length.
    Straggle,
}

/// `FaultInjector` draws faults with the probabilities of the current plan.
pub(crate) struct FaultInjector {
    state: Mutex<State>,
}

struct State {
    plan: FaultPlan,
    rng: ChaCha8Rng,
}

impl FaultInjector {
    /// Creates the fault injector of one stand-in.
    pub(crate) fn new(plan: FaultPlan, seed: u64) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Self {
            state: Mutex::new(State { plan, rng }),
        }
    }

    /// Replaces the fault plan.
    pub(crate) fn set_plan(&self, plan: FaultPlan) {
        self.lock().plan = plan;
    }

    /// Draws a number below `end`, or 0 if `end` is 0.
    pub(crate) fn random_below(&self, end: usize) -> usize {
        self.lock().rng.random_range(0..end.max(1))
    }

    /// Draws the fault of an exchange.
    pub(crate) fn draw_exchange_fault(&self) -> ExchangeFault {
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

    /// Draws the fault of a task.
    pub(crate) fn draw_task_fault(&self) -> TaskFault {
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
    /// Picks at most one value, each with its probability.
    fn pick<T: Copy>(&mut self, choices: &[(f64, T)]) -> Option<T> {
        let mut drawn: f64 = self.rng.random();
        for (probability, value) in choices {
            if drawn < *probability {
                return Some(*value);
            }
            drawn -= probability;
        }
        None
    }
}
