//! A stand-in worker that follows the page on running tasks and on service
//! discovery. One value is one life of the worker.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Channel, Message};
use crate::record::Record;

/// Longest lease that a worker grants (`maxHoldMs`).
const MAX_HOLD_MS: u64 = 1000;
/// Time that a stop takes; the pages allow 50 ms.
const STOP_TIME: Duration = Duration::from_millis(20);
/// Time between two status reports (`heartbeatMs`).
const REPORT_INTERVAL: Duration = Duration::from_millis(1500);
/// Time within which a report must be acknowledged.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time until TCP sends a packet again for the first time.
const FIRST_RETRANSMISSION: Duration = Duration::from_millis(200);

/// Round trip between two zones. TCP sends the bytes that were held up first, and
/// the end of the channel after their acknowledgement.
const ROUND_TRIP: Duration = Duration::from_millis(3);

#[derive(Clone)]
pub struct Options {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub cpu: u64,
    pub address: SocketAddr,
    /// Control hosts, in the order in which they are called.
    pub controls: Vec<SocketAddr>,
    /// Until when a control host's path from this worker is cut; what the worker
    /// sends to it in the meantime arrives `late_by` after the end of the cut.
    pub cut_control: Option<CutControl>,
}

#[derive(Clone, Copy)]
pub struct CutControl {
    pub address: SocketAddr,
    pub until: Instant,
    pub late_by: Duration,
}

pub struct Worker {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

pub struct Shared {
    options: Options,
    record: Record,
    started: Instant,
    born: u64,
    alive: AtomicBool,
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Default)]
struct State {
    fence: u64,
    lease_end_ms: u64,
    draining: bool,
    drain_acked: Option<Instant>,
    /// Until when the worker is cut off from all machines.
    cut_until: Option<Instant>,
    running: HashMap<String, Running>,
    highest: HashMap<String, u64>,
    finished: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    sequence: u64,
    owner: Option<SocketAddr>,
    channel: Option<Channel>,
    connections: Vec<Connection>,
}

/// `Connection` is one accepted channel.
struct Connection {
    stream: TcpStream,
    flags: Arc<ChannelFlags>,
}

#[derive(Default)]
struct ChannelFlags {
    /// Whether a request has arrived that is not answered yet.
    is_busy: AtomicBool,
    /// Whether the channel has gone silent for good.
    is_silent: AtomicBool,
    is_closed: AtomicBool,
}

struct Running {
    attempt: u64,
    record: usize,
    started: Instant,
    work: Duration,
    cpu: u64,
    stop_at: Option<Instant>,
}

impl Worker {
    pub fn start(options: Options, record: Record, cut_until: Option<Instant>) -> Self {
        let listener = bind(options.address);
        listener.set_nonblocking(true).expect("a listener");
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .expect("a time");
        record.line(format!("worker {} starts its life", options.id));
        let shared = Arc::new(Shared {
            options,
            record,
            started: Instant::now(),
            born: born.as_millis() as u64,
            alive: AtomicBool::new(true),
            state: Mutex::new(State {
                cut_until,
                ..State::default()
            }),
            changed: Condvar::new(),
        });
        let mut threads = Vec::new();
        let accepting = Arc::clone(&shared);
        threads.push(thread::spawn(move || accepting.accept(&listener)));
        let ending = Arc::clone(&shared);
        threads.push(thread::spawn(move || ending.end_runs()));
        let reporting = Arc::clone(&shared);
        threads.push(thread::spawn(move || reporting.send_reports()));
        Self { shared, threads }
    }

    /// Says from now on that it drains, at once for the first time.
    pub fn drain(&self) {
        self.shared
            .record
            .line(format!("worker {} is to leave", self.id()));
        self.shared.lock().draining = true;
        self.shared.changed.notify_all();
    }

    /// Gets the time at which a report with `draining` was acknowledged.
    pub fn drain_acked(&self) -> Option<Instant> {
        self.shared.lock().drain_acked
    }

    pub fn id(&self) -> &str {
        &self.shared.options.id
    }

