//! Callers that send a job again if they get no result.

use std::sync::Arc;
use std::time::Duration;

use hornbeam_fleet::{CallId, FleetInput, JobOutcome, Resources, Submission};

use super::Millis;
use super::hosts::SLOWEST_READ_MS;
use super::network::{Event, MessageKind};
use super::site::{HOSTS, NEED_CPU_MILLI, Site, job_key};

/// Time for which a caller waits.
pub const CALLER_TIMEOUT_MS: Millis = 1500;

/// Time after a missing result at which a caller sends its job again.
pub const RETRY_DELAY_MS: Millis = 1300;

/// Number of times that a job is sent.
pub const MAX_SENDS: u32 = 3;

/// `ModelJob` is a job of the load.
#[derive(Debug)]
pub struct ModelJob {
    pub tasks: u32,
    pub work_ms: Millis,
    pub sends: u32,
    /// Call in progress.
    pub call: Option<CallId>,
    pub outcome: Option<JobOutcome>,
    /// Whether each call so far was answered as not run.
    pub all_refused: bool,
    /// Tasks that have ended with a result.
    pub done: Vec<bool>,
    /// Whether a run has started.
    pub has_started: bool,
}

impl ModelJob {
    pub(super) fn new(tasks: u32, work_ms: Millis) -> Self {
        Self {
            tasks,
            work_ms,
            sends: 0,
            call: None,
            outcome: None,
            all_refused: true,
            done: vec![false; tasks as usize],
            has_started: false,
        }
    }
}

impl Site {
    pub(super) fn caller_sends(&mut self, index: usize) {
        self.last_call += 1;
        let call = self.last_call;
        let first = usize::try_from(self.network.draw(HOSTS as u64)).expect("a small number");
        let sends = self.jobs[index].sends as usize;
        let is_up = |host: &usize| self.hosts[*host].fleet.is_some();
        let order = (0..HOSTS).map(|step| (first + sends + step) % HOSTS);
        let Some(host) = order.into_iter().find(is_up) else {
            return self.network.at(self.now + 200, Event::CallerSends(index));
        };
        let job = &mut self.jobs[index];
        job.sends += 1;
        job.call = Some(call);
        self.calls.insert(call, (index, host));
        self.note(|| format!("caller sends job {:x} to host {host}", job_key(index)));
        let arrives = Event::JobArrives(host, call);
        self.network
            .send(self.now, MessageKind::Submission, host, arrives);
        let timeout = Event::CallerTimeout(call);
        self.network.at(self.now + CALLER_TIMEOUT_MS + 50, timeout);
    }

    pub(super) fn job_arrives(&mut self, host: usize, call: CallId) {
        let Some((index, _)) = self.calls.get(&call).copied() else {
            return;
        };
        if self.is_frozen(host) {
            let at = self.hosts[host].frozen_until;
            return self.network.at(at, Event::JobArrives(host, call));
        }
        let job = &self.jobs[index];
        if job.call != Some(call) {
            // The caller has closed its connection, which the host sees before it
            // submits the job.
            return;
        }
        let submission = Submission {
            job: job_key(index),
            queue: "orders".into(),
            spec: Arc::from("work"),
            tasks: job.tasks,
            need: Resources {
                cpu_milli: NEED_CPU_MILLI,
                memory_mb: 64,
                accelerators: 0,
            },
            estimate: Duration::from_millis(job.work_ms),
            timeout: Duration::from_millis(CALLER_TIMEOUT_MS),
        };
        self.step(host, FleetInput::Submitted(call, submission));
    }

    pub(super) fn job_answered(&mut self, call: CallId, outcome: JobOutcome) {
        let Some((index, _)) = self.calls.get(&call).copied() else {
            return;
        };
        self.note(|| format!("job {:x} is answered {outcome:?}", job_key(index)));
        let job = &mut self.jobs[index];
        if outcome == JobOutcome::Completed && job.done.iter().any(|done| !done) {
            self.broken.push(format!(
                "MIXED: job {:x} is completed, its tasks are done: {:?}",
                job_key(index),
                job.done
            ));
        }
        if job.call != Some(call) {
            return;
        }
        job.call = None;
        if outcome == JobOutcome::TimedOut {
            job.all_refused = false;
            self.caller_retries(index);
        } else {
            job.all_refused &= matches!(outcome, JobOutcome::NotRun(_));
            job.outcome = Some(outcome);
        }
    }

    /// Resets the connections of the callers of a host. One that stands still reads
    /// them one after the other when it runs again.
    pub(super) fn reset_callers(&mut self, host: usize) {
        let calls = self.calls.iter().filter(|(_, (_, at))| *at == host);
        let mut calls: Vec<CallId> = calls.map(|(call, _)| *call).collect();
        calls.sort_unstable();
        for call in calls {
            self.caller_leaves(call, call % 4 * SLOWEST_READ_MS / 3);
        }
    }

    /// Handles a caller that closes its connection. A host that stands still reads
    /// that `read_delay_ms` after it runs again.
    pub(super) fn caller_leaves(&mut self, call: CallId, read_delay_ms: Millis) {
        let Some((index, host)) = self.calls.get(&call).copied() else {
            return;
        };
        if self.jobs[index].call != Some(call) {
            return;
        }
        self.jobs[index].call = None;
        self.jobs[index].all_refused = false;
        if self.hosts[host].fleet.is_some() {
            let gone = FleetInput::CallerDisconnected(call, job_key(index));
            if self.is_frozen(host) {
                let at = self.hosts[host].frozen_until + read_delay_ms;
                self.network.at(at, Event::CallerGone(host, call));
            } else {
                self.step(host, gone);
            }
        }
        self.caller_retries(index);
    }

    pub(super) fn caller_retries(&mut self, index: usize) {
        if self.jobs[index].sends < MAX_SENDS {
            let again = Event::CallerSends(index);
            self.network.at(self.now + RETRY_DELAY_MS, again);
        }
    }

    pub(super) fn check_jobs(&mut self) {
        for (index, job) in self.jobs.iter().enumerate() {
            if job.sends > 0 && job.call.is_some() {
                self.broken.push(format!(
                    "LOST: job {:x} got no answer and its caller still waits",
                    job_key(index)
                ));
            }
            if job.all_refused && job.outcome.is_some() && job.has_started {
                self.broken.push(format!(
                    "REFUSED: job {:x} was refused as not run, and has run",
                    job_key(index)
                ));
            }
        }
    }
}
