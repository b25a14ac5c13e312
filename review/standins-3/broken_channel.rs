//! A channel of a client that breaks while the entry host behind it stands still.

use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::net::{self, SIGCONT, SIGSTOP};
use crate::system::{Record, System, word};
use crate::worker::{Run, Runs, Worker};

/// Time budget of the client (`X-Deadline-Ms`).
const TIME_BUDGET: Duration = Duration::from_millis(1500);
/// Time after which a client sends a job again (`retransmitMs`).
const RETRANSMIT: Duration = Duration::from_millis(1300);
/// Time between the broken channel and the end of the freeze.
const FREEZE_AFTER_BREAK: Duration = Duration::from_millis(1360);
/// Rounds of the same two disruptions, with their catch-up time between them.
const ROUNDS: u64 = 8;
const PAUSE: Duration = Duration::from_secs(6);

pub fn play(record: &Record, has_trouble: bool) -> Verdict {
    let mut system = System::new(3, 1, record);
    // One of ten entry hosts stands still and has a channel reset.
    for zone in [
        "a", "b", "c", "a", "b", "c", "c", "c", "c", "d", "d", "d", "d",
    ] {
        system.add(zone);
    }
    for index in 0..system.hosts.len() {
        system.start(index, true);
    }
    // The entry hosts have registered when the first minion reports.
    std::thread::sleep(Duration::from_secs(2));
    let runs = Runs::default();
    let mut workers = Vec::new();
    for index in 0..8 {
        let place = (["a", "b"][index % 2], system.worker_address(index));
        workers.push(Worker::start(
            index,
            place,
            (16000, 6800),
            system.all_operators(),
            &runs,
            record,
        ));
    }
    if !system.publish(1, Duration::from_secs(10)) {
        return Verdict::CouldNotRun("the configuration was not acknowledged".into());
    }
    std::thread::sleep(Duration::from_secs(4));
    let (first, second) = (3, 4);
    for to in [first, second] {
        let job = format!("00000000000000f{to}");
        if submit(&system, to, &job, record) != 200 {
            return Verdict::CouldNotRun("a job without trouble was not served".into());
        }
    }
    for round in 1..=ROUNDS {
        let job = format!("{:016x}", 0xa000 + round);
        if has_trouble {
            break_channel(&system, (first, second), &job, &runs, record);
        } else {
            submit(&system, first, &job, record);
        }
        std::thread::sleep(PAUSE);
        let found = runs.lock().expect("no holder panics").clone();
        if let Some(what) = overlap(&found) {
            return Verdict::Broken(what);
        }
    }
    Verdict::Held
}

/// Builds a job of round-plan's size: four tasks of 0.9 s on 6.8 cores.
fn body() -> &'static str {
    "{\"spec\":\"900\",\"bestEffort\":true,\"steps\":[{\"count\":4,\"cpu\":6800,\"memMb\":512,\"estimateMs\":900}]}"
}

fn headers() -> String {
    format!("X-Deadline-Ms: {}\r\n", TIME_BUDGET.as_millis())
}

/// Sends a job and waits for its answer; gets the status, 0 if there was none.
fn submit(system: &System, to: usize, job: &str, record: &Record) -> u16 {
    let path = format!("/orders/{job}");
    record.write(&format!("POST {path} to {}", system.hosts[to].name));
    let answer = net::call(
        system.callers(to),
        "POST",
        &path,
        &headers(),
        body(),
        TIME_BUDGET,
    );
    let status = answer.as_ref().map_or(0, net::Message::status);
    let text = answer.map(|answer| answer.body).unwrap_or_default();
    record.write(&format!(
        "POST {path} answered by {}: {} {text}",
        system.hosts[to].name,
        word(status)
    ));
    status
}