    /// Lets the open channels that carry no request go silent for good; new ones
    /// work. Returns how many were silenced, and how many work on.
    pub fn silence_idle_channels(&self) -> (usize, usize) {
        let mut state = self.shared.lock();
        state
            .connections
            .retain(|connection| !connection.flags.is_closed.load(Ordering::SeqCst));
        let is_idle = |connection: &&Connection| !connection.flags.is_busy.load(Ordering::SeqCst);
        let idle = state.connections.iter().filter(is_idle);
        let silenced = idle
            .map(|connection| connection.flags.is_silent.store(true, Ordering::SeqCst))
            .count();
        (silenced, state.connections.len() - silenced)
    }

    /// Counts the open channels.
    pub fn channels(&self) -> usize {
        let state = self.shared.lock();
        let connections = state.connections.iter();
        let open =
            connections.filter(|connection| !connection.flags.is_closed.load(Ordering::SeqCst));
        open.count()
    }

    /// Whether the worker runs a task.
    pub fn runs(&self, task: &str) -> bool {
        self.shared.lock().running.contains_key(task)
    }

    /// Cuts the worker off from all machines.
    pub fn cut_until(&self, until: Instant) {
        self.shared.lock().cut_until = Some(until);
    }

    /// Sends the deregistration to the address of its reports. Without a cut it
    /// returns true when that was acknowledged. With one, the open channel is
    /// returned on which the bytes are held up.
    pub fn deregister(&self, is_cut: bool) -> Result<bool, Option<HeldMessage>> {
        let id = self.id();
        let (address, channel) = {
            let mut state = self.shared.lock();
            (state.owner, state.channel.take())
        };
        let address = address.unwrap_or(self.shared.options.controls[0]);
        let text = http::request(
            "POST",
            &address.to_string(),
            &format!("/instances/{id}/deregister"),
            "",
            "",
        );
        let record = &self.shared.record;
        record.line(format!("worker {id} sends its deregistration to {address}"));
        let channel = channel.filter(|channel| channel.address == address);
        if is_cut {
            record.line(format!("cut    holds up the deregistration of {id}"));
            return Err(channel.map(|channel| HeldMessage {
                channel,
                text,
                what: format!("deregistration of {id}"),
                record: record.clone(),
            }));
        }
        let answer = http::call(address, &text, REPORT_TIMEOUT);
        let status = answer.map_or(0, |answer| answer.status());
        record.line(format!(
            "worker {id}: its deregistration is answered with {status}"
        ));
        Ok(status == 200)
    }

    /// Ends this life: everything that runs on the worker is over.
    pub fn end(mut self) {
        self.shared.stop();
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.shared.stop();
    }
}

/// `HeldMessage` is a message that a partition holds up.
pub struct HeldMessage {
    channel: Channel,
    text: String,
    what: String,
    record: Record,
}

impl HeldMessage {
    /// Lets the message arrive; its sender has closed the channel since.
    pub fn deliver(mut self) {
        let to = self.channel.address;
        let sent = self.channel.send(&self.text);
        thread::sleep(ROUND_TRIP);
        self.channel.finish();
        let answer = self.channel.answer(Duration::from_secs(1));
        let status = answer.map_or(0, |answer| answer.status());
        self.record.line(format!(
            "late   the {} arrives at {to}: written {sent:?}, answered with {status}",
            self.what
        ));
    }
}

