//! Clients that submit jobs and wait for their answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;
use crate::system::{HOST, PREFIX, System};

/// Time for which a client waits for an answer.
const BUDGET_MS: u64 = 1500;
/// Time after which a client sends a job again (`retransmitMs`).
const RETRANSMIT: Duration = Duration::from_millis(1300);
/// Times that a client sends a job at most.
const MAX_SENDS: usize = 3;

/// `Work` is what the tasks of a job do.
#[derive(Clone, Copy)]
pub struct Work {
    pub tasks: u32,
    pub work_ms: u64,
    pub cpu: u64,
}

/// `Load` sends jobs at a steady pace until it is stopped.
pub struct Load {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
    pub served: Arc<AtomicU64>,
}

impl Load {
    pub fn start(system: &System, record: &Record, work: Work, pause: Duration) -> Self {
        let fronts = system.front_addresses();
        let names: Vec<String> = fronts.iter().map(|at| system.name_of(*at)).collect();
        let stop = Arc::new(AtomicBool::new(false));
        let served = Arc::new(AtomicU64::new(0));
        let stopped = Arc::clone(&stop);
        let count = Arc::clone(&served);
        let record = record.clone();
        let thread = thread::spawn(move || {
            let mut clients: Vec<JoinHandle<()>> = Vec::new();
            let mut next = Instant::now();
            let mut number = 0_usize;
            while !stopped.load(Ordering::SeqCst) {
                number += 1;
                let (fronts, names) = (fronts.clone(), names.clone());
                let (record, count) = (record.clone(), Arc::clone(&count));
                clients.push(thread::spawn(move || {
                    if submit(&fronts, &names, number, work, &record) {
                        count.fetch_add(1, Ordering::SeqCst);
                    }
                }));
                next += pause;
                thread::sleep(next.saturating_duration_since(Instant::now()));
                clients.retain(|client| !client.is_finished());
            }
            for client in clients {
                let _ = client.join();
            }
        });
        Self {
            stop,
            thread: Some(thread),
            served,
        }
    }

    /// Stops and waits for all answers.
    pub fn stop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Gets the id of a job.
pub fn job_id(number: usize) -> String {
    format!("{:016x}", 0x5c0e_7a21_0000_0000_u64 + number as u64)
}

/// Submits one job; returns whether it was completed. The client turns to another
/// entry host each time it sends the job again.
pub fn submit(
    fronts: &[SocketAddr],
    names: &[String],
    number: usize,
    work: Work,
    record: &Record,
) -> bool {
    let id = job_id(number);
    let Work {
        tasks,
        work_ms,
        cpu,
    } = work;
    let body = format!(
        "{{\"spec\":\"{work_ms} {cpu}\",\"bestEffort\":true,\"steps\":[{{\"count\":{tasks},\"cpu\":{cpu},\
         \"memMb\":64,\"estimateMs\":{work_ms}}}]}}"
    );
    for sending in 0..MAX_SENDS {
        let at = (number + sending) % fronts.len();
        let deadline = format!("X-Deadline-Ms: {BUDGET_MS}\r\n");
        let text = http::request("POST", HOST, &format!("{PREFIX}{id}"), &deadline, &body);
        record.line(format!("job    {id} is sent to {}", names[at]));
        let answer = http::call(fronts[at], &text, Duration::from_millis(BUDGET_MS));
        let status = answer.as_ref().map_or(0, http::Message::status);
        let state = answer
            .as_ref()
            .ok()
            .and_then(|answer| http::field(&answer.body, "state"));
        record.line(format!(
            "job    {id} is answered by {} with {status} {}",
            names[at],
            state.unwrap_or("")
        ));
        match status {
            0 | 502 | 504 => thread::sleep(RETRANSMIT),
            _ => return state == Some("completed"),
        }
    }
    false
}
