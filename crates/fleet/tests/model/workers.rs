//! Requests to the model's workers, and what happens on them.

use hornbeam_fleet::{
    PollOutcome, RunEnd, RunId, StartOutcome, StartRefusal, StartRequest, StopOutcome,
};

use super::Millis;
use super::network::{Event, HostLife, MessageKind, RequestResult, WorkerLife, WorkerRequest};
use super::reports::REPORT_INTERVAL_MS;
use super::site::{NEED_CPU_MILLI, Site, job_index};

const STOP_TIME_MS: Millis = 50;

/// Time after the acknowledgement of a drain from which no task may start.
const DRAIN_MS: Millis = 2000;

impl Site {
    pub(super) fn start_worker(&mut self, worker: usize) {
        if self.workers[worker].is_up {
            return;
        }
        let now = self.now;
        self.workers[worker].start(worker, now);
        self.note(|| format!("w{worker} starts"));
        let life = self.worker_life(worker);
        if life.life == 1 {
            return self.send_report(worker);
        }
        // Requests can reach a restarted worker long before its owner learns of it.
        let spread = now + 389 * worker as Millis + 613 * Millis::from(life.life);
        let first_report_at = now + spread % REPORT_INTERVAL_MS;
        self.network.at(first_report_at, Event::ReportDue(life, 0));
    }

    pub(super) fn leave(&mut self, life: WorkerLife) {
        if !self.is_current(life) || self.workers[life.worker].is_leaving {
            return;
        }
        self.workers[life.worker].is_leaving = true;
        let to = self.workers[life.worker].destination;
        let arrives = Event::DeregistrationArrives(to, life.worker);
        self.network
            .send(self.now, MessageKind::Deregistration, life.worker, arrives);
        self.network.at(self.now + 5, Event::Ends(life));
    }

    pub(super) fn worker_ends(&mut self, life: WorkerLife) {
        if !self.is_current(life) {
            return;
        }
        let worker = &mut self.workers[life.worker];
        worker.is_up = false;
        worker.runs.clear();
        let restarts_after = worker.restarts_after.unwrap_or(1000);
        self.note(|| format!("w{} ends", life.worker));
        let starts = Event::WorkerStarts(life.worker);
        self.network.at(self.now + restarts_after, starts);
    }

    pub(super) fn at_worker(
        &mut self,
        index: usize,
        from: HostLife,
        id: u64,
        request: WorkerRequest,
    ) {
        if !self.workers[index].is_up {
            let result = match request {
                WorkerRequest::Start(request) => RequestResult::Start(
                    request.target.worker_key,
                    request.run,
                    StartOutcome::NotSent,
                ),
                WorkerRequest::Stop(request) => RequestResult::Stop(
                    request.target.worker_key,
                    request.run,
                    StopOutcome::Unanswered,
                ),
                WorkerRequest::Poll { request, is_probe } => RequestResult::Poll(
                    request.target.worker_key,
                    PollOutcome::ConnectionRefused,
                    is_probe,
                ),
            };
            // A request that its sender has given up was on its way; a start of
            // it may not be taken for one that was not sent.
            let ended = Event::RequestEnded(from, id, result);
            return self.network.at(self.now + 1, ended);
        }
        match request {
            WorkerRequest::Start(request) => self.carry_out_start(index, from, id, &request),
            WorkerRequest::Stop(request) => {
                let outcome = match self.workers[index].carry_out_stop(&request) {
                    None => StopOutcome::Fenced,
                    Some(begins) => {
                        if begins {
                            let life = self.worker_life(index);
                            let stopped = Event::RunStopped(life, request.run);
                            let takes = self.network.draw(STOP_TIME_MS);
                            self.network.at(self.now + takes, stopped);
                        }
                        StopOutcome::Accepted
                    }
                };
                let result = RequestResult::Stop(request.target.worker_key, request.run, outcome);
                self.answer(index, MessageKind::StopAnswer, from, id, result);
            }
            WorkerRequest::Poll { request, is_probe } => {
                let now = self.now;
                if !self.workers[index].carry_out_poll(&request, now) {
                    let clock = self.workers[index].clock_ms(now);
                    let outcome = PollOutcome::Fenced(Some(clock));
                    let key = request.target.worker_key;
                    let result = RequestResult::Poll(key, outcome, is_probe);
                    return self.answer(index, MessageKind::PollAnswer, from, id, result);
                }
                self.schedule_lease_check(index);
                let wait = u64::try_from(request.wait.as_millis()).expect("a small time");
                let has_ends = !self.workers[index].ended.is_empty();
                let waiting = (from, request, is_probe);
                self.workers[index].waiting_polls.insert(id, waiting);
                if wait == 0 || has_ends {
                    self.answer_poll(index, id);
                } else {
                    let life = self.worker_life(index);
                    self.network.at(now + wait, Event::PollDue(life, id));
                }
            }
        }
    }