fn bind(address: SocketAddr) -> TcpListener {
    for _ in 0..200 {
        match TcpListener::bind(address) {
            Ok(listener) => return listener,
            Err(_) => thread::sleep(Duration::from_millis(10)),
        }
    }
    panic!("{address} cannot be bound");
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_alive(&self) -> bool {
        self.alive.load(Ordering::SeqCst)
    }

    fn clock_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn stop(&self) {
        if !self.alive.swap(false, Ordering::SeqCst) {
            return;
        }
        let mut state = self.lock();
        for connection in state.connections.drain(..) {
            let _ = connection.stream.shutdown(Shutdown::Both);
        }
        let runs: Vec<Running> = state.running.drain().map(|(_, run)| run).collect();
        drop(state);
        for run in runs {
            self.record.run_ended(run.record, "gone with its worker");
        }
        self.record
            .line(format!("worker {} ends its life", self.options.id));
        self.changed.notify_all();
    }

    fn is_cut(&self) -> bool {
        let until = self.lock().cut_until;
        until.is_some_and(|until| Instant::now() < until)
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener) {
        while self.is_alive() {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    let flags = Arc::new(ChannelFlags::default());
                    if let Ok(copy) = stream.try_clone() {
                        let connection = Connection {
                            stream: copy,
                            flags: Arc::clone(&flags),
                        };
                        self.lock().connections.push(connection);
                    }
                    let shared = Arc::clone(self);
                    thread::spawn(move || shared.serve(stream, &flags));
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    fn serve(&self, stream: TcpStream, flags: &ChannelFlags) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_message(&mut reader) {
            if flags.is_silent.load(Ordering::SeqCst) {
                // The packet is lost, like all later ones.
                let path = request.first_line.split(' ').nth(1).unwrap_or_default();
                self.record.line(format!(
                    "silent {path} {} {} at {}",
                    http::field(&request.body, "task").unwrap_or(""),
                    http::number(&request.body, "attempt").unwrap_or(0),
                    self.options.id
                ));
                while self.is_alive() {
                    thread::sleep(Duration::from_millis(50));
                }
                return;
            }
            flags.is_busy.store(true, Ordering::SeqCst);
            // What arrives during a cut is neither carried out nor answered.
            let cut_until = self.lock().cut_until;
            if let Some(until) = cut_until.filter(|until| Instant::now() < *until) {
                thread::sleep(until.saturating_duration_since(Instant::now()));
                break;
            }
            let (status, body) = self.handle(&request);
            if !self.is_alive() || self.is_cut() {
                break;
            }
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            flags.is_busy.store(false, Ordering::SeqCst);
            if writer.write_all((head + &body).as_bytes()).is_err() {
                break;
            }
        }
        flags.is_closed.store(true, Ordering::SeqCst);
        let _ = writer.shutdown(Shutdown::Both);
    }

    fn handle(&self, request: &Message) -> (u16, String) {
        let expected = request.header("x-expected-instance");
        if expected.is_some_and(|id| id != self.options.id) {
            return (421, "{}".to_owned());
        }
        let path = request.first_line.split(' ').nth(1).unwrap_or_default();
        let body = &request.body;
        match path {
            "/run-start" => self.answer(self.start_run(body)),
            "/run-stop" => self.answer(self.stop_run(body)),
            "/hold" => self.hold(body),
            "/health" => (200, "{}".to_owned()),
            _ => (404, "{}".to_owned()),
        }
    }

    fn answer(&self, outcome: Result<(), &str>) -> (u16, String) {
        let clock_ms = self.clock_ms();
        match outcome {
            Ok(()) => (200, format!("{{\"clockMs\":{clock_ms}}}")),
            Err(reason) => (
                409,
                format!("{{\"clockMs\":{clock_ms},\"reason\":\"{reason}\"}}"),
            ),
        }
    }

    fn take_fence(state: &mut State, body: &str) -> Result<(), &'static str> {
        let fence = http::number(body, "fence").unwrap_or(0);
        if fence < state.fence {
            return Err("fence");
        }
        state.fence = fence;
        Ok(())
    }

    fn extend(&self, state: &mut State, body: &str) {
        if let Some(end) = http::number(body, "deadlineMs") {
            let longest = self.clock_ms() + MAX_HOLD_MS;
            state.lease_end_ms = state.lease_end_ms.max(end.min(longest));
        }
    }

    fn start_run(&self, body: &str) -> Result<(), &'static str> {
        let task = http::field(body, "task").unwrap_or_default().to_owned();
        let attempt = http::number(body, "attempt").unwrap_or(0);
        let mut state = self.lock();
        Self::take_fence(&mut state, body)?;
        let deadline = http::number(body, "deadlineMs").unwrap_or(0);
        if deadline <= self.clock_ms() {
            return Err("late");
        }
        self.extend(&mut state, body);
        if state
            .running
            .get(&task)
            .is_some_and(|run| run.attempt == attempt)
        {
            return Ok(());
        }
        if state
            .highest
            .get(&task)
            .is_some_and(|highest| attempt <= *highest)
        {
            return Err("old");
        }
        // The spec of a job names its work in ms and its cpu.
        let spec = http::field(body, "spec").unwrap_or_default();
        let mut words = spec.split(' ');
        let mut word = || words.next().and_then(|text| text.parse::<u64>().ok());
        let (work_ms, cpu) = (word().unwrap_or(100), word().unwrap_or(1000));
        let used: u64 = state.running.values().map(|run| run.cpu).sum();
        if used + cpu > self.options.cpu {
            return Err("room");
        }
        let record = self.record.run_started(&task, attempt, &self.options.id);
        state.highest.insert(task.clone(), attempt);
        let run = Running {
            attempt,
            record,
            started: Instant::now(),
            work: Duration::from_millis(work_ms),
            cpu,
            stop_at: None,
        };
        state.running.insert(task, run);
        Ok(())
    }

    fn stop_run(&self, body: &str) -> Result<(), &'static str> {
        let task = http::field(body, "task").unwrap_or_default().to_owned();
        let attempt = http::number(body, "attempt").unwrap_or(0);
        let mut state = self.lock();
        Self::take_fence(&mut state, body)?;
        self.record.line(format!(
            "stop   {task} attempt {attempt} at {}",
            self.options.id
        ));
        let highest = state.highest.entry(task.clone()).or_default();
        *highest = (*highest).max(attempt);
        if let Some(run) = state.running.get_mut(&task)
            && run.attempt <= attempt
            && run.stop_at.is_none()
        {
            run.stop_at = Some(Instant::now() + STOP_TIME);
        }
        Ok(())
    }

    fn hold(&self, body: &str) -> (u16, String) {
        let observed = http::number(body, "observed").unwrap_or(0);
        let wait = Duration::from_millis(http::number(body, "waitMs").unwrap_or(0).min(2000));
        let until = Instant::now() + wait;
        let mut state = self.lock();
        if let Err(reason) = Self::take_fence(&mut state, body) {
            drop(state);
            return self.answer(Err(reason));
        }
        self.extend(&mut state, body);
        state.finished.retain(|(number, ..)| *number > observed);
        while state.finished.is_empty() && self.is_alive() {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            let woken = self.changed.wait_timeout(state, left);
            state = woken.unwrap_or_else(PoisonError::into_inner).0;
        }
        let running: Vec<String> = state
            .running
            .iter()
            .map(|(task, run)| {
                let share = run.started.elapsed().as_secs_f64() / run.work.as_secs_f64().max(0.001);
                let percent = (share * 100.0).min(99.0) as u64;
                format!("[\"{task}\",{},\"\",{percent}]", run.attempt)
            })
            .collect();
        let finished: Vec<String> = state
            .finished
            .iter()
            .take(500)
            .map(|(number, task, attempt, how)| {
                format!("[{number},\"{task}\",{attempt},\"{how}\",\"\"]")
            })
            .collect();
        let body = format!(
            "{{\"clockMs\":{},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
            self.clock_ms(),
            self.born,
            running.join(","),
            finished.join(",")
        );
        (200, body)
    }

    fn end_runs(&self) {
        while self.is_alive() {
            thread::sleep(Duration::from_millis(2));
            let now = Instant::now();
            let clock_ms = self.clock_ms();
            let mut ended = Vec::new();
            let mut state = self.lock();
            let has_lapsed = clock_ms > state.lease_end_ms;
            let how = |run: &Running| match run.stop_at {
                _ if has_lapsed => Some("lapsed"),
                Some(at) if at <= now => Some("stopped"),
                _ if run.started + run.work <= now => Some("done"),
                _ => None,
            };
            let due: Vec<(String, &'static str)> = state
                .running
                .iter()
                .filter_map(|(task, run)| Some((task.clone(), how(run)?)))
                .collect();
            for (task, how) in due {
                if let Some(run) = state.running.remove(&task) {
                    state.last_end += 1;
                    let number = state.last_end;
                    state.finished.push((number, task, run.attempt, how));
                    ended.push((run.record, how));
                }
            }
            drop(state);
            if !ended.is_empty() {
                for (record, how) in ended {
                    self.record.run_ended(record, how);
                }
                self.changed.notify_all();
            }
        }
    }

    fn send_reports(self: &Arc<Self>) {
        let mut next_control = 0;
        while self.is_alive() {
            let (address, draining) = {
                let state = self.lock();
                let control = self.options.controls[next_control % self.options.controls.len()];
                (state.owner.unwrap_or(control), state.draining)
            };
            let is_acked = self.report(address, draining);
            let mut state = self.lock();
            if is_acked {
                if draining && state.drain_acked.is_none() {
                    state.drain_acked = Some(Instant::now());
                }
                let until = Instant::now() + REPORT_INTERVAL;
                // A worker that is to leave says so at once.
                while self.is_alive() && state.draining == draining {
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    let woken = self.changed.wait_timeout(state, left);
                    state = woken.unwrap_or_else(PoisonError::into_inner).0;
                }
            } else {
                state.owner = None;
                state.channel = None;
                next_control += 1;
                drop(state);
                thread::sleep(Duration::from_millis(20));
            }
        }
    }

    /// Sends one status report; returns whether it was acknowledged in time.
    fn report(self: &Arc<Self>, address: SocketAddr, draining: bool) -> bool {
        let options = &self.options;
        let (sequence, channel) = {
            let mut state = self.lock();
            state.sequence += 1;
            (state.sequence, state.channel.take())
        };
        let word = if draining { "draining" } else { "ready" };
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":8,\
             \"state\":\"{word}\",\"coldRemainingMs\":0,\"capacity\":{{\"cpu\":{},\"memMb\":65536,\
             \"gpus\":0}},\"labels\":[\"a\",\"r1-1\"],\"clockMs\":{},\"seq\":{sequence},\"born\":{}}}",
            options.service,
            options.address,
            options.zone,
            options.cpu,
            self.clock_ms(),
            self.born
        );
        let path = format!("/instances/{}/heartbeat", options.id);
        let text = http::request("POST", &address.to_string(), &path, "", &body);
        let name = format!("{word} report {sequence} of {}", options.id);
        let cut_until = self.lock().cut_until;
        if let Some(until) = cut_until.filter(|until| Instant::now() < *until) {
            // The first packet is lost. TCP sends it again; if the cut is over by
            // then, the report is only late.
            let again = until + FIRST_RETRANSMISSION;
            let left = again.saturating_duration_since(Instant::now());
            thread::sleep(left.min(REPORT_TIMEOUT));
            if left > REPORT_TIMEOUT {
                self.record
                    .line(format!("cut    the {name} to {address} gets no answer"));
                return false;
            }
        }
        let channel = channel.filter(|channel| channel.address == address);
        let channel = channel.map_or_else(|| Channel::open(address, REPORT_TIMEOUT), Ok);
        let Ok(mut channel) = channel else {
            self.record
                .line(format!("report the {name} finds nobody at {address}"));
            return false;
        };
        if let Some(cut) = options.cut_control
            && cut.address == address
            && Instant::now() < cut.until
        {
            self.hold_up(channel, text, name, cut);
            thread::sleep(REPORT_TIMEOUT);
            return false;
        }
        let sent = channel.send(&text);
        let answer = sent.and_then(|()| channel.answer(REPORT_TIMEOUT));
        let status = answer.as_ref().map_or(0, Message::status);
        self.record.line(format!(
            "report the {name} to {address} is answered with {status}"
        ));
        let Ok(answer) = answer else {
            return false;
        };
        if !(200..300).contains(&status) {
            return false;
        }
        let mut state = self.lock();
        let next = http::field(&answer.body, "heartbeatAddr").and_then(|text| text.parse().ok());
        if let Some(next) = next {
            state.owner = Some(next);
        } else if state.owner.is_none() {
            return true;
        }
        if state.owner == Some(address) {
            state.channel = Some(channel);
        }
        true
    }

    /// Keeps a report on its way until some time after the cut.
    fn hold_up(&self, channel: Channel, text: String, name: String, cut: CutControl) {
        self.record
            .line(format!("cut    holds up the {name} to {}", cut.address));
        let held = HeldMessage {
            channel,
            text,
            what: name,
            record: self.record.clone(),
        };
        thread::spawn(move || {
            let at = cut.until + cut.late_by;
            thread::sleep(at.saturating_duration_since(Instant::now()));
            held.deliver();
        });
    }
}
