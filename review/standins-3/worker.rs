//! A stand-in minion, as "Running tasks" and "Service discovery" of `PROTOCOL.md`
//! describe it. Its tasks work for the time that their spec names in ms.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::net::{self, Json, Message};
use crate::system::{Record, SERVICE, word};

/// Longest lease (`maxHoldMs`).
const MAX_HOLD_MS: u64 = 1000;

/// Time that a stop takes (at most `stopMs` = 50).
const STOP_TIME: Duration = Duration::from_millis(20);

/// Interval of status reports (`heartbeatMs`).
const REPORT_INTERVAL: Duration = Duration::from_millis(1500);

/// Time after which a status report has no answer.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1000);

/// `Run` is a run as its minion has seen it. Times are those of the record.
#[derive(Clone, Debug)]
pub struct Run {
    pub task: String,
    pub attempt: u64,
    pub worker: String,
    pub started_ms: u64,
    pub ended_ms: Option<u64>,
    pub end: &'static str,
    /// Generation number of the start.
    pub fence: u64,
}

pub type Runs = Arc<Mutex<Vec<Run>>>;

struct Active {
    index: usize,
    attempt: u64,
    cpu: u64,
    started: Instant,
    work: Duration,
    stop_at: Option<Instant>,
    /// Whether it fails at its end.
    fails: bool,
}

#[derive(Default)]
struct State {
    fence: u64,
    lease_end_ms: u64,
    running: HashMap<String, Active>,
    highest: HashMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    is_draining: bool,
    report_at: Option<Instant>,
    owner: Option<SocketAddr>,
    /// Time after which the next task that starts fails.
    fail_next_after: Option<Duration>,
    /// IP addresses of the hosts to which the path is cut.
    cut_from: Vec<String>,
}

/// `Worker` is a stand-in minion.
pub struct Worker {
    pub id: String,
    zone: String,
    address: SocketAddr,
    cpu: u64,
    task_cpu: u64,
    born: u64,
    start: Instant,
    state: Mutex<State>,
    changed: Condvar,
    runs: Runs,
    record: Record,
    control: Vec<SocketAddr>,
    /// Times at which a status report that says `draining` was acknowledged.
    pub drain_acks: Mutex<Vec<u64>>,
}

