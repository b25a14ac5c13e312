//! The life cycle of a daemon, a state machine read from `charts/daemon.toml`.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use hornbeam_chart::{ChartDomain, StateMachine};
use hornbeam_core::Result;
use tokio::sync::watch;

/// `LifecycleState` is a state of the daemon's state chart.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LifecycleState {
    Starting,
    Ready,
    Draining,
    Stopped,
}

/// `LifecycleEvent` is an event of the daemon's state chart.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LifecycleEvent {
    Listening,
    Drain,
    Drained,
    Failed,
}

/// `DaemonChart` maps the names in the chart file to the enums.
#[derive(Clone, Copy, Debug)]
struct DaemonChart;

impl ChartDomain for DaemonChart {
    type State = LifecycleState;
    type Event = LifecycleEvent;

    const STATES: &'static [(&'static str, LifecycleState)] = &[
        ("starting", LifecycleState::Starting),
        ("ready", LifecycleState::Ready),
        ("draining", LifecycleState::Draining),
        ("stopped", LifecycleState::Stopped),
    ];
    const EVENTS: &'static [(&'static str, LifecycleEvent)] = &[
        ("listening", LifecycleEvent::Listening),
        ("drain", LifecycleEvent::Drain),
        ("drained", LifecycleEvent::Drained),
        ("failed", LifecycleEvent::Failed),
    ];
}

/// `Lifecycle` holds the state of one process and wakes the tasks that wait for
/// a state.
#[derive(Debug)]
pub struct Lifecycle {
    machine: StateMachine<DaemonChart>,
    state: watch::Sender<LifecycleState>,
    failed: AtomicBool,
}

impl Lifecycle {
    /// Parses the state chart.
    ///
    /// # Errors
    /// The findings of an invalid chart.
    pub(crate) fn new() -> Result<Self> {
        let machine = StateMachine::parse("daemon.toml", include_str!("../charts/daemon.toml"))?;
        let state = watch::Sender::new(machine.initial());
        Ok(Self {
            machine,
            state,
            failed: AtomicBool::new(false),
        })
    }

    /// Handles an event; returns whether the state changed.
    pub(crate) fn on(&self, event: LifecycleEvent) -> bool {
        self.state.send_if_modified(|state| {
            let Some(next) = self.machine.next(*state, event) else {
                return false;
            };
            if event == LifecycleEvent::Failed {
                self.failed.store(true, Ordering::Relaxed);
            }
            *state = next;
            true
        })
    }

    /// Gets the state.
    pub(crate) fn state(&self) -> LifecycleState {
        *self.state.borrow()
    }

    /// Whether the process ended, or ends, because of an error.
    pub(crate) fn has_failed(&self) -> bool {
        self.failed.load(Ordering::Relaxed)
    }

    /// Waits until the process drains or has stopped, and so refuses new work.
    pub(crate) async fn drain_started(&self) {
        let drain_started = |state: &LifecycleState| {
            matches!(state, LifecycleState::Draining | LifecycleState::Stopped)
        };
        self.wait_for(drain_started).await;
    }

    /// Waits for a future; `None` if the process starts to drain or stops
    /// before the future ends.
    pub(crate) async fn unless_draining<F: Future>(&self, future: F) -> Option<F::Output> {
        tokio::select! {
            biased;
            output = future => Some(output),
            () = self.drain_started() => None,
        }
    }

    /// Waits until the process is drained or has failed.
    pub(crate) async fn stopped(&self) {
        self.wait_for(|state| self.machine.is_final(*state)).await;
    }

    async fn wait_for(&self, condition: impl FnMut(&LifecycleState) -> bool) {
        let mut changes = self.state.subscribe();
        // The sender lives in `self`, so waiting cannot fail.
        let _ = changes.wait_for(condition).await;
    }
}

/// `FailOnDrop` ends the life cycle with an error when the task that holds it
/// ends before the drain is complete, for example by a panic. A host without its
/// event loop would otherwise answer nothing and never end.
#[derive(Debug)]
pub(crate) struct FailOnDrop {
    lifecycle: Arc<Lifecycle>,
}

impl FailOnDrop {
    /// Creates a guard.
    pub(crate) fn new(lifecycle: &Arc<Lifecycle>) -> Self {
        Self {
            lifecycle: Arc::clone(lifecycle),
        }
    }
}

impl Drop for FailOnDrop {
    fn drop(&mut self) {
        self.lifecycle.on(LifecycleEvent::Failed);
    }
}