fn break_channel(
    system: &System,
    (first, second): (usize, usize),
    job: &str,
    runs: &Runs,
    record: &Record,
) {
    let path = format!("/orders/{job}");
    let Ok(proxy) = Proxy::connect(system.callers(first)) else {
        return;
    };
    let sent_at = Instant::now();
    record.write(&format!("POST {path} to {}", system.hosts[first].name));
    let text = net::request_text("POST", &path, &headers(), body());
    let Ok(client) = TcpStream::connect(proxy.address) else {
        return;
    };
    let _ = (&client).write_all(text.as_bytes());
    let has_started = || {
        let runs = runs.lock().expect("no holder panics");
        runs.iter().filter(|run| run.task.starts_with(job)).count() == 4
    };
    while !has_started() && sent_at.elapsed() < Duration::from_millis(60) {
        std::thread::sleep(Duration::from_millis(1));
    }
    record.write(&format!("{} stands still", system.hosts[first].name));
    system.signal(first, SIGSTOP);
    std::thread::sleep(Duration::from_millis(5));
    proxy.reset();
    // The client sees at once that its channel is broken.
    let _ = net::read_message(&mut BufReader::new(&client));
    let broken_at = Instant::now();
    record.write(&format!(
        "the channel of {path} is reset, {} ms after the request",
        sent_at.elapsed().as_millis()
    ));
    drop(client);
    std::thread::scope(|scope| {
        scope.spawn(|| {
            sleep_until(broken_at + RETRANSMIT);
            submit(system, second, job, record);
        });
        sleep_until(broken_at + FREEZE_AFTER_BREAK);
        record.write(&format!(
            "{} wakes, {} ms after the request",
            system.hosts[first].name,
            sent_at.elapsed().as_millis()
        ));
        system.signal(first, SIGCONT);
    });
}

fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Finds two runs of one task that overlap in time.
pub fn overlap(runs: &[Run]) -> Option<String> {
    for (index, one) in runs.iter().enumerate() {
        for other in &runs[index + 1..] {
            let ends = |run: &Run| run.ended_ms.unwrap_or(u64::MAX);
            let start = one.started_ms.max(other.started_ms);
            let end = ends(one).min(ends(other));
            // A run of less than 2 ms beside the other could be one of rounding.
            if one.task == other.task && start + 2 <= end {
                return Some(format!(
                    "two runs of task {} at the same time: attempt {} on {} from {} to {:?} ms ({}), attempt {} on {} from {} to {:?} ms ({})",
                    one.task,
                    one.attempt,
                    one.worker,
                    one.started_ms,
                    one.ended_ms,
                    one.end,
                    other.attempt,
                    other.worker,
                    other.started_ms,
                    other.ended_ms,
                    other.end
                ));
            }
        }
    }
    None
}

/// `Proxy` is a link between one client and an entry host, which can be reset.
struct Proxy {
    address: SocketAddr,
    is_reset: Arc<AtomicBool>,
}

impl Proxy {
    /// Opens a listener for one connection, which is forwarded.
    fn connect(to: SocketAddr) -> std::io::Result<Self> {
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let is_reset = Arc::new(AtomicBool::new(false));
        let flag = Arc::clone(&is_reset);
        std::thread::spawn(move || -> std::io::Result<()> {
            let (client, _) = listener.accept()?;
            let server = TcpStream::connect(to)?;
            for stream in [&client, &server] {
                stream.set_nodelay(true)?;
                stream.set_read_timeout(Some(Duration::from_millis(1)))?;
            }
            while !flag.load(Ordering::Relaxed) {
                if !forward(&client, &server) || !forward(&server, &client) {
                    return Ok(());
                }
            }
            // No copy of the sockets is open, so both ends see a reset.
            net::reset(client);
            net::reset(server);
            Ok(())
        });
        Ok(Self { address, is_reset })
    }

    /// Resets the connection at both ends.
    fn reset(&self) {
        self.is_reset.store(true, Ordering::Relaxed);
    }
}

/// Forwards what has arrived; false once the connection has ended.
fn forward(mut from: &TcpStream, mut to: &TcpStream) -> bool {
    let mut bytes = [0; 8192];
    match from.read(&mut bytes) {
        Ok(0) => false,
        Ok(count) => to.write_all(&bytes[..count]).is_ok(),
        Err(cause) => matches!(cause.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
    }
}