    pub(super) fn carry_out_start(
        &mut self,
        index: usize,
        from: HostLife,
        id: u64,
        request: &StartRequest,
    ) {
        let now = self.now;
        let run = request.run;
        let outcome = match self.workers[index].carry_out_start(request, NEED_CPU_MILLI, now) {
            Ok(is_new) => {
                if is_new {
                    self.run_started(index, run);
                } else {
                    // A repeated start extends the lease as well.
                    self.schedule_lease_check(index);
                }
                StartOutcome::Accepted(self.workers[index].clock_ms(now))
            }
            Err(refusal) => {
                if refusal != StartRefusal::Fenced {
                    self.schedule_lease_check(index);
                }
                StartOutcome::Refused(refusal)
            }
        };
        let result = RequestResult::Start(request.target.worker_key, run, outcome);
        self.answer(index, MessageKind::StartAnswer, from, id, result);
    }

    pub(super) fn answer(
        &mut self,
        worker: usize,
        kind: MessageKind,
        to: HostLife,
        id: u64,
        result: RequestResult,
    ) {
        let ended = Event::RequestEnded(to, id, result);
        self.network.send(self.now, kind, worker, ended);
    }

    pub(super) fn answer_poll(&mut self, worker: usize, id: u64) {
        let Some((to, request, is_probe)) = self.workers[worker].waiting_polls.remove(&id) else {
            return;
        };
        let response = self.workers[worker].poll_response(self.now);
        let outcome = PollOutcome::Answered(response);
        let result = RequestResult::Poll(request.target.worker_key, outcome, is_probe);
        self.answer(worker, MessageKind::PollAnswer, to, id, result);
    }

    pub(super) fn answer_waiting_polls(&mut self, worker: usize) {
        let waiting: Vec<u64> = self.workers[worker].waiting_polls.keys().copied().collect();
        for id in waiting {
            self.answer_poll(worker, id);
        }
    }

    pub(super) fn worker_life(&self, worker: usize) -> WorkerLife {
        WorkerLife {
            worker,
            life: self.workers[worker].life,
        }
    }

    pub(super) fn schedule_lease_check(&mut self, worker: usize) {
        let life = self.worker_life(worker);
        let at = self.workers[worker].lease_expires_at().max(self.now);
        self.network.at(at, Event::LeaseCheck(life));
    }

    pub(super) fn check_lease(&mut self, life: WorkerLife) {
        if !self.is_current(life) {
            return;
        }
        let now = self.now;
        let worker = &mut self.workers[life.worker];
        if worker.clock_ms(now) < worker.deadline_ms || worker.runs.is_empty() {
            return;
        }
        let runs: Vec<RunId> = worker.runs.keys().copied().collect();
        for run in &runs {
            worker.end_run(*run, RunEnd::Lost);
        }
        self.note(|| format!("lease of w{} expires with {runs:?}", life.worker));
        self.answer_waiting_polls(life.worker);
    }

    pub(super) fn run_started(&mut self, index: usize, run: RunId) {
        let now = self.now;
        self.starts += 1;
        self.note(|| format!("run {run} starts on w{index}"));
        for (other, worker) in self.workers.iter().enumerate() {
            let same = |active: &&RunId| (active.job, active.task) == (run.job, run.task);
            let same = worker.runs.keys().filter(same);
            let same: Vec<RunId> = same
                .copied()
                .filter(|a| (other, *a) != (index, run))
                .collect();
            if worker.is_up && !same.is_empty() {
                self.broken.push(format!(
                    "TWICE: {run} starts on w{index} at {now} while {same:?} is on w{other}"
                ));
            }
        }
        let acked_at = self.workers[index].drain_acked_at;
        if self.checks_drains && acked_at.is_some_and(|at| now > at + DRAIN_MS) {
            self.broken.push(format!(
                "DRAIN: {run} starts on w{index} at {now}, acknowledged at {acked_at:?}"
            ));
        }
        let life = self.worker_life(index);
        let Some(job) = self.jobs.get_mut(job_index(run.job)) else {
            self.broken.push(format!("UNASKED: {run} of no job"));
            return;
        };
        job.has_started = true;
        let done_at = now + job.work_ms;
        self.network.at(done_at, Event::RunDone(life, run));
        self.schedule_lease_check(index);
    }

    pub(super) fn run_done(&mut self, worker: usize, run: RunId) {
        self.note(|| format!("run {run} on w{worker} is done"));
        if let Some(job) = self.jobs.get_mut(job_index(run.job)) {
            job.done[run.task as usize] = true;
        }
    }
}
