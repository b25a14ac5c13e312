//! A guarded worker that does what the protocol says and no more.

use std::collections::{BTreeMap, HashMap};

use hornbeam_fleet::{
    EndedRun, FencingToken, PollRequest, PollResponse, RunEnd, RunId, RunProgress, StartRefusal,
    StartRequest, StopRequest,
};

use super::Millis;
use super::network::{Destination, HostLife};

/// Longest lease.
pub const MAX_LEASE_MS: u64 = 1000;

/// CPU of a worker.
pub const FULL_CPU_MILLI: u32 = 16_000;

/// `Worker` is a worker, through all its incarnations.
#[derive(Debug)]
pub struct Worker {
    pub life: u32,
    pub is_up: bool,
    pub born: Millis,
    /// Rate of the clock in thousandths.
    pub clock_rate: u64,
    pub cpu_milli: u32,
    pub fence: FencingToken,
    pub deadline_ms: u64,
    pub runs: BTreeMap<RunId, ActiveRun>,
    /// Highest attempt of a task that was stopped or has ended.
    floors: HashMap<(u64, u32), u32>,
    pub ended: Vec<EndedRun>,
    last_end: u64,
    pub waiting_polls: BTreeMap<u64, (HostLife, PollRequest, bool)>,
    pub draining: bool,
    pub drain_acked_at: Option<Millis>,
    pub reports: u64,
    pub awaited_report: Option<u64>,
    pub destination: Destination,
    pub restarts_after: Option<Millis>,
    pub is_leaving: bool,
}

/// `ActiveRun` is a run on a worker.
#[derive(Clone, Copy, Debug)]
pub struct ActiveRun {
    pub started: Millis,
    pub is_stopping: bool,
}

impl Worker {
    pub fn new(index: usize) -> Self {
        Self {
            life: 0,
            is_up: false,
            born: 0,
            clock_rate: 1000 - 20 * (index as u64 % 2),
            cpu_milli: FULL_CPU_MILLI,
            fence: FencingToken(0),
            deadline_ms: 0,
            runs: BTreeMap::new(),
            floors: HashMap::new(),
            ended: Vec::new(),
            last_end: 0,
            waiting_polls: BTreeMap::new(),
            draining: false,
            drain_acked_at: None,
            reports: 0,
            awaited_report: None,
            destination: Destination::Control(0),
            restarts_after: None,
            is_leaving: false,
        }
    }

    /// Starts the next incarnation, which knows nothing of the former one.
    pub fn start(&mut self, index: usize, now: Millis) {
        let life = self.life + 1;
        *self = Self {
            life,
            is_up: true,
            born: now,
            destination: Destination::Control(index % 2),
            ..Self::new(index)
        };
    }

    pub fn clock_ms(&self, now: Millis) -> u64 {
        (now - self.born) * self.clock_rate / 1000
    }

    /// Gets the time at which the clock shows the end of the lease.
    pub fn lease_expires_at(&self) -> Millis {
        self.born + (self.deadline_ms * 1000).div_ceil(self.clock_rate)
    }

    fn sees(&mut self, fence: FencingToken) -> bool {
        if fence < self.fence {
            return false;
        }
        self.fence = fence;
        true
    }

    /// Carries out a start; true if the run is new.
    pub fn carry_out_start(
        &mut self,
        request: &StartRequest,
        need_cpu_milli: u32,
        now: Millis,
    ) -> Result<bool, StartRefusal> {
        let clock = self.clock_ms(now);
        if !self.sees(request.target.fencing_token) {
            return Err(StartRefusal::Fenced);
        }
        if request.lease_end_ms <= clock {
            return Err(StartRefusal::LeaseExpired);
        }
        self.extend(request.lease_end_ms, clock);
        let run = request.run;
        if self.runs.contains_key(&run) {
            return Ok(false);
        }
        let of_task = |other: &&RunId| (other.job, other.task) == (run.job, run.task);
        let floor = self.floors.get(&(run.job, run.task)).copied();
        let is_stale = floor.is_some_and(|floor| run.attempt <= floor)
            || self.runs.keys().any(|other| of_task(&other));
        if is_stale {
            return Err(StartRefusal::StaleAttempt);
        }
        let used = need_cpu_milli * u32::try_from(self.runs.len()).expect("few runs");
        if used + need_cpu_milli > self.cpu_milli {
            return Err(StartRefusal::InsufficientResources);
        }
        let active = ActiveRun {
            started: now,
            is_stopping: false,
        };
        self.runs.insert(run, active);
        Ok(true)
    }

    /// Carries out a stop; `None` if the token is too low, true if a run begins to
    /// end.
    pub fn carry_out_stop(&mut self, request: &StopRequest) -> Option<bool> {
        if !self.sees(request.target.fencing_token) {
            return None;
        }
        self.raise_floor(request.run);
        let Some(run) = self.runs.get_mut(&request.run) else {
            return Some(false);
        };
        let begins = !run.is_stopping;
        run.is_stopping = true;
        Some(begins)
    }

    /// Carries out a poll up to its wait; false if the token is too low.
    pub fn carry_out_poll(&mut self, request: &PollRequest, now: Millis) -> bool {
        if !self.sees(request.target.fencing_token) {
            return false;
        }
        let acknowledged = request.acknowledged;
        self.ended.retain(|end| end.sequence > acknowledged);
        if let Some(lease_end_ms) = request.lease_end_ms {
            self.extend(lease_end_ms, self.clock_ms(now));
        }
        true
    }

    fn extend(&mut self, lease_end_ms: u64, clock: u64) {
        let end = lease_end_ms.min(clock + MAX_LEASE_MS);
        self.deadline_ms = self.deadline_ms.max(end);
    }

    fn raise_floor(&mut self, run: RunId) {
        let floor = self.floors.entry((run.job, run.task)).or_default();
        *floor = (*floor).max(run.attempt);
    }

    /// Ends a run; false if it is not there.
    pub fn end_run(&mut self, run: RunId, end: RunEnd) -> bool {
        if self.runs.remove(&run).is_none() {
            return false;
        }
        self.raise_floor(run);
        self.last_end += 1;
        self.ended.push(EndedRun {
            sequence: self.last_end,
            run: Some(run),
            end,
        });
        true
    }

    pub fn poll_response(&self, now: Millis) -> PollResponse {
        let progress = |run: &RunId| RunProgress {
            run: *run,
            done_percent: 50,
        };
        PollResponse {
            clock_ms: self.clock_ms(now),
            born_unix_ms: Some(self.born_unix_ms()),
            running: self.runs.keys().map(progress).collect(),
            ended: self.ended.clone(),
        }
    }

    pub fn born_unix_ms(&self) -> u64 {
        crate::common::UNIX_MS + self.born
    }
}
