//! Starts a small deployment of the project's own programs on loopback addresses, with
//! stand-ins for minions, the operator and clients, and checks a rule.
//!
//! Usage: rig SCENARIO CASE_FOLDER, from the root of the repository. The exit status is 1
//! if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0
//! the same is done without the disruption.

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio, exit};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const HEARTBEAT_MS: u64 = 1500;
const MAX_HOLD_MS: u64 = 1000;
const RETRANSMIT_MS: u64 = 1300;
const SERVICE: &str = "svc";
const HOST: &str = "queue.example";
const PREFIX: &str = "/work/";

// ---------------------------------------------------------------- record

#[derive(Clone)]
struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {text}");
    }
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

/// Xorshift generator; the seed is the process id, so runs differ.
struct Random(u64);

impl Random {
    fn next(&mut self, below: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % below
    }
}

// ---------------------------------------------------------------- JSON

/// Gets the raw text of a field of a flat JSON object: a number, or a string without
/// its quotes. The bodies that the system sends to minions and in answers to status
/// reports are flat.
fn field(body: &str, name: &str) -> Option<String> {
    let at = body.find(&format!("\"{name}\":"))?;
    let rest = body[at + name.len() + 3..].trim_start();
    if let Some(text) = rest.strip_prefix('"') {
        return Some(text[..text.find('"')?].to_owned());
    }
    let end = rest.find([',', '}']).unwrap_or(rest.len());
    Some(rest[..end].trim().to_owned())
}

fn number(body: &str, name: &str) -> Option<u64> {
    field(body, name)?.parse().ok()
}

// ---------------------------------------------------------------- HTTP

struct Message {
    first_line: String,
    head: String,
    body: String,
}

fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Message> {
    let mut chunk = [0; 8192];
    loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let length = head.lines().find_map(|line| {
                let (name, value) = line.split_once(':')?;
                name.eq_ignore_ascii_case("content-length")
                    .then(|| value.trim().parse().ok())?
            });
            let total = end + 4 + length.unwrap_or(0);
            if buffer.len() >= total {
                let body = String::from_utf8_lossy(&buffer[end + 4..total]).into_owned();
                buffer.drain(..total);
                let first_line = head.lines().next().unwrap_or("").to_owned();
                return Some(Message {
                    first_line,
                    head,
                    body,
                });
            }
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(count) => buffer.extend_from_slice(&chunk[..count]),
        }
    }
}

fn header(message: &Message, name: &str) -> Option<String> {
    message.head.lines().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name)
            .then(|| value.trim().to_owned())
    })
}

/// Sends a request on a new connection; `None` without a complete answer in time.
fn call(
    address: SocketAddr,
    request_line: &str,
    headers: &str,
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let deadline = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    let _ = stream.set_nodelay(true);
    let text = format!(
        "{request_line} HTTP/1.1\r\n{headers}Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).ok()?;
    let left = deadline
        .saturating_duration_since(Instant::now())
        .max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left)).ok()?;
    let answer = read_message(&mut stream, &mut Vec::new())?;
    let status = answer.first_line.split(' ').nth(1)?.parse().ok()?;
    Some((status, answer.body))
}

// ---------------------------------------------------------------- rule TWICE

/// The runs that are active on minions that are up, by task.
#[derive(Default)]
struct Board {
    active: Mutex<HashMap<String, Vec<String>>>,
    broken: AtomicU64,
    done: AtomicU64,
}

impl Board {
    fn started(&self, record: &Record, task: &str, run: &str) {
        let mut active = self.active.lock().unwrap();
        let runs = active.entry(task.to_owned()).or_default();
        if !runs.is_empty() {
            self.broken.fetch_add(1, Ordering::SeqCst);
            record.line(&format!(
                "BROKEN TWICE: {run} starts while {} is active",
                runs.join(", ")
            ));
        }
        runs.push(run.to_owned());
    }

    fn ended(&self, task: &str, run: &str) {
        let mut active = self.active.lock().unwrap();
        if let Some(runs) = active.get_mut(task) {
            runs.retain(|other| other != run);
        }
    }
}

// ---------------------------------------------------------------- minion

struct Run {
    attempt: u32,
    started: Instant,
    work_ms: u64,
}

/// One life of a minion.
struct Life {
    number: u32,
    born_unix_ms: u64,
    started: Instant,
    fence: u64,
    lease_end_ms: u64,
    runs: HashMap<String, Run>,
    finished: Vec<(u64, String, u32, &'static str)>,
    last_end: u64,
    /// Highest attempt of each task that was stopped or has ended here.
    highest: HashMap<String, u32>,
    sequence: u64,
}

impl Life {
    fn new(number: u32) -> Self {
        Self {
            number,
            born_unix_ms: unix_ms(),
            started: Instant::now(),
            fence: 0,
            lease_end_ms: 0,
            runs: HashMap::new(),
            finished: Vec::new(),
            last_end: 0,
            highest: HashMap::new(),
            sequence: 0,
        }
    }