impl Worker {
    pub fn start(
        index: usize,
        (zone, address): (&str, SocketAddr),
        (cpu, task_cpu): (u64, u64),
        control: Vec<SocketAddr>,
        runs: &Runs,
        record: &Record,
    ) -> Arc<Self> {
        let born = std::time::UNIX_EPOCH.elapsed().expect("a clock after 1970");
        let worker = Arc::new(Self {
            id: format!("i-{index:08x}"),
            zone: zone.to_owned(),
            address,
            cpu,
            task_cpu,
            born: born.as_millis() as u64,
            start: Instant::now(),
            state: Mutex::default(),
            changed: Condvar::new(),
            runs: Arc::clone(runs),
            record: record.clone(),
            control,
            drain_acks: Mutex::default(),
        });
        let server = Arc::clone(&worker);
        net::serve(address, move |request| server.answer(request)).expect("the address is free");
        let ender = Arc::clone(&worker);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(1));
                ender.end_due();
            }
        });
        let reporter = Arc::clone(&worker);
        std::thread::spawn(move || reporter.report());
        worker
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    fn clock_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Gets the generation number that the minion has seen last.
    pub fn fence(&self) -> u64 {
        self.lock().fence
    }

    /// Gets the start of the incarnation, in ms since 1970.
    pub fn born(&self) -> u64 {
        self.born
    }

    /// Reports `draining` from now on, at once.
    pub fn drain(&self) {
        let mut state = self.lock();
        state.is_draining = true;
        state.report_at = Some(Instant::now());
    }

    /// Sends the next status report after this time.
    pub fn report_after(&self, delay: Duration) {
        self.lock().report_at = Some(Instant::now() + delay);
    }

    /// Cuts the path to these hosts, silently and in both directions.
    pub fn cut_from(&self, ips: &[String]) {
        self.lock().cut_from = ips.to_vec();
    }

    /// Lets the next task that starts fail after a time.
    pub fn fail_next_after(&self, after: Duration) {
        self.lock().fail_next_after = Some(after);
    }

    /// Whether a request comes from a host to which the path is cut. The low bits of a
    /// generation number tell its holder; the number 0 is that of a host that has no
    /// number for this minion yet.
    fn is_cut(&self, fence: u64) -> bool {
        let state = self.lock();
        let is_of = |ip: &String| holder(fence) == low_bits(ip) || fence == 0;
        state.cut_from.iter().any(is_of)
    }

    fn answer(&self, request: &Message) -> Option<(u16, String)> {
        let Some(body) = request.json() else {
            return Some((400, "{}".to_owned()));
        };
        let fence = body.number("fence").unwrap_or(0);
        if self.is_cut(fence) {
            return None;
        }
        let expected = request.headers.get("x-expected-instance");
        if expected.is_some_and(|id| *id != self.id) {
            return Some((421, "{}".to_owned()));
        }
        match request.path() {
            "/run-start" => Some(self.reply(self.start_run(&body, fence))),
            "/run-stop" => Some(self.reply(self.stop_run(&body, fence))),
            "/hold" => Some(self.hold(&body, fence)),
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn reply(&self, (status, reason): (u16, &str)) -> (u16, String) {
        let clock_ms = self.clock_ms();
        let reason = if reason.is_empty() {
            String::new()
        } else {
            format!(",\"reason\":\"{reason}\"")
        };
        (status, format!("{{\"clockMs\":{clock_ms}{reason}}}"))
    }

    /// Takes a generation number and a lease; false if the number is too low.
    fn take(&self, state: &mut State, body: &Json, fence: u64) -> bool {
        if fence < state.fence {
            return false;
        }
        state.fence = fence;
        if let Some(end) = body.number("deadlineMs") {
            let longest = self.clock_ms() + MAX_HOLD_MS;
            state.lease_end_ms = state.lease_end_ms.max(end.min(longest));
        }
        true
    }

    fn start_run(&self, body: &Json, fence: u64) -> (u16, &'static str) {
        let (Some(task), Some(attempt)) = (body.text("task"), body.number("attempt")) else {
            return (400, "");
        };
        let work_ms = body.text("spec").and_then(|spec| spec.parse().ok());
        let Some(work_ms) = work_ms else {
            return (400, "");
        };
        let mut state = self.lock();
        if !self.take(&mut state, body, fence) {
            return (409, "fence");
        }
        if body
            .number("deadlineMs")
            .is_some_and(|end| end <= self.clock_ms())
        {
            return (409, "late");
        }
        if let Some(run) = state.running.get(task)
            && run.attempt == attempt
        {
            return (200, "");
        }
        if attempt <= state.highest.get(task).copied().unwrap_or(0) {
            return (409, "old");
        }
        let used: u64 = state.running.values().map(|run| run.cpu).sum();
        if used + self.task_cpu > self.cpu {
            return (409, "room");
        }
        state.highest.insert(task.to_owned(), attempt);
        let mut runs = self.runs.lock().expect("no holder panics");
        let started_ms = self.record.ms();
        runs.push(Run {
            task: task.to_owned(),
            attempt,
            worker: self.id.clone(),
            started_ms,
            ended_ms: None,
            end: "",
            fence,
        });
        self.record.write(&format!(
            "run {task} attempt {attempt} starts on {} by the host with number {fence} ({})",
            self.id,
            holder(fence)
        ));
        let failure = state.fail_next_after.take();
        let run = Active {
            index: runs.len() - 1,
            attempt,
            cpu: self.task_cpu,
            started: Instant::now(),
            work: failure.unwrap_or(Duration::from_millis(work_ms)),
            fails: failure.is_some(),
            stop_at: None,
        };
        state.running.insert(task.to_owned(), run);
        (200, "")
    }

    fn stop_run(&self, body: &Json, fence: u64) -> (u16, &'static str) {
        let (Some(task), Some(attempt)) = (body.text("task"), body.number("attempt")) else {
            return (400, "");
        };
        let mut state = self.lock();
        if !self.take(&mut state, body, fence) {
            return (409, "fence");
        }
        let highest = state.highest.entry(task.to_owned()).or_default();
        *highest = (*highest).max(attempt);
        if let Some(run) = state.running.get_mut(task)
            && run.attempt <= attempt
        {
            run.stop_at.get_or_insert(Instant::now() + STOP_TIME);
        }
        (200, "")
    }

    fn hold(&self, body: &Json, fence: u64) -> (u16, String) {
        let mut state = self.lock();
        if !self.take(&mut state, body, fence) {
            return self.reply((409, "fence"));
        }
        let observed = body.number("observed").unwrap_or(0);
        state.ended.retain(|(number, ..)| *number > observed);
        let until = Instant::now() + Duration::from_millis(body.number("waitMs").unwrap_or(0));
        while state.ended.is_empty() {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self
                .changed
                .wait_timeout(state, left)
                .expect("no holder panics")
                .0;
        }
        let running = state.running.iter().map(|(task, run)| {
            let share = run.started.elapsed().as_secs_f64() / run.work.as_secs_f64().max(0.001);
            let percent = (share * 100.0).min(99.0) as u64;
            format!("[\"{task}\",{},\"\",{percent},{}]", run.attempt, run.cpu)
        });
        let running: Vec<String> = running.collect();
        let ended = state.ended.iter().map(|(number, task, attempt, how)| {
            format!("[{number},\"{task}\",{attempt},\"{how}\",\"\"]")
        });
        let ended: Vec<String> = ended.collect();
        let text = format!(
            "{{\"clockMs\":{},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
            self.clock_ms(),
            self.born,
            running.join(","),
            ended.join(",")
        );
        (200, text)
    }

    fn end_due(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        let has_lapsed = self.clock_ms() > state.lease_end_ms;
        let due = state.running.iter().filter_map(|(task, run)| {
            let how = match run.stop_at {
                _ if has_lapsed => "lapsed",
                Some(at) if at <= now => "stopped",
                _ if run.started + run.work <= now && run.fails => "failed",
                _ if run.started + run.work <= now => "done",
                _ => return None,
            };
            Some((task.clone(), how))
        });
        let due: Vec<(String, &'static str)> = due.collect();
        for (task, how) in due {
            let Some(run) = state.running.remove(&task) else {
                continue;
            };
            state.last_end += 1;
            let number = state.last_end;
            state.ended.push((number, task.clone(), run.attempt, how));
            let ended_ms = self.record.ms();
            let mut runs = self.runs.lock().expect("no holder panics");
            runs[run.index].ended_ms = Some(ended_ms);
            runs[run.index].end = how;
            self.record.write(&format!(
                "run {task} attempt {} ends on {}: {how}",
                run.attempt, self.id
            ));
            self.changed.notify_all();
        }
    }

    /// Sends status reports: to the address that the last answer named, and after a
    /// failure to a control host.
    fn report(&self) {
        let mut next_control = 0;
        for seq in 1_u64.. {
            let (to, state, is_cut) = {
                let state = self.lock();
                let to = state
                    .owner
                    .unwrap_or(self.control[next_control % self.control.len()]);
                let is_cut = state.cut_from.contains(&to.ip().to_string());
                (
                    to,
                    if state.is_draining {
                        "draining"
                    } else {
                        "ready"
                    },
                    is_cut,
                )
            };
            let body = report_body(
                SERVICE,
                self.address,
                &self.zone,
                state,
                (self.cpu, self.clock_ms()),
                (seq, self.born),
            );
            let path = format!("/instances/{}/heartbeat", self.id);
            let answer = if is_cut {
                std::thread::sleep(REPORT_TIMEOUT);
                Err(std::io::ErrorKind::TimedOut.into())
            } else {
                net::call(to, "POST", &path, "", &body, REPORT_TIMEOUT)
            };
            let status = answer.as_ref().map_or(0, Message::status);
            let next = answer.ok().filter(|_| status == 200);
            let next = next.map(|answer| {
                answer
                    .json()
                    .and_then(|body| Some(body.text("heartbeatAddr")?.to_owned()))
            });
            self.record.write(&format!(
                "{} reports {state} (seq {seq}) to {to}: {}{}",
                self.id,
                word(status),
                next.clone()
                    .flatten()
                    .map_or(String::new(), |at| format!(", next to {at}"))
            ));
            let mut guard = self.lock();
            match next {
                Some(address) => {
                    if state == "draining" {
                        self.drain_acks
                            .lock()
                            .expect("no holder panics")
                            .push(self.record.ms());
                    }
                    if let Some(address) = address {
                        guard.owner = address.parse().ok();
                    }
                    guard.report_at = Some(Instant::now() + REPORT_INTERVAL);
                }
                None => {
                    // It calls the control host that answered last, and another one
                    // if that fails.
                    if guard.owner.take().is_none() {
                        next_control += 1;
                    }
                    guard.report_at = Some(Instant::now());
                }
            }
            drop(guard);
            if status != 200 {
                std::thread::sleep(Duration::from_millis(20));
            }
            while self.lock().report_at.is_some_and(|at| at > Instant::now()) {
                std::thread::sleep(Duration::from_millis(2));
            }
        }
    }
}

/// Builds a status report.
pub fn report_body(
    service: &str,
    address: SocketAddr,
    zone: &str,
    state: &str,
    (cpu, clock_ms): (u64, u64),
    (seq, born): (u64, u64),
) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":8,\"state\":\"{state}\",\"coldRemainingMs\":0,\"capacity\":{{\"cpu\":{cpu},\"memMb\":65536,\"gpus\":0}},\"labels\":[\"a\",\"r1-3\"],\"clockMs\":{clock_ms},\"seq\":{seq},\"born\":{born}}}"
    )
}

/// Gets the part of a generation number that tells its holder.
pub fn holder(fence: u64) -> u64 {
    fence & 0xff_ffff
}

/// Gets the same part for a host, the last 24 bits of its address.
pub fn low_bits(ip: &str) -> u64 {
    let parts = ip
        .split('.')
        .skip(1)
        .filter_map(|part| part.parse::<u64>().ok());
    parts.fold(0, |bits, part| bits << 8 | part)
}
