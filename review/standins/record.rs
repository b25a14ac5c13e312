//! What was sent, answered and run, in the order of time.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// `Run` is one run of a task on a worker, on the harness's clock.
#[derive(Clone, Debug)]
pub struct Run {
    pub task: String,
    pub attempt: u64,
    pub worker: String,
    pub started: Duration,
    pub ended: Option<(Duration, &'static str)>,
}

/// `Record` collects lines and runs.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    state: Arc<Mutex<State>>,
}

struct State {
    file: File,
    runs: Vec<Run>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("record.txt can be written");
        let state = State {
            file,
            runs: Vec::new(),
        };
        Self {
            start: Instant::now(),
            state: Arc::new(Mutex::new(state)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.now().as_secs_f64();
        let _ = writeln!(self.lock().file, "{at:9.3} {}", text.as_ref());
    }

    pub fn run_started(&self, task: &str, attempt: u64, worker: &str) -> usize {
        self.line(format!(
            "run    {task} attempt {attempt} starts on {worker}"
        ));
        let started = self.now();
        let mut state = self.lock();
        state.runs.push(Run {
            task: task.to_owned(),
            attempt,
            worker: worker.to_owned(),
            started,
            ended: None,
        });
        state.runs.len() - 1
    }

    pub fn run_ended(&self, at: usize, how: &'static str) {
        let ended = self.now();
        let run = {
            let mut state = self.lock();
            state.runs[at].ended = Some((ended, how));
            state.runs[at].clone()
        };
        let (task, attempt, worker) = (&run.task, run.attempt, &run.worker);
        self.line(format!(
            "run    {task} attempt {attempt} ends on {worker}: {how}"
        ));
    }

    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }
}