    fn clock_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn extend(&mut self, deadline_ms: u64) {
        let latest = self.clock_ms() + MAX_HOLD_MS;
        self.lease_end_ms = self.lease_end_ms.max(deadline_ms.min(latest));
    }
}

struct MinionState {
    is_up: bool,
    life: Life,
    /// Until this time, half of the orders to start and stop get no answer and are carried
    /// out late.
    late_orders_until: Option<Instant>,
    random: Random,
}

struct Minion {
    index: usize,
    id: String,
    zone: &'static str,
    address: SocketAddr,
    slots: u32,
    state: Mutex<MinionState>,
    changed: Condvar,
    board: Arc<Board>,
    record: Record,
    is_over: Arc<AtomicBool>,
    control: Vec<SocketAddr>,
}

const TASK_CPU: u32 = 1000;

impl Minion {
    fn run_name(&self, life: u32, task: &str, attempt: u32) -> String {
        format!("{task}#{attempt} on {} (life {life})", self.id)
    }

    fn end(&self, life: &mut Life, task: &str, how: &'static str) {
        let Some(run) = life.runs.remove(task) else {
            return;
        };
        let highest = life.highest.entry(task.to_owned()).or_default();
        *highest = (*highest).max(run.attempt);
        life.last_end += 1;
        life.finished
            .push((life.last_end, task.to_owned(), run.attempt, how));
        let name = self.run_name(life.number, task, run.attempt);
        self.board.ended(task, &name);
        if how == "done" {
            self.board.done.fetch_add(1, Ordering::SeqCst);
        }
        self.record.line(&format!("run ended {how}: {name}"));
        self.changed.notify_all();
    }

    /// Ends runs whose work is done and, once the lease has expired, all others.
    fn work(&self) {
        while !self.is_over.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(2));
            let mut state = self.state.lock().unwrap();
            if !state.is_up {
                continue;
            }
            let life = &mut state.life;
            let is_lapsed = life.clock_ms() >= life.lease_end_ms;
            let tasks: Vec<(String, bool)> = life
                .runs
                .iter()
                .map(|(task, run)| {
                    (
                        task.clone(),
                        run.started.elapsed().as_millis() as u64 >= run.work_ms,
                    )
                })
                .collect();
            for (task, is_done) in tasks {
                if is_done {
                    self.end(life, &task, "done");
                } else if is_lapsed {
                    self.end(life, &task, "lapsed");
                }
            }
        }
    }

    fn listen(self: Arc<Self>, listener: TcpListener) {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let minion = Arc::clone(&self);
            thread::spawn(move || minion.serve(stream));
        }
    }

    /// Serves a connection. One that was opened before the last crash, or while the minion
    /// is down, stays silent, like that of a machine without power.
    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (is_up, number) = {
            let state = self.state.lock().unwrap();
            (state.is_up, state.life.number)
        };
        let mut buffer = Vec::new();
        while let Some(request) = read_message(&mut stream, &mut buffer) {
            let Some((status, body)) = is_up.then(|| self.answer(number, &request)).flatten()
            else {
                while !self.is_over.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(100));
                }
                return;
            };
            let text = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Answers a request; `None` if the life for which the connection was opened is over.
    fn answer(&self, number: u32, request: &Message) -> Option<(u16, String)> {
        let mut state = self.state.lock().unwrap();
        if !state.is_up || state.life.number != number {
            return None;
        }
        let path = request.first_line.split(' ').nth(1).unwrap_or("");
        let body = &request.body;
        if path == "/health" {
            return Some((200, format!("{{\"clockMs\":{}}}", state.life.clock_ms())));
        }
        if header(request, "x-expected-instance").is_some_and(|id| id != self.id) {
            return Some((421, format!("{{\"clockMs\":{}}}", state.life.clock_ms())));
        }
        let fence = number_or_0(body, "fence");
        if fence < state.life.fence {
            return Some((409, refusal(&state.life, "fence")));
        }
        match path {
            "/run-start" | "/run-stop" => {
                let is_late_now = state
                    .late_orders_until
                    .is_some_and(|until| Instant::now() < until);
                let is_late = is_late_now && state.random.next(2) == 0;
                if is_late {
                    self.record
                        .line(&format!("{}: no answer yet to {path} {body}", self.id));
                    drop(state);
                    thread::sleep(Duration::from_millis(2500));
                    state = self.state.lock().unwrap();
                    if !state.is_up || state.life.number != number || fence < state.life.fence {
                        return None;
                    }
                }
                state.life.fence = fence;
                let answer = if path == "/run-start" {
                    self.start(&mut state.life, body)
                } else {
                    self.stop(&mut state.life, body);
                    (200, format!("{{\"clockMs\":{}}}", state.life.clock_ms()))
                };
                (!is_late).then_some(answer)
            }
            "/hold" => {
                state.life.fence = fence;
                if let Some(deadline_ms) = self::number(body, "deadlineMs") {
                    state.life.extend(deadline_ms);
                }
                let observed = number_or_0(body, "observed");
                state.life.finished.retain(|(n, ..)| *n > observed);
                let until = Instant::now() + Duration::from_millis(number_or_0(body, "waitMs"));
                while state.life.finished.is_empty() {
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                    if !state.is_up || state.life.number != number {
                        return None;
                    }
                }
                Some((200, self.lists(&state.life)))
            }
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn start(&self, life: &mut Life, body: &str) -> (u16, String) {
        let task = field(body, "task").unwrap_or_default();
        let attempt = number_or_0(body, "attempt") as u32;
        let deadline_ms = number_or_0(body, "deadlineMs");
        if life
            .runs
            .get(&task)
            .is_some_and(|run| run.attempt == attempt)
        {
            life.extend(deadline_ms);
            return (200, format!("{{\"clockMs\":{}}}", life.clock_ms()));
        }
        let is_old = life
            .highest
            .get(&task)
            .is_some_and(|highest| *highest >= attempt)
            || life.runs.contains_key(&task);
        if is_old {
            life.extend(deadline_ms);
            return (409, refusal(life, "old"));
        }
        if deadline_ms <= life.clock_ms() {
            return (409, refusal(life, "late"));
        }
        life.extend(deadline_ms);
        if life.runs.len() as u32 >= self.slots {
            return (409, refusal(life, "room"));
        }
        let work_ms = field(body, "spec")
            .and_then(|spec| spec.parse().ok())
            .unwrap_or(100);
        let name = self.run_name(life.number, &task, attempt);
        self.record.line(&format!("run starts: {name}"));
        self.board.started(&self.record, &task, &name);
        life.runs.insert(
            task,
            Run {
                attempt,
                started: Instant::now(),
                work_ms,
            },
        );
        (200, format!("{{\"clockMs\":{}}}", life.clock_ms()))
    }

    fn stop(&self, life: &mut Life, body: &str) {
        let task = field(body, "task").unwrap_or_default();
        let attempt = number_or_0(body, "attempt") as u32;
        if life
            .runs
            .get(&task)
            .is_some_and(|run| run.attempt <= attempt)
        {
            self.end(life, &task, "stopped");
        }
        let highest = life.highest.entry(task).or_default();
        *highest = (*highest).max(attempt);
    }

    fn lists(&self, life: &Life) -> String {
        let running: Vec<String> = life
            .runs
            .iter()
            .map(|(task, run)| {
                let done = run.started.elapsed().as_millis() as u64 * 100 / run.work_ms.max(1);
                format!(
                    "[\"{task}\",{},\"\",{},{TASK_CPU}]",
                    run.attempt,
                    done.min(99)
                )
            })
            .collect();
        let finished: Vec<String> = life
            .finished
            .iter()
            .take(500)
            .map(|(n, task, attempt, how)| format!("[{n},\"{task}\",{attempt},\"{how}\",\"\"]"))
            .collect();
        format!(
            "{{\"clockMs\":{},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
            life.clock_ms(),
            life.born_unix_ms,
            running.join(","),
            finished.join(",")
        )
    }

    /// Sends status reports of one life, the first one after `first`.
    fn report(&self, number: u32, first: Duration) {
        thread::sleep(first);
        let mut target = None;
        let mut next = self.index;
        while !self.is_over.load(Ordering::SeqCst) {
            let body = {
                let mut state = self.state.lock().unwrap();
                if !state.is_up || state.life.number != number {
                    return;
                }
                state.life.sequence += 1;
                let life = &state.life;
                format!(
                    "{{\"service\":\"{SERVICE}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\"state\":\"ready\",\"coldRemainingMs\":0,\"capacity\":{{\"cpu\":{},\"memMb\":65536,\"gpus\":0}},\"labels\":[\"a\",\"r1\"],\"clockMs\":{},\"born\":{},\"seq\":{}}}",
                    self.address,
                    self.zone,
                    self.slots,
                    self.slots * TASK_CPU,
                    life.clock_ms(),
                    life.born_unix_ms,
                    life.sequence
                )
            };
            let address = target.unwrap_or_else(|| {
                next += 1;
                self.control[next % self.control.len()]
            });
            let line = format!("POST /instances/{}/heartbeat", self.id);
            let host = format!("Host: {address}\r\n");
            match call(address, &line, &host, &body, Duration::from_secs(1)) {
                Some((200, answer)) => {
                    if let Some(moved) = field(&answer, "heartbeatAddr") {
                        target = moved.parse().ok();
                    }
                    thread::sleep(Duration::from_millis(HEARTBEAT_MS));
                }
                _ => {
                    target = None;
                    thread::sleep(Duration::from_millis(100));
                }
            }
        }
    }

    /// Crashes without a word and starts again under the same id after `down`.
    fn crash_and_restart(self: &Arc<Self>, down: Duration, first_report: Duration) {
        {
            let mut state = self.state.lock().unwrap();
            state.is_up = false;
            let number = state.life.number;
            let runs: Vec<(String, u32)> = state
                .life
                .runs
                .iter()
                .map(|(task, run)| (task.clone(), run.attempt))
                .collect();
            for (task, attempt) in &runs {
                self.board
                    .ended(task, &self.run_name(number, task, *attempt));
            }
            self.record.line(&format!(
                "{} crashes (life {number}) with {} runs",
                self.id,
                runs.len()
            ));
            self.changed.notify_all();
        }
        thread::sleep(down);
        let number = {
            let mut state = self.state.lock().unwrap();
            let number = state.life.number + 1;
            state.life = Life::new(number);
            state.is_up = true;
            number
        };
        self.record.line(&format!(
            "{} is back (life {number}); its first status report follows in {} ms",
            self.id,
            first_report.as_millis()
        ));
        let minion = Arc::clone(self);
        thread::spawn(move || minion.report(number, first_report));
    }
}

fn number_or_0(body: &str, name: &str) -> u64 {
    number(body, name).unwrap_or(0)
}

fn refusal(life: &Life, reason: &str) -> String {
    format!(
        "{{\"clockMs\":{},\"reason\":\"{reason}\"}}",
        life.clock_ms()
    )
}

// ---------------------------------------------------------------- processes

/// The hosts of a deployment on loopback addresses, and their settings and disks.
struct Deployment {
    folder: PathBuf,
    network: String,
    first_port: u16,
    is_first_start: bool,
    /// Number of control hosts; the first three are the seeds.
    control_hosts: u8,
}

/// The processes that this program has started and not ended yet.
static CHILDREN: Mutex<Vec<(String, Child)>> = Mutex::new(Vec::new());

/// Kills the processes of this name, or all, and waits for their ends.
fn kill_children(name: Option<&str>) {
    let mut children = CHILDREN.lock().unwrap_or_else(PoisonError::into_inner);
    children.retain_mut(|(other, child)| {
        let is_meant = name.is_none_or(|name| name == other);
        if is_meant {
            let _ = child.kill();
            let _ = child.wait();
        }
        !is_meant
    });
}

impl Deployment {
    fn new(control_hosts: u8) -> std::io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let process = std::process::id();
        for attempt in 0..50 {
            let network = format!("127.{}.{}", 20 + (process / 200) % 200, 1 + process % 200);
            let first_port =
                21000 + ((process as u16).wrapping_mul(40).wrapping_add(attempt * 40)) % 9000;
            let is_free = |host: u8, offset: u16| {
                TcpListener::bind(format!("{network}.{host}:{}", first_port + offset)).is_ok()
            };
            if [1, 2, 3, 4, 11, 12, 13]
                .iter()
                .all(|host| (0..20).all(|offset| is_free(*host, offset)))
            {
                return Ok(Self {
                    folder,
                    network,
                    first_port,
                    is_first_start: true,
                    control_hosts,
                });
            }
        }
        Err(std::io::Error::other("no free ports"))
    }

    fn address(&self, host: u8, offset: u16) -> SocketAddr {
        format!("{}.{host}:{}", self.network, self.first_port + offset)
            .parse()
            .unwrap()
    }

    fn control(&self) -> Vec<SocketAddr> {
        (1..=self.control_hosts)
            .map(|host| self.address(host, 19))
            .collect()
    }

    fn front(&self, host: u8) -> SocketAddr {
        self.address(host, 17)
    }

    /// Writes the settings that deploy/settings.toml gives for a host and starts its
    /// program with the command of deploy/system.toml.
    fn start(&self, name: &str, host: u8, zone: &str) -> std::io::Result<()> {
        let is_control = host < 10;
        let seeds: Vec<String> = self
            .control()
            .iter()
            .take(3)
            .map(|at| format!("\"{at}\""))
            .collect();
        let data = self.folder.join(format!("data-{name}"));
        let mut text = format!(
            "[host]\nid = \"{name}\"\nfailure_domain = \"{zone}\"\naddress = \"{}.{host}\"\nfirst_port = {}\nlast_port = {}\nfirst_start = {}\ncontrol_hosts = [{}]\n",
            self.network,
            self.first_port,
            self.first_port + 15,
            self.is_first_start,
            seeds.join(",")
        );
        if is_control {
            fs::create_dir_all(&data)?;
            text += &format!(
                "data_folder = \"{}\"\n[listen]\noperators = \"{}\"\n",
                data.display(),
                self.address(host, 19)
            );
        } else {
            text += &format!(
                "[listen]\ncallers = \"{}\"\nreadiness = \"{}\"\n",
                self.front(host),
                self.address(host, 18)
            );
        }
        text += "[terms]\nmax_lease_ms = 1000\nstop_ms = 50\nlosses_borne = 1\n[scheduling]\npace = true\nfair_admission = false\n";
        let settings = self.folder.join(format!("{name}.toml"));
        fs::write(&settings, text)?;
        let log = File::create(self.folder.join(format!("{name}.log")))?;
        let role = if is_control {
            "fleet-control"
        } else {
            "fleet-entry"
        };
        let child = Command::new("target/release/hornbeamd")
            .args(["--role", role, "--settings-file"])
            .arg(&settings)
            .args(["--log-format", "json"])
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        CHILDREN.lock().unwrap().push((name.to_owned(), child));
        Ok(())
    }

    fn kill(&self, name: &str) {
        kill_children(Some(name));
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        kill_children(None);
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn configuration(version: u64, deadline_ms: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"q\",\"hostname\":\"{HOST}\",\"pathPrefix\":\"{PREFIX}\",\"type\":\"unsafe\",\"timeoutMs\":{deadline_ms},\"targetLatencyMs\":60,\"priority\":0,\"service\":\"{SERVICE}\",\"attempts\":4,\"stretch\":1.6}}],\"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\"/health\",\"maxConns\":64,\"protocol\":\"h1\",\"tls\":false,\"enforcesCapacity\":true,\"standby\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
    )
}

/// Sends a configuration to the control hosts in turn until one acknowledges it.
fn publish(control: &[SocketAddr], record: &Record, version: u64, deadline_ms: u64) -> bool {
    let until = Instant::now() + Duration::from_secs(20);
    let mut next = 0;
    while Instant::now() < until {
        let at = control[next % control.len()];
        next += 1;
        let host = format!("Host: {at}\r\n");
        let text = configuration(version, deadline_ms);
        let answer = call(
            at,
            "POST /config/replace",
            &host,
            &text,
            Duration::from_secs(1),
        );
        record.line(&format!(
            "operator: version {version} to {at}: {:?}",
            answer.as_ref().map(|a| a.0)
        ));
        if answer.is_some_and(|(status, _)| status == 200) {
            return true;
        }
        thread::sleep(Duration::from_millis(300));
    }
    false
}

// ---------------------------------------------------------------- clients

struct Clients {
    fronts: Vec<SocketAddr>,
    /// Time for which clients wait for an answer.
    deadline_ms: u64,
    record: Record,
    answered: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
}

impl Clients {
    /// Hands a job in at a front. A job that needn't be kept and gets no answer, 502 or 504
    /// is sent again after RETRANSMIT_MS, to the next front.
    fn submit(&self, id: &str, front: usize, tasks: u32, work_ms: u64) {
        let body = format!(
            "{{\"spec\":\"{work_ms}\",\"bestEffort\":true,\"steps\":[{{\"count\":{tasks},\"cpu\":{TASK_CPU},\"memMb\":64,\"estimateMs\":{work_ms}}}]}}"
        );
        let headers = format!("Host: {HOST}\r\nX-Deadline-Ms: {}\r\n", self.deadline_ms);
        for attempt in 0..2 {
            let at = self.fronts[(front + attempt) % self.fronts.len()];
            self.record.line(&format!(
                "client: job {id} to {at}, {tasks} tasks of {work_ms} ms"
            ));
            let sent = Instant::now();
            let answer = call(
                at,
                &format!("POST {PREFIX}{id}"),
                &headers,
                &body,
                Duration::from_millis(self.deadline_ms),
            );
            let took = sent.elapsed().as_millis();
            let status = answer.as_ref().map(|answer| answer.0);
            self.record
                .line(&format!("client: job {id} got {status:?} after {took} ms"));
            match status {
                Some(200) => {
                    self.answered.fetch_add(1, Ordering::SeqCst);
                    return;
                }
                Some(502 | 504) | None => thread::sleep(Duration::from_millis(RETRANSMIT_MS)),
                Some(_) => {
                    self.refused.fetch_add(1, Ordering::SeqCst);
                    return;
                }
            }
        }
        self.failed.fetch_add(1, Ordering::SeqCst);
    }
}

// ---------------------------------------------------------------- scenarios

struct World {
    deployment: Deployment,
    minions: Vec<Arc<Minion>>,
    board: Arc<Board>,
    clients: Arc<Clients>,
    record: Record,
    is_over: Arc<AtomicBool>,
    random: Random,
}

impl World {
    /// Starts three control hosts, entry hosts and minions, and waits until jobs run.
    fn start(
        record: Record,
        entries: u8,
        minions: usize,
        slots: u32,
        deadline_ms: u64,
    ) -> Result<Self, String> {
        let deployment = Deployment::new(3).map_err(|cause| cause.to_string())?;
        let zones = ["zone-a", "zone-b", "zone-c"];
        for host in 1..=3_u8 {
            deployment
                .start(&format!("core-{host}"), host, zones[host as usize - 1])
                .map_err(|cause| format!("cannot start a control host: {cause}"))?;
        }
        for entry in 0..entries {
            deployment
                .start(
                    &format!("edge-{}", entry + 1),
                    11 + entry,
                    zones[entry as usize % 3],
                )
                .map_err(|cause| format!("cannot start an entry host: {cause}"))?;
        }
        let control = deployment.control();
        if !publish(&control, &record, 1, deadline_ms) {
            return Err("no configuration was acknowledged".into());
        }
        let board = Arc::new(Board::default());
        let is_over = Arc::new(AtomicBool::new(false));
        let mut random = Random(u64::from(std::process::id()) * 2_654_435_761 + 1);
        let mut all = Vec::new();
        for index in 0..minions {
            let host = 100 + index as u8;
            let listener = TcpListener::bind(format!("{}.{host}:0", deployment.network))
                .map_err(|cause| cause.to_string())?;
            let minion = Arc::new(Minion {
                index,
                id: format!("i-{index:04x}"),
                zone: if entries == 3 {
                    zones[1 + index % 2]
                } else {
                    zones[index % entries as usize]
                },
                address: listener.local_addr().unwrap(),
                slots,
                state: Mutex::new(MinionState {
                    is_up: true,
                    life: Life::new(1),
                    late_orders_until: None,
                    random: Random(index as u64 * 7919 + u64::from(std::process::id())),
                }),
                changed: Condvar::new(),
                board: Arc::clone(&board),
                record: record.clone(),
                is_over: Arc::clone(&is_over),
                control: control.clone(),
            });
            let (worker, server, reporter) = (
                Arc::clone(&minion),
                Arc::clone(&minion),
                Arc::clone(&minion),
            );
            thread::spawn(move || worker.work());
            thread::spawn(move || server.listen(listener));
            let first = Duration::from_millis(random.next(HEARTBEAT_MS));
            thread::spawn(move || reporter.report(1, first));
            all.push(minion);
        }
        // A job that is sent again by a client of edge-1 goes to the last entry host.
        let mut fronts: Vec<SocketAddr> = (0..entries)
            .map(|entry| deployment.front(11 + entry))
            .collect();
        fronts[1..].reverse();
        let clients = Arc::new(Clients {
            fronts,
            deadline_ms,
            record: record.clone(),
            answered: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            failed: AtomicU64::new(0),
        });
        thread::sleep(Duration::from_secs(6));
        Ok(Self {
            deployment,
            minions: all,
            board,
            clients,
            record,
            is_over,
            random,
        })
    }

    /// Hands in a job every `gap`, at the fronts in turn, for `length`.
    fn traffic(
        &mut self,
        length: Duration,
        gap: Duration,
        tasks: u32,
        work_ms: (u64, u64),
    ) -> thread::JoinHandle<()> {
        let clients = Arc::clone(&self.clients);
        let mut random = Random(self.random.next(u64::MAX - 1) + 1);
        thread::spawn(move || {
            let until = Instant::now() + length;
            let mut calls = Vec::new();
            let mut front = 0;
            while Instant::now() < until {
                let id = format!("{:016x}", random.next(u64::MAX));
                let work = work_ms.0 + random.next(work_ms.1 - work_ms.0 + 1);
                let clients = Arc::clone(&clients);
                // Two of three jobs go to edge-1.
                front = if clients.fronts.len() == 3 && random.next(3) > 0 {
                    0
                } else {
                    front + 1
                };
                calls.push(thread::spawn(move || {
                    clients.submit(&id, front, tasks, work)
                }));
                thread::sleep(gap);
            }
            for call in calls {
                let _ = call.join();
            }
        })
    }

    fn finish(self) -> i32 {
        thread::sleep(Duration::from_millis(1500));
        self.is_over.store(true, Ordering::SeqCst);
        let broken = self.board.broken.load(Ordering::SeqCst);
        let answered = self.clients.answered.load(Ordering::SeqCst);
        let summary = format!(
            "jobs answered 200: {answered}, refused: {}, without an answer: {}; runs done: {}; rule broken: {broken} times",
            self.clients.refused.load(Ordering::SeqCst),
            self.clients.failed.load(Ordering::SeqCst),
            self.board.done.load(Ordering::SeqCst)
        );
        self.record.line(&summary);
        println!("{summary}");
        drop(self.deployment);
        match (answered, broken) {
            (0, _) => 2,
            (_, 0) => 0,
            _ => 1,
        }
    }
}

/// Minions crash and start again under their ids within `down`, silently, while jobs come.
fn restart_under_same_id(record: Record, trouble: bool) -> Result<i32, String> {
    let mut world = World::start(record, 2, 12, 16, 1500)?;
    let traffic = world.traffic(
        Duration::from_secs(40),
        Duration::from_millis(120),
        1,
        (800, 1000),
    );
    thread::sleep(Duration::from_secs(3));
    for _ in 0..12 {
        let first_report = Duration::from_millis(world.random.next(HEARTBEAT_MS));
        // The minion with the most runs, if it has room for more, gets the next ones.
        let runs = |minion: &&Arc<Minion>| minion.state.lock().unwrap().life.runs.len();
        let has_room = |minion: &&Arc<Minion>| runs(minion) < 13;
        let minion = world.minions.iter().filter(has_room).max_by_key(runs);
        if let Some(minion) = minion
            && trouble
        {
            minion.crash_and_restart(Duration::from_millis(200), first_report);
        }
        thread::sleep(Duration::from_millis(2500));
    }
    let _ = traffic.join();
    Ok(world.finish())
}

/// The entry host of a job is killed while minions leave half of their orders unanswered
/// and carry them out late. Clients send their jobs again as the pages say.
fn entry_host_killed(record: Record, trouble: bool) -> Result<i32, String> {
    // edge-1 is alone in its zone, so its jobs run at the other two.
    let mut world = World::start(record.clone(), 3, 12, 16, 3000)?;
    let traffic = world.traffic(
        Duration::from_secs(42),
        Duration::from_millis(20),
        1,
        (1500, 2500),
    );
    for _ in 0..4 {
        thread::sleep(Duration::from_secs(7));
        if trouble {
            record.line("minions leave half of the orders unanswered for 5 s");
            for minion in &world.minions {
                let until = Instant::now() + Duration::from_secs(5);
                minion.state.lock().unwrap().late_orders_until = Some(until);
            }
            thread::sleep(Duration::from_millis(500));
            record.line("edge-1 is killed");
            world.deployment.kill("edge-1");
            thread::sleep(Duration::from_millis(2000));
            world
                .deployment
                .start("edge-1", 11, "zone-a")
                .map_err(|cause| cause.to_string())?;
            record.line("edge-1 is started again");
        }
    }
    let _ = traffic.join();
    Ok(world.finish())
}

/// Reads the configuration at the control hosts in turn; gets the version of the first
/// answer 200 within `limit`.
fn read_back(control: &[SocketAddr], record: &Record, limit: Duration) -> Option<u64> {
    let until = Instant::now() + limit;
    let mut next = 0;
    while Instant::now() < until {
        let at = control[next % control.len()];
        next += 1;
        let host = format!("Host: {at}\r\n");
        let answer = call(at, "GET /config/read", &host, "", Duration::from_secs(3));
        let version = answer
            .as_ref()
            .and_then(|(_, body)| number(body, "version"));
        let status = answer.as_ref().map(|answer| answer.0);
        record.line(&format!(
            "operator: read at {at}: {status:?}, version {version:?}"
        ));
        if status == Some(200) {
            return version;
        }
        thread::sleep(Duration::from_millis(300));
    }
    None
}

const CORE: [(u8, &str); 4] = [(1, "zone-a"), (2, "zone-b"), (3, "zone-c"), (4, "zone-d")];

/// Starts four control hosts for the first time. If `is_interrupted`, the third is killed
/// once it has written its identity, and started again 0.5 s later.
fn start_core(record: &Record, is_interrupted: bool) -> Result<Deployment, String> {
    for attempt in 1..=30 {
        let mut deployment = Deployment::new(4).map_err(|cause| cause.to_string())?;
        for (host, zone) in CORE {
            deployment
                .start(&format!("core-{host}"), host, zone)
                .map_err(|cause| cause.to_string())?;
        }
        if !is_interrupted {
            return Ok(deployment);
        }
        let data = deployment.folder.join("data-core-3");
        let until = Instant::now() + Duration::from_secs(10);
        while !data.join("identity").exists() && Instant::now() < until {
            std::hint::spin_loop();
        }
        deployment.kill("core-3");
        if data.join("identity").exists() && !data.join("snapshot").exists() {
            record.line(&format!(
                "core-3 is killed during its first start (try {attempt})"
            ));
            thread::sleep(Duration::from_millis(500));
            deployment.is_first_start = false;
            deployment
                .start("core-3", 3, "zone-c")
                .map_err(|cause| cause.to_string())?;
            record.line("core-3 is started again with its disk");
            return Ok(deployment);
        }
    }
    Err("the kill never came before the first snapshot".into())
}

/// One control host is killed during its first start. Later, right after an acknowledged
/// change, another one loses its disk while all control hosts lose power.
fn killed_during_first_start(record: Record, trouble: bool) -> Result<i32, String> {
    // Without the first kill, the final fault alone shows what is borne.
    let is_first_kill = trouble && std::env::var("TROUBLE").as_deref() != Ok("final");
    let mut deployment = start_core(&record, is_first_kill)?;
    let control = deployment.control();
    for version in 1..=3 {
        if !publish(&control, &record, version, 1500) {
            return Err(format!("version {version} was not acknowledged"));
        }
        thread::sleep(Duration::from_millis(500));
    }
    thread::sleep(Duration::from_secs(8));
    for at in &control {
        if read_back(&[*at], &record, Duration::from_secs(5)) != Some(3) {
            return Err(format!(
                "{at} did not answer with version 3 before the fault"
            ));
        }
    }
    if !publish(&control, &record, 4, 1500) {
        return Err("version 4 was not acknowledged".into());
    }
    if trouble {
        record.line("all control hosts lose power; core-1 loses its disk");
        for (host, _) in CORE {
            deployment.kill(&format!("core-{host}"));
        }
        let _ = fs::remove_dir_all(deployment.folder.join("data-core-1"));
        thread::sleep(Duration::from_secs(1));
        deployment.is_first_start = false;
        for (host, zone) in CORE {
            deployment
                .start(&format!("core-{host}"), host, zone)
                .map_err(|cause| cause.to_string())?;
        }
        record.line("all control hosts are started again");
    }
    // recoveryS is 12 s, contactMs 3 s.
    let version = read_back(&control, &record, Duration::from_secs(30));
    let is_broken = version != Some(4);
    let summary = match version {
        Some(version) => format!("read back 30 s after the fault: version {version}"),
        None => {
            "BROKEN CONFIG: no control host answers with the acknowledged version 4 within 30 s"
                .to_owned()
        }
    };
    record.line(&summary);
    let is_acknowledged = publish(&control, &record, 5, 1500);
    record.line(&format!("version 5 is acknowledged: {is_acknowledged}"));
    println!("{summary}; version 5 is acknowledged: {is_acknowledged}");
    Ok(i32::from(is_broken))
}

/// One control host loses its disk at each of many restarts. Later, each time after the
/// host before has been back for longer than `catchUpS`, two others lose theirs in turn.
fn disks_lost_in_turn(record: Record, trouble: bool) -> Result<i32, String> {
    // Few restarts show that the rest is borne.
    let is_short = std::env::var("TROUBLE").as_deref() == Ok("few");
    let restarts = if is_short { 3 } else { 72 };
    let deployment = &mut start_core(&record, false)?;
    let control = deployment.control();
    if !publish(&control, &record, 1, 1500) {
        return Err("version 1 was not acknowledged".into());
    }
    thread::sleep(Duration::from_secs(2));
    deployment.is_first_start = false;
    let lose_disk = |host: u8, zone: &str| {
        let name = format!("core-{host}");
        deployment.kill(&name);
        let _ = fs::remove_dir_all(deployment.folder.join(format!("data-{name}")));
        let starting = deployment.start(&name, host, zone);
        starting.map_err(|cause| cause.to_string())
    };
    if trouble {
        record.line(&format!(
            "core-4 loses its disk at each of {restarts} restarts"
        ));
        for _ in 0..restarts {
            lose_disk(4, "zone-d")?;
            thread::sleep(Duration::from_millis(600));
        }
        record.line("core-4 stays up");
        thread::sleep(Duration::from_secs(8));
    }
    if !publish(&control, &record, 2, 1500) {
        return Err("version 2 was not acknowledged".into());
    }
    for (host, zone) in [(1, "zone-a"), (2, "zone-b")] {
        if trouble {
            record.line(&format!("core-{host} loses its disk"));
            lose_disk(host, zone)?;
        }
        thread::sleep(Duration::from_secs(8));
    }
    let version = read_back(&control, &record, Duration::from_secs(20));
    let summary = match version {
        Some(version) => format!("read back: version {version}"),
        None => "BROKEN CONFIG: no control host answers with the acknowledged version 2".to_owned(),
    };
    record.line(&summary);
    println!("{summary}");
    Ok(i32::from(version != Some(2)))
}

/// A quarter of the clients cancel their jobs 0.5 s after they have handed them in, while
/// the tasks run.
fn cancelled_while_running(record: Record, trouble: bool) -> Result<i32, String> {
    const CANCEL_MS: u64 = 3000;
    const STOP_MS: u64 = 50;
    let world = World::start(record.clone(), 2, 6, 16, 8000)?;
    let mut random = Random(u64::from(std::process::id()) * 48_271 + 1);
    let mut calls = Vec::new();
    for job in 0..40_usize {
        let id = format!("{:016x}", random.next(u64::MAX));
        let clients = Arc::clone(&world.clients);
        let (submitted, at) = (id.clone(), clients.fronts[job % 2]);
        calls.push(thread::spawn(move || {
            clients.submit(&submitted, job, 1, 6000)
        }));
        if trouble && job % 4 == 0 {
            let (record, board) = (record.clone(), Arc::clone(&world.board));
            calls.push(thread::spawn(move || {
                thread::sleep(Duration::from_millis(500));
                let line = format!("DELETE {PREFIX}{id}");
                let headers = format!("Host: {HOST}\r\n");
                let answer = call(at, &line, &headers, "", Duration::from_secs(4));
                let status = answer.map(|answer| answer.0);
                record.line(&format!("client: cancels job {id} at {at}: {status:?}"));
                if !matches!(status, Some(200..=299 | 410)) {
                    return;
                }
                // A margin of 100 ms for the clock of this program.
                thread::sleep(Duration::from_millis(CANCEL_MS + STOP_MS + 100));
                let active = board.active.lock().unwrap();
                let runs = active.iter().filter(|(task, _)| task.starts_with(&id));
                for run in runs.flat_map(|(_, runs)| runs) {
                    board.broken.fetch_add(1, Ordering::SeqCst);
                    record.line(&format!("BROKEN UNASKED: {run} is active {CANCEL_MS} ms and {STOP_MS} ms after the ack"));
                }
            }));
        }
        thread::sleep(Duration::from_millis(300));
    }
    for call in calls {
        let _ = call.join();
    }
    Ok(world.finish())
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, scenario, folder] = arguments.as_slice() else {
        eprintln!("usage: rig SCENARIO CASE_FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let Ok(file) = File::create(Path::new(folder).join("record.txt")) else {
        eprintln!("cannot write record.txt");
        exit(2);
    };
    let record = Record {
        file: Arc::new(Mutex::new(file)),
        start: Instant::now(),
    };
    record.line(&format!("scenario {scenario}, disruption: {trouble}"));
    // A case that does not end would leave processes behind.
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(108));
        eprintln!("the case took too long");
        kill_children(None);
        exit(2);
    });
    let result = match scenario.as_str() {
        "killed-during-first-start" => killed_during_first_start(record, trouble),
        "cancelled-while-running" => cancelled_while_running(record, trouble),
        "disks-lost-in-turn" => disks_lost_in_turn(record, trouble),
        "entry-host-killed" => entry_host_killed(record, trouble),
        "restart-under-same-id" => restart_under_same_id(record, trouble),
        _ => Err(format!("no scenario {scenario}")),
    };
    match result {
        Ok(status) => exit(status),
        Err(cause) => {
            eprintln!("the case could not run: {cause}");
            exit(2);
        }
    }
}
